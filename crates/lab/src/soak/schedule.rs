//! The faults of a soak: a pure function of its seed.

use martenlatch_clock::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// A fault that lasts for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// An endpoint reads requests and answers none.
    EndpointHangs,
    /// An endpoint resets its connections, and refuses new ones.
    EndpointDown,
    /// An endpoint writes half an answer and ends the connection.
    HalfAnswer,
    /// An endpoint announces a longer body than it sends.
    WrongLength,
    /// An endpoint's answer has a head that never ends.
    EndlessAnswer,
    /// An endpoint takes long.
    EndpointSlow,
    /// An endpoint rejects requests and says how long to wait.
    EndpointBusy,
    /// An endpoint answers 500.
    EndpointFails,
    /// Connections to an endpoint are reset in the middle of a request.
    ResetInRequest,
    /// Connections to an endpoint are reset behind a whole request.
    ResetBehindRequest,
    /// Answers of an endpoint come in two parts, the last byte late.
    LastByteLate,
    /// An endpoint ends its sending side behind each answer.
    HalfClose,
    /// New connections to an endpoint come up late.
    LateConnections,
    /// An endpoint drains; afterwards it is replaced by another one at the same address.
    Drain,
    /// A sender's watch is open and silent.
    WatchSilent,
    /// A sender's agent closes every connection.
    DiscoveryDown,
    /// A sender's agent answers late.
    DiscoverySlow,
    /// Status reports of a sender are read and not confirmed.
    ReportsUnconfirmed,
    /// A sender's folder takes no more bytes.
    DiskFull,
    /// Every write to a sender's folder fails.
    DiskBroken,
    /// Writes to a sender's folder stop half-way.
    DiskStopsHalfway,
    /// Some of a sender's socket calls fail.
    CallsFail,
    /// Many clients connect to a sender and say nothing.
    Crowd,
    /// An endpoint answers as the time of each message runs out, a little before or behind it.
    AnswersAsTimeRunsOut,
    /// Status reports of a sender fail for a moment again and again.
    ReportsStutter,
    /// A sender's log cannot be read.
    LogUnreadable,
}

/// The faults of endpoints.
const ENDPOINT_FAULTS: [FaultKind; 14] = [
    FaultKind::EndpointHangs,
    FaultKind::EndpointDown,
    FaultKind::HalfAnswer,
    FaultKind::WrongLength,
    FaultKind::EndlessAnswer,
    FaultKind::EndpointSlow,
    FaultKind::EndpointBusy,
    FaultKind::EndpointBusy,
    FaultKind::EndpointFails,
    FaultKind::ResetInRequest,
    FaultKind::ResetBehindRequest,
    FaultKind::LastByteLate,
    FaultKind::HalfClose,
    FaultKind::LateConnections,
];

/// The faults of senders and their agents.
const SENDER_FAULTS: [FaultKind; 9] = [
    FaultKind::WatchSilent,
    FaultKind::DiscoveryDown,
    FaultKind::DiscoverySlow,
    FaultKind::ReportsUnconfirmed,
    FaultKind::DiskFull,
    FaultKind::DiskBroken,
    FaultKind::DiskStopsHalfway,
    FaultKind::CallsFail,
    FaultKind::Crowd,
];

/// The faults of endpoints that come beside the others.
const EXTRA_ENDPOINT_FAULTS: [FaultKind; 1] = [FaultKind::AnswersAsTimeRunsOut];

/// The faults of senders that come beside the others.
const EXTRA_SENDER_FAULTS: [FaultKind; 2] = [FaultKind::ReportsStutter, FaultKind::LogUnreadable];

/// A fault of one endpoint or sender, from an instant to another.
#[derive(Clone, Copy, Debug)]
pub struct FaultWindow {
    /// What happens.
    pub fault: FaultKind,
    /// The endpoint or sender.
    pub target: usize,
    /// When it begins.
    pub from: Millis,
    /// When it ends.
    pub until: Millis,
}

/// What is done to a sender's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessAction {
    /// SIGTERM; SIGKILL comes as early as the platform allows.
    Terminate,
    /// SIGTERM several times, with SIGHUPs between.
    TerminateRepeatedly,
    /// SIGKILL.
    Kill,
    /// SIGKILL right behind the next 202.
    KillAfterAccept,
    /// SIGHUP.
    Reload,
    /// Discovery moves to another address, and SIGHUP tells the sender.
    MoveDiscovery,
    /// SIGSTOP, and SIGCONT so much later.
    Pause(Millis),
    /// The wall clock is stepped by so much.
    StepWallClock(Millis),
}

/// An action on a sender's process.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledAction {
    /// When.
    pub at: Millis,
    /// The sender.
    pub sender: usize,
    /// What is done.
    pub action: ProcessAction,
}

/// The whole schedule.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    /// Faults that last.
    pub fault_windows: Vec<FaultWindow>,
    /// Actions, in the order of time.
    pub actions: Vec<ScheduledAction>,
}

/// The size of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakSize {
    /// Senders.
    pub senders: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// How long faults are made.
    pub duration: Millis,
}

/// No process is ended for so long before the end, so that all messages can have theirs.
const QUIET_END: Millis = 1_500.0;
/// Faults that last do so for a span of this range.
const FAULT_DURATION: std::ops::Range<Millis> = 400.0..2_500.0;
/// Between two actions on the same sender.
const ACTION_GAP: std::ops::Range<Millis> = 600.0..2_800.0;
/// Between two faults of the same endpoint or sender.
const FAULT_GAP: std::ops::Range<Millis> = 300.0..5_000.0;
/// The longest stop of a process.
const MAX_PAUSE: Millis = 150.0;
/// A process that is held up for longer than the platform's figure may miss what falls into that time, and nothing else.
const LONG_PAUSE: std::ops::Range<Millis> = 250.0..390.0;
/// Between two further actions on the same sender.
const EXTRA_ACTION_GAP: std::ops::Range<Millis> = 1_500.0..4_500.0;
/// Sets the random numbers of the further faults apart: those of the others stay as they are for each seed.
const EXTRA_FAULT_STREAM: u64 = 0x5851_F42D_4C95_7F2D;
/// Steps of the wall clock, in milliseconds.
const WALL_CLOCK_STEPS: [Millis; 8] = [3_600e3, -3_600e3, 5e3, -5e3, 900e3, -900e3, 2e3, -3e3];

impl Schedule {
    /// The schedule of a seed.
    pub fn new(seed: u64, size: SoakSize) -> Schedule {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut schedule = Schedule::default();
        for endpoint in 0..size.endpoints {
            schedule.add_windows(&mut random, &ENDPOINT_FAULTS, endpoint, size.duration);
            // The first endpoint of each destination stays listed.
            if endpoint % 2 == 1 {
                schedule.add_windows(&mut random, &[FaultKind::Drain], endpoint, size.duration);
            }
        }
        for sender in 0..size.senders {
            schedule.add_windows(&mut random, &SENDER_FAULTS, sender, size.duration);
            schedule.add_actions(&mut random, sender, size.duration - QUIET_END);
        }
        schedule.add_extra_faults(seed, size);
        schedule.actions.sort_by(|a, b| a.at.total_cmp(&b.at));
        schedule
    }

    fn add_extra_faults(&mut self, seed: u64, size: SoakSize) {
        let mut random = Pcg64::seed_from_u64(seed ^ EXTRA_FAULT_STREAM);
        for endpoint in 0..size.endpoints {
            let faults = &EXTRA_ENDPOINT_FAULTS;
            self.add_windows(&mut random, faults, endpoint, size.duration);
        }
        for sender in 0..size.senders {
            let faults = &EXTRA_SENDER_FAULTS;
            self.add_windows(&mut random, faults, sender, size.duration);
            let mut at = random.random_range(EXTRA_ACTION_GAP);
            while at < size.duration - QUIET_END {
                let action = if random.random_bool(0.5) {
                    ProcessAction::Pause(random.random_range(LONG_PAUSE))
                } else {
                    ProcessAction::MoveDiscovery
                };
                self.actions.push(ScheduledAction { at, sender, action });
                at += random.random_range(EXTRA_ACTION_GAP);
            }
        }
    }

    fn add_windows(
        &mut self,
        random: &mut Pcg64,
        faults: &[FaultKind],
        target: usize,
        end: Millis,
    ) {
        let mut at = random.random_range(FAULT_GAP);
        while at < end {
            let from = at;
            let until = from + random.random_range(FAULT_DURATION);
            self.fault_windows.push(FaultWindow {
                fault: faults[random.random_range(0..faults.len())],
                target,
                from,
                until,
            });
            at = until + random.random_range(FAULT_GAP);
        }
    }

    fn add_actions(&mut self, random: &mut Pcg64, sender: usize, end: Millis) {
        let mut at = random.random_range(ACTION_GAP);
        while at < end {
            let action = draw_action(random);
            self.actions.push(ScheduledAction { at, sender, action });
            at += random.random_range(ACTION_GAP);
        }
    }

    /// When which endpoint drains (true) or is replaced.
    pub fn drains(&self) -> Vec<(Millis, usize, bool)> {
        self.fault_windows
            .iter()
            .filter(|window| window.fault == FaultKind::Drain)
            .flat_map(|window| {
                [
                    (window.from, window.target, true),
                    (window.until, window.target, false),
                ]
            })
            .collect()
    }

    /// Takes the steps of wall clocks out.
    pub fn remove_wall_clock_steps(&mut self) {
        self.actions
            .retain(|scheduled| !matches!(scheduled.action, ProcessAction::StepWallClock(_)));
    }

    /// Whether a fault of a target is on.
    pub fn is_active(&self, fault: FaultKind, target: usize, now: Millis) -> bool {
        self.fault_windows.iter().any(|window| {
            window.fault == fault
                && window.target == target
                && (window.from..window.until).contains(&now)
        })
    }

    /// The fault of an endpoint that is on.
    pub fn endpoint_fault(&self, endpoint: usize, now: Millis) -> Option<FaultKind> {
        self.fault_windows
            .iter()
            .find(|window| {
                let is_endpoint_fault = ENDPOINT_FAULTS.contains(&window.fault)
                    || EXTRA_ENDPOINT_FAULTS.contains(&window.fault);
                window.target == endpoint
                    && is_endpoint_fault
                    && (window.from..window.until).contains(&now)
            })
            .map(|window| window.fault)
    }
}

fn draw_action(random: &mut Pcg64) -> ProcessAction {
    match random.random_range(0..12) {
        0 | 1 => ProcessAction::Terminate,
        2 => ProcessAction::TerminateRepeatedly,
        3 | 4 => ProcessAction::Kill,
        5 | 6 => ProcessAction::KillAfterAccept,
        7 => ProcessAction::Reload,
        8 | 9 => ProcessAction::Pause(random.random_range(20.0..MAX_PAUSE)),
        _ => ProcessAction::StepWallClock(
            WALL_CLOCK_STEPS[random.random_range(0..WALL_CLOCK_STEPS.len())],
        ),
    }
}
