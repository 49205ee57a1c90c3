//! One connection to the platform and the batch of reports that was sent on it.

use std::net::SocketAddr;

use martenlatch_clock::Millis;
use martenlatch_http as http;

use crate::event_source::Connection;

/// A connection to the platform, with the one batch that it carries.
pub(super) struct ReportConnection {
    connection: Connection,
    /// The messages whose reports the platform's answer confirms.
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
    /// Writes a batch on a new connection. Returns `None` if that failed.
    pub(super) fn send(
        mut connection: Connection,
        platform: SocketAddr,
        numbers: Vec<u64>,
        lines: &str,
        now: Millis,
    ) -> Option<ReportConnection> {
        let head = format!(
            "POST /reports HTTP/1.1\r\nHost: {platform}\r\nContent-Type: application/x-ndjson\r\nContent-Length: {}\r\n\r\n",
            lines.len()
        );
        if !connection.queue(head.as_bytes()) || !connection.queue(lines.as_bytes()) {
            return None;
        }
        connection.flush();
        (!connection.broken).then_some(ReportConnection {
            connection,
            numbers,
            sent_at: now,
        })
    }

    /// The messages whose reports the platform's answer confirms.
    pub(super) fn numbers(&self) -> &[u64] {
        &self.numbers
    }

    /// Excludes a message from the batch, so that the confirmation does not count for that message.
    pub(super) fn exclude(&mut self, number: u64) {
        self.numbers.retain(|batch_number| *batch_number != number);
    }

    /// Continues writing the batch, and reads the platform's answer.
    pub(super) fn progress(&mut self) -> BatchProgress {
        self.connection.flush();
        self.connection.receive();
        match http::parse_response(self.connection.bytes()) {
            Ok(Some(response)) if (200..300).contains(&response.status) => BatchProgress::Confirmed,
            Ok(Some(_)) => BatchProgress::Refused,
            Ok(None) if !self.connection.eof && !self.connection.broken => BatchProgress::Pending,
            _ => BatchProgress::ConnectionLost,
        }
    }
}
