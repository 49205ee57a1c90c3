//! Attempts: one request each, from its start on a connection to its outcome.

use martenlatch_clock::Millis;
use martenlatch_policy::interface::{EndpointId, MessageId, Outcome};
use serde::{Deserialize, Serialize};

/// An attempt to start. Instants and spans are in milliseconds.
pub struct AttemptRequest<'a> {
    /// The message.
    pub id: MessageId,
    /// The number of the message's attempt, from 0.
    pub attempt: u32,
    /// The endpoint that the request goes to.
    pub endpoint: EndpointId,
    /// The endpoint's kind, by its index in the settings.
    pub kind: usize,
    /// The destination that the endpoint serves.
    pub destination: u64,
    /// How long the attempt may take from now on.
    pub timeout: Millis,
    /// The last instant at which the request may begin to be written.
    pub latest_start: Millis,
    /// The message is non-idempotent or this is a retry: the request must not be lost on a connection that may be
    /// stale.
    pub must_not_be_lost: bool,
    /// The head of the HTTP request.
    pub head: &'a [u8],
    /// The body of the HTTP request.
    pub body: &'a [u8],
}

/// An attempt that has ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// The message.
    pub id: MessageId,
    /// The number of the message's attempt, from 0.
    pub attempt: u32,
    /// The endpoint that it went to; none if it never came to a connection.
    pub endpoint: Option<EndpointId>,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took from its start, in milliseconds.
    pub took: Millis,
    /// The endpoint answered with status 410: the message is finished, and no final status is owed.
    pub message_finished: bool,
}

/// An attempt in flight. Serialized for a process replacement: the order of the fields is fixed.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(super) struct ActiveAttempt {
    /// The message.
    pub id: MessageId,
    /// The number of the message's attempt, from 0.
    pub attempt: u32,
    /// The destination that the endpoint serves.
    pub destination: u64,
    /// When it was started.
    pub started_at: Millis,
    /// When it times out.
    pub deadline: Millis,
    /// The last instant at which the request may begin to be written.
    pub latest_start: Millis,
    /// The last byte of the request has been written.
    pub fully_sent: bool,
}

impl ActiveAttempt {
    /// An attempt that starts now.
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

    /// The result of the attempt if it ends now.
    pub fn result(&self, outcome: Outcome, now: Millis) -> AttemptResult {
        AttemptResult {
            id: self.id,
            attempt: self.attempt,
            endpoint: None,
            outcome,
            took: now - self.started_at,
            message_finished: false,
        }
    }
}
