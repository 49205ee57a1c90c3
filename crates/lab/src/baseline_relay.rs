//! The baseline relay, with which the sender's throughput is compared. It has the sender's framing, buffers and event
//! loop, but no write-ahead log and no decision module. It answers a request with 202, forwards it over a persistent
//! connection and reads the answer.

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

/// Number of buffers, which also bounds the number of connections.
const BUFFERS: usize = 1_024;
/// The most requests that wait for a connection; further ones are rejected.
const MAX_WAITING: usize = 1_024;
/// A signal is noticed within this time.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The options of the relay.
#[derive(Clone, Debug)]
pub struct RelayOptions {
    /// The address on which it accepts requests.
    pub listen: SocketAddr,
    /// The endpoints that it forwards to, in rotation.
    pub endpoints: Vec<SocketAddr>,
    /// The most calls in flight.
    pub max_calls: usize,
}

/// Relays requests until SIGTERM or SIGINT.
///
/// # Errors
/// If the address cannot be bound or the event loop fails.
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

enum RelaySocket {
    Listener,
    Client(Connection),
    Endpoint { connection: Connection, busy: bool },
}

struct Relay {
    options: RelayOptions,
    handle: EventLoopHandle<usize>,
    buffers: BufferPool,
    listener: Rc<TcpListener>,
    sockets: Slab<RelaySocket>,
    /// Keys of connections to endpoints that carry no call.
    idle_connections: Vec<usize>,
    /// Number of connections opened so far, which selects the next endpoint.
    opened: usize,
    /// Requests that wait for a connection, in the form that is sent to the endpoint.
    waiting: VecDeque<Vec<u8>>,
    /// Number of open connections to endpoints.
    endpoint_connections: usize,
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
            sockets: Slab::new(),
            idle_connections: Vec::new(),
            opened: 0,
            waiting: VecDeque::new(),
            endpoint_connections: 0,
        };
        let key = relay.sockets.insert(RelaySocket::Listener);
        http::register(&relay.handle, relay.listener.clone(), key)?;
        Ok(relay)
    }

    fn handle_ready(&mut self, key: usize) {
        match self.sockets.get(key) {
            Some(RelaySocket::Listener) => self.accept_clients(),
            Some(RelaySocket::Client(_)) => self.read_requests(key),
            Some(RelaySocket::Endpoint { .. }) => self.read_answer(key),
            None => {}
        }
    }

    fn accept_clients(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            let entry = self.sockets.vacant_entry();
            let connection = Connection::new(stream, &self.handle, &self.buffers, entry.key());
            if let Ok(connection) = connection {
                entry.insert(RelaySocket::Client(connection));
            }
        }
    }

    fn read_requests(&mut self, key: usize) {
        let Some(RelaySocket::Client(connection)) = self.sockets.get_mut(key) else {
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
                self.waiting.push_back(forwarded_request(&request));
                connection.queue(&http::encode_response(202, "", false));
            }
            connection.flush();
        }
        if connection.eof || connection.broken {
            self.sockets.remove(key);
        }
    }

    fn read_answer(&mut self, key: usize) {
        let Some(RelaySocket::Endpoint { connection, busy }) = self.sockets.get_mut(key) else {
            return;
        };
        connection.flush();
        connection.receive();
        if let Ok(Some(answer)) = http::parse_response(connection.bytes()) {
            connection.consume(answer.consumed);
            if std::mem::replace(busy, false) {
                self.idle_connections.push(key);
            }
        }
        if connection.eof || connection.broken {
            self.sockets.remove(key);
            self.idle_connections.retain(|idle| *idle != key);
            self.endpoint_connections -= 1;
        }
    }

    fn forward_waiting(&mut self) {
        while !self.waiting.is_empty() {
            let Some(key) = self.endpoint_connection() else {
                return;
            };
            if let Some(RelaySocket::Endpoint { connection, busy }) = self.sockets.get_mut(key)
                && let Some(call) = self.waiting.pop_front()
            {
                *busy = true;
                connection.queue(&call);
                connection.flush();
            }
        }
    }

    /// The key of an idle connection to an endpoint, or of a new one to the next endpoint in rotation; `None` if
    /// `max_calls` connections are in use or none can be opened.
    fn endpoint_connection(&mut self) -> Option<usize> {
        if let Some(idle) = self.idle_connections.pop() {
            return Some(idle);
        }
        if self.endpoint_connections >= self.options.max_calls {
            return None;
        }
        let endpoints = &self.options.endpoints;
        let endpoint = endpoints[self.opened % endpoints.len()];
        self.opened += 1;
        let key = self.sockets.vacant_key();
        let connection = Connection::connect(endpoint, &self.handle, &self.buffers, key).ok()?;
        self.endpoint_connections += 1;
        let busy = false;
        Some(
            self.sockets
                .insert(RelaySocket::Endpoint { connection, busy }),
        )
    }
}

/// A client's request in the form that is sent to an endpoint.
fn forwarded_request(request: &Request) -> Vec<u8> {
    let id = request.header("x-request-id").unwrap_or("");
    let head = format!(
        "POST /v1/messages HTTP/1.1\r\nHost: relay\r\nX-Request-ID: {id}\r\nX-Timeout: 1.000\r\n\
         Content-Length: {}\r\n\r\n",
        request.body.len()
    );
    [head.as_bytes(), &request.body].concat()
}
