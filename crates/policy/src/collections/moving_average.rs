//! Exponentially weighted moving averages.

use serde::{Deserialize, Serialize};

use crate::interface::Nanos;

/// Weight of the latest outcome in a [`SuccessRate`].
const OUTCOME_WEIGHT: f64 = 0.25;

/// The share of successes, as a moving average between 0 and 1.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct SuccessRate(f64);

impl SuccessRate {
    /// Creates a rate that starts from an assumed value.
    pub(crate) fn new(assumed: f64) -> SuccessRate {
        SuccessRate(assumed)
    }

    /// Counts a success.
    pub(crate) fn record_success(&mut self) {
        self.0 += (1.0 - self.0) * OUTCOME_WEIGHT;
    }

    /// Counts a failure.
    pub(crate) fn record_failure(&mut self) {
        self.0 *= 1.0 - OUTCOME_WEIGHT;
    }

    /// The current average.
    pub(crate) fn get(&self) -> f64 {
        self.0
    }
}

/// A moving average of latencies in nanoseconds, in which the latest has a weight of an eighth.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct SmoothedLatency(Nanos);

impl SmoothedLatency {
    /// Adds a latency. The first one becomes the average.
    pub(crate) fn record(&mut self, latency: Nanos) {
        self.0 = if self.0 == 0 {
            latency
        } else {
            (self.0 * 7 + latency) / 8
        };
    }

    /// The average, or `None` before the first latency.
    pub(crate) fn get(&self) -> Option<Nanos> {
        (self.0 > 0).then_some(self.0)
    }
}
