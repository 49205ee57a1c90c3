//! The two sockets that listen on the address for peers: UDP for the membership protocol, and TCP for queries.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;

use martenlatch_http::register;

use super::PeerServiceError;
use crate::event_source::{EventLoopHandle, EventSource};

/// The two sockets, which are registered with the event loop.
pub(super) struct Sockets {
    pub(super) udp: Rc<UdpSocket>,
    pub(super) listener: Rc<TcpListener>,
}

impl Sockets {
    /// Binds both sockets to the address.
    pub(super) fn bind(
        address: SocketAddr,
        handle: &EventLoopHandle,
    ) -> Result<Sockets, PeerServiceError> {
        Sockets::try_bind(address, handle)
            .map_err(|source| PeerServiceError::Bind { address, source })
    }

    fn try_bind(address: SocketAddr, handle: &EventLoopHandle) -> io::Result<Sockets> {
        let udp = Rc::new(UdpSocket::bind(address)?);
        let listener = Rc::new(TcpListener::bind(address)?);
        udp.set_nonblocking(true)?;
        listener.set_nonblocking(true)?;
        register(handle, udp.clone(), EventSource::PeerDatagrams)?;
        register(handle, listener.clone(), EventSource::PeerListener)?;
        Ok(Sockets { udp, listener })
    }
}
