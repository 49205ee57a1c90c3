//! Group membership after "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (Das,
//! Gupta, Motivala, 2002): pings and indirect pings, suspicion and its refutation, and updates piggybacked on every
//! datagram. As an addition every datagram carries a digest of its sender's view, so that the halves of a split network
//! agree once they meet again.
//!
//! [`Membership`] is a state machine without I/O: time and received datagrams go in, datagrams to send and changes of
//! the view come out. The modules `failure_detector`, `dissemination` and `view` hold its parts.

mod dissemination;
mod failure_detector;
mod member;
mod message;
mod settings;
mod view;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use martenlatch_clock::Millis;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use dissemination::UpdateQueue;
use failure_detector::{Probe, RelayedPing};
pub use member::{MemberState, MemberUpdate, MembershipChange};
pub use message::{Datagram, Payload};
pub use settings::Settings;
use view::Expiry;

/// Longest name of a member, in bytes; it bounds the size of a datagram.
pub const MAX_NAME_BYTES: usize = 32;
/// Most updates in one datagram: with the longest names they stay under the 1,200 bytes that any path takes.
pub const MAX_UPDATES: usize = 12;
/// Periods between two requests for a full view, and between two reactions to a name conflict.
const SYNC_INTERVAL: u64 = 8;

/// One member's view of the group.
#[derive(Clone, Debug)]
pub struct Membership {
    /// This member.
    local: MemberUpdate,
    settings: Settings,
    seeds: Vec<SocketAddr>,
    /// The other members by name, including those that died or left and are still retained.
    view: BTreeMap<String, MemberUpdate>,
    /// Number of live members in `view`.
    live_count: usize,
    /// XOR of the digests of this member and of the live members in `view`.
    view_digest: u64,
    /// Members still to be probed in the current pass over the view.
    probe_order: Vec<String>,
    /// Members that were declared dead and may be contacted again; some may be back or removed by now.
    lost: VecDeque<String>,
    probe: Option<Probe>,
    relayed_pings: VecDeque<RelayedPing>,
    update_queue: UpdateQueue,
    expiries: BTreeSet<Expiry>,
    next_period: Millis,
    /// Periods begun so far.
    periods: u64,
    last_sequence: u64,
    /// Differing digests received in a row.
    digest_mismatches: u32,
    /// The period of the last request for a full view.
    last_sync: u64,
    /// The period in which another node was last seen to use this member's name.
    name_conflict: Option<u64>,
    /// Number of updates on unknown members that a full view had no room for.
    pub rejected_updates: u64,
    rng: Pcg32,
    outgoing: Vec<(SocketAddr, Datagram)>,
    changes: Vec<MembershipChange>,
}

impl Membership {
    /// A member that knows only the addresses of its seeds. `name` is cut to [`MAX_NAME_BYTES`]. `incarnation` should
    /// be higher than any that this member had before a restart; it is raised if that turns out not to be the case.
    pub fn new(
        name: &str,
        address: SocketAddr,
        incarnation: u64,
        seeds: &[SocketAddr],
        settings: Settings,
        rng_seed: u64,
        now: Millis,
    ) -> Membership {
        let local = MemberUpdate {
            name: truncate_name(name),
            address,
            incarnation,
            state: MemberState::Alive,
        };
        Membership {
            view_digest: local.digest_contribution(),
            local,
            seeds: seeds.iter().copied().filter(|s| *s != address).collect(),
            view: BTreeMap::new(),
            live_count: 0,
            probe_order: Vec::new(),
            lost: VecDeque::new(),
            probe: None,
            relayed_pings: VecDeque::new(),
            update_queue: UpdateQueue::default(),
            expiries: BTreeSet::new(),
            next_period: now,
            periods: 0,
            last_sequence: 0,
            digest_mismatches: 0,
            last_sync: 0,
            name_conflict: None,
            rejected_updates: 0,
            rng: Pcg32::seed_from_u64(rng_seed),
            settings,
            outgoing: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// This member, as it describes itself to others.
    pub fn local(&self) -> &MemberUpdate {
        &self.local
    }

    /// The other members by name, including those that died or left and are still retained.
    pub fn others(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.view.values()
    }

    /// The number of other live members, suspects included.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Takes the datagrams to send since the last call, with their receivers.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, Datagram)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the changes of the view since the last call, in their order.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// When [`Membership::tick`] has something to do next.
    pub fn next_deadline(&self) -> Millis {
        let ack_timeout = self.settings.ack_timeout;
        let probe = self.probe.as_ref();
        let indirect_probe = probe.and_then(|probe| probe.indirect_at(ack_timeout));
        let expiry = self.expiries.first().map(Expiry::due);
        [indirect_probe, expiry]
            .into_iter()
            .flatten()
            .fold(self.next_period, f64::min)
    }

    /// Joins the group: requests the views of all seeds.
    pub fn join(&mut self) {
        for seed in self.seeds.clone() {
            self.send(seed, Payload::ViewRequest, None);
        }
    }

    /// Leaves the group: announces that to some members.
    pub fn leave(&mut self) {
        self.local.state = MemberState::Left;
        self.announce(2 * self.settings.indirect_probes);
    }

    /// Does what is due by `now`.
    pub fn tick(&mut self, now: Millis) {
        self.expire(now);
        self.probe_indirectly(now);
        if now >= self.next_period {
            self.start_period(now);
        }
    }

    /// Handles a datagram whose seal was verified.
    pub fn handle_datagram(&mut self, datagram: Datagram, now: Millis) {
        let Datagram {
            from,
            view_digest,
            payload,
            updates,
        } = datagram;
        if from.name == self.local.name {
            self.refute(&from);
            return;
        }
        let name = from.name.clone();
        let address = from.address;
        self.merge(from, now);
        for update in updates.into_iter().take(MAX_UPDATES) {
            self.merge(update, now);
        }
        let sender = self.view.get(&name).cloned();
        match payload {
            Payload::Ping { sequence } => self.send(address, Payload::Ack { sequence }, sender),
            Payload::Ack { sequence } => self.handle_ack(sequence),
            Payload::PingRequest {
                sequence,
                address: target,
            } => self.relay_ping(address, sequence, target),
            Payload::ViewRequest => {
                self.send_full_view(address);
                return;
            }
            Payload::View => return,
        }
        self.compare_view_digest(address, view_digest);
    }
}

/// Cuts a name to [`MAX_NAME_BYTES`] at the end of a character.
fn truncate_name(name: &str) -> String {
    let mut bytes = 0;
    name.chars()
        .take_while(|c| {
            bytes += c.len_utf8();
            bytes <= MAX_NAME_BYTES
        })
        .collect()
}
