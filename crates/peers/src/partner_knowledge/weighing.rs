//! Weights the evidence about one route by its age, and derives the prior with which the decision module starts.

use martenlatch_clock::{Millis, nanos};
use martenlatch_policy::interface::{DestinationId, EndpointId, GossipedState, Outage};

use super::Bounds;
use super::evidence::{Evidence, Report, later};
use crate::latency_sketch::LatencySketch;

/// Maximum number of latencies in a prior, each of which has the weight of one call. After this number of its own
/// calls, a starting sender's observations outweigh the gossip.
const MAX_PRIOR_CALLS: f64 = 12.0;
/// Minimum number of calls in a report for its latencies to have full weight.
const FULL_REPORT_CALLS: f64 = 20.0;
/// Maximum pacing interval; a longer one is shortened to it.
const MAX_PACING_INTERVAL: Millis = 1_000.0;
/// A shorter pacing interval is treated as none.
const MIN_PACING_INTERVAL: Millis = 1.0;
/// Evidence with a lower weight is too old to establish a rate limit or an ongoing outage.
const MIN_WEIGHT: f64 = 0.5;

/// The evidence about one route, weighted at one instant.
pub(super) struct Weighing<'a> {
    pub(super) evidence: &'a Evidence,
    pub(super) now: Millis,
    pub(super) bounds: &'a Bounds,
}

impl Weighing<'_> {
    /// The prior for the decision module, or `None` if the evidence is too old to contribute anything.
    pub(super) fn prior(
        &self,
        destination: u64,
        endpoint: Option<EndpointId>,
    ) -> Option<GossipedState> {
        let prior = GossipedState {
            destination: DestinationId(destination),
            endpoint,
            remaining_retry_after: nanos(self.retry_after()),
            pacing_interval: self.pacing_interval(),
            rate_limit: self.rate_limit(),
            latencies: self.latencies(),
            outage: self.outage(),
        };
        let empty = prior.remaining_retry_after == 0
            && prior.pacing_interval == 0
            && prior.rate_limit.is_none()
            && prior.latencies.is_empty()
            && prior.outage.is_none();
        (!empty).then_some(prior)
    }

    /// The weight of an observation, which halves with every half-life.
    fn weight(&self, observed_at: Millis) -> f64 {
        let age = (self.now - observed_at).max(0.0);
        0.5f64.powf(age / self.bounds.half_life)
    }

    fn retry_after(&self) -> Millis {
        (self.evidence.not_before - self.now).max(0.0)
    }

    fn outage(&self) -> Option<Outage> {
        if let Some(failed_at) = self.evidence.failed_at()
            && !self.recovered_after(failed_at)
        {
            return self.ongoing_outage(failed_at);
        }
        // A partner that served a call after a failure began to recover at the time of the failure at the earliest.
        let recovering_at = self.evidence.outage_at()?;
        Some(Outage::Recovering {
            elapsed: nanos((self.now - recovering_at).max(0.0)),
        })
    }

    fn recovered_after(&self, failed_at: Millis) -> bool {
        let has_successes = |report: &&Report| report.latency.count() > 0;
        let reports = self.evidence.reports.iter().filter(has_successes);
        let served_at = reports.map(|report| report.observed_at).reduce(f64::max);
        later(served_at, self.evidence.recovering_at).is_some_and(|at| at > failed_at)
    }

    fn ongoing_outage(&self, failed_at: Millis) -> Option<Outage> {
        // After an old failure the partner may have recovered without being observed, so nothing more is known of it
        // than at a start without gossip.
        if self.weight(failed_at) < MIN_WEIGHT && self.retry_after() <= 0.0 {
            return None;
        }
        if self.evidence.unresponsive_at == Some(failed_at) {
            Some(Outage::Unresponsive)
        } else {
            Some(Outage::Rejecting)
        }
    }

    /// The longest of the reported pacing intervals, each reduced according to its age, in nanoseconds.
    fn pacing_interval(&self) -> u64 {
        let weighted = |report: &Report| {
            f64::from(report.pacing_interval).min(MAX_PACING_INTERVAL)
                * self.weight(report.observed_at)
        };
        let intervals = self.evidence.reports.iter().map(weighted);
        let longest = intervals.fold(0.0, f64::max);
        if longest < MIN_PACING_INTERVAL {
            0
        } else {
            nanos(longest)
        }
    }

    /// The lowest of the recent rate limits, as the safe one. A rate limit from before an outage is ignored, because it
    /// would raise the rate after the outage.
    fn rate_limit(&self) -> Option<f64> {
        let outage_at = self.evidence.outage_at();
        self.evidence
            .reports
            .iter()
            .filter(|report| self.weight(report.observed_at) >= MIN_WEIGHT)
            .filter(|report| outage_at.is_none_or(|at| report.observed_at > at))
            .filter_map(|report| report.rate_limit)
            .map(f64::from)
            .reduce(f64::min)
    }

    /// The latencies for the prior, in nanoseconds. Their number is the weight of the evidence in calls.
    fn latencies(&self) -> Vec<u64> {
        let mut merged = LatencySketch::default();
        let mut confidence = 0.0;
        for report in &self.evidence.reports {
            let calls = f64::from(report.latency.count());
            confidence += self.weight(report.observed_at) * (calls / FULL_REPORT_CALLS).min(1.0);
            merged.add(&report.latency);
        }
        let prior_calls = (MAX_PRIOR_CALLS * confidence.min(1.0)).round() as usize;
        let bounds = self.bounds;
        merged
            .quantiles(prior_calls)
            .into_iter()
            .map(|latency| nanos(latency.clamp(bounds.min_latency, bounds.max_latency)))
            .collect()
    }
}
