//! Closes the connections of clients that have exceeded their time and, at shutdown, those without a request.

use martenlatch_clock::Millis;
use martenlatch_settings::program::ClientTimeouts;

use super::closing::CloseReason;
use super::{Client, Ingress};
use crate::counters::Counters;
use crate::event_source::EventSource;

/// How often the times of clients are checked.
const SWEEP_INTERVAL: Millis = 250.0;
/// How long a client may take to read its last answer. Closing the connection while bytes of the client are still
/// arriving would destroy the answer.
const LINGER_TIMEOUT: Millis = 500.0;

const STATUS_REQUEST_TIMEOUT: u16 = 408;

/// The decision of a sweep on one client.
#[derive(PartialEq)]
enum SweepVerdict {
    Keep,
    /// The connection is closed unless a request has just arrived.
    CloseIfIdle,
    /// The connection is closed.
    Close,
    /// The request has taken too long and is answered with an error.
    TimeOutRequest,
}

fn sweep_verdict(client: &Client, timeouts: ClientTimeouts, now: Millis) -> SweepVerdict {
    let age = now - client.phase_started;
    if client.closing {
        let limit = if client.connection.is_flushed() {
            LINGER_TIMEOUT
        } else {
            timeouts.request_ms
        };
        return if age <= limit {
            SweepVerdict::Keep
        } else {
            SweepVerdict::Close
        };
    }
    let in_request = client.has_input();
    let limit = if client.has_sent_request && !in_request {
        timeouts.idle_ms
    } else {
        timeouts.request_ms
    };
    if client.awaiting_answer || age <= limit {
        SweepVerdict::Keep
    } else if in_request {
        SweepVerdict::TimeOutRequest
    } else {
        SweepVerdict::CloseIfIdle
    }
}

impl Ingress {
    /// Closes connections that have exceeded their time. Returns those that are kept because a request has just
    /// arrived.
    pub(in crate::pipeline) fn sweep(&mut self, now: Millis) -> Vec<EventSource> {
        let mut timed_out = Vec::new();
        let mut just_arrived = Vec::new();
        if now < self.next_sweep {
            return just_arrived;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        let timeouts = self.limits.timeouts;
        let readable_since = self.readable_since;
        let mut to_close = Vec::new();
        for (index, client) in &mut self.clients {
            match sweep_verdict(client, timeouts, now) {
                SweepVerdict::Keep => {}
                SweepVerdict::Close => to_close.push((index, CloseReason::Answered)),
                SweepVerdict::TimeOutRequest => timed_out.push(index),
                SweepVerdict::CloseIfIdle => {
                    client.read(readable_since);
                    if client.has_input() {
                        just_arrived.push(EventSource::Client(index));
                    } else {
                        to_close.push((index, CloseReason::Idle));
                    }
                }
            }
        }
        for (index, reason) in to_close {
            self.close(index, reason);
        }
        for index in timed_out {
            self.clients[index].close_after_answer = true;
            self.answer(index, STATUS_REQUEST_TIMEOUT, "", now);
        }
        just_arrived
    }

    /// Accepts the waiting connections, then stops accepting and closes the connections without a request. Returns the
    /// clients whose requests have to be read.
    pub(in crate::pipeline) fn stop(
        &mut self,
        now: Millis,
        counters: &mut Counters,
    ) -> Vec<EventSource> {
        self.stop_accepting(now, counters);
        let mut to_read = Vec::new();
        let readable_since = self.readable_since;
        for (index, client) in &mut self.clients {
            if client.closing {
                continue;
            }
            let before = client.connection.bytes().len();
            client.read(readable_since);
            // An incomplete request is processed again only when more of it has arrived, so that the loop does not
            // spin.
            if client.connection.bytes().len() > before {
                to_read.push(EventSource::Client(index));
            }
        }
        // The request of a client that has just connected may be in transit. A client that has just been answered is
        // reading its answer, which a reset could destroy.
        let recent = |client: &Client| now < client.phase_started + SWEEP_INTERVAL;
        self.close_where(CloseReason::Shutdown, |client| {
            !client.has_pending_answer() && !client.closing && !recent(client)
        });
        to_read
    }

    fn stop_accepting(&mut self, now: Millis, counters: &mut Counters) {
        if let Some(registration) = self.registration.take() {
            while self.accept(now, counters) {}
            self.handle.remove(registration);
        }
        self.listener = None;
    }
}
