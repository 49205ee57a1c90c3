//! The throughput ceiling: how many messages a second a sender delivers with nothing to hold it back, and what each
//! costs, against the baseline relay. Both are pinned to one core and take turns; the figures are the machine's.

mod endpoints;
mod load_generator;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sched::{CpuSet, sched_setaffinity};
use nix::unistd::Pid;
use serde_json::{Value, json};

use crate::error::LabError;
use crate::experiment::Experiment;
use crate::model::site::Site;
use crate::sim;
use crate::sockets::platform_settings::platform_settings;
use crate::sockets::resource_usage::ResourceUsage;
use crate::sockets::sender_process::{Preparation, SenderProcess};
use endpoints::ImmediateEndpoints;
use load_generator::LoadGenerator;

type Connection = martenlatch_http::Connection<usize>;

/// Calls in flight at most, of either program.
const MAX_CALLS: usize = 64;
/// The relay has so long until it listens.
const RELAY_START_TIMEOUT: Duration = Duration::from_secs(5);
const START_POLL: Duration = Duration::from_millis(5);
/// Between two turns: what is still in flight must not count for the other program.
const SETTLE_TIME: Duration = Duration::from_millis(200);
const SEED: u64 = 1;

/// What one program did in one turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turn {
    /// Messages delivered a second.
    pub rate: f64,
    /// Processor time for each, in microseconds.
    pub cost_us: f64,
}

/// What both programs did, turn by turn.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ThroughputCeiling {
    /// The sender.
    pub sender: Vec<Turn>,
    /// The baseline relay.
    pub relay: Vec<Turn>,
}

/// How the ceiling is measured.
#[derive(Clone, Copy, Debug)]
pub struct Plan<'a> {
    /// The sender's program.
    pub program: &'a Path,
    /// Turns of each program; one before them is not counted.
    pub turns: usize,
    /// How long a turn is.
    pub span: Duration,
    /// Messages in flight at most.
    pub max_in_flight: u64,
}

/// A program under test.
#[derive(Clone, Copy)]
struct Target {
    process: u32,
    address: SocketAddr,
}

/// Measures both programs in turns.
///
/// # Errors
/// Where a program does not start, or ends.
pub fn measure(plan: &Plan) -> Result<ThroughputCeiling, LabError> {
    let endpoints = ImmediateEndpoints::new()?;
    let sender = RunningSender::start(plan.program, &endpoints.addresses)?;
    let relay = RunningRelay::start(&endpoints.addresses)?;
    let sender_target = Target {
        process: sender
            .process
            .process()
            .ok_or(LabError::SenderEndedBeforeMeasurement)?,
        address: sender.process.address,
    };
    let relay_target = Target {
        process: relay.child.id(),
        address: relay.address,
    };
    pin_to_last_core(sender_target.process)?;
    pin_to_last_core(relay_target.process)?;
    let mut load = LoadGenerator::new(&endpoints, plan.max_in_flight);
    let mut ceiling = ThroughputCeiling::default();
    for turn in 0..plan.turns + 1 {
        let of_sender = measure_turn(sender_target, &mut load, plan.span)?;
        std::thread::sleep(SETTLE_TIME);
        let of_relay = measure_turn(relay_target, &mut load, plan.span)?;
        std::thread::sleep(SETTLE_TIME);
        if turn > 0 {
            ceiling.sender.push(of_sender);
            ceiling.relay.push(of_relay);
        }
    }
    Ok(ceiling)
}

/// One turn: what was delivered, and the processor time that the program took for it.
fn measure_turn(
    target: Target,
    load: &mut LoadGenerator,
    span: Duration,
) -> Result<Turn, LabError> {
    let cpu_ms = || {
        ResourceUsage::of_process(target.process)
            .map(|used| used.cpu_ms)
            .ok_or(LabError::ProgramEnded)
    };
    let cpu_before = cpu_ms()?;
    let served_before = load.served();
    let rate = load.run(target.address, span)?;
    let cpu_after = cpu_ms()?;
    let served_after = load.served();
    let messages = (served_after - served_before).max(1) as f64;
    Ok(Turn {
        rate,
        cost_us: (cpu_after - cpu_before) * 1e3 / messages,
    })
}

/// A sender that serves, without discovery: nobody answers at its agent's address, so that it keeps the endpoint list
/// that it was started with.
struct RunningSender {
    process: SenderProcess,
    _silent_agent: TcpListener,
}

impl RunningSender {
    fn start(program: &Path, endpoints: &[SocketAddr]) -> Result<RunningSender, LabError> {
        let settings = sender_settings();
        let targets: Vec<Value> = endpoints.iter().enumerate().map(list_entry).collect();
        let known = json!({"rev": 1, "all": true, "targets": targets});
        let silent_agent = TcpListener::bind("127.0.0.1:0").map_err(LabError::BindPort)?;
        let mut process = SenderProcess::prepare(&Preparation {
            number: 0,
            program,
            settings_file: None,
            discovery: silent_agent.local_addr().map_err(LabError::BindPort)?,
            platform_settings: &settings,
            seed: SEED,
        })?;
        process.configure(known)?;
        process.start()?;
        process.wait_until_up(START_POLL)?;
        Ok(RunningSender {
            process,
            _silent_agent: silent_agent,
        })
    }
}

/// Settings that let the sender send as fast as it can.
fn sender_settings() -> Value {
    let text = format!(
        "length_s: 1 load {{ level: 1 }} world {{ senders: 1 partners: 1 full_rate: 100000
           kind {{ name: \"k\" share: 1 limit: NONE }}
           class {{ name: \"load\" share: 1 work_ms {{ least: 1 most: 1 }} effect: SAFE }} }}
         variant {{ name: \"v\" slots: {MAX_CALLS} hold_limit: 4096 second_copies: false }}"
    );
    let experiment = Experiment::read("roof", "roof", &text)
        .unwrap_or_else(|fault| panic!("the measurement's own experiment is valid: {fault}"));
    let site = Site::new(&experiment.world, SEED);
    let settings = sim::settings(&experiment, &experiment.variants[0], &site);
    let mut settings = platform_settings(&settings, &["load".into()], &["k".into()]);
    settings["WeightKind"] = json!("off");
    settings
}

fn list_entry((number, address): (usize, &SocketAddr)) -> Value {
    json!({
        "uid": format!("s-{number}"),
        "endpoint": address.to_string(),
        "az": "a",
        "model": "k",
        "pod_group": 0,
        "state": "in_service",
        "capacity_hint": 1.0,
        "boot_ms": 0
    })
}

/// The baseline relay as a child process, which ends with its owner.
struct RunningRelay {
    child: Child,
    address: SocketAddr,
}

impl RunningRelay {
    fn start(endpoints: &[SocketAddr]) -> Result<RunningRelay, LabError> {
        let address = TcpListener::bind("127.0.0.1:0")
            .and_then(|listener| listener.local_addr())
            .map_err(LabError::BindPort)?;
        let own_program = std::env::current_exe().map_err(LabError::OwnProgram)?;
        let child = Command::new(own_program)
            .args(["relay", "--listen", &address.to_string()])
            .args(["--calls", &MAX_CALLS.to_string()])
            .args(endpoints.iter().map(SocketAddr::to_string))
            .stdin(Stdio::null())
            .spawn()
            .map_err(LabError::StartRelay)?;
        let relay = RunningRelay { child, address };
        relay.wait_until_listening()?;
        Ok(relay)
    }

    fn wait_until_listening(&self) -> Result<(), LabError> {
        let start = Instant::now();
        while TcpStream::connect(self.address).is_err() {
            if start.elapsed() > RELAY_START_TIMEOUT {
                return Err(LabError::RelayNotListening);
            }
            std::thread::sleep(START_POLL);
        }
        Ok(())
    }
}

impl Drop for RunningRelay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn pin_to_last_core(process: u32) -> Result<(), LabError> {
    let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get());
    let mut set = CpuSet::new();
    set.set(cores - 1)
        .and_then(|()| sched_setaffinity(Pid::from_raw(process as i32), &set))
        .map_err(|source| LabError::PinToCore { process, source })
}
