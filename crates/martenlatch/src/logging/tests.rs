//! The limit on the lines per second, and the levels of libraries.

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

/// Guards against a trace log that is filled by the lines of the event loop's library.
#[test]
fn at_level_trace_only_the_crates_of_this_workspace_are_logged_at_trace() {
    let trace_targets = targets(Level::Trace);
    assert!(trace_targets.would_enable("martenlatch_http::socket_trace", &tracing::Level::TRACE));
    assert!(!trace_targets.would_enable("calloop::loop_logic", &tracing::Level::TRACE));
    let info_targets = targets(Level::Info);
    assert!(info_targets.would_enable("martenlatch_sender", &tracing::Level::INFO));
    assert!(!info_targets.would_enable("martenlatch_sender", &tracing::Level::DEBUG));
}
