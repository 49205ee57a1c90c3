//! The pool of connections to endpoints: opening, reuse, and the closing of idle connections.

use std::net::SocketAddr;
use std::ops::{Index, IndexMut};

use martenlatch_clock::Millis;
use martenlatch_http as http;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_policy::interface::EndpointId;
use slab::Slab;

use super::endpoint_connection::EndpointConnection;
use crate::event_source::{Connection, EventSource, Handle};

/// All connections to endpoints, each in a numbered slot under which the event loop reports it.
pub(super) struct ConnectionPool {
    /// The event loop in which the connections are registered.
    pub handle: Handle,
    /// The buffers of the connections.
    pub buffers: BufferPool,
    /// Most connections, idle ones included, before a new one replaces the one that has been idle the longest.
    pub max_connections: usize,
    /// The connections by their slots.
    pub slots: Slab<EndpointConnection>,
    /// The slots of idle connections, the most recently used last.
    pub idle: Vec<usize>,
}

impl ConnectionPool {
    /// An empty pool.
    pub fn new(handle: &Handle, buffers: &BufferPool, max_connections: usize) -> ConnectionPool {
        ConnectionPool {
            handle: handle.clone(),
            buffers: buffers.clone(),
            max_connections,
            slots: Slab::new(),
            idle: Vec::new(),
        }
    }

    /// Whether a slot holds a connection.
    pub fn contains(&self, slot: usize) -> bool {
        self.slots.contains(slot)
    }

    /// The connection in a slot, if there is one.
    pub fn get(&self, slot: usize) -> Option<&EndpointConnection> {
        self.slots.get(slot)
    }

    /// All connections in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointConnection> {
        self.slots.iter().map(|(_, connection)| connection)
    }

    /// The slot of the first connection for which a condition holds.
    pub fn slot_where(&self, condition: impl Fn(&EndpointConnection) -> bool) -> Option<usize> {
        self.slots
            .iter()
            .find(|(_, connection)| condition(connection))
            .map(|(slot, _)| slot)
    }

    /// The slots of the connections for which a condition holds.
    pub fn slots_where(&self, condition: impl Fn(&EndpointConnection) -> bool) -> Vec<usize> {
        self.slots
            .iter()
            .filter(|(_, connection)| condition(connection))
            .map(|(slot, _)| slot)
            .collect()
    }

    /// Takes the most recently used idle connection to the endpoint that still works, if it was used since an
    /// instant. One that the endpoint has closed is found here, before a request is lost on it.
    pub fn take_idle(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        used_since: Millis,
    ) -> Option<usize> {
        while let Some(place) = self
            .idle
            .iter()
            .rposition(|slot| self.slots[*slot].endpoint == endpoint)
        {
            if self.slots[self.idle[place]].idle_since < used_since {
                return None;
            }
            let slot = self.idle.remove(place);
            let candidate = &mut self.slots[slot];
            candidate.connection.receive();
            if candidate.address == address
                && !candidate.is_closed()
                && candidate.connection.bytes().is_empty()
            {
                return Some(slot);
            }
            self.slots.remove(slot);
        }
        None
    }

    /// Opens a connection. Where the limit on connections is reached, or the process has no descriptor left, the
    /// connection that has been idle the longest makes room for it.
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
            self.close_longest_idle();
        }
        let connection = match self.connect(address) {
            Err(error) if http::is_local_shortage(&error) && self.close_longest_idle() => {
                self.connect(address)
            }
            connected => connected,
        }?;
        let connection = EndpointConnection::new(connection, endpoint, kind, address, now);
        Ok(self.slots.insert(connection))
    }

    fn connect(&self, address: SocketAddr) -> std::io::Result<Connection> {
        Connection::connect(address, &self.handle, &self.buffers, self.next_key())
    }

    /// The key under which the event loop will report the next connection of this pool.
    pub fn next_key(&self) -> EventSource {
        EventSource::Endpoint(self.slots.vacant_key())
    }

    /// Puts a connection that has carried its exchange among the idle ones.
    pub fn mark_idle(&mut self, slot: usize, now: Millis) {
        self.slots[slot].idle_since = now;
        self.idle.push(slot);
    }

    /// Takes a connection out of the pool; it is closed when it is dropped.
    pub fn remove(&mut self, slot: usize) -> Option<EndpointConnection> {
        let removed = self.slots.try_remove(slot)?;
        self.idle.retain(|idle| *idle != slot);
        Some(removed)
    }

    /// Closes the connection that has been idle the longest; false if none is idle.
    fn close_longest_idle(&mut self) -> bool {
        if self.idle.is_empty() {
            return false;
        }
        let oldest = self.idle.remove(0);
        self.slots.remove(oldest);
        true
    }

    /// Closes idle connections, the longest idle first, until there are at most `max_connections`. Returns how many
    /// connections are left.
    pub fn close_idle_above(&mut self, max_connections: usize) -> usize {
        while self.slots.len() > max_connections && self.close_longest_idle() {}
        self.slots.len()
    }

    /// Closes the idle connections for which a condition holds.
    pub fn close_idle_where(&mut self, condition: impl Fn(&EndpointConnection) -> bool) {
        let slots = &mut self.slots;
        self.idle.retain(|slot| {
            let keep = !condition(&slots[*slot]);
            if !keep {
                slots.remove(*slot);
            }
            keep
        });
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
