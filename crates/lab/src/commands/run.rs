//! `run`: plays every variant of an experiment over the same seeds, and writes the result and its report.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use martenlatch_lab::event_log::LoggedEvent;
use martenlatch_lab::experiment::Experiment;
use martenlatch_lab::outcome::Outcome;
use martenlatch_lab::report::{self, Axes, Line, Point};
use martenlatch_lab::run::{self, Machine, Use, VariantTurns};
use martenlatch_lab::sim::{self, TurnStatistics};
use martenlatch_lab::sockets::resource_usage::ResourceUsage;
use miette::miette;

use super::{Conclusion, file_report, report, shipped_experiments};
use crate::cli::RunOptions;

const NANOSECONDS_PER_MICROSECOND: f64 = 1e3;
/// So many breaches of each run are printed.
const BREACHES_PER_RUN: usize = 5;

/// Plays an experiment.
pub fn run(options: &RunOptions) -> miette::Result<Conclusion> {
    let file = find_experiment(&options.file);
    let mut experiment = Experiment::open(&file).map_err(report)?;
    experiment.seed = options.seed.unwrap_or(experiment.seed);
    experiment.repeats = options.repeats.unwrap_or(experiment.repeats).max(1);
    let (outcome, machine_part) = play(&experiment, options)?;
    let out = &options.out;
    outcome.write(out).map_err(report)?;
    let page = out.join("report.html");
    let text = report::page(&outcome, &[machine_part]);
    std::fs::write(&page, text).map_err(file_report(&page))?;
    if options.facts {
        write_facts(&experiment, out)?;
        std::fs::copy(&file, out.join("experiment.textproto")).map_err(file_report(out))?;
    }
    print!("{}", outcome.table());
    print_breaches(&outcome);
    println!("\n{}", page.display());
    Ok(Conclusion::of(outcome.clean()))
}

/// The file of an experiment, or of a shipped one that is given by its name.
fn find_experiment(file: &Path) -> PathBuf {
    let is_path = file.extension().is_some() || file.components().count() > 1;
    if is_path || file.exists() {
        return file.into();
    }
    shipped_experiments().join(file).with_extension("textproto")
}

/// Plays in the form that was asked for; the outcome, and the report's part on the machine.
fn play(experiment: &Experiment, options: &RunOptions) -> miette::Result<(Outcome, String)> {
    let stop = stop_on_signal()?;
    if options.sockets {
        let (outcome, used) = run::on_sockets(experiment, &stop, options.quiet).map_err(report)?;
        Ok((outcome, usage_part(&used)))
    } else {
        let (outcome, machine) = run::simulate(experiment, &stop, options.quiet).map_err(report)?;
        Ok((outcome, turn_cost_part(&machine)))
    }
}

/// Set by Ctrl-C: no run is begun any more, and what was played is written.
fn stop_on_signal() -> miette::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    let on_signal = stop.clone();
    ctrlc::set_handler(move || on_signal.store(true, Ordering::Relaxed))
        .map_err(|error| miette!("no signals: {error}"))?;
    Ok(stop)
}

/// What turns of the decision module cost, as a part of the page.
fn turn_cost_part(machine: &Machine) -> String {
    let mut html = String::from(
        "<h2>Turns of the decision module on this machine</h2><table><tr><th>variant<th>held up to<th>turns\
         <th>mean µs<th>longest µs",
    );
    for VariantTurns { variant, turns } in machine {
        let name = report::escaped(variant);
        for (bits, statistics) in &turns.by_held {
            let TurnStatistics {
                count,
                total,
                longest,
            } = *statistics;
            let most_held = (1u64 << bits) - 1;
            let mean = total as f64 / count as f64 / NANOSECONDS_PER_MICROSECOND;
            let longest = longest as f64 / NANOSECONDS_PER_MICROSECOND;
            html +=
                &format!("<tr><td>{name}<td>{most_held}<td>{count}<td>{mean:.1}<td>{longest:.1}");
        }
    }
    html + "</table>"
}

/// What senders used on sockets, as a part of the page.
fn usage_part(used: &Use) -> String {
    let memory = usage_lines(used, |now, _| now.memory_kb as f64 / 1024.0);
    let cpu = usage_lines(used, |now, before| (now.cpu_ms - before.cpu_ms) / 10.0);
    let plot =
        |title: &str, lines: &[Line]| report::plot(title, Axes::linear("seconds"), lines, &[]);
    String::from("<h2>EventKind the senders used on this machine</h2>")
        + &plot("Memory of all senders, MiB", &memory)
        + &plot("Processor of all senders, percent of a core", &cpu)
}

/// A line of each run, of what was used by each second and the one before it.
fn usage_lines(used: &Use, value: fn(&ResourceUsage, &ResourceUsage) -> f64) -> Vec<Line> {
    used.iter()
        .map(|run| Line {
            name: format!("{}, seed {}", run.variant, run.seed),
            points: run
                .used
                .windows(2)
                .zip(1_u32..)
                .map(|(pair, second)| Point {
                    x: f64::from(second),
                    y: value(&pair[1], &pair[0]),
                })
                .collect(),
        })
        .collect()
}

/// Plays the first variant's first seed once more, and writes what crossed.
fn write_facts(experiment: &Experiment, out: &Path) -> miette::Result<()> {
    let path = out.join("facts.jsonl");
    let mut file = BufWriter::new(File::create(&path).map_err(file_report(&path))?);
    let mut first_error = None;
    let sink = |fact: &LoggedEvent| {
        if let Err(error) = write_fact(&mut file, fact) {
            first_error.get_or_insert(error);
        }
    };
    let variant = &experiment.variants[0];
    sim::play(experiment, variant, experiment.seed, Some(Box::new(sink))).map_err(report)?;
    file.flush().map_err(file_report(&path))?;
    match first_error {
        Some(error) => Err(file_report(&path)(error)),
        None => Ok(()),
    }
}

fn write_fact(file: &mut impl Write, fact: &LoggedEvent) -> io::Result<()> {
    serde_json::to_writer(&mut *file, fact)?;
    file.write_all(b"\n")
}

fn print_breaches(outcome: &Outcome) {
    for variant in &outcome.variants {
        for run in &variant.runs {
            for breach in run.verdict.breaches.iter().take(BREACHES_PER_RUN) {
                println!("  {} seed {}: {breach}", variant.name, run.seed);
            }
        }
    }
}
