//! Random load on a sender whose endpoints, platform or clients write some messages twice. The seeds are printed.
//!
//! `MARTENLATCH_WORKLOAD_SECONDS` makes the runs longer, `MARTENLATCH_WORKLOAD_SEED` changes their seeds.

mod support;
use support::*;

use rstest::rstest;

/// Endpoints that write 30% of their answers again, up to 50 ms later.
fn copies(copies: Copies) -> Workload {
    Workload {
        copies,
        share: 0.3,
        ..Workload::default()
    }
}

/// Guards against losing messages and running non-idempotent ones twice when endpoints, the platform, clients, or something
/// before them, write anything more than once.
#[rstest]
#[case::nothing(Workload::default())]
#[case::successes_soon(Workload { share: 0.05, span: 10.0, ..copies(Copies::Successes) })]
#[case::successes(copies(Copies::Successes))]
#[case::successes_late(Workload { span: 500.0, ..copies(Copies::Successes) })]
#[case::any_answer(copies(Copies::AnyAnswer))]
#[case::any_answer_late(Workload { span: 500.0, ..copies(Copies::AnyAnswer) })]
#[case::one_of_the_last_three(copies(Copies::OneOfLastThree))]
#[case::first_bytes(copies(Copies::FirstBytes))]
#[case::distinct_answers(Workload { distinct_answers: true, ..copies(Copies::AnyAnswer) })]
#[case::distinct_first_bytes(Workload { distinct_answers: true, ..copies(Copies::FirstBytes) })]
#[case::with_kills(Workload { interruptions: Interruptions::Kills, ..copies(Copies::AnyAnswer) })]
#[case::no_service_time(Workload { service: 0.0, ..copies(Copies::AnyAnswer) })]
#[case::junk(copies(Copies::Junk))]
#[case::slow_answers(Workload { slow_share: 0.01, ..copies(Copies::AnyAnswer) })]
#[case::slow_answers_late(Workload { slow_share: 0.01, span: 500.0, ..copies(Copies::AnyAnswer) })]
#[case::unreliable_platform(Workload { unreliable_platform: true, failed_share: 0.4, ..Workload::default() })]
#[case::repeated_requests(Workload { repeated_requests: 0.2, ..Workload::default() })]
#[case::repeated_requests_and_answers(Workload { repeated_requests: 0.2, ..copies(Copies::AnyAnswer) })]
fn each_message_has_one_end_when_answers_are_repeated(#[case] usual: Workload) {
    let workload = usual.with_environment();
    let name = case_name(&format!("{workload:?}"));
    let tally = workload.run(&name);
    println!("{workload:?} {tally:?}");
    assert!(
        tally.lost.is_empty() && tally.run_twice.is_empty(),
        "{tally:?}"
    );
}
