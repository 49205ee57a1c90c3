//! The keys by which the event loop identifies its sockets.

use std::os::fd::OwnedFd;

/// File descriptors that a predecessor process has passed on, in the order in which the restored state asks for them.
pub struct InheritedDescriptors(std::vec::IntoIter<OwnedFd>);

impl InheritedDescriptors {
    /// Starts with the first descriptor.
    pub fn new(descriptors: Vec<OwnedFd>) -> InheritedDescriptors {
        InheritedDescriptors(descriptors.into_iter())
    }

    /// The next descriptor.
    ///
    /// # Errors
    /// If fewer descriptors were passed on than the state needs.
    pub fn take(&mut self) -> std::io::Result<OwnedFd> {
        self.0
            .next()
            .ok_or_else(|| std::io::Error::other("a descriptor is missing"))
    }

    /// The next descriptor, as a connection.
    ///
    /// # Errors
    /// As [`InheritedDescriptors::take`].
    pub fn stream(&mut self) -> std::io::Result<std::net::TcpStream> {
        self.take().map(Into::into)
    }
}

/// What a socket belongs to. The event loop reports it when the socket is ready.
///
/// The order of the variants is the order in which a round handles ready sockets: operators come first, so that they
/// are answered even by a busy sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventSource {
    /// The listening socket for operators.
    OperatorListener,
    /// A connection of an operator, by its place in the table of operators' connections.
    Operator(usize),
    /// The listening socket for clients.
    ClientListener,
    /// A connection of a client, by its place in the table of clients.
    Client(usize),
    /// A connection to an endpoint, by its place in the table of endpoint connections.
    Endpoint(usize),
    /// The connection to discovery on which the endpoint list is watched.
    Watch,
    /// The connection for status reports.
    StatusReports,
    /// In a serving process: the listening socket for a process that is to replace it.
    SuccessorListener,
    /// In a serving process: the connection of the process that is to replace it.
    Successor,
    /// In a starting process: the connection to the process that it is to replace.
    Predecessor,
    /// The socket for the membership datagrams of peers.
    PeerDatagrams,
    /// The listening socket on which peers request knowledge.
    PeerListener,
    /// A connection on which a peer requests knowledge, by its place in the table of such connections.
    PeerConnection(usize),
    /// A connection on which this sender requests a peer's knowledge, by its place in the table of such connections.
    SeedQuery(usize),
}

/// A handle to the sender's event loop.
pub type Handle = martenlatch_http::EventLoopHandle<EventSource>;
/// A connection in the sender's event loop.
pub type Connection = martenlatch_http::Connection<EventSource>;
/// What the sender's event loop collects between two rounds.
pub type Ready = martenlatch_http::ReadyEvents<EventSource>;
