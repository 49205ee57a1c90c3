//! Waits that rejections ask for which have not arrived completely.
//!
//! An incomplete rejection does not prove that its request never ran, but it says that nothing may be sent to the
//! destination for a while. That holds from when it is read, whether the rest arrives late, never, or makes no valid
//! response.

use martenlatch_clock::Nanos;
use martenlatch_http as http;
use martenlatch_policy::interface::EndpointId;

use super::Egress;
use super::response::{REJECTION_STATUSES, longest_retry_after};

/// The end of a line, without the optional carriage return before it.
const LINE_END: u8 = b'\n';

/// A wait that an endpoint asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestedWait {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How long nothing may be sent to the endpoint's destination.
    pub retry_after: Nanos,
}

impl Egress {
    /// Notes the wait that the incomplete response to the attempt in flight asks for, unless that is known.
    pub(super) fn note_requested_wait(&mut self, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        if connection.attempt.is_none() {
            return;
        }
        let retry_after = wait_of_incomplete_rejection(connection.socket.bytes());
        if retry_after <= connection.noted_wait {
            return;
        }
        connection.noted_wait = retry_after;
        self.requested_waits.push(RequestedWait {
            endpoint: connection.endpoint,
            retry_after,
        });
    }

    /// Takes the waits that incomplete responses have asked for.
    pub fn take_requested_waits(&mut self) -> Vec<RequestedWait> {
        std::mem::take(&mut self.requested_waits)
    }
}

/// The wait that the beginning of a rejection asks for; zero if it asks for none. A value that is cut off is at most
/// the complete one.
fn wait_of_incomplete_rejection(received: &[u8]) -> Nanos {
    let is_rejection = |status: &u16| http::starts_with_status(received, *status);
    if REJECTION_STATUSES.iter().any(is_rejection) {
        longest_retry_after(head_lines(received))
    } else {
        0
    }
}

/// The bytes up to the first empty line, or all if there is none.
fn head_lines(received: &[u8]) -> &[u8] {
    let mut line_start = 0;
    for line in received.split_inclusive(|byte| *byte == LINE_END) {
        if line.trim_ascii().is_empty() {
            return &received[..line_start];
        }
        line_start += line.len();
    }
    received
}

#[cfg(test)]
mod tests;
