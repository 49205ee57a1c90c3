//! The parts of [`Rule::OneAnswer`] on clients and status reports: each accepted message gets one final answer.

use martenlatch_clock::Millis;

use super::state::{FinalReport, Message, OrderingKey, RepeatScope};
use super::{Judge, MAX_TRAVEL_TIME, Rule, SLACK};
use crate::experiment::Effect;

/// Statuses by which a sender accepts a message.
const ACCEPTED_STATUSES: [u16; 2] = [200, 202];
/// Statuses by which a sender rejects a message without having started a call for it.
const SHED_STATUSES: [u16; 2] = [429, 503];

impl Judge {
    /// A client submits a message.
    pub(super) fn message_submitted(&mut self, id: u64, message: Message) {
        if let Some(key) = message.key {
            let sender = message.sender;
            let queue = self.ordering_queues.entry(OrderingKey { sender, key });
            queue.or_default().push_back(id);
        }
        self.schedule_deadline_check(id, message.deadline);
        self.messages.insert(id, message);
    }

    /// A client receives the answer of its sender.
    pub(super) fn client_answered(&mut self, id: u64, status: u16, at: Millis) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        message.accepted = Some(ACCEPTED_STATUSES.contains(&status));
        let calls = message.calls;
        if calls > 0 && SHED_STATUSES.contains(&status) {
            let text = format!("{calls} calls had been sent when it was rejected with {status}");
            self.record_breach(Rule::OneAnswer, Some(id), at, text);
        }
    }

    /// Checks, when a call starts, that its message has no final answer yet.
    pub(super) fn check_call_after_answer(&mut self, id: u64, at: Millis) {
        let Some(message) = self.messages.get(&id) else {
            return;
        };
        let text = if let Some(report) = message.report {
            format!("a call after its status report at {:.1} ms", report.at)
        } else if message.accepted == Some(false) {
            "a call after its client request was rejected".into()
        } else if let Some(delivered) = message.known_delivery()
            && at > delivered + MAX_TRAVEL_TIME + SLACK
        {
            format!("a call after its delivery at {delivered:.1} ms")
        } else {
            return;
        };
        self.record_breach(Rule::OneAnswer, Some(id), at, text);
    }

    /// A message was delivered.
    pub(super) fn message_delivered(&mut self, id: u64, at: Millis) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        message.delivered.get_or_insert(at);
        if message.report.is_some_and(|report| report.deferred) {
            let text = "delivered after it was reported as deferred".to_string();
            self.record_breach(Rule::OneAnswer, Some(id), at, text);
        }
    }

    /// The platform has received a status report. A report on a message that is already delivered breaks no rule.
    pub(super) fn report_received(&mut self, id: u64, deferred: bool, at: Millis) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        if message.delivered.is_some() {
            return;
        }
        if let Some(first) = message.report {
            if first.deferred != deferred {
                let first = first.at;
                let text =
                    format!("a second status report that differs from the first at {first:.1} ms");
                self.record_breach(Rule::OneAnswer, Some(id), at, text);
            }
            return;
        }
        message.report = Some(FinalReport { at, deferred });
        let origin = message.origin;
        let class = message.class;
        let scope = RepeatScope::Origin(origin);
        let non_idempotent = self.effect_of(class) == Some(Effect::Unsafe);
        if deferred && non_idempotent && self.may_have_run.contains_key(&scope) {
            let text = "reported as deferred although it may have run".to_string();
            self.record_breach(Rule::NoSecondEffect, Some(id), at, text);
        }
        self.remove_if_finished(id);
    }

    /// An endpoint has reported that a message was withdrawn or has expired, which counts as its final answer.
    pub(super) fn message_withdrawn(&mut self, id: u64, at: Millis) {
        if let Some(message) = self.messages.get_mut(&id) {
            let deferred = false;
            message.report.get_or_insert(FinalReport { at, deferred });
        }
    }
}
