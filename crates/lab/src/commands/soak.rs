//! `soak`: runs many senders under overlapping faults and judges them by the traffic on their sockets.

use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use martenlatch_lab::soak::{self, Options, SoakReport};
use martenlatch_lab::sockets;
use miette::miette;

use super::{Conclusion, file_report, report};
use crate::cli::SoakOptions;

/// Permitted numbers of senders.
const PROCESS_COUNT_RANGE: std::ops::RangeInclusive<usize> = 1..=40;
/// Permitted durations of a soak, in seconds.
const SECONDS_RANGE: std::ops::RangeInclusive<f64> = 3.0..=3_600.0;

/// Runs one soak and prints the timeline of each violation, then the figures in one line.
pub fn soak(options: &SoakOptions) -> miette::Result<Conclusion> {
    if !PROCESS_COUNT_RANGE.contains(&options.processes)
        || !SECONDS_RANGE.contains(&options.seconds)
    {
        return Err(miette!(
            "--processes must be 1 to 40 and --seconds must be 3 to 3600"
        ));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let on_signal = stop.clone();
    ctrlc::set_handler(move || on_signal.store(true, Ordering::Relaxed)).map_err(report)?;
    let result = soak::soak(
        &Options {
            seed: options.seed,
            seconds: options.seconds,
            processes: options.processes,
            slack: options.slack,
            keep_wall_clock: options.keep_wall_clock,
            program: options
                .program
                .clone()
                .unwrap_or_else(sockets::default_sender_program),
        },
        &stop,
    )
    .map_err(report)?;
    let timelines = timelines(&result);
    print!("{timelines}");
    if let Some(folder) = &options.out {
        write_out(folder, options.seed, &timelines, &result)?;
    }
    println!("{}", figures_line(options.seed, &result));
    Ok(Conclusion::of(result.violations.is_empty()))
}

fn timelines(result: &SoakReport) -> String {
    let mut text = String::new();
    for violation in &result.violations {
        let _ = writeln!(text, "{violation}");
        for record in result.timeline(violation) {
            let _ = writeln!(text, "    {record}");
        }
        for line in result.sender_log(violation) {
            let _ = writeln!(text, "    log: {line}");
        }
    }
    text
}

/// Writes the timelines, the whole history, the answers that were met, and the logs of the senders with violations to files in a folder.
fn write_out(folder: &Path, seed: u64, timelines: &str, result: &SoakReport) -> miette::Result<()> {
    std::fs::create_dir_all(folder).map_err(file_report(folder))?;
    let file = folder.join(format!("soak-{seed}.txt"));
    std::fs::write(&file, timelines).map_err(file_report(&file))?;
    let mut history = String::new();
    for record in &result.records {
        let _ = writeln!(history, "{record}");
    }
    let file = folder.join(format!("soak-{seed}-history.txt"));
    std::fs::write(&file, history).map_err(file_report(&file))?;
    let file = folder.join(format!("soak-{seed}-answers.txt"));
    let coverage = result.answer_coverage.to_string();
    std::fs::write(&file, coverage).map_err(file_report(&file))?;
    for (sender, log) in result.logs_of_violations() {
        let file = folder.join(format!("soak-{seed}-n{sender}.log"));
        std::fs::write(&file, log).map_err(file_report(&file))?;
    }
    Ok(())
}

/// The line of key=value figures that ends the output of a soak.
fn figures_line(seed: u64, result: &SoakReport) -> String {
    let figures = &result.figures;
    let mut line = format!(
        "soak seed={seed} violations={} requests={} accepted={} delivered={} reported={} ended_early={} \
         timed_out={} restarts={} lateness_ms={:.0}",
        result.violations.len(),
        figures.requests,
        figures.accepted,
        figures.delivered,
        figures.reported,
        figures.ended_early,
        figures.timed_out,
        figures.restarts,
        result.lateness
    );
    for (fault, count) in &result.faults {
        let _ = write!(line, " {fault}={count}");
    }
    line
}
