//! The laboratory's sockets: listeners, and the three kinds of connection with senders.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use martenlatch_clock::Millis;
use martenlatch_http::buffer_pool::BUFFER_SIZE;

use super::Connection;
use crate::error::LabError;

/// Text larger than a connection's buffer is queued in chunks of this number of bytes.
const WRITE_CHUNK: usize = 32 * 1024;

/// A socket of the laboratory.
pub(super) enum LabSocket {
    /// Accepts the senders' connections to an endpoint.
    EndpointListener {
        endpoint: u32,
        listener: Rc<TcpListener>,
    },
    /// Accepts a sender's connections to its discovery agent, which also takes its status reports.
    AgentListener {
        sender: u32,
        listener: Rc<TcpListener>,
    },
    /// A sender's connection to an endpoint.
    Endpoint(EndpointConnection),
    /// A sender's connection to its agent.
    Agent(AgentConnection),
    /// A client's connection to a sender.
    Client(ClientConnection),
}

/// A sender's connection to an endpoint.
pub(super) struct EndpointConnection {
    /// The endpoint's number.
    pub endpoint: u32,
    pub connection: Connection,
    /// The call in flight on the connection.
    pub call: Option<u64>,
    /// Number of calls received on the connection.
    pub calls: u32,
    /// When the connection was opened, or last became idle.
    pub idle_since: Millis,
    /// The endpoint has closed its side without notice: the next call on the connection is reset.
    pub stale: bool,
}

impl EndpointConnection {
    /// A connection that has just been accepted.
    pub fn new(endpoint: u32, connection: Connection, now: Millis) -> EndpointConnection {
        EndpointConnection {
            endpoint,
            connection,
            call: None,
            calls: 0,
            idle_since: now,
            stale: false,
        }
    }

    /// Writes queued data, and reads received data up to the size of the buffer.
    pub fn transfer(&mut self) {
        self.connection.flush();
        while self.connection.receive() && self.connection.bytes().len() < BUFFER_SIZE {}
    }

    /// Drops what the sender has sent, and marks the connection stale.
    pub fn discard_input(&mut self) {
        let count = self.connection.bytes().len();
        self.connection.consume(count);
        self.stale = true;
    }

    /// Marks the connection stale if it has been idle for `idle_limit` since its last call.
    pub fn expire(&mut self, now: Millis, idle_limit: Millis) {
        let idle = self.call.is_none() && self.calls > 0;
        self.stale |= idle && now - self.idle_since >= idle_limit;
    }
}

/// A sender's connection to its agent.
pub(super) struct AgentConnection {
    /// The sender's number.
    pub sender: u32,
    pub connection: Connection,
    /// Whether the connection is a watch, which carries the endpoint list and its changes.
    pub is_watch: bool,
    /// Text that is not yet queued on the connection.
    pub unwritten: VecDeque<u8>,
}

impl AgentConnection {
    /// A connection that has just been accepted.
    pub fn new(sender: u32, connection: Connection) -> AgentConnection {
        AgentConnection {
            sender,
            connection,
            is_watch: false,
            unwritten: VecDeque::new(),
        }
    }

    /// Writes text after what is still unwritten.
    pub fn write(&mut self, text: &str) {
        self.unwritten.extend(text.as_bytes());
        self.flush();
    }

    /// Queues unwritten text on the connection while there is room. A complete endpoint list may be larger than the
    /// connection's buffer.
    pub fn flush(&mut self) {
        while self.connection.flush() && !self.unwritten.is_empty() {
            let count = self.unwritten.len().min(WRITE_CHUNK);
            let part: Vec<u8> = self.unwritten.drain(..count).collect();
            self.connection.queue(&part);
        }
    }
}

/// A client's connection to a sender.
pub(super) struct ClientConnection {
    /// The sender's number.
    pub sender: u32,
    pub connection: Connection,
    /// The message whose answer the client is waiting for.
    pub message: Option<u64>,
}

/// Whether the other side has closed a connection, or the connection has failed.
pub(super) fn is_closed(connection: &Connection) -> bool {
    connection.eof || connection.broken
}

/// A listener with a port of its own.
pub(super) struct BoundListener {
    pub listener: Rc<TcpListener>,
    pub address: SocketAddr,
}

impl BoundListener {
    /// Binds a free port on loopback.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn on_loopback() -> Result<BoundListener, LabError> {
        let bind = || {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            let address = listener.local_addr()?;
            Ok(BoundListener {
                listener: Rc::new(listener),
                address,
            })
        };
        bind().map_err(LabError::EndpointPort)
    }
}
