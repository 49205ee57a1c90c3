//! The endpoints of a soak: one listener for each pair of sender and endpoint, with the faults of the network between
//! them.

use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

use martenlatch_clock::Millis;

use super::endpoint_connection::EndpointConnection;
use super::endpoint_helpers::{listen, own_loopback_address};
use super::history::Event;
use super::schedule::FaultKind;
use super::world::{ENDPOINTS_PER_DESTINATION, POLL_INTERVAL, World};
use crate::error::LabError;

/// Usual limit on connections that wait to be accepted.
const BACKLOG: i32 = 32;
/// The smallest backlog: once it is full, further connections are established late.
const SHORT_BACKLOG: i32 = 0;
/// One endpoint, as seen by one sender.
#[derive(Clone)]
pub(super) struct EndpointLink {
    pub world: Arc<World>,
    sender: usize,
    endpoint: usize,
}

/// Opens the endpoints of one sender and returns their addresses.
///
/// # Errors
/// If no port can be bound.
pub fn open(world: &Arc<World>, sender: usize) -> Result<Vec<SocketAddr>, LabError> {
    (0..world.size.endpoints)
        .map(|endpoint| {
            let listener = listen(SocketAddr::from((own_loopback_address(), 0)), BACKLOG)
                .map_err(LabError::EndpointPort)?;
            let address = listener.local_addr().map_err(LabError::EndpointPort)?;
            let link = EndpointLink {
                world: world.clone(),
                sender,
                endpoint,
            };
            thread::spawn(move || link.accept_all(listener, address));
            Ok(address)
        })
        .collect()
}

impl EndpointLink {
    /// The active fault.
    pub fn fault(&self) -> Option<FaultKind> {
        let now = self.world.now();
        self.world.schedule.endpoint_fault(self.endpoint, now)
    }

    /// Whether a fault is active, and the soak still runs.
    pub fn has_fault(&self, fault: FaultKind) -> bool {
        self.fault() == Some(fault) && !self.world.is_stopped()
    }

    fn accept_all(&self, listener: TcpListener, address: SocketAddr) {
        let mut listener = Some(listener);
        let mut connections = 0;
        while !self.world.is_stopped() {
            match self.fault() {
                Some(FaultKind::EndpointDown) => {
                    drop(listener.take());
                    thread::sleep(POLL_INTERVAL);
                    continue;
                }
                Some(FaultKind::LateConnections) => {
                    self.delay_connections(listener.take(), address)
                }
                _ => {}
            }
            let Some(open) = listener.take().or_else(|| listen(address, BACKLOG).ok()) else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            while let Ok((stream, _)) = open.accept() {
                connections += 1;
                self.spawn(stream, connections);
            }
            listener = Some(open);
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Delays new connections by filling the backlog: the kernel does not answer them, and their retries come late.
    fn delay_connections(&self, listener: Option<TcpListener>, address: SocketAddr) {
        drop(listener);
        let Ok(short_listener) = listen(address, SHORT_BACKLOG) else {
            return;
        };
        let fillers: Vec<TcpStream> = (0..2)
            .filter_map(|_| TcpStream::connect_timeout(&address, POLL_INTERVAL).ok())
            .collect();
        let filler_addresses: HashSet<SocketAddr> = fillers
            .iter()
            .filter_map(|filler| filler.local_addr().ok())
            .collect();
        while self.has_fault(FaultKind::LateConnections) {
            thread::sleep(POLL_INTERVAL);
        }
        while let Ok((stream, peer)) = short_listener.accept() {
            if !filler_addresses.contains(&peer) {
                self.spawn(stream, 0);
            }
        }
    }

    fn spawn(&self, stream: TcpStream, number: u64) {
        let link = self.clone();
        thread::spawn(move || {
            let seed = link.world.seed ^ (number << 20) ^ ((link.endpoint as u64) << 8);
            EndpointConnection::new(link, stream, seed).serve();
        });
    }

    /// The number of processes that were started to replace one of the sender's.
    pub fn successors(&self) -> usize {
        self.world.successors[self.sender].load(Ordering::SeqCst)
    }

    /// Whether the endpoint repeats answers and has no other fault.
    pub fn repeats_answers(&self) -> bool {
        let now = self.world.now();
        self.fault().is_none()
            && self
                .world
                .schedule
                .is_active(FaultKind::RepeatsAnswers, self.endpoint, now)
    }

    /// The endpoint's number.
    pub fn number(&self) -> usize {
        self.endpoint
    }

    /// The endpoint's destination.
    pub fn destination(&self) -> usize {
        self.endpoint / ENDPOINTS_PER_DESTINATION
    }

    /// Records an event that happens now.
    pub fn record(&self, id: &str, event: Event) {
        self.record_at(self.world.now(), id, event);
    }

    /// Records an event with a given time.
    pub fn record_at(&self, at: Millis, id: &str, event: Event) {
        self.world.history.record_at(at, self.sender, id, event);
    }
}
