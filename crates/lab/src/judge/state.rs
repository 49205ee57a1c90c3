//! What a judge remembers of a history.

use std::collections::HashSet;

use martenlatch_clock::Millis;

/// A message as it was handed in to one sender.
#[derive(Debug, Default)]
pub(super) struct Message {
    /// The client's message; it may be handed in several times.
    pub origin: u64,
    pub sender: u32,
    pub class: u32,
    pub partner: u32,
    pub deadline: Millis,
    /// Its client was told that it is accepted, or that it is not.
    pub accepted: Option<bool>,
    pub delivered: Option<Millis>,
    /// Its sender may not know of the delivery: it cancelled the call while the reply was on its way, or has ended
    /// since.
    pub delivery_unheard: bool,
    pub report: Option<FinalReport>,
    /// Calls that were begun for it, and how many of them are in flight.
    pub calls: u32,
    pub in_flight: u32,
    /// Its deadline has been looked at.
    pub closed: bool,
    /// Its ordering key.
    pub key: Option<u64>,
}

impl Message {
    /// Whether a call of it is in flight, or it has neither been delivered nor reported.
    pub fn is_open(&self) -> bool {
        self.in_flight > 0 || (self.delivered.is_none() && self.report.is_none())
    }

    /// When it was delivered, where its sender must know of that.
    pub fn known_delivery(&self) -> Option<Millis> {
        self.delivered.filter(|_| !self.delivery_unheard)
    }
}

/// The final status report on a message.
#[derive(Clone, Copy, Debug)]
pub(super) struct FinalReport {
    pub at: Millis,
    /// It says that the message has not run, and may be handed in again.
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
    pub since: Millis,
}

impl Call {
    /// Whose call to whom it is.
    pub fn route(&self) -> Route {
        Route {
            sender: self.sender,
            partner: self.partner,
        }
    }
}

/// A call that begins.
#[derive(Clone, Copy, Debug)]
pub(super) struct BegunCall {
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

/// A Retry-After that a partner told a sender.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait {
    pub told: Millis,
    pub until: Millis,
}

/// The messages that a rule on repeats sees as one. A non-idempotent message is one however often its client hands it
/// in; with an idempotency key, a sender knows only what was handed in to it, and clients hand in again inside the
/// key's window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum RepeatScope {
    Origin(u64),
    Message(u64),
}

/// Calls that may have run.
#[derive(Debug)]
pub(super) struct PossibleRuns {
    /// When the first of them left.
    pub since: Millis,
    pub calls: HashSet<u64>,
}

/// A reply that was written a moment ago: its sender may have cancelled the call before it could hear.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentReply {
    pub at: Millis,
    pub call: u64,
    pub told: Told,
}

/// What a reply said that its sender must have heard to be held to it.
#[derive(Clone, Copy, Debug)]
pub(super) enum Told {
    /// A message was served.
    Served { message: u64 },
    /// A sender must not call a partner; with the wait that held before, if any.
    Wait { route: Route, before: Option<Wait> },
}

/// A call that came to a partner a moment ago.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentCall {
    pub at: Millis,
    pub sender: u32,
}

/// When a message is looked at for its final answer. The order is that of the instants, then of the messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DueCheck {
    /// The instant's bits: instants are positive, and so keep their order.
    at_bits: u64,
    pub message: u64,
}

impl DueCheck {
    /// A look at a message at an instant.
    pub fn new(at: Millis, message: u64) -> DueCheck {
        DueCheck {
            at_bits: at.to_bits(),
            message,
        }
    }

    /// When the message is looked at.
    pub fn at(&self) -> Millis {
        f64::from_bits(self.at_bits)
    }
}
