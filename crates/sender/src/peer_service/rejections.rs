//! Counters of rejected datagrams, requests and connections, by reason.

use martenlatch_peers::wire::FrameError;

/// The numbers of rejected datagrams, requests and connections.
#[derive(Default)]
pub(super) struct Rejections {
    /// Datagrams and requests that are not authenticated with the shared secret.
    pub(super) unauthenticated: u64,
    /// Datagrams and requests in another version of the wire format.
    pub(super) other_version: u64,
    /// Datagrams and requests that are malformed in another way.
    pub(super) malformed: u64,
    /// Connections beyond the limit on concurrent connections.
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
