//! The safety rules of the sender in one place: whether a request may be sent now, and whether a client's connection
//! may be closed now.
//!
//! The rules are pure functions of facts that the callers provide. The decision module and the pipeline are designed to
//! follow them; the checks here guard the two steps that cannot be undone: sending the first byte of a request, and
//! closing a connection. A request that breaks a rule is not sent. Every violation is a defect, and is counted and
//! logged.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use martenlatch_clock::Millis;
use martenlatch_policy::interface::ZoneId;
use tracing::error;

/// A safety rule that a step would have broken, or has broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Violation {
    /// A request for a message that has ended.
    #[error("request after the end of its message")]
    SentAfterEnd,
    /// A request for a message whose deadline has passed.
    #[error("request after the deadline")]
    SentAfterDeadline,
    /// A request for a non-idempotent message of which an attempt may have run.
    #[error("non-idempotent message repeated")]
    RepeatedNonIdempotent,
    /// A repeat of a message with an idempotency key after endpoints may have forgotten the key.
    #[error("repeat outside the idempotency window")]
    RepeatedOutsideWindow,
    /// A repeat of a message whose idempotency key is known in one zone only, to an endpoint of another zone, or after
    /// attempts whose zones are unknown or differ.
    #[error("repeat outside the zone of the idempotency key")]
    RepeatedOutsideZone,
    /// A request to an endpoint that is draining, removed or cordoned.
    #[error("request to an endpoint that takes nothing new")]
    SentToDrainingEndpoint,
    /// A request on a route whose Retry-After has not passed yet.
    #[error("request before the Retry-After is over")]
    SentBeforeRetryAfter,
    /// The decision module counts an attempt as in flight that no connection carries and whose end is not on its way.
    #[error("attempt in flight without an owner")]
    AttemptWithoutOwner,
    /// A client's connection was closed before a request that had been read from it was answered.
    #[error("connection closed before the answer")]
    ClosedUnanswered,
}

/// Where endpoints drop repeats of a message, which limits where it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// At all endpoints of the destination, or the message needs no protection from repeats.
    AllEndpoints,
    /// At the endpoints of one zone.
    Zone {
        /// The zone to which all attempts that may have run were sent; `None` if they differ or one is unknown.
        of_possible_runs: Option<ZoneId>,
        /// The zone of the endpoint; `None` if it is not listed.
        of_endpoint: Option<ZoneId>,
    },
}

impl KeyScope {
    fn covers_endpoint(self) -> bool {
        match self {
            KeyScope::AllEndpoints => true,
            KeyScope::Zone {
                of_possible_runs,
                of_endpoint,
            } => of_possible_runs.is_some() && of_possible_runs == of_endpoint,
        }
    }
}

/// The facts about a request that is about to be sent. Instants are on the sender's clock.
#[derive(Clone, Copy, Debug)]
pub struct RequestFacts {
    /// The message is neither delivered nor given up.
    pub message_open: bool,
    /// When the message is given up. It must not be sent after this instant.
    pub deadline: Millis,
    /// The message must not run twice.
    pub non_idempotent: bool,
    /// When the first attempt that may have run was sent; `None` if it is certain that no attempt has run.
    pub first_possible_run: Option<Millis>,
    /// The time for which endpoints remember the message's idempotency key; `None` if it has no key, or they never
    /// forget it.
    pub idempotency_window: Option<Millis>,
    /// Where endpoints drop repeats of the message.
    pub key_scope: KeyScope,
    /// The endpoint accepts new requests, according to the endpoint list and the cordons.
    pub endpoint_available: bool,
    /// The instant before which nothing may be sent on the route; `None` if there is no such limit.
    pub retry_after_until: Option<Millis>,
    /// The current instant.
    pub now: Millis,
}

/// Checks whether a request may be sent now.
///
/// # Errors
/// The first rule that the request would break.
pub fn may_send(request: &RequestFacts) -> Result<(), Violation> {
    if !request.message_open {
        return Err(Violation::SentAfterEnd);
    }
    if request.now > request.deadline {
        return Err(Violation::SentAfterDeadline);
    }
    if let Some(first_possible_run) = request.first_possible_run {
        if request.non_idempotent {
            return Err(Violation::RepeatedNonIdempotent);
        }
        let window = request.idempotency_window.unwrap_or(f64::INFINITY);
        if request.now > first_possible_run + window {
            return Err(Violation::RepeatedOutsideWindow);
        }
        if !request.key_scope.covers_endpoint() {
            return Err(Violation::RepeatedOutsideZone);
        }
    }
    if !request.endpoint_available {
        return Err(Violation::SentToDrainingEndpoint);
    }
    if request
        .retry_after_until
        .is_some_and(|until| request.now < until)
    {
        return Err(Violation::SentBeforeRetryAfter);
    }
    Ok(())
}

/// The facts about a client's connection that is about to be closed.
#[derive(Clone, Copy, Debug)]
pub struct CloseFacts {
    /// A request has been read, completely or in part, and its answer has not been written.
    pub answer_pending: bool,
    /// The client has reset the connection, or has closed its sending side after all its complete requests were
    /// answered.
    pub client_left: bool,
}

/// Checks whether a client's connection may be closed now.
///
/// # Errors
/// [`Violation::ClosedUnanswered`] if the client would not learn the outcome of its request.
pub fn may_close(connection: CloseFacts) -> Result<(), Violation> {
    if connection.answer_pending && !connection.client_left {
        return Err(Violation::ClosedUnanswered);
    }
    Ok(())
}

/// Counts violations. Clones share their counts.
#[derive(Clone, Default)]
pub struct ViolationCounter(Rc<RefCell<BTreeMap<Violation, u64>>>);

impl ViolationCounter {
    /// Counts and logs the violation, if there is one. `subject` names the request or connection at fault. Returns
    /// whether the step is permitted.
    pub fn check(&self, result: Result<(), Violation>, subject: impl fmt::Display) -> bool {
        let Err(violation) = result else {
            return true;
        };
        *self.0.borrow_mut().entry(violation).or_insert(0) += 1;
        error!(rule = %violation, subject = %subject, "safety rule violated");
        false
    }

    /// Violations of all rules since the start of the process.
    pub fn total(&self) -> u64 {
        self.0.borrow().values().sum()
    }

    /// Violations of one rule since the start of the process.
    #[cfg(test)]
    pub fn count(&self, violation: Violation) -> u64 {
        self.0.borrow().get(&violation).copied().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
