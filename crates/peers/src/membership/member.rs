//! Member states, the updates that members exchange about each other, and the digest of a view.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// The last known state of a member. Of two updates with the same incarnation, the one whose state comes later in this
/// order overrides the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer probes, and has not refuted the suspicion yet.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced that it leaves the group.
    Left,
}

impl MemberState {
    /// Whether this is the state of a live member. A suspect is still live.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// The disseminated state of one member. Only the member itself raises its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member's unique name.
    pub name: String,
    /// The member's address for datagrams. On the same port it serves its knowledge of partners over TCP.
    pub address: SocketAddr,
    /// The member's incarnation that this update refers to.
    pub incarnation: u64,
    /// The state of the member in that incarnation.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Whether this update replaces `known`, an update on the same member. The order is total, so that views that merge
    /// the same updates agree, in whatever order they receive them.
    pub(super) fn overrides(&self, known: &MemberUpdate) -> bool {
        self.precedence() > known.precedence()
    }

    fn precedence(&self) -> (u64, MemberState, SocketAddr) {
        (self.incarnation, self.state, self.address)
    }

    /// Returns this update with another state.
    pub(super) fn with_state(self, state: MemberState) -> MemberUpdate {
        MemberUpdate { state, ..self }
    }

    /// The member's contribution to the digest of a view: a hash of its name and incarnation. The digest is the XOR of
    /// the contributions of all live members, and must be the same on every machine.
    pub(super) fn digest_contribution(&self) -> u64 {
        let incarnation = self.incarnation.to_le_bytes();
        self.name
            .bytes()
            .chain(incarnation)
            .fold(FNV_OFFSET_BASIS, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
            })
    }
}

/// A change in a member's view of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A member joined, or came back.
    Joined(MemberUpdate),
    /// The member with this name is suspected.
    Suspected(String),
    /// The member with this name refuted the suspicion.
    Refuted(String),
    /// The member with this name was declared dead.
    Died(String),
    /// The member with this name left the group.
    Left(String),
    /// The member with this name, which had died or left, was removed from the view.
    Forgotten(String),
    /// Another node, at this address, uses the local member's name.
    NameConflict(SocketAddr),
}
