//! Helpers shared by the tests of the pipeline.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use martenlatch_clock::{Clock, Millis};
use martenlatch_settings::platform;
use martenlatch_settings::program::ProgramSettings;

use super::{Driver, ProcessState, StartMode};
use crate::Config;
use crate::event_source::{InheritedDescriptors, ReadyEvents};

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

/// A process that the tests run round by round.
pub(super) struct TestProcess {
    pub(super) driver: Driver,
    pub(super) events: TestLoop,
    pub(super) config: Config,
}

/// The configuration of a sender. `known` is the endpoint list that it contains, in JSON.
fn config(
    listen: SocketAddr,
    state: &Path,
    settings: &str,
    known: &str,
    discovery: SocketAddr,
) -> Config {
    Config {
        name: "n0".into(),
        listen,
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
    }
}

/// Starts a driver from the state in a folder. `known` is the endpoint list that the configuration contains, in JSON.
pub(super) fn start_driver(
    state: &Path,
    settings: &str,
    known: &str,
    discovery: SocketAddr,
    clock: &Clock,
) -> (Driver, TestLoop) {
    let process = TestProcess::start(state, settings, known, discovery, clock);
    (process.driver, process.events)
}

impl TestProcess {
    /// Starts a process from the state in a folder, with the arguments of [`start_driver`].
    pub(super) fn start(
        state: &Path,
        settings: &str,
        known: &str,
        discovery: SocketAddr,
        clock: &Clock,
    ) -> TestProcess {
        let listener = listener();
        let config = config(
            listener.local_addr().unwrap(),
            state,
            settings,
            known,
            discovery,
        );
        let events = TestLoop::try_new().unwrap();
        let start = StartMode::Fresh {
            listener,
            // An instant in the future, so that the start never counts as delayed, however busy the machine is.
            process_started: Instant::now() + Duration::from_secs(3_600),
        };
        let handle = events.handle();
        let driver = Driver::new(config.clone(), start, None, &handle, clock.clone()).unwrap();
        TestProcess {
            driver,
            events,
            config,
        }
    }

    /// The process that takes over. `None` if this process has something to process first.
    pub(super) fn replacement(&mut self, clock: &Clock) -> Option<TestProcess> {
        if !self.driver.is_quiescent() {
            return None;
        }
        self.driver.prepare_for_successor().unwrap();
        if !self.driver.is_quiescent() {
            return None;
        }
        let (state, descriptors) = self.driver.encode_state().unwrap();
        let state = ProcessState::decode(&state, &self.config).unwrap();
        let descriptors = descriptors
            .into_iter()
            .map(|descriptor| descriptor.try_clone_to_owned().unwrap())
            .collect();
        let start = StartMode::Takeover(Box::new(state), InheritedDescriptors::new(descriptors));
        let events = TestLoop::try_new().unwrap();
        let config = self.config.clone();
        let handle = events.handle();
        let driver = Driver::new(config.clone(), start, None, &handle, clock.clone()).unwrap();
        Some(TestProcess {
            driver,
            events,
            config,
        })
    }
}
