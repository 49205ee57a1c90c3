//! Tests that each rule of the oracle is broken by a small history, and not by a similar history without the fault.

use super::*;
use crate::soak::history::ProcessEvent;

const ENDPOINT: usize = 0;
const DESTINATION: usize = 0;

fn record(at: Millis, message: &str, event: Event) -> Record {
    Record {
        at,
        sender: 0,
        message: message.into(),
        event,
    }
}

/// A message that is submitted, and accepted 1 ms later. Its deadline is 4 s after the submission.
fn submitted(at: Millis, id: &str) -> [Record; 2] {
    let effect = crate::soak::world::Message::from_id(id).map_or(Effect::Idempotent, |m| m.effect);
    let timeout = 4_000.0;
    [
        record(
            at,
            id,
            Event::Submitted {
                effect,
                timeout,
                writing: 0.0,
            },
        ),
        record(at + 1.0, id, Event::Answered { status: 202 }),
    ]
}

fn request(at: Millis, id: &str) -> [Record; 2] {
    let (endpoint, destination) = (ENDPOINT, DESTINATION);
    [
        record(
            at,
            id,
            Event::RequestBegan {
                endpoint,
                destination,
            },
        ),
        record(
            at,
            id,
            Event::RequestArrived {
                endpoint,
                destination,
                intact: true,
                runs: true,
            },
        ),
    ]
}

fn responded(at: Millis, id: &str, status: u16, retry_after: Option<Millis>) -> Record {
    let destination = DESTINATION;
    record(
        at,
        id,
        Event::Responded {
            destination,
            status,
            retry_after,
        },
    )
}

fn reported(at: Millis, id: &str) -> Record {
    let status = "undeliverable".into();
    record(at, id, Event::Reported { status })
}

fn process(at: Millis, event: ProcessEvent) -> Record {
    record(at, "", Event::Process(event))
}

fn drained(at: Millis) -> Record {
    let (endpoint, active) = (ENDPOINT, false);
    record(at, "", Event::ListTold { endpoint, active })
}

/// The rules that a history breaks.
fn broken_rules(parts: &[&[Record]]) -> Vec<Rule> {
    let conditions = Conditions {
        lateness: 0.0,
        idempotency_window: 2_000.0,
        calls_failed: &|_, _| false,
        unconfirmed_until: &|_, _| None,
    };
    let (violations, _) = Oracle::new(conditions).judge(&parts.concat());
    violations.iter().map(|violation| violation.rule).collect()
}

#[test]
fn delivered_message_breaks_no_rule() {
    let parts: [&[Record]; 3] = [
        &submitted(0.0, "u1"),
        &request(10.0, "u1"),
        &[responded(20.0, "u1", 200, None)],
    ];
    assert_eq!(broken_rules(&parts), []);
}

#[test]
fn message_without_end_in_time_is_lost() {
    assert_eq!(broken_rules(&[&submitted(0.0, "u1")]), [Rule::Lost]);
    assert_eq!(
        broken_rules(&[&submitted(0.0, "u1"), &[reported(4_300.0, "u1")]]),
        []
    );
    assert_eq!(
        broken_rules(&[&submitted(0.0, "u1"), &[reported(4_400.0, "u1")]]),
        [Rule::Lost]
    );
}

#[test]
fn end_is_not_overdue_while_its_sender_restarts() {
    let restart = [
        process(4_000.0, ProcessEvent::Kill),
        process(4_000.0, ProcessEvent::Exited(None)),
        process(4_600.0, ProcessEvent::Started),
        process(4_700.0, ProcessEvent::Ready),
    ];
    let report = |at| [reported(at, "u1")];
    let judged = |at| broken_rules(&[&submitted(0.0, "u1"), &restart, &report(at)]);
    assert_eq!(judged(6_100.0), []);
    assert_eq!(judged(6_300.0), [Rule::Lost]);
}

#[test]
fn restart_soon_after_unconfirmed_reports_extends_the_time_for_an_end() {
    let records = [
        &submitted(0.0, "u1")[..],
        &[
            process(4_600.0, ProcessEvent::Kill),
            process(4_600.0, ProcessEvent::Exited(None)),
            process(5_200.0, ProcessEvent::Started),
            process(5_300.0, ProcessEvent::Ready),
            reported(6_500.0, "u1"),
        ],
    ]
    .concat();
    let judged = |unconfirmed: bool| {
        let conditions = Conditions {
            lateness: 0.0,
            idempotency_window: 2_000.0,
            calls_failed: &|_, _| false,
            unconfirmed_until: &|_, at| (unconfirmed && at < 4_500.0).then_some(4_500.0),
        };
        Oracle::new(conditions).judge(&records).0.len()
    };
    assert_eq!((judged(true), judged(false)), (0, 1));
}

#[rstest::rstest]
#[case::after_report(&[reported(100.0, "k1")], 400.0, Rule::ForwardedAfterEnd)]
#[case::after_delivery(&[responded(100.0, "k1", 200, None)], 400.0, Rule::ForwardedAfterEnd)]
#[case::after_an_answer_that_it_is_over(&[responded(100.0, "k1", 410, None)], 400.0, Rule::ForwardedAfterEnd)]
#[case::after_rejection(
    &[record(2.0, "k1", Event::Answered { status: 503 }), reported(5_000.0, "k1")],
    50.0,
    Rule::ForwardedAfterRejection
)]
#[case::after_deadline(&[reported(4_100.0, "k1")], 4_250.0, Rule::ForwardedLate)]
#[case::to_draining_endpoint(&[drained(0.0), responded(1_300.0, "k1", 200, None)], 1_200.0, Rule::SentToDraining)]
#[case::before_end_of_retry_after(
    &[responded(10.0, "k2", 429, Some(900.0)), responded(700.0, "k1", 200, None)],
    600.0,
    Rule::RetryAfterIgnored
)]
fn forbidden_request_breaks_its_rule(
    #[case] before: &[Record],
    #[case] at: Millis,
    #[case] rule: Rule,
) {
    let mut records = [&submitted(0.0, "k1")[..], before, &request(at, "k1")].concat();
    records.sort_by(|a, b| a.at.total_cmp(&b.at));
    assert!(broken_rules(&[&records]).contains(&rule));
}

#[rstest::rstest]
#[case::non_idempotent("u1", 100.0, Some(Rule::RepeatedNonIdempotent))]
#[case::keyed_inside_its_window("k1", 2_000.0, None)]
#[case::keyed_outside_its_window("k1", 2_100.0, Some(Rule::RepeatedOutsideWindow))]
#[case::idempotent("i1", 3_000.0, None)]
fn repeat_is_judged_by_its_idempotency(
    #[case] id: &str,
    #[case] after: Millis,
    #[case] rule: Option<Rule>,
) {
    let parts: [&[Record]; 4] = [
        &submitted(0.0, id),
        &request(10.0, id),
        &request(10.0 + after, id),
        &[responded(3_500.0, id, 200, None)],
    ];
    assert_eq!(broken_rules(&parts), Vec::from_iter(rule));
}

#[test]
fn dropped_request_breaks_a_rule_unless_its_sender_was_killed() {
    let end = [record(
        500.0,
        "u1",
        Event::Unanswered(NoAnswerReason::EndOfStream),
    )];
    assert_eq!(broken_rules(&[&end]), [Rule::ReadAndDropped]);
    let kill = [process(400.0, ProcessEvent::Kill)];
    assert_eq!(broken_rules(&[&kill, &end]), []);
    let shutdown = [process(400.0, ProcessEvent::Terminate)];
    assert_eq!(broken_rules(&[&shutdown, &end]), [Rule::ReadAndDropped]);
}

#[rstest::rstest]
#[case::without_signal(&[process(10.0, ProcessEvent::Exited(Some(0)))], Some(Rule::Crashed))]
#[case::after_terminate(&[process(5.0, ProcessEvent::Terminate), process(10.0, ProcessEvent::Exited(Some(0)))], None)]
#[case::failure_after_terminate(
    &[process(5.0, ProcessEvent::Terminate), process(10.0, ProcessEvent::Exited(Some(101)))],
    Some(Rule::Crashed)
)]
#[case::killed(&[process(5.0, ProcessEvent::Kill), process(10.0, ProcessEvent::Exited(None))], None)]
#[case::too_late_after_terminate(
    &[
        process(5.0, ProcessEvent::Terminate),
        process(3_705.0, ProcessEvent::Kill),
        process(3_710.0, ProcessEvent::Exited(None)),
    ],
    Some(Rule::ExitedLate)
)]
fn process_exit_must_follow_a_signal_in_time(
    #[case] records: &[Record],
    #[case] rule: Option<Rule>,
) {
    assert_eq!(broken_rules(&[records]), Vec::from_iter(rule));
}

#[test]
fn report_well_after_the_delivery_is_a_second_end() {
    let parts: [&[Record]; 3] = [
        &submitted(0.0, "i1"),
        &request(10.0, "i1"),
        &[responded(20.0, "i1", 200, None), reported(900.0, "i1")],
    ];
    assert_eq!(broken_rules(&parts), [Rule::TwoEnds]);
}

/// An answer written after its message's deadline is no delivery, so the message still needs a report.
#[rstest::rstest]
#[case::in_time(3_999.0, false, None)]
#[case::after_deadline(4_001.0, false, Some(Rule::Lost))]
#[case::after_deadline_and_reported(4_001.0, true, None)]
#[case::just_before_deadline_and_reported(3_990.0, true, None)]
fn answer_around_the_deadline_is_judged_by_when_it_was_written(
    #[case] answered_at: Millis,
    #[case] is_reported: bool,
    #[case] rule: Option<Rule>,
) {
    let report = [reported(4_300.0, "u1")];
    let parts: [&[Record]; 4] = [
        &submitted(0.0, "u1"),
        &request(10.0, "u1"),
        &[responded(answered_at, "u1", 200, None)],
        if is_reported { &report } else { &[] },
    ];
    assert_eq!(broken_rules(&parts), Vec::from_iter(rule));
}

/// A report from before the client received the 202 is not the end of the message.
#[test]
fn message_submitted_again_after_its_report_needs_another_report() {
    let first = [submitted(0.0, "u1")[0].clone()];
    let second = submitted(5_000.0, "u1");
    let judged =
        |last: &[Record]| broken_rules(&[&first, &[reported(4_000.0, "u1")], &second, last]);
    assert_eq!(judged(&[]), [Rule::Lost]);
    assert_eq!(judged(&[reported(5_002.0, "u1")]), []);
}

/// An end that falls due during a long pause of its sender is due after the pause; a pause that is over before then
/// extends nothing.
#[test]
fn long_pause_extends_only_ends_that_fall_due_during_it() {
    let judged = |paused_at: Millis, ended_at: Millis| {
        let pause = [
            process(paused_at, ProcessEvent::Pause),
            process(paused_at + 390.0, ProcessEvent::Continue),
        ];
        broken_rules(&[&submitted(0.0, "u1"), &pause, &[reported(ended_at, "u1")]])
    };
    assert_eq!(judged(4_100.0, 4_700.0), []);
    assert_eq!(judged(4_100.0, 4_900.0), [Rule::Lost]);
    assert_eq!(judged(3_000.0, 4_700.0), [Rule::Lost]);
}

/// A key that is valid in one zone does not prevent a repeat in another.
#[rstest::rstest]
#[case::in_same_zone("z1", ENDPOINT, None)]
#[case::in_other_zone("z1", ENDPOINT + 1, Some(Rule::RepeatedInOtherZone))]
#[case::in_other_zone_with_key_valid_in_all("k1", ENDPOINT + 1, None)]
fn repeat_in_another_zone_needs_a_key_valid_there(
    #[case] id: &str,
    #[case] endpoint: usize,
    #[case] rule: Option<Rule>,
) {
    let mut repeat = request(20.0, id);
    repeat[1].event = Event::RequestArrived {
        endpoint,
        destination: DESTINATION,
        intact: true,
        runs: true,
    };
    let parts: [&[Record]; 4] = [
        &submitted(0.0, id),
        &request(10.0, id),
        &repeat,
        &[responded(30.0, id, 200, None)],
    ];
    assert_eq!(broken_rules(&parts), Vec::from_iter(rule));
}

/// Only a process that is paused for longer than the platform pauses may exit that much later.
#[rstest::rstest]
#[case::longer_than_the_platform_pauses(300.0, &[])]
#[case::as_long_as_the_platform_pauses(150.0, &[Rule::ExitedLate])]
fn process_paused_for_long_around_terminate_may_exit_later(
    #[case] span: Millis,
    #[case] rules: &[Rule],
) {
    let records = [
        process(0.0, ProcessEvent::Pause),
        process(5.0, ProcessEvent::Terminate),
        process(span, ProcessEvent::Continue),
        process(3_705.0, ProcessEvent::Kill),
        process(3_710.0, ProcessEvent::Exited(None)),
    ];
    assert_eq!(broken_rules(&[&records]), rules);
}

/// A message that was answered just before its deadline may be reported when it is submitted again; that is no second
/// end.
#[test]
fn message_answered_just_before_its_deadline_may_be_reported_when_submitted_again() {
    let first = [submitted(0.0, "u1")[0].clone()];
    let parts: [&[Record]; 5] = [
        &first,
        &request(10.0, "u1"),
        &[responded(3_999.0, "u1", 200, None)],
        &submitted(4_400.0, "u1"),
        &[reported(4_402.0, "u1")],
    ];
    assert_eq!(broken_rules(&parts), []);
}

/// A client that was delayed while it wrote its request submitted it at an unknown instant within that time.
#[test]
fn deadline_counts_from_the_end_of_a_slow_submission() {
    let judged = |writing: Millis| {
        let (effect, timeout) = (Effect::NonIdempotent, 4_000.0);
        let slow = Event::Submitted {
            effect,
            timeout,
            writing,
        };
        let answered = Event::Answered { status: 202 };
        broken_rules(&[
            &[record(0.0, "u1", slow), record(101.0, "u1", answered)],
            &request(102.0, "u1"),
            &[responded(4_003.0, "u1", 200, None)],
        ])
    };
    assert_eq!(judged(100.0), []);
    assert_eq!(judged(1.0), [Rule::Lost]);
}
