//! The settings of the senders of a variant in a world.

use martenlatch_clock::{Millis, nanos};
use martenlatch_policy::interface::{
    Decay, DestinationKind, EndpointWeights, Idempotency, MessageClass, RecoveryRamp, Settings,
    ZoneId,
};

use crate::error::LabError;
use crate::experiment::{Class, Effect, Experiment, Variant, World};
use crate::model::partner::{COLLAPSE_FACTOR, COLLAPSE_WINDOW};
use crate::model::site::Site;

/// Time between two turns of the decision module.
pub(super) const TURN_INTERVAL: Millis = 5.0;
/// How long an attempt may wait for its connection.
pub(super) const CONNECT_TIMEOUT: Millis = 1_000.0;

/// By default, the limit on a sender's attempts in flight is this many times the mean number at full load ...
const IN_FLIGHT_FACTOR: f64 = 2.2;
/// ... and at least this number.
const MIN_IN_FLIGHT: usize = 3;
/// By default, a sender holds at most the messages of this many seconds of full load ...
const HELD_SECONDS: f64 = 9.0;
/// ... and at least this number.
const MIN_HELD: usize = 8;
/// The longest Retry-After that a client is given.
const MAX_RETRY_AFTER: Millis = 3_000.0;

/// The unchecked settings of a variant's senders in a world.
pub fn settings(experiment: &Experiment, variant: &Variant, site: &Site) -> Settings {
    let world = &experiment.world;
    let rate_per_sender = world.full_rate / f64::from(world.senders);
    let mean_service_time_factor = site
        .partners
        .iter()
        .map(|partner| partner.traffic_share * partner.service_time_factor)
        .sum::<f64>();
    let mean_in_flight = mean_service_time_factor * rate_per_sender * site.mean_work / 1e3;
    let default_in_flight =
        ((IN_FLIGHT_FACTOR * mean_in_flight).round() as usize).max(MIN_IN_FLIGHT);
    let default_held = ((HELD_SECONDS * rate_per_sender).round() as usize).max(MIN_HELD);
    Settings {
        senders: world.senders,
        zone: ZoneId(0),
        zone_prices: vec![0.0],
        kinds: world
            .kinds
            .iter()
            .map(|_| DestinationKind {
                per_endpoint: false,
            })
            .collect(),
        classes: world.classes.iter().map(message_class).collect(),
        decay: Decay::Halving,
        weight_meaning: EndpointWeights::Approximate,
        max_in_flight: variant.max_in_flight.unwrap_or(default_in_flight),
        max_open_messages: variant.max_held.unwrap_or(default_held),
        max_attempts: variant.max_attempts,
        may_cancel: variant.may_cancel,
        may_hedge: variant.may_hedge,
        max_retry_after: Some(nanos(MAX_RETRY_AFTER)),
        recovery: recovery_ramp(world),
        key_quiet_period: 0,
        connect_timeout: nanos(CONNECT_TIMEOUT),
        idle_timeout: nanos(world.idle_timeout),
        turn_interval: nanos(TURN_INTERVAL),
        cross_zone_price: 0.0,
        handshake_price: 0.0,
    }
}

fn message_class(class: &Class) -> MessageClass {
    MessageClass {
        latency_objective: nanos(class.latency_objective),
        deadline: nanos(class.deadline),
        priority_weight: 1.0,
        late_weight_share: class.late_weight_share,
        idempotency: match class.effect {
            Effect::Safe => Idempotency::Idempotent,
            Effect::Keyed => Idempotency::IdempotencyKey {
                per_zone: false,
                window: nanos(class.idempotency_window),
            },
            Effect::Unsafe => Idempotency::NonIdempotent,
        },
        ordered: false,
    }
}

/// The recovery ramp of the slowest kind of partner.
fn recovery_ramp(world: &World) -> RecoveryRamp {
    let initial_shares = world.kinds.iter().map(|kind| kind.initial_share);
    let durations = world.kinds.iter().map(|kind| kind.warm_up);
    RecoveryRamp {
        overload_factor: COLLAPSE_FACTOR,
        overload_window: nanos(COLLAPSE_WINDOW),
        initial_share: initial_shares.fold(1.0, f64::min),
        duration: nanos(durations.fold(0.0, f64::max)),
    }
}

/// The settings of a variant's senders in a world, checked by the decision module.
///
/// # Errors
/// If the decision module rejects them.
pub fn checked_settings(
    experiment: &Experiment,
    variant: &Variant,
    site: &Site,
) -> Result<Settings, LabError> {
    let settings = settings(experiment, variant, site);
    settings
        .check()
        .map_err(|source| LabError::VariantSettings {
            variant: variant.name.clone(),
            source,
        })?;
    Ok(settings)
}
