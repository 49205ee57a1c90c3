//! Owns what an experiment leaves behind: the runs of every variant, the comparison of each with the first over the
//! same seeds, and the files that hold them. It must never put a machine's figures (time, memory) into what a seed
//! alone decides.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::judge::Verdict;
use crate::tally::Figures;

/// One variant with one seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Run {
    pub seed: u64,
    pub figures: Figures,
    pub verdict: Verdict,
}

/// All runs of one variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Variant {
    pub name: String,
    pub runs: Vec<Run>,
}

/// A stretch of time in which something went wrong, for the plots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Shade {
    pub what: String,
    pub start_s: f64,
    pub end_s: f64,
}

/// An experiment as played. The same file, seeds and program give the same bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Outcome {
    pub experiment: String,
    pub about: String,
    /// `sim` or `sockets`.
    pub form: String,
    pub length_s: f64,
    /// Not all runs were played.
    pub cut_short: bool,
    pub shades: Vec<Shade>,
    pub variants: Vec<Variant>,
}

/// The name of a figure, and how it is read from a run.
pub type Figure = (&'static str, fn(&Figures) -> f64);

/// The figures that are compared.
pub const FIGURES: &[Figure] = &[
    ("score", |f| f.score),
    ("share served", |f| f.share),
    ("worst 10 s", |f| f.worst_window),
    ("worst class", |f| f.worst_class),
    ("p50 ms", |f| f.p50),
    ("p90 ms", |f| f.p90),
    ("p99 ms", |f| f.p99),
    ("calls a message", |f| f.calls),
    ("refusals a message", |f| f.refusals),
    ("wasted calls a message", |f| f.wasted),
    ("connections a message", |f| f.connections),
    ("held at most", |f| f.held_most as f64),
    ("toppled", |f| f.toppled as f64),
    ("newcomer refused in 10 s", |f| f.newcomer_refused as f64),
    ("newcomer calls in 10 s", |f| f.newcomer_calls as f64),
    ("calls into known waits", |f| f.into_waits as f64),
];

/// Mean and standard deviation (of a sample).
pub fn spread(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    if values.is_empty() {
        return (f64::NAN, f64::NAN);
    }
    let mean = values.iter().sum::<f64>() / count;
    let square = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>();
    (
        mean,
        if values.len() > 1 {
            (square / (count - 1.0)).sqrt()
        } else {
            0.0
        },
    )
}

/// The differences of a figure between two variants, seed by seed where both have played it.
pub fn paired(base: &Variant, other: &Variant, figure: fn(&Figures) -> f64) -> Vec<f64> {
    let of = |seed| base.runs.iter().find(|r: &&Run| r.seed == seed);
    other
        .runs
        .iter()
        .filter_map(|r| of(r.seed).map(|b| figure(&r.figures) - figure(&b.figures)))
        .collect()
}

impl Outcome {
    /// Whether every rule was kept in every run.
    pub fn clean(&self) -> bool {
        self.variants
            .iter()
            .all(|v| v.runs.iter().all(|r| r.verdict.clean()))
    }

    /// Writes `result.json` into a folder.
    ///
    /// # Errors
    /// Where the folder cannot be written to; the text names the file.
    pub fn write(&self, folder: &Path) -> Result<(), String> {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let file = folder.join("result.json");
        let text =
            serde_json::to_string_pretty(self).map_err(|e| format!("{}: {e}", file.display()))?;
        // Whole or not at all, whatever ends us.
        let fresh = folder.join("result.json.new");
        let done =
            std::fs::write(&fresh, text + "\n").and_then(|()| std::fs::rename(&fresh, &file));
        done.map_err(|e| format!("{}: {e}", file.display()))
    }

    /// Reads `result.json` from a folder.
    ///
    /// # Errors
    /// Where it is not there, or is none; the text names the file.
    pub fn open(folder: &Path) -> Result<Outcome, String> {
        let file = folder.join("result.json");
        let text =
            std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))
    }

    /// A table in plain text: each variant, and its difference from the first with the spread over the seeds.
    pub fn table(&self) -> String {
        let mut text = format!("{} ({})\n", self.experiment, self.form);
        let Some(base) = self.variants.first() else {
            return text;
        };
        for variant in &self.variants {
            let broken: u64 = variant
                .runs
                .iter()
                .flat_map(|r| r.verdict.counts.values())
                .sum();
            text += &format!(
                "\n{} ({} seeds, {broken} breaches)\n",
                variant.name,
                variant.runs.len()
            );
            for (name, figure) in FIGURES {
                let own: Vec<f64> = variant.runs.iter().map(|r| figure(&r.figures)).collect();
                let (mean, dev) = spread(&own);
                text += &format!("  {name:<24}{mean:>10.3} ±{dev:<8.3}");
                if variant.name != base.name {
                    let (diff, dev) = spread(&paired(base, variant, *figure));
                    text += &format!(" {diff:>+9.3} ±{dev:<8.3} against {}", base.name);
                }
                text = text.trim_end().to_string() + "\n";
            }
        }
        text
    }
}
