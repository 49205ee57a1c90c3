//! State of the oracle for each message and each sender.

use std::collections::HashMap;

use martenlatch_clock::Millis;

use super::{Effect, USUAL_DELAY};

/// The effects of a kill may be recorded this much earlier or later than the kill.
const KILL_MARGIN: Millis = 400.0;
/// A process carries out what it decided before a pause within this time after it continues.
const PAUSE_AFTEREFFECT: Millis = 300.0;

/// State of one message.
#[derive(Default)]
pub(super) struct MessageProgress {
    pub sender: usize,
    pub submitted_at: Option<Millis>,
    pub timeout: Millis,
    /// How long its client took to write it; the sender received it at some instant within that time.
    pub writing: Millis,
    pub effect: Option<Effect>,
    pub accepted: bool,
    pub rejected_at: Option<Millis>,
    pub delivered_at: Option<Millis>,
    /// When an endpoint first answered that the message is over.
    pub gone_at: Option<Millis>,
    /// The delivery was early enough that the sender must count it as in time.
    pub surely_delivered: bool,
    pub reported_at: Option<Millis>,
    /// The sender cannot know which answer belongs to the message: a report does no harm, nor does a repeat that has no
    /// further effect.
    pub answer_uncertain: bool,
    pub first_run: Option<Millis>,
    pub first_zone: Option<&'static str>,
    pub requests: usize,
}

/// State of one sender.
#[derive(Default)]
pub(super) struct SenderState {
    /// For each draining endpoint, when the sender was notified.
    pub draining_since: HashMap<usize, Millis>,
    /// For each destination, when its retry-after was written and when the wait ends.
    pub retry_waits: HashMap<usize, (Millis, Millis)>,
    pub kills: Vec<Millis>,
    /// From each signal that ends a process, or its exit, until the next process was ready.
    pub outages: Vec<(Millis, Millis)>,
    /// When the process was paused and when it continued.
    pub pauses: Vec<(Millis, Millis)>,
    pub terminated_at: Option<Millis>,
    pub killed: bool,
}

impl MessageProgress {
    /// The message's deadline; infinity if its submission is not recorded.
    pub fn deadline(&self) -> Millis {
        self.submitted_at
            .map_or(f64::INFINITY, |at| at + self.timeout)
    }
}

impl SenderState {
    /// Whether the process is paused, according to the events so far.
    pub fn is_paused(&self) -> bool {
        self.pauses
            .last()
            .is_some_and(|(from, until)| from == until)
    }

    /// How long the process was paused shortly before an instant, over all pauses.
    pub fn recent_pause_time(&self, at: Millis) -> Millis {
        self.pauses
            .iter()
            .filter(|(from, until)| *from <= at && *until >= at - PAUSE_AFTEREFFECT)
            .map(|(from, until)| until - from)
            .sum()
    }

    /// Whether a pause longer than those of the platform ended after an instant.
    pub fn had_long_pause_since(&self, since: Millis) -> bool {
        self.pauses
            .iter()
            .any(|(from, until)| *until >= since && until - from > USUAL_DELAY)
    }

    /// Whether the sender was ending or restarting at some time in a span.
    pub fn had_outage(&self, from: Millis, until: Millis) -> bool {
        self.outages
            .iter()
            .any(|(begin, end)| *begin <= until + KILL_MARGIN && *end >= from - KILL_MARGIN)
    }

    /// Whether the sender was killed shortly before or after an instant.
    pub fn was_killed_around(&self, at: Millis) -> bool {
        self.kills
            .iter()
            .any(|kill| (kill - at).abs() <= KILL_MARGIN)
    }
}
