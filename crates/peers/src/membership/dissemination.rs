//! Dissemination of updates: every datagram carries some, and a member whose view digest keeps differing is asked for
//! its full view.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::member::{MemberState, MemberUpdate};
use super::message::{Datagram, Payload};
use super::{MAX_UPDATES, Membership, VIEW_REQUEST_INTERVAL};

/// The number of transmissions of an update is this factor times the binary logarithm of the group size, which is
/// enough to reach all members in spite of losses.
const TRANSMISSIONS_FACTOR: u32 = 3;
/// Number of consecutive view digest mismatches after which the full view of the other member is requested.
const MAX_DIGEST_MISMATCHES: u32 = 3;

/// The names of members whose updates are being disseminated, ordered by the number of their transmissions.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateQueue {
    queue: BTreeSet<(u32, String)>,
    /// The number of transmissions by name, by which the entry in `queue` is found.
    transmissions: BTreeMap<String, u32>,
}

impl UpdateQueue {
    /// Queues a new update on a member, in place of an older one.
    pub(super) fn push(&mut self, name: &str) {
        self.remove(name);
        self.insert(0, name.to_string());
    }

    /// Removes the update on a member.
    pub(super) fn remove(&mut self, name: &str) {
        if let Some(transmissions) = self.transmissions.remove(name) {
            self.queue.remove(&(transmissions, name.to_string()));
        }
    }

    fn insert(&mut self, transmissions: u32, name: String) {
        self.transmissions.insert(name.clone(), transmissions);
        self.queue.insert((transmissions, name));
    }

    /// Takes the update with the fewest transmissions: their number and the member's name.
    fn pop(&mut self) -> Option<(u32, String)> {
        let (transmissions, name) = self.queue.pop_first()?;
        self.transmissions.remove(&name);
        Some((transmissions, name))
    }
}

impl Membership {
    /// Sends a datagram with piggybacked updates. `about_receiver` is the known state of the receiver: unless it is
    /// `Alive`, it is the first update, so that the receiver can refute it.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        payload: Payload,
        about_receiver: Option<MemberUpdate>,
    ) {
        let first = about_receiver.filter(|update| update.state != MemberState::Alive);
        let updates = self.next_updates(first);
        self.queue_datagram(to, payload, updates);
    }

    /// Takes the updates for one datagram from the queue, and requeues those that need more transmissions.
    fn next_updates(&mut self, first: Option<MemberUpdate>) -> Vec<MemberUpdate> {
        let mut updates: Vec<MemberUpdate> = first.into_iter().collect();
        let max_transmissions = self.max_transmissions();
        let mut requeued = Vec::new();
        while updates.len() < MAX_UPDATES {
            let Some((transmissions, name)) = self.update_queue.pop() else {
                break;
            };
            let Some(update) = self.view.get(&name) else {
                continue;
            };
            if updates.first().is_none_or(|first| first.name != name) {
                updates.push(update.clone());
            }
            if transmissions + 1 < max_transmissions {
                requeued.push((transmissions + 1, name));
            }
        }
        for (transmissions, name) in requeued {
            self.update_queue.insert(transmissions, name);
        }
        updates
    }

    fn max_transmissions(&self) -> u32 {
        let group_size = self.live_count + 1;
        TRANSMISSIONS_FACTOR * (usize::BITS - group_size.leading_zeros())
    }

    fn queue_datagram(&mut self, to: SocketAddr, payload: Payload, updates: Vec<MemberUpdate>) {
        let datagram = Datagram {
            from: self.local.clone(),
            view_digest: self.view_digest,
            payload,
            updates,
        };
        self.outgoing.push((to, datagram));
    }

    /// Sends the full view, split into as many datagrams as necessary.
    pub(super) fn send_full_view(&mut self, to: SocketAddr) {
        let updates: Vec<MemberUpdate> = self
            .view
            .values()
            .filter(|member| member.address != to || !member.state.is_live())
            .cloned()
            .collect();
        for part in updates.chunks(MAX_UPDATES) {
            self.queue_datagram(to, Payload::View, part.to_vec());
        }
        if updates.is_empty() {
            self.send(to, Payload::View, None);
        }
    }

    /// Sends pending updates to some random members without waiting for the next ping.
    pub(super) fn announce(&mut self, receivers: usize) {
        for to in self.random_members(receivers, None) {
            self.send(to, Payload::View, None);
        }
    }

    /// Anti-entropy: requests a member's full view after several consecutive digest mismatches, so that the parts of a
    /// healed network partition agree again.
    pub(super) fn compare_view_digest(&mut self, from: SocketAddr, view_digest: u64) {
        if view_digest == self.view_digest {
            self.digest_mismatches = 0;
        } else {
            self.digest_mismatches += 1;
        }
        let request_due = self.periods >= self.last_view_request + VIEW_REQUEST_INTERVAL;
        if self.digest_mismatches >= MAX_DIGEST_MISMATCHES && request_due {
            self.digest_mismatches = 0;
            self.last_view_request = self.periods;
            self.send(from, Payload::ViewRequest, None);
        }
    }
}
