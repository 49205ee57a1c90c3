//! Partners of a simulated run: calls come to them, run, and are answered.

use super::event::SimEvent;
use super::simulation::Simulation;
use crate::event_log::EventKind;
use crate::model::environment::Delivery;
use crate::model::partner::{self, Admission, Answer, Reply};

impl Simulation<'_> {
    /// The last byte of a call has come to its partner.
    pub(super) fn call_at_partner(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let endpoint = call.endpoint;
        let partner = call.partner;
        let reset_after = call.reset_after;
        let class = self.clients.message(call.origin).planned.class;
        let delivered = partner::Call {
            number,
            origin: call.origin,
            attempt: call.attempt,
            work: self.experiment.work(self.seed, class),
        };
        self.record(EventKind::CallArrived { call: number });
        if self.connections[endpoint as usize] > self.experiment.world.connections {
            return self.reply(number, Reply::Refused(None));
        }
        let Delivery {
            admission,
            collapsed,
        } = self.environment.deliver(endpoint, delivered, self.now);
        if collapsed {
            self.record(EventKind::Collapsed { partner });
        }
        match admission {
            Admission::Answered(reply) => self.reply(number, reply),
            Admission::Running => {
                self.record(EventKind::CallExecuted { call: number });
                if reset_after {
                    self.reset_call(number);
                }
                self.schedule_completion(partner);
            }
            Admission::Queued => {}
        }
    }

    /// Schedules a look at a partner when its next call is done, if that is sooner than the last one scheduled.
    fn schedule_completion(&mut self, partner: u32) {
        if let Some(at) = self.environment.earlier_completion(partner) {
            self.schedule(at.max(self.now), SimEvent::PartnerDue { partner });
        }
    }

    /// A partner answers the calls that are done, and starts queued ones.
    pub(super) fn partner_due(&mut self, partner: u32) {
        let progress = self.environment.advance(partner, self.now);
        for Answer { call, reply } in progress.answers {
            let is_reset = |number| self.calls.get(number).is_some_and(|call| call.reset_after);
            if !is_reset(&call) {
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
