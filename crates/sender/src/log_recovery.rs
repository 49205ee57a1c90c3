//! Reading the write-ahead log when a process starts.
//!
//! The state folder may be unavailable for a while. The messages that earlier processes accepted must still be
//! delivered, so a process that starts waits for their log instead of serving without it.

use std::path::Path;
use std::time::{Duration, Instant};

use martenlatch_wal::{LogError, LogInspection, RecoveredState, WriteAheadLog};
use tracing::warn;

/// How long one read waits for a log that cannot be read. A start reads the log twice, and may take 30 s in total.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The time between two tries to read the log.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Spaces the tries to read the log, and limits their total time.
struct ReadRetries {
    started: Instant,
}

impl ReadRetries {
    fn new() -> ReadRetries {
        ReadRetries {
            started: Instant::now(),
        }
    }

    /// Waits until the next try. Returns false without waiting once the total time has passed.
    fn wait_for_next(&self) -> bool {
        let may_retry = self.started.elapsed() < READ_TIMEOUT;
        if may_retry {
            std::thread::sleep(READ_INTERVAL);
        }
        may_retry
    }
}

/// Reads the log in a state folder without opening it for writing. Returns an empty inspection if the log stays
/// unreadable.
pub(crate) fn inspect(state_folder: &Path) -> LogInspection {
    let retries = ReadRetries::new();
    loop {
        match LogInspection::open(state_folder) {
            Ok(log) => return log,
            Err(LogError::Read { source, .. }) if retries.wait_for_next() => {
                warn!(error = ?source.kind(), "waiting for the write-ahead log");
            }
            Err(_) => return LogInspection::default(),
        }
    }
}

/// Opens the log in a state folder, with at most `disk_limit` bytes, and recovers the state that earlier processes
/// left.
pub(crate) fn open(state_folder: &Path, disk_limit: u64) -> (WriteAheadLog, RecoveredState) {
    let retries = ReadRetries::new();
    loop {
        let (log, recovered) = WriteAheadLog::open(state_folder, disk_limit);
        if !log.failed_to_read() || !retries.wait_for_next() {
            return (log, recovered);
        }
    }
}

#[cfg(test)]
mod tests;
