//! Partners of a simulated run: calls arrive there, run and are answered.

use super::event::SimEvent;
use super::simulation::Simulation;
use crate::event_log::EventKind;
use crate::model::environment::Delivery;
use crate::model::partner::{self, Admission, Answer, Reply};

impl Simulation<'_> {
    /// Delivers a call whose last byte has arrived at its partner.
    pub(super) fn call_at_partner(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let endpoint = call.endpoint;
        let partner = call.partner;
        let reset_after_last_byte = call.reset_after_last_byte;
        let class = self.clients.message(call.origin).planned.class;
        let delivered_call = partner::Call {
            number,
            origin: call.origin,
            attempt: call.attempt,
            work: self.experiment.work_distribution(self.seed, class),
        };
        self.record(EventKind::CallArrived { call: number });
        if self.connections[endpoint as usize] > self.experiment.world.connections_per_endpoint {
            return self.reply(number, Reply::Rejected(None));
        }
        let Delivery {
            admission,
            collapsed,
        } = self.environment.deliver(endpoint, delivered_call, self.now);
        if collapsed {
            self.record(EventKind::Collapsed { partner });
        }
        match admission {
            Admission::Answered(reply) => self.reply(number, reply),
            Admission::Running => {
                self.record(EventKind::CallExecuted { call: number });
                if reset_after_last_byte {
                    self.reset_call(number);
                }
                self.schedule_completion(partner);
            }
            Admission::Queued => {}
        }
    }

    /// Schedules the completion of a partner's next call, if it is earlier than the completion already scheduled.
    fn schedule_completion(&mut self, partner: u32) {
        if let Some(at) = self.environment.earlier_completion(partner) {
            self.schedule(at.max(self.now), SimEvent::CallsComplete { partner });
        }
    }

    /// Answers the calls of a partner that are done, and starts queued ones.
    pub(super) fn complete_calls(&mut self, partner: u32) {
        let progress = self.environment.advance(partner, self.now);
        for Answer { call, reply } in progress.answers {
            let is_reset = self
                .calls
                .get(&call)
                .is_some_and(|call| call.reset_after_last_byte);
            if !is_reset {
                self.reply(call, reply);
            }
        }
        for call in progress.started {
            if self.calls.contains_key(&call) {
                self.record(EventKind::CallExecuted { call });
            }
        }
        self.schedule_completion(partner);
    }
}
