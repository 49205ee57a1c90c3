//! The file in the state folder that stores a sender's incarnation and its own observations of partners.
//!
//! The file contains [`MAGIC`], a CRC-32 of the remaining bytes in little endian, and a [`PeerSnapshot`] encoded by
//! postcard. It is replaced as a whole. A file that cannot be read never prevents a sender from starting.

use std::io;
use std::path::{Path, PathBuf};

use martenlatch_clock::Millis;
use martenlatch_peers::partner_knowledge::{Digest, ReportedOutage};
use serde::{Deserialize, Serialize};
use tracing::warn;

#[cfg(test)]
mod tests;

/// The first bytes of the file, which include the version of its format.
const MAGIC: &[u8; 8] = b"mlpeer1\n";
/// The file's name in the state folder.
const FILE_NAME: &str = "peers";

/// The state that an earlier process of this sender saved.
#[derive(Default, Serialize, Deserialize)]
pub struct PeerSnapshot {
    /// The incarnation of that process.
    pub incarnation: u64,
    /// The time at which the snapshot was saved, in milliseconds of Unix time.
    saved_at: Millis,
    /// The observations of partners by that process.
    pub digests: Vec<Digest>,
}

/// Why a snapshot cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadSnapshotError {
    /// The file cannot be read.
    #[error("{0}")]
    Io(io::Error),
    /// The file does not begin with [`MAGIC`].
    #[error("the file does not have the format of this version")]
    OtherVersion,
    /// The file ends before the end of its checksum.
    #[error("the file is truncated")]
    Truncated,
    /// The checksum does not match.
    #[error("the file's checksum does not match")]
    Damaged,
    /// The checksum matches, but the content cannot be decoded.
    #[error("the file's content cannot be decoded")]
    Malformed,
}

/// Why a snapshot cannot be written.
#[derive(Debug, thiserror::Error)]
pub enum WriteSnapshotError {
    /// The snapshot cannot be encoded.
    #[error("{}: {source}", file.display())]
    Encode {
        /// The file.
        file: PathBuf,
        /// The error of the encoder.
        source: postcard::Error,
    },
    /// The file cannot be written.
    #[error("{}: {source}", file.display())]
    Io {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl PeerSnapshot {
    /// Decodes the content of a file, and ages its digests by the time since the snapshot was saved.
    fn decode(bytes: &[u8], now: Millis) -> Result<PeerSnapshot, ReadSnapshotError> {
        let rest = bytes
            .strip_prefix(MAGIC)
            .ok_or(ReadSnapshotError::OtherVersion)?;
        let (checksum, body) = rest
            .split_first_chunk::<4>()
            .ok_or(ReadSnapshotError::Truncated)?;
        if crc32fast::hash(body).to_le_bytes() != *checksum {
            return Err(ReadSnapshotError::Damaged);
        }
        let mut snapshot: PeerSnapshot =
            postcard::from_bytes(body).map_err(|_| ReadSnapshotError::Malformed)?;
        snapshot.age(now);
        Ok(snapshot)
    }

    fn age(&mut self, now: Millis) {
        let elapsed = (now - self.saved_at) as f32;
        if elapsed.is_nan() || elapsed < 0.0 {
            // The clock was set back, so the age of the digests is unknown.
            self.digests.clear();
        }
        for digest in &mut self.digests {
            digest.age += elapsed;
            if let Some(ReportedOutage::Recovering {
                elapsed: since_recovery,
            }) = &mut digest.outage
            {
                *since_recovery += elapsed;
            }
        }
    }

    fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let body = postcard::to_allocvec(self)?;
        let mut bytes = MAGIC.to_vec();
        bytes.extend(crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
        Ok(bytes)
    }
}

/// The snapshot file.
pub struct PeerSnapshotFile {
    path: PathBuf,
}

impl PeerSnapshotFile {
    /// Maximum number of digests in a snapshot.
    pub const MAX_DIGESTS: usize = 4_096;

    /// Opens the snapshot file in a folder, and reads the snapshot, aged to `now`. The snapshot is empty if the file
    /// does not exist or cannot be read; the latter is logged.
    pub fn open(folder: &Path, now: Millis) -> (PeerSnapshotFile, PeerSnapshot) {
        let path = folder.join(FILE_NAME);
        let snapshot = read(&path, now).unwrap_or_else(|error| {
            let reason = error.to_string();
            warn!(file = %path.display(), reason, "peer snapshot ignored");
            PeerSnapshot::default()
        });
        (PeerSnapshotFile { path }, snapshot)
    }

    /// Replaces the snapshot.
    ///
    /// # Errors
    /// If the file cannot be written. Its previous content remains.
    pub fn write(
        &mut self,
        incarnation: u64,
        now: Millis,
        digests: Vec<Digest>,
    ) -> Result<(), WriteSnapshotError> {
        let snapshot = PeerSnapshot {
            incarnation,
            saved_at: now,
            digests,
        };
        let bytes = snapshot
            .encode()
            .map_err(|source| WriteSnapshotError::Encode {
                file: self.path.clone(),
                source,
            })?;
        crate::atomic_file::replace(&self.path, &bytes).map_err(|source| WriteSnapshotError::Io {
            file: self.path.clone(),
            source,
        })
    }
}

fn read(path: &Path, now: Millis) -> Result<PeerSnapshot, ReadSnapshotError> {
    match std::fs::read(path) {
        Ok(bytes) => PeerSnapshot::decode(&bytes, now),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(PeerSnapshot::default()),
        Err(error) => Err(ReadSnapshotError::Io(error)),
    }
}
