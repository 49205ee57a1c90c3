//! A connection to an endpoint, with the exchange that it carries.

use std::net::SocketAddr;

use martenlatch_clock::Millis;
use martenlatch_http::Body;
use martenlatch_policy::interface::EndpointId;
use serde::{Deserialize, Serialize};

use super::attempt::ActiveAttempt;
use crate::event_source::Connection;

/// What is still to be read of a response whose outcome has been reported.
#[derive(Clone, Serialize, Deserialize)]
pub(super) enum RemainingResponse {
    /// Its head, behind a status line of 200, and the body that the head announces.
    Head,
    Body(Body),
}

/// The last byte of a request, held back so that the request cannot run yet.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(super) struct HeldBackByte {
    /// The byte.
    pub byte: u8,
    /// The instant from which it may be written; infinite until the bytes before it have been written.
    pub release_at: Millis,
}

/// A connection to an endpoint. It carries one exchange at a time.
///
/// `L` is the connection itself, or its snapshot when it is passed to a successor process. Serialized: the order of
/// the fields is fixed.
#[derive(Serialize, Deserialize)]
pub(super) struct EndpointConnection<L = Connection> {
    /// The connection, or its snapshot.
    pub connection: L,
    /// The endpoint it leads to.
    pub endpoint: EndpointId,
    /// The endpoint's kind, by its index in the settings.
    pub kind: usize,
    /// The endpoint's address when it was opened.
    pub address: SocketAddr,
    /// The attempt in flight on it.
    pub attempt: Option<ActiveAttempt>,
    /// Bytes have been written to it: it is established.
    pub connected: bool,
    /// The endpoint has admitted a request on it.
    pub admitted: bool,
    /// The last byte of the request, while it is held back.
    pub held_back_byte: Option<HeldBackByte>,
    /// How long it had been idle when its request came, if it had carried one before.
    pub idle_before: Option<Millis>,
    /// When it was opened.
    pub opened_at: Millis,
    /// What is still to be read of a response whose outcome has been reported.
    pub remaining_response: Option<RemainingResponse>,
    /// When it became idle, or when the outcome of the response that remains was reported.
    pub idle_since: Millis,
}

impl EndpointConnection {
    /// A new connection, which is not established yet.
    pub fn new(
        connection: Connection,
        endpoint: EndpointId,
        kind: usize,
        address: SocketAddr,
        now: Millis,
    ) -> EndpointConnection {
        EndpointConnection {
            connection,
            endpoint,
            kind,
            address,
            attempt: None,
            connected: false,
            admitted: false,
            held_back_byte: None,
            idle_before: None,
            opened_at: now,
            remaining_response: None,
            idle_since: now,
        }
    }

    /// The endpoint has ended its sending, or the connection is gone.
    pub fn is_closed(&self) -> bool {
        self.connection.eof || self.connection.broken
    }

    /// All bytes of the request have been written to an established connection.
    pub fn is_fully_sent(&self) -> bool {
        self.connected && self.held_back_byte.is_none() && self.connection.is_flushed()
    }
}

impl<L> EndpointConnection<L> {
    /// The same state around another connection, or around its snapshot.
    pub fn with_connection<M>(&self, connection: M) -> EndpointConnection<M> {
        EndpointConnection {
            connection,
            endpoint: self.endpoint,
            kind: self.kind,
            address: self.address,
            attempt: self.attempt,
            connected: self.connected,
            admitted: self.admitted,
            held_back_byte: self.held_back_byte,
            idle_before: self.idle_before,
            opened_at: self.opened_at,
            remaining_response: self.remaining_response.clone(),
            idle_since: self.idle_since,
        }
    }
}
