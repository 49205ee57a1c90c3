//! A short history of good and bad outcomes.

use serde::{Deserialize, Serialize};

/// The last eight outcomes as a bit set: the newest is the lowest bit, and a set bit is a failure.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct OutcomeHistory(u8);

impl OutcomeHistory {
    /// Replaces the history by this many failures (seven at most) after good outcomes.
    pub(crate) fn assume_failures(&mut self, failures: u32) {
        self.0 = (1 << failures) - 1;
    }

    /// Adds a good outcome; the oldest outcome is forgotten.
    pub(crate) fn record_success(&mut self) {
        self.0 <<= 1;
    }

    /// Adds a bad outcome; the oldest outcome is forgotten.
    pub(crate) fn record_failure(&mut self) {
        self.0 = self.0 << 1 | 1;
    }

    /// Failures since the latest good outcome, up to eight.
    pub(crate) fn consecutive_failures(&self) -> u32 {
        self.0.trailing_ones()
    }

    /// Failures among the last eight outcomes.
    pub(crate) fn failures(&self) -> u32 {
        self.0.count_ones()
    }
}
