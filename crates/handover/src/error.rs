//! The errors of a transfer of state.

use std::io;

/// Why a transfer of state failed, on either side.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum HandoverError {
    /// The time for the transfer ran out.
    #[error("the transfer timed out")]
    TimedOut,
    /// The connection failed, or the other process closed it.
    #[error("the connection failed: {0}")]
    Connection(io::ErrorKind),
    /// The stream could not be prepared for the transfer.
    #[error("the socket cannot be prepared for the transfer: {0}")]
    Stream(io::Error),
    /// The state exceeds the limits of a transfer.
    #[error("the state is too large to transfer: {bytes} bytes and {descriptors} descriptors")]
    TooLarge {
        /// Size of the state in bytes.
        bytes: usize,
        /// Number of its descriptors.
        descriptors: usize,
    },
    /// The kernel dropped descriptors because this process may not open that many.
    #[error("the kernel dropped descriptors of the state")]
    DescriptorsLost,
    /// The successor sent something other than its commit.
    #[error("the successor did not send a valid commit")]
    InvalidCommit,
    /// The serving process refused to be replaced, for this reason.
    #[error("{0}")]
    Refused(String),
    /// The answer to the request is malformed, or announces a state that is too large.
    #[error("the answer of the serving process is invalid")]
    MalformedAnswer,
    /// The received state is not of the announced size.
    #[error("the received state does not have the announced size")]
    SizeMismatch,
    /// The state could not be received completely.
    #[error("the transfer was interrupted: {0}")]
    Interrupted(#[source] Box<HandoverError>),
}
