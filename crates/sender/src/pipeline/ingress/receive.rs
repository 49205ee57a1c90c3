//! Reading what a client has sent.

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
    /// Reads what a client has sent, and adds a complete message to `received`. True if there may be more to read.
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

    /// Goes on with the end of a connection that has been given its last answer. Nothing is read from it.
    fn finish_closing(&mut self, index: usize) {
        let client = &mut self.clients[index];
        client.finish_sending();
        if client.connection.broken {
            self.close(index, CloseReason::ClientLeft);
        }
    }

    /// Removes a client that has closed its side before its request was complete. True if it is gone.
    fn remove_if_ended(&mut self, index: usize) -> bool {
        let ended = self.clients[index].connection.eof;
        if ended {
            self.close(index, CloseReason::ClientLeft);
        }
        ended
    }

    /// Tells a client, once per request, to send the body.
    fn send_continue(&mut self, index: usize) {
        let client = &mut self.clients[index];
        if !client.continued {
            client.continued = true;
            client.connection.queue(CONTINUE);
            client.connection.flush();
        }
    }

    /// Answers bytes that are no request.
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

    /// A request is complete.
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
        client.since = now;
        client.continued = false;
        client.close_after_answer = request.closes_connection || client.connection.eof;
        match self.parse(request, index, now) {
            Ok(ClientRequest::Message(message)) => {
                let client = &mut self.clients[index];
                client.awaiting_answer = true;
                client.served = true;
                debug!(client = index, id = %message.id, "request read");
                received.push(message);
            }
            Ok(ClientRequest::HealthCheck) => {
                self.clients[index].served = true;
                self.answer(index, STATUS_OK, "", now);
            }
            Err(error) => self.answer_request_error(index, error, now, counters),
        }
    }

    /// Answers a request that cannot be used. It costs the client its connection: otherwise it could send more of them
    /// at full speed.
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

    /// What a request asks for. Clients send one request at a time: bytes behind it belong to it, so that its length
    /// is wrong, or they are a flood. Accepting it would cut its body, or act on what hides in there.
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
