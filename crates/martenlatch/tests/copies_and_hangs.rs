//! Endpoints that write answers twice and then stop to answer: a message that they never answer must be reported, and one
//! that they have answered must not.

mod support;
use support::*;

use rstest::rstest;
use std::time::Duration;

/// How long an endpoint takes for an answer, and how much later it writes a copy, in milliseconds.
const SERVICE: u64 = 120;
const COPY_DELAY: u64 = 3;
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// The requests that the configuration allows in flight.
const SLOTS: usize = 8;

fn start_sender(test: &str, endpoint: &TimedEndpoint, platform: &Platform) -> Sender {
    let entry = endpoint_entry("s-1", endpoint.address, "in_service");
    Sender::start(test, platform, &endpoint_list(1, true, &[entry]))
}

/// Guards against losing messages: each answer came twice, and the request that took the freed connection at once was ended
/// by the copy, while the endpoint had stopped to answer.
#[rstest]
#[case::non_idempotent("debit")]
#[case::with_a_key("meter")]
fn no_copy_ends_a_message_that_a_hung_endpoint_never_answers(#[case] class: &str) {
    let endpoint = TimedEndpoint::new(|request| {
        if request.id().starts_with("hung") {
            return Vec::new();
        }
        vec![
            TimedWrite::after(SERVICE, OK),
            TimedWrite::after(SERVICE + COPY_DELAY, OK),
        ]
    });
    let platform = Platform::new(&[]);
    let sender = start_sender(&format!("hung-{class}"), &endpoint, &platform);
    // Shows that the endpoint repeats its answers.
    assert_eq!(sender.submit("debit", "repeated", "16.0"), 202);
    std::thread::sleep(Duration::from_millis(2 * SERVICE));
    sender.wait_for_round_end();
    for number in 0..SLOTS {
        let id = format!("answered-{number}");
        assert_eq!(sender.submit("debit", &id, "2.0"), 202);
    }
    for number in 0..SLOTS {
        let id = format!("hung-{number}");
        assert_eq!(sender.submit(class, &id, "2.0"), 202);
    }
    let counts = collect_ends_after(Duration::from_millis(3_500), &endpoint, &platform);
    for number in 0..SLOTS {
        let answered = counts[&format!("answered-{number}")];
        let expected = Ends {
            requests: 1,
            reports: 0,
        };
        assert_eq!(answered, expected, "an answered message: {counts:?}");
        let hung = counts[&format!("hung-{number}")];
        assert!(hung.reports > 0, "a lost message: {counts:?}");
        if class == "debit" {
            assert!(hung.requests <= 1, "a message sent twice: {counts:?}");
        }
    }
}

/// Guards against reports of answered messages without end: an endpoint answers much sooner on used connections, and
/// nothing else shows that it goes on to answer. Only the first such answer is in doubt.
#[rstest]
// Reported at its deadline.
#[case::non_idempotent("debit", "1.0", Ends { requests: 1, reports: 1 })]
// Sent again once its connection has rested.
#[case::with_a_key("meter", "3.0", Ends { requests: 2, reports: 0 })]
fn an_endpoint_that_answers_much_sooner_than_at_first_is_doubted_once(
    #[case] class: &str,
    #[case] timeout: &str,
    #[case] first_quick: Ends,
) {
    let endpoint = TimedEndpoint::new(|request| {
        let delay = if request.id() == "slow" {
            4 * SERVICE
        } else {
            2
        };
        vec![TimedWrite::after(delay, OK)]
    });
    let platform = Platform::new(&[]);
    let sender = start_sender(&format!("sooner-{class}"), &endpoint, &platform);
    for id in ["slow", "quick-1", "quick-2", "quick-3"] {
        assert_eq!(sender.submit(class, id, timeout), 202);
        // No other answer comes before that.
        std::thread::sleep(Duration::from_millis(1_200));
    }
    let counts = collect_ends_after(Duration::from_millis(500), &endpoint, &platform);
    let expected = Ends {
        requests: 1,
        reports: 0,
    };
    assert_eq!(counts["slow"], expected, "{counts:?}");
    assert_eq!(counts["quick-1"], first_quick, "{counts:?}");
    for id in ["quick-2", "quick-3"] {
        assert_eq!(counts[id], expected, "{id}: {counts:?}");
    }
}

/// Guards against needless reports and repeats: a message was answered, and a later request on the same connection got no
/// answer and timed out.
#[rstest]
#[case::non_idempotent("debit")]
#[case::with_a_key("meter")]
fn an_answered_message_is_neither_reported_nor_repeated_when_the_next_request_gets_no_answer(
    #[case] class: &str,
) {
    let endpoint = TimedEndpoint::new(|request| {
        if request.id() == "hung" {
            return Vec::new();
        }
        vec![TimedWrite::after(SERVICE, OK)]
    });
    let platform = Platform::new(&[]);
    let sender = start_sender(&format!("answered-{class}"), &endpoint, &platform);
    for id in ["first", "answered"] {
        assert_eq!(sender.submit(class, id, "16.0"), 202);
        std::thread::sleep(Duration::from_millis(SERVICE + 40));
    }
    assert_eq!(sender.submit("meter", "hung", "16.0"), 202);
    let counts = collect_ends_after(Duration::from_millis(4_000), &endpoint, &platform);
    let expected = Ends {
        requests: 1,
        reports: 0,
    };
    assert_eq!(counts["answered"], expected, "{counts:?}");
    assert!(counts["hung"].requests > 1, "it has timed out: {counts:?}");
}
