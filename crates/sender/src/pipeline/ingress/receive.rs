//! Reads requests from clients.

use martenlatch_clock::Millis;
use martenlatch_http::{self as http, ParsedRequest};
use tracing::debug;

use super::closing::CloseReason;
use super::request::{ClientRequest, RequestError};
use super::{IncomingMessage, Ingress};
use crate::counters::Counters;

const STATUS_OK: u16 = 200;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

impl Ingress {
    /// Reads from a client and adds a complete message to `received`. Returns true if there may be more to read.
    pub(in crate::pipeline) fn on_ready(
        &mut self,
        index: usize,
        now: Millis,
        received: &mut Vec<IncomingMessage>,
        counters: &mut Counters,
    ) -> bool {
        let Some(client) = self.clients.get_mut(index) else {
            return false;
        };
        if client.closing {
            self.finish_closing(index);
            return false;
        }
        let more = client.receive(now, self.readable_since);
        if client.awaiting_answer {
            return false;
        }
        if client.connection.broken {
            counters.clients_left += u64::from(client.has_input());
            self.close(index, CloseReason::ClientLeft);
            return false;
        }
        if !client.has_input() {
            return !self.remove_if_ended(index) && more;
        }
        match http::parse_request(client.connection.bytes()) {
            ParsedRequest::Partial(expects_continue) => {
                if !self.remove_if_ended(index) && expects_continue {
                    self.send_continue(index);
                }
                more
            }
            ParsedRequest::Invalid(status) => {
                self.answer_malformed(index, status, now, counters);
                true
            }
            ParsedRequest::Complete(request) => {
                self.on_request(index, &request, now, received, counters);
                true
            }
        }
    }

    /// Continues closing a connection whose last answer is queued. Nothing is read from it.
    fn finish_closing(&mut self, index: usize) {
        let client = &mut self.clients[index];
        client.finish_sending();
        if client.connection.broken {
            self.close(index, CloseReason::ClientLeft);
        }
    }

    /// Removes a client that has closed its sending side before its request was complete. Returns true if it was
    /// removed.
    fn remove_if_ended(&mut self, index: usize) -> bool {
        let ended = self.clients[index].connection.eof;
        if ended {
            self.close(index, CloseReason::ClientLeft);
        }
        ended
    }

    /// Tells a client, at most once per request, to send the body.
    fn send_continue(&mut self, index: usize) {
        let client = &mut self.clients[index];
        if !client.sent_continue {
            client.sent_continue = true;
            client.connection.queue(CONTINUE);
            client.connection.flush();
        }
    }

    /// Answers input that is not a valid HTTP request.
    fn answer_malformed(
        &mut self,
        index: usize,
        status: u16,
        now: Millis,
        counters: &mut Counters,
    ) {
        self.clients[index].close_after_answer = true;
        counters.bad_requests += 1;
        self.answer(index, status, "", now);
    }

    /// Processes a complete request.
    fn on_request(
        &mut self,
        index: usize,
        request: &http::Request,
        now: Millis,
        received: &mut Vec<IncomingMessage>,
        counters: &mut Counters,
    ) {
        let client = &mut self.clients[index];
        client.connection.consume(request.consumed);
        client.phase_started = now;
        client.sent_continue = false;
        client.close_after_answer = request.closes_connection || client.connection.eof;
        match self.parse(request, index, now) {
            Ok(ClientRequest::Message(message)) => {
                let client = &mut self.clients[index];
                client.awaiting_answer = true;
                client.has_sent_request = true;
                debug!(client = index, id = %message.id, "request read");
                received.push(message);
            }
            Ok(ClientRequest::HealthCheck) => {
                self.clients[index].has_sent_request = true;
                self.answer(index, STATUS_OK, "", now);
            }
            Err(error) => self.answer_request_error(index, error, now, counters),
        }
    }

    /// Answers an invalid request and closes the connection: otherwise the client could send more of them at full
    /// speed.
    fn answer_request_error(
        &mut self,
        index: usize,
        error: RequestError,
        now: Millis,
        counters: &mut Counters,
    ) {
        counters.bad_requests += 1;
        self.clients[index].close_after_answer = true;
        self.answer(index, error.status(), error.headers(), now);
    }

    /// Converts an HTTP request that no further bytes follow. Clients send one request at a time, so further bytes are
    /// either the rest of a request whose stated length is wrong, or a flood. Accepting such a request would truncate
    /// its body, or process a request hidden in the body.
    fn parse(
        &self,
        request: &http::Request,
        index: usize,
        now: Millis,
    ) -> Result<ClientRequest, RequestError> {
        if self.clients[index].has_input() {
            return Err(RequestError::Malformed);
        }
        self.parse_request(request, index, now)
    }
}
