//! Each accepted message has one final answer by its deadline.

use martenlatch_lab::event_log::{CallFailure, EventKind};
use martenlatch_lab::judge::Rule;
use martenlatch_lab::model::partner::Reply;
use rstest::rstest;

use crate::history::{KEYED, UNSAFE, history, notice, replied, sent, taken, verdict};

#[rstest]
#[case::delivered(vec![taken(1, UNSAFE), sent(1, 1, 1, 5.0), vec![replied(1, Reply::Served, 300.0)]], &[])]
#[case::never_ended(vec![taken(1, UNSAFE), sent(1, 1, 1, 5.0)], &[Rule::Lost])]
#[case::ended_in_time(vec![taken(1, UNSAFE), vec![notice(1, true, 16_200.0)]], &[])]
#[case::ended_late(vec![taken(1, UNSAFE), vec![notice(1, true, 16_400.0)]], &[Rule::Lost])]
#[case::refused_is_owed_nothing(
    vec![vec![taken(1, UNSAFE).remove(0), (1.0, EventKind::ClientAnswered { id: 1, status: 503 })]], &[])]
#[case::sent_after_a_refusal(
    vec![vec![taken(1, UNSAFE).remove(0), (1.0, EventKind::ClientAnswered { id: 1, status: 503 })], sent(1, 1, 1, 9.0),
         vec![replied(1, Reply::Served, 99.0)]], &[Rule::OneAnswer])]
#[case::sent_after_its_end(
    vec![taken(1, KEYED), vec![notice(1, true, 50.0)], sent(1, 1, 1, 60.0), vec![replied(1, Reply::Refused(None), 90.0)]],
    &[Rule::OneAnswer])]
#[case::two_ends(vec![taken(1, UNSAFE), vec![notice(1, true, 50.0), notice(1, false, 60.0)]], &[Rule::OneAnswer])]
#[case::one_end_told_twice(vec![taken(1, UNSAFE), vec![notice(1, true, 50.0), notice(1, true, 60.0)]], &[])]
#[case::served_after_it_was_given_up_as_never_run(
    vec![taken(1, KEYED), sent(1, 1, 1, 5.0), vec![notice(1, true, 50.0), replied(1, Reply::Served, 60.0)]],
    &[Rule::OneAnswer])]
#[case::repeated_after_a_delivery_that_was_heard(
    vec![taken(1, KEYED), sent(1, 1, 1, 5.0), vec![replied(1, Reply::Served, 50.0)], sent(2, 1, 1, 900.0),
         vec![replied(2, Reply::Served, 950.0)]], &[Rule::OneAnswer])]
#[case::repeated_after_one_that_was_called_off_too_soon_to_hear(
    vec![taken(1, KEYED), sent(1, 1, 1, 5.0),
         vec![replied(1, Reply::Served, 50.0), (55.0, EventKind::CallFailed { call: 1, cause: CallFailure::Cancelled })],
         sent(2, 1, 1, 900.0), vec![replied(2, Reply::Served, 950.0)]], &[])]
#[case::repeated_by_the_next_life_where_its_class_allows(
    vec![taken(1, KEYED), sent(1, 1, 1, 5.0), vec![replied(1, Reply::Served, 50.0), (60.0, EventKind::SenderEnded { sender: 0 }),
         (700.0, EventKind::SenderReady { sender: 0 })], sent(2, 1, 1, 900.0), vec![replied(2, Reply::Served, 950.0)]], &[])]
#[case::repeated_by_the_next_life_though_it_must_not(
    vec![taken(1, UNSAFE), sent(1, 1, 1, 5.0), vec![replied(1, Reply::Served, 50.0), (60.0, EventKind::SenderEnded { sender: 0 }),
         (700.0, EventKind::SenderReady { sender: 0 })], sent(2, 1, 1, 900.0), vec![replied(2, Reply::Served, 950.0)]],
    &[Rule::NoSecondEffect])]
fn each_message_has_one_answer_by_its_time(
    #[case] parts: Vec<Vec<(f64, EventKind)>>,
    #[case] want: &[Rule],
) {
    assert_eq!(verdict(&history(parts)), want);
}
