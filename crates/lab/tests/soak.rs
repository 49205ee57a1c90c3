//! Short soaks of real senders with fixed seeds. The seeds are printed; `martenlatch-lab soak --seed N` repeats one.

use std::sync::atomic::AtomicBool;

use martenlatch_clock::Millis;
use martenlatch_lab::soak::{self, Options};
use martenlatch_lab::sockets;

/// Each seed gives a different schedule of faults.
const SEEDS: [u64; 4] = [3, 14, 18, 103];
const SECONDS: f64 = 12.0;
const PROCESSES: usize = 10;
/// Extends the time limits, so that a busy machine alone causes no violation.
const SLACK: Millis = 1_500.0;

#[test]
fn overlapping_faults_break_no_invariant() {
    for seed in SEEDS {
        let options = Options {
            seed,
            seconds: SECONDS,
            processes: PROCESSES,
            program: sockets::default_sender_program(),
            slack: SLACK,
            keep_wall_clock: false,
        };
        let result = soak::soak(&options, &AtomicBool::new(false)).unwrap();
        println!("seed {seed}: {:?}", result.figures);
        for violation in &result.violations {
            println!("{violation}");
            for record in result.timeline(violation) {
                println!("    {record}");
            }
            for line in result.sender_log(violation) {
                println!("    log: {line}");
            }
        }
        assert!(result.violations.is_empty(), "seed {seed}");
        assert!(result.figures.delivered > 0 && result.figures.restarts > 0);
    }
}
