//! Owns the chain that a transaction passes (take in, admit, route, send, relay, book) and the driver that runs it
//! once a round. It must never decide what the module decides; only the driver speaks with the module, in types
//! that know no protocol, so that another protocol can stand before the same decisions.

mod admission;
#[cfg(test)]
mod compatibility_tests;
mod completion;
#[cfg(test)]
mod crash_recovery_tests;
mod decision;
mod dispatch;
mod ingress;
mod message_store;
mod process_state;
mod status_reports;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use crate::event_source::{EventSource, Handle, InheritedDescriptors};
use martenlatch_clock::{Clock, Millis, millis, nanos};
use martenlatch_http as http;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_policy::Policy;
use martenlatch_policy::interface::{
    Action, EndpointId, EndpointState, Event, Idempotency, MessageClass, MessageId, Outcome,
};
use martenlatch_wal::{FinalStatus, RecoveredState, WriteAheadLog};
use slab::Slab;
use tracing::{debug, error, info, warn};

use crate::Config;
use crate::class_metrics::{ClassMetrics, Gauges};
use crate::class_rules::ClassRules;
use crate::cordons::Cordons;
use crate::counters::Counters;
use crate::discovery::{Change, EndpointDirectory};
use crate::egress::Egress;
use crate::jitter::Jitter;
use crate::operator::{self, Call, Operators};
use crate::peer_service::Peers;
use admission::Admission;
use completion::Completion;
use decision::Decision;
use dispatch::{Dispatch, DispatchTarget};
use ingress::Ingress;
use message_store::MessageStore;
pub use process_state::ProcessState;
use status_reports::{NOTICES, RETRY, StatusReporter};

/// SIGTERM: so long work is still taken on, and so long in all, as SIGKILL comes 3.7 s after it at the earliest.
const LAST_WORK: Millis = 600.0;
const LAST_CALL: Millis = 3_300.0;
/// A transaction not ended so long after its time is ended here, well before it counts as lost.
const OVERDUE: Millis = 120.0;
/// How long the loop rests where more is to be read and a pool of buffers is spent.
const WANTS: Millis = 3.0;
/// Two buffers each for the watch and for the notices.
const OWN: usize = 4;

/// What a process starts with.
pub enum Start {
    /// Its own listener; the wal holds what earlier lives have left.
    Fresh(TcpListener),
    /// All that the process before it was, and its descriptors, those of the listener first.
    Passed(Box<ProcessState<Policy>>, InheritedDescriptors),
}

/// Runs the chain, a round at a time.
pub struct Driver {
    /// Zones, kinds and classes by name.
    names: [Vec<String>; 3],
    /// Where clients connect.
    listen: SocketAddr,
    /// The limit on descriptors.
    sockets: usize,
    clock: Clock,
    handle: Handle,
    /// Buffers for what the sender owes, the watch and the notices: calls to regions must not take their last one.
    own: BufferPool,
    ingress: Ingress,
    admission: Admission,
    decision: Decision,
    dispatch: Dispatch,
    status_reporter: StatusReporter,
    completion: Completion,
    store: MessageStore,
    egress: Egress,
    directory: EndpointDirectory,
    /// Where operators call, if anywhere.
    operators: Option<Operators>,
    /// Other senders, where these know one another.
    peers: Option<Peers>,
    /// Sockets that had more to read than one round takes.
    again: Vec<EventSource>,
    /// When the sender was told to end.
    told_to_end: Option<Millis>,
}

impl Driver {
    pub fn new(
        config: Config,
        start: Start,
        peers: Option<Peers>,
        handle: &Handle,
        clock: Clock,
    ) -> Result<Driver, String> {
        let boot = &config.boot;
        let mut set = boot.settings.clone();
        set.max_attempts = set.max_attempts.min(martenlatch_wal::MAX_ATTEMPTS as u32);
        let mut class_rules = ClassRules::new(&boot.classes, &set.classes);
        // Half of the descriptors for clients: the rest is for regions, discovery and files. Clients have buffers
        // of their own, two each, so that slow ones cannot starve the regions.
        let callers = if config.operator.is_some() {
            operator::CALLERS + 1
        } else {
            0
        };
        let buffers = (config.memory / 2 / http::buffer_pool::BUFFER_SIZE as u64) as usize;
        let buffers = buffers.saturating_sub(2 * callers);
        let most = (config.sockets / 2)
            .saturating_sub(callers)
            .min(buffers / 3)
            .max(1);
        let left = buffers - 2 * most.min(buffers / 3);
        let (own, clients_pool) = (BufferPool::new(OWN), BufferPool::new(2 * most));
        let pool = BufferPool::new(left.saturating_sub(OWN).max(1));
        let failed = |e: std::io::Error| format!("what was passed cannot be taken up: {e}");
        let unusable = |e| format!("settings: {e}");
        let (listener, policy, wal, past, passed) = match start {
            Start::Fresh(listener) => {
                let (wal, past) = WriteAheadLog::open(&config.state, config.disk);
                for t in past.open.values() {
                    class_rules.keep(&t.class, &t.rules, &mut set);
                }
                let policy = Policy::new(set.clone(), config.seed).map_err(unusable)?;
                (listener, policy, wal, past, None)
            }
            Start::Passed(process_state, mut fds) => {
                let listener = TcpListener::from(fds.take().map_err(failed)?);
                let (policy, place, mut process_state) = process_state.split();
                let passed =
                    std::mem::replace(&mut process_state.class_rules, ClassRules::new(&[], &[]));
                let snapshot = class_rules.restore(passed, &mut set);
                class_rules = snapshot.ok_or(
                    "settings: classes with other rules than those of the process that serves",
                )?;
                let policy = policy.restore(set.clone()).map_err(unusable)?;
                let wal =
                    WriteAheadLog::restore(&config.state, config.disk, place, process_state.open());
                let mut past = RecoveredState::default();
                past.next = process_state.next;
                (
                    listener,
                    policy,
                    wal.map_err(|e| failed(std::io::Error::other(e)))?,
                    past,
                    Some((process_state, fds)),
                )
            }
        };
        let (listener, jitter) = (Rc::new(listener), Jitter::new(config.seed));
        let token = http::register(handle, listener.clone(), EventSource::Listener)
            .map_err(|e| format!("listen: cannot watch the socket: {e}"))?;
        let keyed = |c: &MessageClass| matches!(c.idempotency, Idempotency::IdempotencyKey { .. });
        let classes = boot
            .classes
            .iter()
            .cloned()
            .zip(boot.settings.classes.iter().map(keyed))
            .collect();
        let ingress = Ingress {
            listener: Some(listener),
            token: Some(token),
            handle: handle.clone(),
            pool: clients_pool,
            clients: Slab::new(),
            most,
            times: config.clients,
            classes,
            next_sweep: 0.0,
            accept_at: None,
            final_status: false,
            cut_off: Vec::new(),
            jitter: jitter.clone(),
            advice: set.max_retry_after.map(millis),
        };
        let (next, counters) = (past.next, Counters::default());
        let (held, numbers) = (BTreeMap::new(), HashMap::new());
        let class_metrics = ClassMetrics::new(&boot.classes);
        let mut store = MessageStore {
            held,
            numbers,
            by_deadline: BTreeSet::new(),
            open: 0,
            next,
            wal,
            counters,
            class_metrics,
        };
        let mut status_reporter = StatusReporter {
            platform: config.discovery,
            handle: handle.clone(),
            pool: own.clone(),
            connection: None,
            queue: VecDeque::new(),
            flying: Vec::new(),
            sent: 0.0,
            next_try: 0.0,
            pause: RETRY.0,
            batch: NOTICES,
            jitter: jitter.clone(),
        };
        let admission = Admission {
            max_held: set.max_held,
            classes: boot.classes.clone(),
            class_rules,
        };
        let resumed = past
            .open
            .into_values()
            .filter_map(|t| admission.resume(t, &mut store, &mut status_reporter))
            .collect();
        let mut driver = Driver {
            names: process_state::names(&config),
            listen: config.listen,
            sockets: config.sockets,
            admission,
            decision: Decision {
                policy,
                events: Vec::new(),
                wake: None,
            },
            dispatch: Dispatch,
            status_reporter,
            completion: Completion,
            store,
            ingress,
            egress: Egress::new(
                handle,
                &pool,
                (config.sockets / 3).max(set.max_in_flight),
                millis(set.connect_timeout),
                millis(set.idle_timeout),
            ),
            directory: EndpointDirectory::new(
                config.discovery,
                boot,
                Cordons::open(&config.state, config.disk),
                jitter,
            ),
            operators: None,
            peers,
            again: Vec::new(),
            told_to_end: None,
            clock,
            handle: handle.clone(),
            own,
        };
        if let Some((process_state, mut fds)) = passed {
            driver
                .restore_state(process_state, &mut fds)
                .map_err(failed)?;
            return Ok(driver);
        }
        if config.known.is_object()
            && let Some(known) = driver.directory.apply(&config.known)
        {
            driver.listed(Change {
                whole: true,
                ..known
            });
            driver.directory.delay_first_watch(driver.clock.now());
        }
        driver.decision.events.extend::<Vec<Event>>(resumed);
        info!(name = %config.name, resumed = driver.store.counters.resumed, "started");
        Ok(driver)
    }

    /// From here on the calls of operators are answered.
    pub fn answer_operators(&mut self, operators: Option<Operators>) {
        self.operators = operators;
    }

    /// Its one clock.
    pub fn clock(&self) -> Clock {
        self.clock.clone()
    }

    /// Where clients connect.
    pub fn listens(&self) -> SocketAddr {
        self.listen
    }

    /// A change of the table, in the turn that brings it. Calls not yet begun are taken back where they may not go.
    fn listed(&mut self, change: Change) {
        let on = |e: &EndpointId| {
            change
                .entries
                .iter()
                .any(|c| c.endpoint == *e && c.stage == EndpointState::Active)
        };
        let off = |e: &EndpointId| {
            change
                .entries
                .iter()
                .any(|c| c.endpoint == *e && c.stage != EndpointState::Active)
        };
        let whole = change.whole;
        let now = self.clock.now();
        self.egress.cancel_unsent(
            |_, region| if whole { !on(&region) } else { off(&region) },
            now,
        );
        let entries = change.entries;
        for e in &entries {
            let (region, destination) = (e.endpoint.0, e.destination.0);
            debug!(region, destination, stage = ?e.stage, weight = e.weight, whole, "listed");
        }
        // What others know of a route is told in the turn that lists it: before anything can be sent there.
        let directory = &self.directory;
        let gossip = self
            .peers
            .as_mut()
            .map(|p| p.gossip(&entries, &|region| directory.endpoint_name(region), now));
        self.decision.events.push(if whole {
            Event::EndpointList(entries)
        } else {
            Event::EndpointChanges(entries)
        });
        self.decision.events.extend(gossip.into_iter().flatten());
    }

    /// How long the loop may sleep, in milliseconds.
    pub fn sleep(&self) -> Millis {
        // Who waits for a buffer is looked at again soon, but not in a busy loop.
        let spent = [&self.ingress.pool, &self.egress.pool, &self.own]
            .into_iter()
            .any(BufferPool::spent);
        if !self.again.is_empty()
            && spent
            && self.decision.events.is_empty()
            && self.egress.results.is_empty()
        {
            return WANTS;
        }
        if !self.again.is_empty()
            || !self.decision.events.is_empty()
            || !self.egress.results.is_empty()
        {
            return 0.0;
        }
        let dues = [
            self.egress.next_deadline(),
            self.directory.next_deadline(),
            self.status_reporter.next_deadline(),
            self.ingress.next_deadline(),
        ];
        let next_deadline = dues
            .into_iter()
            .chain(self.decision.wake)
            .chain(self.operators.as_ref().map(Operators::next_deadline))
            .chain(self.peers.as_ref().map(Peers::next_deadline))
            .fold(f64::INFINITY, f64::min);
        // Near its end the sender must not sleep past the instants at which it stops and goes.
        (next_deadline - self.clock.now()).clamp(
            0.0,
            if self.told_to_end.is_some() {
                20.0
            } else {
                250.0
            },
        )
    }

    pub fn print_counters(&mut self) {
        self.store.counters.connections = self.egress.connections_opened;
        if let Some(peers) = &self.peers {
            peers.print_counters();
        }
        info!(
            "counters held={} open={}{}",
            self.store.held.len(),
            self.store.open,
            self.store.counters
        );
        let present = self.present();
        self.store.class_metrics.print(&present);
    }

    /// What is held and listed now, with all counted that has happened.
    fn present(&mut self) -> Gauges {
        self.count();
        let unhealthy =
            |(region, out): &(EndpointId, bool)| *out || self.decision.policy.is_avoided(*region);
        let (healthy, rest): (Vec<_>, Vec<_>) =
            self.directory.endpoints().partition(|row| !unhealthy(row));
        Gauges {
            current: self.store.open
                + self.status_reporter.queue.len()
                + self.status_reporter.flying.len(),
            cluster_size: healthy.len() + rest.len(),
            cluster_unhealthy: rest.len(),
        }
    }

    /// Counts what was written whole, and who was turned away over half a request, since the last look.
    fn count(&mut self) {
        for id in std::mem::take(&mut self.egress.sent) {
            let class = self.store.held.get(&id.0).map(|t| &t.taken.class);
            class
                .and_then(|c| self.store.class_metrics.of(c))
                .into_iter()
                .for_each(|g| g.sends += 1);
        }
        for class in std::mem::take(&mut self.ingress.cut_off) {
            self.store.counters.turned_away += 1;
            let group = self.store.class_metrics.of(&self.admission.classes[class]);
            group.into_iter().for_each(|g| g.deferred += 1);
        }
    }

    /// An operator takes a region out or puts it back: on disk and in the module's next turn before the yes.
    fn set_cordon(&mut self, id: &str, out: bool) -> Result<String, String> {
        let change = self
            .directory
            .set_cordon(id, out)
            .map_err(|error| error.to_string())?;
        let changed = change.is_some();
        change.into_iter().for_each(|c| self.listed(c));
        info!(id, out, changed, "by hand");
        Ok(if out { "out\n" } else { "in\n" }.into())
    }

    /// What an operator's call is answered.
    fn called(&mut self, call: Result<Call, String>) -> String {
        let said = call.and_then(|call| match call {
            Call::Health if self.ingress.listener.is_none() || self.told_to_end.is_some() => {
                Err("ending: no more clients are taken".into())
            }
            Call::Health => Ok("serving\n".into()),
            Call::Counters => {
                let present = self.present();
                Ok(format!(
                    "figures\n{}",
                    self.store.class_metrics.text(&present)
                ))
            }
            Call::Cordon(id) => self.set_cordon(&id, true),
            Call::Uncordon(id) => self.set_cordon(&id, false),
        });
        operator::said(said)
    }

    /// SIGHUP: the configuration was read again. Of it, `discovery` counts at once, the rest from the next start on.
    /// One that cannot be used must not harm a sender at work: the old one stands.
    pub fn reload(&mut self, told: Result<Config, String>) {
        match told {
            Ok(config) => {
                let now = self.clock.now();
                info!(discovery = %config.discovery, "configuration read");
                if config.discovery != self.status_reporter.platform {
                    self.status_reporter.move_to(config.discovery, now);
                    self.directory.move_to(config.discovery, now);
                }
            }
            Err(e) => warn!(reason = %e, "configuration kept"),
        }
    }

    /// SIGTERM: serve what comes for a moment more, start no call that cannot end, and go.
    pub fn end(&mut self) {
        if self.told_to_end.is_none() {
            let now = self.clock.now();
            info!(open = self.store.open, "ending");
            self.told_to_end = Some(now);
            self.ingress.final_status = true;
            if let Some(peers) = &mut self.peers {
                peers.leave();
            }
            self.decision
                .events
                .push(Event::ShutdownDeadline(nanos(now + LAST_CALL)));
        }
    }

    /// One round: what is ready, what is due, one turn, its actions. False once the sender may exit.
    pub fn round(&mut self, mut ready: Vec<EventSource>) -> bool {
        let now = self.clock.now();
        self.store.counters.rounds += 1;
        let mut handed = Vec::new();
        ready.append(&mut self.again);
        ready.sort_unstable();
        ready.dedup();
        if self.ingress.accept_at.is_some_and(|at| at <= now) {
            ready.push(EventSource::Listener);
        }
        for key in ready {
            let more = match key {
                EventSource::Operators => self.operators.as_mut().is_some_and(|o| o.accept(now)),
                EventSource::Operator(at) => {
                    if let Some(call) = self.operators.as_mut().and_then(|o| o.ready(at)) {
                        let said = self.called(call.map_err(|error| error.to_string()));
                        self.operators
                            .as_mut()
                            .into_iter()
                            .for_each(|o| o.answer(at, &said, now));
                    }
                    false
                }
                EventSource::Listener => self.ingress.accept(now, &mut self.store.counters),
                EventSource::Client(at) => {
                    self.ingress
                        .ready(at, now, &mut handed, &mut self.store.counters)
                }
                EventSource::Region(at) => self.egress.on_ready(at, now),
                EventSource::Watch => {
                    let (changes, more) = self.directory.on_ready(now);
                    changes.into_iter().for_each(|c| self.listed(c));
                    more
                }
                EventSource::Datagrams
                | EventSource::Tellers
                | EventSource::Talk(_)
                | EventSource::Ask(_) => self.peers.as_mut().is_some_and(|p| p.ready(key, now)),
                EventSource::Offer | EventSource::Asker | EventSource::Predecessor => false,
                EventSource::Notices => {
                    let confirmed = self.status_reporter.ready(now);
                    confirmed
                        .into_iter()
                        .for_each(|no| self.completion.confirmed(no, &mut self.store));
                    false
                }
            };
            if more {
                self.again.push(key);
            }
        }
        self.egress.expire_timeouts(now);
        self.again.extend(self.ingress.sweep(now));
        let stopped = self.told_to_end.is_some_and(|at| now >= at + LAST_WORK);
        if stopped {
            self.again
                .extend(self.ingress.stop(now, &mut self.store.counters));
        }
        // Room is given before the module sees what the round brings: a flood with no time left, which it ends in
        // this round, must not take it from the usual ones.
        handed.sort_by(|a, b| b.deadline.total_cmp(&a.deadline));
        for h in handed {
            let event = self.admission.admit(
                h,
                &mut self.store,
                &mut self.ingress,
                &self.directory,
                stopped,
                now,
            );
            self.decision.events.extend(event);
        }
        self.outcomes(now);
        // Behind the told waits of this round, which hold back what has not begun.
        self.dispatch.begin(&mut self.store, &mut self.egress, now);
        self.overdue(now);
        self.directory.run_due(now, &self.handle, &self.own);
        let actions = self.decision.turn(now);
        self.store.counters.turns += u64::from(!actions.is_empty());
        self.act(actions, now);
        self.status_reporter.run_due(&self.store, now);
        self.completion.tidy(&mut self.store, now);
        if let Some(peers) = &mut self.peers {
            let directory = &self.directory;
            peers.run_due(
                now,
                Some((&self.decision.policy, &|region| {
                    directory.endpoint_name(region)
                })),
            );
        }
        self.operators
            .as_mut()
            .into_iter()
            .for_each(|o| o.run_due(now));
        let took = (self.clock.now() - now) as u64;
        self.store.counters.longest_round_ms = self.store.counters.longest_round_ms.max(took);
        !self.may_exit(now)
    }

    /// What came back from regions becomes events. A told wait binds the destination's calls not yet begun.
    fn outcomes(&mut self, now: Millis) {
        self.count();
        let told = self.egress.results.iter().filter(
            |d| matches!(d.outcome, Outcome::Overloaded { retry_after } if retry_after > 0),
        );
        let held = told
            .filter_map(|d| self.store.held.get(&d.id.0))
            .map(|t| t.taken.destination);
        let waits: Vec<u64> = held.collect();
        if !waits.is_empty() {
            self.egress
                .cancel_unsent(|destination, _| waits.contains(&destination), now);
        }
        for done in std::mem::take(&mut self.egress.results) {
            self.decision.events.extend(self.completion.task(
                done,
                &mut self.store,
                &mut self.status_reporter,
            ));
        }
    }

    /// Ends what the module should have ended. Guards the owed notice, whatever goes wrong elsewhere.
    fn overdue(&mut self, now: Millis) {
        while let Some(no) = self.store.take_due(now - OVERDUE) {
            error!(no, "transaction ended late");
            self.store.counters.late += 1;
            self.completion.end(
                MessageId(no),
                FinalStatus::Undeliverable,
                &mut self.store,
                &mut self.status_reporter,
            );
            self.decision.events.push(Event::ClientLeft(MessageId(no)));
        }
    }

    /// Carries a turn's actions out, and lets begin what may. What one of them has heard, a loser's wait or an answer of the
    /// last moment, binds whatever else leaves in the round.
    fn act(&mut self, actions: Vec<Action>, now: Millis) {
        self.carry_out(actions, now);
        self.outcomes(now);
        self.dispatch.begin(&mut self.store, &mut self.egress, now);
    }

    fn carry_out(&mut self, actions: Vec<Action>, now: Millis) {
        for action in actions {
            match action {
                Action::Send {
                    id,
                    endpoint,
                    timeout,
                    latest,
                } => {
                    let address = self.directory.address(endpoint);
                    let (store, egress) = (&mut self.store, &mut self.egress);
                    let taken = store.held.get(&id.0).map(|t| &t.taken);
                    let once =
                        taken.is_none_or(|t| self.admission.class_rules.once(&t.class, &t.rules));
                    let kind = self.directory.kind(endpoint);
                    let target = DispatchTarget {
                        id,
                        once,
                        region: endpoint,
                        kind,
                        address,
                    };
                    let (timeout, latest) = (millis(timeout), millis(latest));
                    self.dispatch
                        .send(target, timeout, latest, store, egress, now);
                }
                Action::Cancel { id, attempt } => self.egress.cancel(id, attempt, now),
                Action::Reject { id, retry_after } => {
                    let again = retry_after.map(|r| millis(r).round() as u64);
                    self.completion.end(
                        id,
                        FinalStatus::Deferred(again),
                        &mut self.store,
                        &mut self.status_reporter,
                    );
                }
                Action::Fail { id } => {
                    self.completion.end(
                        id,
                        FinalStatus::Undeliverable,
                        &mut self.store,
                        &mut self.status_reporter,
                    );
                }
                // The module counts on its latest wake: it stands for all before it.
                Action::WakeAfter(span) => self.decision.wake = Some(now + millis(span)),
                Action::CloseIdle(endpoint) => self.egress.close_idle(endpoint),
            }
        }
    }

    /// All that was owed in this life is done, or time is up; and no client that has asked is left unanswered.
    fn may_exit(&mut self, now: Millis) -> bool {
        let Some(told) = self.told_to_end.filter(|told| now >= told + LAST_WORK) else {
            return false;
        };
        let told_all =
            self.status_reporter.flying.is_empty() && self.status_reporter.queue.is_empty();
        let calm = self.egress.active_attempts() == 0 && told_all && self.store.open == 0;
        if !calm && now < told + LAST_CALL + 100.0 {
            return false;
        }
        self.again
            .extend(self.ingress.stop(now, &mut self.store.counters));
        if now >= told + LAST_CALL + 200.0 {
            self.ingress.turn_all_away(now);
        }
        let asking = self.ingress.clients.iter().any(|(_, c)| !c.closing);
        let over = !asking || now >= told + LAST_CALL + 300.0;
        if over {
            self.egress.read_final_responses(now);
            self.outcomes(now);
        }
        over
    }
}
