//! Handing over the connections to a successor process.

use std::collections::HashMap;
use std::os::fd::{AsFd, BorrowedFd};

use martenlatch_clock::Millis;
use martenlatch_http as http;
use martenlatch_policy::interface::MessageId;
use serde::{Deserialize, Serialize};

use super::Egress;
use super::connection_faults::{ResetDetector, StaleConnectionDetector};
use super::connection_scarcity::ConnectionScarcityDetector;
use super::endpoint_connection::EndpointConnection;
use super::response_history::{ResponseHistory, UnreadExchange};
use super::response_times::ResponseTimes;
use crate::event_source::{Connection, EventSource, InheritedDescriptors};

/// How long an inherited connection rests before it carries another request: a response that the predecessor had not
/// settled may be followed by another one.
const INHERITED_REST: Millis = 1_000.0;

/// The state of all connections to endpoints, without their descriptors. It is passed between processes of different
/// versions, so the order of the fields is fixed.
#[derive(Serialize, Deserialize)]
pub struct EgressSnapshot {
    /// The connections, each with a snapshot of its socket state.
    pub(super) connections: Vec<EndpointConnection<http::ConnectionSnapshot>>,
    /// The positions of the idle connections in `connections`, the most recently used last.
    pub(super) idle: Vec<usize>,
    /// The state of the detection of stale connections.
    pub(super) stale_connections: StaleConnectionDetector,
    /// The state of the detection of connection resets.
    pub(super) resets: ResetDetector,
    /// The state of the detection of kinds of endpoints without spare connections.
    pub(super) scarcity: ConnectionScarcityDetector,
}

/// The exchange on an idle connection whose response is unsettled: a successor process reads the response again.
pub(super) fn unread_exchange(connection: &EndpointConnection) -> Option<&UnreadExchange> {
    let is_idle = connection.attempt.is_none() && connection.remaining_response.is_none();
    connection
        .history
        .unread_exchange()
        .filter(|_| is_idle && connection.socket.bytes().is_empty())
}

fn snapshot_of_connection(
    connection: &EndpointConnection,
) -> EndpointConnection<http::ConnectionSnapshot> {
    let mut socket = connection.socket.snapshot();
    let Some(exchange) = unread_exchange(connection) else {
        return connection.with_socket(socket);
    };
    socket.set_input(&exchange.response);
    EndpointConnection {
        attempt: Some(exchange.attempt),
        ..connection.with_socket(socket)
    }
}

/// Whether the request in flight on a connection is its first, so that no earlier response can be repeated on it.
fn is_before_first_response(connection: &EndpointConnection) -> bool {
    connection.attempt.is_some() && connection.idle_before.is_none()
}

impl Egress {
    /// The messages whose attempts the snapshot shows as in flight although their responses have been read.
    pub fn unread_messages(&self) -> impl Iterator<Item = MessageId> {
        self.connections
            .iter()
            .filter_map(unread_exchange)
            .map(|exchange| exchange.attempt.id)
    }

    /// The state for a successor process, and the descriptors of the connections in the order of the snapshot.
    pub fn snapshot(&self) -> (EgressSnapshot, Vec<BorrowedFd<'_>>) {
        let positions: HashMap<usize, usize> = self
            .connections
            .slots
            .iter()
            .map(|(slot, _)| slot)
            .zip(0..)
            .collect();
        let connections = self
            .connections
            .iter()
            .map(snapshot_of_connection)
            .collect();
        let descriptors = self
            .connections
            .iter()
            .map(|connection| connection.socket.as_fd())
            .collect();
        let snapshot = EgressSnapshot {
            connections,
            idle: self
                .connections
                .idle
                .iter()
                .filter(|slot| unread_exchange(&self.connections[**slot]).is_none())
                .map(|slot| positions[slot])
                .collect(),
            stale_connections: self.stale_connections.clone(),
            resets: self.resets.clone(),
            scarcity: self.scarcity.clone(),
        };
        (snapshot, descriptors)
    }

    /// How long the endpoints take to respond.
    pub fn response_times(&self) -> &ResponseTimes {
        &self.response_times
    }

    /// Continues with what a predecessor process knows of the endpoints' response times.
    pub fn restore_response_times(&mut self, response_times: ResponseTimes) {
        self.response_times = response_times;
    }

    /// Restores the state and connections of a predecessor process. Returns the event sources of the connections, each
    /// of which has to be handled once as if it were ready.
    ///
    /// # Errors
    /// The system's error if a connection cannot be restored.
    pub fn restore_state(
        &mut self,
        snapshot: EgressSnapshot,
        descriptors: &mut InheritedDescriptors,
        now: Millis,
    ) -> std::io::Result<Vec<EventSource>> {
        let mut sources = Vec::new();
        let rests_until = now + INHERITED_REST;
        for entry in snapshot.connections {
            let source = self.connections.next_event_source();
            let socket = Connection::restore(
                descriptors.next_stream()?,
                &entry.socket,
                &self.connections.handle,
                &self.buffers,
                source,
            )?;
            let mut restored = entry.with_socket(socket);
            restored.history = if is_before_first_response(&restored) {
                ResponseHistory::of_new_connection()
            } else {
                ResponseHistory::of_inherited_connection(rests_until)
            };
            self.connections.slots.insert(restored);
            sources.push(source);
        }
        // The pool was empty, so the slot of each connection equals its position in the snapshot.
        self.connections.idle = snapshot
            .idle
            .into_iter()
            .filter(|slot| self.connections.contains(*slot))
            .collect();
        self.stale_connections = snapshot.stale_connections;
        self.resets = snapshot.resets;
        self.scarcity = snapshot.scarcity;
        Ok(sources)
    }
}
