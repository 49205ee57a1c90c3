//! The state that one process of the sender passes to its successor, captured between two rounds.
//!
//! The state is in postcard form: the order of fields and variants is fixed, their names are not. Restoring it changes
//! nothing outside the process, because the predecessor may still decide to continue.

use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd};
use std::rc::Rc;

use martenlatch_clock::Millis;
use martenlatch_policy::Policy;
use martenlatch_policy::interface::MessageId;
use martenlatch_wal::{FinalStatus, LogPosition, MessageRecord};
use serde::{Deserialize, Serialize};

use super::driver::Driver;
use super::ingress::Client;
use super::message_store::MessageState;
use crate::class_rules::ClassRules;
use crate::error::SenderError;
use crate::event_source::{Connection, EventSource, InheritedDescriptors};
use crate::{Config, discovery, egress};

/// The number of descriptors reserved for everything except the connections that are passed: the event loop, the log,
/// files, operators, the watch and the status reports.
const OTHER_DESCRIPTORS: usize = 24;

/// The names of the zones, kinds and classes that the decision module identifies by their indices.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct SettingsNames {
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<String>,
}

impl SettingsNames {
    /// The names of a configuration.
    pub(super) fn from_config(config: &Config) -> SettingsNames {
        SettingsNames {
            zones: config.platform_settings.zones.clone(),
            kinds: config.platform_settings.kinds.clone(),
            classes: config.platform_settings.classes.clone(),
        }
    }
}

/// A held message in the form that is passed to the successor.
#[derive(Serialize, Deserialize)]
pub(super) struct HeldMessage {
    record: MessageRecord,
    state: MessageState,
    attempts_in_flight: u32,
}

/// The state of a process between two rounds. `P` is the decision module, owned or borrowed, and `L` is the position in
/// the write-ahead log. Both are `()` once they have been taken out.
#[derive(Serialize, Deserialize)]
pub struct ProcessState<P, L = LogPosition> {
    /// When the state was captured.
    captured_at: Millis,
    names: SettingsNames,
    /// The classes of the settings, followed by those of earlier settings.
    pub(super) class_rules: ClassRules,
    policy: P,
    wake_at: Option<Millis>,
    held_messages: Vec<HeldMessage>,
    pub(super) next_number: u64,
    log_position: L,
    /// Messages whose status reports the platform has not confirmed.
    unconfirmed: Vec<u64>,
    directory: discovery::EndpointDirectorySnapshot,
    clients: Vec<Client<martenlatch_http::ConnectionSnapshot>>,
    egress: egress::EgressSnapshot,
    #[serde(skip)]
    extension: StateExtension,
}

/// What follows the state itself. An earlier version does not read it as a successor, and does not write it as a
/// predecessor. The order of the fields is fixed; more may follow.
#[derive(Default, Serialize, Deserialize)]
struct StateExtension {
    response_times: egress::ResponseTimes,
    /// The final statuses of recently closed messages, by their ids.
    reported_statuses: Vec<(Rc<str>, FinalStatus)>,
    discovery_reload: Option<DiscoveryReload>,
}

/// An address of discovery that a process has read from its configuration while it served.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct DiscoveryReload {
    /// When it was read.
    pub(super) at: Millis,
    pub(super) address: SocketAddr,
}

/// The rest of the state once the decision module and the log's position have been taken out.
pub(super) type RemainingState = ProcessState<(), ()>;

/// A predecessor's state, split into the parts that are restored one after another.
pub(super) struct SplitState {
    pub(super) policy: Policy,
    pub(super) log_position: LogPosition,
    pub(super) remaining: RemainingState,
}

impl ProcessState<Policy> {
    /// Decodes the state of a predecessor for a process of this configuration.
    ///
    /// # Errors
    /// Returns an error if the state cannot be decoded, or belongs to a configuration with other zones, kinds or
    /// classes.
    pub fn decode(bytes: &[u8], config: &Config) -> Result<ProcessState<Policy>, SenderError> {
        let (mut state, extension) = postcard::take_from_bytes::<ProcessState<Policy>>(bytes)
            .map_err(SenderError::DecodeState)?;
        if !extension.is_empty() {
            state.extension = postcard::from_bytes(extension).map_err(SenderError::DecodeState)?;
        }
        if state.names != SettingsNames::from_config(config) {
            return Err(SenderError::DifferentNames);
        }
        Ok(state)
    }

    /// When the state was captured.
    pub fn captured_at(&self) -> Millis {
        self.captured_at
    }

    /// Separates the decision module and the log's position from the rest of the state.
    pub(super) fn split(self) -> SplitState {
        let remaining = ProcessState {
            captured_at: self.captured_at,
            names: self.names,
            class_rules: self.class_rules,
            policy: (),
            wake_at: self.wake_at,
            held_messages: self.held_messages,
            next_number: self.next_number,
            log_position: (),
            unconfirmed: self.unconfirmed,
            directory: self.directory,
            clients: self.clients,
            egress: self.egress,
            extension: self.extension,
        };
        SplitState {
            policy: self.policy,
            log_position: self.log_position,
            remaining,
        }
    }
}

impl RemainingState {
    /// The records of the messages that are not closed.
    pub(super) fn unfinished(&self) -> impl Iterator<Item = &MessageRecord> {
        self.held_messages
            .iter()
            .filter(|message| message.state != MessageState::Closed)
            .map(|message| &message.record)
    }
}

/// The amount of state that a process has, for the log lines of a replacement.
pub struct ProcessLoad {
    /// Number of client connections.
    pub client_connections: usize,
    /// Number of attempts in flight.
    pub active_attempts: usize,
    /// Number of held messages.
    pub held_messages: usize,
}

impl Driver {
    /// Whether the state can be captured now: the decision module has processed all events and results.
    pub fn is_quiescent(&self) -> bool {
        self.decision.events.is_empty() && !self.egress.has_findings()
    }

    /// The reason why this process cannot be replaced, if there is one: it is shutting down, or its peers know it by
    /// its address.
    pub fn replacement_obstacle(&self) -> Option<&'static str> {
        if self.shutdown_started.is_some() {
            Some("ending")
        } else if self.peers.is_some() {
            Some("knows other senders, whose addresses it holds")
        } else {
            None
        }
    }

    /// Settles what a successor could not settle, and closes idle connections until this process and its successor
    /// together stay within the limit on descriptors. This can end attempts: the state may be passed on only if the
    /// process is still quiescent.
    ///
    /// # Errors
    /// Returns an error if too many connections are in use.
    pub fn prepare_for_successor(&mut self) -> Result<(), SenderError> {
        self.end_ownerless_attempts();
        let limit = (self.descriptor_limit / 2).saturating_sub(OTHER_DESCRIPTORS);
        let clients = self.ingress.clients.len();
        let now = self.clock.now();
        self.egress.doubt_for_replacement();
        self.process_settlements(now);
        let egress = self
            .egress
            .close_idle_connections(limit.saturating_sub(clients), now);
        let clients = self
            .ingress
            .close_idle_connections(limit.saturating_sub(egress), now);
        self.process_settlements(now);
        if clients + egress > limit {
            return Err(SenderError::TooManyConnections(clients + egress));
        }
        Ok(())
    }

    /// Encodes the state of this process. Also returns the descriptors that belong to it, in this order: the listener,
    /// the clients' connections and the endpoints' connections.
    ///
    /// # Errors
    /// Returns an error if the listener is closed, or the state cannot be encoded.
    pub fn encode_state(&self) -> Result<(Vec<u8>, Vec<BorrowedFd<'_>>), SenderError> {
        let listener = self
            .ingress
            .listener
            .as_ref()
            .ok_or(SenderError::NotAccepting)?;
        let (egress, endpoint_descriptors) = self.egress.snapshot();
        let state = self.snapshot(egress);
        let bytes = postcard::to_allocvec(&state).map_err(SenderError::EncodeState)?;
        let bytes =
            postcard::to_extend(&state.extension, bytes).map_err(SenderError::EncodeState)?;
        let client_descriptors = self
            .ingress
            .clients
            .iter()
            .map(|(_, client)| client.connection.as_fd());
        let descriptors = std::iter::once(listener.as_fd())
            .chain(client_descriptors)
            .chain(endpoint_descriptors)
            .collect();
        Ok((bytes, descriptors))
    }

    /// The held messages in the form that is passed to the successor.
    pub(super) fn held_messages(&self) -> Vec<HeldMessage> {
        let unread: Vec<MessageId> = self.egress.unread_messages().collect();
        let unread_attempts =
            |number: u64| unread.iter().filter(|id| id.0 == number).count() as u32;
        let messages = self.store.messages.values();
        messages
            .map(|message| HeldMessage {
                record: message.record.clone(),
                state: message.state.for_successor(),
                attempts_in_flight: message.attempts_in_flight
                    + unread_attempts(message.record.number),
            })
            .collect()
    }

    fn snapshot(&self, egress: egress::EgressSnapshot) -> ProcessState<&Policy> {
        let clients = self
            .ingress
            .clients
            .iter()
            .map(|(_, client)| client.with_connection(client.connection.snapshot()));
        ProcessState {
            captured_at: self.clock.now(),
            names: self.names.clone(),
            class_rules: self.admission.class_rules.clone(),
            policy: &self.decision.policy,
            wake_at: self.decision.wake_at,
            held_messages: self.held_messages(),
            next_number: self.store.next_number,
            log_position: self.store.wal.position(),
            unconfirmed: self.status_reporter.unconfirmed().collect(),
            directory: self.directory.snapshot(),
            clients: clients.collect(),
            egress,
            extension: StateExtension {
                response_times: self.egress.response_times().clone(),
                reported_statuses: self.reported_statuses(),
                discovery_reload: self.discovery_reload,
            },
        }
    }

    fn reported_statuses(&self) -> Vec<(Rc<str>, FinalStatus)> {
        let reported = self.store.wal.recently_closed.reported();
        reported.map(|(id, status)| (id.clone(), status)).collect()
    }

    /// Restores the predecessor's state except for its decision module, its log and its listener. All restored sockets
    /// are read in the first round.
    pub(super) fn restore_state(
        &mut self,
        state: RemainingState,
        descriptors: &mut InheritedDescriptors,
    ) -> std::io::Result<()> {
        self.restore_messages(state.held_messages);
        self.decision.wake_at = state.wake_at;
        for number in state.unconfirmed {
            if let Some(record) = self.store.record(number) {
                self.status_reporter.enqueue(record);
            }
        }
        self.directory.restore_state(state.directory);
        for client in state.clients {
            self.restore_client(&client, descriptors)?;
        }
        let endpoint_sources =
            self.egress
                .restore_state(state.egress, descriptors, self.clock.now())?;
        self.unfinished_sources.extend(endpoint_sources);
        let extension = state.extension;
        self.egress.restore_response_times(extension.response_times);
        let recently_closed = &mut self.store.wal.recently_closed;
        recently_closed.add_reported(extension.reported_statuses);
        self.discovery_reload = extension.discovery_reload;
        self.retry_after_table.restore(&self.decision.policy);
        self.end_ownerless_attempts();
        self.resume_inherited();
        self.unfinished_sources.push(EventSource::ClientListener);
        Ok(())
    }

    /// Adds the predecessor's messages to the store. The decision module, which knows the zones of their attempts, must
    /// have been restored.
    pub(super) fn restore_messages(&mut self, held: Vec<HeldMessage>) {
        for message in held {
            let number = message.record.number;
            let zones = self.decision.policy.attempt_zones(MessageId(number));
            self.store.insert(message.record, message.state);
            if let Some(stored) = self.store.messages.get_mut(&number) {
                stored.attempts_in_flight = message.attempts_in_flight;
                for (known, zone) in stored.attempt_zones.iter_mut().zip(zones) {
                    *known = zone;
                }
            }
        }
    }

    fn restore_client(
        &mut self,
        client: &Client<martenlatch_http::ConnectionSnapshot>,
        descriptors: &mut InheritedDescriptors,
    ) -> std::io::Result<()> {
        let ingress = &mut self.ingress;
        let source = EventSource::Client(ingress.clients.vacant_key());
        let connection = Connection::restore(
            descriptors.next_stream()?,
            &client.connection,
            &ingress.handle,
            &ingress.pool,
            source,
        )?;
        ingress.clients.insert(client.with_connection(connection));
        self.unfinished_sources.push(source);
        Ok(())
    }

    /// The amount of state that this process has now.
    pub fn load(&self) -> ProcessLoad {
        ProcessLoad {
            client_connections: self.ingress.clients.len(),
            active_attempts: self.egress.active_attempts(),
            held_messages: self.store.messages.len(),
        }
    }
}
