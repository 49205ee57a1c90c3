//! State that an earlier version wrote to disk or passed to its successor process stays readable.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use martenlatch_policy::Policy;
use martenlatch_wal::{AttemptRecord, FinalStatus, LogInspection, RecoveredState, WriteAheadLog};

use super::ProcessState;
use crate::cordons::Cordons;
use crate::peer_snapshot::PeerSnapshotFile;

/// When the stored state was written, in milliseconds of Unix time.
const WRITTEN_AT: f64 = 1_796_121_600_000.0;
const DISK_LIMIT: u64 = 3_000_000;

/// The folder with the state that an earlier version wrote.
fn stored_state_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/stored-state")
}

/// Creates a folder with a copy of one file of the stored state.
fn folder_with_copy_of(file: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    std::fs::copy(stored_state_folder().join(file), folder.path().join(file)).unwrap();
    folder
}

fn assert_recovered(recovered: &RecoveredState) {
    let open = &recovered.open_messages;
    assert_eq!(open.keys().copied().collect::<Vec<_>>(), [1, 2, 3, 4, 5, 6]);
    let rules = open[&2].class_rules.clone();
    assert!(
        !rules.is_empty(),
        "the class's rules are recorded with the message"
    );
    for (number, record) in open {
        assert_eq!(record.number, *number);
        assert_eq!(record.destination, 7 + number);
        assert_eq!(record.deadline, WRITTEN_AT + 1_000.25 * *number as f64);
        assert_eq!(*record.body, *format!("body {number}").as_bytes());
        assert_eq!(*record.class, *if *number == 1 { "plain" } else { "debit" });
        assert_eq!(
            record.class_rules,
            if *number == 1 {
                Rc::from([])
            } else {
                rules.clone()
            }
        );
    }
    let ids: Vec<&str> = open.values().map(|record| &*record.id).collect();
    assert_eq!(
        ids,
        ["first", "second", "third", "fourth", "fifth", "sixth"]
    );
    let keys: Vec<Option<&str>> = open
        .values()
        .map(|record| record.idempotency_key.as_deref())
        .collect();
    assert_eq!(keys, [None, Some("key-2"), Some(""), None, None, None]);
    let attempt = |after_writing: f64, never_ran| AttemptRecord {
        sent_at: WRITTEN_AT + after_writing,
        never_ran,
    };
    assert_eq!(open[&2].attempts, [attempt(1.5, true), attempt(2.5, false)]);
    assert_eq!(open[&3].attempts, [attempt(3.5, false)]);
    let statuses: Vec<Option<FinalStatus>> =
        open.values().map(|record| record.final_status).collect();
    let expected = [
        None,
        None,
        None,
        Some(FinalStatus::Undeliverable),
        Some(FinalStatus::Deferred(None)),
        Some(FinalStatus::Deferred(Some(1_234))),
    ];
    assert_eq!(statuses, expected);
    assert_eq!(recovered.next_number, 9, "no number is used twice");
}

#[test]
fn a_log_with_all_record_types_is_read_and_survives_its_compaction() {
    let folder = folder_with_copy_of("ledger");
    let inspection = LogInspection::open(folder.path()).unwrap();
    assert_eq!(
        inspection.valid_bytes(),
        inspection.size,
        "all records are valid"
    );
    assert_eq!(inspection.recovered.record_count, 19);
    assert_recovered(&inspection.recovered);
    assert!(
        inspection
            .recovered
            .recently_closed
            .iter()
            .any(|id| **id == *"seventh")
    );
    let (log, recovered) = WriteAheadLog::open(folder.path(), DISK_LIMIT);
    assert_recovered(&recovered);
    drop(log);
    let mut compacted = LogInspection::open(folder.path()).unwrap().recovered;
    // A compacted log has no records of closed messages, from which the next number follows.
    compacted.next_number = recovered.next_number;
    assert_recovered(&compacted);
}

#[test]
fn cordons_are_read_and_written_in_the_same_form() {
    let folder = folder_with_copy_of("cordons");
    let mut cordons = Cordons::open(folder.path(), DISK_LIMIT);
    assert!(cordons.contains("alpha") && cordons.contains("beta-2"));
    assert_eq!(cordons.set_cordoned(&Rc::from("gamma"), true), Ok(true));
    assert_eq!(cordons.set_cordoned(&Rc::from("gamma"), false), Ok(true));
    let read = |folder: &Path| std::fs::read(folder.join("cordons")).unwrap();
    assert_eq!(read(folder.path()), read(&stored_state_folder()));
}

#[test]
fn the_peer_snapshot_is_read_and_written_in_the_same_form() {
    let folder = folder_with_copy_of("peers");
    let (mut file, snapshot) = PeerSnapshotFile::open(folder.path(), WRITTEN_AT);
    assert_eq!((snapshot.incarnation, snapshot.digests.len()), (4, 4));
    assert_eq!(snapshot.digests[1].endpoint.as_deref(), Some("alpha"));
    assert_eq!(snapshot.digests[2].rate_limit, Some(12.5));
    std::fs::remove_file(folder.path().join("peers")).unwrap();
    file.write(4, WRITTEN_AT, snapshot.digests).unwrap();
    let read = |folder: &Path| std::fs::read(folder.join("peers")).unwrap();
    assert_eq!(read(folder.path()), read(&stored_state_folder()));
}

#[test]
fn the_process_state_of_an_earlier_version_is_read_and_written_in_the_same_form() {
    let bytes = std::fs::read(stored_state_folder().join("process-state")).unwrap();
    let state: ProcessState<Policy> = postcard::from_bytes(&bytes).unwrap();
    assert!(state.captured_at() > WRITTEN_AT);
    assert_eq!(postcard::to_allocvec(&state).unwrap(), bytes);
}
