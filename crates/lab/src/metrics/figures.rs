//! The figures of a run, as they stand in `result.json`.

use serde::{Deserialize, Serialize};

/// Figures of one second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// The worth of the messages that were first handed in then.
    pub asked: f64,
    /// How much of that was delivered, whenever that was.
    pub got: f64,
    /// Calls that were begun.
    pub calls: u64,
    /// Calls that partners rejected.
    pub refused: u64,
    /// Client requests that senders rejected.
    pub turned_away: u64,
    /// Most messages held, over all senders.
    pub held: u64,
}

/// Figures of a run. Times are in milliseconds; latency counts from the instant at which a message was planned to come.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Messages of clients.
    pub messages: u64,
    /// Those that were delivered.
    pub delivered: u64,
    /// Worth delivered over worth asked for.
    pub share: f64,
    /// The same over the worst ten seconds.
    pub worst_window: f64,
    /// The same for the worst-served class.
    pub worst_class: f64,
    /// Half the whole share, three tenths the worst window, a fifth the worst class, less what rejections, wasted calls
    /// and new connections cost.
    pub score: f64,
    /// The median latency.
    pub p50: f64,
    /// The latency that nine in ten deliveries keep below.
    pub p90: f64,
    /// The latency that ninety-nine in a hundred deliveries keep below.
    pub p99: f64,
    /// Calls for each message.
    pub calls: f64,
    /// Calls that were rejected, for each message.
    pub refusals: f64,
    /// New connections for each message.
    pub connections: f64,
    /// Calls that ran and were not the delivery, for each message.
    pub wasted: f64,
    /// Status reports that a message may be handed in again.
    pub deferred: u64,
    /// Status reports that a message may have run and is given up.
    pub undeliverable: u64,
    /// Client requests that senders rejected.
    pub turned_away: u64,
    /// Most messages held at a time, over all senders.
    pub held_most: u64,
    /// Partners that collapsed while they warmed up.
    pub toppled: u64,
    /// Calls of senders that joined which were rejected, in their first ten seconds.
    pub newcomer_refused: u64,
    /// Calls of senders that joined, in their first ten seconds.
    pub newcomer_calls: u64,
    /// Calls of senders that joined, at any time, into a Retry-After that another sender had been told before, and
    /// still knew when they started.
    pub into_waits: u64,
    /// The run by the second.
    pub seconds: Vec<Second>,
}
