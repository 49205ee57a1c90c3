//! One exchange on a connection: writing the request, reading the response up to its outcome, and then the rest of the
//! response.

use martenlatch_clock::Millis;
use martenlatch_http as http;

use super::attempt_end::EndCause;
use super::endpoint_connection::EndpointConnection;
use super::response::{
    RemainderProgress, ResponseProgress, SUCCESS_STATUS, read_remainder, read_response,
};
use super::response_bytes::bytes_of;
use super::surplus_bytes::SurplusBytes;
use super::timeouts::RESPONSE_COMPLETION_TIMEOUT;
use super::{Egress, LAST_BYTE_DELAY};

impl Egress {
    /// Advances an exchange as far as possible without blocking: writes, reads, and reports the outcome. Returns
    /// whether there may be more to read.
    pub(super) fn advance(&mut self, slot: usize, now: Millis) -> bool {
        if self.must_not_complete_request(slot, now) {
            return true;
        }
        let has_more = self.transfer(slot, now);
        let connection = &mut self.connections[slot];
        if let Some(fully_sent) = connection.attempt.map(|attempt| attempt.fully_sent) {
            match read_response(connection, fully_sent) {
                ResponseProgress::Pending => {
                    limit_response_time(connection, now);
                    self.note_requested_wait(slot);
                    return has_more;
                }
                ResponseProgress::Informational { consumed } => {
                    connection.socket.consume(consumed);
                    return true;
                }
                ResponseProgress::Ended(cause) => {
                    self.end_exchange(slot, cause, now);
                    return false;
                }
                ResponseProgress::Received(response) if self.discard_copy(slot, &response, now) => {
                    return true;
                }
                // If the discarded one was the real response after all, this one is a copy.
                ResponseProgress::Received(response)
                    if self.connections[slot].has_discarded
                        && response.status != SUCCESS_STATUS =>
                {
                    self.end_exchange(slot, EndCause::MixedResponses, now);
                    return false;
                }
                ResponseProgress::Received(response) => self.finish_attempt(slot, response, now),
                ResponseProgress::StatusLine { status } => {
                    self.finish_by_status_line(slot, status, now);
                }
            }
        }
        if !self.connections.contains(slot) {
            return false;
        }
        self.read_rest_of_response(slot, now);
        has_more && self.connections.contains(slot)
    }

    /// Writes and reads as much as the socket allows. Returns whether there may be more to read.
    fn transfer(&mut self, slot: usize, now: Millis) -> bool {
        let connection = &mut self.connections[slot];
        if connection.socket.corked
            && connection.socket.is_connected()
            && !self.awaiting_permission.contains(&slot)
        {
            self.awaiting_permission.push(slot);
        }
        connection.socket.flush();
        connection.connected |= connection.socket.written > 0;
        let has_more = connection.socket.receive();
        release_held_back_byte(connection, now);
        let fully_sent = connection.is_fully_sent();
        if let Some(attempt) = connection.attempt.as_mut()
            && !attempt.fully_sent
            && fully_sent
        {
            attempt.fully_sent = true;
            connection.sent_at = Some(now);
            self.sent_messages.push(attempt.id);
        }
        has_more
    }

    /// Discards a success that is certainly a copy of an earlier one, as all successes of the endpoint differ. The real
    /// response is still to come.
    fn discard_copy(&mut self, slot: usize, response: &http::Response, now: Millis) -> bool {
        let connection = &mut self.connections[slot];
        let Some(bytes) = bytes_of(response, connection.socket.bytes()) else {
            return false;
        };
        let is_copy = response.status == SUCCESS_STATUS
            && connection.history.has_carried(bytes)
            && self
                .response_times
                .has_distinct_successes(connection.endpoint);
        if !is_copy {
            return false;
        }
        let length = bytes.len();
        connection.socket.consume(length);
        connection.has_discarded = true;
        let surplus = SurplusBytes {
            endpoint: connection.endpoint,
            last_answered: connection.last_answered,
            length,
            delay: now - connection.idle_since,
            is_closed: false,
            retry_after: 0,
            repeats_rejection: false,
        };
        self.connections.surplus.push(surplus);
        true
    }

    /// Reads the rest of a response. Once it is complete, the connection becomes idle or is closed.
    fn read_rest_of_response(&mut self, slot: usize, now: Millis) {
        loop {
            let connection = &mut self.connections[slot];
            let has_remainder = connection.remaining_response.is_some();
            match read_remainder(connection) {
                RemainderProgress::Pending => return,
                RemainderProgress::Unusable => {
                    self.connections.remove(slot, now);
                    return;
                }
                RemainderProgress::Done if !has_remainder => return,
                RemainderProgress::Done => {}
            }
            connection.remaining_response = None;
            let is_followed = !connection.socket.bytes().is_empty();
            let settlements = connection.history.complete_rest(is_followed);
            self.settlements.extend(settlements);
            let is_scarce = self.scarcity.is_scarce(connection.kind);
            let rests = connection.history.rests_until().is_some();
            // Bytes behind the response end the connection, which the next pass does.
            let is_empty = connection.socket.bytes().is_empty();
            // While connections are scarce, an idle one would exclude another sender.
            if is_scarce && !rests && is_empty {
                self.connections.remove(slot, now);
                return;
            }
            connection.close_when_rested |= is_scarce;
            self.connections.mark_idle(slot, now);
        }
    }
}

/// Writes the held-back last byte of a request once its delay has passed.
fn release_held_back_byte(connection: &mut EndpointConnection, now: Millis) {
    let bytes_before_sent =
        connection.connected && connection.socket.is_flushed() && !connection.socket.corked;
    let closed = connection.is_closed();
    let Some(held_back) = connection
        .held_back_byte
        .as_mut()
        .filter(|_| bytes_before_sent)
    else {
        return;
    };
    held_back.release_at = held_back.release_at.min(now + LAST_BYTE_DELAY);
    if now < held_back.release_at || closed {
        return;
    }
    // If no buffer is free, the next try comes after the delay, not in a busy loop.
    held_back.release_at = now + LAST_BYTE_DELAY;
    if connection.socket.queue(&[held_back.byte]) {
        connection.held_back_byte = None;
        connection.socket.flush();
    }
}

/// Limits the time for a response that has begun: one that never ends would occupy the connection until the attempt
/// times out.
fn limit_response_time(connection: &mut EndpointConnection, now: Millis) {
    if connection.socket.bytes().is_empty() {
        return;
    }
    if let Some(attempt) = connection.attempt.as_mut() {
        attempt.deadline = attempt.deadline.min(now + RESPONSE_COMPLETION_TIMEOUT);
    }
}
