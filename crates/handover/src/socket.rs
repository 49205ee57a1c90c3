//! Unix sockets: names for paths of any length, and the check who is at the other end.

use std::fs::File;
use std::io::{self, ErrorKind};
use std::os::fd::AsRawFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// Paths of this length or more do not surely fit into a socket's address (108 bytes on Linux).
const MAX_ADDRESS_LENGTH: usize = 100;

/// Binds a listener to a path.
pub(crate) fn bind(path: &Path) -> io::Result<UnixListener> {
    let address = Address::of(path)?;
    UnixListener::bind(&address.path)
}

/// Connects to the listener at a path.
pub(crate) fn connect(path: &Path) -> io::Result<UnixStream> {
    let address = Address::of(path)?;
    UnixStream::connect(&address.path)
}

/// Whether the process at the other end belongs to the same user.
pub(crate) fn is_same_user(stream: &UnixStream) -> bool {
    rustix::net::sockopt::socket_peercred(stream)
        .is_ok_and(|peer| peer.uid == rustix::process::geteuid())
}

/// A path that fits into a socket's address.
struct Address {
    path: PathBuf,
    /// Kept open while a path through its descriptor is in use.
    _folder: Option<File>,
}

impl Address {
    /// The path itself, or for a long one the same file by way of its folder's descriptor.
    fn of(path: &Path) -> io::Result<Address> {
        if path.as_os_str().len() < MAX_ADDRESS_LENGTH {
            return Ok(Address {
                path: path.to_path_buf(),
                _folder: None,
            });
        }
        let (Some(folder), Some(name)) = (path.parent(), path.file_name()) else {
            return Err(ErrorKind::InvalidInput.into());
        };
        let folder = File::open(folder)?;
        let descriptor = folder.as_raw_fd().to_string();
        Ok(Address {
            path: Path::new("/proc/self/fd").join(descriptor).join(name),
            _folder: Some(folder),
        })
    }
}
