//! The gate in front of the first byte of every request: collects what [`crate::safety`] has to know, and asks it.
//!
//! The decision module decides on attempts some time before their connections are up. Whatever has changed meanwhile,
//! or went wrong in a decision, is found here: a request that breaks a rule is not sent, and counts as a violation.

use std::collections::HashMap;

use martenlatch_clock::{Millis, millis};
use martenlatch_policy::interface::{EndpointId, Outcome};

use super::message_store::{MessageState, StoredMessage};
use crate::class_rules::ClassRules;
use crate::discovery::EndpointDirectory;
use crate::egress::AttemptResult;
use crate::safety::{self, RequestFacts, ViolationCounter};

/// The decision module counts in nanoseconds, the pipeline in fractional milliseconds: instants that are the same may
/// differ by less than this.
const ROUNDING: Millis = 1.0;
/// Waits that are over are forgotten once there are so many.
const MAX_REMEMBERED_WAITS: usize = 1_024;

/// What a Retry-After holds for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Route {
    Destination(u64),
    /// An endpoint of a kind whose endpoints have limits of their own.
    Endpoint(EndpointId),
}

/// Until when each route has asked not to be sent anything, noted apart from the decision module.
#[derive(Default)]
pub(super) struct RetryAfterTable {
    /// For each kind of endpoint, whether its endpoints have limits of their own.
    per_endpoint: Vec<bool>,
    until: HashMap<Route, Millis>,
}

impl RetryAfterTable {
    /// An empty table. `per_endpoint` says for each kind whether its endpoints have limits of their own.
    pub(super) fn new(per_endpoint: Vec<bool>) -> RetryAfterTable {
        RetryAfterTable {
            per_endpoint,
            until: HashMap::new(),
        }
    }

    fn route(&self, destination: u64, endpoint: EndpointId, kind: usize) -> Route {
        if self.per_endpoint.get(kind).copied().unwrap_or(false) {
            Route::Endpoint(endpoint)
        } else {
            Route::Destination(destination)
        }
    }

    /// Notes the Retry-After of a result, if it has one.
    pub(super) fn note(
        &mut self,
        result: &AttemptResult,
        destination: u64,
        kind: usize,
        now: Millis,
    ) {
        let (Outcome::Overloaded { retry_after }, Some(endpoint)) =
            (result.outcome, result.endpoint)
        else {
            return;
        };
        if retry_after == 0 {
            return;
        }
        if self.until.len() >= MAX_REMEMBERED_WAITS {
            self.until.retain(|_, until| *until > now);
        }
        let route = self.route(destination, endpoint, kind);
        let until = self.until.entry(route).or_insert(now);
        *until = until.max(now + millis(retry_after) - ROUNDING);
    }

    fn until(&self, destination: u64, endpoint: EndpointId, kind: usize) -> Option<Millis> {
        let route = self.route(destination, endpoint, kind);
        self.until.get(&route).copied()
    }
}

/// Whether requests may begin.
pub(super) struct SendGate<'a> {
    pub(super) class_rules: &'a ClassRules,
    pub(super) directory: &'a EndpointDirectory,
    pub(super) waits: &'a RetryAfterTable,
    pub(super) violations: &'a ViolationCounter,
}

impl SendGate<'_> {
    /// Whether a request for a message may be sent to an endpoint now.
    pub(super) fn permits(
        &self,
        message: &StoredMessage,
        endpoint: EndpointId,
        now: Millis,
    ) -> bool {
        let facts = self.facts(message, endpoint, now);
        let subject = format_args!(
            "message {} to endpoint {}",
            message.record.number, endpoint.0
        );
        self.violations.check(safety::may_send(&facts), subject)
    }

    fn facts(&self, message: &StoredMessage, endpoint: EndpointId, now: Millis) -> RequestFacts {
        let record = &message.record;
        let first_run = record.attempts.iter().find(|attempt| !attempt.never_ran);
        let kind = self.directory.kind(endpoint);
        RequestFacts {
            message_open: message.state == MessageState::Open,
            deadline: record.deadline + ROUNDING,
            non_idempotent: self
                .class_rules
                .is_non_idempotent(&record.class, &record.class_rules),
            first_run: first_run.map(|attempt| attempt.sent_at),
            // Only a repeat needs the window, which takes some decoding.
            idempotency_window: first_run.and_then(|_| {
                self.class_rules
                    .idempotency_window(&record.class, &record.class_rules)
            }),
            endpoint_available: self.directory.accepts_requests(endpoint),
            retry_after_until: self.waits.until(record.destination, endpoint, kind),
            now,
        }
    }
}
