//! Owns simulated time: the decision module of each sender against the model's partners, with no sockets and no
//! waiting. It carries out the module's actions as the sender does (slots, records, restarts) and must never decide
//! for it; every fact goes to the judge and the tally in the order of time, and equal seeds give equal facts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use martenlatch_clock::{Millis, millis, nanos};
use martenlatch_peers::partner_knowledge::{Bounds, Digest, PartnerKnowledge};
use martenlatch_policy::Policy;
use martenlatch_policy::interface::{
    Action, ClassId, Decay, DestinationId, EndpointEntry, EndpointId, EndpointState,
    EndpointWeights, Event, Idempotency, KindId, MessageId, Outcome, RecoveryRamp, Settings,
    ZoneId,
};

use crate::clients::{ClientMessage, Clients, HandIn};
use crate::delay_queue::Scheduled;
use crate::event_log::{Fact, Silence, What};
use crate::experiment::{Effect, Experiment, Variant, What as Fails};
use crate::judge::{ClassRule, Judge, Verdict};
use crate::load::{self, PlannedMessage};
use crate::metrics::{Figures, Metrics};
use crate::model::environment::{
    Delivery, Environment, ListedState, OutageChange, REPLACEMENT_OVERLAP, Replacement,
};
use crate::model::partner::{self, Admission, Answer, Progress, Reply};
use crate::model::site::Site;
use crate::sampling::{Stream, bernoulli, rng_for, uniform};

/// The module's clock at the start of a run.
const ORIGIN: Millis = 1e6;
const TICK: Millis = 5.0;
const CONNECT: Millis = 1_000.0;
/// SIGTERM: so long work is still taken on, and so long in all.
const LAST_WORK: Millis = 600.0;
const LAST_CALL: Millis = 3_300.0;
/// A message that the module has not ended so long after its time is ended for it.
const OVERDUE: Millis = 120.0;
const SAMPLE: Millis = 100.0;

/// What the module's turns cost, by how many messages were held. Not part of a result: it is the machine's, not the
/// seed's.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    /// For each power of two of messages held: turns, nanoseconds in all, and the longest.
    pub by_held: BTreeMap<u32, (u64, u64, u64)>,
}

impl Turns {
    /// Adds what another run measured.
    pub fn add_all(&mut self, other: &Turns) {
        for (bits, (count, total, longest)) in &other.by_held {
            let entry = self.by_held.entry(*bits).or_default();
            *entry = (entry.0 + count, entry.1 + total, entry.2.max(*longest));
        }
    }

    fn add(&mut self, held: usize, took: u64) {
        let entry = self
            .by_held
            .entry(usize::BITS - held.leading_zeros())
            .or_default();
        *entry = (entry.0 + 1, entry.1 + took, entry.2.max(took));
    }
}

/// Where a run's facts also go.
pub type Sink<'a> = Box<dyn FnMut(&Fact) + 'a>;

/// What a run was.
#[derive(Debug)]
pub struct Played {
    /// Its figures.
    pub figures: Figures,
    /// What the judge found.
    pub verdict: Verdict,
    /// What turns cost.
    pub turns: Turns,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Ev {
    /// The next message of the plan comes.
    Come(usize),
    HandIn {
        origin: u64,
        sender: u32,
    },
    Again {
        origin: u64,
    },
    Turn {
        sender: u32,
        life: u32,
    },
    Wake {
        sender: u32,
        life: u32,
    },
    CallIn {
        call: u64,
    },
    Due {
        partner: u32,
    },
    AnswerIn {
        call: u64,
        reply: Reply,
    },
    SilentIn {
        call: u64,
        how: Silence,
        outcome: Outcome,
    },
    TimeOut {
        call: u64,
    },
    NoticeIn {
        sender: u32,
        id: u64,
        again: Option<Millis>,
        deferred: bool,
    },
    Edge,
    Fails {
        failure: usize,
    },
    Replace {
        failure: usize,
        turn: usize,
    },
    Retire {
        endpoint: u32,
    },
    ListIn {
        sender: u32,
        endpoint: u32,
        stage: EndpointState,
    },
    Exit {
        sender: u32,
        life: u32,
    },
    Start {
        sender: u32,
    },
    /// What the others know is put down for one that joins later.
    Ask {
        sender: u32,
    },
    Overdue {
        sender: u32,
        id: u64,
    },
    Sample,
}

struct Call {
    id: u64,
    origin: u64,
    attempt: u32,
    sender: u32,
    partner: u32,
    endpoint: u32,
    sent: Millis,
    /// It has come to its partner; its connection may be used again if it is answered.
    arrived: bool,
    /// Its connection breaks behind its last byte.
    breaks: bool,
}

struct Task {
    sent: Millis,
    never_ran: bool,
}

struct Held {
    origin: u64,
    deadline: Millis,
    tasks: Vec<Task>,
    out: BTreeMap<u32, u64>,
    open: bool,
}

#[derive(Default)]
struct Sender {
    policy: Option<Policy>,
    life: u32,
    events: Vec<Event>,
    turn_due: bool,
    last_turn: Millis,
    /// When its process began.
    ready: Millis,
    told_to_end: Option<Millis>,
    restart_after: Millis,
    held: BTreeMap<u64, Held>,
    open: usize,
    out: usize,
    /// Idle connections to each endpoint, since when; the most recently used last.
    idle: HashMap<u32, Vec<Millis>>,
    known: BTreeMap<u32, EndpointEntry>,
    /// What it is told when it starts, where that was put down before.
    told: Option<PartnerKnowledge>,
}

struct Sim<'a> {
    x: &'a Experiment,
    seed: u64,
    ground: Environment,
    clients: Clients<'a>,
    settings: Settings,
    connections: Vec<u32>,
    now: Millis,
    seq: u64,
    queue: BinaryHeap<Reverse<Scheduled<Ev>>>,
    plan: Vec<PlannedMessage>,
    senders: Vec<Sender>,
    calls: HashMap<u64, Call>,
    next_call: u64,
    next_id: u64,
    judge: Judge,
    tally: Metrics,
    sink: Option<Sink<'a>>,
    turns: Turns,
    learns: bool,
    told_age: Millis,
}

/// The settings that a variant's senders get in a world.
pub fn settings(experiment: &Experiment, variant: &Variant, site: &Site) -> Settings {
    let world = &experiment.world;
    let each = world.full_rate / f64::from(world.senders);
    let busy = site
        .partners
        .iter()
        .map(|p| p.traffic_share * p.speed)
        .sum::<f64>()
        * each
        * site.work
        / 1e3;
    let ms = |at: Millis| nanos(at);
    Settings {
        senders: world.senders,
        zone: ZoneId(0),
        zone_prices: vec![0.0],
        kinds: vec![
            martenlatch_policy::interface::DestinationKind {
                per_endpoint: false
            };
            world.kinds.len()
        ],
        classes: world
            .classes
            .iter()
            .map(|c| martenlatch_policy::interface::MessageClass {
                latency_objective: ms(c.aim),
                deadline: ms(c.deadline),
                priority_weight: 1.0,
                late_weight_share: c.late_worth,
                idempotency: match c.effect {
                    Effect::Safe => Idempotency::Idempotent,
                    Effect::Keyed => Idempotency::IdempotencyKey {
                        per_zone: false,
                        window: ms(c.window),
                    },
                    Effect::Unsafe => Idempotency::NonIdempotent,
                },
                ordered: false,
            })
            .collect(),
        decay: Decay::Halving,
        weight_meaning: EndpointWeights::Approximate,
        max_in_flight: variant
            .slots
            .unwrap_or(((2.2 * busy).round() as usize).max(3)),
        max_held: variant
            .hold_limit
            .unwrap_or(((9.0 * each).round() as usize).max(8)),
        max_attempts: variant.max_attempts,
        may_cancel: variant.cancel,
        may_hedge: variant.second_copies,
        max_retry_after: Some(ms(3_000.0)),
        recovery: RecoveryRamp {
            overload_factor: partner::COLLAPSE_FACTOR,
            overload_window: ms(partner::COLLAPSE_WINDOW),
            initial_share: world.kinds.iter().map(|k| k.cold_from).fold(1.0, f64::min),
            duration: ms(world.kinds.iter().map(|k| k.cold).fold(0.0, f64::max)),
        },
        key_quiet_period: 0,
        connect_timeout: ms(CONNECT),
        idle_timeout: ms(world.idle),
        turn_interval: ms(TICK),
        cross_zone_price: 0.0,
        handshake_price: 0.0,
    }
}

/// Plays one variant with one seed to its end. Every fact also goes to `sink`.
///
/// # Errors
/// Where the module turns the settings down.
pub fn play<'a>(
    experiment: &'a Experiment,
    variant: &'a Variant,
    seed: u64,
    sink: Option<Sink<'a>>,
) -> Result<Played, String> {
    play_until(experiment, variant, seed, sink, &AtomicBool::new(false))
}

/// Plays one variant with one seed, unless `stop` is set before its end. Every fact also goes to `sink`.
///
/// # Errors
/// Where the module turns the settings down, or the run was stopped.
pub fn play_until<'a>(
    experiment: &'a Experiment,
    variant: &'a Variant,
    seed: u64,
    sink: Option<Sink<'a>>,
    stop: &AtomicBool,
) -> Result<Played, String> {
    let mut sim = Sim::new(experiment, variant, seed, sink)?;
    let longest = experiment
        .world
        .classes
        .iter()
        .map(|c| c.deadline)
        .fold(0.0, f64::max);
    let end = experiment.length + longest + 6_000.0;
    sim.start();
    while let Some(Reverse(next)) = sim.queue.pop() {
        if next.at > end {
            break;
        }
        if stop.load(Ordering::Relaxed) {
            return Err("stopped".into());
        }
        sim.now = next.at.max(sim.now);
        sim.take(next.event);
    }
    Ok(Played {
        figures: sim.tally.end(),
        verdict: sim.judge.end(end),
        turns: sim.turns,
    })
}

impl<'a> Sim<'a> {
    fn new(
        x: &'a Experiment,
        v: &'a Variant,
        seed: u64,
        sink: Option<Sink<'a>>,
    ) -> Result<Sim<'a>, String> {
        let ground = Environment::new(x, seed);
        let settings = settings(x, v, &ground.site);
        settings
            .check()
            .map_err(|e| format!("variant {:?}: {e}", v.name))?;
        let rules = x
            .world
            .classes
            .iter()
            .map(|c| ClassRule {
                effect: c.effect,
                window: c.window,
            })
            .collect();
        Ok(Sim {
            connections: vec![0; ground.owner.len()],
            senders: (0..x.world.senders).map(|_| Sender::default()).collect(),
            judge: Judge::new(rules, v.max_attempts),
            tally: Metrics::new(&x.world.classes, 0.0, x.length),
            plan: load::plan(x, &ground.site, &ground.faults, seed),
            clients: Clients::new(x, seed),
            turns: Turns::default(),
            calls: HashMap::new(),
            queue: BinaryHeap::new(),
            now: 0.0,
            seq: 0,
            next_call: 0,
            next_id: 0,
            x,
            seed,
            ground,
            settings,
            sink,
            learns: v.learns,
            told_age: v.told_age,
        })
    }

    fn at(&mut self, at: Millis, ev: Ev) {
        self.seq += 1;
        self.queue.push(Reverse(Scheduled {
            at,
            sequence: self.seq,
            event: ev,
        }));
    }

    fn fact(&mut self, what: What) {
        let fact = Fact { at: self.now, what };
        self.judge.hear(&fact);
        self.tally.hear(&fact);
        if let Some(sink) = self.sink.as_mut() {
            sink(&fact);
        }
    }

    /// One way between two machines.
    fn travel(&self, a: u64, b: u64) -> Millis {
        uniform(
            &mut rng_for(self.seed, Stream::Travel, a, b),
            self.x.world.latency,
        )
    }

    fn start(&mut self) {
        for sender in 0..self.senders.len() as u32 {
            for endpoint in 0..self.ground.owner.len() as u32 {
                let entry = self.entry(endpoint, EndpointState::Active);
                self.senders[sender as usize].known.insert(endpoint, entry);
            }
            match self.x.join_time(sender) {
                None => self.begin(sender),
                Some(at) if self.learns && self.told_age > 0.0 => {
                    self.at((at - self.told_age).max(0.0), Ev::Ask { sender });
                }
                Some(_) => {}
            }
        }
        if !self.plan.is_empty() {
            self.at(self.plan[0].at, Ev::Come(0));
        }
        for (i, f) in self.x.failures.iter().enumerate() {
            let first = if f.what == Fails::Replace {
                Ev::Replace {
                    failure: i,
                    turn: 0,
                }
            } else {
                Ev::Fails { failure: i }
            };
            self.at(f.start, first);
            self.at(f.end, Ev::Edge);
        }
        self.at(0.0, Ev::Sample);
    }

    fn entry(&self, endpoint: u32, stage: EndpointState) -> EndpointEntry {
        let partner = self.ground.partner_of(endpoint);
        let drawn = &self.ground.site.partners[partner as usize];
        EndpointEntry {
            endpoint: EndpointId(endpoint),
            zone: ZoneId(0),
            kind: KindId(drawn.kind),
            destination: DestinationId(partner.into()),
            stage,
            weight: drawn.advertised_weight,
        }
    }

    /// What up to three others that run can tell a newcomer now, in the form in which it crosses the network.
    fn ask(&self, newcomer: u32) -> PartnerKnowledge {
        let (mut known, bounds) = (PartnerKnowledge::default(), Bounds::default());
        let others = self
            .senders
            .iter()
            .enumerate()
            .filter(|(no, _)| *no as u32 != newcomer);
        for (no, policy) in others
            .filter_map(|(no, s)| Some((no, s.policy.as_ref()?)))
            .take(3)
        {
            let mut after = None;
            loop {
                let (observations, next) = policy.observations(nanos(ORIGIN + self.now), after, 32);
                for sight in &observations {
                    let name = sight.endpoint.map(|e| e.0.to_string());
                    known.hear(&no.to_string(), &Digest::of(sight, name), self.now, &bounds);
                }
                if next.is_none() {
                    break;
                }
                after = next;
            }
        }
        known
    }

    /// A sender's process starts, with what its folder and its agent hold.
    fn begin(&mut self, sender: u32) {
        let seed =
            self.seed ^ (u64::from(sender) << 32) ^ u64::from(self.senders[sender as usize].life);
        let Ok(policy) = Policy::new(self.settings.clone(), seed) else {
            return;
        };
        let listed: Vec<EndpointEntry> = self.senders[sender as usize]
            .known
            .values()
            .cloned()
            .collect();
        for e in &listed {
            let (endpoint, partner, on) = (
                e.endpoint.0,
                e.destination.0 as u32,
                e.stage == EndpointState::Active,
            );
            self.fact(What::Listed {
                sender,
                endpoint,
                partner,
                on,
            });
        }
        let classes: Vec<(u64, u32, u32)> = self.senders[sender as usize]
            .held
            .iter()
            .filter(|(_, h)| h.open)
            .map(|(id, h)| {
                let planned = self.clients.message(h.origin).planned;
                (*id, planned.class, planned.partner)
            })
            .collect();
        let known = match self.senders[sender as usize].told.take() {
            Some(told) => told,
            None if self.learns && self.now > 0.0 => self.ask(sender),
            None => PartnerKnowledge::default(),
        };
        let s = &mut self.senders[sender as usize];
        let now = self.now;
        (s.policy, s.told_to_end, s.out, s.last_turn, s.ready) =
            (Some(policy), None, 0, f64::NEG_INFINITY, now);
        s.idle.clear();
        s.events = vec![Event::EndpointList(listed)];
        let number = |_, name: Option<&str>| match name {
            Some(name) => name.parse().ok().map(|no| Some(EndpointId(no))),
            None => Some(None),
        };
        s.events.extend(
            known
                .told(now, &Bounds::default(), number)
                .into_iter()
                .map(Event::Gossip),
        );
        for (id, class, partner) in classes {
            let h = &s.held[&id];
            s.events.push(Event::MessageResumed {
                id: MessageId(id),
                destination: DestinationId(partner.into()),
                class: ClassId(class as usize),
                deadline: nanos(ORIGIN + h.deadline),
                attempts: h.tasks.len() as u32,
                ran: h
                    .tasks
                    .iter()
                    .find(|t| !t.never_ran)
                    .map(|t| nanos(ORIGIN + t.sent)),
            });
        }
        self.fact(What::Ready { sender });
        self.want_turn(sender);
    }

    fn want_turn(&mut self, sender: u32) {
        let s = &mut self.senders[sender as usize];
        if s.policy.is_some() && !s.turn_due {
            s.turn_due = true;
            let (at, life) = (self.now.max(s.last_turn + TICK), s.life);
            self.at(at, Ev::Turn { sender, life });
        }
    }

    fn tell(&mut self, sender: u32, event: Event) {
        self.senders[sender as usize].events.push(event);
        self.want_turn(sender);
    }

    fn take(&mut self, ev: Ev) {
        match ev {
            Ev::Come(at) => {
                let origin = self.clients.register(self.plan[at]);
                self.hand_in(origin);
                if at + 1 < self.plan.len() {
                    self.at(self.plan[at + 1].at, Ev::Come(at + 1));
                }
            }
            Ev::HandIn { origin, sender } => self.handed_in(origin, sender),
            Ev::Again { origin } => self.hand_in(origin),
            Ev::Turn { sender, life } => self.turn(sender, life),
            Ev::Wake { sender, life } => {
                if self.senders[sender as usize].life == life {
                    self.tell(sender, Event::Wake);
                }
            }
            Ev::CallIn { call } => self.call_in(call),
            Ev::Due { partner } => self.partner_due(partner),
            Ev::AnswerIn { call, reply } => self.answer_in(call, reply),
            Ev::SilentIn { call, how, outcome } => self.silent(call, how, outcome),
            Ev::TimeOut { call } => self.silent(call, Silence::TimedOut, Outcome::TimedOut),
            Ev::NoticeIn {
                sender,
                id,
                again,
                deferred,
            } => self.notice_in(sender, id, deferred, again),
            Ev::Edge => self.edge(),
            Ev::Fails { failure } => self.fails(failure),
            Ev::Replace { failure, turn } => self.replace(failure, turn),
            Ev::Retire { endpoint } => self.ground.retire(endpoint),
            Ev::ListIn {
                sender,
                endpoint,
                stage,
            } => {
                let entry = self.entry(endpoint, stage);
                let partner = entry.destination.0 as u32;
                let s = &mut self.senders[sender as usize];
                if stage == EndpointState::Removed {
                    s.known.remove(&endpoint);
                } else {
                    s.known.insert(endpoint, entry.clone());
                }
                if s.policy.is_some() {
                    self.fact(What::Listed {
                        sender,
                        endpoint,
                        partner,
                        on: stage == EndpointState::Active,
                    });
                    self.tell(sender, Event::EndpointChanges(vec![entry]));
                }
            }
            Ev::Exit { sender, life } => {
                if self.senders[sender as usize].life == life {
                    self.die(sender);
                }
            }
            Ev::Start { sender } => self.begin(sender),
            Ev::Ask { sender } => self.senders[sender as usize].told = Some(self.ask(sender)),
            Ev::Overdue { sender, id } => self.overdue(sender, id),
            Ev::Sample => {
                let held = self.senders.iter().map(|s| s.open as u64).sum();
                self.tally.held(self.now, held);
                if self.now < self.x.length {
                    self.at(self.now + SAMPLE, Ev::Sample);
                }
            }
        }
    }

    // ---- Clients -----------------------------------------------------------------------------------------------

    /// A client hands a message in, through a front that deals requests out over the senders that are up.
    fn hand_in(&mut self, origin: u64) {
        let up: Vec<u32> = (0..self.senders.len() as u32)
            .filter(|s| self.senders[*s as usize].policy.is_some())
            .collect();
        match self.clients.choose_sender(origin, &up) {
            Some(HandIn {
                sender,
                latency: way,
            }) => self.at(self.now + way, Ev::HandIn { origin, sender }),
            // Nobody listens: the connection is refused, and the client comes again.
            None => self.again(origin, None, false),
        }
    }

    fn again(&mut self, origin: u64, told: Option<Millis>, heard: bool) {
        if let Some(at) = self.clients.retry_at(origin, told, heard, self.now) {
            self.at(at, Ev::Again { origin });
        }
    }

    fn handed_in(&mut self, origin: u64, sender: u32) {
        let ClientMessage {
            planned, deadline, ..
        } = *self.clients.message(origin);
        if self.senders[sender as usize].policy.is_none() {
            return self.again(origin, None, false);
        }
        let id = self.next_id;
        self.next_id += 1;
        let (class, partner, first) = (planned.class, planned.partner, planned.at);
        self.fact(What::HandedIn {
            origin,
            id,
            sender,
            class,
            partner,
            first,
            deadline,
            key: None,
        });
        let full_disk = self.ground.faults.disk_full(self.now);
        let s = &mut self.senders[sender as usize];
        let stopped = s
            .told_to_end
            .is_some_and(|told| self.now >= told + LAST_WORK);
        if stopped || full_disk || s.open >= self.settings.max_held {
            self.fact(What::Answered { id, status: 503 });
            return self.again(origin, Some(1_000.0), true);
        }
        s.open += 1;
        s.held.insert(
            id,
            Held {
                origin,
                deadline,
                tasks: Vec::new(),
                out: BTreeMap::new(),
                open: true,
            },
        );
        self.fact(What::Answered { id, status: 202 });
        self.at(deadline + OVERDUE, Ev::Overdue { sender, id });
        let event = Event::MessageAccepted {
            id: MessageId(id),
            destination: DestinationId(partner.into()),
            class: ClassId(class as usize),
            deadline: nanos(ORIGIN + deadline),
            key: None,
        };
        self.tell(sender, event);
    }

    fn notice_in(&mut self, sender: u32, id: u64, deferred: bool, again: Option<Millis>) {
        self.fact(What::Notice {
            sender,
            id,
            deferred,
            again,
        });
        let Some(h) = self.senders[sender as usize].held.get(&id) else {
            return;
        };
        let origin = h.origin;
        if let Some(ran) = h.tasks.iter().find(|t| !t.never_ran).map(|t| t.sent) {
            self.clients.may_have_run(origin, ran);
        }
        self.forget(sender, id);
        if deferred {
            self.again(origin, again, true);
        }
    }

    // ---- Senders -----------------------------------------------------------------------------------------------

    fn turn(&mut self, sender: u32, life: u32) {
        let s = &mut self.senders[sender as usize];
        if s.life != life {
            return;
        }
        s.turn_due = false;
        s.last_turn = self.now;
        let Some(policy) = s.policy.as_mut() else {
            return;
        };
        let (events, mut actions) = (std::mem::take(&mut s.events), Vec::new());
        let clock = Instant::now();
        policy.turn(nanos(ORIGIN + self.now), &events, &mut actions);
        self.turns.add(s.open, clock.elapsed().as_nanos() as u64);
        for action in actions {
            match action {
                Action::Send {
                    id,
                    endpoint,
                    timeout,
                    ..
                } => self.send(sender, id.0, endpoint.0, millis(timeout)),
                Action::Cancel { id, attempt } => {
                    let call = self.senders[sender as usize]
                        .held
                        .get(&id.0)
                        .and_then(|h| h.out.get(&attempt));
                    if let Some(call) = call.copied() {
                        self.silent(call, Silence::CalledOff, Outcome::Cancelled);
                    }
                }
                Action::Reject { id, retry_after } => {
                    self.end(sender, id.0, true, retry_after.map(millis))
                }
                Action::Fail { id } => self.end(sender, id.0, false, None),
                Action::WakeAfter(span) => {
                    self.at(self.now + millis(span), Ev::Wake { sender, life })
                }
                Action::CloseIdle(endpoint) => {
                    let idle = self.senders[sender as usize]
                        .idle
                        .remove(&endpoint.0)
                        .map_or(0, |i| i.len());
                    self.connections[endpoint.0 as usize] -= idle as u32;
                }
            }
        }
        let s = &self.senders[sender as usize];
        if s.told_to_end
            .is_some_and(|told| self.now >= told + LAST_WORK)
            && s.open == 0
            && s.out == 0
        {
            self.die(sender);
        }
    }

    /// The module has given a message up.
    fn end(&mut self, sender: u32, id: u64, deferred: bool, again: Option<Millis>) {
        let s = &mut self.senders[sender as usize];
        let Some(h) = s.held.get_mut(&id).filter(|h| h.open) else {
            return;
        };
        h.open = false;
        s.open -= 1;
        self.at(
            self.now + 1.0,
            Ev::NoticeIn {
                sender,
                id,
                again,
                deferred,
            },
        );
    }

    /// Ends what the module should have ended, as the sender does.
    fn overdue(&mut self, sender: u32, id: u64) {
        let s = &self.senders[sender as usize];
        if s.held.get(&id).is_none_or(|h| !h.open) {
            return;
        }
        if s.policy.is_none() || self.now < s.ready + OVERDUE {
            return self.at(self.now + OVERDUE, Ev::Overdue { sender, id });
        }
        self.end(sender, id, false, None);
        self.tell(sender, Event::ClientLeft(MessageId(id)));
    }

    fn forget(&mut self, sender: u32, id: u64) {
        let s = &mut self.senders[sender as usize];
        if s.held.get(&id).is_some_and(|h| !h.open && h.out.is_empty()) {
            s.held.remove(&id);
        }
    }

    fn send(&mut self, sender: u32, id: u64, endpoint: u32, timeout: Millis) {
        let partner = self.ground.partner_of(endpoint);
        let weather = self.ground.faults_at(partner, self.now);
        let idle_limit = self.x.world.idle * 0.9;
        let s = &mut self.senders[sender as usize];
        let Some(h) = s.held.get_mut(&id) else { return };
        let (attempt, origin) = (h.tasks.len() as u32, h.origin);
        let full = s.out >= self.settings.max_in_flight;
        h.tasks.push(Task {
            sent: self.now,
            never_ran: full,
        });
        if full {
            let finished = !h.open;
            let (id, outcome, took) = (MessageId(id), Outcome::NotSent, 0);
            return self.tell(
                sender,
                Event::AttemptEnded {
                    id,
                    attempt,
                    outcome,
                    took,
                    finished,
                },
            );
        }
        let call = self.next_call;
        self.next_call += 1;
        h.out.insert(attempt, call);
        s.out += 1;
        // The most recently used connection that has not idled for too long.
        let idle = s.idle.entry(endpoint).or_default();
        let before = idle.len();
        idle.retain(|since| self.now - since < idle_limit);
        let kept = idle.pop();
        let fresh = kept.is_none();
        let gone = before - idle.len() - usize::from(!fresh);
        self.connections[endpoint as usize] -= gone as u32;
        self.connections[endpoint as usize] += u32::from(fresh);
        let arrived = false;
        let mut rng = rng_for(self.seed, Stream::Call, origin, 500 + u64::from(attempt));
        let (before, after) = (
            bernoulli(&mut rng, weather.reset.before),
            bernoulli(&mut rng, weather.reset.after),
        );
        let sent = self.now;
        self.calls.insert(
            call,
            Call {
                id,
                origin,
                attempt,
                sender,
                partner,
                endpoint,
                sent,
                arrived,
                breaks: after,
            },
        );
        self.fact(What::Call {
            call,
            id,
            sender,
            partner,
            endpoint,
            fresh,
        });
        self.at(self.now + timeout, Ev::TimeOut { call });
        let way = self.travel(call, 0);
        // A new connection has its own round trip first.
        let there = self.now + way * if fresh { 3.0 } else { 1.0 };
        let stale = kept.is_some_and(|since| self.now - since >= weather.idle_close_after);
        if weather.partitioned {
            if fresh {
                let (how, outcome) = (Silence::NeverSent, Outcome::Unreachable);
                self.at(self.now + CONNECT, Ev::SilentIn { call, how, outcome });
            }
        } else if stale {
            let (how, outcome) = (Silence::Reset, Outcome::StaleConnection);
            self.at(there + way, Ev::SilentIn { call, how, outcome });
        } else if before {
            let outcome = if fresh {
                Outcome::Unreachable
            } else {
                Outcome::NotSent
            };
            self.at(
                there,
                Ev::SilentIn {
                    call,
                    how: Silence::NeverSent,
                    outcome,
                },
            );
        } else {
            self.at(there, Ev::CallIn { call });
        }
    }

    /// A call has ended for its sender.
    fn ended(&mut self, call: u64, outcome: Outcome) -> Option<Call> {
        let c = self.calls.remove(&call)?;
        let s = &mut self.senders[c.sender as usize];
        s.out -= 1;
        let h = s.held.get_mut(&c.id)?;
        h.out.remove(&c.attempt);
        if outcome.never_ran() {
            h.tasks[c.attempt as usize].never_ran = true;
        }
        if outcome == Outcome::Success && h.open {
            h.open = false;
            s.open -= 1;
        }
        let finished = !h.open;
        let (id, attempt, took) = (MessageId(c.id), c.attempt, nanos(self.now - c.sent));
        self.forget(c.sender, c.id);
        self.tell(
            c.sender,
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
                took,
                finished,
            },
        );
        Some(c)
    }

    fn silent(&mut self, call: u64, how: Silence, outcome: Outcome) {
        if !self.calls.contains_key(&call) {
            return;
        }
        self.fact(What::Ended { call, how });
        if let Some(c) = self.ended(call, outcome) {
            self.connections[c.endpoint as usize] -= 1;
        }
    }

    fn answer_in(&mut self, call: u64, reply: Reply) {
        let outcome = match reply {
            Reply::Served => Outcome::Success,
            Reply::Failed | Reply::Spoilt => Outcome::Failure,
            Reply::Refused(wait) => Outcome::Overloaded {
                retry_after: nanos(wait.unwrap_or(0.0)),
            },
        };
        let Some(c) = self.ended(call, outcome) else {
            return;
        };
        if reply == Reply::Spoilt {
            self.connections[c.endpoint as usize] -= 1;
        } else {
            let idle = self.senders[c.sender as usize]
                .idle
                .entry(c.endpoint)
                .or_default();
            idle.push(self.now);
        }
    }

    /// A sender's process ends, in whatever way: its calls end with it, and only its folder stays.
    fn die(&mut self, sender: u32) {
        let s = &mut self.senders[sender as usize];
        if s.policy.take().is_none() {
            return;
        }
        s.life += 1;
        (s.turn_due, s.out) = (false, 0);
        s.events.clear();
        let mut calls: Vec<u64> = s
            .held
            .values()
            .flat_map(|h| h.out.values().copied())
            .collect();
        calls.sort_unstable();
        s.held.values_mut().for_each(|h| h.out.clear());
        let idle: Vec<(u32, usize)> = s.idle.drain().map(|(e, i)| (e, i.len())).collect();
        let after = s.restart_after;
        idle.into_iter()
            .for_each(|(e, count)| self.connections[e as usize] -= count as u32);
        for call in calls {
            self.fact(What::Ended {
                call,
                how: Silence::Died,
            });
            if let Some(c) = self.calls.remove(&call) {
                self.connections[c.endpoint as usize] -= 1;
            }
        }
        self.fact(What::Gone { sender });
        self.at(self.now + after, Ev::Start { sender });
    }

    // ---- Partners ----------------------------------------------------------------------------------------------

    fn call_in(&mut self, call: u64) {
        let Some(c) = self.calls.get_mut(&call) else {
            return;
        };
        c.arrived = true;
        let (origin, attempt, partner, endpoint, breaks) =
            (c.origin, c.attempt, c.partner, c.endpoint, c.breaks);
        self.fact(What::Arrived { call });
        let class = self.clients.message(origin).planned.class;
        let told = partner::Call {
            number: call,
            origin,
            attempt,
            work: self.x.work(self.seed, class),
        };
        if self.connections[endpoint as usize] > self.x.world.connections {
            return self.reply(call, Reply::Refused(None));
        }
        let Delivery {
            admission: taken,
            collapsed: toppled,
        } = self.ground.deliver(endpoint, told, self.now);
        if toppled {
            self.fact(What::Toppled { partner });
        }
        match taken {
            Admission::Answered(reply) => self.reply(call, reply),
            Admission::Running => {
                self.fact(What::Ran { call });
                if breaks {
                    let way = self.travel(call, 1);
                    let (how, outcome) = (Silence::Reset, Outcome::ConnectionLost);
                    self.at(self.now + way, Ev::SilentIn { call, how, outcome });
                }
                self.look_at(partner);
            }
            Admission::Queued => {}
        }
    }

    /// A partner writes its answer; it comes a little later.
    fn reply(&mut self, call: u64, reply: Reply) {
        if self.calls.contains_key(&call) {
            self.fact(What::Replied { call, reply });
            let way = self.travel(call, 1);
            self.at(self.now + way, Ev::AnswerIn { call, reply });
        }
    }

    fn look_at(&mut self, partner: u32) {
        if let Some(at) = self.ground.earlier_completion(partner) {
            self.at(at.max(self.now), Ev::Due { partner });
        }
    }

    fn partner_due(&mut self, partner: u32) {
        let Progress {
            answers,
            started: begun,
        } = self.ground.advance(partner, self.now);
        for Answer { call, reply } in answers {
            if self.calls.get(&call).is_none_or(|c| !c.breaks) {
                self.reply(call, reply);
            }
        }
        for call in begun {
            if self.calls.contains_key(&call) {
                self.fact(What::Ran { call });
            }
        }
        self.look_at(partner);
    }

    // ---- What goes wrong ---------------------------------------------------------------------------------------

    /// A failure has begun or ended: partners go out, or come back.
    fn edge(&mut self) {
        for OutageChange { partner, out } in self.ground.update_outages(self.now) {
            self.fact(What::Out { partner, out });
        }
    }

    fn fails(&mut self, failure: usize) {
        let f = &self.x.failures[failure];
        let (what, sender, size) = (f.what, f.sender, f.size);
        match what {
            Fails::Join => {
                self.fact(What::Joins { sender });
                self.begin(sender);
            }
            Fails::Sigkill => {
                self.senders[sender as usize].restart_after = size;
                self.die(sender);
            }
            Fails::Sigterm => {
                let (now, s) = (self.now, &mut self.senders[sender as usize]);
                if s.policy.is_none() || s.told_to_end.is_some() {
                    return;
                }
                (s.told_to_end, s.restart_after) = (Some(now), size);
                let life = s.life;
                self.fact(What::Told { sender });
                self.tell(
                    sender,
                    Event::ShutdownDeadline(nanos(ORIGIN + now + LAST_CALL)),
                );
                self.at(now + LAST_CALL + 100.0, Ev::Exit { sender, life });
            }
            _ => self.edge(),
        }
    }

    /// Tells every sender of an endpoint, as late as the list is now.
    fn list(&mut self, endpoint: u32, state: ListedState) {
        for sender in 0..self.senders.len() as u32 {
            let at = self.ground.notified_at(sender, endpoint, state, self.now);
            let stage = match state {
                ListedState::Active => EndpointState::Active,
                ListedState::Draining => EndpointState::Draining,
                ListedState::Removed => EndpointState::Removed,
            };
            self.at(
                at,
                Ev::ListIn {
                    sender,
                    endpoint,
                    stage,
                },
            );
        }
    }

    fn replace(&mut self, failure: usize, turn: usize) {
        let f = &self.x.failures[failure];
        if self.now >= f.end {
            return;
        }
        if let Some(partner) = self.ground.next_replaced(failure, turn) {
            let Replacement { old, new } = self.ground.replace_endpoint(partner);
            self.connections.push(0);
            self.list(new, ListedState::Active);
            self.list(old, ListedState::Draining);
            self.list(old, ListedState::Removed);
            self.at(self.now + REPLACEMENT_OVERLAP, Ev::Retire { endpoint: old });
        }
        self.at(
            self.now + f.every,
            Ev::Replace {
                failure,
                turn: turn + 1,
            },
        );
    }
}
