//! Connections to endpoints, and the attempts that they carry: one exchange at a time on each.
//!
//! [`Egress`] opens connections at need, reuses idle ones, writes requests, reads responses, and reports how each
//! attempt ended. It never retries, chooses an endpoint, or judges an outcome: the decision module does. Whether an
//! attempt can have run is decided here, by what was written and what came back.
//!
//! - [`connection_pool`]: opening, reusing and closing connections
//! - [`exchange`]: one exchange on a connection
//! - [`response`]: reading responses
//! - [`attempt_end`]: the outcome of an attempt without a complete response
//! - [`connection_faults`]: detection of stale connections and of resets
//! - [`connection_scarcity`]: detection of endpoints without spare connections
//! - [`timeouts`]: time limits
//! - [`snapshot`]: passing all connections to a successor process

mod attempt;
mod attempt_end;
mod connection_faults;
mod connection_pool;
mod connection_scarcity;
mod endpoint_connection;
mod exchange;
mod response;
mod snapshot;
#[cfg(test)]
mod tests;
mod timeouts;

use std::net::SocketAddr;

use martenlatch_clock::Millis;
use martenlatch_http as http;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_policy::interface::{EndpointId, MessageId, Outcome};
use tracing::{debug, warn};

pub use attempt::{AttemptRequest, AttemptResult};
pub use snapshot::EgressSnapshot;

use crate::event_source::Handle;
use attempt::ActiveAttempt;
use attempt_end::EndCause;
use connection_faults::{ResetDetector, StaleConnectionDetector};
use connection_pool::ConnectionPool;
use connection_scarcity::ConnectionScarcity;
use endpoint_connection::{EndpointConnection, HeldBackByte};

/// Part of the endpoints' idle limit after which an idle connection is closed. The rest is for the time on the way:
/// a request that crosses with the endpoint's closing ends as a reset.
const IDLE_LIMIT_SHARE: f64 = 0.9;

/// While resets are expected, the last byte of a request that must not be lost is written this much later than the
/// others, in milliseconds. A request whose connection ends before its last byte has been written never ran.
const LAST_BYTE_DELAY: Millis = 3.0;

/// While attempts cannot be recorded, it is tried again so often, in milliseconds.
const RECORD_RETRY_INTERVAL: Millis = 20.0;

/// Whether a request may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermission {
    /// It is recorded, and begins.
    Granted,
    /// It cannot be recorded now: it is asked again later.
    RetryLater,
    /// It must not be sent.
    Denied,
}

/// All connections to endpoints, with the attempts on them.
pub struct Egress {
    /// The buffers of the connections.
    pub(crate) buffers: BufferPool,
    connections: ConnectionPool,
    /// How long a connection may take to be established.
    connect_timeout: Millis,
    /// How long a connection may be idle.
    idle_limit: Millis,
    stale_connections: StaleConnectionDetector,
    resets: ResetDetector,
    scarcity: ConnectionScarcity,
    /// The attempts that have ended, for the caller to take.
    pub results: Vec<AttemptResult>,
    /// Connections that are established and whose request has not begun: the attempt has to be recorded first.
    established: Vec<usize>,
    /// When the attempts that could not be recorded are tried again.
    record_retry_at: Millis,
    /// The messages whose requests were completely written, for the caller to take.
    pub sent_messages: Vec<MessageId>,
    /// Connections opened so far.
    pub connections_opened: u64,
}

impl Egress {
    /// An egress without connections. `max_connections` counts idle ones too; `connect_timeout` and the endpoints'
    /// `idle_limit` are in milliseconds.
    pub fn new(
        handle: &Handle,
        buffers: &BufferPool,
        max_connections: usize,
        connect_timeout: Millis,
        idle_limit: Millis,
    ) -> Egress {
        Egress {
            buffers: buffers.clone(),
            connections: ConnectionPool::new(handle, buffers, max_connections),
            connect_timeout,
            idle_limit: idle_limit * IDLE_LIMIT_SHARE,
            stale_connections: StaleConnectionDetector::default(),
            resets: ResetDetector::default(),
            scarcity: ConnectionScarcity::default(),
            results: Vec::new(),
            established: Vec::new(),
            record_retry_at: f64::INFINITY,
            sent_messages: Vec::new(),
            connections_opened: 0,
        }
    }

    /// How many attempts are in flight.
    pub fn active_attempts(&self) -> usize {
        self.connections
            .iter()
            .filter(|connection| connection.attempt.is_some())
            .count()
    }

    /// Starts an attempt. One that cannot start is reported at once, with an outcome that proves that it never ran.
    pub fn start(&mut self, request: &AttemptRequest, address: SocketAddr, now: Millis) {
        let attempt = ActiveAttempt::new(request, now);
        let slot = match self.acquire_connection(request, address, now) {
            Ok(slot) => slot,
            Err(error) => {
                warn!(error = ?error.kind(), "endpoint not reached");
                // A lack of descriptors or ports is our own, and says nothing of the endpoint.
                let outcome = if http::is_local_shortage(&error) {
                    Outcome::NotSent
                } else {
                    Outcome::Unreachable
                };
                self.results.push(attempt.result(outcome, now));
                return;
            }
        };
        let hold_back = request.must_not_be_lost && self.resets.expects_reset();
        let connection = &mut self.connections[slot];
        if !queue_request(connection, request, hold_back) {
            self.connections.remove(slot);
            self.results.push(attempt.result(Outcome::NotSent, now));
            return;
        }
        connection.connection.written = 0;
        connection.idle_before = connection.connected.then_some(now - connection.idle_since);
        connection.attempt = Some(attempt);
        connection.connection.corked = true;
        self.progress(slot, now);
    }

    /// An idle connection to the endpoint, or a new one.
    fn acquire_connection(
        &mut self,
        request: &AttemptRequest,
        address: SocketAddr,
        now: Millis,
    ) -> std::io::Result<usize> {
        let max_idle = if request.must_not_be_lost {
            self.stale_connections.max_safe_idle()
        } else {
            f64::INFINITY
        };
        let idle = self
            .connections
            .take_idle(request.endpoint, address, now - max_idle);
        if let Some(slot) = idle {
            return Ok(slot);
        }
        let slot = self
            .connections
            .open(request.endpoint, request.kind, address, now)?;
        self.connections_opened += 1;
        Ok(slot)
    }

    /// Lets requests begin whose connections are established. Each attempt is recorded first; one without a record
    /// never runs. One that cannot be recorded now waits on its connection, so that a folder that fails for a moment
    /// does not use attempts up.
    ///
    /// The record is not written earlier, before the connection is established: if the process was killed meanwhile,
    /// a message that must not be repeated would count as sent, and end without an attempt.
    pub fn begin_established_requests(
        &mut self,
        mut permit: impl FnMut(MessageId, u32, EndpointId) -> SendPermission,
        now: Millis,
    ) {
        self.record_retry_at = f64::INFINITY;
        for slot in std::mem::take(&mut self.established) {
            let Some(connection) = self.connections.get(slot) else {
                continue;
            };
            if !connection.connection.corked || !connection.connection.is_connected() {
                continue;
            }
            let Some(attempt) = connection.attempt else {
                continue;
            };
            // A connection that was established late must not carry a retry beyond the time for which the endpoint
            // remembers its idempotency key: it would take effect twice.
            let late = now > attempt.latest_start;
            let permission = if late || connection.is_closed() {
                SendPermission::Denied
            } else {
                permit(attempt.id, attempt.attempt, connection.endpoint)
            };
            match permission {
                SendPermission::Granted => self.begin_request(slot, now),
                SendPermission::Denied => self.end_exchange(slot, EndCause::Withdrawn, now),
                SendPermission::RetryLater => {
                    self.established.push(slot);
                    self.record_retry_at = now + RECORD_RETRY_INTERVAL;
                }
            }
        }
    }

    /// Begins to write the request of a connection.
    fn begin_request(&mut self, slot: usize, now: Millis) {
        let connection = &mut self.connections[slot];
        if let Some(attempt) = connection.attempt {
            debug!(
                slot,
                number = attempt.id.0,
                attempt = attempt.attempt,
                reused = connection.idle_before.is_some(),
                last_byte_held_back = connection.held_back_byte.is_some(),
                "request sent"
            );
        }
        connection.connection.corked = false;
        self.progress(slot, now);
    }

    /// Handles a connection that is ready for reading or writing. Returns whether there may be more to read.
    pub fn on_ready(&mut self, slot: usize, now: Millis) -> bool {
        self.connections.contains(slot) && self.progress(slot, now)
    }

    /// Calls an attempt off by closing its connection. If its request was not completely written, it never ran.
    pub fn cancel(&mut self, id: MessageId, attempt: u32, now: Millis) {
        let slot = self.connections.slot_where(|connection| {
            connection
                .attempt
                .is_some_and(|active| active.id == id && active.attempt == attempt)
        });
        if let Some(slot) = slot
            && !self.read_late_response(slot, now)
        {
            self.end_exchange(slot, EndCause::Cancelled, now);
        }
    }

    /// Stops writing a request that is about to be given up, then reads once more: a response that has arrived still
    /// ends the attempt, and the wait that it asks for still holds. True if the attempt is over.
    fn read_late_response(&mut self, slot: usize, now: Millis) -> bool {
        let connection = &mut self.connections[slot];
        if connection.attempt.is_none() || !connection.connected {
            return false;
        }
        // A request that is rejected before its last byte was written may be told to wait like any other.
        connection.connection.corked =
            connection.held_back_byte.is_some() || !connection.connection.is_flushed();
        self.progress(slot, now);
        self.connections
            .get(slot)
            .is_none_or(|connection| connection.attempt.is_none())
    }

    /// Reads the responses that have come, before the process exits: an attempt that has been answered must not count
    /// as one that may have run.
    pub fn read_final_responses(&mut self, now: Millis) {
        let active = self
            .connections
            .slots_where(|connection| connection.attempt.is_some());
        for slot in active {
            if self.connections.contains(slot) {
                self.read_late_response(slot, now);
            }
        }
    }

    /// Withdraws the requests of which no byte has been written and for whose destination and endpoint a condition
    /// holds: the destination asked us to wait, or the endpoint is draining. A connection that is slow to be
    /// established must not carry a request there.
    pub fn cancel_unsent(&mut self, condition: impl Fn(u64, EndpointId) -> bool, now: Millis) {
        let unsent = self.connections.slots_where(|connection| {
            connection.connection.written == 0
                && connection
                    .attempt
                    .is_some_and(|attempt| condition(attempt.destination, connection.endpoint))
        });
        for slot in unsent {
            self.end_exchange(slot, EndCause::Withdrawn, now);
        }
    }

    /// Withdraws the requests of a message that is over, as far as their last byte has not been written: it would run
    /// in vain.
    pub fn withdraw_incomplete(&mut self, id: MessageId, now: Millis) {
        let incomplete = self.connections.slots_where(|connection| {
            connection
                .attempt
                .is_some_and(|attempt| attempt.id == id && !connection.is_fully_sent())
        });
        for slot in incomplete {
            self.end_exchange(slot, EndCause::Withdrawn, now);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: EndpointId) {
        self.connections
            .close_idle_where(|connection| connection.endpoint == endpoint);
    }

    /// Closes idle connections, the longest idle first, until there are at most `max_connections`. Returns how many
    /// connections are left.
    pub fn close_idle_connections(&mut self, max_connections: usize) -> usize {
        self.connections.close_idle_above(max_connections)
    }
}

/// Puts a request into the output buffer, without its last byte if that is to be held back; false if there is no
/// room for it.
fn queue_request(
    connection: &mut EndpointConnection,
    request: &AttemptRequest,
    hold_back_last_byte: bool,
) -> bool {
    let mut head = request.head;
    let mut body = request.body;
    let mut held_back_byte = None;
    let end = if body.is_empty() {
        &mut head
    } else {
        &mut body
    };
    if hold_back_last_byte && let Some((byte, others)) = end.split_last() {
        *end = others;
        held_back_byte = Some(HeldBackByte {
            byte: *byte,
            release_at: f64::INFINITY,
        });
    }
    connection.held_back_byte = held_back_byte;
    connection.connection.queue(head) && connection.connection.queue(body)
}
