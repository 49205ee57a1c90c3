//! How a process of the program under test is started: its directories, addresses, configuration and environment.

use super::WallClock;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// The platform's settings, with a non-idempotent class `debit` and a class `meter` that uses idempotency keys.
const PLATFORM_SETTINGS: &str = r#"{"Areas":["a"],"Zone":"a","Balancers":1,"Kinds":["k"],"WeightKind":"rough","Categories":[
{"Name":"debit","Target":3000000000,"Deadline":16000000000,"Effect":"side_effect","Worth":1,"LateWorth":0.4},
{"Name":"meter","Target":3000000000,"Deadline":16000000000,"Effect":"token","KeyScope":"all","MemorySpan":60000000000,"Worth":1,"LateWorth":0.4}],
"FamilyInfo":{"CallsOut":8,"LosesWorth":"halving"},
"Limits":{"OpenCap":50,"AttemptsCap":8,"Cancel":true,"SecondCopies":true,"ConnectTimeout":1000000000,"ConnIdle":15000000000,"RetryAfter":true,"MaxRetryAfter":3000000000},
"Guarantees":{"StopSendingWithin":1000000000,"GraceToAnswer":20000000,"OverloadFactor":2,"OverloadFor":3000000000,"ColdFrom":0.22,"Cold":9200000000},"Tick":5000000}"#;

/// The options with which each process of a sender is started.
pub(super) struct LaunchOptions {
    /// Holds the configuration, the state directory and the temporary directory.
    pub folder: PathBuf,
    pub discovery: SocketAddr,
    pub name: String,
    /// The program's own settings file.
    pub settings: Option<PathBuf>,
    /// Overrides the configuration's address for operators, which a replaced process may still occupy.
    pub operator: Option<SocketAddr>,
    /// The wall clock of its processes; `None` for the system's.
    pub wall_clock: Option<WallClock>,
}

impl LaunchOptions {
    /// Starts a process. `operator` overrides the configuration's address for operators.
    pub fn spawn(&self, operator: Option<SocketAddr>) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_martenlatch"));
        command.env_remove("PROXY_OPERATOR");
        if let Some(operator) = operator {
            command.env("PROXY_OPERATOR", operator.to_string());
        }
        if let Some(wall_clock) = &self.wall_clock {
            command.envs(wall_clock.environment());
        }
        if let Some(settings) = &self.settings {
            command.env("MARTENLATCH_SETTINGS", settings);
        }
        command
            .env("PROXY_CONFIG", self.folder.join("config.json"))
            .env("PROXY_STATE", self.folder.join("state"))
            .env_remove("PROXY_LISTEN")
            .env("TMPDIR", self.folder.join("tmp"))
            .env("PROXY_NAME", &self.name)
            .env("PROXY_DISCOVERY", self.discovery.to_string())
            .stdout(log_output())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap()
    }
}

/// Where a process writes its log: to the test or, to trace a failure, to the file that `MARTENLATCH_TEST_LOG` names.
fn log_output() -> Stdio {
    let Ok(file) = std::env::var("MARTENLATCH_TEST_LOG") else {
        return Stdio::piped();
    };
    let file = File::options().create(true).append(true).open(file);
    Stdio::from(file.expect("the file for the log can be opened"))
}

/// Writes a sender's configuration file. `known_endpoints` is the endpoint list that the sender starts with.
pub(super) fn write_config(
    folder: &Path,
    listen: SocketAddr,
    operator: SocketAddr,
    discovery: SocketAddr,
    known_endpoints: &str,
    disk_mb: f64,
) {
    let config = format!(
        r#"{{"name":"n0","listen":"{listen}","operator":"{operator}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":{disk_mb}}},"known":{known_endpoints},"settings":{PLATFORM_SETTINGS}}}"#
    );
    std::fs::write(folder.join("config.json"), config).unwrap();
}

/// Creates a folder for a test's sender, with an empty state directory and an empty temporary directory.
pub(super) fn create_test_folder(test: &str) -> PathBuf {
    let name = format!("martenlatch-{test}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(folder.join("state")).unwrap();
    std::fs::create_dir_all(folder.join("tmp")).unwrap();
    folder
}

/// A separate loopback address for each sender. On a shared one, a freed port may be given to another test's peer.
pub(super) fn next_loopback_ip() -> Ipv4Addr {
    static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let process_id = std::process::id();
    Ipv4Addr::new(
        127,
        1 + (process_id % 200) as u8,
        (process_id / 200 % 250) as u8,
        1 + number as u8,
    )
}

/// Addresses on which nobody listens. Each is tried by connecting, not by binding: a process that another thread is
/// just starting may briefly inherit a bound socket, and the program under test would find its address in use.
pub(super) fn free_addresses(ip: IpAddr) -> impl Iterator<Item = SocketAddr> {
    (20_000..30_000)
        .map(move |port| SocketAddr::new(ip, port))
        .filter(|address| TcpStream::connect(address).is_err())
}
