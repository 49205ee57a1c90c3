//! `run`: runs every variant of an experiment with the same seeds and writes the result and its report.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use martenlatch_lab::event_log::LoggedEvent;
use martenlatch_lab::experiment::Experiment;
use martenlatch_lab::outcome::Outcome;
use martenlatch_lab::report::{self, Axes, Line, Point};
use martenlatch_lab::run::{self, TurnsByVariant, UsageByRun, VariantTurns};
use martenlatch_lab::sim::{self, TurnStatistics};
use martenlatch_lab::sockets::resource_usage::ResourceUsage;
use miette::miette;

use super::{Conclusion, file_report, report, shipped_experiments};
use crate::cli::RunOptions;

const NANOSECONDS_PER_MICROSECOND: f64 = 1e3;
/// The maximum number of breaches that are printed for each run.
const MAX_PRINTED_BREACHES: usize = 5;

/// Runs an experiment.
pub fn run(options: &RunOptions) -> miette::Result<Conclusion> {
    let file = find_experiment(&options.file);
    let mut experiment = Experiment::open(&file).map_err(report)?;
    experiment.seed = options.seed.unwrap_or(experiment.seed);
    experiment.repeats = options.repeats.unwrap_or(experiment.repeats).max(1);
    let (outcome, machine_section) = run_in_mode(&experiment, options)?;
    let out = &options.out;
    outcome.write(out).map_err(report)?;
    let page = out.join("report.html");
    let html = report::page(&outcome, &[machine_section]);
    std::fs::write(&page, html).map_err(file_report(&page))?;
    if options.facts {
        write_event_log(&experiment, out)?;
        std::fs::copy(&file, out.join("experiment.textproto")).map_err(file_report(out))?;
    }
    print!("{}", outcome.table());
    print_breaches(&outcome);
    println!("\n{}", page.display());
    Ok(Conclusion::of(outcome.clean()))
}

/// The path of an experiment that is given by a path or by the name of a shipped experiment.
fn find_experiment(file: &Path) -> PathBuf {
    let is_path = file.extension().is_some() || file.components().count() > 1;
    if is_path || file.exists() {
        return file.into();
    }
    shipped_experiments().join(file).with_extension("textproto")
}

/// Runs in the requested mode. Returns the outcome and the section of the report on this machine.
fn run_in_mode(experiment: &Experiment, options: &RunOptions) -> miette::Result<(Outcome, String)> {
    let stop = stop_on_signal()?;
    if options.sockets {
        let (outcome, usage) =
            run::run_on_sockets(experiment, &stop, options.quiet).map_err(report)?;
        Ok((outcome, usage_section(&usage)))
    } else {
        let (outcome, turns) = run::simulate(experiment, &stop, options.quiet).map_err(report)?;
        Ok((outcome, turn_cost_section(&turns)))
    }
}

/// A flag that Ctrl-C sets: no further run starts, and the results of the finished runs are written.
fn stop_on_signal() -> miette::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    let on_signal = stop.clone();
    ctrlc::set_handler(move || on_signal.store(true, Ordering::Relaxed))
        .map_err(|error| miette!("cannot install the Ctrl-C handler: {error}"))?;
    Ok(stop)
}

/// The section of the report on the durations of the turns of the decision module.
fn turn_cost_section(turns_by_variant: &TurnsByVariant) -> String {
    let mut html = String::from(
        "<h2>Turns of the decision module on this machine</h2><table><tr><th>variant<th>held up to<th>turns\
         <th>mean µs<th>longest µs",
    );
    for VariantTurns { variant, turns } in turns_by_variant {
        let name = report::escaped(variant);
        for (bits, statistics) in &turns.by_held_bits {
            let TurnStatistics {
                count,
                total_ns,
                longest_ns,
            } = *statistics;
            let max_held = (1u64 << bits) - 1;
            let mean = total_ns as f64 / count as f64 / NANOSECONDS_PER_MICROSECOND;
            let longest = longest_ns as f64 / NANOSECONDS_PER_MICROSECOND;
            html +=
                &format!("<tr><td>{name}<td>{max_held}<td>{count}<td>{mean:.1}<td>{longest:.1}");
        }
    }
    html + "</table>"
}

/// The section of the report on the resource usage of the senders.
fn usage_section(usage: &UsageByRun) -> String {
    let memory = usage_lines(usage, |now, _| now.memory_kb as f64 / 1024.0);
    let cpu = usage_lines(usage, |now, before| (now.cpu_ms - before.cpu_ms) / 10.0);
    let plot =
        |title: &str, lines: &[Line]| report::plot(title, Axes::linear("seconds"), lines, &[]);
    String::from("<h2>What the senders used on this machine</h2>")
        + &plot("Memory of all senders, MiB", &memory)
        + &plot("Processor of all senders, percent of a core", &cpu)
}

/// One plot line per run; `value` receives the usage of a second and of the second before it.
fn usage_lines(usage: &UsageByRun, value: fn(&ResourceUsage, &ResourceUsage) -> f64) -> Vec<Line> {
    usage
        .iter()
        .map(|run| Line {
            name: format!("{}, seed {}", run.variant, run.seed),
            points: run
                .per_second
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

/// Runs the first variant with the first seed once more and writes its event log.
fn write_event_log(experiment: &Experiment, out: &Path) -> miette::Result<()> {
    let path = out.join("facts.jsonl");
    let mut file = BufWriter::new(File::create(&path).map_err(file_report(&path))?);
    let mut first_error = None;
    let sink = |event: &LoggedEvent| {
        if let Err(error) = write_event(&mut file, event) {
            first_error.get_or_insert(error);
        }
    };
    let variant = &experiment.variants[0];
    sim::run(experiment, variant, experiment.seed, Some(Box::new(sink))).map_err(report)?;
    file.flush().map_err(file_report(&path))?;
    match first_error {
        Some(error) => Err(file_report(&path)(error)),
        None => Ok(()),
    }
}

fn write_event(file: &mut impl Write, event: &LoggedEvent) -> io::Result<()> {
    serde_json::to_writer(&mut *file, event)?;
    file.write_all(b"\n")
}

fn print_breaches(outcome: &Outcome) {
    for variant in &outcome.variants {
        for run in &variant.runs {
            for breach in run.verdict.breaches.iter().take(MAX_PRINTED_BREACHES) {
                println!("  {} seed {}: {breach}", variant.name, run.seed);
            }
        }
    }
}
