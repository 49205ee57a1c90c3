//! The reading of the failures of an experiment's text. Which fields a failure uses depends on what it is.

use martenlatch_clock::Millis;
use martenlatch_settings::schema::experiment as schema;
use martenlatch_settings::text::FieldError;

use super::rules::{self, NumberRule, number};
use super::section::{Section, Text};
use super::{Failure, FailureKind, World};
use crate::sampling::Span;

/// Milliseconds of a second.
const SECOND: Millis = 1e3;

/// The fields that a failure uses, with the defaults of each; none: not used.
#[derive(Default)]
struct UsedFields {
    size: Option<NumberRule>,
    /// Default of the share that is hit.
    part: Option<f64>,
    /// Default of the time between repetitions, in seconds.
    every: Option<f64>,
}

impl UsedFields {
    const fn size(default: f64, least: f64, most: f64) -> UsedFields {
        UsedFields {
            size: Some(number(default, least, most)),
            part: None,
            every: None,
        }
    }

    const fn part(default: f64) -> UsedFields {
        UsedFields {
            size: None,
            part: Some(default),
            every: None,
        }
    }

    const fn every(default: f64) -> UsedFields {
        UsedFields {
            size: None,
            part: None,
            every: Some(default),
        }
    }

    fn of(kind: FailureKind) -> UsedFields {
        match kind {
            FailureKind::Pauses => UsedFields {
                every: Some(2.3),
                ..UsedFields::size(300.0, 1.0, 60_000.0)
            },
            FailureKind::Burst => UsedFields::size(2.0, 0.0, 1_000.0),
            FailureKind::HeavyTail => UsedFields {
                part: Some(0.02),
                ..UsedFields::size(10.0, 1.0, 1_000.0)
            },
            FailureKind::Slow => UsedFields::size(2.0, 1.0, 1_000.0),
            FailureKind::ResetBefore | FailureKind::ResetAfter | FailureKind::Spoilt => {
                UsedFields::part(0.1)
            }
            FailureKind::SilentClose => UsedFields::size(1_000.0, 1.0, 3.6e6),
            FailureKind::DiscoveryLate => UsedFields::size(3.0, 1.0, 1_000.0),
            FailureKind::Replace => UsedFields::every(2.0),
            FailureKind::Sigterm | FailureKind::Sigkill => UsedFields::size(600.0, 1.0, 600_000.0),
            FailureKind::Tight => UsedFields::size(0.5, 0.01, 100.0),
            _ => UsedFields::default(),
        }
    }
}

/// Reads the failures of a run of so many seconds.
///
/// # Errors
/// The first fault.
pub(super) fn failures(
    text: &Text,
    world: &World,
    seconds: f64,
) -> Result<Vec<Failure>, FieldError> {
    let numbered = text.message.failure.iter().enumerate();
    numbered
        .map(|(number, given)| failure(text, number, given, world, seconds))
        .collect()
}

fn failure(
    text: &Text,
    number: usize,
    given: &schema::Failure,
    world: &World,
    seconds: f64,
) -> Result<Failure, FieldError> {
    use rules::failure as rule;
    let at = Section::new(text, format!("failure[{number}]"));
    let kind = given.what();
    let used = UsedFields::of(kind);
    check_used(&at, given, &used)?;
    let start = at.checked("start_s", given.start_s, Span::new(0.0, seconds))?;
    let length = at.checked("length_s", given.length_s, rule::LENGTH_S)?;
    check_partners(&at, given, world)?;
    let sender = given.sender.unwrap_or(0);
    let senders = Span::new(0.0, f64::from(world.senders) - 1.0);
    at.checked("sender", sender.into(), senders)?;
    let traffic_share = given
        .traffic
        .map(|share| at.checked("traffic", share, rules::SHARE))
        .transpose()?;
    let share = given.part.or(used.part).unwrap_or(rule::NO_PART);
    let every = given.every_s.or(used.every).unwrap_or(rule::NO_EVERY_S);
    Ok(Failure {
        kind,
        start: start * SECOND,
        end: (start + length) * SECOND,
        size: at.number("size", given.size, used.size.unwrap_or(rule::NO_SIZE))?,
        share: at.checked("part", share, rules::SHARE)?,
        repeat_interval: at.checked("every_s", every, rule::EVERY_S)? * SECOND,
        partner_ranks: given.partner.clone(),
        traffic_share,
        sender,
        reuse_address: given.reuse,
    })
}

/// Checks that a failure is named, and that no field is given that it does not use.
fn check_used(at: &Section, given: &schema::Failure, used: &UsedFields) -> Result<(), FieldError> {
    let kind = given.what();
    if kind == FailureKind::Nothing {
        return Err(at.fault("what", "a failure is wanted"));
    }
    let check = |field: &str, is_given: bool, is_used: bool| {
        if is_given && !is_used {
            let reason = format!("{} does not use it", kind.as_str_name());
            return Err(at.fault(field, reason));
        }
        Ok(())
    };
    check("reuse", given.reuse, kind == FailureKind::Replace)?;
    check("size", given.size.is_some(), used.size.is_some())?;
    check("part", given.part.is_some(), used.part.is_some())?;
    check("every_s", given.every_s.is_some(), used.every.is_some())
}

fn check_partners(at: &Section, given: &schema::Failure, world: &World) -> Result<(), FieldError> {
    let unknown = given.partner.iter().find(|rank| **rank >= world.partners);
    match unknown {
        Some(rank) => {
            let reason = format!("{rank} is not under {}", world.partners);
            Err(at.fault("partner", reason))
        }
        None => Ok(()),
    }
}
