//! State of a route: pacing, circuit breaker, slow start after an outage, and the observations passed on.

use super::*;

/// First pacing interval if no rate limit is known: the time of a few calls at a small partner.
pub(super) const PACING_STEP: Nanos = 50 * MILLISECOND;
/// Longest pacing interval.
pub(super) const MAX_PACING_INTERVAL: Nanos = 1000 * MILLISECOND;
/// Relative decrease of the pacing interval by a success. Rejections, which use up limits, level at 1 in 17.
const PACING_DECREASE: f64 = 0.04;
/// The same above two pacing steps, which are the sender's fair interval where a rate limit is known.
const FAST_PACING_DECREASE: f64 = 0.5;
/// Share of the slow-start budget that is used; the rest covers random variation and simultaneous calls.
const BUDGET_UTILIZATION: f64 = 0.8;
/// Longest backoff, in recovery durations. With 1, 200 senders returned from an outage too close together.
const MAX_BACKOFF_RECOVERIES: Nanos = 2;
/// Consecutive failures that open the circuit breaker.
pub(super) const BREAKER_FAILURES: u32 = 4;
/// Failures among the last eight outcomes from which on sends keep to the slow-start budget.
pub(super) const SLOW_START_FAILURES: u32 = 5;
/// Consecutive rejections over this many overload windows mean an outage: a busy partner accepts some calls.
pub(super) const OUTAGE_REJECTIONS: u32 = 5;
pub(super) const OUTAGE_REJECTION_WINDOWS: Nanos = 2;
/// Suspicion from which on a sender backs off to its share of a cold route's capacity. One loss is no outage.
pub(super) const SUSPICION_THRESHOLD: f64 = 2.0;
/// Delay between single probes of a route whose circuit breaker is open, doubled up to the longest.
pub(super) const FIRST_PROBE_DELAY: Nanos = 500 * MILLISECOND;
pub(super) const MAX_PROBE_DELAY: Nanos = 2000 * MILLISECOND;

/// State of a route: one endpoint or a whole destination, see [`DestinationKind`].
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct RouteState {
    /// Start of the recovery ramp, after an outage or partial failure. It is in the future while the
    /// Retry-After of an outage lasts. Until the ramp ends, sends keep to the slow-start budget.
    pub(super) recovering_since: Option<Nanos>,
    pub(super) latencies: LatencyWindow, // of successful calls
    pub(super) suspicion: f64,           // total weight of the faults since the latest success
    pub(super) last_fault_at: Nanos,
    pub(super) backoff_until: Nanos, // set by faults, cleared by a success
    pub(super) pacing_interval: AdaptiveInterval, // least time between two sends
    pub(super) last_sent_at: Option<Nanos>,
    pub(super) retry_after_until: Nanos, // end of the latest Retry-After
    pub(super) rate_limit: Option<f64>,  // calls a second from all senders together
    pub(super) recent_sends: SendWindow, // in the overload window
    pub(super) outcome_history: OutcomeHistory, // successes and failures, without rejections
    pub(super) consecutive_rejections: u32,
    pub(super) rejecting_since: Nanos, // time of the first of the consecutive rejections
    /// Of the successful calls, the one sent last: earlier calls that are still in flight may be lost.
    pub(super) latest_success_sent_at: Nanos,
    pub(super) call_counts: CallCounts, // for observations only
    pub(super) in_flight: StartTimes<(MessageId, u32)>, // by message and number of the attempt
}

impl RouteState {
    pub(super) fn is_down(&self) -> bool {
        self.outcome_history.consecutive_failures() >= BREAKER_FAILURES
    }

    /// Whether a call is likely to be lost or rejected, so that it mainly serves as a probe.
    pub(super) fn is_half_open(&self) -> bool {
        self.is_down() || self.consecutive_rejections >= BREAKER_FAILURES
    }

    pub(super) fn is_backing_off_on_suspicion(&self) -> bool {
        self.suspicion >= SUSPICION_THRESHOLD && self.backoff_until > 0
    }

    pub(super) fn record_success(&mut self, now: Nanos, sent_at: Nanos, settings: &Settings) {
        let step = self.pacing_step(settings);
        // The longest interval suits slow partners: at a call a second, a fast one's backlog would expire.
        let decrease = if self.pacing_interval.get() > 2 * step {
            FAST_PACING_DECREASE
        } else {
            PACING_DECREASE
        };
        self.pacing_interval
            .decrease(decrease, step.min(MAX_PACING_INTERVAL) / 4);
        let returned = self.is_down() || self.is_backing_off_on_suspicion();
        self.outcome_history.record_success();
        self.consecutive_rejections = 0;
        self.backoff_until = 0;
        self.latest_success_sent_at = self.latest_success_sent_at.max(sent_at);
        if returned {
            // It returned since its last fault or the end of its Retry-After: half that time ago on average.
            let elapsed = (now - self.last_fault_at.max(self.retry_after_until).min(now)) / 2;
            self.recovering_since = Some(now - elapsed.min(settings.recovery.overload_window));
        }
        self.suspicion = 0.0;
    }

    pub(super) fn record_rejection(
        &mut self,
        now: Nanos,
        retries: &mut SuccessRate,
        settings: &Settings,
    ) {
        self.pacing_interval
            .increase(now, self.pacing_step(settings), MAX_PACING_INTERVAL);
        if self.consecutive_rejections == 0 {
            self.rejecting_since = now;
        } else {
            retries.record_failure();
        }
        self.consecutive_rejections += 1;
    }

    pub(super) fn has_recovered(&self, now: Nanos, settings: &Settings) -> bool {
        !self.is_down()
            && self
                .recovering_since
                .is_none_or(|since| now >= since + settings.recovery.duration)
    }

    /// Calls that may be sent in an overload window. With many senders, the share of each is far below 1.
    pub(super) fn slow_start_budget(&self, now: Nanos, settings: &Settings) -> f64 {
        let recovering_since = self.recovering_since.filter(|_| !self.is_down());
        let elapsed = recovering_since.map_or(0, |since| now.saturating_sub(since));
        self.budget_after(elapsed, settings)
    }

    pub(super) fn budget_after(&self, elapsed: Nanos, settings: &Settings) -> f64 {
        let recovery = &settings.recovery;
        // Without a known rate limit, a single call says nothing about a rate.
        let interval = self
            .rate_limit
            .map_or(recovery.duration, |_| self.fair_interval(settings));
        let fair_calls = recovery.overload_window as f64 / interval.max(1) as f64;
        BUDGET_UTILIZATION
            * recovery.overload_factor
            * recovery.capacity_share(elapsed)
            * fair_calls
    }

    /// Interval of this sender's calls at its fair share of the rate limit; if unknown, by fleet size.
    pub(super) fn fair_interval(&self, settings: &Settings) -> Nanos {
        let default = (PACING_STEP * Nanos::from(settings.senders)).min(MAX_PACING_INTERVAL);
        self.rate_limit.map_or(default, |limit| {
            (settings.senders as f64 / limit * 1e9) as Nanos
        })
    }

    /// Interval of sends at which all senders together keep to a budget; a few recovery durations are enough.
    pub(super) fn budget_interval(&self, budget: f64, settings: &Settings) -> Nanos {
        let interval = (settings.recovery.overload_window as f64 / budget.max(1e-9)) as Nanos;
        interval.min(MAX_BACKOFF_RECOVERIES * settings.recovery.duration)
    }

    pub(super) fn ready_at(&self) -> Nanos {
        let paced = self
            .last_sent_at
            .map_or(0, |sent_at| sent_at + self.pacing_interval.get());
        paced.max(self.retry_after_until).max(self.backoff_until)
    }

    fn pacing_step(&self, settings: &Settings) -> Nanos {
        self.rate_limit
            .map_or(PACING_STEP, |_| self.fair_interval(settings) / 2)
    }

    fn outage(&self, now: Nanos, settings: &Settings) -> Option<Outage> {
        let suspected = self.is_backing_off_on_suspicion();
        if self.is_down() || (suspected && self.consecutive_rejections == 0) {
            return Some(Outage::Unresponsive);
        }
        // The Retry-After of an outage has not ended, or everything is rejected.
        let opens_later = self.recovering_since.is_some_and(|since| since > now);
        if suspected || opens_later || self.consecutive_rejections >= OUTAGE_REJECTIONS {
            return Some(Outage::Rejecting);
        }
        let elapsed = now.saturating_sub(self.recovering_since?);
        (elapsed < settings.recovery.duration).then_some(Outage::Recovering { elapsed })
    }

    pub(super) fn observe(
        &self,
        key: RouteKey,
        now: Nanos,
        settings: &Settings,
    ) -> Option<Observation> {
        let outage = self.outage(now, settings);
        let (successful_calls, rejected_calls) = self.call_counts.decayed_to(now);
        Some(Observation {
            destination: key.destination,
            endpoint: key.endpoint,
            since_last_call: now.saturating_sub(self.last_sent_at?),
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
