//! Locks in the state folder.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::Path;

/// A lock that one process holds at a time: the right to serve from a folder, or to be the next to serve. It is
/// released when its last descriptor is closed, at the latest when the last process that has one ends.
#[derive(Debug)]
pub struct Lock(File);

impl Lock {
    /// Acquires the lock with this name in a folder, without waiting. `None` if another process holds it.
    ///
    /// # Errors
    /// If the lock's file cannot be created or locked.
    pub fn try_acquire(folder: &Path, name: &str) -> io::Result<Option<Lock>> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(name))?;
        match file.try_lock() {
            Ok(()) => Ok(Some(Lock(file))),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// Creates the lock from the descriptor that another process transferred while it held the lock.
    pub fn inherited(descriptor: OwnedFd) -> Lock {
        Lock(File::from(descriptor))
    }
}

impl AsFd for Lock {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
