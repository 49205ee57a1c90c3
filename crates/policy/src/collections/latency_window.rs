//! A sliding window of latencies, with their quantiles.
//!
//! The oldest entries may be priors: latencies that other senders reported. Each latency that this sender
//! measures replaces one of them.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::interface::Nanos;

/// The latest latencies, kept by age and in ascending order.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct LatencyWindow {
    /// Oldest first.
    by_age: VecDeque<Nanos>,
    /// The same latencies in ascending order.
    by_size: Vec<Nanos>,
    /// Number of the oldest entries that are priors.
    priors: usize,
}

impl LatencyWindow {
    /// Largest number of entries: enough for a p95, and few enough to follow a change of latency.
    pub(crate) const CAPACITY: usize = 40;

    /// Adds a latency. It replaces the oldest entry if the window is full or has priors.
    pub(crate) fn record(&mut self, latency: Nanos) {
        self.by_age.push_back(latency);
        let position = self.by_size.partition_point(|other| *other < latency);
        self.by_size.insert(position, latency);
        if self.by_age.len() > Self::CAPACITY || self.priors > 0 {
            self.priors = self.priors.saturating_sub(1);
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.by_age.pop_front() {
            let position = self.by_size.partition_point(|other| *other < oldest);
            self.by_size.remove(position);
        }
    }

    /// The latency at a quantile between 0 and 1 (nearest rank); 0 when the window is empty.
    pub(crate) fn quantile(&self, quantile: f64) -> Nanos {
        let last = self.by_size.len().saturating_sub(1) as f64;
        let rank = (last * quantile).round() as usize;
        self.by_size.get(rank).copied().unwrap_or(0)
    }

    /// The median. If the window has fewer than `min_entries` entries, the median is averaged with a default,
    /// which has the weight of the missing entries.
    pub(crate) fn blended_median(&self, default: Nanos, min_entries: usize) -> Nanos {
        let min_entries = min_entries as Nanos;
        let present = min_entries.min(self.len() as Nanos);
        (self.quantile(0.5) * present + default * (min_entries - present)) / min_entries
    }

    /// A quantile of this window if it has at least `min_entries` entries. Otherwise the quantile of the
    /// other window, scaled from the other window's median to `median`; `None` if that window also has too
    /// few entries.
    pub(crate) fn quantile_or_scaled(
        &self,
        quantile: f64,
        min_entries: usize,
        other: &LatencyWindow,
        median: impl Fn() -> Nanos,
    ) -> Option<Nanos> {
        if self.len() >= min_entries {
            return Some(self.quantile(quantile));
        }
        if other.len() < min_entries {
            return None;
        }
        let ratio = other.quantile(quantile) as f64 / other.quantile(0.5).max(1) as f64;
        Some((median() as f64 * ratio) as Nanos)
    }

    /// Number of entries, priors included.
    pub(crate) fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Whether the window has no entries.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    /// Marks all present entries as priors.
    pub(crate) fn mark_as_priors(&mut self) {
        self.priors = self.by_age.len();
    }

    /// Whether any entry is a prior.
    pub(crate) fn has_priors(&self) -> bool {
        self.priors > 0
    }

    /// The latencies measured by this sender, in ascending order.
    pub(crate) fn own_sorted(&self) -> Vec<Nanos> {
        let mut own: Vec<Nanos> = self.by_age.iter().skip(self.priors).copied().collect();
        own.sort_unstable();
        own
    }
}
