//! Which faults hit whom and when: an experiment's failures, combined for one partner at one instant. The schedule
//! has no state of its own, so the same instant always has the same faults.

use martenlatch_clock::Millis;

use crate::experiment::{Experiment, Failure, FailureKind};
use crate::model::site::Site;

/// A part of the calls takes longer than the rest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeavyTail {
    /// The share of the calls.
    pub share: f64,
    /// Their service times are so many times as long.
    pub factor: f64,
}

/// Shares of the calls whose connection is reset.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionResets {
    /// Before the call's last byte.
    pub before: f64,
    /// After the call's last byte.
    pub after: f64,
}

/// The faults of a partner at an instant.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveFaults {
    /// Takes calls and answers none.
    pub hung: bool,
    /// Rejects everything, until then.
    pub rejects_until: Option<Millis>,
    /// Cannot be reached, and packets are dropped without a word.
    pub partitioned: bool,
    /// Makes no progress until then.
    pub paused_until: Option<Millis>,
    /// Service times are so many times as long.
    pub slowdown: f64,
    /// A part of the calls takes longer still.
    pub tail: HeavyTail,
    /// The rate limit is so many times what it was.
    pub limit_factor: f64,
    /// Connections that are reset.
    pub reset: ConnectionResets,
    /// Share of the answers that are malformed.
    pub malformed_share: f64,
    /// Connections that have been idle for so long are closed without notice.
    pub idle_close_after: Millis,
}

impl ActiveFaults {
    /// No fault at all.
    pub const NONE: ActiveFaults = ActiveFaults {
        hung: false,
        rejects_until: None,
        partitioned: false,
        paused_until: None,
        slowdown: 1.0,
        tail: HeavyTail {
            share: 0.0,
            factor: 1.0,
        },
        limit_factor: 1.0,
        reset: ConnectionResets {
            before: 0.0,
            after: 0.0,
        },
        malformed_share: 0.0,
        idle_close_after: f64::INFINITY,
    };

    /// Adds a failure that is active now.
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
                self.tail = HeavyTail {
                    share: failure.share,
                    factor: failure.size,
                }
            }
            FailureKind::Tight => self.limit_factor *= failure.size,
            FailureKind::ResetBefore => {
                self.reset.before = either(self.reset.before, failure.share)
            }
            FailureKind::ResetAfter => self.reset.after = either(self.reset.after, failure.share),
            FailureKind::Spoilt => {
                self.malformed_share = either(self.malformed_share, failure.share)
            }
            FailureKind::SilentClose => {
                self.idle_close_after = self.idle_close_after.min(failure.size)
            }
            _ => {}
        }
    }

    /// Pauses come every `repeat_interval` milliseconds and last `size` each.
    fn add_pause(&mut self, failure: &Failure, now: Millis) {
        let since = (now - failure.start) % failure.repeat_interval;
        if since < failure.size {
            let until = now - since + failure.size;
            self.paused_until = Some(later(self.paused_until, until));
        }
    }
}

/// The later of two instants of which the first may be missing.
fn later(known: Option<Millis>, at: Millis) -> Millis {
    known.unwrap_or(0.0).max(at)
}

/// The probability that at least one of two independent events happens.
fn either(one: f64, other: f64) -> f64 {
    1.0 - (1.0 - one) * (1.0 - other)
}

/// How the endpoint list is delivered at an instant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Discovery {
    /// It works, and is so many times as late as usual.
    Up {
        /// The factor on the usual lateness.
        lateness: f64,
    },
    /// It says nothing until then.
    DownUntil(Millis),
}

/// A failure, with the partners that it is for.
#[derive(Clone, Debug)]
struct TargetedFailure {
    failure: Failure,
    /// For each partner, whether it is hit.
    hits: Vec<bool>,
}

/// All failures of an experiment, each with the partners that it is for.
#[derive(Clone, Debug)]
pub struct FaultSchedule {
    failures: Vec<TargetedFailure>,
}

impl FaultSchedule {
    /// Finds out which partners each failure is for.
    pub fn new(experiment: &Experiment, site: &Site) -> FaultSchedule {
        let ranked = site.by_traffic();
        let targeted = |failure: &Failure| TargetedFailure {
            failure: failure.clone(),
            hits: partners_hit(failure, site, &ranked),
        };
        FaultSchedule {
            failures: experiment.failures.iter().map(targeted).collect(),
        }
    }

    fn active(&self, now: Millis) -> impl Iterator<Item = &TargetedFailure> {
        self.failures
            .iter()
            .filter(move |it| now >= it.failure.start && now < it.failure.end)
    }

    fn active_of(&self, kind: FailureKind, now: Millis) -> impl Iterator<Item = &Failure> {
        self.active(now)
            .map(|targeted| &targeted.failure)
            .filter(move |failure| failure.kind == kind)
    }

    /// The faults of a partner at an instant.
    pub fn active_at(&self, partner: usize, now: Millis) -> ActiveFaults {
        let mut faults = ActiveFaults::NONE;
        for targeted in self.active(now).filter(|it| it.hits[partner]) {
            faults.add(&targeted.failure, now);
        }
        faults
    }

    /// Whether a partner is in an outage: nothing that goes there is served, and it comes back cold.
    pub fn is_out(&self, partner: usize, now: Millis) -> bool {
        let faults = self.active_at(partner, now);
        faults.hung || faults.partitioned || faults.rejects_until.is_some()
    }

    /// How many times the usual load comes at an instant.
    pub fn load_factor(&self, now: Millis) -> f64 {
        self.active_of(FailureKind::Burst, now)
            .map(|failure| failure.size)
            .product()
    }

    /// How the endpoint list is delivered at an instant.
    pub fn discovery(&self, now: Millis) -> Discovery {
        let down_until = self
            .active_of(FailureKind::DiscoveryDown, now)
            .map(|failure| failure.end)
            .reduce(f64::max);
        match down_until {
            Some(until) => Discovery::DownUntil(until),
            None => Discovery::Up {
                lateness: self
                    .active_of(FailureKind::DiscoveryLate, now)
                    .map(|failure| failure.size)
                    .product(),
            },
        }
    }

    /// Whether the endpoint list is delivered at all at an instant.
    pub fn discovery_up(&self, now: Millis) -> bool {
        matches!(self.discovery(now), Discovery::Up { .. })
    }

    /// Whether senders cannot record anything new.
    pub fn disk_full(&self, now: Millis) -> bool {
        self.active_of(FailureKind::DiskFull, now).next().is_some()
    }

    /// The partners that a failure is for, in ascending order; none where there is no such failure.
    pub fn partners_of(&self, failure: usize) -> Option<Vec<usize>> {
        let targeted = self.failures.get(failure)?;
        let hit = targeted.hits.iter().enumerate().filter(|(_, hit)| **hit);
        Some(hit.map(|(partner, _)| partner).collect())
    }
}

/// Which partners a failure is for: those that it names by their rank, those with its share of the traffic, or all
/// where it says neither.
fn partners_hit(failure: &Failure, site: &Site, ranked: &[usize]) -> Vec<bool> {
    let all = failure.partner_ranks.is_empty() && failure.traffic_share.is_none();
    let mut hits = vec![all; site.partners.len()];
    for rank in &failure.partner_ranks {
        hits[ranked[*rank as usize]] = true;
    }
    let Some(traffic) = failure.traffic_share else {
        return hits;
    };
    let mut sum = 0.0;
    for (rank, partner) in ranked.iter().enumerate() {
        sum += site.partners[*partner].traffic_share;
        if rank > 0 && sum > traffic {
            break;
        }
        hits[*partner] = true;
    }
    hits
}
