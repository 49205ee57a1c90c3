//! Builds the [`Driver`] of a process: in a fresh start from the write-ahead log, or in a takeover from the state of
//! the predecessor.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::time::Instant;

use martenlatch_clock::{Clock, Millis, millis};
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_policy::Policy;
use martenlatch_policy::interface::{Event, Idempotency, MessageClass, Settings};
use martenlatch_wal::{MAX_ATTEMPTS, MessageRecord, WriteAheadLog};
use tracing::info;

use super::admission::Admission;
use super::capacity::{CONTROL_BUFFERS, ConnectionCapacity, log_limit};
use super::decision::Decision;
use super::driver::Driver;
use super::ingress::{ClientLimits, Ingress, IngressClass};
use super::message_store::MessageStore;
use super::poll_history::PollHistory;
use super::process_state::{ProcessState, RemainingState, SettingsNames, SplitState};
use super::send_gate::RetryAfterTable;
use super::settlement::ClosedMessages;
use super::status_reports::StatusReporter;
use crate::Config;
use crate::class_metrics::ClassMetrics;
use crate::class_rules::ClassRules;
use crate::cordons::Cordons;
use crate::discovery::EndpointDirectory;
use crate::egress::Egress;
use crate::error::SenderError;
use crate::event_source::{EventLoopHandle, InheritedDescriptors};
use crate::jitter::Jitter;
use crate::log_recovery;
use crate::peer_service::PeerService;
use crate::safety::ViolationCounter;

/// An instant before every idempotency window.
const LONG_AGO: Millis = 0.0;

/// The way in which a process starts, with its inputs.
pub enum StartMode {
    /// A start from the write-ahead log, which has the messages that earlier processes left open.
    Fresh {
        /// The listener for clients, which this process has opened.
        listener: TcpListener,
        /// When the process started.
        process_started: Instant,
    },
    /// A start from the state of the predecessor and its descriptors, of which the listener is the first.
    Takeover(Box<ProcessState<Policy>>, InheritedDescriptors),
}

/// The part of the predecessor's state that is restored once the driver has been assembled.
struct InheritedState {
    state: RemainingState,
    descriptors: InheritedDescriptors,
}

/// The parts of the driver that a fresh start and a takeover obtain differently.
struct DriverParts {
    listener: TcpListener,
    settings: Settings,
    class_rules: ClassRules,
    policy: Policy,
    wal: WriteAheadLog,
    next_number: u64,
    /// The messages that earlier processes left in the log. Empty in a takeover, which inherits them with the state.
    recovered: BTreeMap<u64, MessageRecord>,
    inherited_state: Option<InheritedState>,
}

impl DriverParts {
    fn new(config: &Config, start: StartMode) -> Result<DriverParts, SenderError> {
        let mut settings = config.platform_settings.settings.clone();
        settings.max_attempts = settings.max_attempts.min(MAX_ATTEMPTS as u32);
        let class_rules = ClassRules::new(&config.platform_settings.classes, &settings.classes);
        match start {
            StartMode::Fresh { listener, .. } => {
                DriverParts::fresh(config, listener, settings, class_rules)
            }
            StartMode::Takeover(state, descriptors) => {
                DriverParts::takeover(config, *state, descriptors, settings, class_rules)
            }
        }
    }

    /// The parts of a fresh start from the write-ahead log.
    fn fresh(
        config: &Config,
        listener: TcpListener,
        mut settings: Settings,
        mut class_rules: ClassRules,
    ) -> Result<DriverParts, SenderError> {
        let (wal, recovered) = log_recovery::open(&config.state_folder, log_limit(config));
        for record in recovered.open_messages.values() {
            class_rules.add_recovered(&record.class, &record.class_rules, &mut settings);
        }
        let policy = Policy::new(settings.clone(), config.seed).map_err(SenderError::Settings)?;
        Ok(DriverParts {
            listener,
            settings,
            class_rules,
            policy,
            wal,
            next_number: recovered.next_number,
            recovered: recovered.open_messages,
            inherited_state: None,
        })
    }

    /// The parts of a takeover. Until this process has committed the takeover, the predecessor may continue to serve.
    fn takeover(
        config: &Config,
        state: ProcessState<Policy>,
        mut descriptors: InheritedDescriptors,
        mut settings: Settings,
        class_rules: ClassRules,
    ) -> Result<DriverParts, SenderError> {
        let listener = descriptors
            .next_descriptor()
            .map_err(SenderError::RestoreState)?;
        let SplitState {
            policy,
            log_position,
            remaining: mut state,
        } = state.split();
        let class_rules = class_rules
            .restore(std::mem::take(&mut state.class_rules), &mut settings)
            .ok_or(SenderError::DifferentClassRules)?;
        let policy = policy
            .restore(settings.clone())
            .map_err(SenderError::Settings)?;
        let wal = WriteAheadLog::restore(
            &config.state_folder,
            log_limit(config),
            log_position,
            state.unfinished(),
        )
        .map_err(SenderError::RestoreLog)?;
        Ok(DriverParts {
            listener: TcpListener::from(listener),
            settings,
            class_rules,
            policy,
            wal,
            next_number: state.next_number,
            recovered: BTreeMap::new(),
            inherited_state: Some(InheritedState { state, descriptors }),
        })
    }
}

impl Driver {
    /// Builds the driver of a process.
    ///
    /// # Errors
    /// Returns an error if the settings, the listener or the predecessor's state cannot be used.
    pub fn new(
        config: Config,
        start: StartMode,
        peers: Option<PeerService>,
        handle: &EventLoopHandle,
        clock: Clock,
    ) -> Result<Driver, SenderError> {
        let process_started = match &start {
            StartMode::Fresh {
                process_started, ..
            } => *process_started,
            StartMode::Takeover(..) => Instant::now(),
        };
        let mut parts = DriverParts::new(&config, start)?;
        let recovered = std::mem::take(&mut parts.recovered);
        let inherited_state = parts.inherited_state.take();
        let mut driver = Driver::assemble(&config, parts, peers, handle, clock)?;
        if let Some(mut inherited) = inherited_state {
            driver
                .restore_state(inherited.state, &mut inherited.descriptors)
                .map_err(SenderError::RestoreState)?;
            driver.store.wal.set_anchor(driver.clock.anchor());
            return Ok(driver);
        }
        driver.store.wal.append_anchor(driver.clock.anchor());
        let resumed = driver.resume(recovered);
        driver.apply_or_defer_known_list(&config, process_started);
        driver.decision.events.extend(resumed);
        info!(name = %config.name, resumed = driver.store.counters.resumed, "started");
        Ok(driver)
    }

    /// Assembles the stages. The store is still empty.
    fn assemble(
        config: &Config,
        parts: DriverParts,
        peers: Option<PeerService>,
        handle: &EventLoopHandle,
        clock: Clock,
    ) -> Result<Driver, SenderError> {
        let settings = &parts.settings;
        let capacity = ConnectionCapacity::new(config, settings);
        let control_buffers = BufferPool::new(CONTROL_BUFFERS);
        let jitter = Jitter::new(config.seed);
        let limits = client_limits(config, settings, &capacity);
        let classes = ingress_classes(config);
        let violations = ViolationCounter::default();
        let ingress = Ingress::open(
            parts.listener,
            handle,
            limits,
            classes,
            jitter.clone(),
            violations.clone(),
        )?;
        let class_metrics = ClassMetrics::new(&config.platform_settings.classes);
        Ok(Driver {
            names: SettingsNames::from_config(config),
            listen: config.listen,
            descriptor_limit: config.descriptor_limit,
            admission: build_admission(config, settings, parts.class_rules),
            decision: Decision::new(parts.policy),
            status_reporter: build_status_reporter(
                config,
                handle,
                &control_buffers,
                &jitter,
                clock.now(),
            ),
            store: MessageStore::new(parts.wal, parts.next_number, class_metrics),
            closed_in_doubt: ClosedMessages::default(),
            ingress,
            egress: build_egress(settings, &capacity, handle),
            directory: build_directory(config, jitter),
            discovery_in_file: config.discovery_in_file,
            discovery_reload: None,
            operators: None,
            peers,
            unfinished_sources: Vec::new(),
            shutdown_started: None,
            clock,
            poll_history: PollHistory::new(),
            deferred_list: None,
            retry_after_table: RetryAfterTable::new(
                settings
                    .kinds
                    .iter()
                    .map(|kind| kind.per_endpoint)
                    .collect(),
            ),
            violations,
            handle: handle.clone(),
            control_buffers,
        })
    }

    /// Adds to the store the messages that earlier processes left in the log. Returns the events for the decision
    /// module.
    fn resume(&mut self, recovered: BTreeMap<u64, MessageRecord>) -> Vec<Event> {
        let mut events = Vec::new();
        for mut record in recovered.into_values() {
            if !self.clock.is_continuous() {
                forget_attempt_times(&mut record);
            }
            let event = self
                .admission
                .resume(record, &mut self.store, &mut self.status_reporter);
            events.extend(event);
        }
        events
    }
}

/// Replaces the times of a message's attempts by [`LONG_AGO`]. The time since the attempts is unknown if the clock is
/// not continuous, so no idempotency window is proven to be still open.
fn forget_attempt_times(record: &mut MessageRecord) {
    for attempt in &mut record.attempts {
        attempt.sent_at = LONG_AGO;
    }
}

fn client_limits(
    config: &Config,
    settings: &Settings,
    capacity: &ConnectionCapacity,
) -> ClientLimits {
    ClientLimits {
        max_clients: capacity.max_clients,
        timeouts: config.clients,
        max_retry_after: settings.max_retry_after.map(millis),
    }
}

fn ingress_classes(config: &Config) -> Vec<IngressClass> {
    let requires_key =
        |class: &MessageClass| matches!(class.idempotency, Idempotency::IdempotencyKey { .. });
    config
        .platform_settings
        .classes
        .iter()
        .zip(&config.platform_settings.settings.classes)
        .map(|(name, class)| IngressClass {
            name: name.clone(),
            requires_idempotency_key: requires_key(class),
        })
        .collect()
}

fn build_status_reporter(
    config: &Config,
    handle: &EventLoopHandle,
    buffers: &BufferPool,
    jitter: &Jitter,
    started: Millis,
) -> StatusReporter {
    StatusReporter::new(
        config.discovery,
        handle.clone(),
        buffers.clone(),
        jitter.clone(),
        started,
    )
}

fn build_admission(config: &Config, settings: &Settings, class_rules: ClassRules) -> Admission {
    Admission {
        max_open_messages: settings.max_open_messages,
        classes: config.platform_settings.classes.clone(),
        class_rules,
    }
}

fn build_egress(
    settings: &Settings,
    capacity: &ConnectionCapacity,
    handle: &EventLoopHandle,
) -> Egress {
    Egress::new(
        handle,
        &BufferPool::new(capacity.endpoint_buffers),
        capacity.max_endpoint_connections,
        millis(settings.connect_timeout),
        millis(settings.idle_timeout),
    )
}

fn build_directory(config: &Config, jitter: Jitter) -> EndpointDirectory {
    let cordons = Cordons::open(&config.state_folder, config.disk_limit);
    EndpointDirectory::new(config.discovery, &config.platform_settings, cordons, jitter)
}
