//! Reading what has arrived for a message before a byte is sent for it.
//!
//! The process may have been held up since it last read its connections. An answer to another attempt of the message, or
//! a further one behind an uncertain answer, may have arrived meanwhile and say that the message is over.

use martenlatch_clock::Millis;
use martenlatch_policy::interface::MessageId;

use super::Egress;
use super::endpoint_connection::EndpointConnection;

impl Egress {
    /// Reads the connections with the other attempts of the message for which a connection is about to send a byte.
    /// Returns whether anything concerning the message has to be processed before.
    pub(super) fn read_other_attempts(&mut self, slot: usize, now: Millis) -> bool {
        let attempt = self
            .connections
            .get(slot)
            .and_then(|connection| connection.attempt);
        let Some(id) = attempt.map(|attempt| attempt.id) else {
            return false;
        };
        let others = self
            .connections
            .find_slots(|connection| may_receive_answer(connection, id));
        for other in others {
            if other != slot && self.connections.contains(other) {
                self.advance(other, now);
            }
        }
        self.has_unprocessed(id)
    }

    /// Whether a result or a settlement of an attempt of the message, or any requested wait, has not been taken.
    fn has_unprocessed(&self, id: MessageId) -> bool {
        let mut settlements = self.settlements.iter().chain(&self.connections.settlements);
        !self.requested_waits.is_empty()
            || self.results.iter().any(|result| result.id == id)
            || settlements.any(|settlement| settlement.is_against_sending(id))
    }

    /// Whether the rest of a request, of which bytes have been sent, must not be sent before something else has been
    /// processed.
    pub(super) fn must_not_complete_request(&mut self, slot: usize, now: Millis) -> bool {
        let is_partly_sent = self.connections.get(slot).is_some_and(|connection| {
            let is_sending = !connection.socket.corked && connection.socket.written > 0;
            is_sending
                && connection
                    .attempt
                    .is_some_and(|attempt| !attempt.fully_sent)
        });
        is_partly_sent && self.read_other_attempts(slot, now)
    }
}

/// Whether an answer that concerns the message may arrive on a connection.
fn may_receive_answer(connection: &EndpointConnection, id: MessageId) -> bool {
    match connection.attempt {
        Some(attempt) if attempt.id == id => attempt.fully_sent,
        _ => connection.history.has_unsettled(id),
    }
}
