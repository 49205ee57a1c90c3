//! A message that may have run is repeated only if its class allows that.

use martenlatch_lab::event_log::{CallFailure, EventKind};
use martenlatch_lab::judge::Rule;
use martenlatch_lab::model::partner::Reply;
use rstest::rstest;

use crate::history::{
    KEYED, UNSAFE, accepted, accepted_at, broken_rules, call_to, chronological, reply, report,
};

#[rstest]
#[case::rejected(Some(Reply::Rejected(None)), None, UNSAFE, 500.0, &[])]
#[case::never_sent(None, Some(CallFailure::NeverSent), UNSAFE, 500.0, &[])]
#[case::reset(None, Some(CallFailure::Reset), UNSAFE, 500.0, &[Rule::NoSecondEffect])]
#[case::sender_ended(None, Some(CallFailure::SenderEnded), UNSAFE, 500.0, &[Rule::NoSecondEffect])]
#[case::failed(Some(Reply::Failed), None, UNSAFE, 500.0, &[Rule::NoSecondEffect])]
#[case::still_in_flight(None, None, UNSAFE, 500.0, &[Rule::NoSecondEffect])]
#[case::keyed_within_its_window(None, Some(CallFailure::TimedOut), KEYED, 5_900.0, &[])]
#[case::keyed_after_its_window(None, Some(CallFailure::TimedOut), KEYED, 6_100.0, &[Rule::KeyWindow])]
#[case::keyed_that_never_ran(Some(Reply::Rejected(None)), None, KEYED, 9_000.0, &[])]
fn a_message_that_may_have_run_is_repeated_only_if_its_class_allows(
    #[case] answer: Option<Reply>,
    #[case] failure: Option<CallFailure>,
    #[case] class: u32,
    #[case] repeated_at: f64,
    #[case] expected: &[Rule],
) {
    let answered: Vec<_> = answer
        .map(|answer| reply(1, answer, 100.0))
        .into_iter()
        .collect();
    let failed: Vec<_> = failure
        .map(|cause| (100.0, EventKind::CallFailed { call: 1, cause }))
        .into_iter()
        .collect();
    let last = vec![reply(2, Reply::Served, repeated_at + 300.0)];
    let parts = vec![
        accepted(1, class),
        call_to(1, 1, 1, 5.0),
        answered,
        failed,
        call_to(2, 1, 1, repeated_at),
        last,
    ];
    assert_eq!(broken_rules(&chronological(parts)), expected);
}

#[test]
fn a_non_idempotent_message_that_may_have_run_is_not_deferred_nor_sent_for_another_submission() {
    let timed_out_and_deferred = vec![
        (
            100.0,
            EventKind::CallFailed {
                call: 1,
                cause: CallFailure::TimedOut,
            },
        ),
        report(1, true, 110.0),
    ];
    let parts = vec![
        accepted(1, UNSAFE),
        call_to(1, 1, 1, 5.0),
        timed_out_and_deferred.clone(),
    ];
    assert_eq!(
        broken_rules(&chronological(parts)),
        [Rule::NoSecondEffect],
        "reported as deferred"
    );
    let end = vec![reply(2, Reply::Served, 900.0)];
    let timed_out_and_undeliverable =
        vec![timed_out_and_deferred[0].clone(), report(1, false, 110.0)];
    let parts = vec![
        accepted(1, UNSAFE),
        call_to(1, 1, 1, 5.0),
        timed_out_and_undeliverable,
        accepted_at(1, 2, UNSAFE, 500.0),
        call_to(2, 2, 1, 600.0),
        end,
    ];
    assert_eq!(
        broken_rules(&chronological(parts)),
        [Rule::NoSecondEffect],
        "sent again for a second submission"
    );
}
