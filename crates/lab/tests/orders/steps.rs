//! The steps of an order, and how the fleet performs them.

use martenlatch_clock::{Millis, nanos};
use martenlatch_lab::event_log::{CallFailure, EventKind};
use martenlatch_lab::judge::Rule;
use martenlatch_lab::model::partner::Reply;
use martenlatch_policy::interface::{Event, Outcome};

use crate::fleet::{Fleet, KEYED, SENDERS};

/// Time between two steps of an order.
const STEP_INTERVAL: Millis = 10.0;
/// Number of intervals without answers after the last step.
const FINAL_INTERVALS: usize = 20;
/// Length of such an interval.
const FINAL_INTERVAL: Millis = 500.0;

/// Selects the call in flight that a step affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallSelector {
    Oldest,
    Newest,
}

/// A step of an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// A client submits a message. Fields: sender, class, partner.
    Submit(usize, u32, u32),
    /// A client submits a message to a sender, and leaves before its 202.
    SubmitAndLeave(usize),
    /// The partner answers the call with success.
    Succeed(CallSelector),
    /// The partner answers the call with an error.
    Fail(CallSelector),
    /// The partner rejects the call as overloaded, with a Retry-After.
    Reject(CallSelector, Millis),
    /// The connection of the call is reset.
    Reset(CallSelector),
    /// The endpoint answers the call with 410: the message is withdrawn.
    Withdraw(CallSelector),
    /// Time passes.
    Wait(Millis),
    /// All senders are notified that an endpoint drains.
    Drain(u32),
    /// The outage of a partner begins.
    BeginOutage(u32),
    /// The outage of a partner ends.
    EndOutage(u32),
    /// The process of a sender is killed.
    Kill(usize),
    /// The process of a sender is started.
    Start(usize),
}

/// A call that times out at an instant.
#[derive(Clone, Copy)]
struct CallTimeout {
    at: Millis,
    call: u64,
}

/// A sender whose decision module is woken at an instant.
#[derive(Clone, Copy)]
struct SenderWake {
    at: Millis,
    sender: usize,
}

impl Fleet {
    /// Advances the time by `duration`. Timeouts and wakes happen in the order of time, a timeout before a wake at the
    /// same instant.
    pub fn advance_time(&mut self, duration: Millis) {
        let until = self.now + duration;
        loop {
            let timeout = self.next_timeout();
            let wake = self.next_wake();
            let timeout_at = timeout.map_or(f64::INFINITY, |timeout| timeout.at);
            let wake_at = wake.map_or(f64::INFINITY, |wake| wake.at);
            let at = timeout_at.min(wake_at);
            if at > until {
                break;
            }
            self.now = self.now.max(at);
            match (timeout, wake) {
                (Some(timeout), _) if timeout.at <= at => {
                    self.lose_call(timeout.call, CallFailure::TimedOut, Outcome::TimedOut);
                }
                (_, Some(wake)) => {
                    self.senders[wake.sender].wake_at = None;
                    self.run_turns(wake.sender, vec![Event::Wake]);
                }
                _ => unreachable!("a timeout or a wake is due"),
            }
        }
        self.now = until;
    }

    fn next_timeout(&self) -> Option<CallTimeout> {
        let timeouts = self.calls.iter().map(|(call, state)| CallTimeout {
            at: state.times_out_at,
            call: *call,
        });
        timeouts.min_by(|left, right| left.at.total_cmp(&right.at))
    }

    fn next_wake(&self) -> Option<SenderWake> {
        let senders = self.senders.iter().enumerate();
        let wakes = senders.filter_map(|(sender, state)| {
            let at = state.wake_at?;
            Some(SenderWake { at, sender })
        });
        wakes.min_by(|left, right| left.at.total_cmp(&right.at))
    }

    /// Performs a step.
    pub fn perform(&mut self, step: Step) {
        match step {
            Step::Submit(sender, class, partner) => self.submit(sender, class, partner, true),
            Step::SubmitAndLeave(sender) => self.submit(sender, KEYED, 0, false),
            Step::Succeed(selector) => {
                self.answer_selected_call(selector, Reply::Served, Outcome::Success)
            }
            Step::Fail(selector) => {
                self.answer_selected_call(selector, Reply::Failed, Outcome::Failure)
            }
            Step::Reject(selector, retry_after) => {
                let overloaded = Outcome::Overloaded {
                    retry_after: nanos(retry_after),
                };
                let reply = Reply::Rejected(Some(retry_after));
                self.answer_selected_call(selector, reply, overloaded);
            }
            Step::Reset(selector) => {
                self.lose_selected_call(selector, CallFailure::Reset, Outcome::ConnectionLost)
            }
            Step::Withdraw(selector) => {
                self.lose_selected_call(selector, CallFailure::NeverSent, Outcome::NotSent)
            }
            Step::Wait(duration) => self.advance_time(duration),
            Step::Drain(endpoint) => self.drain(endpoint),
            Step::BeginOutage(partner) => {
                self.in_outage.insert(partner);
                self.recovered_at.remove(&partner);
                self.record(EventKind::Outage {
                    partner,
                    in_outage: true,
                });
            }
            Step::EndOutage(partner) => self.end_outage(partner),
            Step::Kill(sender) => self.kill(sender),
            Step::Start(sender) => self.start(sender),
        }
    }

    fn drain(&mut self, endpoint: u32) {
        self.draining.insert(endpoint);
        self.coverage.drains += 1;
        for sender in 0..SENDERS {
            if self.senders[sender].policy.is_some() {
                self.record_listed_endpoint(sender, endpoint);
                let change = Event::EndpointChanges(vec![self.endpoint_entry(endpoint)]);
                self.run_turns(sender, vec![change]);
            }
        }
    }

    fn end_outage(&mut self, partner: u32) {
        if self.in_outage.remove(&partner) {
            self.recovered_at.insert(partner, self.now);
            let out = false;
            self.record(EventKind::Outage {
                partner,
                in_outage: out,
            });
        }
    }

    /// The rules that are broken so far. Records an event first, so that the judge knows the time even if nothing else
    /// happens.
    pub fn broken_rules(&mut self) -> Vec<Rule> {
        self.record(EventKind::SenderJoined { sender: 0 });
        self.judge.counts.keys().copied().collect()
    }

    /// Runs an order to its end, and checks the rules after each step.
    pub fn run_order(&mut self, order: &[Step]) {
        for (index, step) in order.iter().enumerate() {
            self.perform(*step);
            self.advance_time(STEP_INTERVAL);
            let broken_rules = self.broken_rules();
            assert!(
                broken_rules.is_empty(),
                "{broken_rules:?} broken after step {index} of {order:?}"
            );
        }
        for sender in 0..SENDERS {
            self.start(sender);
        }
        // No more answers come: all messages and calls must end without them.
        for _ in 0..FINAL_INTERVALS {
            self.advance_time(FINAL_INTERVAL);
            let broken_rules = self.broken_rules();
            assert!(
                broken_rules.is_empty(),
                "{broken_rules:?} broken at the end of {order:?}"
            );
        }
        let held = self.senders.iter().flat_map(|sender| sender.held.values());
        let open_messages = held.filter(|message| message.open).count();
        assert_eq!(
            (open_messages, self.calls.len()),
            (0, 0),
            "open messages and calls after {order:?}"
        );
    }
}
