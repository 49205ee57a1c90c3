//! The steps of an order, and how the fleet takes them.

use martenlatch_clock::{Millis, nanos};
use martenlatch_lab::event_log::{CallFailure, EventKind};
use martenlatch_lab::judge::Rule;
use martenlatch_lab::model::partner::Reply;
use martenlatch_policy::interface::{Event, Outcome};

use crate::fleet::{Fleet, KEYED, SENDERS};

/// Between two steps of an order.
const STEP_INTERVAL: Millis = 10.0;
/// After the last step, nobody answers any more for so many intervals of so long.
const LAST_INTERVALS: usize = 20;
const LAST_INTERVAL: Millis = 500.0;

/// Which of the calls in flight a step is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pick {
    Oldest,
    Newest,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// A client hands a message in: sender, class, partner.
    HandIn(usize, u32, u32),
    /// A client hands a message in to a sender, and has left before its 202.
    Leave(usize),
    Served(Pick),
    Failed(Pick),
    /// With a Retry-After.
    Overloaded(Pick, Millis),
    Reset(Pick),
    /// 410.
    Withdrawn(Pick),
    Wait(Millis),
    /// All senders are notified that an endpoint drains.
    Drain(u32),
    /// A partner's outage.
    OutageBegins(u32),
    OutageEnds(u32),
    Kill(usize),
    Start(usize),
}

/// A call whose time is up at an instant.
#[derive(Clone, Copy)]
struct DueCall {
    at: Millis,
    call: u64,
}

/// A sender that wants to be woken at an instant.
#[derive(Clone, Copy)]
struct DueWake {
    at: Millis,
    sender: usize,
}

impl Fleet {
    /// Time goes by: wakes and time-outs come in their order; of two at the same instant, the time-out.
    pub fn pass(&mut self, span: Millis) {
        let until = self.now + span;
        loop {
            let call = self.next_timeout();
            let wake = self.next_wake();
            let call_at = call.map_or(f64::INFINITY, |call| call.at);
            let wake_at = wake.map_or(f64::INFINITY, |wake| wake.at);
            let at = call_at.min(wake_at);
            if at > until {
                break;
            }
            self.now = self.now.max(at);
            match (call, wake) {
                (Some(due), _) if due.at <= at => {
                    self.lose(due.call, CallFailure::TimedOut, Outcome::TimedOut);
                }
                (_, Some(due)) => {
                    self.senders[due.sender].wake_at = None;
                    self.turn(due.sender, vec![Event::Wake]);
                }
                _ => unreachable!("one of them is due"),
            }
        }
        self.now = until;
    }

    fn next_timeout(&self) -> Option<DueCall> {
        let due = self.calls.iter().map(|(call, state)| DueCall {
            at: state.due,
            call: *call,
        });
        due.min_by(|left, right| left.at.total_cmp(&right.at))
    }

    fn next_wake(&self) -> Option<DueWake> {
        let senders = self.senders.iter().enumerate();
        let due = senders.filter_map(|(sender, state)| {
            let at = state.wake_at?;
            Some(DueWake { at, sender })
        });
        due.min_by(|left, right| left.at.total_cmp(&right.at))
    }

    /// Takes a step.
    pub fn take(&mut self, step: Step) {
        match step {
            Step::HandIn(sender, class, partner) => self.hand_in(sender, class, partner, true),
            Step::Leave(sender) => self.hand_in(sender, KEYED, 0, false),
            Step::Served(pick) => self.answer(pick, Reply::Served, Outcome::Success),
            Step::Failed(pick) => self.answer(pick, Reply::Failed, Outcome::Failure),
            Step::Overloaded(pick, wait) => {
                let retry_after = nanos(wait);
                let overloaded = Outcome::Overloaded { retry_after };
                self.answer(pick, Reply::Refused(Some(wait)), overloaded);
            }
            Step::Reset(pick) => {
                self.lose_picked(pick, CallFailure::Reset, Outcome::ConnectionLost)
            }
            Step::Withdrawn(pick) => {
                self.lose_picked(pick, CallFailure::NeverSent, Outcome::NotSent)
            }
            Step::Wait(span) => self.pass(span),
            Step::Drain(endpoint) => self.drain(endpoint),
            Step::OutageBegins(partner) => {
                self.out.insert(partner);
                self.recovered_at.remove(&partner);
                self.fact(EventKind::Outage {
                    partner,
                    in_outage: true,
                });
            }
            Step::OutageEnds(partner) => self.end_outage(partner),
            Step::Kill(sender) => self.kill(sender),
            Step::Start(sender) => self.start(sender),
        }
    }

    fn drain(&mut self, endpoint: u32) {
        self.draining.insert(endpoint);
        self.seen.drains += 1;
        for sender in 0..SENDERS {
            if self.senders[sender].policy.is_some() {
                self.listed(sender, endpoint);
                let change = Event::EndpointChanges(vec![self.entry(endpoint)]);
                self.turn(sender, vec![change]);
            }
        }
    }

    fn end_outage(&mut self, partner: u32) {
        if self.out.remove(&partner) {
            self.recovered_at.insert(partner, self.now);
            let out = false;
            self.fact(EventKind::Outage {
                partner,
                in_outage: out,
            });
        }
    }

    /// What is broken so far; the judge is told the time, as nothing else may happen any more.
    pub fn broken(&mut self) -> Vec<Rule> {
        self.fact(EventKind::SenderJoined { sender: 0 });
        self.judge.counts.keys().copied().collect()
    }

    /// Takes the steps of an order to its end; the rules are looked at after each.
    pub fn play(&mut self, order: &[Step]) {
        for (at, step) in order.iter().enumerate() {
            self.take(*step);
            self.pass(STEP_INTERVAL);
            let broken = self.broken();
            assert!(
                broken.is_empty(),
                "{broken:?} after event {at} of {order:?}"
            );
        }
        for sender in 0..SENDERS {
            self.start(sender);
        }
        // Nobody answers any more: all must end by itself.
        for _ in 0..LAST_INTERVALS {
            self.pass(LAST_INTERVAL);
            let broken = self.broken();
            assert!(broken.is_empty(), "{broken:?} at the end of {order:?}");
        }
        let held = self.senders.iter().flat_map(|sender| sender.held.values());
        let open = held.filter(|message| message.open).count();
        assert_eq!(
            (open, self.calls.len()),
            (0, 0),
            "left over after {order:?}"
        );
    }
}
