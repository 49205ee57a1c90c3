//! Owns the clients' connections: reads requests, writes answers, and makes room. It must never decide whether a
//! transaction is taken on, nor leave a client without an answer or a close past its time.

use std::io::ErrorKind;
use std::net::TcpListener;
use std::rc::Rc;

use crate::event_source::{Connection, EventSource, Handle};
use martenlatch_clock::Millis;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_http::{self as http, Parsed};
use martenlatch_settings::program::Clients;
use serde::{Deserialize, Serialize};
use slab::Slab;
use tracing::warn;

use crate::counters::Counters;
use crate::jitter::Jitter;

/// One that has just connected is about to ask; past this it is the first to make room.
pub(super) const NEWCOMER: Millis = 300.0;
/// A closed connection's late bytes are read away for so long, as closing on them would destroy our answer.
/// No more than so much is read: a body of 60 MB would cost more time than it is worth.
const LINGER: Millis = 500.0;
const LINGER_BYTES: usize = 1 << 20;
/// For each so many clients one more may linger, where others come in.
const LINGERERS: usize = 8;
/// Connections accepted in a round: no crowd may stall the loop.
const ACCEPTS: usize = 64;
/// How often client connections are looked over.
const SWEEP: Millis = 250.0;
/// Who is turned away may come again after so long: nothing here knows more, and a crowd that met one full moment is
/// spread over half as long again, or over the last quarter of the longest advice that clients follow.
const AGAIN: Millis = 1_000.0;
/// Longest id, key; and longest time that a client may grant.
const NAME: usize = 256;
const LONGEST: f64 = 86_400.0;

/// A connection; passed to a later process, what goes with it stands in its place.
#[derive(Serialize, Deserialize)]
pub struct Client<L = Connection> {
    pub(super) connection: L,
    /// Waits for the answer to its request.
    pub(super) busy: bool,
    pub(super) close: bool,
    /// Told to go on with a body.
    pub(super) continued: bool,
    /// It has handed in a transaction, or asked for our health.
    pub(super) served: bool,
    /// When it was last heard of, or asked to end.
    pub(super) since: Millis,
    pub(super) closing: bool,
    /// Bytes read since then.
    pub(super) drained: usize,
}

impl<L> Client<L> {
    pub(super) fn with<M>(&self, connection: M) -> Client<M> {
        let Client {
            busy,
            close,
            continued,
            served,
            since,
            closing,
            drained,
            ..
        } = *self;
        Client {
            connection,
            busy,
            close,
            continued,
            served,
            since,
            closing,
            drained,
        }
    }
}

/// What a client has handed in.
pub struct IncomingMessage {
    pub(super) client: usize,
    pub(super) id: Rc<str>,
    pub(super) class: usize,
    pub(super) destination: u64,
    pub(super) deadline: Millis,
    pub(super) key: Option<Rc<str>>,
    pub(super) body: Rc<[u8]>,
}

/// Owns the clients' connections; reads requests and writes answers. Knows paths and classes, not their meaning.
pub struct Ingress {
    pub(super) listener: Option<Rc<TcpListener>>,
    pub(super) token: Option<calloop::RegistrationToken>,
    pub(super) handle: Handle,
    pub(super) pool: BufferPool,
    pub(super) clients: Slab<Client>,
    pub(super) most: usize,
    /// A client may take so long over a request, the first one counted from its connection: an error or a close is
    /// owed within 3 s. And so long between two requests: it may keep its connection for good, and we have only so
    /// many.
    pub(super) times: Clients,
    pub(super) classes: Vec<(String, bool)>,
    pub(super) next_sweep: Millis,
    /// Accepting rests after running out of descriptors.
    pub(super) accept_at: Option<Millis>,
    pub(super) final_status: bool,
    /// Classes of those that were turned away over half a request, since these were last looked at.
    pub(super) cut_off: Vec<usize>,
    pub(super) jitter: Jitter,
    /// The longest advice that a client follows; none where none may be given.
    pub(super) advice: Option<Millis>,
}

impl Drop for Ingress {
    /// Lets go of the listener. Guards the address: the loop would hold it on behalf of a take-over that broke off.
    fn drop(&mut self) {
        self.token
            .take()
            .into_iter()
            .for_each(|token| self.handle.remove(token));
    }
}

impl Ingress {
    pub(super) fn accept(&mut self, now: Millis, counters: &mut Counters) -> bool {
        self.accept_at = None;
        let Some(listener) = self.listener.clone() else {
            return false;
        };
        for _ in 0..ACCEPTS {
            match listener.accept() {
                Ok((stream, _)) => {
                    counters.clients += 1;
                    if self.clients.len() >= self.most {
                        self.evict(now, true);
                    }
                    let entry = self.clients.vacant_entry();
                    if let Ok(connection) = Connection::new(
                        stream,
                        &self.handle,
                        &self.pool,
                        EventSource::Client(entry.key()),
                    ) {
                        let (busy, close, continued, served, closing) =
                            (false, false, false, false, false);
                        let (since, drained) = (now, 0);
                        entry.insert(Client {
                            connection,
                            busy,
                            close,
                            continued,
                            served,
                            since,
                            closing,
                            drained,
                        });
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                // The client had gone again, or a signal came.
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                    ) => {}
                // EMFILE and its like: the edge is spent, so it is tried again soon, but not in a busy loop. An
                // idle client makes room.
                Err(e) => {
                    warn!(error = ?e.kind(), "accept rests");
                    self.evict(now, false);
                    self.accept_at = Some(now + 50.0);
                    return false;
                }
            }
        }
        true
    }

    /// Who makes room before whom: a place from 0 (has its answer) to 4 (has begun a request), and since when.
    fn who_goes_first(&self, now: Millis) -> Vec<(u8, Millis, usize)> {
        let place = |c: &Client| match () {
            () if c.closing => 0,
            () if !c.connection.bytes().is_empty() => 4,
            () if c.served => 2,
            () if now > c.since + NEWCOMER => 1,
            () => 3,
        };
        let order = self
            .clients
            .iter()
            .filter(|(_, c)| !c.busy)
            .map(|(at, c)| (place(c), c.since, at));
        let mut order: Vec<(u8, Millis, usize)> = order.collect();
        order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        order
    }

    /// Closes one client to make room: one that has connected and says nothing, else the one idle the longest. One whose
    /// request is there unread stays: ending it unanswered would lose a transaction. Guards usual clients against a crowd
    /// of silent ones, which are younger than they are. Where all have begun a request, the one at it the longest is
    /// turned away. Those that have their answer may read it, until there are too many of them, or no `spare` descriptors.
    pub(super) fn evict(&mut self, now: Millis, spare: bool) {
        let order = self.who_goes_first(now);
        let answered = order.iter().take_while(|(place, ..)| *place == 0).count();
        let lingers = spare && self.clients.len() < self.most + self.most / LINGERERS;
        if lingers && self.clients.len() < self.most + answered {
            return;
        }
        for (place, _, at) in order.iter().skip(if lingers { answered } else { 0 }) {
            let client = &mut self.clients[*at];
            client.connection.receive();
            if client.closing || client.connection.bytes().is_empty() {
                self.clients.remove(*at);
                return;
            }
            if *place == 4 {
                break;
            }
        }
        if let Some((_, _, at)) = order.iter().find(|(place, ..)| *place == 4) {
            self.turn_away(*at, now);
            // The rest of its request is on the way: a close over it would be a reset, and destroy the answer.
            if !lingers {
                self.clients.try_remove(*at);
            }
        }
    }

    /// Turns away a client over half a request.
    fn turn_away(&mut self, at: usize, now: Millis) {
        let begun = std::str::from_utf8(self.clients[at].connection.bytes()).unwrap_or("");
        // Its class is known once its path is there, with the space behind it.
        let path = begun
            .split_once(' ')
            .and_then(|(_, rest)| rest.split_once(' '));
        let class = path.and_then(|(path, _)| self.class(path));
        self.cut_off.extend(class);
        self.clients[at].close = true;
        self.busy(at, now);
    }

    /// The last look before the process goes: who has begun a request has an answer, as its last byte may be on the way.
    pub(super) fn turn_all_away(&mut self, now: Millis) {
        let begun = |c: &Client| !c.closing && !c.busy && !c.connection.bytes().is_empty();
        let begun: Vec<usize> = self
            .clients
            .iter()
            .filter(|(_, c)| begun(c))
            .map(|(at, _)| at)
            .collect();
        begun.into_iter().for_each(|at| self.turn_away(at, now));
    }

    /// Reads what a client sent. True if there may be more.
    pub(super) fn ready(
        &mut self,
        at: usize,
        now: Millis,
        out: &mut Vec<IncomingMessage>,
        counters: &mut Counters,
    ) -> bool {
        let Some(client) = self.clients.get_mut(at) else {
            return false;
        };
        client.connection.flush();
        let quiet = client.connection.bytes().is_empty();
        let more = client.connection.receive();
        if quiet && client.served && !client.closing && !client.connection.bytes().is_empty() {
            // The time of a request counts from its first byte, not from the last one's end; that of a first
            // one from the connection.
            client.since = now;
        }
        if client.closing {
            let rest = client.connection.bytes().len();
            client.connection.consume(rest);
            client.drained += rest;
            if client.connection.eof || client.connection.broken || client.drained > LINGER_BYTES {
                self.clients.remove(at);
                return false;
            }
            return more;
        }
        if client.busy {
            return false;
        }
        if client.connection.broken {
            counters.left += u64::from(!client.connection.bytes().is_empty());
            self.clients.remove(at);
            return false;
        }
        if client.connection.bytes().is_empty() {
            if client.connection.eof {
                self.clients.remove(at);
                return false;
            }
            if more {
                return true;
            }
            return false;
        }
        match http::parse_request(client.connection.bytes()) {
            Parsed::Partial(waits) => {
                if client.connection.eof {
                    self.clients.remove(at);
                } else if waits && !client.continued {
                    client.continued = true;
                    client.connection.queue(b"HTTP/1.1 100 Continue\r\n\r\n");
                    client.connection.flush();
                }
                return more;
            }
            Parsed::Invalid(status) => {
                client.close = true;
                counters.bad += 1;
                self.answer(at, status, "", now);
                return true;
            }
            Parsed::Complete(request) => {
                client.connection.consume(request.consumed);
                (client.since, client.continued) = (now, false);
                client.close = request.close || client.connection.eof || self.final_status;
                // Clients ask one at a time. What stands behind a request belongs to it, so that its length is
                // wrong, or it is a flood; taking it on would cut the body, or carry what hides in one.
                let alone = client.connection.bytes().is_empty();
                match if alone {
                    self.meaning(&request, at, now)
                } else {
                    Err(400)
                } {
                    Ok(handed) => {
                        let client = &mut self.clients[at];
                        (client.busy, client.served) = (true, true);
                        out.push(handed);
                    }
                    Err(status) => {
                        counters.bad += u64::from(status != 200);
                        let client = &mut self.clients[at];
                        // Whoever sends what is of no use may do so at full speed: each costs it a connection.
                        client.close |= status != 200;
                        client.served |= status == 200;
                        self.answer(
                            at,
                            status,
                            if status == 405 { "Allow: POST\r\n" } else { "" },
                            now,
                        );
                    }
                }
            }
        }

        true
    }

    /// What a request hands in, or the status that answers it.
    pub(super) fn meaning(
        &self,
        request: &http::Request,
        client: usize,
        now: Millis,
    ) -> Result<IncomingMessage, u16> {
        let path = request.path.split(['?', '#']).next().unwrap_or("");
        if path == "/healthz" {
            return Err(if matches!(request.method.as_str(), "GET" | "HEAD") {
                200
            } else {
                405
            });
        }
        let class = self.class(path).ok_or(404u16)?;
        if request.method != "POST" {
            return Err(405);
        }
        let name = |header: &str| {
            let value = request
                .header(header)
                .filter(|v| !v.is_empty() && v.len() <= NAME);
            value
                .filter(|v| v.bytes().all(|b| b.is_ascii_graphic() || b == b' '))
                .map(Rc::<str>::from)
        };
        let id = name("x-request-id").ok_or(400u16)?;
        let left = request
            .header("x-timeout")
            .and_then(|t| t.parse::<f64>().ok());
        let left = left.filter(|l| *l > 0.0 && *l <= LONGEST).ok_or(400u16)?;
        let route = request.header("x-route-to").unwrap_or("");
        let mut parts = route
            .split([',', ';', ' '])
            .filter_map(|p| p.trim().strip_prefix("dest="));
        let destination = parts.next().and_then(|d| d.parse().ok()).ok_or(400u16)?;
        // Without its key a repeat would take effect twice.
        let key = name("idempotency-key");
        if self.classes[class].1 && key.is_none() {
            return Err(400);
        }
        let (deadline, body) = (now + left * 1e3, request.body.clone());
        Ok(IncomingMessage {
            client,
            id,
            class,
            destination,
            deadline,
            key,
            body,
        })
    }

    /// The class that the first part of a path names.
    fn class(&self, path: &str) -> Option<usize> {
        let first = path.strip_prefix('/')?.split(['/', '?', '#']).next()?;
        self.classes.iter().position(|(name, _)| name == first)
    }

    /// Answers a client. False if it had left before it could hear.
    pub(super) fn answer(&mut self, at: usize, status: u16, extra: &str, now: Millis) -> bool {
        let Some(client) = self.clients.get_mut(at) else {
            return false;
        };
        client.busy = false;
        client.close |= self.final_status;
        let queued = client
            .connection
            .queue(&http::encode_response(status, extra, client.close));
        client.connection.flush();
        // An end of its sending may be all, or it may have left: then our answer was reset at once.
        let gone = !queued
            || client.connection.broken
            || (client.connection.eof && client.connection.peer_reset());
        if gone {
            self.clients.remove(at);
        } else if client.close {
            client.connection.shutdown_write();
            (client.closing, client.since) = (true, now);
        }
        !gone
    }

    /// Turns a client away for now.
    pub(super) fn busy(&mut self, at: usize, now: Millis) {
        let again = self.advice.filter(|most| *most > 0.0).map(|most| {
            let least = AGAIN.min(most * 0.75);
            (least + self.jitter.up_to((AGAIN * 1.5).min(most) - least)) / 1e3
        });
        self.answer(
            at,
            503,
            &again.map_or(String::new(), |s| format!("Retry-After: {s:.3}\r\n")),
            now,
        );
    }

    /// Has a client's connection end with its next answer.
    pub(super) fn close(&mut self, at: usize) {
        if let Some(client) = self.clients.get_mut(at) {
            client.close = true;
        }
    }

    /// How many connections there are; closes those without a request until there are at most so many. A client whose
    /// request crosses this sends it once more.
    pub(super) fn close_idle_connections(&mut self, most: usize, now: Millis) -> usize {
        for (_, _, at) in self.who_goes_first(now) {
            if self.clients.len() <= most {
                break;
            }
            let client = &mut self.clients[at];
            client.connection.receive();
            if client.closing || client.connection.bytes().is_empty() {
                self.clients.remove(at);
            }
        }
        self.clients.len()
    }

    pub(super) fn next_deadline(&self) -> Millis {
        self.next_sweep.min(self.accept_at.unwrap_or(f64::INFINITY))
    }

    /// Ends connections that are over their time. Returns those that had just asked after all.
    pub(super) fn sweep(&mut self, now: Millis) -> Vec<EventSource> {
        let (mut slow, mut asked) = (Vec::new(), Vec::new());
        if now < self.next_sweep {
            return asked;
        }
        self.next_sweep = now + SWEEP;
        let times = self.times;
        self.clients.retain(|at, c| {
            let age = now - c.since;
            if c.closing {
                return age <= LINGER;
            }
            let begun = !c.connection.bytes().is_empty();
            if c.busy
                || age
                    <= if c.served && !begun {
                        times.idle_ms
                    } else {
                        times.request_ms
                    }
            {
                return true;
            }
            if begun {
                slow.push(at);
                return true;
            }
            c.connection.receive();
            let asks = !c.connection.bytes().is_empty();
            if asks {
                asked.push(EventSource::Client(at));
            }
            asks
        });
        for at in slow {
            self.clients[at].close = true;
            self.answer(at, 408, "", now);
        }
        asked
    }

    /// Takes no more connections, once those that wait are in, and closes those between requests. Returns the ones
    /// whose requests still want an answer.
    pub(super) fn stop(&mut self, now: Millis, counters: &mut Counters) -> Vec<EventSource> {
        if let Some(token) = self.token.take() {
            while self.accept(now, counters) {}
            self.handle.remove(token);
        }
        self.listener = None;
        let mut wanted = Vec::new();
        self.clients.retain(|at, c| {
            let had = c.connection.bytes().len();
            c.connection.receive();
            let asks = !c.closing && !c.connection.bytes().is_empty();
            // Half a request is looked at again only once more of it has come: the loop must not spin on it.
            if asks && c.connection.bytes().len() > had {
                wanted.push(EventSource::Client(at));
            }
            // One that has just come may have its request on the way.
            asks || c.busy || c.closing || now < c.since + SWEEP
        });
        wanted
    }
}
