//! The table of what follows for a message from the end of an attempt: one line for each cell.

use martenlatch_policy::interface::{MessageId, Outcome};
use rstest::rstest;

use crate::egress::{AttemptResult, Evidence, MessageGone};
use crate::pipeline::conclusion::{Conclusion, conclude};

const REFUSED: Outcome = Outcome::Overloaded { retry_after: 0 };
const TOLD_TO_WAIT: Outcome = Outcome::Overloaded { retry_after: 900 };

/// Guards against a conclusion that breaks a rule if the response belongs to another request or is incomplete.
#[rstest]
#[case::success(
    Outcome::Success,
    MessageGone::No,
    Evidence::Certain,
    Conclusion::Delivered
)]
#[case::success_in_doubt(
    Outcome::Success,
    MessageGone::No,
    Evidence::Uncertain,
    Conclusion::HeldUntilSettled
)]
#[case::gone(
    Outcome::NotSent,
    MessageGone::Certainly,
    Evidence::Certain,
    Conclusion::Gone
)]
#[case::gone_in_doubt(
    Outcome::NotSent,
    MessageGone::Possibly,
    Evidence::Uncertain,
    Conclusion::Reported
)]
#[case::gone_and_never_sent(
    Outcome::NotSent,
    MessageGone::Possibly,
    Evidence::Certain,
    Conclusion::Reported
)]
#[case::gone_and_cut_off(
    Outcome::Failure,
    MessageGone::Possibly,
    Evidence::Certain,
    Conclusion::Reported
)]
#[case::gone_behind_a_success(
    Outcome::Success,
    MessageGone::Possibly,
    Evidence::Uncertain,
    Conclusion::Reported
)]
#[case::refused(REFUSED, MessageGone::No, Evidence::Certain, Conclusion::Undecided)]
#[case::refused_in_doubt(REFUSED, MessageGone::No, Evidence::Uncertain, Conclusion::Undecided)]
#[case::told_to_wait(
    TOLD_TO_WAIT,
    MessageGone::No,
    Evidence::Certain,
    Conclusion::Undecided
)]
#[case::told_to_wait_in_doubt(
    TOLD_TO_WAIT,
    MessageGone::No,
    Evidence::Uncertain,
    Conclusion::Undecided
)]
#[case::failed(
    Outcome::Failure,
    MessageGone::No,
    Evidence::Certain,
    Conclusion::Undecided
)]
#[case::failed_in_doubt(
    Outcome::Failure,
    MessageGone::No,
    Evidence::Uncertain,
    Conclusion::Undecided
)]
#[case::attempts_used_up(
    Outcome::AttemptsExhausted,
    MessageGone::No,
    Evidence::Certain,
    Conclusion::Undecided
)]
#[case::attempts_used_up_in_doubt(
    Outcome::AttemptsExhausted,
    MessageGone::No,
    Evidence::Uncertain,
    Conclusion::Undecided
)]
#[case::timed_out(
    Outcome::TimedOut,
    MessageGone::No,
    Evidence::Certain,
    Conclusion::Undecided
)]
#[case::connection_lost(
    Outcome::ConnectionLost,
    MessageGone::No,
    Evidence::Certain,
    Conclusion::Undecided
)]
fn the_conclusion_breaks_no_rule_whatever_is_true(
    #[case] outcome: Outcome,
    #[case] gone: MessageGone,
    #[case] evidence: Evidence,
    #[case] in_time: Conclusion,
) {
    let result = AttemptResult {
        id: MessageId(1),
        attempt: 0,
        endpoint: None,
        outcome,
        took: 5.0,
        gone,
        evidence,
    };
    assert_eq!(conclude(&result, true), in_time);
    let too_late = match in_time {
        Conclusion::Delivered | Conclusion::HeldUntilSettled => Conclusion::Reported,
        conclusion => conclusion,
    };
    assert_eq!(conclude(&result, false), too_late);
}
