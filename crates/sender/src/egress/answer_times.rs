//! When the endpoints have answered last, and how quickly they can.
//!
//! A success that could be a copy of an earlier one is usually settled by silence behind it. One that arrives much sooner
//! than any success of its endpoint is more likely a copy, and an endpoint that has stopped to answer is silent as well. So
//! such a success is settled only once the endpoint has answered another request behind it.

use std::collections::HashMap;

use martenlatch_clock::Millis;
use martenlatch_policy::interface::EndpointId;

/// A success is early if it takes less than this share of the quickest success of its endpoint, and is this much quicker.
const EARLY_SHARE: f64 = 0.25;
const EARLY_MARGIN: Millis = 25.0;
/// Endpoints without connections are forgotten once this number of endpoints is known.
const PRUNE_THRESHOLD: usize = 4_096;

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug)]
struct EndpointAnswers {
    /// When it last answered.
    latest_at: Millis,
    /// The time of the quickest success that belongs to its request.
    quickest_success: Option<Millis>,
}

/// The answers of all endpoints.
#[derive(Debug, Default)]
pub(super) struct AnswerTimes {
    by_endpoint: HashMap<EndpointId, EndpointAnswers>,
}

impl AnswerTimes {
    /// Records that an endpoint has answered a request.
    pub fn record_answer(&mut self, endpoint: EndpointId, now: Millis) {
        let answers = self.by_endpoint.entry(endpoint).or_insert(EndpointAnswers {
            latest_at: now,
            quickest_success: None,
        });
        answers.latest_at = now;
    }

    /// Records a success that belongs to its request and took `took` from when the request was sent.
    pub fn record_success(&mut self, endpoint: EndpointId, took: Millis) {
        if let Some(answers) = self.by_endpoint.get_mut(&endpoint) {
            let quickest = answers.quickest_success.unwrap_or(f64::INFINITY);
            answers.quickest_success = Some(quickest.min(took));
        }
    }

    /// Whether a success that took `took` is much quicker than all successes of its endpoint.
    pub fn is_early(&self, endpoint: EndpointId, took: Millis) -> bool {
        let answers = self.by_endpoint.get(&endpoint);
        let quickest = answers.and_then(|answers| answers.quickest_success);
        quickest.is_some_and(|quickest| {
            took < quickest * EARLY_SHARE && took <= quickest - EARLY_MARGIN
        })
    }

    /// Whether an endpoint has answered any request after an instant.
    pub fn has_answered_since(&self, endpoint: EndpointId, instant: Millis) -> bool {
        let answers = self.by_endpoint.get(&endpoint);
        answers.is_some_and(|answers| answers.latest_at > instant)
    }

    /// Forgets the endpoints for which `is_connected` is false, if there are many.
    pub fn prune(&mut self, is_connected: impl Fn(EndpointId) -> bool) {
        if self.by_endpoint.len() >= PRUNE_THRESHOLD {
            self.by_endpoint
                .retain(|endpoint, _| is_connected(*endpoint));
        }
    }
}
