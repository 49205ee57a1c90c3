//! The process that serves: it listens for a successor, and transfers its state to it between two rounds.

use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use calloop::RegistrationToken;
use martenlatch_clock::Millis;
use martenlatch_handover::{
    Lock, RequestProgress, SuccessorConnection, TakeoverListener, TakeoverRequest, TransferOutcome,
    VERSION,
};
use tracing::{info, warn};

use super::{LOCK_RETRY_INTERVAL, SERVING_LOCK, socket_path};
use crate::error::SenderError;
use crate::event_source::{EventLoopHandle, EventSource};
use crate::pipeline::Driver;

/// Maximum time in milliseconds for which a transfer pauses this process.
const TRANSFER_TIMEOUT: Millis = 600.0;

/// Why a request to take over is refused. The successor receives and logs the text.
#[derive(Debug, thiserror::Error)]
enum RefusalReason {
    #[error("another replacement is under way")]
    AnotherReplacement,
    #[error("version {VERSION} is spoken here, not {0}")]
    OtherVersion(u32),
    #[error("clients connect to {0}")]
    OtherAddress(SocketAddr),
    /// This process cannot be replaced at all.
    #[error("{0}")]
    NotReplaceable(&'static str),
    /// The state of this process cannot be transferred.
    #[error(transparent)]
    State(SenderError),
}

/// Accepts the requests of successors to take over from this process.
pub struct ReplacementListener {
    handle: EventLoopHandle,
    state_folder: PathBuf,
    /// When the lock is tried again, if this process has none.
    next_lock_attempt: Millis,
    lock: Option<Lock>,
    listener: Option<Rc<TakeoverListener>>,
    successor: Option<(SuccessorConnection, RegistrationToken)>,
    /// The successor's request, once it is complete.
    request: Option<TakeoverRequest>,
}

impl ReplacementListener {
    /// Keeps the lock, and listens for a successor. Without a lock or a socket, this process cannot be replaced while
    /// it serves. Without a lock, the socket still shows that it serves.
    pub fn open(
        lock: Option<Lock>,
        state_folder: &Path,
        handle: &EventLoopHandle,
    ) -> ReplacementListener {
        let mut opened = ReplacementListener {
            handle: handle.clone(),
            state_folder: state_folder.to_path_buf(),
            next_lock_attempt: 0.0,
            lock,
            listener: None,
            successor: None,
            request: None,
        };
        opened.listen();
        opened
    }

    fn listen(&mut self) {
        match listen(&self.state_folder, &self.handle) {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => warn!(%error, "the process cannot be replaced while it serves"),
        }
    }

    /// Tries again to acquire the lock if this process has none, as its folder failed when it started. Until then a
    /// successor would take itself for the only process.
    fn acquire_missing_lock(&mut self, now: Millis) {
        if self.lock.is_some() || now < self.next_lock_attempt {
            return;
        }
        self.next_lock_attempt = now + LOCK_RETRY_INTERVAL;
        if let Ok(Some(lock)) = Lock::try_acquire(&self.state_folder, SERVING_LOCK) {
            info!("the process can be replaced from now on");
            self.lock = Some(lock);
        }
    }

    /// Handles a ready socket. Returns whether it is one of this listener's sockets.
    pub fn on_ready(&mut self, source: EventSource) -> bool {
        match source {
            EventSource::SuccessorListener => self.accept_successors(),
            EventSource::Successor => self.read_request(),
            _ => return false,
        }
        true
    }

    fn accept_successors(&mut self) {
        while let Some(connection) = self.accept() {
            if self.request.is_some() {
                connection.refuse(&RefusalReason::AnotherReplacement.to_string());
                continue;
            }
            // A successor that has not sent its complete request is replaced by the next one.
            self.remove_successor();
            self.watch(connection);
        }
    }

    fn accept(&self) -> Option<SuccessorConnection> {
        self.listener.as_ref()?.accept()
    }

    fn watch(&mut self, connection: SuccessorConnection) {
        let registered = connection.try_clone_stream().and_then(|stream| {
            martenlatch_http::register(&self.handle, stream, EventSource::Successor)
        });
        if let Ok(token) = registered {
            self.successor = Some((connection, token));
            self.read_request();
        }
    }

    fn read_request(&mut self) {
        if self.request.is_some() {
            return;
        }
        let Some((connection, _)) = &mut self.successor else {
            return;
        };
        match connection.read_request() {
            RequestProgress::Complete(request) => self.request = Some(request),
            RequestProgress::Invalid => drop(self.remove_successor()),
            RequestProgress::Incomplete => {}
        }
    }

    /// Stops watching the successor's connection, removes the connection and discards its request.
    fn remove_successor(&mut self) -> Option<SuccessorConnection> {
        self.request = None;
        let (connection, token) = self.successor.take()?;
        self.handle.remove(token);
        Some(connection)
    }

    /// Answers a successor's request, if there is one: refuses it, or transfers the state. Must be called between two
    /// rounds. Returns true once the successor serves; this process must then stop serving.
    pub fn hand_over(&mut self, driver: &mut Driver) -> bool {
        self.acquire_missing_lock(driver.clock().now());
        let Some(request) = &self.request else {
            return false;
        };
        let check = match self.lock {
            Some(_) => check_request(request, driver),
            None => Err(RefusalReason::NotReplaceable("has no lock on its folder")),
        };
        let preparation = match check {
            Ok(()) if !driver.is_quiescent() => return false,
            Ok(()) => driver.prepare_for_successor().map_err(RefusalReason::State),
            Err(reason) => Err(reason),
        };
        // The preparation may end attempts. The decision module must know of them before its state is passed on.
        if preparation.is_ok() && !driver.is_quiescent() {
            return false;
        }
        let Some(successor) = self.remove_successor() else {
            return false;
        };
        if let Err(reason) = preparation {
            refuse(successor, &reason);
            return false;
        }
        let Some(lock) = &self.lock else {
            return false;
        };
        match driver.encode_state() {
            Ok((state, descriptors)) => transfer(successor, driver, lock, &state, descriptors),
            Err(error) => {
                refuse(successor, &RefusalReason::State(error));
                false
            }
        }
    }

    /// Removes the socket when this process ends without a successor.
    pub fn close(self) {
        if let Some(listener) = self.listener {
            listener.close();
        }
    }
}

fn listen(state_folder: &Path, handle: &EventLoopHandle) -> std::io::Result<Rc<TakeoverListener>> {
    let path = socket_path(state_folder)?;
    let listener = Rc::new(TakeoverListener::open(&path)?);
    martenlatch_http::register(handle, listener.clone(), EventSource::SuccessorListener)?;
    Ok(listener)
}

/// Checks that the request matches this process, and that the process can be replaced.
fn check_request(request: &TakeoverRequest, driver: &Driver) -> Result<(), RefusalReason> {
    if request.version != VERSION {
        return Err(RefusalReason::OtherVersion(request.version));
    }
    if request.listen != driver.listen_address() {
        return Err(RefusalReason::OtherAddress(driver.listen_address()));
    }
    match driver.replacement_obstacle() {
        Some(reason) => Err(RefusalReason::NotReplaceable(reason)),
        None => Ok(()),
    }
}

fn refuse(successor: SuccessorConnection, reason: &RefusalReason) {
    let reason = reason.to_string();
    warn!(reason, "replacement refused");
    successor.refuse(&reason);
}

/// Transfers the state, with the lock as the first descriptor. Returns whether the successor has taken over.
fn transfer(
    successor: SuccessorConnection,
    driver: &Driver,
    lock: &Lock,
    state: &[u8],
    state_descriptors: Vec<BorrowedFd<'_>>,
) -> bool {
    let mut descriptors = vec![lock.as_fd()];
    descriptors.extend(state_descriptors);
    let load = driver.load();
    let clock = driver.clock();
    let deadline = clock.now() + TRANSFER_TIMEOUT;
    let time_left = || deadline - clock.now();
    match successor.transfer(state, &descriptors, &time_left) {
        TransferOutcome::Committed => {
            info!(
                clients = load.client_connections,
                attempts = load.active_attempts,
                held = load.held_messages,
                descriptors = descriptors.len(),
                bytes = state.len(),
                "gave way"
            );
            true
        }
        TransferOutcome::Failed(error) => {
            warn!(
                reason = error.to_string(),
                "replacement failed; this process continues to serve"
            );
            false
        }
    }
}
