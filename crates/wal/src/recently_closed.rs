//! The ids of recently closed messages, by which a message that is handed in again is recognized.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use crate::record::FinalStatus;

/// Most ids that are remembered.
const MAX_REMEMBERED: usize = 512;

/// Recently closed messages, and the final statuses of those that ended by a report.
#[derive(Clone, Debug, Default)]
pub struct RecentlyClosed {
    /// Oldest first.
    ids: VecDeque<Rc<str>>,
    reported: HashMap<Rc<str>, FinalStatus>,
}

impl RecentlyClosed {
    /// What a predecessor has passed on. It does not pass final statuses; those of the log count.
    pub(crate) fn passed(ids: VecDeque<Rc<str>>, logged: RecentlyClosed) -> RecentlyClosed {
        let mut reported = logged.reported;
        reported.retain(|id, _| ids.contains(id));
        RecentlyClosed { ids, reported }
    }

    /// Remembers the id of a message that is closed, and forgets the oldest one where there are too many.
    pub(crate) fn remember(&mut self, id: Rc<str>) {
        if self.reported.remove(&id).is_some() {
            self.ids.retain(|known| *known != id);
        }
        self.ids.push_back(id);
        if self.ids.len() > MAX_REMEMBERED
            && let Some(oldest) = self.ids.pop_front()
        {
            self.reported.remove(&oldest);
        }
    }

    /// The message that was remembered last has ended by the report of a final status.
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

    /// How many ids there are.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether there is no id.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Whether a message of this id was closed.
    pub fn contains(&self, id: &Rc<str>) -> bool {
        self.ids.contains(id)
    }

    /// The final status that was reported of a message; none if it was delivered, or if nothing is known.
    pub fn reported_status(&self, id: &Rc<str>) -> Option<FinalStatus> {
        self.reported.get(id).copied()
    }
}
