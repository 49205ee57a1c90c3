//! Errors of opening a log; failed appends are reported by the result of the append itself.

use std::io;
use std::path::PathBuf;

/// Why a log could not be inspected or continued.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LogError {
    /// The state folder does not exist or is no folder.
    #[error("not a folder")]
    NotAFolder {
        /// The path that was given.
        folder: PathBuf,
    },
    /// The log file could not be read.
    #[error("{source}")]
    Read {
        /// The log file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The log file could not be opened for writing.
    #[error("{source}")]
    Reopen {
        /// The log file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The log file's size is not the one that the previous process passed on.
    #[error("the ledger is not as it was left")]
    SizeChanged {
        /// The log file.
        path: PathBuf,
        /// Bytes that the previous process had written.
        expected: u64,
        /// Bytes found.
        found: u64,
    },
}
