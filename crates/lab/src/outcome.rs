//! What an experiment leaves behind: the runs of every variant, the comparison of each with the first over the same
//! seeds, and the file that holds them. It has only what the seeds decide, and no figures of the machine.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::error::LabError;
use crate::judge::Verdict;
use crate::metrics::Figures;

/// One variant with one seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The seed.
    pub seed: u64,
    /// The run's figures.
    pub figures: Figures,
    /// What the judge found.
    pub verdict: Verdict,
}

/// All runs of one variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Variant {
    /// The variant's name.
    pub name: String,
    /// Its runs, by their seeds.
    pub runs: Vec<Run>,
}

impl Variant {
    /// A figure of all runs.
    pub fn values(&self, figure: fn(&Figures) -> f64) -> Vec<f64> {
        self.runs.iter().map(|run| figure(&run.figures)).collect()
    }

    /// The differences of a figure from that of another variant, seed by seed where both have played it.
    pub fn differences(&self, base: &Variant, figure: fn(&Figures) -> f64) -> Vec<f64> {
        self.runs
            .iter()
            .filter_map(|run| {
                let base = base.runs.iter().find(|base| base.seed == run.seed)?;
                Some(figure(&run.figures) - figure(&base.figures))
            })
            .collect()
    }

    fn breaches(&self) -> u64 {
        self.runs.iter().map(|run| run.verdict.total()).sum()
    }
}

/// A stretch of time in which something went wrong, for the plots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FailureSpan {
    /// What went wrong.
    pub what: String,
    /// When it began, in seconds from the start of the run.
    pub start_s: f64,
    /// When it was over.
    pub end_s: f64,
}

/// An experiment as played. The same file, seeds and program give the same bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The experiment's name.
    pub experiment: String,
    /// What it is about.
    pub about: String,
    /// `sim` or `sockets`.
    pub form: String,
    /// The length of a run in seconds.
    pub length_s: f64,
    /// Not all runs were played.
    pub cut_short: bool,
    /// What went wrong when.
    pub shades: Vec<FailureSpan>,
    /// The variants; the others are compared with the first.
    pub variants: Vec<Variant>,
}

/// A figure that is compared.
#[derive(Clone, Copy, Debug)]
pub struct ComparedFigure {
    /// Its name in tables.
    pub name: &'static str,
    /// How it is read from a run.
    pub read: fn(&Figures) -> f64,
}

const fn compared(name: &'static str, read: fn(&Figures) -> f64) -> ComparedFigure {
    ComparedFigure { name, read }
}

/// The figures that are compared.
pub const FIGURES: &[ComparedFigure] = &[
    compared("score", |f| f.score),
    compared("share served", |f| f.share),
    compared("worst 10 s", |f| f.worst_window),
    compared("worst class", |f| f.worst_class),
    compared("p50 ms", |f| f.p50),
    compared("p90 ms", |f| f.p90),
    compared("p99 ms", |f| f.p99),
    compared("calls a message", |f| f.calls),
    compared("refusals a message", |f| f.refusals),
    compared("wasted calls a message", |f| f.wasted),
    compared("connections a message", |f| f.connections),
    compared("held at most", |f| f.held_most as f64),
    compared("toppled", |f| f.toppled as f64),
    compared("newcomer refused in 10 s", |f| f.newcomer_refused as f64),
    compared("newcomer calls in 10 s", |f| f.newcomer_calls as f64),
    compared("calls into known waits", |f| f.into_waits as f64),
];

/// Values over the seeds, in short.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SampleStatistics {
    /// The mean; not a number where there are no values.
    pub mean: f64,
    /// The standard deviation of a sample; zero for a single value.
    pub deviation: f64,
}

impl SampleStatistics {
    /// Mean and deviation of values.
    pub fn of(values: &[f64]) -> SampleStatistics {
        if values.is_empty() {
            return SampleStatistics {
                mean: f64::NAN,
                deviation: f64::NAN,
            };
        }
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count;
        let squares = values.iter().map(|value| (value - mean).powi(2));
        let sum = squares.sum::<f64>();
        let deviation = if values.len() > 1 {
            (sum / (count - 1.0)).sqrt()
        } else {
            0.0
        };
        SampleStatistics { mean, deviation }
    }
}

impl Outcome {
    /// Whether every rule was kept in every run.
    pub fn clean(&self) -> bool {
        self.variants
            .iter()
            .flat_map(|variant| &variant.runs)
            .all(|run| run.verdict.clean())
    }

    /// Writes `result.json` into a folder.
    ///
    /// # Errors
    /// Where the folder cannot be written to; the text names the file.
    pub fn write(&self, folder: &Path) -> Result<(), LabError> {
        std::fs::create_dir_all(folder).map_err(LabError::file(folder))?;
        let file = folder.join("result.json");
        let text = serde_json::to_string_pretty(self).map_err(LabError::json(&file))?;
        // Complete or not at all, whatever ends us.
        let fresh = folder.join("result.json.new");
        std::fs::write(&fresh, text + "\n")
            .and_then(|()| std::fs::rename(&fresh, &file))
            .map_err(LabError::file(&file))
    }

    /// Reads `result.json` from a folder.
    ///
    /// # Errors
    /// Where it is not there, or is none; the text names the file.
    pub fn open(folder: &Path) -> Result<Outcome, LabError> {
        let file = folder.join("result.json");
        let text = std::fs::read_to_string(&file).map_err(LabError::file(&file))?;
        serde_json::from_str(&text).map_err(LabError::json(&file))
    }

    /// A table in plain text: each variant, and its difference from the first with the spread over the seeds.
    pub fn table(&self) -> String {
        let mut text = format!("{} ({})\n", self.experiment, self.form);
        let Some(base) = self.variants.first() else {
            return text;
        };
        for variant in &self.variants {
            text += &format!(
                "\n{} ({} seeds, {} breaches)\n",
                variant.name,
                variant.runs.len(),
                variant.breaches()
            );
            for figure in FIGURES {
                text += table_line(variant, base, figure).trim_end();
                text += "\n";
            }
        }
        text
    }
}

fn table_line(variant: &Variant, base: &Variant, figure: &ComparedFigure) -> String {
    let name = figure.name;
    let own = SampleStatistics::of(&variant.values(figure.read));
    let mut line = format!("  {name:<24}{:>10.3} ±{:<8.3}", own.mean, own.deviation);
    if variant.name != base.name {
        let difference = SampleStatistics::of(&variant.differences(base, figure.read));
        line += &format!(
            " {:>+9.3} ±{:<8.3} against {}",
            difference.mean, difference.deviation, base.name
        );
    }
    line
}
