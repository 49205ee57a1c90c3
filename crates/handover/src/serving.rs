//! The side of the serving process: accepting a successor, and transferring the state to it.

use std::io::{self, ErrorKind, Read, Write};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

use crate::channel::{Channel, TimeLeft};
use crate::error::HandoverError;
use crate::protocol::{Answer, MAX_LINE_BYTES, TakeoverRequest};
use crate::socket;

/// The socket on which a serving process waits for its successor.
pub struct TakeoverListener {
    listener: UnixListener,
    path: PathBuf,
}

impl TakeoverListener {
    /// Listens at a path, and replaces any file there: only the holder of the lock may call this.
    ///
    /// # Errors
    /// If no socket can be bound there; the process then cannot be replaced while it serves.
    pub fn open(path: &Path) -> io::Result<TakeoverListener> {
        let _ = std::fs::remove_file(path);
        let listener = socket::bind(path)?;
        listener.set_nonblocking(true)?;
        Ok(TakeoverListener {
            listener,
            path: path.to_path_buf(),
        })
    }

    /// Accepts a connection, if one is waiting. A process of another user is disconnected.
    pub fn accept(&self) -> Option<SuccessorConnection> {
        let (stream, _) = self.listener.accept().ok()?;
        if !socket::is_same_user(&stream) || stream.set_nonblocking(true).is_err() {
            return None;
        }
        Some(SuccessorConnection {
            stream,
            request_line: Vec::new(),
        })
    }

    /// Removes the socket's path. A process that has been replaced must not call this: the path then belongs to its
    /// successor.
    pub fn close(&self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

impl AsFd for TakeoverListener {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.listener.as_fd()
    }
}

/// A connection from a process that requests to replace this one.
pub struct SuccessorConnection {
    stream: UnixStream,
    /// The part of its request that has been received.
    request_line: Vec<u8>,
}

/// The progress of receiving a request.
#[derive(Debug, PartialEq)]
pub enum RequestProgress {
    /// The request has not been received completely yet.
    Incomplete,
    /// The complete request.
    Complete(TakeoverRequest),
    /// The input is not a request, or the connection has ended.
    Invalid,
}

/// The outcome of a transfer for the process that sent its state.
#[derive(Debug)]
pub enum TransferOutcome {
    /// The successor serves; this process must stop serving.
    Committed,
    /// This process continues to serve as if there had been no request.
    Failed(HandoverError),
}

impl SuccessorConnection {
    /// Duplicates the connection's descriptor, so that an event loop can watch it.
    ///
    /// # Errors
    /// If no descriptor is available.
    pub fn try_clone_stream(&self) -> io::Result<UnixStream> {
        self.stream.try_clone()
    }

    /// Reads the available part of the request, without waiting.
    pub fn read_request(&mut self) -> RequestProgress {
        let mut buffer = [0; MAX_LINE_BYTES];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return RequestProgress::Invalid,
                Ok(count) => self.request_line.extend(&buffer[..count]),
                Err(error) => match error.kind() {
                    ErrorKind::Interrupted => {}
                    ErrorKind::WouldBlock => return RequestProgress::Incomplete,
                    _ => return RequestProgress::Invalid,
                },
            }
            if self.request_line.ends_with(b"\n") {
                return match TakeoverRequest::decode(&self.request_line) {
                    Some(request) => RequestProgress::Complete(request),
                    None => RequestProgress::Invalid,
                };
            }
            if self.request_line.len() > MAX_LINE_BYTES {
                return RequestProgress::Invalid;
            }
        }
    }

    /// Refuses the request; the reason must be one line.
    pub fn refuse(mut self, reason: &str) {
        let answer = Answer::Refused(reason.to_string());
        let _ = self.stream.write_all(answer.encode().as_bytes());
    }

    /// Transfers the state of this process and waits for the successor's commit, both within `time_left`.
    pub fn transfer(
        self,
        state: &[u8],
        descriptors: &[BorrowedFd<'_>],
        time_left: &TimeLeft<'_>,
    ) -> TransferOutcome {
        let mut channel = match Channel::new(self.stream) {
            Ok(channel) => channel,
            Err(error) => return TransferOutcome::Failed(error),
        };
        let committed = channel
            .send_state(state, descriptors, time_left)
            .and_then(|()| channel.receive_commit(time_left));
        // After the shutdown the successor cannot commit any more. An earlier commit has already arrived and can still
        // be received.
        channel.shut_down();
        let no_time = || 0.0;
        match committed {
            Ok(()) => TransferOutcome::Committed,
            Err(_) if channel.receive_commit(&no_time).is_ok() => TransferOutcome::Committed,
            Err(error) => TransferOutcome::Failed(error),
        }
    }
}
