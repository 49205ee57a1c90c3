//! The names and ids of an instance's messages.
//!
//! A message is kept until it is finished and has no attempt in flight. After that, neither the caller nor the decision
//! module refers to it.

use std::collections::{BTreeMap, HashMap};

use martenlatch_policy::interface::MessageId;

struct TrackedMessage {
    name: String,
    finished: bool,
    /// Number of attempts that were sent and have not ended.
    in_flight: u32,
}

/// The messages of one instance.
#[derive(Default)]
pub struct Messages {
    messages: BTreeMap<u64, TrackedMessage>,
    ids: HashMap<String, MessageId>,
    next_id: u64,
}

impl Messages {
    /// Adds a message, and returns its new id.
    pub fn add(&mut self, name: &str) -> MessageId {
        let id = MessageId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.to_string(), id);
        self.messages.insert(
            id.0,
            TrackedMessage {
                name: name.to_string(),
                finished: false,
                in_flight: 0,
            },
        );
        id
    }

    /// The id of a message; `None` if the message was never added or has been removed.
    pub fn id(&self, name: &str) -> Option<MessageId> {
        self.ids.get(name).copied()
    }

    /// The name of a message; empty if the message has been removed.
    pub fn name(&self, id: MessageId) -> &str {
        self.messages
            .get(&id.0)
            .map_or("", |message| message.name.as_str())
    }

    /// Records that an attempt was sent.
    pub fn attempt_sent(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id.0) {
            message.in_flight += 1;
        }
    }

    /// Records that an attempt has ended.
    pub fn attempt_ended(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id.0) {
            message.in_flight = message.in_flight.saturating_sub(1);
        }
    }

    /// Records that no further attempt of the message will be sent.
    pub fn finish(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id.0) {
            message.finished = true;
        }
    }

    /// Removes the messages that are finished and have no attempt in flight.
    pub fn remove_finished(&mut self) {
        let ids = &mut self.ids;
        self.messages.retain(|_, message| {
            let keep = !message.finished || message.in_flight > 0;
            if !keep {
                ids.remove(&message.name);
            }
            keep
        });
    }
}
