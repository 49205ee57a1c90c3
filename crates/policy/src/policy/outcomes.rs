//! Outcomes of attempts, overdue attempts, and their effects on the state of the endpoint and the route.

use super::*;

impl Policy {
    /// The attempts in flight, each by its message and its number.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = (MessageId, u32)> {
        self.messages.iter().flat_map(|(id, message)| {
            let numbers = message.in_flight().map(|(number, _)| number as u32);
            numbers.map(|number| (*id, number))
        })
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self, id: MessageId, attempt: u32) -> bool {
        let attempts = self.messages.get(&id).map(|message| &message.attempts);
        let attempt = attempts.and_then(|attempts| attempts.get(attempt as usize));
        attempt.is_some_and(|attempt| attempt.outcome.is_none())
    }

    /// The number of attempts in flight.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight
    }

    /// Processes an [`Event::AttemptEnded`]. It is ignored if the attempt is unknown or has already ended.
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
        // Partners accept few connections, including idle ones: a connection that is unlikely to be reused is
        // closed.
        if endpoint.in_flight == 0 && !endpoint.connection.is_reused() {
            actions.push(Action::CloseIdle(endpoint_id));
        }
        let route_key = endpoint.route;
        let Some(route) = self.routes.get_mut(&route_key) else {
            return;
        };
        route.in_flight.end(&(id, number));
        if let Some(key) = message.ordering_key
            && outcome.may_still_run()
        {
            self.ordering_queues
                .pause_until(key, self.now + self.settings.key_quiet_period);
        }
        // An overdue attempt was already recorded as timed out. A cancellation is not held against the route.
        let already_recorded = attempt.overdue && outcome == Outcome::TimedOut;
        let recorded_outcome = if already_recorded {
            Outcome::Cancelled
        } else {
            outcome
        };
        self.record_outcome(endpoint_id, sent_at, recorded_outcome, Some(took));
        let jitter = 0.75 + 0.5 * self.random.unit();
        let attempts = self.messages[&id].attempts.len() as Nanos;
        let delay = self.retry_delay(route_key, attempts, outcome);
        self.message_mut(id).not_before = self.now + (delay as f64 * jitter) as Nanos;
        if finished {
            self.finish(id, actions);
        }
        self.release_ordering_key(id);
    }

    /// Updates the state of an endpoint and its route with the outcome of an attempt. `took` is the duration
    /// of the attempt, and `None` while it is in flight.
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
                // After a stall of this process, durations include the stall and are not latencies.
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
                // A call that was sent before the latest increase of the interval is no retry at the longer
                // interval: its rejection does not increase the interval again.
                if sent_at >= route.pacing_interval.last_increase() {
                    route.record_rejection(now, retry_success_rate, &self.settings);
                }
                route.retry_after_until = route.retry_after_until.max(now + retry_after);
                // A Retry-After that is too long for a rate limit means an outage. Without a backoff, all
                // senders would return together at its end.
                let is_outage = retry_after > self.settings.recovery.overload_window;
                let weight = if is_outage { SUSPICION_THRESHOLD } else { 0.0 };
                self.record_fault(id, weight);
            }
            // A connection that is lost while the route still works is a network fault. An outage breaks one
            // connection after another.
            Outcome::ConnectionLost if !route.is_half_open() => {
                endpoint.consecutive_failures += 1;
                if route.lost_connections.record(sent_at, now) {
                    route.open_if_all_calls_fail();
                    self.record_fault(id, 1.0);
                }
            }
            Outcome::Failure
            | Outcome::Unreachable
            | Outcome::ConnectionLost
            | Outcome::TimedOut => {
                endpoint.consecutive_failures += 1;
                route.outcome_history.record_failure();
                route.open_if_all_calls_fail();
                // Healthy partners sometimes lose a call or respond with an error, but accept connections.
                let is_connection_fault =
                    matches!(outcome, Outcome::Unreachable | Outcome::ConnectionLost);
                let weight = if is_connection_fault {
                    SUSPICION_THRESHOLD
                } else {
                    1.0
                };
                self.record_fault(id, weight);
            }
            _ => {}
        }
    }

    /// Delay, without jitter, of the next attempt of a message that has had this number of attempts.
    fn retry_delay(&self, route: RouteKey, attempts: Nanos, outcome: Outcome) -> Nanos {
        let half_latency = self.typical_latency(route) / 2;
        let pacing_interval = self.routes[&route].pacing_interval.get().max(PACING_STEP);
        match outcome {
            Outcome::Overloaded { .. } => {
                (pacing_interval << (attempts - 1).min(4)).min(MAX_PACING_INTERVAL)
            }
            Outcome::Failure | Outcome::Unreachable | Outcome::ConnectionLost => {
                half_latency * attempts
            }
            Outcome::NotSent | Outcome::StaleConnection => half_latency * (attempts - 1),
            _ => 0,
        }
    }

    /// Records overdue calls as timed out. Cancels calls that are probably lost, as a later one has
    /// succeeded, or that keep others waiting while in-flight slots run short. This may waste a call that is
    /// only very slow.
    pub(super) fn handle_overdue_attempts(&mut self, actions: &mut Vec<Action>) {
        // Unless the in-flight limit is small, slots already run short when one is left, even if no message
        // waits.
        let spare_slots = usize::from(self.settings.max_in_flight > SMALL_IN_FLIGHT_LIMIT);
        let others_may_wait = spare_slots > 0
            || self
                .messages
                .values()
                .any(|message| message.is_ready(self.now));
        let slots_run_short =
            self.in_flight + spare_slots >= self.settings.max_in_flight && others_may_wait;
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
                self.settings.may_cancel && self.should_cancel(message, attempt, slots_run_short);
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

    /// Whether to cancel an attempt in flight. If a retry can follow, the attempt is cancelled once it is
    /// overdue if it is lost or in the way of others, and as soon as it is slow if it is both. If none can
    /// follow, it is cancelled only if it is in the way, and at twice the age at which it became overdue.
    fn should_cancel(&self, message: &Message, attempt: &Attempt, slots_run_short: bool) -> bool {
        let endpoint = &self.endpoints[&attempt.endpoint];
        let route = &self.routes[&endpoint.route];
        let age = self.now - attempt.sent_at;
        let overdue_after = self.overdue_after(endpoint.route);
        // A call that was sent later has succeeded.
        let is_lost = route.latest_success_sent_at > attempt.sent_at;
        let older_in_flight = route.in_flight.any_in(..attempt.sent_at);
        let is_expendable =
            is_lost || older_in_flight || self.settings.max_in_flight <= SMALL_IN_FLIGHT_LIMIT;
        let is_in_the_way = slots_run_short && is_expendable;
        let can_retry = message.attempts.len() < self.settings.max_attempts as usize
            && self.may_retry_at(message, endpoint);
        let cancel_as_overdue = age > overdue_after && (is_lost || is_in_the_way);
        let is_slow = age > 2 * self.p95_latency(endpoint.route);
        let cancel_to_retry = is_slow && (cancel_as_overdue || (is_lost && slots_run_short));
        let cancel_for_good = is_in_the_way && age > 2 * overdue_after;
        let cancel = if can_retry {
            cancel_to_retry
        } else {
            cancel_for_good
        };
        !message.finished && cancel
    }
}
