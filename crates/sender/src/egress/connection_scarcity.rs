//! Detection of endpoints that have no connections to spare, for each kind of endpoint.
//!
//! An endpoint holds few connections, and does not say how many. One whose connections are all taken rejects requests
//! on new connections and serves those on the connections that it has. So a sender that holds a connection never meets
//! a rejection, and one that holds none is never served. A sender that sees this at any endpoint of a kind keeps no
//! idle connection to endpoints of that kind: each would keep another sender out.
//!
//! It says nothing of an endpoint's health or load: those show on reused connections, too.

use serde::{Deserialize, Serialize};

/// What each response leaves of the weight of those before it.
const DECAY: f64 = 0.9;
/// Scarcity: at least this part of the requests on new connections is rejected...
const MIN_REJECTED_ON_NEW: f64 = 0.6;
/// ...and at least this many of them, weighted, so that it is no chance...
const MIN_REJECTIONS_ON_NEW: f64 = 2.0;
/// ...and at most this part of the requests on reused connections.
const MAX_REJECTED_ON_REUSED: f64 = 0.2;

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

/// Responses of the endpoints of one kind, by the connection that they came on.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
struct KindCounts {
    new_connections: ResponseCounts,
    reused_connections: ResponseCounts,
}

/// A response, as far as it says something of an endpoint's spare connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionResponse {
    /// The connection had carried an admitted request before.
    pub reused: bool,
    /// The endpoint rejected the request.
    pub rejected: bool,
    /// The rejection named a time to wait: it comes from a rate limit, and says nothing of connections.
    pub retry_after_given: bool,
}

/// For each kind of endpoint, whether its endpoints lack spare connections. Serialized for a process replacement.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct ConnectionScarcity(Vec<KindCounts>);

impl ConnectionScarcity {
    /// Takes account of a response of an endpoint of the kind with that index in the settings.
    pub fn record(&mut self, kind: usize, response: ConnectionResponse) {
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

    /// Whether an idle connection to an endpoint of the kind keeps other senders out.
    pub fn is_scarce(&self, kind: usize) -> bool {
        let Some(counts) = self.0.get(kind) else {
            return false;
        };
        let new = counts.new_connections;
        let reused = counts.reused_connections;
        new.rejected >= MIN_REJECTIONS_ON_NEW
            && new.rejected >= MIN_REJECTED_ON_NEW * new.total
            && reused.rejected <= MAX_REJECTED_ON_REUSED * reused.total
    }
}
