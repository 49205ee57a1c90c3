//! Faults of a run on sockets: outages, full disks, shutdowns, kills and starts of senders, and replaced endpoints.

use martenlatch_clock::Millis;
use nix::sys::signal::Signal;

use super::event::Event;
use super::lab_socket::LabSocket;
use super::partners::CloseMode;
use super::testbed::{EndpointSocket, Testbed};
use crate::event_log::{CallFailure, EventKind};
use crate::experiment::FailureKind;
use crate::model::environment::{ListedState, REPLACEMENT_OVERLAP, Replacement};

/// Time from SIGTERM to SIGKILL, for a sender that has not ended by itself.
const KILL_AFTER: Millis = 3_700.0;

impl Testbed<'_> {
    /// Applies the failures that are active now to disks, outages and listeners.
    pub fn apply_faults(&mut self) {
        let now = self.now();
        self.apply_full_disks(now);
        for change in self.environment.update_outages(now) {
            self.record(EventKind::Outage {
                partner: change.partner,
                in_outage: change.in_outage,
            });
        }
        // Accepts connections that were left waiting while a partner was unreachable.
        self.recheck_endpoint_listeners();
    }

    /// Makes the senders' disks full, or writable again.
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

    /// Starts a failure: acts on its sender, or applies the faults that are active now.
    pub fn start_failure(&mut self, failure: usize) {
        let failure = &self.experiment.failures[failure];
        let sender = failure.sender;
        let up = self
            .senders
            .get(sender as usize)
            .is_some_and(|slot| slot.up);
        match failure.kind {
            FailureKind::Sigkill if up => self.kill_sender(sender, failure.size),
            FailureKind::Sigterm if up => self.terminate_sender(sender, failure.size),
            FailureKind::Join => self.join_sender(sender),
            FailureKind::Sighup => self.signal(sender, Signal::SIGHUP),
            _ => self.apply_faults(),
        }
    }

    fn kill_sender(&mut self, sender: u32, restart_after: Millis) {
        self.expect_end(sender, restart_after);
        self.senders[sender as usize].process.kill();
        self.sender_ended(sender);
    }

    fn terminate_sender(&mut self, sender: u32, restart_after: Millis) {
        let now = self.now();
        self.expect_end(sender, restart_after);
        let incarnation = self.senders[sender as usize].incarnation;
        self.signal(sender, Signal::SIGTERM);
        // Clients still choose this sender until its process has ended, because load balancers notice a shutdown late.
        let kill = Event::KillSender {
            sender,
            incarnation,
        };
        self.events.push(now + KILL_AFTER, kill);
    }

    /// Records that a sender is about to be killed or shut down, so that its end does not count as a crash.
    fn expect_end(&mut self, sender: u32, restart_after: Millis) {
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

    /// Replaces an endpoint of the next partner that a failure affects, and schedules the next replacement until the
    /// failure ends.
    pub fn replace_endpoint(&mut self, failure: usize, replacement_index: usize) {
        let now = self.now();
        let replacing = &self.experiment.failures[failure];
        if now >= replacing.end {
            return;
        }
        if let Some(partner) = self
            .environment
            .next_partner_to_replace(failure, replacement_index)
        {
            let Replacement { old, new } = self.environment.replace_endpoint(partner);
            let reused = replacing.reuse_address && self.reuse_address(new);
            if !reused && let Err(error) = self.open_endpoint(new) {
                return self.fail(error);
            }
            self.schedule_notifications(new, ListedState::Active);
            self.schedule_notifications(old, ListedState::Draining);
            self.schedule_notifications(old, ListedState::Removed);
            let retire = Event::RetireEndpoint { endpoint: old };
            self.events.push(now + REPLACEMENT_OVERLAP, retire);
        }
        self.events.push(
            now + replacing.repeat_interval,
            Event::ReplaceEndpoint {
                failure,
                replacement_index: replacement_index + 1,
            },
        );
    }

    /// Gives a new endpoint the address of a retired one; false if there is none.
    fn reuse_address(&mut self, new: u32) -> bool {
        let Some(key) = self.retired_listeners.pop() else {
            return false;
        };
        let Some(LabSocket::EndpointListener { endpoint, .. }) = self.sockets.get_mut(key) else {
            return false;
        };
        let old = std::mem::replace(endpoint, new);
        self.endpoints.push(EndpointSocket {
            address: self.endpoints[old as usize].address,
            connections: 0,
        });
        true
    }

    /// Removes an endpoint's machine: resets its connections and frees its address for another endpoint.
    pub fn retire_endpoint(&mut self, endpoint: u32) {
        self.environment.retire_endpoint(endpoint);
        for (key, call) in self.connections_of(endpoint) {
            if let Some(call) = call {
                self.calls.remove(&call);
                self.record(EventKind::CallFailed {
                    call,
                    cause: CallFailure::Reset,
                });
            }
            self.drop_endpoint_connection(key, CloseMode::Reset);
        }
        let listener = self.sockets.iter().find_map(|(key, socket)| match socket {
            LabSocket::EndpointListener { endpoint: own, .. } if *own == endpoint => Some(key),
            _ => None,
        });
        self.retired_listeners.extend(listener);
    }

    /// The keys of all connections to an endpoint, each with the call in flight on it.
    fn connections_of(&self, endpoint: u32) -> Vec<(usize, Option<u64>)> {
        self.sockets
            .iter()
            .filter_map(|(key, socket)| match socket {
                LabSocket::Endpoint(connection) if connection.endpoint == endpoint => {
                    Some((key, connection.call))
                }
                _ => None,
            })
            .collect()
    }
}
