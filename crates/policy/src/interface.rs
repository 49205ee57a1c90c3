//! The types between a sender and its [`Policy`](crate::Policy): settings, events and actions.
//!
//! Nothing in here decides. Times are nanoseconds; instants count from an origin that the caller picks and
//! keeps, and never go back. Ids are small integers that the caller hands out; equal ids mean the same thing
//! for the life of one policy, and their order and size mean nothing.

use serde::{Deserialize, Serialize};

/// An instant or a span, in nanoseconds.
pub type Nanos = u64;

macro_rules! id {
    ($(#[$doc:meta] $name:ident($inner:ty);)*) => {$(
        #[$doc]
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);
    )*};
}
id! {
    /// A message that this sender owes a final answer; never used twice.
    MessageId(u64);
    /// A destination: the partner that a message is for.
    DestinationId(u64);
    /// An endpoint (a receiver) of one destination.
    EndpointId(u32);
    /// Place in [`Settings::zone_prices`].
    ZoneId(usize);
    /// Place in [`Settings::kinds`].
    KindId(usize);
    /// Place in [`Settings::classes`].
    ClassId(usize);
    /// What an ordered message is about.
    KeyId(u64);
}

/// What a repeat of a message does at its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// A repeat is harmless at any time.
    Idempotent,
    /// A repeat is dropped for `memory` after the sending of the first attempt that might have run, by all
    /// endpoints of the destination, or only by those of that attempt's zone.
    IdempotencyKey {
        /// True where only endpoints of one zone share what they remember.
        per_zone: bool,
        /// How long a repeat is dropped.
        window: Nanos,
    },
    /// A repeat takes effect again.
    NonIdempotent,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageClass {
    /// Delivered within this span of being handed in first, a message earns its full worth.
    pub latency_objective: Nanos,
    /// Span from being handed in first to the end of a message's time.
    pub deadline: Nanos,
    /// Worth of a message.
    pub priority_weight: f64,
    /// Share of the worth that is left at the deadline.
    pub late_weight_share: f64,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// Messages of one key go one at a time, in the order taken.
    pub ordered: bool,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct DestinationKind {
    /// Each endpoint is a route of its own, with its own limit, pace and outages.
    pub per_endpoint: bool,
}

/// How worth falls after the aim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decay {
    /// Evenly, down to the late worth at the deadline.
    #[default]
    Linear,
    /// By half with each further aim, not under the late worth.
    Halving,
}

/// What the weight of a listed endpoint means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointWeights {
    /// Nothing.
    #[default]
    Ignored,
    /// Calls a second that its destination (or route) takes from all senders together.
    Nominal,
    /// The same, up to half too high or too low.
    Approximate,
}

/// Figures about falling over after an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecoveryRamp {
    /// Sent over this many times its present capacity ...
    pub overload_factor: f64,
    /// ... for this long, a cold destination falls over.
    pub overload_window: Nanos,
    /// Share of its capacity that it has at least when it returns.
    pub initial_share: f64,
    /// Time by which it has all of it.
    pub duration: Nanos,
}

/// What holds for a sender from its start to its end. The default is empty, and [`Settings::check`] turns it down.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// How many senders there are; they share nothing.
    pub senders: u32,
    /// This sender's zone.
    pub zone: ZoneId,
    /// One entry a zone: points of the result for a message that a route apart there takes on.
    pub zone_prices: Vec<f64>,
    /// Kinds of destination.
    pub kinds: Vec<DestinationKind>,
    /// Classes of message.
    pub classes: Vec<MessageClass>,
    /// How worth falls after the aim.
    pub decay: Decay,
    /// What listed weights mean.
    pub weight_meaning: EndpointWeights,
    /// Calls that may be out at once.
    pub max_in_flight: usize,
    /// Messages that may be held at once, sent or not.
    pub max_held: usize,
    /// Most attempts for one message.
    pub max_attempts: u32,
    /// [`Action::Cancel`] may be used.
    pub may_cancel: bool,
    /// A message may have two attempts out at once.
    pub may_hedge: bool,
    /// Longest advice that a client follows on when to return; `None` where none may be given.
    pub max_retry_after: Option<Nanos>,
    /// Figures on returning destinations.
    pub recovery: RecoveryRamp,
    /// How long a key rests after an attempt that may still be running.
    pub key_quiet_period: Nanos,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Nanos,
    /// Idle connections are closed after this long.
    pub idle_timeout: Nanos,
    /// Shortest gap between two turns.
    pub turn_interval: Nanos,
    /// Points for an attempt that crosses zones.
    pub cross_zone_price: f64,
    /// What a new connection costs, as a share of a message's worth.
    pub handshake_price: f64,
}

impl Settings {
    /// Says which figure makes the settings unusable, if one does.
    pub fn check(&self) -> Result<(), SettingsError> {
        let err = |what: &str| Err(SettingsError(what.to_string()));
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let fall = &self.recovery;
        if self.senders == 0 {
            return err("senders: at least one is needed");
        }
        if self.max_in_flight == 0 {
            return err("slots: at least one is needed");
        }
        if self.max_held == 0 || self.max_attempts == 0 {
            return err("hold_limit and max_attempts: at least one is needed");
        }
        if self.classes.is_empty() || self.kinds.is_empty() || self.zone_prices.is_empty() {
            return err("classes, kinds and zones: at least one of each is needed");
        }
        if self.zone.0 >= self.zone_prices.len() {
            return err("zone: it is not among the zones");
        }
        if fall.overload_window == 0
            || !(fall.overload_factor > 0.0 && fall.overload_factor.is_finite())
            || !share(fall.initial_share)
        {
            return err("fail_back: span and factor must be above zero, cold_from a share");
        }
        for class in &self.classes {
            if class.latency_objective == 0 || class.deadline < class.latency_objective {
                return err("classes: the aim must be above zero and not past the deadline");
            }
            if !(class.priority_weight >= 0.0
                && class.priority_weight.is_finite()
                && share(class.late_weight_share))
            {
                return err("classes: worth must not be negative, late_worth a share");
            }
        }
        Ok(())
    }
}

/// Says which setting cannot be worked with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "unusable settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// How the list speaks of an endpoint; never of its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// Listed.
    #[default]
    Active,
    /// Nothing new may go there.
    Draining,
    /// Removed.
    Removed,
}

/// One line of the list of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// Where it stands.
    pub zone: ZoneId,
    /// Kind of its destination.
    pub kind: KindId,
    /// The destination that it belongs to.
    pub destination: DestinationId,
    /// On, draining or gone.
    pub stage: EndpointState,
    /// See [`EndpointWeights`].
    pub weight: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Success,
    /// Answered with an error; it may have taken effect.
    Failure,
    /// Turned away unseen; it never ran.
    Overloaded {
        /// How long nothing may be sent there; zero where nothing is told.
        retry_after: Nanos,
    },
    /// No answer in time; it may run still.
    TimedOut,
    /// No connection; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// A connection that had rested was no good any more; it may have run. Says nothing of the partner.
    StaleConnection,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent; it never ran, and counts as an attempt.
    NotSent,
    /// Not sent, since the message has had all its attempts; it never ran, and none can follow.
    AttemptsExhausted,
}

impl Outcome {
    /// True if this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded { .. } | Outcome::Unreachable | Outcome::NotSent | Outcome::AttemptsExhausted
        )
    }
}

/// What was seen amiss with a destination, or with an endpoint that is a route of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// It does not answer.
    Unresponsive,
    /// It turns everything away.
    Rejecting,
    /// It answers again.
    Recovering {
        /// Since so long.
        since: Nanos,
    },
}

/// What one sender has itself seen of a route, to be told to others; see [`Policy::observations`](crate::Policy::sights).
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, where it is a route of its own.
    pub endpoint: Option<EndpointId>,
    /// Since the latest call.
    pub age: Nanos,
    /// How long nothing may be sent there yet.
    pub wait: Nanos,
    /// The pacing gap.
    pub gap: Nanos,
    /// Calls a second that it takes from all senders, where that is known and no outage stands between.
    pub limit: Option<f64>,
    /// Served calls, each halving with age, and refused ones.
    pub served: f64,
    /// See `served`.
    pub refused: f64,
    /// Latencies of the latest served calls, by size.
    pub latencies: Vec<Nanos>,
    /// What was seen amiss.
    pub outage: Option<Outage>,
}

/// What other senders know of a route, weighed before it is told: a prior, which gives way to what is seen here.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipedState {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, where it is a route of its own.
    pub endpoint: Option<EndpointId>,
    /// Nothing may be sent there for so long yet. Binds at once and wholly.
    pub wait: Nanos,
    /// A pacing gap to begin with.
    pub gap: Nanos,
    /// Calls a second that it takes from all senders.
    pub limit: Option<f64>,
    /// As many latencies as the prior stands for calls.
    pub latencies: Vec<Nanos>,
    /// What was seen amiss. Makes this sender one of those that saw it.
    pub outage: Option<Outage>,
}

/// What a sender tells its policy.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The whole list, replacing the old one: what it does not name is gone.
    EndpointList(Vec<EndpointEntry>),
    /// The entries of the list that changed.
    EndpointChanges(Vec<EndpointEntry>),
    /// A message was handed in.
    MessageAccepted {
        /// Its id.
        id: MessageId,
        /// Where it goes.
        destination: DestinationId,
        /// Its class.
        class: ClassId,
        /// Until when it may be delivered (an instant).
        deadline: Nanos,
        /// What it is about, where its class is ordered.
        key: Option<KeyId>,
    },
    /// A message that this sender took on before it was started again, and that has not ended.
    MessageResumed {
        /// Its id.
        id: MessageId,
        /// Where it goes.
        destination: DestinationId,
        /// Its class.
        class: ClassId,
        /// Until when it may be delivered (an instant).
        deadline: Nanos,
        /// Attempts that it has had; the next one's number.
        attempts: u32,
        /// When the first of them was sent that is not proven never to have run.
        ran: Option<Nanos>,
    },
    /// What others know of a route that is listed.
    Gossip(GossipedState),
    /// The sender is told to end: no call may be out past this instant.
    ShutdownDeadline(Nanos),
    /// An attempt ended; exactly one for each [`Action::Send`].
    AttemptEnded {
        /// The message.
        id: MessageId,
        /// Which of its attempts; the first is 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Nanos,
        /// The message is finished; nothing more is owed for it.
        finished: bool,
    },
    /// The client has left; nothing more is owed.
    ClientLeft(MessageId),
    /// A wake-up that was asked for is due.
    Wake,
}

/// What the sender must do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the message as its next attempt.
    Send {
        /// The message.
        id: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// Time limit of this attempt.
        timeout: Nanos,
        /// It must not begin after this, however late its connection comes up: a repeat would take effect again.
        latest: Nanos,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The message.
        id: MessageId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: not delivered, and trying again is harmless.
    Reject {
        /// The message.
        id: MessageId,
        /// When the client should return, where such advice may be given.
        retry_after: Option<Nanos>,
    },
    /// Final answer: failed; it promises nothing.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// Call a turn with [`Event::Wake`] once this span has passed.
    WakeAfter(Nanos),
    /// Close this sender's idle connections to an endpoint.
    CloseIdle(EndpointId),
}
