//! The endpoint list: the endpoints that discovery lists, with their names, addresses and cordons.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use martenlatch_policy::interface::{EndpointEntry, EndpointId, EndpointState};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tracing::warn;

use super::list_update::{
    EntryDetails, EntryError, EntryIdentity, ListUpdate, ZoneAndKindNames, entry_name,
};
use crate::cordons::{CordonError, Cordons, MAX_NAME_BYTES};

/// The limit on listed endpoints. A longer list is implausible: entries for further endpoints are skipped.
const MAX_ENDPOINTS: usize = 1 << 16;
/// The limit on remembered names of removed endpoints.
const MAX_REMOVED_NAMES: usize = 4_096;
/// The limit on the length of an unknown name in the reply to an operator, in characters.
const MAX_SHOWN_NAME_CHARS: usize = 80;

/// An endpoint that discovery lists. Serialized for a process replacement: the order of the fields is fixed.
#[derive(Clone, Serialize, Deserialize)]
pub(super) struct ListedEndpoint {
    /// The name under which discovery lists the endpoint.
    pub name: Rc<str>,
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// The entry for the decision module, with the state from discovery regardless of cordons.
    pub entry: EndpointEntry,
}

/// The names of removed endpoints, which operators can still cordon. Their number is limited, since endpoints are
/// replaced by ones with new names all the time.
#[derive(Default)]
pub(super) struct RemovedNames {
    /// The names, the most recently removed last.
    pub in_order: VecDeque<Rc<str>>,
    names: HashSet<Rc<str>>,
}

impl RemovedNames {
    /// Adds a name, and drops the oldest one if there are too many.
    pub fn add(&mut self, name: Rc<str>) {
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

/// The result of applying an update to the list.
#[derive(Default)]
pub(super) struct AppliedUpdate {
    /// The entries for the decision module, with cordons applied. An entry that could not be read is left out or, in a
    /// complete list, replaced by the current one.
    pub entries: Vec<EndpointEntry>,
    /// Whether an entry could not be read and should be requested again.
    pub has_unreadable_entry: bool,
}

/// The endpoint list. An endpoint keeps its id while it is listed, and the id is never reused for another endpoint.
pub(super) struct EndpointList {
    zone_and_kind_names: ZoneAndKindNames,
    /// The ids of the endpoints in `endpoints`, by name.
    pub ids_by_name: HashMap<Rc<str>, EndpointId>,
    /// The listed endpoints.
    pub endpoints: HashMap<EndpointId, ListedEndpoint>,
    /// The id of the next new endpoint.
    pub next_id: u32,
    /// The destinations that were ever listed. One without endpoints may get new ones soon.
    pub destinations: BTreeSet<u64>,
    /// The names of removed endpoints.
    pub removed_names: RemovedNames,
    cordons: Cordons,
}

impl EndpointList {
    /// Creates an empty list.
    pub fn new(zone_and_kind_names: ZoneAndKindNames, cordons: Cordons) -> EndpointList {
        EndpointList {
            zone_and_kind_names,
            ids_by_name: HashMap::new(),
            endpoints: HashMap::new(),
            next_id: 0,
            destinations: BTreeSet::new(),
            removed_names: RemovedNames::default(),
            cordons,
        }
    }

    /// Applies an update to the list. An endpoint whose entry cannot be read does not change.
    pub fn apply(&mut self, update: &ListUpdate) -> AppliedUpdate {
        let mut applied = AppliedUpdate::default();
        let mut with_unreadable_entry: BTreeSet<EndpointId> = BTreeSet::new();
        for json in update.entries {
            match self.apply_entry(json) {
                Ok(entry) => applied.entries.extend(entry),
                Err(error) => {
                    warn!(field = error.logged_field(), "endpoint list entry skipped");
                    applied.has_unreadable_entry |= !error.is_permanent();
                    with_unreadable_entry
                        .extend(entry_name(json).and_then(|name| self.ids_by_name.get(name)));
                }
            }
        }
        if update.complete {
            // A complete list removes the endpoints without an entry, so those whose entry cannot be read are added
            // with their current one.
            let kept = with_unreadable_entry
                .iter()
                .filter_map(|id| self.endpoints.get(id));
            applied
                .entries
                .extend(kept.map(|listed| self.effective_entry(listed)));
        }
        self.drop_removed(&applied.entries, update.complete);
        applied
    }

    /// Applies one entry. Returns the entries for the decision module: none if it removes an endpoint that is not
    /// listed, and two if another endpoint takes over the name of a listed one.
    fn apply_entry(&mut self, json: &Value) -> Result<Vec<EndpointEntry>, EntryError> {
        let EntryIdentity { name, state } = EntryIdentity::parse(json)?;
        let mut known = self.ids_by_name.get(name).copied();
        if state == EndpointState::Removed && known.is_none() {
            return Ok(Vec::new());
        }
        let last_address = known
            .filter(|_| state != EndpointState::Active)
            .and_then(|id| self.address(id));
        let details = EntryDetails::parse(json, last_address, &self.zone_and_kind_names)?;
        let mut entries = Vec::new();
        if let Some(replaced) = known.and_then(|id| self.replace_if_other(id, &details)) {
            let is_removed = state == EndpointState::Removed;
            entries.push(replaced);
            if is_removed {
                return Ok(entries);
            }
            known = None;
        }
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
        entries.push(effective);
        Ok(entries)
    }

    /// Removes a listed endpoint if details under its name are those of another one: it serves another destination, or
    /// is of another zone or kind. Returns its last entry then.
    fn replace_if_other(
        &mut self,
        id: EndpointId,
        details: &EntryDetails,
    ) -> Option<EndpointEntry> {
        let entry = &self.endpoints.get(&id)?.entry;
        let is_same = (entry.destination, entry.zone, entry.kind)
            == (details.destination, details.zone, details.kind);
        if is_same {
            return None;
        }
        let replaced = self.endpoints.remove(&id)?;
        self.ids_by_name.remove(&replaced.name);
        warn!(endpoint = %replaced.name, "another endpoint under a listed name");
        Some(EndpointEntry {
            state: EndpointState::Removed,
            ..replaced.entry
        })
    }

    fn assign_id(&mut self, name: &str) -> Result<EndpointId, EntryError> {
        if self.endpoints.len() >= MAX_ENDPOINTS {
            return Err(EntryError::TooManyEndpoints);
        }
        let id = EndpointId(self.next_id);
        self.next_id += 1;
        self.ids_by_name.insert(Rc::from(name), id);
        Ok(id)
    }

    /// Drops the endpoints that an update removes. A complete list also removes those without an entry.
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
                self.ids_by_name.remove(&listed.name);
                self.removed_names.add(listed.name);
            }
        }
    }

    /// The entry for the decision module, in which a cordoned endpoint that is active appears as draining.
    fn effective_entry(&self, listed: &ListedEndpoint) -> EndpointEntry {
        let mut entry = listed.entry.clone();
        if entry.state == EndpointState::Active && self.cordons.contains(&listed.name) {
            entry.state = EndpointState::Draining;
        }
        entry
    }

    /// Cordons or uncordons an endpoint. Returns its new entry if the cordon has changed and the endpoint is listed.
    pub fn set_cordon(
        &mut self,
        name: &str,
        cordoned: bool,
    ) -> Result<Option<EndpointEntry>, CordonError> {
        let id = self.ids_by_name.get(name).copied();
        if id.is_none() && !self.removed_names.contains(name) && !self.cordons.contains(name) {
            let shown = name.chars().take(MAX_SHOWN_NAME_CHARS);
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

    /// The listed endpoints, each with whether it is cordoned.
    pub fn cordon_states(&self) -> impl Iterator<Item = (EndpointId, bool)> {
        self.endpoints
            .iter()
            .map(|(id, listed)| (*id, self.cordons.contains(&listed.name)))
    }

    /// Whether an endpoint is listed as active and not cordoned.
    pub fn is_active(&self, endpoint: EndpointId) -> bool {
        self.endpoints.get(&endpoint).is_some_and(|listed| {
            listed.entry.state == EndpointState::Active && !self.cordons.contains(&listed.name)
        })
    }

    /// The address of an endpoint; `None` if it is not listed.
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.endpoints.get(&endpoint).map(|listed| listed.address)
    }
}
