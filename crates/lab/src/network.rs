//! The network between senders and partners, drawn from a seed. It is the same in simulated time and on sockets.

use martenlatch_clock::Millis;

use crate::experiment::Experiment;
use crate::model::fault_schedule::ConnectionResets;
use crate::sampling::{Stream, bernoulli, rng_for, uniform};

/// Number of one-way latencies until the last byte of a call arrives on an open connection.
const OPEN_CONNECTION_TRIPS: f64 = 1.0;
/// The same on a new connection, which takes a round trip to open.
const NEW_CONNECTION_TRIPS: f64 = 3.0;
/// First index of the draws of connection resets. The attempt's number is added to it.
const FIRST_RESET_DRAW: u64 = 500;

/// The direction of a transmission. The order of the variants is part of the random draws.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From a sender to a partner: a call.
    ToPartner,
    /// From a partner to a sender: a reply.
    ToSender,
}

/// Whether and when the connection of a call is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrawnResets {
    /// Reset before the call's last byte.
    pub before_last_byte: bool,
    /// Reset after the call's last byte.
    pub after_last_byte: bool,
}

/// The one-way latency of a call or of its reply in milliseconds.
pub fn latency(experiment: &Experiment, seed: u64, call: u64, direction: Direction) -> Millis {
    let mut rng = rng_for(seed, Stream::Latency, call, direction as u64);
    uniform(&mut rng, experiment.world.latency)
}

/// Number of one-way latencies until the last byte of a call arrives.
pub fn one_way_trips(new_connection: bool) -> f64 {
    if new_connection {
        NEW_CONNECTION_TRIPS
    } else {
        OPEN_CONNECTION_TRIPS
    }
}

/// Draws whether the connection of an attempt is reset, with the probabilities of its partner's active faults.
pub fn draw_resets(seed: u64, origin: u64, attempt: u32, faults: ConnectionResets) -> DrawnResets {
    let draw = FIRST_RESET_DRAW + u64::from(attempt);
    let mut rng = rng_for(seed, Stream::Call, origin, draw);
    DrawnResets {
        before_last_byte: bernoulli(&mut rng, faults.before_last_byte),
        after_last_byte: bernoulli(&mut rng, faults.after_last_byte),
    }
}
