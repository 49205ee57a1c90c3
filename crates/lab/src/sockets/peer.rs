//! The laboratory's sockets: listeners, and one connection for each way in which a sender is met.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use martenlatch_clock::Millis;
use martenlatch_http::buffer_pool::BUFFER_SIZE;

use super::Connection;
use crate::error::LabError;

/// What a connection is given at a time of text that is larger than its buffer.
const WRITE_CHUNK: usize = 32 * 1024;

/// A socket of the laboratory's.
pub(super) enum Peer {
    /// Where senders reach an endpoint.
    EndpointListener {
        endpoint: u32,
        listener: Rc<TcpListener>,
    },
    /// Where a sender reaches its discovery agent, which also takes its status reports.
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
    /// The call that is on it.
    pub call: Option<u64>,
    /// How many calls have come on it.
    pub calls: u32,
    /// When it was opened, or last became idle.
    pub idle_since: Millis,
    /// The endpoint has closed its side, which the sender cannot know: the next call on it is reset.
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

    /// Writes what waits, and reads what has come as far as the buffer holds it.
    pub fn transfer(&mut self) {
        self.connection.flush();
        while self.connection.receive() && self.connection.bytes().len() < BUFFER_SIZE {}
    }

    /// Loses what the sender has sent.
    pub fn discard_input(&mut self) {
        let count = self.connection.bytes().len();
        self.connection.consume(count);
        self.stale = true;
    }

    /// Becomes stale where it has been idle for too long.
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
    /// It carries the endpoint list and its changes.
    pub watches: bool,
    /// What its socket has not taken yet.
    pub unwritten: VecDeque<u8>,
}

impl AgentConnection {
    /// A connection that has just been accepted.
    pub fn new(sender: u32, connection: Connection) -> AgentConnection {
        AgentConnection {
            sender,
            connection,
            watches: false,
            unwritten: VecDeque::new(),
        }
    }

    /// Writes text behind what still waits.
    pub fn write(&mut self, text: &str) {
        self.unwritten.extend(text.as_bytes());
        self.flush();
    }

    /// Moves what waits into the connection as far as that takes it: a complete list may be more than a buffer holds.
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
    /// The message whose answer it waits for.
    pub message: Option<u64>,
}

/// Whether the other side, or the network, has ended a connection.
pub(super) fn is_closed(connection: &Connection) -> bool {
    connection.eof || connection.broken
}

/// A listener of the laboratory's with a port of its own.
pub(super) struct BoundListener {
    pub listener: Rc<TcpListener>,
    pub address: SocketAddr,
}

impl BoundListener {
    /// Binds a free port on loopback.
    ///
    /// # Errors
    /// Where there is none.
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
