//! Random draws, each named by a seed, a stream and what it is for. No generator lives on between draws, so two
//! variants meet the same messages, service times and faults however differently they act.

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
    /// What happens to a single call.
    Call = 4,
    /// Network latency of a message or a call.
    Latency = 5,
    /// What clients do after a rejection.
    Client = 6,
    /// Lateness of the endpoint list.
    EndpointList = 7,
}

/// A closed range of numbers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// The least.
    pub least: f64,
    /// The most.
    pub most: f64,
}

impl Span {
    /// A range from its two ends.
    pub const fn new(least: f64, most: f64) -> Span {
        Span { least, most }
    }
}

/// The shape of a gamma distribution is bounded for a coefficient of variation that is near zero.
const LEAST_SQUARED_VARIATION: f64 = 1e-4;

/// The generator of one draw, or of a row of draws that nothing else shares. `first` and `second` name it within its
/// stream.
pub fn rng_for(seed: u64, stream: Stream, first: u64, second: u64) -> Pcg64Mcg {
    let mut mixed = seed ^ (stream as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    for part in [first, second] {
        mixed = (mixed ^ part).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed ^= mixed >> 29;
    }
    Pcg64Mcg::seed_from_u64(mixed)
}

/// A number from a range, each equally likely.
pub fn uniform(rng: &mut Pcg64Mcg, span: Span) -> f64 {
    span.least + (span.most - span.least) * rng.random::<f64>()
}

/// A positive number with a mean of one and the given coefficient of variation, from a gamma distribution; with a
/// variation of one it is exponential.
pub fn gamma_factor(rng: &mut Pcg64Mcg, variation: f64) -> f64 {
    let shape = 1.0 / (variation * variation).max(LEAST_SQUARED_VARIATION);
    Gamma::new(shape, 1.0 / shape).map_or(1.0, |gamma| gamma.sample(rng))
}

/// True with the given probability. Draws nothing where that is zero.
pub fn bernoulli(rng: &mut Pcg64Mcg, probability: f64) -> bool {
    probability > 0.0 && rng.random::<f64>() < probability
}
