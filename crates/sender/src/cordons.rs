//! Cordons: the endpoints that operators have taken out of service manually, and the file that preserves them across
//! restarts.
//!
//! An endpoint is cordoned by the name under which discovery lists it. A change takes effect only once the file has
//! been replaced. Each line of the file has its own checksum, so that a damaged line loses one cordon instead of all.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use thiserror::Error;
use tracing::error;

use crate::atomic_file;

/// The first line of the file: its type and format version.
const FILE_HEADER: &str = "mlhand1";
/// The fraction of the disk limit that the file may use, its old and its new version together. The write-ahead log
/// leaves this fraction free.
const DISK_SHARE: f64 = 0.06;
/// While the file is replaced, its old and its new version are both on disk.
const FILE_VERSIONS: f64 = 2.0;
/// Maximum length in bytes of the name of an endpoint to be cordoned: the operator's line that contains the name may
/// not be much longer.
pub const MAX_NAME_BYTES: usize = 256;

/// Why an endpoint could not be cordoned or uncordoned. The operator receives the text.
#[derive(Debug, Error)]
pub enum CordonError {
    /// The endpoint has never been listed by discovery; the name is escaped and shortened for display.
    #[error("{0} was never listed")]
    NeverListed(String),
    /// The name is longer than [`MAX_NAME_BYTES`].
    #[error("the id is over {} bytes", MAX_NAME_BYTES)]
    NameTooLong,
    /// The file would exceed its share of the disk limit.
    #[error("no room on disk for more than the {cordoned} that are out")]
    FileFull {
        /// The number of endpoints that are already cordoned.
        cordoned: usize,
    },
    /// The file could not be replaced; the cordons are unchanged.
    #[error("the ban cannot be written: {0}")]
    NotWritten(#[from] std::io::Error),
}

/// Two errors are equal if operators receive the same text.
impl PartialEq for CordonError {
    fn eq(&self, other: &CordonError) -> bool {
        self.to_string() == other.to_string()
    }
}

/// The names of the cordoned endpoints, and their file.
pub struct Cordons {
    file: PathBuf,
    max_file_bytes: usize,
    cordoned: BTreeSet<Rc<str>>,
}

impl Cordons {
    /// Reads the cordons of earlier processes from the state folder. `disk_limit` is the disk space of the whole sender
    /// in bytes.
    ///
    /// If the file cannot be read completely, this is logged, and the cordons that can be read are used.
    pub fn open(folder: &Path, disk_limit: u64) -> Cordons {
        let file = folder.join("cordons");
        let cordoned = match std::fs::read(&file) {
            Ok(bytes) => decode_file(&String::from_utf8_lossy(&bytes)),
            Err(error) => {
                if error.kind() != std::io::ErrorKind::NotFound {
                    error!(error = ?error.kind(), "cordon file unreadable");
                }
                BTreeSet::new()
            }
        };
        Cordons {
            file,
            max_file_bytes: (disk_limit as f64 * DISK_SHARE / FILE_VERSIONS) as usize,
            cordoned,
        }
    }

    /// Whether the endpoint with this name is cordoned.
    pub fn contains(&self, name: &str) -> bool {
        self.cordoned.contains(name)
    }

    /// The names of the cordoned endpoints, in order.
    #[cfg(test)]
    fn names(&self) -> impl Iterator<Item = &Rc<str>> {
        self.cordoned.iter()
    }

    /// Cordons or uncordons an endpoint, first on disk and then in memory. Returns whether this changed anything.
    ///
    /// # Errors
    /// [`CordonError::FileFull`] or [`CordonError::NotWritten`]; the cordons are unchanged.
    pub fn set_cordoned(&mut self, name: &Rc<str>, cordoned: bool) -> Result<bool, CordonError> {
        if self.contains(name) == cordoned {
            return Ok(false);
        }
        let mut changed = self.cordoned.clone();
        if cordoned {
            changed.insert(name.clone());
        } else {
            changed.remove(name);
        }
        let text = encode_file(&changed);
        // Only a new cordon needs space: an endpoint can always be uncordoned.
        if cordoned && text.len() > self.max_file_bytes {
            return Err(CordonError::FileFull {
                cordoned: self.cordoned.len(),
            });
        }
        atomic_file::replace(&self.file, text.as_bytes())?;
        self.cordoned = changed;
        Ok(true)
    }
}

fn checksum(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

fn encode_file(cordoned: &BTreeSet<Rc<str>>) -> String {
    let mut text = format!("{FILE_HEADER}\n");
    for name in cordoned {
        text.push_str(&format!("{:08x} {name}\n", checksum(name)));
    }
    text
}

/// Reads every intact line of the file, even if others are damaged, and logs the damage.
fn decode_file(text: &str) -> BTreeSet<Rc<str>> {
    let mut lines = text.lines();
    let header_known = lines.next() == Some(FILE_HEADER);
    let mut cordoned = BTreeSet::new();
    let mut damaged_lines: usize = 0;
    for line in lines {
        match decode_line(line) {
            Some(name) => _ = cordoned.insert(Rc::from(name)),
            None => damaged_lines += 1,
        }
    }
    if !header_known || damaged_lines > 0 {
        error!(
            lines = damaged_lines,
            kept = cordoned.len(),
            "cordons damaged"
        );
    }
    cordoned
}

/// The name on a line of the file, if the line's checksum is correct.
fn decode_line(line: &str) -> Option<&str> {
    let (stored_checksum, name) = line.split_once(' ')?;
    let stored_checksum = u32::from_str_radix(stored_checksum, 16).ok()?;
    (stored_checksum == checksum(name)).then_some(name)
}

#[cfg(test)]
mod tests;
