//! The senders of a soak as processes: signals, restarts, wall clocks, folders and calls, by the schedule.

mod told_changes;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use martenlatch_clock::Millis;
use nix::sys::signal::Signal;

use super::history::{Event, ProcessEvent};
use super::oracle::KILL_AFTER_TERMINATE;
use super::pids::Pids;
use super::schedule::{Action, Fault, Step};
use super::shim::{Control, DiskFault};
use super::world::{World, platform_settings};
use super::{agent, endpoint};
use crate::error::{LabError, ProcessEnd};
use crate::sockets::sender_process::{SenderOptions, SenderProcess};

/// A process starts again so long after its end.
const RESTART_DELAY: Millis = 600.0;
/// Of ten thousand socket calls, so many fail while calls fail.
const CALLS_FAILING_PER_MYRIAD: u32 = 250;
/// Between the signals of a series.
const SERIES_GAP: Millis = 40.0;
const SERIES: [Signal; 4] = [
    Signal::SIGHUP,
    Signal::SIGTERM,
    Signal::SIGHUP,
    Signal::SIGTERM,
];
const NANOS_PER_MILLI: f64 = 1e6;
/// The course of each message goes to the log, for the timelines of violations.
const LOG_SETTINGS: &str = "log { level: DEBUG lines_per_second: 10000 }\n";

/// What a process is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Down { start_at: Millis },
    Starting,
    Running,
    Terminating { since: Millis },
}

/// One sender.
struct Slot {
    process: SenderProcess,
    /// The addresses of its agents.
    agents: Vec<SocketAddr>,
    control: Control,
    state: State,
    /// When it is continued after a pause.
    continue_at: Option<Millis>,
    /// Signals still to be sent, with their instants.
    series: Vec<(Millis, Signal)>,
    disk: DiskFault,
    calls_fail: bool,
}

/// All senders.
pub struct Processes {
    world: Arc<World>,
    pids: Arc<Pids>,
    slots: Vec<Slot>,
    steps: std::vec::IntoIter<Step>,
    next_step: Option<Step>,
    drains: Vec<(Millis, usize, bool)>,
    /// SIGKILL follows SIGTERM so long after.
    kill_after: Millis,
}

impl Processes {
    /// Prepares the senders, their endpoints and agents; no process runs yet.
    ///
    /// # Errors
    /// Where a port, a folder or a control block cannot be had.
    pub fn prepare(
        world: &Arc<World>,
        pids: &Arc<Pids>,
        program: &Path,
        folder: &Path,
        library: &Path,
    ) -> Result<Processes, LabError> {
        let settings = platform_settings(world.size.senders);
        let log_settings = folder.join("settings.textproto");
        std::fs::write(&log_settings, LOG_SETTINGS).map_err(LabError::file(&log_settings))?;
        let mut slots = Vec::new();
        for sender in 0..world.size.senders {
            let addresses = endpoint::open(world, sender)?;
            if let Ok(mut all) = world.endpoint_addresses.lock() {
                all.push(addresses);
            }
            let agents = agent::open(world, sender)?;
            let mut process = SenderProcess::prepare(&SenderOptions {
                number: sender as u32,
                program,
                settings_file: Some(&log_settings),
                discovery: agents[0],
                platform_settings: &settings,
                seed: world.seed,
            })?;
            let control = Control::create(folder, sender, world.seed ^ sender as u64)?;
            process.set_environment(control.environment(library));
            slots.push(Slot {
                process,
                agents,
                control,
                state: State::Down { start_at: 0.0 },
                continue_at: None,
                series: Vec::new(),
                disk: DiskFault::Well,
                calls_fail: false,
            });
        }
        let mut steps = world.schedule.steps.clone().into_iter();
        Ok(Processes {
            world: world.clone(),
            pids: pids.clone(),
            slots,
            next_step: steps.next(),
            steps,
            drains: world.schedule.drains(),
            kill_after: KILL_AFTER_TERMINATE,
        })
    }

    /// Gives processes so much longer to end.
    pub fn set_slack(&mut self, slack: Millis) {
        self.kill_after = KILL_AFTER_TERMINATE + slack;
    }

    /// Where clients reach a sender.
    pub fn address(&self, sender: usize) -> SocketAddr {
        self.slots[sender].process.address
    }

    /// The ids of the processes that run.
    pub fn pids(&self) -> Vec<u32> {
        self.slots
            .iter()
            .filter_map(|slot| slot.process.pid())
            .collect()
    }

    /// Whether every sender serves.
    pub fn all_running(&self) -> bool {
        self.slots.iter().all(|slot| slot.state == State::Running)
    }

    /// Does what is due.
    ///
    /// # Errors
    /// Where a process cannot be started, or its control block cannot be written.
    pub fn run_due(&mut self) -> Result<(), LabError> {
        let now = self.world.now();
        self.apply_drains(now);
        while let Some(step) = self.next_step.take_if(|step| step.at <= now) {
            self.next_step = self.steps.next();
            self.take_step(step, now)?;
        }
        for sender in 0..self.slots.len() {
            self.apply_faults(sender, now)?;
            self.run_process(sender, now)?;
        }
        Ok(())
    }

    /// Tells every process to end.
    pub fn terminate_all(&mut self) {
        let now = self.world.now();
        for sender in 0..self.slots.len() {
            self.terminate(sender, now);
        }
    }

    /// Whether no process is left; those that end are recorded.
    pub fn all_ended(&mut self) -> bool {
        let now = self.world.now();
        for sender in 0..self.slots.len() {
            self.poll_end(sender, now);
            if let State::Terminating { since } = self.slots[sender].state
                && now >= since + self.kill_after
            {
                self.kill(sender);
            }
        }
        self.slots
            .iter()
            .all(|slot| matches!(slot.state, State::Down { .. }))
    }

    /// What each sender has written, to its log and to its errors.
    ///
    /// # Errors
    /// Where a file cannot be read.
    pub fn logs(&self) -> Result<Vec<String>, LabError> {
        self.slots
            .iter()
            .map(|slot| {
                let mut text = String::new();
                for file in slot.process.log_files() {
                    text += &std::fs::read_to_string(&file).map_err(LabError::file(&file))?;
                }
                Ok(text)
            })
            .collect()
    }

    fn record(&self, sender: usize, event: ProcessEvent) {
        self.world.history.record(sender, "", Event::Process(event));
    }

    fn take_step(&mut self, step: Step, now: Millis) -> Result<(), LabError> {
        let sender = step.sender;
        if let Action::StepWall(span) = step.action {
            self.record(sender, ProcessEvent::WallStep);
            return self.slots[sender].control.change(|state| {
                state.wall_offset_ns += (span * NANOS_PER_MILLI) as i64;
            });
        }
        if self.slots[sender].state != State::Running {
            return Ok(());
        }
        match step.action {
            Action::Terminate => self.terminate(sender, now),
            Action::TerminateInSeries => {
                self.terminate(sender, now);
                self.slots[sender].series = SERIES
                    .iter()
                    .enumerate()
                    .map(|(place, signal)| (now + SERIES_GAP * (place + 1) as f64, *signal))
                    .collect();
            }
            Action::Kill => self.kill(sender),
            Action::KillBehindAccept => self.pids.arm(sender),
            Action::Reload => {
                self.slots[sender].process.signal(Signal::SIGHUP);
                self.record(sender, ProcessEvent::Reload);
            }
            Action::MoveDiscovery => self.move_discovery(sender)?,
            Action::Pause(span) => {
                self.slots[sender].process.signal(Signal::SIGSTOP);
                self.slots[sender].continue_at = Some(now + span);
                self.record(sender, ProcessEvent::Pause);
            }
            Action::StepWall(_) => {}
        }
        Ok(())
    }

    fn move_discovery(&mut self, sender: usize) -> Result<(), LabError> {
        let known = self.known_list(sender);
        let agent = self.world.move_discovery(sender);
        let slot = &mut self.slots[sender];
        let address = slot.agents[agent];
        slot.process.set_discovery(address);
        slot.process.configure(known)?;
        slot.process.signal(Signal::SIGHUP);
        self.record(sender, ProcessEvent::Reload);
        Ok(())
    }

    fn terminate(&mut self, sender: usize, now: Millis) {
        self.record(sender, ProcessEvent::Terminate);
        self.slots[sender].process.signal(Signal::SIGTERM);
        self.slots[sender].state = State::Terminating { since: now };
    }

    fn kill(&mut self, sender: usize) {
        self.record(sender, ProcessEvent::Kill);
        self.slots[sender].process.signal(Signal::SIGKILL);
    }

    /// Has the sender's folder and calls fail as the schedule says.
    fn apply_faults(&mut self, sender: usize, now: Millis) -> Result<(), LabError> {
        let schedule = &self.world.schedule;
        let disk = [
            (Fault::DiskFull, DiskFault::Full),
            (Fault::DiskBroken, DiskFault::Broken),
            (Fault::DiskStopsHalfway, DiskFault::StopsHalfway),
            (Fault::LogUnreadable, DiskFault::Unreadable),
        ]
        .into_iter()
        .find(|(fault, _)| schedule.is_on(*fault, sender, now))
        .map_or(DiskFault::Well, |(_, disk)| disk);
        let calls_fail = schedule.is_on(Fault::CallsFail, sender, now);
        let slot = &mut self.slots[sender];
        if (disk, calls_fail) == (slot.disk, slot.calls_fail) {
            return Ok(());
        }
        (slot.disk, slot.calls_fail) = (disk, calls_fail);
        slot.control.change(|state| {
            state.disk = disk;
            state.calls_failing_per_myriad = if calls_fail {
                CALLS_FAILING_PER_MYRIAD
            } else {
                0
            };
        })
    }

    fn run_process(&mut self, sender: usize, now: Millis) -> Result<(), LabError> {
        self.send_series(sender, now);
        self.continue_paused(sender, now);
        self.poll_end(sender, now);
        match self.slots[sender].state {
            State::Down { start_at } if now >= start_at => self.start(sender),
            State::Starting => {
                self.poll_start(sender);
                Ok(())
            }
            State::Terminating { since } if now >= since + self.kill_after => {
                self.kill(sender);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn send_series(&mut self, sender: usize, now: Millis) {
        let slot = &mut self.slots[sender];
        while let Some((at, signal)) = slot.series.first().copied()
            && at <= now
        {
            slot.series.remove(0);
            slot.process.signal(signal);
        }
    }

    fn continue_paused(&mut self, sender: usize, now: Millis) {
        let slot = &mut self.slots[sender];
        if slot.continue_at.take_if(|at| *at <= now).is_some() {
            slot.process.signal(Signal::SIGCONT);
            self.record(sender, ProcessEvent::Continue);
        }
    }

    fn poll_end(&mut self, sender: usize, now: Millis) {
        let Some(end) = self.slots[sender].process.poll_end() else {
            return;
        };
        let code = match end {
            ProcessEnd::Exited(code) => Some(code),
            ProcessEnd::Signalled => None,
        };
        self.pids.set(sender, 0);
        self.record(sender, ProcessEvent::Exited(code));
        let slot = &mut self.slots[sender];
        slot.series.clear();
        slot.continue_at = None;
        slot.state = State::Down {
            start_at: now + RESTART_DELAY,
        };
    }

    fn start(&mut self, sender: usize) -> Result<(), LabError> {
        let known = self.known_list(sender);
        let slot = &mut self.slots[sender];
        slot.process.configure(known)?;
        slot.process.start()?;
        slot.state = State::Starting;
        let pid = slot.process.pid().unwrap_or_default();
        self.pids.set(sender, pid as i32);
        self.record(sender, ProcessEvent::Started);
        self.record_known_list(sender);
        Ok(())
    }

    fn poll_start(&mut self, sender: usize) {
        let event = match self.slots[sender].process.poll_ready() {
            Ok(false) => return,
            Ok(true) => ProcessEvent::Ready,
            Err(_) => ProcessEvent::NotReady,
        };
        self.slots[sender].state = State::Running;
        self.record(sender, event);
    }
}
