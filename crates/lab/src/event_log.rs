//! Owns the words of a history: what crossed between clients, senders, partners and the platform, one fact at a time,
//! in the order of time. It must never hold an opinion: whether a rule was kept is the judge's.

use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};

use crate::model::partner::Reply;

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    /// When.
    pub at: Millis,
    /// What.
    pub what: What,
}

/// How a call ended for its sender without a word of its partner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Silence {
    /// The connection never came up, or broke before the call's last byte: it never ran.
    NeverSent,
    /// The connection broke after the last byte.
    Reset,
    /// The sender stopped waiting.
    TimedOut,
    /// The sender called it off.
    CalledOff,
    /// The sender's process ended.
    Died,
}

/// Facts. `origin` is a message of a client; `id` is one handing in of it. `call` numbers never repeat.
#[allow(missing_docs)]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum What {
    /// A client hands a message in; `first` is when it did so first, `deadline` when its time is up.
    HandedIn {
        origin: u64,
        id: u64,
        sender: u32,
        class: u32,
        partner: u32,
        first: Millis,
        deadline: Millis,
        /// What it must keep its order by, if anything.
        #[serde(default)]
        key: Option<u64>,
    },
    /// The client has its answer; 0: the connection ended without one.
    Answered {
        id: u64,
        status: u16,
    },
    /// A sender was told of an endpoint; not `on`: it drains or is gone.
    Listed {
        sender: u32,
        endpoint: u32,
        partner: u32,
        on: bool,
    },
    /// The first byte of a call.
    Call {
        call: u64,
        id: u64,
        sender: u32,
        partner: u32,
        endpoint: u32,
        fresh: bool,
    },
    /// Its last byte has come.
    Arrived {
        call: u64,
    },
    /// It has taken effect, or is about to.
    Ran {
        call: u64,
    },
    /// The partner's answer has been written.
    Replied {
        call: u64,
        reply: Reply,
    },
    /// It ended without one.
    Ended {
        call: u64,
        how: Silence,
    },
    /// An endpoint has said that the message is over: withdrawn, or out of time. Nothing more is owed.
    Withdrawn {
        id: u64,
    },
    /// The platform has a notice; with when to come again, where it is `deferred`.
    Notice {
        sender: u32,
        id: u64,
        deferred: bool,
        again: Option<Millis>,
    },
    /// An outage begins, or ends.
    Out {
        partner: u32,
        out: bool,
    },
    /// A cold partner has fallen over.
    Toppled {
        partner: u32,
    },
    /// A sender that was not there before starts.
    Joins {
        sender: u32,
    },
    /// A sender is ready, or is told to end, or has ended.
    Ready {
        sender: u32,
    },
    Told {
        sender: u32,
    },
    Gone {
        sender: u32,
    },
}
