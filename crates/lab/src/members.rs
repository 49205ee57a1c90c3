//! Owns the measurement of membership at size, in simulated time: what it costs on the network, how soon a death and a
//! join are known to all, and how often one that runs is held for dead. Its figures are a seed's, not the machine's.

use martenlatch_clock::Millis;
use martenlatch_peers::membership::State;
use martenlatch_peers::simulated_network::SimulatedNetwork;

/// From an empty network until figures are taken, how long they are taken for, and for how long a death or a join is
/// waited for.
const SETTLE: Millis = 30_000.0;
const STEADY: Millis = 60_000.0;
const PATIENCE: Millis = 60_000.0;

/// What was measured with one number of members, one loss and one seed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Sent by each member in a second, with the 28 bytes that UDP over IPv4 adds.
    pub bytes: f64,
    /// Datagrams of each member in a second.
    pub datagrams: f64,
    /// Until a death is known to all others, in milliseconds; none where it was not within a minute.
    pub death: Option<Millis>,
    /// Until a newcomer and all others know each other.
    pub join: Option<Millis>,
    /// Times that any member held one that ran for dead, while nobody died.
    pub false_deaths: u64,
    /// Pairs that did not hold each other for members when the steady time was over.
    pub unknown: usize,
}

/// Measures one network. The same figures for the same seed.
pub fn measure(members: usize, loss: f64, seed: u64) -> Figures {
    let mut net = SimulatedNetwork::of(members, loss, seed);
    net.run(SETTLE);
    let (before, deaths) = (net.sent, net.deaths());
    net.run(STEADY);
    let seconds = STEADY / 1e3 * members as f64;
    let mut figures = Figures {
        datagrams: (net.sent.0 - before.0) as f64 / seconds,
        bytes: (net.sent.1 - before.1) as f64 / seconds,
        false_deaths: (net.deaths() - deaths) as u64,
        unknown: net.unknown(),
        ..Figures::default()
    };
    let (newcomer, joined) = (members, net.now());
    net.add(newcomer);
    let knows_all =
        |net: &SimulatedNetwork| net.all_know(newcomer) && net.node(newcomer).live() >= members;
    figures.join = net.run_until(PATIENCE, knows_all).map(|at| at - joined);
    let died = net.now();
    net.kill(newcomer);
    let gone =
        |net: &SimulatedNetwork, by| net.state(by, newcomer).is_none_or(|s| s == State::Dead);
    let known = net.run_until(PATIENCE, |net| (0..members).all(|by| gone(net, by)));
    figures.death = known.map(|at| at - died);
    figures
}
