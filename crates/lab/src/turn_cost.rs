//! Measures the duration of one turn of the decision module by the number of held messages. During an outage, a sender
//! holds many messages, and one ends as another is submitted. The figures depend on the machine, not on the seed.

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
/// The time of the module's clock at the start, in nanoseconds.
const CLOCK_ORIGIN: u64 = 1_000_000 * MILLISECOND;
const TURN_INTERVAL: u64 = 5 * MILLISECOND;
const DEADLINE: u64 = 16_000 * MILLISECOND;
const ENDPOINTS_PER_DESTINATION: usize = 2;
/// A prime, so that consecutive messages go to destinations that are far apart.
const DESTINATION_STRIDE: u64 = 7919;
const ENDPOINT_WEIGHT: f64 = 1e3;

/// The durations of turns with a number of held messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TurnCost {
    /// Number of held messages.
    pub held: usize,
    /// Number of their destinations.
    pub destinations: usize,
    /// Number of measured turns.
    pub turns: usize,
    /// Median, in microseconds.
    pub median_us: f64,
    /// 99th percentile, in microseconds.
    pub p99_us: f64,
    /// Maximum, in microseconds.
    pub longest_us: f64,
}

/// Measures turns with `held` messages for a quarter as many destinations with two endpoints each. In every turn, an
/// attempt ends and a message is submitted. The actions of a turn take effect before the next one.
///
/// # Errors
/// If the decision module rejects the settings.
pub fn measure(held: usize, turns: usize) -> Result<TurnCost, LabError> {
    let destinations = (held / 4).max(1);
    let mut benchmark = TurnBenchmark::new(held, destinations)?;
    // The first turn submits `held` messages. Each later one replaces the messages that have ended.
    benchmark.run_turn(false);
    let mut durations: Vec<f64> = (0..turns).map(|_| benchmark.run_turn(true)).collect();
    durations.sort_by(f64::total_cmp);
    let quantile = |share: f64| durations[((durations.len() - 1) as f64 * share) as usize];
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

/// A decision module that holds many messages.
struct TurnBenchmark {
    policy: Policy,
    held: usize,
    destinations: usize,
    /// The module's clock, in nanoseconds.
    now: u64,
    /// Attempts in flight, newest first.
    in_flight: Vec<InFlight>,
    last_message: u64,
    /// Number of messages that have not ended.
    open_messages: usize,
    actions: Vec<Action>,
}

impl TurnBenchmark {
    fn new(held: usize, destinations: usize) -> Result<TurnBenchmark, LabError> {
        let experiment = one_sender_experiment(held, destinations)?;
        let site = Site::new(&experiment.world, 1);
        let settings = sim::settings(&experiment, &experiment.variants[0], &site);
        let mut policy = Policy::new(settings, 1).map_err(LabError::MeasurementSettings)?;
        let endpoints = destinations * ENDPOINTS_PER_DESTINATION;
        let list = Event::EndpointList((0..endpoints).map(endpoint_entry).collect());
        let mut actions = Vec::new();
        policy.turn(CLOCK_ORIGIN, &[list], &mut actions);
        Ok(TurnBenchmark {
            policy,
            held,
            destinations,
            now: CLOCK_ORIGIN,
            in_flight: Vec::new(),
            last_message: 0,
            open_messages: 0,
            actions,
        })
    }

    /// Runs one turn and returns its duration in microseconds. With `end_attempt`, the oldest attempt ends in it.
    fn run_turn(&mut self, end_attempt: bool) -> f64 {
        self.now += TURN_INTERVAL;
        let mut events = Vec::new();
        while self.open_messages < self.held {
            events.push(self.next_message());
            self.open_messages += 1;
        }
        if end_attempt && let Some(attempt) = self.in_flight.pop() {
            events.push(attempt_succeeded(&attempt));
            self.open_messages -= 1;
        }
        events.push(Event::Wake);
        self.actions.clear();
        let started = Instant::now();
        self.policy.turn(self.now, &events, &mut self.actions);
        let microseconds = started.elapsed().as_nanos() as f64 / 1e3;
        self.execute_actions();
        microseconds
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

    fn execute_actions(&mut self) {
        for action in &self.actions {
            match action {
                Action::Send { id, .. } => self.in_flight.insert(
                    0,
                    InFlight {
                        id: *id,
                        attempt: 0,
                    },
                ),
                Action::Reject { .. } | Action::Fail { .. } => self.open_messages -= 1,
                _ => {}
            }
        }
    }
}

fn one_sender_experiment(held: usize, destinations: usize) -> Result<Experiment, LabError> {
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

fn attempt_succeeded(attempt: &InFlight) -> Event {
    Event::AttemptEnded {
        id: attempt.id,
        attempt: attempt.attempt,
        outcome: Outcome::Success,
        took: TURN_INTERVAL,
        finished: true,
    }
}
