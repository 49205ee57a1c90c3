//! The event log of a run: what crossed between clients, senders, partners and the platform, in the order of time. An
//! event says what happened; whether a rule was kept is for the judge to say. Their JSON is stored.

use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};

use crate::model::partner::Reply;

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoggedEvent {
    /// When, in milliseconds from the start of the run.
    pub at: Millis,
    /// What.
    pub what: What,
}

/// How a call ended for its sender without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Silence {
    /// The connection never came up, or broke before the call's last byte: the call never ran.
    NeverSent,
    /// The connection broke after the last byte.
    Reset,
    /// The sender stopped waiting.
    TimedOut,
    /// The sender cancelled the call.
    CalledOff,
    /// The sender's process ended.
    Died,
}

/// What happened. In all events, `origin` is the number of a client's message over all its attempts to submit it, `id`
/// that of one such attempt, and `call` that of a call; none is used twice. Senders, partners, endpoints and classes
/// go by their numbers in the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum What {
    /// A client submits a message.
    #[serde(rename = "HandedIn")]
    Submitted {
        /// The client's message.
        origin: u64,
        /// This attempt to submit it.
        id: u64,
        /// The sender that gets it.
        sender: u32,
        /// Its class.
        class: u32,
        /// The partner that it is for.
        partner: u32,
        /// When it was first submitted.
        first: Millis,
        /// When its time is up.
        deadline: Millis,
        /// The ordering key: messages with the same key are delivered in order.
        #[serde(default)]
        key: Option<u64>,
    },
    /// The client has its answer.
    Answered {
        /// The attempt to submit a message.
        id: u64,
        /// The HTTP status; 0: the connection ended without an answer.
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
        /// It is in service; otherwise it drains or is gone.
        on: bool,
    },
    /// The first byte of a call leaves.
    Call {
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
        /// It leaves on a new connection.
        fresh: bool,
    },
    /// The last byte of a call has come to its endpoint.
    Arrived {
        /// The call.
        call: u64,
    },
    /// A call has taken effect, or is about to.
    Ran {
        /// The call.
        call: u64,
    },
    /// The partner's answer to a call has been written.
    Replied {
        /// The call.
        call: u64,
        /// The answer.
        reply: Reply,
    },
    /// A call ended for its sender without an answer.
    Ended {
        /// The call.
        call: u64,
        /// Why.
        how: Silence,
    },
    /// An endpoint has said that the message is over: withdrawn, or out of time. Nothing more is owed.
    Withdrawn {
        /// The message.
        id: u64,
    },
    /// The platform has a status report for a message that was given up.
    Notice {
        /// The sender that reports.
        sender: u32,
        /// The message.
        id: u64,
        /// The client may submit the message again.
        deferred: bool,
        /// The Retry-After that the client is given, in milliseconds.
        again: Option<Millis>,
    },
    /// An outage begins, or ends.
    Out {
        /// The partner.
        partner: u32,
        /// Whether it is in an outage now.
        out: bool,
    },
    /// A partner that was warming up has collapsed under its load.
    Toppled {
        /// The partner.
        partner: u32,
    },
    /// A sender that was not there before starts.
    Joins {
        /// The sender.
        sender: u32,
    },
    /// A sender is ready to serve.
    Ready {
        /// The sender.
        sender: u32,
    },
    /// A sender is asked to shut down.
    Told {
        /// The sender.
        sender: u32,
    },
    /// A sender's process has ended.
    Gone {
        /// The sender.
        sender: u32,
    },
}
