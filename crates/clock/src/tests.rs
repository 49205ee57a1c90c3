//! Manual clocks, the conversion of their time, and clocks that continue across restarts, reboots and takeovers.

use super::*;

#[test]
fn a_manual_clock_moves_only_when_set_and_its_time_survives_conversion() {
    let clock = Clock::manual(1_796_121_600_000.25);
    // An f64 of Unix milliseconds is accurate to a quarter of a microsecond.
    assert!(nanos(clock.now()).abs_diff(1_796_121_600_000_250_000) < 500);
    clock.set(1_796_121_600_016.0);
    assert_eq!(millis(nanos(clock.now())), clock.now());
    assert_eq!(nanos(-1.0), 0);
}

mod wall_clock_steps {
    use proptest::prelude::*;

    use super::*;

    /// The times between the starts of two processes, in milliseconds.
    #[derive(Clone, Debug)]
    struct Gap {
        /// How long the first process runs.
        run: Millis,
        /// How long no process runs after that.
        pause: Millis,
        /// How far the wall clock is stepped in the meantime.
        wall_step: Millis,
    }

    fn gaps() -> impl Strategy<Value = Vec<Gap>> {
        let wall_step = prop_oneof![
            Just(0.0),
            Just(3_600e3),
            Just(-3_600e3),
            -10_000.0..10_000.0f64
        ];
        let gap = (0.0..5_000.0f64, 0.0..5_000.0f64, wall_step);
        let gap = gap.prop_map(|(run, pause, wall_step)| Gap {
            run,
            pause,
            wall_step,
        });
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
        /// Within one boot, the difference of any two instants is the time that has passed between them, whatever the
        /// wall clock does: deadlines, windows and waits are the same as without steps.
        #[test]
        fn differences_across_restarts_equal_the_time_that_has_passed(gaps in gaps()) {
            let (mut passed, mut wall_offset) = (0.0, 0.0);
            let mut history = ClockHistory::default();
            let first = history.continue_with(&reading(passed, wall_offset)).instant;
            for gap in gaps {
                let reading = reading(passed, wall_offset);
                let start = history.continue_with(&reading);
                prop_assert!(start.is_continuous);
                prop_assert!((start.instant - first - passed).abs() < 0.01, "{start:?}");
                history = ClockHistory {
                    anchor: Some(Anchor { boot: BOOT, since_boot: reading.since_boot, clock: start.instant }),
                    latest_instant: start.instant + gap.run,
                };
                passed += gap.run + gap.pause;
                wall_offset += gap.wall_step;
            }
        }

        /// After a reboot the clock does not go back, and is not continuous.
        #[test]
        fn the_clock_is_not_continuous_after_a_reboot(wall_step in -1e7..1e7f64, latest in 0.0..5_000.0f64) {
            let before = reading(0.0, 0.0);
            let anchor = Anchor { boot: BOOT, since_boot: before.since_boot, clock: before.wall };
            let history = ClockHistory { anchor: Some(anchor), latest_instant: before.wall + latest };
            let rebooted = ClockReading { boot: Some(BootId(8)), ..reading(5_000.0, wall_step) };
            let start = history.continue_with(&rebooted);
            prop_assert!(!start.is_continuous && start.instant >= history.latest_instant);
        }
    }

    #[test]
    fn a_clock_without_an_anchor_is_continuous_only_if_there_was_no_earlier_process() {
        let without_anchor = ClockHistory {
            anchor: None,
            latest_instant: 5.0,
        };
        assert!(
            !without_anchor
                .continue_with(&reading(0.0, 0.0))
                .is_continuous
        );
        let no_history = ClockHistory::default();
        assert!(no_history.continue_with(&reading(0.0, 0.0)).is_continuous);
    }

    #[test]
    fn the_clock_is_not_continuous_if_the_time_since_boot_went_back() {
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
fn the_system_clock_continues_across_a_restart() {
    let first = Clock::system();
    let history = ClockHistory {
        anchor: first.anchor(),
        latest_instant: first.now(),
    };
    assert!(history.anchor.is_some(), "the system identifies its boots");
    let second = Clock::continuing(&history);
    assert!(second.is_continuous());
    assert!((second.now() - first.now()).abs() < 5_000.0);
}

#[test]
fn a_successor_starts_from_the_instant_of_its_predecessor() {
    let clock = Clock::system();
    let ahead = clock.now() + 500.0;
    assert!(clock.taking_over(ahead).now() >= ahead);
    let not_continuous = Clock::continuing(&ClockHistory {
        anchor: None,
        latest_instant: 5.0,
    });
    let long_ago = not_continuous.now() - 1e6;
    let successor = not_continuous.taking_over(long_ago).now();
    assert!((long_ago..long_ago + 60_000.0).contains(&successor));
}
