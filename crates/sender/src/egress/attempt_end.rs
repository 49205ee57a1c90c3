//! The outcome of an attempt that ends without a complete response: a pure function of what was written and what
//! came back.

use martenlatch_clock::Millis;
use martenlatch_policy::interface::Outcome;

/// A reused connection that ends this soon under a new request, in milliseconds and without a byte of a response, was
/// stale before the request.
pub const STALE_DETECTION_WINDOW: Millis = 50.0;

/// Why an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// The request was withdrawn before its first byte.
    Withdrawn,
    /// The decision module called the attempt off.
    Cancelled,
    /// The attempt, or the setting up of its connection, took too long.
    TimedOut,
    /// The connection ended without a response.
    ConnectionLost,
    /// What came is no complete HTTP response.
    MalformedResponse,
    /// A response of 200 came before the request had been sent: it belongs to an earlier request.
    PrematureSuccess,
    /// The status line says 200, and the connection ended behind it.
    SuccessStatusLine,
}

impl EndCause {
    /// The outcome if the whole request had been sent, so that it may have run.
    fn outcome_if_sent(self) -> Outcome {
        match self {
            EndCause::Withdrawn => Outcome::NotSent,
            EndCause::Cancelled => Outcome::Cancelled,
            EndCause::TimedOut => Outcome::TimedOut,
            EndCause::ConnectionLost => Outcome::ConnectionLost,
            EndCause::MalformedResponse | EndCause::PrematureSuccess => Outcome::Failure,
            EndCause::SuccessStatusLine => Outcome::Success,
        }
    }

    /// The outcome if a part of the request had not been sent, so that it cannot have run.
    fn outcome_if_unsent(self) -> Outcome {
        match self {
            EndCause::TimedOut | EndCause::ConnectionLost | EndCause::MalformedResponse => {
                Outcome::Unreachable
            }
            EndCause::Withdrawn
            | EndCause::Cancelled
            | EndCause::PrematureSuccess
            | EndCause::SuccessStatusLine => Outcome::NotSent,
        }
    }
}

/// What had been written and received when an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt {
    /// Why the attempt ended.
    pub cause: EndCause,
    /// The connection was established.
    pub connected: bool,
    /// Nothing of the request waited in the output buffer.
    pub flushed: bool,
    /// The last byte of the request was still held back.
    pub last_byte_held_back: bool,
    /// The last byte of the request was known to be written when the connection was looked at last.
    pub fully_sent: bool,
    /// At least one byte of a response had come.
    pub response_begun: bool,
    /// A whole status line had come, and says 200.
    pub status_line_is_200: bool,
    /// How long the connection had been idle before the request, if it was reused.
    pub idle_before: Option<Millis>,
    /// When the attempt was started, in milliseconds.
    pub started_at: Millis,
    /// When it ended, in milliseconds.
    pub ended_at: Millis,
}

/// What the end of an attempt says about it and about its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndClassification {
    /// How the attempt ended, for the decision module.
    pub outcome: Outcome,
    /// The connection was lost under the request.
    pub connection_lost: bool,
    /// The connection was stale; how long it had been idle.
    pub stale_after: Option<Millis>,
}

impl EndedAttempt {
    /// Judges the end of an attempt.
    pub fn classify(&self) -> EndClassification {
        let connection_lost = self.cause == EndCause::ConnectionLost;
        let stale_after = self.idle_before.filter(|_| self.is_stale());
        EndClassification {
            outcome: self.outcome(stale_after.is_some()),
            connection_lost,
            stale_after,
        }
    }

    /// A connection that was closed or dropped while idle, by the endpoint or on the way, ends at once under the next
    /// request. This must not be taken for a fault of the endpoint: one that has gone shows on a new connection.
    fn is_stale(&self) -> bool {
        self.cause == EndCause::ConnectionLost
            && self.idle_before.is_some()
            && !self.response_begun
            && self.ended_at < self.started_at + STALE_DETECTION_WINDOW
    }

    fn outcome(&self, stale: bool) -> Outcome {
        // A malformed response must not have a message repeated, or called failed, that its status line has confirmed.
        if self.fully_sent && self.status_line_is_200 {
            return Outcome::Success;
        }
        let sent = self.flushed && self.connected && !self.last_byte_held_back;
        match sent {
            true if stale => Outcome::StaleConnection,
            true if self.cause == EndCause::TimedOut && self.response_begun => Outcome::Failure,
            true => self.cause.outcome_if_sent(),
            false if stale => Outcome::NotSent,
            // The connection was established, and its end says nothing of the endpoint.
            false if self.connected && self.last_byte_held_back => Outcome::NotSent,
            false => self.cause.outcome_if_unsent(),
        }
    }
}
