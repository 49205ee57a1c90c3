//! Owns runs on sockets: the model's partners, discovery, the platform's reports and the clients, all on loopback in
//! one process and one loop, round senders that are processes of their own. It must never judge: what crosses its
//! sockets goes to the judge and the tally as facts, the same as in simulated time.

pub mod child;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use calloop::EventLoop;
use martenlatch_clock::{Clock, Millis};
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_http::{self as http, Handle, Parsed, Ready};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use slab::Slab;

use crate::clients::{ClientMessage, Clients, HandIn};
use crate::delay_queue::Scheduled;
use crate::event_log::{Fact, Silence, What};
use crate::experiment::{Effect, Experiment, Variant, What as Fails};
use crate::judge::{ClassRule, Judge, Verdict};
use crate::load::{self, PlannedMessage};
use crate::model::environment::{
    Delivery, Environment, ListedState, OutageChange, REPLACEMENT_OVERLAP, Replacement,
};
use crate::model::partner::{self, Admission, Answer, Progress, Reply};
use crate::sampling::{Stream, bernoulli, rng_for, uniform};
use crate::sim;
use crate::tally::{Figures, Tally};
use child::{Sender, Used};

/// A client waits so long for the answer to a handing in.
const CLIENT_WAIT: Millis = 400.0;
const SAMPLE: Millis = 100.0;
/// Discovery says at least this often that it is there.
const HEARTBEAT: Millis = 2_000.0;
/// SIGKILL comes so long after SIGTERM, for one that has not ended by itself.
const KILL_AFTER: Millis = 3_700.0;
/// Connections of clients that may idle, and the buffers of all.
const BUFFERS: usize = 4_096;

type Connection = martenlatch_http::Connection<usize>;

/// What a run on sockets was.
#[derive(Debug)]
pub struct Played {
    /// Its figures.
    pub figures: Figures,
    /// What the judge found.
    pub verdict: Verdict,
    /// What all senders used together, by the second: the machine's and not the seed's.
    pub used: Vec<Used>,
    /// The longest that anything here was late, in milliseconds.
    pub late: Millis,
}

/// A run in which the laboratory itself was later than this says nothing of the sender.
pub const LATE: Millis = 150.0;

#[derive(Clone, Copy, Debug)]
enum Ev {
    Come(usize),
    HandIn {
        origin: u64,
    },
    Silent {
        client: usize,
        id: u64,
    },
    CallIn {
        call: u64,
    },
    Write {
        call: u64,
        reply: Reply,
    },
    Due {
        partner: u32,
    },
    Edge,
    Fails {
        failure: usize,
    },
    Replace {
        failure: usize,
        turn: usize,
    },
    Retire {
        endpoint: u32,
    },
    Tell {
        sender: u32,
        endpoint: u32,
        state: &'static str,
    },
    Kill {
        sender: u32,
        life: u32,
    },
    Start {
        sender: u32,
    },
    Sample,
    Beat,
}

/// A socket of the laboratory's.
enum Peer {
    Endpoint {
        endpoint: u32,
        listener: Rc<TcpListener>,
    },
    Agent {
        sender: u32,
        listener: Rc<TcpListener>,
    },
    /// A sender's connection to an endpoint; `calls` counts what came on it.
    Call {
        endpoint: u32,
        connection: Connection,
        busy: Option<u64>,
        calls: u32,
        since: Millis,
        dead: bool,
    },
    /// A sender's connection to its agent.
    Asks {
        sender: u32,
        connection: Connection,
        watch: bool,
        /// What its socket has not taken yet.
        pending: VecDeque<u8>,
    },
    Client {
        sender: u32,
        connection: Connection,
        id: Option<u64>,
    },
}

struct Held {
    origin: u64,
    sender: u32,
    attempts: u32,
    /// When it may first have run, as the endpoints know.
    ran: Option<Millis>,
    over: bool,
}

struct Call {
    id: u64,
    peer: usize,
    partner: u32,
    endpoint: u32,
    breaks: bool,
}

/// A sender as the rig sees it.
struct Seat {
    child: Sender,
    up: bool,
    life: u32,
    /// Told to end, or killed: its end is no crash; and when it starts again after that.
    ending: Option<Millis>,
    known: HashMap<u32, &'static str>,
    rev: u64,
    idle: Vec<usize>,
}

struct Rig<'a> {
    x: &'a Experiment,
    seed: u64,
    ground: Environment,
    clients: Clients<'a>,
    addresses: Vec<SocketAddr>,
    open: Vec<u32>,
    clock: Clock,
    start: Millis,
    queue: BinaryHeap<Reverse<Scheduled<Ev>>>,
    seq: u64,
    plan: Vec<PlannedMessage>,
    held: HashMap<u64, Held>,
    calls: HashMap<u64, Call>,
    next_call: u64,
    next_id: u64,
    peers: Slab<Peer>,
    seats: Vec<Seat>,
    /// Listeners of endpoints that have gone.
    vacant: Vec<usize>,
    handle: Handle<usize>,
    pool: BufferPool,
    judge: Judge,
    tally: Tally,
    used: Vec<Used>,
    open_messages: u64,
    late: Millis,
    /// The senders' disks take nothing more.
    full: bool,
    fault: Option<String>,
}

/// The sender beside the laboratory: the same folder, or the one above for tests.
pub fn beside() -> PathBuf {
    let here = std::env::current_exe().unwrap_or_default();
    let folder = here.parent().map(|f| {
        if f.ends_with("deps") {
            f.parent().unwrap_or(f)
        } else {
            f
        }
    });
    folder
        .unwrap_or(std::path::Path::new("."))
        .join("martenlatch")
}

/// Plays one variant with one seed on sockets. Once `stop` is set, it ends at once and the run counts for nothing.
///
/// # Errors
/// Where a sender does not start or ends by itself, a port is taken, or the run was stopped.
pub fn play(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    stop: &AtomicBool,
) -> Result<Played, String> {
    let mut events =
        EventLoop::<Ready<usize>>::try_new().map_err(|e| format!("no event loop: {e}"))?;
    let mut rig = Rig::new(experiment, variant, seed, events.handle())?;
    let longest = experiment
        .world
        .classes
        .iter()
        .map(|c| c.deadline)
        .fold(0.0, f64::max);
    let end = experiment.length + longest + 2_000.0;
    rig.begin()?;
    let mut ready = Ready::default();
    loop {
        if stop.load(Ordering::Relaxed) {
            return Err("stopped".into());
        }
        rig.round(std::mem::take(&mut ready.keys));
        if let Some(fault) = rig.fault.take() {
            return Err(fault);
        }
        // Nothing is owed any more: the rest of the time would only be waited out.
        let idle = rig.now() > experiment.length && rig.open_messages == 0 && rig.calls.is_empty();
        let settled =
            idle && rig.seats.iter().all(|s| s.up) && rig.now() > experiment.length + 4_000.0;
        if rig.now() > end || settled {
            break;
        }
        let due = rig
            .queue
            .peek()
            .map_or(5.0, |Reverse(t)| t.at - rig.now())
            .clamp(0.0, 5.0);
        events
            .dispatch(Duration::from_secs_f64(due / 1e3), &mut ready)
            .map_err(|e| format!("the loop failed: {e}"))?;
    }
    Ok(Played {
        figures: rig.tally.end(),
        verdict: rig.judge.end(end.max(rig.clock.now() - rig.start)),
        used: rig.used,
        late: rig.late,
    })
}

fn bound() -> Result<(Rc<TcpListener>, SocketAddr), String> {
    let made = TcpListener::bind("127.0.0.1:0").and_then(|l| {
        l.set_nonblocking(true)?;
        let address = l.local_addr()?;
        Ok((Rc::new(l), address))
    });
    made.map_err(|e| format!("no port for an endpoint: {e}"))
}

/// Moves what waits into a connection, as far as that takes it: a whole list may be more than a buffer holds.
fn drain(connection: &mut Connection, pending: &mut VecDeque<u8>) {
    while connection.flush() && !pending.is_empty() {
        let part: Vec<u8> = pending.drain(..pending.len().min(32 * 1024)).collect();
        connection.queue(&part);
    }
}

/// The bytes that a handing in carries: its own, so that a mix-up would show.
fn body(id: u64) -> String {
    format!("message {id} {}", "x".repeat((id % 300) as usize))
}

impl<'a> Rig<'a> {
    fn new(
        x: &'a Experiment,
        v: &Variant,
        seed: u64,
        handle: Handle<usize>,
    ) -> Result<Rig<'a>, String> {
        let ground = Environment::new(x, seed);
        let settings = sim::settings(x, v, &ground.site);
        settings
            .check()
            .map_err(|e| format!("variant {:?}: {e}", v.name))?;
        let names = |all: &mut dyn Iterator<Item = &String>| all.cloned().collect::<Vec<String>>();
        let classes = names(&mut x.world.classes.iter().map(|c| &c.name));
        let kinds = names(&mut x.world.kinds.iter().map(|k| &k.name));
        let rules = x
            .world
            .classes
            .iter()
            .map(|c| ClassRule {
                effect: c.effect,
                window: c.window,
            })
            .collect();
        let mut rig = Rig {
            plan: load::plan(x, &ground.site, &ground.faults, seed),
            clients: Clients::new(x, seed),
            addresses: Vec::new(),
            open: Vec::new(),
            clock: Clock::system(),
            start: 0.0,
            queue: BinaryHeap::new(),
            seq: 0,
            held: HashMap::new(),
            calls: HashMap::new(),
            next_call: 0,
            next_id: 0,
            peers: Slab::new(),
            seats: Vec::new(),
            vacant: Vec::new(),
            handle,
            pool: BufferPool::new(BUFFERS),
            judge: Judge::new(rules, v.max_attempts),
            tally: Tally::new(&x.world.classes, 0.0, x.length),
            used: Vec::new(),
            open_messages: 0,
            late: 0.0,
            full: false,
            fault: None,
            x,
            seed,
            ground,
        };
        for endpoint in 0..rig.ground.owner.len() as u32 {
            rig.endpoint(endpoint)?;
        }
        let set = child::platform_settings(&settings, &classes, &kinds);
        let known: HashMap<u32, &'static str> = (0..rig.ground.owner.len() as u32)
            .map(|e| (e, "in_service"))
            .collect();
        for no in 0..x.world.senders {
            let (listener, address) = bound()?;
            let program = v.program.clone().unwrap_or_else(beside);
            let child = Sender::new(no, &program, v.settings.as_deref(), address, &set, seed)?;
            let known = known.clone();
            let (up, life, ending, rev, idle) = (false, 0, None, 1, Vec::new());
            rig.seats.push(Seat {
                child,
                up,
                life,
                ending,
                known,
                rev,
                idle,
            });
            rig.listen(listener, |listener| Peer::Agent {
                sender: no,
                listener,
            })?;
        }
        if v.learns {
            let all = rig
                .seats
                .iter()
                .enumerate()
                .map(|(no, s)| s.child.peer_address(no as u32));
            let all: Vec<SocketAddr> = all.collect::<Result<_, _>>()?;
            for (seat, own) in rig.seats.iter_mut().zip(&all) {
                seat.child.meets(*own, &all)?;
            }
        }
        Ok(rig)
    }

    fn listen(
        &mut self,
        listener: Rc<TcpListener>,
        peer: impl FnOnce(Rc<TcpListener>) -> Peer,
    ) -> Result<(), String> {
        let at = self.peers.insert(peer(listener.clone()));
        http::register(&self.handle, listener, at)
            .map(drop)
            .map_err(|e| format!("no socket: {e}"))
    }

    /// Gives a new endpoint a port of its own.
    fn endpoint(&mut self, endpoint: u32) -> Result<(), String> {
        let (listener, address) = bound()?;
        self.addresses.push(address);
        self.open.push(0);
        self.listen(listener, |listener| Peer::Endpoint { endpoint, listener })
    }

    fn entry(&self, endpoint: u32, state: &str) -> Value {
        let partner = self.ground.partner_of(endpoint);
        let drawn = &self.ground.site.partners[partner as usize];
        json!({"uid": format!("s-{endpoint}"), "endpoint": self.addresses[endpoint as usize].to_string(), "az": "a",
            "model": self.x.world.kinds[drawn.kind].name, "pod_group": partner, "state": state,
            "capacity_hint": drawn.advertised_weight, "boot_ms": 0})
    }

    fn now(&self) -> Millis {
        self.clock.now() - self.start
    }

    fn at(&mut self, at: Millis, ev: Ev) {
        self.seq += 1;
        self.queue.push(Reverse(Scheduled {
            at,
            sequence: self.seq,
            event: ev,
        }));
    }

    fn fact(&mut self, what: What) {
        let fact = Fact {
            at: self.now(),
            what,
        };
        self.judge.hear(&fact);
        self.tally.hear(&fact);
    }

    fn travel(&self, a: u64, b: u64) -> Millis {
        uniform(
            &mut rng_for(self.seed, Stream::Travel, a, b),
            self.x.world.latency,
        )
    }

    /// Starts every sender, waits until all serve, and begins the run's time.
    fn begin(&mut self) -> Result<(), String> {
        let first: Vec<usize> = (0..self.seats.len())
            .filter(|no| self.x.join_time(*no as u32).is_none())
            .collect();
        for no in &first {
            self.launch(*no as u32)?;
        }
        self.start = self.clock.now();
        for no in first.iter().copied() {
            while !self.seats[no].child.ready()? {
                if let Some(code) = self.seats[no].child.ended() {
                    return Err(self.seats[no].child.obituary(code));
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        self.start = self.clock.now();
        for no in first {
            self.came_up(no as u32);
        }
        if !self.plan.is_empty() {
            self.at(self.plan[0].at, Ev::Come(0));
        }
        for (i, f) in self.x.failures.iter().enumerate() {
            let first = if f.what == Fails::Replace {
                Ev::Replace {
                    failure: i,
                    turn: 0,
                }
            } else {
                Ev::Fails { failure: i }
            };
            self.at(f.start, first);
            self.at(f.end, Ev::Edge);
        }
        self.at(0.0, Ev::Sample);
        self.at(HEARTBEAT, Ev::Beat);
        Ok(())
    }

    /// The list as a sender was last told it.
    fn whole_list(&self, sender: u32) -> Value {
        let seat = &self.seats[sender as usize];
        let mut known: Vec<(u32, &'static str)> =
            seat.known.iter().map(|(e, s)| (*e, *s)).collect();
        known.sort_unstable();
        let entries: Vec<Value> = known.into_iter().map(|(e, s)| self.entry(e, s)).collect();
        json!({"rev": seat.rev, "all": true, "targets": entries})
    }

    fn launch(&mut self, sender: u32) -> Result<(), String> {
        let known = self.whole_list(sender);
        let child = &mut self.seats[sender as usize].child;
        child.configure(known)?;
        child.start()?;
        if self.full {
            child.full_disk(true)
        } else {
            Ok(())
        }
    }

    fn came_up(&mut self, sender: u32) {
        let seat = &mut self.seats[sender as usize];
        (seat.up, seat.ending) = (true, None);
        let mut known: Vec<(u32, bool)> = seat
            .known
            .iter()
            .map(|(e, s)| (*e, *s == "in_service"))
            .collect();
        known.sort_unstable();
        for (endpoint, on) in known {
            let partner = self.ground.partner_of(endpoint);
            self.fact(What::Listed {
                sender,
                endpoint,
                partner,
                on,
            });
        }
        self.fact(What::Ready { sender });
    }

    fn round(&mut self, ready: Vec<usize>) {
        for at in ready {
            self.ready(at);
        }
        while self
            .queue
            .peek()
            .is_some_and(|Reverse(t)| t.at <= self.now())
        {
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.late = self.late.max(self.now() - next.at);
            self.take(next.event);
        }
        for no in 0..self.seats.len() {
            match self.seats[no].child.ready() {
                Ok(true) => self.came_up(no as u32),
                Ok(false) => {}
                Err(e) => self.fault = Some(e),
            }
        }
    }

    fn take(&mut self, ev: Ev) {
        match ev {
            Ev::Come(at) => {
                let origin = self.clients.register(self.plan[at]);
                self.hand_in(origin);
                if at + 1 < self.plan.len() {
                    self.at(self.plan[at + 1].at, Ev::Come(at + 1));
                }
            }
            Ev::HandIn { origin } => self.hand_in(origin),
            Ev::Silent { client, id } => self.gave_up(client, id),
            Ev::CallIn { call } => self.call_in(call),
            Ev::Write { call, reply } => self.write(call, reply),
            Ev::Due { partner } => self.partner_due(partner),
            Ev::Edge => self.edge(),
            Ev::Fails { failure } => self.fails(failure),
            Ev::Replace { failure, turn } => self.replace(failure, turn),
            Ev::Retire { endpoint } => self.retire(endpoint),
            Ev::Tell {
                sender,
                endpoint,
                state,
            } => self.tell(sender, endpoint, state),
            Ev::Kill { sender, life } => {
                if self.seats[sender as usize].life == life
                    && self.seats[sender as usize].ending.is_some()
                {
                    self.seats[sender as usize].child.kill();
                    self.gone(sender);
                }
            }
            Ev::Start { sender } => {
                if let Err(e) = self.launch(sender) {
                    self.fault = Some(e);
                }
            }
            Ev::Sample => self.sample(),
            Ev::Beat => {
                let now = self.now();
                if self.ground.faults.discovery_up(now) {
                    let watches: Vec<usize> = self.watches(None);
                    watches
                        .into_iter()
                        .for_each(|at| self.push(at, "1\r\n\n\r\n"));
                }
                self.at(now + HEARTBEAT, Ev::Beat);
            }
        }
    }

    fn sample(&mut self) {
        let now = self.now();
        self.tally.held(now, self.open_messages);
        let mut sum = Used::default();
        for no in 0..self.seats.len() {
            let used = self.seats[no].child.used();
            (sum.cpu_ms, sum.memory_kb) =
                (sum.cpu_ms + used.cpu_ms, sum.memory_kb + used.memory_kb);
            if let Some(code) = self.seats[no].child.ended() {
                if self.seats[no].ending.is_none() || code != Some(0) {
                    self.fault = Some(self.seats[no].child.obituary(code));
                    return;
                }
                self.gone(no as u32);
            }
        }
        if now >= self.used.len() as f64 * 1e3 {
            self.used.push(sum);
        }
        self.at(now + SAMPLE, Ev::Sample);
    }

    /// A sender's process has ended as it was meant to; it starts again after its pause.
    fn gone(&mut self, sender: u32) {
        let seat = &mut self.seats[sender as usize];
        let after = seat.ending.unwrap_or(0.0);
        (seat.up, seat.life) = (false, seat.life + 1);
        self.fact(What::Gone { sender });
        self.at(self.now() + after, Ev::Start { sender });
    }

    // ---- Sockets -----------------------------------------------------------------------------------------------

    fn ready(&mut self, at: usize) {
        match self.peers.get_mut(at) {
            Some(Peer::Endpoint { endpoint, listener }) => {
                let (endpoint, listener) = (*endpoint, listener.clone());
                let partner = self.ground.partner_of(endpoint);
                // Nobody is there any more: a connection is refused as far as a listener can do so.
                if self.vacant.contains(&at) {
                    while listener.accept().is_ok() {}
                    return;
                }
                // One that cannot be reached says nothing: what comes stays where the system keeps it.
                while !self.ground.faults_at(partner, self.now()).partitioned
                    && let Ok((stream, _)) = listener.accept()
                {
                    let since = self.now();
                    let (busy, calls, dead) = (None, 0, false);
                    let made = |connection| Peer::Call {
                        endpoint,
                        connection,
                        busy,
                        calls,
                        since,
                        dead,
                    };
                    if let Some(at) = self.accept(stream, made) {
                        self.open[endpoint as usize] += 1;
                        self.ready(at);
                    }
                }
            }
            Some(Peer::Agent { sender, listener }) => {
                let (sender, listener) = (*sender, listener.clone());
                while let Ok((stream, _)) = listener.accept() {
                    if let Some(at) = self.accept(stream, |connection| Peer::Asks {
                        sender,
                        connection,
                        watch: false,
                        pending: VecDeque::new(),
                    }) {
                        self.ready(at);
                    }
                }
            }
            Some(Peer::Call { .. }) => self.heard_call(at),
            Some(Peer::Asks { .. }) => self.heard_ask(at),
            Some(Peer::Client { .. }) => self.heard_answer(at),
            None => {}
        }
    }

    fn accept(
        &mut self,
        stream: std::net::TcpStream,
        made: impl FnOnce(Connection) -> Peer,
    ) -> Option<usize> {
        let at = self.peers.vacant_key();
        let connection = Connection::new(stream, &self.handle, &self.pool, at).ok()?;
        Some(self.peers.insert(made(connection)))
    }

    /// Drops a connection of a sender's to an endpoint; with `reset`, what is on its way is lost.
    fn drop_call(&mut self, at: usize, reset: bool) {
        if let Some(Peer::Call {
            endpoint,
            connection,
            ..
        }) = self.peers.try_remove(at)
        {
            self.open[endpoint as usize] -= 1;
            if reset {
                connection.abort_on_drop();
            }
        }
    }

    /// A sender's bytes on a connection to an endpoint.
    fn heard_call(&mut self, at: usize) {
        let now = self.now();
        let Some(Peer::Call {
            endpoint,
            connection,
            busy,
            calls,
            since,
            dead,
        }) = self.peers.get_mut(at)
        else {
            return;
        };
        connection.flush();
        while connection.receive() && connection.bytes().len() < http::buffer_pool::BUFFER_SIZE {}
        let endpoint = *endpoint;
        let partner = self.ground.partner_of(endpoint);
        let weather = self.ground.faults_at(partner, now);
        if weather.partitioned {
            // What is sent there is never heard of.
            let count = connection.bytes().len();
            connection.consume(count);
            *dead = true;
            return;
        }
        *dead |= busy.is_none()
            && *calls > 0
            && now - *since >= weather.idle_close_after.min(self.x.world.idle);
        if connection.eof || connection.broken {
            let out = *busy;
            self.drop_call(at, false);
            if let Some(call) = out {
                self.called_off(call);
            }
            return;
        }
        if busy.is_some() || connection.bytes().is_empty() {
            return;
        }
        match http::parse_request(connection.bytes()) {
            Parsed::Partial(_) => {}
            Parsed::Invalid(_) => {
                self.fault = Some(format!(
                    "a sender wrote what is no request to endpoint {endpoint}"
                ));
            }
            Parsed::Complete(request) => {
                connection.consume(request.consumed);
                let (fresh, dead) = (*calls == 0, *dead);
                *calls += 1;
                let id = request
                    .header("x-request-id")
                    .and_then(|i| i.strip_prefix('m'))
                    .and_then(|i| i.parse().ok());
                let Some((id, held)) =
                    id.and_then(|id: u64| self.held.get_mut(&id).map(|h| (id, h)))
                else {
                    self.fault = Some(format!(
                        "a call for a message that nobody handed in came to endpoint {endpoint}"
                    ));
                    return;
                };
                let origin = held.origin;
                let keyed = self.clients.effect(origin) == Effect::Keyed;
                let key = request.header("idempotency-key").unwrap_or("");
                let same = *request.body == *body(id).as_bytes()
                    && (!keyed || key == format!("k{origin}"));
                if !same || request.method != "POST" || request.path != "/v1/messages" {
                    self.fault = Some(format!("message {id} came changed to endpoint {endpoint}"));
                    return;
                }
                let (sender, attempt) = (held.sender, held.attempts);
                held.attempts += 1;
                let call = self.next_call;
                self.next_call += 1;
                *busy = Some(call);
                let mut rng = rng_for(self.seed, Stream::Call, origin, 500 + u64::from(attempt));
                let (before, after) = (
                    bernoulli(&mut rng, weather.reset.before),
                    bernoulli(&mut rng, weather.reset.after),
                );
                self.calls.insert(
                    call,
                    Call {
                        id,
                        peer: at,
                        partner,
                        endpoint,
                        breaks: after,
                    },
                );
                self.fact(What::Call {
                    call,
                    id,
                    sender,
                    partner,
                    endpoint,
                    fresh,
                });
                if before || dead {
                    // Its sender cannot tell this from one that has run.
                    self.fact(What::Ended {
                        call,
                        how: Silence::Reset,
                    });
                    self.calls.remove(&call);
                    return self.drop_call(at, true);
                }
                let way = self.travel(call, 0) * if fresh { 3.0 } else { 1.0 };
                self.at(now + way, Ev::CallIn { call });
            }
        }
    }

    /// A sender has closed a connection with a call on it.
    fn called_off(&mut self, call: u64) {
        if let Some(c) = self.calls.remove(&call) {
            let sender = self.held.get(&c.id).map_or(0, |h| h.sender);
            let died = !self.seats[sender as usize].up;
            self.fact(What::Ended {
                call,
                how: if died {
                    Silence::Died
                } else {
                    Silence::CalledOff
                },
            });
        }
    }

    fn call_in(&mut self, call: u64) {
        let now = self.now();
        let Some(c) = self.calls.get(&call) else {
            return;
        };
        let (id, partner, endpoint, breaks, peer) = (c.id, c.partner, c.endpoint, c.breaks, c.peer);
        self.fact(What::Arrived { call });
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let (origin, attempt) = (held.origin, held.attempts - 1);
        held.ran.get_or_insert(now);
        let class = self.clients.message(origin).planned.class;
        let told = partner::Call {
            number: call,
            origin,
            attempt,
            work: self.x.work(self.seed, class),
        };
        if self.open[endpoint as usize] > self.x.world.connections {
            return self.reply(call, Reply::Refused(None));
        }
        let Delivery {
            admission: taken,
            collapsed: toppled,
        } = self.ground.deliver(endpoint, told, now);
        if toppled {
            self.fact(What::Toppled { partner });
        }
        match taken {
            Admission::Answered(reply) => self.reply(call, reply),
            Admission::Running => {
                self.fact(What::Ran { call });
                self.look_at(partner);
                if breaks {
                    self.fact(What::Ended {
                        call,
                        how: Silence::Reset,
                    });
                    self.calls.remove(&call);
                    self.drop_call(peer, true);
                }
            }
            Admission::Queued => {}
        }
    }

    fn reply(&mut self, call: u64, reply: Reply) {
        let way = self.travel(call, 1);
        self.at(self.now() + way, Ev::Write { call, reply });
    }

    /// An endpoint's answer leaves.
    fn write(&mut self, call: u64, reply: Reply) {
        let Some(c) = self.calls.remove(&call) else {
            return;
        };
        let now = self.now();
        if self.ground.faults_at(c.partner, now).partitioned {
            self.calls.insert(call, c);
            return;
        }
        if let (Reply::Refused(_), Some(held)) = (reply, self.held.get_mut(&c.id))
            && held.attempts == 1
        {
            held.ran = None;
        }
        let text = match reply {
            Reply::Served => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_string(),
            Reply::Failed => "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".to_string(),
            Reply::Spoilt => "\x01\x02 no answer at all \r\n\r\n".to_string(),
            Reply::Refused(Some(wait)) => {
                format!(
                    "HTTP/1.1 429 Wait\r\nX-Backoff-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                    wait.ceil() as u64
                )
            }
            Reply::Refused(None) => "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n".to_string(),
        };
        let Some(Peer::Call {
            connection,
            busy,
            since,
            ..
        }) = self.peers.get_mut(c.peer)
        else {
            return;
        };
        (*busy, *since) = (None, now);
        let queued = connection.queue(text.as_bytes());
        connection.flush();
        if queued && !connection.broken {
            self.fact(What::Replied { call, reply });
            if reply == Reply::Served
                && let Some(held) = self.held.get_mut(&c.id)
                && !std::mem::replace(&mut held.over, true)
            {
                self.open_messages = self.open_messages.saturating_sub(1);
            }
        } else {
            self.fact(What::Ended {
                call,
                how: Silence::CalledOff,
            });
        }
    }

    fn look_at(&mut self, partner: u32) {
        if let Some(at) = self.ground.earlier_completion(partner) {
            self.at(at, Ev::Due { partner });
        }
    }

    fn partner_due(&mut self, partner: u32) {
        let Progress {
            answers,
            started: begun,
        } = self.ground.advance(partner, self.now());
        for Answer { call, reply } in answers {
            if self.calls.contains_key(&call) {
                self.reply(call, reply);
            }
        }
        for call in begun {
            if self.calls.contains_key(&call) {
                self.fact(What::Ran { call });
            }
        }
        self.look_at(partner);
    }

    // ---- The platform ------------------------------------------------------------------------------------------

    fn watches(&self, of: Option<u32>) -> Vec<usize> {
        let mine = |p: &Peer| matches!(p, Peer::Asks { sender, watch: true, .. } if of.is_none_or(|s| s == *sender));
        self.peers
            .iter()
            .filter(|(_, p)| mine(p))
            .map(|(at, _)| at)
            .collect()
    }

    fn push(&mut self, at: usize, text: &str) {
        if let Some(Peer::Asks {
            connection,
            pending,
            ..
        }) = self.peers.get_mut(at)
        {
            pending.extend(text.as_bytes());
            drain(connection, pending);
        }
    }

    fn heard_ask(&mut self, at: usize) {
        let Some(Peer::Asks {
            sender,
            connection,
            watch,
            pending,
        }) = self.peers.get_mut(at)
        else {
            return;
        };
        let sender = *sender;
        drain(connection, pending);
        connection.receive();
        if connection.bytes().is_empty() {
            if connection.eof || connection.broken {
                self.peers.remove(at);
            }
            return;
        }
        let Parsed::Complete(request) = http::parse_request(connection.bytes()) else {
            return;
        };
        connection.consume(request.consumed);
        if request.path.starts_with("/v1/servers?watch=1") {
            *watch = true;
            let line = self.whole_list(sender).to_string();
            self.push(at, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            self.push(at, &format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
            return;
        }
        if request.path == "/reports" {
            let text = String::from_utf8_lossy(&request.body).into_owned();
            self.push(at, "HTTP/1.1 204 No Content\r\n\r\n");
            text.lines().for_each(|line| self.notice(sender, line));
            return self.heard_ask(at);
        }
        self.push(at, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    }

    fn notice(&mut self, sender: u32, line: &str) {
        let json: Value = serde_json::from_str(line).unwrap_or_default();
        let id = json["id"]
            .as_str()
            .and_then(|i| i.strip_prefix('m'))
            .and_then(|i| i.parse::<u64>().ok());
        let deferred = match json["status"].as_str() {
            Some("deferred") => true,
            Some("undeliverable") => false,
            _ => return self.fault = Some(format!("a notice that cannot be read: {line}")),
        };
        let Some(id) = id.filter(|id| self.held.contains_key(id)) else {
            return self.fault = Some(format!(
                "a notice for a message that nobody handed in: {line}"
            ));
        };
        let again = json["again_ms"].as_f64();
        self.fact(What::Notice {
            sender,
            id,
            deferred,
            again,
        });
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let (origin, ran) = (held.origin, held.ran);
        if std::mem::replace(&mut held.over, true) {
            return;
        }
        self.open_messages = self.open_messages.saturating_sub(1);
        if let Some(ran) = ran {
            self.clients.may_have_run(origin, ran);
        }
        if deferred {
            self.again(origin, again, true);
        }
    }

    fn tell(&mut self, sender: u32, endpoint: u32, state: &'static str) {
        let seat = &mut self.seats[sender as usize];
        seat.rev += 1;
        if state == "terminated" {
            seat.known.remove(&endpoint);
        } else {
            seat.known.insert(endpoint, state);
        }
        let rev = seat.rev;
        let line = json!({"rev": rev, "all": false, "targets": [self.entry(endpoint, state)]})
            .to_string()
            + "\n";
        let watches = self.watches(Some(sender));
        if self.seats[sender as usize].up && !watches.is_empty() {
            let partner = self.ground.partner_of(endpoint);
            self.fact(What::Listed {
                sender,
                endpoint,
                partner,
                on: state == "in_service",
            });
        }
        watches
            .into_iter()
            .for_each(|at| self.push(at, &format!("{:x}\r\n{line}\r\n", line.len())));
    }

    // ---- Clients -----------------------------------------------------------------------------------------------

    fn hand_in(&mut self, origin: u64) {
        let now = self.now();
        let ClientMessage {
            planned, deadline, ..
        } = *self.clients.message(origin);
        let up: Vec<u32> = (0..self.seats.len() as u32)
            .filter(|s| self.seats[*s as usize].up)
            .collect();
        let Some(HandIn { sender, .. }) = self
            .clients
            .choose_sender(origin, &up)
            .filter(|_| now < deadline)
        else {
            return self.again(origin, None, false);
        };
        let id = self.next_id;
        self.next_id += 1;
        let class = &self.x.world.classes[planned.class as usize];
        let key = if class.effect == Effect::Keyed {
            format!("Idempotency-Key: k{origin}\r\n")
        } else {
            String::new()
        };
        let body = body(id);
        let text = format!(
            "POST /{} HTTP/1.1\r\nHost: lab\r\nX-Request-ID: m{id}\r\nX-Timeout: {:.3}\r\n{key}X-Route-To: dest={}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            class.name,
            (deadline - now) / 1e3,
            planned.partner,
            body.len()
        );
        let Some(client) = self.client(sender) else {
            return self.again(origin, None, false);
        };
        let (class, partner, first) = (planned.class, planned.partner, planned.at);
        self.held.insert(
            id,
            Held {
                origin,
                sender,
                attempts: 0,
                ran: None,
                over: false,
            },
        );
        self.open_messages += 1;
        self.fact(What::HandedIn {
            origin,
            id,
            sender,
            class,
            partner,
            first,
            deadline,
            key: None,
        });
        if let Some(Peer::Client {
            connection,
            id: asks,
            ..
        }) = self.peers.get_mut(client)
        {
            *asks = Some(id);
            connection.queue(text.as_bytes());
            connection.flush();
        }
        self.at(now + CLIENT_WAIT, Ev::Silent { client, id });
    }

    /// An idle connection to a sender, or a new one.
    fn client(&mut self, sender: u32) -> Option<usize> {
        while let Some(at) = self.seats[sender as usize].idle.pop() {
            if let Some(Peer::Client {
                connection,
                id: None,
                sender: own,
            }) = self.peers.get_mut(at)
                && *own == sender
            {
                connection.receive();
                if !connection.eof && !connection.broken && connection.bytes().is_empty() {
                    return Some(at);
                }
                self.peers.remove(at);
            }
        }
        let (to, at) = (
            self.seats[sender as usize].child.address,
            self.peers.vacant_key(),
        );
        let connection = Connection::connect(to, &self.handle, &self.pool, at).ok()?;
        Some(self.peers.insert(Peer::Client {
            sender,
            connection,
            id: None,
        }))
    }

    fn heard_answer(&mut self, at: usize) {
        let Some(Peer::Client {
            sender,
            connection,
            id,
        }) = self.peers.get_mut(at)
        else {
            return;
        };
        let (sender, asked) = (*sender, *id);
        connection.flush();
        connection.receive();
        let answer = http::parse_response(connection.bytes());
        let Some(asked) = asked else {
            if connection.eof || connection.broken {
                self.peers.remove(at);
            }
            return;
        };
        match answer {
            Ok(Some(answer)) if answer.status >= 200 => {
                let keep = answer.keep;
                let told = answer
                    .header("retry-after")
                    .and_then(|t| t.parse::<f64>().ok())
                    .map(|s| s * 1e3);
                connection.consume(answer.consumed);
                *id = None;
                if keep {
                    self.seats[sender as usize].idle.push(at);
                } else {
                    self.peers.remove(at);
                }
                self.fact(What::Answered {
                    id: asked,
                    status: answer.status,
                });
                if !matches!(answer.status, 200 | 202) {
                    self.not_taken(asked, told, true);
                }
            }
            Ok(_) if !connection.eof && !connection.broken => {}
            _ => {
                self.peers.remove(at);
                self.not_taken(asked, None, false);
            }
        }
    }

    /// A client has waited long enough for a sender's answer.
    fn gave_up(&mut self, client: usize, id: u64) {
        if matches!(self.peers.get(client), Some(Peer::Client { id: Some(asks), .. }) if *asks == id)
        {
            self.peers.remove(client);
            self.not_taken(id, None, false);
        }
    }

    fn not_taken(&mut self, id: u64, told: Option<Millis>, answered: bool) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let origin = held.origin;
        if !std::mem::replace(&mut held.over, true) {
            self.open_messages = self.open_messages.saturating_sub(1);
        }
        // What no answer came to may have been taken on: only what may be repeated is handed in again.
        if answered || self.clients.effect(origin) != Effect::Unsafe {
            self.again(origin, told, answered);
        }
    }

    fn again(&mut self, origin: u64, told: Option<Millis>, heard: bool) {
        if let Some(at) = self.clients.retry_at(origin, told, heard, self.now()) {
            self.at(at, Ev::HandIn { origin });
        }
    }

    // ---- What goes wrong ---------------------------------------------------------------------------------------

    fn edge(&mut self) {
        let now = self.now();
        self.full_disk(now);
        for OutageChange { partner, out } in self.ground.update_outages(now) {
            self.fact(What::Out { partner, out });
        }
        // Those that could not be reached hear now what waited for them.
        let wake: Vec<usize> = self
            .peers
            .iter()
            .filter(|(_, p)| matches!(p, Peer::Endpoint { .. }))
            .map(|(at, _)| at)
            .collect();
        wake.into_iter().for_each(|at| self.ready(at));
    }

    /// Fills the senders' disks, or frees them.
    fn full_disk(&mut self, now: Millis) {
        let full = self.ground.faults.disk_full(now);
        if std::mem::replace(&mut self.full, full) != full {
            for seat in &self.seats {
                if let Err(e) = seat.child.full_disk(full) {
                    self.fault = Some(e);
                }
            }
        }
    }

    fn fails(&mut self, failure: usize) {
        let f = &self.x.failures[failure];
        let (what, sender, size) = (f.what, f.sender, f.size);
        let now = self.now();
        match what {
            Fails::Sigkill | Fails::Sigterm if self.seats[sender as usize].up => {
                self.seats[sender as usize].ending = Some(size);
                self.fact(What::Told { sender });
                if what == Fails::Sigkill {
                    self.seats[sender as usize].child.kill();
                    self.gone(sender);
                } else {
                    let life = self.seats[sender as usize].life;
                    self.seats[sender as usize].child.signal(Signal::SIGTERM);
                    // Clients keep coming for a moment, as fronts notice late.
                    self.at(now + KILL_AFTER, Ev::Kill { sender, life });
                }
            }
            Fails::Join => {
                self.fact(What::Joins { sender });
                if let Err(e) = self.launch(sender) {
                    self.fault = Some(e);
                }
            }
            Fails::Sighup => self.seats[sender as usize].child.signal(Signal::SIGHUP),
            _ => self.edge(),
        }
    }

    /// Tells every sender of an endpoint, as late as the list is now.
    fn list(&mut self, endpoint: u32, state: ListedState) {
        let now = self.now();
        for sender in 0..self.seats.len() as u32 {
            let at = self.ground.notified_at(sender, endpoint, state, now);
            let state = match state {
                ListedState::Active => "in_service",
                ListedState::Draining => "terminating",
                ListedState::Removed => "terminated",
            };
            self.at(
                at,
                Ev::Tell {
                    sender,
                    endpoint,
                    state,
                },
            );
        }
    }

    /// An endpoint's machine is gone: its connections end, and its address is free for another one.
    fn retire(&mut self, endpoint: u32) {
        self.ground.retire(endpoint);
        let own = |p: &Peer| matches!(p, Peer::Call { endpoint: e, .. } if *e == endpoint);
        let gone: Vec<usize> = self
            .peers
            .iter()
            .filter(|(_, p)| own(p))
            .map(|(at, _)| at)
            .collect();
        for at in gone {
            if let Some(Peer::Call {
                busy: Some(call), ..
            }) = self.peers.get(at)
            {
                let call = *call;
                self.calls.remove(&call);
                self.fact(What::Ended {
                    call,
                    how: Silence::Reset,
                });
            }
            self.drop_call(at, true);
        }
        let listens = |p: &Peer| matches!(p, Peer::Endpoint { endpoint: e, .. } if *e == endpoint);
        let listener = self
            .peers
            .iter()
            .find(|(_, p)| listens(p))
            .map(|(at, _)| at);
        self.vacant.extend(listener);
    }

    /// Puts a new endpoint at the address of one that has gone; false where there is none.
    fn moved_in(&mut self, new: u32) -> bool {
        let Some(at) = self.vacant.pop() else {
            return false;
        };
        let Some(Peer::Endpoint { endpoint, .. }) = self.peers.get_mut(at) else {
            return false;
        };
        let old = std::mem::replace(endpoint, new);
        self.addresses.push(self.addresses[old as usize]);
        self.open.push(0);
        true
    }

    fn replace(&mut self, failure: usize, turn: usize) {
        let now = self.now();
        let f = &self.x.failures[failure];
        if now >= f.end {
            return;
        }
        if let Some(partner) = self.ground.next_replaced(failure, turn) {
            let Replacement { old, new } = self.ground.replace_endpoint(partner);
            if !(f.reuse && self.moved_in(new))
                && let Err(e) = self.endpoint(new)
            {
                return self.fault = Some(e);
            }
            self.list(new, ListedState::Active);
            self.list(old, ListedState::Draining);
            self.list(old, ListedState::Removed);
            self.at(now + REPLACEMENT_OVERLAP, Ev::Retire { endpoint: old });
        }
        self.at(
            now + f.every,
            Ev::Replace {
                failure,
                turn: turn + 1,
            },
        );
    }
}
