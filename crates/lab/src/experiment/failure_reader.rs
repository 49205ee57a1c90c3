//! Reads the failures of an experiment's text. The kind of a failure determines which fields it uses.

use martenlatch_clock::Millis;
use martenlatch_settings::schema::experiment as schema;
use martenlatch_settings::text::FieldError;

use super::rules::{self, NumberRule, number};
use super::section::{ExperimentFile, Section};
use super::{Failure, FailureKind, World};
use crate::sampling::Span;

const MILLIS_PER_SECOND: Millis = 1e3;

/// The fields that a kind of failure uses, each with its default; `None` if the kind does not use the field.
#[derive(Default)]
struct UsedFields {
    size: Option<NumberRule>,
    /// Default of `part`, the share of calls or answers that is affected.
    part: Option<f64>,
    /// Default of `every_s`, the time between repetitions.
    every_s: Option<f64>,
}

impl UsedFields {
    const fn with_size(default: f64, least: f64, most: f64) -> UsedFields {
        UsedFields {
            size: Some(number(default, least, most)),
            part: None,
            every_s: None,
        }
    }

    const fn with_part(default: f64) -> UsedFields {
        UsedFields {
            size: None,
            part: Some(default),
            every_s: None,
        }
    }

    const fn with_every(default: f64) -> UsedFields {
        UsedFields {
            size: None,
            part: None,
            every_s: Some(default),
        }
    }

    fn of(kind: FailureKind) -> UsedFields {
        match kind {
            FailureKind::Pauses => UsedFields {
                every_s: Some(2.3),
                ..UsedFields::with_size(300.0, 1.0, 60_000.0)
            },
            FailureKind::Burst => UsedFields::with_size(2.0, 0.0, 1_000.0),
            FailureKind::HeavyTail => UsedFields {
                part: Some(0.02),
                ..UsedFields::with_size(10.0, 1.0, 1_000.0)
            },
            FailureKind::Slow => UsedFields::with_size(2.0, 1.0, 1_000.0),
            FailureKind::ResetBefore | FailureKind::ResetAfter | FailureKind::Spoilt => {
                UsedFields::with_part(0.1)
            }
            FailureKind::SilentClose => UsedFields::with_size(1_000.0, 1.0, 3.6e6),
            FailureKind::DiscoveryLate => UsedFields::with_size(3.0, 1.0, 1_000.0),
            FailureKind::Replace => UsedFields::with_every(2.0),
            FailureKind::Sigterm | FailureKind::Sigkill => {
                UsedFields::with_size(600.0, 1.0, 600_000.0)
            }
            FailureKind::Tight => UsedFields::with_size(0.5, 0.01, 100.0),
            _ => UsedFields::default(),
        }
    }
}

/// Reads the failures of an experiment. They begin within `length_s`, the length of its runs in seconds.
///
/// # Errors
/// The first field that is missing, out of bounds or not used by its kind of failure.
pub(super) fn read_failures(
    file: &ExperimentFile,
    world: &World,
    length_s: f64,
) -> Result<Vec<Failure>, FieldError> {
    let numbered = file.message.failure.iter().enumerate();
    numbered
        .map(|(number, given)| read_failure(file, number, given, world, length_s))
        .collect()
}

fn read_failure(
    file: &ExperimentFile,
    number: usize,
    given: &schema::Failure,
    world: &World,
    length_s: f64,
) -> Result<Failure, FieldError> {
    use rules::failure as rule;
    let section = Section::new(file, format!("failure[{number}]"));
    let kind = given.what();
    let used = UsedFields::of(kind);
    check_fields_used(&section, given, &used)?;
    let start = section.check_bounds("start_s", given.start_s, Span::new(0.0, length_s))?;
    let length = section.check_bounds("length_s", given.length_s, rule::LENGTH_S)?;
    check_partners(&section, given, world)?;
    let sender = given.sender.unwrap_or(0);
    let sender_numbers = Span::new(0.0, f64::from(world.senders) - 1.0);
    section.check_bounds("sender", sender.into(), sender_numbers)?;
    let traffic_share = given
        .traffic
        .map(|share| section.check_bounds("traffic", share, rules::SHARE))
        .transpose()?;
    let part = given.part.or(used.part).unwrap_or(rule::UNUSED_PART);
    let every_s = given
        .every_s
        .or(used.every_s)
        .unwrap_or(rule::UNUSED_EVERY_S);
    Ok(Failure {
        kind,
        start: start * MILLIS_PER_SECOND,
        end: (start + length) * MILLIS_PER_SECOND,
        size: section.number("size", given.size, used.size.unwrap_or(rule::UNUSED_SIZE))?,
        share: section.check_bounds("part", part, rules::SHARE)?,
        repeat_interval: section.check_bounds("every_s", every_s, rule::EVERY_S)?
            * MILLIS_PER_SECOND,
        partner_ranks: given.partner.clone(),
        traffic_share,
        sender,
        reuse_address: given.reuse,
    })
}

/// Checks that the kind of a failure is given, and that every given field is used by this kind.
fn check_fields_used(
    section: &Section,
    given: &schema::Failure,
    used: &UsedFields,
) -> Result<(), FieldError> {
    let kind = given.what();
    if kind == FailureKind::Nothing {
        return Err(section.field_error("what", "a kind of failure is required"));
    }
    let check = |field: &str, is_given: bool, is_used: bool| {
        if is_given && !is_used {
            let reason = format!("{} does not use this field", kind.as_str_name());
            return Err(section.field_error(field, reason));
        }
        Ok(())
    };
    check("reuse", given.reuse, kind == FailureKind::Replace)?;
    check("size", given.size.is_some(), used.size.is_some())?;
    check("part", given.part.is_some(), used.part.is_some())?;
    check("every_s", given.every_s.is_some(), used.every_s.is_some())
}

fn check_partners(
    section: &Section,
    given: &schema::Failure,
    world: &World,
) -> Result<(), FieldError> {
    let unknown = given.partner.iter().find(|rank| **rank >= world.partners);
    match unknown {
        Some(rank) => {
            let reason = format!(
                "{rank} is not below the number of partners, {}",
                world.partners
            );
            Err(section.field_error("partner", reason))
        }
        None => Ok(()),
    }
}
