//! Owns how this process comes to serve, and gives way: the locks, the socket where the next one asks, and the wait of one
//! that starts beside another. It must never serve without the lock where one can be had, nor act between the cut and
//! the word that commits.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use calloop::RegistrationToken;
use martenlatch_clock::{Clock, Millis};
use martenlatch_handover::{Ask, Asker, Asking, Given, Heard, Lock, Offer, Passed, VERSION};
use tracing::{info, warn};

use crate::Config;
use crate::event_source::{EventSource, Handle};
use crate::pipeline::Driver;

/// The old process stands still for so long at most; the new one waits a little longer for what it gives.
const CUT: Millis = 600.0;
const RECEIVE: Millis = 900.0;
/// How often a process that waits looks whether the lock is free, and asks again.
pub const LOOK: Millis = 20.0;
const ASK_AGAIN: Millis = 1_000.0;

/// Where the processes of one folder meet: its name is short, and no other folder's.
fn meeting(state: &Path) -> std::io::Result<PathBuf> {
    let folder = std::os::unix::fs::MetadataExt::ino(&std::fs::metadata(state)?);
    Ok(std::env::temp_dir().join(format!("martenlatch-{folder:x}.sock")))
}

/// A process that serves, and the one that may take its place.
pub struct ReplacementListener {
    handle: Handle,
    lock: Option<Lock>,
    offer: Option<(Rc<Offer>, RegistrationToken)>,
    asker: Option<(Asker, RegistrationToken)>,
    asked: Option<Ask>,
}

impl ReplacementListener {
    /// Holds the lock, and waits for a successor. Without a lock, or a socket, there can be none.
    pub fn open(lock: Option<Lock>, state: &Path, handle: &Handle) -> ReplacementListener {
        let mut serving = ReplacementListener {
            handle: handle.clone(),
            lock,
            offer: None,
            asker: None,
            asked: None,
        };
        if serving.lock.is_some() {
            let offer = meeting(state).and_then(|path| {
                let offer = Rc::new(Offer::open(&path)?);
                let token = martenlatch_http::register(handle, offer.clone(), EventSource::Offer)?;
                Ok((offer, token))
            });
            match offer {
                Ok(offer) => serving.offer = Some(offer),
                Err(e) => warn!(error = %e, "no replacement while serving"),
            }
        }
        serving
    }

    /// One of its sockets is ready. True if the key is one of those.
    pub fn ready(&mut self, key: EventSource) -> bool {
        match key {
            EventSource::Offer => {
                while let Some(asker) = self.offer.as_ref().and_then(|(offer, _)| offer.accept()) {
                    if self.asked.is_some() {
                        asker.refuse("another replacement is under way");
                        continue;
                    }
                    // One that says nothing makes room.
                    self.forget_asker();
                    let watched = asker.watched().and_then(|stream| {
                        martenlatch_http::register(&self.handle, stream, EventSource::Asker)
                    });
                    if let Ok(token) = watched {
                        self.asker = Some((asker, token));
                        self.hear();
                    }
                }
                true
            }
            EventSource::Asker => {
                self.hear();
                true
            }
            _ => false,
        }
    }

    fn hear(&mut self) {
        match self
            .asker
            .as_mut()
            .filter(|_| self.asked.is_none())
            .map(|(asker, _)| asker.hear())
        {
            Some(Heard::Whole(ask)) => self.asked = Some(ask),
            Some(Heard::Nonsense) => drop(self.forget_asker()),
            Some(Heard::Part) | None => {}
        }
    }

    fn forget_asker(&mut self) -> Option<Asker> {
        self.asked = None;
        let (asker, token) = self.asker.take()?;
        self.handle.remove(token);
        Some(asker)
    }

    /// Gives way to a process that has asked, between two rounds. True once that one serves.
    pub fn give_way(&mut self, driver: &mut Driver) -> bool {
        let Some(ask) = self.asked.clone() else {
            return false;
        };
        let reason = match driver.bound() {
            _ if ask.version != VERSION => Some(format!(
                "version {VERSION} is spoken here, not {}",
                ask.version
            )),
            _ if ask.listen != driver.listens() => {
                Some(format!("clients connect to {}", driver.listens()))
            }
            Some(bound) => Some(bound.to_string()),
            None if !driver.quiet() => return false,
            None => driver
                .close_idle_connections()
                .err()
                .map(|error| error.to_string()),
        };
        let Some(asker) = self.forget_asker() else {
            return false;
        };
        if let Some(reason) = reason {
            warn!(reason, "replacement refused");
            asker.refuse(&reason);
            return false;
        }
        let Some(lock) = &self.lock else { return false };
        let (bytes, passed) = match driver.process_state().map_err(|error| error.to_string()) {
            Ok(process_state) => process_state,
            Err(reason) => {
                warn!(reason, "replacement refused");
                asker.refuse(&reason);
                return false;
            }
        };
        let fds: Vec<_> = std::iter::once(std::os::fd::AsFd::as_fd(lock))
            .chain(passed)
            .collect();
        let (clock, load) = (driver.clock(), driver.load());
        let until = clock.now() + CUT;
        match asker.give(&bytes, &fds, &|| until - clock.now()) {
            Given::Taken => {
                info!(
                    clients = load.client_connections,
                    attempts = load.active_attempts,
                    held = load.held_messages,
                    descriptors = fds.len(),
                    bytes = bytes.len(),
                    "gave way"
                );
                true
            }
            Given::Kept(reason) => {
                warn!(reason, "replacement broke off; serving on");
                false
            }
        }
    }

    /// Nobody will be waited for any more.
    pub fn close(self) {
        self.offer.iter().for_each(|(offer, _)| offer.close());
    }
}

/// A process that starts where another may serve.
pub struct ReplacementCandidate {
    handle: Handle,
    state: PathBuf,
    listen: std::net::SocketAddr,
    /// Held while it waits: who is next.
    _turn: Option<Lock>,
    asking: Option<(Asking, RegistrationToken)>,
    next_ask: Millis,
    /// Nobody answered so far.
    alone: bool,
}

impl Drop for ReplacementCandidate {
    fn drop(&mut self) {
        self.asking
            .take()
            .into_iter()
            .for_each(|(_, token)| self.handle.remove(token));
    }
}

/// What a look has found.
pub enum Look {
    /// The lock is free, and held from now on.
    Free(Lock),
    /// The process that serves gives all it is.
    Passed(Passed),
    /// Neither yet.
    Nothing,
}

impl ReplacementCandidate {
    /// Waits for the process that holds the lock.
    ///
    /// # Errors
    /// One line, where another process waits already.
    pub fn open(config: &Config, handle: &Handle) -> Result<ReplacementCandidate, String> {
        let turn = Lock::take(&config.state, "successor");
        if matches!(turn, Ok(None)) {
            return Err(
                "PROXY_STATE: a process serves from there, and another one is replacing it".into(),
            );
        }
        let (state, listen) = (config.state.clone(), config.listen);
        let (asking, turn) = (None, turn.ok().flatten());
        info!("waiting for the process that serves");
        Ok(ReplacementCandidate {
            handle: handle.clone(),
            state,
            listen,
            _turn: turn,
            asking,
            next_ask: 0.0,
            alone: true,
        })
    }

    /// Asks, and looks whether the lock is free.
    pub fn look(&mut self, now: Millis) -> Look {
        if let Ok(Some(lock)) = Lock::take(&self.state, "lock") {
            return Look::Free(lock);
        }
        if self.asking.is_none() && now >= self.next_ask {
            self.next_ask = now + ASK_AGAIN;
            let asking = meeting(&self.state).and_then(|path| {
                let ask = Ask {
                    version: VERSION,
                    listen: self.listen,
                };
                let asking = martenlatch_handover::ask(&path, &ask)?;
                let token = martenlatch_http::register(
                    &self.handle,
                    asking.watched()?,
                    EventSource::Predecessor,
                )?;
                Ok((asking, token))
            });
            match asking {
                Ok(asking) => self.asking = Some(asking),
                Err(e) if self.alone => warn!(error = %e, "nobody to ask; the lock is waited for"),
                Err(_) => {}
            }
            self.alone = false;
        }
        Look::Nothing
    }

    /// The process that serves has something to say. What it gives must be built upon, and then taken.
    pub fn ready(&mut self, clock: &Clock) -> Look {
        let Some((asking, token)) = self.asking.take() else {
            return Look::Nothing;
        };
        self.handle.remove(token);
        let until = clock.now() + RECEIVE;
        match asking.receive(&|| until - clock.now()) {
            Ok(passed) => Look::Passed(passed),
            Err(reason) => {
                warn!(reason, "not given way to; asking again");
                Look::Nothing
            }
        }
    }

    /// What was given could not be used: it is not asked for again, as each asking halts the process that serves. The
    /// lock is waited for.
    pub fn rest(&mut self) {
        self.next_ask = f64::INFINITY;
    }
}
