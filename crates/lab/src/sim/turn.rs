//! Turns of the decision module of a simulated sender, and the execution of its actions.

use std::time::Instant;

use martenlatch_clock::{millis, nanos};
use martenlatch_policy::interface::{Action, EndpointId, MessageId, Outcome};

use super::CLOCK_ORIGIN;
use super::event::SimEvent;
use super::simulation::Simulation;
use crate::event_log::CallFailure;

impl Simulation<'_> {
    /// Runs a turn of a sender's decision module, unless the process of that incarnation has ended.
    pub(super) fn take_turn(&mut self, sender: u32, incarnation: u32) {
        let Some(actions) = self.decide(sender, incarnation) else {
            return;
        };
        for action in actions {
            self.execute(sender, incarnation, action);
        }
        let state = &self.senders[sender as usize];
        if state.is_draining(self.now) && state.is_idle() {
            self.end_process(sender);
        }
    }

    /// The actions that a sender's decision module requests now. `None` if the process of that incarnation has ended.
    fn decide(&mut self, sender: u32, incarnation: u32) -> Option<Vec<Action>> {
        let state = &mut self.senders[sender as usize];
        if state.incarnation != incarnation {
            return None;
        }
        state.turn_scheduled = false;
        state.last_turn = self.now;
        let policy = state.policy.as_mut()?;
        let events = std::mem::take(&mut state.events);
        let mut actions = Vec::new();
        let started = Instant::now();
        policy.turn(nanos(CLOCK_ORIGIN + self.now), &events, &mut actions);
        let nanoseconds = started.elapsed().as_nanos() as u64;
        self.turns.add(state.open_messages, nanoseconds);
        Some(actions)
    }

    fn execute(&mut self, sender: u32, incarnation: u32, action: Action) {
        match action {
            Action::Send {
                id,
                endpoint,
                timeout,
                ..
            } => self.send(sender, id.0, endpoint.0, millis(timeout)),
            Action::Cancel { id, attempt } => self.cancel(sender, id, attempt),
            Action::Reject { id, retry_after } => {
                self.give_up(sender, id.0, true, retry_after.map(millis))
            }
            Action::Fail { id } => self.give_up(sender, id.0, false, None),
            Action::WakeAfter(delay) => {
                let wake = SimEvent::Wake {
                    sender,
                    incarnation,
                };
                self.schedule(self.now + millis(delay), wake)
            }
            Action::CloseIdle(endpoint) => self.close_idle_connections(sender, endpoint),
        }
    }

    fn cancel(&mut self, sender: u32, id: MessageId, attempt: u32) {
        let message = self.senders[sender as usize].held.get(&id.0);
        let call = message.and_then(|message| message.calls.get(&attempt));
        if let Some(call) = call.copied() {
            self.lose_call(call, CallFailure::Cancelled, Outcome::Cancelled);
        }
    }

    fn close_idle_connections(&mut self, sender: u32, endpoint: EndpointId) {
        let idle_connections = &mut self.senders[sender as usize].idle_connections;
        if let Some(idle) = idle_connections.remove(&endpoint.0) {
            self.connections[endpoint.0 as usize] -= idle.len() as u32;
        }
    }
}
