//! The platform's settings for a sender under test, in the platform's JSON.

use martenlatch_policy::interface::{Idempotency, MessageClass, Settings};
use serde_json::{Value, json};

/// Durations of the platform's `Guarantees` in nanoseconds. Only programs before 0.3 read them.
const STOP_SENDING_WITHIN: u64 = 1_000_000_000;
const GRACE_TO_ANSWER: u64 = 20_000_000;

/// The platform's form of the decision module's settings. `classes` and `kinds` are the names, in the order of the
/// experiment.
pub fn platform_settings(settings: &Settings, classes: &[String], kinds: &[String]) -> Value {
    let categories: Vec<Value> = classes
        .iter()
        .zip(&settings.classes)
        .map(|(name, class)| category(name, class))
        .collect();
    json!({
        "Areas": ["a"],
        "Zone": "a",
        "Balancers": settings.senders,
        "Kinds": kinds,
        "WeightKind": "rough",
        "Categories": categories,
        "FamilyInfo": {"CallsOut": settings.max_in_flight, "LosesWorth": "halving"},
        "Limits": limits(settings),
        "Guarantees": guarantees(settings),
        "Tick": settings.turn_interval
    })
}

fn category(name: &str, class: &MessageClass) -> Value {
    let mut category = json!({
        "Name": name,
        "Target": class.latency_objective,
        "Deadline": class.deadline,
        "Worth": class.priority_weight,
        "LateWorth": class.late_weight_share
    });
    match class.idempotency {
        Idempotency::Idempotent => category["Effect"] = json!("pure"),
        Idempotency::NonIdempotent => category["Effect"] = json!("side_effect"),
        Idempotency::IdempotencyKey { window, .. } => {
            category["Effect"] = json!("token");
            category["KeyScope"] = json!("all");
            category["MemorySpan"] = json!(window);
        }
    }
    category
}

fn limits(settings: &Settings) -> Value {
    json!({
        "OpenCap": settings.max_open_messages,
        "AttemptsCap": settings.max_attempts,
        "Cancel": settings.may_cancel,
        "SecondCopies": settings.may_hedge,
        "ConnectTimeout": settings.connect_timeout,
        "ConnIdle": settings.idle_timeout,
        "RetryAfter": true,
        "MaxRetryAfter": settings.max_retry_after.unwrap_or(0)
    })
}

fn guarantees(settings: &Settings) -> Value {
    json!({
        "StopSendingWithin": STOP_SENDING_WITHIN,
        "GraceToAnswer": GRACE_TO_ANSWER,
        "OverloadFactor": settings.recovery.overload_factor,
        "OverloadFor": settings.recovery.overload_window,
        "ColdFrom": settings.recovery.initial_share,
        "Cold": settings.recovery.duration
    })
}
