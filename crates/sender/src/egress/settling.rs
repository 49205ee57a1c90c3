//! When a response counts that could be a copy of an earlier one: once its connection has rested without another one. An
//! early success counts only once its endpoint has answered another request as well.

use martenlatch_clock::Millis;
use martenlatch_policy::interface::{EndpointId, MessageId, Outcome};

use super::Egress;
use super::attempt::ActiveAttempt;
use super::response_history::Evidence;
use super::snapshot::unread_exchange;
use super::surplus_bytes::SurplusBytes;
use super::tracked_response::{AnsweredAttempt, Settlement, SettlementTerms};

/// How often it is asked whether an endpoint with an early success has answered another request.
const RECHECK_INTERVAL: Millis = 100.0;

impl Egress {
    /// Notes that a response has ended an attempt: an uncertain one has to be settled.
    pub(super) fn note_answered(
        &mut self,
        slot: usize,
        attempt: &ActiveAttempt,
        evidence: Evidence,
        outcome: Outcome,
        now: Millis,
    ) {
        let connection = &self.connections[slot];
        let endpoint = connection.endpoint;
        let sent_at = connection.sent_at.unwrap_or(attempt.started_at);
        let took = (now - sent_at).max(0.0);
        let is_repeatable = connection.is_repeatable;
        let is_final = outcome.never_ran() && !is_repeatable;
        let success_took = (outcome == Outcome::Success).then_some(took);
        let is_early = success_took.is_some_and(|took| self.answer_times.is_early(endpoint, took));
        // By then the real response would have come, if the endpoint had gone on to answer.
        let due_at = now.max(sent_at + self.response_times.slowest(endpoint));
        let terms = SettlementTerms {
            rests_until: sent_at + self.response_times.rest(endpoint, is_final, now),
            doubted_until: sent_at + self.response_times.long_rest(endpoint),
            success_took,
            answer_needed_after: is_early.then_some(due_at),
            is_final,
            is_repeatable,
        };
        let answered = AnsweredAttempt {
            id: attempt.id,
            attempt: attempt.attempt,
        };
        let history = &mut self.connections[slot].history;
        history.answered(answered, evidence, terms);
        self.response_times.record(endpoint, took);
        self.answer_times.record_answer(endpoint, now);
        if evidence == Evidence::Certain
            && let Some(took) = success_took
        {
            self.answer_times.record_success(endpoint, took);
        }
        self.forget_unconnected();
    }

    /// Forgets what is known of endpoints without connections, if there are many.
    fn forget_unconnected(&mut self) {
        let connections = &self.connections;
        let is_connected = |endpoint: EndpointId| {
            connections
                .iter()
                .any(|connection| connection.endpoint == endpoint)
        };
        self.response_times.prune(is_connected);
        self.answer_times.prune(is_connected);
    }

    /// How long a connection carries no request behind a response, although that was certain: where endpoints repeat
    /// their responses, a copy of it may still be on its way.
    pub(super) fn reuse_rest(&self, now: Millis) -> Millis {
        if self.response_times.has_recent_surplus(now) {
            self.copy_delays.rest()
        } else {
            0.0
        }
    }

    /// Settles the responses of an idle connection that has rested and on which nothing has arrived.
    pub(super) fn settle_if_rested(&mut self, slot: usize, now: Millis) {
        self.settle_rested_responses(slot, now);
        let must_close = self.connections.get(slot).is_some_and(|connection| {
            connection.close_when_rested && connection.history.rests_until().is_none()
        });
        if must_close {
            self.connections.remove(slot, now);
        }
    }

    /// Settles the responses of a connection that has rested and on which nothing has arrived, also if a request is in
    /// flight on it.
    pub(super) fn settle_rested_responses(&mut self, slot: usize, now: Millis) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        let endpoint = connection.endpoint;
        let history = &mut connection.history;
        if history.rests_until().is_none() || !history.has_rested_until(now) {
            return;
        }
        // While rejections are repeated, silence does not prove that a request never ran.
        let is_repeated_rejection =
            history.is_final() && self.response_times.repeats_rejections(endpoint, now);
        let lacks_answer = history
            .answer_needed_after()
            .is_some_and(|instant| !self.answer_times.has_answered_since(endpoint, instant));
        // Also if an answer is lacking: nothing has contradicted this time, and an endpoint that answers so quickly on used
        // connections only would be doubted each time.
        for took in history.unsettled_success_times() {
            self.answer_times.record_success(endpoint, took);
        }
        if lacks_answer && !history.is_all_repeatable() {
            history.rest_until(now + RECHECK_INTERVAL);
            return;
        }
        self.settlements
            .extend(if is_repeated_rejection || lacks_answer {
                history.doubt()
            } else {
                history.settle()
            });
    }

    /// Takes the bytes that endpoints have sent on idle connections. The connections are closed.
    pub fn take_surplus(&mut self, now: Millis) -> Vec<SurplusBytes> {
        let surplus = std::mem::take(&mut self.connections.surplus);
        for bytes in &surplus {
            self.response_times
                .record_surplus(bytes.endpoint, bytes.repeats_rejection, now);
            self.copy_delays.record(bytes.delay);
        }
        surplus
    }

    /// Whether any endpoint has sent surplus bytes recently.
    pub fn has_recent_surplus(&self, now: Millis) -> bool {
        self.response_times.has_recent_surplus(now)
    }

    /// Whether the success of a message is early, and the endpoint has answered nothing behind it.
    pub fn lacks_answer_behind(&self, id: MessageId) -> bool {
        self.connections
            .iter()
            .any(|connection| connection.history.needs_answer_for(id))
    }

    /// Takes what became of uncertain responses.
    pub fn take_settlements(&mut self) -> Vec<Settlement> {
        let mut settlements = std::mem::take(&mut self.settlements);
        settlements.append(&mut self.connections.settlements);
        settlements
    }

    /// Whether the caller has not taken everything that was found out: results, settlements, surplus bytes, waits.
    pub fn has_findings(&self) -> bool {
        !self.results.is_empty()
            || !self.settlements.is_empty()
            || !self.requested_waits.is_empty()
            || !self.connections.settlements.is_empty()
            || !self.connections.surplus.is_empty()
    }

    /// Puts the responses in doubt that a successor process cannot read again.
    pub fn doubt_for_replacement(&mut self) {
        for (_, connection) in &mut self.connections.slots {
            let is_latest_readable = unread_exchange(connection).is_some();
            let history = &mut connection.history;
            self.settlements.extend(if is_latest_readable {
                history.doubt_before_latest()
            } else {
                history.contest_and_doubt()
            });
        }
    }
}
