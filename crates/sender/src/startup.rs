//! The start of a process: alone, or beside one that serves from the same folder and is to be replaced.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use calloop::signals::Signal;
use martenlatch_clock::{Clock, Millis};
use martenlatch_handover::{Lock, ReceivedState};
use martenlatch_http::is_local_shortage;
use martenlatch_settings::program::Peers as PeerSettings;
use socket2::{Domain, Protocol, Socket, Type};
use tracing::{info, warn};

use crate::Config;
use crate::error::SenderError;
use crate::event_source::{EventSource, Handle, InheritedDescriptors, Ready};
use crate::log_recovery;
use crate::operator::Operators;
use crate::peer_service::PeerService;
use crate::pipeline::{Driver, ProcessLoad, ProcessState, Start};
use crate::process_replacement::{CandidateState, POLL_INTERVAL, ReplacementCandidate};
use crate::serve::wait;

/// Connections that may wait to be accepted: a burst of clients must not be dropped.
const LISTEN_BACKLOG: i32 = 1024;
/// How long a process that has ended may still hold its address, although its lock is free.
const ADDRESS_RELEASE_TIMEOUT: Millis = 2_000.0;
/// How long a start waits for descriptors or memory.
const SHORTAGE_TIMEOUT: Millis = 5_000.0;
/// How often the loop wakes while peers are asked for what they know.
const LEARNING_INTERVAL: Millis = 5.0;
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// What operators are told while the process starts.
const NOT_SERVING: &str = "not serving yet";

/// Listens on an address without blocking.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// A process that may serve from here on.
pub(crate) struct Started {
    pub(crate) driver: Driver,
    /// The lock on the folder; none where the folder takes no lock, and the process cannot be replaced.
    pub(crate) lock: Option<Lock>,
}

/// A process that does not serve yet.
pub(crate) struct StartingProcess<'a> {
    started: Instant,
    config: Config,
    clock: Clock,
    events: &'a mut EventLoop<'static, Ready>,
    ready: Ready,
    operators: Option<Operators>,
}

/// Who may serve from the folder.
enum FolderLock {
    /// This process; without a lock where the folder takes none.
    Ours(Option<Lock>),
    /// Another process.
    Taken,
}

impl<'a> StartingProcess<'a> {
    /// A process of this configuration. Operators are told that it does not serve.
    pub(crate) fn new(
        config: Config,
        events: &'a mut EventLoop<'static, Ready>,
        operators: Option<Operators>,
    ) -> StartingProcess<'a> {
        let started = Instant::now();
        let clock = clock_after_earlier_processes(&config.state);
        StartingProcess {
            started,
            config,
            clock,
            events,
            ready: Ready::default(),
            operators,
        }
    }

    /// What became ready and was not handled during the start, and the operators' connections.
    pub(crate) fn into_parts(self) -> (Ready, Option<Operators>) {
        (self.ready, self.operators)
    }

    /// Waits until this process may serve: the folder's lock is free, or the process that held it has given way. None
    /// if this process is told to end first.
    ///
    /// # Errors
    /// Where this process cannot serve, or another one waits already.
    pub(crate) fn start(&mut self) -> Result<Option<Started>, SenderError> {
        match take_folder_lock(&self.config) {
            FolderLock::Ours(lock) => {
                let driver = self.start_fresh(0.0)?;
                Ok(Some(Started { driver, lock }))
            }
            FolderLock::Taken => self.wait_for_predecessor(),
        }
    }

    /// Starts from the write-ahead log. The address may be in use for so long still.
    fn start_fresh(&mut self, address_timeout: Millis) -> Result<Driver, SenderError> {
        let peers = match self.config.peers.clone() {
            Some(settings) => Some(self.learn_from_peers(&settings)?),
            None => None,
        };
        let listener = self.listen_for_clients(address_timeout)?;
        Driver::new(
            self.config.clone(),
            Start::Fresh {
                listener,
                began: self.started,
            },
            peers,
            &self.events.handle(),
            self.clock.clone(),
        )
    }

    /// Asks the peers for what they know before clients can connect: for a bounded time, and not at all if no peer is
    /// there. A signal ends this early, so that it is acted on soon.
    fn learn_from_peers(&mut self, settings: &PeerSettings) -> Result<PeerService, SenderError> {
        let mut peers = self.open_peers(settings)?;
        while peers.is_learning(self.clock.now()) && self.ready.signals.is_empty() {
            wait(self.events, &mut self.ready, LEARNING_INTERVAL)?;
            let now = self.clock.now();
            let mut unfinished = Vec::new();
            for source in std::mem::take(&mut self.ready.keys) {
                if !self.turn_operator_down(source, now) && peers.on_ready(source, now) {
                    unfinished.push(source);
                }
            }
            self.ready.keys = unfinished;
            peers.run_due(now, None);
        }
        peers.finish_learning(self.clock.now());
        Ok(peers)
    }

    fn open_peers(&self, settings: &PeerSettings) -> Result<PeerService, SenderError> {
        let config = &self.config;
        let per_endpoint = config
            .platform_settings
            .settings
            .kinds
            .iter()
            .map(|kind| kind.per_endpoint)
            .collect();
        PeerService::open(
            settings,
            &config.name,
            &config.state,
            per_endpoint,
            config.seed,
            &self.events.handle(),
            self.clock.now(),
        )
        .map_err(SenderError::Peers)
    }

    /// Binds the address for clients, which a process that has just ended may still hold.
    fn listen_for_clients(&self, timeout: Millis) -> Result<TcpListener, SenderError> {
        let address = self.config.listen;
        listen_patiently(|| listen(address), &self.clock, timeout)
            .map_err(|reason| SenderError::Bind { address, reason })
    }

    /// Waits beside a process that serves, until that one has given way or ended. None if this process is told to end
    /// first: nothing has been begun.
    fn wait_for_predecessor(&mut self) -> Result<Option<Started>, SenderError> {
        let mut candidate = ReplacementCandidate::open(&self.config, &self.events.handle())
            .map_err(SenderError::Replacement)?;
        while !self.is_told_to_end() {
            match self.look_for_predecessor(&mut candidate) {
                CandidateState::Waiting => {}
                CandidateState::LockAcquired(lock) => {
                    info!("the process that served has ended");
                    let driver = self.start_fresh(ADDRESS_RELEASE_TIMEOUT)?;
                    let lock = Some(lock);
                    return Ok(Some(Started { driver, lock }));
                }
                CandidateState::StateReceived(passed) => {
                    if let Some(started) = self.take_over(passed, &mut candidate) {
                        return Ok(Some(started));
                    }
                }
            }
            wait(self.events, &mut self.ready, POLL_INTERVAL)?;
        }
        Ok(None)
    }

    fn is_told_to_end(&self) -> bool {
        let ends = |signal: &Signal| matches!(signal, Signal::SIGTERM | Signal::SIGINT);
        self.ready.signals.iter().any(ends)
    }

    /// Looks at the lock, and at what the predecessor has sent.
    fn look_for_predecessor(&mut self, candidate: &mut ReplacementCandidate) -> CandidateState {
        let now = self.clock.now();
        let mut found = candidate.poll(now);
        for source in std::mem::take(&mut self.ready.keys) {
            if !self.turn_operator_down(source, now) && source == EventSource::Predecessor {
                found = candidate.receive(&self.clock);
            }
        }
        if let Some(operators) = &mut self.operators {
            operators.run_due(now);
        }
        found
    }

    /// Tells an operator that the process does not serve. True if the source is one of the operators'.
    fn turn_operator_down(&mut self, source: EventSource, now: Millis) -> bool {
        match &mut self.operators {
            Some(operators) => operators.reject_all(source, NOT_SERVING, now),
            None => false,
        }
    }

    /// Takes over from the predecessor with the state that it has passed. None if that cannot be used, or the
    /// predecessor has gone on meanwhile.
    fn take_over(
        &mut self,
        mut passed: ReceivedState,
        candidate: &mut ReplacementCandidate,
    ) -> Option<Started> {
        let started = match restore(
            &self.config,
            &mut passed,
            &self.events.handle(),
            &self.clock,
        ) {
            Ok(started) => started,
            Err(error) => {
                warn!(reason = error.to_string(), "takeover failed");
                candidate.stop_requesting();
                return None;
            }
        };
        // On an error the predecessor goes on, or it has died: it is asked again, or its lock is free.
        if let Err(error) = passed.commit() {
            warn!(error = ?error.kind(), "takeover too late");
            return None;
        }
        let ProcessLoad {
            client_connections,
            active_attempts,
            held_messages,
        } = started.driver.load();
        info!(
            name = %self.config.name,
            clients = client_connections,
            attempts = active_attempts,
            held = held_messages,
            "taking over"
        );
        Some(started)
    }
}

/// The clock that goes on from what earlier processes wrote. A log that cannot be read is dealt with when it is opened.
fn clock_after_earlier_processes(state: &Path) -> Clock {
    let log = log_recovery::inspect(state);
    let clock = Clock::after(&log.recovered.clock);
    if !clock.is_continuous() {
        warn!("the time since the last process is not known");
    }
    clock
}

/// Tries to listen until it succeeds: a process that has just ended may hold the address for `address_timeout` still,
/// and a lack of descriptors or memory passes.
fn listen_patiently(
    mut listen: impl FnMut() -> std::io::Result<TcpListener>,
    clock: &Clock,
    address_timeout: Millis,
) -> std::io::Result<TcpListener> {
    let started = clock.now();
    loop {
        let error = match listen() {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        let patience = match error.kind() {
            ErrorKind::AddrInUse => address_timeout,
            ErrorKind::Interrupted => SHORTAGE_TIMEOUT,
            _ if is_local_shortage(&error) => SHORTAGE_TIMEOUT,
            _ => 0.0,
        };
        if clock.now() >= started + patience {
            return Err(error);
        }
        std::thread::sleep(Duration::from_secs_f64(
            POLL_INTERVAL / MILLISECONDS_PER_SECOND,
        ));
    }
}

/// Takes the lock on the folder. A folder that takes no file must not stop a sender, which then cannot be replaced.
fn take_folder_lock(config: &Config) -> FolderLock {
    match Lock::try_acquire(&config.state, "lock") {
        Ok(Some(lock)) => FolderLock::Ours(Some(lock)),
        Ok(None) => FolderLock::Taken,
        Err(error) => {
            warn!(error = ?error.kind(), "no lock");
            FolderLock::Ours(None)
        }
    }
}

/// Builds this process from the state of the predecessor. Nothing outside this process is touched.
fn restore(
    config: &Config,
    passed: &mut ReceivedState,
    handle: &Handle,
    clock: &Clock,
) -> Result<Started, SenderError> {
    let mut descriptors = InheritedDescriptors::new(std::mem::take(&mut passed.descriptors));
    let lock = descriptors
        .take()
        .map_err(SenderError::InheritedDescriptor)?;
    let lock = Lock::inherited(lock);
    let state = ProcessState::read(&passed.state, config)?;
    let clock = clock.taking_over(state.at());
    let driver = Driver::new(
        config.clone(),
        Start::Passed(Box::new(state), descriptors),
        None,
        handle,
        clock,
    )?;
    Ok(Started {
        driver,
        lock: Some(lock),
    })
}

#[cfg(test)]
mod tests;
