//! What the module does with what other senders know: each test causes what a blind newcomer gets wrong.

mod common;
use common::*;
use martenlatch_policy::interface::*;

fn told(destination: u64) -> GossipedState {
    GossipedState {
        destination: DestinationId(destination),
        endpoint: None,
        remaining_retry_after: 0,
        pacing_interval: 0,
        rate_limit: None,
        latencies: vec![],
        outage: None,
    }
}

fn newcomer(told: GossipedState) -> Rig {
    let mut rig = Rig::new(settings(vec![class(IDEMPOTENT)]));
    rig.now = 100 * S;
    rig.list(&[(0, 1, 0, 0), (1, 1, 1, 0), (2, 2, 0, 0)]);
    rig.turn(&[Event::Gossip(told)]);
    rig
}

/// Sends within a span, with every call answered after 50 ms as told.
fn served(rig: &mut Rig, span: Nanos, each: Nanos, outcome: Outcome) -> Vec<Nanos> {
    let mut out = Vec::<(Nanos, MessageId, u32)>::new();
    let (mut sent, mut next) = (Vec::new(), rig.now);
    let until = rig.now + span;
    while rig.now < until {
        rig.now += 5 * MS;
        let mut events = vec![Event::Wake];
        if rig.now >= next {
            next += each;
            events.push(rig.message(1, 0, 20 * S, None));
        }
        let due: Vec<(MessageId, u32)> =
            out.iter().filter(|(at, ..)| *at <= rig.now).map(|(_, id, no)| (*id, *no)).collect();
        out.retain(|(at, ..)| *at > rig.now);
        for (id, attempt) in due {
            let finished = outcome == Outcome::Success;
            let took = 50 * MS;
            events.push(Event::AttemptEnded { id, attempt, outcome, took, finished });
        }
        for (id, ..) in sends(&rig.turn(&events)) {
            sent.push(rig.now);
            out.push((rig.now + 50 * MS, id, rig.attempts[&id.0] - 1));
        }
    }
    sent
}

#[test]
fn a_wait_that_was_only_told_of_binds_wholly_and_no_longer() {
    let mut rig = newcomer(GossipedState { remaining_retry_after: 3 * S, ..told(1) });
    let (id, actions) = rig.accept(1, 0);
    assert!(sends(&actions).is_empty());
    assert!(sends(&rig.advance(2_990 * MS)).is_empty());
    assert_eq!(sends(&rig.advance(50 * MS))[0].0, id);
    assert_eq!(sends(&rig.accept(2, 0).1).len(), 1, "another destination is not bound");
}

#[test]
fn a_wait_binds_one_that_has_sent_there_before_too() {
    let mut rig = newcomer(told(2));
    rig.warm(1, 0, 3, 100 * MS);
    rig.turn(&[Event::Gossip(GossipedState {
        remaining_retry_after: S,
        pacing_interval: S,
        outage: Some(Outage::Unresponsive),
        ..told(1)
    })]);
    assert!(sends(&rig.accept(1, 0).1).is_empty());
    assert_eq!(
        sends(&rig.advance(1_010 * MS)).len(),
        1,
        "but what it has seen itself is not unseen: no outage"
    );
}

#[test]
fn one_told_of_an_outage_tries_alone_and_returns_within_the_budget() {
    // 20 a second are listed: a fifth of 40, rising to a third, twice over, in two seconds at most when it is back.
    let cold = served(&mut newcomer(told(1)), 3 * S, 40 * MS, Outcome::Success);
    let learned = served(
        &mut newcomer(GossipedState { outage: Some(Outage::Unresponsive), ..told(1) }),
        3 * S,
        40 * MS,
        Outcome::Success,
    );
    let within = |sent: &[Nanos], span: Nanos| sent.iter().filter(|at| **at <= 100 * S + span).count();
    assert!(within(&cold, 2 * S) > 40, "a blind newcomer hammers it");
    assert!(within(&learned, 200 * MS) <= 1, "it begins with a single trial");
    assert!((2..=25).contains(&within(&learned, 2 * S)), "{learned:?}");
}

#[test]
fn one_told_of_a_shut_partner_does_not_push_it_over_at_the_end_of_its_wait() {
    let shut = GossipedState { remaining_retry_after: 4 * S, outage: Some(Outage::Rejecting), ..told(1) };
    let sent = served(&mut newcomer(shut), 6 * S, 40 * MS, Outcome::Success);
    assert!(sent.iter().all(|at| *at >= 104 * S));
    // Twice what it can take in the two seconds after its wait.
    assert!((2..=25).contains(&sent.len()), "{}", sent.len());
}

#[test]
fn one_told_that_a_partner_is_just_back_keeps_within_its_ramp() {
    let back = |elapsed: Nanos| {
        let told = GossipedState { outage: Some(Outage::Recovering { elapsed }), ..told(1) };
        served(&mut newcomer(told), 2 * S, 40 * MS, Outcome::Success).len()
    };
    assert!(back(0) <= 25, "{}", back(0));
    assert!(back(0) < back(5 * S) && back(5 * S) < back(30 * S), "warm again after its cold time");
}

#[test]
fn what_was_told_before_an_outage_does_not_raise_the_pace_after_it() {
    // Where no limit is listed. The partner fails at the first calls, and comes back.
    let returned = |told: Option<GossipedState>| {
        let mut set = settings(vec![class(IDEMPOTENT)]);
        set.weight_meaning = EndpointWeights::Ignored;
        let mut rig = Rig::new(set);
        rig.now = 100 * S;
        rig.list(&[(0, 1, 0, 0), (1, 1, 1, 0)]);
        rig.turn(&told.into_iter().map(Event::Gossip).collect::<Vec<_>>());
        served(&mut rig, 4 * S, 100 * MS, Outcome::Unreachable);
        served(&mut rig, 2 * S, 25 * MS, Outcome::Success).len()
    };
    let known = GossipedState { latencies: vec![50 * MS; 12], ..told(1) };
    assert!(returned(Some(known)) <= returned(None));
}

#[test]
fn a_told_gap_paces_from_the_first_call_and_falls_as_calls_are_served() {
    let sent = served(
        &mut newcomer(GossipedState { pacing_interval: 400 * MS, ..told(1) }),
        4 * S,
        100 * MS,
        Outcome::Success,
    );
    assert!(sent[1] - sent[0] >= 200 * MS);
    let last = sent.len() - 1;
    assert!(sent[last] - sent[last - 1] <= 110 * MS, "it is gone by then");
}

#[test]
fn told_latencies_delay_the_first_copies_and_give_way_to_its_own() {
    let rig = |latencies: Vec<Nanos>| newcomer(GossipedState { latencies, ..told(1) });
    let copies = |rig: &mut Rig, span: Nanos| {
        rig.accept(1, 0);
        sends(&rig.advance(span)).len()
    };
    assert_eq!(copies(&mut rig(vec![40 * MS; 12]), 35 * MS), 0);
    assert_eq!(copies(&mut rig(vec![40 * MS; 12]), 50 * MS), 1, "at the told p95");
    let mut rig = rig(vec![40 * MS; 12]);
    rig.warm(1, 0, 12, 90 * MS);
    assert_eq!(copies(&mut rig, 80 * MS), 0, "twelve of its own have taken their place");
}

#[test]
fn a_lie_about_speed_gives_way_within_a_few_calls() {
    let mut rig = newcomer(GossipedState { latencies: vec![20 * MS; 12], ..told(1) });
    let mut copied = 0;
    for _ in 0..12 {
        let (id, actions) = rig.accept(1, 0);
        assert_eq!(sends(&actions).len(), 1);
        copied += sends(&rig.advance(300 * MS)).len();
        rig.end(id, 0, Outcome::Success, 300 * MS);
        rig.advance(50 * MS);
    }
    assert!(copied <= 3, "{copied} of 12 had a copy");
}

#[test]
fn hearsay_of_what_is_not_listed_is_nothing() {
    let mut rig = newcomer(GossipedState { remaining_retry_after: 10 * S, ..told(77) });
    rig.turn(&[Event::Gossip(GossipedState {
        endpoint: Some(EndpointId(0)),
        remaining_retry_after: 10 * S,
        ..told(1)
    })]);
    assert_eq!(sends(&rig.accept(1, 0).1).len(), 1);
}

#[test]
fn what_a_sender_has_seen_is_told_and_hearsay_is_not() {
    let mut rig =
        newcomer(GossipedState { latencies: vec![300 * MS; 12], pacing_interval: 100 * MS, ..told(2) });
    rig.warm(1, 0, 8, 100 * MS);
    let (id, _) = rig.accept(1, 0);
    rig.end(id, 0, Outcome::Overloaded { retry_after: 4 * S }, 10 * MS);
    rig.now += S;
    let (observations, next) = rig.policy.observations(rig.now, None, 100);
    assert_eq!((observations.len(), next), (1, None), "nothing was sent to the other");
    let s = &observations[0];
    assert_eq!((s.destination, s.endpoint, s.since_last_call), (DestinationId(1), None, S));
    assert!((3 * S..=3 * S + 100 * MS).contains(&s.remaining_retry_after), "with its own spread behind it");
    assert_eq!(s.latencies, vec![100 * MS; 8]);
    assert!(s.pacing_interval > 0 && s.successful_calls > 6.0 && s.rejected_calls > 0.9, "{s:?}");
    assert_eq!(s.outage, Some(Outage::Rejecting), "a wait so long is an outage's");
    assert_eq!(s.rate_limit, None, "none is told over an outage");
}

#[test]
fn an_outage_is_told_as_it_passes() {
    let mut rig = newcomer(told(2));
    rig.warm(1, 0, 4, 100 * MS);
    let outage = |rig: &Rig| rig.policy.observations(rig.now, None, 10).0[0].outage;
    assert_eq!(outage(&rig), None);
    served(&mut rig, 4 * S, 100 * MS, Outcome::Unreachable);
    assert_eq!(outage(&rig), Some(Outage::Unresponsive));
    served(&mut rig, 4 * S, 100 * MS, Outcome::Success);
    assert!(matches!(outage(&rig), Some(Outage::Recovering { elapsed }) if elapsed < 6 * S));
    served(&mut rig, 10 * S, 100 * MS, Outcome::Success);
    assert_eq!(outage(&rig), None);
}

#[test]
fn sights_come_in_pages_that_together_are_all() {
    let mut rig = Rig::new(settings(vec![class(IDEMPOTENT)]));
    rig.list(&(0..25).map(|d| (d, u64::from(d), 0, 0)).collect::<Vec<_>>());
    (0..25).filter(|d| d % 3 != 0).for_each(|d| rig.warm(d, 0, 1, 10 * MS));
    let (mut after, mut all, mut pages) = (None, Vec::new(), 0);
    loop {
        let (observations, next) = rig.policy.observations(rig.now, after, 4);
        all.extend(observations.iter().map(|s| s.destination.0));
        pages += 1;
        if next.is_none() {
            break;
        }
        after = next;
    }
    assert_eq!(all, (0..25).filter(|d| d % 3 != 0).collect::<Vec<u64>>());
    assert_eq!(pages, 7);
}
