//! Attempts, each of which sends one request, from the choice of a connection to the outcome.

use martenlatch_clock::Millis;
use martenlatch_policy::interface::{EndpointId, MessageId, Outcome};
use serde::{Deserialize, Serialize};

use super::gone::MessageGone;
use super::response_history::Evidence;

/// An attempt to start. Instants and durations are in milliseconds.
pub struct AttemptRequest<'a> {
    /// The message.
    pub id: MessageId,
    /// The number of this attempt within the message, from 0.
    pub attempt: u32,
    /// The endpoint that the request is sent to.
    pub endpoint: EndpointId,
    /// The endpoint's kind, by its index in the settings.
    pub kind: usize,
    /// The destination that the endpoint serves.
    pub destination: u64,
    /// The time limit of the attempt, from its start.
    pub timeout: Millis,
    /// The last instant at which the first byte of the request may be written.
    pub latest_start: Millis,
    /// Whether the message is non-idempotent or this is a retry, so that the request must not be lost on a stale
    /// connection.
    pub must_not_be_lost: bool,
    /// Whether the message may be sent again to any endpoint of its destination although an attempt may have run.
    pub is_repeatable: bool,
    /// The head of the HTTP request.
    pub head: &'a [u8],
    /// The body of the HTTP request.
    pub body: &'a [u8],
}

/// The result of an attempt that has ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// The message.
    pub id: MessageId,
    /// The number of the attempt within the message, from 0.
    pub attempt: u32,
    /// The endpoint, if the attempt ended with a response whose headers were read; `None` otherwise.
    pub endpoint: Option<EndpointId>,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The time from the start of the attempt to its end, in milliseconds.
    pub took: Millis,
    /// Whether the message is over by the endpoint's word.
    pub gone: MessageGone,
    /// How certain it is that the response belongs to the attempt.
    pub evidence: Evidence,
}

/// An attempt in flight. Serialized for a process replacement: the order of the fields is fixed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct ActiveAttempt {
    /// The message.
    pub id: MessageId,
    /// The number of the attempt within the message, from 0.
    pub attempt: u32,
    /// The destination that the endpoint serves.
    pub destination: u64,
    /// When the attempt was started.
    pub started_at: Millis,
    /// When the attempt times out.
    pub deadline: Millis,
    /// The last instant at which the first byte of the request may be written.
    pub latest_start: Millis,
    /// Whether the last byte of the request has been written.
    pub fully_sent: bool,
}

impl ActiveAttempt {
    /// Creates an attempt that starts now.
    pub fn new(request: &AttemptRequest, now: Millis) -> ActiveAttempt {
        ActiveAttempt {
            id: request.id,
            attempt: request.attempt,
            destination: request.destination,
            started_at: now,
            deadline: now + request.timeout,
            latest_start: request.latest_start,
            fully_sent: false,
        }
    }

    /// The result of the attempt if it ends now. The endpoint and the end of the message, which follow from the headers
    /// of a response, are not set.
    pub fn result(&self, outcome: Outcome, now: Millis) -> AttemptResult {
        AttemptResult {
            id: self.id,
            attempt: self.attempt,
            endpoint: None,
            outcome,
            took: now - self.started_at,
            gone: MessageGone::No,
            evidence: Evidence::Certain,
        }
    }
}
