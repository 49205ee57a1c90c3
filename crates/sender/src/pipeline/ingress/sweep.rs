//! Closing the connections of clients that are over their time, and of all clients at shutdown.

use martenlatch_clock::Millis;
use martenlatch_settings::program::ClientTimeouts;

use super::closing::CloseReason;
use super::{Client, Ingress};
use crate::counters::Counters;
use crate::event_source::EventSource;

/// How often clients are looked at.
const SWEEP_INTERVAL: Millis = 250.0;
/// How long a client may read its last answer: closing while its bytes still arrive would destroy the answer.
const LINGER: Millis = 500.0;

const STATUS_REQUEST_TIMEOUT: u16 = 408;

/// What a sweep does with a client.
#[derive(PartialEq)]
enum SweepVerdict {
    Keep,
    /// Its connection is closed, unless a request has just arrived.
    CloseIfIdle,
    /// Its connection is closed.
    Close,
    /// Its request is answered with an error: it has taken too long.
    TimeOutRequest,
}

fn judge(client: &Client, timeouts: ClientTimeouts, now: Millis) -> SweepVerdict {
    let age = now - client.since;
    if client.closing {
        let limit = if client.connection.is_flushed() {
            LINGER
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
    let limit = if client.served && !in_request {
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
    /// Ends connections that are over their time. Returns those on which a request has just arrived after all.
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
            match judge(client, timeouts, now) {
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

    /// Stops accepting connections, once those that wait are accepted, and closes those between two requests. Returns
    /// the clients whose requests have to be read.
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
            // An incomplete request is read again only when more of it has arrived: the loop must not spin on it.
            if client.connection.bytes().len() > before {
                to_read.push(EventSource::Client(index));
            }
        }
        // The request of a client that has just connected may be on its way; one that has just been answered reads its
        // answer, which a reset could destroy.
        let recent = |client: &Client| now < client.since + SWEEP_INTERVAL;
        self.close_where(CloseReason::Shutdown, |client| {
            !client.is_owed_answer() && !client.closing && !recent(client)
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
