//! Owns the measurement of membership at size, in simulated time: what it costs on the network, how soon a death and a
//! join are known to all, and how often one that runs is held for dead. Its figures are a seed's, not the machine's.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use martenlatch_clock::Millis;
use martenlatch_peers::member::{Change, Datagram, Members, Settings, State};
use martenlatch_peers::wire::Secret;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::draw::{Stream, draw, within};
use crate::timed::Timed;

/// One way between two members.
const WAY: (Millis, Millis) = (5.0, 15.0);
/// From an empty network until figures are taken, how long they are taken for, and for how long a death or a join is
/// waited for.
const SETTLE: Millis = 30_000.0;
const STEADY: Millis = 60_000.0;
const PATIENCE: Millis = 60_000.0;
/// How often it is looked whether all know.
const LOOK: Millis = 50.0;

/// What was measured with one number of members, one loss and one seed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Sent by each member in a second, with the 28 bytes that UDP over IPv4 adds.
    pub bytes: f64,
    /// Datagrams of each member in a second.
    pub datagrams: f64,
    /// Until a death is known to all others, in milliseconds; none where it was not within a minute.
    pub death: Option<Millis>,
    /// Until a newcomer and all others know each other.
    pub join: Option<Millis>,
    /// Times that any member held one that ran for dead, while nobody died.
    pub false_deaths: u64,
    /// Pairs that did not hold each other for members when the steady time was over.
    pub unknown: usize,
}

#[derive(Debug)]
enum Ev {
    Tick(usize),
    Arrive(usize, Box<Datagram>),
    Look,
}

struct Net {
    nodes: BTreeMap<usize, Members>,
    queue: BinaryHeap<Reverse<Timed<Ev>>>,
    /// When each member's next tick is under way.
    due: BTreeMap<usize, Millis>,
    now: Millis,
    seq: u64,
    seed: u64,
    loss: f64,
    rng: Pcg64Mcg,
    secret: Secret,
    sent: (u64, u64),
    deaths: u64,
    settings: Settings,
}

fn address(no: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + no as u16))
}

fn name(no: usize) -> String {
    format!("sender-{no}")
}

impl Net {
    fn at(&mut self, at: Millis, ev: Ev) {
        self.seq += 1;
        self.queue.push(Reverse(Timed { at, seq: self.seq, ev }));
    }

    fn add(&mut self, no: usize) {
        let seeds = [address(0), address(1)];
        let seed = self.seed ^ (no as u64) << 20;
        let mut members =
            Members::new(&name(no), address(no), 1, &seeds, self.settings.clone(), seed, self.now);
        members.join();
        self.nodes.insert(no, members);
        self.collect(no);
    }

    fn collect(&mut self, no: usize) {
        let Some(members) = self.nodes.get_mut(&no) else { return };
        let (out, changes, due) = (members.take_out(), members.take_changes(), members.due());
        self.deaths += changes.iter().filter(|c| matches!(c, Change::Died(_))).count() as u64;
        for (to, datagram) in out {
            self.sent.0 += 1;
            self.sent.1 += self.secret.seal_datagram(&datagram).len() as u64 + 28;
            if self.rng.random::<f64>() >= self.loss {
                let way = within(&mut self.rng, WAY);
                let to = usize::from(to.port()).saturating_sub(10_000);
                self.at(self.now + way, Ev::Arrive(to, Box::new(datagram)));
            }
        }
        if self.due.get(&no).is_none_or(|d| due < *d || *d <= self.now) {
            self.due.insert(no, due);
            self.at(due, Ev::Tick(no));
        }
    }

    /// Runs until an instant, or until `done` says so at a look; when that was.
    fn run(&mut self, until: Millis, mut done: impl FnMut(&Net) -> bool) -> Option<Millis> {
        self.at(self.now + LOOK, Ev::Look);
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > until {
                self.queue.push(Reverse(next));
                break;
            }
            self.now = self.now.max(next.at);
            let now = self.now;
            match next.ev {
                Ev::Tick(no) => {
                    if let Some(members) = self.nodes.get_mut(&no) {
                        members.tick(now);
                        self.collect(no);
                    }
                }
                Ev::Arrive(no, datagram) => {
                    if let Some(members) = self.nodes.get_mut(&no) {
                        members.hear(*datagram, now);
                        self.collect(no);
                    }
                }
                Ev::Look => {
                    if done(self) {
                        return Some(now);
                    }
                    self.at(now + LOOK, Ev::Look);
                }
            }
        }
        self.now = until;
        None
    }

    fn knows(&self, by: usize, no: usize) -> bool {
        self.nodes.get(&by).is_some_and(|m| m.others().any(|r| r.name == name(no) && r.state.live()))
    }

    fn all_know(&self, no: usize) -> bool {
        self.nodes.keys().all(|by| *by == no || self.knows(*by, no))
    }
}

/// Measures one network. The same figures for the same seed.
pub fn measure(members: usize, loss: f64, seed: u64) -> Figures {
    let mut net = Net {
        nodes: BTreeMap::new(),
        queue: BinaryHeap::new(),
        due: BTreeMap::new(),
        now: 0.0,
        seq: 0,
        seed,
        loss,
        rng: draw(seed, Stream::Travel, members as u64, (loss * 1e3) as u64),
        secret: Secret::new(b"laboratory"),
        sent: (0, 0),
        deaths: 0,
        settings: Settings { most: 4 * members.max(8), ..Settings::default() },
    };
    (0..members).for_each(|no| net.add(no));
    net.run(SETTLE, |_| false);
    (net.sent, net.deaths) = ((0, 0), 0);
    net.run(SETTLE + STEADY, |_| false);
    let seconds = STEADY / 1e3 * members as f64;
    let numbers: Vec<usize> = net.nodes.keys().copied().collect();
    let unknown =
        numbers.iter().map(|no| numbers.iter().filter(|by| *by != no && !net.knows(**by, *no)).count());
    let mut figures = Figures {
        bytes: net.sent.1 as f64 / seconds,
        datagrams: net.sent.0 as f64 / seconds,
        false_deaths: net.deaths,
        unknown: unknown.sum(),
        ..Figures::default()
    };
    let (newcomer, joined) = (members, net.now);
    net.add(newcomer);
    let done = net.run(joined + PATIENCE, |net| {
        net.all_know(newcomer) && net.nodes[&newcomer].live() >= net.nodes.len() - 1
    });
    figures.join = done.map(|at| at - joined);
    let died = net.now;
    net.nodes.remove(&newcomer);
    let done = net.run(died + PATIENCE, |net| {
        let gone = |m: &Members| m.others().all(|r| r.name != name(newcomer) || r.state == State::Dead);
        net.nodes.values().all(gone)
    });
    figures.death = done.map(|at| at - died);
    figures
}
