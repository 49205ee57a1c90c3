//! The errors of the commands. Every message is one line, printed after the program's name.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use martenlatch_peers::wire;
use martenlatch_sender::{ConfigError, PeerServiceError, SenderError};
use martenlatch_settings::text;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The settings file cannot be read.
    #[error("settings: {} cannot be read: {source}", file.display())]
    ReadSettings {
        /// The path of the file.
        file: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The settings file has a syntax error or a value out of bounds.
    #[error(transparent)]
    InvalidSettings(#[from] text::FieldError),
    /// The platform's configuration cannot be used.
    #[error(transparent)]
    InvalidConfig(#[from] ConfigError),
    /// The file with the group's shared secret cannot be used.
    #[error(transparent)]
    InvalidSecret(#[from] PeerServiceError),
    /// The sender could not start, or failed while it served.
    #[error(transparent)]
    Serve(#[from] SenderError),
    /// The settings have no `peers`, which contain the address of the running sender.
    #[error("peers: not set in the settings; use --settings with a file that sets it")]
    NoPeers,
    /// A running sender cannot be queried for the members of its group.
    #[error("{address}: {source}")]
    QueryMembers {
        /// The sender's address for peers.
        address: SocketAddr,
        /// The cause.
        source: QueryError,
    },
    /// A write-ahead log cannot be read.
    #[error("write-ahead log: {}: {source}", folder.display())]
    OpenWriteAheadLog {
        /// The state directory.
        folder: PathBuf,
        /// The cause.
        source: martenlatch_wal::LogError,
    },
}

/// Why a running sender cannot be queried for the members of its group.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The connection cannot be established, or a read or a write fails or times out.
    #[error("the sender does not respond: {0}")]
    Io(#[from] io::Error),
    /// The sender closed the connection, as it does if it cannot authenticate the query.
    #[error("the sender closed the connection; its secret may be a different one")]
    Closed,
    /// The response contains a page other than the expected next one.
    #[error("the pages of the response are out of order")]
    OutOfOrder,
    /// The response cannot be authenticated or decoded.
    #[error("the response is invalid: {0}")]
    Malformed(#[source] wire::FrameError),
    /// The response was not complete in time.
    #[error("the response was not complete in time")]
    TimedOut,
}
