//! The safety rules of the sender in one place: whether a client's connection may be closed now.
//!
//! The rules are pure functions of what their callers hold, and stand in front of steps that cannot be undone. Every
//! violation is counted and logged: each is a defect.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use tracing::error;

/// A step that would have broken a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Violation {
    /// A client's connection was closed though a request that had been read on it was not answered.
    #[error("connection closed before the answer")]
    ClosedUnanswered,
}

/// What the rules need to know of a client's connection that is about to be closed.
#[derive(Clone, Copy, Debug)]
pub struct CloseFacts {
    /// A request has been read, wholly or in part, and its answer is not written.
    pub answer_owed: bool,
    /// The client has reset the connection, or ended its sending before its request was complete.
    pub client_left: bool,
}

/// Whether a client's connection may be closed now.
///
/// # Errors
/// [`Violation::ClosedUnanswered`] if the client would not learn what became of its request.
pub fn may_close(connection: CloseFacts) -> Result<(), Violation> {
    if connection.answer_owed && !connection.client_left {
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
}

#[cfg(test)]
mod tests;
