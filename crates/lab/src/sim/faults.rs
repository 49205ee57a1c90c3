//! Faults in a simulated run: outages of partners, ends and joins of senders, and replaced endpoints.

use super::event::SimEvent;
use super::simulation::Simulation;
use crate::event_log::EventKind;
use crate::experiment::What as FailureKind;
use crate::model::environment::{ListedState, OutageChange, REPLACEMENT_OVERLAP};

impl Simulation<'_> {
    /// A failure has begun or ended: partners go into an outage, or come out of one.
    pub(super) fn update_outages(&mut self) {
        for OutageChange { partner, out } in self.environment.update_outages(self.now) {
            self.record(EventKind::Outage {
                partner,
                in_outage: out,
            });
        }
    }

    /// A failure begins that is not a replacement of endpoints.
    pub(super) fn failure_begins(&mut self, failure: usize) {
        let failure = &self.experiment.failures[failure];
        let sender = failure.sender;
        match failure.what {
            FailureKind::Join => {
                self.record(EventKind::SenderJoined { sender });
                self.start_sender(sender);
            }
            FailureKind::Sigkill => self.kill(sender, failure.size),
            FailureKind::Sigterm => self.shut_down(sender, failure.size),
            _ => self.update_outages(),
        }
    }

    /// A failure replaces an endpoint of the partner whose turn it is.
    pub(super) fn replace_endpoint(&mut self, failure: usize, turn: usize) {
        let replacing = &self.experiment.failures[failure];
        if self.now >= replacing.end {
            return;
        }
        if let Some(partner) = self.environment.next_replaced(failure, turn) {
            let replacement = self.environment.replace_endpoint(partner);
            self.connections.push(0);
            self.publish_endpoint(replacement.new, ListedState::Active);
            self.publish_endpoint(replacement.old, ListedState::Draining);
            self.publish_endpoint(replacement.old, ListedState::Removed);
            let retire = SimEvent::RetireEndpoint {
                endpoint: replacement.old,
            };
            self.schedule(self.now + REPLACEMENT_OVERLAP, retire);
        }
        let next = SimEvent::ReplaceEndpoint {
            failure,
            turn: turn + 1,
        };
        self.schedule(self.now + replacing.every, next);
    }
}
