//! The start of an attempt: its connection, the permission to send its request, and its first byte.

use std::net::SocketAddr;

use martenlatch_clock::Millis;
use martenlatch_http as http;
use martenlatch_policy::interface::{EndpointId, MessageId, Outcome};
use tracing::{debug, warn};

use super::Egress;
use super::attempt::{ActiveAttempt, AttemptRequest};
use super::attempt_end::EndCause;
use super::connection_pool::WantedConnection;
use super::endpoint_connection::{EndpointConnection, HeldBackByte};

/// The interval at which recording an attempt is retried after it has failed, in milliseconds.
const RECORD_RETRY_INTERVAL: Millis = 20.0;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermission {
    /// The attempt is recorded and may be sent.
    Granted,
    /// The attempt cannot be recorded now; permission is requested again later.
    RetryLater,
    /// The request must not be sent.
    Denied,
}

impl Egress {
    /// Starts an attempt. If it cannot be started, its result is reported at once, with an outcome that says that it
    /// never ran.
    pub fn start(&mut self, request: &AttemptRequest, address: SocketAddr, now: Millis) {
        let attempt = ActiveAttempt::new(request, now);
        let slot = match self.acquire_connection(request, address, now) {
            Ok(slot) => slot,
            Err(error) => {
                warn!(error = ?error.kind(), "endpoint not reached");
                // A lack of descriptors or ports is local and no fault of the endpoint.
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
            self.connections.remove(slot, now);
            self.results.push(attempt.result(Outcome::NotSent, now));
            return;
        }
        connection.socket.written = 0;
        connection.sent_at = None;
        connection.is_repeatable = request.is_repeatable;
        connection.has_discarded = false;
        connection.noted_wait = 0;
        connection.idle_before = connection.connected.then_some(now - connection.idle_since);
        connection.attempt = Some(attempt);
        connection.socket.corked = true;
        self.advance(slot, now);
    }

    /// Takes an idle connection to the endpoint, or opens a new one.
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
        let reuse_rest = self.reuse_rest(now);
        let times = &self.response_times;
        let wanted = WantedConnection {
            endpoint: request.endpoint,
            address,
            earliest_idle_since: now - max_idle,
            latest_idle_since: now - reuse_rest,
            without_rejection: !request.is_repeatable,
            may_be_unrested: request.is_repeatable && !times.is_suspected(request.endpoint, now),
            now,
        };
        let with_rejection = WantedConnection {
            without_rejection: false,
            ..wanted
        };
        let mut idle = self.connections.take_idle(&wanted);
        if !times.repeats_rejections(request.endpoint, now) {
            idle = idle.or_else(|| self.connections.take_idle(&with_rejection));
        }
        if let Some(slot) = idle {
            self.settle_if_rested(slot, now);
            return Ok(slot);
        }
        let slot = self
            .connections
            .open(request.endpoint, request.kind, address, now)?;
        self.connections_opened += 1;
        Ok(slot)
    }

    /// Begins the requests that `permit` grants on established connections. `permit` records each attempt first, since
    /// an attempt without a record must never run. An attempt that cannot be recorded now waits on its connection, so
    /// that a brief failure of the state folder uses up no attempts.
    ///
    /// The attempt is not recorded before its connection is established: if the process was killed in between, a
    /// non-idempotent message would count as sent and end without an attempt.
    pub fn begin_established_requests(
        &mut self,
        mut permit: impl FnMut(MessageId, u32, EndpointId) -> SendPermission,
        now: Millis,
    ) {
        self.record_retry_at = f64::INFINITY;
        for slot in std::mem::take(&mut self.awaiting_permission) {
            let Some(connection) = self.connections.get(slot) else {
                continue;
            };
            if !connection.socket.corked || !connection.socket.is_connected() {
                continue;
            }
            let Some(attempt) = connection.attempt else {
                continue;
            };
            if self.read_other_attempts(slot, now) {
                self.awaiting_permission.push(slot);
                self.record_retry_at = now;
                continue;
            }
            let Some(connection) = self.connections.get(slot) else {
                continue;
            };
            // A retry that begins after the endpoint has forgotten its idempotency key would take effect twice, so a
            // connection that was established too late must not carry it.
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
                    self.awaiting_permission.push(slot);
                    self.record_retry_at = now + RECORD_RETRY_INTERVAL;
                }
            }
        }
    }

    /// Starts to write the request on a connection.
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
        connection.socket.corked = false;
        self.advance(slot, now);
    }
}

/// Queues a request in the output buffer, without its last byte if that is to be held back. Returns false if the
/// buffer has no room for it.
fn queue_request(
    connection: &mut EndpointConnection,
    request: &AttemptRequest,
    hold_back_last_byte: bool,
) -> bool {
    let mut head = request.head;
    let mut body = request.body;
    let mut held_back_byte = None;
    let last_part = if body.is_empty() {
        &mut head
    } else {
        &mut body
    };
    if hold_back_last_byte && let Some((byte, bytes_before)) = last_part.split_last() {
        *last_part = bytes_before;
        held_back_byte = Some(HeldBackByte {
            byte: *byte,
            release_at: f64::INFINITY,
        });
    }
    connection.held_back_byte = held_back_byte;
    connection.socket.queue(head) && connection.socket.queue(body)
}
