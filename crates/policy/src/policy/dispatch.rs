//! Sending: order of the waiting messages, choice of an endpoint, hedged requests and latency estimates.

use super::*;

/// Quantile of the latencies of successful calls at which a call is slow and may be hedged.
const HEDGE_QUANTILE: f64 = 0.95;
/// Least number of samples for a quantile. With fewer, the hedge delay would vary and often be too short.
const MIN_LATENCY_SAMPLES: usize = 6;
/// Assumed latency before any was measured: long for a call, but short for a client.
const DEFAULT_LATENCY: Nanos = 1000 * MILLISECOND;
/// A call in flight for this many p95 latencies is overdue: it counts as a failure, and may be lost.
const OVERDUE_P95_FACTOR: f64 = 4.0;
/// Least age of an overdue call, so that a short pause of a fast partner makes no call overdue.
const MIN_OVERDUE_AGE: Nanos = 1200 * MILLISECOND;
/// Weight of the value of a delivery now, relative to the value that is lost by waiting.
const DELIVERY_VALUE_WEIGHT: f64 = 0.3;
/// Timeout of an attempt that can be followed by another, in p95 latencies.
const TIMEOUT_P95_FACTOR: Nanos = 6;

impl Policy {
    /// Sends waiting messages: first those an earlier process accepted and never sent, then by value at risk.
    pub(super) fn dispatch_waiting(&mut self, actions: &mut Vec<Action>) {
        let due = self
            .messages
            .iter()
            .filter(|(_, message)| message.is_ready(self.now));
        let mut ready: Vec<_> = due
            .map(|(id, m)| (m.is_resumed_unsent(), self.value_at_risk(m), *id))
            .collect();
        ready.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
        for (.., id) in ready {
            if let Some(endpoint) = self.best_endpoint(id, None) {
                self.send(id, endpoint, actions);
            }
        }
    }

    pub(super) fn value_at_risk(&self, message: &Message) -> f64 {
        let value_at = |at| {
            self.class_of(message)
                .value_at(at, message.deadline, self.settings.decay)
        };
        let soon = value_at(self.now + DEFAULT_LATENCY / 2);
        let later = value_at(self.now + DEFAULT_LATENCY / 2 + DEFAULT_LATENCY);
        soon - later + DELIVERY_VALUE_WEIGHT * soon
    }

    /// The endpoint with the least cost among those that a message may be sent to. A hedge avoids `slow`.
    pub(super) fn best_endpoint(
        &mut self,
        id: MessageId,
        slow: Option<EndpointId>,
    ) -> Option<EndpointId> {
        let candidates = self
            .endpoints_of
            .get(&self.messages[&id].destination)?
            .clone();
        let mut best: Option<(f64, EndpointId)> = None;
        for endpoint in candidates {
            if self.may_send(id, endpoint) {
                let same_endpoint = f64::from(slow == Some(endpoint));
                let cost = self.cost(id, endpoint) + same_endpoint + self.random.unit() * 1e-3;
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, endpoint));
                }
            }
        }
        best.map(|(_, endpoint)| endpoint)
    }

    fn cost(&self, id: MessageId, endpoint: EndpointId) -> f64 {
        let (message, endpoint) = (&self.messages[&id], &self.endpoints[&endpoint]);
        let (class, settings) = (self.class_of(message), &self.settings);
        let latency = endpoint
            .smoothed_latency
            .get()
            .unwrap_or_else(|| self.typical_latency(endpoint.route));
        let latency = (latency as f64 * (1.0 + 0.5 * endpoint.in_flight as f64)) as Nanos;
        let value_at = |at| class.value_at(at, message.deadline, settings.decay);
        let loss =
            (value_at(self.now) - value_at(self.now + latency)) / class.priority_weight.max(1e-9);
        let zone_fee = endpoint
            .route
            .endpoint
            .and(settings.zone_prices.get(endpoint.zone.0))
            .unwrap_or(&0.0);
        let cross_zone = if endpoint.zone == settings.zone {
            0.0
        } else {
            settings.cross_zone_price
        };
        let connected =
            endpoint.in_flight == 0 && endpoint.connection.is_open(self.now, settings.idle_timeout);
        let handshake = if connected {
            0.0
        } else {
            settings.handshake_price
        };
        let half_open = f64::from(self.routes[&endpoint.route].is_half_open());
        let faults = 0.2 * endpoint.consecutive_failures.min(5) as f64 + half_open;
        let slowness = 0.1 * latency as f64 / class.latency_objective as f64;
        loss + zone_fee + cross_zone + handshake + faults + slowness
    }

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
        let attempt = message.attempts.len() as u32;
        let zone = Some(endpoint.zone);
        message.attempts.push(Attempt {
            endpoint: endpoint_id,
            zone,
            sent_at: now,
            ..Attempt::default()
        });
        endpoint.in_flight += 1;
        endpoint.connection.record(now, self.settings.idle_timeout);
        route.last_sent_at = Some(now);
        route.in_flight.start((id, attempt), now);
        route.recent_sends.record(
            now,
            self.window_stagger + self.settings.recovery.overload_window,
        );
        self.in_flight += 1;
        actions.push(Action::Send {
            id,
            endpoint: endpoint_id,
            timeout,
            latest_start,
        });
    }

    /// All the time left if no retry can follow; else enough for a slow call, as timed-out calls may run on.
    fn attempt_timeout(&self, id: MessageId, endpoint: EndpointId) -> Nanos {
        let message = &self.messages[&id];
        let deadline = self
            .shutdown_deadline
            .unwrap_or(Nanos::MAX)
            .min(message.deadline);
        let left = deadline.saturating_sub(self.now).max(1);
        let limit = (TIMEOUT_P95_FACTOR * self.p95_latency(self.endpoints[&endpoint].route))
            .max(MIN_OVERDUE_AGE);
        let may_retry = self.class_of(message).idempotency != Idempotency::NonIdempotent;
        if may_retry { limit.min(left) } else { left }
    }

    /// Hedges each idempotent message once, if it has no response after the p95 latency of its route.
    pub(super) fn hedge_slow(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.may_hedge || self.now < self.no_hedges_until {
            return;
        }
        let ids: Vec<MessageId> = self.messages.keys().copied().collect();
        for id in ids {
            if let Some(slow_endpoint) = self.endpoint_to_hedge(&self.messages[&id])
                && let Some(endpoint) = self.best_endpoint(id, Some(slow_endpoint))
            {
                self.message_mut(id).hedged = true;
                self.send(id, endpoint, actions);
            }
        }
    }

    fn endpoint_to_hedge(&self, message: &Message) -> Option<EndpointId> {
        let non_idempotent = self.class_of(message).idempotency == Idempotency::NonIdempotent;
        if message.finished || message.hedged || non_idempotent {
            return None;
        }
        let mut in_flight = message.in_flight();
        let (Some((_, attempt)), None) = (in_flight.next(), in_flight.next()) else {
            return None;
        };
        let key = self.endpoints.get(&attempt.endpoint)?.route;
        let route = &self.routes[&key];
        let delay = self.p95_latency(key);
        let is_slow = !attempt.cancelled && self.now >= attempt.sent_at + delay;
        let in_time = message.deadline.saturating_sub(self.now) > self.typical_latency(key);
        let needed_slots = if self.settings.max_in_flight > SMALL_IN_FLIGHT_LIMIT {
            2
        } else {
            1
        };
        let has_capacity = self.in_flight + needed_slots <= self.settings.max_in_flight;
        let calm_after = route.pacing_interval.last_increase() + MAX_PACING_INTERVAL;
        let is_paced = route.pacing_interval.get() > 0 || self.now <= calm_after;
        let healthy =
            route.has_recovered(self.now, &self.settings) && route.suspicion < SUSPICION_THRESHOLD;
        let has_samples = self.pooled_latencies.len() >= MIN_LATENCY_SAMPLES;
        if !is_slow || !in_time || !has_capacity || is_paced || !healthy || !has_samples {
            return None;
        }
        let slow = route.in_flight.count_in(..=self.now - delay);
        (slow <= 1 + route.in_flight.len() / 4).then_some(attempt.endpoint)
    }

    /// The median latency of a route: at first that of all routes, which its own samples replace.
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

    /// The p95 latency of a route. With few samples it is the typical latency with the spread of all routes.
    pub(super) fn p95_latency(&self, route: RouteKey) -> Nanos {
        let (own, pooled) = (&self.routes[&route].latencies, &self.pooled_latencies);
        let typical = || self.typical_latency(route);
        let p95 = own.quantile_or_scaled(HEDGE_QUANTILE, MIN_LATENCY_SAMPLES, pooled, typical);
        p95.unwrap_or_else(|| 3 * typical())
    }

    pub(super) fn overdue_after(&self, route: RouteKey) -> Nanos {
        ((self.p95_latency(route) as f64 * OVERDUE_P95_FACTOR) as Nanos).max(MIN_OVERDUE_AGE)
    }
}
