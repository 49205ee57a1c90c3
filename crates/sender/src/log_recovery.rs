//! Reading the write-ahead log at a start.
//!
//! A folder may fail for a while. What earlier processes accepted is owed all the same, so that a start waits for their
//! log rather than serving without it.

use std::path::Path;
use std::time::{Duration, Instant};

use martenlatch_wal::{LogError, LogInspection, RecoveredState, WriteAheadLog};
use tracing::warn;

/// How long a start waits for a log that cannot be read. It reads the log twice, and may take 30 s in all.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// How often it tries.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// The tries of one start to read the log.
struct Tries {
    started: Instant,
}

impl Tries {
    fn new() -> Tries {
        Tries {
            started: Instant::now(),
        }
    }

    /// Waits for the next try. False if there is none.
    fn wait(&self) -> bool {
        let goes_on = self.started.elapsed() < READ_TIMEOUT;
        if goes_on {
            std::thread::sleep(READ_INTERVAL);
        }
        goes_on
    }
}

/// What the log in a state folder holds; nothing if it stays unreadable.
pub(crate) fn inspect(state: &Path) -> LogInspection {
    let tries = Tries::new();
    loop {
        match LogInspection::open(state) {
            Ok(log) => return log,
            Err(LogError::Read { source, .. }) if tries.wait() => {
                warn!(error = ?source.kind(), "waiting for the write-ahead log");
            }
            Err(_) => return LogInspection::default(),
        }
    }
}

/// Opens the log in a state folder and recovers what earlier processes left.
pub(crate) fn open(state: &Path, disk: u64) -> (WriteAheadLog, RecoveredState) {
    let tries = Tries::new();
    loop {
        let (log, recovered) = WriteAheadLog::open(state, disk);
        if !log.failed_to_read() || !tries.wait() {
            return (log, recovered);
        }
    }
}

#[cfg(test)]
mod tests;
