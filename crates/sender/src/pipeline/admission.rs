//! Admission: decides whether a message that a client has sent is accepted.
//!
//! An accepted message is recorded in the write-ahead log before its client is answered. It counts as accepted only
//! once the client has been answered. If the client has left by then, it will send the message again, so the record is
//! revoked.

use martenlatch_clock::{Millis, nanos};
use martenlatch_policy::interface::{
    ClassId, DestinationId, Event, MessageId, PastAttempt, ZoneId,
};
use martenlatch_wal::{FinalStatus, MessageRecord};
use tracing::debug;

use super::ingress::IncomingMessage;
use super::message_store::{MessageState, MessageStore};
use super::status_reports::StatusReporter;
use crate::class_rules::ClassRules;
use crate::discovery::EndpointDirectory;

/// The decision on an incoming message.
pub(super) enum AdmissionDecision {
    /// It is recorded in the log, and its client may be answered.
    Accepted(RecordedMessage),
    /// It was accepted before and is still open, or was delivered.
    Duplicate,
    /// It was accepted before and has ended undelivered. The client may learn only now that it was accepted, so its
    /// report is sent again after the answer: the platform may have ignored the first report.
    EndedDuplicate(EndedMessage),
    /// It was accepted before and was reported undeliverable, but the log cannot record that another report is due.
    Undeliverable,
    /// It cannot be accepted now; the client may send it again later.
    Rejected,
    /// Discovery has never listed its destination.
    UnknownDestination,
}

/// A message that has ended undelivered and that its client has sent again.
pub(super) enum EndedMessage {
    /// Its report is not confirmed yet. Contains the message's number.
    Reporting(u64),
    /// Its report was confirmed. Contains a new record of the message.
    Reported(MessageRecord),
}

/// A message that is recorded in the write-ahead log but not yet in the store.
pub(super) struct RecordedMessage {
    record: MessageRecord,
    class: ClassId,
}

/// The limits and class rules by which messages are accepted.
pub struct Admission {
    /// The largest number of open messages.
    pub(super) max_open_messages: usize,
    /// The names of the message classes, in the order of the settings.
    pub(super) classes: Vec<String>,
    pub(super) class_rules: ClassRules,
}

impl Admission {
    /// Decides on an incoming message, and records it in the log if it is accepted.
    pub(super) fn decide(
        &self,
        message: IncomingMessage,
        store: &mut MessageStore,
        directory: &EndpointDirectory,
        accepting_stopped: bool,
    ) -> AdmissionDecision {
        if store.is_known(&message.id) {
            store.counters.duplicates += 1;
            return self.decide_on_duplicate(message, store);
        }
        match directory.is_known_destination(message.destination) {
            Some(true) => self.accept_if_room(message, store, accepting_stopped),
            Some(false) => {
                store.counters.bad_requests += 1;
                let class = &self.classes[message.class];
                store.class_metrics.count_errored(class);
                AdmissionDecision::UnknownDestination
            }
            // The destination may be new: discovery has not answered this process yet.
            None => self.reject(message.class, store),
        }
    }

    /// Decides on a message that its client has sent again. If it has ended with a status report, it is recorded again
    /// before the answer.
    fn decide_on_duplicate(
        &self,
        message: IncomingMessage,
        store: &mut MessageStore,
    ) -> AdmissionDecision {
        if let Some(number) = store.number_being_reported(&message.id) {
            return AdmissionDecision::EndedDuplicate(EndedMessage::Reporting(number));
        }
        let Some(status) = store.wal.recently_closed.reported_status(&message.id) else {
            return AdmissionDecision::Duplicate;
        };
        let class = message.class;
        let mut record = self.new_record(message, store.next_number);
        record.final_status = Some(status);
        if store.wal.append_message_with_final_status(&record, status) {
            store.next_number += 1;
            return AdmissionDecision::EndedDuplicate(EndedMessage::Reported(record));
        }
        // Without a record no further report can be guaranteed, so the answer states what the earlier report stated.
        match status {
            FinalStatus::Deferred(_) => self.reject(class, store),
            FinalStatus::Undeliverable => AdmissionDecision::Undeliverable,
        }
    }

    /// Accepts a message if the process is still accepting, the number of open messages is below its limit, and the log
    /// can record the message.
    fn accept_if_room(
        &self,
        message: IncomingMessage,
        store: &mut MessageStore,
        accepting_stopped: bool,
    ) -> AdmissionDecision {
        let class = message.class;
        let record = self.new_record(message, store.next_number);
        if accepting_stopped
            || store.open_count >= self.max_open_messages
            || !store.wal.append_message(&record)
        {
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
            idempotency_key: message.idempotency_key,
            body: message.body,
            attempts: Vec::new(),
            final_status: None,
            class_rules: class.encoded_rules.clone(),
        }
    }

    fn reject(&self, class: usize, store: &mut MessageStore) -> AdmissionDecision {
        let class = &self.classes[class];
        debug!(class = %class, open = store.open_count, "rejected");
        store.counters.rejected += 1;
        store.class_metrics.count_deferred(class);
        AdmissionDecision::Rejected
    }

    /// Adds to the store a message that an earlier process accepted and did not close. Returns the event for the
    /// decision module, unless only the message's status report is due.
    pub(super) fn resume(
        &self,
        record: MessageRecord,
        store: &mut MessageStore,
        status_reporter: &mut StatusReporter,
    ) -> Option<Event> {
        store.counters.resumed += 1;
        let number = record.number;
        // The log does not contain the zones of attempts.
        let event = self.resumed_event(&record, &[]);
        // The message ended in an earlier process, or its class is unknown.
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

    /// The event for the decision module about a resumed message, the zones of whose attempts are `zones`. `None` if the
    /// message's class is unknown.
    pub(super) fn resumed_event(
        &self,
        record: &MessageRecord,
        zones: &[Option<ZoneId>],
    ) -> Option<Event> {
        let class = self
            .class_rules
            .index_of(&record.class, &record.class_rules)?;
        let past_attempts = record.attempts.iter().enumerate();
        let past_attempts = past_attempts.map(|(number, attempt)| PastAttempt {
            zone: zones.get(number).copied().flatten(),
            sent_at: nanos(attempt.sent_at),
            may_have_run: !attempt.never_ran,
        });
        Some(Event::MessageResumed {
            id: MessageId(record.number),
            destination: DestinationId(record.destination),
            class: ClassId(class),
            deadline: nanos(record.deadline),
            attempts: past_attempts.collect(),
        })
    }
}

impl EndedMessage {
    /// Queues the status report again, after the client has been answered.
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

    /// Revokes the new record, as the client left before its answer and will send the message again.
    pub(super) fn revoke(self, store: &mut MessageStore) {
        if let EndedMessage::Reported(record) = self {
            store.wal.append_revoked(record.number);
        }
    }
}

impl RecordedMessage {
    /// Adds the message to the store, after its client has been answered. Returns the event for the decision module.
    pub(super) fn insert_into(self, store: &mut MessageStore, now: Millis) -> Event {
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

    /// Revokes the record, as the client left before its answer: when it sends the message again, that must not count
    /// as a duplicate.
    pub(super) fn revoke(self, store: &mut MessageStore) {
        store.counters.clients_left += 1;
        store.wal.append_revoked(self.record.number);
    }
}
