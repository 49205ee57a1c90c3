//! The senders of a soak as processes: signals, restarts, wall clocks, folders and system calls, as scheduled.

mod list_changes;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use martenlatch_clock::Millis;
use nix::sys::signal::Signal;

use super::history::{Event, ProcessEvent};
use super::oracle::KILL_AFTER_TERMINATE;
use super::pids::Pids;
use super::schedule::{FaultKind, ProcessAction, ScheduledAction};
use super::shim::{ControlBlock, DiskFault};
use super::world::{World, platform_settings};
use super::{agent, endpoint};
use crate::error::{LabError, ProcessEnd};
use crate::sockets::sender_process::{SenderOptions, SenderProcess};

/// Time from the exit of a process to its restart.
const RESTART_DELAY: Millis = 600.0;
/// How many of ten thousand socket system calls fail during [`FaultKind::CallsFail`].
const CALLS_FAILING_PER_MYRIAD: u32 = 250;
/// Time between two signals of [`SIGNAL_SERIES`].
const SIGNAL_GAP: Millis = 40.0;
/// Signals that follow the first SIGTERM of [`ProcessAction::TerminateRepeatedly`].
const SIGNAL_SERIES: [Signal; 4] = [
    Signal::SIGHUP,
    Signal::SIGTERM,
    Signal::SIGHUP,
    Signal::SIGTERM,
];
const NANOS_PER_MILLI: f64 = 1e6;
/// Logs the steps of each message, for the timelines of violations.
const LOG_SETTINGS: &str = "log { level: DEBUG lines_per_second: 10000 }\n";

/// The state of a sender's process.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ProcessState {
    Down { start_at: Millis },
    Starting,
    Running,
    Terminating { since: Millis },
}

/// One sender: its process, agents and active faults.
struct SenderSlot {
    process: SenderProcess,
    /// The addresses of its agents.
    agents: Vec<SocketAddr>,
    control: ControlBlock,
    state: ProcessState,
    /// When the paused process must be continued.
    continue_at: Option<Millis>,
    /// Signals that are still to be sent, and when.
    pending_signals: Vec<(Millis, Signal)>,
    disk_fault: DiskFault,
    calls_fail: bool,
}

/// All senders.
pub struct Processes {
    world: Arc<World>,
    pids: Arc<Pids>,
    slots: Vec<SenderSlot>,
    actions: std::vec::IntoIter<ScheduledAction>,
    next_action: Option<ScheduledAction>,
    /// List changes that are still to be made, in the form of `Schedule::drains`.
    drains: Vec<(Millis, usize, bool)>,
    /// Time from SIGTERM to SIGKILL.
    kill_after: Millis,
}

impl Processes {
    /// Prepares the senders, their endpoints and agents; no process runs yet.
    ///
    /// # Errors
    /// If a port cannot be bound, or a folder or control block cannot be created.
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
            let control = ControlBlock::create(folder, sender, world.seed ^ sender as u64)?;
            process.set_environment(control.environment(library));
            slots.push(SenderSlot {
                process,
                agents,
                control,
                state: ProcessState::Down { start_at: 0.0 },
                continue_at: None,
                pending_signals: Vec::new(),
                disk_fault: DiskFault::None,
                calls_fail: false,
            });
        }
        let mut actions = world.schedule.actions.clone().into_iter();
        Ok(Processes {
            world: world.clone(),
            pids: pids.clone(),
            slots,
            next_action: actions.next(),
            actions,
            drains: world.schedule.drains(),
            kill_after: KILL_AFTER_TERMINATE,
        })
    }

    /// Gives processes this much more time to exit before SIGKILL.
    pub fn extend_kill_timeout(&mut self, slack: Millis) {
        self.kill_after = KILL_AFTER_TERMINATE + slack;
    }

    /// The address of a sender for clients.
    pub fn address(&self, sender: usize) -> SocketAddr {
        self.slots[sender].process.address
    }

    /// The ids of the running processes.
    pub fn pids(&self) -> Vec<u32> {
        self.slots
            .iter()
            .filter_map(|slot| slot.process.pid())
            .collect()
    }

    /// Whether every sender is running.
    pub fn all_running(&self) -> bool {
        self.slots
            .iter()
            .all(|slot| slot.state == ProcessState::Running)
    }

    /// Runs all list changes, actions, faults and process transitions that are due.
    ///
    /// # Errors
    /// If a process cannot be started, or its control block cannot be written.
    pub fn run_due(&mut self) -> Result<(), LabError> {
        let now = self.world.now();
        self.apply_list_changes(now);
        while let Some(scheduled) = self.next_action.take_if(|scheduled| scheduled.at <= now) {
            self.next_action = self.actions.next();
            self.run_action(scheduled, now)?;
        }
        for sender in 0..self.slots.len() {
            self.apply_faults(sender, now)?;
            self.update_process(sender, now)?;
        }
        Ok(())
    }

    /// Sends SIGTERM to every process.
    pub fn terminate_all(&mut self) {
        let now = self.world.now();
        for sender in 0..self.slots.len() {
            self.slots[sender].process.kill_successor();
            self.terminate(sender, now);
        }
    }

    /// Records the processes that have exited, kills those that are late, and returns whether none is left.
    pub fn all_ended(&mut self) -> bool {
        let now = self.world.now();
        for sender in 0..self.slots.len() {
            self.poll_exit(sender, now);
            if let ProcessState::Terminating { since } = self.slots[sender].state
                && now >= since + self.kill_after
            {
                self.kill(sender);
            }
        }
        self.slots
            .iter()
            .all(|slot| matches!(slot.state, ProcessState::Down { .. }))
    }

    /// The log and the error output of each sender.
    ///
    /// # Errors
    /// If a file cannot be read.
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

    fn run_action(&mut self, scheduled: ScheduledAction, now: Millis) -> Result<(), LabError> {
        let sender = scheduled.sender;
        if let ProcessAction::StepWallClock(span) = scheduled.action {
            self.record(sender, ProcessEvent::WallStep);
            return self.slots[sender].control.change(|state| {
                state.wall_offset_ns += (span * NANOS_PER_MILLI) as i64;
            });
        }
        if self.slots[sender].state != ProcessState::Running {
            return Ok(());
        }
        match scheduled.action {
            ProcessAction::Terminate => self.terminate(sender, now),
            ProcessAction::TerminateRepeatedly => {
                self.terminate(sender, now);
                self.slots[sender].pending_signals = SIGNAL_SERIES
                    .iter()
                    .enumerate()
                    .map(|(index, signal)| (now + SIGNAL_GAP * (index + 1) as f64, *signal))
                    .collect();
            }
            ProcessAction::Kill => self.kill(sender),
            ProcessAction::KillAfterAccept => self.pids.arm_kill(sender),
            ProcessAction::Reload => {
                self.slots[sender].process.signal(Signal::SIGHUP);
                self.record(sender, ProcessEvent::Reload);
            }
            ProcessAction::MoveDiscovery => self.move_discovery(sender)?,
            ProcessAction::Pause(span) => {
                self.slots[sender].process.signal(Signal::SIGSTOP);
                self.slots[sender].continue_at = Some(now + span);
                self.record(sender, ProcessEvent::Pause);
            }
            ProcessAction::Replace => {
                let list = self.endpoint_list(sender);
                self.world.successors[sender].fetch_add(1, Ordering::SeqCst);
                let process = &mut self.slots[sender].process;
                process.configure(list)?;
                process.start_successor()?;
                self.record(sender, ProcessEvent::SuccessorStarted);
            }
            ProcessAction::StepWallClock(_) => {}
        }
        Ok(())
    }

    fn move_discovery(&mut self, sender: usize) -> Result<(), LabError> {
        let list = self.endpoint_list(sender);
        let agent = self.world.move_discovery(sender);
        let slot = &mut self.slots[sender];
        let address = slot.agents[agent];
        slot.process.set_discovery(address);
        slot.process.configure(list)?;
        slot.process.signal(Signal::SIGHUP);
        self.record(sender, ProcessEvent::Reload);
        Ok(())
    }

    fn terminate(&mut self, sender: usize, now: Millis) {
        self.record(sender, ProcessEvent::Terminate);
        self.slots[sender].process.signal(Signal::SIGTERM);
        self.slots[sender].state = ProcessState::Terminating { since: now };
    }

    fn kill(&mut self, sender: usize) {
        self.record(sender, ProcessEvent::Kill);
        self.slots[sender].process.signal(Signal::SIGKILL);
    }

    /// Makes the sender's folder and system calls fail as scheduled.
    fn apply_faults(&mut self, sender: usize, now: Millis) -> Result<(), LabError> {
        let schedule = &self.world.schedule;
        let disk_fault = [
            (FaultKind::DiskFull, DiskFault::Full),
            (FaultKind::DiskBroken, DiskFault::Broken),
            (FaultKind::DiskStopsHalfway, DiskFault::StopsHalfway),
            (FaultKind::LogUnreadable, DiskFault::Unreadable),
        ]
        .into_iter()
        .find(|(fault, _)| schedule.is_active(*fault, sender, now))
        .map_or(DiskFault::None, |(_, disk_fault)| disk_fault);
        let calls_fail = schedule.is_active(FaultKind::CallsFail, sender, now);
        let slot = &mut self.slots[sender];
        if (disk_fault, calls_fail) == (slot.disk_fault, slot.calls_fail) {
            return Ok(());
        }
        (slot.disk_fault, slot.calls_fail) = (disk_fault, calls_fail);
        slot.control.change(|state| {
            state.disk_fault = disk_fault;
            state.calls_failing_per_myriad = if calls_fail {
                CALLS_FAILING_PER_MYRIAD
            } else {
                0
            };
        })
    }

    fn update_process(&mut self, sender: usize, now: Millis) -> Result<(), LabError> {
        self.send_pending_signals(sender, now);
        self.continue_paused(sender, now);
        self.poll_exit(sender, now);
        match self.slots[sender].state {
            ProcessState::Down { start_at } if now >= start_at => self.start(sender),
            ProcessState::Starting => {
                self.poll_start(sender);
                Ok(())
            }
            ProcessState::Terminating { since } if now >= since + self.kill_after => {
                self.kill(sender);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn send_pending_signals(&mut self, sender: usize, now: Millis) {
        let slot = &mut self.slots[sender];
        while let Some((at, signal)) = slot.pending_signals.first().copied()
            && at <= now
        {
            slot.pending_signals.remove(0);
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

    fn poll_exit(&mut self, sender: usize, now: Millis) {
        if let Some(end) = self.slots[sender].process.poll_successor_end() {
            self.record(sender, ProcessEvent::SuccessorExited(exit_code(end)));
        }
        let Some(end) = self.slots[sender].process.poll_end() else {
            return;
        };
        let slot = &mut self.slots[sender];
        let gave_way = slot.state == ProcessState::Running && exit_code(end) == Some(0);
        if gave_way && slot.process.continue_with_successor() {
            let pid = slot.process.pid().unwrap_or_default();
            self.pids.set(sender, pid as i32);
            self.record(sender, ProcessEvent::Replaced);
            return;
        }
        // A successor would start with the list of the time when it was started, and may have taken over already.
        if slot.process.kill_successor() {
            self.record(sender, ProcessEvent::Kill);
        }
        self.pids.set(sender, 0);
        self.record(sender, ProcessEvent::Exited(exit_code(end)));
        let slot = &mut self.slots[sender];
        slot.pending_signals.clear();
        slot.continue_at = None;
        slot.state = ProcessState::Down {
            start_at: now + RESTART_DELAY,
        };
    }

    fn start(&mut self, sender: usize) -> Result<(), LabError> {
        let list = self.endpoint_list(sender);
        let slot = &mut self.slots[sender];
        slot.process.configure(list)?;
        slot.process.start()?;
        slot.state = ProcessState::Starting;
        let pid = slot.process.pid().unwrap_or_default();
        self.pids.set(sender, pid as i32);
        self.record(sender, ProcessEvent::Started);
        self.record_initial_list(sender);
        Ok(())
    }

    fn poll_start(&mut self, sender: usize) {
        let event = match self.slots[sender].process.poll_ready() {
            Ok(false) => return,
            Ok(true) => ProcessEvent::Ready,
            Err(_) => ProcessEvent::NotReady,
        };
        self.slots[sender].state = ProcessState::Running;
        self.record(sender, event);
    }
}

fn exit_code(end: ProcessEnd) -> Option<i32> {
    match end {
        ProcessEnd::Exited(code) => Some(code),
        ProcessEnd::Signalled => None,
    }
}
