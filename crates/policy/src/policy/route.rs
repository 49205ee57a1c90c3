//! State of a route: pacing, circuit breaker, slow start after an outage, and observations for other senders.

use super::*;

/// First pacing interval if no rate limit is known: the time of a few calls at a small partner.
pub(super) const PACING_STEP: Nanos = 50 * MILLISECOND;
/// Longest pacing interval.
pub(super) const MAX_PACING_INTERVAL: Nanos = 1000 * MILLISECOND;
/// Relative decrease of the pacing interval by a success. Each rejection doubles the interval, so that the
/// share of rejections, which use up rate limits, levels out at 1 in 17.
const PACING_DECREASE: f64 = 0.04;
/// Relative decrease of a pacing interval above two pacing steps. Where a rate limit is known, two steps are
/// this sender's fair interval.
const FAST_PACING_DECREASE: f64 = 0.5;
/// Share of the slow-start budget that is used; the rest covers random variation and simultaneous calls.
const BUDGET_UTILIZATION: f64 = 0.8;
/// Longest backoff before jitter, and longest interval of sends within the slow-start budget, as a multiple
/// of the recovery duration. With a multiple of 1, a fleet of 200 senders returned from an outage too close
/// together.
const MAX_BACKOFF_RECOVERIES: Nanos = 2;
/// Consecutive failures that open the circuit breaker.
pub(super) const BREAKER_FAILURES: u32 = 4;
/// Number of failures among the last eight outcomes at which sends start to keep to the slow-start budget.
pub(super) const SLOW_START_FAILURES: u32 = 5;
/// Number of consecutive rejections that mean an outage if they last for [`OUTAGE_REJECTION_WINDOWS`]: a
/// partner that is only busy accepts some calls.
pub(super) const OUTAGE_REJECTIONS: u32 = 5;
/// Number of overload windows that consecutive rejections have to last to mean an outage.
pub(super) const OUTAGE_REJECTION_WINDOWS: Nanos = 2;
/// Suspicion (total weight of the faults since the latest success) at which a sender backs off, so that it
/// keeps to its share of a cold route's capacity. A single call that fails or times out does not reach it, as
/// it is no outage.
pub(super) const SUSPICION_THRESHOLD: f64 = 2.0;
/// Delay, before jitter, of the first probe of a route whose circuit breaker is open. One probe is sent at a
/// time, and each one that fails doubles the delay.
pub(super) const FIRST_PROBE_DELAY: Nanos = 500 * MILLISECOND;
/// Longest delay, before jitter, between two probes of a route whose circuit breaker is open.
pub(super) const MAX_PROBE_DELAY: Nanos = 2000 * MILLISECOND;

/// State of a route: one endpoint or a whole destination, see [`DestinationKind`].
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct RouteState {
    /// Start of the recovery ramp, after an outage or partial failure. It is in the future while the
    /// Retry-After of an outage lasts. Until the ramp ends, sends keep to the slow-start budget.
    pub(super) recovering_since: Option<Nanos>,
    /// Latencies of successful calls.
    pub(super) latencies: LatencyWindow,
    /// Total weight of the faults since the latest success.
    pub(super) suspicion: f64,
    pub(super) last_fault_at: Nanos,
    /// End of the backoff, which is set by faults; 0 after a success.
    pub(super) backoff_until: Nanos,
    /// Least time between two sends.
    pub(super) pacing_interval: AdaptiveInterval,
    pub(super) last_sent_at: Option<Nanos>,
    /// End of the Retry-After that ends last.
    pub(super) retry_after_until: Nanos,
    /// Rate limit, in calls a second from all senders together.
    pub(super) rate_limit: Option<f64>,
    /// Sends within the overload window.
    pub(super) recent_sends: SendWindow,
    /// Successes and failures. Rejections are not part of it.
    pub(super) outcome_history: OutcomeHistory,
    /// Lost connections, which are no failures by themselves. Not passed to a successor process.
    #[serde(skip)]
    pub(super) lost_connections: LostConnections,
    /// Number of rejections since the latest success, counting only those that increased the pacing interval.
    pub(super) consecutive_rejections: u32,
    /// Instant of the first of the consecutive rejections.
    pub(super) rejecting_since: Nanos,
    /// Latest send time among the successful calls. Calls that were sent earlier and are still in flight may
    /// be lost.
    pub(super) latest_success_sent_at: Nanos,
    /// For observations only.
    pub(super) call_counts: CallCounts,
    /// Attempts in flight, by message and number of the attempt.
    pub(super) in_flight: StartTimes<(MessageId, u32)>,
}

impl RouteState {
    /// Whether the circuit breaker is open.
    pub(super) fn is_down(&self) -> bool {
        self.outcome_history.consecutive_failures() >= BREAKER_FAILURES
    }

    /// Whether a call is likely to be lost or rejected, so that it mainly serves as a probe.
    pub(super) fn is_half_open(&self) -> bool {
        self.is_down() || self.consecutive_rejections >= BREAKER_FAILURES
    }

    /// Whether most of the latest calls have failed, or have lost their connections.
    pub(super) fn fails_most_calls(&self) -> bool {
        let failures = self.outcome_history.failures();
        failures.max(self.lost_connections.recent()) >= SLOW_START_FAILURES
    }

    /// Opens the circuit breaker if the latest calls have failed, some of them by lost connections.
    pub(super) fn open_if_all_calls_fail(&mut self) {
        let lost = self.lost_connections.consecutive();
        let failures = self.outcome_history.consecutive_failures();
        if lost > 0 && failures < BREAKER_FAILURES && failures + lost >= BREAKER_FAILURES {
            self.outcome_history.assume_failures(BREAKER_FAILURES);
        }
    }

    /// Whether the sender backs off, or has backed off, because it suspects an outage.
    pub(super) fn is_backing_off_on_suspicion(&self) -> bool {
        self.suspicion >= SUSPICION_THRESHOLD && self.backoff_until > 0
    }

    /// Records the success of a call that was sent at `sent_at`. After an outage, the recovery ramp starts.
    pub(super) fn record_success(&mut self, now: Nanos, sent_at: Nanos, settings: &Settings) {
        let step = self.pacing_step(settings);
        // The longest interval suits slow partners. At a fast one, the backlog would expire at a call a
        // second, so that a long interval is decreased fast.
        let decrease = if self.pacing_interval.get() > 2 * step {
            FAST_PACING_DECREASE
        } else {
            PACING_DECREASE
        };
        let min_interval = step.min(MAX_PACING_INTERVAL) / 4;
        self.pacing_interval.decrease(decrease, min_interval);
        let ends_outage = self.is_down() || self.is_backing_off_on_suspicion();
        self.outcome_history.record_success();
        self.lost_connections.record_success();
        self.consecutive_rejections = 0;
        self.backoff_until = 0;
        self.latest_success_sent_at = self.latest_success_sent_at.max(sent_at);
        if ends_outage {
            // The route returned between its last fault, or the end of its Retry-After, and now: on average,
            // half of this time ago.
            let unavailable_until = self.last_fault_at.max(self.retry_after_until).min(now);
            let elapsed = (now - unavailable_until) / 2;
            self.recovering_since = Some(now - elapsed.min(settings.recovery.overload_window));
        }
        self.suspicion = 0.0;
    }

    /// Records a rejection. It counts as a failed retry unless it is the first since the latest success.
    pub(super) fn record_rejection(
        &mut self,
        now: Nanos,
        retry_success_rate: &mut SuccessRate,
        settings: &Settings,
    ) {
        self.pacing_interval
            .increase(now, self.pacing_step(settings), MAX_PACING_INTERVAL);
        if self.consecutive_rejections == 0 {
            self.rejecting_since = now;
        } else {
            retry_success_rate.record_failure();
        }
        self.consecutive_rejections += 1;
    }

    /// Whether the circuit breaker is closed and no recovery ramp is pending or in progress.
    pub(super) fn has_recovered(&self, now: Nanos, settings: &Settings) -> bool {
        !self.is_down()
            && self
                .recovering_since
                .is_none_or(|since| now >= since + settings.recovery.duration)
    }

    /// Slow-start budget: number of calls that this sender may send in an overload window. With many senders,
    /// it may be far below 1.
    pub(super) fn slow_start_budget(&self, now: Nanos, settings: &Settings) -> f64 {
        let recovering_since = self.recovering_since.filter(|_| !self.is_down());
        let elapsed = recovering_since.map_or(0, |since| now.saturating_sub(since));
        self.budget_after(elapsed, settings)
    }

    /// Slow-start budget when the route has been recovering for `elapsed`.
    pub(super) fn budget_after(&self, elapsed: Nanos, settings: &Settings) -> f64 {
        let recovery = &settings.recovery;
        // If the rate limit is unknown, one call in a recovery duration is assumed: a single call says
        // nothing about a rate.
        let interval = self
            .rate_limit
            .map_or(recovery.duration, |_| self.fair_interval(settings));
        let fair_calls = recovery.overload_window as f64 / interval.max(1) as f64;
        BUDGET_UTILIZATION
            * recovery.overload_factor
            * recovery.capacity_share(elapsed)
            * fair_calls
    }

    /// Interval of this sender's calls at its fair share of the rate limit. If the limit is unknown, the
    /// interval grows with the number of senders, up to the longest pacing interval.
    pub(super) fn fair_interval(&self, settings: &Settings) -> Nanos {
        let default = (PACING_STEP * Nanos::from(settings.senders)).min(MAX_PACING_INTERVAL);
        self.rate_limit.map_or(default, |limit| {
            (settings.senders as f64 / limit * 1e9) as Nanos
        })
    }

    /// Interval between sends at which a sender keeps to its slow-start budget, so that all senders together
    /// keep within the route's capacity. It is limited, as a few recovery durations are enough.
    pub(super) fn budget_interval(&self, budget: f64, settings: &Settings) -> Nanos {
        let interval = (settings.recovery.overload_window as f64 / budget.max(1e-9)) as Nanos;
        interval.min(MAX_BACKOFF_RECOVERIES * settings.recovery.duration)
    }

    /// Earliest instant at which pacing, Retry-After and backoff allow a send.
    pub(super) fn ready_at(&self) -> Nanos {
        let pacing_ends_at = self
            .last_sent_at
            .map_or(0, |sent_at| sent_at + self.pacing_interval.get());
        pacing_ends_at
            .max(self.retry_after_until)
            .max(self.backoff_until)
    }

    /// First pacing interval after a rejection: half the fair interval, if the rate limit is known.
    fn pacing_step(&self, settings: &Settings) -> Nanos {
        self.rate_limit
            .map_or(PACING_STEP, |_| self.fair_interval(settings) / 2)
    }

    /// The outage of the route, or the recovery from one, as reported to other senders.
    fn outage(&self, now: Nanos, settings: &Settings) -> Option<Outage> {
        let is_suspected = self.is_backing_off_on_suspicion();
        if self.is_down() || (is_suspected && self.consecutive_rejections == 0) {
            return Some(Outage::Unresponsive);
        }
        // The Retry-After of an outage has not ended, or all calls are rejected.
        let recovers_later = self.recovering_since.is_some_and(|since| since > now);
        if is_suspected || recovers_later || self.consecutive_rejections >= OUTAGE_REJECTIONS {
            return Some(Outage::Rejecting);
        }
        let elapsed = now.saturating_sub(self.recovering_since?);
        (elapsed < settings.recovery.duration).then_some(Outage::Recovering { elapsed })
    }

    /// This sender's observation of the route; `None` if it has sent no call to the route.
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
