//! Each rule of the oracle is shown to fail on a small history, and to hold on the like one without the fault.

use super::*;
use crate::soak::history::ProcessEvent;

const ENDPOINT: usize = 0;
const DESTINATION: usize = 0;

fn record(at: Millis, message: &str, event: Event) -> Record {
    Record {
        at,
        sender: 0,
        message: message.into(),
        event,
    }
}

fn submitted(at: Millis, id: &str) -> [Record; 2] {
    let effect = crate::soak::world::Message::from_id(id).map_or(Effect::Idempotent, |m| m.effect);
    let timeout = 4_000.0;
    [
        record(
            at,
            id,
            Event::Submitted {
                effect,
                timeout,
                writing: 0.0,
            },
        ),
        record(at + 1.0, id, Event::Answered { status: 202 }),
    ]
}

fn request(at: Millis, id: &str) -> [Record; 2] {
    let (endpoint, destination) = (ENDPOINT, DESTINATION);
    [
        record(
            at,
            id,
            Event::RequestBegan {
                endpoint,
                destination,
            },
        ),
        record(
            at,
            id,
            Event::RequestArrived {
                endpoint,
                destination,
                intact: true,
                runs: true,
            },
        ),
    ]
}

fn responded(at: Millis, id: &str, status: u16, retry_after: Option<Millis>) -> Record {
    let destination = DESTINATION;
    record(
        at,
        id,
        Event::Responded {
            destination,
            status,
            retry_after,
        },
    )
}

fn reported(at: Millis, id: &str) -> Record {
    let status = "undeliverable".into();
    record(at, id, Event::Reported { status })
}

fn process(at: Millis, event: ProcessEvent) -> Record {
    record(at, "", Event::Process(event))
}

fn drained(at: Millis) -> Record {
    let (endpoint, active) = (ENDPOINT, false);
    record(at, "", Event::ListTold { endpoint, active })
}

/// The rules that a history breaks.
fn broken_rules(parts: &[&[Record]]) -> Vec<Rule> {
    let conditions = Conditions {
        lateness: 0.0,
        idempotency_window: 2_000.0,
        calls_failed: &|_, _| false,
        unconfirmed_until: &|_, _| None,
    };
    let (violations, _) = Oracle::new(conditions).judge(&parts.concat());
    violations.iter().map(|violation| violation.rule).collect()
}

#[test]
fn a_delivered_message_breaks_no_rule() {
    let parts: [&[Record]; 3] = [
        &submitted(0.0, "u1"),
        &request(10.0, "u1"),
        &[responded(20.0, "u1", 200, None)],
    ];
    assert_eq!(broken_rules(&parts), []);
}

#[test]
fn a_message_without_an_end_is_lost() {
    assert_eq!(broken_rules(&[&submitted(0.0, "u1")]), [Rule::Lost]);
    assert_eq!(
        broken_rules(&[&submitted(0.0, "u1"), &[reported(4_300.0, "u1")]]),
        []
    );
    assert_eq!(
        broken_rules(&[&submitted(0.0, "u1"), &[reported(4_400.0, "u1")]]),
        [Rule::Lost]
    );
}

#[test]
fn an_end_is_not_overdue_while_its_sender_restarts() {
    let restart = [
        process(4_000.0, ProcessEvent::Kill),
        process(4_000.0, ProcessEvent::Exited(None)),
        process(4_600.0, ProcessEvent::Started),
        process(4_700.0, ProcessEvent::Ready),
    ];
    let report = |at| [reported(at, "u1")];
    let judged = |at| broken_rules(&[&submitted(0.0, "u1"), &restart, &report(at)]);
    assert_eq!(judged(6_100.0), []);
    assert_eq!(judged(6_300.0), [Rule::Lost]);
}

#[test]
fn a_restart_in_the_time_that_the_platform_confirms_nothing_extends_it() {
    let records = [
        &submitted(0.0, "u1")[..],
        &[
            process(4_600.0, ProcessEvent::Kill),
            process(4_600.0, ProcessEvent::Exited(None)),
            process(5_200.0, ProcessEvent::Started),
            process(5_300.0, ProcessEvent::Ready),
            reported(6_500.0, "u1"),
        ],
    ]
    .concat();
    let judged = |unconfirmed: bool| {
        let conditions = Conditions {
            lateness: 0.0,
            idempotency_window: 2_000.0,
            calls_failed: &|_, _| false,
            unconfirmed_until: &|_, at| (unconfirmed && at < 4_500.0).then_some(4_500.0),
        };
        Oracle::new(conditions).judge(&records).0.len()
    };
    assert_eq!((judged(true), judged(false)), (0, 1));
}

#[rstest::rstest]
#[case::reported(&[reported(100.0, "k1")], 400.0, Rule::ForwardedAfterEnd)]
#[case::delivered(&[responded(100.0, "k1", 200, None)], 400.0, Rule::ForwardedAfterEnd)]
#[case::rejected(&[record(2.0, "k1", Event::Answered { status: 503 }), reported(5_000.0, "k1")], 50.0, Rule::ForwardedAfterRejection)]
#[case::late(&[reported(4_100.0, "k1")], 4_250.0, Rule::ForwardedLate)]
#[case::draining(&[drained(0.0), responded(1_300.0, "k1", 200, None)], 1_200.0, Rule::SentToDraining)]
#[case::waiting(&[responded(10.0, "k2", 429, Some(900.0)), responded(700.0, "k1", 200, None)], 600.0, Rule::RetryAfterIgnored)]
fn a_request_that_must_not_come(#[case] before: &[Record], #[case] at: Millis, #[case] rule: Rule) {
    let mut records = [&submitted(0.0, "k1")[..], before, &request(at, "k1")].concat();
    records.sort_by(|a, b| a.at.total_cmp(&b.at));
    assert!(broken_rules(&[&records]).contains(&rule));
}

#[rstest::rstest]
#[case::non_idempotent("u1", 100.0, Some(Rule::RepeatedNonIdempotent))]
#[case::keyed_in_its_window("k1", 2_000.0, None)]
#[case::keyed_behind_its_window("k1", 2_100.0, Some(Rule::RepeatedOutsideWindow))]
#[case::idempotent("i1", 3_000.0, None)]
fn a_repeat(#[case] id: &str, #[case] after: Millis, #[case] rule: Option<Rule>) {
    let parts: [&[Record]; 4] = [
        &submitted(0.0, id),
        &request(10.0, id),
        &request(10.0 + after, id),
        &[responded(3_500.0, id, 200, None)],
    ];
    assert_eq!(broken_rules(&parts), Vec::from_iter(rule));
}

#[test]
fn a_request_that_was_read_and_dropped_is_found_unless_its_sender_was_killed() {
    let end = [record(
        500.0,
        "u1",
        Event::Unanswered(NoAnswerReason::EndOfStream),
    )];
    assert_eq!(broken_rules(&[&end]), [Rule::ReadAndDropped]);
    let kill = [process(400.0, ProcessEvent::Kill)];
    assert_eq!(broken_rules(&[&kill, &end]), []);
    let shutdown = [process(400.0, ProcessEvent::Terminate)];
    assert_eq!(broken_rules(&[&shutdown, &end]), [Rule::ReadAndDropped]);
}

#[rstest::rstest]
#[case::by_itself(&[process(10.0, ProcessEvent::Exited(Some(0)))], Some(Rule::Crashed))]
#[case::told_to(&[process(5.0, ProcessEvent::Terminate), process(10.0, ProcessEvent::Exited(Some(0)))], None)]
#[case::told_to_but_failed(&[process(5.0, ProcessEvent::Terminate), process(10.0, ProcessEvent::Exited(Some(101)))], Some(Rule::Crashed))]
#[case::killed(&[process(5.0, ProcessEvent::Kill), process(10.0, ProcessEvent::Exited(None))], None)]
#[case::too_late(&[process(5.0, ProcessEvent::Terminate), process(3_705.0, ProcessEvent::Kill), process(3_710.0, ProcessEvent::Exited(None))], Some(Rule::ExitedLate))]
fn the_end_of_a_process(#[case] records: &[Record], #[case] rule: Option<Rule>) {
    assert_eq!(broken_rules(&[records]), Vec::from_iter(rule));
}

#[test]
fn a_report_well_behind_the_delivery_is_a_second_end() {
    let parts: [&[Record]; 3] = [
        &submitted(0.0, "i1"),
        &request(10.0, "i1"),
        &[responded(20.0, "i1", 200, None), reported(900.0, "i1")],
    ];
    assert_eq!(broken_rules(&parts), [Rule::TwoEnds]);
}

/// An answer that is written behind its message's time counts for nothing: the message is owed its report.
#[rstest::rstest]
#[case::in_time(3_999.0, false, None)]
#[case::behind_its_time(4_001.0, false, Some(Rule::Lost))]
#[case::behind_its_time_and_reported(4_001.0, true, None)]
#[case::in_the_last_moment_and_reported(3_990.0, true, None)]
fn an_answer_as_the_time_runs_out(
    #[case] answered_at: Millis,
    #[case] is_reported: bool,
    #[case] rule: Option<Rule>,
) {
    let report = [reported(4_300.0, "u1")];
    let parts: [&[Record]; 4] = [
        &submitted(0.0, "u1"),
        &request(10.0, "u1"),
        &[responded(answered_at, "u1", 200, None)],
        if is_reported { &report } else { &[] },
    ];
    assert_eq!(broken_rules(&parts), Vec::from_iter(rule));
}

/// A report from before the client heard that its message is accepted counts for nothing.
#[test]
fn a_message_that_is_handed_in_again_behind_its_report_is_owed_another() {
    let first = [submitted(0.0, "u1")[0].clone()];
    let again = submitted(5_000.0, "u1");
    let parts = |last: &[Record]| broken_rules(&[&first, &[reported(4_000.0, "u1")], &again, last]);
    assert_eq!(parts(&[]), [Rule::Lost]);
    assert_eq!(parts(&[reported(5_002.0, "u1")]), []);
}

/// An end that falls into a long pause of its sender is due behind that, and one behind it as ever.
#[test]
fn a_long_pause_excuses_what_falls_into_it() {
    let judged = |paused_at: Millis, ended_at: Millis| {
        let pause = [
            process(paused_at, ProcessEvent::Pause),
            process(paused_at + 390.0, ProcessEvent::Continue),
        ];
        broken_rules(&[&submitted(0.0, "u1"), &pause, &[reported(ended_at, "u1")]])
    };
    assert_eq!(judged(4_100.0, 4_700.0), []);
    assert_eq!(judged(4_100.0, 4_900.0), [Rule::Lost]);
    assert_eq!(judged(3_000.0, 4_700.0), [Rule::Lost]);
}

/// A key that holds in one zone stops no repeat in another.
#[rstest::rstest]
#[case::in_the_same_zone("z1", ENDPOINT, None)]
#[case::in_the_other_zone("z1", ENDPOINT + 1, Some(Rule::RepeatedInOtherZone))]
#[case::of_a_key_that_holds_everywhere("k1", ENDPOINT + 1, None)]
fn a_repeat_at_an_endpoint(#[case] id: &str, #[case] endpoint: usize, #[case] rule: Option<Rule>) {
    let mut repeat = request(20.0, id);
    repeat[1].event = Event::RequestArrived {
        endpoint,
        destination: DESTINATION,
        intact: true,
        runs: true,
    };
    let parts: [&[Record]; 4] = [
        &submitted(0.0, id),
        &request(10.0, id),
        &repeat,
        &[responded(30.0, id, 200, None)],
    ];
    assert_eq!(broken_rules(&parts), Vec::from_iter(rule));
}

/// A process that is stopped for longer than the platform does may take as much longer to end, and no other.
#[rstest::rstest]
#[case::for_long(300.0, &[])]
#[case::as_the_platform_does(150.0, &[Rule::ExitedLate])]
fn a_process_that_was_stopped_as_it_was_told_to_end(#[case] span: Millis, #[case] rules: &[Rule]) {
    let records = [
        process(0.0, ProcessEvent::Pause),
        process(5.0, ProcessEvent::Terminate),
        process(span, ProcessEvent::Continue),
        process(3_705.0, ProcessEvent::Kill),
        process(3_710.0, ProcessEvent::Exited(None)),
    ];
    assert_eq!(broken_rules(&[&records]), rules);
}

/// The report of an answer in a message's last moment may be sent again with the message, which is no second end.
#[test]
fn a_message_answered_in_its_last_moment_may_be_reported_whenever_it_comes_again() {
    let first = [submitted(0.0, "u1")[0].clone()];
    let parts: [&[Record]; 5] = [
        &first,
        &request(10.0, "u1"),
        &[responded(3_999.0, "u1", 200, None)],
        &submitted(4_400.0, "u1"),
        &[reported(4_402.0, "u1")],
    ];
    assert_eq!(broken_rules(&parts), []);
}

/// A client that was held up as it wrote its request handed it in at an instant that nobody knows.
#[test]
fn the_time_of_a_message_may_begin_as_late_as_its_client_had_written_it() {
    let judged = |writing: Millis| {
        let (effect, timeout) = (Effect::NonIdempotent, 4_000.0);
        let slow = Event::Submitted {
            effect,
            timeout,
            writing,
        };
        let answered = Event::Answered { status: 202 };
        broken_rules(&[
            &[record(0.0, "u1", slow), record(101.0, "u1", answered)],
            &request(102.0, "u1"),
            &[responded(4_003.0, "u1", 200, None)],
        ])
    };
    assert_eq!(judged(100.0), []);
    assert_eq!(judged(1.0), [Rule::Lost]);
}
