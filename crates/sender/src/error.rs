//! The errors that keep a sender from starting, from serving, or from passing its state to a successor.
//!
//! `Display` gives the one line that the user reads; it names the field, file or address at fault.

use std::net::SocketAddr;

use martenlatch_policy::interface::SettingsError;

use crate::config::ConfigError;
use crate::operator::OperatorError;
use crate::peer_service::PeerServiceError;
use crate::process_replacement::CandidateError;

/// Why the sender cannot start, serve or be replaced.
#[derive(Debug, thiserror::Error)]
pub enum SenderError {
    /// The platform's configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The event loop cannot be created.
    #[error("no event loop: {0}")]
    CreateEventLoop(calloop::Error),
    /// The event loop cannot watch for signals; holds the event loop's reason.
    #[error("no signals: {0}")]
    WatchSignals(String),
    /// The event loop failed while it waited.
    #[error("the event loop failed: {0}")]
    EventLoop(calloop::Error),
    /// The address for clients cannot be bound.
    #[error("listen: cannot bind {address}: {reason}")]
    Bind {
        /// The address for clients.
        address: SocketAddr,
        /// What the system said.
        reason: std::io::Error,
    },
    /// The event loop cannot watch the listener for clients.
    #[error("listen: cannot watch the socket: {0}")]
    WatchListener(std::io::Error),
    /// The decision module rejects the settings.
    #[error("settings: {0}")]
    Settings(SettingsError),
    /// The operators' address cannot be opened.
    #[error(transparent)]
    Operators(#[from] OperatorError),
    /// The connection to the other senders cannot be opened.
    #[error(transparent)]
    Peers(#[from] PeerServiceError),
    /// This process can neither serve nor wait for the one that does.
    #[error(transparent)]
    Replacement(#[from] CandidateError),
    /// A descriptor that the predecessor passed is missing.
    #[error("{0}")]
    InheritedDescriptor(std::io::Error),
    /// The predecessor's state cannot be decoded.
    #[error("what was passed cannot be read: {0}")]
    DecodeState(postcard::Error),
    /// This process's state cannot be encoded for its successor.
    #[error("{0}")]
    EncodeState(postcard::Error),
    /// The predecessor's state was decoded, but its sockets or its log cannot be used.
    #[error("what was passed cannot be taken up: {0}")]
    RestoreState(std::io::Error),
    /// The predecessor's write-ahead log cannot be continued.
    #[error("what was passed cannot be taken up: {0}")]
    RestoreLog(martenlatch_wal::LogError),
    /// The predecessor's class rules differ from those of these settings.
    #[error("settings: classes with other rules than those of the process that serves")]
    DifferentClassRules,
    /// The predecessor numbers its zones, kinds or classes differently.
    #[error("settings: other zones, kinds or classes than the process that serves has")]
    DifferentNames,
    /// More connections are in use than both processes may hold together.
    #[error("{0} connections in use are too many to pass at once")]
    TooManyConnections(usize),
    /// The listener for clients is closed, so there is nothing to pass to a successor.
    #[error("takes no clients any more")]
    NotAccepting,
}
