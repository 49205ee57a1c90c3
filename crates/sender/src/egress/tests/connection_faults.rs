//! Tests of the detection of stale connections and connection resets.

use super::super::connection_faults::{ResetDetector, StaleConnectionDetector};

#[test]
fn idle_connections_are_suspected_after_two_stale_ones_until_enough_responses_arrive() {
    let mut detector = StaleConnectionDetector::default();
    detector.record_stale(200.0);
    assert_eq!(detector.max_safe_idle(), f64::INFINITY, "one may be chance");
    detector.record_stale(100.0);
    assert_eq!(
        detector.max_safe_idle(),
        80.0,
        "80 % of the shorter idle time"
    );
    detector.record_response(70.0);
    assert_eq!(
        detector.max_safe_idle(),
        80.0,
        "a shorter idle time changes nothing"
    );
    detector.record_response(90.0);
    assert_eq!(
        detector.max_safe_idle(),
        80.0 * 1.01,
        "a longer idle time was safe"
    );
    (0..70).for_each(|_| detector.record_response(0.0));
    assert_eq!(
        detector.max_safe_idle(),
        f64::INFINITY,
        "idle connections are trusted again"
    );
}

#[test]
fn another_reset_is_expected_after_one_until_enough_responses_arrive() {
    let mut detector = ResetDetector::default();
    assert!(!detector.expects_reset());
    detector.record_reset();
    assert!(detector.expects_reset());
    (0..34).for_each(|_| detector.record_response());
    assert!(detector.expects_reset());
    detector.record_response();
    assert!(!detector.expects_reset());
}
