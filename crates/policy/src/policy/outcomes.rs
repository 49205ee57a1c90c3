//! Outcomes of attempts, overdue attempts, and their effects on the state of the endpoint and the route.

use super::*;

impl Policy {
    pub(super) fn end_attempt(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let Event::AttemptEnded {
            id,
            attempt: number,
            outcome,
            took,
            finished,
        } = *event
        else {
            return;
        };
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        let attempt = message.attempts.get_mut(number as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.outcome.is_none()) else {
            return;
        };
        attempt.outcome = Some(outcome);
        message.attempts_exhausted |= outcome == Outcome::AttemptsExhausted;
        self.in_flight -= 1;
        let (endpoint_id, sent_at) = (attempt.endpoint, attempt.sent_at);
        let Some(endpoint) = self.endpoints.get_mut(&endpoint_id) else {
            return;
        };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        // Partners accept few connections, idle ones included: one that is unlikely to be reused is closed.
        if endpoint.in_flight == 0 && !endpoint.connection.is_reused() {
            actions.push(Action::CloseIdle(endpoint_id));
        }
        let route_key = endpoint.route;
        let Some(route) = self.routes.get_mut(&route_key) else {
            return;
        };
        route.in_flight.end(&(id, number));
        if let Some(key) = message.key.filter(|_| outcome.may_still_run()) {
            self.ordering_queues
                .pause_until(key, self.now + self.settings.key_quiet_period);
        }
        // An overdue attempt was already recorded as timed out.
        let already_recorded = attempt.overdue && outcome == Outcome::TimedOut;
        let recorded = if already_recorded {
            Outcome::Cancelled
        } else {
            outcome
        };
        self.record_outcome(endpoint_id, sent_at, recorded, Some(took));
        let jitter = 0.75 + 0.5 * self.random.unit();
        let delay = self.retry_delay(
            route_key,
            self.messages[&id].attempts.len() as Nanos,
            outcome,
        );
        self.message_mut(id).not_before = self.now + (delay as f64 * jitter) as Nanos;
        if finished {
            self.finish(id, actions);
        }
        self.release_ordering_key(id);
    }

    pub(super) fn record_outcome(
        &mut self,
        id: EndpointId,
        sent_at: Nanos,
        outcome: Outcome,
        took: Option<Nanos>,
    ) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        let Some(route) = self.routes.get_mut(&endpoint.route) else {
            return;
        };
        let retry_success_rate = &mut self.retry_success_rate[endpoint.kind.0];
        route.call_counts.count(outcome, now);
        match outcome {
            Outcome::Success => {
                // Durations that include a stall of this process are not latencies.
                if let Some(took) = took.filter(|_| !self.stalled) {
                    route.latencies.record(took);
                    self.pooled_latencies.record(took);
                    endpoint.smoothed_latency.record(took);
                }
                endpoint.consecutive_failures = 0;
                if route.consecutive_rejections > 0 {
                    retry_success_rate.record_success();
                }
                route.record_success(now, sent_at, &self.settings);
            }
            Outcome::Overloaded { retry_after } => {
                // Calls sent before the last increase cause no further one: they were not retries after it.
                if sent_at >= route.pacing_interval.last_increase() {
                    route.record_rejection(now, retry_success_rate, &self.settings);
                }
                route.retry_after_until = route.retry_after_until.max(now + retry_after);
                // A wait longer than a rate limit's means an outage: all senders would return at its end.
                let is_outage = retry_after > self.settings.recovery.overload_window;
                self.record_fault(id, if is_outage { SUSPICION_THRESHOLD } else { 0.0 });
            }
            // A partner that fails also refuses new connections. A lost connection without that is a network
            // fault, and no outage from which the partner would return cold.
            Outcome::ConnectionLost if !route.is_half_open() => endpoint.consecutive_failures += 1,
            Outcome::Failure
            | Outcome::Unreachable
            | Outcome::ConnectionLost
            | Outcome::TimedOut => {
                endpoint.consecutive_failures += 1;
                route.outcome_history.record_failure();
                // Healthy partners sometimes lose a call or respond with an error, but accept connections.
                let is_connection_fault =
                    matches!(outcome, Outcome::Unreachable | Outcome::ConnectionLost);
                self.record_fault(
                    id,
                    if is_connection_fault {
                        SUSPICION_THRESHOLD
                    } else {
                        1.0
                    },
                );
            }
            _ => {}
        }
    }

    /// Adds a fault to the suspicion of a route, and sets its backoff, circuit breaker and slow start.
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
        // Rejected calls may use up a rate limit: the backoff grows with each, and as fewer retries succeed.
        let doublings = route.consecutive_rejections.saturating_sub(1).min(8);
        let scarcity =
            (INITIAL_RETRY_SUCCESS / self.retry_success_rate[endpoint.kind.0].get()).powi(2);
        let after_rejections =
            route.fair_interval(settings).saturating_mul(1 << doublings) as f64 * scarcity;
        let suspected = route.suspicion >= SUSPICION_THRESHOLD;
        let backoff = if suspected {
            max_backoff
        } else {
            max_backoff.min(after_rejections as Nanos)
        };
        let many_senders = max_backoff > 2 * MAX_PROBE_DELAY;
        if route.consecutive_rejections > 0 || (suspected && many_senders) {
            let jitter = if route.retry_after_until > now {
                jitter - 0.5
            } else {
                jitter
            };
            route.backoff_until =
                now.max(route.retry_after_until) + (backoff as f64 * jitter) as Nanos;
        }
        if !many_senders && route.retry_after_until > now + settings.recovery.overload_window {
            // The route is cold when its Retry-After ends: few senders back off too briefly, and overload it.
            route.recovering_since = Some(route.retry_after_until);
        }
        let rejects_long = now
            >= route.rejecting_since + OUTAGE_REJECTION_WINDOWS * settings.recovery.overload_window;
        let rejects_all = rejects_long && route.consecutive_rejections >= OUTAGE_REJECTIONS;
        if route.is_down() {
            let doublings =
                (route.outcome_history.consecutive_failures() - BREAKER_FAILURES).min(4);
            let delay = (FIRST_PROBE_DELAY << doublings).min(MAX_PROBE_DELAY);
            route.backoff_until = route
                .backoff_until
                .max(now + (delay as f64 * jitter) as Nanos);
        } else if route.outcome_history.failures() >= SLOW_START_FAILURES || rejects_all {
            // Paced calls are enough to probe a route that rejects; later ones keep to the slow-start budget.
            route.recovering_since = Some(now.max(route.retry_after_until));
        }
    }

    fn retry_delay(&self, route: RouteKey, attempts: Nanos, outcome: Outcome) -> Nanos {
        let typical = self.typical_latency(route);
        let interval = self.routes[&route].pacing_interval.get().max(PACING_STEP);
        match outcome {
            Outcome::Overloaded { .. } => {
                (interval << (attempts - 1).min(4)).min(MAX_PACING_INTERVAL)
            }
            Outcome::Failure | Outcome::Unreachable | Outcome::ConnectionLost => {
                typical / 2 * attempts
            }
            Outcome::NotSent | Outcome::StaleConnection => typical / 2 * (attempts - 1),
            _ => 0,
        }
    }

    /// Records overdue calls as timed out. Cancels a call that is lost, as a later one has succeeded, or that
    /// keeps others waiting while in-flight slots run short. This may waste a call that is only very slow.
    pub(super) fn handle_overdue_attempts(&mut self, actions: &mut Vec<Action>) {
        let margin = usize::from(self.settings.max_in_flight > SMALL_IN_FLIGHT_LIMIT);
        let others_wait = margin > 0
            || self
                .messages
                .values()
                .any(|message| message.is_ready(self.now));
        let contended = self.in_flight + margin >= self.settings.max_in_flight && others_wait;
        let in_flight = self.messages.iter().flat_map(|(id, message)| {
            let attempts = message
                .in_flight()
                .filter(|(_, attempt)| !attempt.cancelled);
            attempts.map(|(number, _)| (*id, number))
        });
        let in_flight: Vec<(MessageId, usize)> = in_flight.collect();
        for (id, number) in in_flight {
            let message = &self.messages[&id];
            let attempt = &message.attempts[number];
            let (endpoint, sent_at) = (attempt.endpoint, attempt.sent_at);
            let overdue_after = self.overdue_after(self.endpoints[&endpoint].route);
            let newly_overdue = !attempt.overdue && self.now - sent_at > overdue_after;
            let cancel =
                self.settings.may_cancel && self.should_cancel(message, attempt, contended);
            if newly_overdue {
                self.message_mut(id).attempts[number].overdue = true;
                self.record_outcome(endpoint, sent_at, Outcome::TimedOut, None);
            }
            if cancel {
                self.message_mut(id).attempts[number].cancelled = true;
                actions.push(Action::Cancel {
                    id,
                    attempt: number as u32,
                });
            }
        }
    }

    fn should_cancel(&self, message: &Message, attempt: &Attempt, contended: bool) -> bool {
        let endpoint = &self.endpoints[&attempt.endpoint];
        let route = &self.routes[&endpoint.route];
        let age = self.now - attempt.sent_at;
        let overdue_after = self.overdue_after(endpoint.route);
        let lost = route.latest_success_sent_at > attempt.sent_at;
        let older_in_flight = route.in_flight.any_in(..attempt.sent_at);
        let expendable =
            lost || older_in_flight || self.settings.max_in_flight <= SMALL_IN_FLIGHT_LIMIT;
        let can_retry = message.attempts.len() < self.settings.max_attempts as usize
            && self.may_retry_at(message, endpoint);
        let overdue = age > overdue_after && (lost || (contended && expendable));
        let replaceable =
            age > 2 * self.p95_latency(endpoint.route) && (overdue || (lost && contended));
        let given_up = contended && age > 2 * overdue_after && expendable;
        !message.finished && if can_retry { replaceable } else { given_up }
    }
}
