//! Owns the order of events to come: by instant, and among equal ones in the order in which they were put down.

use std::cmp::Ordering;

use martenlatch_clock::Millis;

/// An event to come.
#[derive(Debug)]
pub struct Timed<E> {
    /// When.
    pub at: Millis,
    /// Its number; never used twice in a queue.
    pub seq: u64,
    /// What.
    pub ev: E,
}

impl<E> PartialEq for Timed<E> {
    fn eq(&self, other: &Timed<E>) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Timed<E> {}

impl<E> PartialOrd for Timed<E> {
    fn partial_cmp(&self, other: &Timed<E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Timed<E> {
    fn cmp(&self, other: &Timed<E>) -> Ordering {
        self.at.total_cmp(&other.at).then(self.seq.cmp(&other.seq))
    }
}
