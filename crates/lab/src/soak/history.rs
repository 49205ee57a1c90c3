//! The events of a soak on its sockets and processes, as the laboratory's threads record them.

use std::collections::HashMap;
use std::fmt;
use std::sync::Mutex;
use std::time::Instant;

use martenlatch_clock::Millis;

use super::answer_coverage::{AnswerEvidence, FollowUp};

/// The effect of a repeat of a message, by which the soak's message classes differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat takes effect again.
    NonIdempotent,
    /// A repeat is dropped while the key is remembered.
    Keyed,
    /// A repeat is dropped while the key is remembered, by endpoints of the zone that has seen it.
    KeyedInZone,
    /// A repeat is harmless.
    Idempotent,
}

/// Why a client that had written a complete request received no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswerReason {
    /// The connection was reset: the request was never read, or the process was killed.
    Reset,
    /// The stream ended, and no reset followed: the request was read and dropped.
    EndOfStream,
    /// The client's time limit for the answer passed, and it closed the connection.
    TimedOut,
}

/// An event of a sender's process. The soak prints the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// SIGTERM was sent.
    Terminate,
    /// SIGKILL was sent.
    Kill,
    /// SIGHUP was sent.
    Reload,
    /// The process was stopped with SIGSTOP.
    Pause,
    /// The process was continued with SIGCONT.
    Continue,
    /// Its wall clock was stepped.
    WallStep,
    /// It exited; with its exit code, unless a signal ended it.
    Exited(Option<i32>),
    /// It was started.
    Started,
    /// It answered its first health check.
    Ready,
    /// It did not become ready in time.
    NotReady,
    /// Another process was started to replace it.
    SuccessorStarted,
    /// It has passed its state on to the process that was started to replace it, and has exited.
    Replaced,
    /// The process that was started to replace it has ended, with its exit code, while it went on.
    SuccessorExited(Option<i32>),
}

/// A recorded event. Spans are in milliseconds. The history file has the names of its variants and fields.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client wrote a complete request with a message. The time of the record is the beginning of the write.
    Submitted {
        /// The effect of a repeat.
        effect: Effect,
        /// How long after its submission the message may be delivered.
        timeout: Millis,
        /// How long the write took; the message was submitted at some instant within it.
        writing: Millis,
    },
    /// The client read an answer.
    Answered {
        /// Its status.
        status: u16,
    },
    /// The client's connection ended without an answer.
    Unanswered(NoAnswerReason),
    /// A client that stopped in the middle of its request was neither answered nor disconnected in time.
    BadClientIgnored,
    /// An endpoint received the first byte of a request.
    RequestBegan {
        /// The endpoint.
        endpoint: usize,
        /// Its destination.
        destination: usize,
    },
    /// An endpoint received the last byte of a request.
    RequestArrived {
        /// The endpoint.
        endpoint: usize,
        /// Its destination.
        destination: usize,
        /// Body and idempotency key are those of the message.
        intact: bool,
        /// The endpoint does not reject the request, so it may take effect.
        runs: bool,
    },
    /// An endpoint began to write a response on a connection that the sender had not closed.
    Responded {
        /// The endpoint's destination.
        destination: usize,
        /// The status.
        status: u16,
        /// The retry-after, if the response has one.
        retry_after: Option<Millis>,
    },
    /// Something followed an answer on its connection.
    AnswerFollowed {
        /// The answer's status.
        status: u16,
        /// Whether the sender can be sure that the answer belongs to its request.
        evidence: AnswerEvidence,
        /// What followed.
        follow_up: FollowUp,
        /// How long after the answer.
        after: Millis,
    },
    /// An endpoint answers a message with the bytes of an earlier answer, or writes an answer again on the connection
    /// that carries the message's answer: the sender cannot know which answer belongs to it.
    AnswerUncertain,
    /// The platform confirmed a status report.
    Reported {
        /// The status in the report.
        status: String,
    },
    /// The sender was notified that an endpoint drains, or accepts requests.
    ListTold {
        /// The endpoint.
        endpoint: usize,
        /// Whether it accepts requests.
        active: bool,
    },
    /// An event of the sender's process.
    Process(ProcessEvent),
    /// A line of the sender's log that shows a defect.
    LoggedDefect(String),
}

/// An event with its time, its sender and its message.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Milliseconds since the start of the soak.
    pub at: Millis,
    /// The sender.
    pub sender: usize,
    /// The id of the message; empty if the event concerns none.
    pub message: String,
    /// The event.
    pub event: Event,
}

impl fmt::Display for Record {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:10.1} n{} {} {:?}",
            self.at, self.sender, self.message, self.event
        )
    }
}

/// The records of all threads.
pub struct History {
    started: Instant,
    records: Mutex<Vec<Record>>,
}

impl Default for History {
    fn default() -> History {
        History {
            started: Instant::now(),
            records: Mutex::default(),
        }
    }
}

impl History {
    /// Milliseconds since the start of the soak.
    pub fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Records an event that happens now.
    pub fn record(&self, sender: usize, message: &str, event: Event) {
        self.record_at(self.now(), sender, message, event);
    }

    /// Records an event with a given time.
    pub fn record_at(&self, at: Millis, sender: usize, message: &str, event: Event) {
        let record = Record {
            at,
            sender,
            message: message.to_string(),
            event,
        };
        if let Ok(mut records) = self.records.lock() {
            records.push(record);
        }
    }

    /// All records, in order of time.
    pub fn sorted(&self) -> Vec<Record> {
        let mut records = self
            .records
            .lock()
            .map(|records| records.clone())
            .unwrap_or_default();
        records.sort_by(|a, b| a.at.total_cmp(&b.at));
        records
    }
}

/// The number of messages that are accepted and have no end in these records.
pub fn unfinished_messages(records: &[Record]) -> usize {
    let mut progress: HashMap<&str, (bool, bool)> = HashMap::new();
    for record in records {
        let (accepted, ended) = progress.entry(&record.message).or_default();
        match &record.event {
            Event::Answered { status: 202 } => *accepted = true,
            Event::Responded { status: 200, .. } | Event::Reported { .. } => *ended = true,
            _ => {}
        }
    }
    progress
        .values()
        .filter(|(accepted, ended)| *accepted && !ended)
        .count()
}
