//! What crossed the sockets during a soak, as every thread of the laboratory recorded it.

use std::collections::HashMap;
use std::fmt;
use std::sync::Mutex;
use std::time::Instant;

use martenlatch_clock::Millis;

/// A message class of the soak, by what a repeat does.
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

/// How a request ended that its client had written completely, if no answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswerReason {
    /// The connection was reset: nobody has read the request, or the process was killed.
    Reset,
    /// The stream ended, and no reset followed: the request was read and dropped.
    EndOfStream,
    /// The client waited for as long as clients wait, and closed the connection.
    TimedOut,
}

/// What a signal of the schedule does to a sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// SIGTERM was sent.
    Terminate,
    /// SIGKILL was sent.
    Kill,
    /// SIGHUP was sent.
    Reload,
    /// The process was stopped.
    Pause,
    /// The process goes on.
    Continue,
    /// Its wall clock was stepped.
    WallStep,
    /// It exited.
    Exited(Option<i32>),
    /// It was started.
    Started,
    /// It answered its first health check.
    Ready,
    /// It did not become ready in its time.
    NotReady,
}

/// One thing that happened. Spans are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client wrote the last byte of a message.
    Submitted {
        /// What a repeat does.
        effect: Effect,
        /// How long the message may still be delivered.
        timeout: Millis,
        /// How long the write took, in which the message was handed in at some instant.
        writing: Millis,
    },
    /// The client read an answer.
    Answered {
        /// Its status.
        status: u16,
    },
    /// The client's connection ended without an answer.
    Unanswered(NoAnswerReason),
    /// A client that stopped in the middle of its request was not dealt with in its time.
    BadClientIgnored,
    /// The first byte of a request came to an endpoint.
    RequestBegan {
        /// The endpoint.
        endpoint: usize,
        /// Its destination.
        destination: usize,
    },
    /// The last byte of a request came to an endpoint.
    RequestArrived {
        /// The endpoint.
        endpoint: usize,
        /// Its destination.
        destination: usize,
        /// Body and key are those of the message.
        intact: bool,
        /// It takes effect, as far as the endpoint knows: it is not rejected.
        runs: bool,
    },
    /// An endpoint wrote a whole response, on a connection that the soak does not disturb.
    Responded {
        /// The endpoint's destination.
        destination: usize,
        /// The status.
        status: u16,
        /// How long the sender must wait.
        retry_after: Option<Millis>,
    },
    /// The platform confirmed a status report.
    Reported {
        /// The status that it names.
        status: String,
    },
    /// The agent wrote to the sender that an endpoint drains, or takes requests.
    ListTold {
        /// The endpoint.
        endpoint: usize,
        /// It takes requests.
        active: bool,
    },
    /// Something happened to the sender's process.
    Process(ProcessEvent),
    /// A line of the sender's log that tells of a defect.
    LoggedDefect(String),
}

/// An event with its instant and what it concerns.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Milliseconds since the start of the soak.
    pub at: Millis,
    /// The sender.
    pub sender: usize,
    /// The id of the message; empty if the event concerns none.
    pub message: String,
    /// What happened.
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

    /// Records an event of this instant.
    pub fn record(&self, sender: usize, message: &str, event: Event) {
        self.record_at(self.now(), sender, message, event);
    }

    /// Records an event of an earlier instant.
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

    /// All records in the order of time.
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

/// The messages that are accepted and have no end by these records.
pub fn unfinished_messages(records: &[Record]) -> usize {
    let mut ends: HashMap<&str, (bool, bool)> = HashMap::new();
    for record in records {
        let entry = ends.entry(&record.message).or_default();
        match &record.event {
            Event::Answered { status: 202 } => entry.0 = true,
            Event::Responded { status: 200, .. } | Event::Reported { .. } => entry.1 = true,
            _ => {}
        }
    }
    ends.values()
        .filter(|(accepted, ended)| *accepted && !ended)
        .count()
}
