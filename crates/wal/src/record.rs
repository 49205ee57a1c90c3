//! The public types of logged messages and attempts, and the records as they are stored.

use std::rc::Rc;

use martenlatch_clock::{Anchor, Millis};
use serde::{Deserialize, Serialize};

/// Maximum number of recorded attempts of a message. A further attempt could not be recorded, so it must not start.
pub const MAX_ATTEMPTS: usize = 64;

/// The final status of a message that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum FinalStatus {
    /// It will not be delivered.
    Undeliverable,
    /// It was not delivered; the client may submit it again, after this many milliseconds if a number is given.
    Deferred(Option<u64>),
}

/// A delivery attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// When it was sent, in milliseconds of Unix time.
    pub sent_at: Millis,
    /// Whether it is proven that the endpoint never processed it.
    pub never_ran: bool,
}

/// An accepted message, as the log stores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageRecord {
    /// The message's number. No number is used twice, not even after a restart.
    pub number: u64,
    /// The id that the client chose.
    pub id: Rc<str>,
    /// The name of its message class.
    pub class: Rc<str>,
    /// The number of the partner that it is for.
    pub destination: u64,
    /// The deadline of its delivery, in milliseconds of Unix time.
    pub deadline: Millis,
    /// Its idempotency key, if it has one.
    pub idempotency_key: Option<Rc<str>>,
    /// The bytes to deliver.
    pub body: Rc<[u8]>,
    /// Its attempts so far; an attempt's index is its number.
    pub attempts: Vec<AttemptRecord>,
    /// Its final status, once decided. The message stays open until the platform has confirmed the status.
    pub final_status: Option<FinalStatus>,
    /// The rules of its class when it was accepted, in the caller's encoding; empty if none were recorded.
    pub class_rules: Rc<[u8]>,
}

/// The tag bytes of the stored record types.
pub(crate) mod tag {
    pub(crate) const MESSAGE: u8 = b'T';
    pub(crate) const CLASS_RULES: u8 = b'C';
    pub(crate) const ATTEMPT: u8 = b'R';
    pub(crate) const NEVER_RAN: u8 = b'N';
    pub(crate) const FINAL_STATUS: u8 = b'E';
    pub(crate) const CLOSED: u8 = b'O';
    pub(crate) const ANCHOR: u8 = b'B';
    pub(crate) const REPORTED: u8 = b'S';
}

/// The message number in records that do not belong to an open message.
pub(crate) const NO_MESSAGE: u64 = 0;

/// A stored record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LogRecord<'a> {
    /// The number of the message that the record belongs to, or [`NO_MESSAGE`].
    pub(crate) number: u64,
    pub(crate) entry: Entry<'a>,
}

/// The type of a record, with its fields.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Entry<'a> {
    /// The message was accepted.
    Message(MessageFields<'a>),
    /// The rules of a class, which apply to the messages that are accepted after this record.
    ClassRules { class: &'a str, rules: &'a [u8] },
    /// An attempt is about to start.
    Attempt { attempt: usize, sent_at: Millis },
    /// An attempt is proven never to have run.
    NeverRan { attempt: usize },
    /// The message's final status is decided.
    FinalStatus(FinalStatus),
    /// The message needs no further delivery or status report. The id is empty if its acceptance was revoked.
    Closed { id: &'a str },
    /// The message that the record before this one closes ended with the report of this status. Versions that do not
    /// know this record type skip it.
    Reported(FinalStatus),
    /// The clock of the process that writes the records after this one. Versions that do not know this record type skip
    /// it.
    Anchor(Anchor),
    /// A record type of a later version.
    Unknown { tag: u8 },
}

/// The stored fields of an accepted message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct MessageFields<'a> {
    pub(crate) destination: u64,
    pub(crate) deadline: Millis,
    pub(crate) id: &'a str,
    pub(crate) class: &'a str,
    pub(crate) idempotency_key: Option<&'a str>,
    pub(crate) body: &'a [u8],
}

impl Entry<'_> {
    /// The tag byte of this record type.
    pub(crate) fn tag(&self) -> u8 {
        match self {
            Entry::Message(_) => tag::MESSAGE,
            Entry::ClassRules { .. } => tag::CLASS_RULES,
            Entry::Attempt { .. } => tag::ATTEMPT,
            Entry::NeverRan { .. } => tag::NEVER_RAN,
            Entry::FinalStatus(_) => tag::FINAL_STATUS,
            Entry::Closed { .. } => tag::CLOSED,
            Entry::Reported(_) => tag::REPORTED,
            Entry::Anchor(_) => tag::ANCHOR,
            Entry::Unknown { tag } => *tag,
        }
    }
}

impl<'a> LogRecord<'a> {
    pub(crate) fn message(message: &'a MessageRecord) -> LogRecord<'a> {
        let fields = MessageFields {
            destination: message.destination,
            deadline: message.deadline,
            id: &message.id,
            class: &message.class,
            idempotency_key: message.idempotency_key.as_deref(),
            body: &message.body,
        };
        LogRecord {
            number: message.number,
            entry: Entry::Message(fields),
        }
    }

    pub(crate) fn class_rules(class: &'a str, rules: &'a [u8]) -> LogRecord<'a> {
        LogRecord {
            number: NO_MESSAGE,
            entry: Entry::ClassRules { class, rules },
        }
    }

    pub(crate) fn attempt(number: u64, attempt: usize, sent_at: Millis) -> LogRecord<'a> {
        LogRecord {
            number,
            entry: Entry::Attempt { attempt, sent_at },
        }
    }

    pub(crate) fn never_ran(number: u64, attempt: usize) -> LogRecord<'a> {
        LogRecord {
            number,
            entry: Entry::NeverRan { attempt },
        }
    }

    pub(crate) fn final_status(number: u64, status: FinalStatus) -> LogRecord<'a> {
        LogRecord {
            number,
            entry: Entry::FinalStatus(status),
        }
    }

    pub(crate) fn anchor(anchor: Anchor) -> LogRecord<'a> {
        LogRecord {
            number: NO_MESSAGE,
            entry: Entry::Anchor(anchor),
        }
    }

    pub(crate) fn reported(number: u64, status: FinalStatus) -> LogRecord<'a> {
        LogRecord {
            number,
            entry: Entry::Reported(status),
        }
    }

    pub(crate) fn closed(number: u64, id: &'a str) -> LogRecord<'a> {
        LogRecord {
            number,
            entry: Entry::Closed { id },
        }
    }
}
