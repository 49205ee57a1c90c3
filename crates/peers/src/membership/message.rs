//! The datagrams of the membership protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::member::MemberUpdate;

/// The purpose of a datagram, with the values that go with it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Requests a [`Payload::Ack`] with the same sequence number.
    Ping {
        /// Sequence number, unique among the pings of its sender.
        sequence: u64,
    },
    /// Answers a ping.
    Ack {
        /// The sequence number of the ping.
        sequence: u64,
    },
    /// Requests that the receiver ping another member and forward the ack.
    PingRequest {
        /// The sequence number for the forwarded ack.
        sequence: u64,
        /// The address of the member to ping.
        address: SocketAddr,
    },
    /// Requests the receiver's full view.
    ViewRequest,
    /// Carries updates only: a part of the sender's view, or recent changes of it.
    View,
}

/// A datagram before it is authenticated with the shared secret.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender's own entry.
    pub from: MemberUpdate,
    /// Digest of the live members in the sender's view.
    pub view_digest: u64,
    /// The purpose of the datagram.
    pub payload: Payload,
    /// Piggybacked updates on other members, at most [`super::MAX_UPDATES`].
    pub updates: Vec<MemberUpdate>,
}
