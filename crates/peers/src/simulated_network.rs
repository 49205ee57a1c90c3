//! A simulated network of members, for tests and experiments: datagrams are delayed, lost and blocked by partitions;
//! members crash, stall, and stop receiving datagrams. It is a discrete-event simulation: the same seed gives the same
//! history, and the simulation affects a member only by datagrams and the time.

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
/// Size of the headers of UDP and IPv4 in front of a datagram.
const HEADER_BYTES: u64 = 28;
/// The port of member 0. The ports of the other members follow in the order of their numbers.
const FIRST_PORT: u16 = 7_000;
/// How often [`SimulatedNetwork::run_until`] checks its condition.
const CHECK_INTERVAL: Millis = 50.0;
/// The delay after a stall until waiting datagrams are read. They are read after the tick that is due when the stall
/// ends, as by a process that was stopped.
const READ_AFTER_STALL: Millis = 1.0;

/// The address of the member with this number.
pub fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + member as u16))
}

/// The number of the member with this address.
fn number_of(address: SocketAddr) -> usize {
    usize::from(address.port()).saturating_sub(FIRST_PORT.into())
}

/// The name of the member with this number.
pub fn name(member: usize) -> String {
    format!("s{member}")
}

/// An instant that can be ordered: the bit patterns of non-negative floating-point numbers are ordered like the
/// numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OrderedInstant(u64);

impl OrderedInstant {
    const NEVER: OrderedInstant = OrderedInstant(u64::MAX);

    fn new(millis: Millis) -> OrderedInstant {
        OrderedInstant(millis.to_bits())
    }

    fn millis(self) -> Millis {
        f64::from_bits(self.0)
    }
}

/// A datagram that was sent and has not arrived yet, with the numbers of its sender and receiver.
#[derive(Debug)]
struct InTransit {
    from: usize,
    to: usize,
    datagram: Datagram,
}

/// Members and the network between them. Members are identified by their numbers.
#[derive(Debug)]
pub struct SimulatedNetwork {
    /// The fraction of datagrams that are lost.
    pub loss: f64,
    /// The number of datagrams sent so far, and the number of their bytes, including headers.
    pub sent_totals: (u64, u64),
    /// The running members.
    nodes: BTreeMap<usize, Membership>,
    /// The changes of each member's view so far.
    changes: BTreeMap<usize, Vec<MembershipChange>>,
    /// Ordered by the time of arrival, then by the order in which they were sent.
    in_transit: BTreeMap<(OrderedInstant, u64), InTransit>,
    /// The next tick of each running member, ordered by time.
    ticks: BTreeSet<(OrderedInstant, usize)>,
    /// The next tick of each running member, by member.
    next_tick: BTreeMap<usize, OrderedInstant>,
    /// For each member, the end of the time in which all datagrams to it are dropped.
    dropping_until: BTreeMap<usize, Millis>,
    /// For each member, the end of its stall.
    stalled_until: BTreeMap<usize, Millis>,
    /// If set, the members with lower numbers and the other members cannot reach each other.
    partition: Option<usize>,
    now: Millis,
    last_sequence: u64,
    rng: Pcg32,
    settings: Settings,
    secret: Secret,
}

impl SimulatedNetwork {
    /// Creates a network of `count` members, whose seeds are the first two. `loss` is the fraction of datagrams that
    /// are lost.
    pub fn new(count: usize, loss: f64, seed: u64) -> SimulatedNetwork {
        let settings = Settings {
            max_members: 4 * count.max(64),
            ..Settings::default()
        };
        let mut network = SimulatedNetwork {
            loss,
            sent_totals: (0, 0),
            nodes: BTreeMap::new(),
            changes: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            ticks: BTreeSet::new(),
            next_tick: BTreeMap::new(),
            dropping_until: BTreeMap::new(),
            stalled_until: BTreeMap::new(),
            partition: None,
            now: 0.0,
            last_sequence: 0,
            rng: Pcg32::seed_from_u64(seed),
            settings,
            secret: Secret::new(b"a simulated network"),
        };
        for member in 0..count {
            network.add(member);
        }
        network
    }

    /// Starts a member.
    pub fn add(&mut self, member: usize) {
        self.add_with_name_of(member, member);
    }

    /// Starts a member at its own address, with the name of another member.
    pub fn add_with_name_of(&mut self, member: usize, other: usize) {
        let seeds = [address(0), address(1)];
        let rng_seed = self.rng.random();
        let mut membership = Membership::new(
            &name(other),
            address(member),
            1,
            &seeds,
            self.settings.clone(),
            rng_seed,
            self.now,
        );
        membership.join();
        self.nodes.insert(member, membership);
        self.collect(member);
    }

    /// The membership protocol of a running member.
    ///
    /// # Panics
    /// If the member is not running.
    pub fn membership(&self, member: usize) -> &Membership {
        &self.nodes[&member]
    }

    /// All changes of a member's view so far.
    pub fn changes(&self, member: usize) -> &[MembershipChange] {
        self.changes.get(&member).map_or(&[], Vec::as_slice)
    }

    /// The simulated time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Ends a member without an announcement.
    pub fn crash(&mut self, member: usize) {
        self.nodes.remove(&member);
        if let Some(due) = self.next_tick.remove(&member) {
            self.ticks.remove(&(due, member));
        }
    }

    /// Lets a member announce that it leaves, and ends it.
    pub fn leave(&mut self, member: usize) {
        if let Some(membership) = self.nodes.get_mut(&member) {
            membership.leave();
        }
        self.collect(member);
        self.crash(member);
    }

    /// Drops all datagrams to a member for the given time.
    pub fn drop_incoming(&mut self, member: usize, duration: Millis) {
        self.dropping_until.insert(member, self.now + duration);
    }

    /// Stops a member's process for the given time. Datagrams to it wait in its socket.
    pub fn stall(&mut self, member: usize, duration: Millis) {
        self.stalled_until.insert(member, self.now + duration);
        self.collect(member);
    }

    /// Separates the members with numbers below `boundary` from the other members, or heals the partition if `boundary`
    /// is `None`.
    pub fn partition(&mut self, boundary: Option<usize>) {
        self.partition = boundary;
    }

    /// The state of a member in the view of `observer`, or `None` if it is not in that view.
    pub fn state(&self, observer: usize, member: usize) -> Option<MemberState> {
        let name = name(member);
        let mut others = self.nodes[&observer].others();
        others
            .find(|other| other.name == name)
            .map(|other| other.state)
    }

    /// The number of ordered pairs of running members in which the first does not see the second as a live member.
    pub fn unknown_pairs(&self) -> usize {
        let others = self.nodes.len().saturating_sub(1);
        self.nodes
            .keys()
            .map(|observer| others - self.known_member_count(*observer))
            .sum()
    }

    /// The number of other running members that `observer` sees as live.
    fn known_member_count(&self, observer: usize) -> usize {
        self.nodes[&observer]
            .others()
            .filter(|member| member.state.is_live())
            .map(|member| number_of(member.address))
            .filter(|member| *member != observer && self.nodes.contains_key(member))
            .count()
    }

    /// Whether all other running members see a member as live.
    pub fn is_known_to_all(&self, member: usize) -> bool {
        self.nodes.keys().all(|observer| {
            *observer == member
                || self
                    .state(*observer, member)
                    .is_some_and(MemberState::is_live)
        })
    }

    /// The number of times that any member declared another one dead so far.
    pub fn death_count(&self) -> usize {
        let changes = self.changes.values().flatten();
        changes
            .filter(|change| matches!(change, MembershipChange::Died(_)))
            .count()
    }

    /// Simulates the given time.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.step(end) {}
        self.now = end;
    }

    /// Simulates until `done` returns true, and returns the time at which it does. Returns `None` if it does not within
    /// `max_duration`.
    pub fn run_until(
        &mut self,
        max_duration: Millis,
        mut done: impl FnMut(&SimulatedNetwork) -> bool,
    ) -> Option<Millis> {
        let end = self.now + max_duration;
        while self.now < end {
            self.run(CHECK_INTERVAL);
            if done(self) {
                return Some(self.now);
            }
        }
        None
    }

    /// Simulates the next event, which is a tick or an arrival. Returns false if none is due by `end`.
    fn step(&mut self, end: Millis) -> bool {
        let next_tick = self.ticks.first().copied();
        let next_tick = next_tick.unwrap_or((OrderedInstant::NEVER, 0));
        let next_arrival = self.in_transit.first_key_value().map(|(key, _)| key.0);
        let next_arrival = next_arrival.unwrap_or(OrderedInstant::NEVER);
        let next_event = next_tick.0.min(next_arrival);
        if next_event > OrderedInstant::new(end) {
            return false;
        }
        self.now = self.now.max(next_event.millis());
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

    fn tick(&mut self, member: usize) {
        if let Some(membership) = self.nodes.get_mut(&member) {
            membership.tick(self.now);
        }
        self.collect(member);
    }

    fn deliver(&mut self, arrived: InTransit) {
        let to = arrived.to;
        if let Some(until) = self.stalled_until(to) {
            self.put_in_transit(until + READ_AFTER_STALL, arrived);
            return;
        }
        let blocked = self
            .partition
            .is_some_and(|boundary| (arrived.from < boundary) != (to < boundary));
        let dropped = self
            .dropping_until
            .get(&to)
            .is_some_and(|until| self.now < *until);
        if blocked || dropped {
            return;
        }
        if let Some(membership) = self.nodes.get_mut(&to) {
            membership.handle_datagram(arrived.datagram, self.now);
            self.collect(to);
        }
    }

    fn stalled_until(&self, member: usize) -> Option<Millis> {
        let until = self.stalled_until.get(&member).copied();
        until.filter(|until| self.now < *until)
    }

    /// Collects the outputs of a member after it handled an event: changes, its next deadline, and datagrams.
    fn collect(&mut self, member: usize) {
        let stalled_until = self.stalled_until(member).unwrap_or(0.0);
        let Some(membership) = self.nodes.get_mut(&member) else {
            return;
        };
        let changes = self.changes.entry(member).or_default();
        changes.extend(membership.take_changes());
        let outgoing = membership.take_outgoing();
        let due = OrderedInstant::new(membership.next_deadline().max(stalled_until));
        if let Some(previous) = self.next_tick.insert(member, due) {
            self.ticks.remove(&(previous, member));
        }
        self.ticks.insert((due, member));
        for (to, datagram) in outgoing {
            let to = number_of(to);
            self.send(InTransit {
                from: member,
                to,
                datagram,
            });
        }
    }

    /// Counts a datagram, and drops or delays it.
    fn send(&mut self, sent: InTransit) {
        let frame = self.secret.seal_datagram(&sent.datagram);
        self.sent_totals.0 += 1;
        self.sent_totals.1 += frame.len() as u64 + HEADER_BYTES;
        let lost = self.rng.random::<f64>() < self.loss;
        let delay = self.rng.random::<f64>();
        if !lost {
            let arrival = self.now + MIN_DELAY + (MAX_DELAY - MIN_DELAY) * delay;
            self.put_in_transit(arrival, sent);
        }
    }

    fn put_in_transit(&mut self, arrival: Millis, datagram: InTransit) {
        self.last_sequence += 1;
        let key = (OrderedInstant::new(arrival), self.last_sequence);
        self.in_transit.insert(key, datagram);
    }
}
