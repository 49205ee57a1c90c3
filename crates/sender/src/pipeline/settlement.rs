//! What follows once it is known whether a response belonged to its request.
//!
//! A response that could be a copy of an earlier one on its connection is uncertain when it arrives
//! ([`crate::egress::Evidence`]). A message that it delivers is held until the response is settled, and a rejection does not
//! yet prove that its attempt never ran. If a response turns out to be doubtful, its message is opened again and the
//! decision module decides on it as after a restart: it is sent again where that is safe, else reported. A message that
//! was closed before the doubt arose is reported. A report of a message that was delivered after all does no harm.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use martenlatch_clock::{Millis, millis};
use martenlatch_policy::interface::{Event, MessageId};
use martenlatch_wal::{FinalStatus, MessageRecord};
use tracing::warn;

use super::completion::{self, LATE_SUCCESS_GUARD};
use super::driver::Driver;
use super::message_store::{DeadlineKey, MessageState, MessageStore, StoredMessage, deadline_key};
use crate::egress::{AnsweredAttempt, MessageGone, RequestedWait, Settlement, SurplusBytes};

/// The largest number of closed messages that are remembered in case of a later doubt.
const MAX_CLOSED: usize = 4_096;
/// How long behind its deadline a closed message is still reported when its response turns out to be doubtful.
const LATE_DOUBT_GRACE: Millis = 200.0;
/// How long before its deadline an unsettled message is reported, so that its report comes in time.
const REPORT_LEAD: Millis = LATE_SUCCESS_GUARD;

/// A message that was closed by a response that had been uncertain.
struct ClosedMessage {
    /// The attempt whose response has closed it.
    attempt: u32,
    id: Rc<str>,
    class: Rc<str>,
    destination: u64,
    deadline: Millis,
    class_rules: Rc<[u8]>,
}

/// The messages that were closed by responses that had been uncertain, until shortly behind their deadlines; earliest
/// deadline first.
#[derive(Default)]
pub(super) struct ClosedMessages(BTreeMap<DeadlineKey, ClosedMessage>);

impl ClosedMessages {
    fn remember(&mut self, record: &MessageRecord, attempt: u32, now: Millis) {
        while let Some(first) = self.0.first_entry()
            && !first.get().may_be_reported(now)
        {
            first.remove();
        }
        if self.0.len() >= MAX_CLOSED {
            self.0.pop_first();
        }
        let closed = ClosedMessage {
            attempt,
            id: record.id.clone(),
            class: record.class.clone(),
            destination: record.destination,
            deadline: record.deadline,
            class_rules: record.class_rules.clone(),
        };
        self.0.insert(deadline_key(record), closed);
    }

    /// Takes the message that the response to an attempt has closed.
    fn take(&mut self, answered: AnsweredAttempt) -> Option<ClosedMessage> {
        let (key, _) = self.0.iter().find(|((_, number), closed)| {
            *number == answered.id.0 && closed.attempt == answered.attempt
        })?;
        let key = *key;
        self.0.remove(&key)
    }
}

impl Driver {
    /// Processes what is known since the last call about uncertain responses.
    pub(super) fn process_settlements(&mut self, now: Millis) {
        for surplus in self.egress.take_surplus(now) {
            self.process_surplus(&surplus, now);
        }
        for wait in self.egress.take_requested_waits() {
            self.keep_to_wait(wait, now);
        }
        for settlement in self.egress.take_settlements() {
            match settlement {
                Settlement::Confirmed(answered) => self.confirm_response(answered, now),
                Settlement::Contested(answered) => self.contest_response(answered),
                Settlement::Doubtful { answered, gone } => self.doubt_response(answered, gone, now),
                Settlement::PossiblyGone(answered) => self.end_if_open(answered, now),
            }
        }
    }

    /// Logs bytes that belong to no request, and keeps to the wait for which they may ask.
    fn process_surplus(&mut self, surplus: &SurplusBytes, now: Millis) {
        self.store.counters.surplus_responses += 1;
        let endpoint = self.directory.endpoint_name(surplus.endpoint);
        warn!(
            endpoint = endpoint.as_deref().unwrap_or("unlisted"),
            bytes = surplus.length,
            closed = surplus.is_closed,
            last_answered = surplus.last_answered.map(|id| id.0),
            "unexpected bytes from an endpoint"
        );
        if surplus.retry_after > 0 {
            let wait = RequestedWait {
                endpoint: surplus.endpoint,
                retry_after: surplus.retry_after,
            };
            self.keep_to_wait(wait, now);
        }
    }

    fn keep_to_wait(&mut self, wait: RequestedWait, now: Millis) {
        let RequestedWait {
            endpoint,
            retry_after,
        } = wait;
        let Some(destination) = self.directory.destination(endpoint) else {
            return;
        };
        let kind = self.directory.kind(endpoint);
        self.retry_after_table
            .extend(destination, endpoint, kind, now + millis(retry_after), now);
        self.egress
            .cancel_unsent(|unsent, _| unsent == destination, now);
        self.decision.events.push(Event::RetryAfterReceived {
            endpoint,
            retry_after,
        });
    }

    /// A response belonged to its request: its message is closed, or its attempt never ran.
    pub(super) fn confirm_response(&mut self, answered: AnsweredAttempt, now: Millis) {
        let (number, attempt) = (answered.id.0, answered.attempt);
        let Some(message) = self.store.messages.get_mut(&number) else {
            return;
        };
        take_attempt(&mut message.contested_attempts, attempt);
        if take_attempt(&mut message.unsettled_rejections, attempt)
            && completion::mark_never_ran(message, attempt as usize)
        {
            self.store.wal.append_never_ran(number, attempt as usize);
            return;
        }
        let had_succeeded = take_attempt(&mut message.unsettled_successes, attempt);
        if had_succeeded && message.state == MessageState::Unsettled {
            self.closed_in_doubt.remember(&message.record, attempt, now);
            completion::close_delivered(number, &mut self.store);
        }
    }

    /// A later response may say that the message of an attempt is over: nothing is sent for it until that is settled. If it
    /// seems to be delivered, its end is recorded now, so that no later process sends it either; the record counts for
    /// nothing once the message is closed.
    pub(super) fn contest_response(&mut self, answered: AnsweredAttempt) {
        let number = answered.id.0;
        let Some(message) = self.store.messages.get_mut(&number) else {
            return;
        };
        message.contested_attempts.push(answered.attempt);
        if message.state == MessageState::Unsettled {
            let status = FinalStatus::Undeliverable;
            message.record.final_status = Some(status);
            self.store.wal.append_final_status(number, status);
        }
    }

    /// A response may belong to another request: its message is opened again or reported. `gone` says whether the real
    /// response may say that the message is over.
    pub(super) fn doubt_response(
        &mut self,
        answered: AnsweredAttempt,
        gone: MessageGone,
        now: Millis,
    ) {
        let (number, attempt) = (answered.id.0, answered.attempt);
        self.store.counters.doubtful_responses += 1;
        let Some(message) = self.store.messages.get_mut(&number) else {
            return self.report_closed(answered, now);
        };
        take_attempt(&mut message.contested_attempts, attempt);
        let was_rejected = take_attempt(&mut message.unsettled_rejections, attempt);
        let had_succeeded = take_attempt(&mut message.unsettled_successes, attempt);
        let was_never_ran = !was_rejected && mark_may_have_run(message, attempt as usize);
        if was_never_ran {
            let sent_at = message.record.attempts[attempt as usize].sent_at;
            self.store
                .wal
                .append_attempt(number, attempt as usize, sent_at);
        }
        warn!(
            number,
            id = %message.record.id,
            attempt,
            was_rejected,
            had_ended = had_succeeded,
            ?gone,
            "response may belong to another request"
        );
        let has_recorded_end = message.record.final_status.is_some();
        match message.state {
            MessageState::Open | MessageState::Unsettled
                if gone == MessageGone::Possibly || has_recorded_end =>
            {
                self.end_if_open(answered, now);
            }
            MessageState::Open if was_rejected || was_never_ran => self.reopen(answered.id, now),
            MessageState::Unsettled if message.unsettled_successes.is_empty() => {
                self.store.advance(number, MessageState::Open);
                self.reopen(answered.id, now);
            }
            MessageState::Closed if !had_succeeded && !was_rejected => {
                self.report_closed(answered, now)
            }
            _ => {}
        }
    }

    /// Reports a message that may be over, unless it has ended: no further request may be sent for it.
    fn end_if_open(&mut self, answered: AnsweredAttempt, now: Millis) {
        let message = self.store.messages.get(&answered.id.0);
        let is_open = message.is_some_and(|message| {
            matches!(message.state, MessageState::Open | MessageState::Unsettled)
        });
        if !is_open {
            return;
        }
        self.store.counters.possibly_gone += 1;
        self.give_up(answered.id, FinalStatus::Undeliverable, now);
        self.decision.events.push(Event::ClientLeft(answered.id));
    }

    /// Has the decision module decide on a message again, some attempt of which may have run.
    fn reopen(&mut self, id: MessageId, now: Millis) {
        self.store.counters.reopened += 1;
        self.egress.withdraw_incomplete(id, now);
        let event = self.store.messages.get(&id.0).and_then(|message| {
            self.admission
                .resumed_event(&message.record, &message.attempt_zones)
        });
        match event {
            Some(event) => self.decision.events.push(event),
            None => self.give_up(id, FinalStatus::Undeliverable, now),
        }
    }

    /// Reports a message that was closed by a response that turns out to be doubtful.
    fn report_closed(&mut self, answered: AnsweredAttempt, now: Millis) {
        let Some(closed) = self.closed_in_doubt.take(answered) else {
            return;
        };
        if !closed.may_be_reported(now) {
            return;
        }
        warn!(number = answered.id.0, id = %closed.id, "closed message reported, its response may belong to another request");
        self.store.counters.reported_in_doubt += 1;
        let record = closed.into_record(&mut self.store);
        self.status_reporter.enqueue(&record);
        let new_number = record.number;
        self.store.insert(record, MessageState::Reporting);
        if let Some(message) = self.store.messages.get_mut(&new_number) {
            message.end_counted = true;
        }
    }

    /// Ends the messages whose deadlines come before their responses are settled: they are reported if any endpoint has
    /// repeated responses recently or silence alone does not settle the response, else they count as delivered.
    pub(super) fn end_unsettled(&mut self, now: Millis) {
        while let Some((number, deadline)) = self.store.first_unsettled()
            && deadline - REPORT_LEAD <= now
        {
            let id = MessageId(number);
            if self.egress.has_recent_surplus(now) || self.egress.lacks_answer_behind(id) {
                self.store.counters.reported_in_doubt += 1;
                self.give_up(id, FinalStatus::Undeliverable, now);
            } else {
                self.close_unsettled(number, now);
            }
        }
    }

    /// Closes an unsettled message as delivered. Its response may still turn out to be doubtful.
    fn close_unsettled(&mut self, number: u64, now: Millis) {
        if let Some(message) = self.store.messages.get(&number)
            && let Some(attempt) = message.unsettled_successes.last()
        {
            self.closed_in_doubt
                .remember(&message.record, *attempt, now);
        }
        completion::close_delivered(number, &mut self.store);
    }

    /// When [`Driver::end_unsettled`] has something to do next.
    pub(super) fn unsettled_deadline(&self) -> Millis {
        self.store
            .first_unsettled()
            .map_or(f64::INFINITY, |(_, deadline)| deadline - REPORT_LEAD)
    }

    /// Tells the decision module what the records of a predecessor's messages say of their attempts: the predecessor may
    /// not have settled some responses. A message whose response is read again is left alone until then.
    pub(super) fn resume_inherited(&mut self) {
        let policy = &self.decision.policy;
        let read_again: BTreeSet<MessageId> = self
            .egress
            .active()
            .filter(|(id, attempt)| !policy.is_in_flight(*id, *attempt))
            .map(|(id, _)| id)
            .collect();
        let may_differ = |number: u64, record: &MessageRecord| {
            let may_have_run = record.attempts.iter().any(|attempt| !attempt.never_ran);
            may_have_run || !policy.holds_open(MessageId(number))
        };
        let events: Vec<Event> = self
            .store
            .messages
            .iter()
            .filter(|(_, message)| message.state == MessageState::Open)
            .filter(|(number, _)| !read_again.contains(&MessageId(**number)))
            .filter(|(number, message)| may_differ(**number, &message.record))
            .filter_map(|(_, message)| {
                self.admission
                    .resumed_event(&message.record, &message.attempt_zones)
            })
            .collect();
        self.decision.events.extend(events);
    }
}

impl ClosedMessage {
    /// Whether a report of the message would still come in time.
    fn may_be_reported(&self, now: Millis) -> bool {
        now < self.deadline + LATE_DOUBT_GRACE
    }

    /// A new record of the message, with a status that is still to be reported.
    fn into_record(self, store: &mut MessageStore) -> MessageRecord {
        let record = MessageRecord {
            number: store.next_number,
            id: self.id,
            class: self.class,
            destination: self.destination,
            deadline: self.deadline,
            idempotency_key: None,
            body: Rc::from([]),
            attempts: Vec::new(),
            final_status: Some(FinalStatus::Undeliverable),
            class_rules: self.class_rules,
        };
        store.next_number += 1;
        store
            .wal
            .append_message_with_final_status(&record, FinalStatus::Undeliverable);
        record
    }
}

/// Marks an attempt that seemed never to have run as one that may have run. Returns false if it already was.
fn mark_may_have_run(message: &mut StoredMessage, attempt: usize) -> bool {
    match message.record.attempts.get_mut(attempt) {
        Some(record) if record.never_ran => {
            record.never_ran = false;
            true
        }
        _ => false,
    }
}

/// Removes an attempt from a list. Returns whether it was in the list.
fn take_attempt(attempts: &mut Vec<u32>, attempt: u32) -> bool {
    let position = attempts.iter().position(|number| *number == attempt);
    position.map(|index| attempts.remove(index)).is_some()
}
