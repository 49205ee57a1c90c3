//! Owns the notices to the platform: each end that is owed, until it is confirmed. It must never drop one, nor let
//! one that is refused hold up the others.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::event_source::{Connection, EventSource, Handle};
use martenlatch_clock::Millis;
use martenlatch_http as http;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_wal::FinalStatus;
use tracing::warn;

use super::message_store::MessageStore;
use crate::jitter::Jitter;

/// Most notices in one report; how long its answer may take; pauses between tries.
pub(super) const NOTICES: usize = 32;
const CONFIRM: Millis = 1_000.0;
pub(super) const RETRY: (Millis, Millis) = (50.0, 1_000.0);

/// Tells the platform the ends that it is owed, each until it is confirmed.
pub struct StatusReporter {
    pub(super) platform: SocketAddr,
    pub(super) handle: Handle,
    pub(super) pool: BufferPool,
    pub(super) connection: Option<Connection>,
    pub(super) queue: VecDeque<u64>,
    pub(super) flying: Vec<u64>,
    pub(super) sent: Millis,
    pub(super) next_try: Millis,
    pub(super) pause: Millis,
    /// Halved after a report that the platform could not read, so that one bad notice holds up no other.
    pub(super) batch: usize,
    pub(super) jitter: Jitter,
}

impl StatusReporter {
    pub(super) fn run_due(&mut self, store: &MessageStore, now: Millis) {
        if !self.flying.is_empty() && now >= self.sent + CONFIRM {
            self.failed(now, "silent");
        }
        if !self.flying.is_empty() || self.queue.is_empty() || now < self.next_try {
            return;
        }
        let mut lines = String::new();
        while let Some(no) = self.queue.pop_front() {
            let Some(t) = store.held.get(&no) else {
                continue;
            };
            let id = serde_json::Value::from(&*t.taken.id);
            lines += &match t.taken.final_status.unwrap_or(FinalStatus::Undeliverable) {
                FinalStatus::Undeliverable => {
                    format!("{{\"id\":{id},\"status\":\"undeliverable\"}}\n")
                }
                FinalStatus::Deferred(None) => format!("{{\"id\":{id},\"status\":\"deferred\"}}\n"),
                FinalStatus::Deferred(Some(ms)) => {
                    format!("{{\"id\":{id},\"status\":\"deferred\",\"again_ms\":{ms}}}\n")
                }
            };
            self.flying.push(no);
            if self.flying.len() >= self.batch {
                break;
            }
        }
        if self.flying.is_empty() {
            return;
        }
        self.sent = now;
        // A connection that the platform has closed meanwhile is found before a report is lost on it.
        if let Some(connection) = self.connection.as_mut() {
            connection.receive();
        }
        self.connection = self.connection.take().filter(|l| !l.eof && !l.broken);
        if self.connection.is_none() {
            self.connection = Connection::connect(
                self.platform,
                &self.handle,
                &self.pool,
                EventSource::Notices,
            )
            .ok();
        }
        let head = format!(
            "POST /reports HTTP/1.1\r\nHost: {}\r\nContent-Type: application/x-ndjson\r\nContent-Length: {}\r\n\r\n",
            self.platform,
            lines.len()
        );
        let queued = self.connection.as_mut().is_some_and(|l| {
            l.queue(head.as_bytes()) && l.queue(lines.as_bytes()) && {
                l.flush();
                !l.broken
            }
        });
        if !queued {
            self.failed(now, "no connection");
        }
    }

    /// The platform is elsewhere from now on. What is not confirmed is told there, at once: a notice that comes
    /// twice does no harm, and one that waits for an answer from the old address may come too late.
    pub(super) fn move_to(&mut self, platform: SocketAddr, now: Millis) {
        self.connection = None;
        self.flying
            .drain(..)
            .rev()
            .for_each(|no| self.queue.push_front(no));
        (self.platform, self.next_try, self.pause) = (platform, now, RETRY.0);
    }

    /// Takes back a notice that has not left. False where there is none.
    pub(super) fn withdraw(&mut self, no: u64) -> bool {
        let place = self.queue.iter().position(|queued| *queued == no);
        place.is_some_and(|place| self.queue.remove(place).is_some())
    }

    pub(super) fn failed(&mut self, now: Millis, reason: &str) {
        warn!(count = self.flying.len(), reason, "notices unconfirmed");
        self.connection = None;
        self.flying
            .drain(..)
            .rev()
            .for_each(|no| self.queue.push_front(no));
        self.next_try = now + self.jitter.around(self.pause);
        self.pause = (self.pause * 2.0).min(RETRY.1);
    }

    pub(super) fn next_deadline(&self) -> Millis {
        match (self.flying.is_empty(), self.queue.is_empty()) {
            (false, _) => self.sent + CONFIRM,
            (true, false) => self.next_try,
            (true, true) => f64::INFINITY,
        }
    }

    /// Reads the platform's answer, and says which ends it has confirmed.
    pub(super) fn ready(&mut self, now: Millis) -> Vec<u64> {
        let Some(connection) = self.connection.as_mut() else {
            return Vec::new();
        };
        connection.flush();
        connection.receive();
        match http::parse_response(connection.bytes()) {
            Ok(Some(answer)) if !self.flying.is_empty() => {
                // An answer whose body is not all there is not waited out: the connection goes.
                let rest = connection.bytes().len() - answer.consumed;
                let keep = answer.keep && answer.body == http::Body::Left(rest);
                connection.consume(answer.consumed + rest);
                if (200..300).contains(&answer.status) {
                    if !keep {
                        self.connection = None;
                    }
                    (self.pause, self.batch) = (RETRY.0, NOTICES);
                    return std::mem::take(&mut self.flying);
                }
                self.batch = (self.batch / 2).max(1);
                // One that is refused by itself goes behind the others, which it must not hold up.
                let alone = if self.flying.len() == 1 {
                    self.flying.pop()
                } else {
                    None
                };
                self.failed(now, "refused");
                self.queue.extend(alone);
            }
            Ok(None) if !connection.eof && !connection.broken => {}
            _ if self.flying.is_empty() => self.connection = None,
            _ => self.failed(now, "connection lost"),
        }
        Vec::new()
    }
}
