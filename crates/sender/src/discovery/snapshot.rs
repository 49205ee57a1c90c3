//! Passing the endpoint list to a successor process.

use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use martenlatch_policy::interface::EndpointId;
use serde::{Deserialize, Serialize};

use super::EndpointDirectory;
use super::endpoint_list::ListedEndpoint;

/// The endpoint list for a successor process, without the cordons, which are read from their file. Passed between
/// processes of different versions: the order of the fields is fixed.
#[derive(Serialize, Deserialize)]
pub struct EndpointDirectorySnapshot {
    /// The version of the list.
    pub(super) version: u64,
    /// Destinations that were ever listed.
    pub(super) destinations: BTreeSet<u64>,
    /// Discovery has sent something.
    pub(super) discovery_responded: bool,
    /// The endpoints that are listed, in no order.
    pub(super) endpoints: Vec<(EndpointId, ListedEndpoint)>,
    /// The number of the next new endpoint.
    pub(super) next_id: u32,
    /// The most recently removed last.
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
            removed_names: self.list.removed.in_order.clone(),
        }
    }

    /// Takes over what a predecessor process has passed on. The watch is opened anew, from the version of its list.
    pub fn restore_state(&mut self, snapshot: EndpointDirectorySnapshot) {
        self.version = snapshot.version;
        self.discovery_responded = snapshot.discovery_responded;
        self.list.destinations = snapshot.destinations;
        self.list.ids = snapshot
            .endpoints
            .iter()
            .map(|(id, listed)| (listed.name.clone(), *id))
            .collect();
        self.list.endpoints = snapshot.endpoints.into_iter().collect();
        self.list.next_id = snapshot.next_id;
        for name in snapshot.removed_names {
            self.list.removed.remember(name);
        }
    }
}
