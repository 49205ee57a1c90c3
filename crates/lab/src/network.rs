//! The network between senders and partners, as a seed draws it: the same in simulated time and on sockets.

use martenlatch_clock::Millis;

use crate::experiment::Experiment;
use crate::model::fault_schedule::ConnectionResets;
use crate::sampling::{Stream, bernoulli, rng_for, uniform};

/// One-way latencies until the last byte of a call is there, on a connection that is open.
const OPEN_CONNECTION_TRIPS: f64 = 1.0;
/// The same on a new connection, which has its own round trip first.
const NEW_CONNECTION_TRIPS: f64 = 3.0;
/// Plus the number of the attempt: numbers the draws of connection resets.
const RESET_DRAW: u64 = 500;

/// Which way something goes. The order is part of the random draws.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// A call, to its partner.
    ToPartner,
    /// A reply, to its sender.
    ToSender,
}

/// Whether the connection of a call is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrawnResets {
    /// Before its last byte.
    pub before_last_byte: bool,
    /// After its last byte.
    pub after_last_byte: bool,
}

/// The one-way latency of a call or of its reply, in milliseconds.
pub fn latency(experiment: &Experiment, seed: u64, call: u64, direction: Direction) -> Millis {
    let mut rng = rng_for(seed, Stream::Latency, call, direction as u64);
    uniform(&mut rng, experiment.world.latency)
}

/// How many one-way latencies pass until the last byte of a call is there.
pub fn one_way_trips(new_connection: bool) -> f64 {
    if new_connection {
        NEW_CONNECTION_TRIPS
    } else {
        OPEN_CONNECTION_TRIPS
    }
}

/// Draws whether the connection of an attempt is reset, as often as the faults of its partner say.
pub fn draw_resets(seed: u64, origin: u64, attempt: u32, faults: ConnectionResets) -> DrawnResets {
    let draw = RESET_DRAW + u64::from(attempt);
    let mut rng = rng_for(seed, Stream::Call, origin, draw);
    DrawnResets {
        before_last_byte: bernoulli(&mut rng, faults.before_last_byte),
        after_last_byte: bernoulli(&mut rng, faults.after_last_byte),
    }
}
