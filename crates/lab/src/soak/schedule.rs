//! The schedule of a soak's faults: a pure function of its seed and size.

use martenlatch_clock::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// A fault that lasts for some time. The soak prints the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// An endpoint reads requests and does not answer.
    EndpointHangs,
    /// An endpoint resets its connections, and refuses new ones.
    EndpointDown,
    /// An endpoint writes a part of an answer and closes the connection.
    HalfAnswer,
    /// An endpoint announces a longer body than it sends.
    WrongLength,
    /// An endpoint's answer has a head that never ends.
    EndlessAnswer,
    /// An endpoint takes long to answer.
    EndpointSlow,
    /// An endpoint rejects requests with 429 and a retry-after.
    EndpointBusy,
    /// An endpoint rejects requests with 503 and asks for no wait.
    EndpointRefuses,
    /// An endpoint answers 500.
    EndpointFails,
    /// Connections to an endpoint are reset in the middle of a request.
    ResetInRequest,
    /// Connections to an endpoint are reset after a complete request.
    ResetBehindRequest,
    /// The last byte of an endpoint's answers is late.
    LastByteLate,
    /// An endpoint shuts down its sending side after each answer.
    HalfClose,
    /// New connections to an endpoint are established late.
    LateConnections,
    /// An endpoint drains; at the end of the fault, another one replaces it at the same address.
    Drain,
    /// A sender's watch is open and receives nothing.
    WatchSilent,
    /// A sender's agent ends every watch.
    DiscoveryDown,
    /// A sender's agent answers late.
    DiscoverySlow,
    /// A sender's status reports are read and not confirmed.
    ReportsUnconfirmed,
    /// Writes to a sender's folder fail as on a full disk.
    DiskFull,
    /// Every write to a sender's folder fails with an I/O error.
    DiskBroken,
    /// Writes to a sender's folder stop halfway.
    DiskStopsHalfway,
    /// Some of a sender's socket system calls fail.
    CallsFail,
    /// Many clients connect to a sender and send nothing.
    Crowd,
    /// An endpoint answers shortly before or after the deadline of each message.
    AnswersAsTimeRunsOut,
    /// A sender's status reports fail for a short time again and again.
    ReportsStutter,
    /// A sender's write-ahead log cannot be read.
    LogUnreadable,
    /// An endpoint's answers are alike, and some are written again later, whole or in part. Adds to other faults.
    RepeatsAnswers,
    /// A sender's agent confirms some status reports twice and ends some connections in place of a confirmation.
    ReportsRepeated,
    /// A sender's agent sends its first list again and again.
    ListRepeated,
}

/// The faults of endpoints; one that is listed twice is drawn twice as often.
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

/// Extra faults of endpoints, drawn from the stream of [`EXTRA_FAULT_STREAM`].
const EXTRA_ENDPOINT_FAULTS: [FaultKind; 1] = [FaultKind::AnswersAsTimeRunsOut];

/// Extra faults of senders and their agents, drawn from the stream of [`EXTRA_FAULT_STREAM`].
const EXTRA_SENDER_FAULTS: [FaultKind; 2] = [FaultKind::ReportsStutter, FaultKind::LogUnreadable];

/// Faults of endpoints that repeat, drawn from the stream of [`REPETITION_STREAM`].
const REPEATING_ENDPOINT_FAULTS: [FaultKind; 1] = [FaultKind::RepeatsAnswers];

/// Faults of agents that repeat, drawn from the stream of [`REPETITION_STREAM`].
const REPEATING_SENDER_FAULTS: [FaultKind; 2] =
    [FaultKind::ReportsRepeated, FaultKind::ListRepeated];

/// Faults of the two endpoints of a destination, which are in different zones: one refuses while the other hangs, and
/// then the other one refuses.
const ZONE_FAULTS: [FaultKind; 2] = [FaultKind::EndpointRefuses, FaultKind::EndpointHangs];

/// A fault of one endpoint or sender and the time span in which it is active.
#[derive(Clone, Copy, Debug)]
pub struct FaultWindow {
    /// The fault.
    pub fault: FaultKind,
    /// The endpoint or sender.
    pub target: usize,
    /// When it begins.
    pub from: Millis,
    /// When it ends.
    pub until: Millis,
}

/// An action on a sender's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessAction {
    /// SIGTERM, with SIGKILL as early afterwards as the platform allows.
    Terminate,
    /// SIGTERM several times, with SIGHUPs between them.
    TerminateRepeatedly,
    /// SIGKILL.
    Kill,
    /// SIGKILL immediately after the next 202.
    KillAfterAccept,
    /// SIGHUP.
    Reload,
    /// Moves discovery to another address and notifies the sender with SIGHUP.
    MoveDiscovery,
    /// SIGSTOP, with SIGCONT this much later.
    Pause(Millis),
    /// Steps the wall clock by this much.
    StepWallClock(Millis),
    /// Starts another process that replaces the running one.
    Replace,
}

/// An action on a sender's process and its time.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledAction {
    /// When it is due.
    pub at: Millis,
    /// The sender.
    pub sender: usize,
    /// The action.
    pub action: ProcessAction,
}

/// The schedule of a soak.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    /// Faults that last for some time.
    pub fault_windows: Vec<FaultWindow>,
    /// Actions, in order of time.
    pub actions: Vec<ScheduledAction>,
}

/// The size of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakSize {
    /// Number of senders.
    pub senders: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// How long faults are injected.
    pub duration: Millis,
}

/// Time before the end of the soak in which no action is scheduled, so that all messages can end.
const QUIET_END: Millis = 1_500.0;
/// How long a fault lasts.
const FAULT_DURATION: std::ops::Range<Millis> = 400.0..2_500.0;
/// Time between two actions on the same sender.
const ACTION_GAP: std::ops::Range<Millis> = 600.0..2_800.0;
/// Time between two faults of the same endpoint or sender.
const FAULT_GAP: std::ops::Range<Millis> = 300.0..5_000.0;
/// Longest pause of a process that the platform itself may cause.
const MAX_PAUSE: Millis = 150.0;
/// Pauses longer than the platform itself may cause. A process may miss what falls due during such a pause, and nothing
/// else.
const LONG_PAUSE: std::ops::Range<Millis> = 250.0..390.0;
/// Time between two extra actions on the same sender.
const EXTRA_ACTION_GAP: std::ops::Range<Millis> = 1_500.0..4_500.0;
/// Gives the extra faults a random stream of their own, so that they do not change the other faults of a seed.
const EXTRA_FAULT_STREAM: u64 = 0x5851_F42D_4C95_7F2D;
/// Gives the faults that repeat something a random stream of their own.
const REPETITION_STREAM: u64 = 0x1405_7B7E_F767_814F;
/// Gives the replacements of processes and the faults of zones a random stream of their own.
const REPLACEMENT_STREAM: u64 = 0x2545_F491_4F6C_DD1D;
/// Time between two replacements of the same sender's process.
const REPLACEMENT_GAP: std::ops::Range<Millis> = 700.0..3_500.0;
/// How long one endpoint of a destination refuses while the other one hangs.
const ZONE_FAULT_DURATION: std::ops::Range<Millis> = 500.0..1_500.0;
/// Steps of the wall clock, in milliseconds.
const WALL_CLOCK_STEPS: [Millis; 8] = [3_600e3, -3_600e3, 5e3, -5e3, 900e3, -900e3, 2e3, -3e3];

impl Schedule {
    /// The schedule of a seed.
    pub fn new(seed: u64, size: SoakSize) -> Schedule {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut schedule = Schedule::default();
        for endpoint in 0..size.endpoints {
            schedule.add_windows(&mut rng, &ENDPOINT_FAULTS, endpoint, size.duration);
            // The first endpoint of each destination never drains.
            if endpoint % 2 == 1 {
                schedule.add_windows(&mut rng, &[FaultKind::Drain], endpoint, size.duration);
            }
        }
        for sender in 0..size.senders {
            schedule.add_windows(&mut rng, &SENDER_FAULTS, sender, size.duration);
            schedule.add_actions(&mut rng, sender, size.duration - QUIET_END);
        }
        schedule.add_extra_faults(seed, size);
        schedule.add_repeating_faults(seed, size);
        schedule.add_replacements(seed, size);
        schedule.actions.sort_by(|a, b| a.at.total_cmp(&b.at));
        schedule
    }

    fn add_extra_faults(&mut self, seed: u64, size: SoakSize) {
        let mut rng = Pcg64::seed_from_u64(seed ^ EXTRA_FAULT_STREAM);
        for endpoint in 0..size.endpoints {
            let faults = &EXTRA_ENDPOINT_FAULTS;
            self.add_windows(&mut rng, faults, endpoint, size.duration);
        }
        for sender in 0..size.senders {
            let faults = &EXTRA_SENDER_FAULTS;
            self.add_windows(&mut rng, faults, sender, size.duration);
            let mut at = rng.random_range(EXTRA_ACTION_GAP);
            while at < size.duration - QUIET_END {
                let action = if rng.random_bool(0.5) {
                    ProcessAction::Pause(rng.random_range(LONG_PAUSE))
                } else {
                    ProcessAction::MoveDiscovery
                };
                self.actions.push(ScheduledAction { at, sender, action });
                at += rng.random_range(EXTRA_ACTION_GAP);
            }
        }
    }

    fn add_repeating_faults(&mut self, seed: u64, size: SoakSize) {
        let mut rng = Pcg64::seed_from_u64(seed ^ REPETITION_STREAM);
        for endpoint in 0..size.endpoints {
            let faults = &REPEATING_ENDPOINT_FAULTS;
            self.add_windows(&mut rng, faults, endpoint, size.duration);
        }
        for sender in 0..size.senders {
            let faults = &REPEATING_SENDER_FAULTS;
            self.add_windows(&mut rng, faults, sender, size.duration);
        }
    }

    fn add_replacements(&mut self, seed: u64, size: SoakSize) {
        let mut rng = Pcg64::seed_from_u64(seed ^ REPLACEMENT_STREAM);
        for first_endpoint in (0..size.endpoints).step_by(2) {
            self.add_zone_faults(&mut rng, first_endpoint, size.duration);
        }
        for sender in 0..size.senders {
            let mut at = rng.random_range(REPLACEMENT_GAP);
            while at < size.duration - QUIET_END {
                let action = ProcessAction::Replace;
                self.actions.push(ScheduledAction { at, sender, action });
                at += rng.random_range(REPLACEMENT_GAP);
            }
        }
    }

    /// Adds the faults of both endpoints of a destination, from the first of them on.
    fn add_zone_faults(&mut self, rng: &mut Pcg64, first_endpoint: usize, end: Millis) {
        let mut from = rng.random_range(FAULT_GAP);
        while from < end {
            let until = from + rng.random_range(ZONE_FAULT_DURATION);
            let is_swapped = usize::from(rng.random_bool(0.5));
            for (index, fault) in ZONE_FAULTS.into_iter().enumerate() {
                let target = first_endpoint + (index ^ is_swapped);
                let refuses_next = FaultWindow {
                    fault: FaultKind::EndpointRefuses,
                    target,
                    from: until,
                    until: until + (until - from),
                };
                self.fault_windows.push(FaultWindow {
                    fault,
                    target,
                    from,
                    until,
                });
                if fault == FaultKind::EndpointHangs {
                    self.fault_windows.push(refuses_next);
                }
            }
            from = until + rng.random_range(FAULT_GAP);
        }
    }

    fn add_windows(&mut self, rng: &mut Pcg64, faults: &[FaultKind], target: usize, end: Millis) {
        let mut at = rng.random_range(FAULT_GAP);
        while at < end {
            let from = at;
            let until = from + rng.random_range(FAULT_DURATION);
            self.fault_windows.push(FaultWindow {
                fault: faults[rng.random_range(0..faults.len())],
                target,
                from,
                until,
            });
            at = until + rng.random_range(FAULT_GAP);
        }
    }

    fn add_actions(&mut self, rng: &mut Pcg64, sender: usize, end: Millis) {
        let mut at = rng.random_range(ACTION_GAP);
        while at < end {
            let action = draw_action(rng);
            self.actions.push(ScheduledAction { at, sender, action });
            at += rng.random_range(ACTION_GAP);
        }
    }

    /// The list changes of all drains: the time, the endpoint, and whether it starts to drain (true) or is replaced
    /// (false).
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

    /// Removes all steps of wall clocks.
    pub fn remove_wall_clock_steps(&mut self) {
        self.actions
            .retain(|scheduled| !matches!(scheduled.action, ProcessAction::StepWallClock(_)));
    }

    /// Whether a fault of an endpoint or sender is active.
    pub fn is_active(&self, fault: FaultKind, target: usize, now: Millis) -> bool {
        self.fault_windows.iter().any(|window| {
            window.fault == fault
                && window.target == target
                && (window.from..window.until).contains(&now)
        })
    }

    /// The active fault of an endpoint.
    pub fn endpoint_fault(&self, endpoint: usize, now: Millis) -> Option<FaultKind> {
        self.fault_windows
            .iter()
            .find(|window| {
                let is_endpoint_fault = ENDPOINT_FAULTS.contains(&window.fault)
                    || EXTRA_ENDPOINT_FAULTS.contains(&window.fault)
                    || ZONE_FAULTS.contains(&window.fault);
                window.target == endpoint
                    && is_endpoint_fault
                    && (window.from..window.until).contains(&now)
            })
            .map(|window| window.fault)
    }
}

fn draw_action(rng: &mut Pcg64) -> ProcessAction {
    match rng.random_range(0..12) {
        0 | 1 => ProcessAction::Terminate,
        2 => ProcessAction::TerminateRepeatedly,
        3 | 4 => ProcessAction::Kill,
        5 | 6 => ProcessAction::KillAfterAccept,
        7 => ProcessAction::Reload,
        8 | 9 => ProcessAction::Pause(rng.random_range(20.0..MAX_PAUSE)),
        _ => ProcessAction::StepWallClock(
            WALL_CLOCK_STEPS[rng.random_range(0..WALL_CLOCK_STEPS.len())],
        ),
    }
}
