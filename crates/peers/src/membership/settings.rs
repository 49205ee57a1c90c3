//! The timing and the bounds of the protocol.

use martenlatch_clock::Millis;

/// The timing and the bounds of the protocol. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The protocol period: one member is probed in each.
    pub period: Millis,
    /// How long a ping may go without an ack before other members are asked to ping the same member.
    pub ack_timeout: Millis,
    /// How many members are asked for an indirect ping.
    pub indirect_probes: usize,
    /// Periods that a suspect has for a refutation, multiplied by the decimal logarithm of the group's size (at least
    /// one).
    pub suspicion_periods: f64,
    /// How long a member that died or left stays in the view.
    pub retention: Millis,
    /// Most members in the view, including those that died or left.
    pub max_members: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            period: 500.0,
            ack_timeout: 150.0,
            indirect_probes: 3,
            suspicion_periods: 5.0,
            retention: 120_000.0,
            max_members: 256,
        }
    }
}
