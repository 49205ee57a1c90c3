//! The start of a process: on its own, or as the successor of a process that serves from the same state folder.

mod listening;

use std::io::ErrorKind;
use std::net::TcpListener;
use std::path::Path;
use std::time::Instant;

use calloop::EventLoop;
use calloop::signals::Signal;
use martenlatch_clock::{Clock, Millis};
use martenlatch_handover::{Lock, ReceivedState};
use martenlatch_http::is_local_shortage;
use martenlatch_settings::program::PeerSettings;
use tracing::{info, warn};

use crate::Config;
use crate::error::SenderError;
use crate::event_source::{EventLoopHandle, EventSource, InheritedDescriptors, ReadyEvents};
use crate::log_recovery;
use crate::operator::OperatorService;
use crate::peer_service::PeerService;
use crate::pipeline::{Driver, ProcessLoad, ProcessState, StartMode};
use crate::process_replacement::{
    CandidateState, POLL_INTERVAL, ReplacedProcess, ReplacementCandidate, SERVING_LOCK, is_served,
};
use crate::serve::wait_for_events;
pub(crate) use listening::listen;
use listening::listen_with_retries;

/// The time for which the address of a process may still be in use after its lock has been released.
const ADDRESS_RELEASE_TIMEOUT: Millis = 2_000.0;
/// The longest wait for events while peers are queried for their observations.
const LEARNING_INTERVAL: Millis = 5.0;
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// The reason with which operators' commands are rejected while the process starts.
const NOT_SERVING: &str = "not serving yet";

/// A process that has completed its start and may serve.
pub(crate) struct StartedProcess {
    pub(crate) driver: Driver,
    /// The lock on the state folder. `None` if no lock can be created there; the process then cannot be replaced.
    pub(crate) lock: Option<Lock>,
    pub(crate) replaced: ReplacedProcess,
}

impl StartedProcess {
    /// A process that has replaced no other one.
    fn without_predecessor(driver: Driver, lock: Option<Lock>) -> StartedProcess {
        StartedProcess {
            driver,
            lock,
            replaced: ReplacedProcess::none(),
        }
    }
}

/// A process that does not serve yet, and rejects operators' commands.
pub(crate) struct StartingProcess<'a> {
    started_at: Instant,
    config: Config,
    clock: Clock,
    /// When the configuration was read.
    config_read_at: Millis,
    events: &'a mut EventLoop<'static, ReadyEvents>,
    ready: ReadyEvents,
    operators: Option<OperatorService>,
}

/// The result of acquiring the lock on the state folder.
enum FolderLock {
    /// This process may serve.
    Acquired(Lock),
    /// No lock can be created in the folder, so that it does not show whether another process serves.
    Unavailable,
    /// Another process has the lock, or serves without it.
    HeldByAnother,
}

impl<'a> StartingProcess<'a> {
    /// Creates a process with this configuration, and continues the clock of earlier processes.
    pub(crate) fn new(
        config: Config,
        events: &'a mut EventLoop<'static, ReadyEvents>,
        operators: Option<OperatorService>,
    ) -> StartingProcess<'a> {
        let started_at = Instant::now();
        let clock = continue_clock(&config.state_folder);
        // The log, which the clock continues from, may have been unreadable for a while.
        let config_read_at =
            clock.now() - started_at.elapsed().as_secs_f64() * MILLISECONDS_PER_SECOND;
        StartingProcess {
            started_at,
            config,
            config_read_at,
            clock,
            events,
            ready: ReadyEvents::default(),
            operators,
        }
    }

    /// Returns the sockets and signals that were not handled during the start, and the operators' connections.
    pub(crate) fn into_parts(self) -> (ReadyEvents, Option<OperatorService>) {
        (self.ready, self.operators)
    }

    /// Waits until this process may serve: the lock on the state folder is free, or the process that had it has
    /// transferred its state. `None` if a signal ends this process first.
    ///
    /// # Errors
    /// If this process cannot serve, or another process is already waiting to replace the one that serves.
    pub(crate) fn start(&mut self) -> Result<Option<StartedProcess>, SenderError> {
        match acquire_folder_lock(&self.config) {
            FolderLock::Acquired(lock) => {
                let driver = self.start_fresh(0.0)?;
                Ok(Some(StartedProcess::without_predecessor(
                    driver,
                    Some(lock),
                )))
            }
            FolderLock::HeldByAnother | FolderLock::Unavailable => self.wait_for_predecessor(),
        }
    }

    fn start_without_lock(&mut self) -> Result<Option<StartedProcess>, SenderError> {
        let driver = self.start_fresh(ADDRESS_RELEASE_TIMEOUT)?;
        Ok(Some(StartedProcess::without_predecessor(driver, None)))
    }

    /// Whether this process could listen on the address for clients, or could never. False while another process does,
    /// or while descriptors or memory are short.
    fn is_address_usable(&self) -> bool {
        let Err(error) = listen(self.config.listen) else {
            return true;
        };
        error.kind() != ErrorKind::AddrInUse && !is_local_shortage(&error)
    }

    /// Starts from the write-ahead log. Retries for `address_timeout` while the address for clients is in use.
    fn start_fresh(&mut self, address_timeout: Millis) -> Result<Driver, SenderError> {
        let peers = match self.config.peers.clone() {
            Some(settings) => Some(self.learn_from_peers(&settings)?),
            None => None,
        };
        let listener = self.listen_for_clients(address_timeout)?;
        Driver::new(
            self.config.clone(),
            StartMode::Fresh {
                listener,
                process_started: self.started_at,
            },
            peers,
            &self.events.handle(),
            self.clock.clone(),
        )
    }

    /// Queries the peers for their observations before clients can connect, for a limited time. Ends early if no peer
    /// responds, or if a signal arrives, so that the signal is handled soon.
    fn learn_from_peers(&mut self, settings: &PeerSettings) -> Result<PeerService, SenderError> {
        let mut peers = self.open_peers(settings)?;
        while peers.is_learning(self.clock.now()) && self.ready.signals.is_empty() {
            wait_for_events(self.events, &mut self.ready, LEARNING_INTERVAL)?;
            let now = self.clock.now();
            let mut unfinished = Vec::new();
            for source in std::mem::take(&mut self.ready.keys) {
                if !self.reject_operator(source, now) && peers.on_ready(source, now) {
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
        let limits_per_endpoint = config
            .platform_settings
            .settings
            .kinds
            .iter()
            .map(|kind| kind.per_endpoint)
            .collect();
        PeerService::open(
            settings,
            &config.name,
            &config.state_folder,
            limits_per_endpoint,
            config.seed,
            &self.events.handle(),
            self.clock.now(),
        )
        .map_err(SenderError::Peers)
    }

    /// Listens on the address for clients, which a process that has just ended may still use.
    fn listen_for_clients(&self, timeout: Millis) -> Result<TcpListener, SenderError> {
        let address = self.config.listen;
        listen_with_retries(|| listen(address), &self.clock, timeout)
            .map_err(|reason| SenderError::Bind { address, reason })
    }

    /// Waits until the process that serves has transferred its state or ended. `None` if a signal ends this process
    /// first; nothing needs to be undone then.
    fn wait_for_predecessor(&mut self) -> Result<Option<StartedProcess>, SenderError> {
        let mut candidate = ReplacementCandidate::open(&self.config, &self.events.handle())
            .map_err(SenderError::Replacement)?;
        while !self.termination_requested() {
            match self.poll_predecessor(&mut candidate) {
                CandidateState::Waiting => {}
                CandidateState::LockUnavailable if !self.is_address_usable() => {}
                CandidateState::LockUnavailable => {
                    info!("no other process serves; this one cannot be replaced");
                    return self.start_without_lock();
                }
                CandidateState::LockAcquired(lock) => {
                    info!("the process that served has ended");
                    let driver = self.start_fresh(ADDRESS_RELEASE_TIMEOUT)?;
                    return Ok(Some(StartedProcess::without_predecessor(
                        driver,
                        Some(lock),
                    )));
                }
                CandidateState::StateReceived(received) => {
                    if let Some(started) = self.take_over(received, &mut candidate) {
                        return Ok(Some(started));
                    }
                }
            }
            wait_for_events(self.events, &mut self.ready, POLL_INTERVAL)?;
        }
        Ok(None)
    }

    fn termination_requested(&self) -> bool {
        let terminates = |signal: &Signal| matches!(signal, Signal::SIGTERM | Signal::SIGINT);
        self.ready.signals.iter().any(terminates)
    }

    /// Checks whether the lock is free, or the predecessor has answered; rejects operators' commands.
    fn poll_predecessor(&mut self, candidate: &mut ReplacementCandidate) -> CandidateState {
        let now = self.clock.now();
        let mut candidate_state = candidate.poll(now);
        for source in std::mem::take(&mut self.ready.keys) {
            if !self.reject_operator(source, now) && source == EventSource::Predecessor {
                candidate_state = candidate.receive(&self.clock);
            }
        }
        if let Some(operators) = &mut self.operators {
            operators.run_due(now);
        }
        candidate_state
    }

    /// Answers an operator that the process does not serve yet. Returns whether the source belongs to operators.
    fn reject_operator(&mut self, source: EventSource, now: Millis) -> bool {
        match &mut self.operators {
            Some(operators) => operators.reject_commands(source, NOT_SERVING, now),
            None => false,
        }
    }

    /// Takes over from the predecessor with the state that it has sent. `None` if the state cannot be used, or the
    /// predecessor has continued to serve meanwhile.
    fn take_over(
        &mut self,
        mut received: ReceivedState,
        candidate: &mut ReplacementCandidate,
    ) -> Option<StartedProcess> {
        let started = match restore(
            &self.config,
            &mut received,
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
        // After an error, the predecessor either continues to serve, and is asked again, or has died, and its lock is
        // free.
        if let Err(error) = received.commit() {
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
        let mut started = started;
        started.driver.follow_discovery_reload(self.config_read_at);
        Some(started)
    }
}

/// Creates a clock that continues from the clock readings of earlier processes in the log. A log that cannot be read is
/// handled when it is opened.
fn continue_clock(state_folder: &Path) -> Clock {
    let log = log_recovery::inspect(state_folder);
    let clock = Clock::continuing(&log.recovered.clock_history);
    if !clock.is_continuous() {
        warn!("the time since the last process ended is unknown");
    }
    clock
}

/// Acquires the lock on the state folder. A folder in which no file can be created must not prevent a sender from
/// serving, but the sender then cannot be replaced.
fn acquire_folder_lock(config: &Config) -> FolderLock {
    match Lock::try_acquire(&config.state_folder, SERVING_LOCK) {
        // A process whose folder failed when it started serves without the lock.
        Ok(Some(_)) if is_served(&config.state_folder) => FolderLock::HeldByAnother,
        Ok(Some(lock)) => FolderLock::Acquired(lock),
        Ok(None) => FolderLock::HeldByAnother,
        Err(error) => {
            warn!(error = ?error.kind(), "no lock");
            FolderLock::Unavailable
        }
    }
}

/// Builds the driver from the state of the predecessor. Has no effect outside this process.
fn restore(
    config: &Config,
    received: &mut ReceivedState,
    handle: &EventLoopHandle,
    clock: &Clock,
) -> Result<StartedProcess, SenderError> {
    let mut descriptors = InheritedDescriptors::new(std::mem::take(&mut received.descriptors));
    let lock = descriptors
        .next_descriptor()
        .map_err(SenderError::InheritedDescriptor)?;
    let lock = Lock::inherited(lock);
    let state = ProcessState::decode(&received.state, config)?;
    let clock = clock.taking_over(state.captured_at());
    let driver = Driver::new(
        config.clone(),
        StartMode::Takeover(Box::new(state), descriptors),
        None,
        handle,
        clock,
    )?;
    Ok(StartedProcess {
        replaced: ReplacedProcess::new(received.serving_process, driver.clock().now()),
        driver,
        lock: Some(lock),
    })
}
