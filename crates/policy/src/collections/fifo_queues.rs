//! First-in, first-out queues by key, which can be paused.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::interface::Nanos;

/// Queues by key. A key that has no queue counts as empty and not paused.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct FifoQueues<K: Ord, T>(BTreeMap<K, Queue<T>>);

#[derive(Debug, Serialize, Deserialize)]
struct Queue<T> {
    items: VecDeque<T>,
    paused_until: Nanos,
}

impl<K: Ord, T> Default for FifoQueues<K, T> {
    fn default() -> Self {
        FifoQueues(BTreeMap::new())
    }
}

impl<K: Ord, T: PartialEq> FifoQueues<K, T> {
    /// Adds an item at the end of a key's queue.
    pub(crate) fn push(&mut self, key: K, item: T) {
        let new = Queue {
            items: VecDeque::new(),
            paused_until: 0,
        };
        self.0.entry(key).or_insert(new).items.push_back(item);
    }

    /// Whether the item is the first of its queue, or the key has no queue.
    pub(crate) fn is_first(&self, key: K, item: &T) -> bool {
        self.0
            .get(&key)
            .is_none_or(|queue| queue.items.front() == Some(item))
    }

    /// Whether the queue of a key is paused at an instant.
    pub(crate) fn is_paused(&self, key: K, now: Nanos) -> bool {
        self.0
            .get(&key)
            .is_some_and(|queue| now < queue.paused_until)
    }

    /// Pauses a queue, if it exists, at least until an instant.
    pub(crate) fn pause_until(&mut self, key: K, until: Nanos) {
        if let Some(queue) = self.0.get_mut(&key) {
            queue.paused_until = queue.paused_until.max(until);
        }
    }

    /// Removes an item, and then all queues that are empty and no longer paused.
    pub(crate) fn remove(&mut self, key: K, item: &T, now: Nanos) {
        if let Some(queue) = self.0.get_mut(&key) {
            queue.items.retain(|queued| queued != item);
        }
        self.0
            .retain(|_, queue| !queue.items.is_empty() || queue.paused_until > now);
    }
}
