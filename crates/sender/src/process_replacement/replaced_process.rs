//! The process that this one has replaced: signals that are sent to it have no effect any more.

use martenlatch_clock::Millis;
use martenlatch_handover::PeerProcess;

/// Milliseconds between two readings of the configuration while the replaced process exists.
const READING_INTERVAL: Millis = 1_000.0;
/// The time after the takeover for which the replaced process is watched: an exited process exists until its parent
/// has waited for it, which a parent may never do.
const WATCH_TIME: Millis = 60_000.0;

/// A process that has been replaced, if there is one, and that operators may still take for the one that serves.
///
/// A SIGHUP that reaches it is lost. While it exists, the process that serves therefore reads the configuration without
/// a signal, and a last time once it no longer exists.
pub struct ReplacedProcess {
    /// `None` once it need not be watched any more.
    process: Option<PeerProcess>,
    watch_until: Millis,
    next_reading: Millis,
}

impl ReplacedProcess {
    /// No process has been replaced.
    pub fn none() -> ReplacedProcess {
        ReplacedProcess::new(None, 0.0)
    }

    /// Watches a process that has been replaced just now. `None` if it is unknown which process that was.
    pub fn new(process: Option<PeerProcess>, now: Millis) -> ReplacedProcess {
        ReplacedProcess {
            process,
            watch_until: now + WATCH_TIME,
            next_reading: now,
        }
    }

    /// Whether the configuration must be read now, as a signal to do so may have been sent to the replaced process.
    pub fn is_reading_due(&mut self, now: Millis) -> bool {
        let Some(process) = &self.process else {
            return false;
        };
        let is_last = !process.exists() || now >= self.watch_until;
        if is_last {
            self.process = None;
        }
        if !is_last && now < self.next_reading {
            return false;
        }
        self.next_reading = now + READING_INTERVAL;
        true
    }
}

#[cfg(test)]
mod tests;
