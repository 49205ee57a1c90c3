//! One connection to the platform, with the batch of reports on it.

use std::net::SocketAddr;

use martenlatch_clock::Millis;
use martenlatch_http as http;

use crate::event_source::Connection;

/// A connection to the platform. It carries one batch at a time.
pub(super) struct ReportConnection {
    connection: Connection,
    /// A batch was sent, and is not answered.
    awaits_answer: bool,
    /// The messages whose reports an answer confirms.
    numbers: Vec<u64>,
    /// When the batch was sent.
    pub(super) sent_at: Millis,
}

/// What has come of a batch.
pub(super) enum BatchProgress {
    /// Nothing so far.
    Pending,
    /// The platform has confirmed it.
    Confirmed,
    /// The platform refuses it.
    Refused,
    /// The connection has ended.
    ConnectionLost,
}

impl ReportConnection {
    /// A lane without a batch.
    pub(super) fn new(connection: Connection) -> ReportConnection {
        ReportConnection {
            connection,
            awaits_answer: false,
            numbers: Vec::new(),
            sent_at: 0.0,
        }
    }

    /// Whether it carries no batch.
    pub(super) fn is_idle(&self) -> bool {
        !self.awaits_answer
    }

    /// The messages whose reports an answer confirms.
    pub(super) fn numbers(&self) -> &[u64] {
        &self.numbers
    }

    /// The batch is answered: these messages are confirmed.
    pub(super) fn take_confirmed(&mut self) -> Vec<u64> {
        self.awaits_answer = false;
        std::mem::take(&mut self.numbers)
    }

    /// Whether a batch can still be sent on it. Reading from it first shows whether the platform has closed it, before
    /// a batch is lost on it.
    pub(super) fn is_usable(&mut self) -> bool {
        self.connection.receive();
        !self.connection.eof && !self.connection.broken
    }

    /// The confirmation of its batch does not count for this message.
    pub(super) fn exclude(&mut self, number: u64) {
        self.numbers.retain(|carried| *carried != number);
    }

    /// Writes a batch. False if the connection did not take it.
    pub(super) fn send(
        &mut self,
        platform: SocketAddr,
        numbers: Vec<u64>,
        lines: &str,
        now: Millis,
    ) -> bool {
        let head = format!(
            "POST /reports HTTP/1.1\r\nHost: {platform}\r\nContent-Type: application/x-ndjson\r\nContent-Length: {}\r\n\r\n",
            lines.len()
        );
        if !self.connection.queue(head.as_bytes()) || !self.connection.queue(lines.as_bytes()) {
            return false;
        }
        self.connection.flush();
        self.awaits_answer = true;
        self.numbers = numbers;
        self.sent_at = now;
        !self.connection.broken
    }

    /// Goes on writing, and reads what the platform has answered.
    pub(super) fn progress(&mut self) -> BatchProgress {
        self.connection.flush();
        self.connection.receive();
        match http::parse_response(self.connection.bytes()) {
            Ok(Some(response)) if !self.is_idle() => self.on_response(&response),
            Ok(None) if !self.connection.eof && !self.connection.broken => BatchProgress::Pending,
            _ => BatchProgress::ConnectionLost,
        }
    }

    fn on_response(&mut self, response: &http::Response) -> BatchProgress {
        if !(200..300).contains(&response.status) {
            return BatchProgress::Refused;
        }
        if !self.consume_response(response) {
            self.connection.broken = true;
        }
        BatchProgress::Confirmed
    }

    /// Takes an answer off the connection. False if the connection cannot be used again: a body that has not arrived
    /// yet is not waited for.
    fn consume_response(&mut self, response: &http::Response) -> bool {
        let body = self.connection.bytes().len() - response.consumed;
        self.connection.consume(response.consumed + body);
        response.keep_alive && response.body == http::Body::ContentLength(body)
    }
}
