//! Starts attempts: the steps from an action of the decision module to the first byte of the request.
//!
//! An attempt is recorded in the write-ahead log once its connection is established and before its first byte is sent.
//! A request without a record is not sent: after a crash it would count as an attempt that never ran.

use std::net::SocketAddr;

use martenlatch_clock::Millis;
use martenlatch_policy::interface::{EndpointId, MessageId, Outcome, ZoneId};
use martenlatch_wal::{AttemptRecord, MAX_ATTEMPTS, MessageRecord};
use tracing::debug;

use super::message_store::{MessageStore, StoredMessage};
use super::send_gate::SendGate;
use crate::egress::{AttemptRequest, AttemptResult, Egress, Evidence, MessageGone, SendPermission};

/// An attempt that the decision module has requested.
pub struct Attempt {
    pub(super) id: MessageId,
    /// The message must not be sent again once an attempt may have run.
    pub(super) non_idempotent: bool,
    /// The message may be sent again to any endpoint of its destination although an attempt may have run.
    pub(super) is_repeatable: bool,
    pub(super) endpoint: EndpointId,
    /// The endpoint's zone; `None` if the endpoint is no longer listed.
    pub(super) zone: Option<ZoneId>,
    /// The endpoint's kind, by its index in the settings.
    pub(super) kind: usize,
    /// `None` if the endpoint is no longer listed.
    pub(super) address: Option<SocketAddr>,
    /// How long the endpoint may take to answer.
    pub(super) timeout: Millis,
    /// The last instant at which the first byte of the request may be written.
    pub(super) latest_start: Millis,
}

/// Starts an attempt: egress assigns a connection to it. Its request is sent by [`send_ready`] once that connection is
/// established.
pub(super) fn start_attempt(
    attempt: &Attempt,
    store: &mut MessageStore,
    egress: &mut Egress,
    now: Millis,
) {
    let Some(message) = store.messages.get_mut(&attempt.id.0) else {
        return;
    };
    let number = add_attempt(message, attempt.zone, now);
    if std::mem::take(&mut message.unattempted) {
        store.counters.unattempted_started += 1;
    }
    let Some(address) = attempt.address else {
        egress.results.push(not_sent(attempt.id, number));
        return;
    };
    let record = &message.record;
    debug!(
        number = attempt.id.0,
        attempt = number,
        destination = record.destination,
        endpoint = attempt.endpoint.0,
        hedge = message.attempts_in_flight > 1,
        "attempt started"
    );
    let head = request_head(record, address, attempt.timeout);
    let request = AttemptRequest {
        id: attempt.id,
        attempt: number,
        endpoint: attempt.endpoint,
        kind: attempt.kind,
        destination: record.destination,
        timeout: attempt.timeout,
        latest_start: attempt.latest_start,
        // A message that has failed once should not fail again because of a stale connection.
        must_not_be_lost: attempt.non_idempotent || number > 0,
        is_repeatable: attempt.is_repeatable,
        head: head.as_bytes(),
        body: &record.body,
    };
    egress.start(&request, address, now);
}

/// Adds an attempt to a message and returns its number. Until it is recorded in the log, it counts as one that never
/// ran.
pub(super) fn add_attempt(message: &mut StoredMessage, zone: Option<ZoneId>, now: Millis) -> u32 {
    let number = message.record.attempts.len() as u32;
    message.record.attempts.push(AttemptRecord {
        sent_at: now,
        never_ran: true,
    });
    message.attempt_zones.push(zone);
    message.attempts_in_flight += 1;
    number
}

/// The result of an attempt that is not sent because its endpoint is no longer listed.
fn not_sent(id: MessageId, attempt: u32) -> AttemptResult {
    AttemptResult {
        id,
        attempt,
        endpoint: None,
        outcome: Outcome::NotSent,
        took: 0.0,
        gone: MessageGone::No,
        evidence: Evidence::Certain,
    }
}

fn request_head(record: &MessageRecord, address: SocketAddr, timeout: Millis) -> String {
    let idempotency_key = match &record.idempotency_key {
        Some(key) => format!("Idempotency-Key: {key}\r\n"),
        None => String::new(),
    };
    format!(
        "POST /v1/messages HTTP/1.1\r\nHost: {address}\r\nX-Request-ID: {}\r\n{idempotency_key}X-Timeout: {:.3}\r\n\
         Content-Length: {}\r\n\r\n",
        record.id,
        timeout / 1e3,
        record.body.len()
    )
}

/// Sends the requests whose connections are established, each after its attempt has been recorded.
pub(super) fn send_ready(
    store: &mut MessageStore,
    egress: &mut Egress,
    gate: &SendGate,
    now: Millis,
) {
    egress.begin_established_requests(
        |id, attempt, endpoint| {
            let must_wait = store
                .messages
                .get(&id.0)
                .is_some_and(|message| gate.awaits_settlement(message));
            if must_wait {
                return SendPermission::RetryLater;
            }
            let permitted = store
                .messages
                .get(&id.0)
                .is_some_and(|message| gate.permits(message, endpoint, now));
            if permitted {
                record_attempt(store, id, attempt as usize, now)
            } else {
                SendPermission::Denied
            }
        },
        now,
    );
}

/// Records that an attempt begins now. The request may be sent only if that succeeds.
pub(super) fn record_attempt(
    store: &mut MessageStore,
    id: MessageId,
    attempt: usize,
    now: Millis,
) -> SendPermission {
    let Some(message) = store.messages.get_mut(&id.0) else {
        return SendPermission::Denied;
    };
    let Some(record) = message.record.attempts.get_mut(attempt) else {
        return SendPermission::Denied;
    };
    if attempt >= MAX_ATTEMPTS {
        return SendPermission::Denied;
    }
    if !store.wal.append_attempt(id.0, attempt, now) {
        return SendPermission::RetryLater;
    }
    *record = AttemptRecord {
        sent_at: now,
        never_ran: false,
    };
    SendPermission::Granted
}
