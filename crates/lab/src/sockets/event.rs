//! Events of a run on sockets that are due at an instant.

use martenlatch_clock::Millis;

use crate::model::environment::ListedState;
use crate::model::partner::Reply;

/// An event to come.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A message of the plan comes for the first time.
    NextMessage { planned: usize },
    /// A client hands a message in again.
    HandInAgain { origin: u64 },
    /// A client has waited long enough for the answer to a message.
    ClientTimeout { client: usize, message: u64 },
    /// The last byte of a call comes to its endpoint.
    CallArrived { call: u64 },
    /// An endpoint writes its reply to a call.
    WriteReply { call: u64, reply: Reply },
    /// A partner has a call that is done.
    PartnerDue { partner: u32 },
    /// A failure has begun or ended.
    FaultBoundary,
    /// A failure that concerns a sender begins.
    FailureStarts { failure: usize },
    /// A failure replaces the next endpoint.
    ReplaceEndpoint { failure: usize, turn: usize },
    /// The machine of a replaced endpoint goes away.
    RetireEndpoint { endpoint: u32 },
    /// A sender is notified of a change to the endpoint list.
    NotifySender {
        sender: u32,
        endpoint: u32,
        state: ListedState,
    },
    /// A sender that was told to end is killed, if it still runs.
    KillSender { sender: u32, incarnation: u32 },
    /// A sender that has ended starts again.
    RestartSender { sender: u32 },
    /// What is held and used is measured.
    Sample,
    /// Discovery shows that it is alive.
    Heartbeat,
}

/// Whether a client's message is handed in again, and how soon, depends on why it failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum HandInFailure {
    /// The sender answered, and did not accept the message; perhaps with a Retry-After.
    Rejected { retry_after: Option<Millis> },
    /// No sender was up, or the one that was chosen gave no answer.
    Unanswered,
}
