//! A sliding window of the instants at which calls were sent.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::interface::Nanos;

/// Send times, oldest first. Its owner passes the span, which has to be the same each time.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct SendWindow(VecDeque<Nanos>);

impl SendWindow {
    /// Adds a send at `now`, and forgets what is older than `span`.
    pub(crate) fn record(&mut self, now: Nanos, span: Nanos) {
        while self.0.front().is_some_and(|sent_at| *sent_at + span < now) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Number of sends within `span` before `now`, its start included.
    pub(crate) fn count(&self, now: Nanos, span: Nanos) -> usize {
        self.0.iter().filter(|sent_at| **sent_at + span >= now).count()
    }
}
