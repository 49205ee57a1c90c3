//! Random legal days, checked against the six rules by an oracle that knows only the rules' wording.

mod common;
use common::*;
use martenlatch_policy::Policy;
use martenlatch_policy::interface::*;
use std::collections::BTreeMap;

struct Dice(u64);

impl Dice {
    fn roll(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % n
    }
}

struct Try {
    endpoint: usize,
    sent: Nanos,
    due: Nanos,
    end: Option<Outcome>,
}

struct Msg {
    destination: u64,
    class: usize,
    deadline: Nanos,
    key: Option<u64>,
    tries: Vec<Try>,
    over: bool,
    rest: Nanos,
}

const KINDS: [usize; 6] = [0, 0, 0, 1, 1, 0];
const OWNER: [u64; 6] = [1, 1, 1, 2, 2, 3];

fn entry(at: usize, state: EndpointState) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(at as u32),
        zone: ZoneId(at % 2),
        kind: KindId(KINDS[at]),
        destination: DestinationId(OWNER[at]),
        state,
        weight: 10.0,
    }
}

fn varied(dice: &mut Dice) -> Settings {
    let ordered = MessageClass { ordered: true, deadline: 12 * S, ..class(Idempotency::NonIdempotent) };
    let per_zone = dice.roll(2) == 0;
    let mut set = settings(vec![
        class(Idempotency::Idempotent),
        class(Idempotency::IdempotencyKey { per_zone, window: (2 + dice.roll(8)) * S }),
        ordered,
        MessageClass {
            ordered: true,
            ..class(Idempotency::IdempotencyKey { per_zone: false, window: 5 * S })
        },
    ]);
    set.may_hedge = dice.roll(3) > 0;
    set.may_cancel = dice.roll(3) > 0;
    set.max_in_flight = 2 + dice.roll(8) as usize;
    set.max_attempts = 2 + dice.roll(6) as u32;
    set
}

fn check_send(set: &Settings, msgs: &BTreeMap<u64, Msg>, id: u64, at: usize, now: Nanos) {
    let m = &msgs[&id];
    assert!(!m.over && now <= m.deadline, "sent after its end");
    assert_eq!(OWNER[at], m.destination);
    assert!(m.tries.len() < set.max_attempts as usize);
    let out = m.tries.iter().any(|t| t.end.is_none());
    assert!(set.may_hedge || !out, "two out at once");
    let ran = m.tries.iter().find(|t| t.end.is_none_or(|o| !o.never_ran()));
    match (set.classes[m.class].idempotency, ran) {
        (Idempotency::Idempotent, _) | (_, None) => {}
        (Idempotency::NonIdempotent, Some(_)) => panic!("an unsafe effect twice"),
        (Idempotency::IdempotencyKey { per_zone, window }, Some(first)) => {
            assert!(now <= first.sent + window, "outside the window");
            assert!(!per_zone || first.endpoint % 2 == at % 2, "outside the group");
        }
    }
    for (_, earlier) in msgs.range(..id).filter(|(_, e)| m.key.is_some() && e.key == m.key) {
        assert!(earlier.over && earlier.tries.iter().all(|t| t.end.is_some()), "out of order");
        assert!(!m.tries.is_empty() || now >= earlier.rest, "the key was to rest");
    }
}

fn day(seed: u64) -> Vec<Action> {
    let mut dice = Dice(seed.wrapping_mul(0x9E37_79B9) | 1);
    let set = varied(&mut dice);
    let mut policy = Policy::new(set.clone(), seed).unwrap();
    let mut msgs: BTreeMap<u64, Msg> = BTreeMap::new();
    let mut stopped = [false; 6];
    let mut wait = [0; 6];
    let (mut now, mut next, mut all) = (S, 0u64, Vec::new());
    let mut events = vec![Event::EndpointList((0..6).map(|at| entry(at, EndpointState::Active)).collect())];
    for _ in 0..6000 {
        now += 5 * MS + if dice.roll(400) == 0 { dice.roll(2000) * MS } else { 0 };
        let mut fresh_waits = Vec::new();
        for (id, m) in &mut msgs {
            for no in 0..m.tries.len() {
                if m.tries[no].end.is_some() || m.tries[no].due > now {
                    continue;
                }
                let at = m.tries[no].endpoint;
                let outcome = match dice.roll(12) {
                    0 => Outcome::Failure,
                    1 => Outcome::Unreachable,
                    2 => Outcome::ConnectionLost,
                    3 => Outcome::TimedOut,
                    4 | 5 => Outcome::Overloaded { retry_after: dice.roll(2) * dice.roll(900) * MS },
                    _ => Outcome::Success,
                };
                let outcome = if now >= m.deadline { Outcome::TimedOut } else { outcome };
                m.tries[no].end = Some(outcome);
                m.over |= outcome == Outcome::Success;
                if matches!(outcome, Outcome::TimedOut | Outcome::ConnectionLost) {
                    m.rest = now + set.key_quiet_period;
                }
                if let Outcome::Overloaded { retry_after } = outcome {
                    fresh_waits.push((at, now + retry_after));
                }
                let (id, attempt, took) = (MessageId(*id), no as u32, now - m.tries[no].sent);
                events.push(Event::AttemptEnded { id, attempt, outcome, took, finished: m.over });
            }
        }
        if dice.roll(8) == 0 {
            let (destination, class) = (1 + dice.roll(3), dice.roll(4) as usize);
            let deadline = now + set.classes[class].deadline - dice.roll(2) * dice.roll(9000) * MS;
            let key = (class >= 2).then(|| dice.roll(4));
            events.push(Event::MessageAccepted {
                id: MessageId(next),
                destination: DestinationId(destination),
                class: ClassId(class),
                deadline,
                key: key.map(KeyId),
            });
            let msg = Msg { destination, class, deadline, key, tries: vec![], over: false, rest: 0 };
            msgs.insert(next, msg);
            next += 1;
        }
        if dice.roll(600) == 0 {
            let at = dice.roll(6) as usize;
            stopped[at] = !stopped[at];
            let state = if stopped[at] { EndpointState::Draining } else { EndpointState::Active };
            events.push(Event::EndpointChanges(vec![entry(at, state)]));
        }
        events.push(Event::Wake);
        let mut actions = Vec::new();
        policy.turn(now, &events, &mut actions);
        events.clear();
        let mut calls: BTreeMap<usize, u64> = BTreeMap::new();
        for action in &actions {
            match action {
                Action::Send { id, endpoint, timeout, .. } => {
                    let at = endpoint.0 as usize;
                    assert!(!stopped[at], "sent to a draining endpoint");
                    assert!(now >= wait[at], "sent during a wait");
                    check_send(&set, &msgs, id.0, at, now);
                    let due = now + (*timeout).min(20 * MS + dice.roll(dice_span(seed)) * MS);
                    let m = msgs.get_mut(&id.0).unwrap();
                    m.tries.push(Try { endpoint: at, sent: now, due, end: None });
                    *calls.entry(at).or_insert(0) += 1;
                }
                Action::Cancel { id, attempt } => {
                    assert!(set.may_cancel);
                    let m = msgs.get_mut(&id.0).unwrap();
                    let (no, took) = (*attempt as usize, now - m.tries[*attempt as usize].sent);
                    if m.tries[no].end.is_none() {
                        m.tries[no].end = Some(Outcome::Cancelled);
                        m.rest = now + 5 * MS + set.key_quiet_period;
                        let (id, outcome) = (*id, Outcome::Cancelled);
                        let (attempt, finished) = (*attempt, m.over);
                        events.push(Event::AttemptEnded { id, attempt, outcome, took, finished });
                    }
                }
                Action::Reject { id, .. } => {
                    let m = msgs.get_mut(&id.0).unwrap();
                    let ran = m.tries.iter().any(|t| t.end.is_none_or(|o| !o.never_ran()));
                    let harmless = match set.classes[m.class].idempotency {
                        Idempotency::Idempotent => true,
                        Idempotency::NonIdempotent => !ran,
                        Idempotency::IdempotencyKey { per_zone, .. } => !ran || !per_zone,
                    };
                    assert!(harmless && !m.over, "a refusal that is not harmless, or a second answer");
                    m.over = true;
                }
                Action::Fail { id } => {
                    let m = msgs.get_mut(&id.0).unwrap();
                    assert!(!m.over, "a second answer");
                    m.over = true;
                }
                _ => {}
            }
        }
        // What the reply to the batch that told of a wait sends is excused; after it the wait binds.
        for (at, until) in fresh_waits {
            for other in (0..6).filter(|o| *o == at || (KINDS[at] == 0 && OWNER[*o] == OWNER[at])) {
                wait[other] = wait[other].max(until);
            }
        }
        let due = |m: &Msg| !m.over && m.tries.iter().all(|t| t.end.is_some()) && now > m.deadline;
        assert!(!msgs.values().any(due), "no final answer in time");
        assert!(calls.values().sum::<u64>() as usize <= set.max_in_flight);
        all.extend(actions);
    }
    all
}

fn dice_span(seed: u64) -> u64 {
    [200, 800, 4000][(seed % 3) as usize]
}

#[test]
fn random_days_keep_the_rules() {
    let mut sent = 0;
    for seed in 1..=6 {
        sent += day(seed).iter().filter(|a| matches!(a, Action::Send { .. })).count();
    }
    assert!(sent > 1000, "only {sent} sends: the days show nothing");
}

#[test]
fn equal_events_give_equal_actions() {
    assert_eq!(day(5), day(5));
}

fn resumed(
    rig: &mut Rig, id: u64, class: usize, attempts: u32, may_have_run_since: Option<Nanos>,
) -> Vec<Action> {
    let (id, destination, class, deadline) =
        (MessageId(id), DestinationId(1), ClassId(class), rig.now + 10 * S);
    let at_once =
        rig.turn(&[Event::MessageResumed { id, destination, class, deadline, attempts, may_have_run_since }]);
    // An even share of a lone sender at ten calls a second.
    [at_once, rig.advance(100 * MS)].concat()
}

#[test]
fn a_message_of_an_earlier_life_keeps_its_rule_on_repeats_and_its_attempts() {
    let keyed = Idempotency::IdempotencyKey { per_zone: false, window: 6 * S };
    let mut rig = Rig::new(settings(vec![class(Idempotency::NonIdempotent), class(keyed)]));
    rig.now = 100 * S;
    rig.list(&[(0, 1, 0, 0)]);
    let ran = Some(rig.now - 2 * S);
    let actions = resumed(&mut rig, 1, 0, 1, ran);
    assert!(failed(&actions, MessageId(1)) && sends(&actions).is_empty(), "unsafe, and it may have run");
    assert_eq!(sends(&resumed(&mut rig, 2, 0, 3, None)).len(), 1, "unsafe, and it never ran");
    rig.end(MessageId(2), 3, Outcome::Success, MS);
    assert_eq!(sends(&resumed(&mut rig, 3, 1, 1, ran)).len(), 1, "keyed, inside its window");
    rig.end(MessageId(3), 1, Outcome::Success, MS);
    let long_ago = Some(rig.now - 7 * S);
    let actions = resumed(&mut rig, 4, 1, 1, long_ago);
    assert!(rejected(&actions, MessageId(4)) && sends(&actions).is_empty(), "keyed, outside it");
    let actions = resumed(&mut rig, 5, 1, 6, ran);
    assert!(rejected(&actions, MessageId(5)) && sends(&actions).is_empty(), "all attempts were used");
}

#[test]
fn a_sender_that_ends_starts_no_call_that_cannot_end_before_it() {
    let mut rig = Rig::new(settings(vec![class(Idempotency::NonIdempotent)]));
    rig.list(&[(0, 1, 0, 0)]);
    rig.warm(1, 0, 10, 400 * MS);
    let end = rig.now + S;
    rig.turn(&[Event::ShutdownDeadline(end)]);
    let sent = sends(&rig.accept(1, 0).1);
    assert!(sent.len() == 1 && rig.now + sent[0].2 <= end, "its time is cut to the end");
    rig.now += 700 * MS;
    assert!(sends(&rig.accept(1, 0).1).is_empty(), "300 ms are less than a call");
}

#[test]
fn a_message_that_has_had_all_its_attempts_elsewhere_ends_at_once() {
    let mut rig = Rig::new(settings(vec![class(Idempotency::NonIdempotent)]));
    rig.list(&[(0, 1, 0, 0)]);
    let (id, _) = rig.accept(1, 0);
    let actions = rig.end(id, 0, Outcome::AttemptsExhausted, MS);
    assert!(rejected(&actions, id) && sends(&actions).is_empty(), "it never ran, and none can follow");
}

/// What a partner of two endpoints is sent in the span of the fail-back rule with 60 messages held for it: put back after
/// a drain, or listed all the time.
fn put_back(drained: bool) -> usize {
    let mut rig = Rig::new(settings(vec![class(Idempotency::Idempotent)]));
    let state = |rig: &mut Rig, which: &[usize], state| {
        let entries = which.iter().map(|at| entry(*at, state)).collect();
        rig.turn(&[Event::EndpointChanges(entries)])
    };
    state(&mut rig, &[0, 1], EndpointState::Active);
    rig.warm(1, 0, 10, 50 * MS);
    let all = if drained { &[0, 1][..] } else { &[] };
    state(&mut rig, all, EndpointState::Draining);
    let held: Vec<Event> = (0..60).map(|_| rig.message(1, 0, 60 * S, None)).collect();
    let mut sent = rig.turn(&held);
    assert!(!drained || sends(&sent).is_empty(), "nothing goes to one that drains");
    sent.extend(state(&mut rig, all, EndpointState::Active));
    let until = rig.now + 2 * S;
    let mut count = 0;
    while rig.now < until {
        // Each call is served at once: only what is decided here holds the others back.
        for (id, _, _) in sends(&std::mem::take(&mut sent)) {
            count += 1;
            let attempt = rig.attempts[&id.0] - 1;
            sent.extend(rig.end(id, attempt, Outcome::Success, 50 * MS));
        }
        rig.now += 5 * MS;
        sent.extend(rig.turn(&[Event::Wake]));
    }
    count
}

#[test]
fn a_partner_put_back_after_a_drain_is_cold_and_not_rushed() {
    // It takes 10 a second; cold it has a fifth of that, and falls over at twice what it has for 2 s.
    let (most, rushed) = (2.0 * 0.2 * 10.0 * 2.0, put_back(false));
    let gentle = put_back(true);
    println!("sent in 2 s: {gentle} put back cold, {rushed} listed all the time");
    assert!(gentle > 0 && gentle as f64 <= 1.5 * most, "{gentle}");
    assert!(rushed > 2 * gentle, "{rushed}: nothing else holds them back");
}

#[test]
fn being_asked_what_it_avoids_changes_no_decision() {
    let play = |ask: bool| {
        let mut rig = Rig::new(settings(vec![class(Idempotency::Idempotent)]));
        rig.list(&[(0, 1, 0, 0), (1, 2, 0, 0)]);
        let (mut all, mut avoided) = (Vec::new(), 0);
        for no in 0..40 {
            let (_, actions) = rig.accept(1, 0);
            let outcome = if no < 8 { Outcome::Unreachable } else { Outcome::Success };
            rig.now += 300 * MS;
            for (id, _, _) in sends(&actions) {
                all.extend(rig.end(id, rig.attempts[&id.0] - 1, outcome, 20 * MS));
            }
            all.extend(actions);
            if ask {
                avoided += u32::from(rig.policy.is_avoided(EndpointId(0)));
                assert!(!rig.policy.is_avoided(EndpointId(1)) && !rig.policy.is_avoided(EndpointId(9)));
            }
        }
        (all, avoided)
    };
    let ((asked, avoided), (alone, _)) = (play(true), play(false));
    assert_eq!(asked, alone);
    assert!(avoided > 0 && avoided < 40, "{avoided}: down at first, then well");
}
