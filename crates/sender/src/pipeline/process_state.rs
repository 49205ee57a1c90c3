//! The state that one process of the sender passes to its successor, cut between two rounds.
//!
//! The state is in postcard form: the order of fields and variants is fixed, their names are not. Restoring it touches
//! nothing outside the process, because the predecessor may still decide to go on.

use std::os::fd::{AsFd, BorrowedFd};

use martenlatch_clock::Millis;
use martenlatch_policy::Policy;
use martenlatch_wal::{LogPosition, MessageRecord};
use serde::{Deserialize, Serialize};

use super::driver::Driver;
use super::ingress::Client;
use super::message_store::MessageState;
use crate::class_rules::ClassRules;
use crate::error::SenderError;
use crate::event_source::{Connection, EventSource, InheritedDescriptors};
use crate::{Config, discovery, egress};

/// Descriptors in use beside the connections that are passed: the event loop, the log, files, operators, the watch and
/// the status reports.
const OTHER_DESCRIPTORS: usize = 24;

/// The names behind the numbers that the decision module uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct SettingsNames {
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<String>,
}

impl SettingsNames {
    /// The names of a configuration.
    pub(super) fn of(config: &Config) -> SettingsNames {
        SettingsNames {
            zones: config.platform_settings.zones.clone(),
            kinds: config.platform_settings.kinds.clone(),
            classes: config.platform_settings.classes.clone(),
        }
    }
}

/// A held message as it is passed.
#[derive(Serialize, Deserialize)]
struct HeldMessage {
    record: MessageRecord,
    state: MessageState,
    attempts_in_flight: u32,
}

/// The state of a process between two rounds. `P` is the decision module, owned or borrowed, and `L` the position in
/// the write-ahead log; both are `()` once they have been taken out.
#[derive(Serialize, Deserialize)]
pub struct ProcessState<P, L = LogPosition> {
    /// When the state was cut.
    at: Millis,
    names: SettingsNames,
    /// The classes of the settings, followed by those of earlier settings.
    pub(super) class_rules: ClassRules,
    policy: P,
    wake_at: Option<Millis>,
    held: Vec<HeldMessage>,
    pub(super) next_number: u64,
    log_position: L,
    /// Messages whose status reports the platform has not confirmed.
    unconfirmed: Vec<u64>,
    directory: discovery::ConnectionSnapshot,
    clients: Vec<Client<martenlatch_http::ConnectionSnapshot>>,
    egress: egress::ConnectionSnapshot,
}

/// What is left of the state once the decision module and the log's position have been taken out.
pub(super) type RemainingState = ProcessState<(), ()>;

/// A predecessor's state in the parts that are restored one after the other.
pub(super) struct SplitState {
    pub(super) policy: Policy,
    pub(super) log_position: LogPosition,
    pub(super) remaining: RemainingState,
}

impl ProcessState<Policy> {
    /// Decodes the state of a predecessor for a process of this configuration.
    ///
    /// # Errors
    /// Where the state cannot be decoded, or belongs to a configuration of other names.
    pub fn read(bytes: &[u8], config: &Config) -> Result<ProcessState<Policy>, SenderError> {
        let state: ProcessState<Policy> =
            postcard::from_bytes(bytes).map_err(SenderError::DecodeState)?;
        if state.names != SettingsNames::of(config) {
            return Err(SenderError::DifferentNames);
        }
        Ok(state)
    }

    /// When the state was cut.
    pub fn at(&self) -> Millis {
        self.at
    }

    /// Takes the decision module and the log's position out.
    pub(super) fn split(self) -> SplitState {
        let remaining = ProcessState {
            at: self.at,
            names: self.names,
            class_rules: self.class_rules,
            policy: (),
            wake_at: self.wake_at,
            held: self.held,
            next_number: self.next_number,
            log_position: (),
            unconfirmed: self.unconfirmed,
            directory: self.directory,
            clients: self.clients,
            egress: self.egress,
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
        self.held
            .iter()
            .filter(|message| message.state != MessageState::Closed)
            .map(|message| &message.record)
    }
}

/// What a process holds, for the log lines of a replacement.
pub struct ProcessLoad {
    /// Connections of clients.
    pub client_connections: usize,
    /// Attempts in flight.
    pub active_attempts: usize,
    /// Held messages.
    pub held_messages: usize,
}

impl Driver {
    /// Whether the state can be cut now: the decision module has seen all that has happened.
    pub fn is_quiescent(&self) -> bool {
        self.decision.events.is_empty() && self.egress.results.is_empty()
    }

    /// Why this process cannot be replaced, if so: it is shutting down, or its peers know it by its address.
    pub fn replacement_obstacle(&self) -> Option<&'static str> {
        if self.shutdown_started.is_some() {
            Some("ending")
        } else if self.peers.is_some() {
            Some("knows other senders, whose addresses it holds")
        } else {
            None
        }
    }

    /// Closes idle connections until both processes together keep within the limit on descriptors.
    ///
    /// # Errors
    /// Where more connections than that are in use.
    pub fn close_idle_connections(&mut self) -> Result<(), SenderError> {
        let limit = (self.descriptor_limit / 2).saturating_sub(OTHER_DESCRIPTORS);
        let clients = self.ingress.clients.len();
        let egress = self
            .egress
            .close_idle_connections(limit.saturating_sub(clients));
        let clients = self
            .ingress
            .close_idle_connections(limit.saturating_sub(egress), self.clock.now());
        if clients + egress > limit {
            return Err(SenderError::TooManyConnections(clients + egress));
        }
        Ok(())
    }

    /// The encoded state of this process, and the descriptors that go with it: the listener, the clients' connections
    /// and the endpoints' connections.
    ///
    /// # Errors
    /// Where the listener is closed, or the state cannot be encoded.
    pub fn process_state(&self) -> Result<(Vec<u8>, Vec<BorrowedFd<'_>>), SenderError> {
        let listener = self
            .ingress
            .listener
            .as_ref()
            .ok_or(SenderError::NotAccepting)?;
        let (egress, endpoint_descriptors) = self.egress.snapshot();
        let state = self.snapshot(egress);
        let bytes = postcard::to_allocvec(&state).map_err(SenderError::EncodeState)?;
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

    fn snapshot(&self, egress: egress::ConnectionSnapshot) -> ProcessState<&Policy> {
        let held = self.store.messages.values().map(|message| HeldMessage {
            record: message.record.clone(),
            state: message.state,
            attempts_in_flight: message.attempts_in_flight,
        });
        let clients = self
            .ingress
            .clients
            .iter()
            .map(|(_, client)| client.with_connection(client.connection.snapshot()));
        ProcessState {
            at: self.clock.now(),
            names: self.names.clone(),
            class_rules: self.admission.class_rules.clone(),
            policy: &self.decision.policy,
            wake_at: self.decision.wake_at,
            held: held.collect(),
            next_number: self.store.next_number,
            log_position: self.store.wal.position(),
            unconfirmed: self.status_reporter.unconfirmed().collect(),
            directory: self.directory.snapshot(),
            clients: clients.collect(),
            egress,
        }
    }

    /// Restores what the predecessor passed beside its decision module, its log and its listener. All restored sockets
    /// are looked at in the first round.
    pub(super) fn restore_state(
        &mut self,
        state: RemainingState,
        descriptors: &mut InheritedDescriptors,
    ) -> std::io::Result<()> {
        self.restore_messages(state.held);
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
        let endpoint_sources = self.egress.restore_state(state.egress, descriptors)?;
        self.unfinished_sources.extend(endpoint_sources);
        self.unfinished_sources.push(EventSource::ClientListener);
        Ok(())
    }

    fn restore_messages(&mut self, held: Vec<HeldMessage>) {
        for message in held {
            let number = message.record.number;
            self.store.insert(message.record, message.state);
            if let Some(stored) = self.store.messages.get_mut(&number) {
                stored.attempts_in_flight = message.attempts_in_flight;
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

    /// What this process holds now.
    pub fn load(&self) -> ProcessLoad {
        ProcessLoad {
            client_connections: self.ingress.clients.len(),
            active_attempts: self.egress.active_attempts(),
            held_messages: self.store.messages.len(),
        }
    }
}
