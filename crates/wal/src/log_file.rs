//! The log's file: appends within a limit, and replacement by a compacted file.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use tracing::error;

use crate::error::LogError;

/// The log's name in the state folder.
const FILE_NAME: &str = "ledger";
/// The extension of a compacted file that is not yet in its place.
const REPLACEMENT_EXTENSION: &str = "new";

/// The path of the log in a state folder.
pub(crate) fn path_in(folder: &Path) -> PathBuf {
    folder.join(FILE_NAME)
}

/// The file that the log is written to, if there is one.
#[derive(Debug)]
pub(crate) struct LogFile {
    path: PathBuf,
    file: Option<File>,
    /// Bytes of complete records.
    size: u64,
    /// Every write fails as on a full disk, half of it written.
    #[cfg(test)]
    pub(crate) writes_fail: bool,
}

impl LogFile {
    /// The log of a folder, which is not open for writing.
    pub(crate) fn closed(folder: &Path, size: u64) -> LogFile {
        LogFile {
            path: path_in(folder),
            file: None,
            size,
            #[cfg(test)]
            writes_fail: false,
        }
    }

    /// The log as an earlier process has left it, to be appended to.
    pub(crate) fn reopen(folder: &Path, expected_size: u64) -> Result<LogFile, LogError> {
        let path = path_in(folder);
        let opened = OpenOptions::new()
            .write(true)
            .open(&path)
            .and_then(|mut file| Ok((file.seek(SeekFrom::End(0))?, file)));
        match opened {
            Ok((found, _)) if found != expected_size => Err(LogError::SizeChanged {
                path,
                expected: expected_size,
                found,
            }),
            Ok((size, file)) => Ok(LogFile {
                path,
                file: Some(file),
                size,
                #[cfg(test)]
                writes_fail: false,
            }),
            Err(source) => Err(LogError::Reopen { path, source }),
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.file.is_some()
    }

    /// Bytes of complete records.
    pub(crate) fn size(&self) -> u64 {
        self.size
    }

    pub(crate) fn set_size(&mut self, complete_records: u64) {
        self.size = complete_records;
    }

    /// Appends complete records. On failure the file is cut back, as a later record must not follow a torn one.
    /// Returns false if nothing was appended: no file, more than `limit` bytes, or a failed write.
    pub(crate) fn append(&mut self, records: &[u8], limit: f64) -> bool {
        let size = self.size + records.len() as u64;
        if size as f64 > limit {
            return false;
        }
        #[cfg(test)]
        let writes_fail = self.writes_fail;
        let Some(file) = self.file.as_mut() else {
            return false;
        };
        #[cfg(test)]
        if writes_fail {
            let _ = file.write_all(&records[..records.len() / 2]);
            self.undo_write();
            return false;
        }
        match file.write_all(records) {
            Ok(()) => {
                self.size = size;
                true
            }
            Err(error) => {
                error!(error = ?error.kind(), "write-ahead log unwritable");
                self.undo_write();
                false
            }
        }
    }

    /// Cuts the file back to its complete records, or gives it up.
    fn undo_write(&mut self) {
        if let Some(file) = self.file.as_mut() {
            let undone = file
                .set_len(self.size)
                .and_then(|()| file.seek(SeekFrom::Start(self.size)));
            if undone.is_err() {
                self.file = None;
            }
        }
    }

    /// Reads what earlier processes have written into `bytes`; a file that does not exist is empty. On failure `bytes`
    /// holds what could be read before it.
    pub(crate) fn read_into(&self, bytes: &mut Vec<u8>) -> io::Result<()> {
        let read = File::open(&self.path).and_then(|mut file| file.read_to_end(bytes));
        match read {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Writes a new file and puts it in the place of the old one, which stays as it is on failure.
    pub(crate) fn replace(&mut self, contents: &[u8]) -> io::Result<()> {
        let replacement = self.replacement_path();
        let mut file = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(&replacement)?;
        file.write_all(contents)?;
        std::fs::rename(&replacement, &self.path)?;
        self.file = Some(file);
        self.size = contents.len() as u64;
        Ok(())
    }

    /// Removes what a replacement that failed or was cut short has left.
    pub(crate) fn remove_replacement(&self) {
        let _ = std::fs::remove_file(self.replacement_path());
    }

    /// Opens the present file to append to it, cut to its complete records. Without success there is no file.
    pub(crate) fn continue_existing(&mut self) {
        let existing = OpenOptions::new()
            .write(true)
            .open(&self.path)
            .and_then(|mut file| {
                file.set_len(self.size)?;
                file.seek(SeekFrom::End(0))?;
                Ok(file)
            });
        self.file = existing.ok();
    }

    fn replacement_path(&self) -> PathBuf {
        self.path.with_extension(REPLACEMENT_EXTENSION)
    }
}
