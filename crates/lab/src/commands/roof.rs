//! `roof`: compares the throughput ceiling of the sender with that of the baseline relay.

use std::time::Duration;

use martenlatch_lab::outcome::SampleStatistics;
use martenlatch_lab::sockets::default_sender_program;
use martenlatch_lab::throughput_ceiling::{self, MeasurementPlan, ThroughputCeiling, TurnFigures};
use miette::miette;

use super::{Conclusion, report};
use crate::cli::RoofOptions;

/// Measures both programs and prints their figures and ratios.
pub fn roof(options: &RoofOptions) -> miette::Result<Conclusion> {
    if !(0.1..=600.0).contains(&options.seconds) || !(1..=1_000).contains(&options.turns) {
        return Err(miette!(
            "--seconds must be 0.1 to 600 and --turns must be 1 to 1000"
        ));
    }
    let program = options
        .program
        .clone()
        .unwrap_or_else(default_sender_program);
    let ceiling = throughput_ceiling::measure(&MeasurementPlan {
        program: &program,
        turns: options.turns,
        turn_length: Duration::from_secs_f64(options.seconds),
        max_in_flight: options.held.max(1),
    })
    .map_err(report)?;
    println!(
        "{:<28}{:>18}{:>18}{:>16}",
        "", "sender", "relay", "sender/relay"
    );
    print_figure("messages a second", &ceiling, |turn| {
        turn.messages_per_second
    });
    print_figure("processor us a message", &ceiling, |turn| {
        turn.cpu_us_per_message
    });
    Ok(Conclusion::RulesKept)
}

fn print_figure(name: &str, ceiling: &ThroughputCeiling, read: fn(&TurnFigures) -> f64) {
    let statistics =
        |turns: &[TurnFigures]| SampleStatistics::of(&turns.iter().map(read).collect::<Vec<_>>());
    let pairs = ceiling.sender.iter().zip(&ceiling.relay);
    let ratios: Vec<f64> = pairs
        .map(|(sender, relay)| read(sender) / read(relay))
        .collect();
    let sender = statistics(&ceiling.sender);
    let relay = statistics(&ceiling.relay);
    let ratio = SampleStatistics::of(&ratios);
    println!(
        "{name:<28}{:>10.1} ±{:<6.1}{:>10.1} ±{:<6.1}{:>9.3} ±{:<.3}",
        sender.mean, sender.deviation, relay.mean, relay.deviation, ratio.mean, ratio.deviation
    );
}
