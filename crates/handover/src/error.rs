//! Why a transfer of state failed.

use std::io;

/// Why a transfer of state failed, on either side.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum HandoverError {
    /// The time for the transfer ran out.
    #[error("the other process was silent")]
    TimedOut,
    /// The connection failed, or the other process closed it.
    #[error("{0}")]
    Connection(io::ErrorKind),
    /// The stream could not be prepared for the transfer.
    #[error("{0}")]
    Stream(io::Error),
    /// The state is larger than a transfer may be.
    #[error("too much to pass")]
    TooLarge {
        /// Bytes of the state.
        bytes: usize,
        /// Its descriptors.
        descriptors: usize,
    },
    /// The kernel dropped descriptors, as this process may not open that many.
    #[error("descriptors were lost on the way")]
    DescriptorsLost,
    /// The successor sent something else than its commit.
    #[error("invalid data")]
    InvalidCommit,
    /// The serving process refused to be replaced, for the reason it gave.
    #[error("{0}")]
    Refused(String),
    /// The answer to the request has no valid form, or announces a state that is too large.
    #[error("the answer cannot be read")]
    MalformedAnswer,
    /// The received state is not of the announced size.
    #[error("more or less was passed than was said")]
    SizeMismatch,
    /// The state could not be received completely.
    #[error("the hand-over broke off: {0}")]
    Interrupted(#[source] Box<HandoverError>),
}
