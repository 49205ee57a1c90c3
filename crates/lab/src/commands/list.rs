//! `list`: lists the shipped experiments.

use std::path::PathBuf;

use martenlatch_lab::experiment::Experiment;

use super::{Conclusion, file_report, report, shipped_experiments};

/// Prints the name and the description of each shipped experiment.
pub fn list() -> miette::Result<Conclusion> {
    for file in experiment_files()? {
        let experiment = Experiment::open(&file).map_err(report)?;
        println!("{:<22}{}", experiment.name, experiment.about);
    }
    Ok(Conclusion::RulesKept)
}

fn experiment_files() -> miette::Result<Vec<PathBuf>> {
    let folder = shipped_experiments();
    let entries = std::fs::read_dir(&folder).map_err(file_report(&folder))?;
    let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.retain(|file| {
        file.extension()
            .is_some_and(|extension| extension == "textproto")
    });
    files.sort();
    Ok(files)
}
