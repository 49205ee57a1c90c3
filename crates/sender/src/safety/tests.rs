//! Each rule alone, at its limits.

use super::*;

const NOW: Millis = 10_000.0;

fn permitted() -> RequestFacts {
    RequestFacts {
        message_open: true,
        deadline: NOW,
        non_idempotent: false,
        first_possible_run: Some(NOW - 500.0),
        idempotency_window: Some(500.0),
        endpoint_available: true,
        retry_after_until: Some(NOW),
        now: NOW,
    }
}

#[test]
fn a_request_is_permitted_up_to_each_limit() {
    assert_eq!(may_send(&permitted()), Ok(()));
}

#[rstest::rstest]
#[case::after_end(|r: &mut RequestFacts| r.message_open = false, Violation::SentAfterEnd)]
#[case::late(|r: &mut RequestFacts| r.deadline = NOW - 0.1, Violation::SentAfterDeadline)]
#[case::twice(|r: &mut RequestFacts| r.non_idempotent = true, Violation::RepeatedNonIdempotent)]
#[case::forgotten(|r: &mut RequestFacts| r.idempotency_window = Some(499.9), Violation::RepeatedOutsideWindow)]
#[case::draining(|r: &mut RequestFacts| r.endpoint_available = false, Violation::SentToDrainingEndpoint)]
#[case::waiting(|r: &mut RequestFacts| r.retry_after_until = Some(NOW + 0.1), Violation::SentBeforeRetryAfter)]
fn each_rule_forbids_a_request(
    #[case] breaks: fn(&mut RequestFacts),
    #[case] violation: Violation,
) {
    let mut request = permitted();
    breaks(&mut request);
    let counter = ViolationCounter::default();
    assert!(!counter.clone().check(may_send(&request), "a request"));
    assert_eq!((counter.total(), counter.count(violation)), (1, 1));
}

#[test]
fn a_first_attempt_needs_no_window() {
    let request = RequestFacts {
        non_idempotent: true,
        first_possible_run: None,
        idempotency_window: Some(0.0),
        ..permitted()
    };
    assert_eq!(may_send(&request), Ok(()));
}

#[rstest::rstest]
#[case::answered(false, false, true)]
#[case::unanswered(true, false, false)]
#[case::client_left(true, true, true)]
fn a_connection_is_closed_once_nothing_is_owed(
    #[case] answer_pending: bool,
    #[case] client_left: bool,
    #[case] permitted: bool,
) {
    let facts = CloseFacts {
        answer_pending,
        client_left,
    };
    assert_eq!(may_close(facts).is_ok(), permitted);
}
