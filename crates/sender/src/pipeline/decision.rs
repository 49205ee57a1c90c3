//! Connects the decision module to the pipeline: collects the events of a round and runs the module once on all of
//! them.

use martenlatch_clock::{Millis, nanos};
use martenlatch_policy::Policy;
use martenlatch_policy::interface::{Action, Event};

/// The decision module, its events and its timer.
pub struct Decision {
    pub(super) policy: Policy,
    /// Events that the module has not processed yet, in the order in which they happened.
    pub(super) events: Vec<Event>,
    /// When the module has asked to run next, if no event comes first.
    pub(super) wake_at: Option<Millis>,
}

impl Decision {
    /// Wraps a module that is new or was restored from its predecessor's state. No events are pending.
    pub(super) fn new(policy: Policy) -> Decision {
        Decision {
            policy,
            events: Vec::new(),
            wake_at: None,
        }
    }

    /// Runs the module on the pending events, if there are any. Returns its actions.
    pub(super) fn turn(&mut self, now: Millis) -> Vec<Action> {
        if self.wake_at.is_some_and(|wake_at| wake_at <= now) {
            self.wake_at = None;
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
