//! A load that hands messages in as fast as they are delivered, with a bound on those in flight.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_http::{self as http, EventLoopHandle, ReadyEvents};

use super::Connection;
use super::endpoints::ImmediateEndpoints;
use crate::error::LabError;

/// Connections of the load.
const CLIENTS: usize = 32;
const BUFFERS_PER_CLIENT: usize = 4;
/// Bytes of a message's body.
const BODY_SIZE: usize = 212;
const ACCEPTED_STATUS: u16 = 202;
const POLL_INTERVAL: Duration = Duration::from_micros(200);

/// A connection that hands messages in, one at a time.
struct Client {
    connection: Connection,
    /// It waits for an answer.
    waiting: bool,
}

impl Client {
    /// Reads an answer, if one has come; whether it accepts the message.
    fn read_answer(&mut self) -> bool {
        self.connection.receive();
        if !self.waiting {
            return false;
        }
        let Ok(Some(answer)) = http::parse_response(self.connection.bytes()) else {
            return false;
        };
        self.connection.consume(answer.consumed);
        self.waiting = false;
        answer.status == ACCEPTED_STATUS
    }

    fn hand_in(&mut self, message: u64, body: &str) {
        let request = format!(
            "POST /load HTTP/1.1\r\nHost: roof\r\nX-Request-ID: r{message}\r\nX-Timeout: 10.000\r\nX-Route-To: dest=0\r\n\
             Content-Length: {BODY_SIZE}\r\n\r\n{body}"
        );
        self.waiting = true;
        self.connection.queue(request.as_bytes());
        self.connection.flush();
    }
}

/// Hands messages in, each under a number of its own.
pub(super) struct LoadGenerator<'a> {
    endpoints: &'a ImmediateEndpoints,
    max_in_flight: u64,
    last_message: u64,
}

impl<'a> LoadGenerator<'a> {
    /// A load for programs that deliver to these endpoints.
    pub fn new(endpoints: &'a ImmediateEndpoints, max_in_flight: u64) -> LoadGenerator<'a> {
        LoadGenerator {
            endpoints,
            max_in_flight,
            last_message: 0,
        }
    }

    /// How many messages were delivered so far, by all programs.
    pub fn served(&self) -> u64 {
        self.endpoints.served()
    }

    /// Puts a program under load for a time; how many messages were delivered a second.
    ///
    /// # Errors
    /// Where the program cannot be reached, or closes a connection.
    pub fn run(&mut self, to: SocketAddr, span: Duration) -> Result<f64, LabError> {
        let mut events = EventLoop::<ReadyEvents<usize>>::try_new().map_err(LabError::EventLoop)?;
        let buffers = BufferPool::new(CLIENTS * BUFFERS_PER_CLIENT);
        let mut clients = connect(to, &events.handle(), &buffers)?;
        let body = "x".repeat(BODY_SIZE);
        let start = Instant::now();
        let before = self.served();
        let mut accepted = 0;
        let mut ready = ReadyEvents::default();
        while start.elapsed() < span {
            for client in &mut clients {
                accepted += u64::from(client.read_answer());
                if client.connection.eof || client.connection.broken {
                    return Err(LabError::ClosedUnderLoad(to));
                }
                let in_flight = (before + accepted).saturating_sub(self.served());
                if !client.waiting && in_flight < self.max_in_flight {
                    self.last_message += 1;
                    client.hand_in(self.last_message, &body);
                }
            }
            events
                .dispatch(POLL_INTERVAL, &mut ready)
                .map_err(LabError::Dispatch)?;
            ready.keys.clear();
        }
        let delivered = self.served() - before;
        Ok(delivered as f64 / start.elapsed().as_secs_f64())
    }
}

fn connect(
    to: SocketAddr,
    handle: &EventLoopHandle<usize>,
    buffers: &BufferPool,
) -> Result<Vec<Client>, LabError> {
    (0..CLIENTS)
        .map(|key| {
            let connection = Connection::connect(to, handle, buffers, key)
                .map_err(|source| LabError::Connect { to, source })?;
            Ok(Client {
                connection,
                waiting: false,
            })
        })
        .collect()
}
