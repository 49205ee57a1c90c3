//! Tests of the detection of stale connections and of resets.

use super::super::connection_faults::{ResetDetector, StaleConnectionDetector};

#[test]
fn two_stale_connections_make_idle_ones_suspect_until_enough_responses_came() {
    let mut detector = StaleConnectionDetector::default();
    detector.record_stale(200.0);
    assert_eq!(detector.max_safe_idle(), f64::INFINITY, "one is chance");
    detector.record_stale(100.0);
    assert_eq!(detector.max_safe_idle(), 80.0, "below the shorter one");
    detector.record_response(70.0);
    assert_eq!(detector.max_safe_idle(), 80.0, "it says nothing new");
    detector.record_response(90.0);
    assert_eq!(
        detector.max_safe_idle(),
        80.0 * 1.01,
        "a longer time was safe"
    );
    (0..70).for_each(|_| detector.record_response(0.0));
    assert_eq!(detector.max_safe_idle(), f64::INFINITY, "trusted again");
}

#[test]
fn a_reset_is_expected_after_one_until_enough_responses_came() {
    let mut detector = ResetDetector::default();
    assert!(!detector.expects_reset());
    detector.record_reset();
    assert!(detector.expects_reset());
    (0..34).for_each(|_| detector.record_response());
    assert!(detector.expects_reset());
    detector.record_response();
    assert!(!detector.expects_reset());
}
