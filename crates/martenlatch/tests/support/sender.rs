//! The program under test as a process, with its directories and its configuration.

use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

use super::endpoint::{Endpoint, endpoint_and_list};
use super::http::{HttpMessage, Reply, read_message, request, status_of};
use super::launch::{
    LaunchOptions, create_test_folder, free_addresses, next_loopback_ip, write_config,
};
use super::platform::Platform;
use super::wall_clock::WallClock;
use super::{TEST_TIMEOUT, wait_until};

/// The disk limit of most tests, in MB.
const DISK_MB: f64 = 3.0;

const HEALTH_CHECK: &str = "GET /healthz HTTP/1.1\r\n\r\n";

/// How a process ended.
pub struct ProcessExit {
    pub code: Option<i32>,
    /// Its log or, if it could not start, its errors.
    pub output: String,
}

/// A process that was started to replace the serving one.
pub struct Replacement {
    pub process: Child,
    /// The address on which operators connect.
    pub operator: SocketAddr,
}

/// A sender: a process of the program under test. Dropping it kills the process and removes its directories.
pub struct Sender {
    /// The address on which clients connect.
    pub address: SocketAddr,
    /// The address on which operators connect.
    pub operator: SocketAddr,
    process: Child,
    launch: LaunchOptions,
}

impl Replacement {
    /// Waits until its answer to operators is that it is not serving yet.
    pub fn wait_until_not_serving(&self) {
        wait_until("the replacement waits for the serving process", || {
            call_operator(self.operator, "health\n") == "NAK not serving yet\n"
        });
    }

    /// Waits until its answer to operators is that it serves.
    pub fn wait_until_serving(&self) {
        wait_until("the replacement serves", || {
            call_operator(self.operator, "health\n").starts_with("ACK")
        });
    }
}

impl Sender {
    /// Starts a sender with an endpoint list. `test` becomes a part of the name of its directory.
    pub fn start(test: &str, platform: &Platform, known_endpoints: &str) -> Sender {
        Sender::start_with_options(test, platform, known_endpoints, DISK_MB, "n0", None)
    }

    /// Starts a sender with a disk limit in MB.
    pub fn start_with_disk(
        test: &str,
        platform: &Platform,
        known_endpoints: &str,
        disk_mb: f64,
    ) -> Sender {
        Sender::start_with_options(test, platform, known_endpoints, disk_mb, "n0", None)
    }

    /// Starts one of several senders, with a name and a settings file.
    pub fn start_named(
        test: &str,
        platform: &Platform,
        known_endpoints: &str,
        name: &str,
        settings: &Path,
    ) -> Sender {
        Sender::start_with_options(
            test,
            platform,
            known_endpoints,
            DISK_MB,
            name,
            Some(settings),
        )
    }

    fn start_with_options(
        test: &str,
        platform: &Platform,
        known_endpoints: &str,
        disk_mb: f64,
        name: &str,
        settings: Option<&Path>,
    ) -> Sender {
        let folder = create_test_folder(test);
        // Below the range of ports that the system gives to outgoing connections: a connection attempt to this address
        // before the sender listens could otherwise get the same port and occupy the address itself.
        let mut addresses = free_addresses(next_loopback_ip().into());
        let address = addresses.next().expect("a free port");
        let operator = addresses.next().expect("a free port");
        write_config(
            &folder,
            address,
            operator,
            platform.address,
            known_endpoints,
            disk_mb,
        );
        let launch = LaunchOptions {
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
        .wait_until_healthy()
    }

    fn restart(mut self) -> Sender {
        self.process = self.launch.spawn(self.launch.operator);
        self.wait_until_healthy()
    }

    fn kill_and_wait(&mut self) {
        self.process.kill().unwrap();
        self.process.wait().unwrap();
    }

    /// Starts a process that replaces the serving one. It has another address for operators.
    pub fn start_replacement(&self) -> Replacement {
        let operator = free_addresses(self.address.ip())
            .next()
            .expect("a free port");
        Replacement {
            process: self.launch.spawn(Some(operator)),
            operator,
        }
    }

    /// Waits until a replacement serves and the replaced process has exited.
    pub fn wait_until_replaced_by(&mut self, replacement: Replacement) -> ProcessExit {
        replacement.wait_until_serving();
        self.operator = replacement.operator;
        self.launch.operator = Some(replacement.operator);
        let mut replaced = std::mem::replace(&mut self.process, replacement.process);
        let output = read_stdout(&mut replaced);
        ProcessExit {
            code: replaced.wait().unwrap().code(),
            output,
        }
    }

    /// Starts a replacement and waits until it has replaced the serving process.
    pub fn replace(&mut self) -> ProcessExit {
        let replacement = self.start_replacement();
        self.wait_until_replaced_by(replacement)
    }

    /// The state directory.
    pub fn state_folder(&self) -> PathBuf {
        self.launch.folder.join("state")
    }

    /// The Unix socket on which the serving process accepts a replacement.
    pub fn replacement_socket(&self) -> PathBuf {
        std::fs::read_dir(self.launch.folder.join("tmp"))
            .unwrap()
            .flatten()
            .next()
            .expect("a socket")
            .path()
    }

    fn wait_until_healthy(self) -> Sender {
        wait_until("the sender serves", || self.is_healthy());
        self
    }

    /// Whether the sender answers a health check. A process that another thread is just starting may briefly inherit a
    /// socket of this address, so that a connection can be established there and end without a response.
    fn is_healthy(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else {
            return false;
        };
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let _ = stream.write_all(HEALTH_CHECK.as_bytes());
        read_message(&mut BufReader::new(stream), 0)
            .is_some_and(|response| status_of(&response) == 200)
    }

    /// Kills it and removes its directories.
    pub fn kill(mut self) {
        self.kill_and_wait();
    }

    pub fn kill_and_restart(mut self) -> Sender {
        self.kill_and_wait();
        self.restart()
    }

    /// Kills it and starts it again with a wall clock that `step` has set.
    pub fn restart_with_wall_clock(mut self, step: impl FnOnce(&WallClock)) -> Sender {
        self.kill_and_wait();
        let wall_clock = WallClock::build(&self.launch.folder);
        step(&wall_clock);
        self.launch.wall_clock = Some(wall_clock);
        self.restart()
    }

    /// Waits until it has exited, and starts it again.
    pub fn restart_after_exit(mut self) -> Sender {
        self.process.wait().unwrap();
        self.restart()
    }

    /// Kills it, lets `change` modify its state directory, and starts it again.
    pub fn restart_with_state(mut self, change: impl FnOnce(&Path)) -> Sender {
        self.kill_and_wait();
        change(&self.state_folder());
        self.restart()
    }

    /// Sends it SIGTERM, waits until it has exited, and starts it again.
    pub fn terminate_and_restart(mut self) -> Sender {
        self.signal("TERM");
        assert_eq!(self.process.wait().unwrap().code(), Some(0));
        self.restart()
    }

    /// Kills it and starts it again with an invalid configuration. Returns the exit code and the errors.
    pub fn restart_with_invalid_config(mut self, from: &str, to: &str) -> ProcessExit {
        self.kill_and_wait();
        self.change_config(from, to);
        let process = self.launch.spawn(self.launch.operator);
        let output = process.wait_with_output().unwrap();
        ProcessExit {
            code: output.status.code(),
            output: String::from_utf8(output.stderr).unwrap(),
        }
    }

    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.process.id());
        let status = Command::new("sh").args(["-c", &command]).status().unwrap();
        assert!(status.success());
    }

    /// Replaces a text in the configuration file. A running process does not read the file again by itself.
    pub fn change_config(&self, from: &str, to: &str) {
        let path = self.launch.folder.join("config.json");
        let config = std::fs::read_to_string(&path).unwrap();
        assert!(config.contains(from), "{from} is not in the configuration");
        std::fs::write(&path, config.replace(from, to)).unwrap();
    }

    /// Changes the configuration and waits until the sender has read it again.
    pub fn reload_config(&self, from: &str, to: &str) {
        self.change_config(from, to);
        self.signal("HUP");
        self.wait_for_round_end();
    }

    /// Waits for the end of the event loop's current round: the second of two requests is answered in a later round.
    pub fn wait_for_round_end(&self) {
        for _ in 0..2 {
            assert_eq!(self.exchange(HEALTH_CHECK), 200);
        }
    }

    /// Its resident memory in KiB.
    pub fn memory_kb(&self) -> u64 {
        self.memory_figure("VmRSS:")
    }

    /// The most resident memory that it has had so far, in KiB.
    pub fn peak_memory_kb(&self) -> u64 {
        self.memory_figure("VmHWM:")
    }

    fn memory_figure(&self, name: &str) -> u64 {
        let file = format!("/proc/{}/status", self.process.id());
        let status = std::fs::read_to_string(file).unwrap();
        let line = status.lines().find(|line| line.starts_with(name));
        let value = line.unwrap().split_whitespace().nth(1);
        value.unwrap().parse().unwrap()
    }

    /// Kills it, replaces texts in its configuration, and starts it again.
    pub fn restart_with_config(mut self, changes: &[(&str, &str)]) -> Sender {
        self.kill_and_wait();
        for (from, to) in changes {
            self.change_config(from, to);
        }
        self.restart()
    }

    /// Sends it SIGTERM and waits until it has exited.
    pub fn terminate(self) -> ProcessExit {
        self.signal("TERM");
        self.wait_for_exit()
    }

    /// Waits until it exits by itself.
    pub fn wait_for_exit(mut self) -> ProcessExit {
        let output = read_stdout(&mut self.process);
        ProcessExit {
            code: self.process.wait().unwrap().code(),
            output,
        }
    }

    /// Sends it SIGTERM, and returns the last log line with its counters.
    pub fn terminate_for_counters(self) -> String {
        let log = self.terminate().output;
        log.lines()
            .rfind(|line| line.contains(" counters held="))
            .expect("counters logged at the exit")
            .to_string()
    }

    /// Sends it a text as an operator, and returns the answer.
    pub fn call_operator(&self, text: &str) -> String {
        call_operator(self.operator, text)
    }

    /// The counters that it reports to operators, by their names without the prefix. Within a round, operators are
    /// answered before all other work, so this waits for the end of the current round first.
    pub fn operator_counters(&self) -> BTreeMap<String, u64> {
        self.wait_for_round_end();
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
        status_of(&read_message(&mut stream, 0).expect("no response arrived"))
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

/// An endpoint, a platform, and a sender that uses both.
pub fn sender_with_endpoint(
    test: &str,
    script: impl Fn(usize, &HttpMessage) -> Reply + Send + Sync + 'static,
) -> (Endpoint, Platform, Sender) {
    let (endpoint, known_endpoints) = endpoint_and_list(script);
    let platform = Platform::new(&[]);
    let sender = Sender::start(test, &platform, &known_endpoints);
    (endpoint, platform, sender)
}

fn read_stdout(process: &mut Child) -> String {
    let mut output = String::new();
    let mut stdout = process.stdout.take().unwrap();
    stdout.read_to_string(&mut output).unwrap();
    output
}

/// Sends a text to an address for operators. Returns the answer up to the end of the connection, which is empty if
/// nobody listens.
pub fn call_operator(address: SocketAddr, text: &str) -> String {
    let mut answer = String::new();
    if let Ok(mut stream) = TcpStream::connect(address) {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let _ = stream.write_all(text.as_bytes());
        let _ = stream.read_to_string(&mut answer);
    }
    answer
}
