//! Counts of what was rejected, by reason.

use martenlatch_peers::wire::Fault;

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
    pub(super) fn count(&mut self, fault: Fault) {
        match fault {
            Fault::Key => self.unauthenticated += 1,
            Fault::Version => self.other_version += 1,
            Fault::Short | Fault::Long | Fault::Kind | Fault::Form => self.malformed += 1,
        }
    }
}
