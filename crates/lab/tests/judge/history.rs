//! Builds histories for the judge and returns its verdicts on them.

use martenlatch_lab::event_log::{EventKind, LoggedEvent};
use martenlatch_lab::experiment::Effect;
use martenlatch_lab::judge::{ClassRule, Judge, Rule};
use martenlatch_lab::model::partner::Reply;

/// The class of non-idempotent messages.
pub const UNSAFE: u32 = 0;

/// The class of messages with an idempotency key, whose window is 6 s.
pub const KEYED: u32 = 1;

/// The rules that a judge finds broken in a history that ends at 100 s.
pub fn broken_rules(events: &[(f64, EventKind)]) -> Vec<Rule> {
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
    for (at, kind) in events {
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

/// A message that is submitted at the start of the run and accepted.
pub fn accepted(id: u64, class: u32) -> Vec<(f64, EventKind)> {
    accepted_at(id, id, class, 0.0)
}

/// A submission of a message at `at` that is accepted; the deadline of the message is at 16 s.
pub fn accepted_at(origin: u64, id: u64, class: u32, at: f64) -> Vec<(f64, EventKind)> {
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

/// A call of a message that starts at `at` and whose last byte reaches the endpoint 10 ms later.
pub fn call_to(call: u64, id: u64, endpoint: u32, at: f64) -> Vec<(f64, EventKind)> {
    let (sender, partner, new_connection) = (0, 7, false);
    vec![
        (
            at,
            EventKind::CallStarted {
                call,
                id,
                sender,
                partner,
                endpoint,
                new_connection,
            },
        ),
        (at + 10.0, EventKind::CallArrived { call }),
    ]
}

/// The reply to a call.
pub fn reply(call: u64, reply: Reply, at: f64) -> (f64, EventKind) {
    (at, EventKind::CallAnswered { call, reply })
}

/// A status report on a message.
pub fn report(id: u64, deferred: bool, at: f64) -> (f64, EventKind) {
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

/// A notification of sender 0 about an entry of the endpoint list.
pub fn listing(endpoint: u32, partner: u32, in_service: bool, at: f64) -> (f64, EventKind) {
    (
        at,
        EventKind::Listed {
            sender: 0,
            endpoint,
            partner,
            in_service,
        },
    )
}

/// Joins the parts of a history in chronological order.
pub fn chronological(mut parts: Vec<Vec<(f64, EventKind)>>) -> Vec<(f64, EventKind)> {
    let mut events: Vec<(f64, EventKind)> = parts.drain(..).flatten().collect();
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    events
}
