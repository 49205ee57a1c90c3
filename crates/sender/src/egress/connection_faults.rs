//! Detection of stale connections and of connection resets, from how recent exchanges ended.
//!
//! Both are weighted counts: a bad end adds one, and every good exchange makes the count smaller by a factor. They
//! know no sockets, and are passed to a successor process.

use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};

/// From this weighted count of stale connections on, idle connections are suspected of being stale.
const SUSPECT_FROM: f64 = 2.0;
/// Below this weighted count they are trusted again.
const TRUST_BELOW: f64 = 0.5;
/// What a good exchange on a reused connection leaves of the count of stale connections.
const STALE_DECAY: f64 = 0.98;
/// The idle time that is taken to be safe, as a part of the shortest one after which a connection was stale.
const SAFE_IDLE_FACTOR: f64 = 0.8;
/// How the safe idle time grows with each good exchange on a connection that had been idle for longer.
const SAFE_IDLE_GROWTH: f64 = 1.01;

/// From this weighted count of resets on, a further one is expected.
pub const RESETS_EXPECTED_FROM: f64 = 0.5;
/// What a good exchange leaves of the count of resets.
const RESET_DECAY: f64 = 0.98;

/// How long connections may be idle before they are probably stale.
///
/// Serialized as a part of the egress state: the order of the fields is fixed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StaleConnectionDetector {
    /// Weighted count of connections that were stale.
    pub recent_stale: f64,
    /// Connections that have been idle for long are suspected of being stale.
    pub suspects_idle: bool,
    /// The idle time that is safe, in milliseconds; infinite while nothing is known.
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
    /// A connection was stale that had been idle for so long, in milliseconds.
    pub fn record_stale(&mut self, idle: Millis) {
        self.recent_stale += 1.0;
        self.suspects_idle |= self.recent_stale >= SUSPECT_FROM;
        self.safe_idle = self.safe_idle.min(idle * SAFE_IDLE_FACTOR);
    }

    /// A connection carried a response that had been idle for so long before, in milliseconds.
    pub fn record_response(&mut self, idle: Millis) {
        self.recent_stale *= STALE_DECAY;
        if self.recent_stale < TRUST_BELOW {
            self.suspects_idle = false;
            self.safe_idle = f64::INFINITY;
        } else if idle > self.safe_idle {
            self.safe_idle *= SAFE_IDLE_GROWTH;
        }
    }

    /// How long a connection may have been idle, in milliseconds, for a request that must not be lost on it.
    pub fn max_safe_idle(&self) -> Millis {
        if self.suspects_idle {
            self.safe_idle
        } else {
            f64::INFINITY
        }
    }
}

/// Whether connections are being reset under requests.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ResetDetector {
    /// Weighted count of connections that were lost under a request.
    pub recent_resets: f64,
}

impl ResetDetector {
    /// A connection was lost under a request.
    pub fn record_reset(&mut self) {
        self.recent_resets += 1.0;
    }

    /// A connection carried a response.
    pub fn record_response(&mut self) {
        self.recent_resets *= RESET_DECAY;
    }

    /// Whether the next connection may well be reset too.
    pub fn expects_reset(&self) -> bool {
        self.recent_resets >= RESETS_EXPECTED_FROM
    }
}
