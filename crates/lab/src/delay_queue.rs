//! A queue of future events in the order of their instants. Events at the same instant come in the order in which they
//! were scheduled.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use martenlatch_clock::Millis;

/// A scheduled event.
#[derive(Debug)]
pub struct Scheduled<E> {
    /// When the event is due, in milliseconds from the start of the run.
    pub at: Millis,
    /// The event's number, unique within a queue.
    pub sequence: u64,
    /// The event itself.
    pub event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Scheduled<E>) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Scheduled<E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Scheduled<E>) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.sequence.cmp(&other.sequence))
    }
}

/// A queue of scheduled events.
#[derive(Debug)]
pub struct DelayQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    last_sequence: u64,
}

impl<E> DelayQueue<E> {
    /// Creates an empty queue.
    pub fn new() -> DelayQueue<E> {
        DelayQueue {
            heap: BinaryHeap::new(),
            last_sequence: 0,
        }
    }

    /// Schedules an event.
    pub fn push(&mut self, at: Millis, event: E) {
        self.last_sequence += 1;
        self.heap.push(Reverse(Scheduled {
            at,
            sequence: self.last_sequence,
            event,
        }));
    }

    /// When the next event is due. `None` if the queue is empty.
    pub fn next_at(&self) -> Option<Millis> {
        self.heap.peek().map(|Reverse(next)| next.at)
    }

    /// Removes and returns the event that is due first.
    pub fn pop(&mut self) -> Option<Scheduled<E>> {
        self.heap.pop().map(|Reverse(next)| next)
    }
}

impl<E> Default for DelayQueue<E> {
    fn default() -> DelayQueue<E> {
        DelayQueue::new()
    }
}
