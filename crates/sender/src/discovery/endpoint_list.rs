//! The endpoint list: the endpoints that discovery lists, their names and addresses, and the cordons of operators.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use martenlatch_policy::interface::{EndpointEntry, EndpointId, EndpointState};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tracing::warn;

use super::list_update::{
    EntryDetails, EntryError, EntryIdentity, ListUpdate, SettingsNames, entry_name,
};
use crate::cordons::{CordonError, Cordons, MAX_NAME_BYTES};

/// Most endpoints at a time; discovery is not believed beyond that.
const MAX_ENDPOINTS: usize = 1 << 16;
/// Most names of removed endpoints that are remembered.
const MAX_REMOVED_NAMES: usize = 4_096;
/// Longest part of an unknown name that is shown to an operator, in characters.
const MAX_SHOWN_NAME: usize = 80;

/// An endpoint that discovery lists. Serialized for a process replacement: the order of the fields is fixed.
#[derive(Clone, Serialize, Deserialize)]
pub(super) struct ListedEndpoint {
    /// The name under which discovery lists it.
    pub name: Rc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its entry, without regard to cordons.
    pub entry: EndpointEntry,
}

/// The names of endpoints that have been removed, as operators may still cordon them. Limited, since endpoints are
/// replaced by ones with new names all day long.
#[derive(Default)]
pub(super) struct RemovedNames {
    /// The most recently removed last.
    pub in_order: VecDeque<Rc<str>>,
    names: HashSet<Rc<str>>,
}

impl RemovedNames {
    /// Adds a name, and forgets the oldest one if there are too many.
    pub fn remember(&mut self, name: Rc<str>) {
        if self.names.insert(name.clone()) {
            self.in_order.push_back(name);
        }
        if self.in_order.len() > MAX_REMOVED_NAMES
            && let Some(oldest) = self.in_order.pop_front()
        {
            self.names.remove(&oldest);
        }
    }

    fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }
}

/// The entries of an update as the decision module is to see them.
#[derive(Default)]
pub(super) struct AppliedUpdate {
    /// The entries that could be read, with regard to cordons.
    pub entries: Vec<EndpointEntry>,
    /// An entry could not be read, and should be requested again.
    pub unreadable: bool,
}

/// The endpoint list. An endpoint keeps its number while it is listed, and the number is never given to another one.
pub(super) struct EndpointList {
    names: SettingsNames,
    /// The numbers of the endpoints in `endpoints` by their names.
    pub ids: HashMap<Rc<str>, EndpointId>,
    /// The endpoints that are listed.
    pub endpoints: HashMap<EndpointId, ListedEndpoint>,
    /// The number of the next new endpoint.
    pub next_id: u32,
    /// Destinations that were ever listed: one without endpoints may have new ones soon.
    pub destinations: BTreeSet<u64>,
    /// The names of endpoints that have been removed.
    pub removed: RemovedNames,
    cordons: Cordons,
}

impl EndpointList {
    /// An empty list.
    pub fn new(names: SettingsNames, cordons: Cordons) -> EndpointList {
        EndpointList {
            names,
            ids: HashMap::new(),
            endpoints: HashMap::new(),
            next_id: 0,
            destinations: BTreeSet::new(),
            removed: RemovedNames::default(),
            cordons,
        }
    }

    /// Takes an update of the list. An endpoint whose entry cannot be read stays as it is.
    pub fn apply(&mut self, update: &ListUpdate) -> AppliedUpdate {
        let mut applied = AppliedUpdate::default();
        let mut unread: BTreeSet<EndpointId> = BTreeSet::new();
        for json in update.entries {
            match self.apply_entry(json) {
                Ok(entry) => applied.entries.extend(entry),
                Err(error) => {
                    warn!(field = error.field(), "endpoint list entry skipped");
                    applied.unreadable |= !error.is_permanent();
                    unread.extend(entry_name(json).and_then(|name| self.ids.get(name)));
                }
            }
        }
        if update.complete {
            // An endpoint that a complete list does not name has been removed: so these are named.
            let kept = unread.iter().filter_map(|id| self.endpoints.get(id));
            applied
                .entries
                .extend(kept.map(|listed| self.effective_entry(listed)));
        }
        self.drop_removed(&applied.entries, update.complete);
        applied
    }

    /// Takes one entry; none if it removes an endpoint that is not listed.
    fn apply_entry(&mut self, json: &Value) -> Result<Option<EndpointEntry>, EntryError> {
        let EntryIdentity { name, state } = EntryIdentity::parse(json)?;
        let known = self.ids.get(name).copied();
        if state == EndpointState::Removed && known.is_none() {
            return Ok(None);
        }
        let last_address = known
            .filter(|_| state != EndpointState::Active)
            .and_then(|id| self.address(id));
        let details = EntryDetails::parse(json, last_address, &self.names)?;
        self.destinations.insert(details.destination.0);
        let endpoint = match known {
            Some(known) => known,
            None => self.assign_id(name)?,
        };
        let listed = ListedEndpoint {
            name: Rc::from(name),
            address: details.address,
            entry: EndpointEntry {
                endpoint,
                zone: details.zone,
                kind: details.kind,
                destination: details.destination,
                state,
                weight: details.weight,
            },
        };
        let effective = self.effective_entry(&listed);
        self.endpoints.insert(endpoint, listed);
        Ok(Some(effective))
    }

    fn assign_id(&mut self, name: &str) -> Result<EndpointId, EntryError> {
        if self.endpoints.len() >= MAX_ENDPOINTS {
            return Err(EntryError::TooManyEndpoints);
        }
        let id = EndpointId(self.next_id);
        self.next_id += 1;
        self.ids.insert(Rc::from(name), id);
        Ok(id)
    }

    /// Drops the endpoints that an update removes; of a complete list, also those that it does not name.
    fn drop_removed(&mut self, entries: &[EndpointEntry], complete: bool) {
        let mut removed: Vec<EndpointId> = entries
            .iter()
            .filter(|entry| entry.state == EndpointState::Removed)
            .map(|entry| entry.endpoint)
            .collect();
        if complete {
            let named: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
            removed.extend(self.endpoints.keys().filter(|id| !named.contains(id)));
        }
        for id in removed {
            if let Some(listed) = self.endpoints.remove(&id) {
                self.ids.remove(&listed.name);
                self.removed.remember(listed.name);
            }
        }
    }

    /// The entry as the decision module is to see it: a cordoned endpoint is draining.
    fn effective_entry(&self, listed: &ListedEndpoint) -> EndpointEntry {
        let mut entry = listed.entry.clone();
        if entry.state == EndpointState::Active && self.cordons.contains(&listed.name) {
            entry.state = EndpointState::Draining;
        }
        entry
    }

    /// Cordons or uncordons an endpoint. Returns its new entry if that changed anything and the endpoint is listed.
    pub fn set_cordon(
        &mut self,
        name: &str,
        cordoned: bool,
    ) -> Result<Option<EndpointEntry>, CordonError> {
        let id = self.ids.get(name).copied();
        if id.is_none() && !self.removed.contains(name) && !self.cordons.contains(name) {
            let shown = name.chars().take(MAX_SHOWN_NAME);
            let escaped = shown.flat_map(char::escape_default).collect();
            return Err(CordonError::NeverListed(escaped));
        }
        if name.len() > MAX_NAME_BYTES {
            return Err(CordonError::NameTooLong);
        }
        if !self.cordons.set_cordoned(&Rc::from(name), cordoned)? {
            return Ok(None);
        }
        let listed = id.and_then(|id| self.endpoints.get(&id));
        Ok(listed.map(|listed| self.effective_entry(listed)))
    }

    /// Each endpoint that is listed, and whether it is cordoned.
    pub fn cordon_states(&self) -> impl Iterator<Item = (EndpointId, bool)> {
        self.endpoints
            .iter()
            .map(|(id, listed)| (*id, self.cordons.contains(&listed.name)))
    }

    /// Whether an endpoint is listed as active, and not cordoned.
    pub fn is_active(&self, endpoint: EndpointId) -> bool {
        self.endpoints.get(&endpoint).is_some_and(|listed| {
            listed.entry.state == EndpointState::Active && !self.cordons.contains(&listed.name)
        })
    }

    /// The address of an endpoint; none if it is not listed.
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.endpoints.get(&endpoint).map(|listed| listed.address)
    }
}
