//! The soak: runs many senders as real processes on loopback under faults that overlap in time, and judges them by the
//! traffic on their sockets.
//!
//! - `schedule`: the faults of a seed
//! - `world`: the state that all threads share, the messages and the endpoint list
//! - `endpoint`, `agent`, `client`: the peers of the senders, with the network's faults
//! - `processes`: the senders themselves; signals, restarts, clocks, folders and failing system calls (`shim`)
//! - `history`, `oracle`: the recorded events, and the invariants checked against them
//! - `answer_coverage`: which answers a soak has met, and what followed them

mod agent;
pub mod answer_coverage;
mod client;
mod endpoint;
mod endpoint_connection;
mod endpoint_helpers;
pub mod history;
mod http;
pub mod oracle;
mod pids;
mod processes;
mod refusal;
mod repetition;
pub mod schedule;
mod shim;
mod withdrawal;
mod world;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use martenlatch_clock::Millis;

use crate::error::LabError;
use answer_coverage::AnswerCoverage;
use client::{BUSY_CLIENTS, Client};
use history::{Event, Record};
use oracle::{Conditions, Figures, Oracle, Violation};
use pids::Pids;
use processes::Processes;
use schedule::{FaultKind, SoakSize};
use world::{IDEMPOTENCY_WINDOW, World};

/// Number of endpoints, two for each destination.
const ENDPOINTS: usize = 6;
/// Interval between checks of the schedule.
const TICK: Duration = Duration::from_millis(4);
/// How long messages may take to end after the last submission.
const END_TIMEOUT: Millis = 9_000.0;
/// How long the processes may take to exit after SIGTERM.
const EXIT_TIMEOUT: Millis = 8_000.0;
/// A sender's system calls count as failing also this long before and after their fault window.
const FAILING_CALLS_MARGIN: Millis = 600.0;
/// Reports that were not confirmed are repeated within this time after their fault window.
const UNCONFIRMED_REPORTS_MARGIN: Millis = 1_500.0;
/// Senders and laboratory together may use the machine's memory divided by this.
const MEMORY_DIVISOR: u64 = 2;
/// Interval between checks of the memory in use.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Parameters of a soak.
pub struct Options {
    /// The seed of the schedule.
    pub seed: u64,
    /// How long faults are injected, in seconds.
    pub seconds: f64,
    /// Number of senders.
    pub processes: usize,
    /// The sender's executable.
    pub program: PathBuf,
    /// Extends every time limit, in milliseconds, for a machine that does other work too. The lateness of the
    /// laboratory itself is always added.
    pub slack: Millis,
    /// Whether to leave out the steps of the senders' wall clocks; all other faults of the seed stay.
    pub keep_wall_clock: bool,
}

/// The result of a soak.
pub struct SoakReport {
    /// Violations, in order of time.
    pub violations: Vec<Violation>,
    /// Message counts.
    pub figures: Figures,
    /// The number of faults and process events of each kind, by the names of their variants.
    pub faults: BTreeMap<String, usize>,
    /// The longest delay of the laboratory itself, in milliseconds.
    pub lateness: Millis,
    /// How often each kind of answer was met, and what followed it.
    pub answer_coverage: AnswerCoverage,
    /// All recorded events, in order of time.
    pub records: Vec<Record>,
    logs: Vec<String>,
}

impl SoakReport {
    /// The sender's log lines about the message of a violation, with the times of the sender's wall clock; if the
    /// violation concerns no message, the lines that say why its processes ended.
    pub fn sender_log(&self, violation: &Violation) -> Vec<String> {
        let log = &self.logs[violation.sender];
        if violation.message.is_empty() {
            let exit_reasons = log.lines().filter(|line| line.starts_with("martenlatch:"));
            return exit_reasons.map(str::to_string).collect();
        }
        log_lines_of_message(log, &violation.message)
    }

    /// The whole logs of the senders with violations, by sender.
    pub fn logs_of_violations(&self) -> BTreeMap<usize, &str> {
        let senders = self.violations.iter().map(|violation| violation.sender);
        senders
            .map(|sender| (sender, self.logs[sender].as_str()))
            .collect()
    }

    /// The records that concern a violation, in order of time: those of its message, and the events of its sender
    /// during that time.
    pub fn timeline(&self, violation: &Violation) -> Vec<&Record> {
        let of_message =
            |record: &&Record| !violation.message.is_empty() && record.message == violation.message;
        let first = self
            .records
            .iter()
            .find(of_message)
            .map_or(violation.at, |record| record.at);
        let last = self
            .records
            .iter()
            .rfind(of_message)
            .map_or(violation.at, |record| record.at);
        let (from, until) = (first - 1_000.0, last.max(violation.at) + 1_000.0);
        self.records
            .iter()
            .filter(|record| {
                let asks_to_wait = matches!(
                    record.event,
                    Event::Responded {
                        retry_after: Some(_),
                        ..
                    }
                );
                let of_sender = record.sender == violation.sender
                    && (record.message.is_empty() || asks_to_wait)
                    && (from..until).contains(&record.at);
                of_message(record) || of_sender
            })
            .collect()
    }
}

/// Runs one soak. Once `stop` is set, it returns an error immediately; all processes are ended in any case.
///
/// # Errors
/// If the soak cannot be run, is stopped, or uses too much memory.
pub fn soak(options: &Options, stop: &AtomicBool) -> Result<SoakReport, LabError> {
    let size = SoakSize {
        senders: options.processes,
        endpoints: ENDPOINTS,
        duration: options.seconds * 1e3,
    };
    let folder = tempfile::Builder::new()
        .prefix("martenlatch-soak-")
        .tempdir()
        .map_err(LabError::TemporaryFolder)?;
    let library = shim::build(folder.path())?;
    let mut world = World::new(options.seed, size);
    if options.keep_wall_clock {
        world.schedule.remove_wall_clock_steps();
    }
    let world = Arc::new(world);
    let pids = Arc::new(Pids::new(size.senders));
    let mut processes =
        Processes::prepare(&world, &pids, &options.program, folder.path(), &library)?;
    processes.extend_kill_timeout(options.slack);
    let result = run_schedule(&world, &pids, &mut processes, stop);
    world.clients_stopped.store(true, Ordering::Relaxed);
    world.stopped.store(true, Ordering::Relaxed);
    let lateness = result?;
    let logs = processes.logs()?;
    record_logged_defects(&world, &logs);
    Ok(judge(&world, logs, lateness, options.slack))
}

/// Runs the schedule, waits for all messages to end, and ends the processes. Returns the longest delay of the
/// laboratory itself.
fn run_schedule(
    world: &Arc<World>,
    pids: &Arc<Pids>,
    processes: &mut Processes,
    stop: &AtomicBool,
) -> Result<Millis, LabError> {
    let mut monitor = Monitor::new();
    start_clients(world, pids, processes);
    while world.now() < world.size.duration {
        monitor.tick(processes, stop)?;
        processes.run_due()?;
    }
    world.clients_stopped.store(true, Ordering::Relaxed);
    let until = world.now() + END_TIMEOUT;
    while world.now() < until {
        monitor.tick(processes, stop)?;
        processes.run_due()?;
        if processes.all_running() && history::unfinished_messages(&world.history.sorted()) == 0 {
            break;
        }
    }
    processes.terminate_all();
    let until = world.now() + EXIT_TIMEOUT;
    while !processes.all_ended() && world.now() < until {
        monitor.tick(processes, stop)?;
    }
    Ok(monitor.lateness)
}

fn start_clients(world: &Arc<World>, pids: &Arc<Pids>, processes: &Processes) {
    for sender in 0..world.size.senders {
        for number in 0..=BUSY_CLIENTS {
            let client = Client {
                world: world.clone(),
                pids: pids.clone(),
                sender,
                address: processes.address(sender),
                number,
            };
            thread::spawn(move || {
                if number < BUSY_CLIENTS {
                    client.keep_busy();
                } else {
                    client.misbehave();
                }
            });
        }
    }
}

/// Monitors the laboratory itself: whether it is stopped, late, or uses too much memory.
struct Monitor {
    lateness: Millis,
    memory_checked: Instant,
}

impl Monitor {
    fn new() -> Monitor {
        Monitor {
            lateness: 0.0,
            memory_checked: Instant::now(),
        }
    }

    /// Sleeps for one [`TICK`] and runs the checks.
    fn tick(&mut self, processes: &Processes, stop: &AtomicBool) -> Result<(), LabError> {
        if stop.load(Ordering::Relaxed) {
            return Err(LabError::Stopped);
        }
        let before = Instant::now();
        thread::sleep(TICK);
        let late = before.elapsed().saturating_sub(TICK);
        self.lateness = self.lateness.max(late.as_secs_f64() * 1e3);
        if self.memory_checked.elapsed() >= MEMORY_CHECK_INTERVAL {
            self.memory_checked = Instant::now();
            check_memory(processes)?;
        }
        Ok(())
    }
}

fn check_memory(processes: &Processes) -> Result<(), LabError> {
    let own = std::process::id();
    let used: u64 = processes
        .pids()
        .into_iter()
        .chain([own])
        .filter_map(|pid| read_kilobytes(&format!("/proc/{pid}/status"), "VmRSS:"))
        .sum();
    let total = read_kilobytes("/proc/meminfo", "MemTotal:").unwrap_or(u64::MAX);
    if used > total / MEMORY_DIVISOR {
        return Err(LabError::TooMuchMemory { used_kb: used });
    }
    Ok(())
}

/// The number after a name in a file of `/proc`.
fn read_kilobytes(file: &str, name: &str) -> Option<u64> {
    let text = std::fs::read_to_string(file).ok()?;
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Records the lines of the senders' logs that show a defect.
fn record_logged_defects(world: &World, logs: &[String]) {
    const DEFECT_MARKERS: [&str; 2] = ["safety rule violated", "panicked at"];
    for (sender, text) in logs.iter().enumerate() {
        let defects = text
            .lines()
            .filter(|line| DEFECT_MARKERS.iter().any(|marker| line.contains(marker)));
        for line in defects {
            let event = Event::LoggedDefect(line.to_string());
            world.history.record(sender, "", event);
        }
    }
}

/// The lines of a sender's log about a message. Each process of the sender numbers messages anew.
fn log_lines_of_message(log: &str, message: &str) -> Vec<String> {
    let id = format!(" id={message} ");
    let mut number = None;
    let mut lines = Vec::new();
    for line in log.lines() {
        if line.contains(" started name=") {
            number = None;
        }
        if line.contains(&id) {
            number = line
                .split(" number=")
                .nth(1)
                .and_then(|rest| rest.split(' ').next())
                .map(|number| format!(" number={number} "));
        }
        let is_about = |number: &String| format!("{line} ").contains(number.as_str());
        if line.contains(&id) || number.as_ref().is_some_and(is_about) {
            lines.push(line.to_string());
        }
    }
    lines
}

fn judge(world: &World, logs: Vec<String>, lateness: Millis, slack: Millis) -> SoakReport {
    let records = world.history.sorted();
    let calls_failed = |sender: usize, at: Millis| {
        world.schedule.fault_windows.iter().any(|window| {
            window.fault == FaultKind::CallsFail
                && window.target == sender
                && (window.from - FAILING_CALLS_MARGIN..window.until + FAILING_CALLS_MARGIN)
                    .contains(&at)
        })
    };
    let unconfirmed_until = |sender: usize, at: Millis| {
        world
            .schedule
            .fault_windows
            .iter()
            .filter(|window| {
                window.fault == FaultKind::ReportsUnconfirmed
                    && window.target == sender
                    && (window.from..window.until + UNCONFIRMED_REPORTS_MARGIN).contains(&at)
            })
            .map(|window| window.until)
            .next_back()
    };
    let conditions = Conditions {
        lateness: lateness + slack,
        idempotency_window: IDEMPOTENCY_WINDOW,
        calls_failed: &calls_failed,
        unconfirmed_until: &unconfirmed_until,
    };
    let (mut violations, figures) = Oracle::new(conditions).judge(&records);
    violations.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut faults = BTreeMap::new();
    for window in &world.schedule.fault_windows {
        *faults.entry(format!("{:?}", window.fault)).or_insert(0) += 1;
    }
    for record in &records {
        if let Event::Process(event) = record.event {
            *faults.entry(format!("{event:?}")).or_insert(0) += 1;
        }
    }
    SoakReport {
        violations,
        figures,
        faults,
        lateness,
        answer_coverage: AnswerCoverage::of(&records),
        records,
        logs,
    }
}
