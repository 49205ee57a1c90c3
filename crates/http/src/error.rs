//! The error of this crate.

/// Input that is not a valid HTTP response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the HTTP response is malformed")]
pub struct MalformedResponse;
