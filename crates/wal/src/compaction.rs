//! Compaction: a new file with only the records that are still needed replaces the log file.

use std::collections::HashMap;
use std::rc::Rc;

use martenlatch_clock::{Anchor, Millis};
use tracing::error;

use crate::codec::{self, MAGIC};
use crate::recently_closed::RecentlyClosed;
use crate::record::{LogRecord, MessageRecord, NO_MESSAGE};
use crate::space::OpenMessageSizes;
use crate::write_ahead_log::WriteAheadLog;

/// Delay between a failed compaction and the next one.
const FAILURE_BACKOFF: Millis = 1_000.0;
/// The same delay if the file lacks records that could not be appended. It is shorter because only a compaction can
/// write them, and pending deliveries and status reports depend on them.
const MISSING_RECORDS_BACKOFF: Millis = 100.0;

impl WriteAheadLog {
    /// Whether a compaction would free enough space, or is needed because no file is open for writing or the file lacks
    /// records. False during the backoff after a failure.
    pub fn needs_compaction(&self, now: Millis) -> bool {
        let frees_space = self.limits.worth_compacting(
            self.file.size(),
            &self.open_message_sizes,
            self.recently_closed
                .len()
                .min(self.limits.kept_closed_ids()),
        );
        (frees_space || !self.file.is_open() || self.lacks_records)
            && now >= self.compaction_backoff_until
    }

    /// Starts the backoff after a failed compaction; `now` is in milliseconds of Unix time.
    pub fn start_compaction_backoff(&mut self, now: Millis) {
        let backoff = if self.lacks_records {
            MISSING_RECORDS_BACKOFF
        } else {
            FAILURE_BACKOFF
        };
        self.compaction_backoff_until = now + backoff;
    }

    /// Writes the open messages and the recently closed ids to a new file, which replaces the old one. Returns false
    /// and keeps the old file if that fails.
    pub fn compact<'a>(&mut self, open: impl Iterator<Item = &'a MessageRecord>) -> bool {
        let kept_ids = self.limits.kept_closed_ids();
        let snapshot = Snapshot::of(self.anchor, &self.recently_closed, kept_ids, open);
        match self.file.replace(&snapshot.file) {
            Ok(()) => {
                self.open_message_sizes = snapshot.open_message_sizes;
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

/// The contents of a compacted file, and the state of the log that corresponds to them.
struct Snapshot {
    file: Vec<u8>,
    open_message_sizes: OpenMessageSizes,
    class_rules: HashMap<Rc<str>, Rc<[u8]>>,
}

impl Snapshot {
    fn of<'a>(
        anchor: Option<Anchor>,
        recently_closed: &RecentlyClosed,
        kept_ids: usize,
        open: impl Iterator<Item = &'a MessageRecord>,
    ) -> Snapshot {
        let mut snapshot = Snapshot {
            file: MAGIC.to_vec(),
            open_message_sizes: OpenMessageSizes::default(),
            class_rules: HashMap::new(),
        };
        if let Some(anchor) = anchor {
            snapshot.write(&LogRecord::anchor(anchor));
        }
        let forgotten_ids = recently_closed.len().saturating_sub(kept_ids);
        for id in recently_closed.iter().skip(forgotten_ids) {
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
        self.open_message_sizes.add_message(message);
        for (index, attempt) in message.attempts.iter().enumerate() {
            self.write(&LogRecord::attempt(message.number, index, attempt.sent_at));
            if attempt.never_ran {
                self.write(&LogRecord::never_ran(message.number, index));
            }
        }
        if let Some(status) = message.final_status {
            self.write(&LogRecord::final_status(message.number, status));
        }
    }

    /// Writes the rules of the message's class, unless they are the ones last written for this class.
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
