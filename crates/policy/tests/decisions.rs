//! One small test for each rule and each decision of the module, and one for the size of its files.

mod common;
use common::*;
use martenlatch_policy::Policy;
use martenlatch_policy::interface::*;

#[test]
fn a_slow_call_is_hedged_once_near_p95_at_another_endpoint_and_the_slower_attempt_is_cancelled() {
    let mut sender = two_endpoints(vec![class(IDEMPOTENT)]);
    sender.warm_up(1, 0, 20, 100 * MS);
    let (id, first) = sender.accept(1, 0);
    let first = sends(&first)[0].1;
    assert!(
        sends(&sender.advance(90 * MS)).is_empty(),
        "no hedge before p95"
    );
    let hedges = sends(&sender.advance(500 * MS));
    assert_eq!(hedges.len(), 1, "one hedge and no more");
    assert_ne!(hedges[0].1, first);
    let actions = sender.end_attempt(id, 1, Outcome::Success, 100 * MS);
    assert!(actions.contains(&Action::Cancel { id, attempt: 0 }));
}

#[test]
fn a_failed_attempt_does_not_end_a_message_while_its_hedge_is_in_flight() {
    let mut sender = two_endpoints(vec![class(IDEMPOTENT)]);
    sender.warm_up(1, 0, 20, 100 * MS);
    let (id, _) = sender.accept(1, 0);
    assert_eq!(sends(&sender.advance(200 * MS)).len(), 1);
    let actions = sender.end_attempt(id, 0, Outcome::Failure, 200 * MS);
    assert!(!is_rejected(&actions, id) && !is_failed(&actions, id) && sends(&actions).is_empty());
}

#[test]
fn non_idempotent_messages_are_not_hedged_and_none_are_if_hedges_are_not_allowed() {
    let mut sender = two_endpoints(vec![class(IDEMPOTENT), class(Idempotency::NonIdempotent)]);
    sender.warm_up(1, 0, 20, 100 * MS);
    sender.accept(1, 1);
    assert!(sends(&sender.advance(800 * MS)).is_empty());
    let mut set = settings(vec![class(IDEMPOTENT)]);
    set.may_hedge = false;
    let mut sender = TestSender::new(set);
    sender.list_endpoints(&[(0, 1, 0, 0), (1, 1, 1, 0)]);
    sender.warm_up(1, 0, 20, 100 * MS);
    sender.accept(1, 0);
    assert!(sends(&sender.advance(300 * MS)).is_empty());
}

#[test]
fn no_hedges_are_sent_right_after_a_stall() {
    let mut sender = two_endpoints(vec![class(IDEMPOTENT)]);
    sender.warm_up(1, 0, 20, 100 * MS);
    sender.accept(1, 0);
    sender.now += 900 * MS;
    assert!(sends(&sender.turn(&[Event::Wake])).is_empty());
}

#[test]
fn no_hedges_are_sent_if_the_whole_destination_is_slow() {
    let mut sender = two_endpoints(vec![class(IDEMPOTENT)]);
    sender.warm_up(1, 0, 20, 100 * MS);
    for _ in 0..3 {
        sender.accept(1, 0);
    }
    assert!(
        sends(&sender.advance(350 * MS)).is_empty(),
        "three slow calls at once mean a slow destination"
    );
}

#[test]
fn the_pacing_interval_doubles_with_rejections_up_to_a_limit() {
    let mut sender = two_endpoints(vec![class(IDEMPOTENT)]);
    sender.warm_up(1, 0, 10, 50 * MS);
    let mut intervals = Vec::new();
    for _ in 0..8 {
        let (id, mut actions) = sender.accept(1, 0);
        let from = sender.now;
        while sends(&actions).is_empty() {
            actions = sender.advance(5 * MS);
        }
        intervals.push(sender.now - from);
        let id = sends(&actions).first().map_or(id, |s| s.0);
        let attempt = sender.attempts[&id.0] - 1;
        sender.end_attempt(id, attempt, OVERLOADED, 0);
    }
    assert_eq!(intervals[0], 0, "the first call is not paced");
    assert!(
        intervals[3] > intervals[1],
        "the interval grows: {intervals:?}"
    );
    assert!(
        intervals
            .iter()
            .all(|interval| *interval <= 1000 * MS + 10 * MS),
        "the interval has a limit: {intervals:?}"
    );
}

#[test]
fn a_pacing_interval_far_above_the_fair_share_of_a_rate_limit_falls_within_a_few_successes() {
    // Guards against a jam: a partner with a rate limit of 20 a second was sent its backlog at one call a
    // second for ten seconds.
    let mut sender = two_endpoints(vec![class(Idempotency::NonIdempotent)]);
    sender.warm_up(1, 0, 20, 100 * MS);
    let backlog: Vec<Event> = (0..30)
        .map(|_| sender.new_message(1, 0, 20 * S, None))
        .collect();
    let mut in_flight = sends(&sender.turn(&backlog));
    let mut success_times: Vec<Nanos> = Vec::new();
    let mut rejections = 0;
    while success_times.len() < 8 {
        sender.now += 5 * MS;
        let mut events = vec![Event::Wake];
        for (id, ..) in std::mem::take(&mut in_flight) {
            let outcome = if rejections < 8 {
                OVERLOADED
            } else {
                Outcome::Success
            };
            rejections += 1;
            success_times.extend((outcome == Outcome::Success).then_some(sender.now));
            let (attempt, finished) = (sender.attempts[&id.0] - 1, outcome == Outcome::Success);
            let took = 100 * MS;
            events.push(Event::AttemptEnded {
                id,
                attempt,
                outcome,
                took,
                finished,
            });
        }
        in_flight = sends(&sender.turn(&events));
        assert!(sender.now < 60 * S, "the calls succeed in time");
    }
    assert!(
        success_times[7] - success_times[0] < S,
        "{} ms",
        (success_times[7] - success_times[0]) / MS
    );
}

#[test]
fn rejections_of_calls_sent_before_the_last_increase_do_not_increase_the_pacing_interval() {
    let mut sender = two_endpoints(vec![class(IDEMPOTENT)]);
    let ids: Vec<MessageId> = (0..3).map(|_| sender.accept(1, 0).0).collect();
    sender.now += 10 * MS;
    for id in ids {
        sender.end_attempt(id, 0, OVERLOADED, 10 * MS);
    }
    let mut next = vec![];
    while next.is_empty() && sender.now < 2 * S {
        next = sends(&sender.advance(5 * MS));
    }
    let attempt = sender.attempts[&next[0].0.0] - 1;
    sender.now += 5 * MS;
    let actions = sender.end_attempt(next[0].0, attempt, Outcome::Success, 5 * MS);
    // The first step of 25 ms, decreased by 4% to 24 ms. Four times the step, halved, would be 50 ms.
    assert!(
        !sends(&[actions, sender.advance(25 * MS)].concat()).is_empty(),
        "one increase, to the first step, and not four times it"
    );
}

#[test]
fn a_non_idempotent_message_that_may_have_run_fails_at_once_and_is_not_retried() {
    for outcome in [
        Outcome::Failure,
        Outcome::TimedOut,
        Outcome::ConnectionLost,
        Outcome::Cancelled,
    ] {
        let mut sender = two_endpoints(vec![class(Idempotency::NonIdempotent)]);
        let (id, _) = sender.accept(1, 0);
        sender.now += 100 * MS;
        let actions = sender.end_attempt(id, 0, outcome, 100 * MS);
        assert!(is_failed(&actions, id) && !is_rejected(&actions, id));
        assert!(sends(&sender.advance(S)).is_empty());
    }
}

#[test]
fn a_non_idempotent_message_that_never_ran_is_retried() {
    for outcome in [OVERLOADED, Outcome::Unreachable, Outcome::NotSent] {
        let mut sender = two_endpoints(vec![class(Idempotency::NonIdempotent)]);
        let (id, _) = sender.accept(1, 0);
        sender.now += 10 * MS;
        let mut actions = sender.end_attempt(id, 0, outcome, 10 * MS);
        actions.extend(sender.advance(2 * S));
        assert_eq!(sends(&actions).first().map(|s| s.0), Some(id));
    }
}

#[test]
fn a_message_with_an_idempotency_key_is_retried_in_its_zone_and_window_and_then_fails() {
    let keyed = Idempotency::IdempotencyKey {
        per_zone: true,
        window: 6 * S,
    };
    let mut sender = two_endpoints(vec![class(keyed)]);
    let (id, actions) = sender.accept(1, 0);
    let (first, sent) = (sends(&actions)[0].1, sender.now);
    sender.now += 100 * MS;
    let mut last = sender.now;
    let mut actions = sender.end_attempt(id, 0, Outcome::ConnectionLost, 100 * MS);
    loop {
        if let Some((_, endpoint, _)) = sends(&actions).first() {
            assert_eq!(
                *endpoint, first,
                "another zone would not drop a second delivery"
            );
            assert!(sender.now < sent + 6 * S);
            last = sender.now;
            let attempt = sender.attempts[&id.0] - 1;
            actions.extend(sender.end_attempt(id, attempt, OVERLOADED, 0));
        }
        if is_failed(&actions, id) {
            break;
        }
        assert!(
            !is_rejected(&actions, id) && sender.now < sent + 8 * S,
            "the message fails at the end of its window"
        );
        actions = sender.advance(5 * MS);
    }
    assert!(last > sent + 100 * MS, "it was retried");
}

#[test]
fn nothing_is_sent_to_a_draining_or_removed_endpoint() {
    let mut sender = two_endpoints(vec![class(IDEMPOTENT)]);
    sender.list_endpoints(&[(1, 1, 1, 0)]);
    for _ in 0..4 {
        let (_, actions) = sender.accept(1, 0);
        assert!(sends(&actions).iter().all(|s| s.1 == EndpointId(1)));
    }
    let drain = EndpointEntry {
        endpoint: EndpointId(1),
        zone: ZoneId(1),
        kind: KindId(0),
        destination: DestinationId(1),
        state: EndpointState::Draining,
        weight: 20.0,
    };
    sender.turn(&[Event::EndpointChanges(vec![drain])]);
    assert!(sends(&sender.accept(1, 0).1).is_empty());
}

#[test]
fn a_retry_after_applies_to_the_destination_or_only_to_the_endpoint_that_is_a_route() {
    let mut sender = TestSender::new(settings(vec![class(IDEMPOTENT)]));
    sender.list_endpoints(&[(0, 1, 0, 0), (1, 1, 1, 0), (2, 2, 0, 1), (3, 2, 1, 1)]);
    let (id, _) = sender.accept(1, 0);
    sender.end_attempt(
        id,
        0,
        Outcome::Overloaded {
            retry_after: 700 * MS,
        },
        0,
    );
    sender.accept(1, 0);
    assert!(sends(&sender.advance(690 * MS)).is_empty());
    assert!(!sends(&sender.advance(800 * MS)).is_empty());
    let (id, actions) = sender.accept(2, 0);
    let first = sends(&actions)[0].1;
    let again = sender.end_attempt(
        id,
        0,
        Outcome::Overloaded {
            retry_after: 700 * MS,
        },
        0,
    );
    let again = [again, sender.advance(600 * MS)].concat();
    let other = sends(&again)
        .into_iter()
        .find(|s| s.0 == id)
        .expect("the other route is used");
    assert_ne!(other.1, first);
}

#[test]
fn messages_with_an_ordering_key_are_sent_in_order_and_the_key_has_a_quiet_period() {
    let mut ordered = class(Idempotency::NonIdempotent);
    ordered.ordered = true;
    let mut sender = two_endpoints(vec![ordered]);
    let (a, b) = (
        sender.new_message(1, 0, 20 * S, Some(5)),
        sender.new_message(1, 0, 20 * S, Some(5)),
    );
    let first = sends(&sender.turn(&[a, b]));
    assert_eq!(first.len(), 1);
    assert!(sends(&sender.advance(300 * MS)).is_empty());
    sender.end_attempt(first[0].0, 0, Outcome::TimedOut, 300 * MS);
    assert!(
        sends(&sender.advance(290 * MS)).is_empty(),
        "the key is in its quiet period"
    );
    assert_eq!(sends(&sender.advance(50 * MS)).len(), 1);
}

#[test]
fn a_message_is_rejected_before_its_deadline_or_after_its_last_timeout() {
    let mut sender = two_endpoints(vec![class(IDEMPOTENT)]);
    let event = sender.new_message(7, 0, 500 * MS, None);
    sender.turn(&[event]);
    let actions = sender.advance(500 * MS);
    assert!(
        is_rejected(&actions, MessageId(1)),
        "no endpoint is known, so it is rejected in time"
    );
    let event = sender.new_message(1, 0, 300 * MS, None);
    let id = sends(&sender.turn(&[event]))[0].0;
    sender.now += 300 * MS;
    assert!(is_rejected(
        &sender.end_attempt(id, 0, Outcome::TimedOut, 300 * MS),
        id
    ));
}

#[test]
fn a_message_is_rejected_at_once_if_the_retry_after_ends_after_its_deadline() {
    // Guards against keeping a client waiting until the deadline if nothing can be sent before it.
    let mut sender = two_endpoints(vec![class(IDEMPOTENT)]);
    let (id, _) = sender.accept(1, 0);
    let actions = sender.end_attempt(
        id,
        0,
        Outcome::Overloaded {
            retry_after: 30 * S,
        },
        5 * MS,
    );
    assert!(
        is_rejected(&actions, id),
        "its 20 s end before the Retry-After of 30 s: {actions:?}"
    );
    assert!(
        is_rejected(&sender.accept(1, 0).1, MessageId(id.0 + 1)),
        "and so is a message that is accepted now"
    );
}

#[test]
fn a_hung_destination_leaves_in_flight_capacity_to_others() {
    let mut sender = TestSender::new(settings(vec![class(Idempotency::NonIdempotent)]));
    sender.list_endpoints(&[(0, 1, 0, 0), (1, 2, 0, 0)]);
    for _ in 0..20 {
        sender.accept(1, 0);
    }
    sender.advance(3 * S);
    assert_eq!(sends(&sender.accept(2, 0).1).len(), 1);
}

#[test]
fn an_overdue_call_is_cancelled_if_a_later_one_has_succeeded() {
    let mut set = settings(vec![class(IDEMPOTENT)]);
    set.may_hedge = false;
    let mut sender = TestSender::new(set);
    sender.list_endpoints(&[(0, 1, 0, 0)]);
    sender.warm_up(1, 0, 20, 100 * MS);
    let (lost, _) = sender.accept(1, 0);
    sender.now += 5 * MS;
    sender.warm_up(1, 0, 1, 100 * MS);
    assert!(sender.advance(1500 * MS).contains(&Action::Cancel {
        id: lost,
        attempt: 0
    }));
}

#[test]
fn one_destination_does_not_take_up_the_limit_on_open_messages() {
    let mut sender = TestSender::new(settings(vec![class(IDEMPOTENT)]));
    let mut shed = 0;
    for _ in 0..90 {
        let (_, actions) = sender.accept(1, 0);
        shed += actions
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count();
    }
    assert!(
        (20..40).contains(&shed),
        "{shed} of 90 were shed, with a limit of 100"
    );
}

#[test]
fn unknown_and_repeated_events_change_nothing() {
    let mut sender = two_endpoints(vec![class(IDEMPOTENT)]);
    assert!(
        sender
            .end_attempt(MessageId(99), 0, Outcome::Success, 0)
            .is_empty()
    );
    let (id, _) = sender.accept(1, 0);
    sender.end_attempt(id, 0, Outcome::Success, 50 * MS);
    assert!(sends(&sender.end_attempt(id, 0, Outcome::Failure, 50 * MS)).is_empty());
    assert!(
        sends(&sender.turn(&[Event::ClientLeft(id), Event::ClientLeft(MessageId(98))])).is_empty()
    );
    let (id, _) = sender.accept(1, 0);
    assert!(sends(&sender.end_attempt(id, 7, Outcome::Failure, 0)).is_empty());
}

#[test]
fn idle_connections_are_kept_without_an_idle_timeout() {
    // Guards settings without an idle timeout: the longest duration overflowed when it was added to an
    // instant.
    let mut sender = TestSender::new(Settings {
        idle_timeout: Nanos::MAX,
        ..settings(vec![class(IDEMPOTENT)])
    });
    sender.list_endpoints(&[(0, 1, 0, 0)]);
    sender.warm_up(1, 0, 1, 100 * MS);
    let (id, actions) = sender.accept(1, 0);
    assert_eq!(sends(&actions).len(), 1);
    sender.now += 100 * MS;
    assert!(
        !sender
            .end_attempt(id, 0, Outcome::Success, 100 * MS)
            .contains(&Action::CloseIdle(EndpointId(0)))
    );
}

#[test]
fn an_error_for_invalid_settings_names_the_setting() {
    let mut no_calls = settings(vec![class(IDEMPOTENT)]);
    no_calls.max_in_flight = 0;
    assert!(
        Policy::new(no_calls, 1)
            .unwrap_err()
            .to_string()
            .contains("max_in_flight")
    );
    assert!(
        Policy::new(settings(vec![]), 1)
            .unwrap_err()
            .to_string()
            .contains("classes")
    );
}

/// The files of the decision module: all that `deploy/balancer.toml` lists under `policy`.
const MODULE: [&str; 10] = [
    "policy.rs",
    "policy/admission.rs",
    "policy/dispatch.rs",
    "policy/endpoints.rs",
    "policy/faults.rs",
    "policy/messages.rs",
    "policy/outcomes.rs",
    "policy/repeats.rs",
    "policy/resumption.rs",
    "policy/route.rs",
];

#[test]
fn each_file_of_the_module_has_at_most_300_lines_of_at_most_110_columns() {
    // A file that is missing from the list would not be checked.
    let submodules =
        std::fs::read_dir(format!("{}/src/policy", env!("CARGO_MANIFEST_DIR"))).unwrap();
    assert_eq!(
        submodules.count() + 1,
        MODULE.len(),
        "each file of the module is listed"
    );
    let deploy = include_str!("../../../deploy/balancer.toml");
    assert!(
        MODULE
            .iter()
            .all(|file| deploy.contains(&format!("\"crates/policy/src/{file}\"")))
    );
    let read =
        |file: &str| std::fs::read_to_string(format!("{}/src/{file}", env!("CARGO_MANIFEST_DIR")));
    let texts = MODULE.map(|file| read(file).unwrap());
    for (file, text) in MODULE.iter().zip(&texts) {
        let lines = text.lines().count();
        assert!(
            lines <= 300,
            "{file} has {lines} lines: each file of the module has one job"
        );
    }
    let text: String = texts.concat();
    assert!(text.lines().all(|l| l.chars().count() <= 110));
}
