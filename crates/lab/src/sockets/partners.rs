//! The partners' servers: they accept the senders' connections to endpoints and read calls from them.

use std::net::TcpListener;

use martenlatch_clock::Millis;
use martenlatch_http::{self as http, ParsedRequest, Request};

use super::Connection;
use super::clients::{body_of, message_number};
use super::event::Event;
use super::lab_socket::{EndpointConnection, LabSocket, is_closed};
use super::testbed::{Call, Testbed};
use crate::error::LabError;
use crate::event_log::{CallFailure, EventKind};
use crate::experiment::Effect;
use crate::model::fault_schedule::ConnectionResets;
use crate::network::{self, Direction};

/// How an endpoint closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseMode {
    /// Data in transit is still delivered.
    Orderly,
    /// Data in transit is lost.
    Reset,
}

impl Testbed<'_> {
    /// Accepts the pending connections of an endpoint's listener.
    pub fn accept_calls(&mut self, key: usize, endpoint: u32, listener: &TcpListener) {
        let partner = self.environment.partner_of(endpoint);
        // The endpoint is retired. A listener cannot refuse a connection, so it accepts and closes it.
        if self.retired_listeners.contains(&key) {
            while listener.accept().is_ok() {}
            return;
        }
        // An unreachable partner accepts nothing: connections stay in the system's backlog.
        while !self.is_partitioned(partner)
            && let Ok((stream, _)) = listener.accept()
        {
            let now = self.now();
            let accepted = self.insert_connection(stream, |connection| {
                LabSocket::Endpoint(EndpointConnection::new(endpoint, connection, now))
            });
            if let Some(key) = accepted {
                self.endpoints[endpoint as usize].connections += 1;
                self.read_call(key);
            }
        }
    }

    /// Whether a partner is unreachable now.
    pub fn is_partitioned(&self, partner: u32) -> bool {
        self.environment.faults_at(partner, self.now()).partitioned
    }

    /// Registers an accepted connection with the event loop and returns its key; `None` if that fails.
    pub fn insert_connection(
        &mut self,
        stream: std::net::TcpStream,
        wrap: impl FnOnce(Connection) -> LabSocket,
    ) -> Option<usize> {
        let key = self.sockets.vacant_key();
        let connection = Connection::new(stream, &self.handle, &self.buffers, key).ok()?;
        Some(self.sockets.insert(wrap(connection)))
    }

    /// Closes a sender's connection to an endpoint.
    pub fn drop_endpoint_connection(&mut self, key: usize, mode: CloseMode) {
        let Some(LabSocket::Endpoint(socket)) = self.sockets.try_remove(key) else {
            return;
        };
        self.endpoints[socket.endpoint as usize].connections -= 1;
        if mode == CloseMode::Reset {
            socket.connection.abort_on_drop();
        }
    }

    /// Reads what a sender wrote on a connection to an endpoint, and receives the call of a complete request.
    pub fn read_call(&mut self, key: usize) {
        let now = self.now();
        let Some(LabSocket::Endpoint(socket)) = self.sockets.get_mut(key) else {
            return;
        };
        socket.transfer();
        let endpoint = socket.endpoint;
        let partner = self.environment.partner_of(endpoint);
        let faults = self.environment.faults_at(partner, now);
        if faults.partitioned {
            socket.discard_input();
            return;
        }
        let idle_limit = faults
            .idle_close_after
            .min(self.experiment.world.idle_timeout);
        socket.expire(now, idle_limit);
        if is_closed(&socket.connection) {
            let call = socket.call;
            self.drop_endpoint_connection(key, CloseMode::Orderly);
            if let Some(call) = call {
                self.call_cancelled(call);
            }
            return;
        }
        if socket.call.is_some() || socket.connection.bytes().is_empty() {
            return;
        }
        match http::parse_request(socket.connection.bytes()) {
            ParsedRequest::Partial(_) => {}
            ParsedRequest::Invalid(_) => self.fail(LabError::MalformedRequest { endpoint }),
            ParsedRequest::Complete(request) => {
                socket.connection.consume(request.consumed);
                match self.check_request(endpoint, &request) {
                    Ok(message) => self.receive_call(key, message, faults.connection_resets, now),
                    Err(error) => self.fail(error),
                }
            }
        }
    }

    /// The number of the message that a request carries.
    ///
    /// # Errors
    /// If no client submitted the message, or the request differs from what its client submitted.
    fn check_request(&self, endpoint: u32, request: &Request) -> Result<u64, LabError> {
        let known = request
            .header("x-request-id")
            .and_then(message_number)
            .and_then(|number| Some((number, self.messages.get(&number)?)));
        let Some((number, message)) = known else {
            return Err(LabError::UnknownMessage { endpoint });
        };
        let origin = message.origin;
        let has_key = self.clients.effect(origin) == Effect::Keyed;
        let key = request.header("idempotency-key").unwrap_or("");
        let same_key = !has_key || key == format!("k{origin}");
        let same_body = *request.body == *body_of(number).as_bytes();
        let same_target = request.method == "POST" && request.path == "/v1/messages";
        if same_key && same_body && same_target {
            Ok(number)
        } else {
            Err(LabError::AlteredMessage {
                message: number,
                endpoint,
            })
        }
    }

    /// Records a call whose request has been read from a connection, and schedules its arrival or resets it.
    fn receive_call(&mut self, key: usize, number: u64, resets: ConnectionResets, now: Millis) {
        let Some(message) = self.messages.get_mut(&number) else {
            return;
        };
        let sender = message.sender;
        let origin = message.origin;
        let attempt = message.calls;
        message.calls += 1;
        let Some(LabSocket::Endpoint(socket)) = self.sockets.get_mut(key) else {
            return;
        };
        let call = self.next_call_id;
        self.next_call_id += 1;
        let endpoint = socket.endpoint;
        let stale = socket.stale;
        let fresh = socket.calls == 0;
        socket.calls += 1;
        socket.call = Some(call);
        let partner = self.environment.partner_of(endpoint);
        let resets = network::draw_resets(self.seed, origin, attempt, resets);
        let started = Call {
            message: number,
            connection: key,
            partner,
            endpoint,
            reset_when_running: resets.after_last_byte,
        };
        self.calls.insert(call, started);
        self.record(EventKind::CallStarted {
            call,
            id: number,
            sender,
            partner,
            endpoint,
            new_connection: fresh,
        });
        if resets.before_last_byte || stale {
            // The sender cannot tell this call from one that has run.
            self.reset_call(call, key);
            return;
        }
        let arrival =
            now + self.latency(call, Direction::ToPartner) * network::one_way_trips(fresh);
        self.events.push(arrival, Event::CallArrived { call });
    }

    /// Ends a call by resetting its connection.
    pub fn reset_call(&mut self, call: u64, connection: usize) {
        self.record(EventKind::CallFailed {
            call,
            cause: CallFailure::Reset,
        });
        self.calls.remove(&call);
        self.drop_endpoint_connection(connection, CloseMode::Reset);
    }

    /// Records the end of a call whose connection was closed by the sender, or by the end of the sender's process.
    fn call_cancelled(&mut self, call: u64) {
        let Some(cancelled) = self.calls.remove(&call) else {
            return;
        };
        let message = self.messages.get(&cancelled.message);
        let sender = message.map_or(0, |message| message.sender);
        let cause = if self.senders[sender as usize].up {
            CallFailure::Cancelled
        } else {
            CallFailure::SenderEnded
        };
        self.record(EventKind::CallFailed { call, cause });
    }
}
