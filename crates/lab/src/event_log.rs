//! The event log of a run: the traffic between clients, senders, partners and the platform in chronological order. An
//! event states only what happened; the judge decides whether a rule was kept. Events are stored as JSON, and the
//! `rename` attributes keep the stored names.

use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};

use crate::model::partner::Reply;

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoggedEvent {
    /// The time of the event, in milliseconds from the start of the run.
    pub at: Millis,
    /// The kind of event and its details.
    #[serde(rename = "what")]
    pub kind: EventKind,
}

/// Why a sender received no answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallFailure {
    /// The connection was not established, or broke before the call's last byte: the call never ran.
    NeverSent,
    /// The connection broke after the last byte.
    Reset,
    /// The sender stopped waiting.
    TimedOut,
    /// The sender cancelled the call.
    #[serde(rename = "CalledOff")]
    Cancelled,
    /// The sender's process ended.
    #[serde(rename = "Died")]
    SenderEnded,
}

/// The kind of an event and its details. In all events, `origin` identifies a client's message across all its
/// submissions, `id` identifies one submission, and `call` identifies a call; no number is reused. Senders, partners,
/// endpoints and classes are identified by their numbers in the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EventKind {
    /// A client submits a message.
    #[serde(rename = "HandedIn")]
    Submitted {
        /// The client's message.
        origin: u64,
        /// This submission of it.
        id: u64,
        /// The sender that receives it.
        sender: u32,
        /// Its class.
        class: u32,
        /// The partner that it is for.
        partner: u32,
        /// The time of its first submission.
        first: Millis,
        /// Its deadline.
        deadline: Millis,
        /// The ordering key: messages with the same key are delivered in order.
        #[serde(default)]
        key: Option<u64>,
    },
    /// A client receives the answer to a submission.
    #[serde(rename = "Answered")]
    ClientAnswered {
        /// The submission.
        id: u64,
        /// The HTTP status, or 0 if the connection ended without an answer.
        status: u16,
    },
    /// A sender was notified of an endpoint.
    Listed {
        /// The sender.
        sender: u32,
        /// The endpoint.
        endpoint: u32,
        /// Its partner.
        partner: u32,
        /// Whether the endpoint is in service; otherwise it is draining or has been removed.
        #[serde(rename = "on")]
        in_service: bool,
    },
    /// The first byte of a call is sent.
    #[serde(rename = "Call")]
    CallStarted {
        /// The call.
        call: u64,
        /// The message that it carries.
        id: u64,
        /// The sender.
        sender: u32,
        /// The partner that it is for.
        partner: u32,
        /// The endpoint that it goes to.
        endpoint: u32,
        /// Whether it uses a new connection.
        #[serde(rename = "fresh")]
        new_connection: bool,
    },
    /// The last byte of a call has reached its endpoint.
    #[serde(rename = "Arrived")]
    CallArrived {
        /// The call.
        call: u64,
    },
    /// A call has taken effect, or is about to.
    #[serde(rename = "Ran")]
    CallExecuted {
        /// The call.
        call: u64,
    },
    /// The partner's answer to a call has been written.
    #[serde(rename = "Replied")]
    CallAnswered {
        /// The call.
        call: u64,
        /// The answer.
        reply: Reply,
    },
    /// A call ended without an answer that reached its sender.
    #[serde(rename = "Ended")]
    CallFailed {
        /// The call.
        call: u64,
        /// Why it failed.
        #[serde(rename = "how")]
        cause: CallFailure,
    },
    /// An endpoint has reported that a message was withdrawn or has passed its deadline. No final answer is required
    /// any more.
    Withdrawn {
        /// The message.
        id: u64,
    },
    /// The platform has received a status report on a message that was given up.
    #[serde(rename = "Notice")]
    StatusReport {
        /// The sender that reports.
        sender: u32,
        /// The message.
        id: u64,
        /// Whether the client may submit the message again.
        deferred: bool,
        /// The Retry-After for the client, in milliseconds.
        #[serde(rename = "again")]
        retry_after: Option<Millis>,
    },
    /// An outage of a partner begins or ends.
    #[serde(rename = "Out")]
    Outage {
        /// The partner.
        partner: u32,
        /// Whether the partner is in an outage now.
        #[serde(rename = "out")]
        in_outage: bool,
    },
    /// A partner that was warming up has collapsed under its load.
    #[serde(rename = "Toppled")]
    Collapsed {
        /// The partner.
        partner: u32,
    },
    /// A sender joins the running group.
    #[serde(rename = "Joins")]
    SenderJoined {
        /// The sender.
        sender: u32,
    },
    /// A sender is ready to serve.
    #[serde(rename = "Ready")]
    SenderReady {
        /// The sender.
        sender: u32,
    },
    /// A sender is asked to shut down.
    #[serde(rename = "Told")]
    ShutdownRequested {
        /// The sender.
        sender: u32,
    },
    /// A sender's process has ended.
    #[serde(rename = "Gone")]
    SenderEnded {
        /// The sender.
        sender: u32,
    },
}
