//! Exponentially decaying counts of successful and rejected calls.

use serde::{Deserialize, Serialize};

use crate::interface::{Nanos, Outcome};

/// Half-life of the counts: 20 s.
const HALF_LIFE: Nanos = 20_000_000_000;

/// Decaying counts of a route's calls. They are passed to other senders, and not used in decisions.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct CallCounts {
    successful: f64,
    rejected: f64,
    updated_at: Nanos,
}

impl CallCounts {
    /// Factor by which the counts have decayed since they were updated.
    fn decay(&self, now: Nanos) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        0.5f64.powf(age as f64 / HALF_LIFE as f64)
    }

    /// Counts one outcome.
    pub(crate) fn count(&mut self, outcome: Outcome, now: Nanos) {
        let decay = self.decay(now);
        let is_rejection = matches!(outcome, Outcome::Overloaded { .. });
        self.successful = self.successful * decay + f64::from(outcome == Outcome::Success);
        self.rejected = self.rejected * decay + f64::from(is_rejection);
        self.updated_at = now;
    }

    /// The counts of successful and of rejected calls, decayed to `now`.
    pub(crate) fn decayed_to(&self, now: Nanos) -> (f64, f64) {
        let decay = self.decay(now);
        (self.successful * decay, self.rejected * decay)
    }
}
