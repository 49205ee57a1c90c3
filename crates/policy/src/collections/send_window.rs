//! A sliding window of the instants at which calls were sent.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::interface::Nanos;

/// Send times, oldest first. The caller has to pass the same `span` to each call.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct SendWindow(VecDeque<Nanos>);

impl SendWindow {
    /// Adds a send at `now`, and removes sends that are older than `span`.
    pub(crate) fn record(&mut self, now: Nanos, span: Nanos) {
        while self.0.front().is_some_and(|sent_at| *sent_at + span < now) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Number of sends within `span` before `now`, both ends included.
    pub(crate) fn count(&self, now: Nanos, span: Nanos) -> usize {
        self.0
            .iter()
            .filter(|sent_at| **sent_at + span >= now)
            .count()
    }
}
