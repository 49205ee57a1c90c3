//! The changes of the endpoint list, and what counts as told of them to each sender.

use martenlatch_clock::Millis;

use super::super::history::Event;
use super::super::schedule::FaultKind;
use super::{ProcessState, Processes};

/// A change of the list is told behind its instant, when a fault may have begun.
const UPDATE_MARGIN: Millis = 1_000.0;
/// What discovery has at its new address counts so long after a move.
const MOVE_GRACE: Millis = 4_000.0;

impl Processes {
    /// Makes the changes that are due.
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

    /// What an agent has counts as told, whether or not a watch is open, from the first moment of a process: but not
    /// while the agent or the sender's calls fail, nor soon after discovery has moved.
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

    /// What a process is started with counts as told.
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

    /// The present list as a sender is given it.
    pub(super) fn endpoint_list(&self, sender: usize) -> serde_json::Value {
        let all: Vec<usize> = (0..self.world.size.endpoints).collect();
        match (self.world.list.lock(), self.world.endpoint_addresses.lock()) {
            (Ok(list), Ok(addresses)) => list.to_json(&all, true, &addresses[sender]),
            _ => serde_json::Value::Null,
        }
    }
}
