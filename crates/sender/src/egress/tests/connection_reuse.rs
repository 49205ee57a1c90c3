//! Tests of connection reuse: stale connections, the limit on connections, and scarce connections.

use std::io::{Read, Write};

use super::*;

fn start_and_send(fixture: &mut Fixture, must_not_be_lost: bool, now: Millis) {
    fixture.start(&two_byte_request(must_not_be_lost), now);
    // While resets are expected, the last byte is written a little later.
    fixture.step_all(now);
    fixture.step_all(now + LAST_BYTE_DELAY);
}

fn respond(peer: &mut TcpStream) {
    peer.read_exact(&mut [0; 2]).unwrap();
    peer.write_all(SUCCESS_RESPONSE).unwrap();
}

#[test]
fn a_reused_connection_that_ends_at_once_is_stale_and_its_idle_time_is_avoided_afterwards() {
    let mut fixture = Fixture::new(MAX_CONNECTIONS);
    for _ in 0..2 {
        start_and_send(&mut fixture, false, 0.0);
        let mut peer = fixture.accept();
        fixture.step_all(0.0);
        respond(&mut peer);
        assert_eq!(fixture.wait_for_outcome(5.0), Outcome::Success);
        start_and_send(&mut fixture, true, 105.0);
        peer.read_exact(&mut [0; 2]).unwrap();
        drop(peer);
        assert_eq!(
            fixture.wait_for_outcome(106.0),
            Outcome::StaleConnection,
            "the connection had been idle for 100 ms"
        );
    }
    start_and_send(&mut fixture, true, 1_000.0);
    let mut peer = fixture.accept();
    fixture.step_all(1_000.0);
    respond(&mut peer);
    assert_eq!(fixture.wait_for_outcome(1_000.0), Outcome::Success);
    for (must_not_be_lost, idle_time, opened) in
        [(true, 79.0, 3), (false, 200.0, 3), (true, 90.0, 4)]
    {
        start_and_send(&mut fixture, must_not_be_lost, 1_000.0 + idle_time);
        assert_eq!(
            fixture.egress.connections_opened, opened,
            "connections opened, with must_not_be_lost={must_not_be_lost} after {idle_time} ms"
        );
        if opened == 3 {
            respond(&mut peer);
            assert_eq!(fixture.wait_for_outcome(1_000.0), Outcome::Success);
        }
    }
}

#[test]
fn idle_connections_make_room_for_new_ones_and_are_closed_at_the_idle_limit() {
    let mut fixture = Fixture::new(1);
    for endpoint in 0..3 {
        let request = AttemptRequest {
            id: MessageId(endpoint.into()),
            endpoint: EndpointId(endpoint),
            head: b"x",
            ..two_byte_request(false)
        };
        fixture.start(&request, 5.0);
        let mut peer = fixture.accept();
        let is_flushed = |connection: &EndpointConnection| connection.socket.is_flushed();
        while !fixture.egress.connections.iter().all(is_flushed) {
            fixture.step_all(5.0);
        }
        peer.read_exact(&mut [0]).unwrap();
        peer.write_all(SUCCESS_RESPONSE).unwrap();
        assert_eq!(fixture.wait_for_outcome(6.0), Outcome::Success);
        let pool = &fixture.egress.connections;
        assert_eq!(
            (pool.slots.len(), pool.idle.len()),
            (1, 1),
            "the previous connection was closed"
        );
    }
    let egress = &mut fixture.egress;
    assert!(
        egress.next_deadline() < 15_000.0,
        "before the endpoint's idle limit"
    );
    egress.expire_timeouts(egress.next_deadline());
    assert!(egress.connections.slots.is_empty() && egress.connections.idle.is_empty());
    assert!(egress.results.is_empty());
}

/// Carries out one exchange with the endpoint that listens on `listener`, on a new connection. Returns the endpoint's
/// side of the connection and the number of idle connections after the exchange.
fn exchange(
    fixture: &mut Fixture,
    listener: &TcpListener,
    request: &AttemptRequest,
    response: &[u8],
) -> (TcpStream, usize) {
    let opened = fixture.egress.connections_opened;
    let address = listener.local_addr().unwrap();
    fixture.egress.start(request, address, 0.0);
    // The connection of an earlier exchange cannot be reused: a rejection has ended it.
    assert_eq!(fixture.egress.connections_opened, opened + 1);
    let (mut peer, _) = listener.accept().unwrap();
    while fixture.egress.sent_messages.is_empty() {
        fixture.step_all(0.0);
    }
    fixture.egress.sent_messages.clear();
    peer.read_exact(&mut [0; 2]).unwrap();
    peer.write_all(response).unwrap();
    fixture.wait_for_outcome(0.0);
    (peer, fixture.egress.connections.idle.len())
}

#[rstest::rstest]
#[case::rejected_for_lack_of_connections("503 Full", "", 0, true)]
#[case::rejected_by_a_rate_limit("429 Full", "X-Backoff-Ms: 900\r\n", 0, false)]
#[case::rejected_by_another_kind("503 Full", "", 1, false)]
fn idle_connections_are_closed_if_their_kind_of_endpoint_has_no_spare_connections(
    #[case] status: &str,
    #[case] backoff_header: &str,
    #[case] kind: usize,
    #[case] closed: bool,
) {
    // Guards against a sender that keeps a scarce connection forever: it is never rejected itself, and the senders
    // without a connection are never served.
    let mut fixture = Fixture::new(MAX_CONNECTIONS);
    let request = |endpoint, kind| AttemptRequest {
        endpoint: EndpointId(endpoint),
        kind,
        ..two_byte_request(false)
    };
    let listener = || TcpListener::bind("127.0.0.1:0").unwrap();
    let serving_listener = listener();
    let (mut kept, idle) = exchange(
        &mut fixture,
        &serving_listener,
        &request(0, 0),
        SUCCESS_RESPONSE,
    );
    assert_eq!(idle, 1, "the connection is kept before any rejection");
    let rejecting_listener = listener();
    let rejection = format!(
        "HTTP/1.1 {status}\r\n{backoff_header}Content-Length: 0\r\nConnection: close\r\n\r\n"
    );
    let mut reject = || {
        let request = request(1, kind);
        exchange(
            &mut fixture,
            &rejecting_listener,
            &request,
            rejection.as_bytes(),
        )
        .1
    };
    assert_eq!(
        [reject(), reject(), reject()],
        [1, 1, usize::from(!closed)],
        "idle connections: two rejections may be chance, three are not"
    );
    kept.set_nonblocking(true).unwrap();
    assert_eq!(
        kept.read(&mut [0]).is_ok_and(|n| n == 0),
        closed,
        "whether the endpoint sees the connection end"
    );
}
