//! The default kinds of partner, classes of message and variant, for an experiment that does not give its own.

use martenlatch_settings::schema::experiment as schema;
use schema::class::Effect;
use schema::kind::Limit;

/// The default kinds of partner.
pub(super) fn kinds() -> Vec<schema::Kind> {
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

fn kind(name: &str, share: f64, lean: f64, limit: Limit) -> schema::Kind {
    schema::Kind {
        name: name.into(),
        share,
        lean,
        limit: limit.into(),
        ..Default::default()
    }
}

fn span(least: f64, most: f64) -> Option<schema::Span> {
    Some(schema::Span { least, most })
}

/// The default classes of message.
pub(super) fn classes() -> Vec<schema::Class> {
    vec![
        schema::Class {
            name: "direct-debit".into(),
            share: 0.51,
            work_ms: span(220.0, 390.0),
            effect: Effect::Unsafe.into(),
            ..Default::default()
        },
        schema::Class {
            name: "meter-reading".into(),
            share: 0.49,
            work_ms: span(340.0, 580.0),
            effect: Effect::Keyed.into(),
            window_ms: Some(6_000.0),
            ..Default::default()
        },
    ]
}

/// The default variant.
pub(super) fn variant() -> schema::Variant {
    schema::Variant {
        name: "base".into(),
        ..Default::default()
    }
}
