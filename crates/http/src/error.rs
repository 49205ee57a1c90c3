//! The error of this crate.

/// Input that is not a valid HTTP response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed HTTP response")]
pub struct MalformedResponse;
