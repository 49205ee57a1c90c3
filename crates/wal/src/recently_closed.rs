//! The ids of recently closed messages, by which a message that is submitted again is recognized.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use crate::record::FinalStatus;

/// Maximum number of ids that are remembered. A client may come again some seconds later, and others may hand in
/// thousands of messages a second meanwhile.
const MAX_IDS: usize = 16_384;
/// Maximum number of bytes of all remembered ids.
const MAX_BYTES: usize = 1024 * 1024;

/// The number of closed messages up to which outdated entries of the order are not worth removing.
const MIN_ORDER_LENGTH: usize = 1_024;

/// The end of a message. An entry of the order is outdated once its message has been closed again.
#[derive(Clone, Debug)]
struct Closed {
    id: Rc<str>,
    sequence: u64,
}

/// Recently closed messages, and the final statuses of those that ended with a status report.
#[derive(Clone, Debug, Default)]
pub struct RecentlyClosed {
    /// Oldest first, with outdated entries.
    order: VecDeque<Closed>,
    /// The sequence number of each remembered id.
    latest: HashMap<Rc<str>, u64>,
    /// The number of bytes of the remembered ids.
    bytes: usize,
    next_sequence: u64,
    reported: HashMap<Rc<str>, FinalStatus>,
}

impl RecentlyClosed {
    /// The ids that a predecessor passed on. It does not pass on final statuses, so these are taken from `logged`, the
    /// recently closed messages that were read from the log.
    pub(crate) fn from_predecessor(
        ids: VecDeque<Rc<str>>,
        logged: RecentlyClosed,
    ) -> RecentlyClosed {
        let mut closed = RecentlyClosed::default();
        for id in ids {
            closed.remember(id);
        }
        closed.add_reported(logged.reported.into_iter().collect());
        closed
    }

    /// Remembers the id of a closed message, and forgets the oldest ids that exceed [`MAX_IDS`] or [`MAX_BYTES`].
    pub(crate) fn remember(&mut self, id: Rc<str>) {
        self.reported.remove(&id);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.latest.insert(id.clone(), sequence).is_none() {
            self.bytes += id.len();
        }
        self.order.push_back(Closed { id, sequence });
        while self.latest.len() > MAX_IDS || self.bytes > MAX_BYTES {
            self.forget_oldest();
        }
        if self.order.len() > MIN_ORDER_LENGTH.max(2 * self.latest.len()) {
            let latest = &self.latest;
            self.order.retain(|closed| is_latest(latest, closed));
        }
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        if is_latest(&self.latest, &oldest) {
            self.bytes -= oldest.id.len();
            self.latest.remove(&oldest.id);
            self.reported.remove(&oldest.id);
        }
    }

    /// Marks the message that was remembered last as one that ended with the report of this final status.
    pub(crate) fn mark_reported(&mut self, status: FinalStatus) {
        if let Some(closed) = self.order.back() {
            self.reported.insert(closed.id.clone(), status);
        }
    }

    /// The ids, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<str>> {
        self.order
            .iter()
            .filter(|closed| is_latest(&self.latest, closed))
            .map(|closed| &closed.id)
    }

    /// The number of ids.
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// Whether there are no ids.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }

    /// Whether a message with this id was closed recently.
    pub fn contains(&self, id: &Rc<str>) -> bool {
        self.latest.contains_key(id)
    }

    /// The final statuses that were reported, each with the id of its message.
    pub fn reported(&self) -> impl Iterator<Item = (&Rc<str>, FinalStatus)> {
        self.reported.iter().map(|(id, status)| (id, *status))
    }

    /// Adds the final statuses that a predecessor knows, for the ids that are remembered.
    pub fn add_reported(&mut self, statuses: Vec<(Rc<str>, FinalStatus)>) {
        let known = statuses
            .into_iter()
            .filter(|(id, _)| self.latest.contains_key(id));
        self.reported.extend(known);
    }

    /// The final status that was reported for a message. `None` if the message was delivered or is not known.
    pub fn reported_status(&self, id: &Rc<str>) -> Option<FinalStatus> {
        self.reported.get(id).copied()
    }
}

/// Whether an entry of the order is not outdated.
fn is_latest(latest: &HashMap<Rc<str>, u64>, closed: &Closed) -> bool {
    latest.get(&closed.id) == Some(&closed.sequence)
}
