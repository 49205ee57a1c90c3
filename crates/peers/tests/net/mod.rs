//! A simulated network for the stories: members whose datagrams travel, are lost, and meet cuts.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use martenlatch_peers::member::{Change, Datagram, Members, Settings, State};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

pub fn address(no: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + no as u16))
}

pub fn name(no: usize) -> String {
    format!("s{no}")
}

pub struct Net {
    nodes: BTreeMap<usize, Members>,
    changes: BTreeMap<usize, Vec<Change>>,
    flying: BTreeMap<(u64, u64), (usize, usize, Datagram)>,
    /// Until when a member hears nothing, or does nothing.
    deaf: BTreeMap<usize, f64>,
    stalled: BTreeMap<usize, f64>,
    split: Option<usize>,
    pub loss: f64,
    now: f64,
    sent: u64,
    rng: Pcg32,
}

impl Net {
    pub fn of(count: usize, loss: f64, seed: u64) -> Net {
        println!("seed {seed}");
        let mut net = Net {
            nodes: BTreeMap::new(),
            changes: BTreeMap::new(),
            flying: BTreeMap::new(),
            deaf: BTreeMap::new(),
            stalled: BTreeMap::new(),
            split: None,
            loss,
            now: 0.0,
            sent: 0,
            rng: Pcg32::seed_from_u64(seed),
        };
        (0..count).for_each(|no| net.add(no));
        net
    }

    pub fn add(&mut self, no: usize) {
        self.add_as(no, no);
    }

    /// A member at its own address under another's name.
    pub fn add_as(&mut self, no: usize, called: usize) {
        let seeds = [address(0), address(1)];
        let seed = self.rng.random();
        let mut members =
            Members::new(&name(called), address(no), 1, &seeds, Settings::default(), seed, self.now);
        members.join();
        self.nodes.insert(no, members);
        self.collect(no);
    }

    pub fn node(&self, no: usize) -> &Members {
        &self.nodes[&no]
    }

    pub fn changes(&self, no: usize) -> &[Change] {
        self.changes.get(&no).map_or(&[], Vec::as_slice)
    }

    pub fn kill(&mut self, no: usize) {
        self.nodes.remove(&no);
    }

    pub fn leave(&mut self, no: usize) {
        self.nodes.get_mut(&no).expect("a member").leave();
        self.collect(no);
        self.kill(no);
    }

    pub fn deafen(&mut self, no: usize, span: f64) {
        self.deaf.insert(no, self.now + span);
    }

    pub fn stall(&mut self, no: usize, span: f64) {
        self.stalled.insert(no, self.now + span);
    }

    /// Members under `at` and the others cannot reach one another.
    pub fn split(&mut self, at: Option<usize>) {
        self.split = at;
    }

    pub fn state(&self, by: usize, no: usize) -> Option<State> {
        self.nodes[&by].others().find(|r| r.name == name(no)).map(|r| r.state)
    }

    /// Pairs of which one does not hold the other for a member.
    pub fn unknown(&self) -> usize {
        let pairs = self.nodes.keys().flat_map(|a| self.nodes.keys().map(move |b| (a, b)));
        pairs.filter(|(a, b)| a != b && !self.state(**a, **b).is_some_and(State::live)).count()
    }

    fn collect(&mut self, no: usize) {
        let members = self.nodes.get_mut(&no).expect("a member");
        self.changes.entry(no).or_default().extend(members.take_changes());
        for (to, datagram) in members.take_out() {
            self.sent += 1;
            let (lost, way) = (self.rng.random::<f64>() < self.loss, 5.0 + 10.0 * self.rng.random::<f64>());
            if !lost {
                let at = ((self.now + way) * 1e3) as u64;
                self.flying.insert((at, self.sent), (no, usize::from(to.port() - 7_000), datagram));
            }
        }
    }

    pub fn run(&mut self, span: f64) {
        let end = self.now + span;
        loop {
            let busy = |no: &usize| self.stalled.get(no).copied().unwrap_or(0.0);
            let ticks = self.nodes.iter().map(|(no, m)| (m.due().max(busy(no)), *no));
            let tick = ticks.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((f64::INFINITY, 0));
            let next = self.flying.first_key_value().map(|(k, _)| *k);
            let arrives = next.map_or(f64::INFINITY, |k| k.0 as f64 / 1e3);
            let at = tick.0.min(arrives);
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            if arrives > tick.0 {
                let now = self.now;
                self.nodes.get_mut(&tick.1).expect("a member").tick(now);
                self.collect(tick.1);
                continue;
            }
            let Some((from, to, datagram)) = next.and_then(|k| self.flying.remove(&k)) else { continue };
            let cut = self.split.is_some_and(|s| (from < s) != (to < s));
            let deaf = self.deaf.get(&to).is_some_and(|until| self.now < *until);
            let stalled = self.stalled.get(&to).copied().filter(|until| self.now < *until);
            if let Some(until) = stalled {
                // It waits in the socket.
                self.sent += 1;
                self.flying.insert(((until * 1e3) as u64 + 1_000, self.sent), (from, to, datagram));
                continue;
            }
            let now = self.now;
            if let Some(members) = self.nodes.get_mut(&to).filter(|_| !cut && !deaf) {
                members.hear(datagram, now);
                self.collect(to);
            }
        }
        self.now = end;
    }
}
