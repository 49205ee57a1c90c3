//! Owns the entries of how routed tasks and transactions end, and the wal's compaction. It must never end a
//! transaction twice.

use martenlatch_clock::{Millis, nanos};
use martenlatch_policy::interface::{Event, MessageId, Outcome};
use martenlatch_wal::FinalStatus;
use tracing::debug;

use super::message_store::{MessageStore, State};
use super::status_reports::StatusReporter;
use crate::egress::AttemptResult;

/// Enters how routed tasks and transactions end.
pub struct Completion;

impl Completion {
    /// A routed task has ended: the record of a proof that it never ran, and what the module is told.
    pub(super) fn task(
        &self,
        done: AttemptResult,
        store: &mut MessageStore,
        status_reporter: &mut StatusReporter,
    ) -> Option<Event> {
        let (id, attempt, outcome) = (done.id, done.attempt, done.outcome);
        let count = &mut store.counters;
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
        let t = store.held.get_mut(&id.0)?;
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
                .attempts
                .get_mut(attempt as usize)
                .filter(|t| !t.never_ran)
        {
            task.never_ran = true;
            store.wal.append_never_ran(id.0, attempt as usize);
        }
        // One that is answered as it is given up has its one end by the answer, while the platform has not been told.
        let open = t.state == State::Open
            || (t.state == State::Ending
                && outcome == Outcome::Success
                && status_reporter.withdraw(id.0));
        if open && (outcome == Outcome::Success || done.over) {
            store.counters.called_over += u64::from(done.over);
            if let Some(group) = store.class_metrics.of(&t.taken.class) {
                *if done.over {
                    &mut group.errored
                } else {
                    &mut group.answered
                } += 1;
            }
            store.pass(id.0, State::Over);
        } else {
            store.forget(id.0);
        }
        let finished = store.held.get(&id.0).is_none_or(|t| t.state != State::Open);
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
    pub(super) fn end(
        &self,
        id: MessageId,
        notice: FinalStatus,
        store: &mut MessageStore,
        status_reporter: &mut StatusReporter,
    ) {
        let Some(t) = store.held.get_mut(&id.0).filter(|t| t.state == State::Open) else {
            return;
        };
        t.taken.final_status = Some(notice);
        store.counters.untried_ended += u64::from(std::mem::take(&mut t.untried));
        debug!(
            no = id.0,
            destination = t.taken.destination,
            ?notice,
            "ends"
        );
        store.wal.append_final_status(id.0, notice);
        store.pass(id.0, State::Ending);
        status_reporter.queue.push_back(id.0);
    }

    /// The platform has confirmed an end.
    pub(super) fn confirmed(&self, no: u64, store: &mut MessageStore) {
        let told = store.held.get(&no).map(|t| &t.taken);
        if let Some((taken, group)) =
            told.and_then(|t| Some((t, store.class_metrics.of(&t.class)?)))
        {
            match taken.final_status {
                Some(FinalStatus::Deferred(_)) => group.deferred += 1,
                _ => group.errored += 1,
            }
        }
        store.pass(no, State::Over);
    }

    pub(super) fn tidy(&self, store: &mut MessageStore, now: Millis) {
        if store.wal.wants_compaction(now) {
            let held = store.held.values().filter(|t| t.state != State::Over);
            if !store.wal.compact(held.map(|t| &t.taken)) {
                store.wal.compaction_failed(now);
            }
        }
    }
}
