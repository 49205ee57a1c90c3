//! The log file: appends up to a size limit, and replacement by a compacted file.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use tracing::error;

use crate::error::LogError;

/// The log file's name in the state folder.
const FILE_NAME: &str = "ledger";
/// The extension of a compacted file until it is renamed to replace the log file.
const REPLACEMENT_EXTENSION: &str = "new";

/// The path of the log file in a state folder.
pub(crate) fn path_in(folder: &Path) -> PathBuf {
    folder.join(FILE_NAME)
}

/// The log file, which is not always open for writing.
#[derive(Debug)]
pub(crate) struct LogFile {
    path: PathBuf,
    /// `None` while the file is not open for writing.
    file: Option<File>,
    /// Bytes of complete records.
    size: u64,
    /// Makes every append fail after half of its bytes, as on a full disk.
    #[cfg(test)]
    pub(crate) writes_fail: bool,
}

impl LogFile {
    /// The log file in a folder, not open for writing, with this many bytes of complete records.
    pub(crate) fn closed(folder: &Path, size: u64) -> LogFile {
        LogFile {
            path: path_in(folder),
            file: None,
            size,
            #[cfg(test)]
            writes_fail: false,
        }
    }

    /// Opens the log file that an earlier process left, to append to it.
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

    pub(crate) fn set_size(&mut self, size: u64) {
        self.size = size;
    }

    /// Appends complete records. Returns false if nothing was appended, because no file is open for writing, the file
    /// would grow beyond `limit` bytes, or the write failed. After a failed write the file is cut back to its old size,
    /// as no record may follow a torn one.
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

    /// Cuts the file back to its complete records. If that fails, closes the file.
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

    /// Reads the whole file into `bytes`. A file that does not exist counts as empty. On failure, `bytes` contains what
    /// was read before the error.
    pub(crate) fn read_into(&self, bytes: &mut Vec<u8>) -> io::Result<()> {
        let read = File::open(&self.path).and_then(|mut file| file.read_to_end(bytes));
        match read {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Writes a new file and renames it to replace the old one. On failure, the old file is unchanged.
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

    /// Removes the new file that a failed or interrupted replacement left behind, if any.
    pub(crate) fn remove_replacement(&self) {
        let _ = std::fs::remove_file(self.replacement_path());
    }

    /// Cuts the existing file to its complete records and opens it for appending. If that fails, no file is open.
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
