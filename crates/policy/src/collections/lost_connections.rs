//! Connections of a route that were lost under calls.

use super::OutcomeHistory;
use crate::interface::Nanos;

/// Which of the latest calls ended with a lost connection. One fault of the network breaks many connections at once, so
/// of those that are lost together one counts.
#[derive(Debug, Default)]
pub(crate) struct LostConnections {
    /// Successes, and lost connections as failures.
    history: OutcomeHistory,
    /// When the latest one that counts was lost.
    latest_at: Nanos,
}

impl LostConnections {
    /// Records that the connection of a call that was sent at `sent_at` has been lost. Returns whether it counts.
    pub(crate) fn record(&mut self, sent_at: Nanos, now: Nanos) -> bool {
        let counts = sent_at >= self.latest_at;
        if counts {
            self.history.record_failure();
            self.latest_at = now;
        }
        counts
    }

    /// Records a success.
    pub(crate) fn record_success(&mut self) {
        self.history.record_success();
    }

    /// Number since the latest success, at most eight.
    pub(crate) fn consecutive(&self) -> u32 {
        self.history.consecutive_failures()
    }

    /// Number among the last eight of these outcomes.
    pub(crate) fn recent(&self) -> u32 {
        self.history.failures()
    }
}
