//! Small stand-ins for the cases of the review: clients, endpoints, the agent of discovery that also takes notices, and
//! the start and end of sender processes. Standard library only; every address is a loopback address.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption takes place; not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The clock and the record of a run.
pub struct World {
    started: Instant,
    record: Mutex<File>,
    pub stop: AtomicBool,
    /// The third byte of the loopback addresses of this run.
    octets: (u8, u8),
    addresses: AtomicU64,
}

impl World {
    /// The folder of the case is the first argument of the program.
    pub fn new() -> Arc<World> {
        let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
        let path = Path::new(&folder).join("record.txt");
        let record = File::create(&path).unwrap_or_else(|error| {
            eprintln!("{}: {error}", path.display());
            std::process::exit(COULD_NOT_RUN)
        });
        let seed = u64::from(std::process::id())
            ^ SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |time| time.subsec_nanos() as u64);
        Arc::new(World {
            started: Instant::now(),
            record: Mutex::new(record),
            stop: AtomicBool::new(false),
            octets: ((seed % 120) as u8 + 100, (seed / 120 % 250) as u8 + 1),
            addresses: AtomicU64::new(1),
        })
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left / 1e3));
        }
    }

    /// Adds a line to the record.
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.1} {}\n", self.now(), text.as_ref());
        if let Ok(mut file) = self.record.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }

    /// The same, and on the standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.note(text);
    }

    /// A listener on a loopback address of its own and a free port.
    pub fn listen(&self) -> TcpListener {
        let host = self.addresses.fetch_add(1, Ordering::Relaxed) as u8;
        let address = Ipv4Addr::new(127, self.octets.0, self.octets.1, host);
        TcpListener::bind((address, 0)).unwrap_or_else(|error| could_not_run(&error.to_string()))
    }

    /// A loopback address with a port that is free now.
    pub fn free_address(&self) -> SocketAddr {
        self.listen()
            .local_addr()
            .unwrap_or_else(|error| could_not_run(&error.to_string()))
    }
}

/// The wall clock, as Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

pub fn could_not_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    kill_children();
    let _ = std::fs::remove_dir_all(case_folder());
    std::process::exit(COULD_NOT_RUN)
}

/// The temporary folder of this run.
fn case_folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}

/// The ids of the processes that were started and not reaped yet.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn kill_children() {
    for id in CHILDREN.lock().unwrap().drain(..) {
        // SAFETY: a process that is not reaped keeps its id.
        unsafe {
            kill(id as i32, SIGKILL);
            waitpid(id as i32, std::ptr::null_mut(), 0);
        }
    }
}

/// A message of HTTP/1.1: the first line, the headers with names in lower case, and the body.
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        let code = self.first_line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// A connection that reads messages.
pub struct Http {
    pub stream: TcpStream,
    read: Vec<u8>,
    /// When the first byte of the message that is being read arrived.
    pub began: Option<Instant>,
}

/// Why no message was read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    /// The peer has ended the connection in order.
    Closed,
    /// The peer has reset the connection.
    Reset,
    TimedOut,
}

impl Http {
    pub fn new(stream: TcpStream) -> Http {
        let _ = stream.set_nodelay(true);
        Http {
            stream,
            read: Vec::new(),
            began: None,
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads one message with a `Content-Length`.
    pub fn read(&mut self, timeout: Duration) -> Result<Message, Ended> {
        let until = Instant::now() + timeout;
        self.began = (!self.read.is_empty()).then(Instant::now);
        loop {
            if let Some(message) = self.take_message() {
                return Ok(message);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Ended::TimedOut);
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let mut buffer = [0; 65_536];
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(Ended::Closed),
                Ok(count) => {
                    self.began.get_or_insert_with(Instant::now);
                    self.read.extend(&buffer[..count]);
                }
                Err(error) if is_timeout(&error) => return Err(Ended::TimedOut),
                Err(_) => return Err(Ended::Reset),
            }
        }
    }

    fn take_message(&mut self) -> Option<Message> {
        let end = self.read.windows(4).position(|four| four == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.read[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_string();
        let headers: HashMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        let length: usize = headers
            .get("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        if self.read.len() < end + 4 + length {
            return None;
        }
        let body = self.read[end + 4..end + 4 + length].to_vec();
        self.read.drain(..end + 4 + length);
        Some(Message {
            first_line,
            headers,
            body,
        })
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
    matches!(error.kind(), WouldBlock | TimedOut | Interrupted)
}

/// One entry of discovery's list.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub az: String,
    pub model: String,
    pub pod_group: u64,
    pub state: String,
    pub capacity_hint: f64,
    /// Unix time in milliseconds; 0 means long ago.
    pub boot_ms: u64,
}

impl Target {
    pub fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"{}\",\"pod_group\":{},\"state\":\"{}\",\"capacity_hint\":{:.1},\"boot_ms\":{}}}",
            self.uid,
            self.endpoint,
            self.az,
            self.model,
            self.pod_group,
            self.state,
            self.capacity_hint,
            self.boot_ms
        )
    }
}

/// The JSON object of a list or of changes.
pub fn list_json(rev: u64, all: bool, targets: &[Target]) -> String {
    let entries: Vec<String> = targets.iter().map(Target::json).collect();
    format!(
        "{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}",
        entries.join(",")
    )
}

/// A notice that the platform has received.
#[derive(Clone, Debug)]
pub struct Notice {
    pub at: f64,
    pub status: String,
}

/// The agent on the sender's machine: discovery, and the platform's address for notices.
pub struct Agent {
    world: Arc<World>,
    pub address: SocketAddr,
    /// All changes: the version after each, and the entry.
    changes: Mutex<Vec<(u64, Target)>>,
    /// Watches with a lower number than this have fallen silent.
    silent_below: AtomicU64,
    watches: AtomicU64,
    /// When an empty line was last written to a watch, in milliseconds of the run.
    last_empty_line: AtomicU64,
    pub notices: Mutex<BTreeMap<String, Vec<Notice>>>,
}

impl Agent {
    pub fn start(world: &Arc<World>, targets: Vec<Target>) -> Arc<Agent> {
        let listener = world.listen();
        let agent = Arc::new(Agent {
            world: world.clone(),
            address: listener.local_addr().unwrap(),
            changes: Mutex::new(targets.into_iter().map(|target| (1, target)).collect()),
            silent_below: AtomicU64::new(0),
            watches: AtomicU64::new(0),
            last_empty_line: AtomicU64::new(0),
            notices: Mutex::default(),
        });
        let serving = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || agent.serve(Http::new(stream)));
            }
        });
        agent
    }

    /// The version of the list and its entries.
    pub fn list(&self) -> (u64, Vec<Target>) {
        let changes = self.changes.lock().unwrap();
        let mut last: BTreeMap<String, Target> = BTreeMap::new();
        for (_, target) in changes.iter() {
            last.insert(target.uid.clone(), target.clone());
        }
        let rev = changes.last().map_or(0, |(rev, _)| *rev);
        let listed = last
            .into_values()
            .filter(|target| target.state != "terminated");
        (rev, listed.collect())
    }

    /// Changes an entry of the list and tells all open watches.
    pub fn change(&self, target: Target) {
        let mut changes = self.changes.lock().unwrap();
        let rev = changes.last().map_or(0, |(rev, _)| *rev) + 1;
        self.world
            .note(format!("list: rev {rev} {}", target.json()));
        changes.push((rev, target));
    }

    /// The entries that have changed after a version, the last state of each, and the present version.
    fn changes_after(&self, from: u64) -> (u64, Vec<Target>) {
        let changes = self.changes.lock().unwrap();
        let rev = changes.last().map_or(0, |(rev, _)| *rev);
        let mut last: BTreeMap<String, Target> = BTreeMap::new();
        for (at, target) in changes.iter() {
            if *at > from {
                last.insert(target.uid.clone(), target.clone());
            }
        }
        (rev, last.into_values().collect())
    }

    fn serve(&self, mut http: Http) {
        while let Ok(request) = http.read(Duration::from_secs(60)) {
            if request.first_line.starts_with("POST /reports") {
                self.take_notices(&String::from_utf8_lossy(&request.body));
                if !http.write(b"HTTP/1.1 204 No Content\r\n\r\n") {
                    return;
                }
            } else if request.first_line.contains("watch=1") {
                let from = request.first_line.split("from=").nth(1).unwrap_or("0");
                let from = from.split([' ', '&']).next().unwrap_or("0");
                return self.watch(&mut http, from.parse().unwrap_or(0));
            } else if request.first_line.starts_with("GET /v1/servers") {
                let (rev, targets) = self.list();
                let body = list_json(rev, true, &targets);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                http.write((head + &body).as_bytes());
            } else {
                http.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            }
        }
    }

    fn take_notices(&self, lines: &str) {
        let at = self.world.now();
        for line in lines.lines() {
            let id = line
                .split("\"id\":\"")
                .nth(1)
                .and_then(|rest| rest.split('"').next());
            let status = line
                .split("\"status\":\"")
                .nth(1)
                .and_then(|rest| rest.split('"').next());
            let (Some(id), Some(status)) = (id, status) else {
                continue;
            };
            self.world.note(format!("notice {line}"));
            let notice = Notice {
                at,
                status: status.to_string(),
            };
            let mut notices = self.notices.lock().unwrap();
            notices.entry(id.to_string()).or_default().push(notice);
        }
    }

    /// Waits for the next empty line on a watch, then has all open watches fall silent. Their connections stay open.
    pub fn silence_open_watches(&self) {
        let before = self.last_empty_line.load(Ordering::Relaxed);
        while self.last_empty_line.load(Ordering::Relaxed) == before {
            sleep_ms(5);
        }
        self.silent_below
            .store(self.watches.load(Ordering::Relaxed), Ordering::Relaxed);
        self.world.note("the open watch falls silent");
    }

    fn watch(&self, http: &mut Http, from: u64) {
        let number = self.watches.fetch_add(1, Ordering::Relaxed);
        self.world
            .note(format!("watch {number} opened with from={from}"));
        if !http.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") {
            return;
        }
        let (mut told, whole) = self.list();
        let (_, changed) = self.changes_after(from);
        let first = if from == 0 {
            list_json(told, true, &whole)
        } else {
            list_json(told, false, &changed)
        };
        let mut next_line = self.world.now() + 2_000.0;
        let mut open = write_chunk(http, &(first + "\n"));
        while open && !self.world.stop.load(Ordering::Relaxed) {
            sleep_ms(20);
            if number < self.silent_below.load(Ordering::Relaxed) {
                continue;
            }
            let (rev, changed) = self.changes_after(told);
            if rev > told {
                told = rev;
                open = write_chunk(http, &(list_json(rev, false, &changed) + "\n"));
                next_line = self.world.now() + 2_000.0;
            } else if self.world.now() >= next_line {
                open = write_chunk(http, "\n");
                self.last_empty_line
                    .store(self.world.now() as u64, Ordering::Relaxed);
                next_line += 2_000.0;
            }
        }
    }

    /// The first notice of a message.
    pub fn notice(&self, id: &str) -> Option<Notice> {
        self.notices.lock().unwrap().get(id)?.first().cloned()
    }
}

fn write_chunk(http: &mut Http, text: &str) -> bool {
    http.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// What an endpoint does with a call.
pub enum Reply {
    /// Answers after some milliseconds.
    Answer(u64, u16, &'static str),
    /// Does not answer for some milliseconds, then ends the connection.
    Silence(u64),
    /// Writes these bytes after some milliseconds, and ends the connection behind them if true.
    Bytes(u64, Vec<u8>, bool),
}

/// Starts an endpoint. `act` decides on each call whose last byte has arrived, and records what it runs.
pub fn start_endpoint(
    world: &Arc<World>,
    act: impl Fn(&Message) -> Reply + Send + Sync + 'static,
) -> SocketAddr {
    let listener = world.listen();
    let address = listener.local_addr().unwrap();
    let act = Arc::new(act);
    let world = world.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (act, world) = (act.clone(), world.clone());
            thread::spawn(move || {
                let mut http = Http::new(stream);
                while let Ok(call) = http.read(Duration::from_millis(15_000)) {
                    match act(&call) {
                        Reply::Answer(after, status, headers) => {
                            sleep_ms(after);
                            // Each answer has a line of its own, so that no answer equals another.
                            let answer = format!(
                                "HTTP/1.1 {status} X\r\nX-Answer: {:.3}\r\n{headers}Content-Length: 0\r\n\r\n",
                                world.now()
                            );
                            if !http.write(answer.as_bytes()) {
                                return;
                            }
                        }
                        Reply::Bytes(after, bytes, ends) => {
                            sleep_ms(after);
                            if !http.write(&bytes) || ends {
                                return;
                            }
                        }
                        Reply::Silence(after) => {
                            sleep_ms(after);
                            return;
                        }
                    }
                }
                let _ = http.stream.shutdown(Shutdown::Both);
            });
        }
    });
    address
}

/// What a client has heard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Heard {
    Status(u16),
    /// No answer within 400 ms.
    Nothing,
    /// The connection ended without an answer. True if that happened on a connection that had carried an answer.
    Closed(bool),
    /// The same, by a reset.
    Reset(bool),
    /// No connection came up.
    Refused,
}

/// A client that keeps one connection and sends one request at a time.
pub struct Client {
    sender: SocketAddr,
    connection: Option<Http>,
}

impl Client {
    pub fn new(sender: SocketAddr) -> Client {
        Client {
            sender,
            connection: None,
        }
    }

    /// Hands a message in. If the end of a resting connection crosses the request, it is sent once more on a new one.
    pub fn hand_in(
        &mut self,
        class: &str,
        id: &str,
        destination: u64,
        timeout_s: f64,
        key: Option<&str>,
        body: &[u8],
    ) -> Heard {
        let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let head = format!(
            "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Timeout: {timeout_s:.3}\r\n{key}Content-Length: {}\r\nX-Route-To: dest={destination}\r\n\r\n",
            body.len()
        );
        let request = [head.as_bytes(), body].concat();
        match self.ask(&request) {
            Heard::Closed(true) | Heard::Reset(true) => self.ask(&request),
            heard => heard,
        }
    }

    pub fn ask(&mut self, request: &[u8]) -> Heard {
        let kept = self.connection.is_some();
        let mut http = match self.connection.take() {
            Some(http) => http,
            None => match TcpStream::connect_timeout(&self.sender, Duration::from_millis(400)) {
                Ok(stream) => Http::new(stream),
                Err(_) => return Heard::Refused,
            },
        };
        if !http.write(request) {
            return Heard::Reset(kept);
        }
        match http.read(Duration::from_millis(400)) {
            Ok(answer) => {
                if !answer.header("connection").eq_ignore_ascii_case("close") {
                    self.connection = Some(http);
                }
                Heard::Status(answer.status())
            }
            Err(Ended::TimedOut) => Heard::Nothing,
            Err(Ended::Closed) => Heard::Closed(kept),
            Err(Ended::Reset) => Heard::Reset(kept),
        }
    }
}

/// The machine of one sender: its folders, its configuration and its addresses.
pub struct Machine {
    world: Arc<World>,
    root: PathBuf,
    pub folder: PathBuf,
    pub listen: SocketAddr,
    /// The limit on descriptors in the configuration.
    pub sockets: u32,
    run: String,
}

/// A process of the sender. It is killed when it is dropped.
pub struct Process {
    world: Arc<World>,
    child: Child,
    name: String,
}

impl Machine {
    /// A machine with empty folders. The second argument of the program is the root of the repository.
    pub fn new(world: &Arc<World>) -> Machine {
        let root = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| ".".into()));
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml"))
            .unwrap_or_else(|error| could_not_run(&format!("deploy/balancer.toml: {error}")));
        let run = deploy
            .lines()
            .find_map(|line| {
                line.strip_prefix("run = \"")?
                    .split('"')
                    .next()
                    .map(str::to_string)
            })
            .unwrap_or_else(|| could_not_run("the deploy file has no run"));
        if !root.join("target/release/martenlatch").exists() {
            could_not_run("the program is not built");
        }
        let folder = case_folder();
        let _ = std::fs::remove_dir_all(&folder);
        for part in ["state", "tmp"] {
            std::fs::create_dir_all(folder.join(part))
                .unwrap_or_else(|error| could_not_run(&error.to_string()));
        }
        Machine {
            world: world.clone(),
            root,
            folder,
            listen: world.free_address(),
            sockets: 1024,
            run,
        }
    }

    /// Writes the configuration file.
    pub fn configure(&self, discovery: SocketAddr, known: &str, settings: &str) {
        let text = format!(
            "{{\"name\":\"n0\",\"listen\":\"{}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{},\"disk_mb\":3}},\"known\":{known},\"settings\":{settings}}}",
            self.listen, self.sockets
        );
        let path = self.folder.join("config.json");
        let next = self.folder.join("config.next");
        std::fs::write(&next, text)
            .and_then(|()| std::fs::rename(&next, &path))
            .unwrap_or_else(|error| could_not_run(&error.to_string()));
    }

    /// Starts the program of the deploy file with the present configuration.
    pub fn start(&self, name: &str, operator: Option<SocketAddr>) -> Process {
        let log = File::create(self.folder.join(format!("{name}.log")))
            .unwrap_or_else(|error| could_not_run(&error.to_string()));
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &self.run])
            .current_dir(&self.root)
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", self.listen.to_string())
            .env("PROXY_CONFIG", self.folder.join("config.json"))
            .env("PROXY_STATE", self.folder.join("state"))
            .env("TMPDIR", self.folder.join("tmp"))
            .env_remove("PROXY_DISCOVERY")
            .env_remove("PROXY_OPERATOR")
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log);
        if let Some(address) = operator {
            command.env("PROXY_OPERATOR", address.to_string());
        }
        let child = command
            .spawn()
            .unwrap_or_else(|error| could_not_run(&error.to_string()));
        CHILDREN.lock().unwrap().push(child.id());
        self.world.note(format!("process {name} started"));
        Process {
            world: self.world.clone(),
            child,
            name: name.to_string(),
        }
    }

    /// Waits until the sender answers its health check with 200.
    pub fn wait_until_ready(&self, limit_ms: u64) {
        let until = Instant::now() + Duration::from_millis(limit_ms);
        while Instant::now() < until {
            let heard =
                Client::new(self.listen).ask(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
            if heard == Heard::Status(200) {
                self.world.note("the sender is ready");
                return;
            }
            sleep_ms(20);
        }
        self.finish(COULD_NOT_RUN, "the sender did not become ready")
    }

    /// The log of a process.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Adds the logs of the processes to the record, removes the folders and ends the case.
    pub fn finish(&self, code: i32, text: &str) -> ! {
        self.world.stop.store(true, Ordering::Relaxed);
        if let Ok(entries) = std::fs::read_dir(&self.folder) {
            for path in entries.flatten().map(|entry| entry.path()) {
                if path.extension().is_some_and(|extension| extension == "log") {
                    let name = path
                        .file_name()
                        .unwrap_or_default()
                        .to_string_lossy()
                        .into_owned();
                    let log = std::fs::read_to_string(&path).unwrap_or_default();
                    for line in log.lines() {
                        self.world.note(format!("{name}: {line}"));
                    }
                }
            }
        }
        kill_children();
        let _ = std::fs::remove_dir_all(&self.folder);
        self.world.say(format!("exit {code}: {text}"));
        std::process::exit(code)
    }
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        self.world.note(format!("signal {signal} to {}", self.name));
        // SAFETY: the child is not reaped before it is dropped, so its id names this process only.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        let id = self.child.id();
        let mut children = CHILDREN.lock().unwrap();
        let status = self.child.try_wait().ok().flatten();
        if status.is_some() {
            children.retain(|child| *child != id);
        }
        status
    }

    /// Waits for the end of the process.
    pub fn wait_for_end(&mut self, limit_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(limit_ms);
        while Instant::now() < until {
            if self.ended().is_some() {
                return true;
            }
            sleep_ms(5);
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.ended().is_none() {
            let _ = self.child.kill();
            self.wait_for_end(2_000);
        }
    }
}

/// Sends an operator's line, and returns the first line of the answer.
pub fn operate(address: SocketAddr, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer.lines().next().map(str::to_string)
}
