//! The errors that prevent a sender from starting, from serving, or from passing its state to a successor.
//!
//! `Display` formats the one line that the user reads; it names the field, file or address at fault.
//!
//! The texts of [`EncodeState`](SenderError::EncodeState), [`TooManyConnections`](SenderError::TooManyConnections) and
//! [`NotAccepting`](SenderError::NotAccepting) are also sent to the successor, as the reason why its request is
//! refused. They are part of the takeover protocol and must not change.

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
    #[error("the event loop cannot be created: {0}")]
    CreateEventLoop(calloop::Error),
    /// The event loop cannot watch for signals; contains the event loop's reason.
    #[error("the event loop cannot watch for signals: {0}")]
    WatchSignals(String),
    /// The event loop failed while it waited.
    #[error("the event loop failed: {0}")]
    EventLoop(calloop::Error),
    /// The address for clients cannot be bound.
    #[error("listen: cannot bind {address}: {reason}")]
    Bind {
        /// The address for clients.
        address: SocketAddr,
        /// The system's error.
        reason: std::io::Error,
    },
    /// The event loop cannot watch the listener for clients.
    #[error("listen: cannot watch the socket: {0}")]
    WatchListener(std::io::Error),
    /// The decision module rejects the settings.
    #[error("settings: {0}")]
    Settings(SettingsError),
    /// Operators cannot be served.
    #[error(transparent)]
    Operators(#[from] OperatorError),
    /// The service for peers cannot be opened.
    #[error(transparent)]
    Peers(#[from] PeerServiceError),
    /// This process can neither serve nor wait for the process that serves.
    #[error(transparent)]
    Replacement(#[from] CandidateError),
    /// The predecessor passed fewer descriptors than its state needs.
    #[error("{0}")]
    InheritedDescriptor(std::io::Error),
    /// The predecessor's state cannot be decoded.
    #[error("the state from the predecessor cannot be decoded: {0}")]
    DecodeState(postcard::Error),
    /// This process's state cannot be encoded for its successor.
    #[error("{0}")]
    EncodeState(postcard::Error),
    /// The predecessor's state was decoded, but its sockets or its log cannot be used.
    #[error("the state from the predecessor cannot be restored: {0}")]
    RestoreState(std::io::Error),
    /// The predecessor's write-ahead log cannot be continued.
    #[error("the predecessor's write-ahead log cannot be continued: {0}")]
    RestoreLog(martenlatch_wal::LogError),
    /// The predecessor's class rules differ from those of this process's settings.
    #[error("settings: the class rules differ from those of the process that serves")]
    DifferentClassRules,
    /// The predecessor numbers its zones, kinds or classes differently.
    #[error("settings: the zones, kinds or classes differ from those of the process that serves")]
    DifferentNames,
    /// More connections are in use than the predecessor and the successor may have open together.
    #[error("{0} connections in use are too many to pass at once")]
    TooManyConnections(usize),
    /// The listener for clients is closed and cannot be passed to a successor.
    #[error("takes no clients any more")]
    NotAccepting,
}
