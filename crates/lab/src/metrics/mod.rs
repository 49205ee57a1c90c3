//! The figures of a run, counted from the same events that the judge reads: submitted and delivered worth, latencies,
//! rejections, attempts and connections, in total and per second.

mod figures;
mod newcomers;

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use hdrhistogram::Histogram;
use martenlatch_clock::Millis;

use crate::event_log::{EventKind, LoggedEvent};
use crate::experiment::Class;
use crate::model::partner::Reply;
pub use figures::{Figures, SecondFigures};
use newcomers::{Newcomers, Route};

/// Statuses by which a sender accepts a message.
const ACCEPTED_STATUSES: [u16; 2] = [200, 202];

/// The latency histogram counts tenths of a millisecond.
const LATENCY_UNITS_PER_MS: f64 = 10.0;
/// The longest latency that the histogram can count: one hour, in tenths of a millisecond.
const MAX_LATENCY_UNITS: u64 = 36_000_000;
/// The significant digits of the histogram.
const LATENCY_DIGITS: u8 = 3;

/// The length of the worst window, in seconds.
const WINDOW_SECONDS: usize = 10;

/// The weights of the parts of the score.
mod score_weight {
    pub const SHARE: f64 = 0.5;
    pub const WORST_WINDOW: f64 = 0.3;
    pub const WORST_CLASS: f64 = 0.2;
    pub const REJECTIONS: f64 = 0.05;
    pub const WASTED_CALLS: f64 = 0.05;
    pub const CONNECTIONS: f64 = 0.06;
}

/// A client's message.
struct Message {
    class: u32,
    first_submitted: Millis,
    delivered: bool,
}

/// A call in flight.
struct Call {
    origin: u64,
    executed: bool,
}

/// The submitted worth and its delivered part.
#[derive(Clone, Copy, Default)]
struct Worth {
    submitted: f64,
    delivered: f64,
}

impl Worth {
    /// The total worth of several seconds.
    fn of_seconds(seconds: &[SecondFigures]) -> Worth {
        let mut sum = Worth::default();
        for second in seconds {
            sum.submitted += second.submitted_worth;
            sum.delivered += second.delivered_worth;
        }
        sum
    }

    /// The share that was delivered, or 1 if nothing was submitted.
    fn share(&self) -> f64 {
        if self.submitted > 0.0 {
            self.delivered / self.submitted
        } else {
            1.0
        }
    }
}

/// Counts the events of a run.
pub struct Metrics {
    classes: Vec<Class>,
    start: Millis,
    /// Clients' messages by their origins.
    messages: HashMap<u64, Message>,
    /// The client's message of each submission.
    origins: HashMap<u64, u64>,
    calls: HashMap<u64, Call>,
    newcomers: Newcomers,
    latency: Histogram<u64>,
    /// The worth of the messages of each class.
    by_class: Vec<Worth>,
    connections: u64,
    wasted_calls: u64,
    figures: Figures,
}

impl Metrics {
    /// Counts a run of `length` milliseconds; its first message may arrive at `start`.
    pub fn new(classes: &[Class], start: Millis, length: Millis) -> Metrics {
        let seconds = (length / 1e3).ceil() as usize;
        Metrics {
            classes: classes.to_vec(),
            start,
            messages: HashMap::new(),
            origins: HashMap::new(),
            calls: HashMap::new(),
            newcomers: Newcomers::default(),
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_UNITS, LATENCY_DIGITS)
                .expect("the bounds of the histogram are constants that it allows"),
            by_class: vec![Worth::default(); classes.len()],
            connections: 0,
            wasted_calls: 0,
            figures: Figures {
                seconds: vec![SecondFigures::default(); seconds],
                ..Figures::default()
            },
        }
    }

    /// The figures of the second that contains `at`. Times after the end of the run count for the last second.
    fn second(&mut self, at: Millis) -> &mut SecondFigures {
        let last = self.figures.seconds.len() - 1;
        let second = ((at - self.start) / 1e3).max(0.0) as usize;
        &mut self.figures.seconds[second.min(last)]
    }

    /// Counts the next event.
    pub fn observe(&mut self, event: &LoggedEvent) {
        let at = event.at;
        match event.kind {
            EventKind::Submitted {
                origin,
                id,
                class,
                first,
                ..
            } => self.message_submitted(id, origin, class, first),
            EventKind::ClientAnswered { status, .. } => self.client_answered(status, at),
            EventKind::SenderJoined { sender } => self.newcomers.joined(sender, at),
            EventKind::SenderEnded { sender } => self.newcomers.sender_ended(sender),
            EventKind::Collapsed { .. } => self.figures.collapses += 1,
            EventKind::CallStarted {
                call,
                id,
                new_connection,
                sender,
                partner,
                ..
            } => {
                let route = Route { partner, sender };
                self.newcomers
                    .call_started(call, route, at, &mut self.figures);
                self.call_started(call, id, new_connection, at);
            }
            EventKind::CallExecuted { call } => {
                if let Some(call) = self.calls.get_mut(&call) {
                    call.executed = true;
                }
            }
            EventKind::CallAnswered { call, reply } => self.call_answered(call, reply, at),
            EventKind::CallFailed { call, .. } => self.call_failed(call),
            EventKind::StatusReport { deferred: true, .. } => self.figures.deferred += 1,
            EventKind::StatusReport { .. } => self.figures.undeliverable += 1,
            _ => {}
        }
    }

    fn message_submitted(&mut self, id: u64, origin: u64, class: u32, first_submitted: Millis) {
        self.origins.insert(id, origin);
        if let Entry::Vacant(entry) = self.messages.entry(origin) {
            entry.insert(Message {
                class,
                first_submitted,
                delivered: false,
            });
            self.figures.messages += 1;
            self.second(first_submitted).submitted_worth += 1.0;
            self.by_class[class as usize].submitted += 1.0;
        }
    }

    fn client_answered(&mut self, status: u16, at: Millis) {
        if !ACCEPTED_STATUSES.contains(&status) {
            self.figures.rejected_requests += 1;
            self.second(at).rejected_requests += 1;
        }
    }

    fn call_started(&mut self, call: u64, id: u64, new_connection: bool, at: Millis) {
        self.connections += u64::from(new_connection);
        self.second(at).calls += 1;
        self.figures.calls += 1.0;
        if let Some(origin) = self.origins.get(&id).copied() {
            self.calls.insert(
                call,
                Call {
                    origin,
                    executed: false,
                },
            );
        }
    }

    fn call_answered(&mut self, number: u64, reply: Reply, at: Millis) {
        if let Reply::Rejected(retry_after) = reply {
            self.newcomers
                .rejected(number, retry_after, at, &mut self.figures);
        }
        self.newcomers.call_ended(number);
        let Some(call) = self.calls.remove(&number) else {
            return;
        };
        match reply {
            Reply::Served => self.message_delivered(call.origin, at),
            Reply::Rejected(_) => {
                self.figures.rejections += 1.0;
                self.second(at).rejected_calls += 1;
            }
            Reply::Failed | Reply::Malformed => self.wasted_calls += 1,
        }
    }

    fn call_failed(&mut self, number: u64) {
        self.newcomers.call_ended(number);
        if let Some(call) = self.calls.remove(&number) {
            self.wasted_calls += u64::from(call.executed);
        }
    }

    fn message_delivered(&mut self, origin: u64, at: Millis) {
        let Some(message) = self.messages.get_mut(&origin) else {
            return;
        };
        if message.delivered {
            self.wasted_calls += 1;
            return;
        }
        message.delivered = true;
        let class = message.class as usize;
        let first_submitted = message.first_submitted;
        let latency = at - first_submitted;
        let worth = self.classes[class].worth(latency);
        self.by_class[class].delivered += worth;
        self.second(first_submitted).delivered_worth += worth;
        self.figures.delivered += 1;
        let units = (latency * LATENCY_UNITS_PER_MS) as u64;
        self.latency.saturating_record(units.max(1));
    }

    /// Records the number of messages held at a time, over all senders.
    pub fn record_held(&mut self, at: Millis, held: u64) {
        let second = self.second(at);
        second.max_held = second.max_held.max(held);
        self.figures.max_held = self.figures.max_held.max(held);
    }

    /// Computes the figures of the whole run.
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

    /// Computes the costs per message; until then, `calls` and `rejections` are total numbers.
    fn add_costs(&mut self) {
        let figures = &mut self.figures;
        let messages = figures.messages.max(1) as f64;
        figures.calls /= messages;
        figures.rejections /= messages;
        figures.connections = self.connections as f64 / messages;
        figures.wasted_calls = self.wasted_calls as f64 / messages;
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
        - score_weight::REJECTIONS * figures.rejections.min(1.0)
        - score_weight::WASTED_CALLS * figures.wasted_calls.min(1.0)
        - score_weight::CONNECTIONS * figures.connections.min(1.0)
}
