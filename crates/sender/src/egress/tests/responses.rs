//! Tests of reading responses.

use std::io::{Read, Write};

use super::*;

#[test]
fn a_response_that_has_come_is_read_though_its_attempt_is_cancelled_or_times_out() {
    // The time to wait that a hedged request is told counts from when it was written, whoever stops listening then.
    for cancelled in [true, false] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
        let pool = BufferPool::new(8);
        let mut egress = Egress::new(&events.handle(), &pool, 9, 1_000.0, 15_000.0);
        egress.start(
            &AttemptRequest {
                timeout: 500.0,
                ..two_byte_request(false)
            },
            address,
            0.0,
        );
        let (mut peer, _) = listener.accept().unwrap();
        while !egress.connections[0].connection.is_flushed() || !egress.connections[0].connected {
            step(&mut egress, 0, 0.0);
        }
        peer.read_exact(&mut [0; 2]).unwrap();
        let mut ready = crate::event_source::Ready::default();
        events
            .dispatch(Some(std::time::Duration::ZERO), &mut ready)
            .unwrap();
        ready.keys.clear();
        peer.write_all(b"HTTP/1.1 429 Full\r\nX-Backoff-Ms: 900\r\nContent-Length: 0\r\n\r\n")
            .unwrap();
        while ready.keys.is_empty() {
            events.dispatch(None, &mut ready).unwrap();
        }
        if cancelled {
            egress.cancel(MessageId(1), 0, 100.0)
        } else {
            egress.expire_timeouts(500.0)
        }
        let outcomes: Vec<Outcome> = egress.results.drain(..).map(|d| d.outcome).collect();
        assert_eq!(
            outcomes,
            [Outcome::Overloaded {
                retry_after: 900_000_000
            }],
            "cancelled: {cancelled}"
        );
        let lent: Vec<_> = (0..9).map_while(|_| pool.take()).collect();
        assert_eq!(lent.len(), 8, "all its buffers are back, once");
    }
}

/// The outcome of a response that is written in pieces of a size, each of which is read before the next; after a cut,
/// the endpoint closes the connection. And whether the connection is kept.
fn outcome_in_pieces(response: &[u8], cut: Option<usize>, size: usize) -> (Outcome, bool) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
    let mut egress = Egress::new(&events.handle(), &BufferPool::new(8), 9, 1_000.0, 15_000.0);
    egress.start(&two_byte_request(true), address, 0.0);
    let (mut peer, _) = listener.accept().unwrap();
    peer.set_nodelay(true).unwrap();
    while egress.sent.is_empty() {
        step(&mut egress, 0, 0.0);
    }
    peer.read_exact(&mut [0; 2]).unwrap();
    let mut ready = crate::event_source::Ready::default();
    events
        .dispatch(Some(std::time::Duration::ZERO), &mut ready)
        .unwrap();
    ready.keys.clear();
    let mut read = |egress: &mut Egress, wanted: bool| {
        // What was written is on its way: the event loop reports when it is there.
        while wanted && ready.keys.is_empty() {
            events.dispatch(None, &mut ready).unwrap();
        }
        ready.keys.clear();
        step(egress, 0, 1.0);
    };
    let mut pieces = response[..cut.unwrap_or(response.len())]
        .chunks(size)
        .peekable();
    while let Some(piece) = pieces.next() {
        peer.write_all(piece).unwrap();
        if pieces.peek().is_some() || cut.is_none() {
            let there = egress.connections.contains(0);
            read(&mut egress, there);
        }
    }
    if cut.is_some() {
        drop(peer);
        let there = egress.connections.contains(0);
        read(&mut egress, there);
    }
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

#[test]
fn a_response_in_pieces_means_the_same_as_whole_and_its_connection_is_reused() {
    // Otherwise each response whose head comes in more than one piece would cost a new connection.
    let full = Outcome::Overloaded {
        retry_after: 900_000_000,
    };
    for (response, outcome) in [
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            Outcome::Success,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            Outcome::Success,
        ),
        (
            "HTTP/1.1 429 Full\r\nX-Backoff-Ms: 900\r\nContent-Length: 2\r\n\r\nno",
            full,
        ),
        (
            "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",
            Outcome::Failure,
        ),
    ] {
        assert_eq!(
            outcome_in_pieces(response.as_bytes(), None, 1),
            (outcome, true),
            "{response}"
        );
        let line = response.find('\n').unwrap();
        for (cut, size) in (0..response.len()).flat_map(|cut| [(cut, 1), (cut, response.len())]) {
            let (heard, kept) = outcome_in_pieces(response.as_bytes(), Some(cut), size);
            assert!(!kept, "{response} cut at {cut}");
            match (outcome, heard) {
                // A status line of 200 is a delivery; what else is incomplete proves nothing.
                (Outcome::Success, Outcome::Success) => {
                    assert!(cut > line, "{response} cut at {cut}")
                }
                (_, Outcome::ConnectionLost) => {
                    assert!(
                        outcome != Outcome::Success || cut <= line,
                        "{response} {cut}"
                    )
                }
                (_, heard) => assert_eq!(heard, Outcome::Failure, "{response} cut at {cut}"),
            }
        }
    }
}
