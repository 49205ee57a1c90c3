//! Senders that are peers of one another, and scripted peers.

use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use martenlatch_peers::latency_sketch::LatencySketch;
use martenlatch_peers::partner_knowledge::Digest;
use martenlatch_peers::wire::{Page, Secret};

use super::TEST_TIMEOUT;
use super::platform::Platform;
use super::sender::Sender;

const SECRET: &str = "a secret of these tests";

/// A group of senders: a directory for their files, and the address of each for its peers.
pub struct SenderGroup {
    pub folder: PathBuf,
    pub addresses: Vec<SocketAddr>,
}

/// The result of `martenlatch members`.
pub struct MemberList {
    pub succeeded: bool,
    /// The list, or the error if the command failed.
    pub output: String,
}

impl SenderGroup {
    /// A group of `count` senders. `test` becomes a part of the name of its directory.
    pub fn new(test: &str, count: usize) -> SenderGroup {
        let process_id = std::process::id();
        let folder = std::env::temp_dir().join(format!("martenlatch-group-{test}-{process_id}"));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("secret"), SECRET).unwrap();
        SenderGroup {
            addresses: (0..count).map(|_| free_address()).collect(),
            folder,
        }
    }

    /// Writes the settings file of a sender. `peer_settings` is added to its `peers`.
    fn write_settings(&self, number: usize, peer_settings: &str) -> PathBuf {
        let file = self.folder.join(format!("settings-{number}"));
        let seeds: String = self
            .addresses
            .iter()
            .map(|seed| format!(" seed: \"{seed}\""))
            .collect();
        let secret = self.folder.join("secret");
        let default_learn_ms = if peer_settings.contains("learn_ms") {
            ""
        } else {
            "learn_ms: 5000"
        };
        let text = format!(
            "peers {{ listen: \"{}\" secret_file: {:?} {default_learn_ms} period_ms: 100 {seeds} {peer_settings} }}\n",
            self.addresses[number],
            secret.display().to_string()
        );
        std::fs::write(&file, text).unwrap();
        file
    }

    /// Starts the sender with this number, named `n` and the number.
    pub fn start(
        &self,
        number: usize,
        platform: &Platform,
        known_endpoints: &str,
        peer_settings: &str,
    ) -> Sender {
        let group = self.folder.file_name().unwrap().to_string_lossy();
        Sender::start_named(
            &format!("{group}-{number}"),
            platform,
            known_endpoints,
            &format!("n{number}"),
            &self.write_settings(number, peer_settings),
        )
    }

    /// Queries a sender for the members that it knows.
    pub fn members(&self, number: usize) -> MemberList {
        let file = self.folder.join(format!("settings-{number}"));
        let output = Command::new(env!("CARGO_BIN_EXE_martenlatch"))
            .args(["members", "--settings"])
            .arg(file)
            .output()
            .unwrap();
        let succeeded = output.status.success();
        let text = if succeeded {
            output.stdout
        } else {
            output.stderr
        };
        MemberList {
            succeeded,
            output: String::from_utf8(text).unwrap(),
        }
    }

    /// Waits until a sender lists a member in this state.
    pub fn wait_until_listed(&self, number: usize, member: &str, state: &str) {
        let start = Instant::now();
        loop {
            let list = self.members(number).output;
            let found = list.lines().any(|line| {
                let mut words = line.split_whitespace();
                words.next() == Some(member) && words.next() == Some(state)
            });
            if found {
                return;
            }
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "n{number} never listed {member} as {state}:\n{list}"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for SenderGroup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An address that nothing else in these tests uses, with a port that is free for TCP and UDP.
fn free_address() -> SocketAddr {
    static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed) as u8 + 1;
    let process_id = std::process::id();
    let ip = Ipv4Addr::new(
        127,
        1 + (process_id % 200) as u8,
        251 + (process_id / 200 % 4) as u8,
        number,
    );
    let port = (20_000..30_000).find(|port| {
        TcpListener::bind((ip, *port)).is_ok() && UdpSocket::bind((ip, *port)).is_ok()
    });
    SocketAddr::from((ip, port.expect("a free port")))
}

/// Plays a sender of the group: accepts one connection and reads the query for a snapshot. The script gets the number
/// of the query and writes the response.
pub fn scripted_peer(
    address: SocketAddr,
    script: impl FnOnce(u64, &mut TcpStream) + Send + 'static,
) {
    let listener = bind(address);
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let query_number = read_query(&mut stream);
        script(query_number, &mut stream);
    });
}

/// Listens on an address, with retries: a process that is just being started may briefly inherit the socket that
/// [`free_address`] bound.
fn bind(address: SocketAddr) -> TcpListener {
    let start = Instant::now();
    loop {
        match TcpListener::bind(address) {
            Err(error)
                if error.kind() == std::io::ErrorKind::AddrInUse
                    && start.elapsed() < TEST_TIMEOUT =>
            {
                std::thread::sleep(Duration::from_millis(5));
            }
            bound => return bound.unwrap(),
        }
    }
}

/// Reads the query for a snapshot and returns its number.
fn read_query(stream: &mut TcpStream) -> u64 {
    let secret = secret();
    let mut received = Vec::new();
    loop {
        let mut part = [0; 512];
        let count = stream.read(&mut part).unwrap();
        assert!(count > 0, "the connection was closed before the query");
        received.extend(&part[..count]);
        if let Ok((Page::DigestsRequest { request_id, .. }, _)) = secret.open_page(&received) {
            return request_id;
        }
    }
}

/// The group's shared secret.
pub fn secret() -> Secret {
    Secret::new(SECRET.as_bytes())
}

/// The frame of a page, as a peer of the group sends it.
pub fn seal(page: &Page) -> Vec<u8> {
    secret().seal_page(page)
}

/// What a peer knows about a destination whose endpoints answer.
pub fn digest(destination: u64) -> Digest {
    Digest {
        successes: 9.0,
        latency: LatencySketch::from_latencies([200.0; 9]),
        ..Digest::new(destination)
    }
}

/// The first line of a log that contains a text.
pub fn log_line(log: &str, text: &str) -> String {
    log.lines()
        .find(|line| line.contains(text))
        .unwrap_or_else(|| panic!("no line with {text:?} in\n{log}"))
        .to_string()
}

/// The number after a key such as `took_ms=` in a line of the log.
pub fn number_after(line: &str, key: &str) -> u64 {
    let (_, value) = line.split_once(key).unwrap();
    value.split(' ').next().unwrap().parse().unwrap()
}
