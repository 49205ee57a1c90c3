//! Messages that continue: those of an earlier process, and those that had not ended after all.

use super::*;

impl Attempt {
    /// An attempt that is over, of which only this is known.
    fn from_past(past: &PastAttempt) -> Attempt {
        let outcome = if past.may_have_run {
            Outcome::ConnectionLost
        } else {
            Outcome::NotSent
        };
        Attempt {
            endpoint: EndpointId(u32::MAX),
            zone: past.zone,
            sent_at: past.sent_at,
            outcome: Some(outcome),
            ..Attempt::default()
        }
    }
}

impl Policy {
    /// Continues a message that this process holds: none of its attempts has finished it. An attempt that
    /// seemed never to have run may have run if the caller says so. What is known of the others stays.
    fn reopen(&mut self, id: MessageId, past_attempts: &[PastAttempt]) {
        let message = self.message_mut(id);
        message.finished = false;
        message.attempts_exhausted = false;
        for (attempt, past) in message.attempts.iter_mut().zip(past_attempts) {
            let seemed_never_run = attempt.outcome.is_some_and(Outcome::never_ran);
            if past.may_have_run && seemed_never_run {
                attempt.outcome = Some(Outcome::ConnectionLost);
            }
        }
        let unknown_attempts = past_attempts.iter().skip(message.attempts.len());
        let added: Vec<Attempt> = unknown_attempts.map(Attempt::from_past).collect();
        message.attempts.extend(added);
    }

    /// Whether this sender holds a message that has no final answer yet.
    pub fn holds_open(&self, id: MessageId) -> bool {
        self.messages
            .get(&id)
            .is_some_and(|message| !message.finished)
    }

    /// The zones of a message's attempts, in the order of the attempts; `None` where the zone is unknown.
    /// Empty if this sender does not hold the message.
    pub fn attempt_zones(&self, id: MessageId) -> Vec<Option<ZoneId>> {
        let message = self.messages.get(&id);
        let attempts = message.into_iter().flat_map(|message| &message.attempts);
        attempts.map(|attempt| attempt.zone).collect()
    }

    /// Accepts a message of an earlier process, or opens one again.
    pub(super) fn resume(
        &mut self,
        id: MessageId,
        message: Message,
        past_attempts: &[PastAttempt],
    ) {
        if self.messages.contains_key(&id) {
            return self.reopen(id, past_attempts);
        }
        let (destination, deadline) = (message.destination, message.deadline);
        let attempts = past_attempts.iter().map(Attempt::from_past).collect();
        self.accept(
            id,
            Message {
                attempts,
                ..message
            },
        );
        if !self.messages.contains_key(&id) {
            return;
        }
        // Senders killed together restart together. Their first sends are spread over the fair interval, but
        // over no more than half of the time left.
        let end = self.retry_deadline(&self.messages[&id]).min(deadline);
        let fair_interval =
            self.min_over_routes(destination, |route| route.fair_interval(&self.settings));
        let longest_delay = fair_interval
            .unwrap_or(0)
            .min(end.saturating_sub(self.now) / 2);
        let delay = longest_delay as f64 * self.random.unit();
        self.message_mut(id).not_before = self.now + delay as Nanos;
    }
}
