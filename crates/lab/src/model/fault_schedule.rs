//! Which faults affect which partner and when: an experiment's failures, combined for one partner at one instant. The
//! schedule is immutable, so the same instant always has the same faults.

use martenlatch_clock::Millis;

use crate::experiment::{Experiment, Failure, FailureKind};
use crate::model::site::Site;

/// A heavy tail of service times: some calls take longer than the rest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeavyTail {
    /// The share of calls that take longer.
    pub share: f64,
    /// The factor by which their service times are longer.
    pub factor: f64,
}

/// The shares of calls whose connections are reset.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionResets {
    /// The share that is reset before the call's last byte.
    pub before_last_byte: f64,
    /// The share that is reset after the call's last byte.
    pub after_last_byte: f64,
}

/// The faults that are active for a partner at an instant.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveFaults {
    /// The partner takes calls and answers none.
    pub hung: bool,
    /// Until when the partner rejects all calls. `None` if it does not.
    pub rejects_until: Option<Millis>,
    /// The partner cannot be reached: packets to it are dropped silently.
    pub partitioned: bool,
    /// Until when the partner makes no progress. `None` if it is not paused.
    pub paused_until: Option<Millis>,
    /// The factor by which all service times are longer.
    pub slowdown: f64,
    /// The calls that take longer still.
    pub heavy_tail: HeavyTail,
    /// The factor that is applied to the rate limit.
    pub rate_limit_factor: f64,
    /// How often connections are reset.
    pub connection_resets: ConnectionResets,
    /// The share of answers that are malformed.
    pub malformed_share: f64,
    /// The idle time after which the partner closes a connection without notice.
    pub idle_close_after: Millis,
}

impl ActiveFaults {
    /// No active fault.
    pub const NONE: ActiveFaults = ActiveFaults {
        hung: false,
        rejects_until: None,
        partitioned: false,
        paused_until: None,
        slowdown: 1.0,
        heavy_tail: HeavyTail {
            share: 0.0,
            factor: 1.0,
        },
        rate_limit_factor: 1.0,
        connection_resets: ConnectionResets {
            before_last_byte: 0.0,
            after_last_byte: 0.0,
        },
        malformed_share: 0.0,
        idle_close_after: f64::INFINITY,
    };

    /// Adds a failure that is active at `now`.
    fn add(&mut self, failure: &Failure, now: Millis) {
        match failure.kind {
            FailureKind::Hang => self.hung = true,
            FailureKind::Refuse => {
                self.rejects_until = Some(later(self.rejects_until, failure.end))
            }
            FailureKind::Cut => self.partitioned = true,
            FailureKind::Pauses => self.add_pause(failure, now),
            FailureKind::Slow => self.slowdown *= failure.size,
            FailureKind::HeavyTail => {
                self.heavy_tail = HeavyTail {
                    share: failure.share,
                    factor: failure.size,
                }
            }
            FailureKind::Tight => self.rate_limit_factor *= failure.size,
            FailureKind::ResetBefore => {
                self.connection_resets.before_last_byte =
                    probability_of_either(self.connection_resets.before_last_byte, failure.share)
            }
            FailureKind::ResetAfter => {
                self.connection_resets.after_last_byte =
                    probability_of_either(self.connection_resets.after_last_byte, failure.share)
            }
            FailureKind::Spoilt => {
                self.malformed_share = probability_of_either(self.malformed_share, failure.share)
            }
            FailureKind::SilentClose => {
                self.idle_close_after = self.idle_close_after.min(failure.size)
            }
            _ => {}
        }
    }

    /// Adds a failure whose pauses begin every `repeat_interval` milliseconds and last `size` milliseconds each.
    fn add_pause(&mut self, failure: &Failure, now: Millis) {
        let since = (now - failure.start) % failure.repeat_interval;
        if since < failure.size {
            let until = now - since + failure.size;
            self.paused_until = Some(later(self.paused_until, until));
        }
    }
}

/// The later of two instants, the first of which may be missing.
fn later(known: Option<Millis>, at: Millis) -> Millis {
    known.unwrap_or(0.0).max(at)
}

/// The probability that at least one of two independent events happens.
fn probability_of_either(one: f64, other: f64) -> f64 {
    1.0 - (1.0 - one) * (1.0 - other)
}

/// The state of the discovery service at an instant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Discovery {
    /// It delivers the endpoint list.
    Up {
        /// The factor on the usual delay of changes.
        delay_factor: f64,
    },
    /// It delivers nothing until this instant.
    DownUntil(Millis),
}

/// A failure and the partners that it affects.
#[derive(Clone, Debug)]
struct TargetedFailure {
    failure: Failure,
    /// For each partner, whether the failure affects it.
    affected: Vec<bool>,
}

/// All failures of an experiment, each with the partners that it affects.
#[derive(Clone, Debug)]
pub struct FaultSchedule {
    failures: Vec<TargetedFailure>,
}

impl FaultSchedule {
    /// Determines which partners each failure affects.
    pub fn new(experiment: &Experiment, site: &Site) -> FaultSchedule {
        let ranked = site.by_traffic();
        let targeted = |failure: &Failure| TargetedFailure {
            failure: failure.clone(),
            affected: affected_partners(failure, site, &ranked),
        };
        FaultSchedule {
            failures: experiment.failures.iter().map(targeted).collect(),
        }
    }

    fn active(&self, now: Millis) -> impl Iterator<Item = &TargetedFailure> {
        self.failures
            .iter()
            .filter(move |targeted| now >= targeted.failure.start && now < targeted.failure.end)
    }

    fn active_of_kind(&self, kind: FailureKind, now: Millis) -> impl Iterator<Item = &Failure> {
        self.active(now)
            .map(|targeted| &targeted.failure)
            .filter(move |failure| failure.kind == kind)
    }

    /// The faults that are active for a partner at `now`.
    pub fn active_at(&self, partner: usize, now: Millis) -> ActiveFaults {
        let mut faults = ActiveFaults::NONE;
        for targeted in self
            .active(now)
            .filter(|targeted| targeted.affected[partner])
        {
            faults.add(&targeted.failure, now);
        }
        faults
    }

    /// Whether a partner is in an outage: it serves no calls, and it starts cold afterwards.
    pub fn in_outage(&self, partner: usize, now: Millis) -> bool {
        let faults = self.active_at(partner, now);
        faults.hung || faults.partitioned || faults.rejects_until.is_some()
    }

    /// The factor on the usual load at `now`.
    pub fn load_factor(&self, now: Millis) -> f64 {
        self.active_of_kind(FailureKind::Burst, now)
            .map(|failure| failure.size)
            .product()
    }

    /// The state of the discovery service at `now`.
    pub fn discovery(&self, now: Millis) -> Discovery {
        let down_until = self
            .active_of_kind(FailureKind::DiscoveryDown, now)
            .map(|failure| failure.end)
            .reduce(f64::max);
        match down_until {
            Some(until) => Discovery::DownUntil(until),
            None => Discovery::Up {
                delay_factor: self
                    .active_of_kind(FailureKind::DiscoveryLate, now)
                    .map(|failure| failure.size)
                    .product(),
            },
        }
    }

    /// Whether the discovery service delivers the endpoint list at `now`.
    pub fn discovery_up(&self, now: Millis) -> bool {
        matches!(self.discovery(now), Discovery::Up { .. })
    }

    /// Whether the senders' disks are full, so that they cannot write any record.
    pub fn disk_full(&self, now: Millis) -> bool {
        self.active_of_kind(FailureKind::DiskFull, now)
            .next()
            .is_some()
    }

    /// The partners that a failure affects, in ascending order. `None` if there is no such failure.
    pub fn partners_affected_by(&self, failure: usize) -> Option<Vec<usize>> {
        let targeted = self.failures.get(failure)?;
        let partners = targeted.affected.iter().enumerate();
        let affected = partners.filter(|(_, affected)| **affected);
        Some(affected.map(|(partner, _)| partner).collect())
    }
}

/// Determines which partners a failure affects: those that it names by their rank, and the largest ones that together
/// have at most its share of the traffic (always the largest). It affects all partners if it gives neither.
fn affected_partners(failure: &Failure, site: &Site, ranked: &[usize]) -> Vec<bool> {
    let all = failure.partner_ranks.is_empty() && failure.traffic_share.is_none();
    let mut affected = vec![all; site.partners.len()];
    for rank in &failure.partner_ranks {
        affected[ranked[*rank as usize]] = true;
    }
    let Some(share_limit) = failure.traffic_share else {
        return affected;
    };
    let mut share_sum = 0.0;
    for (rank, partner) in ranked.iter().enumerate() {
        share_sum += site.partners[*partner].traffic_share;
        if rank > 0 && share_sum > share_limit {
            break;
        }
        affected[*partner] = true;
    }
    affected
}
