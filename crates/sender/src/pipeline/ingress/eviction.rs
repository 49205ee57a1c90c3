//! Eviction: which client's connection is closed when there are too many.

use martenlatch_clock::Millis;

use super::closing::CloseReason;
use super::{Client, Ingress};

/// A client that has just connected is about to send its request; after this time it may be evicted first.
pub(in crate::pipeline) const NEWCOMER_GRACE: Millis = 300.0;
/// The share of `max_clients` that may be exceeded by clients that read their last answer, as a divisor.
const LINGERING_DIVISOR: usize = 8;

/// The most connections that there can be, those of clients that read their last answer included.
pub(super) fn max_connections(max_clients: usize) -> usize {
    max_clients + max_clients / LINGERING_DIVISOR + 1
}

/// The groups of clients, in the order in which they are evicted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// It has had its last answer.
    Closing,
    /// It has connected and sent nothing for longer than [`NEWCOMER_GRACE`].
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
    /// The clients that do not wait for an answer, nor for the rest of one, in the order in which they are evicted:
    /// within a rank, the longest there first.
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

    /// Closes one client's connection to make room, in the order of [`EvictionRank`]: a crowd of silent clients, which
    /// are younger than the usual ones, must not displace these. If every client has begun a request, the one that has
    /// taken the longest is rejected.
    ///
    /// With `spare_descriptors`, clients that had their last answer may read it, until there are too many of them.
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
            // The rest of its request is on the way. Closing now would reset the connection and destroy the answer.
            if !may_linger {
                self.close(slowest.client, CloseReason::Evicted);
            }
        }
    }

    /// Closes the first connection without a request. One whose request has arrived unread stays: closing it would
    /// lose a message. False if there is none.
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

    /// Closes a connection unless a request has arrived on it, which is looked for first.
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

    /// Closes connections without a request until there are at most so many. Returns how many are left. A client whose
    /// request crosses this sends it again.
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
