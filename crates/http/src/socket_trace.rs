//! The trace of sockets: what crosses each of them, at the log level TRACE.
//!
//! A trace answers what a connection carried and who ended it. While the level is off it costs one comparison for each
//! call on a socket.

use std::io::Error;
use std::net::TcpStream;
use std::os::fd::AsRawFd;

use tracing::{Level, enabled, trace};

/// How many bytes of a read or a write are shown. Those of a request reach to its id.
const SHOWN_BYTES: usize = 96;

/// What happened on a socket.
#[derive(Debug)]
pub(crate) enum SocketEvent<'a> {
    /// It is watched from here on: a peer has connected, or a connection to one is being established.
    Opened,
    /// These bytes were read.
    Read(&'a [u8]),
    /// These bytes were written.
    Written(&'a [u8]),
    /// The peer has ended its sending.
    End,
    /// A read or a write has failed: the connection was reset, or was never established.
    Failed(&'a Error),
    /// The sending side is shut down.
    ShutDown,
    /// The socket is closed. Where bytes of the peer are unread, this resets the connection.
    Closed,
}

impl SocketEvent<'_> {
    fn name(&self) -> &'static str {
        match self {
            SocketEvent::Opened => "opened",
            SocketEvent::Read(_) => "read",
            SocketEvent::Written(_) => "written",
            SocketEvent::End => "end",
            SocketEvent::Failed(_) => "failed",
            SocketEvent::ShutDown => "shut down",
            SocketEvent::Closed => "closed",
        }
    }

    fn bytes(&self) -> &[u8] {
        match self {
            SocketEvent::Read(bytes) | SocketEvent::Written(bytes) => bytes,
            _ => &[],
        }
    }

    fn error(&self) -> Option<&Error> {
        match self {
            SocketEvent::Failed(error) => Some(error),
            _ => None,
        }
    }
}

/// Logs an event of a socket.
pub(crate) fn record(stream: &TcpStream, event: SocketEvent<'_>) {
    if !enabled!(Level::TRACE) {
        return;
    }
    let bytes = event.bytes();
    let shown = &bytes[..bytes.len().min(SHOWN_BYTES)];
    trace!(
        event = event.name(),
        socket = stream.as_raw_fd(),
        local = ?stream.local_addr().ok(),
        peer = ?stream.peer_addr().ok(),
        length = bytes.len(),
        error = ?event.error().map(Error::kind),
        bytes = %shown.escape_ascii(),
        "socket"
    );
}
