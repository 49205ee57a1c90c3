//! Tests of the exchanges with endpoints over real sockets, and of the pure parts.

mod attempt_end;
mod connection_faults;
mod connection_reuse;
mod last_byte;
mod responses;
mod snapshot;

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use calloop::EventLoop;

use super::connection_faults::RESETS_EXPECTED_FROM;
use super::*;
use crate::event_source::Ready;

/// A request of two bytes to one endpoint.
fn two_byte_request(must_not_be_lost: bool) -> AttemptRequest<'static> {
    AttemptRequest {
        id: MessageId(1),
        attempt: 0,
        endpoint: EndpointId(1),
        kind: 0,
        destination: 7,
        timeout: 1e9,
        latest_start: f64::INFINITY,
        must_not_be_lost,
        head: b"xy",
        body: b"",
    }
}

/// A response that leaves the connection idle.
const SUCCESS_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// More than the connections of any test.
const SLOTS: usize = 9;

/// Handles a connection; requests begin whose connections are established.
fn step(egress: &mut Egress, slot: usize, now: Millis) -> bool {
    let more = egress.on_ready(slot, now);
    egress.begin_established_requests(|_, _, _| SendPermission::Granted, now);
    more
}

/// An egress, and an endpoint that it sends to.
struct Fixture {
    egress: Egress,
    pool: BufferPool,
    events: EventLoop<'static, Ready>,
    listener: TcpListener,
}

impl Fixture {
    fn new(max_connections: usize) -> Fixture {
        let events = EventLoop::try_new().unwrap();
        let pool = BufferPool::new(8);
        Fixture {
            egress: Egress::new(&events.handle(), &pool, max_connections, 1_000.0, 15_000.0),
            pool,
            events,
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        }
    }

    fn start(&mut self, request: &AttemptRequest, now: Millis) {
        let address = self.listener.local_addr().unwrap();
        self.egress.start(request, address, now);
    }

    /// The endpoint's side of the next connection.
    fn accept(&self) -> TcpStream {
        self.listener.accept().unwrap().0
    }

    fn step_all(&mut self, now: Millis) {
        (0..SLOTS).for_each(|slot| _ = step(&mut self.egress, slot, now));
    }

    /// Steps until an attempt ends.
    fn outcome(&mut self, now: Millis) -> Outcome {
        while self.egress.results.is_empty() {
            self.step_all(now);
        }
        self.egress.results.pop().unwrap().outcome
    }

    /// Takes what the event loop has reported so far.
    fn clear_events(&mut self) {
        let mut ready = Ready::default();
        self.events
            .dispatch(Some(Duration::ZERO), &mut ready)
            .unwrap();
    }

    /// Waits until the event loop reports something.
    fn wait_for_event(&mut self) {
        let mut ready = Ready::default();
        while ready.keys.is_empty() {
            self.events.dispatch(None, &mut ready).unwrap();
        }
    }
}

/// A fixture with one request on a connection, whose last byte is held back; and the endpoint's side.
fn one_request(latest: Millis) -> (Fixture, TcpStream) {
    let mut fixture = Fixture::new(SLOTS);
    fixture.egress.resets.recent_resets = RESETS_EXPECTED_FROM;
    let request = AttemptRequest {
        timeout: 500.0,
        latest_start: latest,
        ..two_byte_request(true)
    };
    fixture.start(&request, 0.0);
    let peer = fixture.accept();
    (fixture, peer)
}

fn everything_received(mut peer: TcpStream) -> Vec<u8> {
    peer.set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let mut text = Vec::new();
    let _ = peer.read_to_end(&mut text);
    text
}
