//! The responses that a connection has carried, by their bytes.

use super::response_bytes::{ends_in_status_line, fingerprint};

/// The number of responses that are remembered for each connection. Once there are more, every response could be a copy.
const MAX_FINGERPRINTS: usize = 256;
/// The longest response, in bytes, that is collected in pieces.
const MAX_COLLECTED_RESPONSE: usize = 1_024;
/// The number of different heads of responses that are remembered for each connection, and how many bytes of each. Once
/// there are as many, any incomplete response could be a copy.
const MAX_HEADS: usize = 32;
const KEPT_HEAD_BYTES: usize = 128;

/// The bytes of a response, as far as it has been received.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedResponse<'a> {
    /// The bytes received so far, and those of a following response.
    pub received: &'a [u8],
    /// Those of its head.
    pub head: &'a [u8],
    /// All of its bytes, or `None` if it is incomplete.
    pub complete: Option<&'a [u8]>,
    /// Whether the bytes of its head are consumed when it ends its attempt.
    pub is_head_consumed: bool,
    /// Whether further bytes follow it.
    pub is_followed: bool,
}

/// The responses of one connection.
#[derive(Debug, Default)]
pub(super) struct KnownResponses {
    /// The fingerprints of the responses, if all of them are known.
    fingerprints: Vec<u64>,
    /// Whether a response has no fingerprint.
    has_unrecorded: bool,
    /// The first bytes of the heads of the responses, without repetitions.
    heads: Vec<Vec<u8>>,
    /// The consumed bytes of the latest response, if it had been incomplete when it ended its attempt.
    partial: Option<Vec<u8>>,
}

impl KnownResponses {
    /// Whether the connection has carried no response.
    pub fn is_empty(&self) -> bool {
        !self.has_unrecorded && self.heads.is_empty()
    }

    /// Whether all responses are remembered.
    pub fn are_all_recorded(&self) -> bool {
        !self.has_unrecorded
    }

    /// Whether a response had the same bytes.
    pub fn contains(&self, response: &[u8]) -> bool {
        self.fingerprints.contains(&fingerprint(response))
    }

    /// Whether an incomplete response could be the beginning of a known one.
    pub fn begins_like_any(&self, received: &[u8]) -> bool {
        self.heads.len() >= MAX_HEADS
            || self.heads.iter().any(|head| {
                let common = head.len().min(received.len());
                head[..common] == received[..common]
            })
    }

    /// Whether a response is certainly no copy of a known one.
    pub fn is_new(&self, response: &ReceivedResponse) -> bool {
        match response.complete {
            Some(bytes) => self.is_new_whole(bytes, response.is_followed),
            None => !self.begins_like_any(response.received),
        }
    }

    /// The same for a complete response. A copy that is cut off in its body takes the first bytes of the real response for
    /// the rest of it.
    fn is_new_whole(&self, bytes: &[u8], is_followed: bool) -> bool {
        let may_be_cut_off = is_followed || ends_in_status_line(bytes);
        self.are_all_recorded() && !may_be_cut_off && !self.contains(bytes)
    }

    /// Remembers a response.
    pub fn record(&mut self, response: &ReceivedResponse) {
        self.partial = None;
        match response.complete {
            Some(bytes) => self.record_whole(bytes),
            None if response.is_head_consumed => self.partial = Some(response.head.to_vec()),
            None => self.partial = Some(Vec::new()),
        }
        self.record_head(response.head);
    }

    fn record_whole(&mut self, bytes: &[u8]) {
        let print = fingerprint(bytes);
        if self.fingerprints.contains(&print) {
            return;
        }
        if self.fingerprints.len() < MAX_FINGERPRINTS {
            self.fingerprints.push(print);
        } else {
            self.has_unrecorded = true;
        }
    }

    fn record_head(&mut self, head: &[u8]) {
        let head = &head[..head.len().min(KEPT_HEAD_BYTES)];
        let is_known = self.heads.iter().any(|known| known == head);
        if !is_known && self.heads.len() < MAX_HEADS {
            self.heads.push(head.to_vec());
        }
    }

    /// Adds consumed bytes of the latest response, which was incomplete.
    pub fn add_rest(&mut self, bytes: &[u8]) {
        let Some(partial) = &mut self.partial else {
            return;
        };
        partial.extend_from_slice(bytes);
        if partial.len() > MAX_COLLECTED_RESPONSE {
            self.partial = None;
            self.has_unrecorded = true;
        }
    }

    /// Remembers the latest response, which was incomplete and now is not; `is_followed` says whether further bytes follow
    /// it. Returns whether it is certainly no copy.
    pub fn complete_rest(&mut self, is_followed: bool) -> bool {
        let Some(response) = self.partial.take() else {
            return false;
        };
        let is_new = self.is_new_whole(&response, is_followed);
        self.record_whole(&response);
        is_new
    }
}
