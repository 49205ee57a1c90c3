//! The event loop of a process that serves, and its signal handling.

use std::path::{Path, PathBuf};
use std::time::Duration;

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use martenlatch_clock::Millis;

use crate::Config;
use crate::error::SenderError;
use crate::event_source::{EventLoopHandle, ReadyEvents};
use crate::operator::OperatorService;
use crate::pipeline::Driver;
use crate::process_replacement::ReplacementListener;
use crate::startup::{StartedProcess, StartingProcess};

const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// Serves until a signal ends the process, or a successor has taken over.
///
/// # Errors
/// If the process cannot start, or its event loop fails.
pub fn run(config: Config) -> Result<(), SenderError> {
    let mut events = EventLoop::<ReadyEvents>::try_new().map_err(SenderError::CreateEventLoop)?;
    let handle = events.handle();
    watch_signals(&handle)?;
    let operators = open_operators(&config, &handle)?;
    let state_folder: PathBuf = config.state_folder.clone();
    let mut starting = StartingProcess::new(config, &mut events, operators);
    let Some(started) = starting.start()? else {
        return Ok(());
    };
    let (mut ready, operators) = starting.into_parts();
    let mut driver = serve(started, operators, &state_folder, &mut events, &mut ready)?;
    driver.log_counters();
    Ok(())
}

/// Registers the signals that the sender handles, so that the event loop collects them.
fn watch_signals(handle: &EventLoopHandle) -> Result<(), SenderError> {
    let watched = [
        Signal::SIGTERM,
        Signal::SIGINT,
        Signal::SIGUSR1,
        Signal::SIGHUP,
    ];
    let signals =
        Signals::new(&watched).map_err(|error| SenderError::WatchSignals(error.to_string()))?;
    handle
        .insert_source(signals, |event, _, ready: &mut ReadyEvents| {
            ready.signals.push(event.signal());
        })
        .map_err(|error| SenderError::WatchSignals(error.to_string()))?;
    Ok(())
}

/// Listens for operators, if the configuration contains an address for them.
fn open_operators(
    config: &Config,
    handle: &EventLoopHandle,
) -> Result<Option<OperatorService>, SenderError> {
    config
        .operator
        .map(|address| OperatorService::open(address, handle))
        .transpose()
        .map_err(SenderError::Operators)
}

/// Runs rounds until the process ends or is replaced. Returns the driver, whose counters are still to be logged.
fn serve(
    started: StartedProcess,
    operators: Option<OperatorService>,
    state_folder: &Path,
    events: &mut EventLoop<'static, ReadyEvents>,
    ready: &mut ReadyEvents,
) -> Result<Driver, SenderError> {
    let mut driver = started.driver;
    driver.set_operators(operators);
    let mut replaced = started.replaced;
    let mut replacement = ReplacementListener::open(started.lock, state_folder, &events.handle());
    loop {
        for signal in std::mem::take(&mut ready.signals) {
            handle_signal(signal, &mut driver);
        }
        if replaced.is_reading_due(driver.clock().now()) {
            driver.reload_if_changed(Config::read_again());
        }
        let mut sources = std::mem::take(&mut ready.keys);
        sources.retain(|source| !replacement.on_ready(*source));
        if !driver.round(sources) {
            replacement.close();
            return Ok(driver);
        }
        if replacement.hand_over(&mut driver) {
            return Ok(driver);
        }
        wait_for_events(events, ready, driver.poll_timeout())?;
    }
}

fn handle_signal(signal: Signal, driver: &mut Driver) {
    match signal {
        Signal::SIGUSR1 => driver.log_counters(),
        Signal::SIGHUP => driver.reload(Config::read_again()),
        _ => driver.begin_shutdown(),
    }
}

/// Waits until a socket is ready or a signal arrives, for at most `timeout`.
pub(crate) fn wait_for_events(
    events: &mut EventLoop<'static, ReadyEvents>,
    ready: &mut ReadyEvents,
    timeout: Millis,
) -> Result<(), SenderError> {
    let timeout = Duration::from_secs_f64(timeout / MILLISECONDS_PER_SECOND);
    events
        .dispatch(timeout, ready)
        .map_err(SenderError::EventLoop)
}
