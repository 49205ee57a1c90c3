//! Use of gossip from other senders. Each test sets up a case that a new sender without gossip gets wrong.

mod common;
use common::*;
use martenlatch_policy::interface::*;

/// Gossip without any observation.
fn gossip_on(destination: u64) -> GossipedState {
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

/// A sender that has received this gossip before its first message.
fn new_sender(gossip: GossipedState) -> TestSender {
    let mut sender = TestSender::new(settings(vec![class(IDEMPOTENT)]));
    sender.now = 100 * S;
    sender.list_endpoints(&[(0, 1, 0, 0), (1, 1, 1, 0), (2, 2, 0, 0)]);
    sender.turn(&[Event::Gossip(gossip)]);
    sender
}

/// Accepts a message every `interval` and ends each call with `outcome` after 50 ms. Returns the times of the
/// sends.
fn send_times(
    sender: &mut TestSender,
    duration: Nanos,
    interval: Nanos,
    outcome: Outcome,
) -> Vec<Nanos> {
    let mut in_flight = Vec::<(Nanos, MessageId, u32)>::new();
    let (mut sent, mut next_message) = (Vec::new(), sender.now);
    let until = sender.now + duration;
    while sender.now < until {
        sender.now += 5 * MS;
        let mut events = vec![Event::Wake];
        if sender.now >= next_message {
            next_message += interval;
            events.push(sender.new_message(1, 0, 20 * S, None));
        }
        let due: Vec<(MessageId, u32)> = in_flight
            .iter()
            .filter(|(end, ..)| *end <= sender.now)
            .map(|(_, id, attempt)| (*id, *attempt))
            .collect();
        in_flight.retain(|(end, ..)| *end > sender.now);
        for (id, attempt) in due {
            let finished = outcome == Outcome::Success;
            let took = 50 * MS;
            events.push(Event::AttemptEnded {
                id,
                attempt,
                outcome,
                took,
                finished,
            });
        }
        for (id, ..) in sends(&sender.turn(&events)) {
            sent.push(sender.now);
            in_flight.push((sender.now + 50 * MS, id, sender.attempts[&id.0] - 1));
        }
    }
    sent
}

#[test]
fn a_gossiped_retry_after_applies_until_its_end() {
    let mut sender = new_sender(GossipedState {
        remaining_retry_after: 3 * S,
        ..gossip_on(1)
    });
    let (id, actions) = sender.accept(1, 0);
    assert!(sends(&actions).is_empty());
    assert!(sends(&sender.advance(2_990 * MS)).is_empty());
    assert_eq!(sends(&sender.advance(50 * MS))[0].0, id);
    assert_eq!(
        sends(&sender.accept(2, 0).1).len(),
        1,
        "it does not apply to another destination"
    );
}

#[test]
fn of_gossip_on_a_called_route_only_the_retry_after_applies() {
    let mut sender = new_sender(gossip_on(2));
    sender.warm_up(1, 0, 3, 100 * MS);
    sender.turn(&[Event::Gossip(GossipedState {
        remaining_retry_after: S,
        pacing_interval: S,
        outage: Some(Outage::Unresponsive),
        ..gossip_on(1)
    })]);
    assert!(sends(&sender.accept(1, 0).1).is_empty());
    assert_eq!(
        sends(&sender.advance(1_010 * MS)).len(),
        1,
        "the gossiped outage does not replace own observations"
    );
}

#[test]
fn after_gossip_of_an_outage_a_sender_probes_once_and_keeps_to_the_slow_start_budget() {
    // The rate limit is 20 a second, which is 40 calls in two seconds. A partner that has just returned can
    // take a fifth of that, rising to a third, and fails at twice as much.
    let without_gossip = send_times(
        &mut new_sender(gossip_on(1)),
        3 * S,
        40 * MS,
        Outcome::Success,
    );
    let with_gossip = send_times(
        &mut new_sender(GossipedState {
            outage: Some(Outage::Unresponsive),
            ..gossip_on(1)
        }),
        3 * S,
        40 * MS,
        Outcome::Success,
    );
    let within = |sent: &[Nanos], duration: Nanos| {
        sent.iter().filter(|at| **at <= 100 * S + duration).count()
    };
    assert!(
        within(&without_gossip, 2 * S) > 40,
        "without gossip the partner is overloaded"
    );
    assert!(
        within(&with_gossip, 200 * MS) <= 1,
        "the sender starts with a single probe"
    );
    assert!(
        (2..=25).contains(&within(&with_gossip, 2 * S)),
        "{with_gossip:?}"
    );
}

#[test]
fn after_gossip_of_a_rejecting_partner_it_is_not_overloaded_at_the_end_of_its_retry_after() {
    let rejecting = GossipedState {
        remaining_retry_after: 4 * S,
        outage: Some(Outage::Rejecting),
        ..gossip_on(1)
    };
    let sent = send_times(&mut new_sender(rejecting), 6 * S, 40 * MS, Outcome::Success);
    assert!(sent.iter().all(|at| *at >= 104 * S));
    // At most twice what the partner can take in the two seconds after its Retry-After.
    assert!((2..=25).contains(&sent.len()), "{}", sent.len());
}

#[test]
fn after_gossip_of_a_recovery_a_sender_keeps_to_the_recovery_ramp() {
    let sent_after = |elapsed: Nanos| {
        let gossip = GossipedState {
            outage: Some(Outage::Recovering { elapsed }),
            ..gossip_on(1)
        };
        send_times(&mut new_sender(gossip), 2 * S, 40 * MS, Outcome::Success).len()
    };
    assert!(sent_after(0) <= 25, "{}", sent_after(0));
    assert!(
        sent_after(0) < sent_after(5 * S) && sent_after(5 * S) < sent_after(30 * S),
        "the limit rises until the end of the ramp"
    );
}

#[test]
fn gossip_from_before_an_outage_does_not_raise_the_rate_after_it() {
    // No rate limit is listed. The partner fails at the first calls, and then returns.
    let sent_after_return = |gossip: Option<GossipedState>| {
        let mut set = settings(vec![class(IDEMPOTENT)]);
        set.weight_meaning = EndpointWeights::Ignored;
        let mut sender = TestSender::new(set);
        sender.now = 100 * S;
        sender.list_endpoints(&[(0, 1, 0, 0), (1, 1, 1, 0)]);
        sender.turn(&gossip.into_iter().map(Event::Gossip).collect::<Vec<_>>());
        send_times(&mut sender, 4 * S, 100 * MS, Outcome::Unreachable);
        send_times(&mut sender, 2 * S, 25 * MS, Outcome::Success).len()
    };
    let known = GossipedState {
        latencies: vec![50 * MS; 12],
        ..gossip_on(1)
    };
    assert!(sent_after_return(Some(known)) <= sent_after_return(None));
}

#[test]
fn a_gossiped_pacing_interval_applies_from_the_first_call_and_falls_with_successes() {
    let sent = send_times(
        &mut new_sender(GossipedState {
            pacing_interval: 400 * MS,
            ..gossip_on(1)
        }),
        4 * S,
        100 * MS,
        Outcome::Success,
    );
    assert!(sent[1] - sent[0] >= 200 * MS);
    let last = sent.len() - 1;
    assert!(
        sent[last] - sent[last - 1] <= 110 * MS,
        "the pacing interval is 0 again"
    );
}

#[test]
fn gossiped_latencies_set_the_hedge_delay_until_own_latencies_replace_them() {
    let sender = |latencies: Vec<Nanos>| {
        new_sender(GossipedState {
            latencies,
            ..gossip_on(1)
        })
    };
    let hedges = |sender: &mut TestSender, duration: Nanos| {
        sender.accept(1, 0);
        sends(&sender.advance(duration)).len()
    };
    assert_eq!(hedges(&mut sender(vec![40 * MS; 12]), 35 * MS), 0);
    assert_eq!(
        hedges(&mut sender(vec![40 * MS; 12]), 50 * MS),
        1,
        "a hedge at the gossiped p95"
    );
    let mut sender = sender(vec![40 * MS; 12]);
    sender.warm_up(1, 0, 12, 90 * MS);
    assert_eq!(
        hedges(&mut sender, 80 * MS),
        0,
        "twelve own latencies have replaced the gossiped ones"
    );
}

#[test]
fn gossiped_latencies_that_are_too_low_are_corrected_within_a_few_calls() {
    let mut sender = new_sender(GossipedState {
        latencies: vec![20 * MS; 12],
        ..gossip_on(1)
    });
    let mut hedged = 0;
    for _ in 0..12 {
        let (id, actions) = sender.accept(1, 0);
        assert_eq!(sends(&actions).len(), 1);
        hedged += sends(&sender.advance(300 * MS)).len();
        sender.end_attempt(id, 0, Outcome::Success, 300 * MS);
        sender.advance(50 * MS);
    }
    assert!(hedged <= 3, "{hedged} of 12 were hedged");
}

#[test]
fn gossip_on_an_unlisted_route_is_ignored() {
    let mut sender = new_sender(GossipedState {
        remaining_retry_after: 10 * S,
        ..gossip_on(77)
    });
    sender.turn(&[Event::Gossip(GossipedState {
        endpoint: Some(EndpointId(0)),
        remaining_retry_after: 10 * S,
        ..gossip_on(1)
    })]);
    assert_eq!(sends(&sender.accept(1, 0).1).len(), 1);
}

#[test]
fn observations_contain_own_observations_and_no_gossip() {
    let mut sender = new_sender(GossipedState {
        latencies: vec![300 * MS; 12],
        pacing_interval: 100 * MS,
        ..gossip_on(2)
    });
    sender.warm_up(1, 0, 8, 100 * MS);
    let (id, _) = sender.accept(1, 0);
    sender.end_attempt(id, 0, Outcome::Overloaded { retry_after: 4 * S }, 10 * MS);
    sender.now += S;
    let (observations, next) = sender.policy.observations(sender.now, None, 100);
    assert_eq!(
        (observations.len(), next),
        (1, None),
        "nothing was sent to the other destination"
    );
    let observation = &observations[0];
    assert_eq!(
        (
            observation.destination,
            observation.endpoint,
            observation.since_last_call
        ),
        (DestinationId(1), None, S)
    );
    assert!(
        (3 * S..=3 * S + 100 * MS).contains(&observation.remaining_retry_after),
        "the rest of the Retry-After, spread by up to 100 ms"
    );
    assert_eq!(observation.latencies, vec![100 * MS; 8]);
    assert!(
        observation.pacing_interval > 0
            && observation.successful_calls > 6.0
            && observation.rejected_calls > 0.9,
        "{observation:?}"
    );
    assert_eq!(
        observation.outage,
        Some(Outage::Rejecting),
        "a Retry-After this long means an outage"
    );
    assert_eq!(
        observation.rate_limit, None,
        "there is no rate limit during an outage"
    );
}

#[test]
fn observations_report_an_outage_and_the_recovery_from_it() {
    let mut sender = new_sender(gossip_on(2));
    sender.warm_up(1, 0, 4, 100 * MS);
    let outage = |sender: &TestSender| sender.policy.observations(sender.now, None, 10).0[0].outage;
    assert_eq!(outage(&sender), None);
    send_times(&mut sender, 4 * S, 100 * MS, Outcome::Unreachable);
    assert_eq!(outage(&sender), Some(Outage::Unresponsive));
    send_times(&mut sender, 4 * S, 100 * MS, Outcome::Success);
    assert!(matches!(outage(&sender), Some(Outage::Recovering { elapsed }) if elapsed < 6 * S));
    send_times(&mut sender, 10 * S, 100 * MS, Outcome::Success);
    assert_eq!(outage(&sender), None);
}

#[test]
fn pages_of_observations_together_contain_every_called_route() {
    let mut sender = TestSender::new(settings(vec![class(IDEMPOTENT)]));
    sender.list_endpoints(&(0..25).map(|d| (d, u64::from(d), 0, 0)).collect::<Vec<_>>());
    (0..25)
        .filter(|d| d % 3 != 0)
        .for_each(|d| sender.warm_up(d, 0, 1, 10 * MS));
    let (mut after, mut all, mut pages) = (None, Vec::new(), 0);
    loop {
        let (observations, next) = sender.policy.observations(sender.now, after, 4);
        all.extend(
            observations
                .iter()
                .map(|observation| observation.destination.0),
        );
        pages += 1;
        if next.is_none() {
            break;
        }
        after = next;
    }
    assert_eq!(all, (0..25).filter(|d| d % 3 != 0).collect::<Vec<u64>>());
    assert_eq!(pages, 7);
}
