//! Endpoints that write an answer twice: the second copy must not count as the answer to another request.

mod support;
use support::*;

use std::collections::BTreeMap;
use std::time::Duration;

/// The time of each message, which its client sends.
const TIMEOUT_HEADER: &str = "2.0";
/// When no further request or status report is expected.
const QUIET_TIME: Duration = Duration::from_millis(3_500);
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// What the endpoint and the platform have seen of each message.
#[derive(Debug, Default)]
struct Ends {
    requests: usize,
    reports: usize,
}

/// Waits until nothing more happens, and counts the requests and the status reports of each message.
fn collect_ends(endpoint: &TimedEndpoint, platform: &Platform) -> BTreeMap<String, Ends> {
    let mut ends = BTreeMap::<String, Ends>::new();
    std::thread::sleep(QUIET_TIME);
    for request in endpoint.requests.try_iter() {
        ends.entry(request.id().to_string()).or_default().requests += 1;
    }
    for line in platform.status_reports.try_iter() {
        let id = line.split('"').nth(3).expect("an id").to_string();
        ends.entry(id).or_default().reports += 1;
    }
    ends
}

/// An endpoint that answers `first` and all later requests with 200, but `refused` with 503 after a while; a copy of the
/// earlier 200 comes before that 503.
fn endpoint_with_a_copy_before_a_rejection() -> TimedEndpoint {
    TimedEndpoint::new(|request| match request.id() {
        "first" => vec![TimedWrite::after(0, OK)],
        "refused" => vec![TimedWrite::after(5, OK), TimedWrite::after(80, BUSY)],
        _ => vec![TimedWrite::after(200, OK)],
    })
}

fn start_sender(test: &str, endpoint: &TimedEndpoint, platform: &Platform) -> Sender {
    let entry = endpoint_entry("s-1", endpoint.address, "in_service");
    Sender::start(test, platform, &endpoint_list(1, true, &[entry]))
}

/// Guards against losing a refused message: a second copy of an earlier 200 ended it, and it was neither sent again nor
/// reported.
#[test]
fn a_message_that_a_copy_of_an_earlier_success_precedes_is_reported() {
    let endpoint = endpoint_with_a_copy_before_a_rejection();
    let platform = Platform::new(&[]);
    let sender = start_sender("copy-lost", &endpoint, &platform);
    assert_eq!(sender.submit("debit", "first", TIMEOUT_HEADER), 202);
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(sender.submit("debit", "refused", TIMEOUT_HEADER), 202);
    let ends = collect_ends(&endpoint, &platform);
    assert_eq!(
        endpoint
            .connections
            .load(std::sync::atomic::Ordering::SeqCst),
        1
    );
    assert!(
        ends["refused"].reports > 0,
        "the message was refused and not reported: {ends:?}"
    );
}

/// Guards against running a non-idempotent message twice: the answer to the request before it, late by one request on
/// its connection, counted as its own rejection.
#[test]
fn a_non_idempotent_message_is_not_sent_again_after_the_rejection_of_an_earlier_request() {
    let endpoint = endpoint_with_a_copy_before_a_rejection();
    let platform = Platform::new(&[]);
    let sender = start_sender("copy-twice", &endpoint, &platform);
    assert_eq!(sender.submit("debit", "first", TIMEOUT_HEADER), 202);
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(sender.submit("debit", "refused", TIMEOUT_HEADER), 202);
    std::thread::sleep(Duration::from_millis(30));
    assert_eq!(sender.submit("debit", "runs", TIMEOUT_HEADER), 202);
    let ends = collect_ends(&endpoint, &platform);
    assert_eq!(
        ends["runs"].requests, 1,
        "the message was sent again while its first request ran: {ends:?}"
    );
}
