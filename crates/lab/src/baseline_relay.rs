//! The baseline relay that the sender's throughput is measured against: the sender's framing, buffers and event loop with
//! no write-ahead log and no decisions. It answers a request with 202, forwards it over a kept connection and reads the
//! answer.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_http::{self as http, EventLoopHandle, ParsedRequest, ReadyEvents, Request};
use slab::Slab;

use crate::error::LabError;

type Connection = martenlatch_http::Connection<usize>;

/// Buffers, and so connections, that the relay holds.
const BUFFERS: usize = 1_024;
/// Requests that wait for a connection; further ones are rejected.
const MAX_WAITING: usize = 1_024;
/// A signal is noticed within this time.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What the relay does and where.
#[derive(Clone, Debug)]
pub struct RelayOptions {
    /// Where it takes requests.
    pub listen: SocketAddr,
    /// The endpoints that it forwards to, in turns.
    pub endpoints: Vec<SocketAddr>,
    /// Calls in flight at most.
    pub max_calls: usize,
}

/// Relays until it is told to end.
///
/// # Errors
/// Where the address cannot be bound or the loop fails.
pub fn serve(options: RelayOptions) -> Result<(), LabError> {
    let listen = options.listen;
    relay_until_signalled(options).map_err(|source| LabError::Relay { listen, source })
}

type AnyError = Box<dyn std::error::Error + Send + Sync>;

fn relay_until_signalled(options: RelayOptions) -> Result<(), AnyError> {
    let mut events = EventLoop::<ReadyEvents<usize>>::try_new()?;
    let listener = TcpListener::bind(options.listen)?;
    listener.set_nonblocking(true)?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT])?;
    events
        .handle()
        .insert_source(signals, |event, _, ready: &mut ReadyEvents<usize>| {
            ready.signals.push(event.signal());
        })
        .map_err(|error| error.to_string())?;
    let mut relay = Relay::new(options, listener, events.handle())?;
    let mut ready = ReadyEvents::default();
    while ready.signals.is_empty() {
        for key in std::mem::take(&mut ready.keys) {
            relay.handle_ready(key);
        }
        relay.forward_waiting();
        events.dispatch(POLL_INTERVAL, &mut ready)?;
    }
    Ok(())
}

enum Peer {
    Listener,
    Client(Connection),
    Endpoint { connection: Connection, busy: bool },
}

struct Relay {
    options: RelayOptions,
    handle: EventLoopHandle<usize>,
    buffers: BufferPool,
    listener: Rc<TcpListener>,
    peers: Slab<Peer>,
    /// Keys of connections to endpoints that carry no call.
    idle: Vec<usize>,
    /// Counts the connections that were opened; endpoints take turns by it.
    opened: usize,
    /// Requests that wait for a connection.
    waiting: VecDeque<Vec<u8>>,
    /// Connections to endpoints.
    connections: usize,
}

impl Relay {
    fn new(
        options: RelayOptions,
        listener: TcpListener,
        handle: EventLoopHandle<usize>,
    ) -> std::io::Result<Relay> {
        let mut relay = Relay {
            options,
            handle,
            buffers: BufferPool::new(BUFFERS),
            listener: Rc::new(listener),
            peers: Slab::new(),
            idle: Vec::new(),
            opened: 0,
            waiting: VecDeque::new(),
            connections: 0,
        };
        let key = relay.peers.insert(Peer::Listener);
        http::register(&relay.handle, relay.listener.clone(), key)?;
        Ok(relay)
    }

    fn handle_ready(&mut self, key: usize) {
        match self.peers.get(key) {
            Some(Peer::Listener) => self.accept_clients(),
            Some(Peer::Client(_)) => self.read_requests(key),
            Some(Peer::Endpoint { .. }) => self.read_answer(key),
            None => {}
        }
    }

    fn accept_clients(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            let entry = self.peers.vacant_entry();
            let connection = Connection::new(stream, &self.handle, &self.buffers, entry.key());
            if let Ok(connection) = connection {
                entry.insert(Peer::Client(connection));
            }
        }
    }

    fn read_requests(&mut self, key: usize) {
        let Some(Peer::Client(connection)) = self.peers.get_mut(key) else {
            return;
        };
        connection.flush();
        connection.receive();
        while let ParsedRequest::Complete(request) = http::parse_request(connection.bytes()) {
            connection.consume(request.consumed);
            if request.method != "POST" {
                connection.queue(&http::encode_response(200, "", false));
            } else if self.waiting.len() >= MAX_WAITING {
                connection.queue(&http::encode_response(503, "Retry-After: 1\r\n", false));
            } else {
                self.waiting.push_back(forwarded(&request));
                connection.queue(&http::encode_response(202, "", false));
            }
            connection.flush();
        }
        if connection.eof || connection.broken {
            self.peers.remove(key);
        }
    }

    fn read_answer(&mut self, key: usize) {
        let Some(Peer::Endpoint { connection, busy }) = self.peers.get_mut(key) else {
            return;
        };
        connection.flush();
        connection.receive();
        if let Ok(Some(answer)) = http::parse_response(connection.bytes()) {
            connection.consume(answer.consumed);
            if std::mem::replace(busy, false) {
                self.idle.push(key);
            }
        }
        if connection.eof || connection.broken {
            self.peers.remove(key);
            self.idle.retain(|idle| *idle != key);
            self.connections -= 1;
        }
    }

    fn forward_waiting(&mut self) {
        while !self.waiting.is_empty() {
            let Some(key) = self.endpoint_connection() else {
                return;
            };
            if let Some(Peer::Endpoint { connection, busy }) = self.peers.get_mut(key)
                && let Some(call) = self.waiting.pop_front()
            {
                *busy = true;
                connection.queue(&call);
                connection.flush();
            }
        }
    }

    /// An idle connection to an endpoint, or a new one to the endpoint whose turn it is.
    fn endpoint_connection(&mut self) -> Option<usize> {
        if let Some(idle) = self.idle.pop() {
            return Some(idle);
        }
        if self.connections >= self.options.max_calls {
            return None;
        }
        let endpoints = &self.options.endpoints;
        let endpoint = endpoints[self.opened % endpoints.len()];
        self.opened += 1;
        let key = self.peers.vacant_key();
        let connection = Connection::connect(endpoint, &self.handle, &self.buffers, key).ok()?;
        self.connections += 1;
        let busy = false;
        Some(self.peers.insert(Peer::Endpoint { connection, busy }))
    }
}

/// A client's request as it goes to an endpoint.
fn forwarded(request: &Request) -> Vec<u8> {
    let id = request.header("x-request-id").unwrap_or("");
    let head = format!(
        "POST /v1/messages HTTP/1.1\r\nHost: relay\r\nX-Request-ID: {id}\r\nX-Timeout: 1.000\r\n\
         Content-Length: {}\r\n\r\n",
        request.body.len()
    );
    [head.as_bytes(), &request.body].concat()
}
