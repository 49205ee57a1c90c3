//! Settings of a sender: the classes of messages, the kinds of destinations and the limits, fixed for its lifetime.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Nanos, ZoneId};

/// What a second delivery of a message does at its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Idempotent: a second delivery has no further effect, at any time.
    Idempotent,
    /// The message carries an idempotency key: a second delivery is dropped for `window` after the first attempt that
    /// may have run was sent, by all endpoints of the destination or only by those of that attempt's zone.
    IdempotencyKey {
        /// Whether only the endpoints of one zone share their idempotency keys.
        per_zone: bool,
        /// How long a second delivery is dropped, in nanoseconds.
        window: Nanos,
    },
    /// Non-idempotent: a second delivery takes effect again.
    NonIdempotent,
}

impl Idempotency {
    /// Whether a repeat is harmless, or dropped by all endpoints of the destination.
    pub(crate) fn covers_all_endpoints(self) -> bool {
        matches!(self, Idempotency::Idempotent | Idempotency::IdempotencyKey { per_zone: false, .. })
    }
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageClass {
    /// Latency objective, in nanoseconds from acceptance: a delivery within it has the full priority weight.
    pub latency_objective: Nanos,
    /// Time from acceptance to the deadline, in nanoseconds.
    pub deadline: Nanos,
    /// Value of a delivery within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// Share (0 to 1) of the priority weight that a delivery at the deadline still has.
    pub late_weight_share: f64,
    /// What a second delivery does.
    pub idempotency: Idempotency,
    /// Whether messages of one key are sent one at a time, in the order of acceptance.
    pub ordered: bool,
}

impl MessageClass {
    fn check(&self) -> Result<(), SettingsError> {
        if self.latency_objective == 0 || self.deadline < self.latency_objective {
            return Err(SettingsError::LatencyObjectiveOutOfRange);
        }
        let is_weight = self.priority_weight >= 0.0 && self.priority_weight.is_finite();
        if !is_weight || !is_share(self.late_weight_share) {
            return Err(SettingsError::PriorityWeightOutOfRange);
        }
        Ok(())
    }

    /// What a message with this deadline (an instant) is worth if it is delivered at an instant.
    pub(crate) fn value_at(&self, at: Nanos, deadline: Nanos, decay: Decay) -> f64 {
        if at > deadline {
            return 0.0;
        }
        let accepted_at = deadline.saturating_sub(self.deadline);
        let late = at.saturating_sub(accepted_at).saturating_sub(self.latency_objective) as f64;
        let left = match decay {
            Decay::Linear => {
                let late_span = (self.deadline - self.latency_objective).max(1) as f64;
                1.0 - (1.0 - self.late_weight_share) * late / late_span
            }
            Decay::Halving => 0.5f64.powf(late / self.latency_objective as f64),
        };
        self.priority_weight * left.max(self.late_weight_share)
    }
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct DestinationKind {
    /// Whether each endpoint is a route of its own, with its own rate limit, pacing and outages.
    pub per_endpoint: bool,
}

/// How the value of a delivery falls after the latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decay {
    /// Linearly, down to the late share at the deadline.
    #[default]
    Linear,
    /// By half with each further latency objective, but not below the late share.
    Halving,
}

/// What the weights in the endpoint list mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointWeights {
    /// Nothing.
    #[default]
    Ignored,
    /// Rate limit: calls a second that the route takes from all senders together.
    Nominal,
    /// The same, but up to half too high or too low.
    Approximate,
}

impl EndpointWeights {
    /// Calls a second that a weight stands for, if any; an approximate one is divided by its possible `error`.
    pub(crate) fn rate_limit(self, weight: f64, error: f64) -> Option<f64> {
        match self {
            EndpointWeights::Ignored => None,
            EndpointWeights::Nominal => Some(weight),
            EndpointWeights::Approximate => Some(weight / error),
        }
    }
}

/// Recovery ramp: the load that a destination bears while it recovers from an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecoveryRamp {
    /// A recovering destination fails again if it is sent more than this many times its present capacity ...
    pub overload_factor: f64,
    /// ... for this long, in nanoseconds.
    pub overload_window: Nanos,
    /// Share (0 to 1) of its full capacity that it has at least when it starts to recover.
    pub initial_share: f64,
    /// Time until it has its full capacity again, in nanoseconds.
    pub duration: Nanos,
}

impl RecoveryRamp {
    fn is_usable(&self) -> bool {
        let is_factor = self.overload_factor > 0.0 && self.overload_factor.is_finite();
        self.overload_window > 0 && is_factor && is_share(self.initial_share)
    }

    /// Share of its capacity that a destination has at least when it has been back for `elapsed`.
    pub(crate) fn capacity_share(&self, elapsed: Nanos) -> f64 {
        let progress = (elapsed as f64 / self.duration.max(1) as f64).min(1.0);
        self.initial_share + (1.0 - self.initial_share) * progress
    }
}

/// Settings of a sender, fixed for its lifetime. The default is empty, and [`Settings::check`] rejects it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Number of senders, which share the rate limits.
    pub senders: u32,
    /// This sender's zone.
    pub zone: ZoneId,
    /// For each zone, the cost of an attempt at an endpoint there that is a route of its own, in message values.
    pub zone_prices: Vec<f64>,
    /// Kinds of destination.
    pub kinds: Vec<DestinationKind>,
    /// Classes of message.
    pub classes: Vec<MessageClass>,
    /// How the value of a delivery falls after the latency objective.
    pub decay: Decay,
    /// What the weights in the endpoint list mean.
    pub weight_meaning: EndpointWeights,
    /// In-flight limit: calls at a time, over all destinations.
    pub max_in_flight: usize,
    /// Accepted messages without a final answer at a time, in flight or waiting.
    pub max_open_messages: usize,
    /// Most attempts of one message, hedges included.
    pub max_attempts: u32,
    /// Whether [`Action::Cancel`](super::Action::Cancel) may be used.
    pub may_cancel: bool,
    /// Whether a message may have two attempts in flight at a time.
    pub may_hedge: bool,
    /// Longest Retry-After that clients follow, in nanoseconds; `None` if none may be sent.
    pub max_retry_after: Option<Nanos>,
    /// Recovery ramp of the destinations.
    pub recovery: RecoveryRamp,
    /// How long an ordering key is paused after an attempt that may still be running, in nanoseconds.
    pub key_quiet_period: Nanos,
    /// Timeout of a new connection, in nanoseconds.
    pub connect_timeout: Nanos,
    /// Idle connections are closed after this long, in nanoseconds.
    pub idle_timeout: Nanos,
    /// Shortest time between two turns, in nanoseconds.
    pub turn_interval: Nanos,
    /// Cost of an attempt that crosses zones, in message values.
    pub cross_zone_price: f64,
    /// Cost of a new connection, as a share of a message's value.
    pub handshake_price: f64,
}

impl Settings {
    /// Checks each setting.
    ///
    /// # Errors
    /// The first setting found that is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.senders == 0 {
            return Err(SettingsError::NoSenders);
        }
        if self.max_in_flight == 0 {
            return Err(SettingsError::NoInFlightLimit);
        }
        if self.max_open_messages == 0 || self.max_attempts == 0 {
            return Err(SettingsError::NothingHeldOrSent);
        }
        if self.classes.is_empty() || self.kinds.is_empty() || self.zone_prices.is_empty() {
            return Err(SettingsError::NoClassKindOrZone);
        }
        if self.zone.0 >= self.zone_prices.len() {
            return Err(SettingsError::UnknownZone);
        }
        if !self.recovery.is_usable() {
            return Err(SettingsError::RecoveryOutOfRange);
        }
        self.classes.iter().try_for_each(MessageClass::check)
    }
}

fn is_share(number: f64) -> bool {
    (0.0..=1.0).contains(&number)
}

/// The setting that makes settings unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// [`Settings::senders`] is 0.
    #[error("unusable settings: senders: at least one is needed")]
    NoSenders,
    /// [`Settings::max_in_flight`] is 0.
    #[error("unusable settings: slots: at least one is needed")]
    NoInFlightLimit,
    /// [`Settings::max_open_messages`] or [`Settings::max_attempts`] is 0.
    #[error("unusable settings: hold_limit and max_attempts: at least one is needed")]
    NothingHeldOrSent,
    /// [`Settings::classes`], [`Settings::kinds`] or [`Settings::zone_prices`] is empty.
    #[error("unusable settings: classes, kinds and zones: at least one of each is needed")]
    NoClassKindOrZone,
    /// [`Settings::zone`] is not among the zones of [`Settings::zone_prices`].
    #[error("unusable settings: zone: it is not among the zones")]
    UnknownZone,
    /// A figure of [`Settings::recovery`] is out of range.
    #[error("unusable settings: fail_back: span and factor must be above zero, cold_from a share")]
    RecoveryOutOfRange,
    /// The latency objective of a class is 0, or after the class's deadline.
    #[error("unusable settings: classes: the aim must be above zero and not past the deadline")]
    LatencyObjectiveOutOfRange,
    /// The priority weight of a class is negative or infinite, or its late share is not a share.
    #[error("unusable settings: classes: worth must not be negative, late_worth a share")]
    PriorityWeightOutOfRange,
    /// A restored state has other kinds of destination, or more classes, than the settings.
    #[error("unusable settings: classes and kinds: not those of the state that was passed")]
    NotThoseOfRestoredState,
}
