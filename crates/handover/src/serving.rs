//! The serving process's side: waiting for a successor, and the transfer to it.

use std::io::{self, ErrorKind, Read, Write};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

use crate::channel::{Channel, TimeLeft};
use crate::error::HandoverError;
use crate::protocol::{Answer, MAX_LINE, TakeoverRequest};
use crate::socket;

/// The socket where a serving process waits for its successor.
pub struct TakeoverListener {
    listener: UnixListener,
    path: PathBuf,
}

impl TakeoverListener {
    /// Listens at a path, in place of whatever is there: only the holder of the lock may call this.
    ///
    /// # Errors
    /// If no socket can be bound there; the process can then not be replaced while it serves.
    pub fn open(path: &Path) -> io::Result<TakeoverListener> {
        let _ = std::fs::remove_file(path);
        let listener = socket::bind(path)?;
        listener.set_nonblocking(true)?;
        Ok(TakeoverListener {
            listener,
            path: path.to_path_buf(),
        })
    }

    /// Accepts a connection, if one waits. A process of another user is disconnected.
    pub fn accept(&self) -> Option<SuccessorConnection> {
        let (stream, _) = self.listener.accept().ok()?;
        if !socket::is_same_user(&stream) || stream.set_nonblocking(true).is_err() {
            return None;
        }
        Some(SuccessorConnection {
            stream,
            line: Vec::new(),
        })
    }

    /// Removes the socket's path. A process that has been replaced must not call this: the path is its successor's.
    pub fn close(&self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

impl AsFd for TakeoverListener {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.listener.as_fd()
    }
}

/// A connection from a process that wants to succeed this one.
pub struct SuccessorConnection {
    stream: UnixStream,
    /// What has been received of its request.
    line: Vec<u8>,
}

/// How much of a request has been received.
#[derive(Debug, PartialEq)]
pub enum RequestProgress {
    /// Not all of it yet.
    Incomplete,
    /// All of it.
    Complete(TakeoverRequest),
    /// Something that is no request, or the connection has ended.
    Invalid,
}

/// How a transfer ended for the process that served.
#[derive(Debug)]
pub enum TransferOutcome {
    /// The successor serves; this process must not serve any more.
    Committed,
    /// This process serves on as if it had not been asked.
    Failed(HandoverError),
}

impl SuccessorConnection {
    /// A second handle of the connection, for an event loop to watch.
    ///
    /// # Errors
    /// If there is no descriptor for it.
    pub fn try_clone_stream(&self) -> io::Result<UnixStream> {
        self.stream.try_clone()
    }

    /// Reads what has arrived of the request, without waiting.
    pub fn read_request(&mut self) -> RequestProgress {
        let mut buffer = [0; MAX_LINE];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return RequestProgress::Invalid,
                Ok(count) => self.line.extend(&buffer[..count]),
                Err(error) => match error.kind() {
                    ErrorKind::Interrupted => {}
                    ErrorKind::WouldBlock => return RequestProgress::Incomplete,
                    _ => return RequestProgress::Invalid,
                },
            }
            if self.line.ends_with(b"\n") {
                return match TakeoverRequest::decode(&self.line) {
                    Some(request) => RequestProgress::Complete(request),
                    None => RequestProgress::Invalid,
                };
            }
            if self.line.len() > MAX_LINE {
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
        // From here on the successor cannot commit. Whether it did before shows in what has arrived.
        channel.shut_down();
        let no_time = || 0.0;
        match committed {
            Ok(()) => TransferOutcome::Committed,
            Err(_) if channel.receive_commit(&no_time).is_ok() => TransferOutcome::Committed,
            Err(error) => TransferOutcome::Failed(error),
        }
    }
}
