//! A load generator that submits messages as fast as they are delivered, with a bound on the messages in flight.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_http::{self as http, EventLoopHandle, ReadyEvents};

use super::Connection;
use super::endpoints::ImmediateEndpoints;
use crate::error::LabError;

/// Number of client connections.
const CLIENTS: usize = 32;
const BUFFERS_PER_CLIENT: usize = 4;
/// Length of a message body in bytes.
const BODY_SIZE: usize = 212;
const ACCEPTED_STATUS: u16 = 202;
const POLL_INTERVAL: Duration = Duration::from_micros(200);

/// A client connection that submits one message at a time.
struct Client {
    connection: Connection,
    /// Whether an answer is outstanding.
    waiting: bool,
}

impl Client {
    /// Reads an answer, if a complete one has arrived. Returns whether it accepts the message.
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

    fn submit(&mut self, message: u64, body: &str) {
        let request = format!(
            "POST /load HTTP/1.1\r\nHost: roof\r\nX-Request-ID: r{message}\r\nX-Timeout: 10.000\r\nX-Route-To: dest=0\r\n\
             Content-Length: {BODY_SIZE}\r\n\r\n{body}"
        );
        self.waiting = true;
        self.connection.queue(request.as_bytes());
        self.connection.flush();
    }
}

/// Submits messages, each with a unique number.
pub(super) struct LoadGenerator<'a> {
    endpoints: &'a ImmediateEndpoints,
    max_in_flight: u64,
    last_message: u64,
}

impl<'a> LoadGenerator<'a> {
    /// A load generator for programs that deliver to these endpoints.
    pub fn new(endpoints: &'a ImmediateEndpoints, max_in_flight: u64) -> LoadGenerator<'a> {
        LoadGenerator {
            endpoints,
            max_in_flight,
            last_message: 0,
        }
    }

    /// Number of messages that all programs have delivered so far.
    pub fn delivered(&self) -> u64 {
        self.endpoints.answered()
    }

    /// Loads a program for the given time, and returns the number of messages delivered a second.
    ///
    /// # Errors
    /// If the program cannot be reached, or closes a connection.
    pub fn run(&mut self, to: SocketAddr, duration: Duration) -> Result<f64, LabError> {
        let mut events = EventLoop::<ReadyEvents<usize>>::try_new().map_err(LabError::EventLoop)?;
        let buffers = BufferPool::new(CLIENTS * BUFFERS_PER_CLIENT);
        let mut clients = connect(to, &events.handle(), &buffers)?;
        let body = "x".repeat(BODY_SIZE);
        let start = Instant::now();
        let delivered_before = self.delivered();
        let mut accepted = 0;
        let mut ready = ReadyEvents::default();
        while start.elapsed() < duration {
            for client in &mut clients {
                accepted += u64::from(client.read_answer());
                if client.connection.eof || client.connection.broken {
                    return Err(LabError::ClosedUnderLoad(to));
                }
                let in_flight = (delivered_before + accepted).saturating_sub(self.delivered());
                if !client.waiting && in_flight < self.max_in_flight {
                    self.last_message += 1;
                    client.submit(self.last_message, &body);
                }
            }
            events
                .dispatch(POLL_INTERVAL, &mut ready)
                .map_err(LabError::Dispatch)?;
            ready.keys.clear();
        }
        let delivered = self.delivered() - delivered_before;
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
