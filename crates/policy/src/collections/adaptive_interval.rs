//! An interval that grows and shrinks by factors.

use serde::{Deserialize, Serialize};

use crate::interface::Nanos;

/// An interval in nanoseconds, 0 at first.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct AdaptiveInterval {
    interval: Nanos,
    last_increase: Nanos,
}

impl AdaptiveInterval {
    /// The present interval.
    pub(crate) fn get(&self) -> Nanos {
        self.interval
    }

    /// When the interval was last increased; 0 if it never was.
    pub(crate) fn last_increase(&self) -> Nanos {
        self.last_increase
    }

    /// Raises the interval to at least `least`.
    pub(crate) fn raise_to(&mut self, least: Nanos) {
        self.interval = self.interval.max(least);
    }

    /// Doubles the interval, to at least `least` and at most `most`.
    pub(crate) fn increase(&mut self, now: Nanos, least: Nanos, most: Nanos) {
        self.last_increase = now;
        self.interval = (self.interval * 2).max(least).min(most);
    }

    /// Takes a share (0 to 1) off the interval; what is left under `least` becomes 0.
    pub(crate) fn decrease(&mut self, share: f64, least: Nanos) {
        self.interval = (self.interval as f64 * (1.0 - share)) as Nanos;
        if self.interval < least {
            self.interval = 0;
        }
    }
}
