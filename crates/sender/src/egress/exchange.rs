//! One exchange on a connection: the request out, the response in, and the rest of the response behind its outcome.

use martenlatch_clock::Millis;
use martenlatch_http::{self as http, Body};
use martenlatch_policy::interface::Outcome;
use tracing::debug;

use super::attempt::AttemptResult;
use super::attempt_end::{EndCause, EndedAttempt};
use super::connection_scarcity::ConnectionResponse;
use super::endpoint_connection::{EndpointConnection, RemainingResponse};
use super::response::{
    RemainderProgress, ResponseMeaning, ResponseProgress, read_remainder, read_response,
};
use super::timeouts::RESPONSE_BODY_TIMEOUT;
use super::{Egress, LAST_BYTE_DELAY};

impl Egress {
    /// Takes an exchange as far as it goes now: writes, reads, and reports the outcome. Returns whether there may be
    /// more to read.
    pub(super) fn progress(&mut self, slot: usize, now: Millis) -> bool {
        let has_more = self.transfer(slot, now);
        let connection = &mut self.connections[slot];
        if let Some(fully_sent) = connection.attempt.map(|attempt| attempt.fully_sent) {
            match read_response(connection, fully_sent) {
                ResponseProgress::Pending => {
                    limit_response_time(connection, now);
                    return has_more;
                }
                ResponseProgress::Informational { consumed } => {
                    connection.connection.consume(consumed);
                    return true;
                }
                ResponseProgress::Ended(cause) => {
                    self.end_exchange(slot, cause, now);
                    return false;
                }
                ResponseProgress::Received(response) => self.finish_attempt(slot, response, now),
                ResponseProgress::SuccessStatusLine => self.finish_by_status_line(slot, now),
            }
        }
        if !self.connections.contains(slot) {
            return false;
        }
        self.read_rest_of_response(slot, now);
        has_more && self.connections.contains(slot)
    }

    /// Writes and reads what the socket takes and gives. Returns whether there may be more to read.
    fn transfer(&mut self, slot: usize, now: Millis) -> bool {
        let connection = &mut self.connections[slot];
        if connection.connection.corked
            && connection.connection.is_connected()
            && !self.established.contains(&slot)
        {
            self.established.push(slot);
        }
        connection.connection.flush();
        connection.connected |= connection.connection.written > 0;
        let has_more = connection.connection.receive();
        release_held_back_byte(connection, now);
        let fully_sent = connection.is_fully_sent();
        if let Some(attempt) = connection.attempt.as_mut()
            && !attempt.fully_sent
            && fully_sent
        {
            attempt.fully_sent = true;
            self.sent_messages.push(attempt.id);
        }
        has_more
    }

    /// Reports the outcome of an attempt whose response has come.
    fn finish_attempt(&mut self, slot: usize, response: http::Response, now: Millis) {
        let connection = &mut self.connections[slot];
        let Some(attempt) = connection.attempt.take() else {
            return;
        };
        connection.connection.consume(response.consumed);
        // After a response that came before the whole request was out, the connection cannot carry another one.
        let reusable = response.keep_alive
            && connection.connection.is_flushed()
            && connection.held_back_byte.is_none();
        let meaning = ResponseMeaning::of(&response);
        let body = if reusable {
            response.body
        } else {
            Body::UntilClose
        };
        connection.remaining_response = Some(RemainingResponse::Body(body));
        connection.idle_since = now;
        let idle_before = connection.idle_before;
        debug!(
            slot,
            number = attempt.id.0,
            attempt = attempt.attempt,
            status = response.status,
            reusable,
            behind_head = connection.connection.bytes().len(),
            "response read"
        );
        self.results.push(AttemptResult {
            endpoint: Some(connection.endpoint),
            message_finished: meaning.message_finished,
            ..attempt.result(meaning.outcome, now)
        });
        self.record_response(idle_before);
        self.record_admission(
            slot,
            matches!(meaning.outcome, Outcome::Overloaded { .. }),
            meaning.retry_after > 0,
        );
    }

    /// Reports success of an attempt whose response has a status line of 200, while the rest of its head is still to
    /// come. The connection is kept, which saves opening another one after each response that comes in pieces.
    fn finish_by_status_line(&mut self, slot: usize, now: Millis) {
        let connection = &mut self.connections[slot];
        let closed = connection.is_closed();
        let Some(attempt) = connection
            .attempt
            .take_if(|attempt| attempt.fully_sent && !closed)
        else {
            return self.end_exchange(slot, EndCause::SuccessStatusLine, now);
        };
        connection.remaining_response = Some(RemainingResponse::Head);
        connection.idle_since = now;
        let idle_before = connection.idle_before;
        debug!(
            slot,
            number = attempt.id.0,
            attempt = attempt.attempt,
            "status line read"
        );
        self.results.push(attempt.result(Outcome::Success, now));
        self.record_response(idle_before);
        self.record_admission(slot, false, false);
    }

    /// Closes a connection, and reports the outcome of the attempt on it, if there is one.
    pub(super) fn end_exchange(&mut self, slot: usize, cause: EndCause, now: Millis) {
        let Some(connection) = self.connections.remove(slot) else {
            return;
        };
        let Some(attempt) = connection.attempt else {
            return;
        };
        let received = connection.connection.bytes();
        debug!(
            slot,
            number = attempt.id.0,
            attempt = attempt.attempt,
            ?cause,
            received = received.len(),
            "exchange ended"
        );
        let end = EndedAttempt {
            cause,
            connected: connection.connected,
            flushed: connection.connection.is_flushed(),
            last_byte_held_back: connection.held_back_byte.is_some(),
            fully_sent: attempt.fully_sent,
            response_begun: !received.is_empty(),
            status_line_is_200: http::starts_with_status_200(received),
            idle_before: connection.idle_before,
            started_at: attempt.started_at,
            ended_at: now,
        }
        .classify();
        if let Some(idle) = end.stale_after {
            self.stale_connections.record_stale(idle);
        }
        if end.connection_lost {
            self.resets.record_reset();
        }
        self.results.push(attempt.result(end.outcome, now));
    }

    /// A connection has carried a response, after being idle for so long if it was reused.
    fn record_response(&mut self, idle_before: Option<Millis>) {
        self.resets.record_response();
        if let Some(idle) = idle_before {
            self.stale_connections.record_response(idle);
        }
    }

    /// Takes account of what a response says of the endpoint's spare connections. Where there are none, idle
    /// connections to endpoints of its kind are closed.
    fn record_admission(&mut self, slot: usize, rejected: bool, retry_after_given: bool) {
        let connection = &mut self.connections[slot];
        let kind = connection.kind;
        let response = ConnectionResponse {
            reused: connection.admitted,
            rejected,
            retry_after_given,
        };
        connection.admitted |= !rejected;
        self.scarcity.record(kind, response);
        if rejected && self.scarcity.is_scarce(kind) {
            self.connections.close_idle_where(|idle| idle.kind == kind);
        }
    }

    /// Reads the rest of a response, and puts the connection among the idle ones, or closes it.
    fn read_rest_of_response(&mut self, slot: usize, now: Millis) {
        let connection = &mut self.connections[slot];
        match read_remainder(connection) {
            RemainderProgress::Pending => {}
            // Where connections are scarce, an idle one keeps another sender's request out.
            RemainderProgress::Done if self.scarcity.is_scarce(connection.kind) => {
                self.connections.remove(slot);
            }
            RemainderProgress::Done => {
                if connection.remaining_response.take().is_some() {
                    self.connections.mark_idle(slot, now);
                }
            }
            RemainderProgress::Unusable => {
                self.connections.remove(slot);
            }
        }
    }
}

/// Writes the last byte of a request, if it was held back and its time has come.
fn release_held_back_byte(connection: &mut EndpointConnection, now: Millis) {
    let others_sent =
        connection.connected && connection.connection.is_flushed() && !connection.connection.corked;
    let closed = connection.is_closed();
    let Some(held_back) = connection.held_back_byte.as_mut().filter(|_| others_sent) else {
        return;
    };
    held_back.release_at = held_back.release_at.min(now + LAST_BYTE_DELAY);
    if now < held_back.release_at || closed {
        return;
    }
    // Where no buffer is free it is tried again after the delay, and not in a busy loop.
    held_back.release_at = now + LAST_BYTE_DELAY;
    if connection.connection.queue(&[held_back.byte]) {
        connection.held_back_byte = None;
        connection.connection.flush();
    }
}

/// Once a response has begun it must soon be complete: one that never ends would hold a connection for all of the
/// attempt's time.
fn limit_response_time(connection: &mut EndpointConnection, now: Millis) {
    if connection.connection.bytes().is_empty() {
        return;
    }
    if let Some(attempt) = connection.attempt.as_mut() {
        attempt.deadline = attempt.deadline.min(now + RESPONSE_BODY_TIMEOUT);
    }
}
