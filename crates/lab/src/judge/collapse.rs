//! [`Rule::NoneToppled`]: senders that saw a partner fail do not make it collapse while it warms up after an outage.

use std::collections::HashSet;

use martenlatch_clock::Millis;

use super::state::{Call, RecentCall};
use super::{Judge, Rule};
use crate::model::partner::COLLAPSE_WINDOW;

/// The share of a partner's recent calls from which on the senders that saw it fail are to blame for its collapse:
/// `BLAMED_PARTS` of `ALL_PARTS`, that is two thirds.
const BLAMED_PARTS: usize = 2;
const ALL_PARTS: usize = 3;

impl Judge {
    /// An outage of a partner begins or ends.
    pub(super) fn outage_changed(&mut self, partner: u32, in_outage: bool) {
        if !in_outage {
            self.partners_in_outage.remove(&partner);
        } else if self.partners_in_outage.insert(partner) {
            self.saw_failure.remove(&partner);
        }
    }

    /// A call of a sender has failed. If its partner is in an outage, the sender has seen the outage.
    pub(super) fn record_failure_seen(&mut self, call: &Call) {
        if self.partners_in_outage.contains(&call.partner) {
            let seen_by = self.saw_failure.entry(call.partner).or_default();
            seen_by.insert(call.sender);
        }
    }

    /// Records a call, and removes the calls that are too old to contribute to a collapse.
    pub(super) fn record_recent_call(&mut self, partner: u32, sender: u32, at: Millis) {
        let recent = self.recent_calls.entry(partner).or_default();
        recent.push_back(RecentCall { at, sender });
        while recent
            .front()
            .is_some_and(|oldest| oldest.at < at - COLLAPSE_WINDOW)
        {
            recent.pop_front();
        }
    }

    /// A partner that was warming up has collapsed under its calls.
    pub(super) fn partner_collapsed(&mut self, partner: u32, at: Millis) {
        let nobody = HashSet::new();
        let seen_by = self.saw_failure.get(&partner).unwrap_or(&nobody);
        let recent = self.recent_calls.get(&partner);
        let all = recent.map_or(0, |calls| calls.len());
        let blamed = recent
            .into_iter()
            .flatten()
            .filter(|call| seen_by.contains(&call.sender))
            .count();
        if all > 0 && blamed * ALL_PARTS >= all * BLAMED_PARTS {
            let text = format!(
                "partner {partner} collapsed; {blamed} of {all} calls came from senders that saw it fail"
            );
            self.record_breach(Rule::NoneToppled, None, at, text);
        }
    }
}
