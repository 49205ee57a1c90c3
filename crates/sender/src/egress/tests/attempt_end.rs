//! Tests of the outcome of attempts that end without a complete response.

use super::super::attempt_end::{EndCause, EndedAttempt, STALE_DETECTION_WINDOW};
use super::*;

/// The end of an attempt whose request was sent completely on a new connection, which was lost without a response.
fn lost_attempt() -> EndedAttempt {
    EndedAttempt {
        cause: EndCause::ConnectionLost,
        connected: true,
        flushed: true,
        last_byte_held_back: false,
        fully_sent: true,
        response_begun: false,
        status_line_is_200: false,
        idle_before: None,
        started_at: 100.0,
        ended_at: 110.0,
    }
}

#[rstest::rstest]
#[case::sent(lost_attempt(), Outcome::ConnectionLost)]
#[case::partly_sent(EndedAttempt { flushed: false, fully_sent: false, ..lost_attempt() }, Outcome::Unreachable)]
#[case::not_established(EndedAttempt { connected: false, ..lost_attempt() }, Outcome::Unreachable)]
#[case::last_byte_held_back(EndedAttempt { last_byte_held_back: true, ..lost_attempt() }, Outcome::NotSent)]
#[case::confirmed(EndedAttempt { response_begun: true, status_line_is_200: true, ..lost_attempt() }, Outcome::Success)]
#[case::confirmed_too_early(
    EndedAttempt { cause: EndCause::SuccessStatusLine, flushed: false, fully_sent: false, status_line_is_200: true, ..lost_attempt() },
    Outcome::NotSent)]
#[case::timed_out(EndedAttempt { cause: EndCause::TimedOut, ..lost_attempt() }, Outcome::TimedOut)]
#[case::timed_out_in_a_response(
    EndedAttempt { cause: EndCause::TimedOut, response_begun: true, ..lost_attempt() }, Outcome::Failure)]
#[case::malformed(EndedAttempt { cause: EndCause::MalformedResponse, ..lost_attempt() }, Outcome::Failure)]
#[case::cancelled(EndedAttempt { cause: EndCause::Cancelled, ..lost_attempt() }, Outcome::Cancelled)]
#[case::withdrawn(EndedAttempt { cause: EndCause::Withdrawn, flushed: false, ..lost_attempt() }, Outcome::NotSent)]
#[case::stale(EndedAttempt { idle_before: Some(9.0), ..lost_attempt() }, Outcome::StaleConnection)]
#[case::stale_and_partly_sent(EndedAttempt { idle_before: Some(9.0), flushed: false, ..lost_attempt() }, Outcome::NotSent)]
#[case::reused_but_lost_later(
    EndedAttempt { idle_before: Some(9.0), ended_at: 100.0 + STALE_DETECTION_WINDOW, ..lost_attempt() }, Outcome::ConnectionLost)]
#[case::reused_but_lost_in_a_response(
    EndedAttempt { idle_before: Some(9.0), response_begun: true, ..lost_attempt() }, Outcome::ConnectionLost)]
fn the_outcome_follows_from_the_bytes_written_and_received(
    #[case] end: EndedAttempt,
    #[case] outcome: Outcome,
) {
    let classification = end.classify();
    assert_eq!(classification.outcome, outcome);
    let connection_lost = end.cause == EndCause::ConnectionLost;
    assert_eq!(classification.connection_lost, connection_lost);
    let stale =
        connection_lost && end.idle_before.is_some() && !end.response_begun && end.ended_at < 150.0;
    assert_eq!(classification.stale_after, stale.then_some(9.0));
}
