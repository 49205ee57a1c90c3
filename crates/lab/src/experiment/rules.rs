//! Defaults and bounds of the numbers in an experiment file, by section. A constant has the name of its field.

use crate::sampling::Span;

const HOUR_S: f64 = 3_600.0;
const DAY_S: f64 = 86_400.0;
const HOUR_MS: f64 = 3.6e6;
pub const DAY_MS: f64 = 8.64e7;

/// The default and the bounds of a number.
#[derive(Clone, Copy)]
pub struct NumberRule {
    pub default: f64,
    pub bounds: Span,
}

/// The default and the bounds of a range.
#[derive(Clone, Copy)]
pub struct SpanRule {
    pub default: Span,
    pub bounds: Span,
}

/// The default and the upper bound of a count, whose lower bound is one.
#[derive(Clone, Copy)]
pub struct CountRule {
    pub default: u32,
    pub max: u32,
}

pub const fn number(default: f64, least: f64, most: f64) -> NumberRule {
    NumberRule {
        default,
        bounds: Span::new(least, most),
    }
}

const fn span(default: Span, least: f64, most: f64) -> SpanRule {
    SpanRule {
        default,
        bounds: Span::new(least, most),
    }
}

const fn count(default: u32, max: u32) -> CountRule {
    CountRule { default, max }
}

/// Bounds of the relative share of a kind or a class.
pub const RELATIVE_SHARE: Span = Span::new(1e-6, 1e6);
/// Bounds of a share of a whole.
pub const SHARE: Span = Span::new(0.0, 1.0);

/// The top level of the file.
pub mod top {
    use super::{CountRule, DAY_S, Span, count};

    pub const LENGTH_S: Span = Span::new(1.0, DAY_S);
    pub const REPEATS: CountRule = count(3, 1_000);
    pub const DEFAULT_SEED: u64 = 1;
}

/// The section `world`.
pub mod world {
    use super::{CountRule, HOUR_S, NumberRule, Span, SpanRule, count, number, span};

    pub const SENDERS: CountRule = count(2, 1_000);
    pub const PARTNERS: CountRule = count(12, 100_000);
    pub const ENDPOINTS: NumberRule = number(1.8, 1.0, 4.0);
    pub const ZIPF: NumberRule = number(0.76, 0.0, 3.0);
    pub const FULL_RATE: NumberRule = number(55.0, 0.01, 1e6);
    pub const LATENCY_MS: SpanRule = span(Span::new(5.0, 15.0), 0.01, 5_000.0);
    pub const IDLE_S: NumberRule = number(15.0, 0.1, HOUR_S);
    pub const CONNECTIONS: CountRule = count(64, 65_536);
    pub const LIST_MS: SpanRule = span(Span::new(600.0, 5_000.0), 0.0, 60_000.0);
}

/// The sections `world.kind`.
pub mod kind {
    use super::{HOUR_MS, HOUR_S, NumberRule, Span, SpanRule, number, span};

    pub const LEAN: Span = Span::new(-5.0, 5.0);
    pub const HEADROOM: SpanRule = span(Span::new(1.1, 2.0), 0.01, 100.0);
    pub const LEAST_RATE: SpanRule = span(Span::new(1.7, 4.4), 0.0, 1e6);
    pub const WINDOW_MS: NumberRule = number(1_000.0, 10.0, HOUR_MS);
    pub const TELLS_WAIT: NumberRule = number(0.5, 0.0, 1.0);
    pub const WAIT_MS: SpanRule = span(Span::new(300.0, 950.0), 1.0, HOUR_MS);
    pub const SPEED: SpanRule = span(Span::new(0.85, 1.1), 0.01, 100.0);
    pub const QUEUE: SpanRule = span(Span::new(1.0, 3.0), 0.0, 1_000.0);
    pub const COLD_FROM: NumberRule = number(0.25, 0.01, 1.0);
    pub const COLD_S: NumberRule = number(8.0, 0.0, HOUR_S);
    pub const ERRORS: NumberRule = number(0.005, 0.0, 1.0);
}

/// The sections `world.class`.
pub mod class {
    use super::{DAY_MS, HOUR_MS, NumberRule, Span, SpanRule, number, span};

    pub const AIM_MS: NumberRule = number(3_000.0, 1.0, HOUR_MS);
    pub const WORK_MS: SpanRule = span(Span::new(300.0, 400.0), 0.1, HOUR_MS);
    pub const CV: NumberRule = number(0.9, 0.01, 10.0);
    pub const WINDOW_MS: NumberRule = number(0.0, 0.0, DAY_MS);
    pub const LATE_WORTH: NumberRule = number(0.4, 0.0, 1.0);

    /// A deadline must not be shorter than the latency objective.
    pub const fn deadline_ms(latency_objective: f64) -> NumberRule {
        number(16_000.0, latency_objective, DAY_MS)
    }
}

/// The section `load`.
pub mod load {
    use super::{DAY_S, HOUR_MS, NumberRule, Span, SpanRule, number, span};

    pub const LEVEL: Span = Span::new(0.001, 1_000.0);
    pub const CLUMP_SHARE: NumberRule = number(0.1, 0.0, 1.0);
    pub const CLUMP_S: SpanRule = span(Span::new(1.0, 3.5), 0.0, 600.0);
    pub const SWING: NumberRule = number(0.0, 0.0, 1.0);
    pub const SWING_S: NumberRule = number(60.0, 0.1, DAY_S);
    pub const RETRIES: NumberRule = number(2.0, 0.0, 100.0);
    pub const BACKOFF_MS: SpanRule = span(Span::new(510.0, 1_400.0), 1.0, HOUR_MS);
}

/// The sections `failure`.
pub mod failure {
    use super::{DAY_S, HOUR_S, NumberRule, Span, number};

    pub const LENGTH_S: Span = Span::new(0.0, DAY_S);
    pub const EVERY_S: Span = Span::new(0.01, HOUR_S);
    /// The size of a failure that does not use one.
    pub const UNUSED_SIZE: NumberRule = number(1.0, 0.0, 1e9);
    /// The affected share of a failure that does not use one.
    pub const UNUSED_PART: f64 = 1.0;
    /// The time between repetitions of a failure that does not use one.
    pub const UNUSED_EVERY_S: f64 = 1.0;
}

/// The sections `variant`.
pub mod variant {
    use super::{DAY_S, NumberRule, Span, number};

    pub const COUNT: Span = Span::new(1.0, 1e7);
    pub const DEFAULT_MAX_ATTEMPTS: usize = 8;
    pub const TOLD_AGE_S: NumberRule = number(0.0, 0.0, DAY_S);
}
