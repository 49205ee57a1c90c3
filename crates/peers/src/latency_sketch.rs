//! Owns a sketch of latencies: counts in buckets that grow by a fifth, from a millisecond to a minute. Two sketches
//! merge by adding. It must never hold more than its buckets, whatever it is told.

use std::collections::BTreeMap;

use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};

/// Buckets to a doubling.
const FINE: f64 = 4.0;
/// The last bucket: what takes longer than a minute counts there.
const LAST: u8 = 63;

/// Counts of latencies by size.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LatencySketch {
    counts: Vec<(u8, u16)>,
}

/// The middle of a bucket.
fn value(bucket: u8) -> Millis {
    2f64.powf((f64::from(bucket) + 0.5) / FINE)
}

impl LatencySketch {
    /// Of these latencies, in milliseconds.
    pub fn of(latencies: impl IntoIterator<Item = Millis>) -> LatencySketch {
        let mut counts = BTreeMap::<u8, u16>::new();
        for latency in latencies {
            let bucket = (latency.max(1.0).log2() * FINE).min(f64::from(LAST)) as u8;
            let count = counts.entry(bucket).or_default();
            *count = count.saturating_add(1);
        }
        LatencySketch {
            counts: counts.into_iter().collect(),
        }
    }

    /// How many latencies it stands for.
    pub fn count(&self) -> u32 {
        self.counts.iter().map(|c| u32::from(c.1)).sum()
    }

    /// Whether it is as [`LatencySketch::of`] makes them: buckets in order, none twice, none empty or past the last.
    pub fn sound(&self) -> bool {
        self.counts.is_sorted_by(|a, b| a.0 < b.0)
            && self.counts.iter().all(|c| c.0 <= LAST && c.1 > 0)
    }

    /// Adds another's counts.
    pub fn add(&mut self, other: &LatencySketch) {
        let mut counts: BTreeMap<u8, u16> = self.counts.iter().copied().collect();
        for (bucket, count) in &other.counts {
            let sum = counts.entry(*bucket).or_default();
            *sum = sum.saturating_add(*count);
        }
        self.counts = counts.into_iter().collect();
    }

    /// So many latencies that stand for the whole, evenly over its quantiles, the least first. Nothing of nothing.
    pub fn stand_for(&self, many: usize) -> Vec<Millis> {
        let total = f64::from(self.count());
        let mut sum = 0.0;
        let mut steps = self.counts.iter().map(|(bucket, count)| {
            sum += f64::from(*count);
            (sum, *bucket)
        });
        let Some(mut at) = steps.next() else {
            return Vec::new();
        };
        (0..many)
            .map(|i| {
                let wanted = (i as f64 + 0.5) / many as f64 * total;
                while at.0 < wanted {
                    let Some(next) = steps.next() else { break };
                    at = next;
                }
                value(at.1)
            })
            .collect()
    }
}
