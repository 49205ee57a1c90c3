//! The invariants of a soak, checked against the traffic on the sockets.
//!
//! The oracle reads the records of all clients, endpoints and agents in order of time. It uses a sender's own log for
//! one thing only: a sender that logs a violated safety rule, or a panic, has a defect.

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

/// A message must have its end within this time after its deadline.
const END_GRACE: Millis = 300.0;
/// No end is overdue until this long after a restarted sender is ready.
const RESTART_GRACE: Millis = 1_500.0;
/// Reports that the platform did not confirm must be repeated within this time.
const REPORT_GRACE: Millis = 1_500.0;
/// Requests to a draining endpoint must stop within this time after the sender was notified. Includes [`USUAL_DELAY`].
const DRAIN_GRACE: Millis = 1_050.0;
/// Requests within this time after an answer with a retry-after are permitted.
const RETRY_AFTER_GRACE: Millis = 100.0;
/// How long a sender may usually be delayed between reading its clock and writing.
const USUAL_DELAY: Millis = 150.0;
/// A delivery less than this long before the deadline is uncertain: a sender that was delayed, or has just started, may
/// regard a request as up to 400 ms older than it is. It also reports a message that was answered in the last 50 ms,
/// because it cannot know whether the answer was in time.
const UNCERTAIN_DELIVERY: Millis = 450.0;
/// Added to every limit for the transfer over sockets.
const SOCKET_GRACE: Millis = 50.0;
/// SIGKILL follows SIGTERM no earlier than this; the process must have exited before.
pub const KILL_AFTER_TERMINATE: Millis = 3_700.0;

/// Conditions of the soak itself that the oracle takes into account.
pub struct Conditions<'a> {
    /// The longest delay of the laboratory itself plus the requested slack; extends all limits.
    pub lateness: Millis,
    /// How long endpoints remember idempotency keys.
    pub idempotency_window: Millis,
    /// Whether a sender's system calls failed around an instant, so that the sender may have lost an answer.
    pub calls_failed: &'a dyn Fn(usize, Millis) -> bool,
    /// If the platform confirms no reports of a sender at an instant, when it confirms them again.
    pub unconfirmed_until: &'a dyn Fn(usize, Millis) -> Option<Millis>,
}

/// The status that says that a message is over.
const GONE_STATUS: u16 = 410;
/// A message that ends without an attempt ends early if its deadline is further away than this.
const EARLY_END_MARGIN: Millis = 2_000.0;

/// Checks a history for violations.
pub struct Oracle<'a> {
    conditions: Conditions<'a>,
    messages: BTreeMap<String, MessageProgress>,
    senders: BTreeMap<usize, SenderState>,
    violations: Vec<Violation>,
    figures: Figures,
    starts: usize,
}

impl<'a> Oracle<'a> {
    /// An oracle without records.
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

    /// Judges all records, which must be in order of time. Returns the violations and the figures.
    pub fn judge(mut self, records: &[Record]) -> (Vec<Violation>, Figures) {
        // Outages are collected first, because a kill also excuses events shortly before it.
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
            Event::Unanswered(reason) => self.on_unanswered(record, *reason),
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
            Event::AnswerFollowed { .. } => {}
            Event::AnswerUncertain => self.progress(record).answer_uncertain = true,
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
            // The client has not received the 202, so a report from before this submission is not the message's end.
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

    fn on_unanswered(&mut self, record: &Record, reason: NoAnswerReason) {
        match reason {
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
        let lateness = self.conditions.lateness;
        let delay = self.possible_delay(record.sender, record.at);
        let state = self.senders.entry(record.sender).or_default();
        let draining_since = state.draining_since.get(&endpoint).copied();
        let retry_wait = state.retry_waits.get(&destination).copied();
        // DRAIN_GRACE already includes the usual delay.
        let drain_grace = DRAIN_GRACE + delay - USUAL_DELAY;
        if draining_since.is_some_and(|since| record.at > since + drain_grace + lateness) {
            self.add_violation(Rule::SentToDraining, record);
        }
        let is_too_early = |(written, until): (Millis, Millis)| {
            record.at > written + RETRY_AFTER_GRACE + delay + lateness
                && record.at < until - lateness
        };
        if retry_wait.is_some_and(is_too_early) {
            self.add_violation(Rule::RetryAfterIgnored, record);
        }
        self.judge_timing(record);
    }

    /// Checks that a request may still be sent for its message.
    fn judge_timing(&mut self, record: &Record) {
        let lateness = self.conditions.lateness;
        let delay = self.possible_delay(record.sender, record.at);
        let progress = self.progress(record);
        progress.requests += 1;
        let deadline = progress
            .submitted_at
            .map_or(f64::INFINITY, |at| at + progress.timeout);
        let (delivered, reported) = (progress.delivered_at, progress.reported_at);
        let gone = progress.gone_at;
        let rejected = progress.rejected_at.is_some();
        if record.at > deadline + SOCKET_GRACE + delay + lateness {
            self.add_violation(Rule::ForwardedLate, record);
        }
        if rejected {
            self.add_violation(Rule::ForwardedAfterRejection, record);
        }
        let is_after = |end: Millis| record.at > end + SOCKET_GRACE + delay + lateness;
        let after_report = reported.is_some_and(is_after);
        let may_repeat = self.progress(record).answer_uncertain;
        let after_delivery = delivered.is_some_and(is_after)
            && !may_repeat
            && delivered.is_some_and(|at| self.end_is_known(record.sender, at, record.at));
        // Whatever else may be true, nothing may follow an answer that the message is over.
        let after_gone = gone.is_some_and(is_after)
            && gone.is_some_and(|at| self.end_is_known(record.sender, at, record.at));
        if after_report || after_delivery || after_gone {
            self.add_violation(Rule::ForwardedAfterEnd, record);
        }
    }

    /// Whether a sender certainly knows now about an answer that was written to it earlier.
    fn end_is_known(&self, sender: usize, written: Millis, now: Millis) -> bool {
        let had_outage = self
            .senders
            .get(&sender)
            .is_some_and(|state| state.had_outage(written, now));
        !had_outage && !(self.conditions.calls_failed)(sender, written)
    }

    fn on_request_arrived(&mut self, record: &Record, endpoint: usize, intact: bool, runs: bool) {
        let lateness = self.conditions.lateness;
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
                if record.at > first + window + SOCKET_GRACE + lateness =>
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
            // Stored now, because another submission of the message sets a later deadline.
            progress.surely_delivered = record.at < progress.deadline() - UNCERTAIN_DELIVERY;
        }
        if status == GONE_STATUS {
            progress.gone_at.get_or_insert(record.at);
        }
        let may_be_lost = (self.conditions.calls_failed)(record.sender, record.at);
        if let Some(span) = retry_after.filter(|_| !may_be_lost) {
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
        // Close to the deadline, a sender cannot know whether an answer was in time, and a second end does no harm.
        let is_sure = progress.surely_delivered && !progress.answer_uncertain;
        let delivered = progress.delivered_at.filter(|_| is_sure);
        let Some(delivered) = delivered else {
            return;
        };
        let is_late = record.at > delivered + SOCKET_GRACE + delay + self.conditions.lateness;
        if is_late && self.end_is_known(record.sender, delivered, record.at) {
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

    /// Checks that every accepted message had its end in time.
    fn judge_ends(&mut self) {
        for (id, progress) in &self.messages {
            let Some(submitted_at) = progress.submitted_at.filter(|_| progress.accepted) else {
                continue;
            };
            let deadline = submitted_at + progress.writing + progress.timeout;
            let end = [
                progress.delivered_at,
                progress.gone_at,
                progress.reported_at,
            ]
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
