//! Stand-ins for the cases 6 to 10 of the second review: platform, endpoints, clients, and the sender as a process.
//! Built by `review/build-2.sh` with the standard library alone. `rig NAME DIR` runs one case; DIR gets `record.txt`.
//! Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.

use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

mod cases;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

/// Ends a connection with a reset.
pub fn reset(stream: &TcpStream) {
    // SO_LINGER (level 1, name 13 on Linux) with a time of 0.
    let linger: [i32; 2] = [1, 0];
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr().cast(), 8) };
    let _ = stream.shutdown(std::net::Shutdown::Read);
}

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// The record of a run, with times in seconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<std::fs::File>>,
}

impl Record {
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.now(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
    /// Waits until an instant, in seconds since the start.
    pub fn until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            sleep(Duration::from_secs_f64(left));
        }
    }
}

/// A loopback address that no one uses, with a free port.
pub fn free_address(part: u8) -> SocketAddr {
    let pid = std::process::id();
    let ip = format!("127.{}.{}.{part}:0", 64 + (pid >> 8) % 60, 1 + pid % 250);
    let listener = TcpListener::bind(ip).expect("a loopback address");
    listener.local_addr().unwrap()
}

// ---- HTTP ----------------------------------------------------------------------------------------------------------

pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> String {
        self.headers.get(name).cloned().unwrap_or_default()
    }
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message. `None` at the end of the connection; an error at a time-out or a reset.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<Message>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first_line = lines.next().unwrap_or("").to_string();
            let headers: HashMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
                .collect();
            let length: usize =
                headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Ok(Some(Message { first_line, headers, body }));
            }
        }
        let mut chunk = [0; 65536];
        match stream.read(&mut chunk) {
            Ok(0) => return Ok(None),
            Ok(count) => buffer.extend(&chunk[..count]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

// ---- The platform: the agent of discovery, and the receiver of notices ----------------------------------------------

#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub address: SocketAddr,
    pub destination: u64,
    pub state: &'static str,
    pub hint: f64,
}

impl Target {
    fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"a\",\"model\":\"k\",\"pod_group\":{},\"state\":\"{}\",\"capacity_hint\":{:.2},\"boot_ms\":0}}",
            self.uid, self.address, self.destination, self.state, self.hint
        )
    }
}

pub struct Notice {
    pub at: f64,
    pub text: String,
}

#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    pub notices: Arc<Mutex<Vec<Notice>>>,
    list: Arc<Mutex<(u64, Vec<Target>, Vec<String>)>>,
    changed: Arc<Condvar>,
    /// Set while discovery is down: watches get nothing, requests for the list no answer.
    pub silent: Flag,
    record: Record,
}

fn list_json(rev: u64, targets: &[Target], all: bool) -> String {
    let targets: Vec<String> = targets.iter().map(Target::json).collect();
    format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}", targets.join(","))
}

impl Platform {
    pub fn start(record: &Record, part: u8, targets: Vec<Target>) -> Platform {
        let listener = TcpListener::bind(free_address(part)).expect("an address for the platform");
        let platform = Platform {
            address: listener.local_addr().unwrap(),
            notices: Arc::default(),
            list: Arc::new(Mutex::new((1, targets, Vec::new()))),
            changed: Arc::new(Condvar::new()),
            silent: Flag::default(),
            record: record.clone(),
        };
        let serving = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        platform
    }

    pub fn whole_list(&self) -> String {
        let list = self.list.lock().unwrap();
        list_json(list.0, &list.1, true)
    }

    /// Changes entries of the list and pushes the change.
    pub fn change(&self, targets: &[Target]) {
        let mut list = self.list.lock().unwrap();
        list.0 += 1;
        for target in targets {
            list.1.retain(|known| known.uid != target.uid);
            if target.state != "terminated" {
                list.1.push(target.clone());
            }
            self.record.line(format!("discovery: {} is {}", target.uid, target.state));
        }
        let change = list_json(list.0, targets, false);
        list.2.push(change);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
            if request.first_line.starts_with("GET /v1/servers?watch=1") {
                return self.watch(stream);
            }
            let answer = if request.first_line.starts_with("GET /v1/servers") {
                self.wait_for_discovery();
                let list = self.whole_list();
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
            } else if request.first_line.starts_with("POST /reports") {
                for text in String::from_utf8_lossy(&request.body).lines() {
                    self.record.line(format!("notice {text}"));
                    let notice = Notice { at: self.record.now(), text: text.to_string() };
                    self.notices.lock().unwrap().push(notice);
                }
                "HTTP/1.1 204 No Content\r\n\r\n".to_string()
            } else {
                "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_string()
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn wait_for_discovery(&self) {
        while self.silent.load(SeqCst) {
            sleep(ms(5));
        }
    }

    /// A watch begins with the whole list; an empty line comes every 2 s.
    fn watch(&self, mut stream: TcpStream) {
        self.wait_for_discovery();
        let mut sent = self.list.lock().unwrap().2.len();
        let mut lines = vec![self.whole_list()];
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        loop {
            self.wait_for_discovery();
            for line in lines.drain(..) {
                let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                if stream.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
            }
            let list = self.list.lock().unwrap();
            let wait = |list: &mut (u64, Vec<Target>, Vec<String>)| list.2.len() == sent;
            let (list, _) = self.changed.wait_timeout_while(list, ms(2000), wait).unwrap();
            lines.extend(list.2[sent..].iter().cloned());
            sent = list.2.len();
            if lines.is_empty() {
                lines.push(String::new());
            }
        }
    }
}

// ---- Endpoints ------------------------------------------------------------------------------------------------------

/// A call whose last byte has arrived.
pub struct Call {
    pub id: String,
    pub key: String,
    pub number: u64,
    pub at: f64,
}

/// What an endpoint does with a call.
pub enum Reply {
    /// An answer at an instant (seconds since the start): status line without the version, further header lines.
    Answer(f64, String),
    /// At an instant, what is decided then: no answer, or an answer and whether a second copy comes right behind it
    /// (unless a further call has arrived by then).
    Later(f64, Box<dyn FnOnce() -> Option<(String, bool)>>),
    /// The connection is reset at an instant.
    ResetAt(f64),
    /// No answer; the connection stays open.
    Nothing,
}

pub type Handler = Arc<dyn Fn(&Call) -> Reply + Send + Sync>;
/// Called with a call that the sender gave up without an answer.
pub type GaveUp = Arc<dyn Fn(&Call) + Send + Sync>;

pub struct Endpoint {
    pub address: SocketAddr,
}

static CALLS: AtomicU64 = AtomicU64::new(0);

impl Endpoint {
    pub fn start(record: &Record, name: &str, part: u8, handler: Handler, gave_up: GaveUp) -> Endpoint {
        let listener = TcpListener::bind(free_address(part)).expect("an address for an endpoint");
        let address = listener.local_addr().unwrap();
        let (record, name) = (record.clone(), name.to_string());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, name) = (record.clone(), name.clone());
                let (handler, gave_up) = (handler.clone(), gave_up.clone());
                thread::spawn(move || serve_calls(stream, &record, &name, &handler, &gave_up));
            }
        });
        Endpoint { address }
    }
}

fn serve_calls(mut stream: TcpStream, record: &Record, name: &str, handler: &Handler, gave_up: &GaveUp) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
        let call = Call {
            id: request.header("x-request-id"),
            key: request.header("idempotency-key"),
            number: CALLS.fetch_add(1, SeqCst),
            at: record.now(),
        };
        record.line(format!("{name} call {} id={} key={}", call.number, call.id, call.key));
        let (mut until, mut last, mut later) = (f64::INFINITY, None, None);
        match handler(&call) {
            Reply::Answer(at, answer) => (until, last) = (at, Some(answer)),
            Reply::Later(at, decide) => (until, later) = (at, Some(decide)),
            Reply::ResetAt(at) => until = at,
            Reply::Nothing => {}
        }
        let mut twice = false;
        let _ = stream.set_read_timeout(Some(ms(4)));
        loop {
            if record.now() >= until {
                let Some(decide) = later.take() else {
                    break;
                };
                match decide() {
                    Some((answer, copied)) => (last, twice) = (Some(answer), copied),
                    None => until = f64::INFINITY,
                }
                continue;
            }
            let mut byte = [0; 1];
            match stream.peek(&mut byte) {
                Ok(0) => {
                    record.line(format!("{name} call {} given up", call.number));
                    gave_up(&call);
                    return;
                }
                Ok(_) => sleep(ms(2)),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => {
                    record.line(format!("{name} call {} given up (reset)", call.number));
                    gave_up(&call);
                    return;
                }
            }
        }
        let _ = stream.set_read_timeout(None);
        let Some(answer) = last else {
            record.line(format!("{name} call {} reset", call.number));
            gave_up(&call);
            return reset(&stream);
        };
        let text = format!("HTTP/1.1 {answer}Content-Length: 0\r\n\r\n");
        record.line(format!("{name} call {} answered {}", call.number, answer.trim_end().replace("\r\n", ", ")));
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        if twice {
            // The copy is a write of its own.
            sleep(ms(3));
            let _ = stream.set_nonblocking(true);
            let nothing_waits = matches!(stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock);
            let _ = stream.set_nonblocking(false);
            if nothing_waits && buffer.is_empty() {
                record.line(format!("{name} call {} answered once more", call.number));
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
        }
    }
}

/// The network on the way to an endpoint: passes on all bytes, each `delay` later.
pub fn network(target: SocketAddr, part: u8, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind(free_address(part)).expect("an address for the network");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else {
                continue;
            };
            for stream in [&near, &far] {
                let _ = stream.set_nodelay(true);
            }
            pass_on(near.try_clone().unwrap(), far.try_clone().unwrap(), delay);
            pass_on(far, near, delay);
        }
    });
    address
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut chunk = [0; 65536];
        while let Ok(count @ 1..) = from.read(&mut chunk) {
            if sender.send((Instant::now() + delay, chunk[..count].to_vec())).is_err() {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (at, bytes) in receiver {
            sleep(at.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
}

// ---- Clients --------------------------------------------------------------------------------------------------------

#[derive(Clone)]
pub struct Clients {
    pub sender: SocketAddr,
    pub accepted: Arc<Mutex<HashMap<String, f64>>>,
    idle: Arc<Mutex<Vec<TcpStream>>>,
    next: Arc<AtomicU64>,
    record: Record,
}

impl Clients {
    pub fn new(record: &Record, sender: SocketAddr) -> Clients {
        Clients {
            sender,
            accepted: Arc::default(),
            idle: Arc::default(),
            next: Arc::new(AtomicU64::new(1)),
            record: record.clone(),
        }
    }

    /// Hands in a message on a thread of its own. Returns its id.
    pub fn submit(&self, class: &'static str, destination: u64, timeout: f64) -> String {
        let number = self.next.fetch_add(1, SeqCst);
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let (clients, own) = (self.clone(), id.clone());
        thread::spawn(move || clients.exchange(class, destination, timeout, &own));
        id
    }

    fn exchange(&self, class: &str, destination: u64, timeout: f64, id: &str) {
        let body = format!("message {id}");
        let key = if class == "meter" { format!("Idempotency-Key: k{id}{id}\r\n") } else { String::new() };
        let request = format!(
            "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Timeout: {timeout:.3}\r\n{key}X-Route-To: dest={destination}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let reused = self.idle.lock().unwrap().pop();
        self.record.line(format!("client {class} dest={destination} id={id} handed in"));
        let status = match reused.and_then(|stream| self.try_on(stream, &request)) {
            Some(status) => Some(status),
            None => TcpStream::connect(self.sender).ok().and_then(|stream| self.try_on(stream, &request)),
        };
        match status {
            Some(200 | 202) => {
                let at = self.record.now();
                self.accepted.lock().unwrap().insert(id.to_string(), at);
                self.record.line(format!("client id={id} taken on"));
            }
            Some(status) => self.record.line(format!("client id={id} answered {status}")),
            None => self.record.line(format!("client id={id} no answer")),
        }
    }

    fn try_on(&self, mut stream: TcpStream, request: &str) -> Option<u16> {
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(ms(400))).ok()?;
        stream.write_all(request.as_bytes()).ok()?;
        let answer = read_message(&mut stream, &mut Vec::new()).ok()??;
        if answer.header("connection") != "close" {
            self.idle.lock().unwrap().push(stream);
        }
        Some(answer.status())
    }
}

// ---- The sender -----------------------------------------------------------------------------------------------------

pub struct Sender {
    pub address: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
    record: Record,
    log: u32,
}

/// What the sender is told: the list that it last had, its settings, the address of the platform.
pub struct Setup<'a> {
    pub known: String,
    pub settings: &'a str,
    pub platform: SocketAddr,
}

impl Setup<'_> {
    /// With the list that the platform has now.
    pub fn new<'a>(platform: &Platform, settings: &'a str) -> Setup<'a> {
        Setup { known: platform.whole_list(), settings, platform: platform.address }
    }
}

impl Sender {
    pub fn start(record: &Record, setup: &Setup) -> Sender {
        let folder = PathBuf::from(std::env::var("RIG_TMP").expect("RIG_TMP"));
        for name in ["state", "tmp"] {
            std::fs::create_dir_all(folder.join(name)).expect("a temporary folder");
        }
        let address = free_address(1);
        let config = format!(
            "{{\"name\":\"n0\",\"listen\":\"{address}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}},\"known\":{},\"settings\":{}}}",
            setup.platform, setup.known, setup.settings
        );
        std::fs::write(folder.join("config.json"), config).expect("the configuration");
        let mut sender = Sender { address, folder, child: None, record: record.clone(), log: 0 };
        sender.spawn();
        sender
    }

    /// Starts the program with the command of the deploy file, and waits until it answers `GET /healthz` with 200.
    pub fn spawn(&mut self) {
        self.log += 1;
        let log = std::fs::File::create(self.folder.join(format!("log-{}", self.log))).expect("a log");
        let child = Command::new("/bin/sh")
            .args(["-c", &std::env::var("RIG_RUN").expect("RIG_RUN")])
            .env("PROXY_CONFIG", self.folder.join("config.json"))
            .env("PROXY_STATE", self.folder.join("state"))
            .env("TMPDIR", self.folder.join("tmp"))
            .env("PROXY_NAME", "n0")
            .env_remove("PROXY_DISCOVERY")
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_OPERATOR")
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the sender");
        // For run.sh, should this program be ended from outside.
        let _ = std::fs::write(self.folder.join("pid"), child.id().to_string());
        self.child = Some(child);
        let deadline = Instant::now() + ms(15_000);
        while !self.is_healthy() {
            if Instant::now() > deadline {
                self.record.line("the sender is not ready");
                give_up(self, 2);
            }
            sleep(ms(10));
        }
        self.record.line("sender ready");
    }

    fn is_healthy(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(ms(1000)));
        let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n");
        matches!(read_message(&mut stream, &mut Vec::new()), Ok(Some(answer)) if answer.status() == 200)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            self.record.line(format!("signal {signal} to the sender"));
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
            let _ = std::fs::remove_file(self.folder.join("pid"));
            self.record.line("sender ended");
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Ends the sender and the run.
pub fn give_up(sender: &mut Sender, code: i32) -> ! {
    sender.signal(SIGKILL);
    sender.wait();
    std::process::exit(code)
}

// ---- A destination that can come back cold ---------------------------------------------------------------------------

/// The figures of the settings for a destination that returns: `Guarantees.ColdFrom`, `Cold`, `OverloadFactor`,
/// `OverloadFor`.
#[derive(Clone, Copy)]
pub struct Ramp {
    pub from: f64,
    pub cold: f64,
    pub factor: f64,
    pub window: f64,
}

pub struct ColdState {
    pub returned_at: Option<f64>,
    pub in_outage: bool,
    pub fallen_at: Option<f64>,
    arrivals: VecDeque<f64>,
    free_at: Vec<f64>,
}

/// A destination with `capacity` calls a second. After an outage it starts at a share of it; it falls when it gets more
/// calls in the window than the settings and the slack of the pages allow at that moment.
pub struct ColdDestination {
    pub capacity: f64,
    pub work: f64,
    pub ramp: Ramp,
    pub state: Mutex<ColdState>,
}

impl ColdDestination {
    pub fn new(capacity: f64, work: f64, ramp: Ramp) -> Arc<ColdDestination> {
        let cores = ((capacity * work).round() as usize).max(1);
        Arc::new(ColdDestination {
            capacity,
            work,
            ramp,
            state: Mutex::new(ColdState {
                returned_at: None,
                in_outage: false,
                fallen_at: None,
                arrivals: VecDeque::new(),
                free_at: vec![0.0; cores],
            }),
        })
    }

    pub fn warmth(&self, state: &ColdState, now: f64) -> f64 {
        match state.returned_at {
            None => 1.0,
            Some(at) => self.ramp.from + (1.0 - self.ramp.from) * ((now - at) / self.ramp.cold).clamp(0.0, 1.0),
        }
    }

    pub fn begin_outage(&self) {
        self.state.lock().unwrap().in_outage = true;
    }

    pub fn end_outage(&self, now: f64) {
        let mut state = self.state.lock().unwrap();
        state.in_outage = false;
        state.returned_at = Some(now);
        state.arrivals.clear();
        state.free_at.iter_mut().for_each(|at| *at = now);
    }

    /// Counts a call of a cold destination. `Some` with what was counted and allowed if it falls now.
    pub fn count(&self, state: &mut ColdState, now: f64) -> Option<(usize, f64)> {
        let at = state.returned_at?;
        if now >= at + self.ramp.cold || state.fallen_at.is_some() {
            return None;
        }
        state.arrivals.push_back(now);
        while state.arrivals.front().is_some_and(|first| *first < now - self.ramp.window) {
            state.arrivals.pop_front();
        }
        let n = self.ramp.factor * self.capacity * self.warmth(state, now) * self.ramp.window;
        let allowed = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
        let count = state.arrivals.len();
        if count as f64 > allowed {
            state.fallen_at = Some(now);
            return Some((count, allowed));
        }
        None
    }

    /// When a call that arrives now is answered; `None` if the queue is full.
    pub fn serve(&self, state: &mut ColdState, now: f64) -> Option<f64> {
        let queued = state.free_at.iter().map(|at| (at - now).max(0.0)).sum::<f64>();
        let work = self.work / self.warmth(state, now);
        let cores = state.free_at.len() as f64;
        if queued > 4.0 * cores * work {
            return None;
        }
        let first = state.free_at.iter_mut().min_by(|a, b| a.total_cmp(b))?;
        *first = first.max(now) + work;
        Some(*first)
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: rig NAME DIR");
        std::process::exit(2)
    };
    let file = std::fs::File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
    let record = Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    // Whatever happens, the run ends well before 120 s.
    thread::spawn(|| {
        sleep(ms(110_000));
        std::process::exit(2)
    });
    std::process::exit(cases::run(&name, &record, trouble))
}

/// Whether an instant has come, for threads that wait for one another.
pub type Flag = Arc<AtomicBool>;
