//! A simulated network of members, for tests and experiments: datagrams are delayed, lost and cut off by partitions;
//! members crash, stop receiving and stall. It is a discrete-event simulation: the same seed gives the same history, and
//! a member is reached only through its datagrams and its clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use martenlatch_clock::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::membership::{Datagram, MemberState, Membership, MembershipChange, Settings};
use crate::wire::Secret;

/// Shortest and longest delay of a datagram.
const MIN_DELAY: Millis = 5.0;
const MAX_DELAY: Millis = 15.0;
/// What UDP over IPv4 adds to a datagram.
const HEADER_BYTES: u64 = 28;
/// The port of member 0; the others have the next ones.
const FIRST_PORT: u16 = 7_000;
/// How often [`SimulatedNetwork::run_until`] looks at its condition.
const CHECK_INTERVAL: Millis = 50.0;
/// A datagram to a stalled member is read so long after the stall: after the tick that is due then, as by a process that
/// was stopped.
const READ_AFTER_STALL: Millis = 1.0;

/// The address of a member by its number.
pub fn address(no: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + no as u16))
}

/// The number of a member by its address.
fn number_of(address: SocketAddr) -> usize {
    usize::from(address.port()).saturating_sub(FIRST_PORT.into())
}

/// The name of a member by its number.
pub fn name(no: usize) -> String {
    format!("s{no}")
}

/// An instant as the key of an ordered map: the bits of positive floating-point numbers have the numbers' order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Instant(u64);

impl Instant {
    const NEVER: Instant = Instant(u64::MAX);

    fn new(at: Millis) -> Instant {
        Instant(at.to_bits())
    }

    fn millis(self) -> Millis {
        f64::from_bits(self.0)
    }
}

/// A datagram on its way.
#[derive(Debug)]
struct InTransit {
    from: usize,
    to: usize,
    datagram: Datagram,
}

/// Members and the network between them. Members are known by their numbers.
#[derive(Debug)]
pub struct SimulatedNetwork {
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Number of datagrams, and of bytes with headers, sent so far.
    pub sent: (u64, u64),
    nodes: BTreeMap<usize, Membership>,
    changes: BTreeMap<usize, Vec<MembershipChange>>,
    /// By arrival, then in the order in which they were sent.
    in_transit: BTreeMap<(Instant, u64), InTransit>,
    /// When each member has something to do, in order and by member.
    ticks: BTreeSet<(Instant, usize)>,
    tick_of: BTreeMap<usize, Instant>,
    /// Until when nothing reaches a member.
    deaf_until: BTreeMap<usize, Millis>,
    /// Until when a member does nothing.
    stalled_until: BTreeMap<usize, Millis>,
    /// Members below this number and the others cannot reach each other.
    partition: Option<usize>,
    now: Millis,
    last_sequence: u64,
    rng: Pcg32,
    settings: Settings,
    secret: Secret,
}

impl SimulatedNetwork {
    /// A network of `count` members that know only the first two at the start.
    pub fn new(count: usize, loss: f64, seed: u64) -> SimulatedNetwork {
        let settings = Settings {
            max_members: 4 * count.max(64),
            ..Settings::default()
        };
        let mut network = SimulatedNetwork {
            loss,
            sent: (0, 0),
            nodes: BTreeMap::new(),
            changes: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            ticks: BTreeSet::new(),
            tick_of: BTreeMap::new(),
            deaf_until: BTreeMap::new(),
            stalled_until: BTreeMap::new(),
            partition: None,
            now: 0.0,
            last_sequence: 0,
            rng: Pcg32::seed_from_u64(seed),
            settings,
            secret: Secret::new(b"a simulated network"),
        };
        for no in 0..count {
            network.add(no);
        }
        network
    }

    /// Starts a member.
    pub fn add(&mut self, no: usize) {
        self.add_with_name_of(no, no);
    }

    /// Starts a member at its own address under the name of another.
    pub fn add_with_name_of(&mut self, no: usize, other: usize) {
        let seeds = [address(0), address(1)];
        let rng_seed = self.rng.random();
        let mut membership = Membership::new(
            &name(other),
            address(no),
            1,
            &seeds,
            self.settings.clone(),
            rng_seed,
            self.now,
        );
        membership.join();
        self.nodes.insert(no, membership);
        self.collect(no);
    }

    /// A member that runs.
    ///
    /// # Panics
    /// If the member does not run.
    pub fn membership(&self, no: usize) -> &Membership {
        &self.nodes[&no]
    }

    /// All changes in a member's view so far.
    pub fn changes(&self, no: usize) -> &[MembershipChange] {
        self.changes.get(&no).map_or(&[], Vec::as_slice)
    }

    /// The simulated time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Crashes a member.
    pub fn crash(&mut self, no: usize) {
        self.nodes.remove(&no);
        if let Some(due) = self.tick_of.remove(&no) {
            self.ticks.remove(&(due, no));
        }
    }

    /// Shuts a member down gracefully.
    pub fn leave(&mut self, no: usize) {
        if let Some(membership) = self.nodes.get_mut(&no) {
            membership.leave();
        }
        self.collect(no);
        self.crash(no);
    }

    /// Drops all datagrams to a member for a while.
    pub fn drop_incoming(&mut self, no: usize, span: Millis) {
        self.deaf_until.insert(no, self.now + span);
    }

    /// Stops a member's process for a while; datagrams to it wait in its socket.
    pub fn stall(&mut self, no: usize, span: Millis) {
        self.stalled_until.insert(no, self.now + span);
        self.collect(no);
    }

    /// Partitions the network between the members below a number and the others, or heals it.
    pub fn partition(&mut self, at: Option<usize>) {
        self.partition = at;
    }

    /// The state of a member in the view of another, `by`.
    pub fn state(&self, by: usize, no: usize) -> Option<MemberState> {
        let name = name(no);
        let mut others = self.nodes[&by].others();
        others.find(|o| o.name == name).map(|other| other.state)
    }

    /// The number of pairs of running members of which the first does not see the second as a live member.
    pub fn unknown_pairs(&self) -> usize {
        let others = self.nodes.len().saturating_sub(1);
        self.nodes
            .keys()
            .map(|by| others - self.known_member_count(*by))
            .sum()
    }

    /// How many of the other running members a member sees as live.
    fn known_member_count(&self, by: usize) -> usize {
        self.nodes[&by]
            .others()
            .filter(|member| member.state.is_live())
            .map(|member| number_of(member.address))
            .filter(|no| *no != by && self.nodes.contains_key(no))
            .count()
    }

    /// Whether all others see a member as live.
    pub fn is_known_to_all(&self, no: usize) -> bool {
        self.nodes
            .keys()
            .all(|by| *by == no || self.state(*by, no).is_some_and(MemberState::is_live))
    }

    /// How often a member was declared dead so far, in all views.
    pub fn death_count(&self) -> usize {
        let changes = self.changes.values().flatten();
        changes
            .filter(|change| matches!(change, MembershipChange::Died(_)))
            .count()
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.step(end) {}
        self.now = end;
    }

    /// Lets time pass until `done` returns true, for `span` at most; returns when that was.
    pub fn run_until(
        &mut self,
        span: Millis,
        mut done: impl FnMut(&SimulatedNetwork) -> bool,
    ) -> Option<Millis> {
        let end = self.now + span;
        while self.now < end {
            self.run(CHECK_INTERVAL);
            if done(self) {
                return Some(self.now);
            }
        }
        None
    }

    /// Lets the next event before `end` happen; returns false if there is none.
    fn step(&mut self, end: Millis) -> bool {
        let next_tick = self.ticks.first().copied();
        let next_tick = next_tick.unwrap_or((Instant::NEVER, 0));
        let next_arrival = self.in_transit.first_key_value().map(|(key, _)| key.0);
        let next_arrival = next_arrival.unwrap_or(Instant::NEVER);
        let at = next_tick.0.min(next_arrival);
        if at > Instant::new(end) {
            return false;
        }
        self.now = self.now.max(at.millis());
        if next_arrival > next_tick.0 {
            self.tick(next_tick.1);
            return true;
        }
        let Some((_, arrived)) = self.in_transit.pop_first() else {
            return false;
        };
        self.deliver(arrived);
        true
    }

    fn tick(&mut self, no: usize) {
        if let Some(membership) = self.nodes.get_mut(&no) {
            membership.tick(self.now);
        }
        self.collect(no);
    }

    fn deliver(&mut self, arrived: InTransit) {
        let to = arrived.to;
        if let Some(until) = self.stalled_until(to) {
            self.put_in_transit(until + READ_AFTER_STALL, arrived);
            return;
        }
        let cut_off = self
            .partition
            .is_some_and(|at| (arrived.from < at) != (to < at));
        let deaf = self
            .deaf_until
            .get(&to)
            .is_some_and(|until| self.now < *until);
        if cut_off || deaf {
            return;
        }
        if let Some(membership) = self.nodes.get_mut(&to) {
            membership.handle_datagram(arrived.datagram, self.now);
            self.collect(to);
        }
    }

    fn stalled_until(&self, no: usize) -> Option<Millis> {
        let until = self.stalled_until.get(&no).copied();
        until.filter(|until| self.now < *until)
    }

    /// Takes what a member has to say after it did something: changes, its next deadline, and datagrams.
    fn collect(&mut self, no: usize) {
        let stalled_until = self.stalled_until(no).unwrap_or(0.0);
        let Some(membership) = self.nodes.get_mut(&no) else {
            return;
        };
        let changes = self.changes.entry(no).or_default();
        changes.extend(membership.take_changes());
        let outgoing = membership.take_outgoing();
        let due = Instant::new(membership.next_deadline().max(stalled_until));
        if let Some(previous) = self.tick_of.insert(no, due) {
            self.ticks.remove(&(previous, no));
        }
        self.ticks.insert((due, no));
        for (to, datagram) in outgoing {
            let to = number_of(to);
            self.send(InTransit {
                from: no,
                to,
                datagram,
            });
        }
    }

    /// Counts a datagram, and loses or delays it.
    fn send(&mut self, sent: InTransit) {
        let frame = self.secret.seal_datagram(&sent.datagram);
        self.sent.0 += 1;
        self.sent.1 += frame.len() as u64 + HEADER_BYTES;
        let lost = self.rng.random::<f64>() < self.loss;
        let delay = self.rng.random::<f64>();
        if !lost {
            let arrival = self.now + MIN_DELAY + (MAX_DELAY - MIN_DELAY) * delay;
            self.put_in_transit(arrival, sent);
        }
    }

    fn put_in_transit(&mut self, arrival: Millis, sent: InTransit) {
        self.last_sequence += 1;
        let key = (Instant::new(arrival), self.last_sequence);
        self.in_transit.insert(key, sent);
    }
}
