//! Owns what an experiment says: the reading of its file, the defaults and the bounds. It must never play anything,
//! or take a file in part.

use std::path::{Path, PathBuf};

use martenlatch_clock::Millis;
use martenlatch_settings::schema::experiment as schema;
use martenlatch_settings::text::{self, Fault, Read};

use crate::sampling::{Stream, rng_for, uniform};

pub use schema::class::Effect;
pub use schema::failure::What;
pub use schema::kind::Limit;

pub use crate::sampling::Span;

/// The distribution of the work of a class's messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkDistribution {
    /// The mean, in milliseconds.
    pub mean: Millis,
    /// The coefficient of variation.
    pub variation: f64,
}

/// A checked experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Its file's name without the ending.
    pub name: String,
    /// What it is meant to show.
    pub about: String,
    /// How long messages are handed in.
    pub length: Millis,
    /// Where the seeds begin.
    pub seed: u64,
    /// How many seeds every variant plays.
    pub repeats: u32,
    /// Partners, senders and what is between them.
    pub world: World,
    /// What clients do.
    pub load: Load,
    /// What goes wrong.
    pub failures: Vec<Failure>,
    /// What is compared; the first is what the others are compared with.
    pub variants: Vec<Variant>,
}

/// Partners, senders and what is between them.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct World {
    pub senders: u32,
    pub partners: u32,
    pub endpoints: f64,
    pub zipf: f64,
    /// Messages a second over all senders at full load.
    pub full_rate: f64,
    pub latency: Span,
    pub idle: Millis,
    pub connections: u32,
    pub list: Span,
    pub kinds: Vec<Kind>,
    pub classes: Vec<Class>,
}

/// A kind of partner; see the schema.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Kind {
    pub name: String,
    pub share: f64,
    pub lean: f64,
    pub limit: Limit,
    pub headroom: Span,
    pub least_rate: Span,
    pub window: Millis,
    pub refused_count: bool,
    pub tells_wait: f64,
    pub wait: Span,
    pub speed: Span,
    pub queue: Span,
    pub cold_from: f64,
    pub cold: Millis,
    pub errors: f64,
}

/// A class of message; see the schema.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Class {
    pub name: String,
    pub share: f64,
    pub work: Span,
    pub cv: f64,
    pub effect: Effect,
    pub window: Millis,
    pub aim: Millis,
    pub deadline: Millis,
    pub late_worth: f64,
}

impl Class {
    /// Worth of a message delivered so long after it was first handed in: whole within the aim, then half as much
    /// with each further aim, at least the late worth, and nothing after the deadline.
    pub fn worth(&self, after: Millis) -> f64 {
        if after > self.deadline {
            return 0.0;
        }
        0.5f64
            .powf(((after - self.aim) / self.aim).max(0.0))
            .max(self.late_worth)
    }
}

/// What clients do; see the schema.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Load {
    pub level: f64,
    pub clumps: f64,
    pub clump: Span,
    pub swing: f64,
    pub swing_period: Millis,
    pub retries: u32,
    pub backoff: Span,
}

/// One thing that goes wrong; see the schema.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Failure {
    pub what: What,
    pub start: Millis,
    pub end: Millis,
    pub size: f64,
    pub part: f64,
    pub every: Millis,
    pub partners: Vec<u32>,
    pub traffic: Option<f64>,
    pub sender: u32,
    pub reuse: bool,
}

/// What is compared; see the schema.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Variant {
    pub name: String,
    pub slots: Option<usize>,
    pub hold_limit: Option<usize>,
    pub max_attempts: u32,
    pub second_copies: bool,
    pub cancel: bool,
    pub program: Option<PathBuf>,
    pub settings: Option<PathBuf>,
    /// A sender that starts learns from those that run, and how old that is in simulated time.
    pub learns: bool,
    pub told_age: Millis,
}

impl Experiment {
    /// When a sender starts that is not there from the beginning.
    pub fn join_time(&self, sender: u32) -> Option<Millis> {
        let join = self
            .failures
            .iter()
            .find(|f| f.what == What::Join && f.sender == sender);
        join.map(|f| f.start)
    }

    /// Reads an experiment's file.
    ///
    /// # Errors
    /// One line that names the file, and the line and the field where it is the text that is wrong.
    pub fn open(file: &Path) -> Result<Experiment, String> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        let name = file
            .file_stem()
            .map_or("experiment".into(), |n| n.to_string_lossy().into_owned());
        Experiment::read(&name, &file.display().to_string(), &text).map_err(|e| e.to_string())
    }

    /// The work of a class's messages; its mean is drawn once for a world.
    pub fn work(&self, seed: u64, class: u32) -> WorkDistribution {
        let work_class = &self.world.classes[class as usize];
        let mut rng = rng_for(seed, Stream::Work, u64::MAX, class.into());
        WorkDistribution {
            mean: uniform(&mut rng, work_class.work),
            variation: work_class.cv,
        }
    }

    /// Reads an experiment's text.
    ///
    /// # Errors
    /// The first fault of form or of bounds.
    pub fn read(name: &str, file: &str, text: &str) -> Result<Experiment, Fault> {
        let read =
            text::read::<schema::Experiment>(file, text, "martenlatch.experiment.Experiment")?;
        let it = &read.message;
        let seconds = read.within("length_s", it.length_s, 1.0, 86_400.0)?;
        let repeats = it.repeats.unwrap_or(3);
        read.within("repeats", repeats.into(), 1.0, 1_000.0)?;
        let world = world(&read)?;
        let failures = it
            .failure
            .iter()
            .enumerate()
            .map(|(i, f)| failure(&read, i, f, &world, seconds));
        let failures = failures.collect::<Result<Vec<_>, _>>()?;
        let mut variants = it
            .variant
            .iter()
            .enumerate()
            .map(|(i, v)| variant(&read, i, v))
            .collect::<Result<Vec<_>, _>>()?;
        if variants.is_empty() {
            variants.push(variant(
                &read,
                0,
                &schema::Variant {
                    name: "base".into(),
                    ..Default::default()
                },
            )?);
        }
        for (i, v) in variants.iter().enumerate() {
            if variants[..i].iter().any(|w| w.name == v.name) {
                return Err(read.fault(
                    &format!("variant[{i}].name"),
                    format!("{:?} is there already", v.name),
                ));
            }
        }
        Ok(Experiment {
            name: name.into(),
            about: it.about.clone(),
            length: seconds * 1e3,
            seed: it.seed.unwrap_or(1),
            repeats,
            load: load(&read)?,
            world,
            failures,
            variants,
        })
    }
}

type In = Read<schema::Experiment>;

fn span(
    read: &In,
    field: &str,
    told: Option<&schema::Span>,
    absent: (f64, f64),
    bounds: (f64, f64),
) -> Result<Span, Fault> {
    let Some(told) = told else {
        return Ok(Span::new(absent.0, absent.1));
    };
    read.within(&format!("{field}.least"), told.least, bounds.0, bounds.1)?;
    read.within(&format!("{field}.most"), told.most, told.least, bounds.1)?;
    Ok(Span::new(told.least, told.most))
}

fn world(read: &In) -> Result<World, Fault> {
    let it = read.message.world.clone().unwrap_or_default();
    let count = |field: &str, told: Option<u32>, absent: u32, most: u32| {
        let value = told.unwrap_or(absent);
        read.within(&format!("world.{field}"), value.into(), 1.0, most.into())
            .map(|_| value)
    };
    let number = |field: &str, told: Option<f64>, absent: f64, least: f64, most: f64| {
        read.within(
            &format!("world.{field}"),
            told.unwrap_or(absent),
            least,
            most,
        )
    };
    let kinds = if it.kind.is_empty() {
        usual_kinds()
    } else {
        it.kind.clone()
    };
    let classes = if it.class.is_empty() {
        usual_classes()
    } else {
        it.class.clone()
    };
    Ok(World {
        senders: count("senders", it.senders, 2, 1_000)?,
        partners: count("partners", it.partners, 12, 100_000)?,
        endpoints: number("endpoints", it.endpoints, 1.8, 1.0, 4.0)?,
        zipf: number("zipf", it.zipf, 0.76, 0.0, 3.0)?,
        full_rate: number("full_rate", it.full_rate, 55.0, 0.01, 1e6)?,
        latency: span(
            read,
            "world.latency_ms",
            it.latency_ms.as_ref(),
            (5.0, 15.0),
            (0.01, 5_000.0),
        )?,
        idle: number("idle_s", it.idle_s, 15.0, 0.1, 3_600.0)? * 1e3,
        connections: count("connections", it.connections, 64, 65_536)?,
        list: span(
            read,
            "world.list_ms",
            it.list_ms.as_ref(),
            (600.0, 5_000.0),
            (0.0, 60_000.0),
        )?,
        kinds: kinds
            .iter()
            .enumerate()
            .map(|(i, k)| kind(read, i, k))
            .collect::<Result<_, _>>()?,
        classes: classes
            .iter()
            .enumerate()
            .map(|(i, c)| class(read, i, c))
            .collect::<Result<_, _>>()?,
    })
}

/// The kinds of partner of the brief.
fn usual_kinds() -> Vec<schema::Kind> {
    let span = |least: f64, most: f64| Some(schema::Span { least, most });
    let kind = |name: &str, share, lean, limit: Limit| schema::Kind {
        name: name.into(),
        share,
        lean,
        limit: limit.into(),
        ..Default::default()
    };
    vec![
        schema::Kind {
            window_ms: Some(2_000.0),
            tells_wait: Some(0.68),
            ..kind("payment-processor", 0.2, 1.0, Limit::Window)
        },
        schema::Kind {
            window_ms: Some(1_500.0),
            tells_wait: Some(0.33),
            speed: span(1.2, 1.6),
            least_rate: span(2.3, 4.5),
            errors: Some(0.001),
            ..kind("housing-assoc", 0.4, -0.6, Limit::Window)
        },
        schema::Kind {
            tells_wait: Some(0.3),
            headroom: span(0.98, 2.1),
            least_rate: span(1.5, 4.7),
            ..kind("council", 0.4, -0.3, Limit::Rate)
        },
    ]
}

/// The classes of message of the brief.
fn usual_classes() -> Vec<schema::Class> {
    let class = |name: &str, share, least, most, effect: Effect, window_ms| schema::Class {
        name: name.into(),
        share,
        work_ms: Some(schema::Span { least, most }),
        effect: effect.into(),
        window_ms,
        ..Default::default()
    };
    vec![
        class("direct-debit", 0.51, 220.0, 390.0, Effect::Unsafe, None),
        class(
            "meter-reading",
            0.49,
            340.0,
            580.0,
            Effect::Keyed,
            Some(6_000.0),
        ),
    ]
}

fn kind(read: &In, i: usize, it: &schema::Kind) -> Result<Kind, Fault> {
    let at = |field: &str| format!("world.kind[{i}].{field}");
    let number = |field: &str, told: Option<f64>, absent: f64, least: f64, most: f64| {
        read.within(&at(field), told.unwrap_or(absent), least, most)
    };
    let within =
        |field: &str, told: &Option<schema::Span>, absent: (f64, f64), bounds: (f64, f64)| {
            span(read, &at(field), told.as_ref(), absent, bounds)
        };
    if it.name.is_empty() {
        return Err(read.fault(&at("name"), "a name is wanted"));
    }
    Ok(Kind {
        name: it.name.clone(),
        share: number("share", Some(it.share), 0.0, 1e-6, 1e6)?,
        lean: number("lean", Some(it.lean), 0.0, -5.0, 5.0)?,
        limit: it.limit(),
        headroom: within("headroom", &it.headroom, (1.1, 2.0), (0.01, 100.0))?,
        least_rate: within("least_rate", &it.least_rate, (1.7, 4.4), (0.0, 1e6))?,
        window: number("window_ms", it.window_ms, 1_000.0, 10.0, 3.6e6)?,
        refused_count: it.refused_count,
        tells_wait: number("tells_wait", it.tells_wait, 0.5, 0.0, 1.0)?,
        wait: within("wait_ms", &it.wait_ms, (300.0, 950.0), (1.0, 3.6e6))?,
        speed: within("speed", &it.speed, (0.85, 1.1), (0.01, 100.0))?,
        queue: within("queue", &it.queue, (1.0, 3.0), (0.0, 1_000.0))?,
        cold_from: number("cold_from", it.cold_from, 0.25, 0.01, 1.0)?,
        cold: number("cold_s", it.cold_s, 8.0, 0.0, 3_600.0)? * 1e3,
        errors: number("errors", it.errors, 0.005, 0.0, 1.0)?,
    })
}

fn class(read: &In, i: usize, it: &schema::Class) -> Result<Class, Fault> {
    let at = |field: &str| format!("world.class[{i}].{field}");
    let number = |field: &str, told: Option<f64>, absent: f64, least: f64, most: f64| {
        read.within(&at(field), told.unwrap_or(absent), least, most)
    };
    if it.name.is_empty() {
        return Err(read.fault(&at("name"), "a name is wanted"));
    }
    let (effect, aim) = (
        it.effect(),
        number("aim_ms", it.aim_ms, 3_000.0, 1.0, 3.6e6)?,
    );
    if effect == Effect::Keyed && it.window_ms.is_none() {
        return Err(read.fault(&at("window_ms"), "a KEYED class needs it"));
    }
    Ok(Class {
        name: it.name.clone(),
        share: number("share", Some(it.share), 0.0, 1e-6, 1e6)?,
        work: span(
            read,
            &at("work_ms"),
            it.work_ms.as_ref(),
            (300.0, 400.0),
            (0.1, 3.6e6),
        )?,
        cv: number("cv", it.cv, 0.9, 0.01, 10.0)?,
        effect,
        window: number("window_ms", it.window_ms, 0.0, 0.0, 8.64e7)?,
        aim,
        deadline: number("deadline_ms", it.deadline_ms, 16_000.0, aim, 8.64e7)?,
        late_worth: number("late_worth", it.late_worth, 0.4, 0.0, 1.0)?,
    })
}

fn load(read: &In) -> Result<Load, Fault> {
    let it = read.message.load.unwrap_or_default();
    let number = |field: &str, told: Option<f64>, absent: f64, least: f64, most: f64| {
        read.within(
            &format!("load.{field}"),
            told.unwrap_or(absent),
            least,
            most,
        )
    };
    Ok(Load {
        level: number("level", Some(it.level), 0.0, 0.001, 1_000.0)?,
        clumps: number("clump_share", it.clump_share, 0.1, 0.0, 1.0)?,
        clump: span(
            read,
            "load.clump_s",
            it.clump_s.as_ref(),
            (1.0, 3.5),
            (0.0, 600.0),
        )?,
        swing: number("swing", it.swing, 0.0, 0.0, 1.0)?,
        swing_period: number("swing_s", it.swing_s, 60.0, 0.1, 86_400.0)? * 1e3,
        retries: number("retries", it.retries.map(f64::from), 2.0, 0.0, 100.0)? as u32,
        backoff: span(
            read,
            "load.backoff_ms",
            it.backoff_ms.as_ref(),
            (510.0, 1_400.0),
            (1.0, 3.6e6),
        )?,
    })
}

/// What `size`, `part` and `every_s` may be, and what stands for them where the file says nothing; none: not used.
struct Wants {
    size: Option<(f64, f64, f64)>,
    part: Option<f64>,
    every: Option<f64>,
}

fn wants(what: What) -> Wants {
    let (size, part, every) = match what {
        What::Pauses => (Some((300.0, 1.0, 60_000.0)), None, Some(2.3)),
        What::Burst => (Some((2.0, 0.0, 1_000.0)), None, None),
        What::HeavyTail => (Some((10.0, 1.0, 1_000.0)), Some(0.02), None),
        What::Slow => (Some((2.0, 1.0, 1_000.0)), None, None),
        What::ResetBefore | What::ResetAfter | What::Spoilt => (None, Some(0.1), None),
        What::SilentClose => (Some((1_000.0, 1.0, 3.6e6)), None, None),
        What::DiscoveryLate => (Some((3.0, 1.0, 1_000.0)), None, None),
        What::Replace => (None, None, Some(2.0)),
        What::Sigterm | What::Sigkill => (Some((600.0, 1.0, 600_000.0)), None, None),
        What::Tight => (Some((0.5, 0.01, 100.0)), None, None),
        _ => (None, None, None),
    };
    Wants { size, part, every }
}

fn failure(
    read: &In,
    i: usize,
    it: &schema::Failure,
    world: &World,
    length: f64,
) -> Result<Failure, Fault> {
    let at = |field: &str| format!("failure[{i}].{field}");
    let (what, wants) = (it.what(), wants(it.what()));
    if what == What::Nothing {
        return Err(read.fault(&at("what"), "a failure is wanted"));
    }
    let used = |field: &str, told: bool, wanted: bool| {
        if told && !wanted {
            return Err(read.fault(
                &at(field),
                format!("{} does not use it", what.as_str_name()),
            ));
        }
        Ok(())
    };
    used("reuse", it.reuse, what == What::Replace)?;
    used("size", it.size.is_some(), wants.size.is_some())?;
    used("part", it.part.is_some(), wants.part.is_some())?;
    used("every_s", it.every_s.is_some(), wants.every.is_some())?;
    let (absent, least, most) = wants.size.unwrap_or((1.0, 0.0, 1e9));
    let start = read.within(&at("start_s"), it.start_s, 0.0, length)?;
    let lasts = read.within(&at("length_s"), it.length_s, 0.0, 86_400.0)?;
    if let Some(odd) = it.partner.iter().find(|p| **p >= world.partners) {
        return Err(read.fault(
            &at("partner"),
            format!("{odd} is not under {}", world.partners),
        ));
    }
    let sender = it.sender.unwrap_or(0);
    read.within(
        &at("sender"),
        sender.into(),
        0.0,
        f64::from(world.senders) - 1.0,
    )?;
    let traffic = it
        .traffic
        .map(|t| read.within(&at("traffic"), t, 0.0, 1.0))
        .transpose()?;
    Ok(Failure {
        what,
        start: start * 1e3,
        end: (start + lasts) * 1e3,
        size: read.within(&at("size"), it.size.unwrap_or(absent), least, most)?,
        part: read.within(&at("part"), it.part.or(wants.part).unwrap_or(1.0), 0.0, 1.0)?,
        every: read.within(
            &at("every_s"),
            it.every_s.or(wants.every).unwrap_or(1.0),
            0.01,
            3_600.0,
        )? * 1e3,
        partners: it.partner.clone(),
        traffic,
        sender,
        reuse: it.reuse,
    })
}

fn variant(read: &In, i: usize, it: &schema::Variant) -> Result<Variant, Fault> {
    let at = |field: &str| format!("variant[{i}].{field}");
    if it.name.is_empty() {
        return Err(read.fault(&at("name"), "a name is wanted"));
    }
    let count = |field: &str, told: Option<u32>| match told {
        Some(value) => read
            .within(&at(field), value.into(), 1.0, 1e7)
            .map(|v| Some(v as usize)),
        None => Ok(None),
    };
    Ok(Variant {
        name: it.name.clone(),
        slots: count("slots", it.slots)?,
        hold_limit: count("hold_limit", it.hold_limit)?,
        max_attempts: count("max_attempts", it.max_attempts)?.unwrap_or(8) as u32,
        second_copies: it.second_copies.unwrap_or(true),
        cancel: it.cancel.unwrap_or(true),
        program: (!it.program.is_empty()).then(|| it.program.clone().into()),
        settings: (!it.settings.is_empty()).then(|| it.settings.clone().into()),
        learns: it.learns,
        told_age: read.within(
            &at("told_age_s"),
            it.told_age_s.unwrap_or(0.0),
            0.0,
            86_400.0,
        )? * 1e3,
    })
}
