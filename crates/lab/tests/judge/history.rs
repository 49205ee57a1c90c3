//! Histories for the judge, and its verdicts on them.

use martenlatch_lab::event_log::{EventKind, LoggedEvent};
use martenlatch_lab::experiment::Effect;
use martenlatch_lab::judge::{ClassRule, Judge, Rule};
use martenlatch_lab::model::partner::Reply;

/// The class of non-idempotent messages.
pub const UNSAFE: u32 = 0;

/// The class of messages with an idempotency key, which lasts 6 s.
pub const KEYED: u32 = 1;

/// The rules that a judge finds broken in a history that ends at 100 s.
pub fn verdict(facts: &[(f64, EventKind)]) -> Vec<Rule> {
    let classes = vec![
        ClassRule {
            effect: Effect::Unsafe,
            window: 0.0,
        },
        ClassRule {
            effect: Effect::Keyed,
            window: 6_000.0,
        },
    ];
    let mut judge = Judge::new(classes, 3);
    for (at, kind) in facts {
        judge.observe(&LoggedEvent {
            at: *at,
            kind: kind.clone(),
        });
    }
    let verdict = judge.end(100_000.0);
    for breach in &verdict.breaches {
        let text = breach.to_string();
        assert!(
            text.contains(&format!("{:?} at ", breach.rule)) && text.contains(" ms"),
            "{text}"
        );
    }
    verdict.counts.into_keys().collect()
}

/// A message that is handed in at the start of the run and accepted.
pub fn taken(id: u64, class: u32) -> Vec<(f64, EventKind)> {
    again(id, id, class, 0.0)
}

/// A handing in of a message at an instant, taken on; its time is up at 16 s.
pub fn again(origin: u64, id: u64, class: u32, at: f64) -> Vec<(f64, EventKind)> {
    let (sender, partner, first, deadline) = (0, 7, 0.0, 16_000.0);
    vec![
        (
            at,
            EventKind::Submitted {
                origin,
                id,
                sender,
                class,
                partner,
                first,
                deadline,
                key: None,
            },
        ),
        (at, EventKind::ClientAnswered { id, status: 202 }),
    ]
}

/// A call of a message to an endpoint, whose last byte comes 10 ms later.
pub fn sent(call: u64, id: u64, endpoint: u32, at: f64) -> Vec<(f64, EventKind)> {
    let (sender, partner, fresh) = (0, 7, false);
    vec![
        (
            at,
            EventKind::CallStarted {
                call,
                id,
                sender,
                partner,
                endpoint,
                new_connection: fresh,
            },
        ),
        (at + 10.0, EventKind::CallArrived { call }),
    ]
}

/// The reply to a call.
pub fn replied(call: u64, reply: Reply, at: f64) -> (f64, EventKind) {
    (at, EventKind::CallAnswered { call, reply })
}

/// A status report on a message.
pub fn notice(id: u64, deferred: bool, at: f64) -> (f64, EventKind) {
    (
        at,
        EventKind::StatusReport {
            sender: 0,
            id,
            deferred,
            retry_after: None,
        },
    )
}

/// An entry of the endpoint list that sender 0 is notified of.
pub fn listed(endpoint: u32, partner: u32, on: bool, at: f64) -> (f64, EventKind) {
    (
        at,
        EventKind::Listed {
            sender: 0,
            endpoint,
            partner,
            in_service: on,
        },
    )
}

/// Parts of a history, in the order of time.
pub fn history(mut parts: Vec<Vec<(f64, EventKind)>>) -> Vec<(f64, EventKind)> {
    let mut all: Vec<(f64, EventKind)> = parts.drain(..).flatten().collect();
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all
}
