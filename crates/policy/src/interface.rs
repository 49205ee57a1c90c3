//! The types between a sender and its [`Policy`](crate::Policy): settings, events and actions.
//!
//! All times are in nanoseconds. Instants count from an origin that the caller picks, and never go back. Ids are small
//! integers that the caller assigns: equal ids stand for the same thing for the lifetime of a policy.

use serde::{Deserialize, Serialize};

mod settings;

pub use settings::*;

/// An instant or a duration, in nanoseconds.
pub type Nanos = u64;

macro_rules! id {
    ($(#[$doc:meta] $name:ident($inner:ty);)*) => {$(
        #[$doc]
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);
    )*};
}
id! {
    /// An accepted message; never used twice.
    MessageId(u64);
    /// A destination: the partner that messages are sent to.
    DestinationId(u64);
    /// One of the endpoints of a destination.
    EndpointId(u32);
    /// Index into [`Settings::zone_prices`].
    ZoneId(usize);
    /// Index into [`Settings::kinds`].
    KindId(usize);
    /// Index into [`Settings::classes`].
    ClassId(usize);
    /// An ordering key: messages of one key are sent one at a time.
    KeyId(u64);
}

/// What a rate limit and an outage apply to: one endpoint, or all those of a destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct RouteKey {
    pub(crate) destination: DestinationId,
    /// Set where each endpoint is a route of its own.
    pub(crate) endpoint: Option<EndpointId>,
}

impl From<(DestinationId, Option<EndpointId>)> for RouteKey {
    fn from((destination, endpoint): (DestinationId, Option<EndpointId>)) -> RouteKey {
        RouteKey { destination, endpoint }
    }
}

impl From<RouteKey> for (DestinationId, Option<EndpointId>) {
    fn from(key: RouteKey) -> (DestinationId, Option<EndpointId>) {
        (key.destination, key.endpoint)
    }
}

/// State of an endpoint in the endpoint list, which says nothing of its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// May be sent to.
    #[default]
    Active,
    /// Draining: no new attempt may be sent to it.
    Draining,
    /// Removed from the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// The kind of its destination.
    pub kind: KindId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its state.
    pub state: EndpointState,
    /// Its weight; [`EndpointWeights`] says what it means.
    pub weight: f64,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Success,
    /// An error response; it may have taken effect.
    Failure,
    /// An overloaded response: rejected before it ran.
    Overloaded {
        /// How long nothing may be sent to the route; 0 without a Retry-After.
        retry_after: Nanos,
    },
    /// Timed out; it may still be running.
    TimedOut,
    /// No connection was established; it never ran.
    Unreachable,
    /// The connection was lost; it may have run.
    ConnectionLost,
    /// A reused connection had gone stale; it may have run. Says nothing of the endpoint's health.
    StaleConnection,
    /// Cancelled; it may have run.
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

    /// True if the endpoint may still be working on the attempt.
    pub(crate) fn may_still_run(self) -> bool {
        matches!(
            self,
            Outcome::TimedOut | Outcome::ConnectionLost | Outcome::StaleConnection | Outcome::Cancelled
        )
    }
}

/// A fault of a route: a destination, or an endpoint that is a route of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// It does not respond.
    Unresponsive,
    /// It rejects all calls.
    Rejecting,
    /// It responds again, within its recovery ramp.
    Recovering {
        /// Time since it responded again.
        elapsed: Nanos,
    },
}

/// What this sender has itself observed of a route, for other senders; see [`Policy::observations`](crate::Policy::observations).
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, where it is a route of its own.
    pub endpoint: Option<EndpointId>,
    /// Time since the latest call.
    pub since_last_call: Nanos,
    /// Remaining Retry-After: how long nothing may be sent to it.
    pub remaining_retry_after: Nanos,
    /// The pacing interval.
    pub pacing_interval: Nanos,
    /// Rate limit, in calls a second of all senders together; `None` if unknown or during an outage.
    pub rate_limit: Option<f64>,
    /// Number of successful calls, decaying with a half-life of 20 s.
    pub successful_calls: f64,
    /// Number of rejected calls, decaying in the same way.
    pub rejected_calls: f64,
    /// Latencies of the latest successful calls, in ascending order.
    pub latencies: Vec<Nanos>,
    /// The observed outage, if any.
    pub outage: Option<Outage>,
}

/// What other senders have observed of a route, already weighed: a prior, which own observations replace.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipedState {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, where it is a route of its own.
    pub endpoint: Option<EndpointId>,
    /// Remaining Retry-After. It applies at once, whatever was observed here.
    pub remaining_retry_after: Nanos,
    /// The pacing interval to start with.
    pub pacing_interval: Nanos,
    /// Rate limit, in calls a second of all senders together.
    pub rate_limit: Option<f64>,
    /// Latencies; their number is the weight of the prior.
    pub latencies: Vec<Nanos>,
    /// An outage; this sender behaves as if it had observed it.
    pub outage: Option<Outage>,
}

/// An input of a turn.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The complete endpoint list; endpoints that it does not name are removed.
    EndpointList(Vec<EndpointEntry>),
    /// The changed entries of the endpoint list.
    EndpointChanges(Vec<EndpointEntry>),
    /// A message was accepted.
    MessageAccepted {
        /// Its id.
        id: MessageId,
        /// Its destination.
        destination: DestinationId,
        /// Its class.
        class: ClassId,
        /// Its deadline (an instant).
        deadline: Nanos,
        /// Its ordering key, if its class is ordered.
        key: Option<KeyId>,
    },
    /// A message that an earlier process of this sender accepted and did not finish.
    MessageResumed {
        /// Its id.
        id: MessageId,
        /// Its destination.
        destination: DestinationId,
        /// Its class.
        class: ClassId,
        /// Its deadline (an instant).
        deadline: Nanos,
        /// Number of its attempts so far, which is the number of its next one.
        attempts: u32,
        /// When the first attempt was sent that may have run.
        may_have_run_since: Option<Nanos>,
    },
    /// What other senders have observed of a listed route.
    Gossip(GossipedState),
    /// Graceful shutdown: no call may be in flight after this instant.
    ShutdownDeadline(Nanos),
    /// The end of an attempt; exactly one for each [`Action::Send`].
    AttemptEnded {
        /// The message.
        id: MessageId,
        /// Number of the attempt; the first is 0.
        attempt: u32,
        /// Its outcome.
        outcome: Outcome,
        /// Its duration.
        took: Nanos,
        /// Whether the message has its final answer.
        finished: bool,
    },
    /// The client has disconnected; no answer is needed.
    ClientLeft(MessageId),
    /// The wake-up that [`Action::WakeAfter`] asked for.
    Wake,
}

/// An output of a turn, to be carried out in the given order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a message.
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Timeout of the attempt.
        timeout: Nanos,
        /// Latest start (an instant): after it a second delivery would take effect again.
        latest_start: Nanos,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The message.
        id: MessageId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: not delivered, and the client may retry without harm.
    Reject {
        /// The message.
        id: MessageId,
        /// Retry-After for the client, if one may be sent.
        retry_after: Option<Nanos>,
    },
    /// Final answer: failed; it may have taken effect.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// Run a turn with [`Event::Wake`] after this time.
    WakeAfter(Nanos),
    /// Close this sender's idle connections to an endpoint.
    CloseIdle(EndpointId),
}
