//! Owns the names of the loop's sockets. It must never hold one.

use std::os::fd::OwnedFd;

/// Descriptors that an earlier process has passed, in the order in which they are asked for.
pub struct InheritedDescriptors(std::vec::IntoIter<OwnedFd>);

impl InheritedDescriptors {
    pub fn new(fds: Vec<OwnedFd>) -> InheritedDescriptors {
        InheritedDescriptors(fds.into_iter())
    }

    /// The next one.
    ///
    /// # Errors
    /// Where fewer were passed than are wanted.
    pub fn take(&mut self) -> std::io::Result<OwnedFd> {
        self.0
            .next()
            .ok_or_else(|| std::io::Error::other("a descriptor is missing"))
    }

    /// The next one, as a connection.
    ///
    /// # Errors
    /// As [`InheritedDescriptors::take`].
    pub fn stream(&mut self) -> std::io::Result<std::net::TcpStream> {
        self.take().map(Into::into)
    }
}

/// What a socket belongs to; the loop hands it back when the socket is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventSource {
    /// Where operators call, and one of the callers: first, so that a round answers them before all else.
    Operators,
    Operator(usize),
    Listener,
    Client(usize),
    Region(usize),
    Watch,
    Notices,
    /// The process that may take this one's place; in one that starts, the one that serves.
    Offer,
    Asker,
    Predecessor,
    /// Other senders: their datagrams, their connections, one of these, one of ours to them.
    Datagrams,
    Tellers,
    Talk(usize),
    Ask(usize),
}

pub type Handle = martenlatch_http::Handle<EventSource>;
pub type Connection = martenlatch_http::Connection<EventSource>;
pub type Ready = martenlatch_http::Ready<EventSource>;
