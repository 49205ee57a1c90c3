//! The outcome of an attempt that ends without a complete response, as a pure function of the bytes that were written
//! and received.

use martenlatch_clock::Millis;
use martenlatch_policy::interface::Outcome;

/// A reused connection counts as stale, that is, as lost before the request, if it ends within this time after the start
/// of the attempt and without a byte of a response. In milliseconds.
pub(super) const STALE_DETECTION_WINDOW: Millis = 50.0;

/// Why an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndCause {
    /// The request was withdrawn before its last byte was written.
    Withdrawn,
    /// The decision module cancelled the attempt.
    Cancelled,
    /// The attempt, or establishing its connection, exceeded its time limit.
    TimedOut,
    /// The connection ended without a response.
    ConnectionLost,
    /// The received bytes are not a valid and complete HTTP response.
    MalformedResponse,
    /// A response with status 200 arrived before the request had been sent: it belongs to an earlier request.
    PrematureSuccess,
    /// The received bytes are the beginning of an earlier response and another one behind it: which of them belongs to
    /// the request is unknown.
    MixedResponses,
    /// A status line of 200 was received, but the request had not been sent completely or the connection has ended.
    SuccessStatusLine,
    /// The same with a status line of 410, after which no request may follow.
    IncompleteGone,
}

impl EndCause {
    /// The outcome if the request had been sent completely, so that it may have run.
    fn outcome_if_sent(self) -> Outcome {
        match self {
            EndCause::Withdrawn => Outcome::NotSent,
            EndCause::Cancelled => Outcome::Cancelled,
            EndCause::TimedOut => Outcome::TimedOut,
            EndCause::ConnectionLost => Outcome::ConnectionLost,
            EndCause::MalformedResponse
            | EndCause::MixedResponses
            | EndCause::PrematureSuccess
            | EndCause::IncompleteGone => Outcome::Failure,
            EndCause::SuccessStatusLine => Outcome::Success,
        }
    }

    /// The outcome if the request had not been sent completely, so that it cannot have run.
    fn outcome_if_unsent(self) -> Outcome {
        match self {
            EndCause::TimedOut | EndCause::ConnectionLost | EndCause::MalformedResponse => {
                Outcome::Unreachable
            }
            EndCause::Withdrawn
            | EndCause::Cancelled
            | EndCause::MixedResponses
            | EndCause::PrematureSuccess
            | EndCause::SuccessStatusLine
            | EndCause::IncompleteGone => Outcome::NotSent,
        }
    }
}

/// The state of an attempt and its connection when the attempt ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedAttempt {
    /// Why the attempt ended.
    pub cause: EndCause,
    /// Whether the connection was established.
    pub connected: bool,
    /// Whether the output buffer was empty.
    pub flushed: bool,
    /// Whether the last byte of the request was still held back.
    pub last_byte_held_back: bool,
    /// Whether the last byte of the request had been written when the connection was last handled.
    pub fully_sent: bool,
    /// Whether at least one byte of a response had been received.
    pub response_begun: bool,
    /// Whether a complete status line with status 200 had been received.
    pub status_line_is_200: bool,
    /// How long the connection had been idle before the request, if it was reused.
    pub idle_before: Option<Millis>,
    /// When the attempt was started, in milliseconds.
    pub started_at: Millis,
    /// When the attempt ended, in milliseconds.
    pub ended_at: Millis,
}

/// The consequences of the end of an attempt for the attempt and for its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct EndClassification {
    /// The outcome of the attempt, for the decision module.
    pub outcome: Outcome,
    /// Whether the connection was lost during the request.
    pub connection_lost: bool,
    /// How long the connection had been idle before the request, if it was stale.
    pub stale_after: Option<Millis>,
}

impl EndedAttempt {
    /// Determines the outcome of the attempt and whether its connection was stale or lost.
    pub fn classify(&self) -> EndClassification {
        let connection_lost = self.cause == EndCause::ConnectionLost;
        let stale_after = self.idle_before.filter(|_| self.is_stale());
        EndClassification {
            outcome: self.outcome(stale_after.is_some()),
            connection_lost,
            stale_after,
        }
    }

    /// Whether the connection was closed or dropped while idle, by the endpoint or on the network path, and therefore
    /// ended at the start of the next request. That must not count as a fault of the endpoint: one that is down also
    /// fails on a new connection.
    fn is_stale(&self) -> bool {
        self.cause == EndCause::ConnectionLost
            && self.idle_before.is_some()
            && !self.response_begun
            && self.ended_at < self.started_at + STALE_DETECTION_WINDOW
    }

    fn outcome(&self, stale: bool) -> Outcome {
        // A status line of 200 has confirmed the message. A malformed rest must not cause it to be retried or to fail.
        let is_mixed = self.cause == EndCause::MixedResponses;
        if self.fully_sent && self.status_line_is_200 && !is_mixed {
            return Outcome::Success;
        }
        let sent = self.flushed && self.connected && !self.last_byte_held_back;
        match sent {
            true if stale => Outcome::StaleConnection,
            true if self.cause == EndCause::TimedOut && self.response_begun => Outcome::Failure,
            true => self.cause.outcome_if_sent(),
            false if stale => Outcome::NotSent,
            // The connection was established, so its end does not show that the endpoint is unreachable.
            false if self.connected && self.last_byte_held_back => Outcome::NotSent,
            false => self.cause.outcome_if_unsent(),
        }
    }
}
