//! A Retry-After binds a sender once it has arrived, and until the sender restarts.

use martenlatch_lab::event_log::{CallFailure, EventKind};
use martenlatch_lab::judge::Rule;
use martenlatch_lab::model::partner::Reply;
use rstest::rstest;

use crate::history::{
    KEYED, UNSAFE, accepted, accepted_at, broken_rules, call_to, chronological, reply, report,
};

#[rstest]
#[case::before_it_arrived(140.0, &[])]
#[case::during_it(1_000.0, &[Rule::Waits])]
#[case::after_it(2_060.0, &[])]
fn a_retry_after_binds_all_messages_of_its_sender(#[case] at: f64, #[case] expected: &[Rule]) {
    let rejected = vec![
        reply(1, Reply::Rejected(Some(2_000.0)), 50.0),
        report(1, true, 60.0),
    ];
    let end = vec![reply(2, Reply::Served, at + 300.0)];
    let parts = vec![
        accepted(1, UNSAFE),
        call_to(1, 1, 1, 5.0),
        rejected,
        accepted(2, KEYED),
        call_to(2, 2, 2, at),
        end,
    ];
    assert_eq!(broken_rules(&chronological(parts)), expected);
}

#[test]
fn a_retry_after_that_its_sender_cannot_have_received_is_ignored_and_an_earlier_one_stays_in_force()
{
    let broken_rules_if_cancelled_at = |at: f64| {
        let rejected = vec![
            reply(1, Reply::Rejected(Some(2_000.0)), 50.0),
            (
                at,
                EventKind::CallFailed {
                    call: 1,
                    cause: CallFailure::Cancelled,
                },
            ),
        ];
        let end = vec![report(1, true, 900.0), reply(2, Reply::Served, 1_300.0)];
        broken_rules(&chronological(vec![
            accepted(1, KEYED),
            call_to(1, 1, 1, 5.0),
            rejected,
            accepted(2, KEYED),
            call_to(2, 2, 2, 1_000.0),
            end,
        ]))
    };
    assert_eq!(
        (
            broken_rules_if_cancelled_at(55.0),
            broken_rules_if_cancelled_at(400.0)
        ),
        (vec![], vec![Rule::Waits])
    );
    let first = vec![
        reply(1, Reply::Rejected(Some(2_000.0)), 50.0),
        report(1, true, 60.0),
    ];
    let second = vec![
        reply(2, Reply::Rejected(Some(9_000.0)), 120.0),
        (
            125.0,
            EventKind::CallFailed {
                call: 2,
                cause: CallFailure::Cancelled,
            },
        ),
    ];
    let end = vec![report(2, true, 900.0), reply(3, Reply::Served, 1_300.0)];
    let parts = vec![
        accepted(1, KEYED),
        call_to(1, 1, 1, 5.0),
        first,
        accepted(2, KEYED),
        call_to(2, 2, 1, 40.0),
        second,
        accepted(3, KEYED),
        call_to(3, 3, 1, 1_000.0),
        end,
    ];
    assert_eq!(
        broken_rules(&chronological(parts)),
        [Rule::Waits],
        "the earlier Retry-After stays in force"
    );
}

#[test]
fn a_restart_ends_a_retry_after_and_excuses_a_late_final_answer_for_a_short_time() {
    let rejected = vec![
        reply(1, Reply::Rejected(Some(9_000.0)), 50.0),
        report(1, true, 60.0),
    ];
    let restart = vec![
        (100.0, EventKind::SenderEnded { sender: 0 }),
        (900.0, EventKind::SenderReady { sender: 0 }),
    ];
    let end = vec![reply(2, Reply::Served, 1_500.0)];
    let parts = vec![
        accepted(1, UNSAFE),
        call_to(1, 1, 1, 5.0),
        rejected,
        restart,
        accepted_at(2, 2, KEYED, 950.0),
        call_to(2, 2, 2, 1_000.0),
        end,
    ];
    assert_eq!(broken_rules(&chronological(parts)), []);
    let broken_rules_if_reported_at = |ready: f64, report_at: f64| {
        let restart = vec![
            (15_000.0, EventKind::ShutdownRequested { sender: 0 }),
            (15_900.0, EventKind::SenderEnded { sender: 0 }),
            (ready, EventKind::SenderReady { sender: 0 }),
        ];
        broken_rules(&chronological(vec![
            accepted(1, UNSAFE),
            restart,
            vec![report(1, true, report_at)],
        ]))
    };
    assert_eq!(broken_rules_if_reported_at(17_000.0, 18_400.0), []);
    assert_eq!(
        broken_rules_if_reported_at(17_000.0, 18_700.0),
        [Rule::Lost]
    );
}
