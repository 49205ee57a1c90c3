//! The earliest instant since which a socket that the event loop has just reported may have been readable.
//!
//! A process that was delayed reads bytes long after they arrived, and the operating system does not report when that
//! was. If one poll reports a socket and the poll before it did not, the bytes arrived after that earlier poll began.

use martenlatch_clock::Millis;

/// The starts of the last two polls of the event loop.
pub(super) struct PollHistory {
    last: Millis,
    before_last: Millis,
}

impl PollHistory {
    /// A history without polls: arrival times have no lower bound.
    pub(super) fn new() -> PollHistory {
        PollHistory {
            last: f64::NEG_INFINITY,
            before_last: f64::NEG_INFINITY,
        }
    }

    /// Records that a round has ended and the next poll begins now.
    pub(super) fn record_poll_start(&mut self, now: Millis) {
        self.before_last = self.last;
        self.last = now;
    }

    /// Bytes that the last poll reported, and the poll before it did not, arrived after this instant.
    pub(super) fn readable_since(&self) -> Millis {
        self.before_last
    }
}
