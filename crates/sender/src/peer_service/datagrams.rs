//! Sends and receives the datagrams of the membership protocol, and logs the changes of the membership.

use std::io::ErrorKind;

use martenlatch_clock::Millis;
use martenlatch_peers::membership::MembershipChange;
use martenlatch_peers::wire::MAX_DATAGRAM_BYTES;
use tracing::{info, warn};

use super::PeerService;

/// Maximum number of datagrams that are read in one round, so that a flood does not stall the event loop.
const MAX_DATAGRAMS_PER_ROUND: usize = 64;

impl PeerService {
    /// Reads datagrams. Returns true if there may be more to read.
    pub(super) fn receive_datagrams(&mut self, now: Millis) -> bool {
        // One byte more than allowed, so that a datagram that is too long can be recognized.
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_ROUND {
            match self.sockets.udp.recv_from(&mut bytes) {
                Ok((length, _)) => self.handle_datagram(&bytes[..length], now),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                // The system reports that an earlier datagram of this sender reached a closed port. There may be more
                // datagrams to read.
                Err(_) => {}
            }
        }
        true
    }

    fn handle_datagram(&mut self, bytes: &[u8], now: Millis) {
        match self.secret.open_datagram(bytes) {
            Ok(datagram) => self.membership.handle_datagram(datagram, now),
            Err(error) => self.rejections.count(error),
        }
    }

    /// Sends the datagrams of the membership protocol, and logs the changes of the membership.
    pub(super) fn send_datagrams(&mut self) {
        for (to, datagram) in self.membership.take_outgoing() {
            // An error has the same effect as a lost datagram, which the protocol tolerates.
            let _ = self
                .sockets
                .udp
                .send_to(&self.secret.seal_datagram(&datagram), to);
        }
        for change in self.membership.take_changes() {
            self.log_change(&change);
        }
    }

    fn log_change(&self, change: &MembershipChange) {
        match change {
            MembershipChange::Joined(member) => {
                let incarnation = member.incarnation;
                info!(name = %member.name, address = %member.address, incarnation, "member joined");
            }
            MembershipChange::Suspected(name) => info!(name = %name, "member suspected"),
            MembershipChange::Refuted(name) => info!(name = %name, "member refuted the suspicion"),
            MembershipChange::Died(name) => warn!(name = %name, "member died"),
            MembershipChange::Left(name) => info!(name = %name, "member left"),
            MembershipChange::Forgotten(name) => info!(name = %name, "member forgotten"),
            MembershipChange::NameConflict(address) => {
                let name = &self.membership.local().name;
                warn!(name = %name, address = %address, "member name conflict");
            }
        }
    }
}
