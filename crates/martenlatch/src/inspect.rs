//! The commands that inspect a write-ahead log. They do not change it, and print no message bodies or idempotency keys.

use std::path::Path;

use martenlatch_clock::Clock;
use martenlatch_wal::{FinalStatus, LogInspection, MessageRecord};

use crate::error::CommandError;

/// Prints the messages that are not complete, one per line.
pub fn show(folder: &Path, json: bool) -> Result<(), CommandError> {
    let log = open_log(folder)?;
    let now = Clock::continuing(&log.recovered.clock_history).now();
    for record in log.recovered.open_messages.values() {
        let left_ms = record.deadline - now;
        if json {
            println!("{}", json_line(record, left_ms));
        } else {
            println!("{}", text_line(record, left_ms));
        }
    }
    Ok(())
}

/// Prints a summary of the log. Returns whether all of its bytes belong to complete records.
pub fn verify(folder: &Path) -> Result<bool, CommandError> {
    let log = open_log(folder)?;
    let damaged_bytes = log.size - log.valid_bytes();
    let is_intact = damaged_bytes == 0;
    let messages = log.recovered.open_messages.values();
    let open_count = messages
        .filter(|record| record.final_status.is_none())
        .count();
    println!(
        "{} bytes={} records={} open={open_count} ends_owed={} over={} damaged_bytes={damaged_bytes}",
        if is_intact { "whole" } else { "damaged" },
        log.size,
        log.recovered.record_count,
        log.recovered.open_messages.len() - open_count,
        log.recovered.recently_closed.len(),
    );
    Ok(is_intact)
}

fn open_log(folder: &Path) -> Result<LogInspection, CommandError> {
    LogInspection::open(folder).map_err(|source| CommandError::OpenWriteAheadLog {
        folder: folder.to_path_buf(),
        source,
    })
}

fn text_line(record: &MessageRecord, left_ms: f64) -> String {
    format!(
        "no={} id={:?} class={} destination={} left_ms={left_ms:.0} tasks={} may_have_run={} end={} bytes={}",
        record.number,
        record.id,
        record.class,
        record.destination,
        record.attempts.len(),
        attempts_that_may_have_run(record),
        final_status(record),
        record.body.len(),
    )
}

fn json_line(record: &MessageRecord, left_ms: f64) -> serde_json::Value {
    serde_json::json!({
        "no": record.number,
        "id": &*record.id,
        "class": &*record.class,
        "destination": record.destination,
        "left_ms": left_ms.round(),
        "tasks": record.attempts.len(),
        "may_have_run": attempts_that_may_have_run(record),
        "end": final_status(record),
        "bytes": record.body.len(),
    })
}

fn attempts_that_may_have_run(record: &MessageRecord) -> usize {
    record
        .attempts
        .iter()
        .filter(|attempt| !attempt.never_ran)
        .count()
}

fn final_status(record: &MessageRecord) -> &'static str {
    match record.final_status {
        None => "open",
        Some(FinalStatus::Undeliverable) => "undeliverable",
        Some(FinalStatus::Deferred(_)) => "deferred",
    }
}
