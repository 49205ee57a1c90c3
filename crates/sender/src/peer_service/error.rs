//! Why a sender cannot connect to its peers. `Display` is the line that the user reads; it names the field and file.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a sender cannot connect to its peers.
#[derive(Debug, thiserror::Error)]
pub enum PeerServiceError {
    /// The file with the shared secret cannot be read.
    #[error("peers.secret_file: {}: {source}", file.display())]
    ReadSecret {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The shared secret is too short.
    #[error("peers.secret_file: {}: at least {least} bytes are wanted", file.display())]
    ShortSecret {
        /// The file.
        file: PathBuf,
        /// The least length in bytes.
        least: usize,
    },
    /// The address for datagrams and connections cannot be listened on.
    #[error("peers.listen: cannot bind {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}
