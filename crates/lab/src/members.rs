//! Measures membership with many members in simulated time: its network traffic, the time until all members know of a
//! death or a join, and how often a running member is wrongly declared dead. The figures depend on the seed, not on the
//! machine.

use martenlatch_clock::Millis;
use martenlatch_peers::membership::MemberState;
use martenlatch_peers::simulated_network::SimulatedNetwork;

/// Time from the start of the network until the measurement begins.
const SETTLING_TIME: Millis = 30_000.0;
/// Duration of the measurement without joins and deaths.
const STEADY_TIME: Millis = 60_000.0;
/// Maximum time to wait until all members know of a death or a join.
const MAX_WAIT: Millis = 60_000.0;

/// The figures for one number of members, one datagram loss and one seed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MembershipFigures {
    /// Bytes that each member sends per second, including the 28 bytes per datagram that UDP over IPv4 adds.
    pub bytes_per_second: f64,
    /// Datagrams that each member sends per second.
    pub datagrams_per_second: f64,
    /// Milliseconds until all others know of a death. `None` if that takes more than a minute.
    pub death_known_after: Option<Millis>,
    /// Milliseconds until a new member and all others know each other. `None` if that takes more than a minute.
    pub join_known_after: Option<Millis>,
    /// How often any member declared a running one dead while no member died.
    pub false_deaths: u64,
    /// Pairs that did not know each other as members at the end of the measurement without joins and deaths.
    pub unknown_pairs: usize,
}

/// Measures one network. `loss` is the share of datagrams that are lost. The same seed gives the same figures.
pub fn measure(members: usize, loss: f64, seed: u64) -> MembershipFigures {
    let mut network = SimulatedNetwork::new(members, loss, seed);
    network.run(SETTLING_TIME);
    let figures = measure_steady(&mut network, members);
    let new_member = members;
    let join_known_after = measure_join(&mut network, new_member, members);
    let death_known_after = measure_death(&mut network, new_member, members);
    MembershipFigures {
        join_known_after,
        death_known_after,
        ..figures
    }
}

fn measure_steady(network: &mut SimulatedNetwork, members: usize) -> MembershipFigures {
    let (datagrams_before, bytes_before) = network.sent_totals;
    let deaths_before = network.death_count();
    network.run(STEADY_TIME);
    let (datagrams, bytes) = network.sent_totals;
    let member_seconds = STEADY_TIME / 1e3 * members as f64;
    MembershipFigures {
        datagrams_per_second: (datagrams - datagrams_before) as f64 / member_seconds,
        bytes_per_second: (bytes - bytes_before) as f64 / member_seconds,
        false_deaths: (network.death_count() - deaths_before) as u64,
        unknown_pairs: network.unknown_pairs(),
        ..MembershipFigures::default()
    }
}

fn measure_join(
    network: &mut SimulatedNetwork,
    new_member: usize,
    members: usize,
) -> Option<Millis> {
    let joined_at = network.now();
    network.add(new_member);
    let known = network.run_until(MAX_WAIT, |network| {
        network.is_known_to_all(new_member)
            && network.membership(new_member).live_count() >= members
    });
    known.map(|at| at - joined_at)
}

fn measure_death(
    network: &mut SimulatedNetwork,
    dead_member: usize,
    members: usize,
) -> Option<Millis> {
    let died_at = network.now();
    network.crash(dead_member);
    let knows_death = |network: &SimulatedNetwork, observer: usize| {
        let state = network.state(observer, dead_member);
        state.is_none_or(|state| state == MemberState::Dead)
    };
    let known = network.run_until(MAX_WAIT, |network| {
        (0..members).all(|observer| knows_death(network, observer))
    });
    known.map(|at| at - died_at)
}
