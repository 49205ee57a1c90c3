//! Messages from acceptance to their final answer: attempts, ordering, permitted retries and load shedding.

use super::*;

/// Largest share of [`Settings::max_open_messages`] that may wait for one destination.
const MAX_WAITING_SHARE: f64 = 0.6;
/// Share of [`Settings::max_open_messages`] that is kept free until the next turn, as a flood brings several
/// messages a turn.
const FREE_SHARE: f64 = 0.06;

/// State of an attempt.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    /// `None` for an attempt of an earlier process.
    pub(super) zone: Option<ZoneId>,
    pub(super) sent_at: Nanos,
    /// `None` while in flight.
    pub(super) outcome: Option<Outcome>,
    /// Whether an [`Action::Cancel`] was returned.
    pub(super) cancelled: bool,
    /// Whether the attempt was recorded as timed out before it ended.
    pub(super) overdue: bool,
}

/// State of a message.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Message {
    pub(super) destination: DestinationId,
    pub(super) class: ClassId,
    pub(super) deadline: Nanos,
    /// Set only if the class is ordered.
    pub(super) ordering_key: Option<KeyId>,
    pub(super) attempts: Vec<Attempt>,
    /// Earliest start of the next attempt.
    pub(super) not_before: Nanos,
    pub(super) hedged: bool,
    /// Whether an attempt ended with [`Outcome::AttemptsExhausted`].
    pub(super) attempts_exhausted: bool,
    /// Whether the message has its final answer, or needs none.
    pub(super) finished: bool,
}

impl Message {
    /// The attempts in flight, with their numbers.
    pub(super) fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts
            .iter()
            .enumerate()
            .filter(|(_, attempt)| attempt.outcome.is_none())
    }

    /// Whether no attempt is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight().next().is_none()
    }

    /// Whether the message waits, and its next attempt may start now.
    pub(super) fn is_ready(&self, now: Nanos) -> bool {
        self.is_waiting() && self.not_before <= now
    }

    /// Whether the message needs an attempt and has none in flight.
    pub(super) fn is_waiting(&self) -> bool {
        !self.finished && self.is_idle()
    }

    /// Whether an earlier process accepted the message and never sent it. Only such messages have a
    /// `not_before` without having had an attempt.
    pub(super) fn is_resumed_unsent(&self) -> bool {
        self.attempts.is_empty() && self.not_before > 0
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

    /// Stores a new message. It is ignored if its id is already in use or its class is unknown.
    pub(super) fn accept(&mut self, id: MessageId, mut message: Message) {
        if message.class.0 >= self.settings.classes.len() || self.messages.contains_key(&id) {
            return;
        }
        let is_ordered = self.class_of(&message).ordered;
        message.ordering_key = message.ordering_key.filter(|_| is_ordered);
        if let Some(key) = message.ordering_key {
            self.ordering_queues.push(key, id);
        }
        self.messages.insert(id, message);
    }

    pub(super) fn has_attempts_left(&self, message: &Message) -> bool {
        !message.attempts_exhausted && message.attempts.len() < self.settings.max_attempts as usize
    }

    /// Whether a message is the first of its ordering key, and its first attempt would not be in the key's
    /// quiet period. A message without a key is always next.
    pub(super) fn is_next_in_order(&self, id: MessageId, message: &Message) -> bool {
        let is_paused =
            |key| message.attempts.is_empty() && self.ordering_queues.is_paused(key, self.now);
        message
            .ordering_key
            .is_none_or(|key| self.ordering_queues.is_first(key, &id) && !is_paused(key))
    }

    /// Ends a message that has its final answer or needs none, and cancels its attempts in flight.
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

    /// Lets the next message of an ordering key follow, if this one is finished and has nothing in flight.
    pub(super) fn release_ordering_key(&mut self, id: MessageId) {
        let message = &self.messages[&id];
        let is_released = message.finished && message.is_idle();
        if let Some(key) = message.ordering_key.filter(|_| is_released) {
            self.ordering_queues.remove(key, &id, self.now);
        }
    }

    /// Ends messages that can no longer be delivered, and sheds load where too many wait for one destination.
    pub(super) fn shed_load(&mut self, actions: &mut Vec<Action>) {
        let mut to_end: Vec<MessageId> = Vec::new();
        let mut waiting: BTreeMap<DestinationId, Vec<(f64, MessageId)>> = BTreeMap::new();
        for (id, message) in self
            .messages
            .iter()
            .filter(|(_, message)| message.is_waiting())
        {
            if self.is_undeliverable(message) {
                to_end.push(*id);
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
        let unfinished = self.messages.values().filter(|message| !message.finished);
        let open = unfinished.count() - to_end.len();
        let surplus = (open + share_of_limit(FREE_SHARE) + 1).saturating_sub(max_open_messages);
        for messages in waiting.values_mut() {
            let excess_over = |limit: usize| messages.len().saturating_sub(limit);
            // Each destination sheds what exceeds its limit, and the surplus down to half of its limit.
            let shed_count = surplus
                .min(excess_over(max_waiting / 2))
                .max(excess_over(max_waiting));
            messages.sort_by(|(a_value, a_id), (b_value, b_id)| {
                a_value.total_cmp(b_value).then(b_id.cmp(a_id))
            });
            to_end.extend(messages.iter().take(shed_count).map(|(_, id)| *id));
        }
        to_end
            .into_iter()
            .for_each(|id| self.reject_or_fail(id, actions));
    }

    /// Whether no further attempt is allowed, or none could start early enough before the deadline.
    fn is_undeliverable(&self, message: &Message) -> bool {
        let margin = 2 * self.settings.turn_interval.max(RECHECK_INTERVAL);
        let route_opens_at = |route: &RouteState| route.backoff_until.max(route.retry_after_until);
        let opens_at = self
            .min_over_routes(message.destination, route_opens_at)
            .unwrap_or(0);
        let may_send_again =
            self.has_attempts_left(message) && self.now < self.retry_deadline(message);
        !may_send_again || opens_at.max(self.now) + margin >= message.deadline
    }

    /// Gives a message its final answer: a rejection if the client may safely retry, else a failure.
    fn reject_or_fail(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let message = &self.messages[&id];
        let idempotency = self.class_of(message).idempotency;
        if idempotency.covers_all_endpoints() || !message.may_have_run() {
            let retry_after = self.advise_retry_after(message.destination);
            actions.push(Action::Reject { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.finish(id, actions);
    }

    /// Retry-After for a client: the time until a route is likely to accept the message, limited to the
    /// longest Retry-After that clients follow.
    fn advise_retry_after(&mut self, destination: DestinationId) -> Option<Nanos> {
        // Clients rejected together return at different times, and none before the route opens.
        let opens_at = self
            .min_over_routes(destination, RouteState::ready_at)
            .unwrap_or(0);
        let delay = opens_at.saturating_sub(self.now).max(MAX_PACING_INTERVAL);
        let spread = self.random.unit();
        let limit = self.settings.max_retry_after?;
        let shortest = if delay < limit { delay } else { limit * 3 / 4 };
        let longest = limit.min(delay + delay / 4);
        Some(shortest + ((longest - shortest) as f64 * spread) as Nanos)
    }
}
