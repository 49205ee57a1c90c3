//! Messages with two attempts: what has arrived for one of them counts before a byte of the other is sent.

use std::io::{Read, Write};

use super::*;

const GONE: &[u8] = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";

/// Starts a request, and handles the connections until it is sent. Returns the endpoint's side of its connection.
fn send_completely(fixture: &mut Fixture, request: &AttemptRequest) -> TcpStream {
    fixture.start(request, 0.0);
    let mut peer = fixture.accept();
    while fixture.egress.sent_messages.is_empty() {
        fixture.step_all(0.0);
    }
    fixture.egress.sent_messages.clear();
    peer.read_exact(&mut [0; 2]).unwrap();
    peer
}

/// Writes as the endpoint, and waits until the bytes can be read.
fn write_and_wait(fixture: &mut Fixture, peer: &mut TcpStream, bytes: &[u8]) {
    fixture.clear_events();
    peer.write_all(bytes).unwrap();
    fixture.wait_for_event();
}

fn hedged_request() -> AttemptRequest<'static> {
    AttemptRequest {
        attempt: 1,
        endpoint: EndpointId(2),
        ..two_byte_request(true)
    }
}

/// Guards against a hedged request for a message that is over: its 410 had arrived but was not read before the first or
/// the last byte was sent, as the process had been held up.
#[rstest::rstest]
#[case::before_the_first_byte(0)]
#[case::before_the_last_byte(1)]
fn a_410_that_has_arrived_is_read_before_a_byte_of_another_attempt(#[case] sent: usize) {
    let mut fixture = Fixture::new(MAX_CONNECTIONS);
    let mut first_peer = send_completely(&mut fixture, &two_byte_request(true));
    fixture.egress.resets.recent_resets = RESET_EXPECTED_THRESHOLD;
    fixture.start(&hedged_request(), 0.0);
    let mut second_peer = fixture.accept();
    if sent > 0 {
        while fixture.egress.connections[1].socket.written == 0 {
            step(&mut fixture.egress, 1, 0.0);
        }
        second_peer.read_exact(&mut [0]).unwrap();
    }
    write_and_wait(&mut fixture, &mut first_peer, GONE);
    for _ in 0..3 {
        if fixture.egress.connections.contains(1) {
            step(&mut fixture.egress, 1, LAST_BYTE_DELAY);
        }
    }
    let gone: Vec<MessageGone> = fixture
        .egress
        .results
        .iter()
        .map(|result| result.gone)
        .collect();
    assert_eq!(gone, [MessageGone::Certainly]);
    fixture
        .egress
        .withdraw_incomplete(MessageId(1), LAST_BYTE_DELAY);
    drop(fixture);
    assert_eq!(everything_received(second_peer), b"");
}

/// Guards against a retry for a message that may be over: the refusal before it was a copy, and the 410 behind that copy
/// had arrived but was not read.
#[test]
fn a_surplus_410_that_has_arrived_is_read_before_a_byte_of_the_next_attempt() {
    const REFUSAL: &[u8] = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
    let mut fixture = Fixture::new(MAX_CONNECTIONS);
    let earlier = AttemptRequest {
        id: MessageId(7),
        ..two_byte_request(false)
    };
    let mut first_peer = send_completely(&mut fixture, &earlier);
    first_peer.write_all(REFUSAL).unwrap();
    fixture.wait_for_outcome(0.0);
    fixture.start(&two_byte_request(false), 0.0);
    fixture.step_all(0.0);
    first_peer.read_exact(&mut [0; 2]).unwrap();
    first_peer.write_all(REFUSAL).unwrap();
    assert!(fixture.wait_for_outcome(0.0).never_ran());
    fixture.start(&hedged_request(), 1.0);
    let second_peer = fixture.accept();
    write_and_wait(&mut fixture, &mut first_peer, GONE);
    for _ in 0..3 {
        step(&mut fixture.egress, 1, 1.0);
    }
    let is_gone = |settlement: &Settlement| matches!(settlement, Settlement::Doubtful { answered, gone: MessageGone::Possibly } if answered.id == MessageId(1));
    assert!(fixture.egress.take_settlements().iter().any(is_gone));
    fixture.egress.withdraw_incomplete(MessageId(1), 1.0);
    drop(fixture);
    assert_eq!(everything_received(second_peer), b"");
}
