//! Tests of outdated updates: repetitions are ignored, and a discovery that starts again with lower versions is not.

use super::super::version_guard::{VersionGuard, VersionVerdict};

const CURRENT: u64 = 9;

#[test]
fn an_older_update_on_an_open_watch_is_verified_once_a_second_and_never_applied() {
    let mut guard = VersionGuard::default();
    assert!(!guard.on_watch_opened(0.0));
    let older = |guard: &mut VersionGuard, now| guard.judge(Some(8), true, CURRENT, now);
    assert_eq!(
        guard.judge(Some(CURRENT), true, CURRENT, 0.0),
        VersionVerdict::Apply
    );
    assert_eq!(older(&mut guard, 10.0), VersionVerdict::Verify);
    assert!(guard.on_watch_opened(10.0), "requests the whole list");
    assert_eq!(
        guard.judge(Some(CURRENT), true, CURRENT, 11.0),
        VersionVerdict::Apply
    );
    assert_eq!(older(&mut guard, 20.0), VersionVerdict::Ignore);
    assert!(!guard.verifies_now(1_000.0) && guard.verifies_now(guard.deadline()));
    assert!(guard.on_watch_opened(1_010.0));
}

#[test]
fn the_first_answer_to_a_request_for_the_whole_list_holds_whatever_its_version() {
    let mut guard = VersionGuard::default();
    guard.on_watch_opened(0.0);
    // The first update of a new watch may come from a discovery that has started again.
    assert_eq!(
        guard.judge(Some(1), true, CURRENT, 0.0),
        VersionVerdict::Verify
    );
    assert!(guard.on_watch_opened(1.0));
    assert_eq!(
        guard.judge(Some(1), true, CURRENT, 1.0),
        VersionVerdict::Apply
    );
    assert_eq!(guard.judge(Some(2), false, 1, 2.0), VersionVerdict::Apply);
    assert!(!guard.on_watch_opened(3.0));
}

#[test]
fn older_changes_are_no_answer_to_a_request_for_the_whole_list() {
    let mut guard = VersionGuard::default();
    guard.on_watch_opened(0.0);
    guard.judge(Some(1), false, CURRENT, 0.0);
    assert!(guard.on_watch_opened(1.0));
    assert_eq!(
        guard.judge(Some(8), false, CURRENT, 1.0),
        VersionVerdict::VerifyLater,
        "an agent that answers like this must not be asked without a pause"
    );
    assert!(guard.on_watch_opened(101.0), "it is still in question");
}
