//! Outages, single probes, slow start after an outage, and faults that are no outage.

mod common;
use common::*;
use martenlatch_policy::interface::*;

#[test]
fn a_route_that_is_down_gets_single_probes_and_then_the_slow_start_budget() {
    let (count, budget) = calls_after_an_outage(Outcome::Unreachable, 4);
    assert!(
        count > 2.0 && count <= budget,
        "{count} sent within the window, {budget} allowed"
    );
}

/// Guards against toppling a destination that returns cold from an outage in which it reset all connections: lost
/// connections never opened the circuit breaker.
#[test]
fn a_route_that_resets_all_connections_gets_single_probes_and_then_the_slow_start_budget() {
    // Those that are lost together count once, so that four calls do not suffice.
    let (count, budget) = calls_after_an_outage(Outcome::ConnectionLost, 8);
    let slack = 3.0 * budget.sqrt() + 3.0;
    assert!(
        count > 2.0 && count <= budget + slack,
        "{count} sent within the window, {budget} and {slack} allowed"
    );
}

/// A route's calls end with `failure`, then it gets single probes, and returns. Returns the number of calls that are sent in
/// the overload window behind its return, and the slow-start budget for them.
fn calls_after_an_outage(failure: Outcome, failed_calls: u32) -> (f64, f64) {
    let mut set = settings(vec![class(IDEMPOTENT)]);
    set.may_hedge = false;
    let mut sender = TestSender::new(set);
    sender.list_endpoints(&[(0, 1, 0, 0)]);
    sender.warm_up(1, 0, 10, 50 * MS);
    let mut failures = 0;
    while failures < failed_calls {
        let actions = sender.accept(1, 0).1;
        let all = [actions, sender.advance(200 * MS)].concat();
        for (id, _, _) in sends(&all) {
            let attempt = sender.attempts[&id.0] - 1;
            sender.end_attempt(id, attempt, failure, 0);
            failures += 1;
        }
    }
    let mut actions: Vec<Action> = (0..30).flat_map(|_| sender.accept(1, 0).1).collect();
    let mut probe = None;
    for _ in 0..600 {
        actions.extend(sender.advance(5 * MS));
        let sent = sends(&std::mem::take(&mut actions));
        assert!(sent.len() <= 1, "one probe at a time");
        probe = probe.or(sent.first().copied());
        if probe.is_some() {
            break;
        }
    }
    let (id, _, _) = probe.expect("a probe is sent");
    assert!(
        sends(&sender.advance(100 * MS)).is_empty(),
        "nothing else while a probe is in flight"
    );
    let attempt = sender.attempts[&id.0] - 1;
    let mut actions = sender.end_attempt(id, attempt, Outcome::Success, 100 * MS);
    let mut count = 0.0;
    for _ in 0..360 {
        actions.extend(sender.advance(5 * MS));
        for (id, _, _) in sends(&std::mem::take(&mut actions)) {
            count += 1.0;
            let attempt = sender.attempts[&id.0] - 1;
            actions.extend(sender.end_attempt(id, attempt, Outcome::Success, 5 * MS));
        }
    }
    let (factor, capacity_share, window_s) = (2.0, 0.2 + 0.8 * 0.2, 2.0);
    let budget = factor * capacity_share * 20.0 * window_s;
    (count, budget)
}

#[test]
fn a_partner_is_cold_at_the_end_of_a_long_retry_after_and_gets_the_slow_start_budget() {
    // Found in the laboratory's cold return experiment: at the end of the Retry-After the whole backlog was
    // sent at once.
    let mut set = settings(vec![class(IDEMPOTENT)]);
    (set.may_hedge, set.senders) = (false, 3);
    let mut sender = TestSender::new(set);
    sender.list_endpoints(&[(0, 1, 0, 0)]);
    sender.warm_up(1, 0, 10, 50 * MS);
    let retry_after = 6 * S;
    let (id, _) = sender.accept(1, 0);
    let mut actions = sender.end_attempt(id, 0, Outcome::Overloaded { retry_after }, 0);
    (0..60).for_each(|_| actions.extend(sender.accept(1, 0).1));
    assert!(
        sends(&sender.advance(retry_after - 5 * MS)).is_empty() && sends(&actions).is_empty(),
        "nothing is sent during the Retry-After"
    );
    let mut count = 0.0;
    for _ in 0..400 {
        let actions = sender.advance(5 * MS);
        for (id, _, _) in sends(&actions) {
            count += 1.0;
            let attempt = sender.attempts[&id.0] - 1;
            sender.end_attempt(id, attempt, Outcome::Success, 5 * MS);
        }
    }
    let (factor, capacity_share, window_s) = (2.0, 0.2 + 0.8 * 0.2, 2.0);
    let budget = factor * capacity_share * 20.0 * window_s / 3.0;
    assert!(
        count > 2.0 && count <= budget,
        "{count} sent within the window, {budget} allowed"
    );
}

#[test]
fn single_lost_connections_are_no_outage() {
    let mut sender = two_endpoints(vec![class(IDEMPOTENT)]);
    sender.warm_up(1, 0, 8, 50 * MS);
    for round in 0..6 {
        let (id, _) = sender.accept(1, 0);
        sender.now += 50 * MS;
        if round % 3 == 0 {
            sender.end_attempt(id, 0, Outcome::ConnectionLost, 50 * MS);
            sender.now += 200 * MS;
            let retries = sends(&sender.turn(&[]));
            assert_eq!(retries.len(), 1, "it is retried soon");
            sender.end_attempt(id, 1, Outcome::Success, 50 * MS);
        } else {
            sender.end_attempt(id, 0, Outcome::Success, 50 * MS);
        }
    }
}

/// Guards against taking one fault of the network for an outage: it breaks all connections at once.
#[test]
fn connections_that_are_lost_together_are_no_outage() {
    let mut set = settings(vec![class(IDEMPOTENT)]);
    set.may_hedge = false;
    let mut sender = TestSender::new(set);
    sender.list_endpoints(&[(0, 1, 0, 0)]);
    sender.warm_up(1, 0, 8, 50 * MS);
    let ids: Vec<MessageId> = (0..4).map(|_| sender.accept(1, 0).0).collect();
    assert_eq!(sender.policy.in_flight_count(), ids.len());
    let mut actions = Vec::new();
    for id in &ids {
        sender.now += 5 * MS;
        actions.extend(sender.end_attempt(*id, 0, Outcome::ConnectionLost, 50 * MS));
    }
    actions.extend(sender.advance(400 * MS));
    assert_eq!(
        sends(&actions).len(),
        ids.len(),
        "all of them are retried soon"
    );
}

#[test]
fn stale_connections_are_no_outage_and_a_non_idempotent_message_on_one_is_not_retried() {
    let mut sender = two_endpoints(vec![
        class(Idempotency::Idempotent),
        class(Idempotency::NonIdempotent),
    ]);
    sender.warm_up(1, 0, 10, 100 * MS);
    for _ in 0..12 {
        let (id, actions) = sender.accept(1, 0);
        assert_eq!(sends(&actions).len(), 1, "the partner is healthy");
        assert_eq!(
            sends(&sender.end_attempt(id, 0, Outcome::StaleConnection, MS)).len(),
            1,
            "it is retried at once"
        );
        sender.end_attempt(id, 1, Outcome::Success, 100 * MS);
    }
    let (id, _) = sender.accept(1, 1);
    assert!(
        is_failed(&sender.end_attempt(id, 0, Outcome::StaleConnection, MS), id),
        "it may have run"
    );
}

#[test]
fn lost_connections_are_no_outage_but_unreachable_endpoints_are() {
    let mut sender = two_endpoints(vec![
        class(Idempotency::Idempotent),
        class(Idempotency::NonIdempotent),
    ]);
    sender.warm_up(1, 0, 20, 100 * MS);
    for _ in 0..10 {
        let (id, actions) = sender.accept(1, 0);
        assert_eq!(sends(&actions).len(), 1, "sends are not limited");
        sender.end_attempt(id, 0, Outcome::ConnectionLost, MS);
        let retries = sender.advance(90 * MS);
        assert_eq!(sends(&retries).len(), 1, "and it is retried after a delay");
        sender.end_attempt(id, 1, Outcome::Success, 100 * MS);
    }
    let (id, _) = sender.accept(1, 1);
    sender.end_attempt(id, 0, Outcome::Unreachable, MS);
    let mut attempts = 1;
    while sends(&sender.advance(300 * MS)).len() == 1 && attempts < 6 {
        sender.end_attempt(id, attempts, Outcome::Unreachable, MS);
        attempts += 1;
    }
    assert_eq!(attempts, 4, "then the sender backs off");
}

#[test]
fn three_consecutive_failures_are_no_outage() {
    let mut sender = two_endpoints(vec![class(IDEMPOTENT)]);
    for _ in 0..3 {
        let (id, _) = sender.accept(1, 0);
        sender.end_attempt(id, 0, Outcome::ConnectionLost, 0);
        sender.turn(&[Event::ClientLeft(id)]);
    }
    let sent: usize = (0..3).map(|_| sends(&sender.accept(1, 0).1).len()).sum();
    assert_eq!(sent, 3, "sends are not limited to single probes");
}
