//! Faults of endpoints: suspicion, backoff, the circuit breaker's probes, and the start of the recovery ramp.

use super::*;

impl Policy {
    /// Adds a fault with this weight to the suspicion of an endpoint's route, and sets the route's backoff
    /// and slow start. While the circuit breaker is open, the backoff is at least the delay until the next
    /// probe.
    pub(super) fn record_fault(&mut self, id: EndpointId, weight: f64) {
        let jitter = 0.5 + self.random.unit();
        let (now, settings, endpoint) = (self.now, &self.settings, &self.endpoints[&id]);
        let route = self
            .routes
            .get_mut(&endpoint.route)
            .expect("each listed endpoint has a route");
        route.suspicion += weight;
        route.last_fault_at = now;
        let max_backoff = route.budget_interval(route.budget_after(0, settings), settings);
        // Rejected calls may use up a rate limit: the backoff doubles with each, and grows as fewer retries
        // succeed.
        let doublings = route.consecutive_rejections.saturating_sub(1).min(8);
        let retry_success_rate = self.retry_success_rate[endpoint.kind.0].get();
        let low_success_factor = (INITIAL_RETRY_SUCCESS / retry_success_rate).powi(2);
        let doubled_interval = route.fair_interval(settings).saturating_mul(1 << doublings);
        let backoff_after_rejections = doubled_interval as f64 * low_success_factor;
        let is_suspected = route.suspicion >= SUSPICION_THRESHOLD;
        let backoff = if is_suspected {
            max_backoff
        } else {
            max_backoff.min(backoff_after_rejections as Nanos)
        };
        // The more senders share the capacity of a cold route, the longer the backoff of each.
        let many_senders = max_backoff > 2 * MAX_PROBE_DELAY;
        if route.consecutive_rejections > 0 || (is_suspected && many_senders) {
            let starts_later = route.retry_after_until > now;
            let backoff_jitter = if starts_later { jitter - 0.5 } else { jitter };
            let backoff_start = now.max(route.retry_after_until);
            route.backoff_until = backoff_start + (backoff as f64 * backoff_jitter) as Nanos;
        }
        if !many_senders && route.retry_after_until > now + settings.recovery.overload_window {
            // The route is cold when its Retry-After ends, and the short backoff of few senders would not
            // keep them from overloading it.
            route.recovering_since = Some(route.retry_after_until);
        }
        let outage_after = OUTAGE_REJECTION_WINDOWS * settings.recovery.overload_window;
        let rejects_for_long = now >= route.rejecting_since + outage_after;
        let rejects_all = rejects_for_long && route.consecutive_rejections >= OUTAGE_REJECTIONS;
        if route.is_down() {
            let failures_since_open =
                route.outcome_history.consecutive_failures() - BREAKER_FAILURES;
            let probe_delay =
                (FIRST_PROBE_DELAY << failures_since_open.min(4)).min(MAX_PROBE_DELAY);
            let next_probe_at = now + (probe_delay as f64 * jitter) as Nanos;
            route.backoff_until = route.backoff_until.max(next_probe_at);
        } else if route.fails_most_calls() || rejects_all {
            // A route that rejects needs no probes other than its paced calls. The calls that follow keep to
            // the slow-start budget.
            route.recovering_since = Some(now.max(route.retry_after_until));
        }
    }
}
