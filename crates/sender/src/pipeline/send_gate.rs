//! The check before the first byte of every request: collects the facts that [`crate::safety`] needs and applies its
//! rules.
//!
//! The decision module decides on attempts some time before their connections are established. This check finds what
//! has changed since then and what was decided wrongly: a request that breaks a rule is not sent, and counts as a
//! violation.

use std::collections::HashMap;

use martenlatch_clock::{Millis, millis};
use martenlatch_policy::Policy;
use martenlatch_policy::interface::{EndpointId, Outcome, ZoneId};

use super::message_store::{MessageState, StoredMessage};
use crate::class_rules::ClassRules;
use crate::discovery::EndpointDirectory;
use crate::egress::AttemptResult;
use crate::safety::{self, KeyScope, RequestFacts, ViolationCounter};

/// The decision module counts time in whole nanoseconds, the pipeline in fractional milliseconds: two representations
/// of the same instant differ by less than this.
const ROUNDING_TOLERANCE: Millis = 1.0;
/// Expired entries are removed from the table of Retry-Afters once it has this number of routes.
const RETRY_AFTER_PRUNE_THRESHOLD: usize = 1_024;

/// The target to which a Retry-After applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Route {
    Destination(u64),
    /// An endpoint of a kind whose endpoints each have their own limits.
    Endpoint(EndpointId),
}

/// The instant until which each route has asked not to be sent anything. Kept independently of the decision module, to
/// check its decisions.
#[derive(Default)]
pub(super) struct RetryAfterTable {
    /// For each kind of endpoint, whether its endpoints each have their own limits.
    limits_per_endpoint: Vec<bool>,
    until_by_route: HashMap<Route, Millis>,
}

impl RetryAfterTable {
    /// An empty table. `limits_per_endpoint` states for each kind whether its endpoints each have their own limits.
    pub(super) fn new(limits_per_endpoint: Vec<bool>) -> RetryAfterTable {
        RetryAfterTable {
            limits_per_endpoint,
            until_by_route: HashMap::new(),
        }
    }

    fn route(&self, destination: u64, endpoint: EndpointId, kind: usize) -> Route {
        if self.limits_per_endpoint.get(kind).copied().unwrap_or(false) {
            Route::Endpoint(endpoint)
        } else {
            Route::Destination(destination)
        }
    }

    /// Records the routes on which the decision module of a predecessor sends nothing for now.
    pub(super) fn restore(&mut self, policy: &Policy) {
        for (destination, endpoint, until) in policy.retry_after_deadlines() {
            let route = endpoint.map_or(Route::Destination(destination.0), Route::Endpoint);
            self.extend_route(route, millis(until));
        }
    }

    /// Records the Retry-After of a result, if it has one.
    pub(super) fn record(
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
        let until = now + millis(retry_after);
        self.extend(destination, endpoint, kind, until, now);
    }

    /// Records that nothing may be sent on the route of an endpoint until an instant.
    pub(super) fn extend(
        &mut self,
        destination: u64,
        endpoint: EndpointId,
        kind: usize,
        until: Millis,
        now: Millis,
    ) {
        if self.until_by_route.len() >= RETRY_AFTER_PRUNE_THRESHOLD {
            self.until_by_route.retain(|_, until| *until > now);
        }
        let route = self.route(destination, endpoint, kind);
        self.extend_route(route, until);
    }

    fn extend_route(&mut self, route: Route, until: Millis) {
        let until = until - ROUNDING_TOLERANCE;
        let recorded = self.until_by_route.entry(route).or_insert(until);
        *recorded = recorded.max(until);
    }

    fn until(&self, destination: u64, endpoint: EndpointId, kind: usize) -> Option<Millis> {
        let route = self.route(destination, endpoint, kind);
        self.until_by_route.get(&route).copied()
    }
}

/// Decides whether a request may be sent, by the safety rules.
pub(super) struct SendGate<'a> {
    pub(super) class_rules: &'a ClassRules,
    pub(super) directory: &'a EndpointDirectory,
    pub(super) retry_after_table: &'a RetryAfterTable,
    pub(super) violations: &'a ViolationCounter,
}

impl SendGate<'_> {
    /// Whether nothing may be sent for a message before the responses to its earlier attempts are settled: it may be
    /// over, or it must not be repeated anywhere and was rejected.
    pub(super) fn awaits_settlement(&self, message: &StoredMessage) -> bool {
        let record = &message.record;
        let may_repeat_anywhere = self
            .class_rules
            .may_repeat_anywhere(&record.class, &record.class_rules);
        !message.contested_attempts.is_empty()
            || (!message.unsettled_rejections.is_empty() && !may_repeat_anywhere)
    }

    /// Whether a request for a message may be sent to an endpoint now. A refusal counts as a violation.
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
        let repeats_anywhere = first_run.is_none()
            || self
                .class_rules
                .may_repeat_anywhere(&record.class, &record.class_rules);
        let key_scope = if repeats_anywhere {
            KeyScope::AllEndpoints
        } else {
            KeyScope::Zone {
                of_possible_runs: zone_of_possible_runs(message),
                of_endpoint: self.directory.zone(endpoint),
            }
        };
        RequestFacts {
            message_open: message.state == MessageState::Open,
            deadline: record.deadline + ROUNDING_TOLERANCE,
            non_idempotent: self
                .class_rules
                .is_non_idempotent(&record.class, &record.class_rules),
            first_possible_run: first_run.map(|attempt| attempt.sent_at),
            // The window is decoded only for a repeat, the only request that needs it.
            idempotency_window: first_run.and_then(|_| {
                self.class_rules
                    .idempotency_window(&record.class, &record.class_rules)
            }),
            key_scope,
            endpoint_available: self.directory.accepts_requests(endpoint),
            retry_after_until: self
                .retry_after_table
                .until(record.destination, endpoint, kind),
            now,
        }
    }
}

/// The zone to which all attempts that may have run were sent; `None` if their zones differ, or one is unknown.
fn zone_of_possible_runs(message: &StoredMessage) -> Option<ZoneId> {
    let attempts = message.record.attempts.iter().zip(&message.attempt_zones);
    let mut zones = attempts
        .filter(|(attempt, _)| !attempt.never_ran)
        .map(|(_, zone)| *zone);
    let first = zones.next()??;
    zones.all(|zone| zone == Some(first)).then_some(first)
}
