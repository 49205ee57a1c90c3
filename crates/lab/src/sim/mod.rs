//! Runs in simulated time: the decision module of each sender against the model of the partners, without sockets and
//! without waiting.
//!
//! The simulation carries out the decision module's actions as the real sender does (attempts, records, restarts) and
//! makes no decisions itself. It passes every event to the judge and to the metrics in the order of time. Equal seeds
//! give equal events.

mod calls;
mod clients;
mod discovery;
mod event;
mod faults;
mod gossip;
mod lifecycle;
mod partners;
mod sender;
mod simulation;
mod turn;
mod turn_statistics;
mod variant_settings;

use std::sync::atomic::AtomicBool;

use martenlatch_clock::Millis;

use crate::error::LabError;
use crate::event_log::LoggedEvent;
use crate::experiment::{Experiment, Variant};
use crate::judge::Verdict;
use crate::metrics::Figures;

use simulation::Simulation;

pub use turn_statistics::{TurnStatistics, TurnTimes};
pub use variant_settings::{checked_settings, settings};

/// The time of the decision module's clock at the start of a run.
const CLOCK_ORIGIN: Millis = 1e6;
/// Time from the last deadline to the end of a run.
const SETTLING_TIME: Millis = 6_000.0;

/// An additional receiver of the events of a run.
pub type EventSink<'a> = Box<dyn FnMut(&LoggedEvent) + 'a>;

/// The result of a run.
#[derive(Debug)]
pub struct SimulatedRun {
    /// The figures of the run.
    pub figures: Figures,
    /// The verdict of the judge.
    pub verdict: Verdict,
    /// The durations of the decision module's turns.
    pub turns: TurnTimes,
}

/// Runs one variant with one seed to the end. Every event is also passed to `sink`.
///
/// # Errors
/// If the decision module rejects the settings.
pub fn run<'a>(
    experiment: &'a Experiment,
    variant: &'a Variant,
    seed: u64,
    sink: Option<EventSink<'a>>,
) -> Result<SimulatedRun, LabError> {
    run_unless_stopped(experiment, variant, seed, sink, &AtomicBool::new(false))
}

/// Runs one variant with one seed, and stops early if `stop` is set. Every event is also passed to `sink`.
///
/// # Errors
/// If the decision module rejects the settings, or if the run was stopped.
pub fn run_unless_stopped<'a>(
    experiment: &'a Experiment,
    variant: &'a Variant,
    seed: u64,
    sink: Option<EventSink<'a>>,
    stop: &AtomicBool,
) -> Result<SimulatedRun, LabError> {
    let end = experiment.last_deadline() + SETTLING_TIME;
    let mut simulation = Simulation::new(experiment, variant, seed, sink)?;
    simulation.run(end, stop)?;
    Ok(simulation.finish(end))
}
