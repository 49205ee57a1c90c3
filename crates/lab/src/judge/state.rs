//! The state that a judge keeps while it reads a history.

use std::collections::HashSet;

use martenlatch_clock::Millis;

/// One submission of a client's message to one sender.
#[derive(Debug, Default)]
pub(super) struct Message {
    /// The client's message, which may be submitted several times.
    pub origin: u64,
    pub sender: u32,
    pub class: u32,
    pub partner: u32,
    pub deadline: Millis,
    /// Whether its client was told that it is accepted; `None` before the answer.
    pub accepted: Option<bool>,
    pub delivered: Option<Millis>,
    /// Its sender may not know of the delivery: it cancelled the call while the reply was on its way, or has ended
    /// since.
    pub delivery_may_be_unknown: bool,
    pub report: Option<FinalReport>,
    /// The number of calls that were started for it.
    pub calls: u32,
    /// The number of these calls that are in flight.
    pub in_flight: u32,
    /// Whether its final answer has been checked after its deadline.
    pub deadline_checked: bool,
    /// Its ordering key.
    pub key: Option<u64>,
}

impl Message {
    /// Whether a call of it is in flight, or it has neither been delivered nor reported.
    pub fn is_open(&self) -> bool {
        self.in_flight > 0 || (self.delivered.is_none() && self.report.is_none())
    }

    /// The time of its delivery, if its sender must know of the delivery.
    pub fn known_delivery(&self) -> Option<Millis> {
        self.delivered.filter(|_| !self.delivery_may_be_unknown)
    }
}

/// The final status report on a message.
#[derive(Clone, Copy, Debug)]
pub(super) struct FinalReport {
    pub at: Millis,
    /// Whether it states that the message has not run and may be submitted again.
    pub deferred: bool,
}

/// A call in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub message: u64,
    pub origin: u64,
    pub sender: u32,
    pub partner: u32,
    pub class: u32,
    pub started_at: Millis,
}

impl Call {
    /// Its sender and its partner.
    pub fn route(&self) -> Route {
        Route {
            sender: self.sender,
            partner: self.partner,
        }
    }
}

/// A call that has just started.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartedCall {
    pub call: u64,
    pub message: u64,
    pub sender: u32,
    pub partner: u32,
    pub endpoint: u32,
}

/// A sender and a partner that it calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Route {
    pub sender: u32,
    pub partner: u32,
}

/// A sender and an endpoint that it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct KnownEndpoint {
    pub sender: u32,
    pub endpoint: u32,
}

/// An ordering key at a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct OrderingKey {
    pub sender: u32,
    pub key: u64,
}

/// A Retry-After that a partner sent to a sender.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryAfter {
    pub sent_at: Millis,
    pub until: Millis,
}

/// The submissions that the rules on repeats treat as one message. All submissions of a non-idempotent message count
/// as one. With an idempotency key, each submission counts separately: a sender knows only the messages submitted to
/// it, and clients submit again within the key's window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum RepeatScope {
    Origin(u64),
    Message(u64),
}

/// Calls that may have run.
#[derive(Debug)]
pub(super) struct PossibleRuns {
    /// The start of the first of them.
    pub first_started_at: Millis,
    pub calls: HashSet<u64>,
}

/// A recently written reply. Its sender may have cancelled the call before the reply arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentReply {
    pub at: Millis,
    pub call: u64,
    pub effect: ReplyEffect,
}

/// The effect of a reply on the state of the judge. It binds the sender only if the sender has received the reply.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReplyEffect {
    /// A message was delivered.
    Delivered { message: u64 },
    /// A Retry-After came into force in place of the previous one.
    RetryAfter {
        route: Route,
        previous: Option<RetryAfter>,
    },
}

/// A call that was started recently.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentCall {
    pub at: Millis,
    pub sender: u32,
}

/// A scheduled check of a message for its final answer. Checks are ordered by time, then by message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DeadlineCheck {
    /// The bits of the time. Times are positive, so their bits have the same order.
    at_bits: u64,
    pub message: u64,
}

impl DeadlineCheck {
    /// A check of `message` at `at`.
    pub fn new(at: Millis, message: u64) -> DeadlineCheck {
        DeadlineCheck {
            at_bits: at.to_bits(),
            message,
        }
    }

    /// The time of the check.
    pub fn at(&self) -> Millis {
        f64::from_bits(self.at_bits)
    }
}
