//! The view of the group: merging updates, expiring the states of suspects and of members that died or left, and
//! refuting updates on the local member.

use std::net::SocketAddr;

use martenlatch_clock::Millis;
use rand::RngExt;

use super::member::{MemberState, MemberUpdate, MembershipChange};
use super::{MAX_NAME_BYTES, Membership, VIEW_REQUEST_INTERVAL};

/// When the state of a member that is not alive expires: a suspect is declared dead, and a member that died or left is
/// removed. The expiry is void if the member's incarnation or state has changed since.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Expiry {
    /// The time of the expiry, in whole milliseconds.
    due: u64,
    name: String,
    incarnation: u64,
    state: MemberState,
}

impl Expiry {
    pub(super) fn due(&self) -> Millis {
        self.due as Millis
    }

    fn applies_to(&self, member: &MemberUpdate) -> bool {
        self.incarnation == member.incarnation && self.state == member.state
    }
}

impl Membership {
    /// Handles the expiries that are due.
    pub(super) fn expire(&mut self, now: Millis) {
        while let Some(expiry) = self.next_expiry(now) {
            let member = self.view.get(&expiry.name).cloned();
            let Some(member) = member.filter(|member| expiry.applies_to(member)) else {
                continue;
            };
            if expiry.state == MemberState::Suspect {
                self.merge(member.with_state(MemberState::Dead), now);
            } else {
                self.remove(&expiry.name);
            }
        }
    }

    /// Declares the other members at an address dead, from which the member with this name has sent a datagram: its process
    /// has come up where theirs had been. One that lives at another address refutes this.
    pub(super) fn declare_others_dead_at(&mut self, address: SocketAddr, name: &str, now: Millis) {
        let replaced: Vec<MemberUpdate> = self
            .view
            .values()
            .filter(|member| member.address == address && member.name != name)
            .filter(|member| member.state.is_live())
            .cloned()
            .collect();
        for member in replaced {
            self.merge(member.with_state(MemberState::Dead), now);
        }
    }

    fn next_expiry(&mut self, now: Millis) -> Option<Expiry> {
        if self.expiries.first()?.due() <= now {
            self.expiries.pop_first()
        } else {
            None
        }
    }

    /// Merges an update into the view, unless the known state of the member overrides it.
    pub(super) fn merge(&mut self, update: MemberUpdate, now: Millis) {
        if update.name == self.local.name {
            self.refute(&update);
            return;
        }
        if update.name.is_empty() || update.name.len() > MAX_NAME_BYTES {
            return;
        }
        let previous = self.view.get(&update.name).cloned();
        if previous
            .as_ref()
            .is_some_and(|known| !update.overrides(known))
        {
            return;
        }
        if previous.is_none() && !self.make_room_for(&update) {
            self.rejected_updates += 1;
            return;
        }
        self.update_totals(previous.as_ref(), &update);
        self.record_change(previous.map(|member| member.state), &update);
        self.schedule_expiry(&update, now);
        if update.state == MemberState::Dead && !self.lost_members.contains(&update.name) {
            self.lost_members.push_back(update.name.clone());
        }
        self.update_queue.push(&update.name);
        self.view.insert(update.name.clone(), update);
    }

    /// Updates the digest and the number of live members.
    fn update_totals(&mut self, previous: Option<&MemberUpdate>, update: &MemberUpdate) {
        if let Some(previous) = previous.filter(|member| member.state.is_live()) {
            self.view_digest ^= previous.digest_contribution();
            self.live_count -= 1;
        }
        if update.state.is_live() {
            self.view_digest ^= update.digest_contribution();
            self.live_count += 1;
        }
    }

    fn record_change(&mut self, previous: Option<MemberState>, update: &MemberUpdate) {
        let was_live = previous.is_some_and(MemberState::is_live);
        let name = update.name.clone();
        match update.state {
            MemberState::Alive if !was_live => {
                // At a random position of the current pass, so that the member is probed soon.
                let position = self.rng.random_range(0..=self.probe_order.len());
                self.probe_order.insert(position, name);
                self.changes.push(MembershipChange::Joined(update.clone()));
            }
            MemberState::Alive if previous == Some(MemberState::Suspect) => {
                self.changes.push(MembershipChange::Refuted(name));
            }
            MemberState::Suspect if !was_live => {
                self.probe_order.push(name.clone());
                self.changes.push(MembershipChange::Joined(update.clone()));
                self.changes.push(MembershipChange::Suspected(name));
            }
            MemberState::Suspect if previous == Some(MemberState::Alive) => {
                self.changes.push(MembershipChange::Suspected(name));
            }
            MemberState::Dead if was_live => self.changes.push(MembershipChange::Died(name)),
            MemberState::Left if was_live => self.changes.push(MembershipChange::Left(name)),
            _ => {}
        }
    }

    fn schedule_expiry(&mut self, update: &MemberUpdate, now: Millis) {
        let delay = match update.state {
            MemberState::Alive => return,
            MemberState::Suspect => self.suspicion_timeout(),
            MemberState::Dead | MemberState::Left => self.settings.retention,
        };
        self.expiries.insert(Expiry {
            due: (now + delay).ceil() as u64,
            name: update.name.clone(),
            incarnation: update.incarnation,
            state: update.state,
        });
    }

    fn suspicion_timeout(&self) -> Millis {
        let group_size = (self.live_count + 2) as f64;
        self.settings.suspicion_periods * group_size.log10().max(1.0) * self.settings.period
    }

    /// Makes room for a new member if the view is full: a live member replaces one that died or left. Returns false if
    /// there is no room.
    fn make_room_for(&mut self, newcomer: &MemberUpdate) -> bool {
        if self.view.len() < self.settings.max_members {
            return true;
        }
        if !newcomer.state.is_live() {
            return false;
        }
        let removable = self.expiries.iter().find(|expiry| {
            let member = self.view.get(&expiry.name);
            !expiry.state.is_live() && member.is_some_and(|member| expiry.applies_to(member))
        });
        let Some(name) = removable.map(|expiry| expiry.name.clone()) else {
            return false;
        };
        self.remove(&name);
        true
    }

    fn remove(&mut self, name: &str) {
        self.view.remove(name);
        self.lost_members.retain(|lost| lost != name);
        self.update_queue.remove(name);
        self.changes
            .push(MembershipChange::Forgotten(name.to_string()));
    }

    /// Refutes an update on the local member, or on another node with its name, by raising the incarnation.
    pub(super) fn refute(&mut self, update: &MemberUpdate) {
        let other_address = update.address != self.local.address;
        let alive = update.state == MemberState::Alive;
        let outdated = update.incarnation < self.local.incarnation;
        if self.local.state != MemberState::Alive || outdated || (alive && !other_address) {
            return;
        }
        if other_address && alive {
            // Either an earlier incarnation of this member, or a second node with the same name. The reactions are
            // limited, so that two such nodes do not outbid each other without end.
            let is_recent = |period| self.periods < period + VIEW_REQUEST_INTERVAL;
            if self.last_name_conflict.is_some_and(is_recent) {
                return;
            }
            self.last_name_conflict = Some(self.periods);
            self.changes
                .push(MembershipChange::NameConflict(update.address));
        }
        self.view_digest ^= self.local.digest_contribution();
        self.local.incarnation = update.incarnation.saturating_add(1);
        self.view_digest ^= self.local.digest_contribution();
        // Announced at once, so that a suspicion is refuted before it expires and this member is declared dead.
        self.announce(self.settings.indirect_probes);
    }
}
