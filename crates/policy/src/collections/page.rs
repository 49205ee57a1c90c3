//! Reads a large map page by page.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// Reads up to `max_entries` entries that follow the key `after`. Returns the results of `read`, and, if more
/// entries follow, the last key that was read.
///
/// Entries for which `read` returns `None` count towards the limit, so that each page costs the same.
pub(crate) fn read_page<K: Ord + Copy, V, T>(
    map: &BTreeMap<K, V>,
    after: Option<K>,
    max_entries: usize,
    read: impl Fn(K, &V) -> Option<T>,
) -> (Vec<T>, Option<K>) {
    let mut entries = map.range((after.map_or(Unbounded, Excluded), Unbounded));
    let mut items = Vec::new();
    let mut last = None;
    for (key, value) in entries.by_ref().take(max_entries) {
        last = Some(*key);
        items.extend(read(*key, value));
    }
    (items, last.filter(|_| entries.next().is_some()))
}
