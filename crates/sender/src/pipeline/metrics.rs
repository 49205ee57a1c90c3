//! The counters and gauges of the running process.

use tracing::info;

use super::driver::Driver;
use crate::class_metrics::Gauges;

impl Driver {
    /// Writes all counters to the log.
    pub fn log_counters(&mut self) {
        self.store.counters.endpoint_connections = self.egress.connections_opened;
        if let Some(peers) = &self.peers {
            peers.log_counters();
        }
        info!(
            "counters held={} open={}{}",
            self.store.messages.len(),
            self.store.open_count,
            self.store.counters
        );
        let gauges = self.gauges();
        self.store.class_metrics.log(&gauges);
    }

    /// The current gauges. Everything that has happened up to now is counted first.
    pub(super) fn gauges(&mut self) -> Gauges {
        self.count_metrics();
        let policy = &self.decision.policy;
        let mut cluster_size = 0;
        let mut cluster_unhealthy = 0;
        for (endpoint, cordoned) in self.directory.endpoints() {
            cluster_size += 1;
            if cordoned || policy.is_avoided(endpoint) {
                cluster_unhealthy += 1;
            }
        }
        Gauges {
            current: self.store.open_count
                + self.store.unsettled_count()
                + self.status_reporter.unconfirmed().len(),
            cluster_size,
            cluster_unhealthy,
            violations: self.violations.total(),
        }
    }

    /// Counts what egress and ingress have recorded since the last call: attempts whose last byte was sent, and
    /// messages that were rejected before they were complete.
    pub(super) fn count_metrics(&mut self) {
        for id in std::mem::take(&mut self.egress.sent_messages) {
            if let Some(message) = self.store.messages.get(&id.0) {
                let class = &message.record.class;
                self.store.class_metrics.count_sent(class);
            }
        }
        for class in std::mem::take(&mut self.ingress.rejected_partial) {
            self.store.counters.rejected += 1;
            let class = &self.admission.classes[class];
            self.store.class_metrics.count_deferred(class);
        }
    }
}
