//! Group membership, following "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol"
//! (Das, Gupta, Motivala, 2002): pings and indirect pings, suspicion and its refutation, and updates piggybacked on
//! every datagram. In addition, every datagram carries a digest of its sender's view, so that the parts of a network
//! partition agree again after it has healed.
//!
//! [`Membership`] is a state machine without I/O: its inputs are the time and received datagrams, its outputs are
//! datagrams to send and changes of the view. The modules `failure_detector`, `dissemination` and `view` implement its
//! parts.

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

/// Maximum length of a member's name, in bytes; it bounds the size of a datagram.
pub const MAX_NAME_BYTES: usize = 32;
/// Maximum number of updates in one datagram. With the longest names, a datagram stays under 1,200 bytes, which any
/// network path can carry.
pub const MAX_UPDATES: usize = 12;
/// Minimum number of periods between two requests for a full view, and between two reactions to a name conflict.
const VIEW_REQUEST_INTERVAL: u64 = 8;

/// The membership protocol of one member, with its view of the group.
#[derive(Clone, Debug)]
pub struct Membership {
    /// The local member.
    local: MemberUpdate,
    settings: Settings,
    seeds: Vec<SocketAddr>,
    /// The other members by name, including those that died or left and are still retained.
    view: BTreeMap<String, MemberUpdate>,
    /// The number of live members in `view`.
    live_count: usize,
    /// XOR of the digest contributions of the local member and of the live members in `view`.
    view_digest: u64,
    /// The members that remain to be probed in the current pass over the view.
    probe_order: Vec<String>,
    /// Members that were declared dead, and to which a reconnection is attempted. Some may have come back or been
    /// removed since.
    lost_members: VecDeque<String>,
    probe: Option<Probe>,
    relayed_pings: VecDeque<RelayedPing>,
    update_queue: UpdateQueue,
    expiries: BTreeSet<Expiry>,
    next_period: Millis,
    /// The number of periods started so far.
    periods: u64,
    last_sequence: u64,
    /// The number of consecutive view digest mismatches.
    digest_mismatches: u32,
    /// The period of the last request for a full view.
    last_view_request: u64,
    /// The period of the last reaction to another node with the local member's name.
    last_name_conflict: Option<u64>,
    /// The number of updates on unknown members that were rejected because the view was full.
    pub rejected_updates: u64,
    rng: Pcg32,
    outgoing: Vec<(SocketAddr, Datagram)>,
    changes: Vec<MembershipChange>,
}

impl Membership {
    /// Creates a member that knows only the addresses of its seeds. `name` is truncated to [`MAX_NAME_BYTES`].
    /// `incarnation` should be higher than any that this member had before a restart; it is raised if an update from
    /// another member shows that it is not.
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
            seeds: seeds
                .iter()
                .copied()
                .filter(|seed| *seed != address)
                .collect(),
            view: BTreeMap::new(),
            live_count: 0,
            probe_order: Vec::new(),
            lost_members: VecDeque::new(),
            probe: None,
            relayed_pings: VecDeque::new(),
            update_queue: UpdateQueue::default(),
            expiries: BTreeSet::new(),
            next_period: now,
            periods: 0,
            last_sequence: 0,
            digest_mismatches: 0,
            last_view_request: 0,
            last_name_conflict: None,
            rejected_updates: 0,
            rng: Pcg32::seed_from_u64(rng_seed),
            settings,
            outgoing: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// The local member's own entry, as it is sent to others.
    pub fn local(&self) -> &MemberUpdate {
        &self.local
    }

    /// The other members by name, including those that died or left and are still retained.
    pub fn others(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.view.values()
    }

    /// The number of other live members, including suspects.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Takes the datagrams that were queued since the last call, with the addresses of their receivers.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, Datagram)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the changes of the view since the last call, in the order in which they happened.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// The time by which [`Membership::tick`] must be called next.
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

    /// Joins the group by requesting the views of all seeds.
    pub fn join(&mut self) {
        for seed in self.seeds.clone() {
            self.send(seed, Payload::ViewRequest, None);
        }
    }

    /// Leaves the group and announces it to some members.
    pub fn leave(&mut self) {
        self.local.state = MemberState::Left;
        self.announce(2 * self.settings.indirect_probes);
    }

    /// Handles all expiries, indirect probes and protocol periods that are due at `now`.
    pub fn tick(&mut self, now: Millis) {
        self.expire(now);
        self.probe_indirectly(now);
        if now >= self.next_period {
            self.start_period(now);
        }
    }

    /// Handles a datagram that has been authenticated.
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
        let is_live = from.state.is_live();
        self.merge(from, now);
        if is_live {
            self.declare_others_dead_at(address, &name, now);
        }
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

/// Truncates a name to [`MAX_NAME_BYTES`] at a character boundary.
fn truncate_name(name: &str) -> String {
    let mut bytes = 0;
    name.chars()
        .take_while(|c| {
            bytes += c.len_utf8();
            bytes <= MAX_NAME_BYTES
        })
        .collect()
}
