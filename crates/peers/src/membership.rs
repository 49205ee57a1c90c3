//! Owns the view of the other senders: pings, suspicion and its refutation, who has come and who has gone, after
//! "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (Das, Gupta, Motivala, 2002),
//! with a digest of the view in every datagram, so that halves of a split network that meet again agree. It must never
//! open a socket, look at a clock, or grow past the bound on its view.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use martenlatch_clock::Millis;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

/// Longest name, in bytes; it bounds the size of a datagram.
pub const NAME: usize = 32;
/// Most rumours in one datagram: with the longest names they stay under the 1,200 bytes that any path takes.
pub const MAX_UPDATES: usize = 12;
/// Calls of others that are passed on and not yet answered, at most.
const RELAYS: usize = 64;
/// Every so many periods one that is held for dead, or a seed that is not known, is tried again.
const REVIVE: u64 = 3;
/// Digests that differ so often in a row ask for the whole view, and not again within as many periods.
const UNLIKE: u32 = 3;
const SYNC_EVERY: u64 = 8;
/// A period whose tick is later than this part of it is our own stall: nobody is suspected for it.
const STALL: f64 = 0.5;

/// How a member is, as far as is known. Of two tidings with one incarnation the later in this order holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It has not answered, and has not yet said that it lives.
    Suspect,
    /// It has not refuted the suspicion in time.
    Dead,
    /// It has said that it goes.
    Left,
}

impl State {
    /// Whether one in this state counts as a member.
    pub fn live(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// What is told of a member. Only the member itself raises its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct MemberUpdate {
    pub name: String,
    /// Where its datagrams go; its knowledge is told at the same port over TCP.
    pub address: SocketAddr,
    pub incarnation: u64,
    pub state: State,
}

impl MemberUpdate {
    /// Which of two rumours on one member holds: the greater. A total order, so that merging in any order agrees.
    fn rank(&self) -> (u64, State, SocketAddr) {
        (self.incarnation, self.state, self.address)
    }
}

/// What a datagram is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Body {
    /// Answer with an ack of the same number.
    Ping {
        no: u64,
    },
    Ack {
        no: u64,
    },
    /// Ping another for me, and pass its ack on.
    Ask {
        no: u64,
        address: SocketAddr,
    },
    /// Tell me your whole view.
    Sync,
    /// A part of it.
    View,
}

/// One datagram, without its key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Datagram {
    pub from: MemberUpdate,
    /// Over the live members of the sender's view.
    pub digest: u64,
    pub body: Body,
    pub rumours: Vec<MemberUpdate>,
}

/// How the protocol is paced. Times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// One member is pinged a period.
    pub period: Millis,
    /// Without an ack by then others are asked to ping it.
    pub ack: Millis,
    /// How many others.
    pub asked: usize,
    /// Periods that a suspect has to refute, times the decimal logarithm of the number of members, at least once.
    pub suspect: f64,
    /// How long one that died or left is remembered.
    pub forget: Millis,
    /// Most members in the view, those remembered counted.
    pub most: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            period: 500.0,
            ack: 150.0,
            asked: 3,
            suspect: 5.0,
            forget: 120_000.0,
            most: 256,
        }
    }
}

/// A change in the view.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Change {
    Joined(MemberUpdate),
    Suspected(String),
    /// A suspect lives.
    Refuted(String),
    Died(String),
    Left(String),
    /// One that had died or left is not remembered any more.
    Forgotten(String),
    /// Another goes by this sender's name, from that address.
    NameTaken(SocketAddr),
}

#[derive(Clone, Debug)]
struct Probe {
    name: String,
    no: u64,
    sent: Millis,
    asked: bool,
    /// The second in a row.
    second: bool,
}

#[derive(Clone, Debug)]
struct Relayed {
    no: u64,
    to: SocketAddr,
    theirs: u64,
}

/// One sender's view of the others.
#[derive(Clone, Debug)]
pub struct Membership {
    me: MemberUpdate,
    set: Settings,
    seeds: Vec<SocketAddr>,
    view: BTreeMap<String, MemberUpdate>,
    live: usize,
    digest: u64,
    /// Who is pinged in this turn through the view.
    order: Vec<String>,
    /// Those that could be tried again; some may have come back or be forgotten.
    lost: VecDeque<String>,
    probe: Option<Probe>,
    relayed: VecDeque<Relayed>,
    /// Rumours to pass on, by how often that was done.
    fresh: BTreeSet<(u32, String)>,
    told: BTreeMap<String, u32>,
    /// When suspects die and the dead are forgotten, in whole milliseconds; what has changed since is passed over.
    dues: BTreeSet<(u64, String, u64, State)>,
    next_period: Millis,
    periods: u64,
    next_no: u64,
    unlike: u32,
    synced: u64,
    /// In which period another was last seen to go by our name.
    taken: Option<u64>,
    /// Members not taken into a full view.
    pub turned_away: u64,
    rng: Pcg32,
    out: Vec<(SocketAddr, Datagram)>,
    changes: Vec<Change>,
}

fn hash(rumour: &MemberUpdate) -> u64 {
    // FNV-1a, the same on every machine.
    let bytes = rumour.name.bytes().chain(rumour.incarnation.to_le_bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    })
}

impl Membership {
    /// One that knows nobody but its seeds. `name` is cut at [`NAME`] bytes; `incarnation` is to be higher than that of
    /// its earlier lives, and is raised when it is found not to be.
    pub fn new(
        name: &str,
        address: SocketAddr,
        incarnation: u64,
        seeds: &[SocketAddr],
        set: Settings,
        seed: u64,
        now: Millis,
    ) -> Membership {
        let name = name.chars().scan(0, |len, c| {
            *len += c.len_utf8();
            (*len <= NAME).then_some(c)
        });
        let me = MemberUpdate {
            name: name.collect(),
            address,
            incarnation,
            state: State::Alive,
        };
        Membership {
            digest: hash(&me),
            me,
            seeds: seeds.iter().copied().filter(|s| *s != address).collect(),
            view: BTreeMap::new(),
            live: 0,
            order: Vec::new(),
            lost: VecDeque::new(),
            probe: None,
            relayed: VecDeque::new(),
            fresh: BTreeSet::new(),
            told: BTreeMap::new(),
            dues: BTreeSet::new(),
            next_period: now,
            periods: 0,
            next_no: 0,
            unlike: 0,
            synced: 0,
            taken: None,
            turned_away: 0,
            rng: Pcg32::seed_from_u64(seed),
            set,
            out: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// This member as it tells of itself.
    pub fn me(&self) -> &MemberUpdate {
        &self.me
    }

    /// The others, by name; those remembered as dead or gone too.
    pub fn others(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.view.values()
    }

    /// How many others live, suspects counted.
    pub fn live(&self) -> usize {
        self.live
    }

    /// Datagrams to send since this was last asked.
    pub fn take_out(&mut self) -> Vec<(SocketAddr, Datagram)> {
        std::mem::take(&mut self.out)
    }

    /// What has changed since this was last asked, in its order.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// When [`Membership::tick`] has something to do.
    pub fn due(&self) -> Millis {
        let ask = self
            .probe
            .as_ref()
            .filter(|p| !p.asked)
            .map(|p| p.sent + self.set.ack);
        let due = self.dues.first().map(|d| d.0 as Millis);
        [ask, due]
            .into_iter()
            .flatten()
            .fold(self.next_period, f64::min)
    }

    /// Asks the seeds for their views, at once.
    pub fn join(&mut self) {
        for seed in self.seeds.clone() {
            self.send(seed, Body::Sync, None);
        }
    }

    /// Says to some that this member goes.
    pub fn leave(&mut self) {
        self.me.state = State::Left;
        for name in self.some(2 * self.set.asked, None) {
            let to = self.view[&name].address;
            self.send(to, Body::View, None);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) {
        while let Some(due) = self.dues.first().filter(|d| d.0 as Millis <= now).cloned() {
            self.dues.remove(&due);
            let (_, name, incarnation, state) = due;
            let Some(known) = self.view.get(&name) else {
                continue;
            };
            if (known.incarnation, known.state) != (incarnation, state) {
                continue;
            }
            if state == State::Suspect {
                let dead = MemberUpdate {
                    state: State::Dead,
                    ..known.clone()
                };
                self.merge(dead, now);
            } else {
                self.remove(&name);
            }
        }
        if let Some(probe) = self
            .probe
            .as_mut()
            .filter(|p| !p.asked && now >= p.sent + self.set.ack)
        {
            probe.asked = true;
            let (no, name) = (probe.no, probe.name.clone());
            if let Some(address) = self.view.get(&name).map(|r| r.address) {
                for other in self.some(self.set.asked, Some(&name)) {
                    let to = self.view[&other].address;
                    self.send(to, Body::Ask { no, address }, None);
                }
            }
        }
        if now >= self.next_period {
            self.period(now);
        }
    }

    fn period(&mut self, now: Millis) {
        let late = now > self.next_period + self.set.period * STALL;
        self.periods += 1;
        self.next_period = if late {
            now + self.set.period
        } else {
            self.next_period + self.set.period
        };
        let silent = self.probe.take().filter(|_| !late);
        let known = silent
            .as_ref()
            .and_then(|p| self.view.get(&p.name))
            .filter(|r| r.state == State::Alive);
        match (silent.as_ref().is_some_and(|p| p.second), known.cloned()) {
            // On a lossy network one silence says little; two in a row are the exception.
            (false, Some(known)) => self.ping(known, true, now),
            (true, Some(known)) => {
                let suspect = MemberUpdate {
                    state: State::Suspect,
                    ..known
                };
                self.merge(suspect.clone(), now);
                self.ping_next(now);
                // It can refute the suspicion at once, and need not wait until the rumour comes round to it.
                let no = self.number();
                self.send(suspect.address, Body::Ping { no }, Some(suspect));
            }
            (_, None) => self.ping_next(now),
        }
        if self.periods % REVIVE == 1 {
            self.revive();
        }
    }

    fn ping(&mut self, target: MemberUpdate, second: bool, now: Millis) {
        let no = self.number();
        self.probe = Some(Probe {
            name: target.name.clone(),
            no,
            sent: now,
            asked: false,
            second,
        });
        self.send(target.address, Body::Ping { no }, Some(target));
    }

    fn ping_next(&mut self, now: Millis) {
        while let Some(name) = self.next_target() {
            if let Some(known) = self.view.get(&name).filter(|r| r.state.live()).cloned() {
                return self.ping(known, false, now);
            }
        }
    }

    fn next_target(&mut self) -> Option<String> {
        if self.order.is_empty() {
            // Once in a turn through the view: each is pinged once in it, in an order that no other shares.
            self.order = self
                .view
                .values()
                .filter(|r| r.state.live())
                .map(|r| r.name.clone())
                .collect();
            self.order.shuffle(&mut self.rng);
        }
        self.order.pop()
    }

    /// Tries one that was lost, and a seed that is not among the live: a split network meets again by this.
    fn revive(&mut self) {
        for _ in 0..self.lost.len().min(4) {
            let Some(name) = self.lost.pop_front() else {
                break;
            };
            let Some(known) = self
                .view
                .get(&name)
                .filter(|r| r.state == State::Dead)
                .cloned()
            else {
                continue;
            };
            self.lost.push_back(name);
            let no = self.number();
            self.send(known.address, Body::Ping { no }, Some(known));
            break;
        }
        if !self.seeds.is_empty() {
            let seed = self.seeds[self.rng.random_range(0..self.seeds.len())];
            let known = self
                .view
                .values()
                .any(|r| r.address == seed && r.state.live());
            if !known {
                self.send(seed, Body::Sync, None);
            }
        }
    }

    fn number(&mut self) -> u64 {
        self.next_no += 1;
        self.next_no
    }

    /// Up to so many live others, drawn.
    fn some(&mut self, count: usize, but: Option<&str>) -> Vec<String> {
        let live = self
            .view
            .values()
            .filter(|r| r.state == State::Alive && Some(r.name.as_str()) != but);
        let mut names: Vec<String> = live.map(|r| r.name.clone()).collect();
        let (drawn, _) = names.partial_shuffle(&mut self.rng, count);
        drawn.to_vec()
    }

    /// Sends with what is new; `about` its receiver goes first, so that it can refute that.
    fn send(&mut self, to: SocketAddr, body: Body, about: Option<MemberUpdate>) {
        let mut rumours: Vec<MemberUpdate> = about
            .into_iter()
            .filter(|r| r.state != State::Alive)
            .collect();
        // Passed on three times the logarithm of the members: enough to reach all, with loss.
        let often = 3 * (usize::BITS - (self.live + 1).leading_zeros());
        let mut again = Vec::new();
        while rumours.len() < MAX_UPDATES {
            let Some((times, name)) = self.fresh.pop_first() else {
                break;
            };
            self.told.remove(&name);
            let Some(rumour) = self.view.get(&name) else {
                continue;
            };
            if rumours.first().is_none_or(|r| r.name != name) {
                rumours.push(rumour.clone());
            }
            if times + 1 < often {
                again.push((times + 1, name));
            }
        }
        for (times, name) in again {
            self.told.insert(name.clone(), times);
            self.fresh.insert((times, name));
        }
        self.out.push((
            to,
            Datagram {
                from: self.me.clone(),
                digest: self.digest,
                body,
                rumours,
            },
        ));
    }

    /// Takes a datagram that was found to be keyed.
    pub fn hear(&mut self, datagram: Datagram, now: Millis) {
        let Datagram {
            from,
            digest,
            body,
            rumours,
        } = datagram;
        if from.name == self.me.name {
            return self.own_name(&from);
        }
        let (name, address) = (from.name.clone(), from.address);
        self.merge(from, now);
        rumours
            .into_iter()
            .take(MAX_UPDATES)
            .for_each(|r| self.merge(r, now));
        let known = self.view.get(&name).cloned();
        match body {
            Body::Ping { no } => self.send(address, Body::Ack { no }, known),
            Body::Ack { no } => self.acked(no),
            Body::Ask {
                no,
                address: target,
            } => {
                let ours = self.number();
                if self.relayed.len() >= RELAYS {
                    self.relayed.pop_front();
                }
                self.relayed.push_back(Relayed {
                    no: ours,
                    to: address,
                    theirs: no,
                });
                self.send(target, Body::Ping { no: ours }, None);
            }
            Body::Sync => return self.tell_all(address),
            Body::View => return,
        }
        self.unlike = if digest == self.digest {
            0
        } else {
            self.unlike + 1
        };
        if self.unlike >= UNLIKE && self.periods >= self.synced + SYNC_EVERY {
            (self.unlike, self.synced) = (0, self.periods);
            self.send(address, Body::Sync, None);
        }
    }

    fn acked(&mut self, no: u64) {
        if self.probe.as_ref().is_some_and(|p| p.no == no) {
            self.probe = None;
        }
        if let Some(at) = self.relayed.iter().position(|r| r.no == no)
            && let Some(relayed) = self.relayed.remove(at)
        {
            self.send(relayed.to, Body::Ack { no: relayed.theirs }, None);
        }
    }

    /// The whole view, in as many datagrams as it takes.
    fn tell_all(&mut self, to: SocketAddr) {
        let all: Vec<MemberUpdate> = self
            .view
            .values()
            .filter(|r| r.address != to || !r.state.live())
            .cloned()
            .collect();
        for part in all.chunks(MAX_UPDATES) {
            let (from, rumours) = (self.me.clone(), part.to_vec());
            self.out.push((
                to,
                Datagram {
                    from,
                    digest: self.digest,
                    body: Body::View,
                    rumours,
                },
            ));
        }
        if all.is_empty() {
            self.send(to, Body::View, None);
        }
    }

    /// Somebody speaks of us, or under our name.
    fn own_name(&mut self, rumour: &MemberUpdate) {
        let elsewhere = rumour.address != self.me.address;
        let higher = rumour.incarnation >= self.me.incarnation;
        if self.me.state != State::Alive || !higher || (rumour.state == State::Alive && !elsewhere)
        {
            return;
        }
        if elsewhere && rumour.state == State::Alive {
            // An earlier life of ours, or a second sender of this name: they must not outbid one another for ever.
            if self.taken.is_some_and(|at| self.periods < at + SYNC_EVERY) {
                return;
            }
            self.taken = Some(self.periods);
            self.changes.push(Change::NameTaken(rumour.address));
        }
        self.digest ^= hash(&self.me);
        self.me.incarnation = rumour.incarnation.saturating_add(1);
        self.digest ^= hash(&self.me);
        // To some at once: a suspicion is refuted before it becomes a death.
        for name in self.some(self.set.asked, None) {
            let to = self.view[&name].address;
            self.send(to, Body::View, None);
        }
    }

    fn merge(&mut self, rumour: MemberUpdate, now: Millis) {
        if rumour.name == self.me.name {
            return self.own_name(&rumour);
        }
        if rumour.name.is_empty() || rumour.name.len() > NAME {
            return;
        }
        let old = self.view.get(&rumour.name).cloned();
        if old.as_ref().is_some_and(|o| o.rank() >= rumour.rank()) {
            return;
        }
        if old.is_none() && !self.room(&rumour) {
            self.turned_away += 1;
            return;
        }
        let name = rumour.name.clone();
        let (was, is) = (
            old.as_ref().is_some_and(|o| o.state.live()),
            rumour.state.live(),
        );
        if let Some(old) = old.as_ref().filter(|_| was) {
            self.digest ^= hash(old);
        }
        if is {
            self.digest ^= hash(&rumour);
        }
        self.live = self.live + usize::from(is) - usize::from(was);
        match (old.map(|o| o.state), rumour.state) {
            (None, State::Dead | State::Left) => {}
            (was, State::Alive) if was.is_none_or(|s| !s.live()) => {
                // Into this turn's order too, at a place that is drawn: it is pinged soon.
                let at = self.rng.random_range(0..=self.order.len());
                self.order.insert(at, name.clone());
                self.changes.push(Change::Joined(rumour.clone()));
            }
            (Some(State::Suspect), State::Alive) => {
                self.changes.push(Change::Refuted(name.clone()))
            }
            (Some(State::Suspect), State::Suspect) | (_, State::Alive) => {}
            (was, State::Suspect) => {
                if was.is_none_or(|s| !s.live()) {
                    self.order.push(name.clone());
                    self.changes.push(Change::Joined(rumour.clone()));
                }
                self.changes.push(Change::Suspected(name.clone()));
            }
            (Some(State::Dead | State::Left), _) => {}
            (_, State::Dead) => self.changes.push(Change::Died(name.clone())),
            (_, State::Left) => self.changes.push(Change::Left(name.clone())),
        }
        let after = match rumour.state {
            State::Alive => None,
            State::Suspect => {
                Some(self.set.suspect * ((self.live + 2) as f64).log10().max(1.0) * self.set.period)
            }
            State::Dead | State::Left => Some(self.set.forget),
        };
        if let Some(after) = after {
            self.dues.insert((
                (now + after).ceil() as u64,
                name.clone(),
                rumour.incarnation,
                rumour.state,
            ));
        }
        if rumour.state == State::Dead && !self.lost.contains(&name) {
            self.lost.push_back(name.clone());
        }
        self.view.insert(name.clone(), rumour);
        if let Some(times) = self.told.insert(name.clone(), 0) {
            self.fresh.remove(&(times, name.clone()));
        }
        self.fresh.insert((0, name));
    }

    /// Makes room in a full view: the dead give way, the living do not.
    fn room(&mut self, newcomer: &MemberUpdate) -> bool {
        if self.view.len() < self.set.most {
            return true;
        }
        if !newcomer.state.live() {
            return false;
        }
        let gone = self.dues.iter().find(|(_, name, incarnation, state)| {
            !state.live()
                && self
                    .view
                    .get(name)
                    .is_some_and(|r| (r.incarnation, r.state) == (*incarnation, *state))
        });
        let Some(name) = gone.map(|g| g.1.clone()) else {
            return false;
        };
        self.remove(&name);
        true
    }

    fn remove(&mut self, name: &str) {
        self.view.remove(name);
        self.lost.retain(|n| n != name);
        if let Some(times) = self.told.remove(name) {
            self.fresh.remove(&(times, name.to_string()));
        }
        self.changes.push(Change::Forgotten(name.to_string()));
    }
}
