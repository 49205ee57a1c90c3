//! Read-only inspection of a log, which is possible while a sender writes to it.

use std::io::ErrorKind;
use std::path::Path;

use crate::error::LogError;
use crate::log_file;
use crate::recovery::RecoveredState;

/// The contents of a log that was read without changing it.
#[derive(Default)]
pub struct LogInspection {
    /// The state that a sender starting from this log would recover.
    pub recovered: RecoveredState,
    /// Size of the file in bytes.
    pub size: u64,
}

impl LogInspection {
    /// Reads the log in a state folder. A log file that does not exist counts as empty.
    ///
    /// # Errors
    /// [`LogError::NotAFolder`] if there is no such folder, [`LogError::Read`] if its log cannot be read.
    pub fn open(folder: &Path) -> Result<LogInspection, LogError> {
        if !folder.is_dir() {
            let folder = folder.to_path_buf();
            return Err(LogError::NotAFolder { folder });
        }
        let path = log_file::path_in(folder);
        match std::fs::read(&path) {
            Ok(bytes) => Ok(LogInspection {
                recovered: RecoveredState::replay(&bytes),
                size: bytes.len() as u64,
            }),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(LogInspection::default()),
            Err(source) => Err(LogError::Read { path, source }),
        }
    }

    /// Size in bytes of the part of the file that consists of complete records.
    pub fn valid_bytes(&self) -> u64 {
        self.recovered.valid_bytes
    }
}
