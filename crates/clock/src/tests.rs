//! Manual clocks, and the conversion of their time.

use super::*;

#[test]
fn a_manual_clock_moves_only_when_set_and_its_time_survives_conversion() {
    let clock = Clock::at(1_796_121_600_000.25);
    // An f64 of Unix milliseconds is good to a quarter of a microsecond.
    assert!(nanos(clock.now()).abs_diff(1_796_121_600_000_250_000) < 500);
    clock.set(1_796_121_600_016.0);
    assert_eq!(millis(nanos(clock.now())), clock.now());
    assert_eq!(nanos(-1.0), 0);
}
