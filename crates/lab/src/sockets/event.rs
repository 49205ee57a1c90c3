//! The timed events of a run on sockets.

use martenlatch_clock::Millis;

use crate::model::environment::ListedState;
use crate::model::partner::Reply;

/// An event that is scheduled for an instant of the run.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A client submits a message of the plan for the first time.
    SubmitPlannedMessage { planned: usize },
    /// A client submits a message again.
    ResubmitMessage { origin: u64 },
    /// A client gives up the wait for the answer to a message.
    ClientTimeout { client: usize, message: u64 },
    /// The last byte of a call reaches its endpoint.
    CallArrived { call: u64 },
    /// An endpoint writes its reply to a call.
    WriteReply { call: u64, reply: Reply },
    /// A partner completes a call.
    AdvancePartner { partner: u32 },
    /// A failure ends.
    FailureEnds,
    /// A failure begins. The replacement of endpoints has `ReplaceEndpoint` instead.
    FailureStarts { failure: usize },
    /// A failure replaces the next endpoint.
    ReplaceEndpoint {
        failure: usize,
        replacement_index: usize,
    },
    /// The machine of a replaced endpoint is removed.
    RetireEndpoint { endpoint: u32 },
    /// A sender is notified of a change to the endpoint list.
    NotifySender {
        sender: u32,
        endpoint: u32,
        state: ListedState,
    },
    /// A sender that was asked to shut down is killed, if it is still running.
    KillSender { sender: u32, incarnation: u32 },
    /// A sender that has ended starts again.
    RestartSender { sender: u32 },
    /// The number of open messages and the senders' resource usage are sampled.
    Sample,
    /// Discovery writes a heartbeat to the watches.
    Heartbeat,
}

/// Why a client's submission of a message failed, which decides if and when it is repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SubmissionFailure {
    /// The sender answered and did not accept the message. The answer may have a Retry-After.
    Rejected { retry_after: Option<Millis> },
    /// No sender was up, or the chosen one gave no answer.
    Unanswered,
}
