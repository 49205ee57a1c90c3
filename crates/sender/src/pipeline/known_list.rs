//! The endpoint list that a process is started with, as the sender last had it.
//!
//! It counts as of the start. Endpoints may drain while a start is held up, and requests to them must stop 1 s later:
//! behind a slow start, discovery is asked first. Only where it stays silent for long, an old list is better than none.

use std::time::{Duration, Instant};

use martenlatch_clock::Millis;
use serde_json::Value;
use tracing::info;

use super::Driver;
use crate::Config;
use crate::discovery::EndpointListChange;

/// The list is used at once where the start took no longer than this. Discovery's first answer may take another 500 ms.
const LIST_LIFETIME: Duration = Duration::from_millis(400);
/// How long discovery is waited for behind a start that took longer.
const DISCOVERY_PATIENCE: Millis = 5_000.0;

/// A list that is used unless discovery answers first.
pub struct DeferredList {
    list: Value,
    use_at: Millis,
}

impl Driver {
    /// Uses the list of the configuration, now or later, in a process that began at an instant.
    pub(super) fn apply_or_defer_known_list(&mut self, config: &Config, began: Instant) {
        if !config.known_endpoints.is_object() {
            return;
        }
        if began.elapsed() <= LIST_LIFETIME {
            self.apply_known_list(&config.known_endpoints);
            return;
        }
        info!("the start was held up: discovery is asked before anything is sent");
        self.deferred_list = Some(DeferredList {
            list: config.known_endpoints.clone(),
            use_at: self.clock.now() + DISCOVERY_PATIENCE,
        });
    }

    /// Uses the deferred list once discovery has been silent for long enough.
    pub(super) fn apply_deferred_list(&mut self, now: Millis) {
        if self.directory.has_heard_discovery() {
            self.deferred_list = None;
        }
        if let Some(deferred) = self.deferred_list.take_if(|list| list.use_at <= now) {
            self.apply_known_list(&deferred.list);
        }
    }

    /// When [`Driver::apply_deferred_list`] has something to do.
    pub(super) fn deferred_list_at(&self) -> Option<Millis> {
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
