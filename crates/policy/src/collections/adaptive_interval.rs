//! An interval that is increased and decreased by factors.

use serde::{Deserialize, Serialize};

use crate::interface::Nanos;

/// An interval in nanoseconds, 0 at first.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct AdaptiveInterval {
    interval: Nanos,
    last_increase: Nanos,
}

impl AdaptiveInterval {
    /// The current interval.
    pub(crate) fn get(&self) -> Nanos {
        self.interval
    }

    /// Time of the latest [`AdaptiveInterval::increase`]; 0 if there was none.
    pub(crate) fn last_increase(&self) -> Nanos {
        self.last_increase
    }

    /// Sets the interval to `min` if it is shorter.
    pub(crate) fn raise_to(&mut self, min: Nanos) {
        self.interval = self.interval.max(min);
    }

    /// Doubles the interval, and limits the result to at least `min` and at most `max`.
    pub(crate) fn increase(&mut self, now: Nanos, min: Nanos, max: Nanos) {
        self.last_increase = now;
        self.interval = (self.interval * 2).max(min).min(max);
    }

    /// Decreases the interval by a share (0 to 1) of itself, and sets it to 0 if the result is below `min`.
    pub(crate) fn decrease(&mut self, share: f64, min: Nanos) {
        self.interval = (self.interval as f64 * (1.0 - share)) as Nanos;
        if self.interval < min {
            self.interval = 0;
        }
    }
}
