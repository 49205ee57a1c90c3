//! Owns the playing of an experiment: every variant over the same seeds, on as many threads as there are cores, with
//! progress. It must never let the order in which runs end show in what they are.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use indicatif::{ProgressBar, ProgressStyle};

use crate::experiment::{self, Experiment};
use crate::outcome::{Outcome, Run, Shade, Variant};
use crate::sim::{self, Turns};
use crate::sockets::{self, resource_usage::ResourceUsage};

/// What a machine measured beside the outcome: turns by messages held, one entry a variant.
pub type Machine = Vec<(String, Turns)>;

/// Plays an experiment in simulated time. Once `stop` is set, no run is begun any more; what was played is kept.
///
/// # Errors
/// Where the module turns a variant's settings down.
pub fn simulate(
    experiment: &Experiment,
    stop: &Arc<AtomicBool>,
    quiet: bool,
) -> Result<(Outcome, Machine), String> {
    let seeds: Vec<u64> = (0..u64::from(experiment.repeats))
        .map(|i| experiment.seed + i)
        .collect();
    let jobs: Vec<(usize, u64)> = seeds
        .iter()
        .flat_map(|s| (0..experiment.variants.len()).map(move |v| (v, *s)))
        .collect();
    let bar = progress(experiment, jobs.len() as u64, quiet);
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism()
        .map_or(1, |n| n.get())
        .min(jobs.len());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((variant, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let played = sim::play_until(
                        experiment,
                        &experiment.variants[*variant],
                        *seed,
                        None,
                        stop,
                    );
                    // One that was stopped counts for nothing.
                    if played.is_err() && stop.load(Ordering::Relaxed) {
                        return;
                    }
                    done.lock()
                        .unwrap_or_else(|e| e.into_inner())
                        .push((*variant, *seed, played));
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish_and_clear();
    let mut done = done.into_inner().unwrap_or_else(|e| e.into_inner());
    done.sort_by_key(|(variant, seed, _)| (*variant, *seed));
    let cut_short = done.len() < jobs.len();
    let mut variants = unplayed(experiment);
    let mut machine: Machine = variants
        .iter()
        .map(|v| (v.name.clone(), Turns::default()))
        .collect();
    for (variant, seed, played) in done {
        let played = played?;
        machine[variant].1.add_all(&played.turns);
        variants[variant].runs.push(Run {
            seed,
            figures: played.figures,
            verdict: played.verdict,
        });
    }
    Ok((outcome(experiment, "sim", variants, cut_short), machine))
}

/// What senders used in each run on sockets: the variant, the seed, and the use by the second.
pub type Use = Vec<(String, u64, Vec<ResourceUsage>)>;

/// Plays an experiment on sockets, a run at a time, as each wants the machine for itself. Once `stop` is set, the run
/// that is on ends and counts for nothing; what was played is kept.
///
/// # Errors
/// Where a sender does not start or ends by itself, or a port is taken.
pub fn on_sockets(
    experiment: &Experiment,
    stop: &Arc<AtomicBool>,
    quiet: bool,
) -> Result<(Outcome, Use), String> {
    let bar = progress(
        experiment,
        u64::from(experiment.repeats) * experiment.variants.len() as u64,
        quiet,
    );
    let mut variants = unplayed(experiment);
    let (mut used, mut cut_short) = (Vec::new(), false);
    // Variants take turns within a seed, so that a machine that grows slower does so for all.
    'all: for seed in (0..u64::from(experiment.repeats)).map(|i| experiment.seed + i) {
        for (variant, told) in variants.iter_mut().zip(&experiment.variants) {
            match in_time(experiment, told, seed, stop) {
                Ok(played) => {
                    variant.runs.push(Run {
                        seed,
                        figures: played.figures,
                        verdict: played.verdict,
                    });
                    used.push((told.name.clone(), seed, played.used));
                }
                Err(_) if stop.load(Ordering::Relaxed) => {
                    cut_short = true;
                    break 'all;
                }
                Err(e) => return Err(e),
            }
            bar.inc(1);
        }
    }
    bar.finish_and_clear();
    Ok((outcome(experiment, "sockets", variants, cut_short), used))
}

/// Plays a run, and again where the machine was too busy for the laboratory itself to keep its times.
fn in_time(
    experiment: &Experiment,
    variant: &experiment::Variant,
    seed: u64,
    stop: &AtomicBool,
) -> Result<sockets::Played, String> {
    let mut late = 0.0;
    for _ in 0..3 {
        let played = sockets::play(experiment, variant, seed, stop).map_err(|e| e.to_string())?;
        if played.late <= sockets::LATE {
            return Ok(played);
        }
        late = played.late;
    }
    Err(format!(
        "the machine is too busy: three times the laboratory itself was late, at last by {late:.0} ms"
    ))
}

/// The variants of an experiment, with no run yet.
fn unplayed(experiment: &Experiment) -> Vec<Variant> {
    let name = |v: &experiment::Variant| Variant {
        name: v.name.clone(),
        runs: Vec::new(),
    };
    experiment.variants.iter().map(name).collect()
}

fn progress(experiment: &Experiment, jobs: u64, quiet: bool) -> ProgressBar {
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

/// An outcome of an experiment, with its failures to be shaded.
pub fn outcome(
    experiment: &Experiment,
    form: &str,
    variants: Vec<Variant>,
    cut_short: bool,
) -> Outcome {
    let shade = |f: &experiment::Failure| Shade {
        what: f.what.as_str_name().to_lowercase().replace('_', " "),
        start_s: f.start / 1e3,
        end_s: f.end.max(f.start + 100.0) / 1e3,
    };
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
