//! Owns the chain that a transaction passes (take in, admit, route, send, relay, book) and the driver that runs it
//! once a round. It must never decide what the module decides; only the driver speaks with the module, in types
//! that know no protocol, so that another protocol can stand before the same decisions.

mod admit;
mod book;
mod desk;
mod estate;
#[cfg(test)]
mod lives;
mod relay;
mod route;
mod send;
mod take_in;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use crate::key::{Fds, Handle, Key};
use martenlatch_clock::{Clock, Millis, millis, nanos};
use martenlatch_http as http;
use martenlatch_http::pool::Pool;
use martenlatch_ledger::{Ledger, Notice, Past};
use martenlatch_policy::Policy;
use martenlatch_policy::interface::{
    Action, EndpointId, EndpointState, Event, Idempotency, MessageClass, MessageId, Outcome,
};
use slab::Slab;
use tracing::{debug, error, info, warn};

use crate::Config;
use crate::counters::Counters;
use crate::figures::{Figures, Present};
use crate::hand::Hand;
use crate::operator::{self, Call, Operators};
use crate::peers::Peers;
use crate::promises::Promises;
use crate::regions::Regions;
use crate::spread::Spread;
use crate::table::{Change, Table};
use admit::Admit;
use book::Book;
use desk::Desk;
pub use estate::Estate;
use relay::{NOTICES, RETRY, Relay};
use route::Route;
use send::{Send, To};
use take_in::TakeIn;

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
    /// Its own listener; the ledger holds what earlier lives have left.
    Fresh(TcpListener),
    /// All that the process before it was, and its descriptors, those of the listener first.
    Passed(Box<Estate<Policy>>, Fds),
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
    own: Pool,
    take_in: TakeIn,
    admit: Admit,
    route: Route,
    send: Send,
    relay: Relay,
    book: Book,
    desk: Desk,
    regions: Regions,
    table: Table,
    /// Where operators call, if anywhere.
    operators: Option<Operators>,
    /// Other senders, where these know one another.
    peers: Option<Peers>,
    /// Sockets that had more to read than one round takes.
    again: Vec<Key>,
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
        set.max_attempts = set.max_attempts.min(martenlatch_ledger::TASKS as u32);
        let mut promises = Promises::new(&boot.classes, &set.classes);
        // Half of the descriptors for clients: the rest is for regions, discovery and files. Clients have buffers
        // of their own, two each, so that slow ones cannot starve the regions.
        let callers = if config.operator.is_some() {
            operator::CALLERS + 1
        } else {
            0
        };
        let buffers = (config.memory / 2 / http::pool::SIZE as u64) as usize;
        let buffers = buffers.saturating_sub(2 * callers);
        let most = (config.sockets / 2)
            .saturating_sub(callers)
            .min(buffers / 3)
            .max(1);
        let left = buffers - 2 * most.min(buffers / 3);
        let (own, clients_pool) = (Pool::new(OWN), Pool::new(2 * most));
        let pool = Pool::new(left.saturating_sub(OWN).max(1));
        let failed = |e: std::io::Error| format!("what was passed cannot be taken up: {e}");
        let unusable = |e| format!("settings: {e}");
        let (listener, policy, ledger, past, passed) = match start {
            Start::Fresh(listener) => {
                let (ledger, past) = Ledger::open(&config.state, config.disk);
                for t in past.open.values() {
                    promises.keep(&t.class, &t.rules, &mut set);
                }
                let policy = Policy::new(set.clone(), config.seed).map_err(unusable)?;
                (listener, policy, ledger, past, None)
            }
            Start::Passed(estate, mut fds) => {
                let listener = TcpListener::from(fds.take().map_err(failed)?);
                let (policy, place, mut estate) = estate.split();
                let passed = std::mem::replace(&mut estate.promises, Promises::new(&[], &[]));
                let carried = promises.carried_on(passed, &mut set);
                promises = carried.ok_or(
                    "settings: classes with other rules than those of the process that serves",
                )?;
                let policy = policy.carried_on(set.clone()).map_err(unusable)?;
                let ledger = Ledger::carried_on(&config.state, config.disk, place, estate.open());
                let mut past = Past::default();
                past.next = estate.next;
                (
                    listener,
                    policy,
                    ledger.map_err(failed)?,
                    past,
                    Some((estate, fds)),
                )
            }
        };
        let (listener, spread) = (Rc::new(listener), Spread::new(config.seed));
        let token = http::register(handle, listener.clone(), Key::Listener)
            .map_err(|e| format!("listen: cannot watch the socket: {e}"))?;
        let keyed = |c: &MessageClass| matches!(c.idempotency, Idempotency::IdempotencyKey { .. });
        let classes = boot
            .classes
            .iter()
            .cloned()
            .zip(boot.settings.classes.iter().map(keyed))
            .collect();
        let take_in = TakeIn {
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
            ending: false,
            cut_off: Vec::new(),
            spread: spread.clone(),
            advice: set.max_retry_after.map(millis),
        };
        let (next, counters) = (past.next, Counters::default());
        let (held, numbers) = (BTreeMap::new(), HashMap::new());
        let figures = Figures::new(&boot.classes);
        let mut desk = Desk {
            held,
            numbers,
            due: BTreeSet::new(),
            open: 0,
            next,
            ledger,
            counters,
            figures,
        };
        let mut relay = Relay {
            platform: config.discovery,
            handle: handle.clone(),
            pool: own.clone(),
            link: None,
            queue: VecDeque::new(),
            flying: Vec::new(),
            sent: 0.0,
            next_try: 0.0,
            pause: RETRY.0,
            batch: NOTICES,
            spread: spread.clone(),
        };
        let admit = Admit {
            max_held: set.max_held,
            classes: boot.classes.clone(),
            promises,
        };
        let resumed = past
            .open
            .into_values()
            .filter_map(|t| admit.resume(t, &mut desk, &mut relay))
            .collect();
        let mut driver = Driver {
            names: estate::names(&config),
            listen: config.listen,
            sockets: config.sockets,
            admit,
            route: Route {
                policy,
                events: Vec::new(),
                wake: None,
            },
            send: Send,
            relay,
            book: Book,
            desk,
            take_in,
            regions: Regions::new(
                handle,
                &pool,
                (config.sockets / 3).max(set.max_in_flight),
                millis(set.connect_timeout),
                millis(set.idle_timeout),
            ),
            table: Table::new(
                config.discovery,
                boot,
                Hand::open(&config.state, config.disk),
                spread,
            ),
            operators: None,
            peers,
            again: Vec::new(),
            told_to_end: None,
            clock,
            handle: handle.clone(),
            own,
        };
        if let Some((estate, mut fds)) = passed {
            driver.carry_on(estate, &mut fds).map_err(failed)?;
            return Ok(driver);
        }
        if config.known.is_object()
            && let Some(known) = driver.table.line(&config.known)
        {
            driver.listed(Change {
                whole: true,
                ..known
            });
            driver.table.calm(driver.clock.now());
        }
        driver.route.events.extend::<Vec<Event>>(resumed);
        info!(name = %config.name, resumed = driver.desk.counters.resumed, "started");
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
        self.regions.hold_back(
            |_, region| if whole { !on(&region) } else { off(&region) },
            now,
        );
        let entries = change.entries;
        for e in &entries {
            let (region, destination) = (e.endpoint.0, e.destination.0);
            debug!(region, destination, stage = ?e.stage, weight = e.weight, whole, "listed");
        }
        // What others know of a route is told in the turn that lists it: before anything can be sent there.
        let table = &self.table;
        let hearsay = self
            .peers
            .as_mut()
            .map(|p| p.hearsay(&entries, &|region| table.name(region), now));
        self.route.events.push(if whole {
            Event::EndpointList(entries)
        } else {
            Event::EndpointChanges(entries)
        });
        self.route.events.extend(hearsay.into_iter().flatten());
    }

    /// How long the loop may sleep, in milliseconds.
    pub fn sleep(&self) -> Millis {
        // Who waits for a buffer is looked at again soon, but not in a busy loop.
        let spent = [&self.take_in.pool, &self.regions.pool, &self.own]
            .into_iter()
            .any(Pool::spent);
        if !self.again.is_empty()
            && spent
            && self.route.events.is_empty()
            && self.regions.done.is_empty()
        {
            return WANTS;
        }
        if !self.again.is_empty() || !self.route.events.is_empty() || !self.regions.done.is_empty()
        {
            return 0.0;
        }
        let dues = [
            self.regions.due(),
            self.table.due(),
            self.relay.due(),
            self.take_in.due(),
        ];
        let due = dues
            .into_iter()
            .chain(self.route.wake)
            .chain(self.operators.as_ref().map(Operators::due))
            .chain(self.peers.as_ref().map(Peers::due))
            .fold(f64::INFINITY, f64::min);
        // Near its end the sender must not sleep past the instants at which it stops and goes.
        (due - self.clock.now()).clamp(
            0.0,
            if self.told_to_end.is_some() {
                20.0
            } else {
                250.0
            },
        )
    }

    pub fn print_counters(&mut self) {
        self.desk.counters.connections = self.regions.opened;
        if let Some(peers) = &self.peers {
            peers.print_counters();
        }
        info!(
            "counters held={} open={}{}",
            self.desk.held.len(),
            self.desk.open,
            self.desk.counters
        );
        let present = self.present();
        self.desk.figures.print(&present);
    }

    /// What is held and listed now, with all counted that has happened.
    fn present(&mut self) -> Present {
        self.count();
        let unhealthy =
            |(region, out): &(EndpointId, bool)| *out || self.route.policy.is_avoided(*region);
        let (healthy, rest): (Vec<_>, Vec<_>) =
            self.table.listed().partition(|row| !unhealthy(row));
        Present {
            current: self.desk.open + self.relay.queue.len() + self.relay.flying.len(),
            cluster_size: healthy.len() + rest.len(),
            cluster_unhealthy: rest.len(),
        }
    }

    /// Counts what was written whole, and who was turned away over half a request, since the last look.
    fn count(&mut self) {
        for id in std::mem::take(&mut self.regions.written) {
            let class = self.desk.held.get(&id.0).map(|t| &t.taken.class);
            class
                .and_then(|c| self.desk.figures.of(c))
                .into_iter()
                .for_each(|g| g.sends += 1);
        }
        for class in std::mem::take(&mut self.take_in.cut_off) {
            self.desk.counters.turned_away += 1;
            let group = self.desk.figures.of(&self.admit.classes[class]);
            group.into_iter().for_each(|g| g.deferred += 1);
        }
    }

    /// An operator takes a region out or puts it back: on disk and in the module's next turn before the yes.
    fn by_hand(&mut self, id: &str, out: bool) -> Result<String, String> {
        let change = self.table.by_hand(id, out)?;
        let changed = change.is_some();
        change.into_iter().for_each(|c| self.listed(c));
        info!(id, out, changed, "by hand");
        Ok(if out { "out\n" } else { "in\n" }.into())
    }

    /// What an operator's call is answered.
    fn called(&mut self, call: Result<Call, String>) -> String {
        let said = call.and_then(|call| match call {
            Call::Health if self.take_in.listener.is_none() || self.told_to_end.is_some() => {
                Err("ending: no more clients are taken".into())
            }
            Call::Health => Ok("serving\n".into()),
            Call::Counters => {
                let present = self.present();
                Ok(format!("figures\n{}", self.desk.figures.text(&present)))
            }
            Call::Cordon(id) => self.by_hand(&id, true),
            Call::Uncordon(id) => self.by_hand(&id, false),
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
                if config.discovery != self.relay.platform {
                    self.relay.move_to(config.discovery, now);
                    self.table.move_to(config.discovery, now);
                }
            }
            Err(e) => warn!(reason = %e, "configuration kept"),
        }
    }

    /// SIGTERM: serve what comes for a moment more, start no call that cannot end, and go.
    pub fn end(&mut self) {
        if self.told_to_end.is_none() {
            let now = self.clock.now();
            info!(open = self.desk.open, "ending");
            self.told_to_end = Some(now);
            self.take_in.ending = true;
            if let Some(peers) = &mut self.peers {
                peers.leave();
            }
            self.route
                .events
                .push(Event::ShutdownDeadline(nanos(now + LAST_CALL)));
        }
    }

    /// One round: what is ready, what is due, one turn, its actions. False once the sender may exit.
    pub fn round(&mut self, mut ready: Vec<Key>) -> bool {
        let now = self.clock.now();
        self.desk.counters.rounds += 1;
        let mut handed = Vec::new();
        ready.append(&mut self.again);
        ready.sort_unstable();
        ready.dedup();
        if self.take_in.accept_at.is_some_and(|at| at <= now) {
            ready.push(Key::Listener);
        }
        for key in ready {
            let more = match key {
                Key::Operators => self.operators.as_mut().is_some_and(|o| o.accept(now)),
                Key::Operator(at) => {
                    if let Some(call) = self.operators.as_mut().and_then(|o| o.ready(at)) {
                        let said = self.called(call);
                        self.operators
                            .as_mut()
                            .into_iter()
                            .for_each(|o| o.answer(at, &said, now));
                    }
                    false
                }
                Key::Listener => self.take_in.accept(now, &mut self.desk.counters),
                Key::Client(at) => {
                    self.take_in
                        .ready(at, now, &mut handed, &mut self.desk.counters)
                }
                Key::Region(at) => self.regions.ready(at, now),
                Key::Watch => {
                    let (changes, more) = self.table.ready(now);
                    changes.into_iter().for_each(|c| self.listed(c));
                    more
                }
                Key::Datagrams | Key::Tellers | Key::Talk(_) | Key::Ask(_) => {
                    self.peers.as_mut().is_some_and(|p| p.ready(key, now))
                }
                Key::Offer | Key::Asker | Key::Predecessor => false,
                Key::Notices => {
                    let confirmed = self.relay.ready(now);
                    confirmed
                        .into_iter()
                        .for_each(|no| self.book.confirmed(no, &mut self.desk));
                    false
                }
            };
            if more {
                self.again.push(key);
            }
        }
        self.regions.expire(now);
        self.again.extend(self.take_in.sweep(now));
        let stopped = self.told_to_end.is_some_and(|at| now >= at + LAST_WORK);
        if stopped {
            self.again
                .extend(self.take_in.stop(now, &mut self.desk.counters));
        }
        // Room is given before the module sees what the round brings: a flood with no time left, which it ends in
        // this round, must not take it from the usual ones.
        handed.sort_by(|a, b| b.deadline.total_cmp(&a.deadline));
        for h in handed {
            let event = self.admit.admit(
                h,
                &mut self.desk,
                &mut self.take_in,
                &self.table,
                stopped,
                now,
            );
            self.route.events.extend(event);
        }
        self.outcomes(now);
        // Behind the told waits of this round, which hold back what has not begun.
        self.send.begin(&mut self.desk, &mut self.regions, now);
        self.overdue(now);
        self.table.tend(now, &self.handle, &self.own);
        let actions = self.route.turn(now);
        self.desk.counters.turns += u64::from(!actions.is_empty());
        self.act(actions, now);
        self.relay.tend(&self.desk, now);
        self.book.tidy(&mut self.desk, now);
        if let Some(peers) = &mut self.peers {
            let table = &self.table;
            peers.tend(
                now,
                Some((&self.route.policy, &|region| table.name(region))),
            );
        }
        self.operators
            .as_mut()
            .into_iter()
            .for_each(|o| o.tend(now));
        let took = (self.clock.now() - now) as u64;
        self.desk.counters.longest_round_ms = self.desk.counters.longest_round_ms.max(took);
        !self.may_exit(now)
    }

    /// What came back from regions becomes events. A told wait binds the destination's calls not yet begun.
    fn outcomes(&mut self, now: Millis) {
        self.count();
        let told = self.regions.done.iter().filter(
            |d| matches!(d.outcome, Outcome::Overloaded { retry_after } if retry_after > 0),
        );
        let held = told
            .filter_map(|d| self.desk.held.get(&d.id.0))
            .map(|t| t.taken.destination);
        let waits: Vec<u64> = held.collect();
        if !waits.is_empty() {
            self.regions
                .hold_back(|destination, _| waits.contains(&destination), now);
        }
        for done in std::mem::take(&mut self.regions.done) {
            self.route
                .events
                .extend(self.book.task(done, &mut self.desk, &mut self.relay));
        }
    }

    /// Ends what the module should have ended. Guards the owed notice, whatever goes wrong elsewhere.
    fn overdue(&mut self, now: Millis) {
        while let Some(no) = self.desk.take_due(now - OVERDUE) {
            error!(no, "transaction ended late");
            self.desk.counters.late += 1;
            self.book.end(
                MessageId(no),
                Notice::Undeliverable,
                &mut self.desk,
                &mut self.relay,
            );
            self.route.events.push(Event::ClientLeft(MessageId(no)));
        }
    }

    /// Carries a turn's actions out, and lets begin what may. What one of them has heard, a loser's wait or an answer of the
    /// last moment, binds whatever else leaves in the round.
    fn act(&mut self, actions: Vec<Action>, now: Millis) {
        self.carry_out(actions, now);
        self.outcomes(now);
        self.send.begin(&mut self.desk, &mut self.regions, now);
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
                    let address = self.table.address(endpoint);
                    let (desk, regions) = (&mut self.desk, &mut self.regions);
                    let taken = desk.held.get(&id.0).map(|t| &t.taken);
                    let once = taken.is_none_or(|t| self.admit.promises.once(&t.class, &t.rules));
                    let kind = self.table.kind(endpoint);
                    let to = To {
                        id,
                        once,
                        region: endpoint,
                        kind,
                        address,
                    };
                    let (timeout, latest) = (millis(timeout), millis(latest));
                    self.send.send(to, timeout, latest, desk, regions, now);
                }
                Action::Cancel { id, attempt } => self.regions.cancel(id, attempt, now),
                Action::Reject { id, retry_after } => {
                    let again = retry_after.map(|r| millis(r).round() as u64);
                    self.book
                        .end(id, Notice::Deferred(again), &mut self.desk, &mut self.relay);
                }
                Action::Fail { id } => {
                    self.book
                        .end(id, Notice::Undeliverable, &mut self.desk, &mut self.relay);
                }
                // The module counts on its latest wake: it stands for all before it.
                Action::WakeAfter(span) => self.route.wake = Some(now + millis(span)),
                Action::CloseIdle(endpoint) => self.regions.close(endpoint),
            }
        }
    }

    /// All that was owed in this life is done, or time is up; and no client that has asked is left unanswered.
    fn may_exit(&mut self, now: Millis) -> bool {
        let Some(told) = self.told_to_end.filter(|told| now >= told + LAST_WORK) else {
            return false;
        };
        let told_all = self.relay.flying.is_empty() && self.relay.queue.is_empty();
        let calm = self.regions.tasks() == 0 && told_all && self.desk.open == 0;
        if !calm && now < told + LAST_CALL + 100.0 {
            return false;
        }
        self.again
            .extend(self.take_in.stop(now, &mut self.desk.counters));
        if now >= told + LAST_CALL + 200.0 {
            self.take_in.turn_all_away(now);
        }
        let asking = self.take_in.clients.iter().any(|(_, c)| !c.closing);
        let over = !asking || now >= told + LAST_CALL + 300.0;
        if over {
            self.regions.last_look(now);
            self.outcomes(now);
        }
        over
    }
}
