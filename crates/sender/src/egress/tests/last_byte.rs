//! Tests of requests that have not been completely sent.

use std::io::{Read, Write};

use super::*;

/// One request that must not be lost, whose connection the endpoint closes: once its last byte has been sent, or
/// otherwise once all the others have.
fn lose_connection(fixture: &mut Fixture, now: Millis, last_byte_sent: bool) -> Outcome {
    let request = AttemptRequest {
        head: b"he",
        body: b"body",
        ..two_byte_request(true)
    };
    fixture.start(&request, now);
    let mut peer = fixture.accept();
    let egress = &mut fixture.egress;
    let is_sent = |(slot, c): (usize, &EndpointConnection)| {
        c.connected && c.connection.is_flushed() && slot == 0
    };
    while !egress.connections.slots.iter().all(is_sent) {
        step(egress, 0, now);
    }
    peer.read_exact(&mut [0; 5]).unwrap();
    if !last_byte_sent {
        drop(peer);
        return fixture.outcome(now);
    }
    let later = now + LAST_BYTE_DELAY;
    assert!(egress.next_deadline() <= later, "it is not forgotten");
    egress.expire_timeouts(later);
    peer.read_exact(&mut [0]).unwrap();
    drop(peer);
    fixture.outcome(later)
}

#[test]
fn while_resets_are_expected_a_request_that_must_not_be_lost_is_proven_never_to_have_run() {
    let mut fixture = Fixture::new(SLOTS);
    assert_eq!(
        lose_connection(&mut fixture, 0.0, false),
        Outcome::ConnectionLost,
        "nothing was known: all of it had been sent"
    );
    assert_eq!(
        lose_connection(&mut fixture, 10.0, false),
        Outcome::NotSent,
        "its last byte had not been sent"
    );
    assert_eq!(
        lose_connection(&mut fixture, 20.0, true),
        Outcome::ConnectionLost,
        "it had"
    );
}

#[rstest::rstest]
#[case::in_time(100.0, b"xy")]
#[case::too_late(99.0, b"")]
fn a_request_whose_connection_is_established_too_late_never_begins(
    #[case] latest: Millis,
    #[case] received: &[u8],
) {
    // The endpoint would have forgotten its idempotency key by then, and it would take effect twice.
    let (mut fixture, peer) = one_request(latest);
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
fn a_response_before_the_last_byte_counts_only_as_a_rejection(
    #[case] status: &str,
    #[case] cancelled: bool,
    #[case] outcome: Outcome,
) {
    // A time to wait counts from when it was written. But nothing runs before its last byte: a stray 200 must not end
    // a message that never ran.
    let (mut fixture, mut peer) = one_request(f64::INFINITY);
    let egress = &mut fixture.egress;
    peer.set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    for _ in 0..100_000 {
        if egress.connections[0].connection.written > 0 {
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
    assert_eq!(received, b"", "its last byte has not been sent");
}

#[rstest::rstest]
#[case::as_its_endpoint_is_draining(EndpointId(1), 0, true)]
#[case::as_its_destination_asked_to_wait(EndpointId(9), 7, true)]
#[case::but_not_for_others(EndpointId(9), 9, false)]
fn a_request_that_has_not_begun_is_withdrawn(
    #[case] draining: EndpointId,
    #[case] waiting: u64,
    #[case] withdrawn: bool,
) {
    // A connection that is established behind a drain or a time to wait must not carry a request into it.
    let (mut fixture, peer) = one_request(f64::INFINITY);
    let egress = &mut fixture.egress;
    egress.cancel_unsent(
        |destination, endpoint| endpoint == draining || destination == waiting,
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
