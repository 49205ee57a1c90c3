//! Detection of stale connections and connection resets from the ends of recent exchanges.
//!
//! Each detector keeps a weighted count: a fault adds one, and every successful exchange multiplies the count by a
//! factor below one. The detectors are independent of sockets and are passed to a successor process.

use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};

/// Once the weighted count of stale connections reaches this value, connections that have been idle for long are
/// suspected to be stale.
const SUSPICION_THRESHOLD: f64 = 2.0;
/// Once the weighted count falls below this value, they are trusted again.
const TRUST_THRESHOLD: f64 = 0.5;
/// The factor by which a successful exchange on a reused connection reduces the count of stale connections.
const STALE_DECAY: f64 = 0.98;
/// The safe idle time as a fraction of the shortest idle time after which a connection was stale.
const SAFE_IDLE_FACTOR: f64 = 0.8;
/// The factor by which the safe idle time grows with each successful exchange on a connection that was idle for longer.
const SAFE_IDLE_GROWTH: f64 = 1.01;

/// While the weighted count of resets is at least this value, another reset is expected.
pub(super) const RESET_EXPECTED_THRESHOLD: f64 = 0.5;
/// The factor by which a successful exchange reduces the count of resets.
const RESET_DECAY: f64 = 0.98;

/// Estimates how long a connection may be idle before it is probably stale.
///
/// Serialized as a part of the egress state: the order of the fields is fixed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct StaleConnectionDetector {
    /// The weighted count of stale connections.
    pub recent_stale: f64,
    /// Whether connections that have been idle for longer than `safe_idle` are suspected to be stale.
    pub suspects_idle: bool,
    /// The idle time that is considered safe, in milliseconds; infinite if no stale connection is remembered.
    pub safe_idle: Millis,
}

impl Default for StaleConnectionDetector {
    fn default() -> StaleConnectionDetector {
        StaleConnectionDetector {
            recent_stale: 0.0,
            suspects_idle: false,
            safe_idle: f64::INFINITY,
        }
    }
}

impl StaleConnectionDetector {
    /// Records a stale connection that had been idle for `idle_time` milliseconds.
    pub fn record_stale(&mut self, idle_time: Millis) {
        self.recent_stale += 1.0;
        self.suspects_idle |= self.recent_stale >= SUSPICION_THRESHOLD;
        self.safe_idle = self.safe_idle.min(idle_time * SAFE_IDLE_FACTOR);
    }

    /// Records a response on a connection that had been idle for `idle_time` milliseconds before the request.
    pub fn record_response(&mut self, idle_time: Millis) {
        self.recent_stale *= STALE_DECAY;
        if self.recent_stale < TRUST_THRESHOLD {
            self.suspects_idle = false;
            self.safe_idle = f64::INFINITY;
        } else if idle_time > self.safe_idle {
            self.safe_idle *= SAFE_IDLE_GROWTH;
        }
    }

    /// The longest idle time, in milliseconds, of a connection that may carry a request that must not be lost.
    pub fn max_safe_idle(&self) -> Millis {
        if self.suspects_idle {
            self.safe_idle
        } else {
            f64::INFINITY
        }
    }
}

/// Detects whether connections are being reset during requests.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct ResetDetector {
    /// The weighted count of connections that were lost during a request.
    pub recent_resets: f64,
}

impl ResetDetector {
    /// Records that a connection was lost during a request.
    pub fn record_reset(&mut self) {
        self.recent_resets += 1.0;
    }

    /// Records that a connection carried a response.
    pub fn record_response(&mut self) {
        self.recent_resets *= RESET_DECAY;
    }

    /// Whether a connection is likely to be reset during the next request.
    pub fn expects_reset(&self) -> bool {
        self.recent_resets >= RESET_EXPECTED_THRESHOLD
    }
}
