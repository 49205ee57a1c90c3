//! `judge`: reads the facts that a run kept, and judges them anew.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use martenlatch_clock::Millis;
use martenlatch_lab::event_log::LoggedEvent;
use martenlatch_lab::experiment::Experiment;
use martenlatch_lab::judge::Judge;
use miette::miette;

use super::{Conclusion, file_report, report};

/// The history ends so long after its last fact, in milliseconds: past every deadline.
const TIME_AFTER_LAST_FACT: Millis = 60_000.0;

/// Prints what the judge finds in a folder that `run --facts` wrote.
pub fn judge(folder: &Path) -> miette::Result<Conclusion> {
    let file = folder.join("experiment.textproto");
    let experiment = Experiment::open(&file).map_err(report)?;
    let mut judge = Judge::for_variant(&experiment, &experiment.variants[0]);
    let last = read_facts(&folder.join("facts.jsonl"), &mut judge)?;
    let verdict = judge.end(last + TIME_AFTER_LAST_FACT);
    for breach in &verdict.breaches {
        println!("{breach}");
    }
    println!("{} breaches", verdict.total());
    Ok(Conclusion::of(verdict.clean()))
}

/// Gives a judge the facts of a file; the instant of the last one.
fn read_facts(path: &Path, judge: &mut Judge) -> miette::Result<Millis> {
    let file = File::open(path).map_err(file_report(path))?;
    let mut last = 0.0;
    for (number, line) in BufReader::new(file).lines().enumerate() {
        let line = line.map_err(file_report(path))?;
        let place = format!("{}:{}", path.display(), number + 1);
        let fact: LoggedEvent =
            serde_json::from_str(&line).map_err(|error| miette!("{place}: {error}"))?;
        if fact.at < last {
            let at = fact.at;
            return Err(miette!("{place}: at: {at} is before the fact above it"));
        }
        last = fact.at;
        judge.observe(&fact);
    }
    Ok(last)
}
