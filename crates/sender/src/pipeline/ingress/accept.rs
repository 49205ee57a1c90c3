//! Accepts clients' connections.

use std::io::{Error, ErrorKind};
use std::net::TcpStream;

use martenlatch_clock::Millis;
use martenlatch_http as http;
use tracing::{debug, warn};

use super::{Client, Ingress};
use crate::counters::Counters;
use crate::event_source::{Connection, EventSource};

/// The largest number of connections accepted in one round, so that a burst does not stall the loop.
const MAX_ACCEPTS_PER_ROUND: usize = 64;
/// How long accepting pauses after an error, such as a shortage of descriptors.
const ACCEPT_PAUSE: Millis = 50.0;

impl Ingress {
    /// Accepts the waiting connections. Returns true if there may be more.
    pub(in crate::pipeline) fn accept(&mut self, now: Millis, counters: &mut Counters) -> bool {
        self.accept_retry_at = None;
        let Some(listener) = self.listener.clone() else {
            return false;
        };
        let waiting_since = self.waiting_since.unwrap_or(self.readable_since);
        self.waiting_since = Some(waiting_since);
        for _ in 0..MAX_ACCEPTS_PER_ROUND {
            match listener.accept() {
                Ok((stream, _)) => {
                    counters.client_connections += 1;
                    self.add_client(stream, now, waiting_since);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.waiting_since = None;
                    return false;
                }
                // The client has disconnected already, or a signal interrupted the call.
                Err(error) if http::concerns_one_connection(&error) => {}
                Err(error) => {
                    self.pause_accepting(&error, now);
                    return false;
                }
            }
        }
        true
    }

    /// Adds a client that may have waited since `waiting_since`. It is read at once: bytes that arrive later are known
    /// to be more recent than its connection.
    fn add_client(&mut self, stream: TcpStream, now: Millis, waiting_since: Millis) {
        if self.clients.len() >= self.limits.max_clients {
            self.evict(now, true);
        }
        let entry = self.clients.vacant_entry();
        let source = EventSource::Client(entry.key());
        match Connection::new(stream, &self.handle, &self.pool, source) {
            Ok(connection) => {
                debug!(client = entry.key(), "client connected");
                let client = entry.insert(Client::new(connection, now));
                client.receive(now, waiting_since);
                if client.has_input() || client.has_left() || client.unread_since.is_some() {
                    self.accepted_ready.push(source);
                }
            }
            // Nothing has been read from the client. It sees a reset or the end of the connection, and knows that
            // nothing was processed.
            Err(error) => {
                warn!(error = ?error.kind(), "client connection not registered with the event loop")
            }
        }
    }

    /// Pauses accepting for [`ACCEPT_PAUSE`] after an error. The event loop will not report the waiting connections
    /// again, so accepting is retried on a timer. If descriptors or memory are short, an idle client is evicted
    /// meanwhile.
    fn pause_accepting(&mut self, error: &Error, now: Millis) {
        warn!(error = ?error.kind(), "accepting paused");
        if http::is_local_shortage(error) {
            self.evict(now, false);
        }
        self.accept_retry_at = Some(now + ACCEPT_PAUSE);
    }
}
