//! Tests of reading responses.

use std::io::{Read, Write};

use super::*;

#[rstest::rstest]
#[case::cancelled(true)]
#[case::timed_out(false)]
fn a_response_that_has_come_is_read_though_its_attempt_is_cancelled_or_times_out(
    #[case] cancelled: bool,
) {
    // The time to wait that a hedged request is told counts from when it was written, whoever stops listening then.
    let mut fixture = Fixture::new(SLOTS);
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
    let free_buffers: Vec<_> = (0..9).map_while(|_| fixture.pool.take()).collect();
    assert_eq!(free_buffers.len(), 8, "all its buffers are back, once");
}

/// The outcome of a response that is written in pieces of a size, each of which is read before the next; after a cut,
/// the endpoint closes the connection. And whether the connection is kept.
fn outcome_in_pieces(response: &[u8], cut: Option<usize>, size: usize) -> (Outcome, bool) {
    let mut fixture = Fixture::new(SLOTS);
    fixture.start(&two_byte_request(true), 0.0);
    let mut peer = fixture.accept();
    peer.set_nodelay(true).unwrap();
    while fixture.egress.sent_messages.is_empty() {
        step(&mut fixture.egress, 0, 0.0);
    }
    peer.read_exact(&mut [0; 2]).unwrap();
    fixture.clear_events();
    let mut pieces = response[..cut.unwrap_or(response.len())]
        .chunks(size)
        .peekable();
    while let Some(piece) = pieces.next() {
        peer.write_all(piece).unwrap();
        if pieces.peek().is_some() || cut.is_none() {
            read_piece(&mut fixture);
        }
    }
    if cut.is_some() {
        drop(peer);
        read_piece(&mut fixture);
    }
    let egress = &mut fixture.egress;
    assert_eq!(
        egress.results.len(),
        1,
        "one outcome, of {response:?} cut at {cut:?}"
    );
    (
        egress.results.pop().unwrap().outcome,
        egress.connections.idle == [0],
    )
}

/// Reads what the endpoint has written last, or its end, once the event loop reports that it is there.
fn read_piece(fixture: &mut Fixture) {
    if fixture.egress.connections.contains(0) {
        fixture.wait_for_event();
    }
    step(&mut fixture.egress, 0, 1.0);
}

/// Checks that a response counts for no more and no less if it ends early, wherever it is cut.
fn check_cuts(response: &str, outcome: Outcome) {
    let status_line_end = response.find('\n').unwrap();
    for (cut, size) in (0..response.len()).flat_map(|cut| [(cut, 1), (cut, response.len())]) {
        let (cut_outcome, kept) = outcome_in_pieces(response.as_bytes(), Some(cut), size);
        assert!(!kept, "{response} cut at {cut}");
        match (outcome, cut_outcome) {
            // A status line of 200 is a delivery; what else is incomplete proves nothing.
            (Outcome::Success, Outcome::Success) => {
                assert!(cut > status_line_end, "{response} cut at {cut}")
            }
            (_, Outcome::ConnectionLost) => assert!(
                outcome != Outcome::Success || cut <= status_line_end,
                "{response} {cut}"
            ),
            (_, other) => assert_eq!(other, Outcome::Failure, "{response} cut at {cut}"),
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
fn a_response_in_pieces_means_the_same_as_whole_and_its_connection_is_reused(
    #[case] response: &str,
    #[case] outcome: Outcome,
) {
    // Otherwise each response whose head comes in more than one piece would cost a new connection.
    assert_eq!(
        outcome_in_pieces(response.as_bytes(), None, 1),
        (outcome, true)
    );
    check_cuts(response, outcome);
}
