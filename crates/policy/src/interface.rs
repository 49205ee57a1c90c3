//! Types that a sender exchanges with its [`Policy`](crate::Policy): settings, events and actions.
//!
//! All times are in nanoseconds. Instants are counted from an origin that the caller chooses, and never
//! decrease. Ids are integers that the caller assigns; an id has the same meaning for the lifetime of a
//! policy.

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
    /// An accepted message. No id is used for two messages.
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
    /// An ordering key. Messages with the same key are sent one at a time.
    KeyId(u64);
}

/// Identifies a route, the unit that has a rate limit, pacing and outages: one endpoint, or all endpoints of
/// a destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct RouteKey {
    pub(crate) destination: DestinationId,
    /// Set if each endpoint of the destination is a route.
    pub(crate) endpoint: Option<EndpointId>,
}

impl From<(DestinationId, Option<EndpointId>)> for RouteKey {
    fn from((destination, endpoint): (DestinationId, Option<EndpointId>)) -> RouteKey {
        RouteKey {
            destination,
            endpoint,
        }
    }
}

impl From<RouteKey> for (DestinationId, Option<EndpointId>) {
    fn from(key: RouteKey) -> (DestinationId, Option<EndpointId>) {
        (key.destination, key.endpoint)
    }
}

/// State of an endpoint in the endpoint list. It says nothing about the endpoint's health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// Attempts may be sent to it.
    #[default]
    Active,
    /// No new attempt may be sent to it.
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
    /// Its weight; for the meaning see [`EndpointWeights`].
    pub weight: f64,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The endpoint responded with a success.
    Success,
    /// The endpoint responded with an error. The attempt may have taken effect.
    Failure,
    /// The endpoint rejected the attempt as overloaded. It never ran.
    Overloaded {
        /// How long nothing may be sent to the route; 0 if the response has no Retry-After.
        retry_after: Nanos,
    },
    /// The attempt timed out. It may still be running.
    TimedOut,
    /// No connection was established. The attempt never ran.
    Unreachable,
    /// The connection was lost. The attempt may have run.
    ConnectionLost,
    /// A reused connection was stale. The attempt may have run. This does not count against the endpoint's
    /// health.
    StaleConnection,
    /// The attempt was cancelled. It may have run.
    Cancelled,
    /// The attempt was not sent. It never ran, but it counts as one of the message's attempts.
    NotSent,
    /// The attempt was not sent, as the message has no attempts left. It never ran, and none can follow.
    AttemptsExhausted,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded { .. }
                | Outcome::Unreachable
                | Outcome::NotSent
                | Outcome::AttemptsExhausted
        )
    }

    /// Whether the endpoint may still be working on the attempt.
    pub(crate) fn may_still_run(self) -> bool {
        matches!(
            self,
            Outcome::TimedOut
                | Outcome::ConnectionLost
                | Outcome::StaleConnection
                | Outcome::Cancelled
        )
    }
}

/// What is known of an earlier attempt of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PastAttempt {
    /// The zone of its endpoint; `None` if it is unknown, as an earlier process sent the attempt.
    pub zone: Option<ZoneId>,
    /// When it was sent.
    pub sent_at: Nanos,
    /// Whether it may have run.
    pub may_have_run: bool,
}

/// An outage of a route, or the recovery from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// The route does not respond.
    Unresponsive,
    /// The route rejects all calls.
    Rejecting,
    /// The route responds again, and its recovery ramp has not ended.
    Recovering {
        /// Time since the route started to recover.
        elapsed: Nanos,
    },
}

/// Own observations of a route, to be passed to other senders; see
/// [`Policy::observations`](crate::Policy::observations).
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, if each endpoint of the destination is a route.
    pub endpoint: Option<EndpointId>,
    /// Time since the latest attempt was sent.
    pub since_last_call: Nanos,
    /// Remaining Retry-After: how long nothing may be sent to the route.
    pub remaining_retry_after: Nanos,
    /// Pacing interval: least time between two sends of this sender.
    pub pacing_interval: Nanos,
    /// Rate limit, in calls a second from all senders together; `None` if it is unknown or during an outage.
    pub rate_limit: Option<f64>,
    /// Number of successful calls, which decays with a half-life of 20 s.
    pub successful_calls: f64,
    /// Number of rejected calls, which decays in the same way.
    pub rejected_calls: f64,
    /// Latencies of the latest successful calls, in ascending order.
    pub latencies: Vec<Nanos>,
    /// The outage, if this sender has observed one.
    pub outage: Option<Outage>,
}

/// Observations of a route by other senders, weighed into one prior. Own observations replace it.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipedState {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, if each endpoint of the destination is a route.
    pub endpoint: Option<EndpointId>,
    /// Remaining Retry-After. It applies at once, even if this sender has observations of its own.
    pub remaining_retry_after: Nanos,
    /// Pacing interval to start with.
    pub pacing_interval: Nanos,
    /// Rate limit, in calls a second from all senders together.
    pub rate_limit: Option<f64>,
    /// Latencies of successful calls. The more there are, the more own latencies it takes to replace them.
    pub latencies: Vec<Nanos>,
    /// The outage, if any. This sender behaves as if it had observed the outage itself.
    pub outage: Option<Outage>,
}

/// An input of a turn.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The complete endpoint list. Endpoints that are not in it are removed.
    EndpointList(Vec<EndpointEntry>),
    /// The entries of the endpoint list that have changed.
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
    /// A message was resumed: an earlier process of this sender accepted it and did not finish it, or it was not
    /// finished after all, as the response that seemed to end it or to reject an attempt may belong to another
    /// message.
    MessageResumed {
        /// Its id.
        id: MessageId,
        /// Its destination.
        destination: DestinationId,
        /// Its class.
        class: ClassId,
        /// Its deadline (an instant).
        deadline: Nanos,
        /// The attempts it has had, in order. Their number is also the number of its next attempt.
        attempts: Vec<PastAttempt>,
    },
    /// A response that belongs to no known attempt asks to send nothing on the route of an endpoint.
    RetryAfterReceived {
        /// The endpoint.
        endpoint: EndpointId,
        /// How long nothing may be sent on its route.
        retry_after: Nanos,
    },
    /// Observations by other senders of a route that has an endpoint in the endpoint list.
    Gossip(GossipedState),
    /// Graceful shutdown: no attempt may be in flight after this instant.
    ShutdownDeadline(Nanos),
    /// An attempt has ended. There is exactly one such event for each [`Action::Send`].
    AttemptEnded {
        /// The message.
        id: MessageId,
        /// Number of the attempt; the first attempt of a message has number 0.
        attempt: u32,
        /// Its outcome.
        outcome: Outcome,
        /// Its duration.
        took: Nanos,
        /// Whether the message is finished: its final answer is known.
        finished: bool,
    },
    /// The client has disconnected, and no answer is needed.
    ClientLeft(MessageId),
    /// The time of the latest [`Action::WakeAfter`] has passed.
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
        /// Latest instant at which the attempt may start. If it started later, the message could take effect
        /// a second time.
        latest_start: Nanos,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The message.
        id: MessageId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: no attempt has succeeded, and the client may safely retry.
    Reject {
        /// The message.
        id: MessageId,
        /// Retry-After for the client; `None` if none may be sent.
        retry_after: Option<Nanos>,
    },
    /// Final answer: the message failed, and may have taken effect.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// Run a turn with [`Event::Wake`] after this time.
    WakeAfter(Nanos),
    /// Close this sender's idle connections to an endpoint.
    CloseIdle(EndpointId),
}
