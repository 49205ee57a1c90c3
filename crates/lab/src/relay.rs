//! Owns the bare relay: the sender's framing, buffers and loop with no ledger and no decisions. It takes a request,
//! answers 202, passes it on over a kept connection and reads the answer. It is what the sender is measured against,
//! and must never grow into one.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_http::{self as http, Handle, Parsed, Ready};
use slab::Slab;

type Connection = martenlatch_http::Connection<usize>;

/// Buffers, and so connections, that it holds.
const BUFFERS: usize = 1_024;
/// Requests that wait for a connection; past these it reads no more.
const WAITING: usize = 1_024;

enum Peer {
    Listener,
    Client(Connection),
    Region { connection: Connection, busy: bool },
}

struct Relay {
    handle: Handle<usize>,
    pool: BufferPool,
    listener: Rc<TcpListener>,
    peers: Slab<Peer>,
    idle: Vec<usize>,
    regions: Vec<SocketAddr>,
    next: usize,
    waiting: VecDeque<Vec<u8>>,
    connections: usize,
    most: usize,
}

/// Relays until it is told to end.
///
/// # Errors
/// Where the address cannot be bound or the loop fails.
pub fn serve(listen: SocketAddr, regions: Vec<SocketAddr>, most: usize) -> Result<(), String> {
    let failed = |e: &dyn std::fmt::Display| format!("relay: {listen}: {e}");
    let mut events = EventLoop::<Ready<usize>>::try_new().map_err(|e| failed(&e))?;
    let listener = TcpListener::bind(listen).map_err(|e| failed(&e))?;
    listener.set_nonblocking(true).map_err(|e| failed(&e))?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT]).map_err(|e| failed(&e))?;
    let told = events
        .handle()
        .insert_source(signals, |event, _, ready: &mut Ready<usize>| {
            ready.signals.push(event.signal());
        });
    told.map_err(|e| failed(&e))?;
    let mut relay = Relay {
        handle: events.handle(),
        pool: BufferPool::new(BUFFERS),
        listener: Rc::new(listener),
        peers: Slab::new(),
        idle: Vec::new(),
        regions,
        next: 0,
        waiting: VecDeque::new(),
        connections: 0,
        most,
    };
    let at = relay.peers.insert(Peer::Listener);
    http::register(&relay.handle, relay.listener.clone(), at).map_err(|e| failed(&e))?;
    let mut ready = Ready::default();
    while ready.signals.is_empty() {
        let keys = std::mem::take(&mut ready.keys);
        keys.into_iter().for_each(|at| relay.ready(at));
        relay.pass_on();
        events
            .dispatch(Duration::from_millis(100), &mut ready)
            .map_err(|e| failed(&e))?;
    }
    Ok(())
}

impl Relay {
    fn ready(&mut self, at: usize) {
        match self.peers.get_mut(at) {
            Some(Peer::Listener) => {
                while let Ok((stream, _)) = self.listener.accept() {
                    let entry = self.peers.vacant_entry();
                    if let Ok(connection) =
                        Connection::new(stream, &self.handle, &self.pool, entry.key())
                    {
                        entry.insert(Peer::Client(connection));
                    }
                }
            }
            Some(Peer::Client(connection)) => {
                connection.flush();
                connection.receive();
                while let Parsed::Complete(request) = http::parse_request(connection.bytes()) {
                    connection.consume(request.consumed);
                    if request.method != "POST" {
                        connection.queue(&http::encode_response(200, "", false));
                    } else if self.waiting.len() >= WAITING {
                        connection.queue(&http::encode_response(503, "Retry-After: 1\r\n", false));
                    } else {
                        let id = request.header("x-request-id").unwrap_or("");
                        let head = format!(
                            "POST /v1/messages HTTP/1.1\r\nHost: relay\r\nX-Request-ID: {id}\r\nX-Timeout: 1.000\r\n\
                             Content-Length: {}\r\n\r\n",
                            request.body.len()
                        );
                        self.waiting
                            .push_back([head.as_bytes(), &request.body].concat());
                        connection.queue(&http::encode_response(202, "", false));
                    }
                    connection.flush();
                }
                if connection.eof || connection.broken {
                    self.peers.remove(at);
                }
            }
            Some(Peer::Region { connection, busy }) => {
                connection.flush();
                connection.receive();
                if let Ok(Some(answer)) = http::parse_response(connection.bytes()) {
                    connection.consume(answer.consumed);
                    if std::mem::replace(busy, false) {
                        self.idle.push(at);
                    }
                }
                if connection.eof || connection.broken {
                    self.peers.remove(at);
                    self.idle.retain(|i| *i != at);
                    self.connections -= 1;
                }
            }
            None => {}
        }
    }

    fn pass_on(&mut self) {
        while !self.waiting.is_empty() {
            let at = match self.idle.pop() {
                Some(at) => at,
                None if self.connections >= self.most => return,
                None => {
                    let to = self.regions[self.next % self.regions.len()];
                    self.next += 1;
                    let at = self.peers.vacant_key();
                    let Ok(connection) = Connection::connect(to, &self.handle, &self.pool, at)
                    else {
                        return;
                    };
                    self.connections += 1;
                    self.peers.insert(Peer::Region {
                        connection,
                        busy: false,
                    })
                }
            };
            if let Some(Peer::Region { connection, busy }) = self.peers.get_mut(at)
                && let Some(call) = self.waiting.pop_front()
            {
                *busy = true;
                connection.queue(&call);
                connection.flush();
            }
        }
    }
}
