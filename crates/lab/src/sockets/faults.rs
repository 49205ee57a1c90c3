//! Faults of a run on sockets: outages, full disks, ends of senders, and endpoints that are replaced.

use martenlatch_clock::Millis;
use nix::sys::signal::Signal;

use super::event::Event;
use super::partners::Closing;
use super::peer::Peer;
use super::testbed::{EndpointSocket, Testbed};
use crate::event_log::{CallFailure, EventKind};
use crate::experiment::What as FailureKind;
use crate::model::environment::{ListedState, OutageChange, REPLACEMENT_OVERLAP, Replacement};

/// SIGKILL comes so long after SIGTERM, for a sender that has not ended by itself.
const KILL_AFTER: Millis = 3_700.0;

impl Testbed<'_> {
    /// Follows a failure that has begun or ended.
    pub fn apply_faults(&mut self) {
        let now = self.now();
        self.apply_full_disks(now);
        for OutageChange { partner, out } in self.environment.update_outages(now) {
            self.record(EventKind::Outage {
                partner,
                in_outage: out,
            });
        }
        // Endpoints that could not be reached get the connections that waited for them.
        self.recheck_endpoint_listeners();
    }

    /// Fills the senders' disks, or frees them.
    fn apply_full_disks(&mut self, now: Millis) {
        let full = self.environment.faults.disk_full(now);
        if self.disks_full == full {
            return;
        }
        self.disks_full = full;
        for sender in &self.senders {
            if let Err(error) = sender.process.set_disk_full(full) {
                self.failure = Some(error);
            }
        }
    }

    /// A failure that concerns a sender, or that has no events of its own, begins.
    pub fn start_failure(&mut self, failure: usize) {
        let failure = &self.experiment.failures[failure];
        let sender = failure.sender;
        let up = self
            .senders
            .get(sender as usize)
            .is_some_and(|slot| slot.up);
        match failure.what {
            FailureKind::Sigkill if up => self.kill_sender(sender, failure.size),
            FailureKind::Sigterm if up => self.terminate_sender(sender, failure.size),
            FailureKind::Join => self.join_sender(sender),
            FailureKind::Sighup => self.signal(sender, Signal::SIGHUP),
            _ => self.apply_faults(),
        }
    }

    fn kill_sender(&mut self, sender: u32, restart_after: Millis) {
        self.announce_end(sender, restart_after);
        self.senders[sender as usize].process.kill();
        self.sender_ended(sender);
    }

    fn terminate_sender(&mut self, sender: u32, restart_after: Millis) {
        let now = self.now();
        self.announce_end(sender, restart_after);
        let incarnation = self.senders[sender as usize].incarnation;
        self.signal(sender, Signal::SIGTERM);
        // Clients keep coming for a moment, as load balancers notice late.
        let kill = Event::KillSender {
            sender,
            incarnation,
        };
        self.events.push(now + KILL_AFTER, kill);
    }

    /// Notes that a sender is made to end, so that its end is no crash.
    fn announce_end(&mut self, sender: u32, restart_after: Millis) {
        self.senders[sender as usize].restart_after = Some(restart_after);
        self.record(EventKind::ShutdownRequested { sender });
    }

    fn join_sender(&mut self, sender: u32) {
        self.record(EventKind::SenderJoined { sender });
        if let Err(error) = self.launch(sender) {
            self.fail(error);
        }
    }

    fn signal(&mut self, sender: u32, signal: Signal) {
        self.senders[sender as usize].process.signal(signal);
    }

    /// Replaces an endpoint of the next partner that a failure concerns, until the failure ends.
    pub fn replace_endpoint(&mut self, failure: usize, turn: usize) {
        let now = self.now();
        let told = &self.experiment.failures[failure];
        if now >= told.end {
            return;
        }
        if let Some(partner) = self.environment.next_replaced(failure, turn) {
            let Replacement { old, new } = self.environment.replace_endpoint(partner);
            let reused = told.reuse && self.reuse_address(new);
            if !reused && let Err(error) = self.open_endpoint(new) {
                return self.fail(error);
            }
            self.announce_endpoint(new, ListedState::Active);
            self.announce_endpoint(old, ListedState::Draining);
            self.announce_endpoint(old, ListedState::Removed);
            let retire = Event::RetireEndpoint { endpoint: old };
            self.events.push(now + REPLACEMENT_OVERLAP, retire);
        }
        let turn = turn + 1;
        self.events
            .push(now + told.every, Event::ReplaceEndpoint { failure, turn });
    }

    /// Puts a new endpoint at the address of one that has gone; false where there is none.
    fn reuse_address(&mut self, new: u32) -> bool {
        let Some(key) = self.vacant_listeners.pop() else {
            return false;
        };
        let Some(Peer::EndpointListener { endpoint, .. }) = self.peers.get_mut(key) else {
            return false;
        };
        let old = std::mem::replace(endpoint, new);
        self.endpoints.push(EndpointSocket {
            address: self.endpoints[old as usize].address,
            connections: 0,
        });
        true
    }

    /// An endpoint's machine is gone: its connections end, and its address is free for another one.
    pub fn retire_endpoint(&mut self, endpoint: u32) {
        self.environment.retire(endpoint);
        for (key, call) in self.connections_of(endpoint) {
            if let Some(call) = call {
                self.calls.remove(&call);
                self.record(EventKind::CallFailed {
                    call,
                    cause: CallFailure::Reset,
                });
            }
            self.drop_endpoint_connection(key, Closing::Reset);
        }
        let listener = self.peers.iter().find_map(|(key, peer)| match peer {
            Peer::EndpointListener { endpoint: own, .. } if *own == endpoint => Some(key),
            _ => None,
        });
        self.vacant_listeners.extend(listener);
    }

    /// The keys of all connections to an endpoint, with the calls that are on them.
    fn connections_of(&self, endpoint: u32) -> Vec<(usize, Option<u64>)> {
        self.peers
            .iter()
            .filter_map(|(key, peer)| match peer {
                Peer::Endpoint(connection) if connection.endpoint == endpoint => {
                    Some((key, connection.call))
                }
                _ => None,
            })
            .collect()
    }
}
