//! The events of a simulated run.

use martenlatch_clock::Millis;
use martenlatch_policy::interface::{EndpointState, Outcome};

use crate::event_log::CallFailure;
use crate::model::partner::Reply;

/// An event of a simulated run. Events that must be ignored after a sender's process has ended carry the process's
/// incarnation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SimEvent {
    /// A client submits a planned message for the first time.
    PlannedMessage {
        /// The message's index in the plan.
        index: usize,
    },
    /// A message that a client submits reaches a sender.
    MessageAtSender { origin: u64, sender: u32 },
    /// A client submits a message again.
    ClientRetry { origin: u64 },
    /// The decision module of a sender takes a turn.
    Turn { sender: u32, incarnation: u32 },
    /// The decision module of a sender is woken, as it has requested.
    Wake { sender: u32, incarnation: u32 },
    /// The last byte of a call reaches its partner.
    CallAtPartner { call: u64 },
    /// At least one running call of a partner completes.
    CallsComplete { partner: u32 },
    /// A partner's answer reaches the sender.
    AnswerAtSender { call: u64, reply: Reply },
    /// A call ends for its sender without an answer.
    CallLost {
        call: u64,
        how: CallFailure,
        outcome: Outcome,
    },
    /// A call times out at its sender.
    CallTimeout { call: u64 },
    /// A status report reaches the platform.
    StatusReport(StatusReport),
    /// A failure begins or ends, so outages may begin or end.
    OutagesChange,
    /// A failure begins that does not replace endpoints.
    FailureBegins { failure: usize },
    /// A failure replaces an endpoint. `repetition` counts its replacements from zero.
    ReplaceEndpoint { failure: usize, repetition: usize },
    /// A replaced endpoint takes no more calls.
    RetireEndpoint { endpoint: u32 },
    /// A sender is notified of a change to the endpoint list.
    EndpointChange {
        sender: u32,
        endpoint: u32,
        state: EndpointState,
    },
    /// The time that a sender has for its shutdown has passed.
    ShutdownTimeout { sender: u32, incarnation: u32 },
    /// A sender's process starts.
    StartSender { sender: u32 },
    /// The knowledge of the running senders is collected for a sender that joins later.
    CollectGossip { sender: u32 },
    /// At least `OVERDUE_AFTER` has passed since a message's deadline: the sender ends the message if it is still open.
    MessageOverdue { sender: u32, id: u64 },
    /// The number of held messages is sampled.
    Sample,
}

/// The status report that a sender sends to the platform when it has given up a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct StatusReport {
    pub sender: u32,
    pub id: u64,
    /// Whether the client may submit the message again.
    pub deferred: bool,
    /// The Retry-After for the client, in milliseconds.
    pub retry_after: Option<Millis>,
}
