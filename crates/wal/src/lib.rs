//! The sender's write-ahead log.
//!
//! The log lasts in the sender's state folder and holds every accepted message, each delivery attempt before its first
//! byte is sent, proofs that an attempt never ran, final statuses, and the ids of closed messages. After a restart,
//! [`WriteAheadLog::open`] recovers from it what is still owed.
//!
//! The log never loses a record whose write succeeded, and together with the file of a running compaction it stays
//! within the disk limit it was opened with. A log that is full or unwritable rejects new messages; it never stops
//! the program.
//!
//! Only a process that dies can tear a record, and only the last one: recovery stops there and cuts the tail. A write
//! survives SIGKILL once the kernel has taken it, so the file is never synced.

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
