//! The end of an attempt: its result, and what its end shows of the connection and the endpoint.

use martenlatch_clock::Millis;
use martenlatch_http::{self as http, Body};
use martenlatch_policy::interface::Outcome;
use tracing::debug;

use super::Egress;
use super::attempt::AttemptResult;
use super::attempt_end::{EndCause, EndedAttempt};
use super::connection_scarcity::ResponseObservation;
use super::endpoint_connection::RemainingResponse;
use super::gone::{GONE_STATUS, MessageGone};
use super::known_responses::ReceivedResponse;
use super::response::{ResponseClassification, SUCCESS_STATUS};
use super::response_bytes::bytes_of;
use super::response_history::{Evidence, ObservedResponse};
use super::tracked_response::{AnsweredAttempt, Settlement};

impl Egress {
    /// Reports the outcome of an attempt whose response has been received.
    pub(super) fn finish_attempt(&mut self, slot: usize, response: http::Response, now: Millis) {
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
        let evidence_of_bytes = connection.history.observe(observed);
        let evidence = match evidence_of_bytes {
            // Whatever was rejected, a request whose last byte was not written never ran.
            Evidence::Uncertain if rejects && !attempt.fully_sent => Evidence::Certain,
            evidence => evidence,
        };
        if response.status == SUCCESS_STATUS && complete.is_some() && carried_another {
            let is_distinct = evidence == Evidence::Certain;
            self.response_times
                .record_success(connection.endpoint, is_distinct);
        }
        let gone = match (complete, evidence_of_bytes) {
            _ if response.status != GONE_STATUS => MessageGone::No,
            (Some(_), Evidence::Certain) => MessageGone::Certainly,
            _ => MessageGone::Possibly,
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
        self.settlements
            .extend(connection.history.contest_earlier(gone));
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
        self.note_answered(slot, &attempt, evidence, classification.outcome, now);
        self.record_response(idle_before);
        self.record_admission(
            slot,
            matches!(classification.outcome, Outcome::Overloaded { .. }),
            classification.retry_after > 0,
            now,
        );
    }

    /// Reports the outcome of an attempt whose response so far has a status line of 200 or 410 and an incomplete head.
    /// The connection is kept, so that a response that arrives in pieces does not cost a new connection.
    pub(super) fn finish_by_status_line(&mut self, slot: usize, status: u16, now: Millis) {
        let connection = &mut self.connections[slot];
        let closed = connection.is_closed();
        let is_gone = status == GONE_STATUS;
        let (cause, outcome, gone) = if is_gone {
            (
                EndCause::IncompleteGone,
                Outcome::NotSent,
                MessageGone::Possibly,
            )
        } else {
            (
                EndCause::SuccessStatusLine,
                Outcome::Success,
                MessageGone::No,
            )
        };
        let Some(attempt) = connection
            .attempt
            .take_if(|attempt| attempt.fully_sent && !closed)
        else {
            return self.end_exchange(slot, cause, now);
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
            rejects: is_gone,
        });
        self.settlements
            .extend(connection.history.contest_earlier(gone));
        connection.remaining_response = Some(RemainingResponse::Head);
        connection.idle_since = now;
        connection.last_answered = Some(attempt.id);
        let idle_before = connection.idle_before;
        debug!(
            slot,
            number = attempt.id.0,
            attempt = attempt.attempt,
            ?evidence,
            status,
            "status line read"
        );
        self.results.push(AttemptResult {
            gone,
            evidence,
            ..attempt.result(outcome, now)
        });
        self.note_answered(slot, &attempt, evidence, outcome, now);
        self.record_response(idle_before);
        self.record_admission(slot, false, false, now);
    }

    /// Closes a connection and reports the outcome of the attempt on it, if it carries one.
    pub(super) fn end_exchange(&mut self, slot: usize, cause: EndCause, now: Millis) {
        self.note_requested_wait(slot);
        let Some(connection) = self.connections.get(slot) else {
            return;
        };
        let is_silent = connection.socket.bytes().is_empty()
            && !connection.is_closed()
            && !connection.has_discarded;
        if is_silent {
            // Nothing has followed the earlier responses, as if the connection had been idle.
            self.settle_rested_responses(slot, now);
        }
        let Some(connection) = self.connections.get(slot) else {
            return;
        };
        let history = &connection.history;
        let gone = history.gone_by(connection.socket.bytes());
        let may_be_repeated =
            history.may_repeat() && history.begins_like_earlier(connection.socket.bytes());
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
            status_line_is_200: http::starts_with_status(received, SUCCESS_STATUS),
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
        let evidence = if is_uncertain {
            Evidence::Uncertain
        } else {
            Evidence::Certain
        };
        self.results.push(AttemptResult {
            gone,
            evidence,
            ..attempt.result(end.outcome, now)
        });
        if !is_uncertain {
            return;
        }
        self.settlements.push(Settlement::Doubtful {
            answered: AnsweredAttempt {
                id: attempt.id,
                attempt: attempt.attempt,
            },
            gone: MessageGone::No,
        });
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
}
