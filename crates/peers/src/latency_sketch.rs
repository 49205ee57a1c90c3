//! A histogram of latencies with exponential buckets: four buckets to a doubling, from a millisecond to a minute. Two
//! sketches merge by adding their counts, and the size of a sketch is bounded by its number of buckets.

use std::collections::BTreeMap;

use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};

/// Buckets to a doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// The last bucket, which also counts all latencies of more than a minute.
const LAST_BUCKET: u8 = 63;

/// Counts of latencies by bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LatencySketch {
    /// In the order of their indices; empty buckets are left out.
    buckets: Vec<Bucket>,
}

/// One bucket that is not empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Bucket {
    index: u8,
    /// Saturates.
    count: u16,
}

impl Bucket {
    /// The geometric middle of the bucket.
    fn midpoint(&self) -> Millis {
        2f64.powf((f64::from(self.index) + 0.5) / BUCKETS_PER_DOUBLING)
    }
}

impl LatencySketch {
    /// The sketch of these latencies, in milliseconds.
    pub fn from_latencies(latencies: impl IntoIterator<Item = Millis>) -> LatencySketch {
        let mut counts = BTreeMap::<u8, u16>::new();
        for latency in latencies {
            let index = latency.max(1.0).log2() * BUCKETS_PER_DOUBLING;
            let count = counts
                .entry(index.min(f64::from(LAST_BUCKET)) as u8)
                .or_default();
            *count = count.saturating_add(1);
        }
        LatencySketch::from_counts(counts)
    }

    fn from_counts(counts: BTreeMap<u8, u16>) -> LatencySketch {
        let buckets = counts
            .into_iter()
            .map(|(index, count)| Bucket { index, count });
        LatencySketch {
            buckets: buckets.collect(),
        }
    }

    /// The number of latencies in the sketch.
    pub fn count(&self) -> u32 {
        self.buckets.iter().map(|b| u32::from(b.count)).sum()
    }

    /// Whether a received sketch has the form that [`LatencySketch::from_latencies`] gives it: buckets in order, none twice, none
    /// empty and none past the last.
    pub fn is_valid(&self) -> bool {
        let in_order = self.buckets.is_sorted_by(|a, b| a.index < b.index);
        let mut buckets = self.buckets.iter();
        in_order && buckets.all(|b| b.index <= LAST_BUCKET && b.count > 0)
    }

    /// Adds the counts of another sketch.
    pub fn add(&mut self, other: &LatencySketch) {
        let own = self.buckets.iter().map(|b| (b.index, b.count));
        let mut counts: BTreeMap<u8, u16> = own.collect();
        for bucket in &other.buckets {
            let count = counts.entry(bucket.index).or_default();
            *count = count.saturating_add(bucket.count);
        }
        *self = LatencySketch::from_counts(counts);
    }

    /// As many evenly spaced quantiles of the distribution, in milliseconds and in ascending order. None for an empty
    /// sketch.
    pub fn quantiles(&self, quantiles: usize) -> Vec<Millis> {
        let total = f64::from(self.count());
        let mut buckets = self.buckets.iter();
        let Some(mut bucket) = buckets.next() else {
            return Vec::new();
        };
        let mut cumulative = f64::from(bucket.count);
        let mut values = Vec::with_capacity(quantiles);
        for quantile in 0..quantiles {
            let rank = (quantile as f64 + 0.5) / quantiles as f64 * total;
            while cumulative < rank
                && let Some(next) = buckets.next()
            {
                cumulative += f64::from(next.count);
                bucket = next;
            }
            values.push(bucket.midpoint());
        }
        values
    }
}
