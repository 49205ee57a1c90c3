//! Many senders with little traffic each: what they do together, and what one does on sparse evidence.

mod common;
use common::*;
use martenlatch_policy::Policy;
use martenlatch_policy::interface::*;
use rstest::rstest;
use std::collections::BTreeMap;

struct Sender {
    policy: Policy,
    attempts: BTreeMap<u64, u32>,
    due: Vec<(Nanos, MessageId, u32, Outcome)>,
    told: bool,
}

/// Plays one partner's outage and return. Gives the time since the return of each call that reached it, and
/// whether its sender had seen a call fail there.
fn returning(busy: usize) -> Vec<(f64, bool)> {
    let set = sparse();
    let mut senders: Vec<Sender> = (0..SENDERS as u64)
        .map(|seed| Sender {
            policy: Policy::new(set.clone(), seed).unwrap(),
            attempts: BTreeMap::new(),
            due: vec![],
            told: false,
        })
        .collect();
    let (mut dice, mut next, mut calls) = (9u64, 0u64, vec![]);
    let mut roll = move |n: usize| {
        dice = dice.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (dice >> 33) as usize % n
    };
    let (begin, end) = (5 * S, 15 * S);
    for step in 0..560u64 {
        let now = S + step * 50 * MS;
        // Eight tenths of the limit; one message in two comes to the busy few.
        let mut fresh = BTreeMap::new();
        if roll(100) < 40 {
            let who = if roll(2) == 0 { roll(busy) } else { roll(SENDERS) };
            next += 1;
            fresh.insert(who, next);
        }
        for (who, sender) in senders.iter_mut().enumerate() {
            let mut events = if step == 0 { vec![Event::EndpointList(vec![entry(0, 1)])] } else { vec![] };
            events.extend(fresh.get(&who).map(|id| Event::MessageAccepted {
                id: MessageId(*id),
                destination: DestinationId(1),
                class: ClassId(0),
                deadline: now + 20 * S,
                key: None,
            }));
            let (over, left): (Vec<_>, Vec<_>) = sender.due.iter().partition(|d| d.0 <= now);
            sender.due = left;
            for (_, id, attempt, outcome) in over {
                sender.told |= outcome != Outcome::Success;
                let finished = outcome == Outcome::Success;
                events.push(Event::AttemptEnded { id, attempt, outcome, took: 100 * MS, finished });
            }
            events.push(Event::Wake);
            let mut actions = Vec::new();
            sender.policy.turn(now, &events, &mut actions);
            for (id, _, _) in sends(&actions) {
                let attempt = sender.attempts.entry(id.0).or_insert(0);
                let down = (begin..end).contains(&now);
                let outcome = if down { Outcome::Unreachable } else { Outcome::Success };
                sender.due.push((now + 100 * MS, id, *attempt, outcome));
                *attempt += 1;
                if now >= end {
                    calls.push(((now - end) as f64 / 1e9, sender.told));
                }
            }
        }
    }
    calls
}

#[test]
fn many_senders_together_do_not_push_a_returning_partner_over() {
    for busy in [SENDERS, SENDERS / 10] {
        let calls = returning(busy);
        assert!(calls.iter().any(|c| c.1), "senders that saw the outage come back");
        for from in (0..100).map(|tenth| tenth as f64 / 10.0) {
            let within: Vec<_> = calls.iter().filter(|c| (from..from + 2.0).contains(&c.0)).collect();
            let told = within.iter().filter(|c| c.1).count();
            // Rule: factor x present capacity x span, where two thirds came from senders that had been told.
            let allowed = 2.0 * (0.2 + 0.8 * from / 10.0) * LIMIT * 2.0;
            let pushed = within.len() as f64 > allowed && 3 * told >= 2 * within.len();
            assert!(!pushed, "{told} of {} in a span from {from} s, {allowed} allowed", within.len());
        }
    }
}

/// One sender of many before a partner that is out for 5 s, and back for the rest: when its calls went there.
fn one_of_many(senders: u32, length: Nanos) -> Vec<Nanos> {
    let mut rig = Rig::new(Settings { senders, ..settings(vec![class(Idempotency::Idempotent)]) });
    rig.turn(&[Event::EndpointList(vec![EndpointEntry { weight: 60.0, ..entry(0, 1) }])]);
    rig.warm(1, 0, 8, 50 * MS);
    let (begin, mut sent, mut waits) = (rig.now, vec![], false);
    while rig.now < begin + length {
        // One message always waits.
        let actions = if waits { rig.advance(5 * MS) } else { rig.accept(1, 0).1 };
        waits = !actions.iter().any(|a| matches!(a, Action::Reject { .. }));
        rig.now += MS;
        let end = if rig.now < begin + 5 * S { Outcome::Unreachable } else { Outcome::Success };
        for (id, _, _) in sends(&actions) {
            sent.push(rig.now - begin);
            rig.end(id, rig.attempts[&id.0] - 1, end, MS);
            rig.turn(&[Event::ClientLeft(id)]);
            waits = false;
        }
    }
    sent
}

#[rstest]
#[case::few(2)]
#[case::many(48)]
#[case::a_hundred(100)]
#[case::fleet(300)]
fn a_return_gets_its_budget_evenly_from_when_it_began(#[case] senders: u32) {
    // Guards a partner that is back against standing idle: each sender of many may send it a call and a part in a
    // span, and the parts are a third of what it takes; and one that learns late that it is back is late to the end.
    let set = Settings { senders, ..settings(vec![class(Idempotency::Idempotent)]) };
    let sent = one_of_many(senders, 60 * S);
    let failed = *sent.iter().rfind(|t| **t < 5 * S).unwrap();
    let served = *sent.iter().find(|t| **t >= 5 * S).unwrap();
    // Its share of the told limit, the used part of the factor, warming up from half way.
    let fall = set.recovery;
    let back = served - ((served - failed) / 2).min(fall.overload_window);
    let warmth = |t: Nanos| (0.2 + 0.8 * (t.saturating_sub(back) as f64 / fall.duration as f64)).min(1.0);
    let owed = |t: Nanos| 0.8 * fall.overload_factor * 60.0 / f64::from(senders) * warmth(t) / 1e9;
    let steps = (served..back + fall.duration).step_by(MS as usize);
    let budget: f64 = steps.map(|t| owed(t) * MS as f64).sum();
    let within = sent.iter().filter(|t| (served..back + fall.duration).contains(*t)).count() as f64;
    println!("{senders} senders: out until {failed}, served at {served}: {within} of {budget:.1}");
    assert!(within <= 1.2 * budget + 2.0, "no more than its budget");
    assert!(within >= 0.9 * budget - 0.5, "and most of it");
}

#[test]
fn one_refused_connection_rests_the_route_where_shares_are_small() {
    let mut rig = Rig::new(sparse());
    rig.turn(&[Event::EndpointList(vec![entry(0, 1), entry(1, 2)])]);
    let (id, _) = rig.accept(1, 0);
    rig.end(id, 0, Outcome::Unreachable, 0);
    assert!(sends(&rig.advance(4 * S)).is_empty(), "all that saw it would come back at once");
    assert_eq!(sends(&rig.accept(2, 0).1).len(), 1, "other destinations are not meant");
    rig.advance(26 * S);
    assert_eq!(
        sends(&rig.accept(1, 0).1).len(),
        1,
        "two cold times and a half on at most, it is tried again"
    );
}

#[test]
fn a_return_began_before_it_was_seen_by_a_span_at_most() {
    // Guards a cold partner against those that rested long: half way back alone would have them think it warm.
    let mut rig = Rig::new(sparse());
    rig.turn(&[Event::EndpointList(vec![entry(0, 1)])]);
    let (id, _) = rig.accept(1, 0);
    rig.end(id, 0, Outcome::Unreachable, 0);
    rig.now += 40 * S;
    let (id, actions) = rig.accept(1, 0);
    assert_eq!(sends(&actions).len(), 1);
    rig.end(id, 0, Outcome::Success, MS);
    let outage = rig.policy.observations(rig.now, None, 1).0[0].outage;
    assert_eq!(outage, Some(Outage::Recovering { elapsed: 2 * S }));
}

#[test]
fn a_single_error_does_not_lock_a_partner_out() {
    let mut rig = Rig::new(sparse());
    rig.turn(&[Event::EndpointList(vec![entry(0, 1)])]);
    let (id, _) = rig.accept(1, 0);
    rig.end(id, 0, Outcome::Failure, 0);
    assert_eq!(sends(&rig.advance(2 * S)).len(), 1);
}

#[test]
fn first_sends_keep_to_the_share_where_tries_after_refusals_do_not_pay() {
    let mut rig = Rig::new(sparse());
    rig.turn(&[Event::EndpointList((0..60).map(|n| entry(n, u64::from(n))).collect())]);
    for destination in 0..59 {
        for _ in 0..2 {
            let (id, actions) = rig.accept(destination, 0);
            assert_eq!(sends(&actions).len(), 1);
            rig.end(id, 0, OVERLOADED, 0);
            rig.turn(&[Event::ClientLeft(id)]);
            rig.now += 40 * S; // a refused sender rests
        }
    }
    let (id, actions) = rig.accept(59, 0);
    assert_eq!(sends(&actions).len(), 1);
    rig.now += 100 * MS;
    rig.end(id, 0, Outcome::Success, 100 * MS);
    let (_, actions) = rig.accept(59, 0);
    let sent = sends(&[actions, rig.advance(3 * S)].concat());
    assert!(sent.is_empty(), "a second one would use up the share of others");
}

#[rstest]
#[case::few(2, 1, 50)]
#[case::many(48, 1, 800)]
#[case::a_hundred(100, 1, 1_667)]
#[case::fleet(300, 1, 5_000)]
// Three that were out together are one refusal.
#[case::fleet_with_three_out(300, 3, 5_000)]
fn a_refused_sender_rests_for_the_time_of_an_even_share(
    #[case] senders: u32, #[case] calls: usize, #[case] mean_ms: u64,
) {
    // Guards a partner whose refused calls count: one call a second from each of a fleet keeps it shut for all,
    // though each has seen only one refusal or two. A refused call counts once: a rest of two shares took out two.
    let mut rests = vec![];
    for seed in 0..20 {
        let set = Settings { senders, ..settings(vec![class(Idempotency::Idempotent)]) };
        let mut rig = Rig::seeded(set, seed);
        rig.turn(&[Event::EndpointList(vec![EndpointEntry { weight: 60.0, ..entry(0, 1) }])]);
        let out: Vec<_> = (0..calls).map(|_| rig.accept(1, 0).0).collect();
        rig.now += MS;
        out.into_iter().for_each(|id| drop(rig.end(id, 0, OVERLOADED, MS)));
        let from = rig.now;
        while sends(&rig.advance(20 * MS)).is_empty() && rig.now < from + 19 * S {}
        rests.push((rig.now - from) / MS);
    }
    let (least, most) = (*rests.iter().min().unwrap(), *rests.iter().max().unwrap());
    let mean = rests.iter().sum::<u64>() / rests.len() as u64;
    println!("{senders} senders: {least} to {most} ms, {mean} in the mean");
    assert!(mean > mean_ms * 3 / 4 && mean < mean_ms * 5 / 4, "{rests:?}");
    assert!(most - least > mean_ms / 10, "spread by their seeds: {rests:?}");
}

#[rstest]
#[case::too_small_to_count(1e-300)]
#[case::too_large_to_count(1e300)]
fn a_figure_that_no_partner_has_stops_no_sender(#[case] weight: f64) {
    // Guards the sender against what discovery may tell: times that follow from it are beyond any clock.
    let mut rig = Rig::new(Settings { senders: 300, ..settings(vec![class(Idempotency::Idempotent)]) });
    // Clocks that count from 1970 are a tenth of the way to the end of their range.
    rig.now = 1_800_000_000 * S;
    let list = (0..9).map(|n| EndpointEntry { weight, ..entry(n, u64::from(n)) }).collect();
    rig.turn(&[Event::EndpointList(list)]);
    let (id, destination, class, deadline) = (MessageId(900), DestinationId(0), ClassId(0), rig.now + 12 * S);
    rig.turn(&[Event::MessageResumed {
        id,
        destination,
        class,
        deadline,
        attempts: 0,
        may_have_run_since: None,
    }]);
    for round in 0..9 {
        for destination in 0..9 {
            let (id, actions) = rig.accept(destination, 0);
            for (sent, _, _) in sends(&[actions, rig.advance(S)].concat()).into_iter().filter(|s| s.0 == id) {
                let (attempt, end) =
                    (rig.attempts[&sent.0] - 1, if round < 8 { OVERLOADED } else { Outcome::Success });
                rig.end(sent, attempt, end, MS);
            }
            rig.turn(&[Event::ClientLeft(id)]);
        }
        rig.now += 40 * S;
    }
    assert!(rig.attempts.len() >= 9, "each partner is called: {:?}", rig.attempts);
}

#[rstest]
#[case::few(2, 33, None)]
#[case::many(48, 800, None)]
#[case::fleet(300, 5_000, None)]
// Half of what is left of its window: 4.5 s from a first call 2 s ago.
#[case::inside_a_window(300, 1_250, Some(2 * S))]
fn what_a_fleet_resumes_is_spread_over_an_even_share(
    #[case] senders: u32, #[case] most_ms: u64, #[case] ran_ago: Option<Nanos>,
) {
    // Guards partners against seven in ten senders that were killed together and come back at one instant, each
    // with what it held.
    let keyed = Idempotency::IdempotencyKey { per_zone: false, window: 5 * S + 300 * MS };
    let mut left = vec![];
    for seed in 0..40 {
        let mut rig = Rig::seeded(Settings { senders, ..settings(vec![class(keyed)]) }, seed);
        rig.now = 100 * S;
        rig.turn(&[Event::EndpointList(vec![EndpointEntry { weight: 60.0, ..entry(0, 1) }])]);
        let (id, destination, class, deadline) =
            (MessageId(1), DestinationId(1), ClassId(0), rig.now + 12 * S);
        let may_have_run_since = ran_ago.map(|ago| rig.now - ago);
        let (from, attempts) = (rig.now, u32::from(may_have_run_since.is_some()));
        let mut sent = sends(&rig.turn(&[Event::MessageResumed {
            id,
            destination,
            class,
            deadline,
            attempts,
            may_have_run_since,
        }]));
        while sent.is_empty() && rig.now < deadline {
            sent = sends(&rig.advance(5 * MS));
        }
        assert_eq!(sent.len(), 1, "it is sent, {} ms on", (rig.now - from) / MS);
        left.push((rig.now - from) / MS);
    }
    left.sort_unstable();
    println!("{senders} senders: {left:?} ms");
    assert!(left[39] <= most_ms + 50, "no later than it may: {left:?}");
    assert!(left[20] > most_ms / 4 && left[39] - left[0] > most_ms / 2, "spread: {left:?}");
}
