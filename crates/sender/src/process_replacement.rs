//! Replacement of this process by a successor, and of an earlier process by this one, without interrupting service.
//!
//! The process that serves holds the lock on its state folder and listens for a successor ([`ReplacementListener`]). A
//! process that starts while the lock is held waits for the lock, and requests the state of the process that serves
//! ([`ReplacementCandidate`]). If the lock cannot be created because the folder accepts no file, a process serves
//! without it, and can be replaced once it has acquired the lock.

mod candidate;
mod listener;
mod replaced_process;

use std::os::unix::fs::MetadataExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};

use martenlatch_clock::Millis;

pub use candidate::{CandidateError, CandidateState, POLL_INTERVAL, ReplacementCandidate};
pub use listener::ReplacementListener;
pub use replaced_process::ReplacedProcess;

/// The file name of the lock of the process that serves.
pub const SERVING_LOCK: &str = "lock";
/// How often a process that serves without the lock, as its folder failed when it started, tries the lock again.
const LOCK_RETRY_INTERVAL: Millis = 1_000.0;

/// The path of the socket that connects the processes of a state folder. It is short enough for a socket address, and
/// the inode number of the folder distinguishes it from the sockets of other folders.
fn socket_path(state_folder: &Path) -> std::io::Result<PathBuf> {
    let inode = std::fs::metadata(state_folder)?.ino();
    Ok(std::env::temp_dir().join(format!("martenlatch-{inode:x}.sock")))
}

/// Whether a process that serves from a state folder, with the lock or without it, accepts requests to take over.
pub fn is_served(state_folder: &Path) -> bool {
    socket_path(state_folder).is_ok_and(|path| UnixStream::connect(path).is_ok())
}
