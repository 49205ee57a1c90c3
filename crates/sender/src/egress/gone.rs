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

/// The beginning of a status line up to the minor version, and what follows that version in the line of a 410.
const VERSION_START: &[u8] = b"HTTP/1.";
const STATUS_START: &[u8] = b" 410";
/// The fewest bytes of [`STATUS_START`] that say anything of the status.
const SHORTEST_STATUS: usize = 2;

/// What bytes say that do not end in a complete response to the request: the response may have been cut off anywhere, or
/// stand behind a part of another one.
pub(super) fn gone_by_incomplete_response(received: &[u8]) -> MessageGone {
    let mut lines = received.windows(VERSION_START.len()).zip(0..);
    let may_be_gone = lines.any(|(start, position)| {
        let behind_version = &received[position + VERSION_START.len()..];
        start == VERSION_START && may_continue_as_gone(behind_version)
    });
    if may_be_gone {
        MessageGone::Possibly
    } else {
        MessageGone::No
    }
}

/// Whether the bytes behind the beginning of a status line could be those of a 410, as far as they go.
fn may_continue_as_gone(behind_version: &[u8]) -> bool {
    let Some((minor_version, status)) = behind_version.split_first() else {
        return false;
    };
    let known = status.len().min(STATUS_START.len());
    let reason = status.get(STATUS_START.len());
    minor_version.is_ascii_digit()
        && known >= SHORTEST_STATUS
        && status[..known] == STATUS_START[..known]
        && !reason.is_some_and(u8::is_ascii_digit)
}
