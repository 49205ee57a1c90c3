//! Messages from acceptance to their final answer: attempts, ordering, permitted retries and load shedding.

use super::*;

/// Share of an idempotency window in which attempts start. The rest is for the way into the endpoint's queue.
const IDEMPOTENCY_WINDOW_SHARE: f64 = 0.85;
/// Largest share of [`Settings::max_open_messages`] that may wait for one destination.
const MAX_WAITING_SHARE: f64 = 0.6;
/// Share of the same limit that is kept free until the next turn: a flood brings several messages a turn.
const FREE_SHARE: f64 = 0.06;

#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) zone: Option<ZoneId>, // `None` for an attempt of an earlier process
    pub(super) sent_at: Nanos,
    pub(super) outcome: Option<Outcome>, // `None` while in flight
    pub(super) cancelled: bool,          // an `Action::Cancel` was returned
    pub(super) overdue: bool,            // already recorded as timed out, though still in flight
}

#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Message {
    pub(super) destination: DestinationId,
    pub(super) class: ClassId,
    pub(super) deadline: Nanos,
    pub(super) key: Option<KeyId>, // the ordering key, if the class is ordered
    pub(super) attempts: Vec<Attempt>,
    pub(super) not_before: Nanos, // earliest start of the next attempt
    pub(super) hedged: bool,
    pub(super) attempts_exhausted: bool, // an attempt ended with `Outcome::AttemptsExhausted`
    pub(super) finished: bool,           // it has its final answer, or needs none
}

impl Message {
    pub(super) fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts
            .iter()
            .enumerate()
            .filter(|(_, attempt)| attempt.outcome.is_none())
    }

    pub(super) fn is_idle(&self) -> bool {
        self.in_flight().next().is_none()
    }

    pub(super) fn is_ready(&self, now: Nanos) -> bool {
        self.is_waiting() && self.not_before <= now
    }

    pub(super) fn is_waiting(&self) -> bool {
        !self.finished && self.is_idle()
    }

    /// Only resumed messages have a `not_before` without an attempt.
    pub(super) fn is_resumed_unsent(&self) -> bool {
        self.attempts.is_empty() && self.not_before > 0
    }

    /// The first attempt that may have run, as no outcome proves that it never ran.
    pub(super) fn first_run(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran()))
    }
}

impl Policy {
    pub(super) fn class_of(&self, message: &Message) -> &MessageClass {
        &self.settings.classes[message.class.0]
    }

    pub(super) fn message_mut(&mut self, id: MessageId) -> &mut Message {
        self.messages
            .get_mut(&id)
            .expect("the caller passes the id of a stored message")
    }

    pub(super) fn accept(&mut self, id: MessageId, mut message: Message) {
        if message.class.0 >= self.settings.classes.len() || self.messages.contains_key(&id) {
            return;
        }
        message.key = message.key.filter(|_| self.class_of(&message).ordered);
        if let Some(key) = message.key {
            self.ordering_queues.push(key, id);
        }
        self.messages.insert(id, message);
    }

    /// Accepts a message of an earlier process. Its first attempt stands for all attempts that may have run.
    pub(super) fn resume(
        &mut self,
        id: MessageId,
        message: Message,
        attempts: u32,
        ran_at: Option<Nanos>,
    ) {
        let Message {
            destination,
            deadline,
            ..
        } = message;
        self.accept(id, message);
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        for number in 0..attempts
            .min(self.settings.max_attempts)
            .max(u32::from(ran_at.is_some()))
        {
            let sent_at = ran_at.filter(|_| number == 0);
            let outcome = Some(if sent_at.is_some() {
                Outcome::ConnectionLost
            } else {
                Outcome::NotSent
            });
            // Its endpoint and zone are no longer known, so no zone is sure to drop a second delivery.
            let (endpoint, sent_at) = (EndpointId(u32::MAX), sent_at.unwrap_or(0));
            message.attempts.push(Attempt {
                endpoint,
                sent_at,
                outcome,
                ..Attempt::default()
            });
        }
        // Senders killed together restart together: first sends are spread over at most half the time left.
        let end = self.retry_deadline(&self.messages[&id]).min(deadline);
        let fair_interval =
            self.min_over_routes(destination, |route| route.fair_interval(&self.settings));
        let longest = fair_interval
            .unwrap_or(0)
            .min(end.saturating_sub(self.now) / 2);
        let delay = longest as f64 * self.random.unit();
        self.message_mut(id).not_before = self.now + delay as Nanos;
    }

    pub(super) fn has_attempts_left(&self, message: &Message) -> bool {
        !message.attempts_exhausted && message.attempts.len() < self.settings.max_attempts as usize
    }

    /// Whether another attempt at an endpoint cannot take effect in addition to one that may have run.
    pub(super) fn may_retry_at(&self, message: &Message, endpoint: &Endpoint) -> bool {
        let idempotency = self.class_of(message).idempotency;
        let per_zone = matches!(
            idempotency,
            Idempotency::IdempotencyKey { per_zone: true, .. }
        );
        let in_zone = message
            .first_run()
            .is_none_or(|first| !per_zone || first.zone == Some(endpoint.zone));
        self.now < self.retry_deadline(message) && in_zone
    }

    /// Latest start of another attempt: after it, a second delivery could take effect.
    pub(super) fn retry_deadline(&self, message: &Message) -> Nanos {
        let used_part = |window: Nanos| (window as f64 * IDEMPOTENCY_WINDOW_SHARE) as Nanos;
        match (message.first_run(), self.class_of(message).idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => Nanos::MAX,
            (_, Idempotency::NonIdempotent) => 0,
            (Some(first), Idempotency::IdempotencyKey { window, .. }) => {
                first.sent_at + used_part(window)
            }
        }
    }

    /// Whether a message is the first of its ordering key, and is not held back by the key's quiet period.
    pub(super) fn is_next_in_order(&self, id: MessageId, message: &Message) -> bool {
        let is_paused =
            |key| message.attempts.is_empty() && self.ordering_queues.is_paused(key, self.now);
        message
            .key
            .is_none_or(|key| self.ordering_queues.is_first(key, &id) && !is_paused(key))
    }

    pub(super) fn finish(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        message.finished = true;
        for (number, attempt) in message.attempts.iter_mut().enumerate() {
            if self.settings.may_cancel && attempt.outcome.is_none() && !attempt.cancelled {
                attempt.cancelled = true;
                actions.push(Action::Cancel {
                    id,
                    attempt: number as u32,
                });
            }
        }
        self.release_ordering_key(id);
    }

    pub(super) fn release_ordering_key(&mut self, id: MessageId) {
        let message = &self.messages[&id];
        if let Some(key) = message
            .key
            .filter(|_| message.finished && message.is_idle())
        {
            self.ordering_queues.remove(key, &id, self.now);
        }
    }

    /// Ends messages that can no longer be delivered, and sheds load where too many wait for one destination.
    pub(super) fn shed_load(&mut self, actions: &mut Vec<Action>) {
        let mut ending: Vec<MessageId> = Vec::new();
        let mut waiting: BTreeMap<DestinationId, Vec<(f64, MessageId)>> = BTreeMap::new();
        for (id, message) in self
            .messages
            .iter()
            .filter(|(_, message)| message.is_waiting())
        {
            if self.is_undeliverable(message) {
                ending.push(*id);
            } else if !message.is_resumed_unsent() {
                waiting
                    .entry(message.destination)
                    .or_default()
                    .push((self.value_at_risk(message), *id));
            }
        }
        let max_open_messages = self.settings.max_open_messages;
        let share_of_limit = |share: f64| (max_open_messages as f64 * share) as usize;
        let max_waiting = share_of_limit(MAX_WAITING_SHARE).max(1);
        let open = self
            .messages
            .values()
            .filter(|message| !message.finished)
            .count()
            - ending.len();
        let missing = (open + share_of_limit(FREE_SHARE) + 1).saturating_sub(max_open_messages);
        for values in waiting.values_mut() {
            let excess_over = |limit: usize| values.len().saturating_sub(limit);
            let excess = missing
                .min(excess_over(max_waiting / 2))
                .max(excess_over(max_waiting));
            values.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
            ending.extend(values.iter().take(excess).map(|(_, id)| *id));
        }
        ending
            .into_iter()
            .for_each(|id| self.reject_or_fail(id, actions));
    }

    /// Whether no further attempt can deliver the message before its deadline.
    fn is_undeliverable(&self, message: &Message) -> bool {
        let margin = 2 * self.settings.turn_interval.max(RECHECK_INTERVAL);
        let route_opens_at = |route: &RouteState| route.backoff_until.max(route.retry_after_until);
        let opens_at = self
            .min_over_routes(message.destination, route_opens_at)
            .unwrap_or(0);
        let may_retry = self.has_attempts_left(message) && self.now < self.retry_deadline(message);
        !may_retry || opens_at.max(self.now) + margin >= message.deadline
    }

    fn reject_or_fail(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let message = &self.messages[&id];
        if self.class_of(message).idempotency.covers_all_endpoints()
            || message.first_run().is_none()
        {
            let retry_after = self.advise_retry_after(message.destination);
            actions.push(Action::Reject { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.finish(id, actions);
    }

    /// Retry-After for a client: when a route is likely to accept the message, up to what clients follow.
    fn advise_retry_after(&mut self, destination: DestinationId) -> Option<Nanos> {
        // Clients rejected together return at different times, and none before the route opens.
        let opens_at = self
            .min_over_routes(destination, RouteState::ready_at)
            .unwrap_or(0);
        let delay = opens_at.saturating_sub(self.now).max(MAX_PACING_INTERVAL);
        let spread = self.random.unit();
        let longest = self.settings.max_retry_after?;
        let least = if delay < longest {
            delay
        } else {
            longest * 3 / 4
        };
        let most = longest.min(delay + delay / 4);
        Some(least + ((most - least) as f64 * spread) as Nanos)
    }
}
