//! Owns the names of the loop's sockets. It must never hold one.

use std::os::fd::OwnedFd;

/// Descriptors that an earlier process has passed, in the order in which they are asked for.
pub struct Fds(std::vec::IntoIter<OwnedFd>);

impl Fds {
    pub fn new(fds: Vec<OwnedFd>) -> Fds {
        Fds(fds.into_iter())
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
    /// As [`Fds::take`].
    pub fn stream(&mut self) -> std::io::Result<std::net::TcpStream> {
        self.take().map(Into::into)
    }
}

/// What a socket belongs to; the loop hands it back when the socket is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
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

pub type Handle = martenlatch_http::Handle<Key>;
pub type Link = martenlatch_http::Link<Key>;
pub type Ready = martenlatch_http::Ready<Key>;
