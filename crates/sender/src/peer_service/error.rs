//! The errors of opening the peer service. `Display` is the line that the user sees. It names the field, and the file
//! if there is one.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the peer service cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum PeerServiceError {
    /// The file with the shared secret cannot be read.
    #[error("peers.secret_file: {}: {source}", file.display())]
    ReadSecret {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The shared secret is too short.
    #[error("peers.secret_file: {}: the secret must have at least {min_bytes} bytes", file.display())]
    ShortSecret {
        /// The file.
        file: PathBuf,
        /// The minimum length in bytes.
        min_bytes: usize,
    },
    /// The address for datagrams and connections cannot be bound.
    #[error("peers.listen: cannot bind {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}
