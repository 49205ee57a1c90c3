//! Owns the step from an action to a call: its connection, the routed task's record, then its first byte. It must never send
//! what has no record.

use std::net::SocketAddr;

use martenlatch_clock::Millis;
use martenlatch_policy::interface::{EndpointId, MessageId, Outcome};
use martenlatch_wal::AttemptRecord;
use tracing::debug;

use super::message_store::MessageStore;
use crate::egress::{AttemptRequest, AttemptResult, Egress};

/// A routed task's transaction and its goal.
pub struct DispatchTarget {
    pub(super) id: MessageId,
    /// Its class must not be repeated once it may have run.
    pub(super) once: bool,
    pub(super) region: EndpointId,
    /// Its kind, by its place in the settings.
    pub(super) kind: usize,
    /// None where the table lists it no more.
    pub(super) address: Option<SocketAddr>,
}

/// Carries a routed task to its region: its connection, its record, then its first byte.
pub struct Dispatch;

impl Dispatch {
    pub(super) fn send(
        &self,
        target: DispatchTarget,
        timeout: Millis,
        latest: Millis,
        store: &mut MessageStore,
        egress: &mut Egress,
        now: Millis,
    ) {
        let DispatchTarget {
            id,
            once,
            region,
            kind,
            address,
        } = target;
        let Some(t) = store.held.get_mut(&id.0) else {
            return;
        };
        let attempt = t.taken.attempts.len();
        // It has not begun: its record comes once its connection is up, and before its first byte.
        t.taken.attempts.push(AttemptRecord {
            sent: now,
            never_ran: true,
        });
        t.out += 1;
        store.counters.untried_called += u64::from(std::mem::take(&mut t.untried));
        let Some(address) = address else {
            let (attempt, outcome) = (attempt as u32, Outcome::NotSent);
            return egress.results.push(AttemptResult {
                id,
                attempt,
                outcome,
                took: 0.0,
                over: false,
            });
        };
        let (taken, no, at) = (&t.taken, id.0, region.0);
        debug!(
            no,
            attempt,
            destination = taken.destination,
            region = at,
            copy = t.out > 1,
            "routed"
        );
        let key = taken
            .key
            .as_ref()
            .map_or(String::new(), |k| format!("Idempotency-Key: {k}\r\n"));
        let head = format!(
            "POST /v1/messages HTTP/1.1\r\nHost: {address}\r\nX-Request-ID: {}\r\n{key}X-Timeout: {:.3}\r\n\
             Content-Length: {}\r\n\r\n",
            taken.id,
            timeout / 1e3,
            taken.body.len()
        );
        let (head, body, destination) = (head.as_bytes(), &*taken.body, taken.destination);
        // A further attempt has failed once, and should not do so again for the sake of a connection.
        let (dear, attempt) = (once || attempt > 0, attempt as u32);
        let call = AttemptRequest {
            id,
            attempt,
            endpoint: region,
            kind,
            destination,
            timeout,
            latest,
            must_not_be_lost: dear,
            head,
            body,
        };
        egress.start(&call, address, now);
    }

    /// Begins the calls whose connections are up. What has no record is not sent: after a crash it would be taken for one
    /// that never ran.
    pub(super) fn begin(&self, store: &mut MessageStore, egress: &mut Egress, now: Millis) {
        let MessageStore { held, wal, .. } = store;
        egress.send_ready(
            |id, attempt| {
                let task = held
                    .get_mut(&id.0)
                    .and_then(|t| t.taken.attempts.get_mut(attempt as usize));
                let recorded = task.is_some() && wal.append_attempt(id.0, attempt as usize, now);
                task.filter(|_| recorded).into_iter().for_each(|t| {
                    *t = AttemptRecord {
                        sent: now,
                        never_ran: false,
                    }
                });
                recorded
            },
            now,
        );
    }
}
