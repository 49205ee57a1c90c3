//! Recovery: rebuilds the state that the records of a log file describe.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use martenlatch_clock::{ClockHistory, Millis};

use crate::codec::{Payloads, RecordHeader};
use crate::recently_closed::RecentlyClosed;
use crate::record::{
    AttemptRecord, Entry, FinalStatus, MAX_ATTEMPTS, MessageFields, MessageRecord, tag,
};

/// The state that earlier processes left in the log.
#[derive(Default)]
pub struct RecoveredState {
    /// The messages that are not closed, by number.
    pub open_messages: BTreeMap<u64, MessageRecord>,
    /// The ids of recently closed messages.
    pub recently_closed: RecentlyClosed,
    /// The clock of earlier processes.
    pub clock_history: ClockHistory,
    /// The next message number.
    pub next_number: u64,
    /// The number of complete records that were read.
    pub record_count: u64,
    /// The rules of each class, as last recorded.
    pub(crate) class_rules: HashMap<Rc<str>, Rc<[u8]>>,
    /// Size in bytes of the part of the file that consists of complete records.
    pub(crate) valid_bytes: u64,
}

impl RecoveredState {
    /// Replays a log file up to its end or the first torn record. Nothing after a torn record was ever confirmed.
    pub(crate) fn replay(file: &[u8]) -> RecoveredState {
        let mut state = RecoveredState::default();
        let Some(mut payloads) = Payloads::new(file) else {
            return state;
        };
        state.valid_bytes = payloads.offset();
        while let Some(payload) = payloads.next() {
            if !state.replay_record(payload) {
                break;
            }
            state.record_count += 1;
            state.valid_bytes = payloads.offset();
        }
        state
    }

    /// Replays a record. False if it cannot be decoded.
    fn replay_record(&mut self, payload: &[u8]) -> bool {
        let Some(header) = RecordHeader::decode(payload) else {
            return false;
        };
        let number = header.number;
        // The number counts as used, and a closed message as closed, even if the rest of the record cannot be decoded.
        self.next_number = self.next_number.max(number.saturating_add(1));
        if header.tag == tag::CLOSED {
            self.open_messages.remove(&number);
        }
        let Some(entry) = header.decode_entry() else {
            return false;
        };
        self.apply(number, entry);
        true
    }

    fn apply(&mut self, number: u64, entry: Entry<'_>) {
        match entry {
            Entry::Message(fields) => self.insert_message(number, &fields),
            Entry::ClassRules { class, rules } => {
                self.class_rules.insert(Rc::from(class), Rc::from(rules));
            }
            Entry::Attempt { attempt, sent_at } => self.start_attempt(number, attempt, sent_at),
            Entry::NeverRan { attempt } => self.mark_never_ran(number, attempt),
            Entry::FinalStatus(status) => self.set_final_status(number, status),
            // `replay_record` has removed the message, before this entry was decoded.
            Entry::Closed { id } => {
                if !id.is_empty() {
                    self.recently_closed.remember(Rc::from(id));
                }
            }
            Entry::Reported(status) => self.recently_closed.mark_reported(status),
            Entry::Anchor(anchor) => {
                self.clock_history.anchor = Some(anchor);
                self.clock_history.latest_instant =
                    self.clock_history.latest_instant.max(anchor.clock);
            }
            Entry::Unknown { .. } => {}
        }
    }

    fn insert_message(&mut self, number: u64, fields: &MessageFields<'_>) {
        let rules = self.class_rules.get(fields.class);
        let message = MessageRecord {
            number,
            id: Rc::from(fields.id),
            class: Rc::from(fields.class),
            destination: fields.destination,
            deadline: fields.deadline,
            idempotency_key: fields.idempotency_key.map(Rc::from),
            body: Rc::from(fields.body),
            attempts: Vec::new(),
            final_status: None,
            class_rules: rules.cloned().unwrap_or_default(),
        };
        self.open_messages.insert(number, message);
    }

    fn start_attempt(&mut self, number: u64, attempt: usize, sent_at: Millis) {
        self.clock_history.latest_instant = self.clock_history.latest_instant.max(sent_at);
        let Some(message) = self.open_messages.get_mut(&number) else {
            return;
        };
        if attempt >= MAX_ATTEMPTS {
            return;
        }
        let attempts = &mut message.attempts;
        // Lower-numbered attempts without a record were never sent: an attempt starts only after its record is written.
        if attempts.len() <= attempt {
            let unsent = AttemptRecord {
                sent_at,
                never_ran: true,
            };
            attempts.resize(attempt + 1, unsent);
        }
        // A compaction writes an attempt that has not started yet as one that never ran. This record says that it has
        // started since.
        attempts[attempt] = AttemptRecord {
            sent_at,
            never_ran: false,
        };
    }

    fn mark_never_ran(&mut self, number: u64, attempt: usize) {
        let message = self.open_messages.get_mut(&number);
        if let Some(record) = message.and_then(|message| message.attempts.get_mut(attempt)) {
            record.never_ran = true;
        }
    }

    fn set_final_status(&mut self, number: u64, status: FinalStatus) {
        if let Some(message) = self.open_messages.get_mut(&number) {
            message.final_status = Some(status);
        }
    }
}
