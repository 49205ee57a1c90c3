//! Appending to the log, and the state that is recovered from it.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;

use super::*;

fn empty_folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("martenlatch-wal-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn message(number: u64, body_size: usize) -> MessageRecord {
    MessageRecord {
        number,
        id: Rc::from(format!("id{number}")),
        class: Rc::from("notice"),
        destination: 7,
        deadline: 1_796_121_600_016.25,
        idempotency_key: Some(Rc::from("")),
        body: Rc::from(vec![9; body_size]),
        attempts: Vec::new(),
        final_status: None,
        class_rules: Rc::from([]),
    }
}

#[test]
fn accepted_messages_are_recovered_without_a_torn_last_record() {
    let folder = empty_folder("torn");
    let (mut wal, _) = WriteAheadLog::open(&folder, 3_000_000);
    for number in 0..3 {
        assert!(wal.append_message(&message(number, 200)));
    }
    assert!(wal.append_attempt(0, 0, 5.0) && wal.append_attempt(0, 1, 6.0));
    wal.append_never_ran(0, 0);
    wal.append_closed(1, &Rc::from("id1"));
    wal.append_final_status(2, FinalStatus::Deferred(Some(700)));
    assert!(wal.append_message(&message(3, 200)));
    drop(wal);
    let complete = std::fs::read(folder.join("ledger")).unwrap();
    std::fs::write(folder.join("ledger"), &complete[..complete.len() - 3]).unwrap();
    std::fs::write(folder.join("ledger.new"), b"interrupted compaction").unwrap();
    for _ in 0..2 {
        let (_, recovered) = WriteAheadLog::open(&folder, 3_000_000);
        assert_eq!(
            recovered.open_messages.keys().copied().collect::<Vec<_>>(),
            [0, 2],
            "message 1 is closed, and the record of message 3 is torn"
        );
        let first = &recovered.open_messages[&0];
        let attempts = [
            AttemptRecord {
                sent_at: 5.0,
                never_ran: true,
            },
            AttemptRecord {
                sent_at: 6.0,
                never_ran: false,
            },
        ];
        assert_eq!(
            (first.attempts.as_slice(), first.idempotency_key.as_deref()),
            (&attempts[..], Some(""))
        );
        assert_eq!(
            recovered.open_messages[&2].final_status,
            Some(FinalStatus::Deferred(Some(700)))
        );
        assert_eq!(
            (
                recovered.recently_closed.len(),
                &**recovered.recently_closed.iter().next().unwrap()
            ),
            (1, "id1")
        );
        assert!(!folder.join("ledger.new").exists());
    }
}

#[test]
fn an_unreadable_log_is_left_unchanged_and_a_file_that_cannot_be_replaced_is_appended_to() {
    let (unreadable, uncompactable) = (empty_folder("unreadable"), empty_folder("uncompactable"));
    std::fs::create_dir(unreadable.join("ledger")).unwrap();
    let (mut wal, _) = WriteAheadLog::open(&unreadable, 3_000_000);
    assert!(!wal.append_message(&message(1, 10)) && !wal.needs_compaction(1e15));
    assert!(unreadable.join("ledger").is_dir());
    assert!(
        WriteAheadLog::open(&uncompactable, 3_000_000)
            .0
            .append_message(&message(1, 10))
    );
    // A folder at the path of the compacted file makes the compaction fail, as a full disk would.
    std::fs::create_dir(uncompactable.join("ledger.new")).unwrap();
    let (mut wal, recovered) = WriteAheadLog::open(&uncompactable, 3_000_000);
    assert!(recovered.open_messages.contains_key(&1) && wal.append_attempt(1, 0, 7.0));
    let (_, recovered) = WriteAheadLog::open(&uncompactable, 3_000_000);
    assert_eq!(recovered.open_messages[&1].attempts.len(), 1);
}

#[test]
fn a_log_of_another_version_is_left_unchanged_and_rejects_messages() {
    // A later version may have left open messages in the log when an earlier version is started in its folder.
    let folder = empty_folder("version");
    let later_version = b"mlatch2\nany content".to_vec();
    std::fs::write(folder.join("ledger"), &later_version).unwrap();
    let (mut wal, recovered) = WriteAheadLog::open(&folder, 3_000_000);
    assert!(
        recovered.open_messages.is_empty()
            && !wal.append_message(&message(1, 10))
            && !wal.needs_compaction(1e15)
    );
    assert_eq!(std::fs::read(folder.join("ledger")).unwrap(), later_version);
}

#[test]
fn compactions_stay_within_the_disk_limit_and_a_full_log_rejects_messages() {
    let (folder, disk_limit) = (empty_folder("full"), 1_000_000);
    let (mut wal, _) = WriteAheadLog::open(&folder, disk_limit);
    let mut open = BTreeMap::new();
    let mut rejected = 0;
    for number in 0..400 {
        let message = message(number, 4_000);
        match wal.append_message(&message) {
            true => drop(open.insert(number, message)),
            false => rejected += 1,
        }
        if number % 3 == 0
            && let Some((number, closed)) = open.pop_first()
        {
            wal.append_closed(number, &closed.id);
        }
        if wal.needs_compaction(0.0) {
            let old_size = wal.file.size();
            assert!(wal.compact(open.values()));
            assert!(
                old_size + wal.file.size() < disk_limit,
                "{old_size} and {}",
                wal.file.size()
            );
        }
    }
    assert!(rejected > 0, "the limit was never reached");
    assert!(
        wal.append_attempt(*open.keys().next().unwrap(), 0, 1.0),
        "an accepted message can still be sent"
    );
    let (_, recovered) = WriteAheadLog::open(&folder, disk_limit);
    assert_eq!(recovered.open_messages.len(), open.len());
}

#[test]
fn an_attempt_that_starts_after_a_compaction_counts_as_one_that_may_have_run() {
    // A compaction writes an attempt that has not started yet as one that never ran. If the attempt still counted as
    // never run after its start, it would be repeated and could take effect twice.
    let folder = empty_folder("starts-after-compaction");
    let (mut wal, _) = WriteAheadLog::open(&folder, 3_000_000);
    let attempts = vec![AttemptRecord {
        sent_at: 5.0,
        never_ran: true,
    }];
    let (id, class, body) = (Rc::from("a"), Rc::from("debit"), Rc::from(&b"x"[..]));
    let message = MessageRecord {
        number: 0,
        id,
        class,
        destination: 7,
        deadline: 9e3,
        idempotency_key: None,
        body,
        attempts,
        final_status: None,
        class_rules: Rc::from([]),
    };
    assert!(wal.append_message(&message) && wal.compact(std::iter::once(&message)));
    assert_eq!(
        LogInspection::open(&folder)
            .unwrap()
            .recovered
            .open_messages[&0]
            .attempts,
        message.attempts,
        "the attempt has not started"
    );
    assert!(wal.append_attempt(0, 0, 6.0));
    let started = [AttemptRecord {
        sent_at: 6.0,
        never_ran: false,
    }];
    assert_eq!(
        LogInspection::open(&folder)
            .unwrap()
            .recovered
            .open_messages[&0]
            .attempts,
        started
    );
}

#[test]
fn the_class_rules_at_admission_are_recovered_after_the_class_was_redefined() {
    let folder = empty_folder("rules");
    let with_rules = |number: u64, rules: &[u8]| MessageRecord {
        class_rules: Rc::from(rules),
        ..message(number, 100)
    };
    let batches = [
        [with_rules(0, b"once"), with_rules(1, b"once")],
        [with_rules(2, b"safe"), with_rules(3, b"safe")],
    ];
    for batch in &batches {
        let (mut wal, _) = WriteAheadLog::open(&folder, 3_000_000);
        assert!(batch.iter().all(|message| wal.append_message(message)));
    }
    // Each opening compacts the log: the rules are recovered from the compacted file too.
    for _ in 0..2 {
        let (_, recovered) = WriteAheadLog::open(&folder, 3_000_000);
        assert_eq!(
            recovered.open_messages.into_values().collect::<Vec<_>>(),
            batches.concat()
        );
    }
}

#[test]
fn every_recorded_attempt_is_recovered_and_an_attempt_beyond_the_limit_is_refused() {
    // The settings may allow more attempts than the log records. After a restart, an attempt without a record would
    // count as one that never ran, and could be repeated.
    let folder = empty_folder("many-attempts");
    let (mut wal, _) = WriteAheadLog::open(&folder, 3_000_000);
    assert!(wal.append_message(&message(0, 10)));
    let started = (0..2 * MAX_ATTEMPTS)
        .filter(|attempt| wal.append_attempt(0, *attempt, 5.0))
        .count();
    let recovered = &LogInspection::open(&folder)
        .unwrap()
        .recovered
        .open_messages[&0]
        .attempts;
    assert_eq!(
        (
            started,
            recovered
                .iter()
                .filter(|attempt| !attempt.never_ran)
                .count()
        ),
        (MAX_ATTEMPTS, MAX_ATTEMPTS)
    );
}

#[test]
fn a_compaction_writes_the_records_that_could_not_be_appended() {
    // Otherwise the next process would send closed messages again, and would decide final statuses a second time.
    let folder = empty_folder("failing-writes");
    let (mut wal, _) = WriteAheadLog::open(&folder, 3_000_000);
    let mut ended = message(2, 10);
    assert!(wal.append_message(&message(1, 10)) && wal.append_message(&ended));
    wal.file.writes_fail = true;
    wal.append_closed(1, &Rc::from("id1"));
    ended.final_status = Some(FinalStatus::Undeliverable);
    wal.append_final_status(2, FinalStatus::Undeliverable);
    wal.file.writes_fail = false;
    assert!(
        wal.append_message(&message(3, 10)),
        "the log accepts messages again"
    );
    assert!(
        wal.needs_compaction(5_000.0),
        "a compaction writes the missing records"
    );
    assert!(wal.compact([&ended, &message(3, 10)].into_iter()));
    assert!(!wal.needs_compaction(6_000.0));
    drop(wal);
    let (_, recovered) = WriteAheadLog::open(&folder, 3_000_000);
    assert_eq!(
        recovered.open_messages.keys().copied().collect::<Vec<_>>(),
        [2, 3],
        "message 1 is closed"
    );
    assert_eq!(
        recovered.open_messages[&2].final_status,
        Some(FinalStatus::Undeliverable)
    );
}

/// Guards against a final status that is forgotten when its message is closed: if the message were submitted again, its
/// status would never be reported.
#[test]
fn the_reported_status_of_a_closed_message_survives_restarts_compactions_and_takeovers() {
    const DISK_LIMIT: u64 = 3_000_000;
    let folder = empty_folder("reported");
    let (reported, delivered): (Rc<str>, Rc<str>) = (Rc::from("reported"), Rc::from("delivered"));
    let status = FinalStatus::Deferred(Some(700));
    let (mut wal, _) = WriteAheadLog::open(&folder, DISK_LIMIT);
    wal.append_closed_by_report(1, &reported, status);
    wal.append_closed(2, &delivered);
    let position = wal.position();
    let taken_over =
        WriteAheadLog::restore(&folder, DISK_LIMIT, position, std::iter::empty()).unwrap();
    drop(wal);
    // The first restart reads the appended records and compacts the log; the second one reads the compacted file.
    let (restarted, _) = WriteAheadLog::open(&folder, DISK_LIMIT);
    let (compacted, _) = WriteAheadLog::open(&folder, DISK_LIMIT);
    for wal in [taken_over, restarted, compacted] {
        assert_eq!(wal.recently_closed.reported_status(&reported), Some(status));
        assert_eq!(wal.recently_closed.reported_status(&delivered), None);
        assert!(wal.recently_closed.contains(&delivered));
    }
}

/// Guards against memory that grows with an id that comes again and again, and against forgetting the latest ids.
#[test]
fn the_latest_ids_are_remembered_in_order_however_often_they_are_closed() {
    let mut closed = RecentlyClosed::default();
    let again: Rc<str> = Rc::from("again");
    for number in 0..20_000 {
        closed.remember(Rc::from(format!("id-{number}")));
        closed.remember(again.clone());
        closed.mark_reported(FinalStatus::Undeliverable);
    }
    assert_eq!(closed.len(), 16_384);
    let ids: Vec<&Rc<str>> = closed.iter().collect();
    assert_eq!(ids.len(), closed.len());
    assert_eq!(&**ids[ids.len() - 2], "id-19999");
    assert_eq!(ids[ids.len() - 1], &again);
    assert!(closed.reported_status(&again).is_some());
    let long = "x".repeat(200);
    for number in 0..20_000 {
        closed.remember(Rc::from(format!("{long}-{number}")));
    }
    let bytes: usize = closed.iter().map(|id| id.len()).sum();
    assert!(bytes <= 1024 * 1024, "{bytes}");
    assert!(!closed.contains(&again));
    assert_eq!(closed.reported_status(&again), None);
}
