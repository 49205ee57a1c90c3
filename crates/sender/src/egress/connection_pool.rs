//! The pool of connections to endpoints: opening, reusing and closing them.

use std::net::SocketAddr;
use std::ops::{Index, IndexMut};

use martenlatch_clock::Millis;
use martenlatch_http as http;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_policy::interface::EndpointId;
use slab::Slab;

use super::endpoint_connection::EndpointConnection;
use super::surplus_bytes::{SurplusBytes, unread_surplus};
use super::tracked_response::Settlement;
use crate::event_source::{Connection, EventLoopHandle, EventSource};

/// All connections to endpoints, each in a slot whose number identifies it in the event loop.
pub(super) struct ConnectionPool {
    /// The event loop in which the connections are registered.
    pub handle: EventLoopHandle,
    /// The buffers of the connections.
    pub buffers: BufferPool,
    /// The limit on connections, idle ones included. At the limit, a new connection replaces the one that has been idle
    /// the longest; without an idle one, the limit is exceeded.
    pub max_connections: usize,
    /// The connections by slot.
    pub slots: Slab<EndpointConnection>,
    /// The slots of idle connections, the most recently used last.
    pub idle: Vec<usize>,
    /// Bytes found on idle connections that were closed for them.
    pub surplus: Vec<SurplusBytes>,
    /// What became of uncertain responses on connections that were closed.
    pub settlements: Vec<Settlement>,
}

/// The idle connection that a request needs.
pub(super) struct WantedConnection {
    /// The endpoint at its other end.
    pub endpoint: EndpointId,
    /// The endpoint's current address.
    pub address: SocketAddr,
    /// The earliest instant at which it may have become idle.
    pub earliest_idle_since: Millis,
    /// The latest instant at which it may have become idle: a copy of its last response has arrived by now.
    pub latest_idle_since: Millis,
    /// Whether it must not have carried a rejection, of which a copy could follow.
    pub without_rejection: bool,
    /// Whether it may be one that has not rested since an uncertain response.
    pub may_be_unrested: bool,
    /// The current instant.
    pub now: Millis,
}

impl WantedConnection {
    fn fits(&self, connection: &EndpointConnection) -> bool {
        let history = &connection.history;
        let is_usable =
            history.is_rested(self.now) || (self.may_be_unrested && history.may_carry_repeatable());
        connection.endpoint == self.endpoint
            && is_usable
            && connection.idle_since <= self.latest_idle_since
            && !connection.close_when_rested
            && (!self.without_rejection || history.has_no_rejection())
    }
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(
        handle: &EventLoopHandle,
        buffers: &BufferPool,
        max_connections: usize,
    ) -> ConnectionPool {
        ConnectionPool {
            handle: handle.clone(),
            buffers: buffers.clone(),
            max_connections,
            slots: Slab::new(),
            idle: Vec::new(),
            surplus: Vec::new(),
            settlements: Vec::new(),
        }
    }

    /// Whether a slot holds a connection.
    pub fn contains(&self, slot: usize) -> bool {
        self.slots.contains(slot)
    }

    /// The connection in a slot; `None` if the slot is empty.
    pub fn get(&self, slot: usize) -> Option<&EndpointConnection> {
        self.slots.get(slot)
    }

    /// The connection in a slot; `None` if the slot is empty.
    pub fn get_mut(&mut self, slot: usize) -> Option<&mut EndpointConnection> {
        self.slots.get_mut(slot)
    }

    /// All connections in slot order.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointConnection> {
        self.slots.iter().map(|(_, connection)| connection)
    }

    /// The slot of the first connection that matches `predicate`.
    pub fn find_slot(&self, predicate: impl Fn(&EndpointConnection) -> bool) -> Option<usize> {
        self.slots
            .iter()
            .find(|(_, connection)| predicate(connection))
            .map(|(slot, _)| slot)
    }

    /// The slots of all connections that match `predicate`.
    pub fn find_slots(&self, predicate: impl Fn(&EndpointConnection) -> bool) -> Vec<usize> {
        self.slots
            .iter()
            .filter(|(_, connection)| predicate(connection))
            .map(|(slot, _)| slot)
            .collect()
    }

    /// Takes the most recently used idle connection that fits, and returns its slot. Returns `None` if there is none,
    /// or if it became idle before `earliest_idle_since`. A connection that the endpoint has closed is detected
    /// and removed here, before a request is lost on it, and the next one is tried.
    pub fn take_idle(&mut self, wanted: &WantedConnection) -> Option<usize> {
        while let Some(position) = self
            .idle
            .iter()
            .rposition(|slot| wanted.fits(&self.slots[*slot]))
        {
            let slot = self.idle[position];
            if self.slots[slot].idle_since < wanted.earliest_idle_since {
                return None;
            }
            let candidate = &mut self.slots[slot];
            candidate.socket.receive();
            if candidate.address == wanted.address
                && !candidate.is_closed()
                && candidate.socket.bytes().is_empty()
            {
                self.idle.remove(position);
                return Some(slot);
            }
            self.remove(slot, wanted.now);
        }
        None
    }

    /// Opens a connection. If the limit on connections is reached, or the process lacks descriptors or ports, the
    /// connection that has been idle the longest is closed to make room.
    ///
    /// # Errors
    /// The system's error if no connection can be opened.
    pub fn open(
        &mut self,
        endpoint: EndpointId,
        kind: usize,
        address: SocketAddr,
        now: Millis,
    ) -> std::io::Result<usize> {
        if self.slots.len() >= self.max_connections {
            self.close_longest_idle(now);
        }
        let socket = match self.connect(address) {
            Err(error) if http::is_local_shortage(&error) && self.close_longest_idle(now) => {
                self.connect(address)
            }
            result => result,
        }?;
        let connection = EndpointConnection::new(socket, endpoint, kind, address, now);
        Ok(self.slots.insert(connection))
    }

    fn connect(&self, address: SocketAddr) -> std::io::Result<Connection> {
        Connection::connect(
            address,
            &self.handle,
            &self.buffers,
            self.next_event_source(),
        )
    }

    /// The event source that will identify the next connection of this pool in the event loop.
    pub fn next_event_source(&self) -> EventSource {
        EventSource::Endpoint(self.slots.vacant_key())
    }

    /// Marks a connection as idle after its exchange.
    pub fn mark_idle(&mut self, slot: usize, now: Millis) {
        self.slots[slot].idle_since = now;
        self.idle.push(slot);
    }

    /// Removes a connection from the pool. It is closed when the returned value is dropped.
    pub fn remove(&mut self, slot: usize, now: Millis) -> Option<EndpointConnection> {
        let mut removed = self.slots.try_remove(slot)?;
        self.idle.retain(|idle| *idle != slot);
        self.surplus.extend(SurplusBytes::on(&removed, now));
        let mut history = std::mem::take(&mut removed.history);
        let gone = history.gone_by(removed.socket.bytes());
        self.settlements
            .extend(history.end(unread_surplus(&removed), gone, now));
        Some(removed)
    }

    /// Closes the connection that has been idle the longest, preferably a rested one. Returns false if none is idle.
    fn close_longest_idle(&mut self, now: Millis) -> bool {
        let is_rested = |slot: &&usize| self.slots[**slot].history.rests_until().is_none();
        let longest_idle = self.idle.iter().find(is_rested).or(self.idle.first());
        let Some(slot) = longest_idle.copied() else {
            return false;
        };
        self.remove(slot, now);
        true
    }

    /// Closes idle connections, the longest idle first, until at most `max_connections` connections are left or none
    /// is idle. Returns the number of connections left.
    pub fn close_idle_above(&mut self, max_connections: usize, now: Millis) -> usize {
        while self.slots.len() > max_connections && self.close_longest_idle(now) {}
        self.slots.len()
    }

    /// Closes the idle connections that match `predicate`, those that rest once they have rested.
    pub fn close_idle_matching(
        &mut self,
        now: Millis,
        predicate: impl Fn(&EndpointConnection) -> bool,
    ) {
        for slot in self.idle.clone() {
            let connection = &mut self.slots[slot];
            if !predicate(connection) {
                continue;
            }
            if connection.history.rests_until().is_some() {
                connection.close_when_rested = true;
            } else {
                self.remove(slot, now);
            }
        }
    }
}

impl Index<usize> for ConnectionPool {
    type Output = EndpointConnection;

    fn index(&self, slot: usize) -> &EndpointConnection {
        &self.slots[slot]
    }
}

impl IndexMut<usize> for ConnectionPool {
    fn index_mut(&mut self, slot: usize) -> &mut EndpointConnection {
        &mut self.slots[slot]
    }
}
