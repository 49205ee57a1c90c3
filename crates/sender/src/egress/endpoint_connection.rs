//! A connection to an endpoint and the exchange on it.

use std::net::SocketAddr;

use martenlatch_clock::{Millis, Nanos};
use martenlatch_http::Body;
use martenlatch_policy::interface::{EndpointId, MessageId};
use serde::{Deserialize, Serialize};

use super::attempt::ActiveAttempt;
use super::response_bytes::response_inside_another;
use super::response_history::ResponseHistory;
use crate::event_source::Connection;

/// The unread remainder of a response whose outcome has been reported.
#[derive(Clone, Serialize, Deserialize)]
pub(super) enum RemainingResponse {
    /// The head after a status line of 200, and the body that follows it.
    Head,
    /// The body.
    Body(Body),
}

/// The last byte of a request, which is held back so that the request cannot run yet.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(super) struct HeldBackByte {
    /// The byte.
    pub byte: u8,
    /// When the byte may be written; infinite until the bytes before it have been written.
    pub release_at: Millis,
}

/// A connection to an endpoint. It carries one exchange at a time.
///
/// `S` is the socket with its buffers, or its snapshot in the state for a successor process. Serialized: the order of
/// the fields is fixed.
#[derive(Serialize, Deserialize)]
pub(super) struct EndpointConnection<S = Connection> {
    /// The socket with its buffers, or its snapshot.
    pub socket: S,
    /// The endpoint at the other end.
    pub endpoint: EndpointId,
    /// The endpoint's kind, by its index in the settings.
    pub kind: usize,
    /// The address to which the connection was opened.
    pub address: SocketAddr,
    /// The attempt in flight on the connection.
    pub attempt: Option<ActiveAttempt>,
    /// Whether bytes have been written, which shows that the connection is established.
    pub connected: bool,
    /// Whether the endpoint has admitted a request on the connection.
    pub admitted: bool,
    /// The last byte of the request, while it is held back.
    pub held_back_byte: Option<HeldBackByte>,
    /// How long the connection had been idle before its latest request, if it was reused for that request.
    pub idle_before: Option<Millis>,
    /// When the connection was opened.
    pub opened_at: Millis,
    /// The unread remainder of a response whose outcome has been reported.
    pub remaining_response: Option<RemainingResponse>,
    /// When the connection became idle, or when the outcome of the response in `remaining_response` was reported.
    pub idle_since: Millis,
    /// The message whose request the connection answered last. Not passed to a successor process.
    #[serde(skip)]
    pub last_answered: Option<MessageId>,
    /// The responses so far. Not passed to a successor process.
    #[serde(skip)]
    pub history: ResponseHistory,
    /// When the last byte of the latest request was written. Not passed to a successor process.
    #[serde(skip)]
    pub sent_at: Option<Millis>,
    /// Whether the message of the latest request may be sent again anywhere. Not passed to a successor process.
    #[serde(skip)]
    pub is_repeatable: bool,
    /// Whether a copy of an earlier response was discarded since the latest request was sent. Not passed to a successor
    /// process.
    #[serde(skip)]
    pub has_discarded: bool,
    /// The longest wait that the incomplete response to the latest request has asked for so far. Not passed to a
    /// successor process.
    #[serde(skip)]
    pub noted_wait: Nanos,
    /// Whether the connection is closed once it has rested. Not passed to a successor process.
    #[serde(skip)]
    pub close_when_rested: bool,
}

impl EndpointConnection {
    /// Wraps the socket of a new connection, which is not established yet.
    pub fn new(
        socket: Connection,
        endpoint: EndpointId,
        kind: usize,
        address: SocketAddr,
        now: Millis,
    ) -> EndpointConnection {
        EndpointConnection {
            socket,
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
            last_answered: None,
            history: ResponseHistory::of_new_connection(),
            sent_at: None,
            is_repeatable: false,
            has_discarded: false,
            noted_wait: 0,
            close_when_rested: false,
        }
    }

    /// Whether the endpoint has shut down its sending side, or the connection has failed.
    pub fn is_closed(&self) -> bool {
        self.socket.eof || self.socket.broken
    }

    /// The response that begins inside the one that is being received, which then is a copy that was cut off.
    pub fn second_response(&self) -> Option<&[u8]> {
        if self.history.may_repeat() {
            response_inside_another(self.socket.bytes())
        } else {
            None
        }
    }

    /// Whether all bytes of the request have been written to an established connection.
    pub fn is_fully_sent(&self) -> bool {
        self.connected && self.held_back_byte.is_none() && self.socket.is_flushed()
    }
}

impl<S> EndpointConnection<S> {
    /// A copy of the state with another socket, or with a snapshot in place of the socket. The history of the responses
    /// stays behind.
    pub fn with_socket<T>(&self, socket: T) -> EndpointConnection<T> {
        EndpointConnection {
            socket,
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
            last_answered: self.last_answered,
            history: ResponseHistory::default(),
            sent_at: self.sent_at,
            is_repeatable: self.is_repeatable,
            has_discarded: self.has_discarded,
            noted_wait: self.noted_wait,
            close_when_rested: self.close_when_rested,
        }
    }
}
