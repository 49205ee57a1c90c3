//! Detection of endpoints without spare connections, for each kind of endpoint.
//!
//! An endpoint accepts a small number of connections that it does not disclose. While all of them are in use, it
//! rejects requests on new connections and serves those on existing ones. So a sender with a connection is never
//! rejected, and a sender without one is never served. A sender that observes this at any endpoint of a kind keeps no
//! idle connections to endpoints of that kind, as each of them would exclude another sender.
//!
//! Scarcity is independent of the health and load of an endpoint: those affect reused connections, too.

use serde::{Deserialize, Serialize};

/// The factor by which each response reduces the weight of the earlier ones.
const DECAY: f64 = 0.9;
/// Connections are scarce if at least this fraction of the requests on new connections is rejected...
const MIN_REJECTED_SHARE_ON_NEW: f64 = 0.6;
/// ...and at least this weighted number of them, to exclude chance...
const MIN_REJECTIONS_ON_NEW: f64 = 2.0;
/// ...and at most this fraction of the requests on reused connections.
const MAX_REJECTED_SHARE_ON_REUSED: f64 = 0.2;

/// Weighted counts of recent responses.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
struct ResponseCounts {
    rejected: f64,
    total: f64,
}

impl ResponseCounts {
    fn record(&mut self, rejected: bool) {
        self.rejected = self.rejected * DECAY + f64::from(rejected);
        self.total = self.total * DECAY + 1.0;
    }
}

/// Counts of the responses from endpoints of one kind, on new and on reused connections.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
struct KindCounts {
    new_connections: ResponseCounts,
    reused_connections: ResponseCounts,
}

/// The properties of a response that indicate whether the endpoint has spare connections.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseObservation {
    /// Whether the endpoint had admitted an earlier request on the connection.
    pub reused: bool,
    /// Whether the endpoint rejected the request.
    pub rejected: bool,
    /// Whether the response gave a retry-after time: such a rejection comes from a rate limit, not from a lack of
    /// connections.
    pub retry_after_given: bool,
}

/// Detects kinds of endpoints without spare connections. Serialized for a process replacement.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(super) struct ConnectionScarcityDetector(Vec<KindCounts>);

impl ConnectionScarcityDetector {
    /// Records a response from an endpoint whose kind has the index `kind` in the settings.
    pub fn record(&mut self, kind: usize, response: ResponseObservation) {
        if kind >= self.0.len() {
            self.0.resize_with(kind + 1, Default::default);
        }
        let counts = &mut self.0[kind];
        if response.reused {
            counts.reused_connections.record(response.rejected);
        } else if !response.retry_after_given {
            counts.new_connections.record(response.rejected);
        }
    }

    /// Whether endpoints of the kind lack spare connections, so that an idle connection would exclude another sender.
    pub fn is_scarce(&self, kind: usize) -> bool {
        let Some(counts) = self.0.get(kind) else {
            return false;
        };
        let new = counts.new_connections;
        let reused = counts.reused_connections;
        new.rejected >= MIN_REJECTIONS_ON_NEW
            && new.rejected >= MIN_REJECTED_SHARE_ON_NEW * new.total
            && reused.rejected <= MAX_REJECTED_SHARE_ON_REUSED * reused.total
    }
}
