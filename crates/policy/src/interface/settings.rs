//! Settings of a sender: its message classes, destination kinds and limits.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Nanos, ZoneId};

/// Effect of a second delivery of a message at its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Idempotent: a second delivery has no further effect, at any time.
    Idempotent,
    /// The message carries an idempotency key. A second delivery is dropped if it arrives within `window`
    /// after the first attempt that may have run was sent.
    IdempotencyKey {
        /// Whether only the endpoints in the zone of that first attempt drop the second delivery. Otherwise
        /// all endpoints of the destination do.
        per_zone: bool,
        /// Idempotency window: how long a second delivery is dropped, in nanoseconds.
        window: Nanos,
    },
    /// Non-idempotent: a second delivery takes effect again.
    NonIdempotent,
}

impl Idempotency {
    /// Whether a second delivery is harmless, or dropped by all endpoints of the destination.
    pub(crate) fn covers_all_endpoints(self) -> bool {
        matches!(
            self,
            Idempotency::Idempotent
                | Idempotency::IdempotencyKey {
                    per_zone: false,
                    ..
                }
        )
    }
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageClass {
    /// Latency objective, in nanoseconds after acceptance. A delivery within it has the full priority weight.
    pub latency_objective: Nanos,
    /// Deadline, in nanoseconds after acceptance.
    pub deadline: Nanos,
    /// Value of a delivery within the latency objective, relative to other classes. It is at least 0.
    pub priority_weight: f64,
    /// Lowest share (0 to 1) of the priority weight to which the value of a late delivery falls.
    pub late_weight_share: f64,
    /// Effect of a second delivery.
    pub idempotency: Idempotency,
    /// Whether messages with the same ordering key are sent one at a time, in the order of acceptance.
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

    /// Value of a message with this deadline if it is delivered at `delivered_at`; both are instants.
    pub(crate) fn value_at(&self, delivered_at: Nanos, deadline: Nanos, decay: Decay) -> f64 {
        if delivered_at > deadline {
            return 0.0;
        }
        let accepted_at = deadline.saturating_sub(self.deadline);
        let lateness = delivered_at
            .saturating_sub(accepted_at)
            .saturating_sub(self.latency_objective) as f64;
        let share = match decay {
            Decay::Linear => {
                let max_lateness = (self.deadline - self.latency_objective).max(1) as f64;
                1.0 - (1.0 - self.late_weight_share) * lateness / max_lateness
            }
            Decay::Halving => 0.5f64.powf(lateness / self.latency_objective as f64),
        };
        self.priority_weight * share.max(self.late_weight_share)
    }
}

/// A kind of destination.
///
/// A route is the unit that has its own rate limit, pacing and outages: an endpoint or a whole destination.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct DestinationKind {
    /// Whether each endpoint is a route. Otherwise all endpoints of a destination together are one route.
    pub per_endpoint: bool,
}

/// How the value of a delivery falls after the latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decay {
    /// Linearly, down to [`MessageClass::late_weight_share`] at the deadline.
    #[default]
    Linear,
    /// By half with each further latency objective that passes, but not below
    /// [`MessageClass::late_weight_share`].
    Halving,
}

/// Meaning of the weights in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointWeights {
    /// They have no meaning.
    #[default]
    Ignored,
    /// The rate limit of the route, in calls a second from all senders together.
    Nominal,
    /// An approximation of the rate limit of the route, which may be too high or too low by up to half.
    Approximate,
}

impl EndpointWeights {
    /// Rate limit that a weight stands for, if any. An approximate weight is divided by `max_error`, the
    /// factor by which it may be too high.
    pub(crate) fn rate_limit(self, weight: f64, max_error: f64) -> Option<f64> {
        match self {
            EndpointWeights::Ignored => None,
            EndpointWeights::Nominal => Some(weight),
            EndpointWeights::Approximate => Some(weight / max_error),
        }
    }
}

/// Recovery ramp: the load that a destination can take while it recovers from an outage.
///
/// Its capacity rises linearly from `initial_share` of its full capacity to all of it within `duration`. It
/// fails again if it is sent more than `overload_factor` times its current capacity for `overload_window`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecoveryRamp {
    /// Multiple of the current capacity above which a recovering destination fails again.
    pub overload_factor: f64,
    /// How long the overload has to last until the destination fails again, in nanoseconds.
    pub overload_window: Nanos,
    /// Least share (0 to 1) of its full capacity that the destination has when it starts to recover.
    pub initial_share: f64,
    /// Time from the start of the recovery until the destination has its full capacity again, in nanoseconds.
    pub duration: Nanos,
}

impl RecoveryRamp {
    fn is_valid(&self) -> bool {
        let is_factor = self.overload_factor > 0.0 && self.overload_factor.is_finite();
        self.overload_window > 0 && is_factor && is_share(self.initial_share)
    }

    /// Least share of its full capacity that a destination has, `elapsed` after it started to recover.
    pub(crate) fn capacity_share(&self, elapsed: Nanos) -> f64 {
        let progress = (elapsed as f64 / self.duration.max(1) as f64).min(1.0);
        self.initial_share + (1.0 - self.initial_share) * progress
    }
}

/// Settings of a sender, fixed for its lifetime. The default is empty, and [`Settings::check`] rejects it.
///
/// Costs of attempts are shares of the value of a message: 1 is its whole value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Number of senders that share the rate limits, this one included.
    pub senders: u32,
    /// This sender's zone.
    pub zone: ZoneId,
    /// For each zone, the cost of an attempt at one of its endpoints. It applies only if each endpoint is a
    /// route; see [`DestinationKind::per_endpoint`].
    pub zone_prices: Vec<f64>,
    /// Destination kinds.
    pub kinds: Vec<DestinationKind>,
    /// Message classes.
    pub classes: Vec<MessageClass>,
    /// How the value of a delivery falls after the latency objective.
    pub decay: Decay,
    /// Meaning of the weights in the endpoint list.
    pub weight_meaning: EndpointWeights,
    /// In-flight limit: most attempts in flight at a time, to all destinations together.
    pub max_in_flight: usize,
    /// Most accepted messages without a final answer at a time, in flight or waiting.
    pub max_open_messages: usize,
    /// Most attempts of one message, hedges included.
    pub max_attempts: u32,
    /// Whether [`Action::Cancel`](super::Action::Cancel) may be used.
    pub may_cancel: bool,
    /// Whether a message may have two attempts in flight at a time, so that it can be hedged.
    pub may_hedge: bool,
    /// Longest Retry-After that clients follow, in nanoseconds; `None` if no Retry-After may be sent.
    pub max_retry_after: Option<Nanos>,
    /// Recovery ramp of the destinations.
    pub recovery: RecoveryRamp,
    /// How long an ordering key is paused after an attempt that may still be running, in nanoseconds.
    pub key_quiet_period: Nanos,
    /// Timeout for opening a connection, in nanoseconds.
    pub connect_timeout: Nanos,
    /// How long a connection may be idle before it is closed, in nanoseconds.
    pub idle_timeout: Nanos,
    /// Shortest time between two turns, in nanoseconds.
    pub turn_interval: Nanos,
    /// Cost of an attempt at an endpoint in another zone.
    pub cross_zone_price: f64,
    /// Cost of an attempt that needs a new connection.
    pub handshake_price: f64,
}

impl Settings {
    /// Checks that each setting is in range.
    ///
    /// # Errors
    /// Returns an error for the first setting that is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.senders == 0 {
            return Err(SettingsError::NoSenders);
        }
        if self.max_in_flight == 0 {
            return Err(SettingsError::NoInFlightLimit);
        }
        if self.max_open_messages == 0 || self.max_attempts == 0 {
            return Err(SettingsError::NoOpenMessagesOrAttempts);
        }
        if self.classes.is_empty() || self.kinds.is_empty() || self.zone_prices.is_empty() {
            return Err(SettingsError::NoClassKindOrZone);
        }
        if self.zone.0 >= self.zone_prices.len() {
            return Err(SettingsError::UnknownZone);
        }
        if !self.recovery.is_valid() {
            return Err(SettingsError::RecoveryOutOfRange);
        }
        self.classes.iter().try_for_each(MessageClass::check)
    }
}

fn is_share(number: f64) -> bool {
    (0.0..=1.0).contains(&number)
}

/// Reason why settings are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// [`Settings::senders`] is 0.
    #[error("invalid settings: senders must be at least 1")]
    NoSenders,
    /// [`Settings::max_in_flight`] is 0.
    #[error("invalid settings: max_in_flight must be at least 1")]
    NoInFlightLimit,
    /// [`Settings::max_open_messages`] or [`Settings::max_attempts`] is 0.
    #[error("invalid settings: max_open_messages and max_attempts must be at least 1")]
    NoOpenMessagesOrAttempts,
    /// [`Settings::classes`], [`Settings::kinds`] or [`Settings::zone_prices`] is empty.
    #[error("invalid settings: classes, kinds and zone_prices must not be empty")]
    NoClassKindOrZone,
    /// [`Settings::zone`] has no entry in [`Settings::zone_prices`].
    #[error("invalid settings: zone has no entry in zone_prices")]
    UnknownZone,
    /// A value of [`Settings::recovery`] is out of range.
    #[error(
        "invalid settings: recovery: overload_factor and overload_window must be > 0, initial_share 0 to 1"
    )]
    RecoveryOutOfRange,
    /// The latency objective of a class is 0, or longer than the class's deadline.
    #[error(
        "invalid settings: classes: latency_objective must be above 0 and not longer than deadline"
    )]
    LatencyObjectiveOutOfRange,
    /// The priority weight of a class is negative or infinite, or its late weight share is not from 0 to 1.
    #[error(
        "invalid settings: classes: priority_weight must be finite and at least 0, late_weight_share 0 to 1"
    )]
    PriorityWeightOutOfRange,
    /// The restored state has other destination kinds than the settings, or refers to a class they lack.
    #[error("invalid settings: classes and kinds do not fit the restored state")]
    RestoredStateMismatch,
}
