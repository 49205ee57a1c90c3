//! A Retry-After binds its sender once it was told, and until it restarts.

use martenlatch_lab::event_log::{CallFailure, EventKind};
use martenlatch_lab::judge::Rule;
use martenlatch_lab::model::partner::Reply;
use rstest::rstest;

use crate::history::{KEYED, UNSAFE, again, history, notice, replied, sent, taken, verdict};

#[rstest]
#[case::in_travel(140.0, &[])]
#[case::too_early(1_000.0, &[Rule::Waits])]
#[case::when_it_is_over(2_060.0, &[])]
fn a_told_wait_binds_all_messages(#[case] at: f64, #[case] want: &[Rule]) {
    let told = vec![
        replied(1, Reply::Refused(Some(2_000.0)), 50.0),
        notice(1, true, 60.0),
    ];
    let end = vec![replied(2, Reply::Served, at + 300.0)];
    let parts = vec![
        taken(1, UNSAFE),
        sent(1, 1, 1, 5.0),
        told,
        taken(2, KEYED),
        sent(2, 2, 2, at),
        end,
    ];
    assert_eq!(verdict(&history(parts)), want);
}

#[test]
fn a_wait_that_a_sender_called_off_too_soon_to_hear_does_not_bind_it_and_one_heard_before_still_does()
 {
    let off = |at: f64| {
        let told = vec![
            replied(1, Reply::Refused(Some(2_000.0)), 50.0),
            (
                at,
                EventKind::CallFailed {
                    call: 1,
                    cause: CallFailure::Cancelled,
                },
            ),
        ];
        let end = vec![notice(1, true, 900.0), replied(2, Reply::Served, 1_300.0)];
        verdict(&history(vec![
            taken(1, KEYED),
            sent(1, 1, 1, 5.0),
            told,
            taken(2, KEYED),
            sent(2, 2, 2, 1_000.0),
            end,
        ]))
    };
    assert_eq!((off(55.0), off(400.0)), (vec![], vec![Rule::Waits]));
    let first = vec![
        replied(1, Reply::Refused(Some(2_000.0)), 50.0),
        notice(1, true, 60.0),
    ];
    let second = vec![
        replied(2, Reply::Refused(Some(9_000.0)), 120.0),
        (
            125.0,
            EventKind::CallFailed {
                call: 2,
                cause: CallFailure::Cancelled,
            },
        ),
    ];
    let end = vec![notice(2, true, 900.0), replied(3, Reply::Served, 1_300.0)];
    let parts = vec![
        taken(1, KEYED),
        sent(1, 1, 1, 5.0),
        first,
        taken(2, KEYED),
        sent(2, 2, 1, 40.0),
        second,
        taken(3, KEYED),
        sent(3, 3, 1, 1_000.0),
        end,
    ];
    assert_eq!(
        verdict(&history(parts)),
        [Rule::Waits],
        "the one before holds on"
    );
}

#[test]
fn a_restart_ends_a_wait_and_excuses_an_end_for_a_moment() {
    let told = vec![
        replied(1, Reply::Refused(Some(9_000.0)), 50.0),
        notice(1, true, 60.0),
    ];
    let life = vec![
        (100.0, EventKind::SenderEnded { sender: 0 }),
        (900.0, EventKind::SenderReady { sender: 0 }),
    ];
    let end = vec![replied(2, Reply::Served, 1_500.0)];
    let parts = vec![
        taken(1, UNSAFE),
        sent(1, 1, 1, 5.0),
        told,
        life,
        again(2, 2, KEYED, 950.0),
        sent(2, 2, 2, 1_000.0),
        end,
    ];
    assert_eq!(verdict(&history(parts)), []);
    let down = |ready: f64, end: f64| {
        let life = vec![
            (15_000.0, EventKind::ShutdownRequested { sender: 0 }),
            (15_900.0, EventKind::SenderEnded { sender: 0 }),
            (ready, EventKind::SenderReady { sender: 0 }),
        ];
        verdict(&history(vec![
            taken(1, UNSAFE),
            life,
            vec![notice(1, true, end)],
        ]))
    };
    assert_eq!(down(17_000.0, 18_400.0), []);
    assert_eq!(down(17_000.0, 18_700.0), [Rule::Lost]);
}
