//! The program under test as a process, with its directories and its configuration.

use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

use super::endpoint::{Endpoint, one_endpoint};
use super::http::{HttpMessage, Reply, read_message, request, status_of};
use super::launch::{Launch, create_folder, free_addresses, own_ip, write_config};
use super::platform::Platform;
use super::wall_clock::WallClock;
use super::{TEST_TIMEOUT, wait_until};

/// The disk limit of most tests, in MB.
const DISK_MB: f64 = 3.0;

const HEALTH_CHECK: &str = "GET /healthz HTTP/1.1\r\n\r\n";

/// How a process has ended.
pub struct Exit {
    pub code: Option<i32>,
    /// What it wrote: its log or, if it could not start, its errors.
    pub output: String,
}

/// A process that is to replace the one that serves.
pub struct Replacement {
    pub process: Child,
    /// Where operators call it.
    pub operator: SocketAddr,
}

/// The program under test. It is killed, and its directories are removed, when this is dropped.
pub struct Sender {
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where operators call.
    pub operator: SocketAddr,
    process: Child,
    launch: Launch,
}

impl Replacement {
    /// Waits until it answers operators that it does not serve yet.
    pub fn wait_until_not_serving(&self) {
        wait_until("the replacement waits", || {
            call_operator(self.operator, "health\n") == "NAK not serving yet\n"
        });
    }
}

impl Sender {
    /// Starts a sender that knows an endpoint list. `test` names its directory.
    pub fn start(test: &str, platform: &Platform, known: &str) -> Sender {
        Sender::start_as(test, platform, known, DISK_MB, "n0", None)
    }

    /// Starts a sender with a disk limit in MB.
    pub fn start_with_disk(test: &str, platform: &Platform, known: &str, disk_mb: f64) -> Sender {
        Sender::start_as(test, platform, known, disk_mb, "n0", None)
    }

    /// Starts one of several senders, by its name and with settings of its own.
    pub fn start_named(
        test: &str,
        platform: &Platform,
        known: &str,
        name: &str,
        settings: &Path,
    ) -> Sender {
        Sender::start_as(test, platform, known, DISK_MB, name, Some(settings))
    }

    fn start_as(
        test: &str,
        platform: &Platform,
        known: &str,
        disk_mb: f64,
        name: &str,
        settings: Option<&Path>,
    ) -> Sender {
        let folder = create_folder(test);
        // Below the ports that connections are given: one that tried this address too early could hold it itself.
        let mut addresses = free_addresses(own_ip().into());
        let address = addresses.next().expect("a free port");
        let operator = addresses.next().expect("a free port");
        write_config(&folder, address, operator, platform.address, known, disk_mb);
        let launch = Launch {
            folder,
            discovery: platform.address,
            name: name.to_string(),
            settings: settings.map(Path::to_path_buf),
            operator: None,
            wall_clock: None,
        };
        Sender {
            address,
            operator,
            process: launch.spawn(None),
            launch,
        }
        .when_healthy()
    }

    fn restart(mut self) -> Sender {
        self.process = self.launch.spawn(self.launch.operator);
        self.when_healthy()
    }

    fn kill_and_wait(&mut self) {
        self.process.kill().unwrap();
        self.process.wait().unwrap();
    }

    /// Starts a process beside the one that serves, which it is to replace. Operators call it elsewhere.
    pub fn start_replacement(&self) -> Replacement {
        let operator = free_addresses(self.address.ip())
            .next()
            .expect("a free port");
        Replacement {
            process: self.launch.spawn(Some(operator)),
            operator,
        }
    }

    /// Waits until a replacement serves and the replaced process has ended.
    pub fn be_replaced_by(&mut self, replacement: Replacement) -> Exit {
        let operator = replacement.operator;
        wait_until("the replacement serves", || {
            call_operator(operator, "health\n").starts_with("ACK")
        });
        self.operator = operator;
        self.launch.operator = Some(operator);
        let mut replaced = std::mem::replace(&mut self.process, replacement.process);
        let output = read_stdout(&mut replaced);
        Exit {
            code: replaced.wait().unwrap().code(),
            output,
        }
    }

    /// Replaces the process by a new one, without anything in its way.
    pub fn replace(&mut self) -> Exit {
        let replacement = self.start_replacement();
        self.be_replaced_by(replacement)
    }

    /// The state directory.
    pub fn state_folder(&self) -> PathBuf {
        self.launch.folder.join("state")
    }

    /// The socket where a process and its replacement meet.
    pub fn replacement_socket(&self) -> PathBuf {
        std::fs::read_dir(self.launch.folder.join("tmp"))
            .unwrap()
            .flatten()
            .next()
            .expect("a socket")
            .path()
    }

    fn when_healthy(self) -> Sender {
        wait_until("the sender serves", || self.is_healthy());
        self
    }

    /// A socket that was only tried lives on for a moment in a process that another thread starts just then: a
    /// connection may still come up there, and end without a response.
    fn is_healthy(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else {
            return false;
        };
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let _ = stream.write_all(HEALTH_CHECK.as_bytes());
        read_message(&mut BufReader::new(stream), 0)
            .is_some_and(|response| status_of(&response) == 200)
    }

    pub fn kill(mut self) {
        self.kill_and_wait();
    }

    pub fn kill_and_restart(mut self) -> Sender {
        self.kill_and_wait();
        self.restart()
    }

    /// Kills it, steps its wall clock, and starts it again.
    pub fn restart_with_wall_clock(mut self, step: impl FnOnce(&WallClock)) -> Sender {
        self.kill_and_wait();
        let wall_clock = WallClock::build(&self.launch.folder);
        step(&wall_clock);
        self.launch.wall_clock = Some(wall_clock);
        self.restart()
    }

    /// Starts it again once it has ended.
    pub fn restart_after_exit(mut self) -> Sender {
        self.process.wait().unwrap();
        self.restart()
    }

    /// Kills it, changes its state directory, and starts it again.
    pub fn restart_with_state(mut self, change: impl FnOnce(&Path)) -> Sender {
        self.kill_and_wait();
        change(&self.state_folder());
        self.restart()
    }

    /// Tells it to shut down, waits until it has, and starts it again.
    pub fn terminate_and_restart(mut self) -> Sender {
        self.signal("TERM");
        assert_eq!(self.process.wait().unwrap().code(), Some(0));
        self.restart()
    }

    /// Starts it again with a configuration with which it cannot start: its exit code and its errors.
    pub fn restart_with_bad_config(mut self, from: &str, to: &str) -> Exit {
        self.kill_and_wait();
        self.change_config(from, to);
        let process = self.launch.spawn(self.launch.operator);
        let output = process.wait_with_output().unwrap();
        Exit {
            code: output.status.code(),
            output: String::from_utf8(output.stderr).unwrap(),
        }
    }

    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.process.id());
        let status = Command::new("sh").args(["-c", &command]).status().unwrap();
        assert!(status.success());
    }

    /// Replaces a text in the configuration file, which a running process does not read again by itself.
    pub fn change_config(&self, from: &str, to: &str) {
        let path = self.launch.folder.join("config.json");
        let config = std::fs::read_to_string(&path).unwrap();
        assert!(config.contains(from), "{from} is not in the configuration");
        std::fs::write(&path, config.replace(from, to)).unwrap();
    }

    /// Changes the configuration and tells the sender to read it again, which it has done when this returns.
    pub fn reload(&self, from: &str, to: &str) {
        self.change_config(from, to);
        self.signal("HUP");
        self.complete_round();
    }

    /// Waits for the end of the event loop's present round: the second of two requests is answered in a later one.
    pub fn complete_round(&self) {
        for _ in 0..2 {
            assert_eq!(self.exchange(HEALTH_CHECK), 200);
        }
    }

    /// Its resident memory.
    pub fn memory_kb(&self) -> u64 {
        let file = format!("/proc/{}/status", self.process.id());
        let status = std::fs::read_to_string(file).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let value = line.unwrap().split_whitespace().nth(1);
        value.unwrap().parse().unwrap()
    }

    /// Tells it to shut down, and waits until it has.
    pub fn terminate(self) -> Exit {
        self.signal("TERM");
        self.wait_for_exit()
    }

    /// Waits until it has ended by itself.
    pub fn wait_for_exit(mut self) -> Exit {
        let output = read_stdout(&mut self.process);
        Exit {
            code: self.process.wait().unwrap().code(),
            output,
        }
    }

    /// Tells it to shut down, and returns the log line with its last counters.
    pub fn terminate_for_counters(self) -> String {
        let log = self.terminate().output;
        log.lines()
            .rfind(|line| line.contains(" counters held="))
            .expect("counters at the exit")
            .to_string()
    }

    /// Calls it as an operator does.
    pub fn call_operator(&self, text: &str) -> String {
        call_operator(self.operator, text)
    }

    /// The counters that it gives operators, by name and without their prefix. Operators' calls are answered before the
    /// rest of a round, so the present round has to end first.
    pub fn operator_counters(&self) -> BTreeMap<String, u64> {
        self.complete_round();
        let answer = self.call_operator("counters\n");
        let lines = answer
            .strip_prefix("ACK figures\n")
            .and_then(|lines| lines.strip_suffix("--\n"))
            .expect("counters");
        let counter = |line: &str| {
            let (name, value) = line.rsplit_once(' ').unwrap();
            (name.replace("sender_", ""), value.parse().unwrap())
        };
        lines.lines().map(counter).collect()
    }

    /// Connects as a client.
    pub fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        BufReader::new(stream)
    }

    /// Writes bytes on a new connection, and returns the status of the response.
    pub fn exchange(&self, text: &str) -> u16 {
        let mut stream = self.connect();
        let _ = stream.get_mut().write_all(text.as_bytes());
        status_of(&read_message(&mut stream, 0).expect("no response came"))
    }

    /// Submits a message on a new connection, and returns the status of the response.
    pub fn submit(&self, class: &str, id: &str, timeout: &str) -> u16 {
        self.exchange(&request(class, id, timeout, "hello"))
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.launch.folder);
    }
}

/// An endpoint, a platform, and a sender that knows them.
pub fn sender_with_endpoint(
    test: &str,
    script: impl Fn(usize, &HttpMessage) -> Reply + Send + Sync + 'static,
) -> (Endpoint, Platform, Sender) {
    let (endpoint, known) = one_endpoint(script);
    let platform = Platform::new(&[]);
    let sender = Sender::start(test, &platform, &known);
    (endpoint, platform, sender)
}

fn read_stdout(process: &mut Child) -> String {
    let mut output = String::new();
    let mut stdout = process.stdout.take().unwrap();
    stdout.read_to_string(&mut output).unwrap();
    output
}

/// Calls an operators' address: all that it answers until it closes the connection, or nothing where nobody listens.
pub fn call_operator(address: SocketAddr, text: &str) -> String {
    let mut answer = String::new();
    if let Ok(mut stream) = TcpStream::connect(address) {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let _ = stream.write_all(text.as_bytes());
        let _ = stream.read_to_string(&mut answer);
    }
    answer
}
