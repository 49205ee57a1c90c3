//! Eviction: chooses the client whose connection is closed when there are too many.

use martenlatch_clock::Millis;

use super::closing::CloseReason;
use super::{Client, Ingress};

/// How long a client that has just connected is expected to take before it sends its request. After this time it is
/// evicted before idle clients.
pub(in crate::pipeline) const NEWCOMER_GRACE: Millis = 300.0;
/// The share of `max_clients` by which clients that are reading their last answer may exceed it, as a divisor.
const LINGERING_DIVISOR: usize = 8;

/// The largest number of connections, including those of clients that are reading their last answer.
pub(super) fn max_connections(max_clients: usize) -> usize {
    max_clients + max_clients / LINGERING_DIVISOR + 1
}

/// Groups of clients, in the order in which they are evicted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Its last answer has been queued.
    Closing,
    /// It has sent nothing for longer than [`NEWCOMER_GRACE`] since it connected.
    Silent,
    /// It is idle between two requests.
    Idle,
    /// It has just connected.
    Newcomer,
    /// Its request has begun.
    InRequest,
}

/// A client that may be evicted.
struct EvictionCandidate {
    rank: EvictionRank,
    phase_started: Millis,
    client: usize,
}

fn rank(client: &Client, now: Millis) -> EvictionRank {
    if client.closing {
        EvictionRank::Closing
    } else if client.has_input() {
        EvictionRank::InRequest
    } else if client.has_sent_request {
        EvictionRank::Idle
    } else if now > client.phase_started + NEWCOMER_GRACE {
        EvictionRank::Silent
    } else {
        EvictionRank::Newcomer
    }
}

impl Ingress {
    /// The clients that may be evicted, in the order of eviction: those that are waiting neither for the answer to a
    /// complete request nor for the unwritten rest of an answer. Within a rank, the one whose phase began first comes
    /// first.
    fn eviction_order(&self, now: Millis) -> Vec<EvictionCandidate> {
        let mut order: Vec<EvictionCandidate> = self
            .clients
            .iter()
            .filter(|(_, client)| !client.awaiting_answer && client.connection.is_flushed())
            .map(|(index, client)| EvictionCandidate {
                rank: rank(client, now),
                phase_started: client.phase_started,
                client: index,
            })
            .collect();
        order.sort_by(|a, b| {
            a.rank
                .cmp(&b.rank)
                .then(a.phase_started.total_cmp(&b.phase_started))
        });
        order
    }

    /// Closes one client's connection to make room, in the order of [`EvictionRank`]: a crowd of silent clients must
    /// not displace the usual ones, although these connected earlier. If every client has begun a request, the one that
    /// has taken the longest is rejected.
    ///
    /// With `spare_descriptors`, clients that are reading their last answer may finish, unless there are too many of
    /// them.
    pub(in crate::pipeline) fn evict(&mut self, now: Millis, spare_descriptors: bool) {
        let order = self.eviction_order(now);
        let closing = order
            .iter()
            .take_while(|candidate| candidate.rank == EvictionRank::Closing)
            .count();
        let max_clients = self.limits.max_clients;
        let may_linger =
            spare_descriptors && self.clients.len() < max_clients + max_clients / LINGERING_DIVISOR;
        if may_linger && self.clients.len() < max_clients + closing {
            return;
        }
        let spared = if may_linger { closing } else { 0 };
        if self.evict_without_request(&order[spared..]) {
            return;
        }
        if let Some(slowest) = order
            .iter()
            .find(|candidate| candidate.rank == EvictionRank::InRequest)
        {
            self.reject_partial_request(slowest.client, now);
            // The rest of its request is in transit. Closing now would reset the connection and destroy the answer.
            if !may_linger {
                self.close(slowest.client, CloseReason::Evicted);
            }
        }
    }

    /// Closes the first connection without a request. One whose request has arrived but has not been read yet is kept,
    /// as closing it would lose a message. Returns false if no connection could be closed.
    fn evict_without_request(&mut self, order: &[EvictionCandidate]) -> bool {
        for candidate in order {
            if self.close_if_idle(candidate.client, CloseReason::Evicted) {
                return true;
            }
            if candidate.rank == EvictionRank::InRequest {
                break;
            }
        }
        false
    }

    /// Closes a connection unless a request has arrived on it. The connection is read first to find out.
    fn close_if_idle(&mut self, index: usize, reason: CloseReason) -> bool {
        let client = &mut self.clients[index];
        if !client.closing {
            client.read(self.readable_since);
        }
        let idle = client.closing || !client.has_input();
        if idle {
            self.close(index, reason);
        }
        idle
    }

    /// Closes connections without a request until at most `limit` connections are left. Returns how many are left. A
    /// client whose request is in transit meanwhile sends it again.
    pub(in crate::pipeline) fn close_idle_connections(
        &mut self,
        limit: usize,
        now: Millis,
    ) -> usize {
        for candidate in self.eviction_order(now) {
            if self.clients.len() <= limit {
                break;
            }
            self.close_if_idle(candidate.client, CloseReason::Replacement);
        }
        self.clients.len()
    }
}
