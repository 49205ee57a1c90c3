//! Random draws, each identified by a seed, a stream and two indices. No generator keeps its state between draws, so
//! two variants get the same messages, service times and faults even if they behave differently.

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Gamma};
use rand_pcg::Pcg64Mcg;

/// The purpose of a draw.
#[derive(Clone, Copy, Debug)]
#[repr(u64)]
pub enum Stream {
    /// The partners and their endpoints.
    World = 1,
    /// The times of the messages, their partners and their classes.
    Load = 2,
    /// The mean work of a class, and the work of a message.
    Work = 3,
    /// The treatment of a single call: its service time, its reply and connection resets.
    Call = 4,
    /// The network latency of a call or of its reply.
    Latency = 5,
    /// The clients: the choice of a sender, the latency to it, and the backoff before a retry.
    Client = 6,
    /// The delays of changes to the endpoint list.
    EndpointList = 7,
}

/// A closed range of numbers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// The lower end.
    pub least: f64,
    /// The upper end.
    pub most: f64,
}

impl Span {
    /// Creates a range from its two ends.
    pub const fn new(least: f64, most: f64) -> Span {
        Span { least, most }
    }
}

/// Lower bound on the squared coefficient of variation. It bounds the shape of the gamma distribution if the
/// coefficient is near zero.
const MIN_SQUARED_VARIATION: f64 = 1e-4;

/// The generator for one draw or a sequence of draws. `first` and `second` identify it within its stream.
pub fn rng_for(seed: u64, stream: Stream, first: u64, second: u64) -> Pcg64Mcg {
    let mut mixed = seed ^ (stream as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    for index in [first, second] {
        mixed = (mixed ^ index).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed ^= mixed >> 29;
    }
    Pcg64Mcg::seed_from_u64(mixed)
}

/// Draws a number from a uniform distribution over a range.
pub fn uniform(rng: &mut Pcg64Mcg, span: Span) -> f64 {
    span.least + (span.most - span.least) * rng.random::<f64>()
}

/// Draws a positive number from a gamma distribution with a mean of one and the given coefficient of variation. With a
/// variation of one, the distribution is exponential.
pub fn gamma_factor(rng: &mut Pcg64Mcg, variation: f64) -> f64 {
    let shape = 1.0 / (variation * variation).max(MIN_SQUARED_VARIATION);
    Gamma::new(shape, 1.0 / shape).map_or(1.0, |gamma| gamma.sample(rng))
}

/// Draws true with the given probability. Draws nothing if the probability is zero.
pub fn bernoulli(rng: &mut Pcg64Mcg, probability: f64) -> bool {
    probability > 0.0 && rng.random::<f64>() < probability
}
