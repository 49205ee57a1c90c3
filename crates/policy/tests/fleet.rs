//! A fleet of senders with one history and a seed each: what they do at the same instant, and where it lands.

mod common;
use common::*;
use martenlatch_policy::interface::*;
use std::collections::BTreeMap;

const FLEET: u64 = 12;

/// Senders of a fleet that have each had the same calls served by the same endpoints of partner 1.
fn fleet(endpoints: u32) -> Vec<Rig> {
    let set = || Settings {
        senders: FLEET as u32,
        max_retry_after: Some(3 * S),
        ..settings(vec![class(Idempotency::Idempotent)])
    };
    let mut all: Vec<Rig> = (1..=FLEET).map(|seed| Rig::seeded(set(), seed)).collect();
    let listed: Vec<_> = (0..endpoints).map(|e| (e, 1, 0, 0)).collect();
    for rig in &mut all {
        rig.list(&listed);
        rig.warm(1, 0, 12, 100 * MS);
    }
    all
}

/// How many of the fleet did something in the fullest window of so long, of instants that lie together.
fn fullest(mut at: Vec<Nanos>, window: Nanos) -> usize {
    at.sort_unstable();
    at.iter()
        .map(|from| at.iter().filter(|t| **t >= *from && **t < *from + window).count())
        .max()
        .unwrap_or(0)
}

/// When each sender's next call leaves, within a span.
fn next_sends(all: &mut [Rig], span: Nanos) -> Vec<Nanos> {
    let first = |rig: &mut Rig| {
        let until = rig.now + span;
        while rig.now < until {
            rig.now += 5 * MS;
            if !sends(&rig.turn(&[Event::Wake])).is_empty() {
                return Some(rig.now);
            }
        }
        None
    };
    all.iter_mut().filter_map(first).collect()
}

#[test]
fn senders_told_of_one_short_wait_come_spread_behind_its_end() {
    let mut all = fleet(2);
    let wait = 1_000 * MS;
    let ends: Vec<Nanos> = all
        .iter_mut()
        .map(|rig| {
            let (id, _) = rig.accept(1, 0);
            rig.end(id, 0, Outcome::Overloaded { retry_after: wait }, 5 * MS);
            rig.now + wait
        })
        .collect();
    let sent = next_sends(&mut all, 4 * S);
    assert_eq!(sent.len() as u64, FLEET, "all come");
    let after: Vec<Nanos> =
        sent.iter().zip(&ends).map(|(at, end)| at.checked_sub(*end).expect("never early")).collect();
    println!("after the end of the wait, ms: {:?}", after.iter().map(|a| a / MS).collect::<Vec<_>>());
    assert!(fullest(after, 20 * MS) as u64 <= FLEET / 2, "they come together");
}

#[test]
fn clients_refused_together_are_told_to_return_apart_and_never_before_the_partner_opens() {
    for (wait, least) in [(30 * S, 2_250 * MS), (1_500 * MS, 1_500 * MS)] {
        let mut all = fleet(2);
        let mut told = Vec::new();
        for rig in &mut all {
            let (id, _) = rig.accept(1, 0);
            let mut actions = rig.end(id, 0, Outcome::Overloaded { retry_after: wait }, 5 * MS);
            // With no time left behind the wait nothing can be sent any more.
            let late: Vec<Event> = (0..4).map(|_| rig.message(1, 0, wait.min(S), None)).collect();
            actions.extend(rig.turn(&late));
            let advice = |a: &Action| match a {
                Action::Reject { retry_after, .. } => *retry_after,
                _ => None,
            };
            let advice: Vec<Nanos> = actions.iter().filter_map(advice).collect();
            assert!(advice.len() >= 4, "{actions:?}");
            told.extend(advice);
        }
        assert!(told.iter().all(|t| (least..=3 * S).contains(t)), "{told:?}");
        let most = fullest(told.clone(), 20 * MS);
        println!("{} told, at most {most} within 20 ms", told.len());
        assert!(most * 4 <= told.len(), "{most} of {} are told the same: {told:?}", told.len());
    }
}

#[test]
fn trials_of_an_outage_and_the_return_do_not_fall_together() {
    let mut all = fleet(2);
    for rig in &mut all {
        let ids: Vec<MessageId> = (0..5).map(|_| rig.accept(1, 0).0).collect();
        rig.now += 50 * MS;
        ids.into_iter().for_each(|id| drop(rig.end(id, 0, Outcome::Unreachable, 50 * MS)));
    }
    let sent = next_sends(&mut all, 8 * S);
    println!("first trials, ms: {:?}", sent.iter().map(|a| a / MS).collect::<Vec<_>>());
    assert_eq!(sent.len() as u64, FLEET, "all try");
    assert!(fullest(sent, 20 * MS) as u64 <= FLEET / 2, "they try together");
}

#[test]
fn copies_of_a_common_stall_are_spread_over_the_endpoints_that_are_left() {
    // The endpoint that each sender would choose stops answering; three are left, one of them a little quicker.
    let mut all = fleet(4);
    let mut landed: BTreeMap<u32, usize> = BTreeMap::new();
    let mut copies = Vec::new();
    for rig in &mut all {
        let first = sends(&rig.accept(1, 0).1)[0].1;
        let from = rig.now;
        while rig.now < from + 400 * MS {
            rig.now += 5 * MS;
            for (_, endpoint, _) in sends(&rig.turn(&[Event::Wake])) {
                assert_ne!(endpoint, first, "a copy prefers another endpoint");
                *landed.entry(endpoint.0).or_default() += 1;
                copies.push(rig.now - from);
            }
        }
    }
    println!(
        "copies after, ms: {:?}; by endpoint: {landed:?}",
        copies.iter().map(|c| c / MS).collect::<Vec<_>>()
    );
    assert_eq!(copies.len() as u64, FLEET, "one each");
    assert!(landed.len() >= 3, "{landed:?}");
}

#[test]
fn a_fleet_that_starts_at_once_spreads_its_first_calls_over_the_endpoints_and_sends_no_wave_of_copies() {
    let set = || Settings { senders: FLEET as u32, ..settings(vec![class(Idempotency::Idempotent)]) };
    let mut landed: BTreeMap<u32, usize> = BTreeMap::new();
    let mut copies = Vec::new();
    for seed in 1..=FLEET {
        let mut rig = Rig::seeded(set(), seed);
        rig.list(&[(0, 1, 0, 0), (1, 1, 0, 0), (2, 1, 0, 0)]);
        let (id, actions) = rig.accept(1, 0);
        *landed.entry(sends(&actions)[0].1.0).or_default() += 1;
        let from = rig.now;
        while rig.now < from + 900 * MS {
            rig.now += 5 * MS;
            copies.extend(sends(&rig.turn(&[Event::Wake])).iter().map(|_| rig.now - from));
        }
        rig.end(id, 0, Outcome::Success, 900 * MS);
    }
    println!("first calls by endpoint: {landed:?}; copies of unanswered first calls: {}", copies.len());
    assert!(landed.len() == 3 && landed.values().all(|count| count * 3 <= FLEET as usize * 2), "{landed:?}");
    assert!(copies.is_empty(), "nothing is known yet that a copy could go by: {copies:?}");
}

/// Of messages to a well partner for 20 s, how many were served and how many turned away, beside a flood to another:
/// so many messages every 5 ms with so long left, which that partner never answers.
fn beside_a_flood(seed: u64, flood: usize, left: Nanos) -> (usize, usize) {
    let set = settings(vec![class(Idempotency::Idempotent)]);
    let (slots, hold) = (set.max_in_flight, set.max_open_messages);
    let mut rig = Rig::seeded(set, seed);
    rig.list(&[(0, 1, 0, 0), (1, 1, 0, 0), (2, 2, 0, 0)]);
    rig.warm(1, 0, 8, 100 * MS);
    let (mut live, mut out) = (BTreeMap::new(), Vec::new());
    let (mut served, mut turned_away, from) = (0, 0, rig.now);
    for step in 0..4_000u64 {
        rig.now = from + step * 5 * MS;
        let (mut events, mut due) = (Vec::new(), Vec::new());
        out.retain(|&(at, id, no, well)| {
            due.extend((at <= rig.now).then_some((id, no, well)));
            at > rig.now
        });
        for (id, attempt, well) in due {
            let outcome = if well { Outcome::Success } else { Outcome::TimedOut };
            served += usize::from(well && live.remove(&id).is_some());
            events.push(Event::AttemptEnded { id, attempt, outcome, took: 100 * MS, finished: well });
        }
        for (destination, span) in (0..flood).map(|_| (2, left)).chain((step % 20 == 0).then_some((1, 8 * S)))
        {
            let event = rig.message(destination, 0, span, None);
            let Event::MessageAccepted { id, .. } = event else { unreachable!() };
            // As the sender does: room is counted before the module has seen what comes.
            if live.len() < hold {
                live.insert(id, destination);
                events.push(event);
            } else {
                turned_away += usize::from(destination == 1);
            }
        }
        for action in rig.turn(&events) {
            match action {
                Action::Send { id, endpoint, timeout, .. } => {
                    let (well, no) = (endpoint.0 < 2, rig.attempts[&id.0] - 1);
                    out.push((rig.now + if well { 100 * MS } else { timeout }, id, no, well));
                    assert!(out.len() <= slots);
                }
                Action::Cancel { id, attempt } => {
                    out.iter_mut()
                        .filter(|o| (o.1, o.2) == (id, attempt))
                        .for_each(|o| (o.0, o.3) = (0, false));
                }
                Action::Reject { id, .. } | Action::Fail { id } => drop(live.remove(&id)),
                _ => {}
            }
        }
    }
    (served, turned_away)
}

fn others_keep(flood: usize, left: Nanos) {
    let (mut with, mut without) = ((0, 0), (0, 0));
    for seed in 1..=4 {
        let (a, b) = (beside_a_flood(seed, flood, left), beside_a_flood(seed, 0, left));
        with = (with.0 + a.0, with.1 + a.1);
        without = (without.0 + b.0, without.1 + b.1);
    }
    println!("{flood} every 5 ms, {} ms left: served, turned away {with:?}, without {without:?}", left / MS);
    assert!(with.0 * 100 >= without.0 * 95, "others lose by it: {with:?} of {without:?}");
}

#[test]
fn a_flood_with_hardly_any_time_left_leaves_the_others_their_slots_and_room() {
    others_keep(2, 10 * MS);
}

#[test]
fn a_flood_with_time_left_leaves_the_others_their_room() {
    others_keep(2, 8 * S);
}
