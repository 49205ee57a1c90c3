//! Handing over the endpoint list to a successor process.

use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use martenlatch_policy::interface::EndpointId;
use serde::{Deserialize, Serialize};

use super::EndpointDirectory;
use super::endpoint_list::ListedEndpoint;

/// The endpoint list for a successor process, without the cordons, which are read from their file. It is passed between
/// processes of different versions, so the order of the fields is fixed.
#[derive(Serialize, Deserialize)]
pub struct EndpointDirectorySnapshot {
    /// The version of the list.
    pub(super) version: u64,
    /// The destinations that were ever listed.
    pub(super) destinations: BTreeSet<u64>,
    /// Whether discovery has sent anything.
    pub(super) discovery_responded: bool,
    /// The listed endpoints, in no particular order.
    pub(super) endpoints: Vec<(EndpointId, ListedEndpoint)>,
    /// The id of the next new endpoint.
    pub(super) next_id: u32,
    /// The names of removed endpoints, the most recently removed last.
    pub(super) removed_names: VecDeque<Rc<str>>,
}

impl EndpointDirectory {
    /// The state for a successor process.
    pub fn snapshot(&self) -> EndpointDirectorySnapshot {
        let endpoints = self.list.endpoints.iter();
        EndpointDirectorySnapshot {
            version: self.version,
            destinations: self.list.destinations.clone(),
            discovery_responded: self.discovery_responded,
            endpoints: endpoints
                .map(|(id, listed)| (*id, listed.clone()))
                .collect(),
            next_id: self.list.next_id,
            removed_names: self.list.removed_names.in_order.clone(),
        }
    }

    /// Restores the list of a predecessor process. A new watch is opened, which continues from the version of that
    /// list.
    pub fn restore_state(&mut self, snapshot: EndpointDirectorySnapshot) {
        self.version = snapshot.version;
        self.discovery_responded = snapshot.discovery_responded;
        self.list.destinations = snapshot.destinations;
        self.list.ids_by_name = snapshot
            .endpoints
            .iter()
            .map(|(id, listed)| (listed.name.clone(), *id))
            .collect();
        self.list.endpoints = snapshot.endpoints.into_iter().collect();
        self.list.next_id = snapshot.next_id;
        for name in snapshot.removed_names {
            self.list.removed_names.add(name);
        }
    }
}
