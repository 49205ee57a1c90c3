//! The runs of an experiment: every variant with the same seeds, in simulated time on as many threads as there are
//! cores, or on sockets one by one. The order in which runs end does not show in the outcome.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use indicatif::{ProgressBar, ProgressStyle};

use crate::error::LabError;
use crate::experiment::{self, Experiment};
use crate::outcome::{FailureSpan, Outcome, Run, Variant};
use crate::sim::{self, SimulatedRun, TurnTimes};
use crate::sockets::{self, resource_usage::ResourceUsage};

/// A run on sockets is repeated at most so often in all where the machine was too busy.
const SOCKET_ATTEMPTS: u32 = 3;
/// A failure is shaded in a plot for at least so many milliseconds.
const LEAST_SHADE: f64 = 100.0;

/// What the turns of a variant took on this machine.
#[derive(Clone, Debug)]
pub struct VariantTurns {
    /// The variant's name.
    pub variant: String,
    /// Its turns over all runs.
    pub turns: TurnTimes,
}

/// What a machine measured beside the outcome, one entry a variant.
pub type Machine = Vec<VariantTurns>;

/// What senders used in a run on sockets.
#[derive(Debug)]
pub struct RunUsage {
    /// The variant's name.
    pub variant: String,
    /// The run's seed.
    pub seed: u64,
    /// The use by the second.
    pub used: Vec<ResourceUsage>,
}

/// What senders used in each run on sockets.
pub type Use = Vec<RunUsage>;

/// One run to do.
#[derive(Clone, Copy)]
struct Job {
    variant: usize,
    seed: u64,
}

/// One run that was done.
struct Done {
    job: Job,
    played: Result<SimulatedRun, LabError>,
}

/// Runs an experiment in simulated time. Once `stop` is set, no run is begun any more; what was done is kept.
///
/// # Errors
/// Where the decision module rejects a variant's settings.
pub fn simulate(
    experiment: &Experiment,
    stop: &Arc<AtomicBool>,
    quiet: bool,
) -> Result<(Outcome, Machine), LabError> {
    let jobs = jobs(experiment);
    let bar = progress_bar(experiment, jobs.len() as u64, quiet);
    let done = run_jobs(experiment, &jobs, stop, &bar);
    bar.finish_and_clear();
    let cut_short = done.len() < jobs.len();
    let mut variants = variants_without_runs(experiment);
    let mut machine: Machine = variants.iter().map(no_turns).collect();
    for Done { job, played } in done {
        let played = played?;
        machine[job.variant].turns.add_all(&played.turns);
        variants[job.variant].runs.push(Run {
            seed: job.seed,
            figures: played.figures,
            verdict: played.verdict,
        });
    }
    Ok((outcome(experiment, "sim", variants, cut_short), machine))
}

fn seeds(experiment: &Experiment) -> impl Iterator<Item = u64> {
    let first = experiment.seed;
    (0..u64::from(experiment.repeats)).map(move |number| first + number)
}

/// All runs of an experiment, seed by seed.
fn jobs(experiment: &Experiment) -> Vec<Job> {
    let variants = experiment.variants.len();
    seeds(experiment)
        .flat_map(|seed| (0..variants).map(move |variant| Job { variant, seed }))
        .collect()
}

/// Does the runs on as many threads as there are cores. Sorted by variant and seed.
fn run_jobs(
    experiment: &Experiment,
    jobs: &[Job],
    stop: &AtomicBool,
    bar: &ProgressBar,
) -> Vec<Done> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get());
    std::thread::scope(|scope| {
        for _ in 0..cores.min(jobs.len()) {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let Some(finished) = run_job(experiment, *job, stop) else {
                        return;
                    };
                    done.lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(finished);
                    bar.inc(1);
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    done.sort_by_key(|done: &Done| (done.job.variant, done.job.seed));
    done
}

/// Does a run; none where `stop` is set before its end, as a run that was stopped counts for nothing.
fn run_job(experiment: &Experiment, job: Job, stop: &AtomicBool) -> Option<Done> {
    if stop.load(Ordering::Relaxed) {
        return None;
    }
    let variant = &experiment.variants[job.variant];
    let played = sim::run_unless_stopped(experiment, variant, job.seed, None, stop);
    if played.is_err() && stop.load(Ordering::Relaxed) {
        return None;
    }
    Some(Done { job, played })
}

/// Runs an experiment on sockets, a run at a time, as each wants the machine for itself. Once `stop` is set, the run
/// that is on ends and counts for nothing; what was done is kept.
///
/// # Errors
/// Where a sender does not start or ends by itself, or a port is taken.
pub fn on_sockets(
    experiment: &Experiment,
    stop: &Arc<AtomicBool>,
    quiet: bool,
) -> Result<(Outcome, Use), LabError> {
    let jobs = jobs(experiment);
    let bar = progress_bar(experiment, jobs.len() as u64, quiet);
    let mut variants = variants_without_runs(experiment);
    let mut usage: Use = Vec::new();
    // Variants take turns within a seed, so that a machine that grows slower does so for all.
    for job in &jobs {
        let variant = &experiment.variants[job.variant];
        let played = match run_in_time(experiment, variant, job.seed, stop) {
            Ok(played) => played,
            Err(_) if stop.load(Ordering::Relaxed) => break,
            Err(error) => return Err(error),
        };
        variants[job.variant].runs.push(Run {
            seed: job.seed,
            figures: played.figures,
            verdict: played.verdict,
        });
        usage.push(RunUsage {
            variant: variant.name.clone(),
            seed: job.seed,
            used: played.resource_usage,
        });
        bar.inc(1);
    }
    bar.finish_and_clear();
    let cut_short = usage.len() < jobs.len();
    Ok((outcome(experiment, "sockets", variants, cut_short), usage))
}

/// Does a run on sockets, and again where the machine was too busy for the laboratory itself to keep its times.
fn run_in_time(
    experiment: &Experiment,
    variant: &experiment::Variant,
    seed: u64,
    stop: &AtomicBool,
) -> Result<sockets::SocketRun, LabError> {
    let mut late = 0.0;
    for _ in 0..SOCKET_ATTEMPTS {
        let played = sockets::play(experiment, variant, seed, stop)?;
        if played.max_lateness <= sockets::MAX_LATENESS {
            return Ok(played);
        }
        late = played.max_lateness;
    }
    Err(LabError::MachineTooBusy { late })
}

fn variants_without_runs(experiment: &Experiment) -> Vec<Variant> {
    let name = |variant: &experiment::Variant| Variant {
        name: variant.name.clone(),
        runs: Vec::new(),
    };
    experiment.variants.iter().map(name).collect()
}

fn no_turns(variant: &Variant) -> VariantTurns {
    VariantTurns {
        variant: variant.name.clone(),
        turns: TurnTimes::default(),
    }
}

fn progress_bar(experiment: &Experiment, jobs: u64, quiet: bool) -> ProgressBar {
    let bar = if quiet {
        ProgressBar::hidden()
    } else {
        ProgressBar::new(jobs)
    };
    if let Ok(style) = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} {eta}") {
        bar.set_style(style);
    }
    bar.set_message(experiment.name.clone());
    bar
}

/// An outcome of an experiment, with its failures to be shaded. `form` says how it was run.
pub fn outcome(
    experiment: &Experiment,
    form: &str,
    variants: Vec<Variant>,
    cut_short: bool,
) -> Outcome {
    Outcome {
        experiment: experiment.name.clone(),
        about: experiment.about.clone(),
        form: form.into(),
        length_s: experiment.length / 1e3,
        cut_short,
        shades: experiment.failures.iter().map(shade).collect(),
        variants,
    }
}

fn shade(failure: &experiment::Failure) -> FailureSpan {
    FailureSpan {
        what: failure.kind.as_str_name().to_lowercase().replace('_', " "),
        start_s: failure.start / 1e3,
        end_s: failure.end.max(failure.start + LEAST_SHADE) / 1e3,
    }
}
