//! A log that cannot be read for a while.

use std::path::PathBuf;
use std::rc::Rc;
use std::thread;

use martenlatch_wal::MessageRecord;

use super::*;

const DISK: u64 = 3_000_000;

/// A folder with a log of one message, which cannot be read: a link to itself stands in its place.
fn unreadable(name: &str) -> PathBuf {
    let state = std::env::temp_dir().join(format!("martenlatch-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&state);
    std::fs::create_dir_all(&state).unwrap();
    let (mut log, _) = WriteAheadLog::open(&state, DISK);
    let message = MessageRecord {
        number: 1,
        id: Rc::from("owed"),
        class: Rc::from("debit"),
        destination: 7,
        deadline: 1e12,
        idempotency_key: None,
        body: Rc::from(&b"x"[..]),
        attempts: Vec::new(),
        final_status: None,
        class_rules: Rc::from([]),
    };
    assert!(log.append_message(&message));
    drop(log);
    std::fs::rename(state.join("ledger"), state.join("aside")).unwrap();
    std::os::unix::fs::symlink("ledger", state.join("ledger")).unwrap();
    state
}

/// Makes the log readable again a little later, at one stroke.
fn heal_soon(state: PathBuf) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        thread::sleep(3 * READ_INTERVAL);
        std::fs::rename(state.join("aside"), state.join("ledger")).unwrap();
    })
}

/// Guards against a start without the messages of earlier processes, because their log could not be read for a moment.
#[test]
fn a_start_waits_for_a_log_that_cannot_be_read() {
    let state = unreadable("unreadable-open");
    let healing = heal_soon(state.clone());
    let (log, recovered) = open(&state, DISK);
    assert!(recovered.open_messages.contains_key(&1) && !log.failed_to_read());
    healing.join().unwrap();
}

/// Guards against a clock that starts anew, because the log that holds the last one could not be read for a moment.
#[test]
fn the_clock_of_earlier_processes_is_waited_for() {
    let state = unreadable("unreadable-clock");
    let healing = heal_soon(state.clone());
    assert!(inspect(&state).recovered.open_messages.contains_key(&1));
    healing.join().unwrap();
}
