//! Owns the roof: how many messages a second a sender delivers with nothing to hold it back, and what each costs,
//! against the bare relay, both pinned to one core and taken in turns. It must never pace either, and its figures are
//! the machine's.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use calloop::EventLoop;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_http::{self as http, Parsed, Ready};
use nix::sched::{CpuSet, sched_setaffinity};
use nix::unistd::Pid;
use serde_json::json;
use slab::Slab;

use crate::experiment::Experiment;
use crate::model::site::Site;
use crate::sim;
use crate::sockets::child::{Sender, platform_settings, used};

type Connection = martenlatch_http::Connection<usize>;

/// Connections of the load, messages under way at most, endpoints, and calls out at most.
const CLIENTS: usize = 32;
const ENDPOINTS: usize = 4;
const SLOTS: usize = 64;
const BODY: usize = 212;

/// What one program did in one turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turn {
    /// Messages delivered a second.
    pub rate: f64,
    /// Processor time for each, in microseconds.
    pub cost_us: f64,
}

/// What both did, turn by turn.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Roof {
    /// The sender.
    pub sender: Vec<Turn>,
    /// The relay.
    pub relay: Vec<Turn>,
}

/// Endpoints that answer 200 at once, on a thread of their own, and discovery that says nothing.
struct Floor {
    addresses: Vec<SocketAddr>,
    served: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Floor {
    fn new() -> Result<Floor, String> {
        let (served, stop) = (
            Arc::new(AtomicU64::new(0)),
            Arc::new(AtomicBool::new(false)),
        );
        let listeners = (0..ENDPOINTS)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<Result<Vec<_>, _>>();
        let listeners = listeners.map_err(|e| format!("no port for an endpoint: {e}"))?;
        let addresses = listeners
            .iter()
            .filter_map(|l| l.local_addr().ok())
            .collect();
        let (count, end) = (served.clone(), stop.clone());
        let thread = std::thread::spawn(move || serve(listeners, &count, &end));
        Ok(Floor {
            addresses,
            served,
            stop,
            thread: Some(thread),
        })
    }
}

impl Drop for Floor {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(listeners: Vec<TcpListener>, served: &AtomicU64, stop: &AtomicBool) {
    let Ok(mut events) = EventLoop::<Ready<usize>>::try_new() else {
        return;
    };
    let (handle, pool) = (events.handle(), BufferPool::new(4_096));
    let listeners: Vec<Rc<TcpListener>> = listeners.into_iter().map(Rc::new).collect();
    let mut links: Slab<Connection> = Slab::new();
    const LISTENERS: usize = 1 << 32;
    for (i, listener) in listeners.iter().enumerate() {
        let _ = listener.set_nonblocking(true);
        let _ = http::register(&handle, listener.clone(), LISTENERS + i);
    }
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let mut ready = Ready::<usize>::default();
    while !stop.load(Ordering::Relaxed) {
        for at in std::mem::take(&mut ready.keys) {
            if at >= LISTENERS {
                while let Ok((stream, _)) = listeners[at - LISTENERS].accept() {
                    let entry = links.vacant_entry();
                    if let Ok(connection) = Connection::new(stream, &handle, &pool, entry.key()) {
                        entry.insert(connection);
                    }
                }
                continue;
            }
            let Some(connection) = links.get_mut(at) else {
                continue;
            };
            connection.receive();
            while let Parsed::Complete(request) = http::parse_request(connection.bytes()) {
                connection.consume(request.consumed);
                served.fetch_add(1, Ordering::Relaxed);
                connection.queue(answer);
            }
            connection.flush();
            if connection.eof || connection.broken {
                links.remove(at);
            }
        }
        let _ = events.dispatch(Duration::from_millis(20), &mut ready);
    }
}

/// Hands messages in as fast as they are delivered, for a time; how many were delivered a second.
fn load(
    to: SocketAddr,
    floor: &Floor,
    window: u64,
    span: Duration,
    ids: &mut u64,
) -> Result<f64, String> {
    let mut events =
        EventLoop::<Ready<usize>>::try_new().map_err(|e| format!("no event loop: {e}"))?;
    let (handle, pool) = (events.handle(), BufferPool::new(CLIENTS * 4));
    let mut links: Vec<(Connection, bool)> = Vec::new();
    for at in 0..CLIENTS {
        let connection = Connection::connect(to, &handle, &pool, at)
            .map_err(|e| format!("no connection to {to}: {e}"))?;
        links.push((connection, false));
    }
    let body = "x".repeat(BODY);
    let (start, before) = (Instant::now(), floor.served.load(Ordering::Relaxed));
    let (mut taken, mut ready) = (0u64, Ready::default());
    while start.elapsed() < span {
        for (connection, asking) in &mut links {
            connection.receive();
            if *asking && let Ok(Some(answer)) = http::parse_response(connection.bytes()) {
                connection.consume(answer.consumed);
                *asking = false;
                taken += u64::from(answer.status == 202);
            }
            if connection.eof || connection.broken {
                return Err(format!("{to} closed a connection under load"));
            }
            let out = (before + taken).saturating_sub(floor.served.load(Ordering::Relaxed));
            if !*asking && out < window {
                *ids += 1;
                let text = format!(
                    "POST /load HTTP/1.1\r\nHost: roof\r\nX-Request-ID: r{ids}\r\nX-Timeout: 10.000\r\nX-Route-To: dest=0\r\n\
                     Content-Length: {BODY}\r\n\r\n{body}"
                );
                *asking = true;
                connection.queue(text.as_bytes());
                connection.flush();
            }
        }
        events
            .dispatch(Duration::from_micros(200), &mut ready)
            .map_err(|e| format!("the loop failed: {e}"))?;
        ready.keys.clear();
    }
    let delivered = floor.served.load(Ordering::Relaxed) - before;
    Ok(delivered as f64 / start.elapsed().as_secs_f64())
}

/// One turn: what was delivered, and the processor time that the program took for it.
fn turn(
    process: u32,
    to: SocketAddr,
    floor: &Floor,
    window: u64,
    span: Duration,
    ids: &mut u64,
) -> Result<Turn, String> {
    let lost = || "the program under test has ended".to_string();
    let before = (
        used(process).ok_or_else(lost)?,
        floor.served.load(Ordering::Relaxed),
    );
    let rate = load(to, floor, window, span, ids)?;
    let after = (
        used(process).ok_or_else(lost)?,
        floor.served.load(Ordering::Relaxed),
    );
    let count = (after.1 - before.1).max(1) as f64;
    Ok(Turn {
        rate,
        cost_us: (after.0.cpu_ms - before.0.cpu_ms) * 1e3 / count,
    })
}

/// A relay as a child, ended with its owner.
struct Relay(Child);

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Puts a process on one core, the last one.
fn pin(process: u32) -> Result<(), String> {
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    let mut set = CpuSet::new();
    let set_to = set
        .set(cores - 1)
        .and_then(|()| sched_setaffinity(Pid::from_raw(process as i32), &set));
    set_to.map_err(|e| format!("process {process} cannot be put on one core: {e}"))
}

/// Measures both in turns, `turns` of `span` each, after one that is not counted. `held` messages may be under way at
/// a time.
///
/// # Errors
/// Where a program does not start, or ends.
pub fn measure(program: &Path, turns: usize, span: Duration, held: u64) -> Result<Roof, String> {
    let floor = Floor::new()?;
    let text = format!(
        "length_s: 1 load {{ level: 1 }} world {{ senders: 1 partners: 1 full_rate: 100000
           kind {{ name: \"k\" share: 1 limit: NONE }}
           class {{ name: \"load\" share: 1 work_ms {{ least: 1 most: 1 }} effect: SAFE }} }}
         variant {{ name: \"v\" slots: {SLOTS} hold_limit: 4096 second_copies: false }}"
    );
    let x = Experiment::read("roof", "roof", &text).map_err(|e| e.to_string())?;
    let site = Site::new(&x.world, 1);
    let mut set = platform_settings(
        &sim::settings(&x, &x.variants[0], &site),
        &["load".into()],
        &["k".into()],
    );
    set["WeightKind"] = json!("off");
    let target = |(i, a): (usize, &SocketAddr)| {
        json!({"uid": format!("s-{i}"), "endpoint": a.to_string(), "az": "a", "model": "k", "pod_group": 0,
            "state": "in_service", "capacity_hint": 1.0, "boot_ms": 0})
    };
    let targets: Vec<_> = floor.addresses.iter().enumerate().map(target).collect();
    let known = json!({"rev": 1, "all": true, "targets": targets});
    // Nobody answers there: the sender serves from the list that it was started with.
    let silent = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("no port: {e}"))?;
    let agent = silent.local_addr().map_err(|e| format!("no port: {e}"))?;
    let mut sender = Sender::new(0, program, None, agent, &set, 1)?;
    sender.configure(known)?;
    sender.start()?;
    while !sender.ready()? {
        if let Some(code) = sender.ended() {
            return Err(sender.obituary(code));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let free = TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .map_err(|e| format!("no port: {e}"))?;
    let mut command = Command::new(std::env::current_exe().map_err(|e| e.to_string())?);
    command.args([
        "relay",
        "--listen",
        &free.to_string(),
        "--calls",
        &SLOTS.to_string(),
    ]);
    command.args(floor.addresses.iter().map(SocketAddr::to_string));
    let relay = Relay(
        command
            .stdin(Stdio::null())
            .spawn()
            .map_err(|e| format!("relay: {e}"))?,
    );
    let start = Instant::now();
    while std::net::TcpStream::connect(free).is_err() {
        if start.elapsed() > Duration::from_secs(5) {
            return Err("relay: it does not listen".into());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let process = sender.process().ok_or("the sender has ended")?;
    pin(process)?;
    pin(relay.0.id())?;
    let (mut roof, mut ids) = (Roof::default(), 0);
    for i in 0..turns + 1 {
        let ours = turn(process, sender.address, &floor, held, span, &mut ids)?;
        // What is still under way must not count for the other.
        std::thread::sleep(Duration::from_millis(200));
        let bare = turn(relay.0.id(), free, &floor, held, span, &mut ids)?;
        std::thread::sleep(Duration::from_millis(200));
        if i > 0 {
            roof.sender.push(ours);
            roof.relay.push(bare);
        }
    }
    Ok(roof)
}
