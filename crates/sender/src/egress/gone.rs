//! Whether an endpoint says that a message is over, with status 410.
//!
//! No request may follow such an answer. An answer that may belong to another request, or is not complete, is no reason
//! to close the message without a report either: the platform is told that the message has ended, which does no harm if
//! it was over before.

/// The status that says that a message is over.
pub(super) const GONE_STATUS: u16 = 410;

/// What the end of an attempt says about whether its message is over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MessageGone {
    /// Nothing.
    #[default]
    No,
    /// It may be over: no further request may be sent, and its end is still owed.
    Possibly,
    /// It is over, and nothing is owed.
    Certainly,
}
