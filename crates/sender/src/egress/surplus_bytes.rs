//! Bytes that an endpoint sends while no request is in flight on the connection.

use martenlatch_clock::Nanos;
use martenlatch_http as http;
use martenlatch_policy::interface::{EndpointId, MessageId};

use super::endpoint_connection::EndpointConnection;
use super::response::retry_after;

/// Bytes that belong to no request in flight. HTTP matches responses to requests by their order only, so the connection
/// cannot carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SurplusBytes {
    /// The endpoint that sent them.
    pub endpoint: EndpointId,
    /// The message whose request was answered last on the connection.
    pub last_answered: Option<MessageId>,
    /// How many bytes had been read.
    pub length: usize,
    /// How long nothing may be sent to the endpoint's destination, if the bytes are a response that may ask for this
    /// for the first time; else zero.
    pub retry_after: Nanos,
    /// Whether the connection is closed for them; not if they are certainly a copy.
    pub is_closed: bool,
    /// Whether the bytes repeat an earlier rejection.
    pub repeats_rejection: bool,
}

impl SurplusBytes {
    /// The unread bytes of a connection on which no request has been sent; `None` if there are none.
    pub(super) fn on(connection: &EndpointConnection) -> Option<SurplusBytes> {
        let bytes = unread_surplus(connection);
        if bytes.is_empty() {
            return None;
        }
        let asks_to_wait = connection.history.may_ask_to_wait(bytes);
        let response = http::parse_response(bytes).ok().flatten();
        Some(SurplusBytes {
            endpoint: connection.endpoint,
            last_answered: connection.last_answered,
            length: bytes.len(),
            is_closed: true,
            repeats_rejection: connection.history.repeats_rejection(bytes),
            retry_after: response
                .filter(|_| asks_to_wait)
                .map_or(0, |response| retry_after(&response)),
        })
    }
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
