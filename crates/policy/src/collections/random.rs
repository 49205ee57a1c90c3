//! Pseudorandom numbers that continue across a process replacement.

use rand_xoshiro::SplitMix64;
use rand_xoshiro::rand_core::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// A serializable SplitMix64 generator.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Random(SplitMix64);

impl Random {
    /// A generator that starts from `seed`; equal seeds give equal sequences.
    pub(crate) fn new(seed: u64) -> Random {
        Random(SplitMix64::from_seed(seed.to_le_bytes()))
    }

    /// A uniformly distributed number from 0 up to, but excluding, 1.
    pub(crate) fn unit(&mut self) -> f64 {
        const MANTISSA_BITS: u32 = f64::MANTISSA_DIGITS;
        (self.0.next_u64() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
    }
}

impl Default for Random {
    fn default() -> Random {
        Random::new(0)
    }
}
