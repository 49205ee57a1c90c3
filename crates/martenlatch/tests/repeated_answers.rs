//! Endpoints that write an answer twice: the second copy must not count as the answer to another request.

mod support;
use support::*;

use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

/// The time of each message, which its client sends.
const TIMEOUT_HEADER: &str = "2.0";
/// When no further request or status report is expected.
const QUIET_TIME: Duration = Duration::from_millis(3_500);
/// How long the endpoint takes for an answer, and after what time it writes a copy, in milliseconds.
const SERVICE: u64 = 80;
const LONG_SERVICE: u64 = 600;
const COPY_DELAY: u64 = 5;
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const OK_WITH_BODY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const GONE: &str = "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";
const EXHAUSTED: &str = "HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n";
const FAILURE: &str = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// A rejection that asks to wait for longer than any message has time.
const LONG_WAIT: &str = "HTTP/1.1 429 X\r\nX-Backoff-Ms: 9000\r\nContent-Length: 0\r\n\r\n";

/// Waits until nothing more happens, and counts the requests and the status reports of each message.
fn collect_ends(endpoint: &TimedEndpoint, platform: &Platform) -> BTreeMap<String, Ends> {
    collect_ends_after(QUIET_TIME, endpoint, platform)
}

/// An endpoint that answers the first request for `first` with one answer and later ones with 200. Before its answer to
/// `second`, it writes a copy on the connection that has carried that answer. Other messages are answered 200.
fn endpoint_with_a_copy(
    service: u64,
    first: &'static str,
    copy: &'static str,
    second: &'static str,
) -> TimedEndpoint {
    let first_connection = Mutex::new(None);
    TimedEndpoint::new(move |request| {
        let mut first_connection = first_connection.lock().unwrap();
        match request.id() {
            "first" if first_connection.is_none() => {
                *first_connection = Some(request.connection);
                vec![TimedWrite::after(service, first)]
            }
            "second" if *first_connection == Some(request.connection) => vec![
                TimedWrite::after(COPY_DELAY, copy),
                TimedWrite::after(service, second),
            ],
            "second" => vec![TimedWrite::after(service, second)],
            _ => vec![TimedWrite::after(2 * service, OK)],
        }
    })
}

fn start_sender(test: &str, endpoint: &TimedEndpoint, platform: &Platform) -> Sender {
    let entry = endpoint_entry("s-1", endpoint.address, "in_service");
    Sender::start(test, platform, &endpoint_list(1, true, &[entry]))
}

/// Submits `first` and, once it has been answered, `second`. Returns when the copy has arrived.
fn submit_two(sender: &Sender, class: &str, service: u64) {
    assert_eq!(sender.submit("debit", "first", TIMEOUT_HEADER), 202);
    std::thread::sleep(Duration::from_millis(service + 40));
    assert_eq!(sender.submit(class, "second", TIMEOUT_HEADER), 202);
    std::thread::sleep(Duration::from_millis(COPY_DELAY + 20));
}

/// Guards against losing a refused message: a second copy of an earlier answer ended it, and it was neither sent again
/// nor reported.
#[rstest]
#[case::success(OK, OK)]
#[case::status_line_of_a_success(OK, "HTTP/1.1 200 OK\r\n")]
#[case::part_of_the_head_of_a_success(OK, "HTTP/1.1 200 OK\r\nContent-Le")]
#[case::success_without_its_body(OK_WITH_BODY, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")]
#[case::gone(GONE, GONE)]
#[case::attempts_used_up(EXHAUSTED, EXHAUSTED)]
#[case::failure(FAILURE, FAILURE)]
fn a_message_that_a_copy_of_an_earlier_answer_precedes_is_reported(
    #[case] first: &'static str,
    #[case] copy: &'static str,
) {
    let endpoint = endpoint_with_a_copy(SERVICE, first, copy, BUSY);
    let platform = Platform::new(&[]);
    let test = case_name(&format!("lost{first}{copy}"));
    let sender = start_sender(&test, &endpoint, &platform);
    submit_two(&sender, "debit", SERVICE);
    let ends = collect_ends(&endpoint, &platform);
    assert!(
        ends["second"].reports > 0,
        "the message was refused and not reported: {ends:?}"
    );
}

/// Guards against requests during a wait that an endpoint has asked for: the rejection that asks for it follows a copy of
/// an earlier answer in the same exchange.
#[rstest]
#[case::success(OK)]
#[case::status_line_of_a_success("HTTP/1.1 200 OK\r\n")]
#[case::part_of_the_status_line("HTTP/1.1 20")]
#[case::part_of_the_head_of_a_success("HTTP/1.1 200 OK\r\nContent-Le")]
fn a_wait_that_follows_a_copy_of_an_earlier_answer_is_kept(#[case] copy: &'static str) {
    let endpoint = endpoint_with_a_copy(SERVICE, OK, copy, LONG_WAIT);
    let platform = Platform::new(&[]);
    let sender = start_sender(&case_name(&format!("wait{copy}")), &endpoint, &platform);
    submit_two(&sender, "debit", SERVICE);
    std::thread::sleep(Duration::from_millis(2 * SERVICE));
    // Accepted or not, it must not reach the endpoint.
    sender.submit("meter", "third", TIMEOUT_HEADER);
    let ends = collect_ends(&endpoint, &platform);
    let requests = ends.get("third").map_or(0, |ends| ends.requests);
    assert_eq!(requests, 0, "{ends:?}");
    assert_eq!(ends["second"].requests, 1, "{ends:?}");
}

/// Guards against losing a refused message that may be sent again.
#[test]
fn an_idempotent_message_that_a_copy_of_an_earlier_success_precedes_is_sent_again() {
    let endpoint = endpoint_with_a_copy(SERVICE, OK, OK, BUSY);
    let platform = Platform::new(&[]);
    let sender = start_sender("copy-again", &endpoint, &platform);
    submit_two(&sender, "meter", SERVICE);
    let ends = collect_ends(&endpoint, &platform);
    assert!(ends["second"].requests > 1, "{ends:?}");
}

/// Guards against running a non-idempotent message twice: a copy of an earlier rejection counted as its own.
#[test]
fn a_non_idempotent_message_is_not_sent_again_after_a_copy_of_an_earlier_rejection() {
    let endpoint = endpoint_with_a_copy(SERVICE, BUSY, BUSY, OK);
    let platform = Platform::new(&[]);
    let sender = start_sender("copy-rejection", &endpoint, &platform);
    submit_two(&sender, "debit", SERVICE);
    let ends = collect_ends(&endpoint, &platform);
    assert_eq!(
        ends["second"].requests, 1,
        "the message was sent again while its first request ran: {ends:?}"
    );
}

/// Guards against running a non-idempotent message twice: the answer to the request before it, late by one request on
/// its connection, counted as its own rejection.
#[test]
fn a_non_idempotent_message_is_not_sent_again_after_the_rejection_of_an_earlier_request() {
    let endpoint = endpoint_with_a_copy(SERVICE, OK, OK, BUSY);
    let platform = Platform::new(&[]);
    let sender = start_sender("copy-twice", &endpoint, &platform);
    submit_two(&sender, "debit", SERVICE);
    assert_eq!(sender.submit("debit", "third", TIMEOUT_HEADER), 202);
    let ends = collect_ends(&endpoint, &platform);
    assert_eq!(
        ends["third"].requests, 1,
        "the message was sent again while its first request ran: {ends:?}"
    );
}

/// What happens to the sender between the copy and the answer that shows it.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    Kill,
    Termination,
    Replacement,
}

/// Guards against forgetting what is in doubt: a process that ended between the copy and the answer that shows it had
/// recorded the message as delivered.
#[rstest]
#[case::kill(Interruption::Kill)]
#[case::termination(Interruption::Termination)]
#[case::replacement(Interruption::Replacement)]
fn a_doubtful_end_outlives_the_process(#[case] interruption: Interruption) {
    let endpoint = endpoint_with_a_copy(LONG_SERVICE, OK, OK, BUSY);
    let platform = Platform::new(&[]);
    let test = format!("copy-{interruption:?}");
    let mut sender = start_sender(&test, &endpoint, &platform);
    submit_two(&sender, "debit", LONG_SERVICE);
    let _sender = match interruption {
        Interruption::Kill => sender.kill_and_restart(),
        Interruption::Termination => sender.terminate_and_restart(),
        Interruption::Replacement => {
            assert_eq!(sender.replace().code, Some(0));
            sender
        }
    };
    let ends = collect_ends(&endpoint, &platform);
    assert_eq!(ends["second"].requests, 1, "{ends:?}");
    assert!(
        ends["second"].reports > 0,
        "the message was refused and not reported: {ends:?}"
    );
}

/// Guards against a report that the platform never read: a copy of the confirmation of an earlier report counted as its
/// own.
#[test]
fn a_report_is_repeated_if_only_a_copy_of_an_earlier_confirmation_answers_it() {
    let endpoint = TimedEndpoint::new(|_| vec![TimedWrite::after(0, FAILURE)]);
    let platform = Platform::repeating_confirmations();
    let sender = start_sender("copy-confirmation", &endpoint, &platform);
    for id in ["first", "second", "third"] {
        assert_eq!(sender.submit("debit", id, TIMEOUT_HEADER), 202);
        std::thread::sleep(Duration::from_millis(SERVICE));
    }
    let ends = collect_ends(&endpoint, &platform);
    for (id, ends) in &ends {
        assert!(ends.reports > 0, "{id} was never reported: {ends:?}");
    }
    assert_eq!(ends.len(), 3);
}

/// Guards against requests to an endpoint that drains: a repetition of the first list, behind the change, brought it
/// back. A discovery that starts again with lower versions is believed once it has said so on a new watch.
#[test]
fn a_repeated_list_brings_no_draining_endpoint_back_and_a_restarted_discovery_is_believed() {
    let drained = TimedEndpoint::new(|_| vec![TimedWrite::after(0, OK)]);
    let kept = TimedEndpoint::new(|_| vec![TimedWrite::after(0, OK)]);
    let platform = Platform::new(&[]);
    let entry = |uid: &str, endpoint: &TimedEndpoint, state: &str| {
        endpoint_entry(uid, endpoint.address, state)
    };
    let both = [
        entry("s-1", &drained, "in_service"),
        entry("s-2", &kept, "in_service"),
    ];
    let drain = endpoint_list(41, false, &[entry("s-1", &drained, "terminating")]);
    let first = endpoint_list(40, true, &both);
    let after_drain = endpoint_list(
        41,
        true,
        &[entry("s-1", &drained, "terminating"), both[1].clone()],
    );
    let sender = Sender::start("copy-list", &platform, &first);
    platform.push_line(&first);
    platform.push_bytes(&watch_chunk(&drain));
    platform.push_bytes(&watch_chunk(&first));
    sender.wait_for_round_end();
    submit_many(&sender, "before");
    assert_eq!(drained.requests.try_iter().count(), 0);
    assert_eq!(kept.requests.try_iter().count(), 20);
    // The sender asks for the whole list.
    assert!(platform.next_watch_request().contains("from=0 "));
    platform.push_bytes(&watch_chunk(&after_drain));
    // Discovery starts again: both its connection and its versions are new.
    platform.close_watches();
    platform.push_line(&endpoint_list(
        1,
        true,
        &[entry("s-1", &drained, "in_service")],
    ));
    assert!(platform.next_watch_request().contains("from=0 "));
    platform.push_bytes(&watch_chunk(&endpoint_list(
        1,
        true,
        &[entry("s-1", &drained, "in_service")],
    )));
    sender.wait_for_round_end();
    submit_many(&sender, "after");
    assert_eq!(kept.requests.try_iter().count(), 0);
    assert_eq!(drained.requests.try_iter().count(), 20);
}

/// Submits messages one after another, and waits until they have been sent. They are of a class that is never hedged, so
/// that each of them is one request.
fn submit_many(sender: &Sender, prefix: &str) {
    for number in 0..20 {
        let id = format!("{prefix}-{number}");
        assert_eq!(sender.submit("debit", &id, "16.0"), 202);
        std::thread::sleep(Duration::from_millis(10));
    }
    wait_until("all messages are complete", || {
        sender.operator_counters()["current"] == 0
    });
}

/// Guards against losing a message whose time ended before its connection had rested: it was closed by a copy, and the real
/// answer that followed in its time was ignored.
#[test]
fn a_message_that_is_refused_right_before_its_deadline_is_reported_despite_a_copy() {
    const FIRST_SERVICE: u64 = 5;
    const REFUSED_AFTER: u64 = 130;
    let endpoint = endpoint_with_a_copy_in_time(FIRST_SERVICE, REFUSED_AFTER);
    let platform = Platform::new(&[]);
    let sender = start_sender("copy-deadline", &endpoint, &platform);
    assert_eq!(sender.submit("debit", "first", TIMEOUT_HEADER), 202);
    std::thread::sleep(Duration::from_millis(SERVICE));
    assert_eq!(sender.submit("debit", "second", "0.15"), 202);
    let ends = collect_ends(&endpoint, &platform);
    assert_eq!(ends["second"].requests, 1, "{ends:?}");
    assert!(
        ends["second"].reports > 0,
        "the message was refused and not reported: {ends:?}"
    );
}

/// An endpoint that answers `first` soon, and refuses `second` behind a copy of that answer.
fn endpoint_with_a_copy_in_time(service: u64, refused_after: u64) -> TimedEndpoint {
    TimedEndpoint::new(move |request| match request.id() {
        "second" => vec![
            TimedWrite::after(service, OK),
            TimedWrite::after(refused_after, BUSY),
        ],
        _ => vec![TimedWrite::after(service, OK)],
    })
}

/// Guards against losing a message that was never answered: a copy of an earlier success stands in the place of an answer
/// that does not come in the message's time.
#[test]
fn a_message_whose_answer_never_comes_is_reported_despite_a_copy_of_an_earlier_success() {
    const NEVER: u64 = 60_000;
    let endpoint = TimedEndpoint::new(|request| match request.id() {
        "first" => vec![TimedWrite::after(SERVICE, OK)],
        "second" => vec![
            TimedWrite::after(COPY_DELAY, OK),
            TimedWrite::after(NEVER, BUSY),
        ],
        _ => vec![TimedWrite::after(SERVICE, OK)],
    });
    let platform = Platform::new(&[]);
    let sender = start_sender("copy-never", &endpoint, &platform);
    submit_two(&sender, "debit", SERVICE);
    let ends = collect_ends(&endpoint, &platform);
    assert!(
        ends["second"].reports > 0,
        "the message was not answered and not reported: {ends:?}"
    );
}
