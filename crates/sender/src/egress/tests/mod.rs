//! Tests of the exchanges with endpoints over real sockets, and of the pure parts.

mod attempt_end;
mod connection_faults;
mod connection_reuse;
mod last_byte;
mod responses;
mod snapshot;

use std::io::Read;

use super::connection_faults::RESETS_EXPECTED_FROM;
use super::*;

/// A request of two bytes to one endpoint.
fn two_byte_request(must_not_be_lost: bool) -> AttemptRequest<'static> {
    AttemptRequest {
        id: MessageId(1),
        attempt: 0,
        endpoint: EndpointId(1),
        kind: 0,
        destination: 7,
        timeout: 1e9,
        latest: f64::INFINITY,
        must_not_be_lost,
        head: b"xy",
        body: b"",
    }
}

/// Handles a connection; requests begin whose connections are established.
fn step(egress: &mut Egress, at: usize, now: Millis) -> bool {
    let more = egress.on_ready(at, now);
    egress.send_ready(|_, _| true, now);
    more
}

/// An egress with one request on a connection to a peer, whose last byte is held back.
fn egress_with_one_request(
    latest: Millis,
) -> (
    Egress,
    std::net::TcpStream,
    calloop::EventLoop<'static, crate::event_source::Ready>,
) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
    let mut egress = Egress::new(&events.handle(), &BufferPool::new(8), 9, 1_000.0, 15_000.0);
    egress.resets.recent_resets = RESETS_EXPECTED_FROM;
    let request = AttemptRequest {
        timeout: 500.0,
        latest,
        ..two_byte_request(true)
    };
    egress.start(&request, listener.local_addr().unwrap(), 0.0);
    let (peer, _) = listener.accept().unwrap();
    (egress, peer, events)
}

fn everything_received(mut peer: std::net::TcpStream) -> Vec<u8> {
    peer.set_read_timeout(Some(std::time::Duration::from_secs(20)))
        .unwrap();
    let mut text = Vec::new();
    let _ = peer.read_to_end(&mut text);
    text
}
