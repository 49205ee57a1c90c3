//! Bytes that an endpoint sends while no request is in flight on the connection.

use martenlatch_policy::interface::{EndpointId, MessageId};

use super::endpoint_connection::EndpointConnection;

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
}

impl SurplusBytes {
    /// The unread bytes of a connection on which no request is in flight; `None` if there are none.
    pub(super) fn on(connection: &EndpointConnection) -> Option<SurplusBytes> {
        let length = connection.socket.bytes().len();
        let is_idle = connection.attempt.is_none() && connection.remaining_response.is_none();
        (is_idle && length > 0).then_some(SurplusBytes {
            endpoint: connection.endpoint,
            last_answered: connection.last_answered,
            length,
        })
    }
}
