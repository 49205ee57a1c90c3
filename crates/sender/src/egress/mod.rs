//! Owns the connections to regions: opened at need, kept alive, one call on each at a time. It must never send a
//! call again by itself, choose a region, or keep a connection past its time; how a call ends is classed here by
//! what was written and what came back, and judged elsewhere.

mod connection_scarcity;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd};

use martenlatch_policy::interface::{EndpointId, MessageId, Outcome};
use serde::{Deserialize, Serialize};
use slab::Slab;
use tracing::warn;

use crate::event_source::{Connection, EventSource, Handle, InheritedDescriptors};
use connection_scarcity::ConnectionScarcity;
use martenlatch_clock::{Millis, nanos};
use martenlatch_http::buffer_pool::{BODY, BufferPool};
use martenlatch_http::{self as http, Body};

/// Part of the idle limit after which we close: the rest is for travel, as a crossing request ends as a reset.
const IDLE_PART: f64 = 0.9;
/// An answer's body may take so long after its head; the outcome is known by then.
const BODY_TIME: Millis = 1_000.0;

/// A kept connection that ends so soon under a new call, with no byte of an answer, was no good before the call.
const STALE_WITHIN: Millis = 50.0;
/// What is remembered of such ends: how much of them makes kept connections doubtful, and what a good one takes off.
const STALE: (f64, f64, f64) = (2.0, 0.5, 0.98);
/// How far under the rest of one that was stale a rest is safe, and how that grows with each that was good.
const SAFE: (f64, f64) = (0.8, 1.01);

/// While connections are being reset, the last byte of a dear call waits so long behind the others: a call whose
/// connection ends before its last byte has left never ran. For so many recent ends, each good call taking its part
/// off.
const LAST_BYTE: Millis = 3.0;
const RESETS: (f64, f64) = (0.5, 0.98);

/// A routed task that has ended.
#[derive(Debug)]
pub struct AttemptResult {
    pub id: MessageId,
    pub attempt: u32,
    pub outcome: Outcome,
    pub took: Millis,
    /// Status 410: the transaction is over, and nothing more is owed.
    pub over: bool,
}

/// Whether an answer other than 200 is all there; false for a spoilt one. Guards the transactions that must not be
/// repeated: only a whole answer proves that a call was turned away, as a spoilt one comes after it has run.
fn whole(answer: &http::Response, connection: &Connection) -> Option<bool> {
    let rest = &connection.bytes()[answer.consumed..];
    match answer.body.clone().feed(rest, |_| {}) {
        _ if answer.spoilt => Some(false),
        None => Some(false),
        Some((_, true)) => Some(true),
        Some((_, false)) if connection.eof || connection.broken => Some(answer.body == Body::ToEnd),
        Some((_, false)) if rest.len() >= BODY => Some(false),
        Some((_, false)) => None,
    }
}

/// A call to start.
pub struct Call<'a> {
    pub id: MessageId,
    pub attempt: u32,
    pub region: EndpointId,
    /// The region's kind, by its place in the settings.
    pub kind: usize,
    pub destination: u64,
    pub timeout: Millis,
    /// It does not begin after this.
    pub latest: Millis,
    /// Must not be lost on a connection that may be no good.
    pub dear: bool,
    pub head: &'a [u8],
    pub body: &'a [u8],
}

#[derive(Clone, Copy, Serialize, Deserialize)]
struct Task {
    id: MessageId,
    attempt: u32,
    destination: u64,
    sent: Millis,
    deadline: Millis,
    /// When it has to begin, or not at all.
    latest: Millis,
    /// Its last byte has been written.
    whole: bool,
}

/// What is still to come of an answer whose outcome has been told.
#[derive(Clone, Serialize, Deserialize)]
enum Rest {
    /// Its head, behind a first line of 200, and what that says of its body.
    Head,
    Body(Body),
}

/// A connection; passed to a later process, what goes with it stands in its place.
#[derive(Serialize, Deserialize)]
struct Conn<L = Connection> {
    connection: L,
    region: EndpointId,
    kind: usize,
    address: SocketAddr,
    task: Option<Task>,
    up: bool,
    /// A call on it was not turned away.
    admitted: bool,
    /// The last byte of its call, not yet written, and when it may be.
    last: Option<(u8, Millis)>,
    /// How long it had rested when its call came, where it had carried one before.
    rested: Option<Millis>,
    opened: Millis,
    /// The rest of an answer whose outcome has been told.
    rest: Option<Rest>,
    since: Millis,
}

impl<L> Conn<L> {
    fn with<M>(&self, connection: M) -> Conn<M> {
        let (region, kind, address) = (self.region, self.kind, self.address);
        let (task, up, admitted, last) = (self.task, self.up, self.admitted, self.last);
        let (rested, opened, rest, since) =
            (self.rested, self.opened, self.rest.clone(), self.since);
        Conn {
            connection,
            region,
            kind,
            address,
            task,
            up,
            admitted,
            last,
            rested,
            opened,
            rest,
            since,
        }
    }
}

/// All connections to regions, as they are passed to a later process.
#[derive(Serialize, Deserialize)]
pub struct ConnectionSnapshot {
    conns: Vec<Conn<http::ConnectionSnapshot>>,
    /// The idle ones among them, the most recently used last.
    idle: Vec<usize>,
    stale: f64,
    doubted: bool,
    safe_rest: Millis,
    resets: f64,
    crowd: ConnectionScarcity,
}

pub struct Egress {
    handle: Handle,
    pub(crate) pool: BufferPool,
    conns: Slab<Conn>,
    /// Idle connections, the most recently used last.
    idle: Vec<usize>,
    /// Most connections, idle ones counted, before the one idle the longest goes.
    most: usize,
    connect_timeout: Millis,
    idle_limit: Millis,
    /// How many kept connections were found stale, fading; and the longest rest that none of them had.
    stale: f64,
    doubted: bool,
    safe_rest: Millis,
    /// Connections that ended under a call, fading.
    resets: f64,
    /// Kinds whose regions have no connection to spare.
    crowd: ConnectionScarcity,
    pub results: Vec<AttemptResult>,
    /// Connections that are up and whose calls have not begun: each wants its record first.
    coming: Vec<usize>,
    /// Whose calls were written whole since these were last looked at.
    pub sent: Vec<MessageId>,
    pub connections_opened: u64,
}

impl Egress {
    pub fn new(
        handle: &Handle,
        pool: &BufferPool,
        most: usize,
        connect_timeout: Millis,
        idle_limit: Millis,
    ) -> Egress {
        Egress {
            most,
            handle: handle.clone(),
            pool: pool.clone(),
            conns: Slab::new(),
            idle: Vec::new(),
            connect_timeout,
            idle_limit: idle_limit * IDLE_PART,
            stale: 0.0,
            doubted: false,
            safe_rest: f64::INFINITY,
            resets: 0.0,
            crowd: ConnectionScarcity::default(),
            results: Vec::new(),
            coming: Vec::new(),
            sent: Vec::new(),
            connections_opened: 0,
        }
    }

    /// What is passed to a later process, the descriptors in the order of the connections.
    pub fn snapshot(&self) -> (ConnectionSnapshot, Vec<BorrowedFd<'_>>) {
        let place: HashMap<usize, usize> = self.conns.iter().map(|(at, _)| at).zip(0..).collect();
        let conns = self
            .conns
            .iter()
            .map(|(_, c)| c.with(c.connection.snapshot()))
            .collect();
        let idle = self.idle.iter().map(|at| place[at]).collect();
        let (stale, doubted, safe_rest, resets) =
            (self.stale, self.doubted, self.safe_rest, self.resets);
        let fds = self
            .conns
            .iter()
            .map(|(_, c)| c.connection.as_fd())
            .collect();
        let crowd = self.crowd.clone();
        (
            ConnectionSnapshot {
                conns,
                idle,
                stale,
                doubted,
                safe_rest,
                resets,
                crowd,
            },
            fds,
        )
    }

    /// Goes on with what an earlier process has passed. The keys of its connections want a look.
    ///
    /// # Errors
    /// Where a connection cannot be held.
    pub fn restore_state(
        &mut self,
        passed: ConnectionSnapshot,
        fds: &mut InheritedDescriptors,
    ) -> std::io::Result<Vec<EventSource>> {
        let mut keys = Vec::new();
        for conn in passed.conns {
            let key = EventSource::Region(self.conns.vacant_key());
            let connection = Connection::restore(
                fds.stream()?,
                &conn.connection,
                &self.handle,
                &self.pool,
                key,
            )?;
            self.conns.insert(conn.with(connection));
            keys.push(key);
        }
        // The table of connections was empty: they stand in their order.
        self.idle = passed
            .idle
            .into_iter()
            .filter(|at| self.conns.contains(*at))
            .collect();
        (self.stale, self.doubted) = (passed.stale, passed.doubted);
        (self.safe_rest, self.resets, self.crowd) = (passed.safe_rest, passed.resets, passed.crowd);
        Ok(keys)
    }

    /// How many connections there are; closes idle ones, the longest idle first, until there are at most so many.
    pub fn close_idle_connections(&mut self, most: usize) -> usize {
        while self.conns.len() > most && !self.idle.is_empty() {
            let oldest = self.idle.remove(0);
            self.conns.remove(oldest);
        }
        self.conns.len()
    }

    pub fn active_attempts(&self) -> usize {
        self.conns.iter().filter(|(_, c)| c.task.is_some()).count()
    }

    /// Starts a call. One that cannot start has an outcome at once, which proves that it never ran.
    pub fn start(&mut self, call: &Call, address: SocketAddr, now: Millis) {
        let task = Task {
            id: call.id,
            attempt: call.attempt,
            destination: call.destination,
            sent: now,
            deadline: now + call.timeout,
            latest: call.latest,
            whole: false,
        };
        let most_rest = if call.dear && self.doubted {
            self.safe_rest
        } else {
            f64::INFINITY
        };
        let at = match self.reusable(call.region, address, now - most_rest) {
            Some(at) => at,
            None => match self.open(call.region, call.kind, address, now) {
                Ok(at) => at,
                Err(e) => {
                    // Out of descriptors is our own lack and says nothing of the region.
                    let ours = http::is_descriptor_exhaustion(&e);
                    warn!(error = ?e.kind(), "region not reached");
                    return self.tell(
                        task,
                        if ours {
                            Outcome::NotSent
                        } else {
                            Outcome::Unreachable
                        },
                        now,
                    );
                }
            },
        };
        let conn = &mut self.conns[at];
        let (mut head, mut body, mut last) = (call.head, call.body, None);
        if call.dear && self.resets >= RESETS.0 {
            let end = if body.is_empty() {
                &mut head
            } else {
                &mut body
            };
            if let Some((byte, rest)) = end.split_last() {
                (last, *end) = (Some((*byte, f64::INFINITY)), rest);
            }
        }
        if !(conn.connection.queue(head) && conn.connection.queue(body)) {
            self.conns.remove(at);
            return self.tell(task, Outcome::NotSent, now);
        }
        conn.connection.written = 0;
        (conn.last, conn.rested) = (last, conn.up.then_some(now - conn.since));
        conn.task = Some(task);
        conn.connection.corked = true;
        self.progress(at, now);
    }

    /// The most recently used idle connection that is still good, if it was used since an instant. One that its
    /// region has closed is found here, before a request is lost on it.
    fn reusable(
        &mut self,
        region: EndpointId,
        address: SocketAddr,
        since: Millis,
    ) -> Option<usize> {
        while let Some(place) = self
            .idle
            .iter()
            .rposition(|at| self.conns[*at].region == region)
        {
            if self.conns[self.idle[place]].since < since {
                return None;
            }
            let at = self.idle.remove(place);
            let conn = &mut self.conns[at];
            conn.connection.receive();
            if conn.address == address
                && !conn.connection.eof
                && !conn.connection.broken
                && conn.connection.bytes().is_empty()
            {
                return Some(at);
            }
            self.conns.remove(at);
        }
        None
    }

    fn open(
        &mut self,
        region: EndpointId,
        kind: usize,
        address: SocketAddr,
        now: Millis,
    ) -> std::io::Result<usize> {
        // Guards the limit on descriptors, which many regions with a few idle connections each would reach.
        if self.conns.len() >= self.most && !self.idle.is_empty() {
            let oldest = self.idle.remove(0);
            self.conns.remove(oldest);
        }
        let key = EventSource::Region(self.conns.vacant_key());
        let connection = match Connection::connect(address, &self.handle, &self.pool, key) {
            // Out of descriptors: an idle connection makes room.
            Err(e) if http::is_descriptor_exhaustion(&e) && !self.idle.is_empty() => {
                let oldest = self.idle.remove(0);
                self.conns.remove(oldest);
                let key = EventSource::Region(self.conns.vacant_key());
                Connection::connect(address, &self.handle, &self.pool, key)
            }
            connection => connection,
        }?;
        self.connections_opened += 1;
        let (task, up, admitted, last, rested, rest) = (None, false, false, None, None, None);
        let (opened, since) = (now, now);
        let conn = Conn {
            connection,
            region,
            kind,
            address,
            task,
            up,
            admitted,
            last,
            rested,
            opened,
            rest,
            since,
        };
        Ok(self.conns.insert(conn))
    }

    fn tell(&mut self, task: Task, outcome: Outcome, now: Millis) {
        let (id, attempt, took) = (task.id, task.attempt, now - task.sent);
        self.results.push(AttemptResult {
            id,
            attempt,
            outcome,
            took,
            over: false,
        });
    }

    /// Ends a task and its connection. Before its last byte has left, a call cannot have run.
    fn fail(&mut self, at: usize, sent: Outcome, unsent: Outcome, now: Millis) {
        let Some(conn) = self.conns.try_remove(at) else {
            return;
        };
        self.idle.retain(|i| *i != at);
        if let Some(task) = conn.task {
            // Guards against repeating, or calling failed, what a spoilt answer has confirmed in its first line.
            let said = task.whole && http::starts_with_status_200(conn.connection.bytes());
            let begun = sent == Outcome::TimedOut && !conn.connection.bytes().is_empty();
            let sent = if begun { Outcome::Failure } else { sent };
            // Guards against taking a connection for its region: one closed or dropped while it rested, by the
            // region or on the way, ends at once under the next call. A region that has gone shows on a new one.
            let kept = conn
                .rested
                .filter(|_| sent == Outcome::ConnectionLost && conn.connection.bytes().is_empty());
            let (sent, unsent) = match kept.filter(|_| now < task.sent + STALE_WITHIN) {
                Some(rested) => {
                    self.stale += 1.0;
                    self.doubted |= self.stale >= STALE.0;
                    self.safe_rest = self.safe_rest.min(rested * SAFE.0);
                    (Outcome::StaleConnection, Outcome::NotSent)
                }
                None => (sent, unsent),
            };
            self.resets +=
                f64::from(sent == Outcome::ConnectionLost || sent == Outcome::StaleConnection);
            // The connection stood, and its end says nothing of the region.
            let unsent = if conn.up && conn.last.is_some() {
                Outcome::NotSent
            } else {
                unsent
            };
            let outcome = if said {
                Outcome::Success
            } else if conn.connection.is_flushed() && conn.up && conn.last.is_none() {
                sent
            } else {
                unsent
            };
            self.tell(task, outcome, now);
        }
    }

    /// Lets calls begin whose connections are up, each once its record stands; one that has none never ran. Guards messages
    /// that must not be repeated: with a record from before its connection was up, a kill meanwhile ended one untried.
    pub fn send_ready(&mut self, mut record: impl FnMut(MessageId, u32) -> bool, now: Millis) {
        for at in std::mem::take(&mut self.coming) {
            let Some(conn) = self
                .conns
                .get_mut(at)
                .filter(|c| c.connection.corked && c.connection.is_connected())
            else {
                continue;
            };
            let Some(task) = conn.task else { continue };
            // Guards against a second effect: a connection that comes up late carries no repeat past its window.
            let late = now > task.latest;
            if late
                || conn.connection.eof
                || conn.connection.broken
                || !record(task.id, task.attempt)
            {
                self.fail(at, Outcome::NotSent, Outcome::NotSent, now);
                continue;
            }
            conn.connection.corked = false;
            self.progress(at, now);
        }
    }

    /// A connection is ready. True if there may be more to read.
    pub fn on_ready(&mut self, at: usize, now: Millis) -> bool {
        self.conns.contains(at) && self.progress(at, now)
    }

    fn progress(&mut self, at: usize, now: Millis) -> bool {
        let conn = &mut self.conns[at];
        if conn.connection.corked && conn.connection.is_connected() && !self.coming.contains(&at) {
            self.coming.push(at);
        }
        conn.connection.flush();
        conn.up |= conn.connection.written > 0;
        let more = conn.connection.receive();
        let free = conn.up && conn.connection.is_flushed() && !conn.connection.corked;
        if let Some((byte, when)) = conn.last.as_mut().filter(|_| free) {
            *when = when.min(now + LAST_BYTE);
            if now >= *when && !conn.connection.eof && !conn.connection.broken {
                // Without a buffer it is looked at again, but not in a busy loop.
                *when = now + LAST_BYTE;
                if conn.connection.queue(&[*byte]) {
                    conn.last = None;
                    conn.connection.flush();
                }
            }
        }
        if let Some(task) = conn.task.as_mut() {
            if !task.whole && conn.up && conn.last.is_none() && conn.connection.is_flushed() {
                task.whole = true;
                self.sent.push(task.id);
            }
            match http::parse_response(conn.connection.bytes()) {
                // A word that the answer is still to come.
                Ok(Some(answer)) if answer.status < 200 => {
                    conn.connection.consume(answer.consumed);
                    return true;
                }
                // Guards against taking for delivered what never left: what an earlier answer had behind it says nothing of
                // this call, which begins to run with its last byte.
                Ok(Some(answer)) if answer.status == 200 && !task.whole => {
                    self.fail(at, Outcome::Failure, Outcome::NotSent, now);
                    return false;
                }
                Ok(Some(answer)) if answer.status == 200 => self.answered(at, answer, now),
                Ok(Some(answer)) => match whole(&answer, &conn.connection) {
                    Some(true) => self.answered(at, answer, now),
                    Some(false) => {
                        self.fail(at, Outcome::Failure, Outcome::Unreachable, now);
                        return false;
                    }
                    None => return self.begun(at, now, more),
                },
                // Its head may never end: what the first line says is all that is needed.
                Ok(None) if http::starts_with_status_200(conn.connection.bytes()) => {
                    self.said_200(at, now);
                    if !self.conns.contains(at) {
                        return false;
                    }
                }
                Ok(None) if conn.connection.broken || conn.connection.eof => {
                    self.fail(at, Outcome::ConnectionLost, Outcome::Unreachable, now);
                    return false;
                }
                Ok(None) => return self.begun(at, now, more),
                // Spoilt: it has run, and the region is well, so that this is not the reset of one that has gone.
                Err(http::Malformed) => {
                    self.fail(at, Outcome::Failure, Outcome::Unreachable, now);
                    return false;
                }
            }
        }
        self.settle(at, now);
        more && self.conns.contains(at)
    }

    /// An answer that has begun must soon be whole: one that never ends would hold a slot for all of its time.
    fn begun(&mut self, at: usize, now: Millis, more: bool) -> bool {
        let conn = &mut self.conns[at];
        if let Some(task) = conn
            .task
            .as_mut()
            .filter(|_| !conn.connection.bytes().is_empty())
        {
            task.deadline = task.deadline.min(now + BODY_TIME);
        }
        more
    }

    fn answered(&mut self, at: usize, answer: http::Response, now: Millis) {
        let conn = &mut self.conns[at];
        let Some(task) = conn.task.take() else { return };
        conn.connection.consume(answer.consumed);
        // An answer before the request was out whole: the connection is in no state to be used again.
        let keep = answer.keep && conn.connection.is_flushed() && conn.last.is_none();
        let wait = answer
            .header("x-backoff-ms")
            .and_then(|w| w.parse::<f64>().ok());
        let wait = nanos(
            wait.filter(|w| w.is_finite() && *w > 0.0)
                .unwrap_or(0.0)
                .min(3.6e6),
        );
        let full = answer.header("x-egress-full") == Some("1");
        let outcome = match answer.status {
            200 => Outcome::Success,
            503 if full => Outcome::NotSent,
            429 | 503 => Outcome::Overloaded { retry_after: wait },
            504 => Outcome::AttemptsExhausted,
            410 => Outcome::NotSent,
            _ => Outcome::Failure,
        };
        let rested = conn.rested;
        conn.rest = Some(Rest::Body(if keep { answer.body } else { Body::ToEnd }));
        conn.since = now;
        let (id, attempt, took) = (task.id, task.attempt, now - task.sent);
        self.results.push(AttemptResult {
            id,
            attempt,
            outcome,
            took,
            over: answer.status == 410,
        });
        self.was_good(rested);
        self.admitted(at, matches!(outcome, Outcome::Overloaded { .. }), wait > 0);
    }

    /// The first line of an answer says 200: its transaction is delivered. The connection is kept for what follows.
    /// Guards against a handshake for each answer that comes in pieces.
    fn said_200(&mut self, at: usize, now: Millis) {
        let conn = &mut self.conns[at];
        let stands = !conn.connection.eof && !conn.connection.broken;
        let Some(task) = conn.task.take_if(|t| t.whole && stands) else {
            return self.fail(at, Outcome::Success, Outcome::NotSent, now);
        };
        (conn.rest, conn.since) = (Some(Rest::Head), now);
        let rested = conn.rested;
        self.tell(task, Outcome::Success, now);
        self.was_good(rested);
        self.admitted(at, false, false);
    }

    /// A call was turned away or not: what this says of its region's room for connections. Where there is none, idle ones
    /// to regions of its kind are given back.
    fn admitted(&mut self, at: usize, away: bool, told: bool) {
        let conn = &mut self.conns[at];
        let kind = conn.kind;
        self.crowd.learn(kind, conn.admitted, away, told);
        conn.admitted |= !away;
        if away && self.crowd.is(kind) {
            self.close_idle_where(|conn| conn.kind == kind);
        }
    }

    /// A connection has carried an answer, behind such a rest.
    fn was_good(&mut self, rested: Option<Millis>) {
        self.resets *= RESETS.1;
        if let Some(rested) = rested {
            self.stale *= STALE.2;
            if self.stale < STALE.1 {
                (self.doubted, self.safe_rest) = (false, f64::INFINITY);
            } else if rested > self.safe_rest {
                self.safe_rest *= SAFE.1;
            }
        }
    }

    /// Reads what is left of an answer, and puts the connection among the idle ones, or closes it.
    fn settle(&mut self, at: usize, now: Millis) {
        let conn = &mut self.conns[at];
        if let Some(Rest::Head) = conn.rest {
            match http::parse_response(conn.connection.bytes()) {
                Ok(Some(answer)) => {
                    conn.connection.consume(answer.consumed);
                    let body = if answer.keep && !answer.spoilt {
                        answer.body
                    } else {
                        Body::ToEnd
                    };
                    conn.rest = Some(Rest::Body(body));
                }
                Ok(None) if !conn.connection.eof && !conn.connection.broken => return,
                _ => conn.rest = Some(Rest::Body(Body::ToEnd)),
            }
        }
        let input = conn.connection.bytes();
        let read = match conn.rest.as_mut() {
            Some(Rest::Head | Rest::Body(Body::ToEnd)) => None,
            Some(Rest::Body(body)) => body.feed(input, |_| {}),
            // Idle: nothing may come.
            None => input.is_empty().then_some((0, true)),
        };
        let gone = conn.connection.eof || conn.connection.broken;
        match read {
            // Where regions have none to spare, one that rests keeps another sender's call out.
            Some((_, true)) if self.crowd.is(conn.kind) => {
                self.conns.remove(at);
                self.idle.retain(|i| *i != at);
            }
            Some((used, true)) if !gone => {
                conn.connection.consume(used);
                if conn.rest.take().is_some() {
                    conn.since = now;
                    self.idle.push(at);
                }
            }
            Some((used, false)) if !gone => conn.connection.consume(used),
            _ => {
                self.conns.remove(at);
                self.idle.retain(|i| *i != at);
            }
        }
    }

    /// Gives up a routed task by closing its connection. One that never left whole never ran.
    pub fn cancel(&mut self, id: MessageId, attempt: u32, now: Millis) {
        let mine = |c: &Conn| c.task.is_some_and(|t| t.id == id && t.attempt == attempt);
        if let Some(at) = self.conns.iter().find(|(_, c)| mine(c)).map(|(at, _)| at)
            && !self.heard(at, now)
        {
            self.fail(at, Outcome::Cancelled, Outcome::NotSent, now);
        }
    }

    /// A last look at a call that is about to be given up: true if its answer has come meanwhile. Guards the wait that
    /// a loser was told, which binds from the moment when it was written. Nothing of the call leaves here.
    fn heard(&mut self, at: usize, now: Millis) -> bool {
        let conn = &mut self.conns[at];
        if conn.task.is_none() || !conn.up {
            return false;
        }
        // One that is turned away before its last byte has left is told to wait like any other.
        conn.connection.corked = conn.last.is_some() || !conn.connection.is_flushed();
        self.progress(at, now);
        self.conns.get(at).is_none_or(|c| c.task.is_none())
    }

    /// A look at all that is out, before the process goes: what has been answered must not count as what may have run.
    pub fn read_final_responses(&mut self, now: Millis) {
        let out: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, c)| c.task.is_some())
            .map(|(at, _)| at)
            .collect();
        out.into_iter()
            .for_each(|at| _ = self.conns.contains(at) && self.heard(at, now));
    }

    /// Takes back calls of which no byte has left: to a destination that has told us to wait, or a region that
    /// drains. Guards against a slow connection that carries a call into what forbids it.
    pub fn cancel_unsent(&mut self, which: impl Fn(u64, EndpointId) -> bool, now: Millis) {
        let unsent = |c: &Conn| {
            c.connection.written == 0 && c.task.is_some_and(|t| which(t.destination, c.region))
        };
        let held: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, c)| unsent(c))
            .map(|(at, _)| at)
            .collect();
        held.into_iter()
            .for_each(|at| self.fail(at, Outcome::NotSent, Outcome::NotSent, now));
    }

    /// Closes the idle connections to a region.
    pub fn close_idle(&mut self, region: EndpointId) {
        self.close_idle_where(|conn| conn.region == region);
    }

    fn close_idle_where(&mut self, which: impl Fn(&Conn) -> bool) {
        let conns = &mut self.conns;
        self.idle.retain(|at| {
            let keep = !which(&conns[*at]);
            if !keep {
                conns.remove(*at);
            }
            keep
        });
    }

    /// When a connection is over its time: its call, its coming up, what is left of an answer, its rest.
    fn over(&self, conn: &Conn) -> Millis {
        match (conn.task, &conn.rest) {
            (Some(task), _) if conn.up => task.deadline,
            (Some(task), _) => task.deadline.min(conn.opened + self.connect_timeout),
            (None, Some(_)) => conn.since + BODY_TIME,
            (None, None) => conn.since + self.idle_limit,
        }
    }

    /// When a connection wants a look, if nothing comes: it is over its time, or a last byte may leave.
    fn time(&self, conn: &Conn) -> Millis {
        self.over(conn)
            .min(conn.last.map_or(f64::INFINITY, |(_, when)| when))
    }

    pub fn next_deadline(&self) -> Millis {
        self.conns
            .iter()
            .map(|(_, c)| self.time(c))
            .fold(f64::INFINITY, f64::min)
    }

    pub fn expire_timeouts(&mut self, now: Millis) {
        let late = self
            .conns
            .iter()
            .filter(|(_, c)| self.time(c) <= now)
            .map(|(at, _)| at)
            .collect::<Vec<_>>();
        for at in late {
            // A last byte may leave now, but not of a call that is over its time, which would run for nobody.
            if self
                .conns
                .get(at)
                .is_some_and(|c| c.last.is_some() && self.over(c) > now)
            {
                self.progress(at, now);
            }
            if self.conns.get(at).is_some_and(|c| self.over(c) <= now) && !self.heard(at, now) {
                self.fail(at, Outcome::TimedOut, Outcome::Unreachable, now);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};

    /// A call of two bytes to one region.
    fn two_bytes(dear: bool) -> Call<'static> {
        let (id, region, attempt, destination) = (MessageId(1), EndpointId(1), 0, 7);
        let (timeout, latest, head, body) = (1e9, f64::INFINITY, &b"xy"[..], &b""[..]);
        Call {
            id,
            attempt,
            region,
            kind: 0,
            destination,
            timeout,
            latest,
            dear,
            head,
            body,
        }
    }

    /// A look at a connection; what is up begins.
    fn step(egress: &mut Egress, at: usize, now: Millis) -> bool {
        let more = egress.on_ready(at, now);
        egress.send_ready(|_, _| true, now);
        more
    }

    #[test]
    fn a_kept_connection_that_ends_under_a_call_is_stale_and_dear_calls_then_avoid_such_rests() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
        let mut egress = Egress::new(&events.handle(), &BufferPool::new(8), 9, 1_000.0, 15_000.0);
        let start = |egress: &mut Egress, dear: bool, now: Millis| {
            egress.start(&two_bytes(dear), address, now);
            // Once a reset has been met, its last byte leaves a little later.
            for now in [now, now + LAST_BYTE] {
                for at in 0..9 {
                    step(egress, at, now);
                }
            }
        };
        let ended = |egress: &mut Egress, now: Millis| {
            while egress.results.is_empty() {
                for at in 0..9 {
                    step(egress, at, now);
                }
            }
            egress.results.pop().unwrap().outcome
        };
        let answer = |peer: &mut std::net::TcpStream| {
            peer.read_exact(&mut [0; 2]).unwrap();
            peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .unwrap();
        };
        for _ in 0..2 {
            start(&mut egress, false, 0.0);
            let (mut peer, _) = listener.accept().unwrap();
            for at in 0..9 {
                step(&mut egress, at, 0.0);
            }
            answer(&mut peer);
            assert_eq!(ended(&mut egress, 5.0), Outcome::Success);
            start(&mut egress, true, 105.0);
            peer.read_exact(&mut [0; 2]).unwrap();
            drop(peer);
            assert_eq!(
                ended(&mut egress, 106.0),
                Outcome::StaleConnection,
                "it had rested for 100 ms"
            );
        }
        start(&mut egress, true, 1_000.0);
        let (mut peer, _) = listener.accept().unwrap();
        for at in 0..9 {
            step(&mut egress, at, 1_000.0);
        }
        answer(&mut peer);
        assert_eq!(ended(&mut egress, 1_000.0), Outcome::Success);
        for (dear, rest, opened) in [(true, 79.0, 3), (false, 200.0, 3), (true, 90.0, 4)] {
            let now = 1_000.0 + rest;
            start(&mut egress, dear, now);
            assert_eq!(
                egress.connections_opened, opened,
                "dear={dear} after {rest} ms"
            );
            if opened == 3 {
                answer(&mut peer);
                assert_eq!(ended(&mut egress, 1_000.0), Outcome::Success);
            }
        }
    }

    #[test]
    fn an_answer_that_has_come_is_heard_though_its_call_is_called_off_or_out_of_time() {
        // Guards the wait of a loser: it binds from when it was written, whoever stops listening then.
        for called_off in [true, false] {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let mut events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
            let pool = BufferPool::new(8);
            let mut egress = Egress::new(&events.handle(), &pool, 9, 1_000.0, 15_000.0);
            egress.start(
                &Call {
                    timeout: 500.0,
                    ..two_bytes(false)
                },
                address,
                0.0,
            );
            let (mut peer, _) = listener.accept().unwrap();
            while !egress.conns[0].connection.is_flushed() || !egress.conns[0].up {
                step(&mut egress, 0, 0.0);
            }
            peer.read_exact(&mut [0; 2]).unwrap();
            let mut ready = crate::event_source::Ready::default();
            events
                .dispatch(Some(std::time::Duration::ZERO), &mut ready)
                .unwrap();
            ready.keys.clear();
            peer.write_all(b"HTTP/1.1 429 Full\r\nX-Backoff-Ms: 900\r\nContent-Length: 0\r\n\r\n")
                .unwrap();
            while ready.keys.is_empty() {
                events.dispatch(None, &mut ready).unwrap();
            }
            if called_off {
                egress.cancel(MessageId(1), 0, 100.0)
            } else {
                egress.expire_timeouts(500.0)
            }
            let outcomes: Vec<Outcome> = egress.results.drain(..).map(|d| d.outcome).collect();
            assert_eq!(
                outcomes,
                [Outcome::Overloaded {
                    retry_after: 900_000_000
                }],
                "called off: {called_off}"
            );
            let lent: Vec<_> = (0..9).map_while(|_| pool.take()).collect();
            assert_eq!(lent.len(), 8, "all its buffers are back, once");
        }
    }

    #[test]
    fn while_connections_are_reset_a_dear_call_that_meets_one_is_proven_never_to_have_run() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
        let mut egress = Egress::new(&events.handle(), &BufferPool::new(8), 9, 1_000.0, 15_000.0);
        let mut dear_call = |now: Millis, whole: bool| {
            egress.start(
                &Call {
                    head: b"he",
                    body: b"body",
                    ..two_bytes(true)
                },
                address,
                now,
            );
            let (mut peer, _) = listener.accept().unwrap();
            while egress
                .conns
                .iter()
                .any(|(at, c)| !c.up || !c.connection.is_flushed() || at > 0)
            {
                step(&mut egress, 0, now);
            }
            peer.read_exact(&mut [0; 5]).unwrap();
            if whole {
                assert!(
                    egress.next_deadline() <= now + LAST_BYTE,
                    "it is not forgotten"
                );
                egress.expire_timeouts(now + LAST_BYTE);
                peer.read_exact(&mut [0]).unwrap();
            }
            drop(peer);
            while egress.results.is_empty() {
                step(&mut egress, 0, if whole { now + LAST_BYTE } else { now });
            }
            egress.results.pop().unwrap().outcome
        };
        assert_eq!(
            dear_call(0.0, false),
            Outcome::ConnectionLost,
            "nothing was known: all of it had left"
        );
        assert_eq!(
            dear_call(10.0, false),
            Outcome::NotSent,
            "its last byte had not left"
        );
        assert_eq!(dear_call(20.0, true), Outcome::ConnectionLost, "it had");
    }

    /// What an answer's bytes come to, written in pieces of such a size with a look behind each; after a cut, the region
    /// leaves, with its last piece. And whether the connection is kept.
    fn heard_in_pieces(answer: &[u8], cut: Option<usize>, size: usize) -> (Outcome, bool) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
        let mut egress = Egress::new(&events.handle(), &BufferPool::new(8), 9, 1_000.0, 15_000.0);
        let (id, region, attempt, destination, timeout) = (MessageId(1), EndpointId(1), 0, 7, 1e9);
        let (dear, head, body) = (true, &b"xy"[..], &b""[..]);
        egress.start(
            &Call {
                id,
                attempt,
                region,
                kind: 0,
                destination,
                timeout,
                latest: f64::INFINITY,
                dear,
                head,
                body,
            },
            address,
            0.0,
        );
        let (mut peer, _) = listener.accept().unwrap();
        peer.set_nodelay(true).unwrap();
        while egress.sent.is_empty() {
            step(&mut egress, 0, 0.0);
        }
        peer.read_exact(&mut [0; 2]).unwrap();
        let mut ready = crate::event_source::Ready::default();
        events
            .dispatch(Some(std::time::Duration::ZERO), &mut ready)
            .unwrap();
        ready.keys.clear();
        let mut look = |egress: &mut Egress, wanted: bool| {
            // What was written is on its way: the loop says when it is there.
            while wanted && ready.keys.is_empty() {
                events.dispatch(None, &mut ready).unwrap();
            }
            ready.keys.clear();
            step(egress, 0, 1.0);
        };
        let mut pieces = answer[..cut.unwrap_or(answer.len())]
            .chunks(size)
            .peekable();
        while let Some(piece) = pieces.next() {
            peer.write_all(piece).unwrap();
            if pieces.peek().is_some() || cut.is_none() {
                let there = egress.conns.contains(0);
                look(&mut egress, there);
            }
        }
        if cut.is_some() {
            drop(peer);
            let there = egress.conns.contains(0);
            look(&mut egress, there);
        }
        assert_eq!(
            egress.results.len(),
            1,
            "one outcome, of {answer:?} cut at {cut:?}"
        );
        (egress.results.pop().unwrap().outcome, egress.idle == [0])
    }

    #[test]
    fn an_answer_in_pieces_means_what_it_means_whole_and_its_connection_is_kept() {
        // Guards against a handshake for each answer whose head comes in more than one piece.
        let full = Outcome::Overloaded {
            retry_after: 900_000_000,
        };
        for (answer, outcome) in [
            (
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                Outcome::Success,
            ),
            (
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                Outcome::Success,
            ),
            (
                "HTTP/1.1 429 Full\r\nX-Backoff-Ms: 900\r\nContent-Length: 2\r\n\r\nno",
                full,
            ),
            (
                "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",
                Outcome::Failure,
            ),
        ] {
            assert_eq!(
                heard_in_pieces(answer.as_bytes(), None, 1),
                (outcome, true),
                "{answer}"
            );
            let line = answer.find('\n').unwrap();
            for (cut, size) in (0..answer.len()).flat_map(|cut| [(cut, 1), (cut, answer.len())]) {
                let (heard, kept) = heard_in_pieces(answer.as_bytes(), Some(cut), size);
                assert!(!kept, "{answer} cut at {cut}");
                match (outcome, heard) {
                    // A first line of 200 is a delivery; what else is not whole proves nothing.
                    (Outcome::Success, Outcome::Success) => {
                        assert!(cut > line, "{answer} cut at {cut}")
                    }
                    (_, Outcome::ConnectionLost) => {
                        assert!(outcome != Outcome::Success || cut <= line, "{answer} {cut}")
                    }
                    (_, heard) => assert_eq!(heard, Outcome::Failure, "{answer} cut at {cut}"),
                }
            }
        }
    }

    #[test]
    fn idle_connections_make_room_for_new_ones_and_one_that_idled_too_long_is_closed() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
        let mut egress = Egress::new(&events.handle(), &BufferPool::new(8), 1, 1_000.0, 15_000.0);
        for region in 0..3 {
            let (id, region) = (MessageId(region), EndpointId(region as u32));
            let (attempt, destination, timeout, dear) = (0, 7, 1e9, false);
            let (head, body) = (&b"x"[..], &b""[..]);
            egress.start(
                &Call {
                    id,
                    attempt,
                    region,
                    kind: 0,
                    destination,
                    timeout,
                    latest: f64::INFINITY,
                    dear,
                    head,
                    body,
                },
                address,
                5.0,
            );
            let (mut peer, _) = listener.accept().unwrap();
            while egress.conns.iter().any(|(_, c)| !c.connection.is_flushed()) {
                step(&mut egress, 0, 5.0);
                step(&mut egress, 1, 5.0);
            }
            peer.read_exact(&mut [0]).unwrap();
            peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .unwrap();
            while egress.results.is_empty() {
                step(&mut egress, 0, 6.0);
                step(&mut egress, 1, 6.0);
            }
            assert_eq!(egress.results.pop().unwrap().outcome, Outcome::Success);
            assert_eq!(
                (egress.conns.len(), egress.idle.len()),
                (1, 1),
                "the one before went"
            );
        }
        assert!(
            egress.next_deadline() < 15_000.0,
            "before the region's own limit"
        );
        egress.expire_timeouts(egress.next_deadline());
        assert!(egress.conns.is_empty() && egress.idle.is_empty() && egress.results.is_empty());
    }

    #[rstest::rstest]
    #[case::for_want_of_connections("503 Full", "", 0, true)]
    #[case::above_a_told_limit("429 Full", "X-Backoff-Ms: 900\r\n", 0, false)]
    #[case::at_another_kind("503 Full", "", 1, false)]
    fn idle_connections_are_given_back_where_a_kind_has_none_to_spare(
        #[case] status: &str,
        #[case] wait: &str,
        #[case] kind: usize,
        #[case] given_back: bool,
    ) {
        // Guards those who have no connection: who has one never meets a refusal, and would keep it for good.
        let listener = || std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let regions_at = [listener(), listener()];
        let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
        let mut egress = Egress::new(&events.handle(), &BufferPool::new(8), 9, 1_000.0, 15_000.0);
        let mut exchange = |region: usize, kind: usize, answer: &str| {
            let (id, at) = (MessageId(1), regions_at[region].local_addr().unwrap());
            let (head, body, region_id) = (&b"xy"[..], &b""[..], EndpointId(region as u32));
            let (attempt, destination, timeout, dear, opened) =
                (0, 7, 1e9, false, egress.connections_opened);
            let call = Call {
                id,
                attempt,
                region: region_id,
                kind,
                destination,
                timeout,
                latest: f64::INFINITY,
                dear,
                head,
                body,
            };
            egress.start(&call, at, 0.0);
            // Each is answered on a connection of its own, which its region ends where it has turned it away.
            assert_eq!(egress.connections_opened, opened + 1);
            let (mut peer, _) = regions_at[region].accept().unwrap();
            while egress.sent.is_empty() {
                (0..9).for_each(|at| _ = step(&mut egress, at, 0.0));
            }
            egress.sent.clear();
            peer.read_exact(&mut [0; 2]).unwrap();
            peer.write_all(answer.as_bytes()).unwrap();
            while egress.results.pop().is_none() {
                (0..9).for_each(|at| _ = step(&mut egress, at, 0.0));
            }
            (peer, egress.idle.len())
        };
        let (mut kept, idle) = exchange(0, 0, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(idle, 1, "it is kept while nothing speaks against it");
        let away =
            format!("HTTP/1.1 {status}\r\n{wait}Content-Length: 0\r\nConnection: close\r\n\r\n");
        let left = (0..3)
            .map(|_| exchange(1, kind, &away).1)
            .collect::<Vec<_>>();
        assert_eq!(
            left,
            [1, 1, usize::from(!given_back)],
            "from the third on it is beyond chance"
        );
        kept.set_nonblocking(true).unwrap();
        assert_eq!(
            kept.read(&mut [0]).is_ok_and(|n| n == 0),
            given_back,
            "its region sees it end"
        );
    }

    /// Regions with one call to a peer, which has its connection; dear calls hold their last byte back.
    fn one_call(
        latest: Millis,
    ) -> (
        Egress,
        std::net::TcpStream,
        calloop::EventLoop<'static, crate::event_source::Ready>,
    ) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
        let mut egress = Egress::new(&events.handle(), &BufferPool::new(8), 9, 1_000.0, 15_000.0);
        egress.resets = RESETS.0;
        let call = Call {
            timeout: 500.0,
            latest,
            ..two_bytes(true)
        };
        egress.start(&call, listener.local_addr().unwrap(), 0.0);
        let (peer, _) = listener.accept().unwrap();
        (egress, peer, events)
    }

    fn all_of(mut peer: std::net::TcpStream) -> Vec<u8> {
        peer.set_read_timeout(Some(std::time::Duration::from_secs(20)))
            .unwrap();
        let mut text = Vec::new();
        let _ = peer.read_to_end(&mut text);
        text
    }

    #[rstest::rstest]
    #[case::within_its_window(100.0, b"xy")]
    #[case::past_it(99.0, b"")]
    fn a_call_whose_connection_comes_up_past_its_window_never_begins(
        #[case] latest: Millis,
        #[case] left: &[u8],
    ) {
        // Guards against a second effect: decided within what the partner remembers of a key, it would run behind it.
        let (mut egress, peer, _events) = one_call(latest);
        for _ in 0..100_000 {
            if !egress.results.is_empty() || !egress.sent.is_empty() {
                break;
            }
            egress.on_ready(0, 100.0);
            egress.send_ready(|_, _| true, 100.0);
            egress.on_ready(0, 100.0 + LAST_BYTE);
        }
        assert_eq!(
            egress.results.pop().map(|d| d.outcome),
            left.is_empty().then_some(Outcome::NotSent)
        );
        drop(egress);
        assert_eq!(all_of(peer), left);
    }

    #[rstest::rstest]
    #[case::turned_away_and_called_off("429 Full", true, Outcome::Overloaded { retry_after: 900_000_000 })]
    #[case::turned_away_and_out_of_time("429 Full", false, Outcome::Overloaded { retry_after: 900_000_000 })]
    #[case::confirmed_and_called_off("200 OK", true, Outcome::NotSent)]
    fn what_is_answered_before_a_calls_last_byte_counts_for_what_it_can_be(
        #[case] status: &str,
        #[case] called_off: bool,
        #[case] outcome: Outcome,
    ) {
        // Guards a told wait, which binds from when it was written; and a message that a stray 200 would have ended with
        // no call, as nothing runs before its last byte.
        let (mut egress, mut peer, _events) = one_call(f64::INFINITY);
        peer.set_read_timeout(Some(std::time::Duration::from_secs(20)))
            .unwrap();
        for _ in 0..100_000 {
            if egress.conns[0].connection.written > 0 {
                break;
            }
            egress.on_ready(0, 1.0);
            egress.send_ready(|_, _| true, 1.0);
        }
        peer.read_exact(&mut [0]).unwrap();
        peer.write_all(
            format!("HTTP/1.1 {status}\r\nX-Backoff-Ms: 900\r\nContent-Length: 0\r\n\r\n")
                .as_bytes(),
        )
        .unwrap();
        match called_off {
            true => egress.cancel(MessageId(1), 0, 2.0),
            false => egress.expire_timeouts(500.0),
        }
        assert_eq!(
            egress.results.iter().map(|d| d.outcome).collect::<Vec<_>>(),
            [outcome]
        );
        drop(egress);
        assert_eq!(all_of(peer), b"", "its last byte has not left");
    }

    #[rstest::rstest]
    #[case::by_a_drain_of_its_region(EndpointId(1), 0, true)]
    #[case::by_a_wait_of_its_destination(EndpointId(9), 7, true)]
    #[case::not_by_those_of_others(EndpointId(9), 9, false)]
    fn a_call_that_has_not_begun_is_held_back(
        #[case] drains: EndpointId,
        #[case] waits: u64,
        #[case] held: bool,
    ) {
        // Guards a drain and a told wait against a connection that comes up behind them.
        let (mut egress, peer, _events) = one_call(f64::INFINITY);
        egress.cancel_unsent(
            |destination, region| region == drains || destination == waits,
            1.0,
        );
        assert_eq!(
            egress.results.pop().map(|d| d.outcome),
            held.then_some(Outcome::NotSent)
        );
        for _ in 0..100 {
            step(&mut egress, 0, 1.0);
            step(&mut egress, 0, 1.0 + LAST_BYTE);
        }
        drop(egress);
        assert_eq!(all_of(peer), if held { &b""[..] } else { b"xy" });
    }
}
