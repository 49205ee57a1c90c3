//! Runs on sockets: the model's partners, the discovery agent, the platform's report receiver and the clients, all on
//! loopback in one process and one event loop, around senders that are processes of their own. What crosses the
//! sockets goes to the judge and the metrics as facts, as in simulated time.

mod calls;
mod clients;
mod discovery;
mod event;
mod event_loop;
mod faults;
mod partners;
mod peer;
pub mod platform_settings;
mod processes;
mod reports;
pub mod resource_usage;
pub mod sender_process;
mod testbed;

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};

use calloop::EventLoop;
use martenlatch_clock::Millis;
use martenlatch_http::ReadyEvents;

use crate::error::LabError;
use crate::experiment::{Experiment, Variant};
use crate::judge::Verdict;
use crate::metrics::Figures;
use resource_usage::ResourceUsage;
use testbed::Testbed;

type Connection = martenlatch_http::Connection<usize>;

/// A run in which the laboratory itself was later than this says nothing about the sender.
pub const MAX_LATENESS: Millis = 150.0;

/// After the deadline of the last message, a run still goes on for so long at most.
const TIME_AFTER_LAST_DEADLINE: Millis = 2_000.0;

/// What a run on sockets was.
#[derive(Debug)]
pub struct SocketRun {
    /// Its figures.
    pub figures: Figures,
    /// What the judge found.
    pub verdict: Verdict,
    /// What all senders used together, by the second: the machine's and not the seed's.
    pub resource_usage: Vec<ResourceUsage>,
    /// The longest that anything in the laboratory was late, in milliseconds.
    pub max_lateness: Millis,
}

/// The sender's program beside the laboratory's: in the same folder, or in the one above for tests.
pub fn default_sender_program() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let mut folder = own.parent().unwrap_or(Path::new("."));
    if folder.ends_with("deps") {
        folder = folder.parent().unwrap_or(folder);
    }
    folder.join("martenlatch")
}

/// Plays one variant with one seed on sockets. Once `stop` is set, it ends at once and the run counts for nothing.
///
/// # Errors
/// Where a sender does not start or ends by itself, a port is taken, or the run was stopped.
pub fn play(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    stop: &AtomicBool,
) -> Result<SocketRun, LabError> {
    let mut events = EventLoop::<ReadyEvents<usize>>::try_new().map_err(LabError::EventLoop)?;
    let mut testbed = Testbed::new(experiment, variant, seed, events.handle())?;
    let end = experiment.last_deadline() + TIME_AFTER_LAST_DEADLINE;
    testbed.start_senders()?;
    testbed.schedule_run();
    let mut ready = ReadyEvents::default();
    loop {
        if stop.load(Ordering::Relaxed) {
            return Err(LabError::Stopped);
        }
        testbed.run_once(std::mem::take(&mut ready.keys));
        if let Some(failure) = testbed.failure.take() {
            return Err(failure);
        }
        if testbed.now() > end || testbed.is_settled() {
            return Ok(testbed.finish(end));
        }
        events
            .dispatch(testbed.until_next_event(), &mut ready)
            .map_err(LabError::Dispatch)?;
    }
}
