//! Runs in simulated time: the decision module of each sender against the model of the partners, with no sockets and
//! no waiting.
//!
//! The simulation carries out the decision module's actions as the sender does (attempts, records, restarts) and
//! decides nothing itself. Every fact goes to the judge and to the figures in the order of time, and equal seeds give
//! equal facts.

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

/// The decision module's clock at the start of a run.
const CLOCK_ORIGIN: Millis = 1e6;
/// A run goes on for so long after the last deadline.
const SETTLING_TIME: Millis = 6_000.0;

/// Where a run's facts also go.
pub type EventSink<'a> = Box<dyn FnMut(&LoggedEvent) + 'a>;

/// The result of a run.
#[derive(Debug)]
pub struct SimulatedRun {
    /// Its figures.
    pub figures: Figures,
    /// What the judge found.
    pub verdict: Verdict,
    /// What turns of the decision module took.
    pub turns: TurnTimes,
}

/// Runs one variant with one seed to its end. Every fact also goes to `sink`.
///
/// # Errors
/// Where the decision module rejects the settings.
pub fn run<'a>(
    experiment: &'a Experiment,
    variant: &'a Variant,
    seed: u64,
    sink: Option<EventSink<'a>>,
) -> Result<SimulatedRun, LabError> {
    run_unless_stopped(experiment, variant, seed, sink, &AtomicBool::new(false))
}

/// Runs one variant with one seed, unless `stop` is set before its end. Every fact also goes to `sink`.
///
/// # Errors
/// Where the decision module rejects the settings, or the run was stopped.
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
