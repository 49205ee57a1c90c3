//! Start times of operations in progress, by id.

use std::ops::RangeBounds;

use serde::{Deserialize, Serialize};

use crate::interface::Nanos;

/// Ids of operations in progress with their start times, in the order in which they were added.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct StartTimes<Id>(Vec<(Id, Nanos)>);

impl<Id> Default for StartTimes<Id> {
    fn default() -> Self {
        StartTimes(Vec::new())
    }
}

impl<Id: PartialEq> StartTimes<Id> {
    /// Adds an operation that starts at an instant.
    pub(crate) fn start(&mut self, id: Id, at: Nanos) {
        self.0.push((id, at));
    }

    /// Removes an operation.
    pub(crate) fn end(&mut self, id: &Id) {
        self.0.retain(|(other, _)| other != id);
    }

    /// Number of operations in progress.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no operation is in progress.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of operations that started within a range of instants.
    pub(crate) fn count_in(&self, range: impl RangeBounds<Nanos>) -> usize {
        self.0.iter().filter(|(_, at)| range.contains(at)).count()
    }

    /// Whether any operation started within a range of instants.
    pub(crate) fn any_in(&self, range: impl RangeBounds<Nanos>) -> bool {
        self.0.iter().any(|(_, at)| range.contains(at))
    }
}
