//! The state of a run on sockets: the partners, the senders, the laboratory's own sockets and the events to come.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use martenlatch_clock::{Clock, Millis};
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_http::{self as http, EventLoopHandle};
use martenlatch_policy::interface::Settings;
use slab::Slab;

use super::event::Event;
use super::peer::{BoundListener, Peer};
use super::platform_settings::platform_settings;
use super::resource_usage::ResourceUsage;
use super::sender_process::{Preparation, SenderProcess};
use super::{SocketRun, beside};
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

/// Buffers of all connections together; it also bounds the connections of clients that may be idle.
const BUFFERS: usize = 4_096;

/// A message that was handed in to a sender.
pub(super) struct SubmittedMessage {
    /// The client's message; the same one may be handed in several times.
    pub origin: u64,
    pub sender: u32,
    /// How many calls have come for it.
    pub calls: u32,
    /// When a call of it came that may have run, as the endpoints know.
    pub may_have_run: Option<Millis>,
    /// It was delivered, reported as failed, or not accepted.
    pub finished: bool,
}

/// A call that is under way.
#[derive(Clone, Copy)]
pub(super) struct Call {
    pub message: u64,
    /// The key of its connection.
    pub connection: usize,
    pub partner: u32,
    pub endpoint: u32,
    /// Its connection is reset once it runs.
    pub reset_when_running: bool,
}

/// Where an endpoint is reached.
pub(super) struct EndpointSocket {
    pub address: SocketAddr,
    /// Connections that senders have to it.
    pub connections: u32,
}

/// A sender as the testbed sees it.
pub(super) struct SenderSlot {
    pub process: SenderProcess,
    pub up: bool,
    /// How many processes of it have ended.
    pub incarnation: u32,
    /// It was told to end, or was killed, so that its end is no crash: it starts again so long after.
    pub restart_after: Option<Millis>,
    /// The endpoint list as the sender was last told.
    pub known: BTreeMap<u32, ListedState>,
    /// The revision of that list.
    pub revision: u64,
    /// Keys of idle connections of clients.
    pub idle_clients: Vec<usize>,
}

/// A run on sockets.
pub(super) struct Testbed<'a> {
    pub experiment: &'a Experiment,
    pub seed: u64,
    pub environment: Environment,
    pub clients: Clients<'a>,
    /// Endpoints by their numbers.
    pub endpoints: Vec<EndpointSocket>,
    pub events: DelayQueue<Event>,
    pub plan: Vec<PlannedMessage>,
    pub messages: HashMap<u64, SubmittedMessage>,
    pub calls: HashMap<u64, Call>,
    pub next_call: u64,
    pub next_message: u64,
    pub peers: Slab<Peer>,
    pub senders: Vec<SenderSlot>,
    /// Keys of listeners whose endpoints have gone.
    pub vacant_listeners: Vec<usize>,
    pub handle: EventLoopHandle<usize>,
    pub buffers: BufferPool,
    pub judge: Judge,
    pub metrics: Metrics,
    /// What all senders used together, by the second.
    pub used: Vec<ResourceUsage>,
    pub open_messages: u64,
    /// The longest that an event was late.
    pub late: Millis,
    /// The senders' disks take nothing more.
    pub disks_full: bool,
    /// Why the run cannot go on.
    pub failure: Option<LabError>,
    clock: Clock,
    /// When the run began, on the clock.
    start: Millis,
}

impl<'a> Testbed<'a> {
    /// Opens the endpoints' and agents' sockets, and prepares the senders; none runs yet.
    ///
    /// # Errors
    /// Where the decision module rejects the variant's settings, a port is taken, or a sender's program is not there.
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
            next_call: 0,
            next_message: 0,
            peers: Slab::new(),
            senders: Vec::new(),
            vacant_listeners: Vec::new(),
            handle,
            buffers: BufferPool::new(BUFFERS),
            judge: Judge::for_variant(experiment, variant),
            metrics: Metrics::new(&experiment.world.classes, 0.0, experiment.length),
            used: Vec::new(),
            open_messages: 0,
            late: 0.0,
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
        if variant.learns {
            testbed.introduce_senders()?;
        }
        Ok(testbed)
    }

    fn open_endpoints(&mut self) -> Result<(), LabError> {
        for endpoint in 0..self.environment.owner.len() as u32 {
            self.open_endpoint(endpoint)?;
        }
        Ok(())
    }

    /// Gives a new endpoint a port of its own.
    pub fn open_endpoint(&mut self, endpoint: u32) -> Result<(), LabError> {
        let BoundListener { listener, address } = BoundListener::on_loopback()?;
        self.endpoints.push(EndpointSocket {
            address,
            connections: 0,
        });
        self.listen(listener, |listener| Peer::EndpointListener {
            endpoint,
            listener,
        })
    }

    fn prepare_senders(&mut self, variant: &Variant, settings: &Settings) -> Result<(), LabError> {
        let world = &self.experiment.world;
        let classes: Vec<String> = world.classes.iter().map(|c| c.name.clone()).collect();
        let kinds: Vec<String> = world.kinds.iter().map(|k| k.name.clone()).collect();
        let settings = platform_settings(settings, &classes, &kinds);
        let program = variant.program.clone().unwrap_or_else(beside);
        for number in 0..world.senders {
            let BoundListener { listener, address } = BoundListener::on_loopback()?;
            let process = SenderProcess::prepare(&Preparation {
                number,
                program: &program,
                settings_file: variant.settings.as_deref(),
                discovery: address,
                platform_settings: &settings,
                seed: self.seed,
            })?;
            self.senders.push(SenderSlot {
                process,
                up: false,
                incarnation: 0,
                restart_after: None,
                known: self.first_endpoint_list(),
                revision: 1,
                idle_clients: Vec::new(),
            });
            self.listen(listener, |listener| Peer::AgentListener {
                sender: number,
                listener,
            })?;
        }
        Ok(())
    }

    fn first_endpoint_list(&self) -> BTreeMap<u32, ListedState> {
        (0..self.environment.owner.len() as u32)
            .map(|endpoint| (endpoint, ListedState::Active))
            .collect()
    }

    /// Has the senders share what they know of partners.
    fn introduce_senders(&mut self) -> Result<(), LabError> {
        let addresses: Vec<SocketAddr> = (0..self.senders.len() as u32)
            .map(SenderProcess::peer_address)
            .collect::<Result<_, _>>()?;
        for (sender, own) in self.senders.iter_mut().zip(&addresses) {
            sender.process.add_peers(*own, &addresses)?;
        }
        Ok(())
    }

    fn listen(
        &mut self,
        listener: Rc<TcpListener>,
        peer: impl FnOnce(Rc<TcpListener>) -> Peer,
    ) -> Result<(), LabError> {
        let key = self.peers.insert(peer(listener.clone()));
        http::register(&self.handle, listener, key).map_err(LabError::RegisterSocket)?;
        Ok(())
    }

    /// Milliseconds since the run began.
    pub fn now(&self) -> Millis {
        self.clock.now() - self.start
    }

    /// Has the run begin now.
    pub fn start_clock(&mut self) {
        self.start = self.clock.now();
    }

    /// Gives a fact of this instant to the judge and the metrics.
    pub fn record(&mut self, kind: EventKind) {
        let fact = LoggedEvent {
            at: self.now(),
            kind,
        };
        self.judge.observe(&fact);
        self.metrics.observe(&fact);
    }

    /// Ends the run with an error.
    pub fn fail(&mut self, error: LabError) {
        self.failure = Some(error);
    }

    /// One-way latency of a call, or of its reply.
    pub fn latency(&self, call: u64, direction: Direction) -> Millis {
        network::latency(self.experiment, self.seed, call, direction)
    }

    /// A message is over for its client; false where it was before.
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

    /// What the run was.
    pub fn finish(self, end: Millis) -> SocketRun {
        let now = self.now();
        SocketRun {
            figures: self.metrics.end(),
            verdict: self.judge.end(end.max(now)),
            used: self.used,
            late: self.late,
        }
    }
}
