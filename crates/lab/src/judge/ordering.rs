//! [`Rule::Order`]: messages of one ordering key go one at a time, in the order in which they were handed in.

use martenlatch_clock::Millis;

use super::state::{Message, OrderingKey};
use super::{Judge, Rule};

impl Judge {
    /// A call begins for a message: all that was handed in before it with its key must be over, with nothing in flight.
    pub(super) fn check_order(&mut self, id: u64, at: Millis) {
        let Some(message) = self.messages.get(&id) else {
            return;
        };
        let sender = message.sender;
        let Some(key) = message.key else {
            return;
        };
        let queue = self.ordered.entry(OrderingKey { sender, key }).or_default();
        let is_over = |id: &u64| !self.messages.get(id).is_some_and(Message::is_open);
        while queue
            .front()
            .is_some_and(|first| *first != id && is_over(first))
        {
            queue.pop_front();
        }
        if let Some(first) = queue.front().copied()
            && first < id
        {
            let text = format!("sent before message {first} of its key was over");
            self.breach(Rule::Order, Some(id), at, text);
        }
    }
}
