//! Manual clocks, and the conversion of their time.

use super::*;

#[test]
fn a_manual_clock_moves_only_when_set_and_its_time_survives_conversion() {
    let clock = Clock::manual(1_796_121_600_000.25);
    // An f64 of Unix milliseconds is good to a quarter of a microsecond.
    assert!(nanos(clock.now()).abs_diff(1_796_121_600_000_250_000) < 500);
    clock.set(1_796_121_600_016.0);
    assert_eq!(millis(nanos(clock.now())), clock.now());
    assert_eq!(nanos(-1.0), 0);
}

mod steps {
    use proptest::prelude::*;

    use super::*;

    /// What happens between two starts of processes.
    #[derive(Clone, Debug)]
    struct Gap {
        /// How long the process before runs, and how long none does, in milliseconds.
        runs: Millis,
        pause: Millis,
        /// By how much the wall clock is stepped meanwhile.
        step: Millis,
    }

    fn gaps() -> impl Strategy<Value = Vec<Gap>> {
        let step = prop_oneof![
            Just(0.0),
            Just(3_600e3),
            Just(-3_600e3),
            -10_000.0..10_000.0f64
        ];
        let gap = (0.0..5_000.0f64, 0.0..5_000.0f64, step);
        let gap = gap.prop_map(|(runs, pause, step)| Gap { runs, pause, step });
        proptest::collection::vec(gap, 1..12)
    }

    const BOOT: BootId = BootId(7);

    fn reading(passed: Millis, wall_offset: Millis) -> ClockReading {
        ClockReading {
            boot: Some(BOOT),
            since_boot: 1_000.0 + passed,
            wall: 1_796_121_600_000.0 + passed + wall_offset,
        }
    }

    proptest! {
        /// On one boot, the distance of any two instants is the time that has passed between them, whatever the wall
        /// clock does: deadlines, windows and waits come out as with no step.
        #[test]
        fn spans_over_restarts_are_those_of_real_time(gaps in gaps()) {
            let (mut passed, mut offset) = (0.0, 0.0);
            let mut history = ClockHistory::default();
            let first = history.continue_with(&reading(passed, offset)).instant;
            for gap in gaps {
                let reading = reading(passed, offset);
                let start = history.continue_with(&reading);
                prop_assert!(start.is_continuous);
                prop_assert!((start.instant - first - passed).abs() < 0.01, "{start:?}");
                history = ClockHistory {
                    anchor: Some(Anchor { boot: BOOT, since_boot: reading.since_boot, clock: start.instant }),
                    latest_instant: start.instant + gap.runs,
                };
                passed += gap.runs + gap.pause;
                offset += gap.step;
            }
        }

        /// On another boot the clock does not go back, and claims nothing of the time that has passed.
        #[test]
        fn another_boot_proves_nothing(step in -1e7..1e7f64, latest in 0.0..5_000.0f64) {
            let before = reading(0.0, 0.0);
            let anchor = Anchor { boot: BOOT, since_boot: before.since_boot, clock: before.wall };
            let history = ClockHistory { anchor: Some(anchor), latest_instant: before.wall + latest };
            let rebooted = ClockReading { boot: Some(BootId(8)), ..reading(5_000.0, step) };
            let start = history.continue_with(&rebooted);
            prop_assert!(!start.is_continuous && start.instant >= history.latest_instant);
        }
    }

    #[test]
    fn a_log_without_an_anchor_proves_nothing_and_no_log_needs_none() {
        let old = ClockHistory {
            anchor: None,
            latest_instant: 5.0,
        };
        assert!(!old.continue_with(&reading(0.0, 0.0)).is_continuous);
        let none = ClockHistory::default();
        assert!(none.continue_with(&reading(0.0, 0.0)).is_continuous);
    }

    #[test]
    fn a_clock_since_boot_that_went_back_is_not_trusted() {
        let anchor = Anchor {
            boot: BOOT,
            since_boot: 9_000.0,
            clock: 5.0,
        };
        let history = ClockHistory {
            anchor: Some(anchor),
            latest_instant: 5.0,
        };
        assert!(!history.continue_with(&reading(0.0, 0.0)).is_continuous);
    }
}

#[test]
fn the_clocks_of_the_system_go_on_over_a_restart() {
    let first = Clock::system();
    let history = ClockHistory {
        anchor: first.anchor(),
        latest_instant: first.now(),
    };
    assert!(history.anchor.is_some(), "the system tells its boots apart");
    let second = Clock::continuing(&history);
    assert!(second.is_continuous());
    assert!((second.now() - first.now()).abs() < 5_000.0);
}

#[test]
fn a_successor_goes_on_from_the_instant_of_its_predecessor() {
    let clock = Clock::system();
    let ahead = clock.now() + 500.0;
    assert!(clock.taking_over(ahead).now() >= ahead);
    let unproven = Clock::continuing(&ClockHistory {
        anchor: None,
        latest_instant: 5.0,
    });
    let long_ago = unproven.now() - 1e6;
    let successor = unproven.taking_over(long_ago).now();
    assert!((long_ago..long_ago + 60_000.0).contains(&successor));
}
