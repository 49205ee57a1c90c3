//! Owns a sender under test: its folder, its configuration, its process and what that costs. It must never leave a
//! process or a folder behind, or end one that it did not start.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use martenlatch_policy::interface::{Idempotency, Settings};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

/// A sender that is not ready by then has not started.
const START: Duration = Duration::from_secs(10);

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Used {
    /// Processor time in milliseconds, in all.
    pub cpu_ms: f64,
    /// Memory now, in KiB.
    pub memory_kb: u64,
}

/// A sender under test.
#[derive(Debug)]
pub struct Sender {
    /// Where clients reach it.
    pub address: SocketAddr,
    name: String,
    folder: tempfile::TempDir,
    program: PathBuf,
    settings: Option<PathBuf>,
    /// Its configuration, whose list is what it last had.
    config: Value,
    child: Option<Child>,
    ready: Option<Receiver<Result<(), String>>>,
    /// Processor time of earlier lives.
    before_ms: f64,
    latest: Used,
}

/// The settings as a platform gives them.
pub fn platform_settings(set: &Settings, classes: &[String], kinds: &[String]) -> Value {
    let class = |(name, c): (&String, &martenlatch_policy::interface::MessageClass)| {
        let mut it = json!({"Name": name, "Target": c.latency_objective, "Deadline": c.deadline, "Worth": c.priority_weight, "LateWorth": c.late_weight_share});
        match c.idempotency {
            Idempotency::Idempotent => it["Effect"] = json!("pure"),
            Idempotency::NonIdempotent => it["Effect"] = json!("side_effect"),
            Idempotency::IdempotencyKey { window, .. } => {
                it["Effect"] = json!("token");
                it["KeyScope"] = json!("all");
                it["MemorySpan"] = json!(window);
            }
        }
        it
    };
    json!({
        "Areas": ["a"], "Zone": "a", "Balancers": set.senders, "Kinds": kinds, "WeightKind": "rough",
        "Categories": classes.iter().zip(&set.classes).map(class).collect::<Vec<_>>(),
        "FamilyInfo": {"CallsOut": set.max_in_flight, "LosesWorth": "halving"},
        "Limits": {"OpenCap": set.max_held, "AttemptsCap": set.max_attempts, "Cancel": set.may_cancel,
            "SecondCopies": set.may_hedge, "ConnectTimeout": set.connect_timeout, "ConnIdle": set.idle_timeout,
            "RetryAfter": true, "MaxRetryAfter": set.max_retry_after.unwrap_or(0)},
        // The first two are for programs before 0.3.
        "Guarantees": {"StopSendingWithin": 1_000_000_000u64, "GraceToAnswer": 20_000_000u64,
            "OverloadFactor": set.recovery.overload_factor, "OverloadFor": set.recovery.overload_window,
            "ColdFrom": set.recovery.initial_share, "Cold": set.recovery.duration},
        "Tick": set.turn_interval
    })
}

/// Ports of senders for clients and for one another, below those that connections are given.
const PORTS: std::ops::Range<u16> = 20_000..30_000;
const PEER_PORTS: std::ops::Range<u16> = 30_000..32_000;

/// An address of its own for each sender.
fn free(no: u32, mut ports: std::ops::Range<u16>) -> Result<SocketAddr, String> {
    let process = std::process::id();
    let own = Ipv4Addr::new(
        127,
        1 + (process % 200) as u8,
        (process / 200 % 250) as u8,
        1 + (no % 250) as u8,
    );
    let found = ports.find_map(|port| TcpListener::bind((own, port)).ok());
    found
        .and_then(|l| l.local_addr().ok())
        .ok_or_else(|| format!("no free port at {own}"))
}

impl Sender {
    /// Prepares a sender's folder and configuration; nothing runs yet.
    ///
    /// # Errors
    /// Where there is no such program, no free port or no room for the folder.
    pub fn new(
        no: u32,
        program: &Path,
        settings: Option<&Path>,
        discovery: SocketAddr,
        set: &Value,
        seed: u64,
    ) -> Result<Sender, String> {
        if !program.is_file() {
            return Err(format!(
                "{}: no such program; build it, or name one in the variant",
                program.display()
            ));
        }
        let folder = tempfile::Builder::new()
            .prefix("martenlatch-lab-")
            .tempdir();
        let folder = folder.map_err(|e| format!("no temporary folder: {e}"))?;
        let (address, name) = (free(no, PORTS)?, format!("n{no}"));
        let config = json!({"name": name, "listen": address.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{:016x}", seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ u64::from(no)),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096, "disk_mb": 64},
            "known": Value::Null, "settings": set});
        let state = folder.path().join("state");
        std::fs::create_dir(&state).map_err(|e| format!("{}: {e}", state.display()))?;
        let (program, settings) = (program.to_path_buf(), settings.map(Path::to_path_buf));
        let (child, ready, before_ms, latest) = (None, None, 0.0, Used::default());
        Ok(Sender {
            address,
            name,
            folder,
            program,
            settings,
            config,
            child,
            ready,
            before_ms,
            latest,
        })
    }

    /// Where others reach it that it knows.
    ///
    /// # Errors
    /// Where no port is free.
    pub fn peer_address(&self, no: u32) -> Result<SocketAddr, String> {
        free(no, PEER_PORTS)
    }

    /// Has it know others: its own settings, with what they say of peers put behind.
    ///
    /// # Errors
    /// Where its files cannot be read or written.
    pub fn meets(&mut self, own: SocketAddr, seeds: &[SocketAddr]) -> Result<(), String> {
        let failed = |file: &Path, e: std::io::Error| format!("{}: {e}", file.display());
        let (file, secret) = (
            self.folder.path().join("settings.textproto"),
            self.folder.path().join("secret"),
        );
        let mut text = match &self.settings {
            Some(told) => std::fs::read_to_string(told).map_err(|e| failed(told, e))?,
            None => String::new(),
        };
        text += &format!(
            "\npeers {{ listen: \"{own}\" secret_file: {:?} keep: true",
            secret.display().to_string()
        );
        seeds
            .iter()
            .for_each(|seed| text += &format!(" seed: \"{seed}\""));
        text += " }\n";
        std::fs::write(&secret, "the laboratory's own secret").map_err(|e| failed(&secret, e))?;
        std::fs::write(&file, text).map_err(|e| failed(&file, e))?;
        self.settings = Some(file);
        Ok(())
    }

    /// Writes its configuration, with the list as it was last told.
    ///
    /// # Errors
    /// Where the file cannot be written.
    pub fn configure(&mut self, known: Value) -> Result<(), String> {
        self.config["known"] = known;
        let file = self.folder.path().join("config.json");
        std::fs::write(&file, self.config.to_string())
            .map_err(|e| format!("{}: {e}", file.display()))
    }

    /// Starts its process; [`Sender::ready`] tells when it serves.
    ///
    /// # Errors
    /// Where the program cannot be started.
    pub fn start(&mut self) -> Result<(), String> {
        let failed =
            |e: std::io::Error| format!("sender {}: {}: {e}", self.name, self.program.display());
        let log = |name: &str| {
            std::fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.folder.path().join(name))
                .map_err(failed)
        };
        // A file that may not grow must fail its write, not end the process: see `full_disk`. The shell gives its
        // place to the program.
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", "trap '' XFSZ; exec \"$0\""])
            .arg(&self.program)
            .env("PROXY_CONFIG", self.folder.path().join("config.json"))
            .env("PROXY_STATE", self.folder.path().join("state"))
            .env("TMPDIR", self.folder.path())
            .env("PROXY_NAME", &self.name)
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_DISCOVERY")
            .env_remove("MARTENLATCH_SETTINGS")
            .stdin(Stdio::null())
            .stdout(log("log")?)
            .stderr(log("errors")?);
        if let Some(settings) = &self.settings {
            command.env("MARTENLATCH_SETTINGS", settings);
        }
        self.child = Some(command.spawn().map_err(failed)?);
        let (tell, ready) = channel();
        let (address, name) = (self.address, self.name.clone());
        std::thread::spawn(move || drop(tell.send(until_healthy(address, &name))));
        self.ready = Some(ready);
        Ok(())
    }

    /// Whether it has come to serve since it was started: once true, then none again until the next start.
    ///
    /// # Errors
    /// Where it has not come to serve in its time.
    pub fn ready(&mut self) -> Result<bool, String> {
        let Some(told) = self.ready.as_ref().and_then(|r| r.try_recv().ok()) else {
            return Ok(false);
        };
        self.ready = None;
        told.map(|()| true)
            .map_err(|e| format!("{e}{}", self.last_words()))
    }

    fn last_words(&self) -> String {
        let errors = std::fs::read_to_string(self.folder.path().join("errors")).unwrap_or_default();
        errors
            .lines()
            .last()
            .map_or(String::new(), |l| format!(": {l}"))
    }

    /// Sends a signal to the process that was started here.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Lets none of its files grow, or all of them: every write that would is refused, as on a disk without room.
    ///
    /// # Errors
    /// Where the limit of the process cannot be set.
    pub fn full_disk(&self, full: bool) -> Result<(), String> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let size = if full {
            "--fsize=0:unlimited"
        } else {
            "--fsize=unlimited:unlimited"
        };
        let set = Command::new("prlimit")
            .args(["--pid", &child.id().to_string(), size])
            .output();
        match set {
            Ok(done) if done.status.success() => Ok(()),
            Ok(done) => Err(format!(
                "prlimit: {}",
                String::from_utf8_lossy(&done.stderr).trim()
            )),
            Err(e) => Err(format!("prlimit: {e}")),
        }
    }

    /// Looks whether it has ended: none while it runs; then its exit code, none for a signal.
    pub fn ended(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        self.before_ms = self.latest.cpu_ms;
        Some(status.code())
    }

    /// What went wrong with one that has ended by itself.
    pub fn obituary(&self, code: Option<i32>) -> String {
        let how = code.map_or("on a signal".into(), |c| format!("with exit code {c}"));
        format!("sender {} ended {how}{}", self.name, self.last_words())
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.before_ms = self.latest.cpu_ms;
        }
    }

    /// The number of its process, while there is one.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// What it has used, over all its lives.
    pub fn used(&mut self) -> Used {
        if let Some(now) = self.child.as_ref().and_then(|c| used(c.id())) {
            self.latest = Used {
                cpu_ms: self.before_ms + now.cpu_ms,
                memory_kb: now.memory_kb,
            };
        }
        self.latest
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads what a process has used from the system's tables.
pub fn used(process: u32) -> Option<Used> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The name may hold anything; what is behind its bracket does not. Fields 14 and 15, in hundredths of a second.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let pages: u64 = fields.get(21)?.parse().ok()?;
    Some(Used {
        cpu_ms: ticks * 10.0,
        memory_kb: pages * 4,
    })
}

fn until_healthy(address: SocketAddr, name: &str) -> Result<(), String> {
    use std::io::{Read, Write};
    let start = Instant::now();
    while start.elapsed() < START {
        let asked = std::net::TcpStream::connect_timeout(&address, Duration::from_millis(200))
            .and_then(|mut s| {
                s.set_read_timeout(Some(Duration::from_millis(500)))?;
                s.write_all(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")?;
                let mut head = [0; 12];
                s.read_exact(&mut head)?;
                Ok(&head == b"HTTP/1.1 200")
            });
        if asked.is_ok_and(|yes| yes) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Err(format!(
        "sender {name} was not ready within {} s",
        START.as_secs()
    ))
}
