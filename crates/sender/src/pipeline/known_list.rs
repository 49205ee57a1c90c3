//! The endpoint list with which a process starts: the last one that the sender had, from the configuration.
//!
//! The list describes the endpoints as of the start of the process. They may begin to drain while the start is delayed,
//! and requests to them must stop 1 s later. After a slow start, discovery is therefore asked first, and the list is
//! used only if discovery does not answer within [`DISCOVERY_TIMEOUT`]: an old list is better than none.

use std::time::{Duration, Instant};

use martenlatch_clock::Millis;
use serde_json::Value;
use tracing::info;

use super::Driver;
use crate::Config;
use crate::discovery::EndpointListChange;

/// The longest start after which the list is used at once. Discovery's first answer may take another 500 ms.
const MAX_PROMPT_START: Duration = Duration::from_millis(400);
/// How long to wait for discovery after a start that took longer.
const DISCOVERY_TIMEOUT: Millis = 5_000.0;

/// The configured list after a delayed start. It is used unless discovery answers first.
pub struct DeferredList {
    list: Value,
    use_at: Millis,
}

impl Driver {
    /// Uses the list of the configuration at once after a prompt start, or defers it after a delayed one.
    pub(super) fn apply_or_defer_known_list(&mut self, config: &Config, process_started: Instant) {
        if !config.known_endpoints.is_object() {
            return;
        }
        if process_started.elapsed() <= MAX_PROMPT_START {
            self.apply_known_list(&config.known_endpoints);
            return;
        }
        info!("start delayed: waiting for discovery before anything is sent");
        self.deferred_list = Some(DeferredList {
            list: config.known_endpoints.clone(),
            use_at: self.clock.now() + DISCOVERY_TIMEOUT,
        });
    }

    /// Drops the deferred list once discovery has answered. Uses it if discovery has not done so within
    /// [`DISCOVERY_TIMEOUT`].
    pub(super) fn apply_deferred_list(&mut self, now: Millis) {
        if self.directory.has_discovery_responded() {
            self.deferred_list = None;
        }
        if let Some(deferred) = self.deferred_list.take_if(|list| list.use_at <= now) {
            self.apply_known_list(&deferred.list);
        }
    }

    /// When [`Driver::apply_deferred_list`] will use the deferred list, if there is one.
    pub(super) fn deferred_list_deadline(&self) -> Option<Millis> {
        self.deferred_list.as_ref().map(|deferred| deferred.use_at)
    }

    fn apply_known_list(&mut self, list: &Value) {
        if let Some(known) = self.directory.apply(list) {
            self.apply_endpoint_change(EndpointListChange {
                complete: true,
                ..known
            });
            self.directory.delay_first_watch(self.clock.now());
        }
    }
}
