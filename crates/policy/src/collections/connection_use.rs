//! Tracks whether calls follow each other soon enough to reuse a connection.

use serde::{Deserialize, Serialize};

use crate::interface::Nanos;

/// The latest use of a connection that is closed after an idle timeout.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct ConnectionUse {
    /// 0 before the first use.
    last_use: Nanos,
    is_reused: bool,
}

impl ConnectionUse {
    /// Records a use.
    pub(crate) fn record(&mut self, now: Nanos, idle_timeout: Nanos) {
        self.is_reused = self.last_use == 0 || self.is_open(now, idle_timeout);
        self.last_use = now;
    }

    /// Whether the connection has been used, and its idle timeout has not passed since.
    pub(crate) fn is_open(&self, now: Nanos, idle_timeout: Nanos) -> bool {
        self.last_use > 0 && now < self.last_use.saturating_add(idle_timeout)
    }

    /// Whether the latest use reused an open connection, or was the first use.
    pub(crate) fn is_reused(&self) -> bool {
        self.is_reused
    }
}
