//! What the oracle finds: broken rules, and the figures of a soak.

use std::fmt;

use martenlatch_clock::Millis;

/// A rule that a soak can find broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// An accepted message had no final answer in its time.
    Lost,
    /// A message was reported as undelivered well after it had been delivered.
    TwoEnds,
    /// A request came after the end of its message.
    ForwardedAfterEnd,
    /// A request came for a message whose client was told that it had no effect.
    ForwardedAfterRejection,
    /// A request came after the deadline of its message.
    ForwardedLate,
    /// A non-idempotent message came again after it may have run.
    RepeatedNonIdempotent,
    /// A keyed message came again after its key was forgotten.
    RepeatedOutsideWindow,
    /// A message whose key holds in one zone came to another one after it may have run.
    RepeatedInOtherZone,
    /// Body or key were not those of the message.
    Altered,
    /// A request came before the end of a wait.
    RetryAfterIgnored,
    /// A request came to an endpoint that drains.
    SentToDraining,
    /// A request was read, and its connection ended without an answer.
    ReadAndDropped,
    /// A client that stopped in the middle of its request was kept for too long.
    BadClientIgnored,
    /// A process ended by itself.
    Crashed,
    /// A process did not become ready in its time.
    NotReady,
    /// A process did not end in its time.
    ExitedLate,
    /// A sender's log tells of a defect.
    LoggedDefect,
}

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was broken.
    pub at: Millis,
    /// The sender.
    pub sender: usize,
    /// The message; empty if the rule concerns none.
    pub message: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:?} at {:.1} n{} {}",
            self.rule, self.at, self.sender, self.message
        )
    }
}

/// Figures of a soak, for its last line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Messages submitted.
    pub requests: usize,
    /// Messages accepted.
    pub accepted: usize,
    /// Messages delivered.
    pub delivered: usize,
    /// Messages ended by a status report.
    pub reported: usize,
    /// Of these, messages that no endpoint had seen and whose deadline was over two seconds away.
    pub ended_early: usize,
    /// Starts of processes behind the first ones.
    pub restarts: usize,
    /// Requests whose clients waited in vain.
    pub timed_out: usize,
}
