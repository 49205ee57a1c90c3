//! Weighs the evidence on one route by its age, into the prior that the decision module starts from.

use martenlatch_clock::{Millis, nanos};
use martenlatch_policy::interface::{DestinationId, EndpointId, GossipedState, Outage};

use super::Bounds;
use super::evidence::{Evidence, Report, later};
use crate::latency_sketch::LatencySketch;

/// Calls that gossip stands for at most: after as many calls of its own, a newcomer's observations outweigh it.
const MAX_PRIOR_CALLS: f64 = 12.0;
/// Calls from which on the latencies in one report count fully.
const FULL_REPORT_CALLS: f64 = 20.0;
/// Longest pacing interval that is believed.
const MAX_GAP: Millis = 1_000.0;
/// A pacing interval under this is none.
const MIN_GAP: Millis = 1.0;
/// Evidence that weighs less than this is too old for a limit or an ongoing outage.
const MIN_WEIGHT: f64 = 0.5;

/// The evidence on one route, at one time.
pub(super) struct Weighing<'a> {
    pub(super) evidence: &'a Evidence,
    pub(super) now: Millis,
    pub(super) bounds: &'a Bounds,
}

impl Weighing<'_> {
    /// The prior for the decision module, or `None` if the evidence says nothing any more.
    pub(super) fn prior(
        &self,
        destination: u64,
        endpoint: Option<EndpointId>,
    ) -> Option<GossipedState> {
        let prior = GossipedState {
            destination: DestinationId(destination),
            endpoint,
            wait: nanos(self.wait()),
            gap: self.gap(),
            limit: self.limit(),
            latencies: self.latencies(),
            outage: self.outage(),
        };
        let empty = prior.wait == 0
            && prior.gap == 0
            && prior.limit.is_none()
            && prior.latencies.is_empty()
            && prior.outage.is_none();
        (!empty).then_some(prior)
    }

    /// The weight of an observation: it halves with every half-life.
    fn weight(&self, observed_at: Millis) -> f64 {
        let age = (self.now - observed_at).max(0.0);
        0.5f64.powf(age / self.bounds.half_life)
    }

    fn wait(&self) -> Millis {
        (self.evidence.not_before - self.now).max(0.0)
    }

    fn outage(&self) -> Option<Outage> {
        if let Some(failed_at) = self.evidence.failed_at()
            && !self.recovered_after(failed_at)
        {
            return self.ongoing_outage(failed_at);
        }
        // A partner that failed and served later has been recovering since the failure at the earliest.
        let recovering_at = self.evidence.outage_at()?;
        Some(Outage::Recovering {
            since: nanos((self.now - recovering_at).max(0.0)),
        })
    }

    fn recovered_after(&self, failed_at: Millis) -> bool {
        let with_served = |report: &&Report| report.latency.count() > 0;
        let reports = self.evidence.reports.iter().filter(with_served);
        let served_at = reports.map(|r| r.observed_at).reduce(f64::max);
        later(served_at, self.evidence.recovering_at).is_some_and(|at| at > failed_at)
    }

    fn ongoing_outage(&self, failed_at: Millis) -> Option<Outage> {
        // If the failure is long ago, the partner may have recovered unobserved: that is no more than a cold start knows.
        if self.weight(failed_at) < MIN_WEIGHT && self.wait() <= 0.0 {
            return None;
        }
        if self.evidence.unresponsive_at == Some(failed_at) {
            Some(Outage::Unresponsive)
        } else {
            Some(Outage::Rejecting)
        }
    }

    /// The longest of the pacing intervals, each reduced by its age, in nanoseconds.
    fn gap(&self) -> u64 {
        let weighed = |report: &Report| {
            f64::from(report.pacing_interval).min(MAX_GAP) * self.weight(report.observed_at)
        };
        let gap = self.evidence.reports.iter().map(weighed);
        let gap = gap.fold(0.0, f64::max);
        if gap < MIN_GAP { 0 } else { nanos(gap) }
    }

    /// The lowest, and so the safe, of the recent limits. A limit from before an outage does not count: it would raise
    /// the rate after the outage.
    fn limit(&self) -> Option<f64> {
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

    /// The latencies of the calls that the evidence stands for, in nanoseconds.
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
