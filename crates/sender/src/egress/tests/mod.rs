//! Tests of exchanges with endpoints over real sockets, and of the parts without sockets.

mod attempt_end;
mod connection_faults;
mod connection_reuse;
mod last_byte;
mod other_attempts;
mod repeated_responses;
mod responses;
mod snapshot;

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use calloop::EventLoop;

use martenlatch_policy::interface::Outcome;

use super::connection_faults::RESET_EXPECTED_THRESHOLD;
use super::endpoint_connection::EndpointConnection;
use super::*;
use crate::event_source::ReadyEvents;

/// A request of two bytes to an endpoint.
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
        is_repeatable: true,
        head: b"xy",
        body: b"",
    }
}

/// A response with status 200 after which the connection can be reused.
const SUCCESS_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// A limit on connections that no test reaches.
const MAX_CONNECTIONS: usize = 9;

/// Handles a connection as if it were ready, and begins the requests on established connections. Returns whether there
/// may be more to read.
fn step(egress: &mut Egress, slot: usize, now: Millis) -> bool {
    let has_more = egress.on_ready(slot, now);
    egress.begin_established_requests(|_, _, _| SendPermission::Granted, now);
    has_more
}

/// An egress and the listening socket of an endpoint.
struct Fixture {
    egress: Egress,
    buffers: BufferPool,
    events: EventLoop<'static, ReadyEvents>,
    listener: TcpListener,
}

impl Fixture {
    fn new(max_connections: usize) -> Fixture {
        let events = EventLoop::try_new().unwrap();
        let buffers = BufferPool::new(8);
        Fixture {
            egress: Egress::new(
                &events.handle(),
                &buffers,
                max_connections,
                1_000.0,
                15_000.0,
            ),
            buffers,
            events,
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        }
    }

    fn start(&mut self, request: &AttemptRequest, now: Millis) {
        let address = self.listener.local_addr().unwrap();
        self.egress.start(request, address, now);
    }

    /// Accepts the next connection as the endpoint.
    fn accept(&self) -> TcpStream {
        self.listener.accept().unwrap().0
    }

    fn step_all(&mut self, now: Millis) {
        (0..MAX_CONNECTIONS).for_each(|slot| _ = step(&mut self.egress, slot, now));
    }

    /// Handles all connections until an attempt ends, and returns its outcome.
    fn wait_for_outcome(&mut self, now: Millis) -> Outcome {
        while self.egress.results.is_empty() {
            self.step_all(now);
        }
        self.egress.results.pop().unwrap().outcome
    }

    /// Discards the events that the event loop has reported so far.
    fn clear_events(&mut self) {
        let mut ready = ReadyEvents::default();
        self.events
            .dispatch(Some(Duration::ZERO), &mut ready)
            .unwrap();
    }

    /// Waits until the event loop reports a ready socket.
    fn wait_for_event(&mut self) {
        let mut ready = ReadyEvents::default();
        while ready.keys.is_empty() {
            self.events.dispatch(None, &mut ready).unwrap();
        }
    }
}

/// Starts a request whose last byte is held back. Returns the fixture and the endpoint's side of the connection.
fn start_request_with_held_back_byte(latest_start: Millis) -> (Fixture, TcpStream) {
    let mut fixture = Fixture::new(MAX_CONNECTIONS);
    fixture.egress.resets.recent_resets = RESET_EXPECTED_THRESHOLD;
    let request = AttemptRequest {
        timeout: 500.0,
        latest_start,
        ..two_byte_request(true)
    };
    fixture.start(&request, 0.0);
    let peer = fixture.accept();
    (fixture, peer)
}

/// All bytes that the endpoint receives until the connection ends.
fn everything_received(mut peer: TcpStream) -> Vec<u8> {
    peer.set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let mut received = Vec::new();
    let _ = peer.read_to_end(&mut received);
    received
}
