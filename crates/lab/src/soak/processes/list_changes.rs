//! Changes of the endpoint list, and when a sender counts as notified of them.

use martenlatch_clock::Millis;

use super::super::history::Event;
use super::super::schedule::FaultKind;
use super::{ProcessState, Processes};

/// A sender may receive a change up to this much later, so it does not count as notified if a fault is active by then.
const UPDATE_MARGIN: Millis = 1_000.0;
/// After discovery has moved, changes at its new address count as received only after this time.
const MOVE_GRACE: Millis = 4_000.0;

impl Processes {
    /// Makes the list changes that are due.
    pub(super) fn apply_list_changes(&mut self, now: Millis) {
        let due: Vec<(Millis, usize, bool)> =
            self.drains.extract_if(.., |(at, ..)| *at <= now).collect();
        if let Ok(mut list) = self.world.list.lock() {
            for (_, endpoint, drains) in &due {
                if *drains {
                    list.drain(*endpoint);
                } else {
                    list.replace(*endpoint);
                }
            }
        }
        for (_, endpoint, drains) in due {
            self.record_list_change(endpoint, !drains, now);
        }
    }

    /// Records that senders were notified of a change. From its start, a process counts as notified as soon as its
    /// agent has the change, whether or not a watch is open; but not while the agent or the sender's system calls fail,
    /// or soon after discovery has moved.
    fn record_list_change(&self, endpoint: usize, active: bool, now: Millis) {
        const EXCUSING_FAULTS: [FaultKind; 4] = [
            FaultKind::WatchSilent,
            FaultKind::DiscoveryDown,
            FaultKind::DiscoverySlow,
            FaultKind::CallsFail,
        ];
        for (sender, slot) in self.slots.iter().enumerate() {
            let is_excused_at = |instant: Millis| {
                let schedule = &self.world.schedule;
                EXCUSING_FAULTS
                    .iter()
                    .any(|fault| schedule.is_active(*fault, sender, instant))
            };
            let excused = [now, now + UPDATE_MARGIN].into_iter().any(is_excused_at)
                || self.world.has_moved_since(sender, now - MOVE_GRACE);
            if !excused && !matches!(slot.state, ProcessState::Down { .. }) {
                let event = Event::ListTold { endpoint, active };
                self.world.history.record(sender, "", event);
            }
        }
    }

    /// Records that a process is notified of the list that it is started with.
    pub(super) fn record_initial_list(&self, sender: usize) {
        let Ok(list) = self.world.list.lock() else {
            return;
        };
        for endpoint in 0..self.world.size.endpoints {
            let active = list.is_active(endpoint);
            let event = Event::ListTold { endpoint, active };
            self.world.history.record(sender, "", event);
        }
    }

    /// The current list in the form that a sender's configuration has.
    pub(super) fn endpoint_list(&self, sender: usize) -> serde_json::Value {
        let all: Vec<usize> = (0..self.world.size.endpoints).collect();
        match (self.world.list.lock(), self.world.endpoint_addresses.lock()) {
            (Ok(list), Ok(addresses)) => list.to_json(&all, true, &addresses[sender]),
            _ => serde_json::Value::Null,
        }
    }
}
