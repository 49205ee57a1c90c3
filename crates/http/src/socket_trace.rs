//! Traces the events and bytes of every socket at the log level TRACE.
//!
//! A trace shows what a connection carried and which side ended it. While the level is disabled, tracing costs one
//! comparison for each call on a socket.

use std::io::Error;
use std::net::TcpStream;
use std::os::fd::AsRawFd;

use tracing::{Level, enabled, trace};

/// Maximum number of bytes that are shown of a read or a write. For a request, this includes its id.
const MAX_SHOWN_BYTES: usize = 96;

/// An event on a socket.
#[derive(Debug)]
pub(crate) enum SocketEvent<'a> {
    /// The socket was registered: a peer has connected, or a connection to a peer is being established.
    Opened,
    /// These bytes were read.
    Read(&'a [u8]),
    /// These bytes were written.
    Written(&'a [u8]),
    /// The peer has shut down its sending side.
    End,
    /// A read or a write failed: the connection was reset, or was never established.
    Failed(&'a Error),
    /// This process shuts down its sending side.
    ShutDown,
    /// This process closes the socket. If bytes from the peer are still unread, this resets the connection.
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
    let shown = &bytes[..bytes.len().min(MAX_SHOWN_BYTES)];
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
