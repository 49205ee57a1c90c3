//! `turns`: measures the duration of one turn of the decision module for several numbers of held messages.

use std::path::Path;

use martenlatch_lab::report::{self, Axes, Line, Point};
use martenlatch_lab::turn_cost;

use super::{Conclusion, file_report, report};
use crate::cli::TurnsOptions;

/// Prints the measurements and plots their medians.
pub fn turns(options: &TurnsOptions) -> miette::Result<Conclusion> {
    println!(
        "{:>8} {:>13} {:>11} {:>11} {:>11}",
        "held", "destinations", "median us", "p99 us", "longest us"
    );
    let mut medians = Vec::new();
    for held in &options.held {
        let cost = turn_cost::measure(*held, options.turns.max(1)).map_err(report)?;
        println!(
            "{:>8} {:>13} {:>11.1} {:>11.1} {:>11.1}",
            cost.held, cost.destinations, cost.median_us, cost.p99_us, cost.longest_us
        );
        medians.push(Point {
            x: cost.held as f64,
            y: cost.median_us,
        });
    }
    if let Some(file) = &options.plot {
        write_plot(file, medians)?;
    }
    Ok(Conclusion::RulesKept)
}

fn write_plot(file: &Path, medians: Vec<Point>) -> miette::Result<()> {
    let title = "Median of a turn, microseconds";
    let line = Line {
        name: "a turn".into(),
        points: medians,
    };
    let svg = report::plot(title, Axes::logarithmic("messages held"), &[line], &[]);
    let page = format!("<!doctype html><meta charset=utf-8><title>{title}</title>{svg}\n");
    std::fs::write(file, page).map_err(file_report(file))
}
