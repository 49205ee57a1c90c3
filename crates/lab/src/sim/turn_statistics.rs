//! What turns of the decision module take on this machine. Not part of a result that a seed decides.

use std::collections::BTreeMap;

/// Turns of the decision module with a similar number of messages held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TurnStatistics {
    /// How many turns there were.
    pub count: u64,
    /// Nanoseconds of all together.
    pub total_ns: u64,
    /// Nanoseconds of the longest.
    pub longest_ns: u64,
}

impl TurnStatistics {
    fn add(&mut self, other: &TurnStatistics) {
        self.count += other.count;
        self.total_ns += other.total_ns;
        self.longest_ns = self.longest_ns.max(other.longest_ns);
    }
}

/// What turns took, by how many messages were held.
#[derive(Clone, Debug, Default)]
pub struct TurnTimes {
    /// The turns for each number of bits of the number of messages held.
    pub by_held_bits: BTreeMap<u32, TurnStatistics>,
}

impl TurnTimes {
    /// Adds what another run measured.
    pub fn add_all(&mut self, other: &TurnTimes) {
        for (bits, statistics) in &other.by_held_bits {
            self.by_held_bits.entry(*bits).or_default().add(statistics);
        }
    }

    /// Adds one turn with `held` messages that took so many nanoseconds.
    pub(super) fn add(&mut self, held: usize, nanoseconds: u64) {
        let bits = usize::BITS - held.leading_zeros();
        self.by_held_bits
            .entry(bits)
            .or_default()
            .add(&TurnStatistics {
                count: 1,
                total_ns: nanoseconds,
                longest_ns: nanoseconds,
            });
    }
}
