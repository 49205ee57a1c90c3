//! The ids of recently closed messages, by which a message that is handed in again is recognized.

use std::collections::VecDeque;
use std::rc::Rc;

/// Most ids that are remembered.
const MAX_REMEMBERED: usize = 512;

/// Remembers the id of a message that is closed, and forgets the oldest one where there are too many.
pub(crate) fn remember(recently_closed: &mut VecDeque<Rc<str>>, id: Rc<str>) {
    recently_closed.push_back(id);
    if recently_closed.len() > MAX_REMEMBERED {
        recently_closed.pop_front();
    }
}
