//! The figures of a run, as `result.json` stores them. The `rename` attributes keep the stored names.

use serde::{Deserialize, Serialize};

/// Figures of one second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondFigures {
    /// The worth of the messages that were first submitted in this second.
    #[serde(rename = "asked")]
    pub submitted_worth: f64,
    /// The part of that worth that was delivered, at any time.
    #[serde(rename = "got")]
    pub delivered_worth: f64,
    /// Calls that were started.
    pub calls: u64,
    /// Calls that partners rejected.
    #[serde(rename = "refused")]
    pub rejected_calls: u64,
    /// Client requests that senders rejected.
    #[serde(rename = "turned_away")]
    pub rejected_requests: u64,
    /// The highest number of messages held, over all senders.
    #[serde(rename = "held")]
    pub max_held: u64,
}

/// Figures of a run. Times are in milliseconds; latency is measured from the planned arrival of a message.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Messages of clients.
    pub messages: u64,
    /// Messages that were delivered.
    pub delivered: u64,
    /// The delivered worth divided by the submitted worth.
    pub share: f64,
    /// The lowest such share over any ten consecutive seconds.
    pub worst_window: f64,
    /// The lowest such share of any class.
    pub worst_class: f64,
    /// Half the whole share, three tenths the worst window and a fifth the worst class, minus the costs of rejections,
    /// wasted calls and new connections.
    pub score: f64,
    /// The median latency.
    pub p50: f64,
    /// The 90th percentile of the latency.
    pub p90: f64,
    /// The 99th percentile of the latency.
    pub p99: f64,
    /// Calls per message.
    pub calls: f64,
    /// Rejected calls per message.
    #[serde(rename = "refusals")]
    pub rejections: f64,
    /// New connections per message.
    pub connections: f64,
    /// Calls per message that ran and were not the delivery.
    #[serde(rename = "wasted")]
    pub wasted_calls: f64,
    /// Status reports that a message may be submitted again.
    pub deferred: u64,
    /// Status reports that a message may have run and is given up.
    pub undeliverable: u64,
    /// Client requests that senders rejected.
    #[serde(rename = "turned_away")]
    pub rejected_requests: u64,
    /// The highest number of messages held at a time, over all senders.
    #[serde(rename = "held_most")]
    pub max_held: u64,
    /// Partners that collapsed while warming up.
    #[serde(rename = "toppled")]
    pub collapses: u64,
    /// Rejected calls of senders that joined, in their first ten seconds.
    #[serde(rename = "newcomer_refused")]
    pub newcomer_rejections: u64,
    /// Calls of senders that joined, in their first ten seconds.
    pub newcomer_calls: u64,
    /// Calls of senders that joined, at any time, during a Retry-After that another sender had received earlier and
    /// still knew when they started.
    #[serde(rename = "into_waits")]
    pub calls_into_retry_after: u64,
    /// The figures of each second.
    pub seconds: Vec<SecondFigures>,
}
