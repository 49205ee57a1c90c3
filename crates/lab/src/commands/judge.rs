//! `judge`: judges the stored event log of a run again.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use martenlatch_clock::Millis;
use martenlatch_lab::event_log::LoggedEvent;
use martenlatch_lab::experiment::Experiment;
use martenlatch_lab::judge::Judge;
use miette::miette;

use super::{Conclusion, file_report, report};

/// The history ends this long after its last event, when every deadline has passed. In milliseconds.
const TIME_AFTER_LAST_EVENT: Millis = 60_000.0;

/// Prints the breaches that the judge finds in the event log that `run --facts` wrote into a folder.
pub fn judge(folder: &Path) -> miette::Result<Conclusion> {
    let file = folder.join("experiment.textproto");
    let experiment = Experiment::open(&file).map_err(report)?;
    let mut judge = Judge::for_variant(&experiment, &experiment.variants[0]);
    let last_event_at = read_events(&folder.join("facts.jsonl"), &mut judge)?;
    let verdict = judge.end(last_event_at + TIME_AFTER_LAST_EVENT);
    for breach in &verdict.breaches {
        println!("{breach}");
    }
    println!("{} breaches", verdict.total());
    Ok(Conclusion::of(verdict.clean()))
}

/// Passes the events of a file to a judge and returns the time of the last one.
fn read_events(path: &Path, judge: &mut Judge) -> miette::Result<Millis> {
    let file = File::open(path).map_err(file_report(path))?;
    let mut last_at = 0.0;
    for (index, line) in BufReader::new(file).lines().enumerate() {
        let line = line.map_err(file_report(path))?;
        let location = format!("{}:{}", path.display(), index + 1);
        let event: LoggedEvent =
            serde_json::from_str(&line).map_err(|error| miette!("{location}: {error}"))?;
        if event.at < last_at {
            let at = event.at;
            return Err(miette!(
                "{location}: at: {at} is earlier than the time of the previous event"
            ));
        }
        last_at = event.at;
        judge.observe(&event);
    }
    Ok(last_at)
}
