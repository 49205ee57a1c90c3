//! All orders of a few events on a tiny fleet: two senders, three endpoints of two partners. The decision module and
//! the wal are the project's own, the laboratory's judge is asked after each event, and what is sent, told and
//! written between them is carried out as the sender does. Nothing here knows a rule.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::rc::Rc;

use martenlatch_clock::{Millis, millis, nanos};
use martenlatch_lab::event_log::{Fact, Silence, What};
use martenlatch_lab::experiment::Effect;
use martenlatch_lab::judge::{ClassRule, Judge, Rule};
use martenlatch_lab::model::partner::{COLLAPSE_FACTOR, COLLAPSE_WINDOW, Reply};
use martenlatch_policy::Policy;
use martenlatch_policy::interface::{
    Action, ClassId, Decay, DestinationId, DestinationKind, EndpointEntry, EndpointId,
    EndpointState, EndpointWeights, Event, Idempotency, KeyId, KindId, MessageClass, MessageId,
    Outcome, RecoveryRamp, Settings, ZoneId,
};
use martenlatch_wal::{AttemptRecord, FinalStatus, MessageRecord, WriteAheadLog};
use rstest::rstest;

const UNSAFE: u32 = 0;
const KEYED: u32 = 1;
const ORDERED: u32 = 2;
/// Places where an endpoint belongs.
const OWNER: [u32; 3] = [0, 0, 1];
const DEADLINE: Millis = 6_000.0;
const WINDOW: Millis = 3_000.0;
/// Calls a second that a warm partner takes; the list tells it.
const CAPACITY: f64 = 4.0;
const COLD: (f64, Millis) = (0.22, 9_000.0);
const ATTEMPTS: u32 = 8;
/// Between two events of an order.
const STEP: Millis = 10.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Pick {
    Oldest,
    Newest,
}
use Pick::{Newest, Oldest};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// A client hands a message in: sender, class, partner.
    HandIn(usize, u32, u32),
    /// The client has left before its 202.
    Leave(usize),
    Served(Pick),
    Failed(Pick),
    Refused(Pick, Millis),
    Reset(Pick),
    /// 410.
    Withdrawn(Pick),
    Pass(Millis),
    /// Both senders are told.
    Drain(u32),
    Out(u32),
    Back(u32),
    Kill(usize),
    Start(usize),
}

struct Call {
    id: u64,
    attempt: u32,
    sender: usize,
    partner: u32,
    sent: Millis,
    due: Millis,
}

struct Held {
    taken: MessageRecord,
    open: bool,
}

struct Sender {
    policy: Option<Policy>,
    wal: Option<WriteAheadLog>,
    folder: PathBuf,
    held: BTreeMap<u64, Held>,
    wake: Option<Millis>,
    life: u64,
}

/// What a search met, so that it can be shown to have met it.
#[derive(Default, Debug)]
struct Met {
    orders: usize,
    copies: usize,
    again: usize,
    waits: usize,
    drains: usize,
    returns: usize,
    withdrawals: usize,
    resumed: usize,
    left: usize,
}

struct Fleet {
    now: Millis,
    judge: Judge,
    senders: Vec<Sender>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    next_id: u64,
    off: BTreeSet<u32>,
    out: BTreeSet<u32>,
    back: BTreeMap<u32, Millis>,
    came: BTreeMap<u32, Vec<Millis>>,
    toppled: bool,
    met: Met,
    /// Has the senders forget to end what was given up: a fault, to see it found.
    mute: bool,
}

fn settings() -> Settings {
    let class = |idempotency, ordered| MessageClass {
        latency_objective: nanos(2_000.0),
        deadline: nanos(DEADLINE),
        priority_weight: 1.0,
        late_weight_share: 0.4,
        idempotency,
        ordered,
    };
    Settings {
        senders: 2,
        zone: ZoneId(0),
        zone_prices: vec![0.0],
        kinds: vec![DestinationKind {
            per_endpoint: false,
        }],
        classes: vec![
            class(Idempotency::NonIdempotent, false),
            class(
                Idempotency::IdempotencyKey {
                    per_zone: false,
                    window: nanos(WINDOW),
                },
                false,
            ),
            class(Idempotency::NonIdempotent, true),
        ],
        decay: Decay::Halving,
        weight_meaning: EndpointWeights::Nominal,
        max_in_flight: 4,
        max_held: 8,
        max_attempts: ATTEMPTS,
        may_cancel: true,
        may_hedge: true,
        max_retry_after: Some(nanos(3_000.0)),
        recovery: RecoveryRamp {
            overload_factor: COLLAPSE_FACTOR,
            overload_window: nanos(COLLAPSE_WINDOW),
            initial_share: COLD.0,
            duration: nanos(COLD.1),
        },
        key_quiet_period: nanos(300.0),
        connect_timeout: nanos(1_000.0),
        idle_timeout: nanos(15_000.0),
        turn_interval: nanos(5.0),
        cross_zone_price: 0.0,
        handshake_price: 0.0,
    }
}

impl Fleet {
    fn new(folder: &std::path::Path) -> Fleet {
        let rule = |effect| ClassRule {
            effect,
            window: WINDOW,
        };
        let judge = Judge::new(
            vec![
                rule(Effect::Unsafe),
                rule(Effect::Keyed),
                rule(Effect::Unsafe),
            ],
            ATTEMPTS,
        );
        let sender = |no: usize| Sender {
            policy: None,
            wal: None,
            folder: folder.join(no.to_string()),
            held: BTreeMap::new(),
            wake: None,
            life: 0,
        };
        let mut fleet = Fleet {
            now: 1e6,
            judge,
            senders: (0..2).map(sender).collect(),
            calls: BTreeMap::new(),
            next_call: 0,
            next_id: 0,
            off: BTreeSet::new(),
            out: BTreeSet::new(),
            back: BTreeMap::new(),
            came: BTreeMap::new(),
            toppled: false,
            met: Met::default(),
            mute: false,
        };
        for no in 0..2 {
            let folder = &fleet.senders[no].folder;
            let _ = std::fs::remove_dir_all(folder);
            std::fs::create_dir_all(folder).unwrap();
            fleet.start(no);
            // Enough is served for a percentile to be believed, so that copies may leave.
            for _ in 0..7 {
                fleet.hand_in(no, KEYED, 0, true);
                fleet.pass(300.0);
                fleet.take(Step::Served(Oldest));
            }
        }
        fleet.met = Met::default();
        fleet
    }

    fn fact(&mut self, what: What) {
        self.judge.hear(&Fact { at: self.now, what });
    }

    fn entry(&self, endpoint: u32) -> EndpointEntry {
        EndpointEntry {
            endpoint: EndpointId(endpoint),
            zone: ZoneId(0),
            kind: KindId(0),
            destination: DestinationId(OWNER[endpoint as usize].into()),
            stage: if self.off.contains(&endpoint) {
                EndpointState::Draining
            } else {
                EndpointState::Active
            },
            weight: CAPACITY,
        }
    }

    fn listed(&mut self, sender: usize, endpoint: u32) {
        let (partner, on) = (OWNER[endpoint as usize], !self.off.contains(&endpoint));
        self.fact(What::Listed {
            sender: sender as u32,
            endpoint,
            partner,
            on,
        });
    }

    fn start(&mut self, no: usize) {
        if self.senders[no].policy.is_some() {
            return;
        }
        (0..3).for_each(|endpoint| self.listed(no, endpoint));
        self.fact(What::Ready { sender: no as u32 });
        let mut events = vec![Event::EndpointList((0..3).map(|e| self.entry(e)).collect())];
        let s = &mut self.senders[no];
        let (wal, past) = WriteAheadLog::open(&s.folder, 3_000_000);
        s.wal = Some(wal);
        s.held.clear();
        for (id, taken) in past.open {
            self.met.resumed += 1;
            assert_eq!(taken.final_status, None, "ends are confirmed at once here");
            events.push(Event::MessageResumed {
                id: MessageId(id),
                destination: DestinationId(taken.destination),
                class: ClassId(taken.class.parse().unwrap()),
                deadline: nanos(taken.deadline),
                attempts: taken.attempts.len() as u32,
                ran: taken
                    .attempts
                    .iter()
                    .find(|t| !t.never_ran)
                    .map(|t| nanos(t.sent)),
            });
            s.held.insert(id, Held { taken, open: true });
        }
        s.life += 1;
        s.policy = Some(Policy::new(settings(), s.life * 2 + no as u64).unwrap());
        self.turn(no, events);
    }

    fn kill(&mut self, no: usize) {
        if self.senders[no].policy.is_none() {
            return;
        }
        let died: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, c)| c.sender == no)
            .map(|(n, _)| *n)
            .collect();
        for call in died {
            self.calls.remove(&call);
            self.fact(What::Ended {
                call,
                how: Silence::Died,
            });
        }
        self.fact(What::Gone { sender: no as u32 });
        let s = &mut self.senders[no];
        (s.policy, s.wal, s.wake) = (None, None, None);
    }

    fn hand_in(&mut self, no: usize, class: u32, partner: u32, stays: bool) {
        if self.senders[no].policy.is_none() {
            return;
        }
        let (id, sender, deadline) = (self.next_id, no as u32, self.now + DEADLINE);
        self.next_id += 1;
        let key = (class == ORDERED).then_some(1);
        let (origin, first) = (id, self.now);
        self.fact(What::HandedIn {
            origin,
            id,
            sender,
            class,
            partner,
            first,
            deadline,
            key,
        });
        let taken = MessageRecord {
            no: id,
            id: Rc::from(id.to_string()),
            class: Rc::from(class.to_string()),
            destination: partner.into(),
            deadline,
            key: None,
            body: Rc::from([]),
            attempts: Vec::new(),
            final_status: None,
            rules: Rc::from([]),
        };
        let s = &mut self.senders[no];
        assert!(s.wal.as_mut().unwrap().append_message(&taken));
        if !stays {
            s.wal.as_mut().unwrap().append_closed(id, &taken.id);
            self.met.left += 1;
            return self.fact(What::Answered { id, status: 0 });
        }
        s.held.insert(id, Held { taken, open: true });
        self.fact(What::Answered { id, status: 202 });
        let event = Event::MessageAccepted {
            id: MessageId(id),
            destination: DestinationId(partner.into()),
            class: ClassId(class as usize),
            deadline: nanos(deadline),
            key: key.map(KeyId),
        };
        self.turn(no, vec![event]);
    }

    fn turn(&mut self, no: usize, mut events: Vec<Event>) {
        loop {
            let Some(policy) = self.senders[no].policy.as_mut() else {
                return;
            };
            let mut actions = Vec::new();
            policy.turn(nanos(self.now), &events, &mut actions);
            events = actions
                .into_iter()
                .filter_map(|action| self.carry_out(no, action))
                .collect();
            if events.is_empty() {
                return;
            }
        }
    }

    fn carry_out(&mut self, no: usize, action: Action) -> Option<Event> {
        match action {
            Action::Send {
                id,
                endpoint,
                timeout,
                ..
            } => self.send(no, id.0, endpoint.0, millis(timeout)),
            Action::Cancel { id, attempt } => {
                let mine = |c: &Call| (c.sender, c.id, c.attempt) == (no, id.0, attempt);
                let call = *self.calls.iter().find(|(_, c)| mine(c))?.0;
                self.fact(What::Ended {
                    call,
                    how: Silence::CalledOff,
                });
                self.ended(call, Outcome::Cancelled).map(|(_, event)| event)
            }
            Action::Reject { id, .. } => self.end(no, id.0, FinalStatus::Deferred(None)),
            Action::Fail { id } => self.end(no, id.0, FinalStatus::Undeliverable),
            Action::WakeAfter(span) => {
                self.senders[no].wake = Some(self.now + millis(span));
                None
            }
            Action::CloseIdle(_) => None,
        }
    }

    fn send(&mut self, no: usize, id: u64, endpoint: u32, timeout: Millis) -> Option<Event> {
        let now = self.now;
        let s = &mut self.senders[no];
        let h = s.held.get_mut(&id)?;
        let attempt = h.taken.attempts.len() as u32;
        assert!(
            s.wal
                .as_mut()
                .unwrap()
                .append_attempt(id, attempt as usize, now)
        );
        h.taken.attempts.push(AttemptRecord {
            sent: now,
            never_ran: false,
        });
        let (call, sender, partner) = (self.next_call, no as u32, OWNER[endpoint as usize]);
        self.next_call += 1;
        self.met.again += usize::from(attempt > 0);
        self.met.copies += usize::from(self.calls.values().any(|c| (c.sender, c.id) == (no, id)));
        self.fact(What::Call {
            call,
            id,
            sender,
            partner,
            endpoint,
            fresh: true,
        });
        self.calls.insert(
            call,
            Call {
                id,
                attempt,
                sender: no,
                partner,
                sent: now,
                due: now + timeout,
            },
        );
        if self.out.contains(&partner) {
            self.fact(What::Ended {
                call,
                how: Silence::NeverSent,
            });
            return self
                .ended(call, Outcome::Unreachable)
                .map(|(_, event)| event);
        }
        self.fact(What::Arrived { call });
        if let Some(back) = self.back.get(&partner).filter(|back| now < **back + COLD.1) {
            self.met.returns += 1;
            let warmth = COLD.0 + (1.0 - COLD.0) * (now - back) / COLD.1;
            let came = self.came.entry(partner).or_default();
            came.push(now);
            came.retain(|at| *at >= now - COLLAPSE_WINDOW);
            if came.len() as f64 > COLLAPSE_FACTOR * CAPACITY * warmth * COLLAPSE_WINDOW / 1e3
                && !self.toppled
            {
                self.toppled = true;
                self.fact(What::Toppled { partner });
            }
        }
        None
    }

    /// A call is over for its sender; the event that says so.
    fn ended(&mut self, call: u64, outcome: Outcome) -> Option<(usize, Event)> {
        let Call {
            id,
            attempt,
            sender,
            sent,
            ..
        } = self.calls.remove(&call)?;
        let s = &mut self.senders[sender];
        let (h, wal) = (s.held.get_mut(&id)?, s.wal.as_mut()?);
        if outcome.never_ran() {
            h.taken.attempts[attempt as usize].never_ran = true;
            wal.append_never_ran(id, attempt as usize);
        }
        if outcome == Outcome::Success && h.open {
            h.open = false;
            wal.append_closed(id, &h.taken.id);
        }
        let (finished, took) = (!h.open, nanos(self.now - sent));
        Some((
            sender,
            Event::AttemptEnded {
                id: MessageId(id),
                attempt,
                outcome,
                took,
                finished,
            },
        ))
    }

    /// The platform confirms each notice at once.
    fn end(&mut self, no: usize, id: u64, notice: FinalStatus) -> Option<Event> {
        let s = &mut self.senders[no];
        let (h, wal) = (s.held.get_mut(&id).filter(|h| h.open)?, s.wal.as_mut()?);
        h.open = false;
        wal.append_final_status(id, notice);
        wal.append_closed(id, &h.taken.id);
        if !self.mute {
            let deferred = matches!(notice, FinalStatus::Deferred(_));
            self.fact(What::Notice {
                sender: no as u32,
                id,
                deferred,
                again: None,
            });
        }
        None
    }

    fn answer(&mut self, pick: Pick, reply: Reply, outcome: Outcome) {
        let well = |c: &Call| !self.out.contains(&c.partner);
        let mut calls = self
            .calls
            .iter()
            .filter(|(_, c)| well(c))
            .map(|(call, _)| *call);
        let Some(call) = (if pick == Oldest {
            calls.next()
        } else {
            calls.next_back()
        }) else {
            return;
        };
        self.met.waits += usize::from(matches!(reply, Reply::Refused(Some(_))));
        self.fact(What::Replied { call, reply });
        let told = self.ended(call, outcome);
        told.into_iter()
            .for_each(|(no, event)| self.turn(no, vec![event]));
    }

    fn silent(&mut self, pick: Option<Pick>, call: Option<u64>, how: Silence, outcome: Outcome) {
        let last = if pick == Some(Newest) {
            self.calls.keys().next_back()
        } else {
            self.calls.keys().next()
        };
        let Some(call) = call.or(last.copied()) else {
            return;
        };
        if outcome == Outcome::NotSent {
            let (no, id) = (self.calls[&call].sender, self.calls[&call].id);
            let s = &mut self.senders[no];
            if let Some(h) = s.held.get_mut(&id).filter(|h| h.open) {
                h.open = false;
                s.wal.as_mut().unwrap().append_closed(id, &h.taken.id);
                self.met.withdrawals += 1;
                self.fact(What::Withdrawn { id });
            }
        }
        self.fact(What::Ended { call, how });
        let told = self.ended(call, outcome);
        told.into_iter()
            .for_each(|(no, event)| self.turn(no, vec![event]));
    }

    /// Time goes by: wakes and time-outs in their order.
    fn pass(&mut self, span: Millis) {
        let until = self.now + span;
        loop {
            let call = self.calls.iter().min_by(|a, b| a.1.due.total_cmp(&b.1.due));
            let call = call.map(|(call, c)| (c.due, *call));
            let wakes = self
                .senders
                .iter()
                .enumerate()
                .filter_map(|(no, s)| Some((s.wake?, no)));
            let wake = wakes.min_by(|a, b| a.0.total_cmp(&b.0));
            let at = call
                .map_or(f64::INFINITY, |c| c.0)
                .min(wake.map_or(f64::INFINITY, |w| w.0));
            if at > until {
                break;
            }
            self.now = self.now.max(at);
            match (call, wake) {
                (Some((due, call)), _) if due <= at => {
                    self.silent(None, Some(call), Silence::TimedOut, Outcome::TimedOut);
                }
                (_, Some((_, no))) => {
                    self.senders[no].wake = None;
                    self.turn(no, vec![Event::Wake]);
                }
                _ => unreachable!("one of them is due"),
            }
        }
        self.now = until;
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::HandIn(no, class, partner) => self.hand_in(no, class, partner, true),
            Step::Leave(no) => self.hand_in(no, KEYED, 0, false),
            Step::Served(pick) => self.answer(pick, Reply::Served, Outcome::Success),
            Step::Failed(pick) => self.answer(pick, Reply::Failed, Outcome::Failure),
            Step::Refused(pick, wait) => {
                self.answer(
                    pick,
                    Reply::Refused(Some(wait)),
                    Outcome::Overloaded {
                        retry_after: nanos(wait),
                    },
                );
            }
            Step::Reset(pick) => {
                self.silent(Some(pick), None, Silence::Reset, Outcome::ConnectionLost)
            }
            Step::Withdrawn(pick) => {
                self.silent(Some(pick), None, Silence::NeverSent, Outcome::NotSent)
            }
            Step::Pass(span) => self.pass(span),
            Step::Drain(endpoint) => {
                self.off.insert(endpoint);
                self.met.drains += 1;
                for no in 0..2 {
                    if self.senders[no].policy.is_some() {
                        self.listed(no, endpoint);
                        let change = Event::EndpointChanges(vec![self.entry(endpoint)]);
                        self.turn(no, vec![change]);
                    }
                }
            }
            Step::Out(partner) => {
                self.out.insert(partner);
                self.back.remove(&partner);
                self.fact(What::Out { partner, out: true });
            }
            Step::Back(partner) if self.out.remove(&partner) => {
                self.back.insert(partner, self.now);
                self.fact(What::Out {
                    partner,
                    out: false,
                });
            }
            Step::Back(_) => {}
            Step::Kill(no) => self.kill(no),
            Step::Start(no) => self.start(no),
        }
    }

    /// What is broken so far; the judge is told the time, as nothing else may happen any more.
    fn broken(&mut self) -> Vec<Rule> {
        self.fact(What::Joins { sender: 0 });
        self.judge.counts.keys().copied().collect()
    }

    /// Plays an order to its end; the rules are looked at after each event.
    fn play(&mut self, order: &[Step]) {
        for (at, step) in order.iter().enumerate() {
            self.take(*step);
            self.pass(STEP);
            let broken = self.broken();
            assert!(
                broken.is_empty(),
                "{broken:?} after event {at} of {order:?}"
            );
        }
        (0..2).for_each(|no| self.start(no));
        // Nobody answers any more: all must end by itself.
        for _ in 0..20 {
            self.pass(500.0);
            let broken = self.broken();
            assert!(broken.is_empty(), "{broken:?} at the end of {order:?}");
        }
        let open = self
            .senders
            .iter()
            .flat_map(|s| s.held.values())
            .filter(|h| h.open)
            .count();
        assert_eq!(
            (open, self.calls.len()),
            (0, 0),
            "left over after {order:?}"
        );
    }
}

/// Every order of the events, equal ones counted once.
fn orders(left: &mut Vec<Step>, order: &mut Vec<Step>, visit: &mut impl FnMut(&[Step])) {
    if left.is_empty() {
        return visit(order);
    }
    for at in 0..left.len() {
        if left[..at].contains(&left[at]) {
            continue;
        }
        order.push(left.remove(at));
        orders(left, order, visit);
        left.insert(at, order.pop().unwrap());
    }
}

fn search(events: &[Step]) -> Met {
    let folder = tempfile::tempdir().unwrap();
    let mut met = Met::default();
    orders(&mut events.to_vec(), &mut Vec::new(), &mut |order| {
        let mut fleet = Fleet::new(folder.path());
        fleet.play(order);
        let new = fleet.met;
        met.orders += 1;
        met.copies += new.copies;
        met.again += new.again;
        met.waits += new.waits;
        met.drains += new.drains;
        met.returns += new.returns;
        met.withdrawals += new.withdrawals;
        met.resumed += new.resumed;
        met.left += new.left;
    });
    println!("{met:?}");
    met
}

#[rstest]
#[case::a_copy_and_every_answer(
    &[Step::HandIn(0, KEYED, 0), Step::Pass(600.0), Step::Served(Oldest), Step::Refused(Newest, 1_500.0),
      Step::Failed(Oldest), Step::HandIn(0, UNSAFE, 0), Step::Drain(1)],
    5_040, |m: &Met| vec![m.copies, m.again, m.waits, m.drains])]
#[case::a_kill_between_any_two(
    &[Step::HandIn(0, UNSAFE, 0), Step::HandIn(0, KEYED, 0), Step::Reset(Oldest), Step::Kill(0), Step::Start(0),
      Step::Refused(Newest, 1_500.0), Step::Pass(600.0)],
    5_040, |m: &Met| vec![m.copies, m.waits, m.resumed])]
#[case::an_outage_and_a_cold_return(
    &[Step::Out(0), Step::Back(0), Step::HandIn(0, KEYED, 0), Step::HandIn(1, UNSAFE, 0), Step::HandIn(1, KEYED, 0),
      Step::Pass(2_500.0), Step::Served(Oldest)],
    5_040, |m: &Met| vec![m.returns, m.again])]
#[case::a_withdrawal(
    &[Step::HandIn(0, KEYED, 0), Step::HandIn(1, UNSAFE, 1), Step::Pass(600.0), Step::Withdrawn(Oldest),
      Step::Refused(Newest, 900.0), Step::Kill(0), Step::Leave(1)],
    5_040, |m: &Met| vec![m.copies, m.waits, m.withdrawals, m.resumed, m.left])]
#[case::a_kill_with_copies_out_while_an_endpoint_drains(
    &[Step::HandIn(0, KEYED, 0), Step::Pass(600.0), Step::Kill(0), Step::Start(0), Step::Drain(1),
      Step::Served(Oldest), Step::Withdrawn(Newest), Step::Refused(Newest, 1_500.0)],
    40_320, |m: &Met| vec![m.copies, m.waits, m.drains, m.withdrawals, m.resumed])]
#[case::an_order_by_key(
    &[Step::HandIn(0, ORDERED, 0), Step::HandIn(0, ORDERED, 0), Step::HandIn(0, ORDERED, 0), Step::Served(Oldest),
      Step::Reset(Newest), Step::Withdrawn(Oldest), Step::Pass(600.0), Step::Drain(0)],
    6_720, |m: &Met| vec![m.withdrawals, m.drains])]
fn every_order_keeps_every_rule(
    #[case] events: &[Step],
    #[case] count: usize,
    #[case] met: fn(&Met) -> Vec<usize>,
) {
    let found = search(events);
    assert_eq!(found.orders, count);
    assert!(
        met(&found).iter().all(|times| *times > 0),
        "not all was met: {found:?}"
    );
}

/// Has a sender do what the module would not, and says what the judge makes of it.
#[rstest]
#[case::one_answer(Rule::OneAnswer, |f: &mut Fleet| {
    f.hand_in(0, KEYED, 0, true);
    f.take(Step::Withdrawn(Oldest));
    f.send(0, 14, 0, 1_000.0);
})]
#[case::lost(Rule::Lost, |f: &mut Fleet| {
    f.mute = true;
    f.hand_in(0, UNSAFE, 0, true);
    f.pass(8_000.0);
})]
#[case::no_second_effect(Rule::NoSecondEffect, |f: &mut Fleet| {
    f.hand_in(0, UNSAFE, 0, true);
    f.send(0, 14, 1, 1_000.0);
})]
#[case::key_window(Rule::KeyWindow, |f: &mut Fleet| {
    f.hand_in(0, KEYED, 0, true);
    f.pass(WINDOW + 100.0);
    f.send(0, 14, 1, 1_000.0);
})]
#[case::waits(Rule::Waits, |f: &mut Fleet| {
    f.hand_in(0, KEYED, 0, true);
    f.take(Step::Refused(Oldest, 2_000.0));
    f.pass(200.0);
    f.send(0, 14, 0, 1_000.0);
})]
#[case::drains(Rule::Drains, |f: &mut Fleet| {
    f.take(Step::Drain(0));
    f.pass(1_100.0);
    f.hand_in(0, KEYED, 0, true);
    f.send(0, 14, 0, 1_000.0);
})]
#[case::none_toppled(Rule::NoneToppled, |f: &mut Fleet| {
    f.pass(COLLAPSE_WINDOW);
    f.take(Step::Out(0));
    f.hand_in(0, KEYED, 0, true);
    f.take(Step::Back(0));
    (0..7).for_each(|_| drop(f.send(0, 14, 0, 1_000.0)));
})]
#[case::attempts(Rule::Attempts, |f: &mut Fleet| {
    f.hand_in(0, KEYED, 0, true);
    (0..ATTEMPTS).for_each(|_| drop(f.send(0, 14, 0, 1_000.0)));
})]
#[case::right_partner(Rule::RightPartner, |f: &mut Fleet| {
    f.hand_in(0, KEYED, 0, true);
    f.send(0, 14, 2, 1_000.0);
})]
#[case::order(Rule::Order, |f: &mut Fleet| {
    f.hand_in(0, ORDERED, 0, true);
    f.hand_in(0, ORDERED, 0, true);
    f.send(0, 15, 0, 1_000.0);
})]
fn each_check_can_fail(#[case] rule: Rule, #[case] fault: fn(&mut Fleet)) {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = Fleet::new(folder.path());
    assert!(fleet.broken().is_empty());
    fault(&mut fleet);
    assert!(fleet.broken().contains(&rule), "{:?}", fleet.broken());
}
