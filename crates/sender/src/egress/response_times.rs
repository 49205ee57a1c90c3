//! How long the endpoints take to respond, and which of them have sent surplus bytes recently.

use std::collections::HashMap;

use martenlatch_clock::Millis;
use martenlatch_policy::interface::EndpointId;
use serde::{Deserialize, Serialize};

/// The shortest rest of a connection after an uncertain response, from when its request was sent. Covers the delays of
/// the network and of busy machines.
const MIN_REST: Millis = 50.0;
/// The longest rest while no endpoint repeats its responses, and while one does.
const MAX_USUAL_REST: Millis = 1_000.0;
const MAX_REST: Millis = 3_000.0;
/// The usual rest, as a multiple of the slowest recent response.
const REST_FACTOR: f64 = 1.25;
/// The rest where responses are repeated, the endpoint is little known or a wrong conclusion could not be undone, as a
/// multiple of the slowest recent response, and its least distance from it.
const LONG_REST_FACTOR: f64 = 2.0;
const LONG_REST_MARGIN: Millis = 100.0;
/// The number of responses after which an endpoint is known well enough for the usual rest.
const WELL_KNOWN_RESPONSES: u32 = 32;
/// The factors by which each response reduces the memory of the slowest recent one and of the slowest one.
const RECENT_DECAY: f64 = 0.95;
const SLOWEST_DECAY: f64 = 0.98;
/// The number of successes after which an endpoint is known to give each one bytes of its own.
const DISTINCT_SUCCESSES: u32 = 16;
/// How long an endpoint is suspected to repeat its responses after surplus bytes.
const SUSPICION_TIME: Millis = 60_000.0;
/// Endpoints without connections are forgotten once this number of endpoints is known.
const PRUNE_THRESHOLD: usize = 4_096;

/// What is known of one endpoint. Serialized by field order.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct EndpointTimes {
    /// The slowest of the latest responses.
    slowest_recent: Millis,
    /// The slowest of many responses.
    slowest: Millis,
    /// The number of responses.
    responses: u32,
    /// The number of successes that differ from all earlier responses of their connection, which is not their first.
    distinct_successes: u32,
    /// Whether a success has the bytes of an earlier one and may be real.
    repeats_successes: bool,
    /// When the endpoint last sent surplus bytes.
    surplus_at: Option<Millis>,
    /// When the endpoint last repeated a rejection.
    repeated_rejection_at: Option<Millis>,
}

/// The response times of all endpoints. Serialized for a process replacement by field order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ResponseTimes {
    by_endpoint: HashMap<EndpointId, EndpointTimes>,
    /// When any endpoint last sent surplus bytes.
    last_surplus_at: Option<Millis>,
}

impl ResponseTimes {
    /// Records a response that took `took` from when its request was sent.
    pub fn record(&mut self, endpoint: EndpointId, took: Millis) {
        let times = self.by_endpoint.entry(endpoint).or_default();
        times.slowest_recent = took.max(times.slowest_recent * RECENT_DECAY);
        times.slowest = took.max(times.slowest * SLOWEST_DECAY);
        times.responses = times.responses.saturating_add(1);
    }

    /// Records surplus bytes of an endpoint, and whether they repeat a rejection.
    pub fn record_surplus(&mut self, endpoint: EndpointId, repeats_rejection: bool, now: Millis) {
        let times = self.by_endpoint.entry(endpoint).or_default();
        times.surplus_at = Some(now);
        self.last_surplus_at = Some(now);
        if repeats_rejection {
            times.repeated_rejection_at = Some(now);
        }
    }

    /// Records whether a success on a connection that had carried one has bytes of its own.
    pub fn record_success(&mut self, endpoint: EndpointId, is_distinct: bool) {
        let times = self.by_endpoint.entry(endpoint).or_default();
        if is_distinct {
            times.distinct_successes = times.distinct_successes.saturating_add(1);
        } else {
            times.repeats_successes = true;
        }
    }

    /// Whether all successes of an endpoint have bytes of their own, so that a success that the connection has carried
    /// before is a copy.
    pub fn has_distinct_successes(&self, endpoint: EndpointId) -> bool {
        let times = self.times(endpoint);
        times.distinct_successes >= DISTINCT_SUCCESSES && !times.repeats_successes
    }

    /// Whether an endpoint has repeated a rejection recently.
    pub fn repeats_rejections(&self, endpoint: EndpointId, now: Millis) -> bool {
        is_recent(self.times(endpoint).repeated_rejection_at, now)
    }

    /// Whether an endpoint has sent surplus bytes recently.
    pub fn is_suspected(&self, endpoint: EndpointId, now: Millis) -> bool {
        is_recent(self.times(endpoint).surplus_at, now)
    }

    /// Whether any endpoint has sent surplus bytes recently.
    pub fn has_recent_surplus(&self, now: Millis) -> bool {
        is_recent(self.last_surplus_at, now)
    }

    /// How long a connection rests after an uncertain response, from when its request was sent. `is_final` says that a
    /// wrong conclusion could not be undone.
    pub fn rest(&self, endpoint: EndpointId, is_final: bool, now: Millis) -> Millis {
        let times = self.times(endpoint);
        let is_well_known = times.responses >= WELL_KNOWN_RESPONSES;
        if self.has_recent_surplus(now) {
            return self.long_rest(endpoint);
        }
        if is_final || !is_well_known {
            return self.long_rest(endpoint).min(MAX_USUAL_REST);
        }
        (times.slowest_recent * REST_FACTOR).clamp(MIN_REST, MAX_USUAL_REST)
    }

    /// The slowest response of an endpoint.
    pub fn slowest(&self, endpoint: EndpointId) -> Millis {
        self.times(endpoint).slowest
    }

    /// The rest after which a further response to the request is very unlikely, from when the request was sent.
    pub fn long_rest(&self, endpoint: EndpointId) -> Millis {
        let slowest = self.times(endpoint).slowest;
        (slowest * LONG_REST_FACTOR)
            .max(slowest + LONG_REST_MARGIN)
            .clamp(MIN_REST, MAX_REST)
    }

    fn times(&self, endpoint: EndpointId) -> EndpointTimes {
        self.by_endpoint.get(&endpoint).copied().unwrap_or_default()
    }

    /// Forgets the endpoints for which `is_connected` is false, if there are many.
    pub fn prune(&mut self, is_connected: impl Fn(EndpointId) -> bool) {
        if self.by_endpoint.len() >= PRUNE_THRESHOLD {
            self.by_endpoint
                .retain(|endpoint, _| is_connected(*endpoint));
        }
    }
}

fn is_recent(at: Option<Millis>, now: Millis) -> bool {
    at.is_some_and(|at| now < at + SUSPICION_TIME)
}
