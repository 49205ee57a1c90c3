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
            Outage::Recovering { since } => ReportedOutage::Recovering { since: span(since) },
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
    pub retry_after: f32,
    /// The pacing interval between two calls.
    pub pacing_interval: f32,
    /// Calls a second that the partner takes from all senders, if known.
    pub rate_limit: Option<f32>,
    /// Number of served calls, decaying exponentially with their age.
    pub successes: f32,
    /// Number of rejected calls, decaying exponentially with their age.
    pub rejections: f32,
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
            retry_after: 0.0,
            pacing_interval: 0.0,
            rate_limit: None,
            successes: 0.0,
            rejections: 0.0,
            latency: LatencySketch::default(),
            outage: None,
        }
    }

    /// The digest of an observation by the decision module, with the name that the endpoint list gives the endpoint.
    pub fn from_observation(observation: &Observation, endpoint: Option<String>) -> Digest {
        let latencies = observation.latencies.iter().map(|nanos| millis(*nanos));
        Digest {
            destination: observation.destination.0,
            endpoint,
            age: span(observation.age),
            retry_after: span(observation.wait),
            pacing_interval: span(observation.gap),
            rate_limit: observation.limit.map(|limit| limit as f32),
            successes: observation.served as f32,
            rejections: observation.refused as f32,
            latency: LatencySketch::from_latencies(latencies),
            outage: observation.outage.map(ReportedOutage::from),
        }
    }

    /// Whether a received digest is plausible: spans and counts are finite and not negative, the limit is above zero,
    /// and the endpoint's name is neither empty nor too long.
    pub fn is_valid(&self) -> bool {
        self.has_valid_spans_and_counts()
            && self.rate_limit.is_none_or(|l| l.is_finite() && l > 0.0)
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
            self.retry_after,
            self.pacing_interval,
            self.successes,
            self.rejections,
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
