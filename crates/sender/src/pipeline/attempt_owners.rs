//! Checks that each attempt that the decision module counts as in flight has an owner: a connection of egress, a result
//! that has not been processed, or an event that the module has not seen.
//!
//! An attempt without an owner would never end, and would use up capacity for as long as the processes replace one
//! another. It is counted and logged as a defect, and ended.

use std::collections::BTreeSet;

use martenlatch_policy::interface::{Event, MessageId, Outcome};

use super::driver::Driver;
use crate::egress::{AttemptResult, Evidence, MessageGone};
use crate::safety::Violation;

/// A message and the number of its attempt.
type AttemptKey = (MessageId, u32);

impl Driver {
    /// Runs [`Driver::end_ownerless_attempts`] if the numbers of attempts show that there may be one.
    pub(super) fn check_attempt_owners(&mut self) {
        let owned = self.egress.active_attempts()
            + self.egress.results.len()
            + self
                .decision
                .events
                .iter()
                .filter_map(ended_attempt)
                .count();
        if self.decision.policy.in_flight_count() > owned {
            self.end_ownerless_attempts();
        }
    }

    /// Ends the attempts in flight that have no owner. Returns whether there were any.
    pub(super) fn end_ownerless_attempts(&mut self) -> bool {
        let ownerless = self.ownerless_attempts();
        for (id, attempt) in &ownerless {
            let subject = format_args!("attempt {attempt} of message {}", id.0);
            self.violations
                .check(Err(Violation::AttemptWithoutOwner), subject);
            self.end_ownerless_attempt(*id, *attempt);
        }
        !ownerless.is_empty()
    }

    fn ownerless_attempts(&self) -> Vec<AttemptKey> {
        let results = self.egress.results.iter();
        let mut owned: BTreeSet<AttemptKey> =
            results.map(|result| (result.id, result.attempt)).collect();
        owned.extend(self.egress.active());
        owned.extend(self.decision.events.iter().filter_map(ended_attempt));
        let in_flight = self.decision.policy.attempts_in_flight();
        in_flight.filter(|key| !owned.contains(key)).collect()
    }

    fn end_ownerless_attempt(&mut self, id: MessageId, attempt: u32) {
        let record = self.store.record(id.0);
        let recorded = record.and_then(|record| record.attempts.get(attempt as usize));
        let Some(recorded) = recorded else {
            self.decision.events.push(Event::AttemptEnded {
                id,
                attempt,
                outcome: Outcome::NotSent,
                took: 0,
                finished: !self.store.is_open(id.0),
            });
            return;
        };
        let outcome = if recorded.never_ran {
            Outcome::NotSent
        } else {
            Outcome::Cancelled
        };
        self.egress.results.push(AttemptResult {
            id,
            attempt,
            endpoint: None,
            outcome,
            took: 0.0,
            gone: MessageGone::No,
            evidence: Evidence::Certain,
        });
    }
}

fn ended_attempt(event: &Event) -> Option<AttemptKey> {
    match event {
        Event::AttemptEnded { id, attempt, .. } => Some((*id, *attempt)),
        _ => None,
    }
}
