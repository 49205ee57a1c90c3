//! The safety rules of the sender in one place: whether a request may be sent now, and whether a client's connection may
//! be closed now.
//!
//! The rules are pure functions of what their callers hold. The decision module and the pipeline follow them by design;
//! the checks here stand in front of the two steps that cannot be undone, the first byte of a request and the close of
//! a connection. A request that breaks a rule is not sent. Every violation is counted and logged: each is a defect.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use martenlatch_clock::Millis;
use tracing::error;

/// A step that would have broken a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Violation {
    /// A request for a message that is over.
    #[error("request after the end of its message")]
    SentAfterEnd,
    /// A request for a message whose deadline has passed.
    #[error("request after the deadline")]
    SentAfterDeadline,
    /// A request for a non-idempotent message of which an attempt may have run.
    #[error("non-idempotent message repeated")]
    RepeatedNonIdempotent,
    /// A repeat of a keyed message after the endpoints may have forgotten its key.
    #[error("repeat outside the idempotency window")]
    RepeatedOutsideWindow,
    /// A request to an endpoint that is draining, removed or cordoned.
    #[error("request to an endpoint that takes nothing new")]
    SentToDrainingEndpoint,
    /// A request to a destination that has asked for a wait.
    #[error("request before the Retry-After is over")]
    SentBeforeRetryAfter,
    /// A client's connection was closed though a request that had been read on it was not answered.
    #[error("connection closed before the answer")]
    ClosedUnanswered,
}

/// What the rules need to know of a request that is about to be sent. Instants are on the sender's clock.
#[derive(Clone, Copy, Debug)]
pub struct RequestFacts {
    /// The message is neither delivered nor given up.
    pub message_open: bool,
    /// When the message is given up.
    pub deadline: Millis,
    /// The message must not run twice.
    pub non_idempotent: bool,
    /// When the first attempt that may have run was sent; none if surely none has run.
    pub first_possible_run: Option<Millis>,
    /// How long endpoints remember the message's key; none if it has none, or they never forget it.
    pub idempotency_window: Option<Millis>,
    /// The endpoint takes new requests, by the endpoint list and the cordons.
    pub endpoint_available: bool,
    /// Until when the route must not be sent anything; none if it may.
    pub retry_after_until: Option<Millis>,
    /// The present instant.
    pub now: Millis,
}

/// Whether a request may be sent now.
///
/// # Errors
/// The first rule that it would break.
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

/// What the rules need to know of a client's connection that is about to be closed.
#[derive(Clone, Copy, Debug)]
pub struct CloseFacts {
    /// A request has been read, wholly or in part, and its answer is not written.
    pub answer_pending: bool,
    /// The client has reset the connection, or ended its sending before its request was complete.
    pub client_left: bool,
}

/// Whether a client's connection may be closed now.
///
/// # Errors
/// [`Violation::ClosedUnanswered`] if the client would not learn what became of its request.
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
    /// Counts and logs the violation, if there is one. `subject` says what it concerns. Returns whether the step may be
    /// taken.
    pub fn check(&self, rule: Result<(), Violation>, subject: impl fmt::Display) -> bool {
        let Err(violation) = rule else {
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
