//! The digest in which a sender reports its own observations of a partner to a starting sender.

use martenlatch_clock::millis;
use martenlatch_policy::interface::{Observation, Outage};
use serde::{Deserialize, Serialize};

use crate::latency_sketch::LatencySketch;

/// Maximum length of an endpoint's name, in bytes.
pub const MAX_ENDPOINT_BYTES: usize = 128;

/// An outage, as observed by the reporting sender. Times are durations in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReportedOutage {
    /// The partner does not respond.
    Unresponsive,
    /// The partner rejects everything.
    Rejecting,
    /// The partner responds again.
    Recovering {
        /// The time since the recovery began.
        elapsed: f32,
    },
}

impl From<Outage> for ReportedOutage {
    fn from(outage: Outage) -> ReportedOutage {
        match outage {
            Outage::Unresponsive => ReportedOutage::Unresponsive,
            Outage::Rejecting => ReportedOutage::Rejecting,
            Outage::Recovering { elapsed } => ReportedOutage::Recovering {
                elapsed: to_millis(elapsed),
            },
        }
    }
}

/// One sender's own observations of a partner, without anything that it learned by gossip. Times are durations in
/// milliseconds, because the clocks of two senders may differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The destination's number on the platform's endpoint list.
    pub destination: u64,
    /// The endpoint's name on that list, if limits apply to each endpoint of the destination separately.
    pub endpoint: Option<String>,
    /// Time since the latest call that the digest is based on.
    pub age: f32,
    /// The remaining Retry-After, during which nothing may be sent to the partner.
    pub retry_after: f32,
    /// The pacing interval between two calls.
    pub pacing_interval: f32,
    /// Calls a second that the partner accepts from all senders together, if known.
    pub rate_limit: Option<f32>,
    /// The number of successful calls, decaying exponentially with their age.
    pub successes: f32,
    /// The number of rejected calls, decaying exponentially with their age.
    pub rejections: f32,
    /// The latencies of successful calls.
    pub latency: LatencySketch,
    /// The observed outage, if any.
    pub outage: Option<ReportedOutage>,
}

fn to_millis(nanos: u64) -> f32 {
    millis(nanos) as f32
}

impl Digest {
    /// Creates the digest of a destination without any observations.
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

    /// Converts an observation of the decision module. `endpoint` is the endpoint's name on the endpoint list.
    pub fn from_observation(observation: &Observation, endpoint: Option<String>) -> Digest {
        let latencies = observation.latencies.iter().map(|nanos| millis(*nanos));
        Digest {
            destination: observation.destination.0,
            endpoint,
            age: to_millis(observation.since_last_call),
            retry_after: to_millis(observation.remaining_retry_after),
            pacing_interval: to_millis(observation.pacing_interval),
            rate_limit: observation.rate_limit.map(|limit| limit as f32),
            successes: observation.successful_calls as f32,
            rejections: observation.rejected_calls as f32,
            latency: LatencySketch::from_latencies(latencies),
            outage: observation.outage.map(ReportedOutage::from),
        }
    }

    /// Whether a received digest is plausible: durations and counts are finite and not negative, the rate limit is
    /// above zero, the endpoint's name is neither empty nor too long, and the latency sketch is valid.
    pub fn is_valid(&self) -> bool {
        self.has_valid_durations_and_counts()
            && self
                .rate_limit
                .is_none_or(|limit| limit.is_finite() && limit > 0.0)
            && self.has_valid_endpoint()
            && self.latency.is_valid()
    }

    fn has_valid_durations_and_counts(&self) -> bool {
        let since_recovery = match self.outage {
            Some(ReportedOutage::Recovering { elapsed }) => elapsed,
            _ => 0.0,
        };
        [
            self.age,
            self.retry_after,
            self.pacing_interval,
            self.successes,
            self.rejections,
            since_recovery,
        ]
        .into_iter()
        .all(|value| value.is_finite() && value >= 0.0)
    }

    fn has_valid_endpoint(&self) -> bool {
        match &self.endpoint {
            Some(name) => !name.is_empty() && name.len() <= MAX_ENDPOINT_BYTES,
            None => true,
        }
    }
}
