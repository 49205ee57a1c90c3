//! A short history of successes and failures.

use serde::{Deserialize, Serialize};

/// The last eight outcomes, one in each bit. A set bit is a failure, and the lowest bit is the newest
/// outcome.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct OutcomeHistory(u8);

impl OutcomeHistory {
    /// Replaces the history by successes followed by this many failures, at most seven.
    pub(crate) fn assume_failures(&mut self, failures: u32) {
        self.0 = (1 << failures) - 1;
    }

    /// Adds a success, and removes the oldest outcome.
    pub(crate) fn record_success(&mut self) {
        self.0 <<= 1;
    }

    /// Adds a failure, and removes the oldest outcome.
    pub(crate) fn record_failure(&mut self) {
        self.0 = self.0 << 1 | 1;
    }

    /// Number of failures since the latest success, at most eight.
    pub(crate) fn consecutive_failures(&self) -> u32 {
        self.0.trailing_ones()
    }

    /// Number of failures among the last eight outcomes.
    pub(crate) fn failures(&self) -> u32 {
        self.0.count_ones()
    }
}
