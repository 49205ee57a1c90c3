//! Owns the entries of how routed tasks and transactions end, and the ledger's compaction. It must never end a
//! transaction twice.

use martenlatch_clock::{Millis, nanos};
use martenlatch_ledger::Notice;
use martenlatch_policy::interface::{Event, MessageId, Outcome};
use tracing::debug;

use super::desk::{Desk, State};
use super::relay::Relay;
use crate::regions::Done;

/// Enters how routed tasks and transactions end.
pub struct Book;

impl Book {
    /// A routed task has ended: the record of a proof that it never ran, and what the module is told.
    pub(super) fn task(&self, done: Done, desk: &mut Desk, relay: &mut Relay) -> Option<Event> {
        let (id, attempt, outcome) = (done.id, done.attempt, done.outcome);
        let count = &mut desk.counters;
        *match outcome {
            Outcome::Success => &mut count.success,
            Outcome::Failure => &mut count.failure,
            Outcome::Overloaded { .. } => &mut count.short_on_capacity,
            Outcome::TimedOut => &mut count.timed_out,
            Outcome::Unreachable => &mut count.unreachable,
            Outcome::ConnectionLost => &mut count.broken,
            Outcome::StaleConnection => &mut count.stale,
            Outcome::Cancelled => &mut count.withdrawn,
            Outcome::NotSent | Outcome::AttemptsExhausted => &mut count.not_sent,
        } += 1;
        let t = desk.held.get_mut(&id.0)?;
        let (no, took_ms, to) = (id.0, done.took as u64, t.taken.destination);
        debug!(
            no,
            attempt,
            destination = to,
            ?outcome,
            took_ms,
            "came back"
        );
        t.out = t.out.saturating_sub(1);
        if outcome.never_ran()
            && let Some(task) = t
                .taken
                .tasks
                .get_mut(attempt as usize)
                .filter(|t| !t.never_ran)
        {
            task.never_ran = true;
            desk.ledger.never_ran(id.0, attempt as usize);
        }
        // One that is answered as it is given up has its one end by the answer, while the platform has not been told.
        let open = t.state == State::Open
            || (t.state == State::Ending && outcome == Outcome::Success && relay.withdraw(id.0));
        if open && (outcome == Outcome::Success || done.over) {
            desk.counters.called_over += u64::from(done.over);
            if let Some(group) = desk.figures.of(&t.taken.class) {
                *if done.over {
                    &mut group.errored
                } else {
                    &mut group.answered
                } += 1;
            }
            desk.pass(id.0, State::Over);
        } else {
            desk.forget(id.0);
        }
        let finished = desk.held.get(&id.0).is_none_or(|t| t.state != State::Open);
        let took = nanos(done.took);
        Some(Event::AttemptEnded {
            id,
            attempt,
            outcome,
            took,
            finished,
        })
    }

    /// A transaction ends undelivered: its notice is owed from here on.
    pub(super) fn end(&self, id: MessageId, notice: Notice, desk: &mut Desk, relay: &mut Relay) {
        let Some(t) = desk.held.get_mut(&id.0).filter(|t| t.state == State::Open) else {
            return;
        };
        t.taken.ending = Some(notice);
        desk.counters.untried_ended += u64::from(std::mem::take(&mut t.untried));
        debug!(
            no = id.0,
            destination = t.taken.destination,
            ?notice,
            "ends"
        );
        desk.ledger.ending(id.0, notice);
        desk.pass(id.0, State::Ending);
        relay.queue.push_back(id.0);
    }

    /// The platform has confirmed an end.
    pub(super) fn confirmed(&self, no: u64, desk: &mut Desk) {
        let told = desk.held.get(&no).map(|t| &t.taken);
        if let Some((taken, group)) = told.and_then(|t| Some((t, desk.figures.of(&t.class)?))) {
            match taken.ending {
                Some(Notice::Deferred(_)) => group.deferred += 1,
                _ => group.errored += 1,
            }
        }
        desk.pass(no, State::Over);
    }

    pub(super) fn tidy(&self, desk: &mut Desk, now: Millis) {
        if desk.ledger.wants_compaction(now) {
            let held = desk.held.values().filter(|t| t.state != State::Over);
            if !desk.ledger.compact(held.map(|t| &t.taken)) {
                desk.ledger.compaction_failed(now);
            }
        }
    }
}
