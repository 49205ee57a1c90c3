//! Connections to endpoints and the attempts on them. Each connection carries one exchange at a time.
//!
//! [`Egress`] opens connections as needed, reuses idle ones, writes requests, reads responses and reports the outcome
//! of each attempt. It never retries, chooses an endpoint or reacts to an outcome: the decision module does that. It
//! does determine whether an attempt may have run, from the bytes that were written and received.
//!
//! - [`connection_pool`]: opening, reusing and closing connections
//! - [`exchange`]: one exchange on a connection
//! - [`gone`]: whether a message is over by an endpoint's word
//! - [`attempt_start`]: the start of an attempt
//! - [`answer_times`]: when the endpoints have answered last, and how quickly they can
//! - [`copy_delays`]: how long a connection rests behind each response while endpoints repeat theirs
//! - [`response`]: parsing responses
//! - [`attempt_completion`]: the end of an attempt
//! - [`attempt_end`]: the outcome of an attempt without a complete response
//! - [`other_attempts`]: reading what has arrived for a message before a byte is sent for it
//! - [`response_bytes`]: where a response ends
//! - [`response_history`]: which request a response belongs to
//! - [`response_times`]: how long endpoints take to respond
//! - [`settling`]: when an uncertain response counts
//! - [`surplus_bytes`]: bytes of an endpoint that belong to no request in flight
//! - [`connection_faults`]: detection of stale connections and connection resets
//! - [`connection_scarcity`]: detection of endpoints without spare connections
//! - [`timeouts`]: time limits
//! - [`snapshot`]: handing over all connections to a successor process

mod answer_times;
mod attempt;
mod attempt_completion;
mod attempt_end;
mod attempt_start;
mod connection_faults;
mod connection_pool;
mod connection_scarcity;
mod copy_delays;
mod endpoint_connection;
mod exchange;
mod gone;
mod known_responses;
mod other_attempts;
mod requested_waits;
mod response;
mod response_bytes;
mod response_history;
mod response_times;
mod settling;
mod snapshot;
mod surplus_bytes;
#[cfg(test)]
mod tests;
mod timeouts;
mod tracked_response;

use martenlatch_clock::Millis;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_policy::interface::{EndpointId, MessageId};

pub use attempt::{AttemptRequest, AttemptResult};
pub use attempt_start::SendPermission;
pub use gone::MessageGone;
pub use requested_waits::RequestedWait;
pub use response_history::Evidence;
pub use response_times::ResponseTimes;
pub use snapshot::EgressSnapshot;
pub use surplus_bytes::SurplusBytes;
pub use tracked_response::{AnsweredAttempt, Settlement};

use crate::event_source::EventLoopHandle;
use answer_times::AnswerTimes;
use attempt_end::EndCause;
use connection_faults::{ResetDetector, StaleConnectionDetector};
use connection_pool::ConnectionPool;
use connection_scarcity::ConnectionScarcityDetector;
use copy_delays::CopyDelays;

/// The fraction of the endpoints' idle limit after which an idle connection is closed. The rest allows for network
/// latency: a request that crosses the endpoint's close on the way ends in a reset.
const IDLE_LIMIT_SHARE: f64 = 0.9;

/// While resets are expected, the last byte of a request that must not be lost is written after this delay, in
/// milliseconds: a request whose connection ends before its last byte was written never ran.
const LAST_BYTE_DELAY: Millis = 3.0;

/// All connections to endpoints and the attempts on them.
pub struct Egress {
    /// The buffers of the connections.
    pub(crate) buffers: BufferPool,
    connections: ConnectionPool,
    /// The time limit for establishing a connection, in milliseconds.
    connect_timeout: Millis,
    /// The time after which an idle connection is closed, in milliseconds.
    idle_limit: Millis,
    stale_connections: StaleConnectionDetector,
    resets: ResetDetector,
    scarcity: ConnectionScarcityDetector,
    /// The results of attempts that have ended, for the caller to take.
    pub results: Vec<AttemptResult>,
    response_times: ResponseTimes,
    answer_times: AnswerTimes,
    copy_delays: CopyDelays,
    settlements: Vec<Settlement>,
    requested_waits: Vec<RequestedWait>,
    /// The slots of established connections whose requests have not begun, as their attempts must be recorded first.
    awaiting_permission: Vec<usize>,
    /// When permission is requested again for attempts that could not be recorded; infinite if there are none.
    record_retry_at: Millis,
    /// The messages whose requests were completely written, for the caller to take.
    pub sent_messages: Vec<MessageId>,
    /// The number of connections opened so far.
    pub connections_opened: u64,
}

impl Egress {
    /// Creates an egress without connections. `max_connections` includes idle ones. `connect_timeout` and
    /// `idle_limit`, the time after which endpoints close idle connections, are in milliseconds.
    pub fn new(
        handle: &EventLoopHandle,
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
            scarcity: ConnectionScarcityDetector::default(),
            results: Vec::new(),
            response_times: ResponseTimes::default(),
            answer_times: AnswerTimes::default(),
            copy_delays: CopyDelays::default(),
            settlements: Vec::new(),
            requested_waits: Vec::new(),
            awaiting_permission: Vec::new(),
            record_retry_at: f64::INFINITY,
            sent_messages: Vec::new(),
            connections_opened: 0,
        }
    }

    /// The attempts in flight, each by its message and its number.
    pub fn active(&self) -> impl Iterator<Item = (MessageId, u32)> {
        self.connections
            .iter()
            .filter_map(|connection| connection.attempt.as_ref())
            .map(|attempt| (attempt.id, attempt.attempt))
    }

    /// The number of attempts in flight.
    pub fn active_attempts(&self) -> usize {
        self.active().count()
    }

    /// Handles a connection that is ready for reading or writing. Returns whether there may be more to read.
    pub fn on_ready(&mut self, slot: usize, now: Millis) -> bool {
        self.connections.contains(slot) && self.advance(slot, now)
    }

    /// Cancels an attempt by closing its connection. If its request was not completely written, it never ran.
    pub fn cancel(&mut self, id: MessageId, attempt: u32, now: Millis) {
        let slot = self.connections.find_slot(|connection| {
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

    /// Stops writing the request of an attempt that is about to be ended, and reads once more: a response that has
    /// already arrived still determines the outcome, and a backoff that it asks for still applies. Returns true if
    /// the attempt has ended.
    fn read_late_response(&mut self, slot: usize, now: Millis) -> bool {
        let connection = &mut self.connections[slot];
        if connection.attempt.is_none() || !connection.connected {
            return false;
        }
        // A rejection that arrives before the last byte was written can ask for a backoff, too.
        connection.socket.corked =
            connection.held_back_byte.is_some() || !connection.socket.is_flushed();
        self.advance(slot, now);
        self.connections
            .get(slot)
            .is_none_or(|connection| connection.attempt.is_none())
    }

    /// Reads the responses that have arrived before the process exits: an attempt that was answered must not be left
    /// recorded as one that may have run.
    pub fn read_final_responses(&mut self, now: Millis) {
        let active = self
            .connections
            .find_slots(|connection| connection.attempt.is_some());
        for slot in active {
            if self.connections.contains(slot) {
                self.read_late_response(slot, now);
            }
        }
    }

    /// Withdraws the requests of which no byte has been written and whose destination and endpoint match `predicate`:
    /// the destination has asked for a backoff, or the endpoint is draining. A connection that is established later
    /// must not carry such a request.
    pub fn cancel_unsent(&mut self, predicate: impl Fn(u64, EndpointId) -> bool, now: Millis) {
        let unsent = self.connections.find_slots(|connection| {
            connection.socket.written == 0
                && connection
                    .attempt
                    .is_some_and(|attempt| predicate(attempt.destination, connection.endpoint))
        });
        for slot in unsent {
            self.end_exchange(slot, EndCause::Withdrawn, now);
        }
    }

    /// Withdraws the requests of a finished message whose last byte has not been written: running them would be of no
    /// use.
    pub fn withdraw_incomplete(&mut self, id: MessageId, now: Millis) {
        let incomplete = self.connections.find_slots(|connection| {
            connection
                .attempt
                .is_some_and(|attempt| attempt.id == id && !connection.is_fully_sent())
        });
        for slot in incomplete {
            self.end_exchange(slot, EndCause::Withdrawn, now);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: EndpointId, now: Millis) {
        self.connections
            .close_idle_matching(now, |connection| connection.endpoint == endpoint);
    }

    /// Closes idle connections, the longest idle first, until at most `max_connections` connections are left or none
    /// is idle. Returns the number of connections left.
    pub fn close_idle_connections(&mut self, max_connections: usize, now: Millis) -> usize {
        self.connections.close_idle_above(max_connections, now)
    }
}
