//! Compaction: a new file that holds only what is still needed takes the place of the old one.

use std::collections::HashMap;
use std::rc::Rc;

use martenlatch_clock::{Anchor, Millis};
use tracing::error;

use crate::codec::{self, MAGIC};
use crate::recently_closed::RecentlyClosed;
use crate::record::{LogRecord, MessageRecord, NO_MESSAGE};
use crate::space::OpenMessages;
use crate::write_ahead_log::WriteAheadLog;

/// Milliseconds after a failed compaction before the next one.
const FAILURE_BACKOFF: Millis = 1_000.0;
/// The same where a compaction has to write what could not be appended: what is owed depends on it.
const MISSING_RECORDS_BACKOFF: Millis = 100.0;

impl WriteAheadLog {
    /// Whether a compaction would free space, or must be tried because there is no file to write to or the file lacks
    /// records. False during the backoff after a failure.
    pub fn needs_compaction(&self, now: Millis) -> bool {
        let worth_it = self.limits.worth_compacting(
            self.file.size(),
            &self.open_messages,
            self.recently_closed.len(),
        );
        (worth_it || !self.file.is_open() || self.lacks_records) && now >= self.write_backoff_until
    }

    /// Starts the backoff after a failed compaction; `now` is in milliseconds of Unix time.
    pub fn start_compaction_backoff(&mut self, now: Millis) {
        let backoff = if self.lacks_records {
            MISSING_RECORDS_BACKOFF
        } else {
            FAILURE_BACKOFF
        };
        self.write_backoff_until = now + backoff;
    }

    /// Writes the open messages and the recently closed ids to a new file, which replaces the old one. False: the old
    /// file stays.
    pub fn compact<'a>(&mut self, open: impl Iterator<Item = &'a MessageRecord>) -> bool {
        let snapshot = Snapshot::of(self.anchor, &self.recently_closed, open);
        match self.file.replace(&snapshot.file) {
            Ok(()) => {
                self.open_messages = snapshot.open_messages;
                self.class_rules = snapshot.class_rules;
                self.lacks_records = false;
                true
            }
            Err(error) => {
                error!(error = ?error.kind(), "write-ahead log compaction failed");
                self.file.remove_replacement();
                false
            }
        }
    }
}

/// A compacted file, and what the log must know of it.
struct Snapshot {
    file: Vec<u8>,
    open_messages: OpenMessages,
    class_rules: HashMap<Rc<str>, Rc<[u8]>>,
}

impl Snapshot {
    fn of<'a>(
        anchor: Option<Anchor>,
        recently_closed: &RecentlyClosed,
        open: impl Iterator<Item = &'a MessageRecord>,
    ) -> Snapshot {
        let mut snapshot = Snapshot {
            file: MAGIC.to_vec(),
            open_messages: OpenMessages::default(),
            class_rules: HashMap::new(),
        };
        if let Some(anchor) = anchor {
            snapshot.write(&LogRecord::anchor(anchor));
        }
        for id in recently_closed.iter() {
            snapshot.write(&LogRecord::closed(NO_MESSAGE, id));
            if let Some(status) = recently_closed.reported_status(id) {
                snapshot.write(&LogRecord::reported(NO_MESSAGE, status));
            }
        }
        for message in open {
            snapshot.write_message(message);
        }
        snapshot
    }

    fn write(&mut self, record: &LogRecord<'_>) {
        self.file.extend(codec::encode(record));
    }

    fn write_message(&mut self, message: &MessageRecord) {
        self.write_rules_if_changed(message);
        self.write(&LogRecord::message(message));
        self.open_messages.add_message(message);
        for (number, attempt) in message.attempts.iter().enumerate() {
            self.write(&LogRecord::attempt(message.number, number, attempt.sent_at));
            if attempt.never_ran {
                self.write(&LogRecord::never_ran(message.number, number));
            }
        }
        if let Some(status) = message.final_status {
            self.write(&LogRecord::final_status(message.number, status));
        }
    }

    /// Writes the rules of the message's class, unless they are the last ones written of it.
    fn write_rules_if_changed(&mut self, message: &MessageRecord) {
        let previous = self
            .class_rules
            .insert(message.class.clone(), message.class_rules.clone());
        if previous.as_ref() != Some(&message.class_rules) {
            self.write(&LogRecord::class_rules(
                &message.class,
                &message.class_rules,
            ));
        }
    }
}
