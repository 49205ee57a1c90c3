//! How long after a response an endpoint writes bytes that belong to no request, and how long a connection must rest behind
//! each response because of that.

use martenlatch_clock::Millis;

/// The rest behind each response, as a multiple of the longest delay of recent surplus bytes, and what is added to it.
const REST_FACTOR: f64 = 2.0;
const REST_MARGIN: Millis = 50.0;
/// The rest while no delay is known, which is so behind a process replacement.
const UNKNOWN_DELAY_REST: Millis = 250.0;
/// The longest rest.
const MAX_REST: Millis = 3_000.0;
/// The factor by which each delay reduces the memory of the longest one.
const DECAY: f64 = 0.95;

/// The delays of the surplus bytes of all endpoints, each since the last response on its connection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CopyDelays {
    longest: Option<Millis>,
}

impl CopyDelays {
    /// Records how long after the last response on a connection surplus bytes were found on it.
    pub fn record(&mut self, delay: Millis) {
        let remembered = self.longest.unwrap_or(0.0) * DECAY;
        self.longest = Some(delay.max(remembered));
    }

    /// How long a connection carries no request behind a response, while endpoints repeat their responses.
    pub fn rest(&self) -> Millis {
        self.longest.map_or(UNKNOWN_DELAY_REST, |longest| {
            (longest * REST_FACTOR + REST_MARGIN).min(MAX_REST)
        })
    }
}
