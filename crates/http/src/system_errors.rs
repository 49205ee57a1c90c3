//! Classifies the errors of system calls on sockets: they concern this process, a single connection, or the peer.
//!
//! `docs/system-calls.md` lists each call with its errors and how the sender handles them.

use std::io::{Error, ErrorKind};

// Linux error numbers for which `std::io::ErrorKind` has no variant, or no stable one.
/// The system is out of memory.
const ENOMEM: i32 = 12;
/// The system is out of file descriptors.
const ENFILE: i32 = 23;
/// The process is out of file descriptors.
const EMFILE: i32 = 24;
/// The operation is not permitted by a firewall.
const EPERM: i32 = 1;
/// A protocol error occurred on a connection that waits to be accepted.
const EPROTO: i32 = 71;
/// The protocol is not available.
const ENOPROTOOPT: i32 = 92;
/// The socket does not support the operation.
const EOPNOTSUPP: i32 = 95;
/// The network is down.
const ENETDOWN: i32 = 100;
/// The network cannot be reached.
const ENETUNREACH: i32 = 101;
/// No buffer space is available.
const ENOBUFS: i32 = 105;
/// The host is down.
const EHOSTDOWN: i32 = 112;
/// The host cannot be reached.
const EHOSTUNREACH: i32 = 113;
/// The machine is not on the network.
const ENONET: i32 = 64;
/// A connection is being established.
const EINPROGRESS: i32 = 115;

/// Whether an error means that this process or system lacks descriptors, memory, buffers or local ports. Such a
/// shortage is temporary, and says nothing about the peer.
pub fn is_local_shortage(error: &Error) -> bool {
    let lacks_port = error.kind() == ErrorKind::AddrNotAvailable;
    lacks_port
        || matches!(
            error.raw_os_error(),
            Some(ENFILE | EMFILE | ENOMEM | ENOBUFS)
        )
}

/// Whether an error of `accept` concerns only the connection that would have been accepted. That connection is lost,
/// and the next one may be accepted at once. accept(2) reports the pending network errors of a new connection like
/// this.
pub fn concerns_one_connection(error: &Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted
    ) || matches!(
        error.raw_os_error(),
        Some(
            EPERM
                | EPROTO
                | ENOPROTOOPT
                | EOPNOTSUPP
                | ENETDOWN
                | ENETUNREACH
                | EHOSTDOWN
                | EHOSTUNREACH
                | ENONET
        )
    )
}

/// Whether a connection is still being established after `connect` returned this error. After an interruption by a
/// signal, it continues to be established in the background.
pub(crate) fn is_connect_in_progress(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
        || error.raw_os_error() == Some(EINPROGRESS)
}

#[cfg(test)]
mod tests;
