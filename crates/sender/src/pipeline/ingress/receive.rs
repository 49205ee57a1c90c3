//! Reading what a client has sent.

use martenlatch_clock::Millis;
use martenlatch_http::{self as http, Parsed};

use super::request::{ClientRequest, RequestError};
use super::{IncomingMessage, Ingress};
use crate::counters::Counters;

/// The most bytes read from a client after its last answer, so that closing does not destroy the answer. A client that
/// sends more is not worth the time.
const MAX_DRAINED_BYTES: usize = 1 << 20;

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
        let more = client.receive(now);
        if client.closing {
            return self.drain_closing(index) && more;
        }
        if client.awaiting_answer {
            return false;
        }
        if client.connection.broken {
            counters.clients_left += u64::from(client.has_input());
            self.clients.remove(index);
            return false;
        }
        if !client.has_input() {
            return !self.remove_if_ended(index) && more;
        }
        match http::parse_request(client.connection.bytes()) {
            Parsed::Partial(expects_continue) => {
                if !self.remove_if_ended(index) && expects_continue {
                    self.send_continue(index);
                }
                more
            }
            Parsed::Invalid(status) => {
                self.answer_malformed(index, status, now, counters);
                true
            }
            Parsed::Complete(request) => {
                self.on_request(index, &request, now, received, counters);
                true
            }
        }
    }

    /// Ignores what a client sends after its last answer. False once its connection is gone.
    fn drain_closing(&mut self, index: usize) -> bool {
        let client = &mut self.clients[index];
        client.drain();
        let connection = &client.connection;
        let done = connection.eof || connection.broken || client.drained > MAX_DRAINED_BYTES;
        if done {
            self.clients.remove(index);
        }
        !done
    }

    /// Removes a client that has closed its side before its request was complete. True if it is gone.
    fn remove_if_ended(&mut self, index: usize) -> bool {
        let ended = self.clients[index].connection.eof;
        if ended {
            self.clients.remove(index);
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
        let shutting_down = self.shutting_down;
        let client = &mut self.clients[index];
        client.connection.consume(request.consumed);
        client.since = now;
        client.continued = false;
        client.close_after_answer =
            request.closes_connection || client.connection.eof || shutting_down;
        match self.parse(request, index, now) {
            Ok(ClientRequest::Message(message)) => {
                let client = &mut self.clients[index];
                client.awaiting_answer = true;
                client.served = true;
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
