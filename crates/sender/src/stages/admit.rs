//! Owns the step from a request to a transaction: the record first, the answer then. It decides nothing but whether
//! there is room, and must never answer 202 before the ledger has the record.

use martenlatch_clock::{Millis, nanos};
use martenlatch_ledger::Taken;
use martenlatch_policy::interface::{ClassId, DestinationId, Event, MessageId};
use tracing::debug;

use super::desk::{Desk, State};
use super::relay::Relay;
use super::take_in::{HandedIn, TakeIn};
use crate::promises::Promises;
use crate::table::Table;

/// Decides nothing but whether there is room: records first, answers then.
pub struct Admit {
    pub(super) max_held: usize,
    pub(super) classes: Vec<String>,
    pub(super) promises: Promises,
}

impl Admit {
    pub(super) fn admit(
        &self,
        h: HandedIn,
        desk: &mut Desk,
        take_in: &mut TakeIn,
        table: &Table,
        stopped: bool,
        now: Millis,
    ) -> Option<Event> {
        if desk.numbers.contains_key(&h.id) || desk.ledger.over.contains(&h.id) {
            desk.counters.repeated += 1;
            take_in.answer(h.client, 202, "", now);
            return None;
        }
        // A destination that discovery has never listed cannot be served; until it has spoken in this life, it
        // may be a new one.
        match table.serves(h.destination) {
            Some(true) => {}
            Some(false) => {
                desk.counters.bad += 1;
                desk.figures
                    .of(&self.classes[h.class])
                    .into_iter()
                    .for_each(|g| g.errored += 1);
                take_in.close(h.client);
                take_in.answer(h.client, 404, "", now);
                return None;
            }
            None => {
                self.turn_away(h.class, h.client, desk, take_in, now);
                return None;
            }
        }
        let (no, tasks, class, client) = (desk.next, Vec::new(), h.class, h.client);
        let promise = self.promises.at(class);
        let (name, rules) = (promise.name.clone(), promise.rules.clone());
        let (id, destination, deadline, ending) = (h.id, h.destination, h.deadline, None);
        let taken = Taken {
            no,
            id,
            class: name,
            destination,
            deadline,
            key: h.key,
            body: h.body,
            tasks,
            ending,
            rules,
        };
        if stopped || desk.open >= self.max_held || !desk.ledger.take(&taken) {
            self.turn_away(class, client, desk, take_in, now);
            return None;
        }
        desk.next += 1;
        if !take_in.answer(client, 202, "", now) {
            // Nobody has it: the same request on a new connection must not be taken for one that is over.
            desk.counters.left += 1;
            desk.ledger.never_taken(no);
            return None;
        }
        desk.counters.taken += 1;
        let (id, destination, class) = (
            MessageId(no),
            DestinationId(taken.destination),
            ClassId(class),
        );
        let deadline = nanos(taken.deadline);
        let (left_ms, to) = ((taken.deadline - now) as u64, taken.destination);
        debug!(no, destination = to, class = %taken.class, left_ms, "taken on");
        desk.insert(taken, State::Open);
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
        desk: &mut Desk,
        take_in: &mut TakeIn,
        now: Millis,
    ) {
        debug!(class = %self.classes[class], open = desk.open, "turned away");
        desk.counters.turned_away += 1;
        desk.figures
            .of(&self.classes[class])
            .into_iter()
            .for_each(|g| g.deferred += 1);
        take_in.busy(client, now);
    }

    /// What an earlier life took on and did not end.
    pub(super) fn resume(&self, taken: Taken, desk: &mut Desk, relay: &mut Relay) -> Option<Event> {
        desk.counters.resumed += 1;
        let class = self.promises.place(&taken.class, &taken.rules);
        let event = class.map(|class| Event::MessageResumed {
            id: MessageId(taken.no),
            destination: DestinationId(taken.destination),
            class: ClassId(class),
            deadline: nanos(taken.deadline),
            attempts: taken.tasks.len() as u32,
            ran: taken
                .tasks
                .iter()
                .find(|t| !t.never_ran)
                .map(|t| nanos(t.sent)),
        });
        let (no, settled) = (taken.no, taken.ending.is_some() || event.is_none());
        let (attempts, to) = (taken.tasks.len(), taken.destination);
        debug!(no, destination = to, class = %taken.class, attempts, settled, "resumed");
        desk.insert(taken, if settled { State::Ending } else { State::Open });
        let untried = attempts == 0 && !settled;
        desk.counters.untried += u64::from(untried);
        desk.held
            .get_mut(&no)
            .into_iter()
            .for_each(|t| t.untried = untried);
        if settled {
            // Its end was decided, or nothing says what its class promised.
            relay.queue.push_back(no);
            return None;
        }
        event
    }
}
