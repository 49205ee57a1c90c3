//! A sliding window of latencies that answers quantiles.
//!
//! The first entries may be priors: latencies that other senders reported. Each latency measured here replaces one of
//! them.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::interface::Nanos;

/// The latest latencies, in order of arrival and sorted by size.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct LatencyWindow {
    by_age: VecDeque<Nanos>,
    by_size: Vec<Nanos>,
    /// How many of the oldest entries are priors.
    priors: usize,
}

impl LatencyWindow {
    /// Entries kept: enough for a p95, few enough to follow a change of pace.
    pub(crate) const CAPACITY: usize = 40;

    /// Adds a latency. The oldest entry leaves when the window is full or holds priors.
    pub(crate) fn learn(&mut self, latency: Nanos) {
        self.by_age.push_back(latency);
        let place = self.by_size.partition_point(|other| *other < latency);
        self.by_size.insert(place, latency);
        if self.by_age.len() > Self::CAPACITY || self.priors > 0 {
            self.priors = self.priors.saturating_sub(1);
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.by_age.pop_front() {
            let place = self.by_size.partition_point(|other| *other < oldest);
            self.by_size.remove(place);
        }
    }

    /// The latency at a quantile between 0 and 1 (nearest rank); 0 when the window is empty.
    pub(crate) fn quantile(&self, quantile: f64) -> Nanos {
        let last = self.by_size.len().saturating_sub(1) as f64;
        let rank = (last * quantile).round() as usize;
        self.by_size.get(rank).copied().unwrap_or(0)
    }

    /// The median, blended with a default in proportion to the entries that are missing of `enough`.
    pub(crate) fn blended_median(&self, default: Nanos, enough: usize) -> Nanos {
        let enough = enough as Nanos;
        let present = enough.min(self.len() as Nanos);
        (self.quantile(0.5) * present + default * (enough - present)) / enough
    }

    /// A quantile of this window if it has enough entries; else that of the other window, scaled from its median to the
    /// given one; `None` if neither has enough.
    pub(crate) fn quantile_or_scaled(
        &self, quantile: f64, enough: usize, other: &LatencyWindow, median: impl Fn() -> Nanos,
    ) -> Option<Nanos> {
        if self.len() >= enough {
            return Some(self.quantile(quantile));
        }
        if other.len() < enough {
            return None;
        }
        let ratio = other.quantile(quantile) as f64 / other.quantile(0.5).max(1) as f64;
        Some((median() as f64 * ratio) as Nanos)
    }

    /// Number of entries, priors included.
    pub(crate) fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Whether there is no entry.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    /// Declares all present entries to be priors.
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
