//! Runs on sockets. The model's partners, the discovery agents, the platform's report receiver and the clients run on
//! loopback in one process and one event loop; the senders are separate processes. The traffic on the sockets is
//! recorded as events for the judge and the metrics, as in simulated time.

mod calls;
mod clients;
mod discovery;
mod event;
mod event_loop;
mod faults;
mod lab_socket;
mod partners;
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

/// Maximum delay, in milliseconds, with which the laboratory may handle an event after its due time. A run with a longer
/// delay says nothing about the sender.
pub const MAX_LATENESS: Millis = 150.0;

/// How long a run may continue after the deadline of the last message.
const MAX_TIME_AFTER_LAST_DEADLINE: Millis = 2_000.0;

/// The result of a run on sockets.
#[derive(Debug)]
pub struct SocketRun {
    /// The figures of the run.
    pub figures: Figures,
    /// The judge's verdict.
    pub verdict: Verdict,
    /// The resource usage of all senders together, sampled each second. It depends on the machine, not on the seed.
    pub resource_usage: Vec<ResourceUsage>,
    /// The longest delay between an event's due time and its handling by the laboratory, in milliseconds.
    pub max_lateness: Millis,
}

/// The path of the sender's program next to the laboratory's own: in the same folder, or in the parent folder for
/// tests, which run from `deps`.
pub fn default_sender_program() -> PathBuf {
    let own_program = std::env::current_exe().unwrap_or_default();
    let mut folder = own_program.parent().unwrap_or(Path::new("."));
    if folder.ends_with("deps") {
        folder = folder.parent().unwrap_or(folder);
    }
    folder.join("martenlatch")
}

/// Runs one variant with one seed on sockets. Once `stop` is set, the run ends at once without a result.
///
/// # Errors
/// If a sender does not start or ends unexpectedly, no port is free, or the run was stopped.
pub fn play(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    stop: &AtomicBool,
) -> Result<SocketRun, LabError> {
    let mut events = EventLoop::<ReadyEvents<usize>>::try_new().map_err(LabError::EventLoop)?;
    let mut testbed = Testbed::new(experiment, variant, seed, events.handle())?;
    let end = experiment.last_deadline() + MAX_TIME_AFTER_LAST_DEADLINE;
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
