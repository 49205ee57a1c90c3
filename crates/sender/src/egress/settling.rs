//! When a response counts that could be a copy of an earlier one: once its connection has rested without another one.

use martenlatch_clock::Millis;

use super::Egress;
use super::attempt::ActiveAttempt;
use super::response_history::{Evidence, SettlementTimes};
use super::snapshot::unread_exchange;
use super::surplus_bytes::SurplusBytes;
use super::tracked_response::{AnsweredAttempt, Settlement};

impl Egress {
    /// Notes that a response has ended an attempt: an uncertain one has to be settled.
    pub(super) fn note_answered(
        &mut self,
        slot: usize,
        attempt: &ActiveAttempt,
        evidence: Evidence,
        rejects: bool,
        now: Millis,
    ) {
        let connection = &mut self.connections[slot];
        let sent_at = connection.sent_at.unwrap_or(attempt.started_at);
        let is_final = rejects && !connection.is_repeatable;
        let rest = self.response_times.rest(connection.endpoint, is_final, now);
        let long_rest = self.response_times.long_rest(connection.endpoint);
        let times = SettlementTimes {
            rests_until: sent_at + rest,
            doubted_until: sent_at + long_rest,
        };
        let answered = AnsweredAttempt {
            id: attempt.id,
            attempt: attempt.attempt,
        };
        connection
            .history
            .answered(answered, evidence, times, is_final);
        self.response_times
            .record(connection.endpoint, now - sent_at);
        let connections = &self.connections;
        self.response_times.prune(|endpoint| {
            connections
                .iter()
                .any(|connection| connection.endpoint == endpoint)
        });
    }

    /// Settles the responses of an idle connection that has rested and on which nothing has arrived.
    pub(super) fn settle_if_rested(&mut self, slot: usize, now: Millis) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        if connection.history.rests_until().is_none() || !connection.history.is_rested(now) {
            return;
        }
        // While rejections are repeated, silence does not prove that a request never ran.
        let is_doubtful = connection.history.is_final()
            && self
                .response_times
                .repeats_rejections(connection.endpoint, now);
        self.settlements.extend(if is_doubtful {
            connection.history.doubt()
        } else {
            connection.history.settle()
        });
        if connection.close_when_rested {
            self.connections.remove(slot, now);
        }
    }

    /// Takes the bytes that endpoints have sent on idle connections. The connections are closed.
    pub fn take_surplus(&mut self, now: Millis) -> Vec<SurplusBytes> {
        let surplus = std::mem::take(&mut self.connections.surplus);
        for bytes in &surplus {
            self.response_times
                .record_surplus(bytes.endpoint, bytes.repeats_rejection, now);
        }
        surplus
    }

    /// Whether any endpoint has sent surplus bytes recently.
    pub fn has_recent_surplus(&self, now: Millis) -> bool {
        self.response_times.has_recent_surplus(now)
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
