//! Counts of what was rejected, by reason.

use martenlatch_peers::wire::FrameError;

/// How many datagrams, requests and connections were rejected.
#[derive(Default)]
pub(super) struct Rejections {
    /// Not authenticated with the shared secret.
    pub(super) unauthenticated: u64,
    /// Of another version of the wire format.
    pub(super) other_version: u64,
    /// Malformed in another way.
    pub(super) malformed: u64,
    /// Connections over their limit.
    pub(super) connections: u64,
}

impl Rejections {
    /// Counts a rejected datagram or request.
    pub(super) fn count(&mut self, error: FrameError) {
        match error {
            FrameError::NotAuthenticated => self.unauthenticated += 1,
            FrameError::UnsupportedVersion => self.other_version += 1,
            FrameError::Incomplete
            | FrameError::TooLong
            | FrameError::UnexpectedKind
            | FrameError::Malformed => self.malformed += 1,
        }
    }
}
