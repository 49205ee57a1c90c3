//! The evidence about one route, merged from the digests of several reporters. Merging is commutative, associative and
//! idempotent.

use std::cmp::Ordering;

use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};

use super::Bounds;
use super::digest::{Digest, ReportedOutage};
use crate::latency_sketch::LatencySketch;

/// Maximum number of reports on one route. The latest ones are kept.
const MAX_REPORTS: usize = 2;

/// One reporter's observations of a route. Of two reports by the same reporter, the later one replaces the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Report {
    pub(super) reporter: String,
    /// The time of the reporter's latest observation, by this sender's clock.
    pub(super) observed_at: Millis,
    /// The pacing interval, in milliseconds.
    pub(super) pacing_interval: f32,
    /// The rate limit, in calls a second.
    pub(super) rate_limit: Option<f32>,
    successes: f32,
    rejections: f32,
    pub(super) latency: LatencySketch,
}

impl Report {
    /// Orders reports by the time of their observations. The order is total, so that merging in any order gives the
    /// same result.
    fn cmp_by_time(&self, other: &Report) -> Ordering {
        let pairs = self.sort_key().into_iter().zip(other.sort_key());
        pairs
            .map(|(own, others)| own.total_cmp(&others))
            .find(|order| order.is_ne())
            .unwrap_or_else(|| self.latency.cmp(&other.latency))
            .then_with(|| self.reporter.cmp(&other.reporter))
    }

    fn sort_key(&self) -> [f64; 5] {
        [
            self.observed_at,
            self.pacing_interval.into(),
            self.rate_limit.map_or(-1.0, f64::from),
            self.successes.into(),
            self.rejections.into(),
        ]
    }
}

/// Everything that is known of one route by gossip. Instants are in milliseconds, by this sender's clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Evidence {
    /// No call may be sent before this instant.
    pub(super) not_before: Millis,
    /// The time of the latest observation that the partner did not respond.
    pub(super) unresponsive_at: Option<Millis>,
    /// The time of the latest observation that the partner rejected everything.
    pub(super) rejecting_at: Option<Millis>,
    /// The time at which the partner last began to recover.
    pub(super) recovering_at: Option<Millis>,
    /// The reports, the latest first.
    pub(super) reports: Vec<Report>,
}

/// The later of two instants, or `None` if neither is known.
pub(super) fn later(first: Option<Millis>, second: Option<Millis>) -> Option<Millis> {
    [first, second].into_iter().flatten().reduce(f64::max)
}

impl Evidence {
    /// Converts a valid digest that was received at `now`.
    pub(super) fn from_digest(
        reporter: &str,
        digest: &Digest,
        now: Millis,
        bounds: &Bounds,
    ) -> Evidence {
        let observed_at = now - f64::from(digest.age);
        let mut evidence = Evidence {
            not_before: now + f64::from(digest.retry_after).min(bounds.max_retry_after),
            ..Evidence::default()
        };
        match digest.outage {
            Some(ReportedOutage::Unresponsive) => evidence.unresponsive_at = Some(observed_at),
            Some(ReportedOutage::Rejecting) => evidence.rejecting_at = Some(observed_at),
            Some(ReportedOutage::Recovering { elapsed }) => {
                evidence.recovering_at = Some(now - f64::from(elapsed));
            }
            None => {}
        }
        evidence.reports.push(Report {
            reporter: reporter.into(),
            observed_at,
            pacing_interval: digest.pacing_interval,
            rate_limit: digest.rate_limit,
            successes: digest.successes,
            rejections: digest.rejections,
            latency: digest.latency.clone(),
        });
        evidence
    }

    pub(super) fn merge(&mut self, other: &Evidence) {
        self.not_before = self.not_before.max(other.not_before);
        self.unresponsive_at = later(self.unresponsive_at, other.unresponsive_at);
        self.rejecting_at = later(self.rejecting_at, other.rejecting_at);
        self.recovering_at = later(self.recovering_at, other.recovering_at);
        for report in &other.reports {
            self.merge_report(report);
        }
        self.reports.sort_by(|a, b| b.cmp_by_time(a));
        self.reports.truncate(MAX_REPORTS);
    }

    fn merge_report(&mut self, report: &Report) {
        let known = self
            .reports
            .iter_mut()
            .find(|known| known.reporter == report.reporter);
        match known {
            Some(known) if known.cmp_by_time(report).is_lt() => *known = report.clone(),
            Some(_) => {}
            None => self.reports.push(report.clone()),
        }
    }

    /// The time of the latest observed failure of the partner.
    pub(super) fn failed_at(&self) -> Option<Millis> {
        later(self.unresponsive_at, self.rejecting_at)
    }

    /// The time of the latest observed failure of the partner or beginning of its recovery.
    pub(super) fn outage_at(&self) -> Option<Millis> {
        later(self.failed_at(), self.recovering_at)
    }

    /// The latest instant in the evidence, by which its age is compared.
    pub(super) fn latest_instant(&self) -> Millis {
        let observation_times = self.reports.iter().map(|report| report.observed_at);
        later(self.outage_at(), observation_times.reduce(f64::max))
            .unwrap_or(0.0)
            .max(self.not_before)
    }
}
