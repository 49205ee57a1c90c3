//! The endpoint directory: the endpoints that discovery lists, kept up to date by a watch.
//!
//! While discovery is silent, the list does not change: no endpoint is removed because discovery has failed. The list
//! does not show whether an endpoint is healthy.
//!
//! - [`watch`]: the connection to discovery and the response on it
//! - [`watch_schedule`]: when watches are opened, and how long they may be silent
//! - [`object_framer`]: splitting the response into JSON objects
//! - [`list_update`]: parsing an update and its entries
//! - [`version_guard`]: which updates are outdated
//! - [`endpoint_list`]: the list itself, with the operators' cordons
//! - [`snapshot`]: handing over the list to a successor process

mod endpoint_list;
mod list_update;
mod object_framer;
mod snapshot;
#[cfg(test)]
mod tests;
mod version_guard;
mod watch;
mod watch_schedule;

use std::net::SocketAddr;

use martenlatch_clock::Millis;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_policy::interface::{EndpointEntry, EndpointId, ZoneId};
use martenlatch_settings::platform::PlatformSettings;
use serde_json::Value;
use tracing::warn;

pub use snapshot::EndpointDirectorySnapshot;

use crate::cordons::{CordonError, Cordons};
use crate::event_source::EventLoopHandle;
use crate::jitter::Jitter;
use endpoint_list::EndpointList;
use list_update::{ListUpdate, ZoneAndKindNames};
use version_guard::{VersionGuard, VersionVerdict};
use watch::{Watch, WatchError};
use watch_schedule::{ListSource, WatchSchedule};

/// A watch is checked this long after its silence deadline, in milliseconds, so that the check finds it exceeded.
const SILENCE_MARGIN: Millis = 1.0;

/// The changes in an update of the endpoint list, for the decision module.
pub struct EndpointListChange {
    /// Whether the entries are the complete list, so that endpoints without an entry have been removed.
    pub complete: bool,
    /// The endpoints named by the update, with their new states.
    pub entries: Vec<EndpointEntry>,
}

/// The endpoint list and the watch that keeps it up to date.
pub struct EndpointDirectory {
    discovery_address: SocketAddr,
    list: EndpointList,
    /// The version of the list, from which the next watch continues.
    version: u64,
    version_guard: VersionGuard,
    /// Whether an update of the current watch could not be read.
    has_unreadable_update: bool,
    /// Whether an update of the current watch is outdated, so that the whole list has to be requested.
    has_outdated_update: bool,
    /// Whether that update answers the request for the whole list.
    has_outdated_answer: bool,
    /// Whether discovery has sent anything to this process or to its predecessors.
    discovery_responded: bool,
    watch: Option<Watch>,
    /// When the watch was opened, or last received an object or an empty line.
    last_received: Millis,
    schedule: WatchSchedule,
}

impl EndpointDirectory {
    /// Creates an empty directory whose first watch, at `discovery_address`, is due at once.
    pub fn new(
        discovery_address: SocketAddr,
        platform_settings: &PlatformSettings,
        cordons: Cordons,
        jitter: Jitter,
    ) -> EndpointDirectory {
        let names = ZoneAndKindNames {
            zones: platform_settings.zones.clone(),
            kinds: platform_settings.kinds.clone(),
        };
        let source = if platform_settings.polls_endpoint_list {
            ListSource::Service
        } else {
            ListSource::LocalAgent
        };
        EndpointDirectory {
            discovery_address,
            list: EndpointList::new(names, cordons),
            version: 0,
            version_guard: VersionGuard::default(),
            has_unreadable_update: false,
            has_outdated_update: false,
            has_outdated_answer: false,
            discovery_responded: false,
            watch: None,
            last_received: 0.0,
            schedule: WatchSchedule::new(source, platform_settings.settings.senders, jitter),
        }
    }

    /// Applies one update of the list. Returns `None` if the object is not an update.
    ///
    /// If an entry cannot be read, neither its endpoint nor the version changes, so that the update is requested again.
    /// An entry whose zone or kind is missing in the settings, or that exceeds the limit on endpoints, is only skipped:
    /// it would be received unchanged.
    pub fn apply(&mut self, json: &Value) -> Option<EndpointListChange> {
        let Some(update) = ListUpdate::parse(json) else {
            warn!(
                reason = "no list of targets",
                "endpoint list update skipped"
            );
            return None;
        };
        let applied = self.list.apply(&update);
        if let Some(version) = update.version
            && !applied.has_unreadable_entry
        {
            self.version = version;
        }
        self.has_unreadable_update |= applied.has_unreadable_entry;
        Some(EndpointListChange {
            complete: update.complete,
            entries: applied.entries,
        })
    }

    /// Applies an update that a watch has brought, unless it is outdated.
    fn apply_watched(&mut self, json: &Value, now: Millis) -> Option<EndpointListChange> {
        let Some(update) = ListUpdate::parse(json) else {
            return self.apply(json);
        };
        let verdict = self
            .version_guard
            .judge(update.version, update.complete, self.version, now);
        if verdict == VersionVerdict::Apply {
            return self.apply(json);
        }
        warn!(
            rev = update.version,
            current = self.version,
            complete = update.complete,
            "endpoint list update is older than the list"
        );
        self.has_outdated_update |= verdict != VersionVerdict::Ignore;
        self.has_outdated_answer |= verdict == VersionVerdict::VerifyLater;
        Some(EndpointListChange {
            complete: false,
            entries: Vec::new(),
        })
    }

    /// Cordons or uncordons an endpoint by its name. Returns the change for the decision module, if there is one and
    /// the endpoint is listed.
    ///
    /// # Errors
    /// The reason for which the cordon was neither set nor removed.
    pub fn set_cordon(
        &mut self,
        name: &str,
        cordoned: bool,
    ) -> Result<Option<EndpointListChange>, CordonError> {
        let entry = self.list.set_cordon(name, cordoned)?;
        Ok(entry.map(|entry| EndpointListChange {
            complete: false,
            entries: vec![entry],
        }))
    }

    /// The listed endpoints, each with whether it is cordoned.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointId, bool)> {
        self.list.cordon_states()
    }

    /// The address of an endpoint; `None` if it is not listed.
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.list.address(endpoint)
    }

    /// The kind of an endpoint, by its index in the settings; 0 if the endpoint is not listed.
    pub fn kind(&self, endpoint: EndpointId) -> usize {
        self.list
            .endpoints
            .get(&endpoint)
            .map_or(0, |listed| listed.entry.kind.0)
    }

    /// The zone of an endpoint; `None` if it is not listed.
    pub fn zone(&self, endpoint: EndpointId) -> Option<ZoneId> {
        let listed = self.list.endpoints.get(&endpoint)?;
        Some(listed.entry.zone)
    }

    /// The destination that an endpoint serves; `None` if it is not listed.
    pub fn destination(&self, endpoint: EndpointId) -> Option<u64> {
        let listed = self.list.endpoints.get(&endpoint)?;
        Some(listed.entry.destination.0)
    }

    /// Whether requests may be sent to an endpoint: it is listed as active and not cordoned.
    pub fn accepts_requests(&self, endpoint: EndpointId) -> bool {
        self.list.is_active(endpoint)
    }

    /// The name under which discovery lists an endpoint; `None` if it is not listed.
    pub fn endpoint_name(&self, endpoint: EndpointId) -> Option<String> {
        let listed = self.list.endpoints.get(&endpoint)?;
        Some(listed.name.to_string())
    }

    /// Whether a destination was ever listed; true for any destination until the first one is listed. `None` if the
    /// destination was not listed but may be new, as discovery has not responded yet.
    pub fn is_known_destination(&self, destination: u64) -> Option<bool> {
        let destinations = &self.list.destinations;
        let known = destinations.contains(&destination) || destinations.is_empty();
        (known || self.discovery_responded).then_some(known)
    }

    /// Whether discovery has sent anything to this process or to its predecessors.
    pub fn has_discovery_responded(&self) -> bool {
        self.discovery_responded
    }

    /// Moves to another address of discovery. The versions there may differ, so the complete list is requested. The
    /// current list stays in use until it arrives.
    pub fn move_to(&mut self, discovery_address: SocketAddr, now: Millis) {
        self.watch = None;
        self.discovery_address = discovery_address;
        self.version = 0;
        self.schedule.reset_backoff();
        self.delay_first_watch(now);
    }

    /// Delays the first watch by a random time, as a list is already known: a discovery service for which watches are
    /// costly should not receive those of all senders at once.
    pub fn delay_first_watch(&mut self, now: Millis) {
        self.schedule.delay_first_watch(now);
    }

    /// Closes a watch that has been silent for too long, and opens the next one when it is due.
    pub fn run_due(&mut self, now: Millis, handle: &EventLoopHandle, buffers: &BufferPool) {
        if self
            .silence_deadline()
            .is_some_and(|deadline| now > deadline)
        {
            self.close_watch(now, WatchError::Silent);
        }
        if self.watch.is_some() && self.version_guard.verifies_now(now) {
            self.request_whole_list(now);
        }
        if self.watch.is_none() && now >= self.schedule.next_watch_at() {
            self.open_watch(now, handle, buffers);
        }
    }

    fn open_watch(&mut self, now: Millis, handle: &EventLoopHandle, buffers: &BufferPool) {
        self.last_received = now;
        self.has_unreadable_update = false;
        self.has_outdated_update = false;
        self.has_outdated_answer = false;
        let version = if self.version_guard.on_watch_opened(now) {
            0
        } else {
            self.version
        };
        match Watch::open(self.discovery_address, version, handle, buffers) {
            Ok(watch) => self.watch = Some(watch),
            Err(error) => {
                warn!(error = ?error.kind(), "watch not opened");
                self.schedule.back_off(now);
            }
        }
    }

    fn close_watch(&mut self, now: Millis, error: WatchError) {
        if self.watch.take().is_some() {
            let reason = error.to_string();
            warn!(reason, rev = self.version, "watch lost");
        }
        self.schedule.back_off(now);
    }

    /// Closes the watch and opens another one at once, which requests the whole list.
    fn request_whole_list(&mut self, now: Millis) {
        self.watch = None;
        self.schedule.watch_at(now);
    }

    /// The instant after which the watch will have been silent for too long; `None` without a watch.
    fn silence_deadline(&self) -> Option<Millis> {
        let watch = self.watch.as_ref()?;
        Some(self.last_received + self.schedule.silence_timeout(watch.has_response()))
    }

    /// When [`EndpointDirectory::run_due`] has something to do, in milliseconds.
    pub fn next_deadline(&self) -> Millis {
        match self.silence_deadline() {
            Some(deadline) => (deadline + SILENCE_MARGIN).min(self.version_guard.deadline()),
            None => self.schedule.next_watch_at(),
        }
    }

    /// Reads and applies the updates that the watch has received. Returns the changes of the list, and whether there
    /// may be more to read.
    pub fn on_ready(&mut self, now: Millis) -> (Vec<EndpointListChange>, bool) {
        let Some(watch) = self.watch.as_mut() else {
            return (Vec::new(), false);
        };
        let input = watch.receive();
        let closed = watch.is_closed();
        let (changes, has_unreadable) = self.apply_objects(&input.objects, now);
        if !input.objects.is_empty() {
            self.discovery_responded = true;
            self.last_received = now;
            if !has_unreadable && !self.has_outdated_answer {
                self.schedule.reset_backoff();
            }
        }
        let error = input
            .error
            .or(has_unreadable.then_some(WatchError::UnreadableUpdate))
            .or(closed.then_some(WatchError::ConnectionClosed));
        if let Some(error) = error {
            self.close_watch(now, error);
        } else if self.has_outdated_answer {
            self.close_watch(now, WatchError::OutdatedAnswer);
        } else if self.has_outdated_update {
            self.request_whole_list(now);
        }
        (changes, input.has_more && self.watch.is_some())
    }

    /// Applies the objects of a watch, and stops at one that cannot be read: the updates after it would move the
    /// version past it. Returns the changes, and whether there was an unreadable object.
    fn apply_objects(
        &mut self,
        objects: &[Vec<u8>],
        now: Millis,
    ) -> (Vec<EndpointListChange>, bool) {
        let mut changes = Vec::new();
        for object in objects {
            if object.trim_ascii().is_empty() {
                continue;
            }
            let json = serde_json::from_slice::<Value>(object).ok();
            let change = json.and_then(|json| self.apply_watched(&json, now));
            self.has_unreadable_update |= change.is_none();
            changes.extend(change);
            if self.has_unreadable_update || self.has_outdated_update {
                break;
            }
        }
        (changes, std::mem::take(&mut self.has_unreadable_update))
    }
}
