//! The ids of recently closed messages, by which a message that is submitted again is recognized.

use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

use crate::record::FinalStatus;

/// Maximum number of ids that are remembered. A client may come again some seconds later, and others may hand in
/// thousands of messages a second meanwhile.
const MAX_IDS: usize = 16_384;
/// Maximum number of bytes of all remembered ids.
const MAX_BYTES: usize = 1024 * 1024;

/// Recently closed messages, and the final statuses of those that ended with a status report.
#[derive(Clone, Debug, Default)]
pub struct RecentlyClosed {
    /// Oldest first, without repetitions.
    ids: VecDeque<Rc<str>>,
    /// The same ids.
    index: HashSet<Rc<str>>,
    /// The number of their bytes.
    bytes: usize,
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
        if self.index.insert(id.clone()) {
            self.bytes += id.len();
        } else {
            self.ids.retain(|known| *known != id);
        }
        self.ids.push_back(id);
        while self.ids.len() > MAX_IDS || self.bytes > MAX_BYTES {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.ids.pop_front() {
            self.bytes -= oldest.len();
            self.index.remove(&oldest);
            self.reported.remove(&oldest);
        }
    }

    /// Marks the message that was remembered last as one that ended with the report of this final status.
    pub(crate) fn mark_reported(&mut self, status: FinalStatus) {
        if let Some(id) = self.ids.back() {
            self.reported.insert(id.clone(), status);
        }
    }

    pub(crate) fn ids(&self) -> &VecDeque<Rc<str>> {
        &self.ids
    }

    /// The ids, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<str>> {
        self.ids.iter()
    }

    /// The number of ids.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether there are no ids.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Whether a message with this id was closed recently.
    pub fn contains(&self, id: &Rc<str>) -> bool {
        self.index.contains(id)
    }

    /// The final statuses that were reported, each with the id of its message.
    pub fn reported(&self) -> impl Iterator<Item = (&Rc<str>, FinalStatus)> {
        self.reported.iter().map(|(id, status)| (id, *status))
    }

    /// Adds the final statuses that a predecessor knows, for the ids that are remembered.
    pub fn add_reported(&mut self, statuses: Vec<(Rc<str>, FinalStatus)>) {
        let known = statuses
            .into_iter()
            .filter(|(id, _)| self.index.contains(id));
        self.reported.extend(known);
    }

    /// The final status that was reported for a message. `None` if the message was delivered or is not known.
    pub fn reported_status(&self, id: &Rc<str>) -> Option<FinalStatus> {
        self.reported.get(id).copied()
    }
}
