//! What the endpoints of a soak listen on, check and answer.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

use super::http::HttpMessage;
use super::world::Message;

/// A loopback address that soaks side by side do not share: the port of an endpoint that is down may otherwise go to an
/// endpoint of another soak.
pub(super) fn own_loopback_address() -> Ipv4Addr {
    let [.., high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 0x80, middle, low)
}

/// Opens a listener with a limit on connections that wait to be accepted.
///
/// # Errors
/// The system's error.
pub(super) fn listen(address: SocketAddr, backlog: i32) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    Ok(socket.into())
}

/// The usual answer to a message, which differs from all other answers.
pub(super) fn success(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}",
        id.len()
    )
}

/// Whether a request has the body and the idempotency key of its message.
pub(super) fn is_intact(request: &HttpMessage, id: &str) -> bool {
    Message::from_id(id).is_some_and(|message| {
        request.body == message.body().as_bytes()
            && request.header("idempotency-key") == Some(&*message.key())
    })
}
