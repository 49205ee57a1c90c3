//! The datagrams of the protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::member::MemberUpdate;

/// What a datagram asks for or answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Requests an [`Payload::Ack`] with the same sequence number.
    Ping {
        /// Sequence number, unique at the sender of the ping.
        sequence: u64,
    },
    /// Answers a ping.
    Ack {
        /// The sequence number of the ping.
        sequence: u64,
    },
    /// Requests that the receiver pings another member and forwards the ack.
    PingRequest {
        /// The sequence number that the forwarded ack must have.
        sequence: u64,
        /// The member to ping.
        address: SocketAddr,
    },
    /// Requests the receiver's full view.
    ViewRequest,
    /// A part of the sender's view.
    View,
}

/// One datagram, before it is sealed with the shared secret.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender, as it describes itself.
    pub from: MemberUpdate,
    /// Digest of the live members in the sender's view.
    pub view_digest: u64,
    /// What the datagram is for.
    pub payload: Payload,
    /// Piggybacked updates on other members, at most [`super::MAX_UPDATES`].
    pub updates: Vec<MemberUpdate>,
}
