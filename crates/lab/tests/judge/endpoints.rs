//! Calls go to endpoints of their own partner that do not drain, and do not make it collapse.

use martenlatch_lab::event_log::EventKind;
use martenlatch_lab::judge::Rule;
use martenlatch_lab::model::partner::Reply;
use rstest::rstest;

use crate::history::{UNSAFE, again, history, listed, notice, replied, sent, taken, verdict};

#[rstest]
#[case::in_time(1_040.0, &[])]
#[case::too_late(1_200.0, &[Rule::Drains])]
fn a_drain_binds_a_second_after_it_was_told(#[case] at: f64, #[case] want: &[Rule]) {
    let list = vec![
        listed(1, 7, true, 0.0),
        listed(1, 7, false, 100.0),
        listed(1, 7, false, 600.0),
    ];
    let end = vec![replied(1, Reply::Served, at + 400.0)];
    assert_eq!(
        verdict(&history(vec![
            list,
            taken(1, UNSAFE),
            sent(1, 1, 1, at + 0.0),
            end
        ])),
        want
    );
}

#[test]
fn a_message_goes_to_its_own_partner_and_has_so_many_attempts() {
    let list = vec![listed(9, 8, true, 0.0)];
    let end = vec![replied(1, Reply::Served, 400.0)];
    assert_eq!(
        verdict(&history(vec![
            list,
            taken(1, UNSAFE),
            sent(1, 1, 9, 5.0),
            end
        ])),
        [Rule::RightPartner]
    );
    let tries = |count: u64| {
        let mut parts = vec![taken(1, UNSAFE), vec![notice(1, true, 9_000.0)]];
        for call in 0..count {
            let at = 500.0 * call as f64;
            parts.extend([
                sent(call, 1, 1, at),
                vec![replied(call, Reply::Refused(None), at + 100.0)],
            ]);
        }
        verdict(&history(parts))
    };
    assert_eq!((tries(3), tries(4)), (vec![], vec![Rule::Attempts]));
}

#[rstest]
#[case::by_one_that_saw(true, &[Rule::NoneToppled])]
#[case::by_one_that_did_not(false, &[])]
fn a_cold_partner_is_not_pushed_over_by_those_that_saw_it_fail(
    #[case] saw: bool,
    #[case] want: &[Rule],
) {
    let out = vec![
        (
            0.0,
            EventKind::Outage {
                partner: 7,
                in_outage: true,
            },
        ),
        (
            5_000.0,
            EventKind::Outage {
                partner: 7,
                in_outage: false,
            },
        ),
    ];
    let mut parts = vec![out, vec![(7_000.0, EventKind::Collapsed { partner: 7 })]];
    for call in 0..10 {
        let at = 5_500.0 + 100.0 * call as f64;
        let ended = vec![
            replied(call, Reply::Refused(None), at + 40.0),
            notice(call, true, at + 50.0),
        ];
        parts.extend([
            again(call, call, UNSAFE, at),
            sent(call, call, 1, at),
            ended,
        ]);
    }
    if saw {
        let ended = vec![
            replied(90, Reply::Refused(None), 60.0),
            notice(90, true, 80.0),
        ];
        parts.extend([taken(90, UNSAFE), sent(90, 90, 1, 5.0), ended]);
    }
    assert_eq!(verdict(&history(parts)), want);
}
