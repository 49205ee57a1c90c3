//! The network side of the sender: one loop on one thread. Each file owns one concern and says so in its first
//! lines. This one owns the loop and its signals, and must never hold a transaction or read a byte.
#![allow(missing_docs)]

mod atomic_file;
mod class_metrics;
mod class_rules;
mod config;
mod cordons;
mod counters;
mod discovery;
mod egress;
mod event_source;
mod jitter;
mod operator;
mod peer_service;
mod peer_snapshot;
mod pipeline;
mod process_replacement;

use std::io::ErrorKind;
use std::time::Duration;

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use socket2::{Domain, Protocol, Socket, Type};

pub use config::Config;
use event_source::{EventSource, Handle, InheritedDescriptors, Ready};
use martenlatch_clock::{Clock, Millis};
use martenlatch_handover::{Lock, ReceivedState};
use martenlatch_settings::program::Peers;
use operator::Operators;
pub use peer_service::secret;
use pipeline::{Driver, ProcessState, Start};
use process_replacement::{
    CandidateState, POLL_INTERVAL, ReplacementCandidate, ReplacementListener,
};
use tracing::{info, warn};

/// Connections that may wait to be accepted: a burst of clients must not be met with silence.
const BACKLOG: i32 = 1024;
/// How long an address may stay held behind the lock of a process that has ended.
const LEFT: Millis = 2_000.0;

fn listen(address: std::net::SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Asks others what they know, before clients can come: for a bounded time, and not at all where nobody is there.
fn learn(
    set: &Peers,
    config: &Config,
    events: &mut EventLoop<'static, Ready>,
    ready: &mut Ready,
    operators: &mut Option<Operators>,
    clock: &Clock,
) -> Result<peer_service::Peers, String> {
    let apart = config
        .boot
        .settings
        .kinds
        .iter()
        .map(|k| k.per_endpoint)
        .collect();
    let handle = events.handle();
    let mut peers = peer_service::Peers::open(
        set,
        &config.name,
        &config.state,
        apart,
        config.seed,
        &handle,
        clock.now(),
    )?;
    // A signal to end is taken up as soon as the sender can.
    while peers.learning(clock.now()) && ready.signals.is_empty() {
        events
            .dispatch(Duration::from_millis(5), ready)
            .map_err(|e| format!("the event loop failed: {e}"))?;
        let (now, mut again) = (clock.now(), Vec::new());
        for key in std::mem::take(&mut ready.keys) {
            let called = operators
                .as_mut()
                .is_some_and(|o| o.turn_down(key, "not serving yet", now));
            if !called && peers.ready(key, now) {
                again.push(key);
            }
        }
        ready.keys = again;
        peers.run_due(now, None);
    }
    peers.learned(clock.now());
    Ok(peers)
}

/// A sender that begins: it learns from others where it may, and goes on with what the wal holds.
fn begin(
    config: Config,
    events: &mut EventLoop<'static, Ready>,
    ready: &mut Ready,
    operators: &mut Option<Operators>,
    clock: &Clock,
    patience: Millis,
) -> Result<Driver, String> {
    let peers = match &config.peers {
        Some(set) => Some(learn(set, &config, events, ready, operators, clock)?),
        None => None,
    };
    // A process that has just ended may still hold the address for a moment behind its lock.
    let until = clock.now() + patience;
    let listener = loop {
        match listen(config.listen) {
            Ok(listener) => break listener,
            Err(e) if e.kind() == ErrorKind::AddrInUse && clock.now() < until => {
                std::thread::sleep(Duration::from_secs_f64(POLL_INTERVAL / 1e3));
            }
            Err(e) => return Err(format!("listen: cannot bind {}: {e}", config.listen)),
        }
    };
    Driver::new(
        config,
        Start::Fresh(listener),
        peers,
        &events.handle(),
        clock.clone(),
    )
}

/// Builds this process from all that the one before it was. Nothing outside is touched before that is told.
fn build(
    config: &Config,
    passed: &mut ReceivedState,
    handle: &Handle,
) -> Result<(Driver, Lock), String> {
    let mut fds = InheritedDescriptors::new(std::mem::take(&mut passed.descriptors));
    let lock = Lock::inherited(fds.take().map_err(|e| e.to_string())?);
    let process_state = ProcessState::read(&passed.state, config)?;
    let clock = Clock::restore(process_state.at());
    let driver = Driver::new(
        config.clone(),
        Start::Passed(Box::new(process_state), fds),
        None,
        handle,
        clock,
    )?;
    Ok((driver, lock))
}

/// Waits until this process may serve, which it does from here on: the lock is free, or the one that held it has given
/// way. None where it is told to end first.
fn arrive(
    config: Config,
    events: &mut EventLoop<'static, Ready>,
    ready: &mut Ready,
    operators: &mut Option<Operators>,
) -> Result<Option<(Driver, Option<Lock>)>, String> {
    let clock = Clock::system();
    let lock = match Lock::try_acquire(&config.state, "lock") {
        Ok(Some(lock)) => Some(Some(lock)),
        Ok(None) => None,
        // A folder that takes no file must stop no sender, which then cannot be replaced while it serves.
        Err(e) => {
            warn!(error = ?e.kind(), "no lock");
            Some(None)
        }
    };
    if let Some(lock) = lock {
        return Ok(Some((
            begin(config, events, ready, operators, &clock, 0.0)?,
            lock,
        )));
    }
    let mut waiting =
        ReplacementCandidate::open(&config, &events.handle()).map_err(|e| e.to_string())?;
    // A signal to end is taken up at once: nothing has been begun.
    while !ready
        .signals
        .iter()
        .any(|s| matches!(s, Signal::SIGTERM | Signal::SIGINT))
    {
        let now = clock.now();
        let mut found = waiting.poll(now);
        for key in std::mem::take(&mut ready.keys) {
            let called = operators
                .as_mut()
                .is_some_and(|o| o.turn_down(key, "not serving yet", now));
            if !called && key == EventSource::Predecessor {
                found = waiting.receive(&clock);
            }
        }
        operators.as_mut().into_iter().for_each(|o| o.run_due(now));
        match found {
            CandidateState::Waiting => {}
            CandidateState::LockAcquired(lock) => {
                info!("the process that served has ended");
                let driver = begin(config, events, ready, operators, &clock, LEFT)?;
                return Ok(Some((driver, Some(lock))));
            }
            CandidateState::StateReceived(mut passed) => {
                match build(&config, &mut passed, &events.handle()) {
                    Ok((driver, lock)) => match passed.commit() {
                        Ok(()) => {
                            let (clients, calls, held) = driver.load();
                            info!(name = %config.name, clients, calls, held, "taking over");
                            return Ok(Some((driver, Some(lock))));
                        }
                        // It went on, or it has died: asked again, or the lock is free.
                        Err(e) => warn!(error = ?e.kind(), "taken too late"),
                    },
                    Err(reason) => {
                        warn!(reason, "not taken over");
                        waiting.stop_requesting();
                    }
                }
            }
        }
        let look = Duration::from_secs_f64(POLL_INTERVAL / 1e3);
        events
            .dispatch(look, ready)
            .map_err(|e| format!("the event loop failed: {e}"))?;
    }
    Ok(None)
}

/// Serves until the sender is told to end, or another process of it has taken its place.
pub fn run(config: Config) -> Result<(), String> {
    let mut events = EventLoop::<Ready>::try_new().map_err(|e| format!("no event loop: {e}"))?;
    let handle = events.handle();
    let signals = Signals::new(&[
        Signal::SIGTERM,
        Signal::SIGINT,
        Signal::SIGUSR1,
        Signal::SIGHUP,
    ])
    .map_err(|e| format!("no signals: {e}"))?;
    let told = handle.insert_source(signals, |event, _, ready: &mut Ready| {
        ready.signals.push(event.signal())
    });
    told.map_err(|e| format!("no signals: {e}"))?;
    let mut ready = Ready::default();
    let mut operators = config
        .operator
        .map(|at| Operators::open(at, &handle))
        .transpose()?;
    let state = config.state.clone();
    let Some((mut driver, lock)) = arrive(config, &mut events, &mut ready, &mut operators)? else {
        return Ok(());
    };
    driver.answer_operators(operators);
    let mut serving = ReplacementListener::open(lock, &state, &handle);
    loop {
        for signal in std::mem::take(&mut ready.signals) {
            match signal {
                Signal::SIGUSR1 => driver.print_counters(),
                Signal::SIGHUP => driver.reload(Config::read_again()),
                _ => driver.end(),
            }
        }
        let mut keys = std::mem::take(&mut ready.keys);
        keys.retain(|key| !serving.ready(*key));
        if !driver.round(keys) {
            serving.close();
            break;
        }
        if serving.hand_over(&mut driver) {
            break;
        }
        let sleep = Duration::from_secs_f64(driver.sleep() / 1e3);
        events
            .dispatch(sleep, &mut ready)
            .map_err(|e| format!("the event loop failed: {e}"))?;
    }
    driver.print_counters();
    Ok(())
}
