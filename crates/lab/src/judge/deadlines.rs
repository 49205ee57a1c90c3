//! [`Rule::Lost`]: each accepted message gets its final answer by its deadline.

use std::cmp::Reverse;

use martenlatch_clock::Millis;

use super::state::DueCheck;
use super::{Judge, Rule};

/// After its deadline, a message's final answer may still be on the way for so long.
const REPORT_GRACE: Millis = 300.0;
/// No final answer is overdue until so long after its sender is ready again.
const GRACE_AFTER_START: Millis = 1_500.0;
/// While its sender is down, a message is looked at again after so long.
const RECHECK_INTERVAL: Millis = 1_000.0;

impl Judge {
    /// Has a message looked at once its final answer is overdue.
    pub(super) fn schedule_deadline_check(&mut self, id: u64, deadline: Millis) {
        let check = DueCheck::new(deadline + REPORT_GRACE, id);
        self.due_checks.push(Reverse(check));
    }

    /// Looks at all messages whose final answers are overdue by now.
    pub(super) fn check_deadlines(&mut self, now: Millis) {
        while let Some(Reverse(check)) = self.due_checks.peek().copied()
            && check.at() < now
        {
            self.due_checks.pop();
            self.check_deadline(check, now);
        }
    }

    fn check_deadline(&mut self, check: DueCheck, now: Millis) {
        let id = check.message;
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        let answered = message.delivered.is_some() || message.report.is_some();
        if answered || message.accepted != Some(true) {
            message.closed = true;
            self.forget(id);
            return;
        }
        let sender = message.sender;
        let excused_until = self.excused_until.get(&sender).copied().unwrap_or(0.0);
        if excused_until.is_infinite() {
            let again = DueCheck::new(now + RECHECK_INTERVAL, id);
            self.due_checks.push(Reverse(again));
            return;
        }
        if excused_until > check.at() {
            let again = DueCheck::new(excused_until, id);
            self.due_checks.push(Reverse(again));
            return;
        }
        message.closed = true;
        let deadline = message.deadline;
        let text = format!("taken on by sender {sender}, had no end by its time, {deadline:.1} ms");
        self.breach(Rule::Lost, Some(id), check.at(), text);
        self.forget(id);
    }

    /// A sender that is down, or about to be, owes no answer until it is ready again.
    pub(super) fn excuse(&mut self, sender: u32) {
        self.excused_until.insert(sender, f64::INFINITY);
    }

    /// A sender that is ready again has a moment to answer what is overdue.
    pub(super) fn excuse_after_start(&mut self, sender: u32, at: Millis) {
        self.excused_until.insert(sender, at + GRACE_AFTER_START);
    }
}
