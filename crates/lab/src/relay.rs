//! Owns the bare relay: the sender's framing, buffers and loop with no ledger and no decisions. It takes a request,
//! answers 202, passes it on over a kept connection and reads the answer. It is what the sender is measured against,
//! and must never grow into one.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use martenlatch_http::pool::Pool;
use martenlatch_http::{self as http, Handle, Parsed, Ready};
use slab::Slab;

type Link = martenlatch_http::Link<usize>;

/// Buffers, and so connections, that it holds.
const BUFFERS: usize = 1_024;
/// Requests that wait for a connection; past these it reads no more.
const WAITING: usize = 1_024;

enum Peer {
    Listener,
    Client(Link),
    Region { link: Link, busy: bool },
}

struct Relay {
    handle: Handle<usize>,
    pool: Pool,
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
        pool: Pool::new(BUFFERS),
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
                    if let Ok(link) = Link::new(stream, &self.handle, &self.pool, entry.key()) {
                        entry.insert(Peer::Client(link));
                    }
                }
            }
            Some(Peer::Client(link)) => {
                link.flush();
                link.fill();
                while let Parsed::Whole(request) = http::request(link.bytes()) {
                    link.used(request.used);
                    if request.method != "POST" {
                        link.queue(&http::reply(200, "", false));
                    } else if self.waiting.len() >= WAITING {
                        link.queue(&http::reply(503, "Retry-After: 1\r\n", false));
                    } else {
                        let id = request.header("x-request-id").unwrap_or("");
                        let head = format!(
                            "POST /v1/messages HTTP/1.1\r\nHost: relay\r\nX-Request-ID: {id}\r\nX-Timeout: 1.000\r\n\
                             Content-Length: {}\r\n\r\n",
                            request.body.len()
                        );
                        self.waiting
                            .push_back([head.as_bytes(), &request.body].concat());
                        link.queue(&http::reply(202, "", false));
                    }
                    link.flush();
                }
                if link.eof || link.broken {
                    self.peers.remove(at);
                }
            }
            Some(Peer::Region { link, busy }) => {
                link.flush();
                link.fill();
                if let Ok(Some(answer)) = http::answer(link.bytes()) {
                    link.used(answer.used);
                    if std::mem::replace(busy, false) {
                        self.idle.push(at);
                    }
                }
                if link.eof || link.broken {
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
                    let Ok(link) = Link::connect(to, &self.handle, &self.pool, at) else {
                        return;
                    };
                    self.connections += 1;
                    self.peers.insert(Peer::Region { link, busy: false })
                }
            };
            if let Some(Peer::Region { link, busy }) = self.peers.get_mut(at)
                && let Some(call) = self.waiting.pop_front()
            {
                *busy = true;
                link.queue(&call);
                link.flush();
            }
        }
    }
}
