//! The report of an outcome: a self-contained HTML page with embedded plots.

mod html;
mod plot;

use std::fmt::Write;

use crate::metrics::{Figures, SecondFigures};
use crate::outcome::{COMPARED_FIGURES, FailureSpan, Outcome, SampleStatistics, Variant};
pub use html::escaped;
pub use plot::{Axes, Line, Point, plot};

/// The maximum number of breaches that are listed for each run.
const MAX_LISTED_BREACHES: usize = 20;

/// The HTML page. `machine_sections` are complete HTML sections on measurements of this machine, which do not follow
/// from the seeds.
pub fn page(outcome: &Outcome, machine_sections: &[String]) -> String {
    let mut page = html::head(outcome);
    page += &comparison(outcome);
    page += &plots_over_time(outcome);
    page += &latency_plot(outcome);
    page += &failure_list(&outcome.failure_spans);
    page += &breach_lists(&outcome.variants);
    for section in machine_sections {
        page += section;
    }
    page += "</html>\n";
    page
}

/// The table that compares the variants with the first.
fn comparison(outcome: &Outcome) -> String {
    let mut table = String::from("<h2>Compared</h2><table><tr><th>");
    for (number, variant) in outcome.variants.iter().enumerate() {
        let _ = write!(table, "<th>{}", escaped(&variant.name));
        if number > 0 {
            table += "<th>against the first";
        }
    }
    for figure in COMPARED_FIGURES {
        let _ = write!(table, "<tr><td>{}", figure.name);
        for (number, variant) in outcome.variants.iter().enumerate() {
            let own = SampleStatistics::of(&variant.values(figure.read));
            let _ = write!(table, "<td>{:.3} ± {:.3}", own.mean, own.deviation);
            if number > 0 {
                let base = &outcome.variants[0];
                let difference = SampleStatistics::of(&variant.differences(base, figure.read));
                let SampleStatistics { mean, deviation } = difference;
                let _ = write!(table, "<td>{mean:+.3} ± {deviation:.3}");
            }
        }
    }
    table
        + "</table><p>Means over the seeds, with their standard deviation; differences are taken seed by seed.</p>"
}

/// One plot line per variant.
fn lines(outcome: &Outcome, points: impl Fn(&Variant) -> Vec<Point>) -> Vec<Line> {
    outcome
        .variants
        .iter()
        .map(|variant| Line {
            name: variant.name.clone(),
            points: points(variant),
        })
        .collect()
}

fn plots_over_time(outcome: &Outcome) -> String {
    let plot = |title: &str, points: &dyn Fn(&Variant) -> Vec<Point>| {
        let axes = Axes::linear("seconds");
        plot(title, axes, &lines(outcome, points), &outcome.failure_spans)
    };
    let mut plots = String::new();
    plots += &plot(
        "Share served, by when it was first handed in",
        &share_served,
    );
    plots += &plot("Worth delivered a second", &|v| {
        over_time(v, |s| s.delivered_worth)
    });
    plots += &plot("Calls a second", &|v| over_time(v, |s| s.calls as f64));
    plots += &plot("Refusals a second", &|v| {
        over_time(v, |s| s.rejected_calls as f64)
    });
    plots += &plot("Messages held", &|v| over_time(v, |s| s.max_held as f64));
    plots
}

/// The mean over the seeds of a figure of each second.
fn over_time(variant: &Variant, read: fn(&SecondFigures) -> f64) -> Vec<Point> {
    let seconds = |run: &crate::outcome::Run| run.figures.seconds.len();
    let longest = variant.runs.iter().map(seconds).max().unwrap_or(0);
    (0..longest)
        .map(|number| {
            let values: Vec<f64> = variant
                .runs
                .iter()
                .filter_map(|run| run.figures.seconds.get(number))
                .map(read)
                .collect();
            Point {
                x: number as f64 + 0.5,
                y: SampleStatistics::of(&values).mean,
            }
        })
        .collect()
}

/// The delivered share of the worth submitted in each second, smoothed over three seconds.
fn share_served(variant: &Variant) -> Vec<Point> {
    let submitted = over_time(variant, |second| second.submitted_worth);
    let delivered = over_time(variant, |second| second.delivered_worth);
    let window_sum = |line: &[Point], at: usize| {
        line[at.saturating_sub(1)..(at + 2).min(line.len())]
            .iter()
            .map(|point| point.y)
            .sum::<f64>()
    };
    (0..submitted.len())
        .filter(|at| window_sum(&submitted, *at) > 0.0)
        .map(|at| Point {
            x: submitted[at].x,
            y: window_sum(&delivered, at) / window_sum(&submitted, at),
        })
        .collect()
}

fn latency_plot(outcome: &Outcome) -> String {
    let quantiles = |variant: &Variant| {
        let point = |percentile: f64, read: fn(&Figures) -> f64| Point {
            x: percentile,
            y: SampleStatistics::of(&variant.values(read)).mean,
        };
        vec![
            point(50.0, |figures| figures.p50),
            point(90.0, |figures| figures.p90),
            point(99.0, |figures| figures.p99),
        ]
    };
    plot(
        "Latency from the intended arrival, ms",
        Axes::linear("percentile"),
        &lines(outcome, quantiles),
        &[],
    )
}

fn failure_list(spans: &[FailureSpan]) -> String {
    if spans.is_empty() {
        return String::new();
    }
    let mut list = String::from("<h2>What went wrong</h2><ul>");
    for span in spans {
        let failure = escaped(&span.failure);
        let _ = write!(
            list,
            "<li>{failure}: {:.1} to {:.1} s</li>",
            span.start_s, span.end_s
        );
    }
    list + "</ul>"
}

fn breach_lists(variants: &[Variant]) -> String {
    let mut html = String::from("<h2>The rules</h2>");
    for variant in variants {
        let name = escaped(&variant.name);
        let _ = write!(html, "<h3>{name}</h3>{}", breach_list(variant));
    }
    html
}

fn breach_list(variant: &Variant) -> String {
    let mut list = String::new();
    for run in &variant.runs {
        for breach in run.verdict.breaches.iter().take(MAX_LISTED_BREACHES) {
            let text = escaped(&breach.to_string());
            let _ = writeln!(list, "<li>seed {}: {text}</li>", run.seed);
        }
    }
    if list.is_empty() {
        "<p>Every rule was kept.</p>".into()
    } else {
        format!("<ul class=bad>{list}</ul>")
    }
}
