//! The throughput ceiling: the messages that a sender delivers a second when no partner or limit slows it down, and the
//! processor time for each, compared with the baseline relay. Both programs are pinned to the same core and are measured
//! in alternating turns. The figures depend on the machine.

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
use crate::sockets::sender_process::{SenderOptions, SenderProcess};
use endpoints::ImmediateEndpoints;
use load_generator::LoadGenerator;

type Connection = martenlatch_http::Connection<usize>;

/// The most calls in flight, for each of the two programs.
const MAX_CALLS: usize = 64;
/// How long the relay may take until it listens.
const RELAY_START_TIMEOUT: Duration = Duration::from_secs(5);
const START_POLL: Duration = Duration::from_millis(5);
/// Pause between two turns, so that messages still in flight are not counted for the other program.
const SETTLE_TIME: Duration = Duration::from_millis(200);
const SEED: u64 = 1;

/// The figures of one program in one turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TurnFigures {
    /// Messages delivered a second.
    pub messages_per_second: f64,
    /// Processor time for each message, in microseconds.
    pub cpu_us_per_message: f64,
}

/// The figures of both programs, by turn.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ThroughputCeiling {
    /// The sender.
    pub sender: Vec<TurnFigures>,
    /// The baseline relay.
    pub relay: Vec<TurnFigures>,
}

/// The parameters of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct MeasurementPlan<'a> {
    /// The sender's program.
    pub program: &'a Path,
    /// Number of counted turns of each program. One uncounted turn precedes them.
    pub turns: usize,
    /// Length of a turn.
    pub turn_length: Duration,
    /// The most messages in flight.
    pub max_in_flight: u64,
}

/// A program under test.
#[derive(Clone, Copy)]
struct Target {
    pid: u32,
    address: SocketAddr,
}

/// Measures both programs in alternating turns.
///
/// # Errors
/// If a program does not start, or ends.
pub fn measure(plan: &MeasurementPlan) -> Result<ThroughputCeiling, LabError> {
    let endpoints = ImmediateEndpoints::new()?;
    let sender = RunningSender::start(plan.program, &endpoints.addresses)?;
    let relay = RunningRelay::start(&endpoints.addresses)?;
    let sender_target = Target {
        pid: sender
            .process
            .pid()
            .ok_or(LabError::SenderEndedBeforeMeasurement)?,
        address: sender.process.address,
    };
    let relay_target = Target {
        pid: relay.child.id(),
        address: relay.address,
    };
    pin_to_last_core(sender_target.pid)?;
    pin_to_last_core(relay_target.pid)?;
    let mut load = LoadGenerator::new(&endpoints, plan.max_in_flight);
    let mut ceiling = ThroughputCeiling::default();
    for turn in 0..plan.turns + 1 {
        let sender_figures = measure_turn(sender_target, &mut load, plan.turn_length)?;
        std::thread::sleep(SETTLE_TIME);
        let relay_figures = measure_turn(relay_target, &mut load, plan.turn_length)?;
        std::thread::sleep(SETTLE_TIME);
        if turn > 0 {
            ceiling.sender.push(sender_figures);
            ceiling.relay.push(relay_figures);
        }
    }
    Ok(ceiling)
}

/// Loads one program for one turn, and measures its throughput and the processor time for each message.
fn measure_turn(
    target: Target,
    load: &mut LoadGenerator,
    turn_length: Duration,
) -> Result<TurnFigures, LabError> {
    let cpu_ms = || {
        ResourceUsage::of_process(target.pid)
            .map(|usage| usage.cpu_ms)
            .ok_or(LabError::ProgramEnded)
    };
    let cpu_before = cpu_ms()?;
    let delivered_before = load.delivered();
    let messages_per_second = load.run(target.address, turn_length)?;
    let cpu_after = cpu_ms()?;
    let delivered_after = load.delivered();
    let messages = (delivered_after - delivered_before).max(1) as f64;
    Ok(TurnFigures {
        messages_per_second,
        cpu_us_per_message: (cpu_after - cpu_before) * 1e3 / messages,
    })
}

/// A running sender without discovery. A listener that never answers takes the place of its agent, so that the sender
/// keeps the endpoint list that it was started with.
struct RunningSender {
    process: SenderProcess,
    _silent_agent: TcpListener,
}

impl RunningSender {
    fn start(program: &Path, endpoints: &[SocketAddr]) -> Result<RunningSender, LabError> {
        let settings = sender_settings();
        let targets: Vec<Value> = endpoints.iter().enumerate().map(list_entry).collect();
        let endpoint_list = json!({"rev": 1, "all": true, "targets": targets});
        let silent_agent = TcpListener::bind("127.0.0.1:0").map_err(LabError::BindPort)?;
        let mut process = SenderProcess::prepare(&SenderOptions {
            number: 0,
            program,
            settings_file: None,
            discovery: silent_agent.local_addr().map_err(LabError::BindPort)?,
            platform_settings: &settings,
            seed: SEED,
        })?;
        process.configure(endpoint_list)?;
        process.start()?;
        process.wait_until_ready(START_POLL)?;
        Ok(RunningSender {
            process,
            _silent_agent: silent_agent,
        })
    }
}

/// Platform settings under which the sender sends as fast as it can.
fn sender_settings() -> Value {
    let text = format!(
        "length_s: 1 load {{ level: 1 }} world {{ senders: 1 partners: 1 full_rate: 100000
           kind {{ name: \"k\" share: 1 limit: NONE }}
           class {{ name: \"load\" share: 1 work_ms {{ least: 1 most: 1 }} effect: SAFE }} }}
         variant {{ name: \"v\" slots: {MAX_CALLS} hold_limit: 4096 second_copies: false }}"
    );
    let experiment = Experiment::read("roof", "roof", &text)
        .unwrap_or_else(|error| panic!("the measurement's own experiment is invalid: {error}"));
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

/// The baseline relay as a child process. Dropping this kills the process.
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

fn pin_to_last_core(pid: u32) -> Result<(), LabError> {
    let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get());
    let mut set = CpuSet::new();
    set.set(cores - 1)
        .and_then(|()| sched_setaffinity(Pid::from_raw(pid as i32), &set))
        .map_err(|source| LabError::PinToCore {
            process: pid,
            source,
        })
}
