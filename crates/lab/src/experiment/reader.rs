//! Reads an experiment's text: checks every field against its bounds and fills in the defaults of absent fields.
//! Fields are checked in the order of the code in this module, and the first error is reported.

use martenlatch_clock::Millis;
use martenlatch_settings::schema::experiment as schema;
use martenlatch_settings::text::{self, FieldError};

use super::section::{ExperimentFile, Section};
use super::{
    Class, Effect, Experiment, Kind, Load, Variant, World, defaults, failure_reader, rules,
};

/// The full name of the message type in the schema.
const SCHEMA: &str = "martenlatch.experiment.Experiment";
const MILLIS_PER_SECOND: Millis = 1e3;

/// Reads an experiment's text.
///
/// # Errors
/// The first error of syntax or of bounds.
pub(super) fn read(name: &str, file_name: &str, text: &str) -> Result<Experiment, FieldError> {
    let file = text::read::<schema::Experiment>(file_name, text, SCHEMA)?;
    let given = &file.message;
    let top = Section::new(&file, "");
    let length_s = top.check_bounds("length_s", given.length_s, rules::top::LENGTH_S)?;
    let repeats = top.count("repeats", given.repeats, rules::top::REPEATS)?;
    let world = read_world(&file)?;
    let failures = failure_reader::read_failures(&file, &world, length_s)?;
    let variants = read_variants(&file)?;
    Ok(Experiment {
        name: name.into(),
        about: given.about.clone(),
        length: length_s * MILLIS_PER_SECOND,
        seed: given.seed.unwrap_or(rules::top::DEFAULT_SEED),
        repeats,
        load: read_load(&file)?,
        world,
        failures,
        variants,
    })
}

fn read_world(file: &ExperimentFile) -> Result<World, FieldError> {
    use rules::world as rule;
    let section = Section::new(file, "world");
    let given = file.message.world.clone().unwrap_or_default();
    Ok(World {
        senders: section.count("senders", given.senders, rule::SENDERS)?,
        partners: section.count("partners", given.partners, rule::PARTNERS)?,
        mean_endpoints: section.number("endpoints", given.endpoints, rule::ENDPOINTS)?,
        zipf_exponent: section.number("zipf", given.zipf, rule::ZIPF)?,
        full_rate: section.number("full_rate", given.full_rate, rule::FULL_RATE)?,
        latency: section.span("latency_ms", given.latency_ms, rule::LATENCY_MS)?,
        idle_timeout: section.number("idle_s", given.idle_s, rule::IDLE_S)? * MILLIS_PER_SECOND,
        connections_per_endpoint: section.count(
            "connections",
            given.connections,
            rule::CONNECTIONS,
        )?,
        list_lateness: section.span("list_ms", given.list_ms, rule::LIST_MS)?,
        kinds: read_kinds(file, given.kind)?,
        classes: read_classes(file, given.class)?,
    })
}

fn read_kinds(file: &ExperimentFile, given: Vec<schema::Kind>) -> Result<Vec<Kind>, FieldError> {
    let given = if given.is_empty() {
        defaults::kinds()
    } else {
        given
    };
    let numbered = given.iter().enumerate();
    numbered
        .map(|(number, given)| read_kind(file, number, given))
        .collect()
}

fn read_kind(
    file: &ExperimentFile,
    number: usize,
    given: &schema::Kind,
) -> Result<Kind, FieldError> {
    use rules::kind as rule;
    let section = Section::new(file, format!("world.kind[{number}]"));
    Ok(Kind {
        name: section.name(&given.name)?,
        share: section.check_bounds("share", given.share, rules::RELATIVE_SHARE)?,
        traffic_lean: section.check_bounds("lean", given.lean, rule::LEAN)?,
        rate_limit: given.limit(),
        headroom: section.span("headroom", given.headroom, rule::HEADROOM)?,
        least_rate: section.span("least_rate", given.least_rate, rule::LEAST_RATE)?,
        limit_window: section.number("window_ms", given.window_ms, rule::WINDOW_MS)?,
        rejections_count: given.refused_count,
        retry_after_share: section.number("tells_wait", given.tells_wait, rule::TELLS_WAIT)?,
        retry_after: section.span("wait_ms", given.wait_ms, rule::WAIT_MS)?,
        service_time_factor: section.span("speed", given.speed, rule::SPEED)?,
        queue_per_core: section.span("queue", given.queue, rule::QUEUE)?,
        initial_share: section.number("cold_from", given.cold_from, rule::COLD_FROM)?,
        warm_up: section.number("cold_s", given.cold_s, rule::COLD_S)? * MILLIS_PER_SECOND,
        error_share: section.number("errors", given.errors, rule::ERRORS)?,
    })
}

fn read_classes(
    file: &ExperimentFile,
    given: Vec<schema::Class>,
) -> Result<Vec<Class>, FieldError> {
    let given = if given.is_empty() {
        defaults::classes()
    } else {
        given
    };
    let numbered = given.iter().enumerate();
    numbered
        .map(|(number, given)| read_class(file, number, given))
        .collect()
}

fn read_class(
    file: &ExperimentFile,
    number: usize,
    given: &schema::Class,
) -> Result<Class, FieldError> {
    use rules::class as rule;
    let section = Section::new(file, format!("world.class[{number}]"));
    let name = section.name(&given.name)?;
    let effect = given.effect();
    let latency_objective = section.number("aim_ms", given.aim_ms, rule::AIM_MS)?;
    if effect == Effect::Keyed && given.window_ms.is_none() {
        return Err(section.field_error("window_ms", "a KEYED class requires this field"));
    }
    let deadline_rule = rule::deadline_ms(latency_objective);
    Ok(Class {
        name,
        share: section.check_bounds("share", given.share, rules::RELATIVE_SHARE)?,
        work: section.span("work_ms", given.work_ms, rule::WORK_MS)?,
        work_variation: section.number("cv", given.cv, rule::CV)?,
        effect,
        idempotency_window: section.number("window_ms", given.window_ms, rule::WINDOW_MS)?,
        latency_objective,
        deadline: section.number("deadline_ms", given.deadline_ms, deadline_rule)?,
        late_weight_share: section.number("late_worth", given.late_worth, rule::LATE_WORTH)?,
    })
}

fn read_load(file: &ExperimentFile) -> Result<Load, FieldError> {
    use rules::load as rule;
    let section = Section::new(file, "load");
    let given = file.message.load.unwrap_or_default();
    let retries = given.retries.map(f64::from);
    Ok(Load {
        level: section.check_bounds("level", given.level, rule::LEVEL)?,
        clump_share: section.number("clump_share", given.clump_share, rule::CLUMP_SHARE)?,
        clump_seconds: section.span("clump_s", given.clump_s, rule::CLUMP_S)?,
        swing: section.number("swing", given.swing, rule::SWING)?,
        swing_period: section.number("swing_s", given.swing_s, rule::SWING_S)? * MILLIS_PER_SECOND,
        retries: section.number("retries", retries, rule::RETRIES)? as u32,
        backoff: section.span("backoff_ms", given.backoff_ms, rule::BACKOFF_MS)?,
    })
}

fn read_variants(file: &ExperimentFile) -> Result<Vec<Variant>, FieldError> {
    let given = &file.message.variant;
    let variants: Vec<Variant> = if given.is_empty() {
        vec![read_variant(file, 0, &defaults::variant())?]
    } else {
        given
            .iter()
            .enumerate()
            .map(|(number, given)| read_variant(file, number, given))
            .collect::<Result<_, _>>()?
    };
    for (number, variant) in variants.iter().enumerate() {
        let earlier = &variants[..number];
        if earlier.iter().any(|other| other.name == variant.name) {
            let section = Section::new(file, format!("variant[{number}]"));
            let reason = format!("{:?} is the name of an earlier variant", variant.name);
            return Err(section.field_error("name", reason));
        }
    }
    Ok(variants)
}

fn read_variant(
    file: &ExperimentFile,
    number: usize,
    given: &schema::Variant,
) -> Result<Variant, FieldError> {
    use rules::variant as rule;
    let section = Section::new(file, format!("variant[{number}]"));
    let path = |given: &String| (!given.is_empty()).then(|| given.into());
    Ok(Variant {
        name: section.name(&given.name)?,
        max_in_flight: section.optional_count("slots", given.slots, rule::COUNT)?,
        max_held: section.optional_count("hold_limit", given.hold_limit, rule::COUNT)?,
        max_attempts: section
            .optional_count("max_attempts", given.max_attempts, rule::COUNT)?
            .unwrap_or(rule::DEFAULT_MAX_ATTEMPTS) as u32,
        may_hedge: given.second_copies.unwrap_or(true),
        may_cancel: given.cancel.unwrap_or(true),
        program: path(&given.program),
        settings_file: path(&given.settings),
        receives_gossip: given.learns,
        gossip_age: section.number("told_age_s", given.told_age_s, rule::TOLD_AGE_S)?
            * MILLIS_PER_SECOND,
    })
}
