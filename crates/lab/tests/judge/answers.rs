//! Each accepted message gets one final answer by its deadline.

use martenlatch_lab::event_log::{CallFailure, EventKind};
use martenlatch_lab::judge::Rule;
use martenlatch_lab::model::partner::Reply;
use rstest::rstest;

use crate::history::{
    KEYED, UNSAFE, accepted, broken_rules, call_to, chronological, reply, report,
};

#[rstest]
#[case::delivered_before_its_deadline(
    vec![accepted(1, UNSAFE), call_to(1, 1, 1, 5.0), vec![reply(1, Reply::Served, 300.0)]], &[])]
#[case::no_final_answer(vec![accepted(1, UNSAFE), call_to(1, 1, 1, 5.0)], &[Rule::Lost])]
#[case::reported_within_the_grace_period(vec![accepted(1, UNSAFE), vec![report(1, true, 16_200.0)]], &[])]
#[case::reported_after_the_grace_period(vec![accepted(1, UNSAFE), vec![report(1, true, 16_400.0)]], &[Rule::Lost])]
#[case::rejected_without_a_final_answer(
    vec![vec![accepted(1, UNSAFE).remove(0), (1.0, EventKind::ClientAnswered { id: 1, status: 503 })]], &[])]
#[case::called_after_a_rejection(
    vec![vec![accepted(1, UNSAFE).remove(0), (1.0, EventKind::ClientAnswered { id: 1, status: 503 })],
         call_to(1, 1, 1, 9.0), vec![reply(1, Reply::Served, 99.0)]], &[Rule::OneAnswer])]
#[case::called_after_a_final_report(
    vec![accepted(1, KEYED), vec![report(1, true, 50.0)], call_to(1, 1, 1, 60.0),
         vec![reply(1, Reply::Rejected(None), 90.0)]],
    &[Rule::OneAnswer])]
#[case::two_different_reports(
    vec![accepted(1, UNSAFE), vec![report(1, true, 50.0), report(1, false, 60.0)]], &[Rule::OneAnswer])]
#[case::the_same_report_twice(vec![accepted(1, UNSAFE), vec![report(1, true, 50.0), report(1, true, 60.0)]], &[])]
#[case::delivered_after_a_deferred_report(
    vec![accepted(1, KEYED), call_to(1, 1, 1, 5.0), vec![report(1, true, 50.0), reply(1, Reply::Served, 60.0)]],
    &[Rule::OneAnswer])]
#[case::repeated_after_a_known_delivery(
    vec![accepted(1, KEYED), call_to(1, 1, 1, 5.0), vec![reply(1, Reply::Served, 50.0)], call_to(2, 1, 1, 900.0),
         vec![reply(2, Reply::Served, 950.0)]], &[Rule::OneAnswer])]
#[case::repeated_after_a_call_cancelled_before_its_reply_arrived(
    vec![accepted(1, KEYED), call_to(1, 1, 1, 5.0),
         vec![reply(1, Reply::Served, 50.0), (55.0, EventKind::CallFailed { call: 1, cause: CallFailure::Cancelled })],
         call_to(2, 1, 1, 900.0), vec![reply(2, Reply::Served, 950.0)]], &[])]
#[case::idempotent_repeated_after_a_restart(
    vec![accepted(1, KEYED), call_to(1, 1, 1, 5.0),
         vec![reply(1, Reply::Served, 50.0), (60.0, EventKind::SenderEnded { sender: 0 }),
              (700.0, EventKind::SenderReady { sender: 0 })], call_to(2, 1, 1, 900.0),
         vec![reply(2, Reply::Served, 950.0)]], &[])]
#[case::non_idempotent_repeated_after_a_restart(
    vec![accepted(1, UNSAFE), call_to(1, 1, 1, 5.0),
         vec![reply(1, Reply::Served, 50.0), (60.0, EventKind::SenderEnded { sender: 0 }),
              (700.0, EventKind::SenderReady { sender: 0 })], call_to(2, 1, 1, 900.0), vec![reply(2, Reply::Served, 950.0)]],
    &[Rule::NoSecondEffect])]
fn an_accepted_message_gets_one_final_answer_by_its_deadline(
    #[case] parts: Vec<Vec<(f64, EventKind)>>,
    #[case] expected: &[Rule],
) {
    assert_eq!(broken_rules(&chronological(parts)), expected);
}
