//! Faults in a simulated run: outages of partners, ends and joins of senders, and replacements of endpoints.

use super::event::SimEvent;
use super::simulation::Simulation;
use crate::event_log::EventKind;
use crate::experiment::FailureKind;
use crate::model::environment::{ListedState, REPLACEMENT_OVERLAP};

impl Simulation<'_> {
    /// Begins and ends the outages of partners after a failure has begun or ended.
    pub(super) fn update_outages(&mut self) {
        for change in self.environment.update_outages(self.now) {
            self.record(EventKind::Outage {
                partner: change.partner,
                in_outage: change.in_outage,
            });
        }
    }

    /// Begins a failure that does not replace endpoints.
    pub(super) fn failure_begins(&mut self, failure: usize) {
        let failure = &self.experiment.failures[failure];
        let sender = failure.sender;
        match failure.kind {
            FailureKind::Join => {
                self.record(EventKind::SenderJoined { sender });
                self.start_sender(sender);
            }
            FailureKind::Sigkill => self.kill(sender, failure.size),
            FailureKind::Sigterm => self.shut_down(sender, failure.size),
            _ => self.update_outages(),
        }
    }

    /// Replaces an endpoint of the next partner that a failure affects, and schedules the next replacement.
    pub(super) fn replace_endpoint(&mut self, failure: usize, repetition: usize) {
        let replace_failure = &self.experiment.failures[failure];
        if self.now >= replace_failure.end {
            return;
        }
        if let Some(partner) = self
            .environment
            .next_partner_to_replace(failure, repetition)
        {
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
            repetition: repetition + 1,
        };
        self.schedule(self.now + replace_failure.repeat_interval, next);
    }
}
