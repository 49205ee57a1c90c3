//! The digest in which a sender tells a newcomer what it has itself observed of a partner.

use martenlatch_clock::millis;
use martenlatch_policy::interface::{Observation, Outage};
use serde::{Deserialize, Serialize};

use crate::latency_sketch::LatencySketch;

/// Longest name of an endpoint, in bytes.
pub const MAX_ENDPOINT_BYTES: usize = 128;

/// An outage, as observed by the sender of a digest. Times are spans in milliseconds before the digest.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReportedOutage {
    /// The partner does not respond.
    Unresponsive,
    /// The partner rejects everything.
    Rejecting,
    /// The partner responds again.
    Recovering {
        /// For how long.
        since: f32,
    },
}

impl From<Outage> for ReportedOutage {
    fn from(outage: Outage) -> ReportedOutage {
        match outage {
            Outage::Unresponsive => ReportedOutage::Unresponsive,
            Outage::Rejecting => ReportedOutage::Rejecting,
            Outage::Recovering { elapsed } => ReportedOutage::Recovering {
                since: span(elapsed),
            },
        }
    }
}

/// What one sender has itself observed of a partner, never what it was told by others. Times are spans in milliseconds,
/// as the clocks of two senders may differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The destination's number on the platform's endpoint list.
    pub destination: u64,
    /// The endpoint's name there, if limits apply to each endpoint of the destination separately.
    pub endpoint: Option<String>,
    /// Time since the latest call that the digest rests on.
    pub age: f32,
    /// How long nothing may be sent there yet.
    pub wait: f32,
    /// The pacing interval between two calls.
    pub gap: f32,
    /// Calls a second that the partner takes from all senders, if known.
    pub limit: Option<f32>,
    /// Number of served calls, decaying exponentially with their age.
    pub served: f32,
    /// Number of rejected calls, decaying exponentially with their age.
    pub refused: f32,
    /// Latencies of served calls.
    pub latency: LatencySketch,
    /// The outage that was observed, if any.
    pub outage: Option<ReportedOutage>,
}

fn span(nanos: u64) -> f32 {
    millis(nanos) as f32
}

impl Digest {
    /// The digest of a destination of which nothing was observed.
    pub fn new(destination: u64) -> Digest {
        Digest {
            destination,
            endpoint: None,
            age: 0.0,
            wait: 0.0,
            gap: 0.0,
            limit: None,
            served: 0.0,
            refused: 0.0,
            latency: LatencySketch::default(),
            outage: None,
        }
    }

    /// The digest of an observation by the decision module, with the name that the endpoint list gives the endpoint.
    pub fn of(observation: &Observation, endpoint: Option<String>) -> Digest {
        let latencies = observation.latencies.iter().map(|nanos| millis(*nanos));
        Digest {
            destination: observation.destination.0,
            endpoint,
            age: span(observation.since_last_call),
            wait: span(observation.remaining_retry_after),
            gap: span(observation.pacing_interval),
            limit: observation.rate_limit.map(|limit| limit as f32),
            served: observation.successful_calls as f32,
            refused: observation.rejected_calls as f32,
            latency: LatencySketch::of(latencies),
            outage: observation.outage.map(ReportedOutage::from),
        }
    }

    /// Whether a received digest is plausible: spans and counts are finite and not negative, the limit is above zero,
    /// and the endpoint's name is neither empty nor too long.
    pub fn is_valid(&self) -> bool {
        self.has_valid_spans_and_counts()
            && self.limit.is_none_or(|l| l.is_finite() && l > 0.0)
            && self.has_valid_endpoint()
            && self.latency.is_valid()
    }

    fn has_valid_spans_and_counts(&self) -> bool {
        let recovering_since = match self.outage {
            Some(ReportedOutage::Recovering { since }) => since,
            _ => 0.0,
        };
        [
            self.age,
            self.wait,
            self.gap,
            self.served,
            self.refused,
            recovering_since,
        ]
        .into_iter()
        .all(|figure| figure.is_finite() && figure >= 0.0)
    }

    fn has_valid_endpoint(&self) -> bool {
        match &self.endpoint {
            Some(name) => !name.is_empty() && name.len() <= MAX_ENDPOINT_BYTES,
            None => true,
        }
    }
}
