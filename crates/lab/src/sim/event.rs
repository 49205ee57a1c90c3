//! The events of a simulated run.

use martenlatch_clock::Millis;
use martenlatch_policy::interface::{EndpointState, Outcome};

use crate::event_log::CallFailure;
use crate::model::partner::Reply;

/// Something that happens at an instant. Events of a sender's process carry its incarnation where they are void after
/// the process has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SimEvent {
    /// A planned message comes for the first time.
    PlannedMessage {
        /// Its place in the plan.
        index: usize,
    },
    /// A message that a client submits reaches a sender.
    MessageAtSender { origin: u64, sender: u32 },
    /// A client submits a message again.
    ClientRetry { origin: u64 },
    /// The decision module of a sender takes its turn.
    Turn { sender: u32, incarnation: u32 },
    /// The decision module of a sender asked to be woken now.
    Wake { sender: u32, incarnation: u32 },
    /// The last byte of a call reaches its partner.
    CallAtPartner { call: u64 },
    /// A partner has a call that is done by now.
    PartnerDue { partner: u32 },
    /// A partner's answer reaches the sender.
    AnswerAtSender { call: u64, reply: Reply },
    /// A call ends for its sender without an answer.
    CallLost {
        call: u64,
        how: CallFailure,
        outcome: Outcome,
    },
    /// The sender stops waiting for a call.
    CallTimeout { call: u64 },
    /// A status report reaches the platform.
    StatusReport(StatusReport),
    /// A failure begins or ends, so that outages may do so.
    OutagesChange,
    /// A failure of a sender's begins.
    FailureBegins { failure: usize },
    /// A failure replaces an endpoint, for the `turn`th time.
    ReplaceEndpoint { failure: usize, turn: usize },
    /// A replaced endpoint takes no more calls.
    RetireEndpoint { endpoint: u32 },
    /// A sender is notified of a change to the endpoint list.
    EndpointChange {
        sender: u32,
        endpoint: u32,
        state: EndpointState,
    },
    /// The time of a sender that shuts down is up.
    ShutdownTimeout { sender: u32, incarnation: u32 },
    /// A sender's process starts.
    StartSender { sender: u32 },
    /// What the other senders know is put down for one that joins later.
    CollectGossip { sender: u32 },
    /// A message's time has been up for so long that it is ended in any case.
    MessageOverdue { sender: u32, id: u64 },
    /// The number of messages held is sampled.
    Sample,
}

/// What a sender reports to the platform when it has given a message up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct StatusReport {
    pub sender: u32,
    pub id: u64,
    /// The client may submit the message again.
    pub deferred: bool,
    /// The Retry-After that it is given, in milliseconds.
    pub retry_after: Option<Millis>,
}
