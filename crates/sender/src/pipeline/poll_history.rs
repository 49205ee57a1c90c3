//! Since when a socket that the event loop has just reported may have been readable.
//!
//! A process that is held up reads what has come long after it arrived, and the system does not say when that was. What
//! one poll reports and the poll before it did not has come after that earlier poll began.

use martenlatch_clock::Millis;

/// The starts of the last two polls of the event loop.
pub(super) struct PollHistory {
    last: Millis,
    before_last: Millis,
}

impl PollHistory {
    /// No poll so far: nothing is known of when anything came.
    pub(super) fn new() -> PollHistory {
        PollHistory {
            last: f64::NEG_INFINITY,
            before_last: f64::NEG_INFINITY,
        }
    }

    /// A round has ended, and the next poll begins.
    pub(super) fn record_poll_start(&mut self, now: Millis) {
        self.before_last = self.last;
        self.last = now;
    }

    /// What the last poll reported as readable, and the one before it did not, came after this instant.
    pub(super) fn readable_since(&self) -> Millis {
        self.before_last
    }
}
