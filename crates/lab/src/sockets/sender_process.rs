//! A sender under test: its folder, configuration and process. Dropping it kills the process and removes the folder.

use std::ffi::OsString;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use super::resource_usage::ResourceUsage;
use crate::error::{LabError, ProcessEnd};

/// A sender that does not serve within this time counts as not started.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeouts of a health check for its connection and its answer, and the time until the next check.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The ports that senders bind for clients and for each other. They are below the system's ephemeral ports.
const CLIENT_PORTS: std::ops::Range<u16> = 20_000..30_000;
const PEER_PORTS: std::ops::Range<u16> = 30_000..32_000;

/// The shared secret of senders that are peers.
const PEER_SECRET: &str = "the laboratory's own secret";

/// Ignores SIGXFSZ, so that a write over the file size limit fails instead of ending the process; see
/// [`SenderProcess::set_disk_full`]. `exec` replaces the shell by the program.
const START_SCRIPT: &str = "trap '' XFSZ; exec \"$0\"";

/// The options of a sender under test.
#[derive(Clone, Copy, Debug)]
pub struct SenderOptions<'a> {
    /// The sender's number.
    pub number: u32,
    /// The sender's program.
    pub program: &'a Path,
    /// The program's settings file, if any.
    pub settings_file: Option<&'a Path>,
    /// The address of its discovery agent.
    pub discovery: SocketAddr,
    /// The platform's settings.
    pub platform_settings: &'a Value,
    /// The seed of the run.
    pub seed: u64,
}

/// A sender under test.
#[derive(Debug)]
pub struct SenderProcess {
    /// The address for clients.
    pub address: SocketAddr,
    name: String,
    folder: tempfile::TempDir,
    program: PathBuf,
    settings_file: Option<PathBuf>,
    /// The configuration, with the endpoint list of the last [`SenderProcess::configure`].
    config: Value,
    /// Additional environment variables.
    environment: Vec<(OsString, OsString)>,
    child: Option<Child>,
    /// A process that waits to replace the running one.
    successor: Option<Child>,
    /// Receives once after a start whether the process has become ready.
    health: Option<Receiver<bool>>,
    /// Total processor time of this sender's ended processes, in milliseconds.
    ended_cpu_ms: f64,
    latest_usage: ResourceUsage,
}

/// A free address for a sender. Its loopback host depends on the laboratory's process id and the sender's number, so
/// that each sender has its own.
fn free_address(sender: u32, mut ports: std::ops::Range<u16>) -> Result<SocketAddr, LabError> {
    let process = std::process::id();
    let host = Ipv4Addr::new(
        127,
        1 + (process % 200) as u8,
        (process / 200 % 250) as u8,
        1 + (sender % 250) as u8,
    );
    ports
        .find_map(|port| TcpListener::bind((host, port)).ok())
        .and_then(|listener| listener.local_addr().ok())
        .ok_or(LabError::NoFreePort(IpAddr::V4(host)))
}

/// The seed of a sender's random numbers.
fn sender_seed(seed: u64, sender: u32) -> String {
    let mixed = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ u64::from(sender);
    format!("{mixed:016x}")
}

impl SenderProcess {
    /// Creates a sender's folder and configuration without starting a process.
    ///
    /// # Errors
    /// If the program does not exist, no port is free, or the folder cannot be created.
    pub fn prepare(options: &SenderOptions) -> Result<SenderProcess, LabError> {
        if !options.program.is_file() {
            return Err(LabError::ProgramNotFound(options.program.to_path_buf()));
        }
        let folder = tempfile::Builder::new()
            .prefix("martenlatch-lab-")
            .tempdir()
            .map_err(LabError::TemporaryFolder)?;
        let address = free_address(options.number, CLIENT_PORTS)?;
        let name = format!("n{}", options.number);
        let config = json!({
            "name": name,
            "listen": address.to_string(),
            "discovery": options.discovery.to_string(),
            "seed": sender_seed(options.seed, options.number),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096, "disk_mb": 64},
            "known": Value::Null,
            "settings": options.platform_settings
        });
        let state = folder.path().join("state");
        std::fs::create_dir(&state).map_err(LabError::file(&state))?;
        Ok(SenderProcess {
            address,
            name,
            folder,
            program: options.program.to_path_buf(),
            settings_file: options.settings_file.map(Path::to_path_buf),
            config,
            environment: Vec::new(),
            child: None,
            successor: None,
            health: None,
            ended_cpu_ms: 0.0,
            latest_usage: ResourceUsage::default(),
        })
    }

    /// A free address for a sender's gossip with its peers.
    ///
    /// # Errors
    /// If no port is free.
    pub fn peer_address(sender: u32) -> Result<SocketAddr, LabError> {
        free_address(sender, PEER_PORTS)
    }

    /// Configures the sender's peers: appends a `peers` section to its settings.
    ///
    /// # Errors
    /// If a file cannot be read or written.
    pub fn add_peers(&mut self, own: SocketAddr, seeds: &[SocketAddr]) -> Result<(), LabError> {
        let file = self.folder.path().join("settings.textproto");
        let secret_file = self.folder.path().join("secret");
        let mut text = match &self.settings_file {
            Some(path) => std::fs::read_to_string(path).map_err(LabError::file(path))?,
            None => String::new(),
        };
        let secret_path = secret_file.display().to_string();
        text += &format!("\npeers {{ listen: \"{own}\" secret_file: {secret_path:?} keep: true");
        for seed in seeds {
            text += &format!(" seed: \"{seed}\"");
        }
        text += " }\n";
        std::fs::write(&secret_file, PEER_SECRET).map_err(LabError::file(&secret_file))?;
        std::fs::write(&file, text).map_err(LabError::file(&file))?;
        self.settings_file = Some(file);
        Ok(())
    }

    /// Sets additional environment variables, which apply from the next start.
    pub fn set_environment(&mut self, environment: Vec<(OsString, OsString)>) {
        self.environment = environment;
    }

    /// The id of the sender's process; `None` if no process is running.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// The files for the process's standard output, which is its log, and for its standard error.
    pub fn log_files(&self) -> [PathBuf; 2] {
        ["log", "errors"].map(|name| self.folder.path().join(name))
    }

    /// Writes the sender's configuration file with an endpoint list.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn configure(&mut self, endpoint_list: Value) -> Result<(), LabError> {
        self.config["known"] = endpoint_list;
        let file = self.folder.path().join("config.json");
        std::fs::write(&file, self.config.to_string()).map_err(LabError::file(&file))
    }

    /// Sets another discovery agent. It applies once the configuration has been written and the sender has read it.
    pub fn set_discovery(&mut self, discovery: SocketAddr) {
        self.config["discovery"] = Value::from(discovery.to_string());
    }

    /// Starts the sender's process; [`SenderProcess::poll_ready`] reports when it serves.
    ///
    /// # Errors
    /// If the program cannot be started.
    pub fn start(&mut self) -> Result<(), LabError> {
        self.child = Some(self.spawn_process()?);
        self.watch_health();
        Ok(())
    }

    /// Starts a process that replaces the running one, or follows it once that has ended. Does nothing if one waits
    /// already.
    ///
    /// # Errors
    /// If the program cannot be started.
    pub fn start_successor(&mut self) -> Result<(), LabError> {
        if self.successor.is_none() {
            self.successor = Some(self.spawn_process()?);
        }
        Ok(())
    }

    /// How a process that waited to replace the running one has ended; `None` while it waits, and after its end has been
    /// returned once.
    pub fn poll_successor_end(&mut self) -> Option<ProcessEnd> {
        let status = self.successor.as_mut()?.try_wait().ok()??;
        self.successor = None;
        Some(process_end(status))
    }

    /// Kills the process that waits to replace the running one. Returns whether there was one.
    pub fn kill_successor(&mut self) -> bool {
        let Some(mut successor) = self.successor.take() else {
            return false;
        };
        let _ = successor.kill();
        let _ = successor.wait();
        true
    }

    /// Continues with the process that waited to replace the one that has ended. Returns whether there was one.
    pub fn continue_with_successor(&mut self) -> bool {
        self.child = self.successor.take();
        self.child.is_some()
    }

    fn spawn_process(&self) -> Result<Child, LabError> {
        self.spawn().map_err(|source| LabError::StartSender {
            name: self.name.clone(),
            program: self.program.clone(),
            source,
        })
    }

    /// Has [`SenderProcess::poll_ready`] report when the process serves.
    fn watch_health(&mut self) {
        let (result, health) = channel();
        let address = self.address;
        std::thread::spawn(move || {
            // Sending fails if the run has ended in the meantime.
            let _ = result.send(wait_until_healthy(address));
        });
        self.health = Some(health);
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

    /// Whether the process has become ready since the last call: true once after each start, otherwise false.
    ///
    /// # Errors
    /// If the process did not become ready within the start timeout.
    pub fn poll_ready(&mut self) -> Result<bool, LabError> {
        let Some(healthy) = self
            .health
            .as_ref()
            .and_then(|result| result.try_recv().ok())
        else {
            return Ok(false);
        };
        self.health = None;
        if healthy {
            return Ok(true);
        }
        Err(LabError::SenderNotReady {
            name: self.name.clone(),
            seconds: START_TIMEOUT.as_secs(),
            last_words: self.last_error_line(),
        })
    }

    /// The last line of the process's error output, after a colon; empty if there is no output.
    fn last_error_line(&self) -> String {
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

    /// Sets or lifts a file size limit of zero for the process. Under the limit every write that would make a file grow
    /// fails, as on a full disk.
    ///
    /// # Errors
    /// If the limit cannot be set.
    pub fn set_disk_full(&self, full: bool) -> Result<(), LabError> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let limit = if full {
            "--fsize=0:unlimited"
        } else {
            "--fsize=unlimited:unlimited"
        };
        let output = Command::new("prlimit")
            .args(["--pid", &child.id().to_string(), limit])
            .output()
            .map_err(|e| LabError::FileSizeLimit(e.to_string()))?;
        if output.status.success() {
            return Ok(());
        }
        let errors = String::from_utf8_lossy(&output.stderr);
        Err(LabError::FileSizeLimit(errors.trim().to_string()))
    }

    /// How the process has ended; `None` while it is running, and after its end has been returned once.
    pub fn poll_end(&mut self) -> Option<ProcessEnd> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        self.ended_cpu_ms = self.latest_usage.cpu_ms;
        Some(process_end(status))
    }

    /// The error for a process that has ended unexpectedly.
    pub fn unexpected_end(&self, end: ProcessEnd) -> LabError {
        LabError::SenderEnded {
            name: self.name.clone(),
            end,
            last_words: self.last_error_line(),
        }
    }

    /// Waits until the process serves.
    ///
    /// # Errors
    /// If the process ends, or does not become ready within the start timeout.
    pub fn wait_until_ready(&mut self, poll_interval: Duration) -> Result<(), LabError> {
        while !self.poll_ready()? {
            if let Some(end) = self.poll_end() {
                return Err(self.unexpected_end(end));
            }
            std::thread::sleep(poll_interval);
        }
        Ok(())
    }

    /// Kills the sender's processes and waits for their ends.
    pub fn kill(&mut self) {
        self.kill_successor();
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.ended_cpu_ms = self.latest_usage.cpu_ms;
        }
    }

    /// The processor time of all the sender's processes, and the memory of the current or last one.
    pub fn usage(&mut self) -> ResourceUsage {
        let current = self.pid().and_then(ResourceUsage::of_process);
        if let Some(current) = current {
            self.latest_usage = ResourceUsage {
                cpu_ms: self.ended_cpu_ms + current.cpu_ms,
                memory_kb: current.memory_kb,
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

fn process_end(status: ExitStatus) -> ProcessEnd {
    match status.code() {
        Some(code) => ProcessEnd::Exited(code),
        None => ProcessEnd::Signalled,
    }
}

/// Waits until a process answers health checks; false if it does not within the start timeout.
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
