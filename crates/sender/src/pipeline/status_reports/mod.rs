//! Reports the final status of undelivered messages to the platform, and repeats each report until it is confirmed.
//!
//! Reports are sent in batches, each on a connection of its own: on one that has carried a confirmation, a copy of it
//! could be taken for the next one. A batch that is not confirmed in time is sent again on another connection, so that a
//! silent connection delays no report; [`timing`] defines the times. A batch that the platform refuses is sent again in
//! halves, so that a report that the platform cannot read does not delay the others.

mod report_connection;
mod timing;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use martenlatch_clock::Millis;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_wal::{FinalStatus, MessageRecord};
use tracing::warn;

use super::message_store::MessageStore;
use crate::event_source::{Connection, EventLoopHandle, EventSource};
use crate::jitter::Jitter;
use report_connection::{BatchProgress, ReportConnection};
use timing::{CONFIRMATION_TIMEOUT, FailureStreak, ReportTiming};

/// The largest number of connections to the platform.
pub(super) const MAX_REPORT_CONNECTIONS: usize = 4;
/// Another connection is opened once the batches on all open ones have waited this long for their answers.
const NEW_CONNECTION_DELAY: Millis = 10.0;
/// The largest number of reports in one batch.
const MAX_BATCH: usize = 32;
/// The time between two checks whether a final status has been recorded in the log, while its report waits for that.
const RECORD_CHECK_INTERVAL: Millis = 50.0;

/// Sends status reports. Messages are identified by their numbers.
pub struct StatusReporter {
    pub(super) platform: SocketAddr,
    handle: EventLoopHandle,
    pool: BufferPool,
    process_started: Millis,
    /// The reports that the platform has not confirmed, by message number.
    unconfirmed: BTreeMap<u64, ReportTiming>,
    connections: Vec<ReportConnection>,
    failures: FailureStreak,
    batch_size: usize,
    /// The earliest instant at which a report may be due.
    next_due: Millis,
    pub(super) jitter: Jitter,
}

impl StatusReporter {
    /// A reporter without reports.
    pub(super) fn new(
        platform: SocketAddr,
        handle: EventLoopHandle,
        pool: BufferPool,
        jitter: Jitter,
        process_started: Millis,
    ) -> StatusReporter {
        StatusReporter {
            platform,
            handle,
            pool,
            process_started,
            unconfirmed: BTreeMap::new(),
            connections: Vec::new(),
            failures: FailureStreak::none(),
            batch_size: MAX_BATCH,
            next_due: f64::INFINITY,
            jitter,
        }
    }

    /// Adds the report of a message that has ended undelivered.
    pub(super) fn enqueue(&mut self, record: &MessageRecord) {
        let timing = ReportTiming::new(record.deadline);
        self.unconfirmed.insert(record.number, timing);
        self.next_due = f64::NEG_INFINITY;
    }

    /// Adds a report again, even if it was sent before: a confirmation of the earlier send no longer counts.
    pub(super) fn repeat(&mut self, record: &MessageRecord) {
        for connection in &mut self.connections {
            connection.exclude(record.number);
        }
        self.enqueue(record);
    }

    /// Whether a report has been sent on a connection and is waiting for its confirmation.
    #[cfg(test)]
    pub(super) fn is_sent(&self, number: u64) -> bool {
        let report = self.unconfirmed.get(&number);
        report.is_some_and(|report| report.sent_at.is_some())
    }

    /// How long reports that are not urgent wait after this number of further failures in a row.
    #[cfg(test)]
    pub(super) fn backoff_after_failures(&mut self, failures: u32, now: Millis) -> Millis {
        for _ in 0..failures {
            self.count_failure(now, 0, "test");
        }
        self.failures.backoff_until(false) - now
    }

    /// Whether every report is confirmed.
    pub(super) fn is_done(&self) -> bool {
        self.unconfirmed.is_empty()
    }

    /// The messages whose reports are not confirmed.
    pub(super) fn unconfirmed(&self) -> impl ExactSizeIterator<Item = u64> {
        self.unconfirmed.keys().copied()
    }

    /// Removes a report that has never been sent. Returns false if there is none.
    pub(super) fn withdraw(&mut self, number: u64) -> bool {
        let unsent = self
            .unconfirmed
            .get(&number)
            .is_some_and(|report| !report.was_sent);
        unsent && self.unconfirmed.remove(&number).is_some()
    }

    /// Sends all reports to another address from now on, unconfirmed ones included. The platform may receive such a
    /// report twice, which does no harm, whereas waiting for the old address might take too long.
    pub(super) fn move_to(&mut self, platform: SocketAddr) {
        self.platform = platform;
        self.connections.clear();
        self.failures = FailureStreak::none();
        for report in self.unconfirmed.values_mut() {
            report.sent_at = None;
        }
        self.next_due = f64::NEG_INFINITY;
    }

    /// Sends the reports that are due.
    pub(super) fn run_due(&mut self, store: &MessageStore, now: Millis) {
        if self.unconfirmed.is_empty() || now < self.next_due {
            return;
        }
        self.close_silent_connections(now);
        while !self.has_just_sent(now) && self.send_batch(store, now) {}
        self.schedule(store, now);
    }

    /// When [`StatusReporter::run_due`] has something to do next.
    pub(super) fn next_deadline(&self) -> Millis {
        if self.unconfirmed.is_empty() {
            f64::INFINITY
        } else {
            self.next_due
        }
    }

    /// Closes the connections on which the platform has been silent for too long.
    fn close_silent_connections(&mut self, now: Millis) {
        let silent =
            |connection: &ReportConnection| now >= connection.sent_at + CONFIRMATION_TIMEOUT;
        while let Some(index) = self.connections.iter().position(silent) {
            self.fail_connection(index, now, "silent");
        }
    }

    /// Whether a batch was sent so recently that its confirmation may be about to arrive.
    fn has_just_sent(&self, now: Millis) -> bool {
        self.connections
            .iter()
            .any(|connection| now < connection.sent_at + NEW_CONNECTION_DELAY)
    }

    /// Sends a batch of the reports that are due, urgent ones first. Returns false if no report is due, the batch could
    /// not be sent, or it is not urgent and all connections are in use.
    fn send_batch(&mut self, store: &MessageStore, now: Millis) -> bool {
        let batch = self.due_batch(store, now);
        let is_full = self.connections.len() >= MAX_REPORT_CONNECTIONS;
        if batch.numbers.is_empty() || (is_full && !batch.urgent) {
            return false;
        }
        let numbers = batch.numbers;
        let count = numbers.len();
        let lines = report_lines(&numbers, store);
        let connection = self.open_connection().and_then(|connection| {
            ReportConnection::send(connection, self.platform, numbers, &lines, now)
        });
        let Some(connection) = connection else {
            self.count_failure(now, count, "no connection");
            return false;
        };
        for number in connection.numbers() {
            if let Some(report) = self.unconfirmed.get_mut(number) {
                report.mark_sent(now);
            }
        }
        self.connections.push(connection);
        true
    }

    /// The reports of the next batch.
    ///
    /// A final status that the log could not record is reported only once it is recorded or the deadline has passed. If
    /// it were reported earlier and the process died, the next process would send the message although it has ended.
    fn due_batch(&mut self, store: &MessageStore, now: Millis) -> Batch {
        let recorded = store.wal.is_complete();
        let mut urgent = Vec::new();
        let mut others = Vec::new();
        for (number, report) in &self.unconfirmed {
            let may_be_sent = recorded || report.deadline <= now;
            if !may_be_sent || report.due_at(&self.failures, self.process_started) > now {
                continue;
            }
            if report.is_urgent(self.process_started, now) {
                urgent.push(*number);
            } else {
                others.push(*number);
            }
        }
        let has_urgent = !urgent.is_empty();
        urgent.append(&mut others);
        urgent.truncate(self.batch_size);
        Batch {
            numbers: urgent,
            urgent: has_urgent,
        }
    }

    /// Opens a new connection. If there are already [`MAX_REPORT_CONNECTIONS`], the one whose batch has waited the
    /// longest is closed.
    fn open_connection(&mut self) -> Option<Connection> {
        if self.connections.len() >= MAX_REPORT_CONNECTIONS {
            let oldest = (0..self.connections.len()).min_by(|a, b| {
                self.connections[*a]
                    .sent_at
                    .total_cmp(&self.connections[*b].sent_at)
            })?;
            self.connections.swap_remove(oldest);
        }
        let connection = Connection::connect(
            self.platform,
            &self.handle,
            &self.pool,
            EventSource::StatusReports,
        );
        connection.ok()
    }

    /// Determines when the next report is due.
    fn schedule(&mut self, store: &MessageStore, now: Millis) {
        let recorded = store.wal.is_complete();
        let due = self.unconfirmed.values().map(|report| {
            let due_at = report.due_at(&self.failures, self.process_started);
            if recorded || report.deadline <= now {
                due_at
            } else {
                due_at.max((now + RECORD_CHECK_INTERVAL).min(report.deadline))
            }
        });
        // A report that is due already is waiting for a connection.
        self.next_due = due
            .fold(f64::INFINITY, f64::min)
            .max(now + NEW_CONNECTION_DELAY);
    }

    /// Reads the platform's answers. Returns the messages whose reports it has confirmed.
    pub(super) fn on_ready(&mut self, now: Millis) -> Vec<u64> {
        let mut confirmed = Vec::new();
        let mut index = 0;
        while index < self.connections.len() {
            match self.connections[index].progress() {
                BatchProgress::Pending => index += 1,
                BatchProgress::Confirmed => {
                    let connection = self.connections.swap_remove(index);
                    confirmed.extend(connection.numbers());
                }
                BatchProgress::Refused => self.on_refusal(index, now),
                BatchProgress::ConnectionLost => {
                    self.fail_connection(index, now, "connection lost")
                }
            }
        }
        if !confirmed.is_empty() {
            self.failures = FailureStreak::none();
            self.batch_size = MAX_BATCH;
            self.next_due = f64::NEG_INFINITY;
        }
        // A report that was sent on several connections is confirmed only once.
        confirmed.retain(|number| self.unconfirmed.remove(number).is_some());
        confirmed
    }

    /// Closes a connection whose batch was not confirmed. The batch is sent again after a backoff.
    fn fail_connection(&mut self, index: usize, now: Millis, reason: &str) {
        let connection = self.connections.swap_remove(index);
        self.count_failure(now, connection.numbers().len(), reason);
        for number in connection.numbers() {
            if let Some(report) = self.unconfirmed.get_mut(number) {
                report.sent_at = None;
            }
        }
    }

    fn count_failure(&mut self, now: Millis, count: usize, reason: &str) {
        warn!(count, reason, "status reports unconfirmed");
        self.failures = FailureStreak {
            length: self.failures.length + 1,
            last_at: now,
            jitter_factor: self.jitter.around(1.0),
        };
        self.next_due = f64::NEG_INFINITY;
    }

    /// Handles the platform's refusal of a batch: the next batch is half as large. A report that is refused on its own
    /// is due again only after [`CONFIRMATION_TIMEOUT`], so that it does not delay the others.
    fn on_refusal(&mut self, index: usize, now: Millis) {
        self.batch_size = (self.batch_size / 2).max(1);
        let refused_alone = match self.connections[index].numbers() {
            [number] => Some(*number),
            _ => None,
        };
        self.fail_connection(index, now, "refused");
        if let Some(report) = refused_alone.and_then(|number| self.unconfirmed.get_mut(&number)) {
            report.sent_at = Some(now);
        }
    }
}

/// The reports of one batch.
struct Batch {
    /// The numbers of their messages, urgent reports first.
    numbers: Vec<u64>,
    /// Whether any of them is urgent.
    urgent: bool,
}

fn report_lines(numbers: &[u64], store: &MessageStore) -> String {
    let records = numbers.iter().filter_map(|number| store.record(*number));
    records.map(report_line).collect()
}

/// The line of a batch that reports a message's final status.
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
