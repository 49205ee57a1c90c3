//! Owns chance: every draw is named by a seed, a stream and what it is for, so that two variants meet the same
//! messages, service times and faults however differently they act. It must never keep a state between draws.

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Gamma};
use rand_pcg::Pcg64Mcg;

/// What a draw is for.
#[derive(Clone, Copy, Debug)]
#[repr(u64)]
pub enum Stream {
    /// The partners and their endpoints.
    World = 1,
    /// When messages come, and for whom.
    Load = 2,
    /// The work of a message.
    Work = 3,
    /// Luck of a single call.
    Call = 4,
    /// Travel of a message or a call.
    Travel = 5,
    /// What clients do after a refusal.
    Client = 6,
    /// Lateness of the list.
    List = 7,
}

/// The generator of one draw, or of a row of draws that nothing else shares.
pub fn draw(seed: u64, stream: Stream, a: u64, b: u64) -> Pcg64Mcg {
    let mut mixed = seed ^ (stream as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    for part in [a, b] {
        mixed = (mixed ^ part).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed ^= mixed >> 29;
    }
    Pcg64Mcg::seed_from_u64(mixed)
}

/// A number within a span, ends included.
pub fn within(rng: &mut Pcg64Mcg, span: (f64, f64)) -> f64 {
    span.0 + (span.1 - span.0) * rng.random::<f64>()
}

/// A positive number with a mean of one and a spread of `cv` (a gamma distribution; at 1 it is exponential).
pub fn spread(rng: &mut Pcg64Mcg, cv: f64) -> f64 {
    let shape = 1.0 / (cv * cv).max(1e-4);
    Gamma::new(shape, 1.0 / shape).map_or(1.0, |g| g.sample(rng))
}

/// True with a chance.
pub fn happens(rng: &mut Pcg64Mcg, chance: f64) -> bool {
    chance > 0.0 && rng.random::<f64>() < chance
}
