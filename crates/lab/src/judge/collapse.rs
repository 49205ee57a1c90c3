//! [`Rule::NoneToppled`]: no partner that warms up after an outage is made to collapse by senders that saw it fail.

use std::collections::HashSet;

use martenlatch_clock::Millis;

use super::state::{Call, RecentCall};
use super::{Judge, Rule};
use crate::model::partner::COLLAPSE_WINDOW;

/// Senders that saw a partner fail are to blame from this part of its recent calls on: two thirds.
const BLAMED_PARTS: usize = 2;
const ALL_PARTS: usize = 3;

impl Judge {
    /// An outage of a partner begins, or ends.
    pub(super) fn outage_changed(&mut self, partner: u32, out: bool) {
        if !out {
            self.out.remove(&partner);
        } else if self.out.insert(partner) {
            self.saw_failing.remove(&partner);
        }
    }

    /// A call of a sender has failed, which shows it that its partner is out where it is.
    pub(super) fn note_failure_seen(&mut self, call: &Call) {
        if self.out.contains(&call.partner) {
            let seen_by = self.saw_failing.entry(call.partner).or_default();
            seen_by.insert(call.sender);
        }
    }

    /// Remembers a call for as long as it counts for a collapse.
    pub(super) fn note_recent_call(&mut self, partner: u32, sender: u32, at: Millis) {
        let recent = self.recent_calls.entry(partner).or_default();
        recent.push_back(RecentCall { at, sender });
        while recent
            .front()
            .is_some_and(|oldest| oldest.at < at - COLLAPSE_WINDOW)
        {
            recent.pop_front();
        }
    }

    /// A partner that warms up has collapsed under its calls.
    pub(super) fn collapsed(&mut self, partner: u32, at: Millis) {
        let nobody = HashSet::new();
        let seen_by = self.saw_failing.get(&partner).unwrap_or(&nobody);
        let recent = self.recent_calls.get(&partner);
        let all = recent.map_or(0, |calls| calls.len());
        let blamed = recent
            .into_iter()
            .flatten()
            .filter(|call| seen_by.contains(&call.sender))
            .count();
        if all > 0 && blamed * ALL_PARTS >= all * BLAMED_PARTS {
            let text = format!(
                "partner {partner} fell over; {blamed} of {all} calls came from senders that saw it fail"
            );
            self.breach(Rule::NoneToppled, None, at, text);
        }
    }
}
