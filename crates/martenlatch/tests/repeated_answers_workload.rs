//! Random load on a sender whose endpoints write some answers twice. The seeds are printed.
//!
//! `MARTENLATCH_WORKLOAD_SECONDS` makes the runs longer, `MARTENLATCH_WORKLOAD_SEED` changes their seeds.

mod support;
use support::*;

use rstest::rstest;
use std::time::Duration;

/// How long messages are submitted.
const USUAL_SECONDS: u64 = 4;

fn from_environment(name: &str, usual: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// Guards against losing messages and running non-idempotent ones twice when endpoints, or something before them, write
/// answers more than once.
#[rstest]
#[case::nothing(Copies::Nothing, 0.0, 50.0, false, false, 60.0)]
#[case::successes_soon(Copies::Successes, 0.05, 10.0, false, false, 60.0)]
#[case::successes(Copies::Successes, 0.3, 50.0, false, false, 60.0)]
#[case::successes_late(Copies::Successes, 0.3, 500.0, false, false, 60.0)]
#[case::any_answer(Copies::AnyAnswer, 0.3, 50.0, false, false, 60.0)]
#[case::any_answer_late(Copies::AnyAnswer, 0.3, 500.0, false, false, 60.0)]
#[case::one_of_the_last_three(Copies::OneOfLastThree, 0.3, 50.0, false, false, 60.0)]
#[case::first_bytes(Copies::FirstBytes, 0.3, 50.0, false, false, 60.0)]
#[case::distinct_answers(Copies::AnyAnswer, 0.3, 50.0, false, true, 60.0)]
#[case::distinct_first_bytes(Copies::FirstBytes, 0.3, 50.0, false, true, 60.0)]
#[case::with_kills(Copies::AnyAnswer, 0.3, 50.0, true, false, 60.0)]
#[case::no_service_time(Copies::AnyAnswer, 0.3, 50.0, false, false, 0.0)]
#[case::junk(Copies::Junk, 0.3, 50.0, false, false, 60.0)]
fn each_message_has_one_end_when_answers_are_repeated(
    #[case] copies: Copies,
    #[case] share: f64,
    #[case] span: f64,
    #[case] kills: bool,
    #[case] distinct_answers: bool,
    #[case] service: f64,
) {
    let seconds = from_environment("MARTENLATCH_WORKLOAD_SECONDS", USUAL_SECONDS);
    let workload = Workload {
        seed: from_environment("MARTENLATCH_WORKLOAD_SEED", 1),
        copies,
        share,
        span,
        duration: Duration::from_secs(seconds),
        kills,
        service,
        distinct_answers,
    };
    let name = case_name(&format!("{workload:?}"));
    let tally = workload.run(&name);
    println!(
        "{copies:?} {share} {span} kills={kills} distinct={distinct_answers} service={service} {tally:?}"
    );
    assert!(
        tally.lost.is_empty() && tally.run_twice.is_empty(),
        "{tally:?}"
    );
}
