//! What the oracle knows of each message and of each sender.

use std::collections::HashMap;

use martenlatch_clock::Millis;

use super::{Effect, USUAL_DELAY};

/// What ends at a kill is seen so much earlier or later.
const KILL_MARGIN: Millis = 400.0;
/// What a process decided before it was stopped is done within this time of its going on.
const PAUSE_AFTEREFFECT: Millis = 300.0;
/// What is known of one message.
#[derive(Default)]
pub(super) struct MessageProgress {
    pub sender: usize,
    pub submitted_at: Option<Millis>,
    pub timeout: Millis,
    /// How long its client took to write it: its time began at some instant of that.
    pub writing: Millis,
    pub effect: Option<Effect>,
    pub accepted: bool,
    pub rejected_at: Option<Millis>,
    pub delivered_at: Option<Millis>,
    /// The delivery came so early that its sender had to count it.
    pub surely_delivered: bool,
    pub reported_at: Option<Millis>,
    pub first_run: Option<Millis>,
    pub first_zone: Option<&'static str>,
    pub requests: usize,
}

/// What is known of one sender.
#[derive(Default)]
pub(super) struct SenderState {
    /// When each endpoint that drains was told to.
    pub draining_since: HashMap<usize, Millis>,
    /// For each destination, when its wait was written and when it ends.
    pub retry_waits: HashMap<usize, (Millis, Millis)>,
    pub kills: Vec<Millis>,
    /// From each signal that ends a process to the instant when the next one was ready.
    pub outages: Vec<(Millis, Millis)>,
    /// When the process was stopped, and when it went on.
    pub pauses: Vec<(Millis, Millis)>,
    pub terminated_at: Option<Millis>,
    pub killed: bool,
}

impl MessageProgress {
    /// When the message's time is up; never if it is not known.
    pub fn deadline(&self) -> Millis {
        self.submitted_at
            .map_or(f64::INFINITY, |at| at + self.timeout)
    }
}

impl SenderState {
    /// For how long the process was stopped shortly before an instant.
    pub fn recent_pause_time(&self, at: Millis) -> Millis {
        self.pauses
            .iter()
            .filter(|(from, until)| *from <= at && *until >= at - PAUSE_AFTEREFFECT)
            .map(|(from, until)| until - from)
            .sum()
    }

    /// Whether the process was stopped for longer than the platform does, behind an instant.
    pub fn had_long_pause_since(&self, since: Millis) -> bool {
        self.pauses
            .iter()
            .any(|(from, until)| *until >= since && until - from > USUAL_DELAY)
    }

    /// Whether the sender was ended or restarted in a span of time.
    pub fn had_outage(&self, from: Millis, until: Millis) -> bool {
        self.outages
            .iter()
            .any(|(begin, end)| *begin <= until + KILL_MARGIN && *end >= from - KILL_MARGIN)
    }

    /// Whether the sender was killed at about an instant.
    pub fn was_killed_around(&self, at: Millis) -> bool {
        self.kills
            .iter()
            .any(|kill| (kill - at).abs() <= KILL_MARGIN)
    }
}
