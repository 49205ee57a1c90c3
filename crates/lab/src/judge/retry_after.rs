//! [`Rule::Waits`]: nothing is sent to a partner during its Retry-After.

use martenlatch_clock::Millis;

use super::state::{Call, Route, Told, Wait};
use super::{Judge, Rule, SLACK, TRAVEL};

impl Judge {
    /// Notes that a partner told a sender to wait. A longer wait that was told before holds as well.
    pub(super) fn note_wait(&mut self, call: u64, route: Route, told: Millis, until: Millis) {
        let before = self.waits.get(&route).copied();
        if before.is_none_or(|earlier| until >= earlier.until) {
            self.waits.insert(route, Wait { told, until });
            self.note_reply(told, call, Told::Wait { route, before });
        }
    }

    /// Puts the earlier wait back in the place of one that its sender could not hear of.
    pub(super) fn restore_wait(&mut self, route: Route, before: Option<Wait>) {
        self.waits.remove(&route);
        self.waits.extend(before.map(|wait| (route, wait)));
    }

    /// A call has come to its partner, which its sender may have been told to leave alone.
    pub(super) fn check_wait(&mut self, call: &Call, at: Millis) {
        let Some(Wait { told, until }) = self.waits.get(&call.route()).copied() else {
            return;
        };
        if at > told + TRAVEL + SLACK && at < until - SLACK {
            let Route { sender, partner } = call.route();
            let text = format!(
                "came to partner {partner}, which told sender {sender} at {told:.1} ms to wait until {until:.1} ms"
            );
            self.breach(Rule::Waits, Some(call.message), at, text);
        }
    }
}
