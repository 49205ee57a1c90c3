//! Owns one partner as it runs: its limit, its endpoints' queues, its cold return and its fall. It must never know
//! what carries its calls: it is told of a call once its last byte has come, and tells what it writes and when.

use std::collections::{BTreeMap, VecDeque};

use martenlatch_clock::Millis;

use crate::draw::{Stream, draw, happens, spread, within};
use crate::experiment::{Kind, Limit};
use crate::model::site::Drawn;
use crate::model::weather::Weather;

/// Sent over so many times its capacity of the moment for so long, a cold partner falls over.
pub const FALL: (f64, Millis) = (2.0, 3_000.0);

/// What a partner writes to a call.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Reply {
    /// It has run.
    Served,
    /// An error; it has run.
    Failed,
    /// It has run, and the answer cannot be read.
    Spoilt,
    /// It has not run. With the wait that is told, in milliseconds.
    Refused(Option<Millis>),
}

/// A call as a partner sees it.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Its number; never used twice.
    pub no: u64,
    /// Whose message it carries; draws of its luck are named by it.
    pub origin: u64,
    /// How many calls of that message came before.
    pub attempt: u32,
    /// Its class's mean work and spread.
    pub work: (f64, f64),
}

#[derive(Debug, Default)]
struct Endpoint {
    /// What runs: when it is done, and the call.
    running: BTreeMap<(u64, u64), Call>,
    queue: VecDeque<Call>,
    draining: bool,
}

/// What became of a call that has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Taken {
    /// It is answered at once.
    Reply(Reply),
    /// It runs now.
    Runs,
    /// It will.
    Queued,
}

/// A partner as it runs.
#[derive(Debug)]
pub struct Partner {
    drawn: Drawn,
    kind: Kind,
    seed: u64,
    capacity: f64,
    endpoints: BTreeMap<u32, Endpoint>,
    /// The span of a window limit, and how many it has taken in it.
    window: (u64, f64),
    /// Calls of the last span where refused ones count too: who goes on asking keeps it shut.
    counted: VecDeque<Millis>,
    /// Tokens of a rate limit, and when they were last filled.
    tokens: (f64, Millis),
    /// Since when it is out, or back.
    out: bool,
    back: Option<Millis>,
    /// Calls that came in the last span of the rule on falling.
    sent: VecDeque<Millis>,
    toppled: bool,
}

/// Instants as keys of an ordered map: positive numbers keep their order as bits.
fn key(at: Millis) -> u64 {
    at.to_bits()
}

impl Partner {
    /// A partner that has long been there, with its first endpoints.
    pub fn new(
        drawn: &Drawn,
        kind: &Kind,
        work: f64,
        seed: u64,
        endpoints: impl IntoIterator<Item = u32>,
    ) -> Partner {
        Partner {
            capacity: drawn.capacity(work),
            drawn: drawn.clone(),
            kind: kind.clone(),
            seed,
            endpoints: endpoints
                .into_iter()
                .map(|e| (e, Endpoint::default()))
                .collect(),
            window: (0, 0.0),
            counted: VecDeque::new(),
            tokens: (f64::INFINITY, 0.0),
            out: false,
            back: None,
            sent: VecDeque::new(),
            toppled: false,
        }
    }

    /// The weather may have changed: an outage begins, or ends, which leaves the partner cold.
    pub fn turn_out(&mut self, out: bool, now: Millis) {
        if self.out && !out {
            self.back = Some(now);
            self.sent.clear();
        }
        if out && !self.out {
            // What ran or waited there is lost, and its answers never come.
            self.endpoints.values_mut().for_each(|e| {
                e.running.clear();
                e.queue.clear();
            });
            self.back = None;
        }
        self.out = out;
    }

    /// Whether it has fallen over, and stays down.
    pub fn toppled(&self) -> bool {
        self.toppled
    }

    /// An endpoint is added, or drains and then goes once it is empty.
    pub fn endpoint(&mut self, endpoint: u32, on: bool) {
        if on {
            self.endpoints.entry(endpoint).or_default();
        } else if let Some(e) = self.endpoints.get_mut(&endpoint) {
            e.draining = true;
        }
    }

    /// The share of its capacity that it has.
    pub fn warmth(&self, now: Millis) -> f64 {
        let Some(back) = self.back.filter(|_| self.kind.cold > 0.0) else {
            return 1.0;
        };
        let warm = ((now - back) / self.kind.cold).clamp(0.0, 1.0);
        self.kind.cold_from + (1.0 - self.kind.cold_from) * warm
    }

    fn refusal(&self, call: &Call, told: Millis) -> Reply {
        let mut rng = draw(self.seed, Stream::Call, call.no, 1);
        Reply::Refused(happens(&mut rng, self.kind.tells_wait).then_some(told))
    }

    /// Takes one off the limit: nothing where there was room, else how long until there is some again.
    fn over_limit(&mut self, call: &Call, weather: &Weather, now: Millis) -> Option<Millis> {
        let rate = self.drawn.limit? * weather.limit;
        match self.kind.limit {
            Limit::None => None,
            Limit::Window if self.kind.refused_count => {
                while self
                    .counted
                    .front()
                    .is_some_and(|at| *at <= now - self.kind.window)
                {
                    self.counted.pop_front();
                }
                let most = (rate * self.kind.window / 1e3).max(1.0) as usize;
                self.counted.push_back(now);
                // There is room again once as many have left the span as are over the limit.
                let over = self.counted.len().checked_sub(most + 1)?;
                Some(self.counted[over] + self.kind.window - now)
            }
            Limit::Window => {
                let span = (now / self.kind.window) as u64;
                if self.window.0 != span {
                    self.window = (span, 0.0);
                }
                let full = self.window.1 + 1.0 > (rate * self.kind.window / 1e3).max(1.0);
                if !full {
                    self.window.1 += 1.0;
                }
                full.then(|| (span + 1) as f64 * self.kind.window - now)
            }
            Limit::Rate => {
                // Half a second's worth may come at once.
                let depth = (rate * 0.5).max(1.0);
                let filled = self.tokens.0 + (now - self.tokens.1) / 1e3 * rate;
                self.tokens = (filled.min(depth), now);
                if self.tokens.0 >= 1.0 {
                    self.tokens.0 -= 1.0;
                    return None;
                }
                Some(within(
                    &mut draw(self.seed, Stream::Call, call.no, 2),
                    self.kind.wait,
                ))
            }
        }
    }

    /// A call's last byte has come to an endpoint.
    pub fn call(&mut self, endpoint: u32, call: Call, weather: &Weather, now: Millis) -> Taken {
        let refused = |told| Taken::Reply(Reply::Refused(told));
        if self.toppled {
            return refused(None);
        }
        if let Some(back) = self.back.filter(|b| now < b + self.kind.cold) {
            self.sent.push_back(now);
            while self.sent.front().is_some_and(|at| *at < now - FALL.1) {
                self.sent.pop_front();
            }
            let can = self.capacity * weather.limit * self.warmth(now) * FALL.1 / 1e3;
            if now >= back + FALL.1 && self.sent.len() as f64 > (FALL.0 * can).max(FALL.0) {
                self.toppled = true;
                self.endpoints.values_mut().for_each(|e| {
                    e.running.clear();
                    e.queue.clear();
                });
                return refused(None);
            }
        }
        if let Some(until) = weather.shut {
            return Taken::Reply(self.refusal(&call, until - now));
        }
        if self.endpoints.get(&endpoint).is_none_or(|e| e.draining) {
            return refused(None);
        }
        if let Some(wait) = self.over_limit(&call, weather, now) {
            return Taken::Reply(self.refusal(&call, wait));
        }
        let (cores, room) = (self.drawn.cores as usize, self.drawn.queue as usize);
        if weather.hung {
            return Taken::Queued;
        }
        let Some(e) = self.endpoints.get_mut(&endpoint) else {
            return refused(None);
        };
        if e.running.len() < cores {
            self.start(endpoint, call, weather, now);
            return Taken::Runs;
        }
        if e.queue.len() >= room {
            return refused(None);
        }
        e.queue.push_back(call);
        Taken::Queued
    }

    fn start(&mut self, endpoint: u32, call: Call, weather: &Weather, now: Millis) {
        let mut noise = draw(
            self.seed,
            Stream::Call,
            call.origin,
            100 + u64::from(call.attempt),
        );
        // A message has its work; each call of it takes that with a noise of its own.
        let own = spread(
            &mut draw(self.seed, Stream::Work, call.origin, 0),
            call.work.1,
        );
        let mut took =
            call.work.0 * own * spread(&mut noise, 0.3) * self.drawn.speed * weather.slow;
        if happens(&mut noise, weather.tail.0) {
            took *= weather.tail.1;
        }
        took /= self.warmth(now);
        let from = weather.still.unwrap_or(now).max(now);
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            e.running.insert((key(from + took.max(0.1)), call.no), call);
        }
    }

    /// When the next call is done.
    pub fn due(&self) -> Option<Millis> {
        let first = |e: &Endpoint| e.running.first_key_value().map(|((at, _), _)| *at);
        self.endpoints
            .values()
            .filter_map(first)
            .min()
            .map(f64::from_bits)
    }

    /// Finishes what is done by an instant, and starts what waited. Returns the answers, and the calls that run now.
    pub fn advance(&mut self, weather: &Weather, now: Millis) -> (Vec<(u64, Reply)>, Vec<u64>) {
        let (mut answers, mut begun) = (Vec::new(), Vec::new());
        let names: Vec<u32> = self.endpoints.keys().copied().collect();
        for name in names {
            while let Some(e) = self.endpoints.get_mut(&name) {
                let Some((&(at, no), _)) = e
                    .running
                    .first_key_value()
                    .filter(|((at, _), _)| *at <= key(now))
                else {
                    break;
                };
                let Some(call) = e.running.remove(&(at, no)) else {
                    break;
                };
                if let Some(until) = weather.still.filter(|until| *until > now) {
                    e.running.insert((key(until), no), call);
                    continue;
                }
                let mut rng = draw(self.seed, Stream::Call, no, 3);
                let reply = if happens(&mut rng, weather.spoilt) {
                    Reply::Spoilt
                } else if happens(&mut rng, self.kind.errors) {
                    Reply::Failed
                } else {
                    Reply::Served
                };
                answers.push((no, reply));
                if let Some(next) = e.queue.pop_front() {
                    begun.push(next.no);
                    self.start(name, next, weather, now);
                }
            }
        }
        self.endpoints
            .retain(|_, e| !e.draining || !e.running.is_empty() || !e.queue.is_empty());
        (answers, begun)
    }
}
