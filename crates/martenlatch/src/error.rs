//! Why a command failed. Every message is one line, printed behind the program's name.

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
    #[error("settings: {}: {source}", file.display())]
    ReadSettings {
        /// The file.
        file: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The settings file has a fault of form or bounds.
    #[error(transparent)]
    InvalidSettings(#[from] text::Fault),
    /// The platform's configuration cannot be used.
    #[error(transparent)]
    InvalidConfig(#[from] ConfigError),
    /// The file with the group's shared secret cannot be used.
    #[error(transparent)]
    InvalidSecret(#[from] PeerServiceError),
    /// The sender could not start, or stopped serving.
    #[error(transparent)]
    Serve(#[from] SenderError),
    /// The settings do not say where a running sender listens for peers.
    #[error("peers: the settings name none; give a file with --settings")]
    NoPeers,
    /// A running sender cannot be queried for its members.
    #[error("{address}: {source}")]
    QueryMembers {
        /// The sender's address for peers.
        address: SocketAddr,
        /// What went wrong.
        source: QueryError,
    },
    /// A write-ahead log cannot be read.
    #[error("ledger: {}: {source}", folder.display())]
    OpenWriteAheadLog {
        /// The state directory.
        folder: PathBuf,
        /// The system's error.
        source: martenlatch_wal::LogError,
    },
}

/// Why a running sender cannot be queried for its members.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The connection cannot be established, written or read in time.
    #[error("nobody answers: {0}")]
    Io(#[from] io::Error),
    /// The sender closed the connection, which it does if it cannot authenticate the query.
    #[error("closed; is its secret another one?")]
    Closed,
    /// The pages of the response are not those that were to come next.
    #[error("the answer is out of order")]
    OutOfOrder,
    /// The response cannot be authenticated or decoded.
    #[error("the answer is invalid: {0}")]
    Malformed(#[source] wire::FrameError),
    /// The response was not complete in time.
    #[error("no whole answer in time")]
    TimedOut,
}
