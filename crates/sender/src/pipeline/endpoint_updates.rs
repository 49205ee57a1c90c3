//! Applies updates of the endpoint list, from discovery's watch and from operators' cordons.

use martenlatch_clock::Millis;
use martenlatch_policy::interface::{EndpointEntry, EndpointId, EndpointState, Event};
use tracing::debug;

use super::driver::Driver;
use crate::discovery::EndpointListChange;

impl Driver {
    /// Reads the watch. Returns true if there is more to read.
    pub(super) fn read_watch(&mut self, now: Millis) -> bool {
        let (changes, more) = self.directory.on_ready(now);
        for change in changes {
            self.apply_endpoint_change(change);
        }
        more
    }

    /// Passes a change of the endpoint list to the decision module in the same round, and cancels the unsent attempts
    /// to endpoints that no longer take requests.
    pub(super) fn apply_endpoint_change(&mut self, change: EndpointListChange) {
        let now = self.clock.now();
        self.cancel_attempts_to_removed(&change, now);
        let EndpointListChange { complete, entries } = change;
        for entry in &entries {
            debug!(
                endpoint = entry.endpoint.0,
                destination = entry.destination.0,
                state = ?entry.state,
                weight = entry.weight,
                complete,
                "endpoint listed"
            );
        }
        let gossip = self.gossip_about(&entries, now);
        self.decision.events.push(if complete {
            Event::EndpointList(entries)
        } else {
            Event::EndpointChanges(entries)
        });
        self.decision.events.extend(gossip);
    }

    /// Cancels the unsent attempts to endpoints that are no longer active. A complete list also removes the endpoints
    /// that it does not contain.
    fn cancel_attempts_to_removed(&mut self, change: &EndpointListChange, now: Millis) {
        let is_listed = |endpoint: EndpointId, active: bool| {
            change.entries.iter().any(|entry| {
                entry.endpoint == endpoint && (entry.state == EndpointState::Active) == active
            })
        };
        let is_removed = |endpoint: EndpointId| {
            if change.complete {
                !is_listed(endpoint, true)
            } else {
                is_listed(endpoint, false)
            }
        };
        self.egress
            .cancel_unsent(|_, endpoint| is_removed(endpoint), now);
    }

    /// The events with the peers' knowledge of endpoints that were just listed. The decision module receives them
    /// together with the list, before anything can be sent to these endpoints.
    fn gossip_about(&mut self, entries: &[EndpointEntry], now: Millis) -> Vec<Event> {
        let directory = &self.directory;
        let endpoint_name = |endpoint| directory.endpoint_name(endpoint);
        match &mut self.peers {
            Some(peers) => peers.gossip_events(entries, &endpoint_name, now),
            None => Vec::new(),
        }
    }
}
