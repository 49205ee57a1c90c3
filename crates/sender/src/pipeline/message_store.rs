//! The messages that this process holds, with the write-ahead log and the counters that all stages of the pipeline
//! share.
//!
//! A message is held from its acceptance, or from its recovery from the log, until it is closed and none of its
//! attempts is in flight.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use martenlatch_clock::Millis;
use martenlatch_policy::interface::ZoneId;
use martenlatch_wal::{MessageRecord, WriteAheadLog};

use crate::class_metrics::ClassMetrics;
use crate::counters::Counters;

/// The progress of a message. Passed to a successor process, so the order of the variants is fixed.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum MessageState {
    /// Neither delivered nor given up.
    Open,
    /// Given up, but the platform has not confirmed the status report yet.
    Reporting,
    /// Delivered, or given up with a confirmed status report.
    Closed,
    /// Delivered by a success that is not settled yet: it may belong to another request. A successor process gets it as
    /// [`MessageState::Open`].
    #[serde(skip)]
    Unsettled,
}

impl MessageState {
    /// The state that a successor process gets, which does not know what is unsettled.
    pub(super) fn for_successor(self) -> MessageState {
        match self {
            MessageState::Unsettled => MessageState::Open,
            state => state,
        }
    }
}

/// A message that has been accepted and is held.
pub struct StoredMessage {
    pub(super) record: MessageRecord,
    pub(super) state: MessageState,
    /// The zone of the endpoint of each attempt; `None` if it is unknown, as an earlier process sent the attempt.
    pub(super) attempt_zones: Vec<Option<ZoneId>>,
    /// The number of attempts that have no result yet.
    pub(super) attempts_in_flight: u32,
    /// Recovered from an earlier process and not attempted by any process yet.
    pub(super) unattempted: bool,
    /// Its end was counted before, and only its report is sent again.
    pub(super) end_counted: bool,
    /// The attempts whose successes are not settled yet.
    pub(super) unsettled_successes: Vec<u32>,
    /// The attempts whose connections have carried a later response that may say that this message is over. Nothing is
    /// sent for it until they are settled.
    pub(super) contested_attempts: Vec<u32>,
    /// The attempts whose rejections are not settled yet: they count as attempts that may have run.
    pub(super) unsettled_rejections: Vec<u32>,
}

/// The deadline of a message as an ordered key, followed by the message's number.
pub(super) type DeadlineKey = (u64, u64);

/// All held messages, by number and by id.
pub struct MessageStore {
    pub(super) messages: BTreeMap<u64, StoredMessage>,
    pub(super) numbers_by_id: HashMap<Rc<str>, u64>,
    /// The open messages, earliest deadline first.
    by_deadline: BTreeSet<DeadlineKey>,
    /// The unsettled messages, earliest deadline first.
    unsettled_by_deadline: BTreeSet<DeadlineKey>,
    /// The number of open messages.
    pub(super) open_count: usize,
    /// The number of the next message.
    pub(super) next_number: u64,
    pub(super) wal: WriteAheadLog,
    pub(super) counters: Counters,
    pub(super) class_metrics: ClassMetrics,
}

/// The key by which a message is ordered. A non-negative float's bits have the same order as the float itself.
pub(super) fn deadline_key(record: &MessageRecord) -> DeadlineKey {
    (record.deadline.max(0.0).to_bits(), record.number)
}

impl MessageStore {
    /// A store without messages.
    pub(super) fn new(
        wal: WriteAheadLog,
        next_number: u64,
        class_metrics: ClassMetrics,
    ) -> MessageStore {
        MessageStore {
            messages: BTreeMap::new(),
            numbers_by_id: HashMap::new(),
            by_deadline: BTreeSet::new(),
            unsettled_by_deadline: BTreeSet::new(),
            open_count: 0,
            next_number,
            wal,
            counters: Counters::default(),
            class_metrics,
        }
    }

    /// Adds a message that the log has recorded.
    pub(super) fn insert(&mut self, record: MessageRecord, state: MessageState) {
        self.numbers_by_id.insert(record.id.clone(), record.number);
        if state == MessageState::Open {
            self.open_count += 1;
            self.by_deadline.insert(deadline_key(&record));
        }
        self.messages.insert(
            record.number,
            StoredMessage {
                attempt_zones: vec![None; record.attempts.len()],
                record,
                state,
                attempts_in_flight: 0,
                unattempted: false,
                end_counted: false,
                unsettled_successes: Vec::new(),
                contested_attempts: Vec::new(),
                unsettled_rejections: Vec::new(),
            },
        );
    }

    /// The record of a held message.
    pub(super) fn record(&self, number: u64) -> Option<&MessageRecord> {
        self.messages.get(&number).map(|message| &message.record)
    }

    /// Whether a message is neither delivered nor given up.
    pub(super) fn is_open(&self, number: u64) -> bool {
        self.messages
            .get(&number)
            .is_some_and(|message| message.state == MessageState::Open)
    }

    /// The number of the held message with this id, if it was given up and the platform has not confirmed its report.
    pub(super) fn number_being_reported(&self, id: &Rc<str>) -> Option<u64> {
        let number = *self.numbers_by_id.get(id)?;
        let message = self.messages.get(&number)?;
        (message.state == MessageState::Reporting).then_some(number)
    }

    /// Whether any attempt of a message has no result yet.
    pub(super) fn has_attempts_in_flight(&self, number: u64) -> bool {
        self.messages
            .get(&number)
            .is_some_and(|message| message.attempts_in_flight > 0)
    }

    /// Whether a message with this id is held or was recently closed.
    pub(super) fn is_known(&self, id: &Rc<str>) -> bool {
        self.numbers_by_id.contains_key(id) || self.wal.recently_closed.contains(id)
    }

    /// Moves a message to another state. If it is closed, this is recorded in the log.
    pub(super) fn advance(&mut self, number: u64, state: MessageState) {
        let Some(message) = self.messages.get_mut(&number) else {
            return;
        };
        let key = deadline_key(&message.record);
        match message.state {
            MessageState::Open => {
                self.open_count -= 1;
                self.by_deadline.remove(&key);
            }
            MessageState::Unsettled => _ = self.unsettled_by_deadline.remove(&key),
            MessageState::Reporting | MessageState::Closed => {}
        }
        match state {
            MessageState::Open => {
                self.open_count += 1;
                self.by_deadline.insert(key);
            }
            MessageState::Unsettled => _ = self.unsettled_by_deadline.insert(key),
            MessageState::Reporting | MessageState::Closed => {}
        }
        message.state = state;
        if state == MessageState::Closed {
            let id = &message.record.id;
            match message.record.final_status {
                Some(status) => self.wal.append_closed_by_report(number, id, status),
                None => self.wal.append_closed(number, id),
            }
        }
        self.remove_if_finished(number);
    }

    /// Removes the open message with the earliest deadline from the deadline order, if that deadline is before an
    /// instant. The message itself stays in the store.
    pub(super) fn pop_overdue(&mut self, before: Millis) -> Option<u64> {
        let first = *self.by_deadline.first()?;
        let (deadline_bits, number) = first;
        if f64::from_bits(deadline_bits) >= before {
            return None;
        }
        self.by_deadline.remove(&first);
        Some(number)
    }

    /// The unsettled message with the earliest deadline, and that deadline.
    pub(super) fn first_unsettled(&self) -> Option<(u64, Millis)> {
        let (deadline_bits, number) = self.unsettled_by_deadline.first()?;
        Some((*number, f64::from_bits(*deadline_bits)))
    }

    /// The number of messages that are delivered by successes that are not settled yet.
    pub(super) fn unsettled_count(&self) -> usize {
        self.unsettled_by_deadline.len()
    }

    /// Removes a message if it is closed and has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, number: u64) {
        let finished = self.messages.get(&number).is_some_and(|message| {
            message.state == MessageState::Closed && message.attempts_in_flight == 0
        });
        if finished
            && let Some(message) = self.messages.remove(&number)
            && self.numbers_by_id.get(&message.record.id) == Some(&number)
        {
            self.numbers_by_id.remove(&message.record.id);
        }
    }
}
