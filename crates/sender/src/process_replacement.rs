//! Replacement of this process by a successor, and of an earlier process by this one, without a gap in service.
//!
//! The process that serves holds the lock of its state folder and listens for a successor ([`ReplacementListener`]). A
//! process that starts while the lock is held waits for it, and requests the state of the process that serves
//! ([`ReplacementCandidate`]). Where the lock cannot be had, as the folder takes no file, a process serves without it
//! and cannot be replaced.

mod candidate;
mod listener;

use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

pub use candidate::{CandidateError, CandidateState, POLL_INTERVAL, ReplacementCandidate};
pub use listener::ReplacementListener;

/// The socket where the processes of a state folder meet. Its name is short enough for a socket's address, and the
/// folder's inode number keeps it apart from those of other folders.
fn socket_path(state_folder: &Path) -> std::io::Result<PathBuf> {
    let inode = std::fs::metadata(state_folder)?.ino();
    Ok(std::env::temp_dir().join(format!("martenlatch-{inode:x}.sock")))
}
