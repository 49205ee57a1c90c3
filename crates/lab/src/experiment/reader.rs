//! The reading of an experiment's text: every field is checked against its bounds, and absent ones get their
//! defaults. Fields are checked in the order in which they are written here, and the first fault is reported.

use martenlatch_clock::Millis;
use martenlatch_settings::schema::experiment as schema;
use martenlatch_settings::text::{self, FieldError};

use super::section::{Section, Text};
use super::{
    Class, Effect, Experiment, Kind, Load, Variant, World, defaults, failure_reader, rules,
};

/// The full name of the message in the schemas.
const SCHEMA: &str = "martenlatch.experiment.Experiment";
/// Milliseconds of a second.
const SECOND: Millis = 1e3;

/// Reads an experiment's text.
///
/// # Errors
/// The first fault of form or of bounds.
pub(super) fn read(name: &str, file: &str, text: &str) -> Result<Experiment, FieldError> {
    let text = text::read::<schema::Experiment>(file, text, SCHEMA)?;
    let given = &text.message;
    let top = Section::new(&text, "");
    let seconds = top.checked("length_s", given.length_s, rules::top::LENGTH_S)?;
    let repeats = top.count("repeats", given.repeats, rules::top::REPEATS)?;
    let world = world(&text)?;
    let failures = failure_reader::failures(&text, &world, seconds)?;
    let variants = variants(&text)?;
    Ok(Experiment {
        name: name.into(),
        about: given.about.clone(),
        length: seconds * SECOND,
        seed: given.seed.unwrap_or(rules::top::DEFAULT_SEED),
        repeats,
        load: load(&text)?,
        world,
        failures,
        variants,
    })
}

fn world(text: &Text) -> Result<World, FieldError> {
    use rules::world as rule;
    let at = Section::new(text, "world");
    let given = text.message.world.clone().unwrap_or_default();
    Ok(World {
        senders: at.count("senders", given.senders, rule::SENDERS)?,
        partners: at.count("partners", given.partners, rule::PARTNERS)?,
        mean_endpoints: at.number("endpoints", given.endpoints, rule::ENDPOINTS)?,
        zipf_exponent: at.number("zipf", given.zipf, rule::ZIPF)?,
        full_rate: at.number("full_rate", given.full_rate, rule::FULL_RATE)?,
        latency: at.span("latency_ms", given.latency_ms, rule::LATENCY_MS)?,
        idle_timeout: at.number("idle_s", given.idle_s, rule::IDLE_S)? * SECOND,
        connections_per_endpoint: at.count("connections", given.connections, rule::CONNECTIONS)?,
        list_lateness: at.span("list_ms", given.list_ms, rule::LIST_MS)?,
        kinds: kinds(text, given.kind)?,
        classes: classes(text, given.class)?,
    })
}

fn kinds(text: &Text, given: Vec<schema::Kind>) -> Result<Vec<Kind>, FieldError> {
    let given = if given.is_empty() {
        defaults::kinds()
    } else {
        given
    };
    let numbered = given.iter().enumerate();
    numbered
        .map(|(number, given)| kind(text, number, given))
        .collect()
}

fn kind(text: &Text, number: usize, given: &schema::Kind) -> Result<Kind, FieldError> {
    use rules::kind as rule;
    let at = Section::new(text, format!("world.kind[{number}]"));
    Ok(Kind {
        name: at.name(&given.name)?,
        share: at.checked("share", given.share, rules::RELATIVE_SHARE)?,
        traffic_lean: at.checked("lean", given.lean, rule::LEAN)?,
        rate_limit: given.limit(),
        headroom: at.span("headroom", given.headroom, rule::HEADROOM)?,
        least_rate: at.span("least_rate", given.least_rate, rule::LEAST_RATE)?,
        limit_window: at.number("window_ms", given.window_ms, rule::WINDOW_MS)?,
        rejections_count: given.refused_count,
        retry_after_share: at.number("tells_wait", given.tells_wait, rule::TELLS_WAIT)?,
        retry_after: at.span("wait_ms", given.wait_ms, rule::WAIT_MS)?,
        service_time_factor: at.span("speed", given.speed, rule::SPEED)?,
        queue_per_core: at.span("queue", given.queue, rule::QUEUE)?,
        initial_share: at.number("cold_from", given.cold_from, rule::COLD_FROM)?,
        warm_up: at.number("cold_s", given.cold_s, rule::COLD_S)? * SECOND,
        error_share: at.number("errors", given.errors, rule::ERRORS)?,
    })
}

fn classes(text: &Text, given: Vec<schema::Class>) -> Result<Vec<Class>, FieldError> {
    let given = if given.is_empty() {
        defaults::classes()
    } else {
        given
    };
    let numbered = given.iter().enumerate();
    numbered
        .map(|(number, given)| class(text, number, given))
        .collect()
}

fn class(text: &Text, number: usize, given: &schema::Class) -> Result<Class, FieldError> {
    use rules::class as rule;
    let at = Section::new(text, format!("world.class[{number}]"));
    let name = at.name(&given.name)?;
    let effect = given.effect();
    let latency_objective = at.number("aim_ms", given.aim_ms, rule::AIM_MS)?;
    if effect == Effect::Keyed && given.window_ms.is_none() {
        return Err(at.fault("window_ms", "a KEYED class needs it"));
    }
    let deadline_rule = rule::deadline_ms(latency_objective);
    Ok(Class {
        name,
        share: at.checked("share", given.share, rules::RELATIVE_SHARE)?,
        work: at.span("work_ms", given.work_ms, rule::WORK_MS)?,
        work_variation: at.number("cv", given.cv, rule::CV)?,
        effect,
        idempotency_window: at.number("window_ms", given.window_ms, rule::WINDOW_MS)?,
        latency_objective,
        deadline: at.number("deadline_ms", given.deadline_ms, deadline_rule)?,
        late_weight_share: at.number("late_worth", given.late_worth, rule::LATE_WORTH)?,
    })
}

fn load(text: &Text) -> Result<Load, FieldError> {
    use rules::load as rule;
    let at = Section::new(text, "load");
    let given = text.message.load.unwrap_or_default();
    let retries = given.retries.map(f64::from);
    Ok(Load {
        level: at.checked("level", given.level, rule::LEVEL)?,
        clump_share: at.number("clump_share", given.clump_share, rule::CLUMP_SHARE)?,
        clump_seconds: at.span("clump_s", given.clump_s, rule::CLUMP_S)?,
        swing: at.number("swing", given.swing, rule::SWING)?,
        swing_period: at.number("swing_s", given.swing_s, rule::SWING_S)? * SECOND,
        retries: at.number("retries", retries, rule::RETRIES)? as u32,
        backoff: at.span("backoff_ms", given.backoff_ms, rule::BACKOFF_MS)?,
    })
}

fn variants(text: &Text) -> Result<Vec<Variant>, FieldError> {
    let given = &text.message.variant;
    let variants: Vec<Variant> = if given.is_empty() {
        vec![variant(text, 0, &defaults::variant())?]
    } else {
        given
            .iter()
            .enumerate()
            .map(|(number, given)| variant(text, number, given))
            .collect::<Result<_, _>>()?
    };
    for (number, variant) in variants.iter().enumerate() {
        let earlier = &variants[..number];
        if earlier.iter().any(|other| other.name == variant.name) {
            let at = Section::new(text, format!("variant[{number}]"));
            let reason = format!("{:?} is there already", variant.name);
            return Err(at.fault("name", reason));
        }
    }
    Ok(variants)
}

fn variant(text: &Text, number: usize, given: &schema::Variant) -> Result<Variant, FieldError> {
    use rules::variant as rule;
    let at = Section::new(text, format!("variant[{number}]"));
    let path = |given: &String| (!given.is_empty()).then(|| given.into());
    Ok(Variant {
        name: at.name(&given.name)?,
        max_in_flight: at.optional_count("slots", given.slots, rule::COUNT)?,
        max_held: at.optional_count("hold_limit", given.hold_limit, rule::COUNT)?,
        max_attempts: at
            .optional_count("max_attempts", given.max_attempts, rule::COUNT)?
            .unwrap_or(rule::DEFAULT_MAX_ATTEMPTS) as u32,
        may_hedge: given.second_copies.unwrap_or(true),
        may_cancel: given.cancel.unwrap_or(true),
        program: path(&given.program),
        settings_file: path(&given.settings),
        receives_gossip: given.learns,
        gossip_age: at.number("told_age_s", given.told_age_s, rule::TOLD_AGE_S)? * SECOND,
    })
}
