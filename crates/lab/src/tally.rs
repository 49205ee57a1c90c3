//! Owns the figures of a run, made of the same facts that the judge reads: worth asked for and delivered, latencies,
//! refusals, attempts, connections, over the whole and by the second. It must never change what it counts.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};

use hdrhistogram::Histogram;
use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};

use crate::event_log::{Fact, What};
use crate::experiment::Class;
use crate::model::partner::Reply;

/// Figures of one second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Second {
    /// Worth asked for by messages first handed in then, and what was delivered of that.
    pub asked: f64,
    pub got: f64,
    pub calls: u64,
    pub refused: u64,
    /// Client requests turned away.
    pub turned_away: u64,
    /// Most messages held, over all senders.
    pub held: u64,
}

/// Figures of a run. Times in milliseconds; latency counts from the instant at which the message was due to come.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Figures {
    pub messages: u64,
    pub delivered: u64,
    /// Worth delivered over worth asked for.
    pub share: f64,
    /// The same over the worst ten seconds, and for the worst-served class.
    pub worst_window: f64,
    pub worst_class: f64,
    /// Half the whole, three tenths the worst window, a fifth the worst class, less what refusals, wasted work and new
    /// connections cost.
    pub score: f64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    /// For each message.
    pub calls: f64,
    pub refusals: f64,
    pub connections: f64,
    /// Calls that ran and were not the delivery, for each message.
    pub wasted: f64,
    pub deferred: u64,
    pub undeliverable: u64,
    pub turned_away: u64,
    pub held_most: u64,
    /// Cold partners that fell over.
    pub toppled: u64,
    /// Of senders that joined: calls refused in their first ten seconds, and calls made there at all.
    pub newcomer_refused: u64,
    pub newcomer_calls: u64,
    /// Calls of theirs, at any time, into a wait that another had been told before, and still knew when they started.
    pub into_waits: u64,
    pub seconds: Vec<Second>,
}

struct Message {
    class: u32,
    first: Millis,
    delivered: bool,
}

/// A sender that joined: since when, and the waits that were in force then.
struct Newcomer {
    since: Millis,
    waits: HashMap<u32, Millis>,
}

/// What counts as a newcomer's first seconds.
const EARLY: Millis = 10_000.0;
/// A told wait has come to its sender by then.
const ON_ITS_WAY: Millis = 100.0;

/// Counts facts.
pub struct Tally {
    classes: Vec<Class>,
    start: Millis,
    messages: HashMap<u64, Message>,
    origin: HashMap<u64, u64>,
    calls: HashMap<u64, (u64, bool)>,
    /// Until when each partner has told a sender that still runs to wait, and when it told that.
    waits: HashMap<(u32, u32), (Millis, Millis)>,
    newcomers: HashMap<u32, Newcomer>,
    /// Calls of newcomers within their first seconds.
    early: HashSet<u64>,
    /// Partner and sender of each call.
    callers: HashMap<u64, (u32, u32)>,
    latency: Histogram<u64>,
    by_class: Vec<(f64, f64)>,
    connections: u64,
    wasted: u64,
    figures: Figures,
}

impl Tally {
    /// Counts from an instant, in which the first message may come.
    pub fn new(classes: &[Class], start: Millis, length: Millis) -> Tally {
        Tally {
            classes: classes.to_vec(),
            start,
            messages: HashMap::new(),
            origin: HashMap::new(),
            calls: HashMap::new(),
            waits: HashMap::new(),
            newcomers: HashMap::new(),
            early: HashSet::new(),
            callers: HashMap::new(),
            // Tenths of a millisecond up to an hour, to three digits.
            latency: Histogram::new_with_bounds(1, 36_000_000, 3).expect("bounds of a histogram"),
            by_class: vec![(0.0, 0.0); classes.len()],
            connections: 0,
            wasted: 0,
            figures: Figures {
                seconds: vec![Second::default(); (length / 1e3).ceil() as usize],
                ..Figures::default()
            },
        }
    }

    fn second(&mut self, at: Millis) -> &mut Second {
        let most = self.figures.seconds.len() - 1;
        &mut self.figures.seconds[(((at - self.start) / 1e3).max(0.0) as usize).min(most)]
    }

    /// Takes the next fact.
    pub fn hear(&mut self, fact: &Fact) {
        match fact.what {
            What::HandedIn {
                origin,
                id,
                class,
                first,
                ..
            } => {
                self.origin.insert(id, origin);
                if let Entry::Vacant(fresh) = self.messages.entry(origin) {
                    fresh.insert(Message {
                        class,
                        first,
                        delivered: false,
                    });
                    self.figures.messages += 1;
                    self.second(first).asked += 1.0;
                    self.by_class[class as usize].0 += 1.0;
                }
            }
            What::Answered { status, .. } if !matches!(status, 200 | 202) => {
                self.figures.turned_away += 1;
                self.second(fact.at).turned_away += 1;
            }
            What::Joins { sender } => {
                // One that is on its way to its sender is not known yet.
                let known = self
                    .waits
                    .iter()
                    .filter(|(_, (_, told))| *told + ON_ITS_WAY < fact.at);
                let mut waits = HashMap::<u32, Millis>::new();
                for ((partner, _), (until, _)) in known {
                    let longest = waits.entry(*partner).or_default();
                    *longest = longest.max(*until);
                }
                self.newcomers.insert(
                    sender,
                    Newcomer {
                        since: fact.at,
                        waits,
                    },
                );
            }
            What::Gone { sender } => self.waits.retain(|(_, told), _| *told != sender),
            What::Toppled { .. } => self.figures.toppled += 1,
            What::Call {
                call,
                id,
                fresh,
                sender,
                partner,
                ..
            } => {
                self.callers.insert(call, (partner, sender));
                if let Some(newcomer) = self.newcomers.get(&sender) {
                    let told = newcomer
                        .waits
                        .get(&partner)
                        .is_some_and(|until| fact.at < *until);
                    self.figures.into_waits += u64::from(told);
                    if fact.at < newcomer.since + EARLY {
                        self.figures.newcomer_calls += 1;
                        self.early.insert(call);
                    }
                }
                self.connections += u64::from(fresh);
                self.second(fact.at).calls += 1;
                self.figures.calls += 1.0;
                if let Some(origin) = self.origin.get(&id) {
                    self.calls.insert(call, (*origin, false));
                }
            }
            What::Ran { call } => self
                .calls
                .get_mut(&call)
                .into_iter()
                .for_each(|c| c.1 = true),
            What::Replied { call, reply } => {
                let (early, caller) = (self.early.remove(&call), self.callers.remove(&call));
                if let (Reply::Refused(wait), Some(caller)) = (reply, caller) {
                    self.figures.newcomer_refused += u64::from(early);
                    let until = fact.at + wait.unwrap_or(0.0);
                    let known = self.waits.entry(caller).or_default();
                    if until > known.0 {
                        *known = (until, fact.at);
                    }
                }
                let Some((origin, _)) = self.calls.remove(&call) else {
                    return;
                };
                match reply {
                    Reply::Served => self.served(origin, fact.at),
                    Reply::Refused(_) => {
                        self.figures.refusals += 1.0;
                        self.second(fact.at).refused += 1;
                    }
                    _ => self.wasted += 1,
                }
            }
            What::Ended { call, .. } => {
                self.early.remove(&call);
                self.callers.remove(&call);
                if let Some((_, ran)) = self.calls.remove(&call) {
                    self.wasted += u64::from(ran);
                }
            }
            What::Notice { deferred, .. } => {
                *if deferred {
                    &mut self.figures.deferred
                } else {
                    &mut self.figures.undeliverable
                } += 1;
            }
            _ => {}
        }
    }

    fn served(&mut self, origin: u64, at: Millis) {
        let Some(message) = self.messages.get_mut(&origin) else {
            return;
        };
        if std::mem::replace(&mut message.delivered, true) {
            self.wasted += 1;
            return;
        }
        let (class, first) = (message.class as usize, message.first);
        let worth = self.classes[class].worth(at - first);
        self.by_class[class].1 += worth;
        self.second(first).got += worth;
        self.figures.delivered += 1;
        self.latency
            .saturating_record((((at - first) * 10.0) as u64).max(1));
    }

    /// Notes how many messages are held now.
    pub fn held(&mut self, at: Millis, held: u64) {
        let second = self.second(at);
        second.held = second.held.max(held);
        self.figures.held_most = self.figures.held_most.max(held);
    }

    /// The figures of the whole run.
    pub fn end(mut self) -> Figures {
        let f = &mut self.figures;
        let share = |asked: f64, got: f64| if asked > 0.0 { got / asked } else { 1.0 };
        let (asked, got) = f
            .seconds
            .iter()
            .fold((0.0, 0.0), |(a, g), s| (a + s.asked, g + s.got));
        f.share = share(asked, got);
        let window = |w: &[Second]| {
            let (asked, got) = w
                .iter()
                .fold((0.0, 0.0), |(a, g), s| (a + s.asked, g + s.got));
            share(asked, got)
        };
        f.worst_window = f
            .seconds
            .windows(10.min(f.seconds.len()))
            .map(window)
            .fold(1.0, f64::min);
        f.worst_class = self
            .by_class
            .iter()
            .map(|(a, g)| share(*a, *g))
            .fold(1.0, f64::min);
        let each = f.messages.max(1) as f64;
        (f.calls, f.refusals) = (f.calls / each, f.refusals / each);
        (f.connections, f.wasted) = (self.connections as f64 / each, self.wasted as f64 / each);
        f.score = 0.5 * f.share + 0.3 * f.worst_window + 0.2 * f.worst_class
            - 0.05 * f.refusals.min(1.0)
            - 0.05 * f.wasted.min(1.0)
            - 0.06 * f.connections.min(1.0);
        let at = |q: f64| self.latency.value_at_quantile(q) as f64 / 10.0;
        (f.p50, f.p90, f.p99) = (at(0.5), at(0.9), at(0.99));
        self.figures
    }
}
