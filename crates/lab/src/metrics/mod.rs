//! The figures of a run, counted from the same facts that the judge reads: worth asked for and delivered, latencies,
//! rejections, attempts and connections, in all and by the second.

mod figures;
mod newcomers;

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use hdrhistogram::Histogram;
use martenlatch_clock::Millis;

use crate::event_log::{EventKind, LoggedEvent};
use crate::experiment::Class;
use crate::model::partner::Reply;
pub use figures::{Figures, Second};
use newcomers::{Newcomers, Route};

/// Answers by which a sender accepts a message.
const ACCEPTED_STATUSES: [u16; 2] = [200, 202];

/// Latencies are kept in tenths of a millisecond up to an hour, to three digits.
const LATENCY_UNITS_PER_MS: f64 = 10.0;
const LONGEST_LATENCY: u64 = 36_000_000;
const LATENCY_DIGITS: u8 = 3;

/// The worst window is so many seconds long.
const WINDOW_SECONDS: usize = 10;

/// How the score weighs the parts of a run.
mod score_weight {
    pub const SHARE: f64 = 0.5;
    pub const WORST_WINDOW: f64 = 0.3;
    pub const WORST_CLASS: f64 = 0.2;
    pub const REFUSALS: f64 = 0.05;
    pub const WASTED: f64 = 0.05;
    pub const CONNECTIONS: f64 = 0.06;
}

struct Message {
    class: u32,
    first: Millis,
    delivered: bool,
}

/// A call in flight.
struct Call {
    origin: u64,
    ran: bool,
}

/// The worth of messages, and of those delivered.
#[derive(Clone, Copy, Default)]
struct Worth {
    asked: f64,
    got: f64,
}

impl Worth {
    /// The worth of several seconds together.
    fn of_seconds(seconds: &[Second]) -> Worth {
        let mut sum = Worth::default();
        for second in seconds {
            sum.asked += second.asked;
            sum.got += second.got;
        }
        sum
    }

    /// The part that was delivered; all where nothing was asked for.
    fn share(&self) -> f64 {
        if self.asked > 0.0 {
            self.got / self.asked
        } else {
            1.0
        }
    }
}

/// Counts facts.
pub struct Metrics {
    classes: Vec<Class>,
    start: Millis,
    /// Clients' messages, and the one that each handed-in message is of.
    messages: HashMap<u64, Message>,
    origins: HashMap<u64, u64>,
    calls: HashMap<u64, Call>,
    newcomers: Newcomers,
    latency: Histogram<u64>,
    by_class: Vec<Worth>,
    connections: u64,
    wasted: u64,
    figures: Figures,
}

impl Metrics {
    /// Counts from an instant, in which the first message may come, for a run of a length in milliseconds.
    pub fn new(classes: &[Class], start: Millis, length: Millis) -> Metrics {
        let seconds = (length / 1e3).ceil() as usize;
        Metrics {
            classes: classes.to_vec(),
            start,
            messages: HashMap::new(),
            origins: HashMap::new(),
            calls: HashMap::new(),
            newcomers: Newcomers::default(),
            latency: Histogram::new_with_bounds(1, LONGEST_LATENCY, LATENCY_DIGITS)
                .expect("the bounds of the histogram are constants that it allows"),
            by_class: vec![Worth::default(); classes.len()],
            connections: 0,
            wasted: 0,
            figures: Figures {
                seconds: vec![Second::default(); seconds],
                ..Figures::default()
            },
        }
    }

    /// The second that an instant lies in; the last one for all that comes after the run's length.
    fn second(&mut self, at: Millis) -> &mut Second {
        let last = self.figures.seconds.len() - 1;
        let second = ((at - self.start) / 1e3).max(0.0) as usize;
        &mut self.figures.seconds[second.min(last)]
    }

    /// Takes the next fact.
    pub fn observe(&mut self, fact: &LoggedEvent) {
        let at = fact.at;
        match fact.kind {
            EventKind::Submitted {
                origin,
                id,
                class,
                first,
                ..
            } => self.handed_in(id, origin, class, first),
            EventKind::ClientAnswered { status, .. } => self.client_answered(status, at),
            EventKind::SenderJoined { sender } => self.newcomers.joined(sender, at),
            EventKind::SenderEnded { sender } => self.newcomers.sender_ended(sender),
            EventKind::Collapsed { .. } => self.figures.toppled += 1,
            EventKind::CallStarted {
                call,
                id,
                new_connection: fresh,
                sender,
                partner,
                ..
            } => {
                let route = Route { partner, sender };
                self.newcomers
                    .call_begins(call, route, at, &mut self.figures);
                self.call_begins(call, id, fresh, at);
            }
            EventKind::CallExecuted { call } => {
                if let Some(call) = self.calls.get_mut(&call) {
                    call.ran = true;
                }
            }
            EventKind::CallAnswered { call, reply } => self.call_replied(call, reply, at),
            EventKind::CallFailed { call, .. } => self.call_ended(call),
            EventKind::StatusReport { deferred: true, .. } => self.figures.deferred += 1,
            EventKind::StatusReport { .. } => self.figures.undeliverable += 1,
            _ => {}
        }
    }

    fn handed_in(&mut self, id: u64, origin: u64, class: u32, first: Millis) {
        self.origins.insert(id, origin);
        if let Entry::Vacant(fresh) = self.messages.entry(origin) {
            fresh.insert(Message {
                class,
                first,
                delivered: false,
            });
            self.figures.messages += 1;
            self.second(first).asked += 1.0;
            self.by_class[class as usize].asked += 1.0;
        }
    }

    fn client_answered(&mut self, status: u16, at: Millis) {
        if !ACCEPTED_STATUSES.contains(&status) {
            self.figures.turned_away += 1;
            self.second(at).turned_away += 1;
        }
    }

    fn call_begins(&mut self, call: u64, id: u64, fresh: bool, at: Millis) {
        self.connections += u64::from(fresh);
        self.second(at).calls += 1;
        self.figures.calls += 1.0;
        if let Some(origin) = self.origins.get(&id).copied() {
            self.calls.insert(call, Call { origin, ran: false });
        }
    }

    fn call_replied(&mut self, number: u64, reply: Reply, at: Millis) {
        if let Reply::Refused(retry_after) = reply {
            self.newcomers
                .rejected(number, retry_after, at, &mut self.figures);
        }
        self.newcomers.call_over(number);
        let Some(call) = self.calls.remove(&number) else {
            return;
        };
        match reply {
            Reply::Served => self.served(call.origin, at),
            Reply::Refused(_) => {
                self.figures.refusals += 1.0;
                self.second(at).refused += 1;
            }
            Reply::Failed | Reply::Spoilt => self.wasted += 1,
        }
    }

    fn call_ended(&mut self, number: u64) {
        self.newcomers.call_over(number);
        if let Some(call) = self.calls.remove(&number) {
            self.wasted += u64::from(call.ran);
        }
    }

    fn served(&mut self, origin: u64, at: Millis) {
        let Some(message) = self.messages.get_mut(&origin) else {
            return;
        };
        if message.delivered {
            self.wasted += 1;
            return;
        }
        message.delivered = true;
        let class = message.class as usize;
        let first = message.first;
        let latency = at - first;
        let worth = self.classes[class].worth(latency);
        self.by_class[class].got += worth;
        self.second(first).got += worth;
        self.figures.delivered += 1;
        let units = (latency * LATENCY_UNITS_PER_MS) as u64;
        self.latency.saturating_record(units.max(1));
    }

    /// Notes how many messages are held now.
    pub fn held(&mut self, at: Millis, held: u64) {
        let second = self.second(at);
        second.held = second.held.max(held);
        self.figures.held_most = self.figures.held_most.max(held);
    }

    /// The figures of the whole run.
    pub fn end(mut self) -> Figures {
        self.add_shares();
        self.add_costs();
        self.add_latencies();
        self.figures.score = score(&self.figures);
        self.figures
    }

    fn add_shares(&mut self) {
        let figures = &mut self.figures;
        let window = WINDOW_SECONDS.min(figures.seconds.len());
        figures.share = Worth::of_seconds(&figures.seconds).share();
        figures.worst_window = figures
            .seconds
            .windows(window)
            .map(|seconds| Worth::of_seconds(seconds).share())
            .fold(1.0, f64::min);
        figures.worst_class = self.by_class.iter().map(Worth::share).fold(1.0, f64::min);
    }

    /// What messages cost, each.
    fn add_costs(&mut self) {
        let figures = &mut self.figures;
        let messages = figures.messages.max(1) as f64;
        figures.calls /= messages;
        figures.refusals /= messages;
        figures.connections = self.connections as f64 / messages;
        figures.wasted = self.wasted as f64 / messages;
    }

    fn add_latencies(&mut self) {
        let quantile =
            |quantile: f64| self.latency.value_at_quantile(quantile) as f64 / LATENCY_UNITS_PER_MS;
        self.figures.p50 = quantile(0.5);
        self.figures.p90 = quantile(0.9);
        self.figures.p99 = quantile(0.99);
    }
}

fn score(figures: &Figures) -> f64 {
    score_weight::SHARE * figures.share
        + score_weight::WORST_WINDOW * figures.worst_window
        + score_weight::WORST_CLASS * figures.worst_class
        - score_weight::REFUSALS * figures.refusals.min(1.0)
        - score_weight::WASTED * figures.wasted.min(1.0)
        - score_weight::CONNECTIONS * figures.connections.min(1.0)
}
