//! How much of the disk the log may use, and how much of it the open messages need.
//!
//! While the log is compacted, the old and the new file exist side by side: both together must fit.

use std::collections::BTreeMap;

use crate::codec;
use crate::record::{LogRecord, MessageRecord};

/// Share of the disk limit that the old and the new file may use together.
const USABLE_SHARE: f64 = 0.92;
/// Share of the usable space that the log file may grow to.
const FILE_SHARE: f64 = 0.52;
/// Share of the usable space that the records of open messages may need.
const OPEN_MESSAGES_SHARE: f64 = 0.36;
/// Share of the usable space that new messages leave to the records of attempts and final statuses, so that these do
/// not fail for want of space.
const RESERVED_SHARE: f64 = 0.06;
/// A file below this share of the usable space is not worth a compaction.
const SMALL_FILE_SHARE: f64 = 0.25;
/// A file within this share of the usable space of its limit is nearly full.
const NEARLY_FULL_MARGIN: f64 = 0.1;
/// A file is compacted once it is this many times the size that it would be compacted to.
const GROWTH_FACTOR: f64 = 2.0;
/// As [`GROWTH_FACTOR`], for a file that is nearly full.
const NEARLY_FULL_GROWTH_FACTOR: f64 = 1.1;

/// Bytes reckoned for an attempt: its record, and the one that it never ran.
pub(crate) const ATTEMPT_BYTES: u64 = 60;
/// Bytes reckoned for a message's final status.
const FINAL_STATUS_BYTES: u64 = 40;
/// Bytes reckoned for the id of a closed message.
const CLOSED_ID_BYTES: f64 = 60.0;

/// The limits that follow from a disk limit; all are in bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    usable: f64,
}

impl Limits {
    pub(crate) fn new(disk_limit: u64) -> Limits {
        Limits {
            usable: disk_limit as f64 * USABLE_SHARE,
        }
    }

    /// Largest size of the file.
    pub(crate) fn file(self) -> f64 {
        self.usable * FILE_SHARE
    }

    /// Largest size of the file after a new message.
    pub(crate) fn file_for_new_messages(self) -> f64 {
        self.usable * (FILE_SHARE - RESERVED_SHARE)
    }

    /// Most that the records of open messages may need.
    pub(crate) fn open_messages(self) -> f64 {
        self.usable * OPEN_MESSAGES_SHARE
    }

    /// Whether a compaction would free enough of a file of this size to be worth it.
    pub(crate) fn worth_compacting(
        self,
        size: u64,
        open: &OpenMessages,
        closed_ids: usize,
    ) -> bool {
        let size = size as f64;
        let compacted = open.total_bytes as f64 + closed_ids as f64 * CLOSED_ID_BYTES;
        let grown = size > (self.usable * SMALL_FILE_SHARE).max(GROWTH_FACTOR * compacted);
        let nearly_full = size > self.usable * (FILE_SHARE - NEARLY_FULL_MARGIN)
            && size > NEARLY_FULL_GROWTH_FACTOR * compacted;
        grown || nearly_full
    }
}

/// Bytes that a compacted log would need for each open message.
#[derive(Debug, Default)]
pub(crate) struct OpenMessages {
    bytes_by_number: BTreeMap<u64, u64>,
    total_bytes: u64,
}

impl OpenMessages {
    /// Counts these messages, with their attempts and a final status for each.
    pub(crate) fn count<'a>(messages: impl Iterator<Item = &'a MessageRecord>) -> OpenMessages {
        let mut open = OpenMessages::default();
        for message in messages {
            open.add_message(message);
        }
        open
    }

    pub(crate) fn add_message(&mut self, message: &MessageRecord) {
        let record = codec::encode(&LogRecord::message(message)).len() as u64;
        let attempts = message.attempts.len() as u64 * ATTEMPT_BYTES;
        self.add_bytes(message.number, record + attempts + FINAL_STATUS_BYTES);
    }

    pub(crate) fn add_bytes(&mut self, number: u64, bytes: u64) {
        *self.bytes_by_number.entry(number).or_insert(0) += bytes;
        self.total_bytes += bytes;
    }

    pub(crate) fn remove(&mut self, number: u64) {
        self.total_bytes -= self.bytes_by_number.remove(&number).unwrap_or(0);
    }

    pub(crate) fn total_bytes(&self) -> u64 {
        self.total_bytes
    }
}
