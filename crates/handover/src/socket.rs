//! Unix sockets at paths of any length, and the check of the user at the other end.

use std::fs::File;
use std::io::{self, ErrorKind};
use std::os::fd::AsRawFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// Length in bytes from which a path may not fit into a socket address (108 bytes on Linux).
const MAX_ADDRESS_BYTES: usize = 100;

/// Binds a listener to a path.
pub(crate) fn bind(path: &Path) -> io::Result<UnixListener> {
    let socket_path = SocketPath::new(path)?;
    UnixListener::bind(&socket_path.path)
}

/// Connects to the listener at a path.
pub(crate) fn connect(path: &Path) -> io::Result<UnixStream> {
    let socket_path = SocketPath::new(path)?;
    UnixStream::connect(&socket_path.path)
}

/// Whether the process at the other end runs as the same user.
pub(crate) fn is_same_user(stream: &UnixStream) -> bool {
    rustix::net::sockopt::socket_peercred(stream)
        .is_ok_and(|peer| peer.uid == rustix::process::geteuid())
}

/// A path that fits into a socket address.
struct SocketPath {
    path: PathBuf,
    /// The folder in a path through a descriptor; kept open while that path is used.
    _folder: Option<File>,
}

impl SocketPath {
    /// Returns the path itself or, if it is too long, a path to the same file through the descriptor of its folder.
    fn new(path: &Path) -> io::Result<SocketPath> {
        if path.as_os_str().len() < MAX_ADDRESS_BYTES {
            return Ok(SocketPath {
                path: path.to_path_buf(),
                _folder: None,
            });
        }
        let (Some(folder), Some(name)) = (path.parent(), path.file_name()) else {
            return Err(ErrorKind::InvalidInput.into());
        };
        let folder = File::open(folder)?;
        let descriptor = folder.as_raw_fd().to_string();
        Ok(SocketPath {
            path: Path::new("/proc/self/fd").join(descriptor).join(name),
            _folder: Some(folder),
        })
    }
}
