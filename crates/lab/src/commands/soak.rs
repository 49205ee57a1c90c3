//! `soak`: many senders under faults that overlap, judged by what crosses their sockets.

use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use martenlatch_lab::soak::{self, Options, Report};
use martenlatch_lab::sockets;
use miette::miette;

use super::{Conclusion, file_report, report};
use crate::cli::SoakOptions;

/// Senders of a soak.
const PROCESSES: std::ops::RangeInclusive<usize> = 1..=40;
/// Seconds of a soak.
const SECONDS: std::ops::RangeInclusive<f64> = 3.0..=3_600.0;

/// Plays one soak and prints its figures in a line, behind the timeline of each violation.
pub fn soak(options: &SoakOptions) -> miette::Result<Conclusion> {
    if !PROCESSES.contains(&options.processes) || !SECONDS.contains(&options.seconds) {
        return Err(miette!("--processes is 1 to 40, --seconds is 3 to 3600"));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let on_signal = stop.clone();
    ctrlc::set_handler(move || on_signal.store(true, Ordering::Relaxed)).map_err(report)?;
    let played = soak::soak(
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
    let timelines = timelines(&played);
    print!("{timelines}");
    if let Some(folder) = &options.out {
        write_out(folder, options.seed, &timelines, &played)?;
    }
    println!("{}", figures_line(options.seed, &played));
    Ok(Conclusion::of(played.violations.is_empty()))
}

fn timelines(played: &Report) -> String {
    let mut text = String::new();
    for violation in &played.violations {
        let _ = writeln!(text, "{violation}");
        for record in played.timeline(violation) {
            let _ = writeln!(text, "    {record}");
        }
        for line in played.sender_log(violation) {
            let _ = writeln!(text, "    log: {line}");
        }
    }
    text
}

/// Writes the timelines, and everything that happened.
fn write_out(folder: &Path, seed: u64, timelines: &str, played: &Report) -> miette::Result<()> {
    std::fs::create_dir_all(folder).map_err(file_report(folder))?;
    let file = folder.join(format!("soak-{seed}.txt"));
    std::fs::write(&file, timelines).map_err(file_report(&file))?;
    let mut history = String::new();
    for record in &played.records {
        let _ = writeln!(history, "{record}");
    }
    let file = folder.join(format!("soak-{seed}-history.txt"));
    std::fs::write(&file, history).map_err(file_report(&file))
}

/// The figures of a soak in one line.
fn figures_line(seed: u64, played: &Report) -> String {
    let figures = &played.figures;
    let mut line = format!(
        "soak seed={seed} violations={} requests={} accepted={} delivered={} reported={} ended_early={} \
         timed_out={} restarts={} lateness_ms={:.0}",
        played.violations.len(),
        figures.requests,
        figures.accepted,
        figures.delivered,
        figures.reported,
        figures.ended_early,
        figures.timed_out,
        figures.restarts,
        played.lateness
    );
    for (fault, count) in &played.faults {
        let _ = write!(line, " {fault}={count}");
    }
    line
}
