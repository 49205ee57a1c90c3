//! Owns a simulated network of members: datagrams travel, are lost and meet cuts; members are killed, fall deaf and
//! stall. For tests and the laboratory; no part of a sender. The same seed gives the same history. It must never wait,
//! or reach into a member past what the network and its clock could do.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use martenlatch_clock::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::membership::{Change, Datagram, Membership, Settings, State};
use crate::wire::Secret;

/// One way between two members.
const WAY: (Millis, Millis) = (5.0, 15.0);
/// What UDP over IPv4 adds to a datagram, in bytes.
const HEADERS: u64 = 28;

/// The address of a member by its number.
pub fn address(no: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + no as u16))
}

/// The name of a member by its number.
pub fn name(no: usize) -> String {
    format!("s{no}")
}

/// Instants as keys of an ordered map: positive numbers keep their order as bits.
fn key(at: Millis) -> u64 {
    at.to_bits()
}

/// Members and what is between them.
#[derive(Debug)]
pub struct SimulatedNetwork {
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Datagrams and bytes sent so far.
    pub sent: (u64, u64),
    nodes: BTreeMap<usize, Membership>,
    changes: BTreeMap<usize, Vec<Change>>,
    flying: BTreeMap<(u64, u64), (usize, usize, Datagram)>,
    /// When each member has something to do, both ways.
    dues: BTreeSet<(u64, usize)>,
    due_of: BTreeMap<usize, u64>,
    /// Until when a member hears nothing, or does nothing.
    deaf: BTreeMap<usize, Millis>,
    stalled: BTreeMap<usize, Millis>,
    split: Option<usize>,
    now: Millis,
    seq: u64,
    rng: Pcg32,
    set: Settings,
    secret: Secret,
}

impl SimulatedNetwork {
    /// So many members that know nobody but the first two.
    pub fn of(count: usize, loss: f64, seed: u64) -> SimulatedNetwork {
        let set = Settings {
            most: 4 * count.max(64),
            ..Settings::default()
        };
        let mut net = SimulatedNetwork {
            loss,
            sent: (0, 0),
            nodes: BTreeMap::new(),
            changes: BTreeMap::new(),
            flying: BTreeMap::new(),
            dues: BTreeSet::new(),
            due_of: BTreeMap::new(),
            deaf: BTreeMap::new(),
            stalled: BTreeMap::new(),
            split: None,
            now: 0.0,
            seq: 0,
            rng: Pcg32::seed_from_u64(seed),
            set,
            secret: Secret::new(b"a simulated network"),
        };
        (0..count).for_each(|no| net.add(no));
        net
    }

    /// Starts a member.
    pub fn add(&mut self, no: usize) {
        self.add_as(no, no);
    }

    /// Starts a member at its own address under another's name.
    pub fn add_as(&mut self, no: usize, called: usize) {
        let (seeds, seed, set) = (
            [address(0), address(1)],
            self.rng.random(),
            self.set.clone(),
        );
        let mut members =
            Membership::new(&name(called), address(no), 1, &seeds, set, seed, self.now);
        members.join();
        self.nodes.insert(no, members);
        self.collect(no);
    }

    /// One that runs.
    pub fn node(&self, no: usize) -> &Membership {
        &self.nodes[&no]
    }

    /// What has changed in a member's view, since the beginning.
    pub fn changes(&self, no: usize) -> &[Change] {
        self.changes.get(&no).map_or(&[], Vec::as_slice)
    }

    /// The time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Ends a member without a word.
    pub fn kill(&mut self, no: usize) {
        self.nodes.remove(&no);
        if let Some(due) = self.due_of.remove(&no) {
            self.dues.remove(&(due, no));
        }
    }

    /// Ends a member in good order.
    pub fn leave(&mut self, no: usize) {
        if let Some(members) = self.nodes.get_mut(&no) {
            members.leave();
        }
        self.collect(no);
        self.kill(no);
    }

    /// Nothing reaches a member for a while.
    pub fn deafen(&mut self, no: usize, span: Millis) {
        self.deaf.insert(no, self.now + span);
    }

    /// A member does nothing for a while; what comes waits in its socket.
    pub fn stall(&mut self, no: usize, span: Millis) {
        self.stalled.insert(no, self.now + span);
        self.collect(no);
    }

    /// Members under `at` and the others cannot reach one another, or can again.
    pub fn split(&mut self, at: Option<usize>) {
        self.split = at;
    }

    /// How one member sees another.
    pub fn state(&self, by: usize, no: usize) -> Option<State> {
        self.nodes[&by]
            .others()
            .find(|r| r.name == name(no))
            .map(|r| r.state)
    }

    /// Pairs of which one does not hold the other for a member.
    pub fn unknown(&self) -> usize {
        let knows = |by: &usize| {
            let live = self.nodes[by].others().filter(|r| r.state.live());
            let numbers = live.map(|r| usize::from(r.address.port()) - 7_000);
            numbers
                .filter(|no| no != by && self.nodes.contains_key(no))
                .count()
        };
        self.nodes
            .keys()
            .map(|by| self.nodes.len() - 1 - knows(by))
            .sum()
    }

    /// Whether every other member holds one for a member.
    pub fn all_know(&self, no: usize) -> bool {
        self.nodes
            .keys()
            .all(|by| *by == no || self.state(*by, no).is_some_and(State::live))
    }

    /// Times that a death was seen so far, over all members.
    pub fn deaths(&self) -> usize {
        let all = self.changes.values().flatten();
        all.filter(|c| matches!(c, Change::Died(_))).count()
    }

    fn stalled(&self, no: usize) -> Option<Millis> {
        self.stalled
            .get(&no)
            .copied()
            .filter(|until| self.now < *until)
    }

    fn collect(&mut self, no: usize) {
        let stalled = self.stalled(no);
        let Some(members) = self.nodes.get_mut(&no) else {
            return;
        };
        self.changes
            .entry(no)
            .or_default()
            .extend(members.take_changes());
        let (out, due) = (
            members.take_out(),
            key(members.due().max(stalled.unwrap_or(0.0))),
        );
        if let Some(old) = self.due_of.insert(no, due) {
            self.dues.remove(&(old, no));
        }
        self.dues.insert((due, no));
        for (to, datagram) in out {
            let bytes = self.secret.seal_datagram(&datagram).len() as u64 + HEADERS;
            self.sent = (self.sent.0 + 1, self.sent.1 + bytes);
            let (lost, way) = (
                self.rng.random::<f64>() < self.loss,
                self.rng.random::<f64>(),
            );
            if !lost {
                let at = self.now + WAY.0 + (WAY.1 - WAY.0) * way;
                self.fly(
                    at,
                    (no, usize::from(to.port()).saturating_sub(7_000), datagram),
                );
            }
        }
    }

    fn fly(&mut self, at: Millis, what: (usize, usize, Datagram)) {
        self.seq += 1;
        self.flying.insert((key(at), self.seq), what);
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.step(end) {}
        self.now = end;
    }

    /// Lets time pass until `done` says so, looked at every 50 ms: when that was.
    pub fn run_until(
        &mut self,
        span: Millis,
        mut done: impl FnMut(&SimulatedNetwork) -> bool,
    ) -> Option<Millis> {
        let end = self.now + span;
        while self.now < end {
            self.run(50.0);
            if done(self) {
                return Some(self.now);
            }
        }
        None
    }

    /// The next thing that happens before an instant; false where nothing does.
    fn step(&mut self, end: Millis) -> bool {
        let tick = self.dues.first().copied().unwrap_or((u64::MAX, 0));
        let next = self.flying.first_key_value().map(|(k, _)| *k);
        let arrives = next.map_or(u64::MAX, |k| k.0);
        let at = tick.0.min(arrives);
        if at > key(end) {
            return false;
        }
        self.now = self.now.max(f64::from_bits(at));
        let now = self.now;
        if arrives > tick.0 {
            if let Some(members) = self.nodes.get_mut(&tick.1) {
                members.tick(now);
            }
            self.collect(tick.1);
            return true;
        }
        let Some((from, to, datagram)) = next.and_then(|k| self.flying.remove(&k)) else {
            return false;
        };
        if let Some(until) = self.stalled(to) {
            // Read after the tick that is due then, as by a process that was stopped.
            self.fly(until + 1.0, (from, to, datagram));
            return true;
        }
        let cut = self.split.is_some_and(|s| (from < s) != (to < s));
        let deaf = self.deaf.get(&to).is_some_and(|until| now < *until);
        if let Some(members) = self.nodes.get_mut(&to).filter(|_| !cut && !deaf) {
            members.hear(datagram, now);
            self.collect(to);
        }
        true
    }
}
