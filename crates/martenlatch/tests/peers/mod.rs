//! Scripted peers for the stories: a program under test, the platform and its regions, all on loopback. Times here
//! only end a test that hangs; no test's verdict hangs on a clock. Each file of stories uses its part.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender as Tell, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub const HANG: Duration = Duration::from_secs(40);

/// A request as a peer has read it.
#[derive(Debug)]
pub struct Heard {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Which connection it came on.
    pub conn: usize,
}

impl Heard {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, v)| v.as_str())
    }
    pub fn id(&self) -> &str {
        self.header("X-Request-ID")
    }
}

/// Reads one message; the first line is a request's or an answer's.
pub fn read(stream: &mut BufReader<TcpStream>, conn: usize) -> Option<Heard> {
    let (mut line, mut headers) = (String::new(), Vec::new());
    stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
    loop {
        let mut header = String::new();
        stream.read_line(&mut header).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = header.trim_end().split_once(": ") else {
            break;
        };
        headers.push((name.to_string(), value.to_string()));
    }
    let heard = Heard {
        line: line.trim_end().to_string(),
        headers,
        body: Vec::new(),
        conn,
    };
    let mut body = vec![0; heard.header("Content-Length").parse().unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(Heard { body, ..heard })
}

/// What a region does with a call: bytes to write, and whether it closes the connection then. No bytes: silence.
pub type Reply = (String, bool);

pub fn status(status: u16, headers: &str) -> Reply {
    (
        format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n{headers}\r\n"),
        false,
    )
}

pub fn silence() -> Reply {
    (String::new(), false)
}

/// A region that answers by its script: the place of a call among all of them decides.
pub struct Region {
    pub address: SocketAddr,
    calls: Receiver<Heard>,
    /// Connections that the sender has ended.
    pub ended: Receiver<usize>,
}

impl Region {
    pub fn new(script: impl Fn(usize, &Heard) -> Reply + Send + Sync + 'static) -> Region {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ((tell, calls), (end, ended)) = (channel(), channel());
        let (script, count) = (Arc::new(script), Arc::new(Mutex::new(0usize)));
        thread::spawn(move || {
            for (conn, stream) in listener.incoming().enumerate() {
                let (script, count, tell, end) =
                    (script.clone(), count.clone(), tell.clone(), end.clone());
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream.unwrap());
                    while let Some(heard) = read(&mut stream, conn) {
                        let no = {
                            let mut count = count.lock().unwrap();
                            *count += 1;
                            *count - 1
                        };
                        let (bytes, close) = script(no, &heard);
                        // The test hears of a call only once its answer, or its end, has been written.
                        let _ = stream.get_mut().write_all(bytes.as_bytes());
                        if close {
                            let _ = stream.get_ref().shutdown(Shutdown::Both);
                        }
                        let _ = tell.send(heard);
                        if close {
                            return;
                        }
                    }
                    let _ = end.send(conn);
                });
            }
        });
        Region {
            address,
            calls,
            ended,
        }
    }

    pub fn call(&self) -> Heard {
        self.calls.recv_timeout(HANG).expect("no call came")
    }

    pub fn heard_so_far(&self) -> Vec<Heard> {
        self.calls.try_iter().collect()
    }

    pub fn calls_so_far(&self) -> usize {
        self.calls.try_iter().count()
    }
}

/// Discovery and the receiver of notices.
pub struct Platform {
    pub address: SocketAddr,
    pub notices: Receiver<String>,
    watchers: Arc<Mutex<Vec<TcpStream>>>,
    watched: Receiver<String>,
}

impl Platform {
    /// Answers the first reports with the given statuses, and all others with 204. Status 0 closes unanswered.
    pub fn new(first: &'static [u16]) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ((tell, notices), (seen, watched)) = (channel(), channel());
        let watchers = Arc::new(Mutex::new(Vec::new()));
        let (kept, count) = (watchers.clone(), Arc::new(Mutex::new(0)));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (tell, seen, kept, count) =
                    (tell.clone(), seen.clone(), kept.clone(), count.clone());
                thread::spawn(move || {
                    Platform::serve(stream.unwrap(), first, tell, seen, kept, count)
                });
            }
        });
        Platform {
            address,
            notices,
            watchers,
            watched,
        }
    }

    fn serve(
        stream: TcpStream,
        first: &[u16],
        tell: Tell<String>,
        seen: Tell<String>,
        kept: Arc<Mutex<Vec<TcpStream>>>,
        count: Arc<Mutex<usize>>,
    ) {
        let mut stream = BufReader::new(stream);
        while let Some(heard) = read(&mut stream, 0) {
            if heard.line.starts_with("GET /v1/servers?watch=1") {
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                stream.get_mut().write_all(head).unwrap();
                kept.lock()
                    .unwrap()
                    .push(stream.get_ref().try_clone().unwrap());
                let _ = seen.send(heard.line);
                continue;
            }
            let mut count = count.lock().unwrap();
            let status = first.get(*count).copied().unwrap_or(204);
            *count += 1;
            if status == 0 {
                return;
            }
            let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
            in_pieces(stream.get_mut(), &text);
            if status == 204 {
                let lines = String::from_utf8(heard.body).unwrap();
                lines.lines().for_each(|l| drop(tell.send(l.to_string())));
            }
        }
    }

    pub fn notice(&self) -> String {
        self.notices.recv_timeout(HANG).expect("no notice came")
    }

    /// Waits for a watch, and sends it a line.
    pub fn push(&self, line: &str) {
        self.watch();
        self.push_raw(&chunk(line));
    }

    /// The first line of the next watch.
    pub fn watch(&self) -> String {
        self.watched.recv_timeout(HANG).expect("nobody watches")
    }

    pub fn push_raw(&self, bytes: &str) {
        self.watchers
            .lock()
            .unwrap()
            .iter_mut()
            .for_each(|stream| in_pieces(stream, bytes));
    }
}

/// A line of the watch, as the chunk that carries it.
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

pub fn listed(uid: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"k","pod_group":7,"state":"{state}","capacity_hint":20.0,"boot_ms":0}}"#
    )
}

pub fn table(rev: u64, all: bool, targets: &[String]) -> String {
    format!(
        r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#,
        targets.join(",")
    )
}

const SETTINGS: &str = r#"{"Areas":["a"],"Zone":"a","Balancers":1,"Kinds":["k"],"WeightKind":"rough","Categories":[
{"Name":"debit","Target":3000000000,"Deadline":16000000000,"Effect":"side_effect","Worth":1,"LateWorth":0.4},
{"Name":"meter","Target":3000000000,"Deadline":16000000000,"Effect":"token","KeyScope":"all","MemorySpan":60000000000,"Worth":1,"LateWorth":0.4}],
"FamilyInfo":{"CallsOut":8,"LosesWorth":"halving"},
"Limits":{"OpenCap":50,"AttemptsCap":8,"Cancel":true,"SecondCopies":true,"ConnectTimeout":1000000000,"ConnIdle":15000000000,"RetryAfter":true,"MaxRetryAfter":3000000000},
"Guarantees":{"StopSendingWithin":1000000000,"GraceToAnswer":20000000,"OverloadFactor":2,"OverloadFor":3000000000,"ColdFrom":0.22,"Cold":9200000000},"Tick":5000000}"#;

/// The program under test, with its folder that lasts.
pub struct Sender {
    pub address: SocketAddr,
    /// Where operators call.
    pub operator: SocketAddr,
    folder: PathBuf,
    /// What `PROXY_DISCOVERY` says at each start.
    discovery: SocketAddr,
    name: String,
    settings: Option<PathBuf>,
    /// Outranks the configuration's address of operators, where another process had that one.
    outranks: Option<SocketAddr>,
    child: Child,
}

impl Sender {
    pub fn start(story: &str, platform: &Platform, known: &str, disk_mb: f64) -> Sender {
        Sender::start_as(story, platform, known, disk_mb, "n0", None)
    }

    /// One of several, by its name, with settings of its own.
    pub fn start_with(
        story: &str,
        platform: &Platform,
        known: &str,
        name: &str,
        settings: Option<&std::path::Path>,
    ) -> Sender {
        Sender::start_as(story, platform, known, 3.0, name, settings)
    }

    fn start_as(
        story: &str,
        platform: &Platform,
        known: &str,
        disk_mb: f64,
        name: &str,
        settings: Option<&std::path::Path>,
    ) -> Sender {
        let folder =
            std::env::temp_dir().join(format!("martenlatch-{story}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("state")).unwrap();
        std::fs::create_dir_all(folder.join("tmp")).unwrap();
        // An address of its own for each sender: on a shared one, another story's peer may get the freed port.
        static STARTED: AtomicU32 = AtomicU32::new(0);
        let (no, process) = (STARTED.fetch_add(1, Ordering::Relaxed), std::process::id());
        let own = Ipv4Addr::new(
            127,
            1 + (process % 200) as u8,
            (process / 200 % 250) as u8,
            1 + no as u8,
        );
        // Below the ports that connections are given: one that tried this address too early could hold it itself.
        let mut ports = free_ports(own.into());
        let (free, operator) = (ports.next().expect("a port"), ports.next().expect("a port"));
        let config = format!(
            r#"{{"name":"n0","listen":"{free}","operator":"{operator}","discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":{disk_mb}}},"known":{known},"settings":{SETTINGS}}}"#,
            platform.address
        );
        std::fs::write(folder.join("config.json"), config).unwrap();
        let (name, settings) = (name.to_string(), settings.map(std::path::Path::to_path_buf));
        let child = Sender::spawn(&folder, platform.address, &name, settings.as_deref(), None);
        let (discovery, outranks) = (platform.address, None);
        Sender {
            address: free,
            operator,
            folder,
            discovery,
            name,
            settings,
            outranks,
            child,
        }
        .ready()
    }

    fn spawn_again(&self) -> Child {
        Sender::spawn(
            &self.folder,
            self.discovery,
            &self.name,
            self.settings.as_deref(),
            self.outranks,
        )
    }

    /// Starts the program once more beside the one that serves, where operators call elsewhere.
    pub fn beside(&self) -> (Child, SocketAddr) {
        let operator = free_ports(self.address.ip()).next().expect("a port");
        let (folder, settings) = (&self.folder, self.settings.as_deref());
        (
            Sender::spawn(folder, self.discovery, &self.name, settings, Some(operator)),
            operator,
        )
    }

    /// Waits until a process beside it says that it serves, and for the end of this one: its exit code and log.
    pub fn give_way(&mut self, (child, operator): (Child, SocketAddr)) -> (Option<i32>, String) {
        until("it serves", || {
            called(operator, "health\n").starts_with("ACK")
        });
        (self.operator, self.outranks) = (operator, Some(operator));
        let mut old = std::mem::replace(&mut self.child, child);
        let mut log = String::new();
        old.stdout.take().unwrap().read_to_string(&mut log).unwrap();
        (old.wait().unwrap().code(), log)
    }

    /// Its folder that lasts.
    pub fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Where processes of its folder meet.
    pub fn meeting(&self) -> PathBuf {
        let mut files = std::fs::read_dir(self.folder.join("tmp"))
            .unwrap()
            .flatten();
        files.next().expect("a socket").path()
    }

    fn spawn(
        folder: &std::path::Path,
        discovery: SocketAddr,
        name: &str,
        settings: Option<&std::path::Path>,
        operator: Option<SocketAddr>,
    ) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_martenlatch"));
        command.env_remove("PROXY_OPERATOR");
        if let Some(operator) = operator {
            command.env("PROXY_OPERATOR", operator.to_string());
        }
        if let Some(settings) = settings {
            command.env("MARTENLATCH_SETTINGS", settings);
        }
        command
            .env("PROXY_CONFIG", folder.join("config.json"))
            .env("PROXY_STATE", folder.join("state"))
            .env_remove("PROXY_LISTEN")
            .env("TMPDIR", folder.join("tmp"))
            .env("PROXY_NAME", name)
            .env("PROXY_DISCOVERY", discovery.to_string())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap()
    }

    fn ready(self) -> Sender {
        let hang = std::time::Instant::now();
        while !self.healthy() {
            assert!(hang.elapsed() < HANG, "the sender never served");
            thread::sleep(Duration::from_millis(5));
        }
        self
    }

    /// A socket that was only tried lives on for a moment in a process that another thread starts just then: a
    /// connection may still come up there, and end unanswered.
    fn healthy(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else {
            return false;
        };
        stream.set_read_timeout(Some(HANG)).unwrap();
        let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\n\r\n");
        read(&mut BufReader::new(stream), 0).is_some_and(|said| answered(&said) == 200)
    }

    pub fn kill_and_restart(mut self) -> Sender {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = self.spawn_again();
        self.ready()
    }

    /// Starts it again once it has ended.
    pub fn after_its_end(mut self) -> Sender {
        self.child.wait().unwrap();
        self.child = self.spawn_again();
        self.ready()
    }

    /// Kills it, has its folder that lasts changed, and starts it again.
    pub fn restart_after(mut self, change: impl FnOnce(&std::path::Path)) -> Sender {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        change(&self.folder.join("state"));
        self.child = self.spawn_again();
        self.ready()
    }

    pub fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// What it holds of the machine's memory now.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Tells it to end, waits until it has, and starts it again.
    pub fn end_and_restart(mut self) -> Sender {
        self.signal("TERM");
        assert_eq!(self.child.wait().unwrap().code(), Some(0));
        self.child = self.spawn_again();
        self.ready()
    }

    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        assert!(
            Command::new("sh")
                .args(["-c", &command])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Starts it with its configuration changed, which must end it: its exit code and what it wrote to standard error.
    pub fn restart_with(mut self, from: &str, to: &str) -> (Option<i32>, String) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.configure(from, to);
        let output = self.spawn_again().wait_with_output().unwrap();
        (
            output.status.code(),
            String::from_utf8(output.stderr).unwrap(),
        )
    }

    pub fn configure(&self, from: &str, to: &str) {
        let path = self.folder.join("config.json");
        let config = std::fs::read_to_string(&path).unwrap();
        assert!(config.contains(from), "{from} is not in the configuration");
        std::fs::write(&path, config.replace(from, to)).unwrap();
    }

    /// Changes its configuration while it runs, and tells it so. It has read it once it answers again.
    pub fn reload(&self, from: &str, to: &str) {
        self.configure(from, to);
        self.signal("HUP");
        (0..2).for_each(|_| assert_eq!(self.exchange("GET /healthz HTTP/1.1\r\n\r\n"), 200));
    }

    /// Tells it to end, and returns the counters that it prints then.
    pub fn counters(self) -> String {
        self.signal("TERM");
        let log = self.finish().1;
        log.lines()
            .rfind(|l| l.contains(" counters held="))
            .expect("counters at the exit")
            .to_string()
    }

    /// Waits for its end; its exit code and what it printed.
    pub fn finish(mut self) -> (Option<i32>, String) {
        let mut log = String::new();
        self.child
            .stdout
            .take()
            .unwrap()
            .read_to_string(&mut log)
            .unwrap();
        (self.child.wait().unwrap().code(), log)
    }

    /// Calls it as an operator does: all that it answers until it ends.
    pub fn operate(&self, text: &str) -> String {
        called(self.operator, text)
    }

    /// Its figures, by name. Calls are answered before the rest of a round: the first one ends the round at hand.
    pub fn figures(&self) -> std::collections::BTreeMap<String, u64> {
        (0..2).for_each(|_| assert_eq!(self.exchange("GET /healthz HTTP/1.1\r\n\r\n"), 200));
        let said = self.operate("counters\n");
        let lines = said
            .strip_prefix("ACK figures\n")
            .and_then(|l| l.strip_suffix("--\n"))
            .expect("figures");
        let figure = |line: &str| {
            let (name, value) = line.rsplit_once(' ').unwrap();
            (name.replace("sender_", ""), value.parse().unwrap())
        };
        lines.lines().map(figure).collect()
    }

    pub fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(HANG)).unwrap();
        BufReader::new(stream)
    }

    /// Writes bytes on a new connection, and returns the answer's status.
    pub fn exchange(&self, text: &str) -> u16 {
        let mut stream = self.connect();
        let _ = stream.get_mut().write_all(text.as_bytes());
        answered(&read(&mut stream, 0).expect("no answer came"))
    }

    pub fn hand_in(&self, class: &str, id: &str, timeout: &str) -> u16 {
        self.exchange(&request(class, id, timeout, "hello"))
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Addresses where nobody listens. They are called, not bound: what this process binds, a process that another thread is
/// just starting holds for a moment longer, and the program under test would find its address taken.
fn free_ports(own: std::net::IpAddr) -> impl Iterator<Item = SocketAddr> {
    let ports = (20_000..30_000).map(move |port| SocketAddr::new(own, port));
    ports.filter(|address| TcpStream::connect(address).is_err())
}

/// Looks until something is so, for as long as a test may hang.
pub fn until(what: &str, mut so: impl FnMut() -> bool) {
    let hang = std::time::Instant::now();
    while !so() {
        assert!(hang.elapsed() < HANG, "never seen: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Writes byte by byte: whatever the sender reads comes in pieces.
fn in_pieces(stream: &mut TcpStream, text: &str) {
    let _ = stream.set_nodelay(true);
    let _ = text.bytes().try_for_each(|byte| stream.write_all(&[byte]));
}

/// Calls an operators' address: all that it answers until it ends, or nothing where nobody listens.
pub fn called(operator: SocketAddr, text: &str) -> String {
    let mut said = String::new();
    if let Ok(mut stream) = TcpStream::connect(operator) {
        stream.set_read_timeout(Some(HANG)).unwrap();
        let _ = stream.write_all(text.as_bytes());
        let _ = stream.read_to_string(&mut said);
    }
    said
}

pub fn answered(answer: &Heard) -> u16 {
    answer
        .line
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .expect("an answer's first line")
}

pub fn request(class: &str, id: &str, timeout: &str, body: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Timeout: {timeout}\r\n\
         Idempotency-Key: k-{id}\r\nContent-Length: {}\r\nX-Route-To: dest=7\r\n\r\n{body}",
        body.len()
    )
}
