//! Starts of a process while the write-ahead log cannot be read for a while.

use std::path::PathBuf;
use std::rc::Rc;
use std::thread;

use martenlatch_wal::MessageRecord;

use super::*;

const DISK_LIMIT: u64 = 3_000_000;

/// A folder with a log of one message that cannot be read: it is replaced by a symbolic link to itself, and stored as
/// `aside`.
fn folder_with_unreadable_log(name: &str) -> PathBuf {
    let state = std::env::temp_dir().join(format!("martenlatch-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&state);
    std::fs::create_dir_all(&state).unwrap();
    let (mut log, _) = WriteAheadLog::open(&state, DISK_LIMIT);
    let message = MessageRecord {
        number: 1,
        id: Rc::from("accepted"),
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

/// Makes the log readable again after a short time, atomically.
fn restore_log_soon(state: PathBuf) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        thread::sleep(3 * READ_INTERVAL);
        std::fs::rename(state.join("aside"), state.join("ledger")).unwrap();
    })
}

/// Guards against a start that drops the messages of earlier processes because their log cannot be read for a moment.
#[test]
fn a_start_waits_for_a_log_that_cannot_be_read() {
    let state = folder_with_unreadable_log("unreadable-open");
    let restoring = restore_log_soon(state.clone());
    let (log, recovered) = open(&state, DISK_LIMIT);
    assert!(recovered.open_messages.contains_key(&1) && !log.failed_to_read());
    restoring.join().unwrap();
}

/// Guards against a clock that starts over because the log, which contains the last clock reading, cannot be read for a
/// moment.
#[test]
fn a_start_waits_for_the_clock_of_earlier_processes() {
    let state = folder_with_unreadable_log("unreadable-clock");
    let restoring = restore_log_soon(state.clone());
    assert!(inspect(&state).recovered.open_messages.contains_key(&1));
    restoring.join().unwrap();
}
