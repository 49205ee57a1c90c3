//! Listening for clients, with retries while the address is still in use or the system is short of resources.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use martenlatch_clock::{Clock, Millis};
use martenlatch_http::is_local_shortage;
use socket2::{Domain, Protocol, Socket, Type};

use crate::process_replacement::POLL_INTERVAL;

/// Number of connections that may wait to be accepted, so that a burst of clients is not dropped.
const LISTEN_BACKLOG: i32 = 1024;
/// The time for which a start retries while descriptors or memory are short.
const SHORTAGE_TIMEOUT: Millis = 5_000.0;
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// Opens a non-blocking listener on an address.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Retries `listen` for a limited time: a process that has just ended may still use the address for `address_timeout`,
/// and a shortage of descriptors or memory may pass.
pub(super) fn listen_with_retries(
    mut listen: impl FnMut() -> std::io::Result<TcpListener>,
    clock: &Clock,
    address_timeout: Millis,
) -> std::io::Result<TcpListener> {
    let started_at = clock.now();
    loop {
        let error = match listen() {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        let retry_time = match error.kind() {
            ErrorKind::AddrInUse => address_timeout,
            ErrorKind::Interrupted => SHORTAGE_TIMEOUT,
            _ if is_local_shortage(&error) => SHORTAGE_TIMEOUT,
            _ => 0.0,
        };
        if clock.now() >= started_at + retry_time {
            return Err(error);
        }
        std::thread::sleep(Duration::from_secs_f64(
            POLL_INTERVAL / MILLISECONDS_PER_SECOND,
        ));
    }
}

#[cfg(test)]
mod tests;
