//! Builds the [`Driver`] of a process: a fresh start from the write-ahead log, or a takeover from the state that the
//! predecessor has passed.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::time::Instant;

use martenlatch_clock::{Clock, Millis, millis};
use martenlatch_http::buffer_pool::{BUFFER_SIZE, BufferPool};
use martenlatch_policy::Policy;
use martenlatch_policy::interface::{Event, Idempotency, MessageClass, Settings};
use martenlatch_wal::{MAX_ATTEMPTS, MessageRecord, WriteAheadLog};
use tracing::info;

use super::admission::Admission;
use super::decision::Decision;
use super::driver::Driver;
use super::ingress::{ClientLimits, Ingress, IngressClass};
use super::message_store::MessageStore;
use super::poll_history::PollHistory;
use super::process_state::{ProcessState, RemainingState, SettingsNames, SplitState};
use super::send_gate::RetryAfterTable;
use super::status_reports::{MAX_LANES, StatusReporter};
use crate::Config;
use crate::class_metrics::ClassMetrics;
use crate::class_rules::ClassRules;
use crate::cordons::Cordons;
use crate::discovery::EndpointDirectory;
use crate::egress::Egress;
use crate::error::SenderError;
use crate::event_source::{Handle, InheritedDescriptors};
use crate::jitter::Jitter;
use crate::log_recovery;
use crate::operator;
use crate::peer_service::PeerService;
use crate::safety::ViolationCounter;

/// An input and an output buffer for each connection.
const BUFFERS_PER_CONNECTION: usize = 2;
/// Buffers for the connections of the watch and of the status reports.
const CONTROL_BUFFERS: usize = (1 + MAX_LANES) * BUFFERS_PER_CONNECTION;
/// The part of the memory limit for buffers, as a divisor.
const BUFFER_MEMORY_DIVISOR: u64 = 2;
/// Clients may have this part of the descriptors, as a divisor; the rest is for endpoints, discovery and files.
const CLIENT_DESCRIPTORS_DIVISOR: usize = 2;
/// Each client takes two buffers, and leaves one for endpoints.
const BUFFERS_CLAIMED_PER_CLIENT: usize = 3;
/// Endpoints may have this part of the descriptors, as a divisor.
const ENDPOINT_DESCRIPTORS_DIVISOR: usize = 3;

/// An instant before every idempotency window.
const LONG_AGO: Millis = 0.0;

/// What a process starts with.
pub enum Start {
    /// The write-ahead log holds what earlier processes have left.
    Fresh {
        /// Its own listener.
        listener: TcpListener,
        /// When the process began.
        began: Instant,
    },
    /// The state of the process before it, and its descriptors, the listener's first.
    Passed(Box<ProcessState<Policy>>, InheritedDescriptors),
}

/// How many connections and buffers the limits on descriptors and memory allow.
struct Capacity {
    max_clients: usize,
    endpoint_buffers: usize,
    max_endpoint_connections: usize,
}

impl Capacity {
    /// Clients have buffers of their own, so that slow clients cannot starve endpoints.
    fn new(config: &Config, settings: &Settings) -> Capacity {
        let operator_connections = match config.operator {
            Some(_) => operator::CALLERS + 1,
            None => 0,
        };
        let buffers = (config.memory / BUFFER_MEMORY_DIVISOR / BUFFER_SIZE as u64) as usize;
        let buffers = buffers.saturating_sub(BUFFERS_PER_CONNECTION * operator_connections);
        let buffered_clients = buffers / BUFFERS_CLAIMED_PER_CLIENT;
        let max_clients = (config.sockets / CLIENT_DESCRIPTORS_DIVISOR)
            .saturating_sub(operator_connections)
            .min(buffered_clients)
            .max(1);
        let client_buffers = BUFFERS_PER_CONNECTION * max_clients.min(buffered_clients);
        Capacity {
            max_clients,
            endpoint_buffers: (buffers - client_buffers)
                .saturating_sub(CONTROL_BUFFERS)
                .max(1),
            max_endpoint_connections: (config.sockets / ENDPOINT_DESCRIPTORS_DIVISOR)
                .max(settings.max_in_flight),
        }
    }
}

/// What the predecessor has passed that is restored once the driver stands.
struct Inheritance {
    state: RemainingState,
    descriptors: InheritedDescriptors,
}

/// What a fresh start and a takeover differ in.
struct Foundation {
    listener: TcpListener,
    settings: Settings,
    class_rules: ClassRules,
    policy: Policy,
    wal: WriteAheadLog,
    next_number: u64,
    /// What the log holds of earlier processes; a takeover inherits this with its state.
    recovered: BTreeMap<u64, MessageRecord>,
    inheritance: Option<Inheritance>,
}

impl Foundation {
    fn new(config: &Config, start: Start) -> Result<Foundation, SenderError> {
        let mut settings = config.platform_settings.settings.clone();
        settings.max_attempts = settings.max_attempts.min(MAX_ATTEMPTS as u32);
        let class_rules = ClassRules::new(&config.platform_settings.classes, &settings.classes);
        match start {
            Start::Fresh { listener, .. } => {
                Foundation::fresh(config, listener, settings, class_rules)
            }
            Start::Passed(state, descriptors) => {
                Foundation::takeover(config, *state, descriptors, settings, class_rules)
            }
        }
    }

    /// Starts from the write-ahead log.
    fn fresh(
        config: &Config,
        listener: TcpListener,
        mut settings: Settings,
        mut class_rules: ClassRules,
    ) -> Result<Foundation, SenderError> {
        let (wal, recovered) = log_recovery::open(&config.state, config.disk);
        for record in recovered.open.values() {
            class_rules.add_recovered(&record.class, &record.rules, &mut settings);
        }
        let policy = Policy::new(settings.clone(), config.seed).map_err(SenderError::Settings)?;
        Ok(Foundation {
            listener,
            settings,
            class_rules,
            policy,
            wal,
            next_number: recovered.next_number,
            recovered: recovered.open,
            inheritance: None,
        })
    }

    /// Starts from the state of the predecessor, which may go on until this process has committed to take over.
    fn takeover(
        config: &Config,
        state: ProcessState<Policy>,
        mut descriptors: InheritedDescriptors,
        mut settings: Settings,
        class_rules: ClassRules,
    ) -> Result<Foundation, SenderError> {
        let listener = descriptors.take().map_err(SenderError::RestoreState)?;
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
        let wal =
            WriteAheadLog::restore(&config.state, config.disk, log_position, state.unfinished())
                .map_err(SenderError::RestoreLog)?;
        Ok(Foundation {
            listener: TcpListener::from(listener),
            settings,
            class_rules,
            policy,
            wal,
            next_number: state.next_number,
            recovered: BTreeMap::new(),
            inheritance: Some(Inheritance { state, descriptors }),
        })
    }
}

impl Driver {
    /// Builds the driver of a process.
    ///
    /// # Errors
    /// Where the settings, the listener or the passed state cannot be used.
    pub fn new(
        config: Config,
        start: Start,
        peers: Option<PeerService>,
        handle: &Handle,
        clock: Clock,
    ) -> Result<Driver, SenderError> {
        let began = match &start {
            Start::Fresh { began, .. } => *began,
            Start::Passed(..) => Instant::now(),
        };
        let mut foundation = Foundation::new(&config, start)?;
        let recovered = std::mem::take(&mut foundation.recovered);
        let inheritance = foundation.inheritance.take();
        let mut driver = Driver::assemble(&config, foundation, peers, handle, clock)?;
        if let Some(mut inherited) = inheritance {
            driver
                .restore_state(inherited.state, &mut inherited.descriptors)
                .map_err(SenderError::RestoreState)?;
            driver.store.wal.set_anchor(driver.clock.anchor());
            return Ok(driver);
        }
        driver.store.wal.append_anchor(driver.clock.anchor());
        let resumed = driver.resume(recovered);
        driver.apply_or_defer_known_list(&config, began);
        driver.decision.events.extend(resumed);
        info!(name = %config.name, resumed = driver.store.counters.resumed, "started");
        Ok(driver)
    }

    /// Puts the stages together. Nothing is held yet.
    fn assemble(
        config: &Config,
        foundation: Foundation,
        peers: Option<PeerService>,
        handle: &Handle,
        clock: Clock,
    ) -> Result<Driver, SenderError> {
        let settings = &foundation.settings;
        let capacity = Capacity::new(config, settings);
        let control_buffers = BufferPool::new(CONTROL_BUFFERS);
        let jitter = Jitter::new(config.seed);
        let limits = client_limits(config, settings, &capacity);
        let classes = ingress_classes(config);
        let violations = ViolationCounter::default();
        let ingress = Ingress::open(
            foundation.listener,
            handle,
            limits,
            classes,
            jitter.clone(),
            violations.clone(),
        )?;
        let class_metrics = ClassMetrics::new(&config.platform_settings.classes);
        Ok(Driver {
            names: SettingsNames::of(config),
            listen: config.listen,
            descriptor_limit: config.sockets,
            admission: build_admission(config, settings, foundation.class_rules),
            decision: Decision::new(foundation.policy),
            status_reporter: build_status_reporter(
                config,
                handle,
                &control_buffers,
                &jitter,
                clock.now(),
            ),
            store: MessageStore::new(foundation.wal, foundation.next_number, class_metrics),
            ingress,
            egress: build_egress(settings, &capacity, handle),
            directory: build_directory(config, jitter),
            operators: None,
            peers,
            unfinished_sources: Vec::new(),
            shutdown_started: None,
            clock,
            polls: PollHistory::new(),
            deferred_list: None,
            waits: RetryAfterTable::new(
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

    /// Holds what the log has of earlier processes. Returns the events for the decision module.
    fn resume(&mut self, recovered: BTreeMap<u64, MessageRecord>) -> Vec<Event> {
        let mut events = Vec::new();
        for mut record in recovered.into_values() {
            if !self.clock.is_continuous() {
                forget_instants_of_attempts(&mut record);
            }
            let event = self
                .admission
                .resume(record, &mut self.store, &mut self.status_reporter);
            events.extend(event);
        }
        events
    }
}

/// The time since the attempts of a message is not known: no idempotency window is proven to be open still.
fn forget_instants_of_attempts(record: &mut MessageRecord) {
    for attempt in &mut record.attempts {
        attempt.sent = LONG_AGO;
    }
}

fn client_limits(config: &Config, settings: &Settings, capacity: &Capacity) -> ClientLimits {
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
    handle: &Handle,
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
        max_held: settings.max_open_messages,
        classes: config.platform_settings.classes.clone(),
        class_rules,
    }
}

fn build_egress(settings: &Settings, capacity: &Capacity, handle: &Handle) -> Egress {
    Egress::new(
        handle,
        &BufferPool::new(capacity.endpoint_buffers),
        capacity.max_endpoint_connections,
        millis(settings.connect_timeout),
        millis(settings.idle_timeout),
    )
}

fn build_directory(config: &Config, jitter: Jitter) -> EndpointDirectory {
    let cordons = Cordons::open(&config.state, config.disk);
    EndpointDirectory::new(config.discovery, &config.platform_settings, cordons, jitter)
}
