//! Owns what passes from one process of the sender to the next: all that it is at a cut between two rounds. It must never
//! touch anything outside while it is taken up, as the process that gave it may yet go on.

use std::os::fd::{AsFd, BorrowedFd};

use martenlatch_clock::Millis;
use martenlatch_ledger::{Place, Taken};
use martenlatch_policy::Policy;
use serde::{Deserialize, Serialize};

use super::Driver;
use super::desk::State;
use super::take_in::Client;
use crate::key::{Fds, Key, Link};
use crate::promises::Promises;
use crate::{Config, regions, table};

/// Descriptors that are in use beside those that pass: the loop, the log, files, operators, the watch and notices.
const OTHERS: usize = 24;

/// What a process is at a cut. `P` is the module's state, lent or owned, and `L` the ledger's place.
#[derive(Serialize, Deserialize)]
pub struct Estate<P, L = Place> {
    /// When the cut was made.
    at: Millis,
    /// Zones, kinds and classes: what the numbers of the module mean.
    names: [Vec<String>; 3],
    /// What the classes promise, also those of earlier settings behind them.
    pub(super) promises: Promises,
    policy: P,
    wake: Option<Millis>,
    held: Vec<(Taken, State, u32)>,
    pub(super) next: u64,
    place: L,
    /// Ends that the platform has not confirmed.
    owed: Vec<u64>,
    table: table::Carried,
    clients: Vec<Client<martenlatch_http::Carried>>,
    regions: regions::Carried,
}

impl Estate<Policy> {
    /// Reads what was passed, for a process of this configuration.
    ///
    /// # Errors
    /// What cannot be used of it.
    pub fn read(bytes: &[u8], config: &Config) -> Result<Estate<Policy>, String> {
        let estate: Estate<Policy> = postcard::from_bytes(bytes)
            .map_err(|e| format!("what was passed cannot be read: {e}"))?;
        if estate.names != names(config) {
            return Err(
                "settings: other zones, kinds or classes than the process that serves has".into(),
            );
        }
        Ok(estate)
    }

    /// When the cut was made.
    pub fn at(&self) -> Millis {
        self.at
    }

    /// The module's state and the ledger's place apart from the rest.
    pub(super) fn split(self) -> (Policy, Place, Estate<(), ()>) {
        let Estate {
            at,
            names,
            promises,
            policy,
            wake,
            held,
            next,
            place,
            owed,
            table,
            clients,
            regions,
        } = self;
        let rest = Estate {
            at,
            names,
            promises,
            policy: (),
            wake,
            held,
            next,
            place: (),
            owed,
            table,
            clients,
            regions,
        };
        (policy, place, rest)
    }
}

impl Estate<(), ()> {
    /// What is held and not over.
    pub(super) fn open(&self) -> impl Iterator<Item = &Taken> {
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
        self.route.events.is_empty() && self.regions.done.is_empty()
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
    pub fn lighten(&mut self) -> Result<(), String> {
        let most = (self.sockets / 2).saturating_sub(OTHERS);
        let clients = self.take_in.clients.len();
        let regions = self.regions.lighten(most.saturating_sub(clients));
        let clients = self
            .take_in
            .lighten(most.saturating_sub(regions), self.clock.now());
        if clients + regions > most {
            return Err(format!(
                "{} connections in use are too many to pass at once",
                clients + regions
            ));
        }
        Ok(())
    }

    /// All that this process is, and the descriptors that go with it behind those of the lock.
    ///
    /// # Errors
    /// Where it takes no clients any more, or cannot be written.
    pub fn estate(&self) -> Result<(Vec<u8>, Vec<BorrowedFd<'_>>), String> {
        let listener = self
            .take_in
            .listener
            .as_ref()
            .ok_or("takes no clients any more")?;
        let (regions, region_fds) = self.regions.carried();
        let held = self
            .desk
            .held
            .values()
            .map(|t| (t.taken.clone(), t.state, t.out));
        let estate = Estate {
            at: self.clock.now(),
            names: self.names.clone(),
            promises: self.admit.promises.clone(),
            policy: &self.route.policy,
            wake: self.route.wake,
            held: held.collect(),
            next: self.desk.next,
            place: self.desk.ledger.place(),
            owed: self
                .relay
                .flying
                .iter()
                .chain(&self.relay.queue)
                .copied()
                .collect(),
            table: self.table.carried(),
            clients: self
                .take_in
                .clients
                .iter()
                .map(|(_, c)| c.with(c.link.carried()))
                .collect(),
            regions,
        };
        let bytes = postcard::to_allocvec(&estate).map_err(|e| e.to_string())?;
        let clients = self.take_in.clients.iter().map(|(_, c)| c.link.as_fd());
        Ok((
            bytes,
            std::iter::once(listener.as_fd())
                .chain(clients)
                .chain(region_fds)
                .collect(),
        ))
    }

    /// Takes up what passed beside the module, the ledger and the listener. All of its sockets want a look.
    pub(super) fn carry_on(
        &mut self,
        estate: Estate<(), ()>,
        fds: &mut Fds,
    ) -> std::io::Result<()> {
        for (taken, state, out) in estate.held {
            let no = taken.no;
            self.desk.insert(taken, state);
            self.desk
                .held
                .get_mut(&no)
                .into_iter()
                .for_each(|t| t.out = out);
        }
        self.route.wake = estate.wake;
        self.relay.queue.extend(estate.owed);
        self.table.carry_on(estate.table);
        for client in estate.clients {
            let take_in = &mut self.take_in;
            let key = Key::Client(take_in.clients.vacant_key());
            let link = Link::carried_on(
                fds.stream()?,
                &client.link,
                &take_in.handle,
                &take_in.pool,
                key,
            )?;
            take_in.clients.insert(client.with(link));
            self.again.push(key);
        }
        self.again
            .extend(self.regions.carry_on(estate.regions, fds)?);
        self.again.push(Key::Listener);
        Ok(())
    }

    /// What a log line tells of a process that passes: connections of clients, calls out, transactions held.
    pub fn load(&self) -> (usize, usize, usize) {
        (
            self.take_in.clients.len(),
            self.regions.tasks(),
            self.desk.held.len(),
        )
    }
}
