//! The state of a run on sockets: the partners, the senders, the laboratory's sockets and the scheduled events.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use martenlatch_clock::{Clock, Millis};
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_http::{self as http, EventLoopHandle};
use martenlatch_policy::interface::Settings;
use slab::Slab;

use super::event::Event;
use super::lab_socket::{BoundListener, LabSocket};
use super::platform_settings::platform_settings;
use super::resource_usage::ResourceUsage;
use super::sender_process::{SenderOptions, SenderProcess};
use super::{SocketRun, default_sender_program};
use crate::clients::Clients;
use crate::delay_queue::DelayQueue;
use crate::error::LabError;
use crate::event_log::{EventKind, LoggedEvent};
use crate::experiment::{Experiment, Variant};
use crate::judge::Judge;
use crate::load::{self, PlannedMessage};
use crate::metrics::Metrics;
use crate::model::environment::{Environment, ListedState};
use crate::network::{self, Direction};
use crate::sim;

/// Number of buffers for all connections together. It also bounds the number of idle client connections.
const BUFFERS: usize = 4_096;

/// One submission of a client's message to a sender.
pub(super) struct SubmittedMessage {
    /// The number of the client's message, which may be submitted several times.
    pub origin: u64,
    pub sender: u32,
    /// Number of calls received for the message.
    pub calls: u32,
    /// When the first call that may have run arrived at an endpoint.
    pub may_have_run: Option<Millis>,
    /// Whether the message was delivered, reported as failed, or not accepted.
    pub finished: bool,
}

/// A call in progress.
#[derive(Clone, Copy)]
pub(super) struct Call {
    pub message: u64,
    /// The key of the connection that carries the call.
    pub connection: usize,
    pub partner: u32,
    pub endpoint: u32,
    /// Whether the connection is reset when the call starts to run.
    pub reset_when_running: bool,
}

/// An endpoint's address and connections.
pub(super) struct EndpointSocket {
    pub address: SocketAddr,
    /// Number of connections that senders have to the endpoint.
    pub connections: u32,
}

/// A sender's process and what the testbed knows about it.
pub(super) struct SenderSlot {
    pub process: SenderProcess,
    pub up: bool,
    /// Number of the sender's processes that have ended.
    pub incarnation: u32,
    /// Time from the end of the process to its restart. Set when the run shuts the sender down or kills it, so that the
    /// end does not count as a crash.
    pub restart_after: Option<Millis>,
    /// The endpoint list as it was last sent to the sender.
    pub listed_endpoints: BTreeMap<u32, ListedState>,
    /// The revision of `listed_endpoints`.
    pub list_revision: u64,
    /// Keys of idle client connections to the sender.
    pub idle_clients: Vec<usize>,
}

/// A run on sockets.
pub(super) struct Testbed<'a> {
    pub experiment: &'a Experiment,
    pub seed: u64,
    pub environment: Environment,
    pub clients: Clients<'a>,
    /// Endpoints, indexed by number.
    pub endpoints: Vec<EndpointSocket>,
    pub events: DelayQueue<Event>,
    pub plan: Vec<PlannedMessage>,
    pub messages: HashMap<u64, SubmittedMessage>,
    pub calls: HashMap<u64, Call>,
    pub next_call_id: u64,
    pub next_message_id: u64,
    pub sockets: Slab<LabSocket>,
    pub senders: Vec<SenderSlot>,
    /// Keys of the listeners of retired endpoints.
    pub retired_listeners: Vec<usize>,
    pub handle: EventLoopHandle<usize>,
    pub buffers: BufferPool,
    pub judge: Judge,
    pub metrics: Metrics,
    /// The resource usage of all senders together, sampled each second.
    pub resource_usage: Vec<ResourceUsage>,
    pub open_messages: u64,
    /// The longest delay of an event after its due time.
    pub max_lateness: Millis,
    /// Whether the senders' disks are full.
    pub disks_full: bool,
    /// The error that ends the run.
    pub failure: Option<LabError>,
    clock: Clock,
    /// The clock's time at the start of the run.
    start: Millis,
}

impl<'a> Testbed<'a> {
    /// Opens the endpoints' and agents' sockets, and prepares the senders without starting them.
    ///
    /// # Errors
    /// If the decision module rejects the variant's settings, no port is free, or a sender's program does not exist.
    pub fn new(
        experiment: &'a Experiment,
        variant: &Variant,
        seed: u64,
        handle: EventLoopHandle<usize>,
    ) -> Result<Testbed<'a>, LabError> {
        let environment = Environment::new(experiment, seed);
        let settings = sim::checked_settings(experiment, variant, &environment.site)?;
        let mut testbed = Testbed {
            plan: load::plan(experiment, &environment.site, &environment.faults, seed),
            clients: Clients::new(experiment, seed),
            endpoints: Vec::new(),
            events: DelayQueue::new(),
            messages: HashMap::new(),
            calls: HashMap::new(),
            next_call_id: 0,
            next_message_id: 0,
            sockets: Slab::new(),
            senders: Vec::new(),
            retired_listeners: Vec::new(),
            handle,
            buffers: BufferPool::new(BUFFERS),
            judge: Judge::for_variant(experiment, variant),
            metrics: Metrics::new(&experiment.world.classes, 0.0, experiment.length),
            resource_usage: Vec::new(),
            open_messages: 0,
            max_lateness: 0.0,
            disks_full: false,
            failure: None,
            clock: Clock::system(),
            start: 0.0,
            experiment,
            seed,
            environment,
        };
        testbed.open_endpoints()?;
        testbed.prepare_senders(variant, &settings)?;
        if variant.receives_gossip {
            testbed.configure_peers()?;
        }
        Ok(testbed)
    }

    fn open_endpoints(&mut self) -> Result<(), LabError> {
        for endpoint in 0..self.environment.endpoint_partners.len() as u32 {
            self.open_endpoint(endpoint)?;
        }
        Ok(())
    }

    /// Opens a listener on a port of its own for a new endpoint.
    pub fn open_endpoint(&mut self, endpoint: u32) -> Result<(), LabError> {
        let BoundListener { listener, address } = BoundListener::on_loopback()?;
        self.endpoints.push(EndpointSocket {
            address,
            connections: 0,
        });
        self.listen(listener, |listener| LabSocket::EndpointListener {
            endpoint,
            listener,
        })
    }

    fn prepare_senders(&mut self, variant: &Variant, settings: &Settings) -> Result<(), LabError> {
        let world = &self.experiment.world;
        let classes: Vec<String> = world
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect();
        let kinds: Vec<String> = world.kinds.iter().map(|kind| kind.name.clone()).collect();
        let settings = platform_settings(settings, &classes, &kinds);
        let program = variant
            .program
            .clone()
            .unwrap_or_else(default_sender_program);
        for number in 0..world.senders {
            let BoundListener { listener, address } = BoundListener::on_loopback()?;
            let process = SenderProcess::prepare(&SenderOptions {
                number,
                program: &program,
                settings_file: variant.settings_file.as_deref(),
                discovery: address,
                platform_settings: &settings,
                seed: self.seed,
            })?;
            self.senders.push(SenderSlot {
                process,
                up: false,
                incarnation: 0,
                restart_after: None,
                listed_endpoints: self.initial_endpoint_list(),
                list_revision: 1,
                idle_clients: Vec::new(),
            });
            self.listen(listener, |listener| LabSocket::AgentListener {
                sender: number,
                listener,
            })?;
        }
        Ok(())
    }

    fn initial_endpoint_list(&self) -> BTreeMap<u32, ListedState> {
        (0..self.environment.endpoint_partners.len() as u32)
            .map(|endpoint| (endpoint, ListedState::Active))
            .collect()
    }

    /// Makes the senders peers, which share their knowledge of partners.
    fn configure_peers(&mut self) -> Result<(), LabError> {
        let addresses: Vec<SocketAddr> = (0..self.senders.len() as u32)
            .map(SenderProcess::peer_address)
            .collect::<Result<_, _>>()?;
        for (sender, own_address) in self.senders.iter_mut().zip(&addresses) {
            sender.process.add_peers(*own_address, &addresses)?;
        }
        Ok(())
    }

    fn listen(
        &mut self,
        listener: Rc<TcpListener>,
        wrap: impl FnOnce(Rc<TcpListener>) -> LabSocket,
    ) -> Result<(), LabError> {
        let key = self.sockets.insert(wrap(listener.clone()));
        http::register(&self.handle, listener, key).map_err(LabError::RegisterSocket)?;
        Ok(())
    }

    /// Milliseconds since the run began.
    pub fn now(&self) -> Millis {
        self.clock.now() - self.start
    }

    /// Sets the start of the run to now.
    pub fn start_clock(&mut self) {
        self.start = self.clock.now();
    }

    /// Passes an event at the current time to the judge and the metrics.
    pub fn record(&mut self, kind: EventKind) {
        let event = LoggedEvent {
            at: self.now(),
            kind,
        };
        self.judge.observe(&event);
        self.metrics.observe(&event);
    }

    /// Ends the run with an error.
    pub fn fail(&mut self, error: LabError) {
        self.failure = Some(error);
    }

    /// One-way network latency of a call or of its reply.
    pub fn latency(&self, call: u64, direction: Direction) -> Millis {
        network::latency(self.experiment, self.seed, call, direction)
    }

    /// Marks a message as finished for its client; false if it was finished already.
    pub fn finish_message(&mut self, message: u64) -> bool {
        let Some(message) = self.messages.get_mut(&message) else {
            return false;
        };
        if message.finished {
            return false;
        }
        message.finished = true;
        self.open_messages = self.open_messages.saturating_sub(1);
        true
    }

    /// Ends the run and returns its result.
    pub fn finish(self, end: Millis) -> SocketRun {
        let now = self.now();
        SocketRun {
            figures: self.metrics.end(),
            verdict: self.judge.end(end.max(now)),
            resource_usage: self.resource_usage,
            max_lateness: self.max_lateness,
        }
    }
}
