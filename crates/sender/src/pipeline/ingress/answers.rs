//! Answers to clients.

use martenlatch_clock::Millis;
use martenlatch_http as http;
use tracing::debug;

use super::Ingress;
use crate::pipeline::admission::AdmissionDecision;

const STATUS_ACCEPTED: u16 = 202;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_FAILED: u16 = 500;
const STATUS_UNAVAILABLE: u16 = 503;

/// The shortest Retry-After of a rejection: the sender cannot predict when it will accept messages again.
const MIN_RETRY_AFTER: Millis = 1_000.0;
/// The longest Retry-After of a rejection: clients that were rejected together are spread between the shortest and the
/// longest.
const MAX_RETRY_AFTER: Millis = MIN_RETRY_AFTER * 1.5;
/// If clients follow only shorter Retry-Afters, the shortest one of a rejection as a fraction of the longest one that
/// they follow.
const SHORT_RETRY_AFTER_FRACTION: f64 = 0.75;
const MILLISECONDS_PER_SECOND: f64 = 1e3;

impl Ingress {
    /// Answers a message as admission has decided. Returns false if the client left before it could be answered.
    pub(in crate::pipeline) fn answer_decision(
        &mut self,
        client: usize,
        decision: &AdmissionDecision,
        now: Millis,
    ) -> bool {
        match decision {
            AdmissionDecision::Accepted(_)
            | AdmissionDecision::Duplicate
            | AdmissionDecision::EndedDuplicate(_) => self.answer(client, STATUS_ACCEPTED, "", now),
            AdmissionDecision::Undeliverable => self.answer(client, STATUS_FAILED, "", now),
            AdmissionDecision::Rejected => self.answer_unavailable(client, now),
            AdmissionDecision::UnknownDestination => {
                self.close_after_answer(client);
                self.answer(client, STATUS_NOT_FOUND, "", now)
            }
        }
    }

    /// Answers a client. Returns false if it left before it could be answered.
    pub(super) fn answer(&mut self, index: usize, status: u16, headers: &str, now: Millis) -> bool {
        let shutting_down = self.shutting_down;
        let Some(client) = self.clients.get_mut(index) else {
            return false;
        };
        client.awaiting_answer = false;
        let announces_close = client.close_after_answer || shutting_down;
        let answer = http::encode_response(status, headers, announces_close);
        let sent = client.send_answer(&answer);
        debug!(
            client = index,
            status,
            announces_close,
            ?sent,
            "client answered"
        );
        if let Err(reason) = sent {
            self.close(index, reason);
            return false;
        }
        if client.close_after_answer {
            client.closing = true;
            client.finish_sending();
        }
        if announces_close {
            client.phase_started = now;
        }
        true
    }

    /// Rejects a client's request with status 503 and a Retry-After.
    fn answer_unavailable(&mut self, index: usize, now: Millis) -> bool {
        let retry_after = match self.retry_after() {
            Some(duration) => format!("Retry-After: {:.3}\r\n", duration / MILLISECONDS_PER_SECOND),
            None => String::new(),
        };
        self.answer(index, STATUS_UNAVAILABLE, &retry_after, now)
    }

    /// A random Retry-After, so that clients that were rejected together do not return together. `None` if clients do
    /// not follow any.
    fn retry_after(&self) -> Option<Millis> {
        let limit = self.limits.max_retry_after.filter(|limit| *limit > 0.0)?;
        let shortest = MIN_RETRY_AFTER.min(limit * SHORT_RETRY_AFTER_FRACTION);
        let longest = MAX_RETRY_AFTER.min(limit);
        Some(shortest + self.jitter.up_to(longest - shortest))
    }

    /// Closes a client's connection after its next answer.
    pub(in crate::pipeline) fn close_after_answer(&mut self, index: usize) {
        if let Some(client) = self.clients.get_mut(index) {
            client.close_after_answer = true;
        }
    }

    /// Rejects a client whose request is not complete, and closes its connection.
    pub(super) fn reject_partial_request(&mut self, index: usize, now: Millis) {
        let class = self.class_of_partial_request(index);
        self.rejected_partial.extend(class);
        self.clients[index].close_after_answer = true;
        self.answer_unavailable(index, now);
    }

    /// The class of an incomplete request. It is known once the whole path and the space after it have arrived.
    fn class_of_partial_request(&self, index: usize) -> Option<usize> {
        let request = std::str::from_utf8(self.clients[index].connection.bytes()).ok()?;
        let (_method, rest) = request.split_once(' ')?;
        let (path, _rest) = rest.split_once(' ')?;
        self.class_of(path)
    }

    /// Rejects every client whose request is incomplete, before the process exits: the last byte of the request may be
    /// in transit, and the client must get an answer.
    pub(in crate::pipeline) fn reject_partial_requests(&mut self, now: Millis) {
        let begun: Vec<usize> = self
            .clients
            .iter()
            .filter(|(_, client)| !client.closing && !client.awaiting_answer && client.has_input())
            .map(|(index, _)| index)
            .collect();
        for index in begun {
            self.reject_partial_request(index, now);
        }
    }
}
