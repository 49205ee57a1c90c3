//! Tests of receiving responses.

use std::io::{Read, Write};

use super::*;

#[rstest::rstest]
#[case::cancelled(true)]
#[case::timed_out(false)]
fn a_response_that_has_arrived_counts_even_if_its_attempt_is_cancelled_or_times_out(
    #[case] cancelled: bool,
) {
    // A backoff applies from when the endpoint wrote it, even if the hedged request is cancelled before it is read.
    let mut fixture = Fixture::new(MAX_CONNECTIONS);
    let request = AttemptRequest {
        timeout: 500.0,
        ..two_byte_request(false)
    };
    fixture.start(&request, 0.0);
    let mut peer = fixture.accept();
    while !fixture.egress.connections[0].is_fully_sent() {
        step(&mut fixture.egress, 0, 0.0);
    }
    peer.read_exact(&mut [0; 2]).unwrap();
    fixture.clear_events();
    peer.write_all(b"HTTP/1.1 429 Full\r\nX-Backoff-Ms: 900\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    fixture.wait_for_event();
    if cancelled {
        fixture.egress.cancel(MessageId(1), 0, 100.0);
    } else {
        fixture.egress.expire_timeouts(500.0);
    }
    let results = fixture.egress.results.drain(..);
    let outcomes: Vec<Outcome> = results.map(|result| result.outcome).collect();
    let retry_after = 900_000_000;
    assert_eq!(outcomes, [Outcome::Overloaded { retry_after }]);
    let free_buffers: Vec<_> = (0..9).map_while(|_| fixture.buffers.take()).collect();
    assert_eq!(
        free_buffers.len(),
        8,
        "each buffer of the connection is returned exactly once"
    );
}

/// Receives a response in pieces of `piece_size` bytes, each of which is read before the next is written. After
/// `truncate_at` bytes, the endpoint closes the connection. Returns the outcome and whether the connection is kept.
fn receive_in_pieces(
    response: &[u8],
    truncate_at: Option<usize>,
    piece_size: usize,
) -> (Outcome, bool) {
    let mut fixture = Fixture::new(MAX_CONNECTIONS);
    fixture.start(&two_byte_request(true), 0.0);
    let mut peer = fixture.accept();
    peer.set_nodelay(true).unwrap();
    while fixture.egress.sent_messages.is_empty() {
        step(&mut fixture.egress, 0, 0.0);
    }
    peer.read_exact(&mut [0; 2]).unwrap();
    fixture.clear_events();
    let mut pieces = response[..truncate_at.unwrap_or(response.len())]
        .chunks(piece_size)
        .peekable();
    while let Some(piece) = pieces.next() {
        peer.write_all(piece).unwrap();
        if pieces.peek().is_some() || truncate_at.is_none() {
            read_piece(&mut fixture);
        }
    }
    if truncate_at.is_some() {
        drop(peer);
        read_piece(&mut fixture);
    }
    let egress = &mut fixture.egress;
    assert_eq!(
        egress.results.len(),
        1,
        "one outcome, of {response:?} truncated at {truncate_at:?}"
    );
    (
        egress.results.pop().unwrap().outcome,
        egress.connections.idle == [0],
    )
}

/// Waits until the event loop reports the endpoint's last write or close, and reads it.
fn read_piece(fixture: &mut Fixture) {
    if fixture.egress.connections.contains(0) {
        fixture.wait_for_event();
    }
    step(&mut fixture.egress, 0, 1.0);
}

/// Checks the outcome of a response that is truncated, for each possible length: only a success is known before the
/// response is complete, from the status line on.
fn check_truncated(response: &str, outcome: Outcome) {
    let status_line_end = response.find('\n').unwrap();
    let lengths = (0..response.len()).flat_map(|length| [(length, 1), (length, response.len())]);
    for (length, piece_size) in lengths {
        let (truncated_outcome, kept) =
            receive_in_pieces(response.as_bytes(), Some(length), piece_size);
        assert!(!kept, "{response} truncated at {length}");
        match (outcome, truncated_outcome) {
            // A complete status line of 200 is a success. Any other incomplete response proves nothing.
            (Outcome::Success, Outcome::Success) => {
                assert!(length > status_line_end, "{response} truncated at {length}")
            }
            (_, Outcome::ConnectionLost) => assert!(
                outcome != Outcome::Success || length <= status_line_end,
                "{response} truncated at {length}"
            ),
            (_, other) => assert_eq!(other, Outcome::Failure, "{response} truncated at {length}"),
        }
    }
}

#[rstest::rstest]
#[case::success("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Outcome::Success)]
#[case::success_in_chunks(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    Outcome::Success
)]
#[case::rejection(
    "HTTP/1.1 429 Full\r\nX-Backoff-Ms: 900\r\nContent-Length: 2\r\n\r\nno",
    Outcome::Overloaded { retry_after: 900_000_000 }
)]
#[case::failure("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", Outcome::Failure)]
fn a_response_in_pieces_has_the_same_outcome_as_a_whole_one_and_its_connection_is_kept(
    #[case] response: &str,
    #[case] outcome: Outcome,
) {
    // Otherwise each response whose head arrives in more than one piece would cost a new connection.
    assert_eq!(
        receive_in_pieces(response.as_bytes(), None, 1),
        (outcome, true)
    );
    check_truncated(response, outcome);
}
