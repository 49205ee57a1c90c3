//! Owns the module: gathers a round's events and calls it once. It must never add a decision of its own.

use martenlatch_clock::{Millis, nanos};
use martenlatch_policy::Policy;
use martenlatch_policy::interface::{Action, Event};

/// Owns the module: gathers a round's events, and calls it once.
pub struct Decision {
    pub(super) policy: Policy,
    pub(super) events: Vec<Event>,
    pub(super) wake: Option<Millis>,
}

impl Decision {
    pub(super) fn turn(&mut self, now: Millis) -> Vec<Action> {
        if self.wake.is_some_and(|at| at <= now) {
            self.wake = None;
            self.events.push(Event::Wake);
        }
        let mut actions = Vec::new();
        if !self.events.is_empty() {
            self.policy.turn(nanos(now), &self.events, &mut actions);
            self.events.clear();
        }
        actions
    }
}
