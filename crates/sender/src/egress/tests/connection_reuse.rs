//! Tests of the reuse of connections: stale ones, the limit on connections, and scarcity.

use std::io::{Read, Write};

use super::*;

#[test]
fn a_reused_connection_that_ends_at_once_is_stale_and_such_idle_times_are_then_avoided() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
    let mut egress = Egress::new(&events.handle(), &BufferPool::new(8), 9, 1_000.0, 15_000.0);
    let start = |egress: &mut Egress, must_not_be_lost: bool, now: Millis| {
        egress.start(&two_byte_request(must_not_be_lost), address, now);
        // Once a reset has been met, the last byte is written a little later.
        for now in [now, now + LAST_BYTE_DELAY] {
            for at in 0..9 {
                step(egress, at, now);
            }
        }
    };
    let ended = |egress: &mut Egress, now: Millis| {
        while egress.results.is_empty() {
            for at in 0..9 {
                step(egress, at, now);
            }
        }
        egress.results.pop().unwrap().outcome
    };
    let answer = |peer: &mut std::net::TcpStream| {
        peer.read_exact(&mut [0; 2]).unwrap();
        peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            .unwrap();
    };
    for _ in 0..2 {
        start(&mut egress, false, 0.0);
        let (mut peer, _) = listener.accept().unwrap();
        for at in 0..9 {
            step(&mut egress, at, 0.0);
        }
        answer(&mut peer);
        assert_eq!(ended(&mut egress, 5.0), Outcome::Success);
        start(&mut egress, true, 105.0);
        peer.read_exact(&mut [0; 2]).unwrap();
        drop(peer);
        assert_eq!(
            ended(&mut egress, 106.0),
            Outcome::StaleConnection,
            "it had been idle for 100 ms"
        );
    }
    start(&mut egress, true, 1_000.0);
    let (mut peer, _) = listener.accept().unwrap();
    for at in 0..9 {
        step(&mut egress, at, 1_000.0);
    }
    answer(&mut peer);
    assert_eq!(ended(&mut egress, 1_000.0), Outcome::Success);
    for (must_not_be_lost, idle, opened) in [(true, 79.0, 3), (false, 200.0, 3), (true, 90.0, 4)] {
        let now = 1_000.0 + idle;
        start(&mut egress, must_not_be_lost, now);
        assert_eq!(
            egress.connections_opened, opened,
            "must_not_be_lost={must_not_be_lost} after {idle} ms"
        );
        if opened == 3 {
            answer(&mut peer);
            assert_eq!(ended(&mut egress, 1_000.0), Outcome::Success);
        }
    }
}

#[test]
fn idle_connections_make_room_for_new_ones_and_are_closed_at_the_idle_limit() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
    let mut egress = Egress::new(&events.handle(), &BufferPool::new(8), 1, 1_000.0, 15_000.0);
    for endpoint in 0..3 {
        egress.start(
            &AttemptRequest {
                id: MessageId(endpoint.into()),
                endpoint: EndpointId(endpoint),
                head: b"x",
                ..two_byte_request(false)
            },
            address,
            5.0,
        );
        let (mut peer, _) = listener.accept().unwrap();
        while egress
            .connections
            .iter()
            .any(|c| !c.connection.is_flushed())
        {
            step(&mut egress, 0, 5.0);
            step(&mut egress, 1, 5.0);
        }
        peer.read_exact(&mut [0]).unwrap();
        peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            .unwrap();
        while egress.results.is_empty() {
            step(&mut egress, 0, 6.0);
            step(&mut egress, 1, 6.0);
        }
        assert_eq!(egress.results.pop().unwrap().outcome, Outcome::Success);
        assert_eq!(
            (
                egress.connections.slots.len(),
                egress.connections.idle.len()
            ),
            (1, 1),
            "the one before was closed"
        );
    }
    assert!(
        egress.next_deadline() < 15_000.0,
        "before the endpoint's own limit"
    );
    egress.expire_timeouts(egress.next_deadline());
    assert!(
        egress.connections.slots.is_empty()
            && egress.connections.idle.is_empty()
            && egress.results.is_empty()
    );
}

#[rstest::rstest]
#[case::by_a_lack_of_connections("503 Full", "", 0, true)]
#[case::not_by_a_rate_limit("429 Full", "X-Backoff-Ms: 900\r\n", 0, false)]
#[case::not_at_another_kind("503 Full", "", 1, false)]
fn idle_connections_are_closed_where_a_kind_of_endpoint_has_none_to_spare(
    #[case] status: &str,
    #[case] wait: &str,
    #[case] kind: usize,
    #[case] closed: bool,
) {
    // Who holds a connection never meets a rejection, and would otherwise keep it for good from those that have none.
    let listener = || std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoints = [listener(), listener()];
    let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
    let mut egress = Egress::new(&events.handle(), &BufferPool::new(8), 9, 1_000.0, 15_000.0);
    let mut exchange = |endpoint: usize, kind: usize, response: &str| {
        let address = endpoints[endpoint].local_addr().unwrap();
        let opened = egress.connections_opened;
        let request = AttemptRequest {
            endpoint: EndpointId(endpoint as u32),
            kind,
            ..two_byte_request(false)
        };
        egress.start(&request, address, 0.0);
        // Each has a connection of its own, which the endpoint ends if it has rejected the request.
        assert_eq!(egress.connections_opened, opened + 1);
        let (mut peer, _) = endpoints[endpoint].accept().unwrap();
        while egress.sent.is_empty() {
            (0..9).for_each(|at| _ = step(&mut egress, at, 0.0));
        }
        egress.sent.clear();
        peer.read_exact(&mut [0; 2]).unwrap();
        peer.write_all(response.as_bytes()).unwrap();
        while egress.results.pop().is_none() {
            (0..9).for_each(|at| _ = step(&mut egress, at, 0.0));
        }
        (peer, egress.connections.idle.len())
    };
    let (mut kept, idle) = exchange(0, 0, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(idle, 1, "it is kept while nothing speaks against it");
    let away = format!("HTTP/1.1 {status}\r\n{wait}Content-Length: 0\r\nConnection: close\r\n\r\n");
    let left = (0..3)
        .map(|_| exchange(1, kind, &away).1)
        .collect::<Vec<_>>();
    assert_eq!(
        left,
        [1, 1, usize::from(!closed)],
        "from the third on it is beyond chance"
    );
    kept.set_nonblocking(true).unwrap();
    assert_eq!(
        kept.read(&mut [0]).is_ok_and(|n| n == 0),
        closed,
        "the endpoint sees it end"
    );
}
