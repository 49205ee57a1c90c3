//! Tests of requests that have not been sent completely.

use std::io::{Read, Write};

use super::*;

/// Sends a request that must not be lost, and has the endpoint close the connection: after the last byte if
/// `last_byte_sent`, otherwise after all bytes before it. Returns the outcome.
fn lose_connection(fixture: &mut Fixture, now: Millis, last_byte_sent: bool) -> Outcome {
    let request = AttemptRequest {
        head: b"he",
        body: b"body",
        ..two_byte_request(true)
    };
    fixture.start(&request, now);
    let mut peer = fixture.accept();
    let egress = &mut fixture.egress;
    let is_sent = |(slot, connection): (usize, &EndpointConnection)| {
        connection.connected && connection.socket.is_flushed() && slot == 0
    };
    while !egress.connections.slots.iter().all(is_sent) {
        step(egress, 0, now);
    }
    peer.read_exact(&mut [0; 5]).unwrap();
    if !last_byte_sent {
        drop(peer);
        return fixture.wait_for_outcome(now);
    }
    let later = now + LAST_BYTE_DELAY;
    assert!(egress.next_deadline() <= later, "the last byte is due");
    egress.expire_timeouts(later);
    peer.read_exact(&mut [0]).unwrap();
    drop(peer);
    fixture.wait_for_outcome(later)
}

#[test]
fn a_request_lost_before_its_last_byte_while_resets_are_expected_counts_as_not_sent() {
    let mut fixture = Fixture::new(MAX_CONNECTIONS);
    assert_eq!(
        lose_connection(&mut fixture, 0.0, false),
        Outcome::ConnectionLost,
        "no reset was expected, so the whole request had been sent"
    );
    assert_eq!(
        lose_connection(&mut fixture, 10.0, false),
        Outcome::NotSent,
        "the last byte had not been sent"
    );
    assert_eq!(
        lose_connection(&mut fixture, 20.0, true),
        Outcome::ConnectionLost,
        "the last byte had been sent"
    );
}

#[rstest::rstest]
#[case::in_time(100.0, b"xy")]
#[case::too_late(99.0, b"")]
fn a_request_whose_connection_is_established_too_late_never_begins(
    #[case] latest_start: Millis,
    #[case] received: &[u8],
) {
    // The endpoint may have forgotten the idempotency key by then, and the request would take effect twice.
    let (mut fixture, peer) = start_request_with_held_back_byte(latest_start);
    let egress = &mut fixture.egress;
    for _ in 0..100_000 {
        if !egress.results.is_empty() || !egress.sent_messages.is_empty() {
            break;
        }
        egress.on_ready(0, 100.0);
        egress.begin_established_requests(|_, _, _| SendPermission::Granted, 100.0);
        egress.on_ready(0, 100.0 + LAST_BYTE_DELAY);
    }
    assert_eq!(
        egress.results.pop().map(|result| result.outcome),
        received.is_empty().then_some(Outcome::NotSent)
    );
    drop(fixture);
    assert_eq!(everything_received(peer), received);
}

#[rstest::rstest]
#[case::rejected_and_cancelled("429 Full", true, Outcome::Overloaded { retry_after: 900_000_000 })]
#[case::rejected_and_timed_out("429 Full", false, Outcome::Overloaded { retry_after: 900_000_000 })]
#[case::confirmed_and_cancelled("200 OK", true, Outcome::NotSent)]
fn a_response_before_the_last_byte_counts_only_if_it_is_a_rejection(
    #[case] status: &str,
    #[case] cancelled: bool,
    #[case] outcome: Outcome,
) {
    // A backoff applies from when the endpoint wrote it. But a request cannot run before its last byte is written, so a
    // stray 200 must not end the message.
    let (mut fixture, mut peer) = start_request_with_held_back_byte(f64::INFINITY);
    let egress = &mut fixture.egress;
    peer.set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    for _ in 0..100_000 {
        if egress.connections[0].socket.written > 0 {
            break;
        }
        egress.on_ready(0, 1.0);
        egress.begin_established_requests(|_, _, _| SendPermission::Granted, 1.0);
    }
    peer.read_exact(&mut [0]).unwrap();
    peer.write_all(
        format!("HTTP/1.1 {status}\r\nX-Backoff-Ms: 900\r\nContent-Length: 0\r\n\r\n").as_bytes(),
    )
    .unwrap();
    if cancelled {
        egress.cancel(MessageId(1), 0, 2.0);
    } else {
        egress.expire_timeouts(500.0);
    }
    assert_eq!(
        egress
            .results
            .iter()
            .map(|result| result.outcome)
            .collect::<Vec<_>>(),
        [outcome]
    );
    drop(fixture);
    let received = everything_received(peer);
    assert_eq!(received, b"", "the last byte was not sent");
}

#[rstest::rstest]
#[case::endpoint_draining(EndpointId(1), 0, true)]
#[case::destination_in_backoff(EndpointId(9), 7, true)]
#[case::other_endpoint_and_destination(EndpointId(9), 9, false)]
fn an_unsent_request_is_withdrawn_if_its_endpoint_drains_or_its_destination_is_in_backoff(
    #[case] draining: EndpointId,
    #[case] in_backoff: u64,
    #[case] withdrawn: bool,
) {
    // A connection that is established after the drain or the backoff has begun must not carry the request.
    let (mut fixture, peer) = start_request_with_held_back_byte(f64::INFINITY);
    let egress = &mut fixture.egress;
    egress.cancel_unsent(
        |destination, endpoint| endpoint == draining || destination == in_backoff,
        1.0,
    );
    assert_eq!(
        egress.results.pop().map(|result| result.outcome),
        withdrawn.then_some(Outcome::NotSent)
    );
    for _ in 0..100 {
        step(egress, 0, 1.0);
        step(egress, 0, 1.0 + LAST_BYTE_DELAY);
    }
    drop(fixture);
    assert_eq!(
        everything_received(peer),
        if withdrawn { &b""[..] } else { b"xy" }
    );
}

/// Guards against doubt where there is none: a request whose last byte was held back never ran, whatever the bytes of its
/// rejection.
/// Guards against a loss, too: a copy of an earlier 410 does not close the message.
#[rstest::rstest]
#[case::refused(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", Outcome::Overloaded { retry_after: 0 }, MessageGone::No)]
#[case::gone(
    b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
    Outcome::NotSent,
    MessageGone::Possibly
)]
fn a_rejection_before_the_last_byte_is_certain_even_if_it_is_like_an_earlier_one(
    #[case] rejection: &[u8],
    #[case] outcome: Outcome,
    #[case] gone: MessageGone,
) {
    let mut fixture = Fixture::new(MAX_CONNECTIONS);
    let request = AttemptRequest {
        is_repeatable: false,
        ..two_byte_request(true)
    };
    fixture.start(&request, 0.0);
    let mut peer = fixture.accept();
    while fixture.egress.sent_messages.is_empty() {
        fixture.step_all(0.0);
    }
    peer.read_exact(&mut [0; 2]).unwrap();
    peer.write_all(rejection).unwrap();
    fixture.wait_for_outcome(0.0);
    fixture.egress.resets.recent_resets = RESET_EXPECTED_THRESHOLD;
    fixture.start(&request, 0.0);
    assert_eq!(fixture.egress.connections_opened, 1);
    fixture.step_all(0.0);
    peer.read_exact(&mut [0]).unwrap();
    peer.write_all(rejection).unwrap();
    while fixture.egress.results.is_empty() {
        fixture.step_all(0.0);
    }
    let result = fixture.egress.results.pop().unwrap();
    assert_eq!(
        (result.outcome, result.evidence, result.gone),
        (outcome, Evidence::Certain, gone)
    );
    assert_eq!(fixture.egress.take_settlements(), []);
}
