//! Owns the read-only commands on a wal. It must never change the folder, or print a body or a key.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use martenlatch_wal::{FinalStatus, LogInspection, MessageRecord};

fn look(folder: &Path) -> Result<LogInspection, String> {
    LogInspection::open(folder).map_err(|e| format!("ledger: {}: {e}", folder.display()))
}

fn end(taken: &MessageRecord) -> &'static str {
    match taken.final_status {
        None => "open",
        Some(FinalStatus::Undeliverable) => "undeliverable",
        Some(FinalStatus::Deferred(_)) => "deferred",
    }
}

pub fn show(folder: &Path, json: bool) -> Result<(), String> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
        * 1e3;
    let look = look(folder)?;
    for taken in look.past.open.values() {
        let may_have_run = taken.attempts.iter().filter(|t| !t.never_ran).count();
        let (no, id, class, destination) = (taken.no, &taken.id, &taken.class, taken.destination);
        let (left, tasks, end, bytes) = (
            taken.deadline - now,
            taken.attempts.len(),
            end(taken),
            taken.body.len(),
        );
        if json {
            let line = serde_json::json!({"no": no, "id": &**id, "class": &**class, "destination": destination,
                "left_ms": left.round(), "tasks": tasks, "may_have_run": may_have_run, "end": end, "bytes": bytes});
            println!("{line}");
        } else {
            println!(
                "no={no} id={id:?} class={class} destination={destination} left_ms={left:.0} tasks={tasks} \
                 may_have_run={may_have_run} end={end} bytes={bytes}"
            );
        }
    }
    Ok(())
}

/// True where every byte belongs to a whole record.
pub fn verify(folder: &Path) -> Result<bool, String> {
    let look = look(folder)?;
    let torn = look.size - look.valid_bytes();
    let (open, owed) = look
        .past
        .open
        .values()
        .partition::<Vec<_>, _>(|t| t.final_status.is_none());
    println!(
        "{} bytes={} records={} open={} ends_owed={} over={} damaged_bytes={torn}",
        if torn == 0 { "whole" } else { "damaged" },
        look.size,
        look.past.records,
        open.len(),
        owed.len(),
        look.past.over.len(),
    );
    Ok(torn == 0)
}
