//! Owns what passes from one process of the sender to the next: all that it is at a cut between two rounds. It must never
//! touch anything outside while it is taken up, as the process that gave it may yet go on.

use std::os::fd::{AsFd, BorrowedFd};

use martenlatch_clock::Millis;
use martenlatch_policy::Policy;
use martenlatch_wal::{LogPosition, MessageRecord};
use serde::{Deserialize, Serialize};

use super::Driver;
use super::ingress::Client;
use super::message_store::State;
use crate::class_rules::ClassRules;
use crate::event_source::{Connection, EventSource, InheritedDescriptors};
use crate::{Config, discovery, egress};

/// Descriptors that are in use beside those that pass: the loop, the log, files, operators, the watch and notices.
const OTHERS: usize = 24;

/// What a process is at a cut. `P` is the module's state, lent or owned, and `L` the wal's place.
#[derive(Serialize, Deserialize)]
pub struct ProcessState<P, L = LogPosition> {
    /// When the cut was made.
    at: Millis,
    /// Zones, kinds and classes: what the numbers of the module mean.
    names: [Vec<String>; 3],
    /// What the classes promise, also those of earlier settings behind them.
    pub(super) class_rules: ClassRules,
    policy: P,
    wake: Option<Millis>,
    held: Vec<(MessageRecord, State, u32)>,
    pub(super) next: u64,
    place: L,
    /// Ends that the platform has not confirmed.
    owed: Vec<u64>,
    directory: discovery::ConnectionSnapshot,
    clients: Vec<Client<martenlatch_http::ConnectionSnapshot>>,
    egress: egress::ConnectionSnapshot,
}

impl ProcessState<Policy> {
    /// Reads what was passed, for a process of this configuration.
    ///
    /// # Errors
    /// What cannot be used of it.
    pub fn read(bytes: &[u8], config: &Config) -> Result<ProcessState<Policy>, String> {
        let process_state: ProcessState<Policy> = postcard::from_bytes(bytes)
            .map_err(|e| format!("what was passed cannot be read: {e}"))?;
        if process_state.names != names(config) {
            return Err(
                "settings: other zones, kinds or classes than the process that serves has".into(),
            );
        }
        Ok(process_state)
    }

    /// When the cut was made.
    pub fn at(&self) -> Millis {
        self.at
    }

    /// The module's state and the wal's place apart from the rest.
    pub(super) fn split(self) -> (Policy, LogPosition, ProcessState<(), ()>) {
        let ProcessState {
            at,
            names,
            class_rules,
            policy,
            wake,
            held,
            next,
            place,
            owed,
            directory,
            clients,
            egress,
        } = self;
        let rest = ProcessState {
            at,
            names,
            class_rules,
            policy: (),
            wake,
            held,
            next,
            place: (),
            owed,
            directory,
            clients,
            egress,
        };
        (policy, place, rest)
    }
}

impl ProcessState<(), ()> {
    /// What is held and not over.
    pub(super) fn open(&self) -> impl Iterator<Item = &MessageRecord> {
        self.held
            .iter()
            .filter(|(_, state, _)| *state != State::Over)
            .map(|(taken, ..)| taken)
    }
}

/// Zones, kinds and classes by name.
pub fn names(config: &Config) -> [Vec<String>; 3] {
    [
        config.boot.zones.clone(),
        config.boot.kinds.clone(),
        config.boot.classes.clone(),
    ]
}

impl Driver {
    /// Whether a cut may be made now: nothing has happened that the module has not heard.
    pub fn quiet(&self) -> bool {
        self.decision.events.is_empty() && self.egress.results.is_empty()
    }

    /// Why this process cannot give way, if that is so: it ends, or it knows other senders.
    pub fn bound(&self) -> Option<&'static str> {
        match (self.told_to_end, &self.peers) {
            (Some(_), _) => Some("ending"),
            (None, Some(_)) => Some("knows other senders, whose addresses it holds"),
            (None, None) => None,
        }
    }

    /// Closes idle connections until both processes together keep within the limit on descriptors.
    ///
    /// # Errors
    /// Where those that are in use are too many.
    pub fn close_idle_connections(&mut self) -> Result<(), String> {
        let most = (self.sockets / 2).saturating_sub(OTHERS);
        let clients = self.ingress.clients.len();
        let egress = self
            .egress
            .close_idle_connections(most.saturating_sub(clients));
        let clients = self
            .ingress
            .close_idle_connections(most.saturating_sub(egress), self.clock.now());
        if clients + egress > most {
            return Err(format!(
                "{} connections in use are too many to pass at once",
                clients + egress
            ));
        }
        Ok(())
    }

    /// All that this process is, and the descriptors that go with it behind those of the lock.
    ///
    /// # Errors
    /// Where it takes no clients any more, or cannot be written.
    pub fn process_state(&self) -> Result<(Vec<u8>, Vec<BorrowedFd<'_>>), String> {
        let listener = self
            .ingress
            .listener
            .as_ref()
            .ok_or("takes no clients any more")?;
        let (egress, region_fds) = self.egress.snapshot();
        let held = self
            .store
            .held
            .values()
            .map(|t| (t.taken.clone(), t.state, t.out));
        let process_state = ProcessState {
            at: self.clock.now(),
            names: self.names.clone(),
            class_rules: self.admission.class_rules.clone(),
            policy: &self.decision.policy,
            wake: self.decision.wake,
            held: held.collect(),
            next: self.store.next,
            place: self.store.wal.position(),
            owed: self
                .status_reporter
                .flying
                .iter()
                .chain(&self.status_reporter.queue)
                .copied()
                .collect(),
            directory: self.directory.snapshot(),
            clients: self
                .ingress
                .clients
                .iter()
                .map(|(_, c)| c.with(c.connection.snapshot()))
                .collect(),
            egress,
        };
        let bytes = postcard::to_allocvec(&process_state).map_err(|e| e.to_string())?;
        let clients = self
            .ingress
            .clients
            .iter()
            .map(|(_, c)| c.connection.as_fd());
        Ok((
            bytes,
            std::iter::once(listener.as_fd())
                .chain(clients)
                .chain(region_fds)
                .collect(),
        ))
    }

    /// Takes up what passed beside the module, the wal and the listener. All of its sockets want a look.
    pub(super) fn restore_state(
        &mut self,
        process_state: ProcessState<(), ()>,
        fds: &mut InheritedDescriptors,
    ) -> std::io::Result<()> {
        for (taken, state, out) in process_state.held {
            let no = taken.no;
            self.store.insert(taken, state);
            self.store
                .held
                .get_mut(&no)
                .into_iter()
                .for_each(|t| t.out = out);
        }
        self.decision.wake = process_state.wake;
        self.status_reporter.queue.extend(process_state.owed);
        self.directory.restore_state(process_state.directory);
        for client in process_state.clients {
            let ingress = &mut self.ingress;
            let key = EventSource::Client(ingress.clients.vacant_key());
            let connection = Connection::restore(
                fds.stream()?,
                &client.connection,
                &ingress.handle,
                &ingress.pool,
                key,
            )?;
            ingress.clients.insert(client.with(connection));
            self.again.push(key);
        }
        self.again
            .extend(self.egress.restore_state(process_state.egress, fds)?);
        self.again.push(EventSource::Listener);
        Ok(())
    }

    /// What a log line tells of a process that passes: connections of clients, calls out, transactions held.
    pub fn load(&self) -> (usize, usize, usize) {
        (
            self.ingress.clients.len(),
            self.egress.active_attempts(),
            self.store.held.len(),
        )
    }
}
