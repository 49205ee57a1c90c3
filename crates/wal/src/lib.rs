//! The sender's write-ahead log.
//!
//! The log file is kept in the sender's state folder. It records every accepted message, each delivery attempt before
//! its first byte is sent, attempts that are proven never to have run, final statuses, and the ids of closed messages.
//! After a restart, [`WriteAheadLog::open`] recovers the messages that still need a delivery or a status report.
//!
//! The log never loses a record whose write succeeded. Together with the new file of a running compaction, it stays
//! within the disk limit it was opened with. A log that is full or unwritable rejects new messages; it never stops
//! the program.
//!
//! A record is torn only if the process dies while writing it, so only the last record of a file can be torn: recovery
//! stops there and cuts the tail off. A write survives SIGKILL once the kernel has accepted it, so the file is never
//! synced.

mod codec;
mod compaction;
mod error;
mod inspection;
mod log_file;
mod recently_closed;
mod record;
mod recovery;
mod space;
mod write_ahead_log;

#[cfg(test)]
mod tests;

pub use error::LogError;
pub use inspection::LogInspection;
pub use recently_closed::RecentlyClosed;
pub use record::{AttemptRecord, FinalStatus, MAX_ATTEMPTS, MessageRecord};
pub use recovery::RecoveredState;
pub use write_ahead_log::{LogPosition, WriteAheadLog};
