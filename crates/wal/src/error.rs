//! Errors of opening a log. Failed appends are reported by the return value of the append instead.

use std::io;
use std::path::PathBuf;

/// Why a log could not be inspected or continued.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LogError {
    /// The state folder does not exist or is not a folder.
    #[error("the path is not a folder")]
    NotAFolder {
        /// The path that was given.
        folder: PathBuf,
    },
    /// The log file could not be read.
    #[error("the log file cannot be read: {source}")]
    Read {
        /// The log file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The log file could not be opened for writing.
    #[error("the log file cannot be opened for writing: {source}")]
    Reopen {
        /// The log file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The log file's size differs from the one that the predecessor process passed on.
    #[error(
        "the log file has {found} bytes instead of the {expected} that the predecessor process passed on"
    )]
    SizeChanged {
        /// The log file.
        path: PathBuf,
        /// The size that the predecessor process passed on, in bytes.
        expected: u64,
        /// The size found, in bytes.
        found: u64,
    },
}
