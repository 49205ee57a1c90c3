//! The limit on the lines a second.

use super::*;

#[test]
fn lines_over_the_limit_are_held_back_and_reported_in_the_next_second() {
    let limit = RateLimit::new(2);
    let admissions: Vec<Admission> = (0..5).map(|_| limit.admit(7)).collect();
    let admitted = admissions.iter().filter(|line| line.admitted);
    assert_eq!(admitted.count(), 2);
    let first_of_next_second = Admission {
        admitted: true,
        held_back_before: 3,
    };
    assert_eq!(limit.admit(8), first_of_next_second);
    let second_of_next_second = Admission {
        admitted: true,
        held_back_before: 0,
    };
    assert_eq!(limit.admit(8), second_of_next_second);
}

/// Guards against a trace that the event loop's own lines crowd out.
#[test]
fn at_trace_only_our_own_crates_are_traced() {
    let traced = targets(Level::Trace);
    assert!(traced.would_enable("martenlatch_http::socket_trace", &tracing::Level::TRACE));
    assert!(!traced.would_enable("calloop::loop_logic", &tracing::Level::TRACE));
    let usual = targets(Level::Info);
    assert!(usual.would_enable("martenlatch_sender", &tracing::Level::INFO));
    assert!(!usual.would_enable("martenlatch_sender", &tracing::Level::DEBUG));
}
