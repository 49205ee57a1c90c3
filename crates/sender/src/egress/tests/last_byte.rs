//! Tests of requests that have not been completely sent.

use std::io::{Read, Write};

use super::*;

#[test]
fn while_resets_are_expected_a_request_that_must_not_be_lost_is_proven_never_to_have_run() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
    let mut egress = Egress::new(&events.handle(), &BufferPool::new(8), 9, 1_000.0, 15_000.0);
    let mut guarded_request = |now: Millis, fully_sent: bool| {
        egress.start(
            &AttemptRequest {
                head: b"he",
                body: b"body",
                ..two_byte_request(true)
            },
            address,
            now,
        );
        let (mut peer, _) = listener.accept().unwrap();
        while egress
            .connections
            .slots
            .iter()
            .any(|(slot, c)| !c.connected || !c.connection.is_flushed() || slot > 0)
        {
            step(&mut egress, 0, now);
        }
        peer.read_exact(&mut [0; 5]).unwrap();
        if fully_sent {
            assert!(
                egress.next_deadline() <= now + LAST_BYTE_DELAY,
                "it is not forgotten"
            );
            egress.expire_timeouts(now + LAST_BYTE_DELAY);
            peer.read_exact(&mut [0]).unwrap();
        }
        drop(peer);
        while egress.results.is_empty() {
            step(
                &mut egress,
                0,
                if fully_sent {
                    now + LAST_BYTE_DELAY
                } else {
                    now
                },
            );
        }
        egress.results.pop().unwrap().outcome
    };
    assert_eq!(
        guarded_request(0.0, false),
        Outcome::ConnectionLost,
        "nothing was known: all of it had been sent"
    );
    assert_eq!(
        guarded_request(10.0, false),
        Outcome::NotSent,
        "its last byte had not been sent"
    );
    assert_eq!(
        guarded_request(20.0, true),
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
    let (mut egress, peer, _events) = egress_with_one_request(latest);
    for _ in 0..100_000 {
        if !egress.results.is_empty() || !egress.sent.is_empty() {
            break;
        }
        egress.on_ready(0, 100.0);
        egress.send_ready(|_, _| true, 100.0);
        egress.on_ready(0, 100.0 + LAST_BYTE_DELAY);
    }
    assert_eq!(
        egress.results.pop().map(|d| d.outcome),
        received.is_empty().then_some(Outcome::NotSent)
    );
    drop(egress);
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
    let (mut egress, mut peer, _events) = egress_with_one_request(f64::INFINITY);
    peer.set_read_timeout(Some(std::time::Duration::from_secs(20)))
        .unwrap();
    for _ in 0..100_000 {
        if egress.connections[0].connection.written > 0 {
            break;
        }
        egress.on_ready(0, 1.0);
        egress.send_ready(|_, _| true, 1.0);
    }
    peer.read_exact(&mut [0]).unwrap();
    peer.write_all(
        format!("HTTP/1.1 {status}\r\nX-Backoff-Ms: 900\r\nContent-Length: 0\r\n\r\n").as_bytes(),
    )
    .unwrap();
    match cancelled {
        true => egress.cancel(MessageId(1), 0, 2.0),
        false => egress.expire_timeouts(500.0),
    }
    assert_eq!(
        egress.results.iter().map(|d| d.outcome).collect::<Vec<_>>(),
        [outcome]
    );
    drop(egress);
    assert_eq!(
        everything_received(peer),
        b"",
        "its last byte has not been sent"
    );
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
    let (mut egress, peer, _events) = egress_with_one_request(f64::INFINITY);
    egress.cancel_unsent(
        |destination, endpoint| endpoint == draining || destination == waiting,
        1.0,
    );
    assert_eq!(
        egress.results.pop().map(|d| d.outcome),
        withdrawn.then_some(Outcome::NotSent)
    );
    for _ in 0..100 {
        step(&mut egress, 0, 1.0);
        step(&mut egress, 0, 1.0 + LAST_BYTE_DELAY);
    }
    drop(egress);
    assert_eq!(
        everything_received(peer),
        if withdrawn { &b""[..] } else { b"xy" }
    );
}
