//! The durations of the decision module's turns on this machine. They are not part of the result of a seed.

use std::collections::BTreeMap;

/// The durations of turns with a similar number of held messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TurnStatistics {
    /// Number of turns.
    pub count: u64,
    /// Sum of the durations, in nanoseconds.
    pub total_ns: u64,
    /// The longest duration, in nanoseconds.
    pub longest_ns: u64,
}

impl TurnStatistics {
    fn add(&mut self, other: &TurnStatistics) {
        self.count += other.count;
        self.total_ns += other.total_ns;
        self.longest_ns = self.longest_ns.max(other.longest_ns);
    }
}

/// The durations of turns by the number of held messages.
#[derive(Clone, Debug, Default)]
pub struct TurnTimes {
    /// The turns for each bit length of the number of held messages.
    pub by_held_bits: BTreeMap<u32, TurnStatistics>,
}

impl TurnTimes {
    /// Adds the turns of another run.
    pub fn add_all(&mut self, other: &TurnTimes) {
        for (bits, statistics) in &other.by_held_bits {
            self.by_held_bits.entry(*bits).or_default().add(statistics);
        }
    }

    /// Adds one turn with `held` messages and a duration of `nanoseconds`.
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
