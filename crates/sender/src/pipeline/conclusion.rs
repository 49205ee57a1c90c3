//! What follows for a message from the end of one of its attempts, as a pure function.
//!
//! A response may be a copy of an earlier one, or be incomplete. Then several things may be true, and the conclusion is
//! the one that breaks no rule under any of them. The table is in `docs/design/response-matching.md`.

use martenlatch_policy::interface::Outcome;

use crate::egress::{AttemptResult, Evidence, MessageGone};

/// What follows for the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Conclusion {
    /// It is delivered and can be closed.
    Delivered,
    /// It is held until it is known whether the success belongs to it.
    HeldUntilSettled,
    /// An endpoint says that it is over: it is closed without a report.
    Gone,
    /// It may be over, or its success may come too late to count: its end is reported, and nothing more is sent for it.
    Reported,
    /// Nothing: the decision module decides what follows from the outcome.
    Undecided,
}

/// What follows from the end of an attempt. `in_time` says whether a success counts as the delivery of its message.
pub(super) fn conclude(result: &AttemptResult, in_time: bool) -> Conclusion {
    match (result.gone, result.outcome, result.evidence) {
        (MessageGone::Certainly, ..) => Conclusion::Gone,
        (MessageGone::Possibly, ..) => Conclusion::Reported,
        (MessageGone::No, Outcome::Success, _) if !in_time => Conclusion::Reported,
        (MessageGone::No, Outcome::Success, Evidence::Certain) => Conclusion::Delivered,
        (MessageGone::No, Outcome::Success, Evidence::Uncertain) => Conclusion::HeldUntilSettled,
        (MessageGone::No, ..) => Conclusion::Undecided,
    }
}
