//! [`Rule::Order`]: messages with the same ordering key are sent one at a time, in the order of their submission.

use martenlatch_clock::Millis;

use super::state::{Message, OrderingKey};
use super::{Judge, Rule};

impl Judge {
    /// Checks, when a call starts, that all messages submitted earlier with the same ordering key are finished and have
    /// no call in flight.
    pub(super) fn check_order(&mut self, id: u64, at: Millis) {
        let Some(message) = self.messages.get(&id) else {
            return;
        };
        let sender = message.sender;
        let Some(key) = message.key else {
            return;
        };
        let queue = self
            .ordering_queues
            .entry(OrderingKey { sender, key })
            .or_default();
        let is_finished = |id: &u64| !self.messages.get(id).is_some_and(Message::is_open);
        while queue
            .front()
            .is_some_and(|first| *first != id && is_finished(first))
        {
            queue.pop_front();
        }
        if let Some(first) = queue.front().copied()
            && first < id
        {
            let text =
                format!("sent before message {first} with the same ordering key was finished");
            self.record_breach(Rule::Order, Some(id), at, text);
        }
    }
}
