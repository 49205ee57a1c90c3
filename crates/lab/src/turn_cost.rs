//! The cost of one turn of the decision module by the number of messages held: an outage holds many messages, and one
//! ends as another is submitted. The figures are the machine's, not a seed's.

use std::time::Instant;

use martenlatch_policy::Policy;
use martenlatch_policy::interface::{
    Action, ClassId, DestinationId, EndpointEntry, EndpointId, EndpointState, Event, KindId,
    MessageId, Outcome, ZoneId,
};

use crate::error::LabError;
use crate::experiment::Experiment;
use crate::model::site::Site;
use crate::sim;

/// Nanoseconds in a millisecond.
const MILLISECOND: u64 = 1_000_000;
const CLOCK_ORIGIN: u64 = 1_000_000 * MILLISECOND;
const TURN_INTERVAL: u64 = 5 * MILLISECOND;
const DEADLINE: u64 = 16_000 * MILLISECOND;
const ENDPOINTS_PER_DESTINATION: usize = 2;
/// A prime, so that consecutive messages go to destinations that are far apart.
const DESTINATION_STRIDE: u64 = 7919;
const ENDPOINT_WEIGHT: f64 = 1e3;

/// What a turn costs with so many messages held, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TurnCost {
    /// Messages held.
    pub held: usize,
    /// Destinations that they are for.
    pub destinations: usize,
    /// Turns that were measured.
    pub turns: usize,
    /// Median of a turn, in microseconds.
    pub median_us: f64,
    /// 99th percentile, in microseconds.
    pub p99_us: f64,
    /// The longest, in microseconds.
    pub longest_us: f64,
}

/// Measures turns with `held` messages, for a quarter as many destinations with two endpoints each: in every turn a
/// call ends, a message is submitted, and what was rejected or sent in the turn before is carried out.
///
/// # Errors
/// Where the decision module rejects the settings.
pub fn measure(held: usize, turns: usize) -> Result<TurnCost, LabError> {
    let destinations = (held / 4).max(1);
    let mut bench = Bench::new(held, destinations)?;
    // The first turn fills the store; each later one replaces what has ended.
    bench.turn(false);
    let mut took: Vec<f64> = (0..turns).map(|_| bench.turn(true)).collect();
    took.sort_by(f64::total_cmp);
    let quantile = |share: f64| took[((took.len() - 1) as f64 * share) as usize];
    Ok(TurnCost {
        held,
        destinations,
        turns,
        median_us: quantile(0.5),
        p99_us: quantile(0.99),
        longest_us: quantile(1.0),
    })
}

/// An attempt in flight.
struct InFlight {
    id: MessageId,
    attempt: u32,
}

/// A decision module with many messages held.
struct Bench {
    policy: Policy,
    held: usize,
    destinations: usize,
    /// The module's clock, in nanoseconds.
    now: u64,
    /// Attempts in flight, the oldest last.
    in_flight: Vec<InFlight>,
    last_message: u64,
    /// Messages that have not ended.
    open: usize,
    actions: Vec<Action>,
}

impl Bench {
    fn new(held: usize, destinations: usize) -> Result<Bench, LabError> {
        let experiment = experiment(held, destinations)?;
        let site = Site::new(&experiment.world, 1);
        let settings = sim::settings(&experiment, &experiment.variants[0], &site);
        let mut policy = Policy::new(settings, 1).map_err(LabError::MeasurementSettings)?;
        let endpoints = destinations * ENDPOINTS_PER_DESTINATION;
        let list = Event::EndpointList((0..endpoints).map(endpoint_entry).collect());
        let mut actions = Vec::new();
        policy.turn(CLOCK_ORIGIN, &[list], &mut actions);
        Ok(Bench {
            policy,
            held,
            destinations,
            now: CLOCK_ORIGIN,
            in_flight: Vec::new(),
            last_message: 0,
            open: 0,
            actions,
        })
    }

    /// Takes one turn, and returns its microseconds. With `end_attempt`, an attempt ends in it.
    fn turn(&mut self, end_attempt: bool) -> f64 {
        self.now += TURN_INTERVAL;
        let mut events = Vec::new();
        while self.open < self.held {
            events.push(self.next_message());
            self.open += 1;
        }
        if end_attempt && let Some(attempt) = self.in_flight.pop() {
            events.push(delivered(&attempt));
            self.open -= 1;
        }
        events.push(Event::Wake);
        self.actions.clear();
        let clock = Instant::now();
        self.policy.turn(self.now, &events, &mut self.actions);
        let took = clock.elapsed().as_nanos() as f64 / 1e3;
        self.carry_out();
        took
    }

    fn next_message(&mut self) -> Event {
        self.last_message += 1;
        let number = self.last_message;
        Event::MessageAccepted {
            id: MessageId(number),
            destination: DestinationId(number * DESTINATION_STRIDE % self.destinations as u64),
            class: ClassId((number % 2) as usize),
            deadline: self.now + DEADLINE,
            key: None,
        }
    }

    fn carry_out(&mut self) {
        for action in &self.actions {
            match action {
                Action::Send { id, .. } => self.in_flight.insert(
                    0,
                    InFlight {
                        id: *id,
                        attempt: 0,
                    },
                ),
                Action::Reject { .. } | Action::Fail { .. } => self.open -= 1,
                _ => {}
            }
        }
    }
}

fn experiment(held: usize, destinations: usize) -> Result<Experiment, LabError> {
    let text = format!(
        "length_s: 1 world {{ senders: 1 partners: {destinations} full_rate: {} }} load {{ level: 1 }} \
         variant {{ name: \"v\" slots: {} hold_limit: {} }}",
        held.max(1),
        (held / 16).max(4),
        held * 2
    );
    Ok(Experiment::read("turns", "turns", &text)?)
}

fn endpoint_entry(number: usize) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(number as u32),
        zone: ZoneId(0),
        kind: KindId(0),
        destination: DestinationId((number / ENDPOINTS_PER_DESTINATION) as u64),
        state: EndpointState::Active,
        weight: ENDPOINT_WEIGHT,
    }
}

fn delivered(attempt: &InFlight) -> Event {
    Event::AttemptEnded {
        id: attempt.id,
        attempt: attempt.attempt,
        outcome: Outcome::Success,
        took: TURN_INTERVAL,
        finished: true,
    }
}
