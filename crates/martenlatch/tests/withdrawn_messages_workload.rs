//! Random load on a sender whose endpoints answer 410 for some messages. The seeds are printed.
//!
//! `MARTENLATCH_WORKLOAD_SECONDS` makes the runs longer, `MARTENLATCH_WORKLOAD_SEED` changes their seeds,
//! `MARTENLATCH_READING_MS` the time within which the sender must have read an answer.

mod support;
use support::*;

use rstest::rstest;
use std::time::Duration;

/// A load in which many messages are over, some of them only when they are sent again.
fn load(withdrawals: Withdrawals) -> Workload {
    Workload {
        duration: Duration::from_secs(3),
        service: 30.0,
        withdrawals: Withdrawals {
            at_once: 0.25,
            later: 0.4,
            ..withdrawals
        },
        ..Workload::default()
    }
}

const WHOLE: Withdrawals = Withdrawals {
    at_once: 0.0,
    later: 0.0,
    ended: 0.0,
    reset: 0.0,
    copied: 0.0,
    cut_off: 0.0,
    in_pieces: 0.0,
};
const ENDED: Withdrawals = Withdrawals {
    ended: 0.3,
    ..WHOLE
};
const MIXED: Withdrawals = Withdrawals {
    ended: 0.15,
    reset: 0.1,
    copied: 0.15,
    cut_off: 0.15,
    in_pieces: 0.15,
    ..WHOLE
};

/// Guards against requests for messages that are over, and against losing messages by answers that say so for others.
#[rstest]
#[case::nothing(load(WHOLE))]
#[case::ends(load(ENDED))]
#[case::resets(load(Withdrawals { reset: 0.3, ..WHOLE }))]
#[case::copies(load(Withdrawals { copied: 0.2, ..WHOLE }))]
#[case::hanging_requests(Workload { hanging_share: 0.2, ..load(WHOLE) })]
#[case::hanging_requests_and_pieces(Workload { hanging_share: 0.2, ..load(Withdrawals { in_pieces: 1.0, ..WHOLE }) })]
#[case::hanging_and_refused_requests(Workload { hanging_share: 0.3, rejected_share: 0.5, ..load(WHOLE) })]
#[case::cut_off(load(Withdrawals { cut_off: 0.3, ..WHOLE }))]
#[case::replacements(Workload { interruptions: Interruptions::Replacements, ..load(WHOLE) })]
#[case::kills(Workload { interruptions: Interruptions::Kills, ..load(WHOLE) })]
#[case::kills_and_ends(Workload { interruptions: Interruptions::Kills, ..load(ENDED) })]
#[case::kills_and_copies(Workload { interruptions: Interruptions::Kills, ..load(Withdrawals { copied: 0.2, ..WHOLE }) })]
#[case::terminations(Workload { interruptions: Interruptions::Terminations, ..load(WHOLE) })]
#[case::everything(Workload { interruptions: Interruptions::Replacements, hanging_share: 0.1, ..load(MIXED) })]
#[case::everything_with_copies_of_all_answers(Workload {
    interruptions: Interruptions::Kills, copies: Copies::AnyAnswer, share: 0.2, ..load(MIXED)
})]
fn no_request_follows_a_410(#[case] usual: Workload) {
    let workload = usual.with_environment();
    let name = case_name(&format!("gone-load{workload:?}"));
    let tally = workload.run(&name);
    println!("{workload:?} {tally:?}");
    assert!(
        tally.lost.is_empty() && tally.run_twice.is_empty() && tally.sent_after_end.is_empty(),
        "{tally:?}"
    );
}
