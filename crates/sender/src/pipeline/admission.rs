//! Owns the step from a request to a transaction: the record first, the answer then. It decides nothing but whether
//! there is room, and must never answer 202 before the wal has the record.

use martenlatch_clock::{Millis, nanos};
use martenlatch_policy::interface::{ClassId, DestinationId, Event, MessageId};
use martenlatch_wal::MessageRecord;
use tracing::debug;

use super::ingress::{IncomingMessage, Ingress};
use super::message_store::{MessageStore, State};
use super::status_reports::StatusReporter;
use crate::class_rules::ClassRules;
use crate::discovery::EndpointDirectory;

/// Decides nothing but whether there is room: records first, answers then.
pub struct Admission {
    pub(super) max_held: usize,
    pub(super) classes: Vec<String>,
    pub(super) class_rules: ClassRules,
}

impl Admission {
    pub(super) fn admit(
        &self,
        h: IncomingMessage,
        store: &mut MessageStore,
        ingress: &mut Ingress,
        directory: &EndpointDirectory,
        stopped: bool,
        now: Millis,
    ) -> Option<Event> {
        if store.numbers.contains_key(&h.id) || store.wal.over.contains(&h.id) {
            store.counters.repeated += 1;
            ingress.answer(h.client, 202, "", now);
            return None;
        }
        // A destination that discovery has never listed cannot be served; until it has spoken in this life, it
        // may be a new one.
        match directory.serves(h.destination) {
            Some(true) => {}
            Some(false) => {
                store.counters.bad += 1;
                store
                    .class_metrics
                    .of(&self.classes[h.class])
                    .into_iter()
                    .for_each(|g| g.errored += 1);
                ingress.close(h.client);
                ingress.answer(h.client, 404, "", now);
                return None;
            }
            None => {
                self.turn_away(h.class, h.client, store, ingress, now);
                return None;
            }
        }
        let (no, attempts, class, client) = (store.next, Vec::new(), h.class, h.client);
        let promise = self.class_rules.at(class);
        let (name, rules) = (promise.name.clone(), promise.rules.clone());
        let (id, destination, deadline, final_status) = (h.id, h.destination, h.deadline, None);
        let taken = MessageRecord {
            no,
            id,
            class: name,
            destination,
            deadline,
            key: h.key,
            body: h.body,
            attempts,
            final_status,
            rules,
        };
        if stopped || store.open >= self.max_held || !store.wal.append_message(&taken) {
            self.turn_away(class, client, store, ingress, now);
            return None;
        }
        store.next += 1;
        if !ingress.answer(client, 202, "", now) {
            // Nobody has it: the same request on a new connection must not be taken for one that is over.
            store.counters.left += 1;
            store.wal.append_revoked(no);
            return None;
        }
        store.counters.taken += 1;
        let (id, destination, class) = (
            MessageId(no),
            DestinationId(taken.destination),
            ClassId(class),
        );
        let deadline = nanos(taken.deadline);
        let (left_ms, to) = ((taken.deadline - now) as u64, taken.destination);
        debug!(no, destination = to, class = %taken.class, left_ms, "taken on");
        store.insert(taken, State::Open);
        Some(Event::MessageAccepted {
            id,
            destination,
            class,
            deadline,
            key: None,
        })
    }

    fn turn_away(
        &self,
        class: usize,
        client: usize,
        store: &mut MessageStore,
        ingress: &mut Ingress,
        now: Millis,
    ) {
        debug!(class = %self.classes[class], open = store.open, "turned away");
        store.counters.turned_away += 1;
        store
            .class_metrics
            .of(&self.classes[class])
            .into_iter()
            .for_each(|g| g.deferred += 1);
        ingress.busy(client, now);
    }

    /// What an earlier life took on and did not end.
    pub(super) fn resume(
        &self,
        taken: MessageRecord,
        store: &mut MessageStore,
        status_reporter: &mut StatusReporter,
    ) -> Option<Event> {
        store.counters.resumed += 1;
        let class = self.class_rules.place(&taken.class, &taken.rules);
        let event = class.map(|class| Event::MessageResumed {
            id: MessageId(taken.no),
            destination: DestinationId(taken.destination),
            class: ClassId(class),
            deadline: nanos(taken.deadline),
            attempts: taken.attempts.len() as u32,
            ran: taken
                .attempts
                .iter()
                .find(|t| !t.never_ran)
                .map(|t| nanos(t.sent)),
        });
        let (no, settled) = (taken.no, taken.final_status.is_some() || event.is_none());
        let (attempts, to) = (taken.attempts.len(), taken.destination);
        debug!(no, destination = to, class = %taken.class, attempts, settled, "resumed");
        store.insert(taken, if settled { State::Ending } else { State::Open });
        let untried = attempts == 0 && !settled;
        store.counters.untried += u64::from(untried);
        store
            .held
            .get_mut(&no)
            .into_iter()
            .for_each(|t| t.untried = untried);
        if settled {
            // Its end was decided, or nothing says what its class promised.
            status_reporter.queue.push_back(no);
            return None;
        }
        event
    }
}
