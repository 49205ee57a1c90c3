//! Settings of the membership protocol.

use martenlatch_clock::Millis;

/// Timing and limits of the membership protocol. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The protocol period. One member is probed in each period.
    pub period: Millis,
    /// How long to wait for the ack of a ping before other members are asked to ping the same member.
    pub ack_timeout: Millis,
    /// Number of members that are asked for an indirect ping.
    pub indirect_probes: usize,
    /// The time in which a suspect can refute the suspicion, in periods. It is multiplied by the decimal logarithm of
    /// the group size, but by at least one.
    pub suspicion_periods: f64,
    /// How long a member stays in the view after it died or left.
    pub retention: Millis,
    /// Maximum number of members in the view, including those that died or left.
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
