//! Helpers shared by the tests of the pipeline.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use martenlatch_clock::{Clock, Millis};
use martenlatch_settings::platform;
use martenlatch_settings::program::ProgramSettings;

use super::{Driver, StartMode};
use crate::Config;
use crate::event_source::ReadyEvents;

/// The start time of the test clocks, in milliseconds of Unix time.
pub(super) const START: Millis = 1_796_121_600_000.0;
/// The limit on the disk space of the state folder, in bytes.
pub(super) const DISK_LIMIT: u64 = 3_000_000;

pub(super) type TestLoop = calloop::EventLoop<'static, ReadyEvents>;

/// Creates an empty folder for this test process.
pub(super) fn empty_folder(name: &str) -> PathBuf {
    let folder = folder_path(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// The path of the test folder with this name.
pub(super) fn folder_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("martenlatch-{name}-{}", std::process::id()))
}

/// A listener on loopback, opened in the same way as by the sender.
pub(super) fn listener() -> TcpListener {
    crate::listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap()
}

/// Starts a driver from the state in a folder. `known` is the endpoint list that the configuration contains, in JSON.
pub(super) fn start_driver(
    state: &Path,
    settings: &str,
    known: &str,
    discovery: SocketAddr,
    clock: &Clock,
) -> (Driver, TestLoop) {
    let listener = listener();
    let config = Config {
        name: "n0".into(),
        listen: listener.local_addr().unwrap(),
        discovery,
        discovery_in_file: Some(discovery),
        operator: None,
        state_folder: state.into(),
        seed: 1,
        descriptor_limit: 64,
        disk_limit: DISK_LIMIT,
        memory_limit: 64_000_000,
        known_endpoints: serde_json::from_str(known).unwrap(),
        clients: ProgramSettings::default().clients,
        peers: None,
        platform_settings: platform::read(settings).unwrap(),
    };
    let events = TestLoop::try_new().unwrap();
    let start = StartMode::Fresh {
        listener,
        // An instant in the future, so that the start never counts as delayed, however busy the machine is.
        process_started: Instant::now() + Duration::from_secs(3_600),
    };
    let driver = Driver::new(config, start, None, &events.handle(), clock.clone()).unwrap();
    (driver, events)
}
