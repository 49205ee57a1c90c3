//! Discovery in a simulated run: the endpoint list of each sender and its change notifications.

use martenlatch_policy::interface::{
    DestinationId, EndpointEntry, EndpointId, EndpointState, Event, KindId, ZoneId,
};

use super::event::SimEvent;
use super::simulation::Simulation;
use crate::event_log::EventKind;
use crate::model::environment::ListedState;

impl Simulation<'_> {
    /// The entry of an endpoint in the endpoint list.
    pub(super) fn endpoint_entry(&self, endpoint: u32, state: EndpointState) -> EndpointEntry {
        let partner = self.environment.partner_of(endpoint);
        let profile = &self.environment.site.partners[partner as usize];
        EndpointEntry {
            endpoint: EndpointId(endpoint),
            zone: ZoneId(0),
            kind: KindId(profile.kind_index),
            destination: DestinationId(partner.into()),
            state,
            weight: profile.advertised_weight,
        }
    }

    /// Schedules the notification of every sender about a change to an endpoint, with the current delay of the list.
    pub(super) fn publish_endpoint(&mut self, endpoint: u32, listed: ListedState) {
        let state = match listed {
            ListedState::Active => EndpointState::Active,
            ListedState::Draining => EndpointState::Draining,
            ListedState::Removed => EndpointState::Removed,
        };
        for sender in 0..self.senders.len() as u32 {
            let at = self
                .environment
                .notification_time(sender, endpoint, listed, self.now);
            self.schedule(
                at,
                SimEvent::EndpointChange {
                    sender,
                    endpoint,
                    state,
                },
            );
        }
    }

    /// Notifies a sender of a change to an endpoint. The sender's agent keeps the change for the next process.
    pub(super) fn endpoint_change(&mut self, sender: u32, endpoint: u32, state: EndpointState) {
        let entry = self.endpoint_entry(endpoint, state);
        let partner = entry.destination.0 as u32;
        let notified = &mut self.senders[sender as usize];
        if state == EndpointState::Removed {
            notified.known_endpoints.remove(&endpoint);
        } else {
            notified.known_endpoints.insert(endpoint, entry.clone());
        }
        if !notified.is_up() {
            return;
        }
        self.record(EventKind::Listed {
            sender,
            endpoint,
            partner,
            in_service: state == EndpointState::Active,
        });
        self.notify(sender, Event::EndpointChanges(vec![entry]));
    }
}
