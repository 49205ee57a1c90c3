//! [`Rule::OneAnswer`], as far as clients and reports are concerned: what was accepted gets one final answer.

use martenlatch_clock::Millis;

use super::state::{FinalReport, Message, OrderingKey, RepeatScope};
use super::{Judge, Rule, SLACK, TRAVEL};
use crate::experiment::Effect;

/// Answers by which a sender accepts a message.
const ACCEPTED_STATUSES: [u16; 2] = [200, 202];
/// Answers by which a sender refuses a message that it has not touched.
const SHED_STATUSES: [u16; 2] = [429, 503];

impl Judge {
    /// A client hands a message in.
    pub(super) fn handed_in(&mut self, id: u64, message: Message) {
        if let Some(key) = message.key {
            let sender = message.sender;
            let queue = self.ordered.entry(OrderingKey { sender, key });
            queue.or_default().push_back(id);
        }
        self.schedule_deadline_check(id, message.deadline);
        self.messages.insert(id, message);
    }

    /// A client has its sender's answer.
    pub(super) fn client_answered(&mut self, id: u64, status: u16, at: Millis) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        message.accepted = Some(ACCEPTED_STATUSES.contains(&status));
        let calls = message.calls;
        if calls > 0 && SHED_STATUSES.contains(&status) {
            let text = format!("{calls} calls had left for it when it was refused with {status}");
            self.breach(Rule::OneAnswer, Some(id), at, text);
        }
    }

    /// A call begins for a message that is over, or may be.
    pub(super) fn check_call_after_answer(&mut self, id: u64, at: Millis) {
        let Some(message) = self.messages.get(&id) else {
            return;
        };
        let text = if let Some(report) = message.report {
            format!("a call after its notice of {:.1} ms", report.at)
        } else if message.accepted == Some(false) {
            "a call after its client was refused".into()
        } else if let Some(delivered) = message.known_delivery()
            && at > delivered + TRAVEL + SLACK
        {
            format!("a call after its delivery at {delivered:.1} ms")
        } else {
            return;
        };
        self.breach(Rule::OneAnswer, Some(id), at, text);
    }

    /// A message was delivered.
    pub(super) fn delivered(&mut self, id: u64, at: Millis) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        message.delivered.get_or_insert(at);
        if message.report.is_some_and(|report| report.deferred) {
            let text = "served after it was given up as never run".to_string();
            self.breach(Rule::OneAnswer, Some(id), at, text);
        }
    }

    /// The platform has a status report. One on a message that is already delivered does no harm.
    pub(super) fn reported(&mut self, id: u64, deferred: bool, at: Millis) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        if message.delivered.is_some() {
            return;
        }
        if let Some(first) = message.report {
            if first.deferred != deferred {
                let first = first.at;
                let text = format!("a second and different end; the first came at {first:.1} ms");
                self.breach(Rule::OneAnswer, Some(id), at, text);
            }
            return;
        }
        message.report = Some(FinalReport { at, deferred });
        let origin = message.origin;
        let class = message.class;
        let scope = RepeatScope::Origin(origin);
        let non_idempotent = self.effect_of(class) == Some(Effect::Unsafe);
        if deferred && non_idempotent && self.may_have_run.contains_key(&scope) {
            let text = "given up as harmless to repeat, though it may have run".to_string();
            self.breach(Rule::NoSecondEffect, Some(id), at, text);
        }
        self.forget(id);
    }

    /// An endpoint has said that a message is over: nothing more is owed.
    pub(super) fn withdrawn(&mut self, id: u64, at: Millis) {
        if let Some(message) = self.messages.get_mut(&id) {
            let deferred = false;
            message.report.get_or_insert(FinalReport { at, deferred });
        }
    }
}
