//! Messages that continue: those of an earlier process, and those that had not ended after all.

use super::*;

impl Policy {
    /// Continues a message whose attempts have not ended as reported: none has finished it, and each that
    /// seemed never to have run may have run.
    fn reopen(&mut self, id: MessageId) {
        let message = self.message_mut(id);
        message.finished = false;
        message.attempts_exhausted = false;
        for attempt in &mut message.attempts {
            if attempt.outcome.is_some_and(Outcome::never_ran) {
                attempt.outcome = Some(Outcome::ConnectionLost);
            }
        }
    }

    /// Accepts a message of an earlier process, or opens one again. In the first case, its first attempt
    /// represents all attempts that may have run.
    pub(super) fn resume(
        &mut self,
        id: MessageId,
        message: Message,
        attempts: u32,
        may_have_run_since: Option<Nanos>,
    ) {
        if self.messages.contains_key(&id) {
            return self.reopen(id);
        }
        let (destination, deadline) = (message.destination, message.deadline);
        self.accept(id, message);
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        let at_least = u32::from(may_have_run_since.is_some());
        let attempts = attempts.min(self.settings.max_attempts).max(at_least);
        for number in 0..attempts {
            let possible_run = may_have_run_since.filter(|_| number == 0);
            let outcome = possible_run.map_or(Outcome::NotSent, |_| Outcome::ConnectionLost);
            // The endpoint and zone are unknown, so that no zone is sure to drop a second delivery.
            message.attempts.push(Attempt {
                endpoint: EndpointId(u32::MAX),
                sent_at: possible_run.unwrap_or(0),
                outcome: Some(outcome),
                ..Attempt::default()
            });
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
