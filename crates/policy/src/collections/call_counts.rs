//! Exponentially decaying counts of successful and overloaded calls.

use serde::{Deserialize, Serialize};

use crate::interface::{Nanos, Outcome};

/// Time in which a count loses half of its weight: 20 s.
const HALF_LIFE: Nanos = 20_000_000_000;

/// Decaying counts of a route's calls. They are exported to other senders and never used in a decision.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct CallCounts {
    served: f64,
    refused: f64,
    updated: Nanos,
}

impl CallCounts {
    fn remaining(&self, now: Nanos) -> f64 {
        let age = now.saturating_sub(self.updated);
        0.5f64.powf(age as f64 / HALF_LIFE as f64)
    }

    /// Counts one outcome.
    pub(crate) fn count(&mut self, outcome: Outcome, now: Nanos) {
        let remaining = self.remaining(now);
        let refused = matches!(outcome, Outcome::Overloaded { .. });
        self.served = self.served * remaining + f64::from(outcome == Outcome::Success);
        self.refused = self.refused * remaining + f64::from(refused);
        self.updated = now;
    }

    /// Successful and overloaded calls, decayed to `now`.
    pub(crate) fn at(&self, now: Nanos) -> (f64, f64) {
        let remaining = self.remaining(now);
        (self.served * remaining, self.refused * remaining)
    }
}
