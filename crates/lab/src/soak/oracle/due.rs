//! When the end of a message is due.

use martenlatch_clock::Millis;

use super::{END_GRACE, Oracle, REPORT_GRACE, RESTART_GRACE, SOCKET_GRACE, USUAL_DELAY};

impl Oracle<'_> {
    /// When a message of a sender must have its end. No end is overdue while the sender restarts or the platform
    /// confirms nothing. Either may begin during the time that the other one adds.
    pub(super) fn end_due_at(&self, sender: usize, deadline: Millis) -> Millis {
        let mut due = deadline + END_GRACE + SOCKET_GRACE;
        loop {
            let later = self.excused_until(sender, due);
            if later <= due {
                return due + self.conditions.lateness;
            }
            due = later;
        }
    }

    /// Until when an end that is due at an instant is excused; that instant itself if nothing excuses it.
    fn excused_until(&self, sender: usize, due: Millis) -> Millis {
        let unconfirmed = (self.conditions.unconfirmed_until)(sender, due);
        let state = self.senders.get(&sender);
        let outages = state.map_or(&[][..], |state| &state.outages);
        let pauses = state.map_or(&[][..], |state| &state.pauses);
        // A long pause while an end is due extends the time for it.
        let long_pauses = pauses
            .iter()
            .filter(|(from, until)| {
                until - from > USUAL_DELAY
                    && *from <= due
                    && *until >= due - END_GRACE - SOCKET_GRACE
            })
            .map(|(_, until)| until + END_GRACE);
        outages
            .iter()
            .filter(|(begin, _)| *begin <= due)
            .map(|(_, end)| end + RESTART_GRACE)
            .chain(unconfirmed.map(|until| until + REPORT_GRACE))
            .chain(long_pauses)
            .fold(due, f64::max)
    }
}
