//! Messages that an endpoint answers with 410: they are over, so no further request for them may be sent.

mod support;
use support::*;

use rstest::rstest;
use std::time::Duration;

/// The time of each message, which its client sends.
const TIMEOUT_HEADER: &str = "2.0";
/// When no further request or status report is expected.
const QUIET_TIME: Duration = Duration::from_millis(3_500);
/// How long the endpoint takes for an answer, and the time between two of its writes, in milliseconds.
const SERVICE: u64 = 40;
const LATER: u64 = SERVICE + 15;
const GONE: &str = "HTTP/1.1 410 Gone\r\nContent-Length: 4\r\n\r\ngone";

/// What the endpoint writes for the second message, whose answer has the bytes of the first one's.
#[derive(Clone, Copy, Debug)]
enum SecondAnswer {
    /// The answer, and nothing more.
    Alone,
    /// The answer, and the end of the connection behind it.
    End,
    /// The answer, and a reset of the connection behind it.
    Reset,
    /// The answer twice.
    Twice,
    /// Only so many bytes of it, and the end of the connection.
    CutOff(usize),
}

fn writes_of(answer: SecondAnswer) -> Vec<TimedWrite> {
    let ending = |delay, bytes, then| TimedWrite {
        then,
        ..TimedWrite::after(delay, bytes)
    };
    let closing = |delay, bytes| ending(delay, bytes, AfterWrite::Close);
    match answer {
        SecondAnswer::Alone => vec![TimedWrite::after(SERVICE, GONE)],
        SecondAnswer::End => vec![TimedWrite::after(SERVICE, GONE), closing(LATER, "")],
        SecondAnswer::Reset => vec![
            TimedWrite::after(SERVICE, GONE),
            ending(LATER, "", AfterWrite::Reset),
        ],
        SecondAnswer::Twice => vec![
            TimedWrite::after(SERVICE, GONE),
            TimedWrite::after(LATER, GONE),
        ],
        SecondAnswer::CutOff(length) => vec![closing(SERVICE, &GONE[..length])],
    }
}

/// An endpoint for which all messages are over; it answers the second one in its own way.
fn endpoint_without_messages(answer: SecondAnswer) -> TimedEndpoint {
    TimedEndpoint::new(move |request| match request.id() {
        "second" => writes_of(answer),
        "slow" => vec![TimedWrite::after(10 * SERVICE, GONE)],
        _ => vec![TimedWrite::after(SERVICE, GONE)],
    })
}

fn start_sender(test: &str, endpoint: &TimedEndpoint, platform: &Platform) -> Sender {
    let entry = endpoint_entry("s-1", endpoint.address, "in_service");
    Sender::start(test, platform, &endpoint_list(1, true, &[entry]))
}

/// Submits two messages that may be sent again, one after the other. Returns when the second one has been answered.
fn submit_two(sender: &Sender) {
    for id in ["first", "second"] {
        assert_eq!(sender.submit("meter", id, TIMEOUT_HEADER), 202);
        std::thread::sleep(Duration::from_millis(LATER + 20));
    }
}

/// Waits until nothing more happens, and counts the requests for the second message.
fn requests_for_second(endpoint: &TimedEndpoint) -> usize {
    std::thread::sleep(QUIET_TIME);
    let requests = endpoint.requests.try_iter();
    requests.filter(|request| request.id() == "second").count()
}

/// Guards against a request for a message that is over: its 410 had the bytes of an earlier one or was cut off, and the
/// end of the connection or a second 410 opened the message again.
#[rstest]
#[case::nothing(SecondAnswer::Alone)]
#[case::end_of_the_connection(SecondAnswer::End)]
#[case::reset_of_the_connection(SecondAnswer::Reset)]
#[case::second_answer(SecondAnswer::Twice)]
#[case::cut_off_in_its_status_code(SecondAnswer::CutOff("HTTP/1.1 4".len()))]
#[case::cut_off_in_its_status_line(SecondAnswer::CutOff("HTTP/1.1 410 G".len()))]
#[case::cut_off_in_its_head(SecondAnswer::CutOff("HTTP/1.1 410 Gone\r\nContent".len()))]
#[case::cut_off_in_its_body(SecondAnswer::CutOff(GONE.len() - 1))]
fn a_message_answered_with_410_is_not_sent_again_whatever_follows(#[case] answer: SecondAnswer) {
    let endpoint = endpoint_without_messages(answer);
    let platform = Platform::new(&[]);
    let test = case_name(&format!("gone{answer:?}"));
    let sender = start_sender(&test, &endpoint, &platform);
    submit_two(&sender);
    assert_eq!(requests_for_second(&endpoint), 1);
}

/// What happens to the sender behind the second answer.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    Kill,
    Termination,
    Replacement,
    TwoReplacements,
    /// A replacement while the connection carries another request.
    ReplacementInUse,
    /// An operator cordons the endpoint, and then no longer does.
    Cordon,
    /// The endpoint list names the endpoint no longer, and then again.
    EndpointRemoved,
}

/// Guards against a request for a message that is over: a later process found a message open whose 410 had the bytes of an
/// earlier one.
#[rstest]
#[case::kill(Interruption::Kill)]
#[case::termination(Interruption::Termination)]
#[case::replacement(Interruption::Replacement)]
#[case::two_replacements(Interruption::TwoReplacements)]
#[case::replacement_while_the_connection_is_in_use(Interruption::ReplacementInUse)]
#[case::cordon(Interruption::Cordon)]
#[case::endpoint_removed(Interruption::EndpointRemoved)]
fn a_message_answered_with_410_is_not_sent_again_by_a_later_process(
    #[case] interruption: Interruption,
) {
    let endpoint = endpoint_without_messages(SecondAnswer::Alone);
    let platform = Platform::new(&[]);
    let mut sender = start_sender(&format!("gone-{interruption:?}"), &endpoint, &platform);
    submit_two(&sender);
    let _sender = match interruption {
        Interruption::Kill => sender.kill_and_restart(),
        Interruption::Termination => sender.terminate_and_restart(),
        Interruption::Replacement => {
            assert_eq!(sender.replace().code, Some(0));
            sender
        }
        Interruption::ReplacementInUse => {
            assert_eq!(sender.submit("meter", "slow", TIMEOUT_HEADER), 202);
            std::thread::sleep(Duration::from_millis(SERVICE / 4));
            assert_eq!(sender.replace().code, Some(0));
            sender
        }
        Interruption::Cordon => {
            assert_eq!(sender.call_operator("cordon s-1\n"), "ACK out\n");
            assert_eq!(sender.call_operator("uncordon s-1\n"), "ACK in\n");
            sender
        }
        Interruption::EndpointRemoved => {
            let entry = |state| endpoint_entry("s-1", endpoint.address, state);
            platform.push_line(&endpoint_list(2, false, &[entry("terminated")]));
            sender.wait_for_round_end();
            platform.push_bytes(&watch_chunk(&endpoint_list(
                3,
                false,
                &[entry("in_service")],
            )));
            sender
        }
        Interruption::TwoReplacements => {
            assert_eq!(sender.replace().code, Some(0));
            assert_eq!(sender.replace().code, Some(0));
            sender
        }
    };
    assert_eq!(requests_for_second(&endpoint), 1);
}

/// Guards against a hedged request for a message that is over: the 410 to its first request had arrived in part.
#[test]
fn a_message_whose_410_arrives_in_pieces_is_not_hedged() {
    const SECOND_PIECE: u64 = 700;
    const SENT_BEFORE: usize = 40;
    let answer_in_pieces = |request: &HttpMessage| match request.id() {
        id if id.starts_with("over") => vec![
            TimedWrite::after(SERVICE / 4, &GONE[..GONE.len() - 5]),
            TimedWrite::after(SECOND_PIECE, &GONE[GONE.len() - 5..]),
        ],
        _ => vec![TimedWrite::after(
            SERVICE,
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        )],
    };
    let endpoints = [(); 2].map(|()| TimedEndpoint::new(answer_in_pieces));
    let platform = Platform::new(&[]);
    let entries = [
        endpoint_entry("s-1", endpoints[0].address, "in_service"),
        endpoint_entry("s-2", endpoints[1].address, "in_service"),
    ];
    let list = endpoint_list(1, true, &entries);
    let sender = Sender::start("gone-pieces", &platform, &list);
    // These let the sender learn how long an answer takes.
    for number in 0..SENT_BEFORE {
        let id = format!("before-{number}");
        assert_eq!(sender.submit("meter", &id, TIMEOUT_HEADER), 202);
        std::thread::sleep(Duration::from_millis(SERVICE));
    }
    for number in 0..3 {
        let id = format!("over-{number}");
        assert_eq!(sender.submit("meter", &id, TIMEOUT_HEADER), 202);
    }
    std::thread::sleep(QUIET_TIME);
    let requests = endpoints
        .iter()
        .flat_map(|endpoint| endpoint.requests.try_iter());
    let sent = requests.filter(|request| request.id().starts_with("over"));
    assert_eq!(sent.count(), 3, "a message was hedged behind its 410");
}

/// Guards against a request for a message that is over, and against one whose end the platform never hears: its 410 had the
/// bytes of an earlier one, and the platform did not confirm the report before the process was killed.
#[test]
fn a_message_answered_with_410_is_only_reported_while_the_platform_does_not_confirm() {
    let endpoint = endpoint_without_messages(SecondAnswer::End);
    let platform = Platform::new(&[0, 0, 0]);
    let sender = start_sender("gone-unconfirmed", &endpoint, &platform);
    submit_two(&sender);
    let _sender = sender.kill_and_restart();
    assert_eq!(requests_for_second(&endpoint), 1);
    let reports: Vec<String> = platform.status_reports.try_iter().collect();
    assert!(
        reports.iter().any(|report| report.contains("\"second\"")),
        "{reports:?}"
    );
}
