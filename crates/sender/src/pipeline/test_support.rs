//! What the tests of the pipeline share.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use martenlatch_clock::{Clock, Millis};
use martenlatch_settings::platform;
use martenlatch_settings::program::ProgramSettings;

use super::{Driver, Start};
use crate::Config;
use crate::event_source::Ready;

/// When the clocks of the tests start, in milliseconds of Unix time.
pub(super) const START: Millis = 1_796_121_600_000.0;
/// The limit on disk, in bytes.
pub(super) const DISK_LIMIT: u64 = 3_000_000;

pub(super) type Events = calloop::EventLoop<'static, Ready>;

/// An empty folder of this test process.
pub(super) fn empty_folder(name: &str) -> PathBuf {
    let folder = folder_path(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// The path of the folder of that name.
pub(super) fn folder_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("martenlatch-{name}-{}", std::process::id()))
}

/// A listener on loopback, as a sender opens it.
pub(super) fn listener() -> TcpListener {
    crate::listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap()
}

/// A driver that starts afresh from a folder. `known` is the endpoint list as the platform gives it at the start.
pub(super) fn start_driver(
    state: &Path,
    settings: &str,
    known: &str,
    discovery: SocketAddr,
    clock: &Clock,
) -> (Driver, Events) {
    let listener = listener();
    let config = Config {
        name: "n0".into(),
        listen: listener.local_addr().unwrap(),
        discovery,
        operator: None,
        state: state.into(),
        seed: 1,
        sockets: 64,
        disk: DISK_LIMIT,
        memory: 64_000_000,
        known: serde_json::from_str(known).unwrap(),
        clients: ProgramSettings::default().clients,
        peers: None,
        platform_settings: platform::read(settings).unwrap(),
    };
    let events = Events::try_new().unwrap();
    let start = Start::Fresh {
        listener,
        // However busy the machine is, the start is not held up.
        began: Instant::now() + Duration::from_secs(3_600),
    };
    let driver = Driver::new(config, start, None, &events.handle(), clock.clone()).unwrap();
    (driver, events)
}
