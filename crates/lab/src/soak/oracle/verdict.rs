//! The oracle's results: violations, and the figures of a soak.

use std::fmt;

use martenlatch_clock::Millis;

/// A rule that the oracle checks. The soak prints the names of the variants, and `planted/play` matches them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// An accepted message was neither delivered nor reported in time.
    Lost,
    /// A message was reported as undelivered well after its delivery.
    TwoEnds,
    /// A request was sent after the end of its message.
    ForwardedAfterEnd,
    /// A request was sent for a message that had been rejected, which promises its client that it has no effect.
    ForwardedAfterRejection,
    /// A request was sent after the deadline of its message.
    ForwardedLate,
    /// A non-idempotent message was sent again after it may have run.
    RepeatedNonIdempotent,
    /// A message with an idempotency key was sent again after its idempotency window.
    RepeatedOutsideWindow,
    /// A message whose key is valid in one zone only was sent to another zone after it may have run.
    RepeatedInOtherZone,
    /// The body or the idempotency key of a request was not that of its message.
    Altered,
    /// A request was sent before the end of a retry-after.
    RetryAfterIgnored,
    /// A request was sent to a draining endpoint.
    SentToDraining,
    /// A client's request was read, and its connection ended without an answer.
    ReadAndDropped,
    /// The connection of a client that stopped in the middle of its request stayed open for too long.
    BadClientIgnored,
    /// A process ended without a signal, or ended with a failure after SIGTERM.
    Crashed,
    /// A process did not become ready in time.
    NotReady,
    /// A process did not exit in time after SIGTERM.
    ExitedLate,
    /// A sender's log shows a defect.
    LoggedDefect,
}

/// A rule that was broken, when and by which sender.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was broken.
    pub at: Millis,
    /// The sender.
    pub sender: usize,
    /// The id of the message; empty if the violation concerns none.
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

/// Figures of a soak, printed in its last line.
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
    /// Of these, messages that never reached an endpoint and were reported more than two seconds before their deadline.
    pub ended_early: usize,
    /// Process starts beyond the first one of each sender.
    pub restarts: usize,
    /// Requests whose clients gave up waiting for an answer.
    pub timed_out: usize,
}
