//! A histogram of latencies with exponential bucket widths: four buckets for each doubling of the latency, from one
//! millisecond to one minute. Sketches are merged by adding their counts. The number of buckets bounds a sketch's size.

use std::collections::BTreeMap;

use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};

/// Number of buckets for each doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Index of the last bucket, which also counts all latencies of more than a minute.
const LAST_BUCKET_INDEX: u8 = 63;

/// A histogram of latencies.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LatencySketch {
    /// The buckets that are not empty, in the order of their indices.
    buckets: Vec<Bucket>,
}

/// A bucket with at least one latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Bucket {
    index: u8,
    /// The number of latencies, which saturates at `u16::MAX`.
    count: u16,
}

impl Bucket {
    /// The geometric mean of the bucket's bounds.
    fn midpoint(&self) -> Millis {
        2f64.powf((f64::from(self.index) + 0.5) / BUCKETS_PER_DOUBLING)
    }
}

impl LatencySketch {
    /// Builds the sketch of latencies in milliseconds.
    pub fn from_latencies(latencies: impl IntoIterator<Item = Millis>) -> LatencySketch {
        let mut counts = BTreeMap::<u8, u16>::new();
        for latency in latencies {
            let index = latency.max(1.0).log2() * BUCKETS_PER_DOUBLING;
            let count = counts
                .entry(index.min(f64::from(LAST_BUCKET_INDEX)) as u8)
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

    /// Whether a received sketch could come from [`LatencySketch::from_latencies`]: its buckets are in order, and none
    /// is duplicate, empty or beyond the last index.
    pub fn is_valid(&self) -> bool {
        let in_order = self.buckets.is_sorted_by(|a, b| a.index < b.index);
        let mut buckets = self.buckets.iter();
        in_order && buckets.all(|b| b.index <= LAST_BUCKET_INDEX && b.count > 0)
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

    /// Returns `count` evenly spaced quantiles of the distribution, in milliseconds and in ascending order, or no
    /// quantiles if the sketch is empty.
    pub fn quantiles(&self, count: usize) -> Vec<Millis> {
        let total = f64::from(self.count());
        let mut buckets = self.buckets.iter();
        let Some(mut bucket) = buckets.next() else {
            return Vec::new();
        };
        let mut cumulative = f64::from(bucket.count);
        let mut quantiles = Vec::with_capacity(count);
        for quantile in 0..count {
            let rank = (quantile as f64 + 0.5) / count as f64 * total;
            while cumulative < rank
                && let Some(next) = buckets.next()
            {
                cumulative += f64::from(next.count);
                bucket = next;
            }
            quantiles.push(bucket.midpoint());
        }
        quantiles
    }
}
