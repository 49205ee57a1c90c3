//! Owns the report: one page of HTML that needs nothing else, with plots in it. It must never show a figure that the
//! outcome does not hold.

use std::fmt::Write;

use plotters::prelude::*;

use crate::outcome::{FIGURES, Outcome, Run, Shade, Variant, paired, spread};
use crate::tally::Second;

const SIZE: (u32, u32) = (900, 260);
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(23, 190, 207),
];

type Line = Vec<(f64, f64)>;

/// Text as it may stand in a page.
pub fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// A plot of lines over an x axis, with what went wrong shaded. Empty where nothing can be drawn.
pub fn plot(title: &str, x: &str, lines: &[(String, Line)], shades: &[Shade], log: bool) -> String {
    let mut svg = String::new();
    let points = || {
        lines
            .iter()
            .flat_map(|(_, l)| l.iter().copied())
            .filter(|(a, b)| a.is_finite() && b.is_finite())
    };
    let most_x = points().map(|p| p.0).fold(0.0, f64::max);
    let most_y = points().map(|p| p.1).fold(0.0, f64::max) * 1.05;
    if most_x <= 0.0 || most_y <= 0.0 {
        return svg;
    }
    let least_x = if log {
        points().map(|p| p.0).fold(f64::INFINITY, f64::min).max(1.0)
    } else {
        0.0
    };
    let least_y = if log {
        points()
            .map(|p| p.1)
            .fold(f64::INFINITY, f64::min)
            .max(1e-3)
            * 0.8
    } else {
        0.0
    };
    let drawn = (|| -> Result<(), Box<dyn std::error::Error>> {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let mut builder = ChartBuilder::on(&root);
        builder
            .caption(title, ("sans-serif", 15))
            .margin(6)
            .x_label_area_size(32)
            .y_label_area_size(56);
        macro_rules! draw {
            ($chart:expr) => {{
                let mut chart = $chart;
                chart
                    .configure_mesh()
                    .x_desc(x)
                    .light_line_style(WHITE.mix(0.0))
                    .draw()?;
                for shade in shades {
                    let corners = [(shade.start_s, least_y), (shade.end_s.min(most_x), most_y)];
                    chart.draw_series(std::iter::once(Rectangle::new(
                        corners,
                        BLACK.mix(0.08).filled(),
                    )))?;
                }
                for (i, (name, line)) in lines.iter().enumerate() {
                    let colour = COLOURS[i % COLOURS.len()];
                    let series = chart.draw_series(LineSeries::new(
                        line.iter().copied(),
                        colour.stroke_width(2),
                    ))?;
                    series
                        .label(name)
                        .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
                }
                chart
                    .configure_series_labels()
                    .background_style(WHITE.mix(0.8))
                    .border_style(BLACK.mix(0.2))
                    .draw()?;
            }};
        }
        if log {
            draw!(builder.build_cartesian_2d(
                (least_x..most_x).log_scale(),
                (least_y..most_y).log_scale()
            )?);
        } else {
            draw!(builder.build_cartesian_2d(least_x..most_x, least_y..most_y)?);
        }
        root.present()?;
        Ok(())
    })();
    if drawn.is_err() { String::new() } else { svg }
}

/// One figure of each second, the mean over the seeds.
fn over_time(variant: &Variant, of: fn(&Second) -> f64) -> Line {
    let longest = variant
        .runs
        .iter()
        .map(|r| r.figures.seconds.len())
        .max()
        .unwrap_or(0);
    let mean = |s: usize| {
        let all: Vec<f64> = variant
            .runs
            .iter()
            .filter_map(|r| r.figures.seconds.get(s))
            .map(of)
            .collect();
        (s as f64 + 0.5, spread(&all).0)
    };
    (0..longest).map(mean).collect()
}

/// The share that was served of what was asked for in each second, smoothed over three.
fn served(variant: &Variant) -> Line {
    let (asked, got) = (
        over_time(variant, |s| s.asked),
        over_time(variant, |s| s.got),
    );
    let sum = |line: &Line, at: usize| {
        line[at.saturating_sub(1)..(at + 2).min(line.len())]
            .iter()
            .map(|p| p.1)
            .sum::<f64>()
    };
    (0..asked.len())
        .filter(|at| sum(&asked, *at) > 0.0)
        .map(|at| (asked[at].0, sum(&got, at) / sum(&asked, at)))
        .collect()
}

fn breaches(runs: &[Run]) -> String {
    let mut text = String::new();
    for run in runs {
        for breach in run.verdict.breaches.iter().take(20) {
            let _ = writeln!(
                text,
                "<li>seed {}: {}</li>",
                run.seed,
                escaped(&breach.to_string())
            );
        }
    }
    if text.is_empty() {
        "<p>Every rule was kept.</p>".into()
    } else {
        format!("<ul class=bad>{text}</ul>")
    }
}

/// The page. `machine` holds what is the machine's and not the seed's, as ready parts of the page.
pub fn page(outcome: &Outcome, machine: &[String]) -> String {
    let mut html = format!(
        "<!doctype html><html lang=en><meta charset=utf-8><title>{0}</title><style>body{{font:14px sans-serif;\
         max-width:960px;margin:2em auto;padding:0 1em}}table{{border-collapse:collapse}}td,th{{padding:2px 10px;\
         text-align:right;border-bottom:1px solid #ddd}}td:first-child,th:first-child{{text-align:left}}\
         .bad{{color:#a00}}</style><h1>{0}</h1><p>{1}</p><p>{2}, {3:.0} s{4}.</p>",
        escaped(&outcome.experiment),
        escaped(&outcome.about),
        if outcome.form == "sim" {
            "In simulated time"
        } else {
            "On sockets"
        },
        outcome.length_s,
        if outcome.cut_short {
            ", <b>cut short: not every run was played</b>"
        } else {
            ""
        },
    );
    html += "<h2>Compared</h2><table><tr><th>";
    let base = outcome.variants.first();
    for (i, v) in outcome.variants.iter().enumerate() {
        let _ = write!(html, "<th>{}", escaped(&v.name));
        html += if i > 0 { "<th>against the first" } else { "" };
    }
    for (name, figure) in FIGURES {
        let _ = write!(html, "<tr><td>{name}");
        for (i, v) in outcome.variants.iter().enumerate() {
            let own: Vec<f64> = v.runs.iter().map(|r| figure(&r.figures)).collect();
            let (mean, dev) = spread(&own);
            let _ = write!(html, "<td>{mean:.3} ± {dev:.3}");
            if let Some(base) = base.filter(|_| i > 0) {
                let (diff, dev) = spread(&paired(base, v, *figure));
                let _ = write!(html, "<td>{diff:+.3} ± {dev:.3}");
            }
        }
    }
    html += "</table><p>Means over the seeds, with their standard deviation; differences are taken seed by seed.</p>";
    let lines = |of: &dyn Fn(&Variant) -> Line| -> Vec<(String, Line)> {
        outcome
            .variants
            .iter()
            .map(|v| (v.name.clone(), of(v)))
            .collect()
    };
    let mut add = |title: &str, of: &dyn Fn(&Variant) -> Line| {
        html += &plot(title, "seconds", &lines(of), &outcome.shades, false);
    };
    add("Share served, by when it was first handed in", &served);
    add("Worth delivered a second", &|v| over_time(v, |s| s.got));
    add("Calls a second", &|v| over_time(v, |s| s.calls as f64));
    add("Refusals a second", &|v| over_time(v, |s| s.refused as f64));
    add("Messages held", &|v| over_time(v, |s| s.held as f64));
    let quantiles = |v: &Variant| -> Line {
        let at = |q: f64, of: fn(&crate::tally::Figures) -> f64| {
            (
                q,
                spread(&v.runs.iter().map(|r| of(&r.figures)).collect::<Vec<_>>()).0,
            )
        };
        vec![
            at(50.0, |f| f.p50),
            at(90.0, |f| f.p90),
            at(99.0, |f| f.p99),
        ]
    };
    html += &plot(
        "Latency from the intended arrival, ms",
        "percentile",
        &lines(&quantiles),
        &[],
        false,
    );
    if !outcome.shades.is_empty() {
        html += "<h2>What went wrong</h2><ul>";
        for s in &outcome.shades {
            let _ = write!(
                html,
                "<li>{}: {:.1} to {:.1} s</li>",
                escaped(&s.what),
                s.start_s,
                s.end_s
            );
        }
        html += "</ul>";
    }
    html += "<h2>The rules</h2>";
    for v in &outcome.variants {
        let _ = write!(html, "<h3>{}</h3>{}", escaped(&v.name), breaches(&v.runs));
    }
    machine.iter().for_each(|part| html += part);
    html += "</html>\n";
    html
}
