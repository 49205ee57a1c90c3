//! A process that starts while another one serves: it waits for the lock, and requests the state of that process.

use std::path::PathBuf;

use calloop::RegistrationToken;
use martenlatch_clock::{Clock, Millis};
use martenlatch_handover::{
    Lock, PendingTakeover, ReceivedState, TakeoverRequest, VERSION, request_takeover,
};
use tracing::{info, warn};

use super::{SERVING_LOCK, is_served, socket_path};
use crate::Config;
use crate::event_source::{EventLoopHandle, EventSource};

/// Milliseconds between two tries to acquire the lock.
pub const POLL_INTERVAL: Millis = 20.0;
/// Milliseconds between two requests to take over.
const REQUEST_INTERVAL: Millis = 1_000.0;
/// Maximum time in milliseconds to receive the state: a little longer than the serving process may take to send it.
const RECEIVE_TIMEOUT: Millis = 900.0;

/// The file name of the lock of the process that will serve next.
const SUCCESSOR_LOCK: &str = "successor";

/// Why a process cannot be a candidate.
#[derive(Debug, thiserror::Error)]
pub enum CandidateError {
    /// Another candidate is already waiting.
    #[error(
        "PROXY_STATE: a process serves from this folder, and another one already waits to replace it"
    )]
    AnotherCandidate,
}

/// The progress of a candidate.
pub enum CandidateState {
    /// The lock was free; this process holds it from now on.
    LockAcquired(Lock),
    /// The process that serves has sent its state.
    StateReceived(ReceivedState),
    /// Neither has happened yet.
    Waiting,
    /// The lock cannot be tried, and no process answers requests to take over.
    LockUnavailable,
}

/// A process that waits to replace the one that serves.
pub struct ReplacementCandidate {
    handle: EventLoopHandle,
    state_folder: PathBuf,
    request: TakeoverRequest,
    /// Held while this process waits, so that there is only one candidate. `None` if the folder accepts no file.
    _successor_lock: Option<Lock>,
    pending: Option<(PendingTakeover, RegistrationToken)>,
    next_request_at: Millis,
    /// Whether the latest request reached a process, which has not ended then.
    predecessor_answers: bool,
    /// No request has been tried yet.
    first_request: bool,
}

impl ReplacementCandidate {
    /// Becomes the candidate to succeed the process that holds the lock.
    ///
    /// # Errors
    /// If another process is already the candidate.
    pub fn open(
        config: &Config,
        handle: &EventLoopHandle,
    ) -> Result<ReplacementCandidate, CandidateError> {
        let successor_lock = match Lock::try_acquire(&config.state_folder, SUCCESSOR_LOCK) {
            Ok(None) => return Err(CandidateError::AnotherCandidate),
            Ok(Some(lock)) => Some(lock),
            Err(_) => None,
        };
        info!("waiting for the process that serves");
        Ok(ReplacementCandidate {
            handle: handle.clone(),
            state_folder: config.state_folder.clone(),
            request: TakeoverRequest {
                version: VERSION,
                listen: config.listen,
            },
            _successor_lock: successor_lock,
            pending: None,
            next_request_at: 0.0,
            predecessor_answers: true,
            first_request: true,
        })
    }

    /// Tries to acquire the lock; otherwise sends a request to take over, if one is due.
    pub fn poll(&mut self, now: Millis) -> CandidateState {
        let lock = Lock::try_acquire(&self.state_folder, SERVING_LOCK);
        let lock = match lock {
            Ok(Some(lock)) if !is_served(&self.state_folder) => {
                return CandidateState::LockAcquired(lock);
            }
            other => other.map(drop),
        };
        if self.pending.is_none() && now >= self.next_request_at {
            self.next_request_at = now + REQUEST_INTERVAL;
            self.send_request();
        }
        if lock.is_err() && !self.predecessor_answers {
            return CandidateState::LockUnavailable;
        }
        CandidateState::Waiting
    }

    fn send_request(&mut self) {
        let result = self.try_send_request();
        self.predecessor_answers = result.is_ok();
        match result {
            Ok(pending) => self.pending = Some(pending),
            Err(error) if self.first_request => {
                warn!(%error, "takeover request not sent; waiting for the lock");
            }
            Err(_) => {}
        }
        self.first_request = false;
    }

    fn try_send_request(&self) -> std::io::Result<(PendingTakeover, RegistrationToken)> {
        let path = socket_path(&self.state_folder)?;
        let pending = request_takeover(&path, &self.request)?;
        let stream = pending.try_clone_stream()?;
        let token = martenlatch_http::register(&self.handle, stream, EventSource::Predecessor)?;
        Ok((pending, token))
    }

    /// Receives the answer of the process that serves, whose connection is ready. The caller must restore the received
    /// state before it commits the takeover.
    pub fn receive(&mut self, clock: &Clock) -> CandidateState {
        let Some((pending, token)) = self.pending.take() else {
            return CandidateState::Waiting;
        };
        self.handle.remove(token);
        let deadline = clock.now() + RECEIVE_TIMEOUT;
        match pending.receive(&|| deadline - clock.now()) {
            Ok(state) => CandidateState::StateReceived(state),
            Err(error) => {
                let reason = error.to_string();
                warn!(reason, "takeover request unsuccessful; trying again");
                CandidateState::Waiting
            }
        }
    }

    /// From now on, only waits for the lock, as the received state could not be used: each request pauses the process
    /// that serves.
    pub fn stop_requesting(&mut self) {
        self.next_request_at = f64::INFINITY;
    }
}

impl Drop for ReplacementCandidate {
    fn drop(&mut self) {
        if let Some((_, token)) = self.pending.take() {
            self.handle.remove(token);
        }
    }
}
