//! A fleet of senders with the same history and different seeds: their actions are spread over time and
//! endpoints.

mod common;
use common::*;
use martenlatch_policy::interface::*;
use std::collections::BTreeMap;

const FLEET: u64 = 12;

/// Senders of a fleet, each after the same successful calls to the same endpoints of destination 1.
fn fleet(endpoints: u32) -> Vec<TestSender> {
    let set = || Settings {
        senders: FLEET as u32,
        max_retry_after: Some(3 * S),
        ..settings(vec![class(Idempotency::Idempotent)])
    };
    let mut senders: Vec<TestSender> = (1..=FLEET)
        .map(|seed| TestSender::seeded(set(), seed))
        .collect();
    let listed: Vec<_> = (0..endpoints).map(|e| (e, 1, 0, 0)).collect();
    for sender in &mut senders {
        sender.list_endpoints(&listed);
        sender.warm_up(1, 0, 12, 100 * MS);
    }
    senders
}

/// Largest number of these instants that lie within a window of this length.
fn max_in_window(mut times: Vec<Nanos>, window: Nanos) -> usize {
    times.sort_unstable();
    times
        .iter()
        .map(|start| {
            times
                .iter()
                .filter(|time| **time >= *start && **time < *start + window)
                .count()
        })
        .max()
        .unwrap_or(0)
}

/// The time of each sender's next send, if it comes within `duration`.
fn next_sends(senders: &mut [TestSender], duration: Nanos) -> Vec<Nanos> {
    let first = |sender: &mut TestSender| {
        let until = sender.now + duration;
        while sender.now < until {
            sender.now += 5 * MS;
            if !sends(&sender.turn(&[Event::Wake])).is_empty() {
                return Some(sender.now);
            }
        }
        None
    };
    senders.iter_mut().filter_map(first).collect()
}

#[test]
fn senders_with_the_same_short_retry_after_return_spread_out_after_its_end() {
    let mut senders = fleet(2);
    let retry_after = 1_000 * MS;
    let ends: Vec<Nanos> = senders
        .iter_mut()
        .map(|sender| {
            let (id, _) = sender.accept(1, 0);
            sender.end_attempt(id, 0, Outcome::Overloaded { retry_after }, 5 * MS);
            sender.now + retry_after
        })
        .collect();
    let sent = next_sends(&mut senders, 4 * S);
    assert_eq!(sent.len() as u64, FLEET, "all senders return");
    let after: Vec<Nanos> = sent
        .iter()
        .zip(&ends)
        .map(|(at, end)| at.checked_sub(*end).expect("no send before the end"))
        .collect();
    println!(
        "after the end of the Retry-After, ms: {:?}",
        after.iter().map(|a| a / MS).collect::<Vec<_>>()
    );
    assert!(
        max_in_window(after, 20 * MS) as u64 <= FLEET / 2,
        "at most half of the senders return together"
    );
}

#[test]
fn clients_rejected_together_get_different_retry_afters_that_end_after_the_partners() {
    for (partner_retry_after, least) in [(30 * S, 2_250 * MS), (1_500 * MS, 1_500 * MS)] {
        let mut senders = fleet(2);
        let mut advised = Vec::new();
        for sender in &mut senders {
            let (id, _) = sender.accept(1, 0);
            let mut actions = sender.end_attempt(
                id,
                0,
                Outcome::Overloaded {
                    retry_after: partner_retry_after,
                },
                5 * MS,
            );
            // These messages have no time left after the Retry-After, so that nothing can be sent.
            let late: Vec<Event> = (0..4)
                .map(|_| sender.new_message(1, 0, partner_retry_after.min(S), None))
                .collect();
            actions.extend(sender.turn(&late));
            let advice = |a: &Action| match a {
                Action::Reject { retry_after, .. } => *retry_after,
                _ => None,
            };
            let advice: Vec<Nanos> = actions.iter().filter_map(advice).collect();
            assert!(advice.len() >= 4, "{actions:?}");
            advised.extend(advice);
        }
        assert!(
            advised.iter().all(|t| (least..=3 * S).contains(t)),
            "{advised:?}"
        );
        let most = max_in_window(advised.clone(), 20 * MS);
        println!(
            "{} clients advised, at most {most} within 20 ms",
            advised.len()
        );
        assert!(
            most * 4 <= advised.len(),
            "{most} of {} get the same: {advised:?}",
            advised.len()
        );
    }
}

#[test]
fn probes_of_different_senders_after_an_outage_are_spread() {
    let mut senders = fleet(2);
    for sender in &mut senders {
        let ids: Vec<MessageId> = (0..5).map(|_| sender.accept(1, 0).0).collect();
        sender.now += 50 * MS;
        ids.into_iter()
            .for_each(|id| drop(sender.end_attempt(id, 0, Outcome::Unreachable, 50 * MS)));
    }
    let sent = next_sends(&mut senders, 8 * S);
    println!(
        "first probes, ms: {:?}",
        sent.iter().map(|a| a / MS).collect::<Vec<_>>()
    );
    assert_eq!(sent.len() as u64, FLEET, "all senders probe");
    assert!(
        max_in_window(sent, 20 * MS) as u64 <= FLEET / 2,
        "at most half of the senders probe together"
    );
}

#[test]
fn hedges_of_many_senders_are_spread_over_the_other_endpoints() {
    // The endpoint that each sender chooses first does not respond. Of the other three, one is a little
    // faster.
    let mut senders = fleet(4);
    let mut by_endpoint: BTreeMap<u32, usize> = BTreeMap::new();
    let mut hedges = Vec::new();
    for sender in &mut senders {
        let first = sends(&sender.accept(1, 0).1)[0].1;
        let from = sender.now;
        while sender.now < from + 400 * MS {
            sender.now += 5 * MS;
            for (_, endpoint, _) in sends(&sender.turn(&[Event::Wake])) {
                assert_ne!(endpoint, first, "a hedge prefers another endpoint");
                *by_endpoint.entry(endpoint.0).or_default() += 1;
                hedges.push(sender.now - from);
            }
        }
    }
    println!(
        "hedges after, ms: {:?}; by endpoint: {by_endpoint:?}",
        hedges.iter().map(|delay| delay / MS).collect::<Vec<_>>()
    );
    assert_eq!(hedges.len() as u64, FLEET, "one hedge for each sender");
    assert!(by_endpoint.len() >= 3, "{by_endpoint:?}");
}

#[test]
fn senders_that_start_together_spread_their_first_calls_over_the_endpoints_and_send_no_hedges() {
    let set = || Settings {
        senders: FLEET as u32,
        ..settings(vec![class(Idempotency::Idempotent)])
    };
    let mut by_endpoint: BTreeMap<u32, usize> = BTreeMap::new();
    let mut hedges = Vec::new();
    for seed in 1..=FLEET {
        let mut sender = TestSender::seeded(set(), seed);
        sender.list_endpoints(&[(0, 1, 0, 0), (1, 1, 0, 0), (2, 1, 0, 0)]);
        let (id, actions) = sender.accept(1, 0);
        *by_endpoint.entry(sends(&actions)[0].1.0).or_default() += 1;
        let from = sender.now;
        while sender.now < from + 900 * MS {
            sender.now += 5 * MS;
            hedges.extend(
                sends(&sender.turn(&[Event::Wake]))
                    .iter()
                    .map(|_| sender.now - from),
            );
        }
        sender.end_attempt(id, 0, Outcome::Success, 900 * MS);
    }
    println!(
        "first calls by endpoint: {by_endpoint:?}; hedges of unanswered first calls: {}",
        hedges.len()
    );
    assert!(
        by_endpoint.len() == 3
            && by_endpoint
                .values()
                .all(|count| count * 3 <= FLEET as usize * 2),
        "{by_endpoint:?}"
    );
    assert!(
        hedges.is_empty(),
        "no latency is known yet that could set a hedge delay: {hedges:?}"
    );
}

/// Sends messages to a healthy destination for 20 s, beside a flood to another destination, which never
/// responds: `flood` messages every 5 ms with `time_left` until their deadline. Returns how many messages to
/// the healthy destination succeeded, and how many were not accepted.
fn run_beside_flood(seed: u64, flood: usize, time_left: Nanos) -> (usize, usize) {
    let set = settings(vec![class(Idempotency::Idempotent)]);
    let (max_in_flight, max_open) = (set.max_in_flight, set.max_open_messages);
    let mut sender = TestSender::seeded(set, seed);
    sender.list_endpoints(&[(0, 1, 0, 0), (1, 1, 0, 0), (2, 2, 0, 0)]);
    sender.warm_up(1, 0, 8, 100 * MS);
    let (mut open, mut in_flight) = (BTreeMap::new(), Vec::new());
    let (mut succeeded, mut not_accepted, from) = (0, 0, sender.now);
    for step in 0..4_000u64 {
        sender.now = from + step * 5 * MS;
        let (mut events, mut due) = (Vec::new(), Vec::new());
        in_flight.retain(|&(end, id, attempt, healthy)| {
            due.extend((end <= sender.now).then_some((id, attempt, healthy)));
            end > sender.now
        });
        for (id, attempt, healthy) in due {
            let outcome = if healthy {
                Outcome::Success
            } else {
                Outcome::TimedOut
            };
            succeeded += usize::from(healthy && open.remove(&id).is_some());
            events.push(Event::AttemptEnded {
                id,
                attempt,
                outcome,
                took: 100 * MS,
                finished: healthy,
            });
        }
        for (destination, message_time_left) in (0..flood)
            .map(|_| (2, time_left))
            .chain((step % 20 == 0).then_some((1, 8 * S)))
        {
            let event = sender.new_message(destination, 0, message_time_left, None);
            let Event::MessageAccepted { id, .. } = event else {
                unreachable!()
            };
            // As in the sender, the limit is checked before the module sees the new messages.
            if open.len() < max_open {
                open.insert(id, destination);
                events.push(event);
            } else {
                not_accepted += usize::from(destination == 1);
            }
        }
        for action in sender.turn(&events) {
            match action {
                Action::Send {
                    id,
                    endpoint,
                    timeout,
                    ..
                } => {
                    let (healthy, attempt) = (endpoint.0 < 2, sender.attempts[&id.0] - 1);
                    in_flight.push((
                        sender.now + if healthy { 100 * MS } else { timeout },
                        id,
                        attempt,
                        healthy,
                    ));
                    assert!(in_flight.len() <= max_in_flight);
                }
                Action::Cancel { id, attempt } => {
                    in_flight
                        .iter_mut()
                        .filter(|(_, message, number, _)| (*message, *number) == (id, attempt))
                        .for_each(|(end, _, _, healthy)| (*end, *healthy) = (0, false));
                }
                Action::Reject { id, .. } | Action::Fail { id } => drop(open.remove(&id)),
                _ => {}
            }
        }
    }
    (succeeded, not_accepted)
}

fn assert_others_are_not_affected(flood: usize, time_left: Nanos) {
    let (mut with, mut without) = ((0, 0), (0, 0));
    for seed in 1..=4 {
        let (a, b) = (
            run_beside_flood(seed, flood, time_left),
            run_beside_flood(seed, 0, time_left),
        );
        with = (with.0 + a.0, with.1 + a.1);
        without = (without.0 + b.0, without.1 + b.1);
    }
    println!(
        "{flood} every 5 ms, {} ms left: succeeded, not accepted {with:?}, without {without:?}",
        time_left / MS
    );
    assert!(
        with.0 * 100 >= without.0 * 95,
        "other destinations lose messages: {with:?} of {without:?}"
    );
}

#[test]
fn a_flood_with_short_deadlines_leaves_capacity_to_other_destinations() {
    assert_others_are_not_affected(2, 10 * MS);
}

#[test]
fn a_flood_with_long_deadlines_leaves_capacity_to_other_destinations() {
    assert_others_are_not_affected(2, 8 * S);
}
