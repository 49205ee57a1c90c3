//! Owns the measurement of one turn of the decision module against what is held: an outage holds so many messages,
//! and one ends as another is handed in. It must never touch a result that a seed decides: its figures are the
//! machine's.

use std::time::Instant;

use martenlatch_policy::Policy;
use martenlatch_policy::interface::{
    Action, ClassId, DestinationId, EndpointEntry, EndpointId, EndpointState, Event, KindId,
    MessageId, Outcome, ZoneId,
};

use crate::experiment::Experiment;
use crate::model::site::Site;
use crate::sim;

const MS: u64 = 1_000_000;

/// What a turn costs with so many messages held, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Cost {
    pub held: usize,
    pub destinations: usize,
    pub turns: usize,
    pub median: f64,
    pub p99: f64,
    pub longest: f64,
}

/// Measures turns with `held` messages, for a quarter as many destinations with two endpoints each: in every turn a
/// call ends, a message is handed in, and what was refused or sent in the turn before is carried out.
///
/// # Errors
/// Where the module turns the settings down.
pub fn measure(held: usize, turns: usize) -> Result<Cost, String> {
    let destinations = (held / 4).max(1);
    let text = format!(
        "length_s: 1 world {{ senders: 1 partners: {destinations} full_rate: {} }} load {{ level: 1 }} \
         variant {{ name: \"v\" slots: {} hold_limit: {} }}",
        held.max(1),
        (held / 16).max(4),
        held * 2
    );
    let experiment = Experiment::read("turns", "turns", &text).map_err(|e| e.to_string())?;
    let site = Site::new(&experiment.world, 1);
    let settings = sim::settings(&experiment, &experiment.variants[0], &site);
    let mut policy = Policy::new(settings, 1).map_err(|e| e.to_string())?;
    let entry = |i: usize| EndpointEntry {
        endpoint: EndpointId(i as u32),
        zone: ZoneId(0),
        kind: KindId(0),
        destination: DestinationId((i / 2) as u64),
        stage: EndpointState::Active,
        weight: 1e3,
    };
    let mut now = 1_000_000 * MS;
    let (mut out, mut next, mut open) = (Vec::new(), 0u64, 0usize);
    let mut actions = Vec::new();
    policy.turn(
        now,
        &[Event::EndpointList(
            (0..destinations * 2).map(entry).collect(),
        )],
        &mut actions,
    );
    let mut message = |now: u64| {
        next += 1;
        Event::MessageAccepted {
            id: MessageId(next),
            destination: DestinationId(next * 7919 % destinations as u64),
            class: ClassId((next % 2) as usize),
            deadline: now + 16_000 * MS,
            key: None,
        }
    };
    let mut took = Vec::with_capacity(turns);
    for turn in 0..turns + 1 {
        now += 5 * MS;
        let mut events = Vec::new();
        // The first turn fills the hold; each later one replaces what has ended.
        while open < held {
            events.push(message(now));
            open += 1;
        }
        if let Some((id, attempt)) = out.pop().filter(|_| turn > 0) {
            let outcome = Outcome::Success;
            events.push(Event::AttemptEnded {
                id,
                attempt,
                outcome,
                took: 5 * MS,
                finished: true,
            });
            open -= 1;
        }
        events.push(Event::Wake);
        actions.clear();
        let clock = Instant::now();
        policy.turn(now, &events, &mut actions);
        if turn > 0 {
            took.push(clock.elapsed().as_nanos() as f64 / 1e3);
        }
        for action in &actions {
            match action {
                Action::Send { id, .. } => out.insert(0, (*id, 0)),
                Action::Reject { .. } | Action::Fail { .. } => open -= 1,
                _ => {}
            }
        }
    }
    took.sort_by(f64::total_cmp);
    let at = |q: f64| took[((took.len() - 1) as f64 * q) as usize];
    Ok(Cost {
        held,
        destinations,
        turns,
        median: at(0.5),
        p99: at(0.99),
        longest: at(1.0),
    })
}
