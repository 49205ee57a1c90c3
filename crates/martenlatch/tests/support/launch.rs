//! What a process of the program under test is started with: its directories, addresses, configuration and environment.

use super::WallClock;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

const SETTINGS: &str = r#"{"Areas":["a"],"Zone":"a","Balancers":1,"Kinds":["k"],"WeightKind":"rough","Categories":[
{"Name":"debit","Target":3000000000,"Deadline":16000000000,"Effect":"side_effect","Worth":1,"LateWorth":0.4},
{"Name":"meter","Target":3000000000,"Deadline":16000000000,"Effect":"token","KeyScope":"all","MemorySpan":60000000000,"Worth":1,"LateWorth":0.4}],
"FamilyInfo":{"CallsOut":8,"LosesWorth":"halving"},
"Limits":{"OpenCap":50,"AttemptsCap":8,"Cancel":true,"SecondCopies":true,"ConnectTimeout":1000000000,"ConnIdle":15000000000,"RetryAfter":true,"MaxRetryAfter":3000000000},
"Guarantees":{"StopSendingWithin":1000000000,"GraceToAnswer":20000000,"OverloadFactor":2,"OverloadFor":3000000000,"ColdFrom":0.22,"Cold":9200000000},"Tick":5000000}"#;

/// What a process of the sender is started with.
pub(super) struct Launch {
    /// Holds the configuration, the state directory and the temporary directory.
    pub folder: PathBuf,
    pub discovery: SocketAddr,
    pub name: String,
    /// The program's own settings file.
    pub settings: Option<PathBuf>,
    /// Outranks the configuration's address for operators, which another process may still have.
    pub operator: Option<SocketAddr>,
    /// The clock that its processes go by, if not the right one.
    pub wall_clock: Option<WallClock>,
}

impl Launch {
    /// Starts a process. `operator` outranks the configuration's address for operators.
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
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap()
    }
}

/// Writes a sender's configuration. `known` is its first endpoint list.
pub(super) fn write_config(
    folder: &Path,
    listen: SocketAddr,
    operator: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    disk_mb: f64,
) {
    let config = format!(
        r#"{{"name":"n0","listen":"{listen}","operator":"{operator}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":{disk_mb}}},"known":{known},"settings":{SETTINGS}}}"#
    );
    std::fs::write(folder.join("config.json"), config).unwrap();
}

/// The directories of a test's sender, all empty.
pub(super) fn create_folder(test: &str) -> PathBuf {
    let name = format!("martenlatch-{test}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(folder.join("state")).unwrap();
    std::fs::create_dir_all(folder.join("tmp")).unwrap();
    folder
}

/// A loopback address for each sender: on a shared one, another test's peer may get the freed port.
pub(super) fn own_ip() -> Ipv4Addr {
    static STARTED: AtomicU32 = AtomicU32::new(0);
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    Ipv4Addr::new(
        127,
        1 + (process % 200) as u8,
        (process / 200 % 250) as u8,
        1 + number as u8,
    )
}

/// Addresses where nobody listens. They are connected to, not bound: what this process binds, a process that another
/// thread is just starting holds for a moment longer, and the program under test would find its address taken.
pub(super) fn free_addresses(ip: IpAddr) -> impl Iterator<Item = SocketAddr> {
    (20_000..30_000)
        .map(move |port| SocketAddr::new(ip, port))
        .filter(|address| TcpStream::connect(address).is_err())
}
