//! Passing the connections to a successor process.

use std::collections::HashMap;
use std::os::fd::{AsFd, BorrowedFd};

use martenlatch_http as http;
use serde::{Deserialize, Serialize};

use super::Egress;
use super::connection_faults::{ResetDetector, StaleConnectionDetector};
use super::connection_scarcity::ConnectionScarcity;
use super::endpoint_connection::EndpointConnection;
use crate::event_source::{Connection, EventSource, InheritedDescriptors};

/// The state of all connections to endpoints, without their descriptors. Passed between processes of different
/// versions: the order of the fields is fixed.
#[derive(Serialize, Deserialize)]
pub struct ConnectionSnapshot {
    /// Each connection with the snapshot of its socket state.
    pub(super) connections: Vec<EndpointConnection<http::ConnectionSnapshot>>,
    /// The places of the idle ones among them, the most recently used last.
    pub(super) idle: Vec<usize>,
    /// What is known of stale connections.
    pub(super) stale_connections: StaleConnectionDetector,
    /// What is known of connection resets.
    pub(super) resets: ResetDetector,
    /// What is known of the spare connections of each kind of endpoint.
    pub(super) scarcity: ConnectionScarcity,
}

impl Egress {
    /// The state for a successor process, and the descriptors of the connections in the same order.
    pub fn snapshot(&self) -> (ConnectionSnapshot, Vec<BorrowedFd<'_>>) {
        let places: HashMap<usize, usize> = self
            .connections
            .slots
            .iter()
            .map(|(slot, _)| slot)
            .zip(0..)
            .collect();
        let connections = self
            .connections
            .iter()
            .map(|connection| connection.with_connection(connection.connection.snapshot()))
            .collect();
        let descriptors = self
            .connections
            .iter()
            .map(|connection| connection.connection.as_fd())
            .collect();
        let snapshot = ConnectionSnapshot {
            connections,
            idle: self
                .connections
                .idle
                .iter()
                .map(|slot| places[slot])
                .collect(),
            stale_connections: self.stale_connections.clone(),
            resets: self.resets.clone(),
            scarcity: self.scarcity.clone(),
        };
        (snapshot, descriptors)
    }

    /// Takes over what a predecessor process has passed on. Returns the keys of its connections, each of which has to
    /// be looked at once.
    ///
    /// # Errors
    /// The system's error if a connection cannot be taken over.
    pub fn restore_state(
        &mut self,
        snapshot: ConnectionSnapshot,
        descriptors: &mut InheritedDescriptors,
    ) -> std::io::Result<Vec<EventSource>> {
        let mut keys = Vec::new();
        for passed in snapshot.connections {
            let key = self.connections.next_key();
            let connection = Connection::restore(
                descriptors.next_stream()?,
                &passed.connection,
                &self.connections.handle,
                &self.pool,
                key,
            )?;
            let restored = passed.with_connection(connection);
            self.connections.slots.insert(restored);
            keys.push(key);
        }
        // The pool was empty, so that the slots of the connections are their places in the snapshot.
        self.connections.idle = snapshot
            .idle
            .into_iter()
            .filter(|slot| self.connections.contains(*slot))
            .collect();
        self.stale_connections = snapshot.stale_connections;
        self.resets = snapshot.resets;
        self.scarcity = snapshot.scarcity;
        Ok(keys)
    }
}
