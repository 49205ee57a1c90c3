//! One exchange on a connection: writing the request, reading the response up to its outcome, and then the rest of the
//! response.

use martenlatch_clock::Millis;
use martenlatch_http::{self as http, Body};
use martenlatch_policy::interface::Outcome;
use tracing::debug;

use super::attempt::AttemptResult;
use super::attempt_end::{EndCause, EndedAttempt};
use super::connection_scarcity::ResponseObservation;
use super::endpoint_connection::{EndpointConnection, RemainingResponse};
use super::gone::{GONE_STATUS, MessageGone};
use super::known_responses::ReceivedResponse;
use super::response::{
    RemainderProgress, ResponseClassification, ResponseProgress, read_remainder, read_response,
};
use super::response_bytes::bytes_of;
use super::response_history::{AnsweredAttempt, Evidence, ObservedResponse, Settlement};
use super::surplus_bytes::SurplusBytes;
use super::timeouts::RESPONSE_COMPLETION_TIMEOUT;
use super::{Egress, LAST_BYTE_DELAY};

impl Egress {
    /// Advances an exchange as far as possible without blocking: writes, reads, and reports the outcome. Returns
    /// whether there may be more to read.
    pub(super) fn advance(&mut self, slot: usize, now: Millis) -> bool {
        let has_more = self.transfer(slot, now);
        let connection = &mut self.connections[slot];
        if let Some(fully_sent) = connection.attempt.map(|attempt| attempt.fully_sent) {
            match read_response(connection, fully_sent) {
                ResponseProgress::Pending => {
                    limit_response_time(connection, now);
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
                ResponseProgress::Received(response) if self.discard_copy(slot, &response) => {
                    return true;
                }
                // If the discarded one was the real response after all, this one is a copy.
                ResponseProgress::Received(response)
                    if self.connections[slot].has_discarded && response.status != 200 =>
                {
                    self.end_exchange(slot, EndCause::MixedResponses, now);
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
    fn discard_copy(&mut self, slot: usize, response: &http::Response) -> bool {
        let connection = &mut self.connections[slot];
        let Some(bytes) = bytes_of(response, connection.socket.bytes()) else {
            return false;
        };
        let is_copy = response.status == 200
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
            is_closed: false,
            retry_after: 0,
            repeats_rejection: false,
        };
        self.connections.surplus.push(surplus);
        true
    }

    /// Reports the outcome of an attempt whose response has been received.
    fn finish_attempt(&mut self, slot: usize, response: http::Response, now: Millis) {
        let connection = &mut self.connections[slot];
        let Some(attempt) = connection.attempt.take() else {
            return;
        };
        let classification = ResponseClassification::of(&response);
        let received = connection.socket.bytes();
        let complete = bytes_of(&response, received);
        let observed = ObservedResponse {
            attempt: &attempt,
            bytes: ReceivedResponse {
                received,
                head: &received[..response.consumed],
                complete,
                is_head_consumed: true,
                is_followed: complete.is_some_and(|bytes| bytes.len() < received.len()),
            },
            rejects: classification.outcome.never_ran(),
        };
        let rejects = observed.rejects;
        let carried_another = connection.history.may_repeat();
        let evidence = match connection.history.observe(observed) {
            // Whatever was rejected, a request whose last byte was not written never ran.
            Evidence::Uncertain if rejects && !attempt.fully_sent => Evidence::Certain,
            evidence => evidence,
        };
        if response.status == 200 && complete.is_some() && carried_another {
            let is_distinct = evidence == Evidence::Certain;
            self.response_times
                .record_success(connection.endpoint, is_distinct);
        }
        let gone = match evidence {
            _ if response.status != GONE_STATUS => MessageGone::No,
            Evidence::Certain => MessageGone::Certainly,
            Evidence::Uncertain => MessageGone::Possibly,
        };
        connection.socket.consume(response.consumed);
        // After a response to an incompletely written request, the connection cannot be reused.
        let reusable = response.keep_alive
            && connection.socket.is_flushed()
            && connection.held_back_byte.is_none();
        let body = if reusable {
            response.body
        } else {
            Body::UntilClose
        };
        connection.remaining_response = Some(RemainingResponse::Body(body));
        connection.idle_since = now;
        connection.last_answered = Some(attempt.id);
        let idle_before = connection.idle_before;
        debug!(
            slot,
            number = attempt.id.0,
            attempt = attempt.attempt,
            status = response.status,
            reusable,
            behind_head = connection.socket.bytes().len(),
            ?evidence,
            "response read"
        );
        self.results.push(AttemptResult {
            endpoint: Some(connection.endpoint),
            gone,
            evidence,
            ..attempt.result(classification.outcome, now)
        });
        self.note_answered(slot, &attempt, evidence, rejects, now);
        self.record_response(idle_before);
        self.record_admission(
            slot,
            matches!(classification.outcome, Outcome::Overloaded { .. }),
            classification.retry_after > 0,
            now,
        );
    }

    /// Reports the success of an attempt whose response so far has a status line of 200 and an incomplete head. The
    /// connection is kept, so that a response that arrives in pieces does not cost a new connection.
    fn finish_by_status_line(&mut self, slot: usize, now: Millis) {
        let connection = &mut self.connections[slot];
        let closed = connection.is_closed();
        let Some(attempt) = connection
            .attempt
            .take_if(|attempt| attempt.fully_sent && !closed)
        else {
            return self.end_exchange(slot, EndCause::SuccessStatusLine, now);
        };
        let evidence = connection.history.observe(ObservedResponse {
            attempt: &attempt,
            bytes: ReceivedResponse {
                received: connection.socket.bytes(),
                head: connection.socket.bytes(),
                complete: None,
                is_head_consumed: false,
                is_followed: false,
            },
            rejects: false,
        });
        connection.remaining_response = Some(RemainingResponse::Head);
        connection.idle_since = now;
        connection.last_answered = Some(attempt.id);
        let idle_before = connection.idle_before;
        debug!(
            slot,
            number = attempt.id.0,
            attempt = attempt.attempt,
            ?evidence,
            "status line read"
        );
        self.results.push(AttemptResult {
            evidence,
            ..attempt.result(Outcome::Success, now)
        });
        self.note_answered(slot, &attempt, evidence, false, now);
        self.record_response(idle_before);
        self.record_admission(slot, false, false, now);
    }

    /// Closes a connection and reports the outcome of the attempt on it, if it carries one.
    pub(super) fn end_exchange(&mut self, slot: usize, cause: EndCause, now: Millis) {
        let may_be_repeated = self.connections.get(slot).is_some_and(|connection| {
            let history = &connection.history;
            history.may_repeat() && history.begins_like_earlier(connection.socket.bytes())
        });
        let Some(connection) = self.connections.remove(slot, now) else {
            return;
        };
        let Some(attempt) = connection.attempt else {
            return;
        };
        if connection.has_discarded && cause != EndCause::MixedResponses {
            // What was discarded may have been the real response.
            self.response_times
                .record_success(connection.endpoint, false);
        }
        let received = connection.socket.bytes();
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
            flushed: connection.socket.is_flushed(),
            last_byte_held_back: connection.held_back_byte.is_some(),
            fully_sent: attempt.fully_sent,
            response_begun: !received.is_empty(),
            status_line_is_200: http::starts_with_status_200(received),
            idle_before: connection.idle_before,
            started_at: attempt.started_at,
            ended_at: now,
        }
        .classify();
        if let Some(idle_time) = end.stale_after {
            self.stale_connections.record_stale(idle_time);
        }
        if end.connection_lost {
            self.resets.record_reset();
        }
        let is_uncertain = may_be_repeated && end.outcome == Outcome::Success;
        if !is_uncertain {
            self.results.push(attempt.result(end.outcome, now));
            return;
        }
        self.results.push(AttemptResult {
            evidence: Evidence::Uncertain,
            ..attempt.result(end.outcome, now)
        });
        self.settlements.push(Settlement::Doubtful(AnsweredAttempt {
            id: attempt.id,
            attempt: attempt.attempt,
        }));
    }

    /// Records that a connection has carried a response; `idle_before` is its idle time before the request, if it was
    /// reused.
    fn record_response(&mut self, idle_before: Option<Millis>) {
        self.resets.record_response();
        if let Some(idle_time) = idle_before {
            self.stale_connections.record_response(idle_time);
        }
    }

    /// Records whether the endpoint has admitted or rejected a request. If a rejection shows that its kind lacks spare
    /// connections, the idle connections to endpoints of that kind are closed.
    fn record_admission(
        &mut self,
        slot: usize,
        rejected: bool,
        retry_after_given: bool,
        now: Millis,
    ) {
        let connection = &mut self.connections[slot];
        let kind = connection.kind;
        let response = ResponseObservation {
            reused: connection.admitted,
            rejected,
            retry_after_given,
        };
        connection.admitted |= !rejected;
        self.scarcity.record(kind, response);
        if rejected && self.scarcity.is_scarce(kind) {
            self.connections
                .close_idle_matching(now, |idle| idle.kind == kind);
        }
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
