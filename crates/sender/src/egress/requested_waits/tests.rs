//! The waits that beginnings of responses ask for.

use martenlatch_clock::nanos;

use super::*;

const WAIT: Nanos = 900_000_000;

#[test]
fn a_rejection_that_is_cut_off_anywhere_asks_for_at_most_its_wait() {
    let rejection = b"HTTP/1.1 429 Full\r\nX-Backoff-Ms: 900\r\nContent-Length: 4\r\n\r\nwait";
    let value_end = rejection
        .windows(3)
        .position(|bytes| bytes == b"900")
        .unwrap()
        + 3;
    let waits = |length: usize| wait_of_incomplete_rejection(&rejection[..length]);
    assert_eq!(waits(value_end - 3), 0);
    assert_eq!(waits(value_end - 2), nanos(9.0));
    assert_eq!(waits(value_end - 1), nanos(90.0));
    for length in value_end..=rejection.len() {
        assert_eq!(waits(length), WAIT, "{length} bytes");
    }
}

#[rstest::rstest]
#[case::rejection_without_capacity("HTTP/1.1 503 Busy\r\nx-backoff-ms: 900\r\n", WAIT)]
#[case::no_rejection("HTTP/1.1 500 Error\r\nX-Backoff-Ms: 900\r\n", 0)]
#[case::success("HTTP/1.1 200 OK\r\nX-Backoff-Ms: 900\r\n", 0)]
#[case::in_the_body(
    "HTTP/1.1 429 Full\r\nContent-Length: 90\r\n\r\nX-Backoff-Ms: 900\r\n",
    0
)]
#[case::not_a_number("HTTP/1.1 429 Full\r\nX-Backoff-Ms: soon\r\n", 0)]
#[case::bare_line_feeds("HTTP/1.1 429 Full\nX-Backoff-Ms: 900\n\nX-Backoff-Ms: 9000\n", WAIT)]
#[case::no_status("HTTP/1.1 4", 0)]
fn only_the_head_of_a_rejection_asks_for_a_wait(#[case] received: &str, #[case] wait: Nanos) {
    assert_eq!(wait_of_incomplete_rejection(received.as_bytes()), wait);
}
