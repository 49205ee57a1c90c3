//! Waits that endpoints ask for in responses that do not arrive completely.

mod support;
use support::*;

use std::time::{Duration, Instant};

use rstest::rstest;

const WAIT: Duration = Duration::from_millis(900);

/// Guards against requests during a wait that an endpoint has asked for: the rejection that asks for it is cut off, is
/// not valid, or its rest takes long.
#[rstest]
#[case::cut_off_in_the_body(
    "HTTP/1.1 429 X\r\nX-Backoff-Ms: 900\r\nContent-Length: 9\r\n\r\nwait",
    true
)]
#[case::cut_off_in_the_head("HTTP/1.1 429 X\r\nX-Backoff-Ms: 900\r\nContent-Le", true)]
#[case::cut_off_behind_the_value("HTTP/1.1 429 X\r\nX-Backoff-Ms: 900", true)]
#[case::malformed(
    "HTTP/1.1 429 X\r\nX-Backoff-Ms: 900\r\nContent-Length: -1\r\n\r\n",
    false
)]
#[case::unfinished_body(
    "HTTP/1.1 429 X\r\nX-Backoff-Ms: 900\r\nContent-Length: 9\r\n\r\nwait",
    false
)]
#[case::unfinished_head("HTTP/1.1 429 X\r\nX-Backoff-Ms: 900\r\nContent-Le", false)]
fn a_wait_that_an_incomplete_rejection_asks_for_is_kept(
    #[case] rejection: &'static str,
    #[case] close: bool,
) {
    let (endpoint, known_endpoints) = endpoint_and_list(move |number, _| match number {
        0 => Reply {
            bytes: rejection.to_string(),
            close,
        },
        _ => reply(200, ""),
    });
    let platform = Platform::new(&[]);
    let sender = Sender::start(
        &format!("wait-{}-{close}", rejection.len()),
        &platform,
        &known_endpoints,
    );
    // Taken before the endpoint asks for the wait, so that a slow machine can only make the measured time longer.
    let start = Instant::now();
    assert_eq!(sender.submit("meter", "first", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "first");
    sender.wait_for_round_end();
    assert_eq!(sender.submit("meter", "second", "16.0"), 202);
    endpoint.next_request();
    assert!(
        start.elapsed() >= WAIT,
        "sent during the wait: {:?}",
        start.elapsed()
    );
}
