//! The keys by which the event loop identifies its sockets, and its types with that key.

use std::os::fd::OwnedFd;

/// The file descriptors that a predecessor process has passed, in the order in which the restored state needs them.
pub struct InheritedDescriptors(std::vec::IntoIter<OwnedFd>);

impl InheritedDescriptors {
    /// Begins at the first descriptor.
    pub fn new(descriptors: Vec<OwnedFd>) -> InheritedDescriptors {
        InheritedDescriptors(descriptors.into_iter())
    }

    /// Takes the next descriptor.
    ///
    /// # Errors
    /// If fewer descriptors were passed than the state needs.
    pub fn next_descriptor(&mut self) -> std::io::Result<OwnedFd> {
        self.0
            .next()
            .ok_or_else(|| std::io::Error::other("the predecessor passed too few descriptors"))
    }

    /// Takes the next descriptor as a connection.
    ///
    /// # Errors
    /// As for [`InheritedDescriptors::next_descriptor`].
    pub fn next_stream(&mut self) -> std::io::Result<std::net::TcpStream> {
        self.next_descriptor().map(Into::into)
    }
}

/// The purpose of a socket. The event loop reports it when the socket is ready.
///
/// The order of the variants is the order in which a round handles ready sockets: operators come first, so that they
/// are answered even by a busy sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventSource {
    /// The listening socket for operators.
    OperatorListener,
    /// A connection of an operator, by its index in the table of operators' connections.
    Operator(usize),
    /// The listening socket for clients.
    ClientListener,
    /// A connection of a client, by its index in the table of clients.
    Client(usize),
    /// A connection to an endpoint, by its index in the table of endpoint connections.
    Endpoint(usize),
    /// The connection to discovery on which the endpoint list is watched.
    Watch,
    /// The connection for status reports.
    StatusReports,
    /// In a serving process: the listening socket for a process that will replace it.
    SuccessorListener,
    /// In a serving process: the connection of the process that will replace it.
    Successor,
    /// In a starting process: the connection to the process that it will replace.
    Predecessor,
    /// The socket for the membership datagrams of peers.
    PeerDatagrams,
    /// The listening socket for peers' queries for observations.
    PeerListener,
    /// A connection on which a peer queries this sender's observations, by its index in the table of such connections.
    PeerConnection(usize),
    /// A connection on which this sender queries a peer's observations, by its index in the table of such connections.
    SeedQuery(usize),
}

/// A handle to the sender's event loop.
pub type EventLoopHandle = martenlatch_http::EventLoopHandle<EventSource>;
/// A connection in the sender's event loop.
pub type Connection = martenlatch_http::Connection<EventSource>;
/// The signals and ready sockets that the sender's event loop collects between two rounds.
pub type ReadyEvents = martenlatch_http::ReadyEvents<EventSource>;
