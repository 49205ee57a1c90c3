//! A short soak of real senders on fixed seeds. The seeds are printed; `martenlatch-lab soak --seed N` plays one again.

use std::sync::atomic::AtomicBool;

use martenlatch_clock::Millis;
use martenlatch_lab::soak::{self, Options};
use martenlatch_lab::sockets;

/// Each plays another schedule of faults.
const SEEDS: [u64; 4] = [3, 14, 18, 103];
const SECONDS: f64 = 12.0;
const PROCESSES: usize = 10;
/// Limits on time are longer by this, so that a busy machine makes no verdict.
const SLACK: Millis = 1_500.0;

#[test]
fn no_invariant_is_broken_under_faults_that_overlap() {
    for seed in SEEDS {
        let options = Options {
            seed,
            seconds: SECONDS,
            processes: PROCESSES,
            program: sockets::default_sender_program(),
            slack: SLACK,
            keep_wall_clock: false,
        };
        let played = soak::soak(&options, &AtomicBool::new(false)).unwrap();
        println!("seed {seed}: {:?}", played.figures);
        for violation in &played.violations {
            println!("{violation}");
            for record in played.timeline(violation) {
                println!("    {record}");
            }
            for line in played.sender_log(violation) {
                println!("    log: {line}");
            }
        }
        assert!(played.violations.is_empty(), "seed {seed}");
        assert!(played.figures.delivered > 0 && played.figures.restarts > 0);
    }
}
