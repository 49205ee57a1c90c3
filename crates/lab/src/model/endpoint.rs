//! One endpoint of a partner: the calls that run there and those that wait.

use std::collections::{BTreeMap, VecDeque};

use martenlatch_clock::Millis;

use crate::model::partner::Call;

/// When a running call is done; ordered by that instant, then by the call's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CompletionKey {
    /// The bits of the instant: positive floating-point numbers keep their order as bits.
    pub at_bits: u64,
    call: u64,
}

impl CompletionKey {
    /// The key of a call that is done at an instant.
    pub fn new(at: Millis, call: u64) -> CompletionKey {
        CompletionKey {
            at_bits: at.to_bits(),
            call,
        }
    }

    /// When the call is done.
    pub fn at(self) -> Millis {
        f64::from_bits(self.at_bits)
    }
}

/// One endpoint of a partner, with the calls that it has.
#[derive(Debug, Default)]
pub(super) struct Endpoint {
    /// Calls that run, by when they are done.
    pub running: BTreeMap<CompletionKey, Call>,
    /// Calls that wait for a core.
    pub queue: VecDeque<Call>,
    /// It takes no more calls.
    pub draining: bool,
}

impl Endpoint {
    /// The first running call that is done by `now`, taken out.
    pub fn take_completed(&mut self, now: Millis) -> Option<Call> {
        let first = self.running.first_entry()?;
        if first.key().at_bits > now.to_bits() {
            return None;
        }
        Some(first.remove())
    }

    /// Loses all calls, as in an outage.
    pub fn drop_all_calls(&mut self) {
        self.running.clear();
        self.queue.clear();
    }

    /// Whether it has drained.
    pub fn is_finished(&self) -> bool {
        self.draining && self.running.is_empty() && self.queue.is_empty()
    }
}
