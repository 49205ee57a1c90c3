//! Owns the step from an action to a call: its connection, the routed task's record, then its first byte. It must never send
//! what has no record.

use std::net::SocketAddr;

use martenlatch_clock::Millis;
use martenlatch_ledger::Task;
use martenlatch_policy::interface::{EndpointId, MessageId, Outcome};
use tracing::debug;

use super::desk::Desk;
use crate::regions::{Call, Done, Regions};

/// A routed task's transaction and its goal.
pub struct To {
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
pub struct Send;

impl Send {
    pub(super) fn send(
        &self,
        to: To,
        timeout: Millis,
        latest: Millis,
        desk: &mut Desk,
        regions: &mut Regions,
        now: Millis,
    ) {
        let To {
            id,
            once,
            region,
            kind,
            address,
        } = to;
        let Some(t) = desk.held.get_mut(&id.0) else {
            return;
        };
        let attempt = t.taken.tasks.len();
        // It has not begun: its record comes once its connection is up, and before its first byte.
        t.taken.tasks.push(Task {
            sent: now,
            never_ran: true,
        });
        t.out += 1;
        desk.counters.untried_called += u64::from(std::mem::take(&mut t.untried));
        let Some(address) = address else {
            let (attempt, outcome) = (attempt as u32, Outcome::NotSent);
            return regions.done.push(Done {
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
        let call = Call {
            id,
            attempt,
            region,
            kind,
            destination,
            timeout,
            latest,
            dear,
            head,
            body,
        };
        regions.call(&call, address, now);
    }

    /// Begins the calls whose connections are up. What has no record is not sent: after a crash it would be taken for one
    /// that never ran.
    pub(super) fn begin(&self, desk: &mut Desk, regions: &mut Regions, now: Millis) {
        let Desk { held, ledger, .. } = desk;
        regions.begin(
            |id, attempt| {
                let task = held
                    .get_mut(&id.0)
                    .and_then(|t| t.taken.tasks.get_mut(attempt as usize));
                let recorded = task.is_some() && ledger.route(id.0, attempt as usize, now);
                task.filter(|_| recorded).into_iter().for_each(|t| {
                    *t = Task {
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
