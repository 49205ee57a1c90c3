//! The side of the successor: requesting to take over, and receiving the state.

use std::io::{self, ErrorKind, Write};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::Path;

use crate::channel::{Channel, TimeLeft};
use crate::error::HandoverError;
use crate::peer_process::PeerProcess;
use crate::protocol::TakeoverRequest;
use crate::socket;

/// Sends a request to the process that listens at a path.
///
/// # Errors
/// If no process of this user listens there, or the request cannot be written.
pub fn request_takeover(path: &Path, request: &TakeoverRequest) -> io::Result<PendingTakeover> {
    let mut stream = socket::connect(path)?;
    if !socket::is_same_user(&stream) {
        return Err(ErrorKind::PermissionDenied.into());
    }
    stream.write_all(request.encode().as_bytes())?;
    Ok(PendingTakeover { stream })
}

/// A request that has been sent and has not been answered yet.
pub struct PendingTakeover {
    stream: UnixStream,
}

impl PendingTakeover {
    /// Duplicates the connection's descriptor, so that an event loop can watch it.
    ///
    /// # Errors
    /// If no descriptor is available.
    pub fn try_clone_stream(&self) -> io::Result<UnixStream> {
        self.stream.try_clone()
    }

    /// Receives the state of the serving process within `time_left`. Should be called once the connection is readable.
    ///
    /// # Errors
    /// [`HandoverError::Refused`] with the reason of the serving process, or the error of the transfer. A partially
    /// received state is dropped.
    pub fn receive(self, time_left: &TimeLeft<'_>) -> Result<ReceivedState, HandoverError> {
        let serving_process = PeerProcess::of(&self.stream);
        let mut channel = Channel::new(self.stream)?;
        let (state, descriptors) = channel.receive_state(time_left)?;
        Ok(ReceivedState {
            state,
            descriptors,
            serving_process,
            channel,
        })
    }
}

/// The state of the serving process, which still serves until [`ReceivedState::commit`].
pub struct ReceivedState {
    /// The state, as encoded by the process that sent it.
    pub state: Vec<u8>,
    /// Its descriptors, in the order in which they were sent.
    pub descriptors: Vec<OwnedFd>,
    /// The process that sent it, if the system can tell.
    pub serving_process: Option<PeerProcess>,
    channel: Channel,
}

impl ReceivedState {
    /// Takes over. Once this has succeeded, the process that sent the state no longer serves.
    ///
    /// # Errors
    /// If that process has ended or continues to serve: the received state must not be used.
    pub fn commit(mut self) -> io::Result<()> {
        self.channel.send_commit()
    }
}
