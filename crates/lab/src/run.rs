//! Runs an experiment: every variant with the same seeds, either in simulated time on as many threads as there are
//! cores, or on sockets one run at a time. The outcome does not depend on the order in which the runs end.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use indicatif::{ProgressBar, ProgressStyle};

use crate::error::LabError;
use crate::experiment::{self, Experiment};
use crate::outcome::{FailureSpan, Outcome, Run, Variant};
use crate::sim::{self, SimulatedRun, TurnTimes};
use crate::sockets::{self, resource_usage::ResourceUsage};

/// The maximum number of attempts at a run on sockets if the machine is too busy.
const MAX_SOCKET_ATTEMPTS: u32 = 3;
/// The minimum duration for which plots shade a failure, in milliseconds.
const MIN_SHADED_DURATION: f64 = 100.0;

/// The durations of the turns of a variant on this machine.
#[derive(Clone, Debug)]
pub struct VariantTurns {
    /// The variant's name.
    pub variant: String,
    /// The turns of all its runs.
    pub turns: TurnTimes,
}

/// The turns of all variants on this machine, in the order of the variants. They are not part of the outcome.
pub type TurnsByVariant = Vec<VariantTurns>;

/// The resource usage of the senders in a run on sockets.
#[derive(Debug)]
pub struct RunUsage {
    /// The variant's name.
    pub variant: String,
    /// The run's seed.
    pub seed: u64,
    /// The usage in each second.
    pub per_second: Vec<ResourceUsage>,
}

/// The resource usage of the senders in each run on sockets.
pub type UsageByRun = Vec<RunUsage>;

/// A run to carry out: the index of its variant, and its seed.
#[derive(Clone, Copy)]
struct PlannedRun {
    variant: usize,
    seed: u64,
}

/// A run that was carried out.
struct FinishedRun {
    planned: PlannedRun,
    result: Result<SimulatedRun, LabError>,
}

/// Runs an experiment in simulated time. Once `stop` is set, no further run starts; the finished runs are kept.
///
/// # Errors
/// If the decision module rejects the settings of a variant.
pub fn simulate(
    experiment: &Experiment,
    stop: &Arc<AtomicBool>,
    quiet: bool,
) -> Result<(Outcome, TurnsByVariant), LabError> {
    let planned_runs = planned_runs(experiment);
    let bar = progress_bar(experiment, planned_runs.len() as u64, quiet);
    let finished_runs = run_all(experiment, &planned_runs, stop, &bar);
    bar.finish_and_clear();
    let incomplete = finished_runs.len() < planned_runs.len();
    let mut variants = variants_without_runs(experiment);
    let mut turns: TurnsByVariant = variants.iter().map(without_turns).collect();
    for FinishedRun { planned, result } in finished_runs {
        let run = result?;
        turns[planned.variant].turns.add_all(&run.turns);
        variants[planned.variant].runs.push(Run {
            seed: planned.seed,
            figures: run.figures,
            verdict: run.verdict,
        });
    }
    Ok((outcome(experiment, "sim", variants, incomplete), turns))
}

fn seeds(experiment: &Experiment) -> impl Iterator<Item = u64> {
    let first = experiment.seed;
    (0..u64::from(experiment.repeats)).map(move |number| first + number)
}

/// All runs of an experiment, ordered by seed and then by variant.
fn planned_runs(experiment: &Experiment) -> Vec<PlannedRun> {
    let variants = experiment.variants.len();
    seeds(experiment)
        .flat_map(|seed| (0..variants).map(move |variant| PlannedRun { variant, seed }))
        .collect()
}

/// Carries out the runs on as many threads as there are cores. The result is sorted by variant and seed.
fn run_all(
    experiment: &Experiment,
    planned_runs: &[PlannedRun],
    stop: &AtomicBool,
    bar: &ProgressBar,
) -> Vec<FinishedRun> {
    let next = AtomicUsize::new(0);
    let finished_runs = Mutex::new(Vec::new());
    let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get());
    std::thread::scope(|scope| {
        for _ in 0..cores.min(planned_runs.len()) {
            scope.spawn(|| {
                while let Some(planned) = planned_runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let Some(finished) = run_unless_stopped(experiment, *planned, stop) else {
                        return;
                    };
                    finished_runs
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(finished);
                    bar.inc(1);
                }
            });
        }
    });
    let mut finished_runs = finished_runs
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner);
    finished_runs.sort_by_key(|run: &FinishedRun| (run.planned.variant, run.planned.seed));
    finished_runs
}

/// Carries out a run. `None` if `stop` is set before its end, as a stopped run does not count.
fn run_unless_stopped(
    experiment: &Experiment,
    planned: PlannedRun,
    stop: &AtomicBool,
) -> Option<FinishedRun> {
    if stop.load(Ordering::Relaxed) {
        return None;
    }
    let variant = &experiment.variants[planned.variant];
    let result = sim::run_unless_stopped(experiment, variant, planned.seed, None, stop);
    if result.is_err() && stop.load(Ordering::Relaxed) {
        return None;
    }
    Some(FinishedRun { planned, result })
}

/// Runs an experiment on sockets, one run at a time, as each run needs the whole machine. Once `stop` is set, the
/// current run ends and does not count; the finished runs are kept.
///
/// # Errors
/// If a sender does not start, if it ends by itself, or if a port is in use.
pub fn run_on_sockets(
    experiment: &Experiment,
    stop: &Arc<AtomicBool>,
    quiet: bool,
) -> Result<(Outcome, UsageByRun), LabError> {
    let planned_runs = planned_runs(experiment);
    let bar = progress_bar(experiment, planned_runs.len() as u64, quiet);
    let mut variants = variants_without_runs(experiment);
    let mut usage: UsageByRun = Vec::new();
    // The runs alternate between the variants within a seed, so that a machine that becomes slower affects all of them.
    for planned in &planned_runs {
        let variant = &experiment.variants[planned.variant];
        let run = match run_with_retries(experiment, variant, planned.seed, stop) {
            Ok(run) => run,
            Err(_) if stop.load(Ordering::Relaxed) => break,
            Err(error) => return Err(error),
        };
        variants[planned.variant].runs.push(Run {
            seed: planned.seed,
            figures: run.figures,
            verdict: run.verdict,
        });
        usage.push(RunUsage {
            variant: variant.name.clone(),
            seed: planned.seed,
            per_second: run.resource_usage,
        });
        bar.inc(1);
    }
    bar.finish_and_clear();
    let incomplete = usage.len() < planned_runs.len();
    Ok((outcome(experiment, "sockets", variants, incomplete), usage))
}

/// Carries out a run on sockets, and repeats it if the machine was too busy for the laboratory itself to act on time.
fn run_with_retries(
    experiment: &Experiment,
    variant: &experiment::Variant,
    seed: u64,
    stop: &AtomicBool,
) -> Result<sockets::SocketRun, LabError> {
    let mut late = 0.0;
    for _ in 0..MAX_SOCKET_ATTEMPTS {
        let run = sockets::play(experiment, variant, seed, stop)?;
        if run.max_lateness <= sockets::MAX_LATENESS {
            return Ok(run);
        }
        late = run.max_lateness;
    }
    Err(LabError::MachineTooBusy { late })
}

fn variants_without_runs(experiment: &Experiment) -> Vec<Variant> {
    let without_runs = |variant: &experiment::Variant| Variant {
        name: variant.name.clone(),
        runs: Vec::new(),
    };
    experiment.variants.iter().map(without_runs).collect()
}

fn without_turns(variant: &Variant) -> VariantTurns {
    VariantTurns {
        variant: variant.name.clone(),
        turns: TurnTimes::default(),
    }
}

fn progress_bar(experiment: &Experiment, run_count: u64, quiet: bool) -> ProgressBar {
    let bar = if quiet {
        ProgressBar::hidden()
    } else {
        ProgressBar::new(run_count)
    };
    if let Ok(style) = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} {eta}") {
        bar.set_style(style);
    }
    bar.set_message(experiment.name.clone());
    bar
}

/// The outcome of an experiment, with the periods of its failures. `mode` is `sim` or `sockets`.
pub fn outcome(
    experiment: &Experiment,
    mode: &str,
    variants: Vec<Variant>,
    incomplete: bool,
) -> Outcome {
    Outcome {
        experiment: experiment.name.clone(),
        description: experiment.about.clone(),
        mode: mode.into(),
        length_s: experiment.length / 1e3,
        incomplete,
        failure_spans: experiment.failures.iter().map(failure_span).collect(),
        variants,
    }
}

fn failure_span(failure: &experiment::Failure) -> FailureSpan {
    FailureSpan {
        failure: failure.kind.as_str_name().to_lowercase().replace('_', " "),
        start_s: failure.start / 1e3,
        end_s: failure.end.max(failure.start + MIN_SHADED_DURATION) / 1e3,
    }
}
