//! The log itself: opening it, passing it on to a successor, and one method for each record that is appended.

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
use crate::space::{ATTEMPT_BYTES, Limits, OpenMessages};

/// The id of a message whose acceptance was revoked.
const REVOKED_ID: &str = "";

/// A log that records are appended to.
pub struct WriteAheadLog {
    pub(crate) file: LogFile,
    pub(crate) limits: Limits,
    pub(crate) open_messages: OpenMessages,
    /// The ids of recently closed messages.
    pub recently_closed: RecentlyClosed,
    /// The rules of each class as the file last says them: a message that follows is recovered with these.
    pub(crate) class_rules: HashMap<Rc<str>, Rc<[u8]>>,
    /// The clock of the process that wrote last.
    pub(crate) anchor: Option<Anchor>,
    /// No compaction is attempted before this instant.
    pub(crate) write_backoff_until: Millis,
    /// A record could not be written that a later process needs: only a compaction, which writes the present state,
    /// makes it good.
    pub(crate) lacks_records: bool,
    /// The file could not be read as the log was opened.
    failed_to_read: bool,
}

/// Where a process stands in its log, to be passed on to its successor.
#[derive(Serialize, Deserialize)]
pub struct LogPosition {
    size: u64,
    recently_closed: VecDeque<Rc<str>>,
    write_backoff_until: Millis,
    /// Whether there is a file to write to.
    has_file: bool,
}

impl WriteAheadLog {
    /// Opens the log in a state folder, recovers what earlier processes left, and compacts it.
    ///
    /// The log uses at most `disk` bytes. One that cannot be read, or that another version wrote, is logged and left
    /// as it is; the returned log then rejects every record.
    pub fn open(folder: &Path, disk: u64) -> (WriteAheadLog, RecoveredState) {
        let file = LogFile::closed(folder, 0);
        // A compaction that was cut short leaves its file; the log itself is still complete.
        file.remove_replacement();
        let mut bytes = Vec::new();
        let unreadable = match file.read_into(&mut bytes) {
            Err(error) => Some(error.kind()),
            // A file is put in place complete: one without our magic bytes belongs to another version, and may hold
            // open messages.
            Ok(()) if !bytes.is_empty() && !bytes.starts_with(MAGIC) => {
                Some(ErrorKind::InvalidData)
            }
            Ok(()) => None,
        };
        let recovered = RecoveredState::replay(&bytes);
        let mut log = WriteAheadLog::recovered(file, disk, &recovered);
        if let Some(error) = unreadable {
            error!(?error, "write-ahead log unreadable");
            // An unreadable file is never overwritten, so no message can be accepted.
            log.write_backoff_until = f64::INFINITY;
            log.failed_to_read = error != ErrorKind::InvalidData;
            return (log, recovered);
        }
        let torn_bytes = bytes.len() as u64 - recovered.valid_bytes;
        if torn_bytes > 0 {
            warn!(bytes = torn_bytes, "write-ahead log tail cut");
        }
        // The new file has neither the torn tail nor the closed messages. Without space for it, the old one goes on.
        if !log.compact(recovered.open_messages.values()) && recovered.valid_bytes > 0 {
            log.file.continue_existing();
        }
        (log, recovered)
    }

    /// A log with this recovered state, which has no file to write to yet.
    fn recovered(mut file: LogFile, disk: u64, recovered: &RecoveredState) -> WriteAheadLog {
        file.set_size(recovered.valid_bytes);
        WriteAheadLog {
            file,
            limits: Limits::new(disk),
            open_messages: OpenMessages::count(recovered.open_messages.values()),
            recently_closed: recovered.recently_closed.clone(),
            class_rules: recovered.class_rules.clone(),
            anchor: recovered.clock_history.anchor,
            write_backoff_until: 0.0,
            lacks_records: false,
            failed_to_read: false,
        }
    }

    /// Whether the file could not be read as the log was opened, which may pass.
    pub fn failed_to_read(&self) -> bool {
        self.failed_to_read
    }

    /// Whether a process that started from the file now would know all that was recorded.
    pub fn is_complete(&self) -> bool {
        !self.lacks_records
    }

    /// Where this process stands. It must not write to the log once a successor continues from there.
    pub fn position(&self) -> LogPosition {
        LogPosition {
            size: self.file.size(),
            recently_closed: self.recently_closed.ids().clone(),
            write_backoff_until: self.write_backoff_until,
            has_file: self.file.is_open(),
        }
    }

    /// Continues where an earlier process stood, with its open messages. Writes nothing.
    ///
    /// # Errors
    /// [`LogError::Reopen`] if the file cannot be opened, [`LogError::SizeChanged`] if it is not as that process left
    /// it.
    pub fn restore<'a>(
        folder: &Path,
        disk: u64,
        place: LogPosition,
        open: impl Iterator<Item = &'a MessageRecord>,
    ) -> Result<WriteAheadLog, LogError> {
        let file = if place.has_file {
            LogFile::reopen(folder, place.size)?
        } else {
            LogFile::closed(folder, place.size)
        };
        // A log that cannot be read now says nothing of how messages ended, and is not needed for anything else.
        let mut bytes = Vec::new();
        let logged = match file.read_into(&mut bytes) {
            Ok(()) => RecoveredState::replay(&bytes).recently_closed,
            Err(_) => RecentlyClosed::default(),
        };
        Ok(WriteAheadLog {
            file,
            limits: Limits::new(disk),
            open_messages: OpenMessages::count(open),
            recently_closed: RecentlyClosed::passed(place.recently_closed, logged),
            // The rules of each class are recorded anew before its next message.
            class_rules: HashMap::new(),
            anchor: None,
            write_backoff_until: place.write_backoff_until,
            // What the predecessor could not write is not passed on: the first compaction writes the whole state.
            lacks_records: true,
            failed_to_read: false,
        })
    }

    /// Records this process's clock, with which the next process goes on. Without an anchor nothing is recorded: the
    /// next process then knows of no time that has passed.
    pub fn append_anchor(&mut self, anchor: Option<Anchor>) {
        self.anchor = anchor;
        if let Some(anchor) = anchor {
            self.append_or_remember(&LogRecord::anchor(anchor));
        }
    }

    /// The first compaction records the clock of a process that has taken the log over; nothing is written now.
    pub fn set_anchor(&mut self, anchor: Option<Anchor>) {
        self.anchor = anchor;
    }

    /// Records that a message is accepted. False: it must be rejected.
    pub fn append_message(&mut self, message: &MessageRecord) -> bool {
        let rules_recorded = self.class_rules.get(&message.class) == Some(&message.class_rules);
        let mut records = Vec::new();
        if !rules_recorded {
            let rules = LogRecord::class_rules(&message.class, &message.class_rules);
            records.extend(codec::encode(&rules));
        }
        records.extend(codec::encode(&LogRecord::message(message)));
        let open_bytes = self.open_messages.total_bytes() + records.len() as u64;
        let fits = open_bytes as f64 <= self.limits.open_messages();
        if !fits
            || !self
                .file
                .append(&records, self.limits.file_for_new_messages())
        {
            return false;
        }
        if !rules_recorded {
            self.class_rules
                .insert(message.class.clone(), message.class_rules.clone());
        }
        self.open_messages.add_message(message);
        true
    }

    /// Records that an attempt is about to start, at `sent` in milliseconds of Unix time. False: it must not start.
    pub fn append_attempt(&mut self, number: u64, attempt: usize, sent: Millis) -> bool {
        if attempt >= MAX_ATTEMPTS || !self.append(&LogRecord::attempt(number, attempt, sent)) {
            return false;
        }
        self.open_messages.add_bytes(number, ATTEMPT_BYTES);
        true
    }

    /// Records that an attempt never ran. Until it can be written, the attempt counts as one that may have run.
    pub fn append_never_ran(&mut self, number: u64, attempt: usize) {
        self.append_or_remember(&LogRecord::never_ran(number, attempt));
    }

    /// Records a message's final status. While [`WriteAheadLog::is_complete`] says that it is not written, a process
    /// that dies would leave the message behind as an open one.
    pub fn append_final_status(&mut self, number: u64, notice: FinalStatus) {
        self.append_or_remember(&LogRecord::final_status(number, notice));
    }

    /// Records that a message is closed: nothing more is owed. Its id is remembered as a recently closed one.
    pub fn append_closed(&mut self, number: u64, id: &Rc<str>) {
        self.close(number, id);
        self.recently_closed.remember(id.clone());
    }

    /// The same for a message that has ended by the report of its final status, which is remembered with its id.
    pub fn append_closed_by_report(&mut self, number: u64, id: &Rc<str>, status: FinalStatus) {
        self.append_closed(number, id);
        self.append_or_remember(&LogRecord::reported(number, status));
        self.recently_closed.mark_reported(status);
    }

    /// Records a message that has ended already and whose report is owed once more. False: it must not be answered as
    /// accepted.
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
        let recorded = self.file.append(&records, self.limits.file());
        if recorded {
            self.open_messages.add_message(message);
        }
        recorded
    }

    /// Records that a message was not accepted after all. Its id is not remembered, so that it may be handed in again.
    pub fn append_revoked(&mut self, number: u64) {
        self.close(number, REVOKED_ID);
    }

    fn close(&mut self, number: u64, id: &str) {
        self.append_or_remember(&LogRecord::closed(number, id));
        self.open_messages.remove(number);
    }

    /// Appends a record that must not be lost. Where that fails, a compaction is due.
    fn append_or_remember(&mut self, record: &LogRecord<'_>) {
        if !self.append(record) {
            self.lacks_records = true;
        }
    }

    fn append(&mut self, record: &LogRecord<'_>) -> bool {
        self.file.append(&codec::encode(record), self.limits.file())
    }
}
