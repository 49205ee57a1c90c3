//! [`Rule::Lost`]: each accepted message gets its final answer by its deadline.

use std::cmp::Reverse;

use martenlatch_clock::Millis;

use super::state::DeadlineCheck;
use super::{Judge, Rule};

/// How long after its deadline the final answer to a message may still be on its way, in milliseconds.
const REPORT_GRACE: Millis = 300.0;
/// How long after a sender is ready again its overdue final answers are excused, in milliseconds.
const GRACE_AFTER_START: Millis = 1_500.0;
/// The interval at which a message is checked again while its sender is down, in milliseconds.
const RECHECK_INTERVAL: Millis = 1_000.0;

impl Judge {
    /// Schedules a check of a message for the time when its final answer is overdue.
    pub(super) fn schedule_deadline_check(&mut self, id: u64, deadline: Millis) {
        let check = DeadlineCheck::new(deadline + REPORT_GRACE, id);
        self.deadline_checks.push(Reverse(check));
    }

    /// Checks all messages whose final answers are overdue by now.
    pub(super) fn check_deadlines(&mut self, now: Millis) {
        while let Some(Reverse(check)) = self.deadline_checks.peek().copied()
            && check.at() < now
        {
            self.deadline_checks.pop();
            self.check_deadline(check, now);
        }
    }

    fn check_deadline(&mut self, check: DeadlineCheck, now: Millis) {
        let id = check.message;
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        let answered = message.delivered.is_some() || message.report.is_some();
        if answered || message.accepted != Some(true) {
            message.deadline_checked = true;
            self.remove_if_finished(id);
            return;
        }
        let sender = message.sender;
        let excused_until = self.excused_until.get(&sender).copied().unwrap_or(0.0);
        if excused_until.is_infinite() {
            let recheck = DeadlineCheck::new(now + RECHECK_INTERVAL, id);
            self.deadline_checks.push(Reverse(recheck));
            return;
        }
        if excused_until > check.at() {
            let recheck = DeadlineCheck::new(excused_until, id);
            self.deadline_checks.push(Reverse(recheck));
            return;
        }
        message.deadline_checked = true;
        let deadline = message.deadline;
        let text = format!(
            "accepted by sender {sender}, no final answer by its deadline at {deadline:.1} ms"
        );
        self.record_breach(Rule::Lost, Some(id), check.at(), text);
        self.remove_if_finished(id);
    }

    /// Excuses overdue answers of a sender that is down or shutting down, until it is ready again.
    pub(super) fn excuse(&mut self, sender: u32) {
        self.excused_until.insert(sender, f64::INFINITY);
    }

    /// Excuses overdue answers of a sender that is ready again for a short time.
    pub(super) fn excuse_after_start(&mut self, sender: u32, at: Millis) {
        self.excused_until.insert(sender, at + GRACE_AFTER_START);
    }
}
