//! The state of a simulated run, and its event loop.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};

use martenlatch_clock::Millis;
use martenlatch_policy::interface::{EndpointState, Event, Outcome, Settings};

use super::calls::Call;
use super::event::SimEvent;
use super::sender::Sender;
use super::turn_statistics::TurnTimes;
use super::{EventSink, SimulatedRun, variant_settings};
use crate::clients::Clients;
use crate::delay_queue::DelayQueue;
use crate::error::LabError;
use crate::event_log::{CallFailure, EventKind, LoggedEvent};
use crate::experiment::{Experiment, Failure, FailureKind, Variant};
use crate::judge::Judge;
use crate::load::{self, PlannedMessage};
use crate::metrics::Metrics;
use crate::model::environment::Environment;
use crate::network::{self, Direction};

/// Time between two samples of the number of held messages.
const SAMPLE_INTERVAL: Millis = 100.0;

/// The state of a simulated run. Its clock starts at zero.
pub(super) struct Simulation<'a> {
    pub experiment: &'a Experiment,
    pub seed: u64,
    pub environment: Environment,
    pub clients: Clients<'a>,
    /// The settings of every sender.
    pub settings: Settings,
    /// Open connections to each endpoint, over all senders.
    pub connections: Vec<u32>,
    pub now: Millis,
    queue: DelayQueue<SimEvent>,
    plan: Vec<PlannedMessage>,
    pub senders: Vec<Sender>,
    /// Calls in flight.
    pub calls: HashMap<u64, Call>,
    pub next_call: u64,
    pub next_message: u64,
    judge: Judge,
    metrics: Metrics,
    sink: Option<EventSink<'a>>,
    pub turns: TurnTimes,
    /// Whether a sender that starts receives the gossip of the running senders.
    pub receives_gossip: bool,
    /// The age of that gossip.
    gossip_age: Millis,
}

impl<'a> Simulation<'a> {
    /// Draws the partners, the load and the clients of a run.
    ///
    /// # Errors
    /// If the decision module rejects the settings.
    pub fn new(
        experiment: &'a Experiment,
        variant: &'a Variant,
        seed: u64,
        sink: Option<EventSink<'a>>,
    ) -> Result<Simulation<'a>, LabError> {
        let environment = Environment::new(experiment, seed);
        let settings = variant_settings::checked_settings(experiment, variant, &environment.site)?;
        let world = &experiment.world;
        Ok(Simulation {
            connections: vec![0; environment.endpoint_partners.len()],
            senders: (0..world.senders).map(|_| Sender::default()).collect(),
            judge: Judge::for_variant(experiment, variant),
            metrics: Metrics::new(&world.classes, 0.0, experiment.length),
            plan: load::plan(experiment, &environment.site, &environment.faults, seed),
            clients: Clients::new(experiment, seed),
            turns: TurnTimes::default(),
            calls: HashMap::new(),
            queue: DelayQueue::new(),
            now: 0.0,
            next_call: 0,
            next_message: 0,
            experiment,
            seed,
            environment,
            settings,
            sink,
            receives_gossip: variant.receives_gossip,
            gossip_age: variant.gossip_age,
        })
    }

    /// Runs until `end`.
    ///
    /// # Errors
    /// If `stop` is set before `end`.
    pub fn run(&mut self, end: Millis, stop: &AtomicBool) -> Result<(), LabError> {
        self.start();
        while let Some(next) = self.queue.pop() {
            if next.at > end {
                break;
            }
            if stop.load(Ordering::Relaxed) {
                return Err(LabError::Stopped);
            }
            self.now = next.at.max(self.now);
            self.handle(next.event);
        }
        Ok(())
    }

    /// Returns the result of a run that has ended at `end`.
    pub fn finish(self, end: Millis) -> SimulatedRun {
        SimulatedRun {
            figures: self.metrics.end(),
            verdict: self.judge.end(end),
            turns: self.turns,
        }
    }

    /// Schedules an event.
    pub fn schedule(&mut self, at: Millis, event: SimEvent) {
        self.queue.push(at, event);
    }

    /// Passes an event to the judge, the metrics and the sink.
    pub fn record(&mut self, kind: EventKind) {
        let event = LoggedEvent { at: self.now, kind };
        self.judge.observe(&event);
        self.metrics.observe(&event);
        if let Some(sink) = self.sink.as_mut() {
            sink(&event);
        }
    }

    /// The one-way latency of a call or of its reply.
    pub fn latency(&self, call: u64, direction: Direction) -> Millis {
        network::latency(self.experiment, self.seed, call, direction)
    }

    fn start(&mut self) {
        for sender in 0..self.senders.len() as u32 {
            self.prepare_sender(sender);
        }
        if let Some(first) = self.plan.first() {
            self.schedule(first.at, SimEvent::PlannedMessage { index: 0 });
        }
        let experiment = self.experiment;
        for (index, failure) in experiment.failures.iter().enumerate() {
            self.schedule_failure(index, failure);
        }
        self.schedule(0.0, SimEvent::Sample);
    }

    /// Gives a sender the entries of all endpoints, and starts its process unless it joins later.
    fn prepare_sender(&mut self, sender: u32) {
        for endpoint in 0..self.environment.endpoint_partners.len() as u32 {
            let entry = self.endpoint_entry(endpoint, EndpointState::Active);
            let known = &mut self.senders[sender as usize].known_endpoints;
            known.insert(endpoint, entry);
        }
        match self.experiment.join_time(sender) {
            None => self.start_sender(sender),
            Some(at) if self.receives_gossip && self.gossip_age > 0.0 => {
                let at = (at - self.gossip_age).max(0.0);
                self.schedule(at, SimEvent::CollectGossip { sender });
            }
            Some(_) => {}
        }
    }

    fn schedule_failure(&mut self, index: usize, failure: &Failure) {
        let first = if failure.kind == FailureKind::Replace {
            SimEvent::ReplaceEndpoint {
                failure: index,
                repetition: 0,
            }
        } else {
            SimEvent::FailureBegins { failure: index }
        };
        self.schedule(failure.start, first);
        self.schedule(failure.end, SimEvent::OutagesChange);
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::PlannedMessage { index } => self.planned_message(index),
            SimEvent::MessageAtSender { origin, sender } => self.message_at_sender(origin, sender),
            SimEvent::ClientRetry { origin } => self.submit(origin),
            SimEvent::Turn {
                sender,
                incarnation,
            } => self.take_turn(sender, incarnation),
            SimEvent::Wake {
                sender,
                incarnation,
            } => self.wake(sender, incarnation),
            SimEvent::CallAtPartner { call } => self.call_at_partner(call),
            SimEvent::CallsComplete { partner } => self.complete_calls(partner),
            SimEvent::AnswerAtSender { call, reply } => self.answer_at_sender(call, reply),
            SimEvent::CallLost { call, how, outcome } => self.lose_call(call, how, outcome),
            SimEvent::CallTimeout { call } => {
                self.lose_call(call, CallFailure::TimedOut, Outcome::TimedOut)
            }
            SimEvent::StatusReport(report) => self.status_report(report),
            SimEvent::OutagesChange => self.update_outages(),
            SimEvent::FailureBegins { failure } => self.failure_begins(failure),
            SimEvent::ReplaceEndpoint {
                failure,
                repetition,
            } => self.replace_endpoint(failure, repetition),
            SimEvent::RetireEndpoint { endpoint } => self.environment.retire_endpoint(endpoint),
            SimEvent::EndpointChange {
                sender,
                endpoint,
                state,
            } => self.endpoint_change(sender, endpoint, state),
            SimEvent::ShutdownTimeout {
                sender,
                incarnation,
            } => self.shutdown_timeout(sender, incarnation),
            SimEvent::StartSender { sender } => self.start_sender(sender),
            SimEvent::CollectGossip { sender } => self.collect_gossip(sender),
            SimEvent::MessageOverdue { sender, id } => self.message_overdue(sender, id),
            SimEvent::Sample => self.sample(),
        }
    }

    fn planned_message(&mut self, index: usize) {
        let origin = self.clients.register(self.plan[index]);
        self.submit(origin);
        if let Some(next) = self.plan.get(index + 1) {
            self.schedule(next.at, SimEvent::PlannedMessage { index: index + 1 });
        }
    }

    fn wake(&mut self, sender: u32, incarnation: u32) {
        if self.senders[sender as usize].incarnation == incarnation {
            self.notify(sender, Event::Wake);
        }
    }

    fn sample(&mut self) {
        let open = self
            .senders
            .iter()
            .map(|sender| sender.open_messages as u64);
        self.metrics.record_held(self.now, open.sum());
        if self.now < self.experiment.length {
            self.schedule(self.now + SAMPLE_INTERVAL, SimEvent::Sample);
        }
    }
}
