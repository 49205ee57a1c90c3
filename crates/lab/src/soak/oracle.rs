//! The invariants of a soak, asked of what crossed the sockets and of nothing else.
//!
//! The oracle reads the records of all clients, endpoints and agents in the order of time. It takes no sender's word but
//! for one thing: a sender that logs a violated safety rule, or a panic, has a defect.

mod due;
mod process_events;
mod state;
mod verdict;

use std::collections::BTreeMap;

use martenlatch_clock::Millis;

use super::history::{Effect, Event, NoAnswerReason, Record};
use super::world::zone_of;
use state::{MessageProgress, SenderState};
pub use verdict::{Figures, Rule, Violation};

/// A message must have its end so long after its time is up.
const END_GRACE: Millis = 300.0;
/// No end is overdue until so long after a sender is ready again.
const RESTART_GRACE: Millis = 1_500.0;
/// Reports that the platform did not confirm are repeated within this time.
const REPORT_GRACE: Millis = 1_500.0;
/// Requests to a draining endpoint must stop so long after the sender was told.
const DRAIN_GRACE: Millis = 1_050.0;
/// Requests within this time of the answer that asks for a wait are let through.
const RETRY_AFTER_GRACE: Millis = 100.0;
/// A sender may be held up for so long between reading its clock and writing.
const USUAL_DELAY: Millis = 150.0;
/// A sender that was held up, or has just started, takes a request for up to 400 ms older than it is, and reports an answer
/// in the last 50 ms, too: it cannot know whether that still counts.
const UNCERTAIN_DELIVERY: Millis = 450.0;
/// Every limit is so much longer on sockets.
const SOCKET_GRACE: Millis = 50.0;
/// SIGKILL follows SIGTERM no earlier; the process must have ended before.
pub const KILL_AFTER_TERMINATE: Millis = 3_700.0;

/// What the oracle must know of the soak's own conditions.
pub struct Conditions<'a> {
    /// By how much the laboratory itself was late at most: all limits are longer by this.
    pub lateness: Millis,
    /// How long endpoints remember keys.
    pub idempotency_window: Millis,
    /// Whether a sender's own system calls failed around an instant, so that an answer may have been lost in it.
    pub calls_failed: &'a dyn Fn(usize, Millis) -> bool,
    /// Until when the platform confirms no reports of a sender, if it does not at an instant.
    pub unconfirmed_until: &'a dyn Fn(usize, Millis) -> Option<Millis>,
}

/// Over this time before its deadline, the end of a message without an attempt is early.
const EARLY_END_MARGIN: Millis = 2_000.0;

/// Judges a history.
pub struct Oracle<'a> {
    conditions: Conditions<'a>,
    messages: BTreeMap<String, MessageProgress>,
    senders: BTreeMap<usize, SenderState>,
    violations: Vec<Violation>,
    figures: Figures,
    starts: usize,
}

impl<'a> Oracle<'a> {
    /// An oracle that has seen nothing.
    pub fn new(conditions: Conditions<'a>) -> Oracle<'a> {
        Oracle {
            conditions,
            messages: BTreeMap::new(),
            senders: BTreeMap::new(),
            violations: Vec::new(),
            figures: Figures::default(),
            starts: 0,
        }
    }

    /// Judges all records, which must be in the order of time. Returns the violations and the figures.
    pub fn judge(mut self, records: &[Record]) -> (Vec<Violation>, Figures) {
        // Outages are known from the start: what happens shortly before a kill is excused by it.
        for record in records {
            if let Event::Process(event) = record.event {
                self.collect_process_event(record, event);
            }
        }
        for record in records {
            self.judge_record(record);
        }
        self.judge_ends();
        self.figures.restarts = self.starts.saturating_sub(self.senders.len());
        (self.violations, self.figures)
    }

    fn add_violation(&mut self, rule: Rule, record: &Record) {
        self.violations.push(Violation {
            rule,
            at: record.at,
            sender: record.sender,
            message: record.message.clone(),
        });
    }

    fn judge_record(&mut self, record: &Record) {
        match &record.event {
            Event::Submitted {
                effect,
                timeout,
                writing,
            } => self.on_submitted(record, *effect, *timeout, *writing),
            Event::Answered { status } => self.on_answered(record, *status),
            Event::Unanswered(end) => self.on_unanswered(record, *end),
            Event::BadClientIgnored => self.add_violation(Rule::BadClientIgnored, record),
            Event::RequestBegan {
                endpoint,
                destination,
            } => self.on_request_began(record, *endpoint, *destination),
            Event::RequestArrived {
                endpoint,
                intact,
                runs,
                ..
            } => self.on_request_arrived(record, *endpoint, *intact, *runs),
            Event::Responded {
                destination,
                status,
                retry_after,
            } => self.on_responded(record, *destination, *status, *retry_after),
            Event::Reported { .. } => self.on_reported(record),
            Event::ListTold { endpoint, active } => self.on_list_update(record, *endpoint, *active),
            Event::Process(event) => self.judge_process_event(record, *event),
            Event::LoggedDefect(_) => self.add_violation(Rule::LoggedDefect, record),
        }
    }

    fn progress(&mut self, record: &Record) -> &mut MessageProgress {
        let progress = self.messages.entry(record.message.clone()).or_default();
        progress.sender = record.sender;
        progress
    }

    fn on_submitted(&mut self, record: &Record, effect: Effect, timeout: Millis, writing: Millis) {
        self.figures.requests += 1;
        let progress = self.progress(record);
        if !progress.accepted {
            // Its client has not heard that it is accepted: an end that was reported before counts for nothing.
            progress.reported_at = None;
        }
        progress.submitted_at = Some(record.at);
        progress.timeout = timeout;
        progress.writing = writing;
        progress.effect = Some(effect);
    }

    fn on_answered(&mut self, record: &Record, status: u16) {
        let progress = self.progress(record);
        match status {
            202 => {
                progress.accepted = true;
                self.figures.accepted += 1;
            }
            429 | 503 => progress.rejected_at = Some(record.at),
            _ => {}
        }
    }

    fn on_unanswered(&mut self, record: &Record, end: NoAnswerReason) {
        match end {
            NoAnswerReason::Reset => {}
            NoAnswerReason::TimedOut => self.figures.timed_out += 1,
            NoAnswerReason::EndOfStream => {
                let state = self.senders.entry(record.sender).or_default();
                let excused = state.was_killed_around(record.at)
                    || (self.conditions.calls_failed)(record.sender, record.at);
                if !excused {
                    self.add_violation(Rule::ReadAndDropped, record);
                }
            }
        }
    }

    fn on_request_began(&mut self, record: &Record, endpoint: usize, destination: usize) {
        let late = self.conditions.lateness;
        let delay = self.possible_delay(record.sender, record.at);
        let state = self.senders.entry(record.sender).or_default();
        let told = state.draining_since.get(&endpoint).copied();
        let wait = state.retry_waits.get(&destination).copied();
        // The grace has room for a usual hold-up.
        let drain_grace = DRAIN_GRACE + delay - USUAL_DELAY;
        if told.is_some_and(|told| record.at > told + drain_grace + late) {
            self.add_violation(Rule::SentToDraining, record);
        }
        let waiting = |(written, until): (Millis, Millis)| {
            record.at > written + RETRY_AFTER_GRACE + delay + late && record.at < until - late
        };
        if wait.is_some_and(waiting) {
            self.add_violation(Rule::RetryAfterIgnored, record);
        }
        self.judge_timing(record);
    }

    /// Whether a request may still come for its message.
    fn judge_timing(&mut self, record: &Record) {
        let late = self.conditions.lateness;
        let delay = self.possible_delay(record.sender, record.at);
        let progress = self.progress(record);
        progress.requests += 1;
        let deadline = progress
            .submitted_at
            .map_or(f64::INFINITY, |at| at + progress.timeout);
        let (delivered, reported) = (progress.delivered_at, progress.reported_at);
        let rejected = progress.rejected_at.is_some();
        if record.at > deadline + SOCKET_GRACE + delay + late {
            self.add_violation(Rule::ForwardedLate, record);
        }
        if rejected {
            self.add_violation(Rule::ForwardedAfterRejection, record);
        }
        let after = |end: Millis| record.at > end + SOCKET_GRACE + delay + late;
        let after_report = reported.is_some_and(after);
        let after_delivery = delivered.is_some_and(after)
            && delivered.is_some_and(|at| self.end_is_known(record.sender, at, record.at));
        if after_report || after_delivery {
            self.add_violation(Rule::ForwardedAfterEnd, record);
        }
    }

    /// Whether the sender surely knows at an instant of an answer that was written earlier.
    fn end_is_known(&self, sender: usize, written: Millis, now: Millis) -> bool {
        let had_outage = self
            .senders
            .get(&sender)
            .is_some_and(|state| state.had_outage(written, now));
        !had_outage && !(self.conditions.calls_failed)(sender, written)
    }

    fn on_request_arrived(&mut self, record: &Record, endpoint: usize, intact: bool, runs: bool) {
        let late = self.conditions.lateness;
        let window = self.conditions.idempotency_window;
        if !intact {
            self.add_violation(Rule::Altered, record);
        }
        let progress = self.progress(record);
        let first_run = progress.first_run;
        let first_zone = progress.first_zone;
        if runs {
            progress.first_run.get_or_insert(record.at);
            progress.first_zone.get_or_insert(zone_of(endpoint));
        }
        let effect = super::world::Message::from_id(&record.message).map(|message| message.effect);
        match (effect, first_run) {
            (Some(Effect::NonIdempotent), Some(_)) => {
                self.add_violation(Rule::RepeatedNonIdempotent, record);
            }
            (Some(Effect::KeyedInZone), Some(_)) if first_zone != Some(zone_of(endpoint)) => {
                self.add_violation(Rule::RepeatedInOtherZone, record);
            }
            (Some(Effect::Keyed | Effect::KeyedInZone), Some(first))
                if record.at > first + window + SOCKET_GRACE + late =>
            {
                self.add_violation(Rule::RepeatedOutsideWindow, record);
            }
            _ => {}
        }
    }

    fn on_responded(
        &mut self,
        record: &Record,
        destination: usize,
        status: u16,
        retry_after: Option<Millis>,
    ) {
        let progress = self.progress(record);
        let in_time = record.at <= progress.deadline() + progress.writing;
        if status == 200 && in_time && progress.delivered_at.is_none() {
            progress.delivered_at = Some(record.at);
            // Handed in again, a message has a later deadline, which says nothing of this delivery.
            progress.surely_delivered = record.at < progress.deadline() - UNCERTAIN_DELIVERY;
        }
        let lost = (self.conditions.calls_failed)(record.sender, record.at);
        if let Some(span) = retry_after.filter(|_| !lost) {
            let state = self.senders.entry(record.sender).or_default();
            let wait = state
                .retry_waits
                .entry(destination)
                .or_insert((record.at, 0.0));
            if record.at + span > wait.1 {
                *wait = (record.at, record.at + span);
            }
        }
    }

    fn on_reported(&mut self, record: &Record) {
        let delay = self.possible_delay(record.sender, record.at);
        let progress = self.progress(record);
        progress.reported_at.get_or_insert(record.at);
        // As the time runs out, a sender cannot know whether an answer still counts, and a second end does no harm.
        let delivered = progress.delivered_at.filter(|_| progress.surely_delivered);
        let Some(delivered) = delivered else {
            return;
        };
        let known = record.at > delivered + SOCKET_GRACE + delay + self.conditions.lateness;
        if known && self.end_is_known(record.sender, delivered, record.at) {
            self.add_violation(Rule::TwoEnds, record);
        }
    }

    fn on_list_update(&mut self, record: &Record, endpoint: usize, active: bool) {
        let state = self.senders.entry(record.sender).or_default();
        if active {
            state.draining_since.remove(&endpoint);
        } else {
            state.draining_since.entry(endpoint).or_insert(record.at);
        }
    }

    /// Every accepted message must have its end, in its time.
    fn judge_ends(&mut self) {
        for (id, progress) in &self.messages {
            let Some(submitted_at) = progress.submitted_at.filter(|_| progress.accepted) else {
                continue;
            };
            let deadline = submitted_at + progress.writing + progress.timeout;
            let end = [progress.delivered_at, progress.reported_at]
                .into_iter()
                .flatten()
                .fold(f64::INFINITY, f64::min);
            self.figures.delivered += usize::from(progress.delivered_at.is_some());
            if let Some(reported_at) = progress.reported_at {
                self.figures.reported += 1;
                let early = progress.requests == 0 && reported_at < deadline - EARLY_END_MARGIN;
                self.figures.ended_early += usize::from(early);
            }
            if end > self.end_due_at(progress.sender, deadline) {
                self.violations.push(Violation {
                    rule: Rule::Lost,
                    at: deadline,
                    sender: progress.sender,
                    message: id.clone(),
                });
            }
        }
    }
}

#[cfg(test)]
mod tests;
