//! One connection to the platform and the batch of reports that was sent on it.

use std::net::SocketAddr;

use martenlatch_clock::Millis;
use martenlatch_http as http;

use crate::event_source::Connection;

/// A connection to the platform. It carries one batch at a time.
pub(super) struct ReportConnection {
    connection: Connection,
    /// A batch was sent and has not been answered.
    awaits_answer: bool,
    /// The messages whose reports the platform's next answer confirms.
    numbers: Vec<u64>,
    /// When the batch was sent.
    pub(super) sent_at: Millis,
}

/// The result of reading the answer to a batch.
pub(super) enum BatchProgress {
    /// The platform has not answered yet.
    Pending,
    /// The platform has confirmed the batch.
    Confirmed,
    /// The platform has refused the batch.
    Refused,
    /// The connection has ended or cannot be used any more.
    ConnectionLost,
}

impl ReportConnection {
    /// Wraps a connection on which no batch has been sent.
    pub(super) fn new(connection: Connection) -> ReportConnection {
        ReportConnection {
            connection,
            awaits_answer: false,
            numbers: Vec::new(),
            sent_at: 0.0,
        }
    }

    /// Whether no batch is waiting for an answer on it.
    pub(super) fn is_idle(&self) -> bool {
        !self.awaits_answer
    }

    /// The messages whose reports the platform's next answer confirms.
    pub(super) fn numbers(&self) -> &[u64] {
        &self.numbers
    }

    /// Marks the batch as answered. Returns the messages whose reports are confirmed.
    pub(super) fn take_confirmed(&mut self) -> Vec<u64> {
        self.awaits_answer = false;
        std::mem::take(&mut self.numbers)
    }

    /// Whether a batch can still be sent on it. It is read first, to notice that the platform has closed it before a
    /// batch is lost on it.
    pub(super) fn is_usable(&mut self) -> bool {
        self.connection.receive();
        !self.connection.eof && !self.connection.broken
    }

    /// The number of bytes received and not consumed.
    pub(super) fn unread_bytes(&self) -> usize {
        self.connection.bytes().len()
    }

    /// Excludes a message from its batch, so that the batch's confirmation does not count for that message.
    pub(super) fn exclude(&mut self, number: u64) {
        self.numbers.retain(|batch_number| *batch_number != number);
    }

    /// Writes a batch. Returns false if that failed.
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

    /// Continues writing the batch, and reads the platform's answer.
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

    /// Removes an answer from the input. Returns false if the connection cannot be used again, which includes that the
    /// answer's body is incomplete: the rest of it is not waited for.
    fn consume_response(&mut self, response: &http::Response) -> bool {
        let body = self.connection.bytes().len() - response.consumed;
        self.connection.consume(response.consumed + body);
        response.keep_alive && response.body == http::Body::ContentLength(body)
    }
}
