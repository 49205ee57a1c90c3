//! Dispatch: order of the waiting messages, choice of an endpoint, hedged requests and latency estimates.

use super::*;

/// Quantile of the latencies of successful calls after which a call is slow and may be hedged.
const HEDGE_QUANTILE: f64 = 0.95;
/// Least number of samples for a quantile. With fewer, the hedge delay would vary and often be too short.
const MIN_LATENCY_SAMPLES: usize = 6;
/// Assumed latency before any was measured: long for a call, but short for a client.
const DEFAULT_LATENCY: Nanos = 1000 * MILLISECOND;
/// A call that is in flight for longer than this many p95 latencies is overdue: it counts as a failure, and
/// may be lost.
const OVERDUE_P95_FACTOR: f64 = 4.0;
/// Age up to which no call is overdue, so that a short pause of a fast partner makes none overdue. Attempts
/// have no shorter timeout either, unless less time is left.
const MIN_OVERDUE_AGE: Nanos = 1200 * MILLISECOND;
/// Weight of the value of a delivery now, relative to the value that is lost by waiting.
const DELIVERY_VALUE_WEIGHT: f64 = 0.3;
/// Timeout of an attempt that may be retried, in p95 latencies.
const TIMEOUT_P95_FACTOR: Nanos = 6;

impl Policy {
    /// Sends waiting messages: first those that an earlier process accepted and never sent, then the others,
    /// highest value at risk first.
    pub(super) fn dispatch_waiting(&mut self, actions: &mut Vec<Action>) {
        let due = self
            .messages
            .iter()
            .filter(|(_, message)| message.is_ready(self.now));
        let mut ready: Vec<_> = due
            .map(|(id, message)| {
                (
                    message.is_resumed_unsent(),
                    self.value_at_risk(message),
                    *id,
                )
            })
            .collect();
        ready.sort_by(|(a_resumed, a_value, a_id), (b_resumed, b_value, b_id)| {
            let resumed_first = b_resumed.cmp(a_resumed);
            resumed_first
                .then(b_value.total_cmp(a_value))
                .then(a_id.cmp(b_id))
        });
        for (.., id) in ready {
            if let Some(endpoint) = self.best_endpoint(id, None) {
                self.send(id, endpoint, actions);
            }
        }
    }

    /// Priority of a waiting message: the value that is lost if it is delivered one assumed latency later,
    /// plus a part of the value of a delivery now.
    pub(super) fn value_at_risk(&self, message: &Message) -> f64 {
        let value_at = |at| {
            self.class_of(message)
                .value_at(at, message.deadline, self.settings.decay)
        };
        let soon = value_at(self.now + DEFAULT_LATENCY / 2);
        let later = value_at(self.now + DEFAULT_LATENCY / 2 + DEFAULT_LATENCY);
        soon - later + DELIVERY_VALUE_WEIGHT * soon
    }

    /// The endpoint with the least cost among those that a message may be sent to. A hedge avoids the
    /// endpoint of the slow attempt: using it again costs the whole value of the message.
    pub(super) fn best_endpoint(
        &mut self,
        id: MessageId,
        slow_endpoint: Option<EndpointId>,
    ) -> Option<EndpointId> {
        let candidates = self
            .endpoints_of
            .get(&self.messages[&id].destination)?
            .clone();
        let mut best: Option<(f64, EndpointId)> = None;
        for endpoint in candidates {
            if self.may_send(id, endpoint) {
                let repetition_cost = f64::from(slow_endpoint == Some(endpoint));
                let tie_breaker = self.random.unit() * 1e-3;
                let cost = self.cost(id, endpoint) + repetition_cost + tie_breaker;
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, endpoint));
                }
            }
        }
        best.map(|(_, endpoint)| endpoint)
    }

    /// Cost of an attempt of a message at an endpoint, as a share of the message's value.
    fn cost(&self, id: MessageId, endpoint: EndpointId) -> f64 {
        let (message, endpoint) = (&self.messages[&id], &self.endpoints[&endpoint]);
        let (class, settings) = (self.class_of(message), &self.settings);
        let unloaded_latency = endpoint
            .smoothed_latency
            .get()
            .unwrap_or_else(|| self.typical_latency(endpoint.route));
        let load_factor = 1.0 + 0.5 * endpoint.in_flight as f64;
        let latency = (unloaded_latency as f64 * load_factor) as Nanos;
        let value_at = |at| class.value_at(at, message.deadline, settings.decay);
        let lost_value = value_at(self.now) - value_at(self.now + latency);
        let lost_share = lost_value / class.priority_weight.max(1e-9);
        // The prices of zones apply only if each endpoint is a route.
        let zone = endpoint
            .route
            .endpoint
            .and(settings.zone_prices.get(endpoint.zone.0))
            .unwrap_or(&0.0);
        let cross_zone = if endpoint.zone == settings.zone {
            0.0
        } else {
            settings.cross_zone_price
        };
        let has_idle_connection =
            endpoint.in_flight == 0 && endpoint.connection.is_open(self.now, settings.idle_timeout);
        let handshake = if has_idle_connection {
            0.0
        } else {
            settings.handshake_price
        };
        let half_open = f64::from(self.routes[&endpoint.route].is_half_open());
        let failures = 0.2 * endpoint.consecutive_failures.min(5) as f64 + half_open;
        let slowness = 0.1 * latency as f64 / class.latency_objective as f64;
        lost_share + zone + cross_zone + handshake + failures + slowness
    }

    /// Sends the next attempt of a message to an endpoint, and records it.
    pub(super) fn send(
        &mut self,
        id: MessageId,
        endpoint_id: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let timeout = self.attempt_timeout(id, endpoint_id);
        let latest_start = self.retry_deadline(&self.messages[&id]);
        let message = self
            .messages
            .get_mut(&id)
            .expect("the caller passes the id of a stored message");
        let endpoint = self
            .endpoints
            .get_mut(&endpoint_id)
            .expect("the caller chose a listed endpoint");
        let route = self
            .routes
            .get_mut(&endpoint.route)
            .expect("each listed endpoint has a route");
        let attempt_number = message.attempts.len() as u32;
        message.attempts.push(Attempt {
            endpoint: endpoint_id,
            zone: Some(endpoint.zone),
            sent_at: now,
            ..Attempt::default()
        });
        endpoint.in_flight += 1;
        endpoint.connection.record(now, self.settings.idle_timeout);
        route.last_sent_at = Some(now);
        route.in_flight.start((id, attempt_number), now);
        let window = self.window_stagger + self.settings.recovery.overload_window;
        route.recent_sends.record(now, window);
        self.in_flight += 1;
        actions.push(Action::Send {
            id,
            endpoint: endpoint_id,
            timeout,
            latest_start,
        });
    }

    /// Timeout of the next attempt of a message: all of the time left if no retry would be allowed after it.
    /// Otherwise it is long enough for a slow call, since a call may still be running after its timeout.
    fn attempt_timeout(&self, id: MessageId, endpoint: EndpointId) -> Nanos {
        let message = &self.messages[&id];
        let deadline = self
            .shutdown_deadline
            .unwrap_or(Nanos::MAX)
            .min(message.deadline);
        let time_left = deadline.saturating_sub(self.now).max(1);
        let p95_latency = self.p95_latency(self.endpoints[&endpoint].route);
        let slow_call = (TIMEOUT_P95_FACTOR * p95_latency).max(MIN_OVERDUE_AGE);
        let may_retry = self.class_of(message).idempotency != Idempotency::NonIdempotent;
        if may_retry {
            slow_call.min(time_left)
        } else {
            time_left
        }
    }

    /// Hedges each message once, unless it is non-idempotent, if it has no response after the p95 latency of
    /// its route.
    pub(super) fn hedge_slow(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.may_hedge || self.now < self.no_hedges_until {
            return;
        }
        let ids: Vec<MessageId> = self.messages.keys().copied().collect();
        for id in ids {
            if let Some(slow_endpoint) = self.slow_endpoint_to_hedge(&self.messages[&id])
                && let Some(endpoint) = self.best_endpoint(id, Some(slow_endpoint))
            {
                self.message_mut(id).hedged = true;
                self.send(id, endpoint, actions);
            }
        }
    }

    /// The endpoint of a message's only attempt in flight, if that attempt is slow and a hedge is allowed.
    fn slow_endpoint_to_hedge(&self, message: &Message) -> Option<EndpointId> {
        let non_idempotent = self.class_of(message).idempotency == Idempotency::NonIdempotent;
        if message.finished || message.hedged || non_idempotent {
            return None;
        }
        let mut in_flight = message.in_flight();
        let (Some((_, attempt)), None) = (in_flight.next(), in_flight.next()) else {
            return None;
        };
        let route_key = self.endpoints.get(&attempt.endpoint)?.route;
        let route = &self.routes[&route_key];
        let delay = self.p95_latency(route_key);
        let is_slow = !attempt.cancelled && self.now >= attempt.sent_at + delay;
        let time_left = message.deadline.saturating_sub(self.now);
        let can_end_in_time = time_left > self.typical_latency(route_key);
        // A hedge leaves another slot free, unless the in-flight limit is small.
        let needed_slots = if self.settings.max_in_flight > SMALL_IN_FLIGHT_LIMIT {
            2
        } else {
            1
        };
        let has_capacity = self.in_flight + needed_slots <= self.settings.max_in_flight;
        let paced_until = route.pacing_interval.last_increase() + MAX_PACING_INTERVAL;
        let is_paced = route.pacing_interval.get() > 0 || self.now <= paced_until;
        let is_healthy =
            route.has_recovered(self.now, &self.settings) && route.suspicion < SUSPICION_THRESHOLD;
        let has_samples = self.pooled_latencies.len() >= MIN_LATENCY_SAMPLES;
        if !is_slow || !can_end_in_time || !has_capacity || is_paced || !is_healthy || !has_samples
        {
            return None;
        }
        // More slow calls than this mean that the route as a whole is slow.
        let max_slow_calls = 1 + route.in_flight.len() / 4;
        let slow_calls = route.in_flight.count_in(..=self.now - delay);
        (slow_calls <= max_slow_calls).then_some(attempt.endpoint)
    }

    /// The median latency of a route. The fewer samples the route has, the closer it is to the median of all
    /// routes.
    pub(super) fn typical_latency(&self, route: RouteKey) -> Nanos {
        let pooled = &self.pooled_latencies;
        let default = if pooled.is_empty() {
            DEFAULT_LATENCY
        } else {
            pooled.quantile(0.5)
        };
        self.routes[&route]
            .latencies
            .blended_median(default, MIN_LATENCY_SAMPLES)
    }

    /// The p95 latency of a route. With few samples, it is the route's typical latency times the ratio of the
    /// p95 to the median of all routes. If these have few samples as well, it is three typical latencies.
    pub(super) fn p95_latency(&self, route: RouteKey) -> Nanos {
        let (own, pooled) = (&self.routes[&route].latencies, &self.pooled_latencies);
        let typical = || self.typical_latency(route);
        let p95 = own.quantile_or_scaled(HEDGE_QUANTILE, MIN_LATENCY_SAMPLES, pooled, typical);
        p95.unwrap_or_else(|| 3 * typical())
    }

    /// Age above which a call to a route is overdue.
    pub(super) fn overdue_after(&self, route: RouteKey) -> Nanos {
        ((self.p95_latency(route) as f64 * OVERDUE_P95_FACTOR) as Nanos).max(MIN_OVERDUE_AGE)
    }
}
