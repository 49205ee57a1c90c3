//! Performs the actions of the decision module.

use martenlatch_clock::{Millis, Nanos, millis};
use martenlatch_policy::interface::{Action, EndpointId, MessageId};
use martenlatch_wal::FinalStatus;

use super::dispatch::Attempt;
use super::driver::Driver;
use super::send_gate::SendGate;
use super::{completion, dispatch};

impl Driver {
    /// Performs the actions of a turn and sends the requests whose connections are established. A result that an action
    /// reveals, such as the Retry-After of a cancelled attempt, is processed before any request of this round is sent.
    pub(super) fn perform(&mut self, actions: Vec<Action>, now: Millis) {
        for action in actions {
            self.perform_one(action, now);
        }
        self.process_attempt_results(now);
        self.send_ready(now);
    }

    /// Performs one action.
    pub(super) fn perform_one(&mut self, action: Action, now: Millis) {
        match action {
            Action::Send {
                id,
                endpoint,
                timeout,
                latest_start,
            } => self.start_attempt(id, endpoint, timeout, latest_start, now),
            Action::Cancel { id, attempt } => self.egress.cancel(id, attempt, now),
            Action::Reject { id, retry_after } => {
                let retry_after_ms = retry_after.map(|span| millis(span).round() as u64);
                self.give_up(id, FinalStatus::Deferred(retry_after_ms), now);
            }
            Action::Fail { id } => self.give_up(id, FinalStatus::Undeliverable, now),
            // The module relies on its latest wake-up request only, which replaces all earlier ones.
            Action::WakeAfter(span) => self.decision.wake_at = Some(now + millis(span)),
            Action::CloseIdle(endpoint) => self.egress.close_idle(endpoint, now),
        }
    }

    fn start_attempt(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        timeout: Nanos,
        latest_start: Nanos,
        now: Millis,
    ) {
        let attempt = Attempt {
            id,
            non_idempotent: self.is_non_idempotent(id),
            is_repeatable: self.is_repeatable(id),
            endpoint,
            zone: self.directory.zone(endpoint),
            kind: self.directory.kind(endpoint),
            address: self.directory.address(endpoint),
            timeout: millis(timeout),
            latest_start: millis(latest_start),
        };
        dispatch::start_attempt(&attempt, &mut self.store, &mut self.egress, now);
    }

    /// Whether a message must not be sent again once an attempt may have run at an endpoint.
    fn is_non_idempotent(&self, id: MessageId) -> bool {
        let rules = &self.admission.class_rules;
        self.store
            .record(id.0)
            .is_none_or(|record| rules.is_non_idempotent(&record.class, &record.class_rules))
    }

    /// Whether a message may be sent again to any endpoint of its destination although an attempt may have run.
    fn is_repeatable(&self, id: MessageId) -> bool {
        let rules = &self.admission.class_rules;
        self.store
            .record(id.0)
            .is_some_and(|record| rules.may_repeat_anywhere(&record.class, &record.class_rules))
    }

    /// Whether a message must not be repeated anywhere and has a rejection that is not settled.
    fn may_have_run_unsettled(&self, id: MessageId) -> bool {
        let message = self.store.messages.get(&id.0);
        message.is_some_and(|message| !message.unsettled_rejections.is_empty())
            && !self.is_repeatable(id)
    }

    /// Sends the requests whose connections are established, as far as the safety rules permit.
    pub(super) fn send_ready(&mut self, now: Millis) {
        let gate = SendGate {
            class_rules: &self.admission.class_rules,
            directory: &self.directory,
            retry_after_table: &self.retry_after_table,
            violations: &self.violations,
        };
        dispatch::send_ready(&mut self.store, &mut self.egress, &gate, now);
    }

    /// Ends a message as undelivered. Its requests that are not completely written are withdrawn.
    pub(super) fn give_up(&mut self, id: MessageId, status: FinalStatus, now: Millis) {
        // A deferred message is handed in again, so none that must not be repeated may have run.
        let status = if self.may_have_run_unsettled(id) {
            FinalStatus::Undeliverable
        } else {
            status
        };
        completion::give_up(id, status, &mut self.store, &mut self.status_reporter);
        self.withdraw_incomplete(id, now);
    }

    /// Withdraws the requests of an ended message that are not completely written.
    pub(super) fn withdraw_incomplete(&mut self, id: MessageId, now: Millis) {
        if self.store.has_attempts_in_flight(id.0) {
            self.egress.withdraw_incomplete(id, now);
        }
    }
}
