//! Checks before every send: first attempts, retries, hedges and probes.

use super::*;

/// Largest share of the in-flight limit that the calls of one route may take.
const IN_FLIGHT_SHARE: f64 = 0.5;
/// The same for a route that does not respond or has not recovered.
const UNHEALTHY_IN_FLIGHT_SHARE: f64 = 0.2;

impl Policy {
    pub(super) fn may_send(&self, id: MessageId, endpoint: EndpointId) -> bool {
        let (message, endpoint) = (&self.messages[&id], &self.endpoints[&endpoint]);
        let active =
            endpoint.state == EndpointState::Active && endpoint.destination == message.destination;
        let in_time =
            !message.finished && message.deadline > self.now && self.has_attempts_left(message);
        let may_be_concurrent = self.settings.may_hedge || message.is_idle();
        let may_retry = self.may_retry_at(message, endpoint) && self.is_next_in_order(id, message);
        active && in_time && may_be_concurrent && may_retry && self.route_admits(endpoint)
    }

    fn route_admits(&self, endpoint: &Endpoint) -> bool {
        let route = &self.routes[&endpoint.route];
        let must_wait = self.now < route.retry_after_until.max(route.backoff_until);
        if must_wait || !self.is_within_slow_start_budget(route) {
            return false;
        }
        let probing = route.is_down() && route.in_flight.any_in(route.backoff_until..);
        let expected_end = self.now + self.p95_latency(endpoint.route);
        let ends_before_shutdown = self
            .shutdown_deadline
            .is_none_or(|deadline| expected_end <= deadline);
        let interval = route
            .pacing_interval
            .get()
            .max(self.fair_pacing_interval(endpoint.kind, route));
        let paced = route
            .last_sent_at
            .is_none_or(|sent_at| self.now >= sent_at.saturating_add(interval));
        !probing && ends_before_shutdown && paced && self.is_within_in_flight_limit(endpoint, route)
    }

    /// Pacing of all attempts, first ones included. The more retries are rejected, the closer it is to the
    /// sender's fair interval, as rejected calls use up rate limits.
    fn fair_pacing_interval(&self, kind: KindId, route: &RouteState) -> Nanos {
        let strictness =
            (1.0 - self.retry_success_rate[kind.0].get() / INITIAL_RETRY_SUCCESS).max(0.0);
        let interval = strictness * route.fair_interval(&self.settings) as f64;
        if route.rate_limit.is_some() {
            interval as Nanos
        } else {
            0
        }
    }

    /// All calls sent in the overload window count, including rejected ones and probes.
    fn is_within_slow_start_budget(&self, route: &RouteState) -> bool {
        // The windows of senders with the same history end at different times.
        let window = self.window_stagger + self.settings.recovery.overload_window;
        let sent = route.recent_sends.count(self.now, window) as f64;
        let budget = route.slow_start_budget(self.now, &self.settings);
        let interval = self.window_stagger + route.budget_interval(budget, &self.settings);
        let spaced = route
            .last_sent_at
            .is_none_or(|sent_at| self.now >= sent_at + interval);
        let recovered = route.has_recovered(self.now, &self.settings);
        recovered || sent + 1.0 <= budget + 1e-9 || (spaced && sent < budget)
    }

    /// Limits each route to a share, so that a destination that hangs cannot use up the in-flight limit.
    fn is_within_in_flight_limit(&self, endpoint: &Endpoint, route: &RouteState) -> bool {
        let limit = self.settings.max_in_flight;
        let slow_since = self
            .now
            .saturating_sub(2 * self.p95_latency(endpoint.route));
        let unanswered = route
            .in_flight
            .any_in(route.latest_success_sent_at..slow_since);
        let healthy = route.has_recovered(self.now, &self.settings) && !unanswered;
        let share = if healthy {
            IN_FLIGHT_SHARE
        } else {
            UNHEALTHY_IN_FLIGHT_SHARE
        };
        let route_limit = ((limit as f64 * share).ceil() as usize).max(1);
        let takes_last_slot = self.in_flight + 1 == limit && limit > 2;
        let admits_more = route.in_flight.len() < route_limit && !takes_last_slot;
        self.in_flight < limit && (route.in_flight.is_empty() || admits_more)
    }
}
