//! Reports the final status of undelivered messages to the platform, each until the platform has confirmed it.
//!
//! Reports go out in batches, one at a time. A batch that is refused is sent again in halves, so that a report that
//! the platform cannot read does not hold up the others.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::event_source::{Connection, EventSource, Handle};
use martenlatch_clock::Millis;
use martenlatch_http as http;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_wal::{FinalStatus, MessageRecord};
use tracing::warn;

use super::message_store::MessageStore;
use crate::jitter::Jitter;

/// Most reports in one batch.
const MAX_BATCH: usize = 32;
/// How long the platform may take to confirm a batch.
const CONFIRMATION_TIMEOUT: Millis = 1_000.0;
/// The backoff after a batch that was not confirmed doubles from the first to the second.
const MIN_BACKOFF: Millis = 50.0;
/// How often a report is looked at that waits for the record of its final status.
const RECORD_WAIT: Millis = 50.0;
pub(super) const MAX_BACKOFF: Millis = 1_000.0;

/// Sends status reports. Messages are named by their numbers.
pub struct StatusReporter {
    pub(super) platform: SocketAddr,
    handle: Handle,
    pool: BufferPool,
    connection: Option<Connection>,
    /// Reports that wait to be sent.
    pub(super) queue: VecDeque<u64>,
    /// The batch that was sent, and is not confirmed yet.
    pub(super) in_flight: Vec<u64>,
    sent_at: Millis,
    pub(super) next_attempt: Millis,
    pub(super) backoff: Millis,
    batch_size: usize,
    pub(super) jitter: Jitter,
}

impl StatusReporter {
    /// A reporter with nothing to report.
    pub(super) fn new(
        platform: SocketAddr,
        handle: Handle,
        pool: BufferPool,
        jitter: Jitter,
    ) -> StatusReporter {
        StatusReporter {
            platform,
            handle,
            pool,
            connection: None,
            queue: VecDeque::new(),
            in_flight: Vec::new(),
            sent_at: 0.0,
            next_attempt: 0.0,
            backoff: MIN_BACKOFF,
            batch_size: MAX_BATCH,
            jitter,
        }
    }

    /// Whether every report is confirmed.
    pub(super) fn is_done(&self) -> bool {
        self.in_flight.is_empty() && self.queue.is_empty()
    }

    /// How many reports are not confirmed.
    pub(super) fn unconfirmed(&self) -> usize {
        self.queue.len() + self.in_flight.len()
    }

    /// Sends the next batch, if it is time.
    pub(super) fn run_due(&mut self, store: &MessageStore, now: Millis) {
        if !self.in_flight.is_empty() && now >= self.sent_at + CONFIRMATION_TIMEOUT {
            self.retry_later(now, "silent");
        }
        if !self.in_flight.is_empty() || self.queue.is_empty() || now < self.next_attempt {
            return;
        }
        let body = self.next_batch(store, now);
        if self.in_flight.is_empty() {
            if !self.queue.is_empty() {
                self.next_attempt = now + RECORD_WAIT;
            }
            return;
        }
        self.sent_at = now;
        self.ensure_connection();
        if !self.send(&body) {
            self.retry_later(now, "no connection");
        }
    }

    /// Moves the next batch from the queue into flight. Returns its lines.
    ///
    /// A final status that the log could not take is reported once it is recorded, or once the deadline has passed:
    /// before, a process that dies would leave a message behind that the next one sends although it has ended.
    fn next_batch(&mut self, store: &MessageStore, now: Millis) -> String {
        let recorded = store.wal.is_complete();
        let mut lines = String::new();
        let mut waiting = VecDeque::new();
        while self.in_flight.len() < self.batch_size
            && let Some(number) = self.queue.pop_front()
        {
            let Some(record) = store.record(number) else {
                continue;
            };
            if recorded || record.deadline <= now {
                lines += &report_line(record);
                self.in_flight.push(number);
            } else {
                waiting.push_back(number);
            }
        }
        waiting.append(&mut self.queue);
        self.queue = waiting;
        lines
    }

    /// Reuses the connection if it is still up. Reading from it first shows whether the platform has closed it, before
    /// a batch is lost on it.
    fn ensure_connection(&mut self) {
        if let Some(connection) = self.connection.as_mut() {
            connection.receive();
            if connection.eof || connection.broken {
                self.connection = None;
            }
        }
        if self.connection.is_none() {
            let connection = Connection::connect(
                self.platform,
                &self.handle,
                &self.pool,
                EventSource::StatusReports,
            );
            self.connection = connection.ok();
        }
    }

    /// Writes a batch. False if the connection did not take it.
    fn send(&mut self, body: &str) -> bool {
        let head = format!(
            "POST /reports HTTP/1.1\r\nHost: {}\r\nContent-Type: application/x-ndjson\r\nContent-Length: {}\r\n\r\n",
            self.platform,
            body.len()
        );
        let Some(connection) = self.connection.as_mut() else {
            return false;
        };
        if !connection.queue(head.as_bytes()) || !connection.queue(body.as_bytes()) {
            return false;
        }
        connection.flush();
        !connection.broken
    }

    /// Reports to another address from now on, unconfirmed reports included. The platform may get such a report
    /// twice, which does no harm; waiting for the old address might be too late.
    pub(super) fn move_to(&mut self, platform: SocketAddr, now: Millis) {
        self.requeue_batch();
        self.platform = platform;
        self.next_attempt = now;
        self.backoff = MIN_BACKOFF;
    }

    /// Takes back a report that has not been sent. False if there is none.
    pub(super) fn withdraw(&mut self, number: u64) -> bool {
        let position = self.queue.iter().position(|queued| *queued == number);
        position.is_some_and(|position| self.queue.remove(position).is_some())
    }

    /// The batch in flight was not confirmed: it is sent again after a backoff.
    pub(super) fn retry_later(&mut self, now: Millis, reason: &str) {
        warn!(
            count = self.in_flight.len(),
            reason, "status reports unconfirmed"
        );
        self.requeue_batch();
        self.next_attempt = now + self.jitter.around(self.backoff);
        self.backoff = (self.backoff * 2.0).min(MAX_BACKOFF);
    }

    /// Gives up the connection, and puts the batch in flight back to the front of the queue, in its order.
    fn requeue_batch(&mut self) {
        self.connection = None;
        for number in self.in_flight.drain(..).rev() {
            self.queue.push_front(number);
        }
    }

    /// When [`StatusReporter::run_due`] has something to do next.
    pub(super) fn next_deadline(&self) -> Millis {
        if !self.in_flight.is_empty() {
            self.sent_at + CONFIRMATION_TIMEOUT
        } else if !self.queue.is_empty() {
            self.next_attempt
        } else {
            f64::INFINITY
        }
    }

    /// Reads the platform's answer. Returns the messages whose reports it has confirmed.
    pub(super) fn on_ready(&mut self, now: Millis) -> Vec<u64> {
        let Some(connection) = self.connection.as_mut() else {
            return Vec::new();
        };
        connection.flush();
        connection.receive();
        match http::parse_response(connection.bytes()) {
            Ok(Some(response)) if !self.in_flight.is_empty() => {
                return self.on_response(&response, now);
            }
            Ok(None) if !connection.eof && !connection.broken => {}
            _ if self.in_flight.is_empty() => self.connection = None,
            _ => self.retry_later(now, "connection lost"),
        }
        Vec::new()
    }

    /// The platform has answered the batch in flight.
    fn on_response(&mut self, response: &http::Response, now: Millis) -> Vec<u64> {
        if !(200..300).contains(&response.status) {
            self.on_refusal(now);
            return Vec::new();
        }
        if !self.consume_response(response) {
            self.connection = None;
        }
        self.backoff = MIN_BACKOFF;
        self.batch_size = MAX_BATCH;
        std::mem::take(&mut self.in_flight)
    }

    /// Takes an answer off the connection. False if the connection cannot be used again: a body that has not arrived
    /// yet is not waited for.
    fn consume_response(&mut self, response: &http::Response) -> bool {
        let Some(connection) = self.connection.as_mut() else {
            return false;
        };
        let body = connection.bytes().len() - response.consumed;
        connection.consume(response.consumed + body);
        response.keep_alive && response.body == http::Body::ContentLength(body)
    }

    /// The platform refuses the batch: the next one is half as large. A report that was refused alone goes behind all
    /// others.
    fn on_refusal(&mut self, now: Millis) {
        self.batch_size = (self.batch_size / 2).max(1);
        let refused_alone = if self.in_flight.len() == 1 {
            self.in_flight.pop()
        } else {
            None
        };
        self.retry_later(now, "refused");
        self.queue.extend(refused_alone);
    }
}

/// The line that reports a message's final status.
fn report_line(record: &MessageRecord) -> String {
    let id = serde_json::Value::from(&*record.id);
    match record.final_status.unwrap_or(FinalStatus::Undeliverable) {
        FinalStatus::Undeliverable => {
            format!("{{\"id\":{id},\"status\":\"undeliverable\"}}\n")
        }
        FinalStatus::Deferred(None) => format!("{{\"id\":{id},\"status\":\"deferred\"}}\n"),
        FinalStatus::Deferred(Some(milliseconds)) => {
            format!("{{\"id\":{id},\"status\":\"deferred\",\"again_ms\":{milliseconds}}}\n")
        }
    }
}
