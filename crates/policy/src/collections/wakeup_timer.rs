//! A timer that can only be moved to an earlier instant.

use serde::{Deserialize, Serialize};

use crate::interface::Nanos;

/// Due time of the next wake-up, if one is set.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct WakeupTimer(Option<Nanos>);

impl WakeupTimer {
    /// Whether the wake-up is overdue by more than `tolerance`.
    pub(crate) fn is_late(&self, now: Nanos, tolerance: Nanos) -> bool {
        self.0.is_some_and(|due| now > due + tolerance)
    }

    /// Clears the wake-up if it is due at the instant `by` or earlier.
    pub(crate) fn expire(&mut self, by: Nanos) {
        self.0 = self.0.filter(|due| *due > by);
    }

    /// Sets the wake-up if none is set or `due` is earlier, and returns whether it did.
    pub(crate) fn set(&mut self, due: Nanos) -> bool {
        let is_earlier = self.0.is_none_or(|current| due < current);
        if is_earlier {
            self.0 = Some(due);
        }
        is_earlier
    }
}
