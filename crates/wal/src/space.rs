//! The space that the log may use on disk, and the space that its open messages need.
//!
//! During a compaction the old and the new file exist side by side, and both together must fit.

use std::collections::BTreeMap;

use crate::codec;
use crate::record::{LogRecord, MessageRecord};

/// Share of the disk limit that the old and the new file may use together.
const USABLE_SHARE: f64 = 0.92;
/// Share of the usable space up to which the log file may grow.
const FILE_SHARE: f64 = 0.52;
/// Share of the usable space that the records of open messages may need.
const OPEN_MESSAGES_SHARE: f64 = 0.36;
/// Share of the usable space that new messages leave free for the records of attempts and final statuses, so that these
/// do not fail for lack of space.
const RESERVED_SHARE: f64 = 0.06;
/// A file smaller than this share of the usable space is not worth a compaction.
const SMALL_FILE_SHARE: f64 = 0.25;
/// A file is nearly full if it is smaller than its limit by less than this share of the usable space.
const NEARLY_FULL_MARGIN: f64 = 0.1;
/// A file is compacted once it is larger than this multiple of its estimated compacted size.
const GROWTH_FACTOR: f64 = 2.0;
/// Replaces [`GROWTH_FACTOR`] for a file that is nearly full.
const NEARLY_FULL_GROWTH_FACTOR: f64 = 1.1;

/// Estimated bytes for an attempt: its own record, and the record that it never ran.
pub(crate) const ATTEMPT_BYTES: u64 = 60;
/// Estimated bytes for a message's final status.
const FINAL_STATUS_BYTES: u64 = 40;
/// Estimated bytes for the id of a closed message.
const CLOSED_ID_BYTES: f64 = 60.0;
/// Share of the usable space for the ids of closed messages in a compacted file.
const CLOSED_IDS_SHARE: f64 = 0.05;
/// The number of ids that a compacted file has at least, if there are as many.
const MIN_CLOSED_IDS: usize = 512;

/// The limits, in bytes, that are derived from the log's disk limit.
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

    /// Maximum size of the file.
    pub(crate) fn max_file_size(self) -> f64 {
        self.usable * FILE_SHARE
    }

    /// Maximum size of the file after a new message is appended.
    pub(crate) fn max_file_size_for_new_messages(self) -> f64 {
        self.usable * (FILE_SHARE - RESERVED_SHARE)
    }

    /// Maximum number of bytes that the records of open messages may need.
    pub(crate) fn max_open_message_bytes(self) -> f64 {
        self.usable * OPEN_MESSAGES_SHARE
    }

    /// The number of ids of closed messages that a compacted file has at most, the latest ones.
    pub(crate) fn kept_closed_ids(self) -> usize {
        let fitting = self.usable * CLOSED_IDS_SHARE / CLOSED_ID_BYTES;
        (fitting as usize).max(MIN_CLOSED_IDS)
    }

    /// Whether compacting a file of this size would free enough space to be worth it.
    pub(crate) fn worth_compacting(
        self,
        size: u64,
        open_messages: &OpenMessageSizes,
        closed_id_count: usize,
    ) -> bool {
        let size = size as f64;
        let compacted = open_messages.total_bytes as f64 + closed_id_count as f64 * CLOSED_ID_BYTES;
        let grown = size > (self.usable * SMALL_FILE_SHARE).max(GROWTH_FACTOR * compacted);
        let nearly_full = size > self.usable * (FILE_SHARE - NEARLY_FULL_MARGIN)
            && size > NEARLY_FULL_GROWTH_FACTOR * compacted;
        grown || nearly_full
    }
}

/// The number of bytes that each open message would need in a compacted file.
#[derive(Debug, Default)]
pub(crate) struct OpenMessageSizes {
    bytes_by_number: BTreeMap<u64, u64>,
    total_bytes: u64,
}

impl OpenMessageSizes {
    /// The sizes of these messages, each with its attempts and a final status.
    pub(crate) fn count<'a>(messages: impl Iterator<Item = &'a MessageRecord>) -> OpenMessageSizes {
        let mut open = OpenMessageSizes::default();
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
