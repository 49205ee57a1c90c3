//! Failure detection: one member is probed in each period, first directly and then through other members. A member that
//! does not answer is suspected, and declared dead unless it refutes the suspicion in time.

use std::net::SocketAddr;

use martenlatch_clock::Millis;
use rand::RngExt;
use rand::seq::SliceRandom;

use super::Membership;
use super::member::{MemberState, MemberUpdate};
use super::message::Payload;

/// Maximum number of pings on behalf of other members that wait for their acks.
const MAX_RELAYED_PINGS: usize = 64;
/// Number of periods between two reconnection attempts, each to one dead member and one seed that is not a live member.
const RECONNECT_INTERVAL: u64 = 3;
/// Maximum number of lost members that are examined for one reconnection attempt.
const RECONNECT_CANDIDATES: usize = 4;
/// If a period starts late by more than this fraction of a period, this process has stalled, and no member is suspected
/// for it.
const STALL_TOLERANCE: f64 = 0.5;

/// The probe of the current period.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    name: String,
    sequence: u64,
    sent_at: Millis,
    /// Whether other members were asked to ping the target.
    indirect: bool,
    /// Whether the previous probe of the same member was not answered either.
    repeated: bool,
}

impl Probe {
    /// When other members have to be asked for an indirect ping, or `None` if they were asked already.
    pub(super) fn indirect_at(&self, ack_timeout: Millis) -> Option<Millis> {
        (!self.indirect).then_some(self.sent_at + ack_timeout)
    }
}

/// A ping that was sent on behalf of another member.
#[derive(Clone, Debug)]
pub(super) struct RelayedPing {
    sequence: u64,
    requester: SocketAddr,
    requester_sequence: u64,
}

impl Membership {
    /// Asks other members for an indirect ping if the ack of the current probe is overdue.
    pub(super) fn probe_indirectly(&mut self, now: Millis) {
        let ack_timeout = self.settings.ack_timeout;
        let Some(probe) = &mut self.probe else {
            return;
        };
        if probe.indirect_at(ack_timeout).is_none_or(|due| now < due) {
            return;
        }
        probe.indirect = true;
        let sequence = probe.sequence;
        let target = probe.name.clone();
        let Some(address) = self.view.get(&target).map(|member| member.address) else {
            return;
        };
        for to in self.random_members(self.settings.indirect_probes, Some(&target)) {
            self.send(to, Payload::PingRequest { sequence, address }, None);
        }
    }

    /// Ends the current protocol period and starts the next one.
    pub(super) fn start_period(&mut self, now: Millis) {
        let stalled = now > self.next_period + self.settings.period * STALL_TOLERANCE;
        let scheduled = if stalled { now } else { self.next_period };
        self.periods += 1;
        self.next_period = scheduled + self.settings.period;
        let unanswered = self.probe.take().filter(|_| !stalled);
        match unanswered {
            Some(probe) => self.handle_probe_failure(&probe, now),
            None => self.probe_next(now),
        }
        if self.periods % RECONNECT_INTERVAL == 1 {
            self.reconnect_lost_member();
            self.reconnect_seed();
        }
    }

    fn handle_probe_failure(&mut self, probe: &Probe, now: Millis) {
        let target = self.view.get(&probe.name).cloned();
        let Some(target) = target.filter(|member| member.state == MemberState::Alive) else {
            self.probe_next(now);
            return;
        };
        // On a lossy network a single unanswered probe is common, and two in a row are rare.
        if probe.repeated {
            self.suspect(target, now);
        } else {
            self.start_probe(target, true, now);
        }
    }

    fn suspect(&mut self, target: MemberUpdate, now: Millis) {
        let suspect = target.with_state(MemberState::Suspect);
        self.merge(suspect.clone(), now);
        self.probe_next(now);
        // This ping carries the suspicion, so that the target can refute it at once, before the update reaches it by
        // way of other members.
        self.ping(suspect);
    }

    fn start_probe(&mut self, target: MemberUpdate, repeated: bool, now: Millis) {
        let name = target.name.clone();
        let sequence = self.ping(target);
        self.probe = Some(Probe {
            name,
            sequence,
            sent_at: now,
            indirect: false,
            repeated,
        });
    }

    /// Sends a ping and returns its sequence number.
    fn ping(&mut self, target: MemberUpdate) -> u64 {
        let sequence = self.next_sequence();
        self.send(target.address, Payload::Ping { sequence }, Some(target));
        sequence
    }

    fn probe_next(&mut self, now: Millis) {
        while let Some(name) = self.next_target() {
            let target = self.view.get(&name).cloned();
            if let Some(target) = target.filter(|member| member.state.is_live()) {
                self.start_probe(target, false, now);
                return;
            }
        }
    }

    /// Selects the next member to probe: round robin over the live members, in an order that is reshuffled for every
    /// pass.
    fn next_target(&mut self) -> Option<String> {
        if self.probe_order.is_empty() {
            let live = self.view.values().filter(|member| member.state.is_live());
            self.probe_order = live.map(|member| member.name.clone()).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        self.probe_order.pop()
    }

    /// Pings one member that was declared dead, so that the parts of a partitioned network find each other again.
    fn reconnect_lost_member(&mut self) {
        for _ in 0..self.lost_members.len().min(RECONNECT_CANDIDATES) {
            let Some(name) = self.lost_members.pop_front() else {
                break;
            };
            let member = self.view.get(&name).cloned();
            if let Some(dead) = member.filter(|member| member.state == MemberState::Dead) {
                self.lost_members.push_back(name);
                self.ping(dead);
                break;
            }
        }
    }

    /// Requests the view of a random seed, unless the seed is a live member.
    fn reconnect_seed(&mut self) {
        if self.seeds.is_empty() {
            return;
        }
        let seed = self.seeds[self.rng.random_range(0..self.seeds.len())];
        let mut members = self.view.values();
        if !members.any(|member| member.address == seed && member.state.is_live()) {
            self.send(seed, Payload::ViewRequest, None);
        }
    }

    /// Pings a member on behalf of another member.
    pub(super) fn relay_ping(
        &mut self,
        requester: SocketAddr,
        requester_sequence: u64,
        target: SocketAddr,
    ) {
        let sequence = self.next_sequence();
        if self.relayed_pings.len() >= MAX_RELAYED_PINGS {
            self.relayed_pings.pop_front();
        }
        self.relayed_pings.push_back(RelayedPing {
            sequence,
            requester,
            requester_sequence,
        });
        self.send(target, Payload::Ping { sequence }, None);
    }

    /// Handles an ack: it completes the current probe, or is forwarded to the member that requested the ping.
    pub(super) fn handle_ack(&mut self, sequence: u64) {
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.sequence == sequence)
        {
            self.probe = None;
        }
        let position = self
            .relayed_pings
            .iter()
            .position(|ping| ping.sequence == sequence);
        if let Some(relayed) = position.and_then(|index| self.relayed_pings.remove(index)) {
            let sequence = relayed.requester_sequence;
            self.send(relayed.requester, Payload::Ack { sequence }, None);
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// The addresses of up to `count` random members in the state `Alive`, without the member named `excluded`.
    pub(super) fn random_members(
        &mut self,
        count: usize,
        excluded: Option<&str>,
    ) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self
            .view
            .values()
            .filter(|member| member.state == MemberState::Alive)
            .filter(|member| Some(member.name.as_str()) != excluded)
            .map(|member| member.address)
            .collect();
        let (drawn, _) = addresses.partial_shuffle(&mut self.rng, count);
        drawn.to_vec()
    }
}
