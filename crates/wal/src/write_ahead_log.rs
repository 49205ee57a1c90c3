//! The log itself: opening it, passing it on to a successor process, and appending each type of record.

use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::path::Path;
use std::rc::Rc;

use martenlatch_clock::{Anchor, Millis};
use serde::{Deserialize, Serialize};
use tracing::{error, warn};

use crate::codec::{self, MAGIC};
use crate::error::LogError;
use crate::log_file::LogFile;
use crate::recently_closed::RecentlyClosed;
use crate::record::{FinalStatus, LogRecord, MAX_ATTEMPTS, MessageRecord};
use crate::recovery::RecoveredState;
use crate::space::{ATTEMPT_BYTES, Limits, OpenMessageSizes};

/// The id that is stored when the acceptance of a message is revoked.
const REVOKED_ID: &str = "";

/// A log that records are appended to.
pub struct WriteAheadLog {
    pub(crate) file: LogFile,
    pub(crate) limits: Limits,
    pub(crate) open_message_sizes: OpenMessageSizes,
    /// The ids of recently closed messages.
    pub recently_closed: RecentlyClosed,
    /// For each class, the rules that the file contains last. A message that is appended next is recovered with these
    /// rules.
    pub(crate) class_rules: HashMap<Rc<str>, Rc<[u8]>>,
    /// The clock that the next compaction writes: this process's own, or otherwise the one recorded last.
    pub(crate) anchor: Option<Anchor>,
    /// The instant before which no compaction is attempted.
    pub(crate) compaction_backoff_until: Millis,
    /// Whether a record that a later process needs could not be written. Only a compaction, which writes the current
    /// state, corrects that.
    pub(crate) lacks_records: bool,
    /// Whether the file could not be read when the log was opened.
    failed_to_read: bool,
}

/// The position of a process in its log, which is passed on to its successor.
#[derive(Serialize, Deserialize)]
pub struct LogPosition {
    size: u64,
    recently_closed: VecDeque<Rc<str>>,
    compaction_backoff_until: Millis,
    /// Whether the file is open for writing.
    has_file: bool,
}

impl WriteAheadLog {
    /// Opens the log in a state folder, recovers the state that earlier processes left, and compacts the log.
    ///
    /// The log uses at most `disk_limit` bytes. If the file cannot be read or was written by another version, an error
    /// is reported as a log line, the file is left unchanged, and the returned log rejects every record.
    pub fn open(folder: &Path, disk_limit: u64) -> (WriteAheadLog, RecoveredState) {
        let file = LogFile::closed(folder, 0);
        // An interrupted compaction leaves its new file behind; the log itself is still complete.
        file.remove_replacement();
        let mut bytes = Vec::new();
        let unreadable = match file.read_into(&mut bytes) {
            Err(error) => Some(error.kind()),
            // A log file is complete when it is renamed into place, so one without the magic bytes belongs to another
            // version, and may contain open messages.
            Ok(()) if !bytes.is_empty() && !bytes.starts_with(MAGIC) => {
                Some(ErrorKind::InvalidData)
            }
            Ok(()) => None,
        };
        let recovered = RecoveredState::replay(&bytes);
        let mut log = WriteAheadLog::recovered(file, disk_limit, &recovered);
        if let Some(error) = unreadable {
            error!(?error, "write-ahead log unreadable");
            // An unreadable file is never overwritten, so no message can be accepted.
            log.compaction_backoff_until = f64::INFINITY;
            log.failed_to_read = error != ErrorKind::InvalidData;
            return (log, recovered);
        }
        let torn_bytes = bytes.len() as u64 - recovered.valid_bytes;
        if torn_bytes > 0 {
            warn!(bytes = torn_bytes, "write-ahead log tail cut");
        }
        // The compacted file has neither the torn tail nor the closed messages. If it cannot be written, for example
        // for lack of space, the old file stays in use.
        if !log.compact(recovered.open_messages.values()) && recovered.valid_bytes > 0 {
            log.file.continue_existing();
        }
        (log, recovered)
    }

    /// A log with this recovered state, whose file is not open for writing yet.
    fn recovered(mut file: LogFile, disk_limit: u64, recovered: &RecoveredState) -> WriteAheadLog {
        file.set_size(recovered.valid_bytes);
        WriteAheadLog {
            file,
            limits: Limits::new(disk_limit),
            open_message_sizes: OpenMessageSizes::count(recovered.open_messages.values()),
            recently_closed: recovered.recently_closed.clone(),
            class_rules: recovered.class_rules.clone(),
            anchor: recovered.clock_history.anchor,
            compaction_backoff_until: 0.0,
            lacks_records: false,
            failed_to_read: false,
        }
    }

    /// Whether the file could not be read when the log was opened. A later attempt may succeed.
    pub fn failed_to_read(&self) -> bool {
        self.failed_to_read
    }

    /// Whether the file contains everything that was recorded, so that a process could start from it now.
    pub fn is_complete(&self) -> bool {
        !self.lacks_records
    }

    /// The position of this process, which must not write to the log once a successor continues from it.
    pub fn position(&self) -> LogPosition {
        LogPosition {
            size: self.file.size(),
            recently_closed: self.recently_closed.iter().cloned().collect(),
            compaction_backoff_until: self.compaction_backoff_until,
            has_file: self.file.is_open(),
        }
    }

    /// Continues at the position of a predecessor, with its open messages. Writes nothing.
    ///
    /// # Errors
    /// [`LogError::Reopen`] if the file cannot be opened, [`LogError::SizeChanged`] if its size differs from the one in
    /// the position.
    pub fn restore<'a>(
        folder: &Path,
        disk_limit: u64,
        position: LogPosition,
        open: impl Iterator<Item = &'a MessageRecord>,
    ) -> Result<WriteAheadLog, LogError> {
        let file = if position.has_file {
            LogFile::reopen(folder, position.size)?
        } else {
            LogFile::closed(folder, position.size)
        };
        // The log is read only to learn how recently closed messages ended. If it cannot be read, their final statuses
        // are not known.
        let mut bytes = Vec::new();
        let logged = match file.read_into(&mut bytes) {
            Ok(()) => RecoveredState::replay(&bytes).recently_closed,
            Err(_) => RecentlyClosed::default(),
        };
        Ok(WriteAheadLog {
            file,
            limits: Limits::new(disk_limit),
            open_message_sizes: OpenMessageSizes::count(open),
            recently_closed: RecentlyClosed::from_predecessor(position.recently_closed, logged),
            // The rules of each class are recorded again before its next message.
            class_rules: HashMap::new(),
            anchor: None,
            compaction_backoff_until: position.compaction_backoff_until,
            // The position does not say whether the predecessor failed to write records, so the first compaction writes
            // the whole state.
            lacks_records: true,
            failed_to_read: false,
        })
    }

    /// Records this process's clock, from which the next process continues. Without an anchor nothing is recorded, and
    /// the next process does not know how much time has passed.
    pub fn append_anchor(&mut self, anchor: Option<Anchor>) {
        self.anchor = anchor;
        if let Some(anchor) = anchor {
            self.append_required(&LogRecord::anchor(anchor));
        }
    }

    /// Sets the clock of a process that has taken the log over. The first compaction records it; nothing is written
    /// now.
    pub fn set_anchor(&mut self, anchor: Option<Anchor>) {
        self.anchor = anchor;
    }

    /// Records that a message is accepted. If this returns false, the message must be rejected.
    pub fn append_message(&mut self, message: &MessageRecord) -> bool {
        let rules_recorded = self.class_rules.get(&message.class) == Some(&message.class_rules);
        let mut records = Vec::new();
        if !rules_recorded {
            let rules = LogRecord::class_rules(&message.class, &message.class_rules);
            records.extend(codec::encode(&rules));
        }
        records.extend(codec::encode(&LogRecord::message(message)));
        let open_bytes = self.open_message_sizes.total_bytes() + records.len() as u64;
        let fits = open_bytes as f64 <= self.limits.max_open_message_bytes();
        if !fits
            || !self
                .file
                .append(&records, self.limits.max_file_size_for_new_messages())
        {
            return false;
        }
        if !rules_recorded {
            self.class_rules
                .insert(message.class.clone(), message.class_rules.clone());
        }
        self.open_message_sizes.add_message(message);
        true
    }

    /// Records that an attempt is about to start, at `sent_at` in milliseconds of Unix time. If this returns false, the
    /// attempt must not start.
    pub fn append_attempt(&mut self, number: u64, attempt: usize, sent_at: Millis) -> bool {
        if attempt >= MAX_ATTEMPTS || !self.append(&LogRecord::attempt(number, attempt, sent_at)) {
            return false;
        }
        self.open_message_sizes.add_bytes(number, ATTEMPT_BYTES);
        true
    }

    /// Records that an attempt never ran. Until the record is written, the attempt counts as one that may have run.
    pub fn append_never_ran(&mut self, number: u64, attempt: usize) {
        self.append_required(&LogRecord::never_ran(number, attempt));
    }

    /// Records a message's final status. While [`WriteAheadLog::is_complete`] is false, the record may be missing: if
    /// the process died, the message would be recovered without a final status.
    pub fn append_final_status(&mut self, number: u64, status: FinalStatus) {
        self.append_required(&LogRecord::final_status(number, status));
    }

    /// Records that a message is closed: it needs no further delivery or status report. Its id is remembered as a
    /// recently closed one.
    pub fn append_closed(&mut self, number: u64, id: &Rc<str>) {
        self.close(number, id);
        self.recently_closed.remember(id.clone());
    }

    /// Like [`WriteAheadLog::append_closed`], for a message that ended with the report of its final status. The status
    /// is remembered with the id.
    pub fn append_closed_by_report(&mut self, number: u64, id: &Rc<str>, status: FinalStatus) {
        self.append_closed(number, id);
        self.append_required(&LogRecord::reported(number, status));
        self.recently_closed.mark_reported(status);
    }

    /// Records a message that has already ended and whose final status must be reported again. If this returns false,
    /// the message must not be answered as accepted.
    pub fn append_message_with_final_status(
        &mut self,
        message: &MessageRecord,
        status: FinalStatus,
    ) -> bool {
        let records = [
            codec::encode(&LogRecord::message(message)),
            codec::encode(&LogRecord::final_status(message.number, status)),
        ]
        .concat();
        let recorded = self.file.append(&records, self.limits.max_file_size());
        if recorded {
            self.open_message_sizes.add_message(message);
        }
        recorded
    }

    /// Records that a message was not accepted after all. Its id is not remembered, so that it can be submitted again.
    pub fn append_revoked(&mut self, number: u64) {
        self.close(number, REVOKED_ID);
    }

    fn close(&mut self, number: u64, id: &str) {
        self.append_required(&LogRecord::closed(number, id));
        self.open_message_sizes.remove(number);
    }

    /// Appends a record that must not be lost. If that fails, a compaction is needed.
    fn append_required(&mut self, record: &LogRecord<'_>) {
        if !self.append(record) {
            self.lacks_records = true;
        }
    }

    fn append(&mut self, record: &LogRecord<'_>) -> bool {
        self.file
            .append(&codec::encode(record), self.limits.max_file_size())
    }
}
