//! [`Rule::Waits`]: nothing is sent to a partner during its Retry-After.

use martenlatch_clock::Millis;

use super::state::{Call, ReplyEffect, RetryAfter, Route};
use super::{Judge, MAX_TRAVEL_TIME, Rule, SLACK};

impl Judge {
    /// Records a Retry-After that a partner sent to a sender. An earlier one that ends later stays in force.
    pub(super) fn record_retry_after(
        &mut self,
        call: u64,
        route: Route,
        sent_at: Millis,
        until: Millis,
    ) {
        let previous = self.retry_after.get(&route).copied();
        if previous.is_none_or(|earlier| until >= earlier.until) {
            self.retry_after
                .insert(route, RetryAfter { sent_at, until });
            self.record_reply(sent_at, call, ReplyEffect::RetryAfter { route, previous });
        }
    }

    /// Restores the previous Retry-After in place of one that its sender may not have received.
    pub(super) fn restore_retry_after(&mut self, route: Route, previous: Option<RetryAfter>) {
        self.retry_after.remove(&route);
        self.retry_after
            .extend(previous.map(|earlier| (route, earlier)));
    }

    /// Checks, when a call reaches its partner, that its sender knew of no Retry-After of that partner.
    pub(super) fn check_retry_after(&mut self, call: &Call, at: Millis) {
        let Some(RetryAfter { sent_at, until }) = self.retry_after.get(&call.route()).copied()
        else {
            return;
        };
        if at > sent_at + MAX_TRAVEL_TIME + SLACK && at < until - SLACK {
            let Route { sender, partner } = call.route();
            let text = format!(
                "reached partner {partner}, which sent sender {sender} at {sent_at:.1} ms a Retry-After until {until:.1} ms"
            );
            self.record_breach(Rule::Waits, Some(call.message), at, text);
        }
    }
}
