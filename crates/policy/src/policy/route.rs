//! The state of a route: pacing, circuit breaker and slow start after an outage; and what is observed of it.

use super::*;

/// First pacing interval where no rate limit is known; a few calls' worth of a small partner's second.
pub(super) const PACING_STEP: Nanos = 50 * MILLISECOND;
/// Longest pacing interval.
pub(super) const MAX_PACING_INTERVAL: Nanos = 1000 * MILLISECOND;
/// Share of the pacing interval that a success takes off: rejections, which use up limits, level at 1 in 17.
const PACING_DECREASE: f64 = 0.04;
/// The same where the interval is wider than two steps: the sender's whole fair share of a known limit.
const FAST_PACING_DECREASE: f64 = 0.5;
/// Share of the slow-start budget that is used; the rest is for chance and for calls of the same instant.
const BUDGET_UTILIZATION: f64 = 0.8;
/// Longest backoff, in recovery durations: with one, 200 senders returned from an outage too close together.
const MAX_BACKOFF_RECOVERIES: Nanos = 2;
/// Bad outcomes in a row that open the circuit breaker.
pub(super) const BREAKER_FAILURES: u32 = 4;
/// Bad outcomes among the last eight that start the slow-start budget.
pub(super) const SLOW_START_FAILURES: u32 = 5;
/// Rejections in a row, over so many overload windows, that mean closed: a busy partner would serve some.
pub(super) const REJECTING_RUN: u32 = 5;
pub(super) const REJECTING_WINDOWS: Nanos = 2;
/// Suspicion at which a sender backs off for its share of what a cold route takes: one loss is no outage.
pub(super) const SUSPICION_THRESHOLD: f64 = 2.0;
/// Delay between single probes of a route whose breaker is open, doubled up to the longest.
pub(super) const FIRST_PROBE_DELAY: Nanos = 500 * MILLISECOND;
pub(super) const MAX_PROBE_DELAY: Nanos = 2000 * MILLISECOND;

#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct RouteState {
    /// Back from an outage, or failing in part: within the slow-start budget, which ramps up from then.
    pub(super) recovering_since: Option<Nanos>,
    pub(super) latencies: LatencyWindow,
    /// Weight of the faults seen since the latest success.
    pub(super) suspicion: f64,
    pub(super) last_failure: Nanos,
    pub(super) backoff_until: Nanos,
    pub(super) pacing_interval: AdaptiveInterval,
    pub(super) last_send: Option<Nanos>,
    pub(super) retry_after_until: Nanos,
    /// Calls a second that the route takes from all senders together.
    pub(super) rate_limit: Option<f64>,
    /// When calls were sent in the overload window.
    pub(super) recent_sends: SendWindow,
    pub(super) outcome_history: OutcomeHistory,
    pub(super) consecutive_rejections: u32,
    pub(super) rejecting_since: Nanos,
    /// When the latest of the successful calls was sent.
    pub(super) latest_success_sent_at: Nanos,
    pub(super) call_counts: CallCounts,
    /// By message and number of the attempt.
    pub(super) in_flight: StartTimes<(MessageId, u32)>,
}

impl RouteState {
    pub(super) fn is_down(&self) -> bool {
        self.outcome_history.consecutive_failures() >= BREAKER_FAILURES
    }

    /// What is sent there now is likely to be lost or rejected, and mostly shows how the route is.
    pub(super) fn is_half_open(&self) -> bool {
        self.is_down() || self.consecutive_rejections >= BREAKER_FAILURES
    }

    pub(super) fn is_backing_off_on_suspicion(&self) -> bool {
        self.suspicion >= SUSPICION_THRESHOLD && self.backoff_until > 0
    }

    pub(super) fn record_success(&mut self, now: Nanos, sent_at: Nanos, settings: &Settings) {
        let step = self.pacing_step(settings);
        // The cap suits a slow partner: at a call a second, a quick one's backlog would run out of time.
        let decrease =
            if self.pacing_interval.get() > 2 * step { FAST_PACING_DECREASE } else { PACING_DECREASE };
        self.pacing_interval.decrease(decrease, step.min(MAX_PACING_INTERVAL) / 4);
        let returned = self.is_down() || self.is_backing_off_on_suspicion();
        self.outcome_history.record_success();
        self.consecutive_rejections = 0;
        self.backoff_until = 0;
        self.latest_success_sent_at = self.latest_success_sent_at.max(sent_at);
        if returned {
            // Since it last failed, or the end of a wait: half way, in the mean over senders.
            let late = (now - self.last_failure.max(self.retry_after_until).min(now)) / 2;
            self.recovering_since = Some(now - late.min(settings.recovery.overload_window));
        }
        self.suspicion = 0.0;
    }

    pub(super) fn record_rejection(&mut self, now: Nanos, retries: &mut SuccessRate, settings: &Settings) {
        self.pacing_interval.increase(now, self.pacing_step(settings), MAX_PACING_INTERVAL);
        if self.consecutive_rejections == 0 {
            self.rejecting_since = now;
        } else {
            retries.record_failure();
        }
        self.consecutive_rejections += 1;
    }

    pub(super) fn has_recovered(&self, now: Nanos, settings: &Settings) -> bool {
        !self.is_down() && self.recovering_since.is_none_or(|since| now >= since + settings.recovery.duration)
    }

    /// Calls that may go out in an overload window: of many senders, each may have far under one.
    pub(super) fn slow_start_budget(&self, now: Nanos, settings: &Settings) -> f64 {
        let recovering_since = self.recovering_since.filter(|_| !self.is_down());
        let elapsed = recovering_since.map_or(0, |since| now.saturating_sub(since));
        self.budget_after(elapsed, settings)
    }

    pub(super) fn budget_after(&self, elapsed: Nanos, settings: &Settings) -> f64 {
        let recovery = &settings.recovery;
        // Without a known limit a lone call tells nothing of a rate.
        let interval = self.rate_limit.map_or(recovery.duration, |_| self.fair_interval(settings));
        let fair_calls = recovery.overload_window as f64 / interval.max(1) as f64;
        BUDGET_UTILIZATION * recovery.overload_factor * recovery.capacity_share(elapsed) * fair_calls
    }

    /// Interval of this sender's calls at a fair share of the rate limit; if unknown, one that suits a fleet.
    pub(super) fn fair_interval(&self, settings: &Settings) -> Nanos {
        let default = (PACING_STEP * Nanos::from(settings.senders)).min(MAX_PACING_INTERVAL);
        self.rate_limit.map_or(default, |limit| (settings.senders as f64 / limit * 1e9) as Nanos)
    }

    /// Interval at which all senders together keep to a budget; a few recovery durations are enough.
    pub(super) fn budget_interval(&self, budget: f64, settings: &Settings) -> Nanos {
        let interval = (settings.recovery.overload_window as f64 / budget.max(1e-9)) as Nanos;
        interval.min(MAX_BACKOFF_RECOVERIES * settings.recovery.duration)
    }

    pub(super) fn ready_at(&self) -> Nanos {
        let paced = self.last_send.map_or(0, |sent_at| sent_at + self.pacing_interval.get());
        paced.max(self.retry_after_until).max(self.backoff_until)
    }

    fn pacing_step(&self, settings: &Settings) -> Nanos {
        self.rate_limit.map_or(PACING_STEP, |_| self.fair_interval(settings) / 2)
    }

    fn outage(&self, now: Nanos, settings: &Settings) -> Option<Outage> {
        let suspected = self.is_backing_off_on_suspicion();
        if self.is_down() || (suspected && self.consecutive_rejections == 0) {
            return Some(Outage::Unresponsive);
        }
        // A wait of an outage still runs, or everything is rejected.
        let waits = self.recovering_since.is_some_and(|since| since > now);
        if suspected || waits || self.consecutive_rejections >= REJECTING_RUN {
            return Some(Outage::Rejecting);
        }
        let elapsed = now.saturating_sub(self.recovering_since?);
        (elapsed < settings.recovery.duration).then_some(Outage::Recovering { elapsed })
    }

    pub(super) fn observe(&self, key: RouteKey, now: Nanos, settings: &Settings) -> Option<Observation> {
        let outage = self.outage(now, settings);
        let (successful_calls, rejected_calls) = self.call_counts.at(now);
        Some(Observation {
            destination: key.destination,
            endpoint: key.endpoint,
            since_last_call: now.saturating_sub(self.last_send?),
            remaining_retry_after: self.retry_after_until.saturating_sub(now),
            pacing_interval: self.pacing_interval.get(),
            rate_limit: self.rate_limit.filter(|_| outage.is_none()),
            successful_calls,
            rejected_calls,
            latencies: self.latencies.own_sorted(),
            outage,
        })
    }
}
