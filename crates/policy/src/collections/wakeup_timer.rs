//! A timer that is moved to earlier instants only.

use serde::{Deserialize, Serialize};

use crate::interface::Nanos;

/// When the next wake-up is due, if one was asked for.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct WakeupTimer(Option<Nanos>);

impl WakeupTimer {
    /// Whether the wake-up is overdue by more than `tolerance`.
    pub(crate) fn is_late(&self, now: Nanos, tolerance: Nanos) -> bool {
        self.0.is_some_and(|due| now > due + tolerance)
    }

    /// Forgets a wake-up that was due by an instant.
    pub(crate) fn expire(&mut self, by: Nanos) {
        self.0 = self.0.filter(|due| *due > by);
    }

    /// Moves the wake-up to an earlier instant, or sets it; false if one is due before that.
    pub(crate) fn set(&mut self, due: Nanos) -> bool {
        let is_earlier = self.0.is_none_or(|present| due < present);
        if is_earlier {
            self.0 = Some(due);
        }
        is_earlier
    }
}
