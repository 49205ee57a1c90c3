//! One endpoint of a partner: its running and its queued calls.

use std::collections::{BTreeMap, VecDeque};

use martenlatch_clock::Millis;

use crate::model::partner::Call;

/// The key of a running call: ordered by the instant of its completion, then by the call's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CompletionKey {
    /// The bits of the instant. Positive floating-point numbers have the same order as their bits.
    pub at_bits: u64,
    call: u64,
}

impl CompletionKey {
    /// The key of a call that completes at an instant.
    pub fn new(at: Millis, call: u64) -> CompletionKey {
        CompletionKey {
            at_bits: at.to_bits(),
            call,
        }
    }

    /// When the call completes.
    pub fn at(self) -> Millis {
        f64::from_bits(self.at_bits)
    }
}

/// One endpoint of a partner and its calls.
#[derive(Debug, Default)]
pub(super) struct Endpoint {
    /// Running calls, in the order of their completion.
    pub running: BTreeMap<CompletionKey, Call>,
    /// Queued calls, which wait for a core.
    pub queue: VecDeque<Call>,
    /// Whether it takes no more calls.
    pub draining: bool,
}

impl Endpoint {
    /// Removes and returns the running call that completes first, if it is done by `now`.
    pub fn take_completed(&mut self, now: Millis) -> Option<Call> {
        let first = self.running.first_entry()?;
        if first.key().at_bits > now.to_bits() {
            return None;
        }
        Some(first.remove())
    }

    /// Drops all running and queued calls, as in an outage.
    pub fn drop_all_calls(&mut self) {
        self.running.clear();
        self.queue.clear();
    }

    /// Whether it drains and has no calls left.
    pub fn is_drained(&self) -> bool {
        self.draining && self.running.is_empty() && self.queue.is_empty()
    }
}
