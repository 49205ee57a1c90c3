//! `compare`: compares two results of the same experiment.

use std::path::Path;

use martenlatch_lab::outcome::{
    COMPARED_FIGURES, ComparedFigure, Outcome, SampleStatistics, Variant,
};
use miette::miette;

use super::{Conclusion, report};

/// Differences of more than this number of standard errors rarely result from the choice of seeds alone.
const SIGNIFICANT_ERRORS: f64 = 2.0;

/// Prints for each variant the mean differences of its figures, taken seed by seed.
pub fn compare(base: &Path, other: &Path) -> miette::Result<Conclusion> {
    let base_outcome = Outcome::open(base).map_err(report)?;
    let other_outcome = Outcome::open(other).map_err(report)?;
    if base_outcome.experiment != other_outcome.experiment {
        return Err(miette!(
            "the results are of different experiments, {:?} and {:?}",
            base_outcome.experiment,
            other_outcome.experiment
        ));
    }
    println!(
        "{}: {} against {}",
        base_outcome.experiment,
        other.display(),
        base.display()
    );
    for variant in &other_outcome.variants {
        let same_name = |base: &&Variant| base.name == variant.name;
        let Some(base) = base_outcome.variants.iter().find(same_name) else {
            println!("{}: only in {}", variant.name, other.display());
            continue;
        };
        println!("{}", variant.name);
        for figure in COMPARED_FIGURES {
            print_difference(variant, base, figure);
        }
    }
    println!("* more than two standard errors over the seeds");
    Ok(Conclusion::RulesKept)
}

fn print_difference(variant: &Variant, base: &Variant, figure: &ComparedFigure) {
    let differences = variant.differences(base, figure.read);
    let SampleStatistics { mean, deviation } = SampleStatistics::of(&differences);
    let standard_error = deviation / (differences.len() as f64).sqrt();
    let significant = differences.len() > 1 && mean.abs() > SIGNIFICANT_ERRORS * standard_error;
    let mark = if significant { "*" } else { "" };
    let name = figure.name;
    println!("  {name:<24}{mean:>+10.4} ±{deviation:<9.4}{mark}");
}
