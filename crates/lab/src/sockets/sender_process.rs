//! A sender under test: its folder, its configuration and its process. Dropping it kills the process and removes the
//! folder.

use std::ffi::OsString;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use super::resource_usage::ResourceUsage;
use crate::error::{LabError, ProcessEnd};

/// A sender that does not serve by then has not started.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Of a health check: for the connection, for the answer, and until the next one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Ports of senders for clients and for one another, below those that connections are given.
const CLIENT_PORTS: std::ops::Range<u16> = 20_000..30_000;
const PEER_PORTS: std::ops::Range<u16> = 30_000..32_000;

/// The secret that senders share that know each other.
const PEER_SECRET: &str = "the laboratory's own secret";

/// A file that may not grow must fail its write, not end the process: see [`SenderProcess::set_disk_full`]. The shell
/// gives its place to the program.
const START_SCRIPT: &str = "trap '' XFSZ; exec \"$0\"";

/// What a sender is prepared from.
#[derive(Clone, Copy, Debug)]
pub struct Preparation<'a> {
    /// Its number among the senders.
    pub number: u32,
    /// The program.
    pub program: &'a Path,
    /// The program's settings file, where there is one.
    pub settings_file: Option<&'a Path>,
    /// Where its discovery agent listens.
    pub discovery: SocketAddr,
    /// The platform's settings.
    pub platform_settings: &'a Value,
    /// The seed of the run.
    pub seed: u64,
}

/// A sender under test.
#[derive(Debug)]
pub struct SenderProcess {
    /// Where clients reach it.
    pub address: SocketAddr,
    name: String,
    folder: tempfile::TempDir,
    program: PathBuf,
    settings_file: Option<PathBuf>,
    /// Its configuration, with the endpoint list that it was last given.
    config: Value,
    /// Variables of its environment beside the usual ones.
    environment: Vec<(OsString, OsString)>,
    child: Option<Child>,
    /// Tells once after a start whether the process has come to serve.
    health: Option<Receiver<bool>>,
    /// Processor time in milliseconds of processes that have ended.
    ended_cpu_ms: f64,
    latest_usage: ResourceUsage,
}

/// An address of its own for each sender.
fn free_address(number: u32, mut ports: std::ops::Range<u16>) -> Result<SocketAddr, LabError> {
    let process = std::process::id();
    let host = Ipv4Addr::new(
        127,
        1 + (process % 200) as u8,
        (process / 200 % 250) as u8,
        1 + (number % 250) as u8,
    );
    ports
        .find_map(|port| TcpListener::bind((host, port)).ok())
        .and_then(|listener| listener.local_addr().ok())
        .ok_or(LabError::NoFreePort(IpAddr::V4(host)))
}

/// The seed of a sender's own random numbers.
fn sender_seed(seed: u64, number: u32) -> String {
    let mixed = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ u64::from(number);
    format!("{mixed:016x}")
}

impl SenderProcess {
    /// Prepares a sender's folder and configuration; nothing runs yet.
    ///
    /// # Errors
    /// Where there is no such program, no free port or no room for the folder.
    pub fn prepare(told: &Preparation) -> Result<SenderProcess, LabError> {
        if !told.program.is_file() {
            return Err(LabError::ProgramNotFound(told.program.to_path_buf()));
        }
        let folder = tempfile::Builder::new()
            .prefix("martenlatch-lab-")
            .tempdir()
            .map_err(LabError::TemporaryFolder)?;
        let address = free_address(told.number, CLIENT_PORTS)?;
        let name = format!("n{}", told.number);
        let config = json!({
            "name": name,
            "listen": address.to_string(),
            "discovery": told.discovery.to_string(),
            "seed": sender_seed(told.seed, told.number),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096, "disk_mb": 64},
            "known": Value::Null,
            "settings": told.platform_settings
        });
        let state = folder.path().join("state");
        std::fs::create_dir(&state).map_err(LabError::file(&state))?;
        Ok(SenderProcess {
            address,
            name,
            folder,
            program: told.program.to_path_buf(),
            settings_file: told.settings_file.map(Path::to_path_buf),
            config,
            environment: Vec::new(),
            child: None,
            health: None,
            ended_cpu_ms: 0.0,
            latest_usage: ResourceUsage::default(),
        })
    }

    /// Where a sender is reached by others that it knows.
    ///
    /// # Errors
    /// Where no port is free.
    pub fn peer_address(number: u32) -> Result<SocketAddr, LabError> {
        free_address(number, PEER_PORTS)
    }

    /// Has it know others: its own settings, with what they say of peers put behind.
    ///
    /// # Errors
    /// Where its files cannot be read or written.
    pub fn add_peers(&mut self, own: SocketAddr, seeds: &[SocketAddr]) -> Result<(), LabError> {
        let file = self.folder.path().join("settings.textproto");
        let secret = self.folder.path().join("secret");
        let mut text = match &self.settings_file {
            Some(told) => std::fs::read_to_string(told).map_err(LabError::file(told))?,
            None => String::new(),
        };
        let secret_name = secret.display().to_string();
        text += &format!("\npeers {{ listen: \"{own}\" secret_file: {secret_name:?} keep: true");
        for seed in seeds {
            text += &format!(" seed: \"{seed}\"");
        }
        text += " }\n";
        std::fs::write(&secret, PEER_SECRET).map_err(LabError::file(&secret))?;
        std::fs::write(&file, text).map_err(LabError::file(&file))?;
        self.settings_file = Some(file);
        Ok(())
    }

    /// Sets further variables of its environment, for the next start.
    pub fn set_environment(&mut self, environment: Vec<(OsString, OsString)>) {
        self.environment = environment;
    }

    /// The id of its process; none if none runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// The files that hold its log and its errors.
    pub fn log_files(&self) -> [PathBuf; 2] {
        ["log", "errors"].map(|name| self.folder.path().join(name))
    }

    /// Writes its configuration, with the endpoint list as it was last told.
    ///
    /// # Errors
    /// Where the file cannot be written.
    pub fn configure(&mut self, known: Value) -> Result<(), LabError> {
        self.config["known"] = known;
        let file = self.folder.path().join("config.json");
        std::fs::write(&file, self.config.to_string()).map_err(LabError::file(&file))
    }

    /// Has it ask another discovery agent, from the next time that its configuration is written and read.
    pub fn set_discovery(&mut self, discovery: SocketAddr) {
        self.config["discovery"] = Value::from(discovery.to_string());
    }

    /// Starts its process; [`SenderProcess::has_come_up`] tells when it serves.
    ///
    /// # Errors
    /// Where the program cannot be started.
    pub fn start(&mut self) -> Result<(), LabError> {
        let child = self.spawn().map_err(|source| LabError::StartSender {
            name: self.name.clone(),
            program: self.program.clone(),
            source,
        })?;
        self.child = Some(child);
        let (result, health) = channel();
        let address = self.address;
        std::thread::spawn(move || {
            // Nobody listens any more where the run has ended meanwhile.
            let _ = result.send(wait_until_healthy(address));
        });
        self.health = Some(health);
        Ok(())
    }

    fn spawn(&self) -> io::Result<Child> {
        let folder = self.folder.path();
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", START_SCRIPT])
            .arg(&self.program)
            .env("PROXY_CONFIG", folder.join("config.json"))
            .env("PROXY_STATE", folder.join("state"))
            .env("TMPDIR", folder)
            .env("PROXY_NAME", &self.name)
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_DISCOVERY")
            .env_remove("MARTENLATCH_SETTINGS")
            .stdin(Stdio::null())
            .stdout(self.open_log("log")?)
            .stderr(self.open_log("errors")?);
        command.envs(self.environment.iter().cloned());
        if let Some(settings) = &self.settings_file {
            command.env("MARTENLATCH_SETTINGS", settings);
        }
        command.spawn()
    }

    fn open_log(&self, name: &str) -> io::Result<File> {
        File::options()
            .create(true)
            .append(true)
            .open(self.folder.path().join(name))
    }

    /// Whether it has come to serve since it was started: true once, then false until the next start.
    ///
    /// # Errors
    /// Where it has not come to serve in its time.
    pub fn has_come_up(&mut self) -> Result<bool, LabError> {
        let Some(healthy) = self.health.as_ref().and_then(|told| told.try_recv().ok()) else {
            return Ok(false);
        };
        self.health = None;
        if healthy {
            return Ok(true);
        }
        Err(LabError::SenderNotReady {
            name: self.name.clone(),
            seconds: START_TIMEOUT.as_secs(),
            last_words: self.last_words(),
        })
    }

    /// The last line of its error output, behind a colon; empty where there is none.
    fn last_words(&self) -> String {
        let errors = std::fs::read_to_string(self.folder.path().join("errors")).unwrap_or_default();
        errors
            .lines()
            .last()
            .map_or(String::new(), |line| format!(": {line}"))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Lets none of its files grow, or all of them: every write that would is refused, as on a disk without room.
    ///
    /// # Errors
    /// Where the limit of the process cannot be set.
    pub fn set_disk_full(&self, full: bool) -> Result<(), LabError> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let size = if full {
            "--fsize=0:unlimited"
        } else {
            "--fsize=unlimited:unlimited"
        };
        let done = Command::new("prlimit")
            .args(["--pid", &child.id().to_string(), size])
            .output()
            .map_err(|e| LabError::FileSizeLimit(e.to_string()))?;
        if done.status.success() {
            return Ok(());
        }
        let errors = String::from_utf8_lossy(&done.stderr);
        Err(LabError::FileSizeLimit(errors.trim().to_string()))
    }

    /// How its process has ended; none while it runs, or where that was told before.
    pub fn poll_end(&mut self) -> Option<ProcessEnd> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        self.ended_cpu_ms = self.latest_usage.cpu_ms;
        Some(match status.code() {
            Some(code) => ProcessEnd::Exited(code),
            None => ProcessEnd::Signalled,
        })
    }

    /// The error that its process has ended unasked.
    pub fn ended_error(&self, end: ProcessEnd) -> LabError {
        LabError::SenderEnded {
            name: self.name.clone(),
            end,
            last_words: self.last_words(),
        }
    }

    /// Waits until it serves.
    ///
    /// # Errors
    /// Where it ends, or does not serve in its time.
    pub fn wait_until_up(&mut self, poll_interval: Duration) -> Result<(), LabError> {
        while !self.has_come_up()? {
            if let Some(end) = self.poll_end() {
                return Err(self.ended_error(end));
            }
            std::thread::sleep(poll_interval);
        }
        Ok(())
    }

    /// Kills its process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.ended_cpu_ms = self.latest_usage.cpu_ms;
        }
    }

    /// The number of its process, while there is one.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// What it has used, over all its processes.
    pub fn usage(&mut self) -> ResourceUsage {
        let now = self.process().and_then(ResourceUsage::of_process);
        if let Some(now) = now {
            self.latest_usage = ResourceUsage {
                cpu_ms: self.ended_cpu_ms + now.cpu_ms,
                memory_kb: now.memory_kb,
            };
        }
        self.latest_usage
    }
}

impl Drop for SenderProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a process answers health checks; false where it does not in its time.
fn wait_until_healthy(address: SocketAddr) -> bool {
    let start = Instant::now();
    while start.elapsed() < START_TIMEOUT {
        if is_healthy(address).unwrap_or(false) {
            return true;
        }
        std::thread::sleep(HEALTH_CHECK_INTERVAL);
    }
    false
}

fn is_healthy(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")?;
    let mut head = [0; 12];
    stream.read_exact(&mut head)?;
    Ok(&head == b"HTTP/1.1 200")
}
