//! The outcome of an experiment: the runs of every variant, the comparison of each variant with the first for the same
//! seeds, and the file that stores them. It contains only values that follow from the seeds, and no measurements of the
//! machine.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::error::LabError;
use crate::judge::Verdict;
use crate::metrics::Figures;

/// The run of one variant with one seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The seed.
    pub seed: u64,
    /// The run's figures.
    pub figures: Figures,
    /// The verdict of the judge.
    pub verdict: Verdict,
}

/// All runs of one variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Variant {
    /// The variant's name.
    pub name: String,
    /// Its runs, in the order of their seeds.
    pub runs: Vec<Run>,
}

impl Variant {
    /// The values of a figure in all runs.
    pub fn values(&self, figure: fn(&Figures) -> f64) -> Vec<f64> {
        self.runs.iter().map(|run| figure(&run.figures)).collect()
    }

    /// The differences of a figure from that of another variant, for each seed that both have run.
    pub fn differences(&self, base: &Variant, figure: fn(&Figures) -> f64) -> Vec<f64> {
        self.runs
            .iter()
            .filter_map(|run| {
                let base = base.runs.iter().find(|base| base.seed == run.seed)?;
                Some(figure(&run.figures) - figure(&base.figures))
            })
            .collect()
    }

    fn breach_count(&self) -> u64 {
        self.runs.iter().map(|run| run.verdict.total()).sum()
    }
}

/// A period of an injected failure, which plots shade.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FailureSpan {
    /// The kind of failure.
    #[serde(rename = "what")]
    pub failure: String,
    /// Its start, in seconds from the start of the run.
    pub start_s: f64,
    /// Its end, in seconds from the start of the run.
    pub end_s: f64,
}

/// The outcome of an experiment. The same file, seeds and program give the same bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The experiment's name.
    pub experiment: String,
    /// A description of the experiment.
    #[serde(rename = "about")]
    pub description: String,
    /// `sim` or `sockets`.
    #[serde(rename = "form")]
    pub mode: String,
    /// The length of a run in seconds.
    pub length_s: f64,
    /// Whether some of the runs were not carried out.
    #[serde(rename = "cut_short")]
    pub incomplete: bool,
    /// The periods of the injected failures.
    #[serde(rename = "shades")]
    pub failure_spans: Vec<FailureSpan>,
    /// The variants; the others are compared with the first.
    pub variants: Vec<Variant>,
}

/// A figure that is compared.
#[derive(Clone, Copy, Debug)]
pub struct ComparedFigure {
    /// Its name in tables.
    pub name: &'static str,
    /// Reads it from the figures of a run.
    pub read: fn(&Figures) -> f64,
}

const fn compared(name: &'static str, read: fn(&Figures) -> f64) -> ComparedFigure {
    ComparedFigure { name, read }
}

/// All figures that are compared.
pub const COMPARED_FIGURES: &[ComparedFigure] = &[
    compared("score", |f| f.score),
    compared("share served", |f| f.share),
    compared("worst 10 s", |f| f.worst_window),
    compared("worst class", |f| f.worst_class),
    compared("p50 ms", |f| f.p50),
    compared("p90 ms", |f| f.p90),
    compared("p99 ms", |f| f.p99),
    compared("calls a message", |f| f.calls),
    compared("refusals a message", |f| f.rejections),
    compared("wasted calls a message", |f| f.wasted_calls),
    compared("connections a message", |f| f.connections),
    compared("held at most", |f| f.max_held as f64),
    compared("toppled", |f| f.collapses as f64),
    compared("newcomer refused in 10 s", |f| f.newcomer_rejections as f64),
    compared("newcomer calls in 10 s", |f| f.newcomer_calls as f64),
    compared("calls into known waits", |f| {
        f.calls_into_retry_after as f64
    }),
];

/// The mean and standard deviation of a sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SampleStatistics {
    /// The mean, or NaN if there are no values.
    pub mean: f64,
    /// The standard deviation of the sample: NaN if there are no values, 0 for a single value.
    pub deviation: f64,
}

impl SampleStatistics {
    /// Computes the mean and the standard deviation of `values`.
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
        let sum_of_squares = squares.sum::<f64>();
        let deviation = if values.len() > 1 {
            (sum_of_squares / (count - 1.0)).sqrt()
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
    /// If the folder cannot be written to; the text names the file.
    pub fn write(&self, folder: &Path) -> Result<(), LabError> {
        std::fs::create_dir_all(folder).map_err(LabError::file(folder))?;
        let file = folder.join("result.json");
        let text = serde_json::to_string_pretty(self).map_err(LabError::json(&file))?;
        // Writing a new file and renaming it leaves the old or the complete new file if the process ends meanwhile.
        let new_file = folder.join("result.json.new");
        std::fs::write(&new_file, text + "\n")
            .and_then(|()| std::fs::rename(&new_file, &file))
            .map_err(LabError::file(&file))
    }

    /// Reads `result.json` from a folder.
    ///
    /// # Errors
    /// If the file cannot be read or does not contain an outcome; the text names the file.
    pub fn open(folder: &Path) -> Result<Outcome, LabError> {
        let file = folder.join("result.json");
        let text = std::fs::read_to_string(&file).map_err(LabError::file(&file))?;
        serde_json::from_str(&text).map_err(LabError::json(&file))
    }

    /// A plain-text table: the figures of each variant and their differences from the first, with the standard
    /// deviations over the seeds.
    pub fn table(&self) -> String {
        let mut text = format!("{} ({})\n", self.experiment, self.mode);
        let Some(base) = self.variants.first() else {
            return text;
        };
        for variant in &self.variants {
            text += &format!(
                "\n{} ({} seeds, {} breaches)\n",
                variant.name,
                variant.runs.len(),
                variant.breach_count()
            );
            for figure in COMPARED_FIGURES {
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
