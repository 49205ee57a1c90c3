//! Owns the chain that a transaction passes: take in, admit, route, send, relay, book, and the driver that runs it
//! once a round. It must never decide what the module decides; only the driver speaks with the module, in types
//! that know no protocol, so that another protocol can stand before the same decisions.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use martenlatch::Policy;
use martenlatch::interface::{
    Action, ClassId, DestinationId, EndpointId, Event, MessageId, Outcome, Report, Stage,
};
use slab::Slab;

use super::clock::{Clock, Millis, millis, nanos};
use super::counters::{self, Counters, say};
use super::http::{self, Handle, Key, Link, Parsed};
use super::ledger::{Ledger, Notice, Taken, Task};
use super::pool::Pool;
use super::regions::{Call, Done, Regions};
use super::table::{Change, Table};
use crate::Config;

/// A client may take so long over a request, the first one counted from its connection: an error or a close is owed
/// within 3 s. And so long between two requests: it may keep its connection for good, and we have only so many.
const REQUEST_TIME: Millis = 2_400.0;
const IDLE_TIME: Millis = 6_000.0;
/// One that has just connected is about to ask; past this it is the first to make room.
const NEWCOMER: Millis = 300.0;
/// A closed connection's late bytes are read away for so long, as closing on them would destroy our answer.
/// No more than so much is read: a body of 60 MB would cost more time than it is worth.
const LINGER: Millis = 500.0;
const LINGER_BYTES: usize = 1 << 20;
/// Connections accepted in a round: no crowd may stall the loop.
const ACCEPTS: usize = 64;
/// How often client connections are looked over.
const SWEEP: Millis = 250.0;
/// Longest id, key; and longest time that a client may grant.
const NAME: usize = 256;
const LONGEST: f64 = 86_400.0;

/// SIGTERM: so long work is still taken on, and so long in all, as SIGKILL comes 3.7 s after it at the earliest.
const LAST_WORK: Millis = 600.0;
const LAST_CALL: Millis = 3_300.0;
/// A transaction not ended so long after its time is ended here, well before it counts as lost.
const OVERDUE: Millis = 120.0;

// ---- Take in ---------------------------------------------------------------------------------------------------

struct Client {
    link: Link,
    /// Waits for the answer to its request.
    busy: bool,
    close: bool,
    /// Told to go on with a body.
    continued: bool,
    /// It has handed in a transaction, or asked for our health.
    served: bool,
    /// When it was last heard of, or asked to end.
    since: Millis,
    closing: bool,
    /// Bytes read since then.
    drained: usize,
}

/// What a client has handed in.
pub struct HandedIn {
    client: usize,
    id: Rc<str>,
    class: usize,
    destination: u64,
    deadline: Millis,
    key: Option<Rc<str>>,
    body: Rc<[u8]>,
}

/// Owns the clients' connections; reads requests and writes answers. Knows paths and classes, not their meaning.
pub struct TakeIn {
    listener: Option<Rc<TcpListener>>,
    token: Option<calloop::RegistrationToken>,
    handle: Handle,
    pool: Pool,
    clients: Slab<Client>,
    most: usize,
    classes: Vec<(String, bool)>,
    next_sweep: Millis,
    /// Accepting rests after running out of descriptors.
    accept_at: Option<Millis>,
    ending: bool,
}

impl TakeIn {
    fn accept(&mut self, now: Millis, counters: &mut Counters) -> bool {
        self.accept_at = None;
        let Some(listener) = self.listener.clone() else { return false };
        for _ in 0..ACCEPTS {
            match listener.accept() {
                Ok((stream, _)) => {
                    counters.clients += 1;
                    if self.clients.len() >= self.most {
                        self.evict(now);
                    }
                    let entry = self.clients.vacant_entry();
                    if let Ok(link) = Link::new(stream, &self.handle, &self.pool, Key::Client(entry.key())) {
                        let (busy, close, continued, served, closing) = (false, false, false, false, false);
                        let (since, drained) = (now, 0);
                        entry.insert(Client {
                            link,
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
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                // EMFILE and its like: the edge is spent, so it is tried again soon, but not in a busy loop. An
                // idle client makes room.
                Err(e) => {
                    say!("accept rests error={:?}", e.kind());
                    self.evict(now);
                    self.accept_at = Some(now + 50.0);
                    return false;
                }
            }
        }
        true
    }

    /// Closes one client to make room: one that has its answer, else one that has connected and says nothing, else
    /// the one idle the longest. One whose request is there unread stays: ending it unanswered would lose a
    /// transaction. Guards usual clients against a crowd of silent ones, which are younger than they are. Where
    /// all have begun a request, the one at it the longest is turned away.
    fn evict(&mut self, now: Millis) {
        let place = |c: &Client| match () {
            () if c.closing => 0,
            () if !c.link.bytes().is_empty() => 4,
            () if c.served => 2,
            () if now > c.since + NEWCOMER => 1,
            () => 3,
        };
        let order = self.clients.iter().filter(|(_, c)| !c.busy).map(|(at, c)| (place(c), c.since, at));
        let mut order: Vec<(u8, Millis, usize)> = order.collect();
        order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        for (place, _, at) in &order {
            let client = &mut self.clients[*at];
            client.link.fill();
            if client.closing || client.link.bytes().is_empty() {
                self.clients.remove(*at);
                return;
            }
            if *place == 4 {
                break;
            }
        }
        if let Some((_, _, at)) = order.iter().find(|(place, ..)| *place == 4) {
            self.clients[*at].close = true;
            self.answer(*at, 503, "Retry-After: 1\r\n", now);
            self.clients.try_remove(*at);
        }
    }

    /// Reads what a client sent. True if there may be more.
    fn ready(&mut self, at: usize, now: Millis, out: &mut Vec<HandedIn>, counters: &mut Counters) -> bool {
        let Some(client) = self.clients.get_mut(at) else { return false };
        client.link.flush();
        let quiet = client.link.bytes().is_empty();
        let more = client.link.fill();
        if quiet && client.served && !client.closing && !client.link.bytes().is_empty() {
            // The time of a request counts from its first byte, not from the last one's end; that of a first
            // one from the connection.
            client.since = now;
        }
        if client.closing {
            let rest = client.link.bytes().len();
            client.link.used(rest);
            client.drained += rest;
            if client.link.eof || client.link.broken || client.drained > LINGER_BYTES {
                self.clients.remove(at);
                return false;
            }
            return more;
        }
        if client.busy {
            return false;
        }
        if client.link.broken {
            counters.left += u64::from(!client.link.bytes().is_empty());
            self.clients.remove(at);
            return false;
        }
        if client.link.bytes().is_empty() {
            if client.link.eof {
                self.clients.remove(at);
                return false;
            }
            if more {
                return true;
            }
            return false;
        }
        match http::request(client.link.bytes()) {
            Parsed::Partial(waits) => {
                if client.link.eof {
                    self.clients.remove(at);
                } else if waits && !client.continued {
                    client.continued = true;
                    client.link.queue(b"HTTP/1.1 100 Continue\r\n\r\n");
                    client.link.flush();
                }
                return more;
            }
            Parsed::Bad(status) => {
                client.close = true;
                counters.bad += 1;
                self.answer(at, status, "", now);
                return true;
            }
            Parsed::Whole(request) => {
                client.link.used(request.used);
                (client.since, client.continued) = (now, false);
                client.close = request.close || client.link.eof || self.ending;
                // Clients ask one at a time. What stands behind a request belongs to it, so that its length is
                // wrong, or it is a flood; taking it on would cut the body, or carry what hides in one.
                let alone = client.link.bytes().is_empty();
                match if alone { self.meaning(&request, at, now) } else { Err(400) } {
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
                        self.answer(at, status, if status == 405 { "Allow: POST\r\n" } else { "" }, now);
                    }
                }
            }
        }

        true
    }

    /// What a request hands in, or the status that answers it.
    fn meaning(&self, request: &http::Request, client: usize, now: Millis) -> Result<HandedIn, u16> {
        let path = request.path.split(['?', '#']).next().unwrap_or("");
        if path == "/healthz" {
            return Err(if matches!(request.method.as_str(), "GET" | "HEAD") { 200 } else { 405 });
        }
        let first = path.strip_prefix('/').and_then(|p| p.split('/').next()).unwrap_or("");
        let class = self.classes.iter().position(|(name, _)| name == first).ok_or(404u16)?;
        if request.method != "POST" {
            return Err(405);
        }
        let name = |header: &str| {
            let value = request.header(header).filter(|v| !v.is_empty() && v.len() <= NAME);
            value.filter(|v| v.bytes().all(|b| b.is_ascii_graphic() || b == b' ')).map(Rc::<str>::from)
        };
        let id = name("x-request-id").ok_or(400u16)?;
        let left = request.header("x-timeout").and_then(|t| t.parse::<f64>().ok());
        let left = left.filter(|l| *l > 0.0 && *l <= LONGEST).ok_or(400u16)?;
        let route = request.header("x-route-to").unwrap_or("");
        let mut parts = route.split([',', ';', ' ']).filter_map(|p| p.trim().strip_prefix("dest="));
        let destination = parts.next().and_then(|d| d.parse().ok()).ok_or(400u16)?;
        // Without its key a repeat would take effect twice.
        let key = name("idempotency-key");
        if self.classes[class].1 && key.is_none() {
            return Err(400);
        }
        let (deadline, body) = (now + left * 1e3, request.body.clone());
        Ok(HandedIn { client, id, class, destination, deadline, key, body })
    }

    /// Answers a client. False if it had left before it could hear.
    fn answer(&mut self, at: usize, status: u16, extra: &str, now: Millis) -> bool {
        let Some(client) = self.clients.get_mut(at) else { return false };
        client.busy = false;
        client.close |= self.ending;
        let queued = client.link.queue(&http::reply(status, extra, client.close));
        client.link.flush();
        // An end of its sending may be all, or it may have left: then our answer was reset at once.
        let gone = !queued || client.link.broken || (client.link.eof && client.link.reset());
        if gone {
            self.clients.remove(at);
        } else if client.close {
            client.link.end_sending();
            (client.closing, client.since) = (true, now);
        }
        !gone
    }

    /// Has a client's connection end with its next answer.
    fn close(&mut self, at: usize) {
        if let Some(client) = self.clients.get_mut(at) {
            client.close = true;
        }
    }

    fn due(&self) -> Millis {
        self.next_sweep.min(self.accept_at.unwrap_or(f64::INFINITY))
    }

    /// Ends connections that are over their time. Returns those that had just asked after all.
    fn sweep(&mut self, now: Millis) -> Vec<Key> {
        let (mut slow, mut asked) = (Vec::new(), Vec::new());
        if now < self.next_sweep {
            return asked;
        }
        self.next_sweep = now + SWEEP;
        self.clients.retain(|at, c| {
            let age = now - c.since;
            if c.closing {
                return age <= LINGER;
            }
            let begun = !c.link.bytes().is_empty();
            if c.busy || age <= if c.served && !begun { IDLE_TIME } else { REQUEST_TIME } {
                return true;
            }
            if begun {
                slow.push(at);
                return true;
            }
            c.link.fill();
            let asks = !c.link.bytes().is_empty();
            if asks {
                asked.push(Key::Client(at));
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
    fn stop(&mut self, now: Millis, counters: &mut Counters) -> Vec<Key> {
        if let Some(token) = self.token.take() {
            while self.accept(now, counters) {}
            self.handle.remove(token);
        }
        self.listener = None;
        let mut wanted = Vec::new();
        self.clients.retain(|at, c| {
            let had = c.link.bytes().len();
            c.link.fill();
            let asks = !c.closing && !c.link.bytes().is_empty();
            // Half a request is looked at again only once more of it has come: the loop must not spin on it.
            if asks && c.link.bytes().len() > had {
                wanted.push(Key::Client(at));
            }
            // One that has just come may have its request on the way.
            asks || c.busy || c.closing || now < c.since + SWEEP
        });
        wanted
    }
}

// ---- Admit -----------------------------------------------------------------------------------------------------

#[derive(Clone, Copy, PartialEq)]
enum State {
    Open,
    /// Its notice is on the way.
    Ending,
    Over,
}

/// A transaction that we have taken on.
struct Transaction {
    taken: Taken,
    state: State,
    /// Routed tasks without an outcome.
    out: u32,
}

/// What the stages share: the transactions that are not over.
struct Desk {
    held: BTreeMap<u64, Transaction>,
    numbers: HashMap<Rc<str>, u64>,
    open: usize,
    next: u64,
    ledger: Ledger,
    counters: Counters,
}

impl Desk {
    fn insert(&mut self, taken: Taken, state: State) {
        self.numbers.insert(taken.id.clone(), taken.no);
        self.open += usize::from(state == State::Open);
        self.held.insert(taken.no, Transaction { taken, state, out: 0 });
    }

    /// Takes a transaction from one state to the next.
    fn pass(&mut self, no: u64, to: State) {
        let Some(t) = self.held.get_mut(&no) else { return };
        self.open -= usize::from(t.state == State::Open);
        t.state = to;
        if to == State::Over {
            self.ledger.over(no, &t.taken.id);
        }
        self.forget(no);
    }

    fn forget(&mut self, no: u64) {
        if self.held.get(&no).is_some_and(|t| t.state == State::Over && t.out == 0)
            && let Some(t) = self.held.remove(&no)
        {
            self.numbers.remove(&t.taken.id);
        }
    }
}

/// Decides nothing but whether there is room: records first, answers then.
struct Admit {
    hold_limit: usize,
    classes: Vec<String>,
    /// Those whose transactions must not be repeated once they may have run.
    once: Vec<Rc<str>>,
}

impl Admit {
    fn admit(
        &self, h: HandedIn, desk: &mut Desk, take_in: &mut TakeIn, table: &Table, stopped: bool, now: Millis,
    ) -> Option<Event> {
        if desk.numbers.contains_key(&h.id) || desk.ledger.over.contains(&h.id) {
            desk.counters.repeated += 1;
            take_in.answer(h.client, 202, "", now);
            return None;
        }
        // A destination that discovery has never listed cannot be served; until it has spoken in this life, it
        // may be a new one.
        match table.serves(h.destination) {
            Some(true) => {}
            Some(false) => {
                desk.counters.bad += 1;
                take_in.close(h.client);
                take_in.answer(h.client, 404, "", now);
                return None;
            }
            None => {
                desk.counters.turned_away += 1;
                take_in.answer(h.client, 503, "Retry-After: 1\r\n", now);
                return None;
            }
        }
        let (no, tasks) = (desk.next, Vec::new());
        let class = Rc::from(self.classes[h.class].as_str());
        let (id, destination, deadline, ending) = (h.id, h.destination, h.deadline, None);
        let taken = Taken { no, id, class, destination, deadline, key: h.key, body: h.body, tasks, ending };
        if stopped || desk.open >= self.hold_limit || !desk.ledger.take(&taken) {
            desk.counters.turned_away += 1;
            take_in.answer(h.client, 503, "Retry-After: 1\r\n", now);
            return None;
        }
        desk.next += 1;
        if !take_in.answer(h.client, 202, "", now) {
            desk.counters.left += 1;
            desk.ledger.over(no, &taken.id);
            return None;
        }
        desk.counters.taken += 1;
        let (id, destination, class) = (MessageId(no), DestinationId(h.destination), ClassId(h.class));
        let deadline = nanos(taken.deadline);
        desk.insert(taken, State::Open);
        Some(Event::Message { id, destination, class, tenant: None, deadline, key: None })
    }

    /// What an earlier life took on and did not end.
    fn resume(&self, taken: Taken, desk: &mut Desk, relay: &mut Relay) -> Option<Event> {
        desk.counters.resumed += 1;
        let class = self.classes.iter().position(|c| **c == *taken.class);
        let event = class.map(|class| Event::Resumed {
            id: MessageId(taken.no),
            destination: DestinationId(taken.destination),
            class: ClassId(class),
            deadline: nanos(taken.deadline),
            attempts: taken.tasks.len() as u32,
            ran: taken.tasks.iter().find(|t| !t.never_ran).map(|t| nanos(t.sent)),
        });
        let (no, settled) = (taken.no, taken.ending.is_some() || event.is_none());
        desk.insert(taken, if settled { State::Ending } else { State::Open });
        if settled {
            // Its end was decided, or its class is gone from the settings: what may have run is not promised.
            relay.queue.push_back(no);
            return None;
        }
        event
    }
}

// ---- Route -----------------------------------------------------------------------------------------------------

/// Owns the module: gathers a round's events, and calls it once.
struct Route {
    policy: Policy,
    events: Vec<Event>,
    wake: Option<Millis>,
}

impl Route {
    fn turn(&mut self, now: Millis) -> Vec<Action> {
        if self.wake.is_some_and(|at| at <= now) {
            self.wake = None;
            self.events.push(Event::Wake);
        }
        let mut actions = Vec::new();
        if !self.events.is_empty() {
            self.policy.turn(nanos(now), &self.events, &mut actions);
            self.events.clear();
        }
        actions
    }
}

// ---- Send ------------------------------------------------------------------------------------------------------

/// A routed task's transaction and its goal.
struct To {
    id: MessageId,
    /// Its class must not be repeated once it may have run.
    once: bool,
    region: EndpointId,
    /// None where the table lists it no more.
    address: Option<SocketAddr>,
}

/// Carries a routed task to its region: its record first, then its first byte.
struct Send;

impl Send {
    fn send(&self, to: To, timeout: Millis, desk: &mut Desk, regions: &mut Regions, now: Millis) {
        let To { id, once, region, address } = to;
        let Some(t) = desk.held.get_mut(&id.0) else { return };
        let attempt = t.taken.tasks.len();
        let recorded = address.is_some() && desk.ledger.route(id.0, attempt, now);
        t.taken.tasks.push(Task { sent: now, never_ran: !recorded });
        t.out += 1;
        let Some(address) = address.filter(|_| recorded) else {
            // What has no record is not sent: after a crash it would be taken for one that never ran.
            let (attempt, outcome) = (attempt as u32, Outcome::Void);
            return regions.done.push(Done { id, attempt, outcome, took: 0.0, over: false });
        };
        let taken = &t.taken;
        let key = taken.key.as_ref().map_or(String::new(), |k| format!("Idempotency-Key: {k}\r\n"));
        let head = format!(
            "POST /v1/messages HTTP/1.1\r\nHost: {address}\r\nX-Request-ID: {}\r\n{key}X-Timeout: {:.3}\r\n\
             Content-Length: {}\r\n\r\n",
            taken.id,
            timeout / 1e3,
            taken.body.len()
        );
        desk.counters.sent += 1;
        let (head, body, destination) = (head.as_bytes(), &*taken.body, taken.destination);
        // A further attempt has failed once, and should not do so again for the sake of a connection.
        let (dear, attempt) = (once || attempt > 0, attempt as u32);
        let call = Call { id, attempt, region, destination, timeout, dear, head, body };
        regions.call(&call, address, now);
    }
}

// ---- Relay -----------------------------------------------------------------------------------------------------

/// Most notices in one report; how long its answer may take; pauses between tries.
const NOTICES: usize = 32;
const CONFIRM: Millis = 1_000.0;
const RETRY: (Millis, Millis) = (50.0, 1_000.0);

/// Tells the platform the ends that it is owed, each until it is confirmed.
struct Relay {
    platform: SocketAddr,
    handle: Handle,
    pool: Pool,
    link: Option<Link>,
    queue: VecDeque<u64>,
    flying: Vec<u64>,
    sent: Millis,
    next_try: Millis,
    pause: Millis,
    /// Halved after a report that the platform could not read, so that one bad notice holds up no other.
    batch: usize,
}

impl Relay {
    fn tend(&mut self, desk: &Desk, now: Millis) {
        if !self.flying.is_empty() && now >= self.sent + CONFIRM {
            self.failed(now, "silent");
        }
        if !self.flying.is_empty() || self.queue.is_empty() || now < self.next_try {
            return;
        }
        let mut lines = String::new();
        while let Some(no) = self.queue.pop_front() {
            let Some(t) = desk.held.get(&no) else { continue };
            let id = serde_json::Value::from(&*t.taken.id);
            lines += &match t.taken.ending.unwrap_or(Notice::Undeliverable) {
                Notice::Undeliverable => format!("{{\"id\":{id},\"status\":\"undeliverable\"}}\n"),
                Notice::Deferred(None) => format!("{{\"id\":{id},\"status\":\"deferred\"}}\n"),
                Notice::Deferred(Some(ms)) => {
                    format!("{{\"id\":{id},\"status\":\"deferred\",\"again_ms\":{ms}}}\n")
                }
            };
            self.flying.push(no);
            if self.flying.len() >= self.batch {
                break;
            }
        }
        if self.flying.is_empty() {
            return;
        }
        self.sent = now;
        // A connection that the platform has closed meanwhile is found before a report is lost on it.
        if let Some(link) = self.link.as_mut() {
            link.fill();
        }
        self.link = self.link.take().filter(|l| !l.eof && !l.broken);
        if self.link.is_none() {
            self.link = Link::connect(self.platform, &self.handle, &self.pool, Key::Notices).ok();
        }
        let head = format!(
            "POST /reports HTTP/1.1\r\nHost: {}\r\nContent-Type: application/x-ndjson\r\nContent-Length: {}\r\n\r\n",
            self.platform,
            lines.len()
        );
        let queued = self.link.as_mut().is_some_and(|l| {
            l.queue(head.as_bytes()) && l.queue(lines.as_bytes()) && {
                l.flush();
                !l.broken
            }
        });
        if !queued {
            self.failed(now, "no connection");
        }
    }

    /// The platform is elsewhere from now on. What is not confirmed is told there, at once: a notice that comes
    /// twice does no harm, and one that waits for an answer from the old address may come too late.
    fn move_to(&mut self, platform: SocketAddr, now: Millis) {
        self.link = None;
        self.flying.drain(..).rev().for_each(|no| self.queue.push_front(no));
        (self.platform, self.next_try, self.pause) = (platform, now, RETRY.0);
    }

    fn failed(&mut self, now: Millis, reason: &str) {
        say!("notices unconfirmed count={} reason={reason}", self.flying.len());
        self.link = None;
        self.flying.drain(..).rev().for_each(|no| self.queue.push_front(no));
        self.next_try = now + self.pause;
        self.pause = (self.pause * 2.0).min(RETRY.1);
    }

    fn due(&self) -> Millis {
        match (self.flying.is_empty(), self.queue.is_empty()) {
            (false, _) => self.sent + CONFIRM,
            (true, false) => self.next_try,
            (true, true) => f64::INFINITY,
        }
    }

    /// Reads the platform's answer, and says which ends it has confirmed.
    fn ready(&mut self, now: Millis) -> Vec<u64> {
        let Some(link) = self.link.as_mut() else { return Vec::new() };
        link.flush();
        link.fill();
        match http::answer(link.bytes()) {
            Ok(Some(answer)) if !self.flying.is_empty() => {
                // An answer whose body is not all there is not waited out: the connection goes.
                let rest = link.bytes().len() - answer.used;
                let keep = answer.keep && answer.body == http::Body::Left(rest);
                link.used(answer.used + rest);
                if (200..300).contains(&answer.status) {
                    if !keep {
                        self.link = None;
                    }
                    (self.pause, self.batch) = (RETRY.0, NOTICES);
                    return std::mem::take(&mut self.flying);
                }
                self.batch = (self.batch / 2).max(1);
                // One that is refused by itself goes behind the others, which it must not hold up.
                let alone = if self.flying.len() == 1 { self.flying.pop() } else { None };
                self.failed(now, "refused");
                self.queue.extend(alone);
            }
            Ok(None) if !link.eof && !link.broken => {}
            _ if self.flying.is_empty() => self.link = None,
            _ => self.failed(now, "connection lost"),
        }
        Vec::new()
    }
}

// ---- Book ------------------------------------------------------------------------------------------------------

/// Enters how routed tasks and transactions end.
struct Book;

impl Book {
    /// A routed task has ended: the record of a proof that it never ran, and what the module is told.
    fn task(&self, done: Done, desk: &mut Desk) -> Option<Event> {
        let (id, attempt, outcome) = (done.id, done.attempt, done.outcome);
        let count = &mut desk.counters;
        *match outcome {
            Outcome::Success => &mut count.success,
            Outcome::Failure => &mut count.failure,
            Outcome::Overloaded { .. } => &mut count.short_on_capacity,
            Outcome::TimedOut => &mut count.timed_out,
            Outcome::Unreachable => &mut count.unreachable,
            Outcome::Broken => &mut count.broken,
            Outcome::Stale => &mut count.stale,
            Outcome::Withdrawn => &mut count.withdrawn,
            Outcome::Void | Outcome::Spent => &mut count.not_sent,
        } += 1;
        let t = desk.held.get_mut(&id.0)?;
        t.out = t.out.saturating_sub(1);
        if outcome.never_ran()
            && let Some(task) = t.taken.tasks.get_mut(attempt as usize).filter(|t| !t.never_ran)
        {
            task.never_ran = true;
            desk.ledger.never_ran(id.0, attempt as usize);
        }
        if t.state == State::Open && (outcome == Outcome::Success || done.over) {
            desk.counters.delivered += u64::from(!done.over);
            desk.counters.called_over += u64::from(done.over);
            desk.pass(id.0, State::Over);
        } else {
            desk.forget(id.0);
        }
        let finished = desk.held.get(&id.0).is_none_or(|t| t.state != State::Open);
        let (took, report) = (nanos(done.took), Report::default());
        Some(Event::Ended { id, attempt, outcome, took, finished, report })
    }

    /// A transaction ends undelivered: its notice is owed from here on.
    fn end(&self, id: MessageId, notice: Notice, desk: &mut Desk, relay: &mut Relay) {
        let Some(t) = desk.held.get_mut(&id.0).filter(|t| t.state == State::Open) else { return };
        t.taken.ending = Some(notice);
        desk.ledger.ending(id.0, notice);
        desk.pass(id.0, State::Ending);
        relay.queue.push_back(id.0);
    }

    /// The platform has confirmed an end.
    fn confirmed(&self, no: u64, desk: &mut Desk) {
        match desk.held.get(&no).and_then(|t| t.taken.ending) {
            Some(Notice::Deferred(_)) => desk.counters.deferred += 1,
            _ => desk.counters.undeliverable += 1,
        }
        desk.pass(no, State::Over);
    }

    fn tidy(&self, desk: &mut Desk, now: Millis) {
        if desk.ledger.wants_compaction(now) {
            let held = desk.held.values().filter(|t| t.state != State::Over);
            if !desk.ledger.compact(held.map(|t| &t.taken)) {
                desk.ledger.compaction_failed(now);
            }
        }
    }
}

// ---- The driver ------------------------------------------------------------------------------------------------

/// Runs the chain, a round at a time.
pub struct Driver {
    clock: Clock,
    handle: Handle,
    pool: Pool,
    take_in: TakeIn,
    admit: Admit,
    route: Route,
    send: Send,
    relay: Relay,
    book: Book,
    desk: Desk,
    regions: Regions,
    table: Table,
    /// Sockets that had more to read than one round takes.
    again: Vec<Key>,
    /// When the sender was told to end.
    told_to_end: Option<Millis>,
}

impl Driver {
    pub fn new(
        config: Config, listener: TcpListener, handle: &Handle, clock: Clock,
    ) -> Result<Driver, String> {
        let boot = &config.boot;
        let set = boot.settings.clone();
        let policy = Policy::new(set.clone(), config.seed).map_err(|e| format!("settings: {e}"))?;
        // Half of the descriptors for clients: the rest is for regions, discovery and files. Clients have buffers
        // of their own, two each, so that slow ones cannot starve the regions.
        let buffers = (config.memory / 2 / super::pool::SIZE as u64) as usize;
        let most = (config.sockets / 2).min(buffers / 3).max(1);
        let (pool, clients_pool) = (Pool::new(buffers - 2 * most.min(buffers / 3)), Pool::new(2 * most));
        let listener = Rc::new(listener);
        let token = http::register(handle, listener.clone(), Key::Listener)
            .map_err(|e| format!("listen: cannot watch the socket: {e}"))?;
        let keyed = |c: &martenlatch::interface::Class| {
            matches!(c.effect, martenlatch::interface::Effect::Keyed { .. })
        };
        let classes = boot.classes.iter().cloned().zip(set.classes.iter().map(keyed)).collect();
        let take_in = TakeIn {
            listener: Some(listener),
            token: Some(token),
            handle: handle.clone(),
            pool: clients_pool,
            clients: Slab::new(),
            most,
            classes,
            next_sweep: 0.0,
            accept_at: None,
            ending: false,
        };
        let (ledger, past) = Ledger::open(&config.state, config.disk);
        let (next, counters) = (past.next, Counters::default());
        let (held, numbers) = (BTreeMap::new(), HashMap::new());
        let mut desk = Desk { held, numbers, open: 0, next, ledger, counters };
        let mut relay = Relay {
            platform: config.discovery,
            handle: handle.clone(),
            pool: pool.clone(),
            link: None,
            queue: VecDeque::new(),
            flying: Vec::new(),
            sent: 0.0,
            next_try: 0.0,
            pause: RETRY.0,
            batch: NOTICES,
        };
        let unsafe_ones = set.classes.iter().map(|c| c.effect == martenlatch::interface::Effect::Unsafe);
        let once =
            boot.classes.iter().zip(unsafe_ones).filter(|(_, u)| *u).map(|(c, _)| Rc::from(c.as_str()));
        let admit = Admit { hold_limit: set.hold_limit, classes: boot.classes.clone(), once: once.collect() };
        let resumed =
            past.open.into_values().filter_map(|t| admit.resume(t, &mut desk, &mut relay)).collect();
        let mut driver = Driver {
            admit,
            route: Route { policy, events: Vec::new(), wake: None },
            send: Send,
            relay,
            book: Book,
            desk,
            take_in,
            regions: Regions::new(
                handle,
                &pool,
                (config.sockets / 3).max(set.slots),
                millis(set.connect_timeout),
                millis(set.conn_idle),
            ),
            table: Table::new(config.discovery, boot),
            again: Vec::new(),
            told_to_end: None,
            clock,
            handle: handle.clone(),
            pool,
        };
        if config.known.is_object()
            && let Some(known) = driver.table.line(&config.known)
        {
            driver.listed(Change { whole: true, ..known });
        }
        driver.route.events.extend::<Vec<Event>>(resumed);
        say!("started name={} resumed={}", config.name, driver.desk.counters.resumed);
        Ok(driver)
    }

    /// A change of the table, in the turn that brings it. Calls not yet begun are taken back where they may not go.
    fn listed(&mut self, change: Change) {
        let on = |e: &EndpointId| change.entries.iter().any(|c| c.endpoint == *e && c.stage == Stage::On);
        let off = |e: &EndpointId| change.entries.iter().any(|c| c.endpoint == *e && c.stage != Stage::On);
        let whole = change.whole;
        let now = self.clock.now();
        self.regions.hold_back(|_, region| if whole { !on(&region) } else { off(&region) }, now);
        let entries = change.entries;
        self.route.events.push(if whole { Event::List(entries) } else { Event::ListChanges(entries) });
    }

    /// How long the loop may sleep, in milliseconds.
    pub fn sleep(&self) -> Millis {
        if !self.again.is_empty() || !self.route.events.is_empty() || !self.regions.done.is_empty() {
            return 0.0;
        }
        let dues = [self.regions.due(), self.table.due(), self.relay.due(), self.take_in.due()];
        let due = dues.into_iter().chain(self.route.wake).fold(f64::INFINITY, f64::min);
        // Near its end the sender must not sleep past the instants at which it stops and goes.
        (due - self.clock.now()).clamp(0.0, if self.told_to_end.is_some() { 20.0 } else { 250.0 })
    }

    pub fn print_counters(&mut self) {
        self.desk.counters.connections = self.regions.opened;
        say!("counters held={} open={}{}", self.desk.held.len(), self.desk.open, self.desk.counters);
    }

    /// SIGHUP: the configuration was read again. Of it, `discovery` counts at once, the rest from the next start on.
    /// One that cannot be used must not harm a sender at work: the old one stands.
    pub fn reload(&mut self, told: Result<Config, String>) {
        match told {
            Ok(config) => {
                let now = self.clock.now();
                say!("configuration read discovery={}", config.discovery);
                if config.discovery != self.relay.platform {
                    self.relay.move_to(config.discovery, now);
                    self.table.move_to(config.discovery, now);
                }
            }
            Err(e) => say!("configuration kept reason={e}"),
        }
    }

    /// SIGTERM: serve what comes for a moment more, start no call that cannot end, and go.
    pub fn end(&mut self) {
        if self.told_to_end.is_none() {
            let now = self.clock.now();
            say!("ending open={}", self.desk.open);
            self.told_to_end = Some(now);
            self.take_in.ending = true;
            self.route.events.push(Event::Closing(nanos(now + LAST_CALL)));
        }
    }

    /// One round: what is ready, what is due, one turn, its actions. False once the sender may exit.
    pub fn round(&mut self, mut ready: Vec<Key>) -> bool {
        let now = self.clock.now();
        counters::round(now);
        self.desk.counters.rounds += 1;
        let mut handed = Vec::new();
        ready.append(&mut self.again);
        ready.sort_unstable();
        ready.dedup();
        if self.take_in.accept_at.is_some_and(|at| at <= now) {
            ready.push(Key::Listener);
        }
        for key in ready {
            let more = match key {
                Key::Listener => self.take_in.accept(now, &mut self.desk.counters),
                Key::Client(at) => self.take_in.ready(at, now, &mut handed, &mut self.desk.counters),
                Key::Region(at) => self.regions.ready(at, now),
                Key::Watch => {
                    let (changes, more) = self.table.ready(now);
                    changes.into_iter().for_each(|c| self.listed(c));
                    more
                }
                Key::Notices => {
                    let confirmed = self.relay.ready(now);
                    confirmed.into_iter().for_each(|no| self.book.confirmed(no, &mut self.desk));
                    false
                }
            };
            if more {
                self.again.push(key);
            }
        }
        self.regions.expire(now);
        self.again.extend(self.take_in.sweep(now));
        let stopped = self.told_to_end.is_some_and(|at| now >= at + LAST_WORK);
        if stopped {
            self.again.extend(self.take_in.stop(now, &mut self.desk.counters));
        }
        for h in handed {
            let event = self.admit.admit(h, &mut self.desk, &mut self.take_in, &self.table, stopped, now);
            self.route.events.extend(event);
        }
        self.outcomes(now);
        self.overdue(now);
        self.table.tend(now, &self.handle, &self.pool);
        let actions = self.route.turn(now);
        self.desk.counters.turns += u64::from(!actions.is_empty());
        self.carry_out(actions, now);
        self.relay.tend(&self.desk, now);
        self.book.tidy(&mut self.desk, now);
        let took = (self.clock.now() - now) as u64;
        self.desk.counters.longest_round_ms = self.desk.counters.longest_round_ms.max(took);
        !self.may_exit(now)
    }

    /// What came back from regions becomes events. A told wait binds the destination's calls not yet begun.
    fn outcomes(&mut self, now: Millis) {
        let told = self
            .regions
            .done
            .iter()
            .filter(|d| matches!(d.outcome, Outcome::Overloaded { wait } if wait > 0));
        let held = told.filter_map(|d| self.desk.held.get(&d.id.0)).map(|t| t.taken.destination);
        let waits: Vec<u64> = held.collect();
        if !waits.is_empty() {
            self.regions.hold_back(|destination, _| waits.contains(&destination), now);
        }
        for done in std::mem::take(&mut self.regions.done) {
            self.route.events.extend(self.book.task(done, &mut self.desk));
        }
    }

    /// Ends what the module should have ended. Guards the owed notice, whatever goes wrong elsewhere.
    fn overdue(&mut self, now: Millis) {
        let late = |t: &&Transaction| t.state == State::Open && now > t.taken.deadline + OVERDUE;
        let late: Vec<u64> = self.desk.held.values().filter(late).map(|t| t.taken.no).collect();
        for no in late {
            say!("transaction ended late no={no}");
            self.desk.counters.late += 1;
            self.book.end(MessageId(no), Notice::Undeliverable, &mut self.desk, &mut self.relay);
            self.route.events.push(Event::Left(MessageId(no)));
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>, now: Millis) {
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout } => {
                    let address = self.table.addresses.get(&endpoint).copied();
                    let (desk, regions) = (&mut self.desk, &mut self.regions);
                    let class = desk.held.get(&id.0).map(|t| &t.taken.class);
                    let once = class.is_none_or(|class| self.admit.once.contains(class));
                    let to = To { id, once, region: endpoint, address };
                    self.send.send(to, millis(timeout), desk, regions, now);
                }
                Action::Cancel { id, attempt } => self.regions.cancel(id, attempt, now),
                Action::Refuse { id, return_after } => {
                    let again = return_after.map(|r| millis(r).round() as u64);
                    self.book.end(id, Notice::Deferred(again), &mut self.desk, &mut self.relay);
                }
                Action::Fail { id } => {
                    self.book.end(id, Notice::Undeliverable, &mut self.desk, &mut self.relay);
                }
                Action::WakeAfter(span) => {
                    let at = now + millis(span);
                    self.route.wake = Some(self.route.wake.map_or(at, |w| w.min(at)));
                }
                Action::Close(endpoint) => self.regions.close(endpoint),
                // The watch is always open.
                Action::Subscribe => {}
            }
        }
    }

    /// All that was owed in this life is done, or time is up; and no client that has asked is left unanswered.
    fn may_exit(&mut self, now: Millis) -> bool {
        let Some(told) = self.told_to_end.filter(|told| now >= told + LAST_WORK) else { return false };
        let told_all = self.relay.flying.is_empty() && self.relay.queue.is_empty();
        let calm = self.regions.tasks() == 0 && told_all && self.desk.open == 0;
        if !calm && now < told + LAST_CALL + 100.0 {
            return false;
        }
        self.again.extend(self.take_in.stop(now, &mut self.desk.counters));
        let asking = self.take_in.clients.iter().any(|(_, c)| !c.closing);
        !asking || now >= told + LAST_CALL + 300.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use martenlatch::settings;

    const SETTINGS: &str = r#"{"Areas":["a"],"Zone":"a","Balancers":1,"Kinds":["k"],"Categories":[
        {"Name":"debit","Target":3000000000,"Deadline":16000000000,"Effect":"side_effect","Worth":1}],
        "FamilyInfo":{"CallsOut":4},
        "Limits":{"OpenCap":9,"AttemptsCap":8,"Cancel":true,"ConnectTimeout":1000000000},
        "Guarantees":{"StopSendingWithin":1000000000,"GraceToAnswer":20000000,"OverloadFactor":2,
        "OverloadFor":3000000000,"ColdFrom":0.22,"Cold":9200000000},"Tick":5000000}"#;

    const START: Millis = 1_796_121_600_000.0;

    /// A driver on a clock set by hand that resumes one unsafe transaction, with two seconds left.
    fn resumed(story: &str, region: SocketAddr) -> (Driver, Clock, calloop::EventLoop<'static, http::Ready>) {
        let state = std::env::temp_dir().join(format!("martenlatch-stages-{story}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&state);
        std::fs::create_dir_all(&state).unwrap();
        let (id, class, key, body) = (Rc::from("a"), Rc::from("debit"), None, Rc::from(&b"x"[..]));
        let (deadline, tasks, ending) = (START + 2_000.0, Vec::new(), None);
        let taken = Taken { no: 3, id, class, destination: 7, deadline, key, body, tasks, ending };
        assert!(Ledger::open(&state, 3_000_000).0.take(&taken));
        let target = format!(
            r#"{{"targets":[{{"uid":"s","endpoint":"{region}","az":"a","model":"k","pod_group":7,"state":"in_service"}}]}}"#
        );
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let config = Config {
            name: "n0".into(),
            listen: listener.local_addr().unwrap(),
            discovery: region,
            state,
            seed: 1,
            sockets: 64,
            disk: 3_000_000,
            memory: 64_000_000,
            known: serde_json::from_str(&target).unwrap(),
            boot: settings::read(SETTINGS).unwrap(),
        };
        let events = calloop::EventLoop::<http::Ready>::try_new().unwrap();
        let clock = Clock::at(START);
        let driver = Driver::new(config, listener, &events.handle(), clock.clone()).unwrap();
        (driver, clock, events)
    }

    /// Plays the transaction's time out: what ended it, and how long after its time.
    fn outlived(story: &str, region: SocketAddr) -> (Option<Notice>, Millis) {
        let (mut driver, clock, _events) = resumed(story, region);
        while driver.desk.open > 0 && clock.now() < START + 9_000.0 {
            assert!(driver.round(vec![Key::Region(0)]), "nothing tells it to end");
            clock.set(clock.now() + 10.0);
        }
        (driver.desk.held.get(&3).and_then(|t| t.taken.ending), clock.now() - START - 2_000.0)
    }

    #[test]
    fn a_silent_crowd_makes_room_before_usual_clients_and_is_ended_within_its_time() {
        use std::io::{Read, Write};
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        let (mut driver, clock, _events) = resumed("crowd", silent.local_addr().unwrap());
        let address = driver.take_in.listener.as_ref().unwrap().local_addr().unwrap();
        let connect = || std::net::TcpStream::connect(address).unwrap();
        let open = |s: &mut std::net::TcpStream| {
            s.set_nonblocking(true).unwrap();
            s.read(&mut [0; 4096]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
        };
        let mut usual = connect();
        usual.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
        while driver.take_in.clients.iter().all(|(_, c)| !c.served) {
            driver.round(vec![Key::Listener, Key::Client(0)]);
        }
        assert!(usual.read(&mut [0; 4096]).unwrap() > 0);
        let mut crowd: Vec<_> = (1..driver.take_in.most).map(|_| connect()).collect();
        while driver.take_in.clients.len() < driver.take_in.most {
            driver.round(vec![Key::Listener]);
        }
        clock.set(clock.now() + NEWCOMER + 1.0);
        let late = connect();
        while driver.desk.counters.clients <= driver.take_in.most as u64 {
            driver.round(vec![Key::Listener]);
        }
        assert!(
            open(&mut usual) && !open(&mut crowd[0]) && open(&mut crowd[1]),
            "the oldest silent one goes"
        );
        clock.set(START + REQUEST_TIME + 1.0);
        driver.round(Vec::new());
        assert!(open(&mut usual) && crowd.iter_mut().all(|c| !open(c)), "3 s are owed");
        assert_eq!(driver.take_in.clients.len(), 2, "and the one that came late");
        drop(late);
    }

    #[test]
    fn half_a_request_does_not_keep_the_loop_awake_while_the_sender_ends() {
        use std::io::Write;
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        let (mut driver, clock, _events) = resumed("half", silent.local_addr().unwrap());
        let address = driver.take_in.listener.as_ref().unwrap().local_addr().unwrap();
        let mut half = std::net::TcpStream::connect(address).unwrap();
        half.write_all(b"POST /debit HTTP/1.1\r\nX-Re").unwrap();
        while driver.take_in.clients.iter().all(|(_, c)| c.link.bytes().is_empty()) {
            driver.round(vec![Key::Listener, Key::Client(0)]);
        }
        driver.end();
        clock.set(clock.now() + LAST_WORK + 1.0);
        (0..3).for_each(|_| assert!(driver.round(Vec::new())));
        assert_eq!(driver.take_in.clients.len(), 1, "it may still be asked whole");
        assert!(driver.again.is_empty() && driver.sleep() > 0.0);
    }

    #[test]
    fn told_to_end_the_sender_is_gone_before_it_can_be_killed() {
        // Guards against sleeping past the last instant: the loop looks again within 20 ms, whatever is due.
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        let (mut driver, clock, _events) = resumed("end", silent.local_addr().unwrap());
        driver.end();
        while driver.round(vec![Key::Region(0)]) {
            assert!(driver.sleep() <= 20.0);
            clock.set(clock.now() + driver.sleep().max(1.0) + 5.0);
            assert!(clock.now() < START + 3_690.0, "SIGKILL may come at 3.7 s");
        }
        assert!(clock.now() >= START + LAST_WORK, "clients may come for a moment more");
    }

    #[test]
    fn a_transaction_that_nothing_answers_ends_with_its_time_by_what_may_have_run() {
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        let (notice, late) = outlived("silent", silent.local_addr().unwrap());
        assert_eq!(notice, Some(Notice::Undeliverable), "it was out and may have run");
        assert!(late < 100.0, "{late} ms after its time");
        // Nobody listens there: each task is proven never to have run, so the client may come again.
        let (notice, late) = outlived("closed", "127.77.0.1:9".parse().unwrap());
        assert!(matches!(notice, Some(Notice::Deferred(_))), "{notice:?}");
        assert!(late < 100.0, "{late} ms after its time");
    }
}
