//! Calls go only to endpoints of their own partner, not to draining ones, and do not make a partner collapse.

use martenlatch_lab::event_log::EventKind;
use martenlatch_lab::judge::Rule;
use martenlatch_lab::model::partner::Reply;
use rstest::rstest;

use crate::history::{
    UNSAFE, accepted, accepted_at, broken_rules, call_to, chronological, listing, reply, report,
};

#[rstest]
#[case::within_the_second(1_040.0, &[])]
#[case::after_the_second(1_200.0, &[Rule::Drains])]
fn calls_to_a_draining_endpoint_may_start_for_one_second(
    #[case] at: f64,
    #[case] expected: &[Rule],
) {
    let list = vec![
        listing(1, 7, true, 0.0),
        listing(1, 7, false, 100.0),
        listing(1, 7, false, 600.0),
    ];
    let end = vec![reply(1, Reply::Served, at + 400.0)];
    assert_eq!(
        broken_rules(&chronological(vec![
            list,
            accepted(1, UNSAFE),
            call_to(1, 1, 1, at + 0.0),
            end
        ])),
        expected
    );
}

#[test]
fn a_call_to_another_partners_endpoint_and_an_attempt_over_the_limit_are_breaches() {
    let list = vec![listing(9, 8, true, 0.0)];
    let end = vec![reply(1, Reply::Served, 400.0)];
    assert_eq!(
        broken_rules(&chronological(vec![
            list,
            accepted(1, UNSAFE),
            call_to(1, 1, 9, 5.0),
            end
        ])),
        [Rule::RightPartner]
    );
    let broken_rules_after = |count: u64| {
        let mut parts = vec![accepted(1, UNSAFE), vec![report(1, true, 9_000.0)]];
        for call in 0..count {
            let at = 500.0 * call as f64;
            parts.extend([
                call_to(call, 1, 1, at),
                vec![reply(call, Reply::Rejected(None), at + 100.0)],
            ]);
        }
        broken_rules(&chronological(parts))
    };
    assert_eq!(
        (broken_rules_after(3), broken_rules_after(4)),
        (vec![], vec![Rule::Attempts])
    );
}

#[rstest]
#[case::collapse_by_a_sender_that_saw_the_failure(true, &[Rule::NoneToppled])]
#[case::collapse_by_a_sender_that_did_not(false, &[])]
fn a_collapse_is_a_breach_only_if_its_senders_saw_the_partner_fail(
    #[case] saw_failure: bool,
    #[case] expected: &[Rule],
) {
    let outage = vec![
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
    let mut parts = vec![outage, vec![(7_000.0, EventKind::Collapsed { partner: 7 })]];
    for call in 0..10 {
        let at = 5_500.0 + 100.0 * call as f64;
        let ended = vec![
            reply(call, Reply::Rejected(None), at + 40.0),
            report(call, true, at + 50.0),
        ];
        parts.extend([
            accepted_at(call, call, UNSAFE, at),
            call_to(call, call, 1, at),
            ended,
        ]);
    }
    if saw_failure {
        let ended = vec![
            reply(90, Reply::Rejected(None), 60.0),
            report(90, true, 80.0),
        ];
        parts.extend([accepted(90, UNSAFE), call_to(90, 90, 1, 5.0), ended]);
    }
    assert_eq!(broken_rules(&chronological(parts)), expected);
}
