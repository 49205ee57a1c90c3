//! Outcomes of attempts, overdue attempts included, and what they say of the endpoint and the route.

use super::*;

impl Policy {
    pub(super) fn end_attempt(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let Event::AttemptEnded { id, attempt: number, outcome, took, finished } = *event else { return };
        let Some(message) = self.messages.get_mut(&id) else { return };
        let attempt = message.attempts.get_mut(number as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.outcome.is_none()) else { return };
        attempt.outcome = Some(outcome);
        message.attempts_exhausted |= outcome == Outcome::AttemptsExhausted;
        self.in_flight -= 1;
        let (at, sent_at) = (attempt.endpoint, attempt.sent_at);
        let Some(endpoint) = self.endpoints.get_mut(&at) else { return };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        // Partners take few connections, idle ones counted: one not soon used again is given back.
        if endpoint.in_flight == 0 && !endpoint.connection.is_reused() {
            actions.push(Action::CloseIdle(at));
        }
        let route_key = endpoint.route;
        let Some(route) = self.routes.get_mut(&route_key) else { return };
        route.in_flight.end(&(id, number));
        if let Some(key) = message.key.filter(|_| outcome.may_still_run()) {
            self.ordering_queues.pause_until(key, self.now + self.settings.key_quiet_period);
        }
        // An overdue attempt was counted when it became so.
        let counted = attempt.overdue && outcome == Outcome::TimedOut;
        self.learn(at, sent_at, if counted { Outcome::Cancelled } else { outcome }, Some(took));
        let jitter = 0.75 + 0.5 * self.random.unit();
        let delay = self.retry_delay(route_key, self.messages[&id].attempts.len() as Nanos, outcome);
        self.message_mut(id).not_before = self.now + (delay as f64 * jitter) as Nanos;
        if finished {
            self.finish(id, actions);
        }
        self.release_ordering_key(id);
    }

    pub(super) fn learn(&mut self, at: EndpointId, sent_at: Nanos, outcome: Outcome, took: Option<Nanos>) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(&at) else { return };
        let Some(route) = self.routes.get_mut(&endpoint.route) else { return };
        let retry_success_rate = &mut self.retry_success_rate[endpoint.kind.0];
        route.call_counts.count(outcome, now);
        match outcome {
            Outcome::Success => {
                // Times measured across a stall say nothing of a latency.
                if let Some(took) = took.filter(|_| !self.stalled) {
                    route.latencies.learn(took);
                    self.pooled_latencies.learn(took);
                    endpoint.smoothed_latency.record(took);
                }
                endpoint.consecutive_failures = 0;
                if route.consecutive_rejections > 0 {
                    retry_success_rate.record_success();
                }
                route.record_success(now, sent_at, &self.settings);
            }
            Outcome::Overloaded { retry_after } => {
                // At most one increase for the calls sent before the last: they were no retries.
                if sent_at >= route.pacing_interval.last_increase() {
                    route.record_rejection(now, retry_success_rate, &self.settings);
                }
                route.retry_after_until = route.retry_after_until.max(now + retry_after);
                // A wait longer than a limit's tells of an outage: all who were told would come at its end.
                let is_outage = retry_after > self.settings.recovery.overload_window;
                self.record_fault(at, if is_outage { SUSPICION_THRESHOLD } else { 0.0 });
            }
            // A partner that dies refuses its next connections: a reset alone, where these come up, is the
            // network's, and no outage that the partner would come back cold from.
            Outcome::ConnectionLost if !route.is_half_open() => endpoint.consecutive_failures += 1,
            Outcome::Failure | Outcome::Unreachable | Outcome::ConnectionLost | Outcome::TimedOut => {
                endpoint.consecutive_failures += 1;
                route.outcome_history.record_failure();
                // Well partners lose a call or answer an error now and then, but they take connections.
                let is_gone = matches!(outcome, Outcome::Unreachable | Outcome::ConnectionLost);
                self.record_fault(at, if is_gone { SUSPICION_THRESHOLD } else { 1.0 });
            }
            _ => {}
        }
    }

    /// Counts a fault of a weight against a route, and sets its backoff, circuit breaker and slow start.
    pub(super) fn record_fault(&mut self, at: EndpointId, weight: f64) {
        let jitter = 0.5 + self.random.unit();
        let (now, settings, endpoint) = (self.now, &self.settings, &self.endpoints[&at]);
        let route = self.routes.get_mut(&endpoint.route).expect("each listed endpoint has a route");
        route.suspicion += weight;
        route.last_failure = now;
        let max_backoff = route.budget_interval(route.budget_after(0, settings), settings);
        // Rejected calls may use up a limit: back off longer with each, and the longer the fewer retries pay.
        let doublings = route.consecutive_rejections.saturating_sub(1).min(8);
        let scarcity = (INITIAL_RETRY_SUCCESS / self.retry_success_rate[endpoint.kind.0].get()).powi(2);
        let rejected = route.fair_interval(settings).saturating_mul(1 << doublings) as f64 * scarcity;
        let suspected = route.suspicion >= SUSPICION_THRESHOLD;
        let backoff = if suspected { max_backoff } else { max_backoff.min(rejected as Nanos) };
        let many_senders = max_backoff > 2 * MAX_PROBE_DELAY;
        if route.consecutive_rejections > 0 || (suspected && many_senders) {
            let jitter = if route.retry_after_until > now { jitter - 0.5 } else { jitter };
            route.backoff_until = now.max(route.retry_after_until) + (backoff as f64 * jitter) as Nanos;
        }
        if !many_senders && route.retry_after_until > now + settings.recovery.overload_window {
            // It said when it opens, and is cold then: few senders back off too briefly, and overload it.
            route.recovering_since = Some(route.retry_after_until);
        }
        let rejects_long =
            now >= route.rejecting_since + REJECTING_WINDOWS * settings.recovery.overload_window;
        let rejects_all = rejects_long && route.consecutive_rejections >= REJECTING_RUN;
        if route.is_down() {
            let doublings = (route.outcome_history.consecutive_failures() - BREAKER_FAILURES).min(4);
            let delay = (FIRST_PROBE_DELAY << doublings).min(MAX_PROBE_DELAY);
            route.backoff_until = route.backoff_until.max(now + (delay as f64 * jitter) as Nanos);
        } else if route.outcome_history.failures() >= SLOW_START_FAILURES || rejects_all {
            // Pacing probes enough where calls are rejected; what is sent then keeps to the budget.
            route.recovering_since = Some(now.max(route.retry_after_until));
        }
    }

    fn retry_delay(&self, route: RouteKey, attempts: Nanos, outcome: Outcome) -> Nanos {
        let typical = self.typical_latency(route);
        let interval = self.routes[&route].pacing_interval.get().max(PACING_STEP);
        match outcome {
            Outcome::Overloaded { .. } => (interval << (attempts - 1).min(4)).min(MAX_PACING_INTERVAL),
            Outcome::Failure | Outcome::Unreachable | Outcome::ConnectionLost => typical / 2 * attempts,
            Outcome::NotSent | Outcome::StaleConnection => typical / 2 * (attempts - 1),
            _ => 0,
        }
    }

    /// A call long unanswered is a bad outcome. Where a later one was served it is lost, and where slots run
    /// short it keeps others waiting: it is cancelled. May waste a call that is only very slow.
    pub(super) fn handle_overdue_attempts(&mut self, actions: &mut Vec<Action>) {
        let margin = usize::from(self.settings.max_in_flight > SMALL_IN_FLIGHT_LIMIT);
        let is_needed = margin > 0 || self.messages.values().any(|message| message.is_ready(self.now));
        let contended = self.in_flight + margin >= self.settings.max_in_flight && is_needed;
        let in_flight = self.messages.iter().flat_map(|(id, message)| {
            let attempts = message.in_flight().filter(|(_, attempt)| !attempt.cancelled);
            attempts.map(|(number, _)| (*id, number))
        });
        let in_flight: Vec<(MessageId, usize)> = in_flight.collect();
        for (id, number) in in_flight {
            let message = &self.messages[&id];
            let attempt = &message.attempts[number];
            let (at, sent_at) = (attempt.endpoint, attempt.sent_at);
            let overdue_after = self.overdue_after(self.endpoints[&at].route);
            let newly_overdue = !attempt.overdue && self.now - sent_at > overdue_after;
            let cancel = self.settings.may_cancel && self.should_cancel(message, attempt, contended);
            if newly_overdue {
                self.message_mut(id).attempts[number].overdue = true;
                self.learn(at, sent_at, Outcome::TimedOut, None);
            }
            if cancel {
                self.message_mut(id).attempts[number].cancelled = true;
                actions.push(Action::Cancel { id, attempt: number as u32 });
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
        let expendable = lost || older_in_flight || self.settings.max_in_flight <= SMALL_IN_FLIGHT_LIMIT;
        let can_retry = message.attempts.len() < self.settings.max_attempts as usize
            && self.may_retry_at(message, endpoint);
        let overdue = age > overdue_after && (lost || (contended && expendable));
        let replaceable = age > 2 * self.p95_latency(endpoint.route) && (overdue || (lost && contended));
        let given_up = contended && age > 2 * overdue_after && expendable;
        !message.finished && if can_retry { replaceable } else { given_up }
    }
}
