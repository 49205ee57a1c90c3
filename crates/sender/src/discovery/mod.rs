//! The endpoint directory: the endpoints that discovery lists, kept up to date by a watch.
//!
//! The list stays as it is while discovery is silent: no endpoint is forgotten because discovery has failed. It says
//! nothing of an endpoint's health.
//!
//! - [`watch`]: the connection to discovery, and the reading of its response
//! - [`watch_schedule`]: when watches are opened, and how long they may be silent
//! - [`object_framer`]: splitting the response into JSON objects
//! - [`list_update`]: parsing an update and its entries
//! - [`endpoint_list`]: the list itself, with the operators' cordons
//! - [`snapshot`]: passing the list to a successor process

mod endpoint_list;
mod list_update;
mod object_framer;
mod snapshot;
#[cfg(test)]
mod tests;
mod watch;
mod watch_schedule;

use std::net::SocketAddr;

use martenlatch_clock::Millis;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_policy::interface::{EndpointEntry, EndpointId};
use martenlatch_settings::platform::PlatformSettings;
use serde_json::Value;
use tracing::warn;

pub use snapshot::EndpointDirectorySnapshot;

use crate::cordons::{CordonError, Cordons};
use crate::event_source::Handle;
use crate::jitter::Jitter;
use endpoint_list::EndpointList;
use list_update::{ListUpdate, SettingsNames};
use watch::{Watch, WatchFault};
use watch_schedule::{ListSource, WatchSchedule};

/// A silent watch is looked at this long after it has exceeded its time, in milliseconds.
const SILENCE_MARGIN: Millis = 1.0;

/// What an update of the endpoint list changed, for the decision module.
pub struct EndpointListChange {
    /// The entries are all that there are; endpoints without an entry have been removed.
    pub complete: bool,
    /// The endpoints that were listed, with their new state.
    pub entries: Vec<EndpointEntry>,
}

/// The endpoint list, and the watch that keeps it up to date.
pub struct EndpointDirectory {
    discovery: SocketAddr,
    list: EndpointList,
    /// The version of the list, which the next watch goes on from.
    version: u64,
    /// Something that the watch brought could not be read.
    unreadable: bool,
    /// Discovery has sent something to this process or to its predecessors.
    discovery_responded: bool,
    watch: Option<Watch>,
    /// When the watch was opened or has brought something.
    last_heard: Millis,
    schedule: WatchSchedule,
}

impl EndpointDirectory {
    /// An empty directory, whose first watch at the address `discovery` is due at once.
    pub fn new(
        discovery: SocketAddr,
        platform_settings: &PlatformSettings,
        cordons: Cordons,
        jitter: Jitter,
    ) -> EndpointDirectory {
        let names = SettingsNames {
            zones: platform_settings.zones.clone(),
            kinds: platform_settings.kinds.clone(),
        };
        let source = if platform_settings.polls_endpoint_list {
            ListSource::Service
        } else {
            ListSource::LocalAgent
        };
        EndpointDirectory {
            discovery,
            list: EndpointList::new(names, cordons),
            version: 0,
            unreadable: false,
            discovery_responded: false,
            watch: None,
            last_heard: 0.0,
            schedule: WatchSchedule::new(source, platform_settings.settings.senders, jitter),
        }
    }

    /// Takes one update of the list; none if the object is no update.
    ///
    /// If an entry cannot be read, its endpoint stays as it is, and so does the version: the update is requested
    /// again. This does not apply to an entry that names what the settings lack, which would come back the same.
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
            && !applied.unreadable
        {
            self.version = version;
        }
        self.unreadable |= applied.unreadable;
        Some(EndpointListChange {
            complete: update.complete,
            entries: applied.entries,
        })
    }

    /// Cordons an endpoint by its name, or uncordons it. Returns what the decision module has to know of it, if that
    /// changed anything and the endpoint is listed.
    ///
    /// # Errors
    /// Why the cordons are what they were before.
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

    /// Each endpoint that is listed, and whether it is cordoned.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointId, bool)> {
        self.list.cordon_states()
    }

    /// The address of an endpoint; none if it is not listed.
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.list.address(endpoint)
    }

    /// The kind of an endpoint, by its index in the settings; the first one if the endpoint is not listed.
    pub fn kind(&self, endpoint: EndpointId) -> usize {
        self.list
            .endpoints
            .get(&endpoint)
            .map_or(0, |listed| listed.entry.kind.0)
    }

    /// Whether an endpoint takes new requests: it is listed as active and is not cordoned.
    pub fn accepts_requests(&self, endpoint: EndpointId) -> bool {
        self.list.is_active(endpoint)
    }

    /// The name under which discovery lists an endpoint.
    pub fn endpoint_name(&self, endpoint: EndpointId) -> Option<String> {
        let listed = self.list.endpoints.get(&endpoint)?;
        Some(listed.name.to_string())
    }

    /// Whether any endpoint serves a destination; none while discovery has sent nothing, and it cannot be known.
    pub fn is_known_destination(&self, destination: u64) -> Option<bool> {
        let destinations = &self.list.destinations;
        let listed = destinations.contains(&destination) || destinations.is_empty();
        (listed || self.discovery_responded).then_some(listed)
    }

    /// Whether discovery has answered this process.
    pub fn has_discovery_responded(&self) -> bool {
        self.discovery_responded
    }

    /// Discovery has another address from now on. Its versions may differ there, so the complete list is requested;
    /// until it comes, the list stays as it is.
    pub fn move_to(&mut self, discovery: SocketAddr, now: Millis) {
        self.watch = None;
        self.discovery = discovery;
        self.version = 0;
        self.schedule.reset_backoff();
        self.delay_first_watch(now);
    }

    /// Spreads the first watch over some time, as a list is known already: where watches cost discovery something,
    /// it should not get those of all senders at once.
    pub fn delay_first_watch(&mut self, now: Millis) {
        self.schedule.delay_first_watch(now);
    }

    /// Gives up a watch that has become silent, and opens the next one when it is due.
    pub fn run_due(&mut self, now: Millis, handle: &Handle, pool: &BufferPool) {
        if self.silent_at().is_some_and(|silent_at| now > silent_at) {
            self.lose_watch(now, WatchFault::Silent);
        }
        if self.watch.is_none() && now >= self.schedule.next_attempt() {
            self.open_watch(now, handle, pool);
        }
    }

    fn open_watch(&mut self, now: Millis, handle: &Handle, pool: &BufferPool) {
        self.last_heard = now;
        self.unreadable = false;
        match Watch::open(self.discovery, self.version, handle, pool) {
            Ok(watch) => self.watch = Some(watch),
            Err(error) => {
                warn!(error = ?error.kind(), "watch not opened");
                self.schedule.back_off(now);
            }
        }
    }

    fn lose_watch(&mut self, now: Millis, fault: WatchFault) {
        if self.watch.take().is_some() {
            let reason = fault.to_string();
            warn!(reason, rev = self.version, "watch lost");
        }
        self.schedule.back_off(now);
    }

    /// When the watch will have been silent for too long, if there is one.
    fn silent_at(&self) -> Option<Millis> {
        let watch = self.watch.as_ref()?;
        Some(self.last_heard + self.schedule.silence_timeout(watch.has_response()))
    }

    /// When [`EndpointDirectory::run_due`] has something to do, in milliseconds.
    pub fn next_deadline(&self) -> Millis {
        match self.silent_at() {
            Some(silent_at) => silent_at + SILENCE_MARGIN,
            None => self.schedule.next_attempt(),
        }
    }

    /// Reads what the watch has brought. Returns the changes of the list, and whether there may be more to read.
    pub fn on_ready(&mut self, now: Millis) -> (Vec<EndpointListChange>, bool) {
        let Some(watch) = self.watch.as_mut() else {
            return (Vec::new(), false);
        };
        let input = watch.receive();
        let closed = watch.is_closed();
        let (changes, unreadable) = self.apply_objects(&input.objects);
        if !input.objects.is_empty() {
            self.discovery_responded = true;
            self.last_heard = now;
            if !unreadable {
                self.schedule.reset_backoff();
            }
        }
        let fault = input
            .fault
            .or(unreadable.then_some(WatchFault::UnreadableUpdate))
            .or(closed.then_some(WatchFault::ConnectionClosed));
        if let Some(fault) = fault {
            self.lose_watch(now, fault);
        }
        (changes, input.has_more && fault.is_none())
    }

    /// Takes the objects of a watch, up to one that cannot be read: the updates behind it would move the version past
    /// it. Returns the changes, and whether there was such an object.
    fn apply_objects(&mut self, objects: &[Vec<u8>]) -> (Vec<EndpointListChange>, bool) {
        let mut changes = Vec::new();
        for object in objects {
            if object.trim_ascii().is_empty() {
                continue;
            }
            let json = serde_json::from_slice::<Value>(object).ok();
            let change = json.and_then(|json| self.apply(&json));
            self.unreadable |= change.is_none();
            changes.extend(change);
            if self.unreadable {
                break;
            }
        }
        (changes, std::mem::take(&mut self.unreadable))
    }
}
