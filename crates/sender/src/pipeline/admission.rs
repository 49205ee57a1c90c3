//! Admission: whether a message that a client has sent is accepted.
//!
//! An accepted message is recorded in the write-ahead log before its client is answered. It counts as accepted only
//! once the client has been answered; a client that had left by then will send it again, so its record is revoked.

use martenlatch_clock::{Millis, nanos};
use martenlatch_policy::interface::{ClassId, DestinationId, Event, MessageId};
use martenlatch_wal::{FinalStatus, MessageRecord};
use tracing::debug;

use super::ingress::IncomingMessage;
use super::message_store::{MessageState, MessageStore};
use super::status_reports::StatusReporter;
use crate::class_rules::ClassRules;
use crate::discovery::EndpointDirectory;

/// What is decided on an incoming message.
pub(super) enum AdmissionDecision {
    /// It is recorded, and may be answered.
    Accepted(RecordedMessage),
    /// It was accepted before, and its end is still to come, or it was delivered.
    Duplicate,
    /// It was accepted before, and has ended undelivered. The client may hear only now that it was accepted: its report
    /// is owed once more behind the answer, as the platform may have counted the first one for nothing.
    Ended(EndedMessage),
    /// It was accepted before, and has ended undelivered; no record can be written of another report.
    Undeliverable,
    /// There is no room for it now; the client may send it again later.
    Rejected,
    /// Discovery has never listed its destination.
    UnknownDestination,
}

/// A message that has ended undelivered and was handed in again.
pub(super) enum EndedMessage {
    /// Its report is not confirmed yet.
    Reporting(u64),
    /// Its report was confirmed. This is what is recorded of it anew.
    Reported(MessageRecord),
}

/// A message that is recorded in the write-ahead log, and not yet held.
pub(super) struct RecordedMessage {
    record: MessageRecord,
    class: ClassId,
}

/// The limits and rules by which messages are accepted.
pub struct Admission {
    /// The most open messages.
    pub(super) max_held: usize,
    /// The classes of the settings by name.
    pub(super) classes: Vec<String>,
    pub(super) class_rules: ClassRules,
}

impl Admission {
    /// Decides on an incoming message. One that is accepted is recorded here.
    pub(super) fn decide(
        &self,
        message: IncomingMessage,
        store: &mut MessageStore,
        directory: &EndpointDirectory,
        stopped: bool,
    ) -> AdmissionDecision {
        if store.is_known(&message.id) {
            store.counters.duplicates += 1;
            return self.decide_on_duplicate(message, store);
        }
        match directory.serves(message.destination) {
            Some(true) => self.record(message, store, stopped),
            Some(false) => {
                store.counters.bad_requests += 1;
                let class = &self.classes[message.class];
                store.class_metrics.count_errored(class);
                AdmissionDecision::UnknownDestination
            }
            // Until discovery has answered this process, the destination may be a new one.
            None => self.reject(message.class, store),
        }
    }

    /// A message is handed in again. Where it has ended by a report, this is recorded anew before the answer.
    fn decide_on_duplicate(
        &self,
        message: IncomingMessage,
        store: &mut MessageStore,
    ) -> AdmissionDecision {
        if let Some(number) = store.reporting(&message.id) {
            return AdmissionDecision::Ended(EndedMessage::Reporting(number));
        }
        let Some(status) = store.wal.recently_closed.reported_status(&message.id) else {
            return AdmissionDecision::Duplicate;
        };
        let class = message.class;
        let mut record = self.new_record(message, store.next_number);
        record.final_status = Some(status);
        if store.wal.append_ended(&record, status) {
            store.next_number += 1;
            return AdmissionDecision::Ended(EndedMessage::Reported(record));
        }
        // Without a record nothing can be promised. The answer says what the report said.
        match status {
            FinalStatus::Deferred(_) => self.reject(class, store),
            FinalStatus::Undeliverable => AdmissionDecision::Undeliverable,
        }
    }

    /// Accepts a message if there is room in memory and in the log.
    fn record(
        &self,
        message: IncomingMessage,
        store: &mut MessageStore,
        stopped: bool,
    ) -> AdmissionDecision {
        let class = message.class;
        let record = self.new_record(message, store.next_number);
        if stopped || store.open >= self.max_held || !store.wal.append_message(&record) {
            return self.reject(class, store);
        }
        store.next_number += 1;
        AdmissionDecision::Accepted(RecordedMessage {
            record,
            class: ClassId(class),
        })
    }

    fn new_record(&self, message: IncomingMessage, number: u64) -> MessageRecord {
        let class = self.class_rules.get(message.class);
        MessageRecord {
            number,
            id: message.id,
            class: class.name.clone(),
            destination: message.destination,
            deadline: message.deadline,
            key: message.key,
            body: message.body,
            attempts: Vec::new(),
            final_status: None,
            rules: class.rules.clone(),
        }
    }

    fn reject(&self, class: usize, store: &mut MessageStore) -> AdmissionDecision {
        let class = &self.classes[class];
        debug!(class = %class, open = store.open, "rejected");
        store.counters.rejected += 1;
        store.class_metrics.count_deferred(class);
        AdmissionDecision::Rejected
    }

    /// Holds a message that an earlier process accepted and did not end. Returns the event for the decision module,
    /// unless the message is settled and only its status report is owed.
    pub(super) fn resume(
        &self,
        record: MessageRecord,
        store: &mut MessageStore,
        status_reporter: &mut StatusReporter,
    ) -> Option<Event> {
        store.counters.resumed += 1;
        let number = record.number;
        let event = self.resumed_event(&record);
        // Its end was decided before, or nothing says what its class promised.
        let settled = record.final_status.is_some() || event.is_none();
        let unattempted = record.attempts.is_empty() && !settled;
        debug!(
            number,
            id = %record.id,
            destination = record.destination,
            class = %record.class,
            attempts = record.attempts.len(),
            settled,
            "resumed"
        );
        let state = if settled {
            MessageState::Reporting
        } else {
            MessageState::Open
        };
        if settled {
            status_reporter.enqueue(&record);
        }
        store.insert(record, state);
        store.counters.unattempted += u64::from(unattempted);
        if let Some(message) = store.messages.get_mut(&number) {
            message.unattempted = unattempted;
        }
        event.filter(|_| !settled)
    }

    /// What the decision module is told of a resumed message; none if its class is unknown.
    fn resumed_event(&self, record: &MessageRecord) -> Option<Event> {
        let class = self.class_rules.index_of(&record.class, &record.rules)?;
        let first_run = record.attempts.iter().find(|attempt| !attempt.never_ran);
        Some(Event::MessageResumed {
            id: MessageId(record.number),
            destination: DestinationId(record.destination),
            class: ClassId(class),
            deadline: nanos(record.deadline),
            attempts: record.attempts.len() as u32,
            may_have_run_since: first_run.map(|attempt| nanos(attempt.sent)),
        })
    }
}

impl EndedMessage {
    /// The client has been answered: the report is owed once more.
    pub(super) fn report_again(
        self,
        store: &mut MessageStore,
        status_reporter: &mut StatusReporter,
    ) {
        match self {
            EndedMessage::Reporting(number) => {
                if let Some(record) = store.record(number) {
                    status_reporter.repeat(record);
                }
            }
            EndedMessage::Reported(record) => {
                let number = record.number;
                status_reporter.enqueue(&record);
                store.insert(record, MessageState::Reporting);
                if let Some(message) = store.messages.get_mut(&number) {
                    message.end_counted = true;
                }
            }
        }
    }

    /// The client had left before its answer: it will hand the message in once more.
    pub(super) fn revoke(self, store: &mut MessageStore) {
        if let EndedMessage::Reported(record) = self {
            store.wal.append_revoked(record.number);
        }
    }
}

impl RecordedMessage {
    /// The client has been answered: the message is held from here on. Returns the event for the decision module.
    pub(super) fn hold(self, store: &mut MessageStore, now: Millis) -> Event {
        store.counters.accepted += 1;
        let record = self.record;
        debug!(
            number = record.number,
            id = %record.id,
            destination = record.destination,
            class = %record.class,
            left_ms = (record.deadline - now) as u64,
            "accepted"
        );
        let event = Event::MessageAccepted {
            id: MessageId(record.number),
            destination: DestinationId(record.destination),
            class: self.class,
            deadline: nanos(record.deadline),
            key: None,
        };
        store.insert(record, MessageState::Open);
        event
    }

    /// The client had left before its answer: when it sends the message again, that must not pass for a duplicate.
    pub(super) fn revoke(self, store: &mut MessageStore) {
        store.counters.clients_left += 1;
        store.wal.append_revoked(self.record.number);
    }
}
