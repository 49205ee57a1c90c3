//! What may have run is repeated only where its class allows that.

use martenlatch_lab::event_log::{CallFailure, EventKind};
use martenlatch_lab::judge::Rule;
use martenlatch_lab::model::partner::Reply;
use rstest::rstest;

use crate::history::{KEYED, UNSAFE, again, history, notice, replied, sent, taken, verdict};

#[rstest]
#[case::refused(Some(Reply::Refused(None)), None, UNSAFE, 500.0, &[])]
#[case::never_sent(None, Some(CallFailure::NeverSent), UNSAFE, 500.0, &[])]
#[case::reset(None, Some(CallFailure::Reset), UNSAFE, 500.0, &[Rule::NoSecondEffect])]
#[case::died(None, Some(CallFailure::SenderEnded), UNSAFE, 500.0, &[Rule::NoSecondEffect])]
#[case::error(Some(Reply::Failed), None, UNSAFE, 500.0, &[Rule::NoSecondEffect])]
#[case::still_out(None, None, UNSAFE, 500.0, &[Rule::NoSecondEffect])]
#[case::keyed_in_its_window(None, Some(CallFailure::TimedOut), KEYED, 5_900.0, &[])]
#[case::keyed_out_of_it(None, Some(CallFailure::TimedOut), KEYED, 6_100.0, &[Rule::KeyWindow])]
#[case::keyed_that_never_ran(Some(Reply::Refused(None)), None, KEYED, 9_000.0, &[])]
fn what_may_have_run_is_repeated_only_where_its_class_allows(
    #[case] reply: Option<Reply>,
    #[case] silence: Option<CallFailure>,
    #[case] class: u32,
    #[case] second: f64,
    #[case] want: &[Rule],
) {
    let first: Vec<_> = reply.map(|r| replied(1, r, 100.0)).into_iter().collect();
    let ended: Vec<_> = silence
        .map(|cause| (100.0, EventKind::CallFailed { call: 1, cause }))
        .into_iter()
        .collect();
    let last = vec![replied(2, Reply::Served, second + 300.0)];
    let parts = vec![
        taken(1, class),
        sent(1, 1, 1, 5.0),
        first,
        ended,
        sent(2, 1, 1, second),
        last,
    ];
    assert_eq!(verdict(&history(parts)), want);
}

#[test]
fn an_unsafe_message_is_one_whoever_hands_it_in_and_may_not_be_called_harmless_to_repeat() {
    let lost = vec![
        (
            100.0,
            EventKind::CallFailed {
                call: 1,
                cause: CallFailure::TimedOut,
            },
        ),
        notice(1, true, 110.0),
    ];
    let parts = vec![taken(1, UNSAFE), sent(1, 1, 1, 5.0), lost.clone()];
    assert_eq!(
        verdict(&history(parts)),
        [Rule::NoSecondEffect],
        "given up as never run"
    );
    let end = vec![replied(2, Reply::Served, 900.0)];
    let undeliverable = vec![lost[0].clone(), notice(1, false, 110.0)];
    let parts = vec![
        taken(1, UNSAFE),
        sent(1, 1, 1, 5.0),
        undeliverable,
        again(1, 2, UNSAFE, 500.0),
        sent(2, 2, 1, 600.0),
        end,
    ];
    assert_eq!(
        verdict(&history(parts)),
        [Rule::NoSecondEffect],
        "another sender sends it again"
    );
}
