//! Member states, the updates that members exchange about each other, and the digest of a view.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// The state of a member, as far as is known. Of two updates with the same incarnation, the one whose state comes later
/// in this order overrides the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It did not answer probes and has not refuted the suspicion yet.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether a node in this state counts as a member of the group.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// What is disseminated about one member. Only the member itself raises its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member's unique name.
    pub name: String,
    /// Where its datagrams go. It serves its knowledge of partners on the same port over TCP.
    pub address: SocketAddr,
    /// The incarnation that this update speaks of.
    pub incarnation: u64,
    /// The state of the member in that incarnation.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Whether this update replaces `known`, an update on the same member. The order is total, so that views agree
    /// whatever the order in which they merge the same updates.
    pub(super) fn overrides(&self, known: &MemberUpdate) -> bool {
        self.precedence() > known.precedence()
    }

    fn precedence(&self) -> (u64, MemberState, SocketAddr) {
        (self.incarnation, self.state, self.address)
    }

    /// This update with another state.
    pub(super) fn with_state(self, state: MemberState) -> MemberUpdate {
        MemberUpdate { state, ..self }
    }

    /// The member's part of a view's digest: a hash of name and incarnation. A digest is the XOR of the parts of all
    /// live members, and has to be the same on every machine.
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

/// A change in the view of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A member joined, or came back.
    Joined(MemberUpdate),
    /// The member of this name is suspected.
    Suspected(String),
    /// The member of this name refuted the suspicion.
    Refuted(String),
    /// The member of this name was declared dead.
    Died(String),
    /// The member of this name left.
    Left(String),
    /// The member of this name, dead or left, was removed from the view.
    Forgotten(String),
    /// Another node uses this node's name, from that address.
    NameConflict(SocketAddr),
}
