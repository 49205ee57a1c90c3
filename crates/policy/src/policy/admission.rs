//! Checks that every send has to pass: first attempts, retries, hedges and probes.

use super::*;

/// Largest share of the in-flight limit that the calls of one route may take.
const IN_FLIGHT_SHARE: f64 = 0.5;
/// Largest share of the in-flight limit that the calls of an unhealthy route may take: a route that does not
/// respond or has not recovered.
const UNHEALTHY_IN_FLIGHT_SHARE: f64 = 0.2;

impl Policy {
    /// Whether an attempt of a message may be sent to an endpoint now.
    pub(super) fn may_send(&self, id: MessageId, endpoint: EndpointId) -> bool {
        let (message, endpoint) = (&self.messages[&id], &self.endpoints[&endpoint]);
        let is_candidate =
            endpoint.state == EndpointState::Active && endpoint.destination == message.destination;
        let needs_attempt =
            !message.finished && message.deadline > self.now && self.has_attempts_left(message);
        let concurrency_allowed = self.settings.may_hedge || message.is_idle();
        let is_safe_and_in_order =
            self.may_retry_at(message, endpoint) && self.is_next_in_order(id, message);
        is_candidate
            && needs_attempt
            && concurrency_allowed
            && is_safe_and_in_order
            && self.route_admits(endpoint)
    }

    /// Whether the route of an endpoint admits a call now, independent of the message.
    fn route_admits(&self, endpoint: &Endpoint) -> bool {
        let route = &self.routes[&endpoint.route];
        let must_wait = self.now < route.retry_after_until.max(route.backoff_until);
        if must_wait || !self.is_within_slow_start_budget(route) {
            return false;
        }
        let probe_in_flight = route.is_down() && route.in_flight.any_in(route.backoff_until..);
        let expected_end = self.now + self.p95_latency(endpoint.route);
        let ends_before_shutdown = self
            .shutdown_deadline
            .is_none_or(|deadline| expected_end <= deadline);
        let interval = route
            .pacing_interval
            .get()
            .max(self.min_pacing_interval(endpoint.kind, route));
        let is_paced = route
            .last_sent_at
            .is_none_or(|sent_at| self.now >= sent_at.saturating_add(interval));
        !probe_in_flight
            && ends_before_shutdown
            && is_paced
            && self.is_within_in_flight_limit(endpoint, route)
    }

    /// Least pacing interval of all attempts, first ones included; 0 if the route's rate limit is unknown.
    /// The fewer retries succeed, the closer it is to the sender's fair interval, as rejected calls use up
    /// rate limits.
    fn min_pacing_interval(&self, kind: KindId, route: &RouteState) -> Nanos {
        let relative_success = self.retry_success_rate[kind.0].get() / INITIAL_RETRY_SUCCESS;
        let fair_share = (1.0 - relative_success).max(0.0);
        let interval = fair_share * route.fair_interval(&self.settings) as f64;
        if route.rate_limit.is_some() {
            interval as Nanos
        } else {
            0
        }
    }

    /// Whether the slow-start budget of a route admits a call, or the route needs none as it has recovered.
    /// All calls sent in the overload window count, including rejected ones and probes.
    fn is_within_slow_start_budget(&self, route: &RouteState) -> bool {
        // The windows of senders with the same history end at different times.
        let window = self.window_stagger + self.settings.recovery.overload_window;
        let sent = route.recent_sends.count(self.now, window) as f64;
        let budget = route.slow_start_budget(self.now, &self.settings);
        let interval = self.window_stagger + route.budget_interval(budget, &self.settings);
        let is_spaced = route
            .last_sent_at
            .is_none_or(|sent_at| self.now >= sent_at + interval);
        let recovered = route.has_recovered(self.now, &self.settings);
        // While less than a whole call is left, calls are spaced by the interval that keeps to the budget.
        let whole_call_left = sent + 1.0 <= budget + 1e-9; // allows for rounding
        let part_of_call_left = sent < budget;
        recovered || whole_call_left || (is_spaced && part_of_call_left)
    }

    /// Whether a route may have one more call in flight. Each route is limited to a share of the in-flight
    /// limit, so that a destination that hangs cannot use it up.
    fn is_within_in_flight_limit(&self, endpoint: &Endpoint, route: &RouteState) -> bool {
        let limit = self.settings.max_in_flight;
        let slow_since = self
            .now
            .saturating_sub(2 * self.p95_latency(endpoint.route));
        let is_unresponsive = route
            .in_flight
            .any_in(route.latest_success_sent_at..slow_since);
        let is_healthy = route.has_recovered(self.now, &self.settings) && !is_unresponsive;
        let share = if is_healthy {
            IN_FLIGHT_SHARE
        } else {
            UNHEALTHY_IN_FLIGHT_SHARE
        };
        let route_limit = ((limit as f64 * share).ceil() as usize).max(1);
        // The last slot is kept for routes that have no call in flight.
        let takes_last_slot = self.in_flight + 1 == limit && limit > 2;
        let admits_another = route.in_flight.len() < route_limit && !takes_last_slot;
        self.in_flight < limit && (route.in_flight.is_empty() || admits_another)
    }
}
