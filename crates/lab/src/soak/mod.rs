//! The soak: many senders as real processes on loopback, under faults that overlap in time, judged by what crossed the
//! sockets.
//!
//! - `schedule`: the faults of a seed
//! - `world`: what all threads share; the messages and the endpoint list
//! - `endpoint`, `agent`, `client`: the peers of the senders, with the network's faults
//! - `processes`: the senders themselves; signals, restarts, clocks, folders and failing calls (`shim`)
//! - `history`, `oracle`: what happened, and the invariants asked of it

mod agent;
mod client;
mod endpoint;
pub mod history;
mod http;
pub mod oracle;
mod pids;
mod processes;
pub mod schedule;
mod shim;
mod world;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use martenlatch_clock::Millis;

use crate::error::LabError;
use client::{BUSY_CLIENTS, Client};
use history::{Event, Record};
use oracle::{Conditions, Figures, Oracle, Violation};
use pids::Pids;
use processes::Processes;
use schedule::{Fault, Size};
use world::{IDEMPOTENCY_WINDOW, World};

/// Endpoints, two for each destination.
const ENDPOINTS: usize = 6;
/// How often the schedule is looked at.
const TICK: Duration = Duration::from_millis(4);
/// After the last submission, messages get so long for their ends.
const LONGEST_END: Millis = 9_000.0;
/// All processes have ended so long after they were told to.
const LONGEST_EXIT: Millis = 8_000.0;
/// A sender's own calls failed around an instant if they did so within this time of it.
const CALLS_MARGIN: Millis = 600.0;
/// Reports that were not confirmed are repeated within this time.
const REPORTS_MARGIN: Millis = 1_500.0;
/// Senders and laboratory together may take this part of the machine's memory, as a divisor.
const MEMORY_DIVISOR: u64 = 2;
/// Between two looks at the memory.
const MEMORY_CHECK: Duration = Duration::from_secs(1);

/// What to soak.
pub struct Options {
    /// The seed of the schedule.
    pub seed: u64,
    /// How long faults are made, in seconds.
    pub seconds: f64,
    /// Senders.
    pub processes: usize,
    /// The sender's program.
    pub program: PathBuf,
    /// By how much every limit on time is longer, in milliseconds, for a machine that does other work too. The
    /// lateness of the laboratory itself is added in any case.
    pub slack: Millis,
    /// The wall clocks of the senders are left alone; all other faults are those of the seed.
    pub keep_wall_clock: bool,
}

/// What a soak found.
pub struct Report {
    /// Broken rules, in the order of time.
    pub violations: Vec<Violation>,
    /// Figures of the messages.
    pub figures: Figures,
    /// How many faults of each kind there were.
    pub faults: BTreeMap<String, usize>,
    /// By how much the laboratory itself was late at most, in milliseconds.
    pub lateness: Millis,
    /// Everything that happened, in the order of time.
    pub records: Vec<Record>,
    logs: Vec<String>,
}

impl Report {
    /// What a sender logged about the message of a violation, with the times of its own wall clock; without a message,
    /// why its processes ended.
    pub fn sender_log(&self, violation: &Violation) -> Vec<String> {
        let log = &self.logs[violation.sender];
        if violation.message.is_empty() {
            let last_words = log.lines().filter(|line| line.starts_with("martenlatch:"));
            return last_words.map(str::to_string).collect();
        }
        lines_about(log, &violation.message)
    }

    /// The records that concern a violation, in the order of time: those of its message, and what happened to its
    /// sender meanwhile.
    pub fn timeline(&self, violation: &Violation) -> Vec<&Record> {
        let own =
            |record: &&Record| !violation.message.is_empty() && record.message == violation.message;
        let first = self.records.iter().find(own).map_or(violation.at, |r| r.at);
        let last = self
            .records
            .iter()
            .rfind(own)
            .map_or(violation.at, |r| r.at);
        let (from, until) = (first - 1_000.0, last.max(violation.at) + 1_000.0);
        self.records
            .iter()
            .filter(|record| {
                let wait = matches!(
                    record.event,
                    Event::Responded {
                        retry_after: Some(_),
                        ..
                    }
                );
                let of_sender = record.sender == violation.sender
                    && (record.message.is_empty() || wait)
                    && (from..until).contains(&record.at);
                own(record) || of_sender
            })
            .collect()
    }
}

/// Plays one soak. Once `stop` is set, it ends at once with an error; all processes are ended in any case.
///
/// # Errors
/// Where it cannot be played.
pub fn soak(options: &Options, stop: &AtomicBool) -> Result<Report, LabError> {
    let size = Size {
        senders: options.processes,
        endpoints: ENDPOINTS,
        length: options.seconds * 1e3,
    };
    let folder = tempfile::Builder::new()
        .prefix("martenlatch-soak-")
        .tempdir()
        .map_err(LabError::TemporaryFolder)?;
    let library = shim::build(folder.path())?;
    let mut world = World::new(options.seed, size);
    if options.keep_wall_clock {
        world.schedule.leave_wall_clocks_alone();
    }
    let world = Arc::new(world);
    let pids = Arc::new(Pids::new(size.senders));
    let mut processes =
        Processes::prepare(&world, &pids, &options.program, folder.path(), &library)?;
    processes.set_slack(options.slack);
    let played = play(&world, &pids, &mut processes, stop);
    world.clients_stopped.store(true, Ordering::Relaxed);
    world.stopped.store(true, Ordering::Relaxed);
    let lateness = played?;
    let logs = processes.logs()?;
    record_logged_defects(&world, &logs);
    Ok(judge(&world, logs, lateness, options.slack))
}

/// Runs the schedule, lets all messages end, and ends the processes. Returns by how much the laboratory was late.
fn play(
    world: &Arc<World>,
    pids: &Arc<Pids>,
    processes: &mut Processes,
    stop: &AtomicBool,
) -> Result<Millis, LabError> {
    let mut watch = Watch::new();
    start_clients(world, pids, processes);
    while world.now() < world.size.length {
        watch.tick(processes, stop)?;
        processes.run_due()?;
    }
    world.clients_stopped.store(true, Ordering::Relaxed);
    let until = world.now() + LONGEST_END;
    while world.now() < until {
        watch.tick(processes, stop)?;
        processes.run_due()?;
        if processes.all_running() && history::unfinished_messages(&world.history.sorted()) == 0 {
            break;
        }
    }
    processes.terminate_all();
    let until = world.now() + LONGEST_EXIT;
    while !processes.all_ended() && world.now() < until {
        watch.tick(processes, stop)?;
    }
    Ok(watch.lateness)
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

/// Watches the laboratory itself: whether it is stopped, late, or takes too much memory.
struct Watch {
    lateness: Millis,
    memory_checked: Instant,
}

impl Watch {
    fn new() -> Watch {
        Watch {
            lateness: 0.0,
            memory_checked: Instant::now(),
        }
    }

    /// Waits for a tick.
    fn tick(&mut self, processes: &Processes, stop: &AtomicBool) -> Result<(), LabError> {
        if stop.load(Ordering::Relaxed) {
            return Err(LabError::Stopped);
        }
        let before = Instant::now();
        thread::sleep(TICK);
        let late = before.elapsed().saturating_sub(TICK);
        self.lateness = self.lateness.max(late.as_secs_f64() * 1e3);
        if self.memory_checked.elapsed() >= MEMORY_CHECK {
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
        .filter_map(|pid| kilobytes(&format!("/proc/{pid}/status"), "VmRSS:"))
        .sum();
    let total = kilobytes("/proc/meminfo", "MemTotal:").unwrap_or(u64::MAX);
    if used > total / MEMORY_DIVISOR {
        return Err(LabError::TooMuchMemory { used_kb: used });
    }
    Ok(())
}

/// The number behind a name in a file of the system.
fn kilobytes(file: &str, name: &str) -> Option<u64> {
    let text = std::fs::read_to_string(file).ok()?;
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Records the lines of the senders' logs that tell of a defect.
fn record_logged_defects(world: &World, logs: &[String]) {
    const DEFECTS: [&str; 2] = ["safety rule violated", "panicked at"];
    for (sender, text) in logs.iter().enumerate() {
        let defects = text
            .lines()
            .filter(|line| DEFECTS.iter().any(|defect| line.contains(defect)));
        for line in defects {
            let event = Event::LoggedDefect(line.to_string());
            world.history.record(sender, "", event);
        }
    }
}

/// The lines of a sender's log about a message. The log numbers messages anew in each process.
fn lines_about(log: &str, message: &str) -> Vec<String> {
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

fn judge(world: &World, logs: Vec<String>, lateness: Millis, slack: Millis) -> Report {
    let records = world.history.sorted();
    let calls_failed = |sender: usize, at: Millis| {
        world.schedule.windows.iter().any(|window| {
            window.fault == Fault::CallsFail
                && window.target == sender
                && (window.from - CALLS_MARGIN..window.until + CALLS_MARGIN).contains(&at)
        })
    };
    let unconfirmed_until = |sender: usize, at: Millis| {
        world
            .schedule
            .windows
            .iter()
            .filter(|window| {
                window.fault == Fault::ReportsUnconfirmed
                    && window.target == sender
                    && (window.from..window.until + REPORTS_MARGIN).contains(&at)
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
    for window in &world.schedule.windows {
        *faults.entry(format!("{:?}", window.fault)).or_insert(0) += 1;
    }
    for record in &records {
        if let Event::Process(event) = record.event {
            *faults.entry(format!("{event:?}")).or_insert(0) += 1;
        }
    }
    Report {
        violations,
        figures,
        faults,
        lateness,
        records,
        logs,
    }
}
