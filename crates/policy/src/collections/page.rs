//! Reading a large map page by page.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// Reads up to `most` entries after a key, and returns what `read` made of them; and the last key read, if more follow.
///
/// The limit counts the entries for which `read` gives nothing, so that a page costs the same however many these are.
pub(crate) fn page<K: Ord + Copy, V, T>(
    map: &BTreeMap<K, V>, after: Option<K>, most: usize, read: impl Fn(K, &V) -> Option<T>,
) -> (Vec<T>, Option<K>) {
    let mut entries = map.range((after.map_or(Unbounded, Excluded), Unbounded));
    let mut items = Vec::new();
    let mut last = None;
    for (key, value) in entries.by_ref().take(most) {
        last = Some(*key);
        items.extend(read(*key, value));
    }
    (items, last.filter(|_| entries.next().is_some()))
}
