//! Membership at size, in simulated time: what it costs on the network, how soon a death and a join are known to all,
//! and how often a running member is declared dead by mistake. The figures are a seed's, not the machine's.

use martenlatch_clock::Millis;
use martenlatch_peers::membership::State;
use martenlatch_peers::simulated_network::SimulatedNetwork;

/// Time from an empty network until figures are taken.
const SETTLING_TIME: Millis = 30_000.0;
/// Time over which figures are taken.
const STEADY_TIME: Millis = 60_000.0;
/// Longest wait for a death or a join to be known to all.
const LONGEST_WAIT: Millis = 60_000.0;

/// What was measured with one number of members, one loss and one seed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MembershipFigures {
    /// Sent by each member in a second, with the 28 bytes that UDP over IPv4 adds.
    pub bytes_per_second: f64,
    /// Datagrams of each member in a second.
    pub datagrams_per_second: f64,
    /// Until a death is known to all others, in milliseconds; none where it was not within a minute.
    pub death_known_after: Option<Millis>,
    /// Until a newcomer and all others know each other, in milliseconds; none where they did not within a minute.
    pub join_known_after: Option<Millis>,
    /// Times that any member declared a running one dead, while nobody died.
    pub false_deaths: u64,
    /// Pairs that did not know each other as members when the steady time was over.
    pub unknown_pairs: usize,
}

/// Measures one network. `loss` is the share of the datagrams that is lost. The same seed gives the same figures.
pub fn measure(members: usize, loss: f64, seed: u64) -> MembershipFigures {
    let mut network = SimulatedNetwork::of(members, loss, seed);
    network.run(SETTLING_TIME);
    let figures = measure_steady(&mut network, members);
    let newcomer = members;
    let join_known_after = measure_join(&mut network, newcomer, members);
    let death_known_after = measure_death(&mut network, newcomer, members);
    MembershipFigures {
        join_known_after,
        death_known_after,
        ..figures
    }
}

fn measure_steady(network: &mut SimulatedNetwork, members: usize) -> MembershipFigures {
    let (datagrams_before, bytes_before) = network.sent;
    let deaths_before = network.deaths();
    network.run(STEADY_TIME);
    let (datagrams, bytes) = network.sent;
    let member_seconds = STEADY_TIME / 1e3 * members as f64;
    MembershipFigures {
        datagrams_per_second: (datagrams - datagrams_before) as f64 / member_seconds,
        bytes_per_second: (bytes - bytes_before) as f64 / member_seconds,
        false_deaths: (network.deaths() - deaths_before) as u64,
        unknown_pairs: network.unknown(),
        ..MembershipFigures::default()
    }
}

fn measure_join(network: &mut SimulatedNetwork, newcomer: usize, members: usize) -> Option<Millis> {
    let joined_at = network.now();
    network.add(newcomer);
    let known = network.run_until(LONGEST_WAIT, |network| {
        network.all_know(newcomer) && network.node(newcomer).live() >= members
    });
    known.map(|at| at - joined_at)
}

fn measure_death(network: &mut SimulatedNetwork, died: usize, members: usize) -> Option<Millis> {
    let died_at = network.now();
    network.kill(died);
    let knows_death = |network: &SimulatedNetwork, by: usize| {
        let state = network.state(by, died);
        state.is_none_or(|state| state == State::Dead)
    };
    let known = network.run_until(LONGEST_WAIT, |network| {
        (0..members).all(|by| knows_death(network, by))
    });
    known.map(|at| at - died_at)
}
