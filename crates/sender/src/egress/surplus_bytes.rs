//! Bytes that an endpoint sends while no request is in flight on the connection, or behind a copy of an earlier response.

use martenlatch_clock::{Millis, Nanos};
use martenlatch_policy::interface::{EndpointId, MessageId};

use super::endpoint_connection::EndpointConnection;
use super::response::longest_retry_after;

/// Bytes that belong to no request in flight. HTTP matches responses to requests by their order only, so the connection
/// cannot carry another request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SurplusBytes {
    /// The endpoint that sent them.
    pub endpoint: EndpointId,
    /// The message whose request was answered last on the connection.
    pub last_answered: Option<MessageId>,
    /// How many bytes had been read.
    pub length: usize,
    /// How long after the last response on the connection they were found, in milliseconds.
    pub delay: Millis,
    /// How long nothing may be sent to the endpoint's destination, if the bytes are a response that may ask for this
    /// for the first time; else zero.
    pub retry_after: Nanos,
    /// Whether the connection is closed for them; not if they are certainly a copy.
    pub is_closed: bool,
    /// Whether the bytes repeat an earlier rejection.
    pub repeats_rejection: bool,
}

impl SurplusBytes {
    /// The unread bytes of a connection that belong to no request in flight, or of which it is unknown where the response
    /// begins; `None` if there are none.
    pub(super) fn on(connection: &EndpointConnection, now: Millis) -> Option<SurplusBytes> {
        let follows_copy = bytes_behind_copy(connection);
        let bytes = follows_copy.unwrap_or(unread_surplus(connection));
        if bytes.is_empty() {
            return None;
        }
        let history = &connection.history;
        let may_be_response = follows_copy.is_some() && connection.attempt.is_some();
        let asks_to_wait = may_be_response || history.may_ask_to_wait(bytes);
        Some(SurplusBytes {
            endpoint: connection.endpoint,
            last_answered: connection.last_answered,
            length: bytes.len(),
            delay: now - connection.idle_since,
            is_closed: true,
            repeats_rejection: !follows_discarded(connection)
                && history.repeats_rejection(connection.socket.bytes()),
            retry_after: if asks_to_wait {
                longest_retry_after(bytes)
            } else {
                0
            },
        })
    }
}

/// The bytes that follow a copy of an earlier response, which was discarded or cut off, in the same exchange.
fn bytes_behind_copy(connection: &EndpointConnection) -> Option<&[u8]> {
    if follows_discarded(connection) {
        Some(connection.socket.bytes())
    } else {
        connection.second_response()
    }
}

fn follows_discarded(connection: &EndpointConnection) -> bool {
    connection.attempt.is_some() && connection.has_discarded
}

/// The bytes of a connection that belong to no request in flight.
pub(super) fn unread_surplus(connection: &EndpointConnection) -> &[u8] {
    let awaits_response = connection.attempt.is_some_and(|attempt| attempt.fully_sent);
    if awaits_response || connection.remaining_response.is_some() {
        &[]
    } else {
        connection.socket.bytes()
    }
}
