//! Owns the small file in the folder that lasts in which a sender keeps its incarnation and what it has itself seen of
//! partners. It must never grow past its bound, leave a half-written file in place of a whole one, or stop a sender
//! because what it held cannot be read.

use std::path::{Path, PathBuf};

use martenlatch_clock::Millis;
use martenlatch_peers::partner_knowledge::{Digest, ReportedOutage};
use serde::{Deserialize, Serialize};
use tracing::warn;

/// Says what the file is, and in which version.
const MAGIC: &[u8; 8] = b"mlpeer1\n";

/// What an earlier life has left.
#[derive(Default, Serialize, Deserialize)]
pub struct Past {
    pub incarnation: u64,
    /// When it was written, in milliseconds of Unix time.
    at: Millis,
    pub digests: Vec<Digest>,
}

/// The file.
pub struct PeerSnapshotFile {
    file: PathBuf,
}

impl PeerSnapshotFile {
    /// Most partners that are kept.
    pub const MOST: usize = 4_096;

    /// Finds what an earlier life has left, as old as it is now. What cannot be read is said and passed over.
    pub fn open(folder: &Path, now: Millis) -> (PeerSnapshotFile, Past) {
        let file = folder.join("peers");
        let past = match std::fs::read(&file) {
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(Past::default()),
            Err(e) => Err(e.to_string()),
            Ok(bytes) => PeerSnapshotFile::read(&bytes, now).map_err(str::to_string),
        };
        let past = past.unwrap_or_else(|reason| {
            warn!(file = %file.display(), reason, "knowledge passed over");
            Past::default()
        });
        (PeerSnapshotFile { file }, past)
    }

    fn read(bytes: &[u8], now: Millis) -> Result<Past, &'static str> {
        let rest = bytes.strip_prefix(MAGIC).ok_or("not of this version")?;
        let (sum, body) = rest.split_first_chunk::<4>().ok_or("cut short")?;
        if crc32fast::hash(body).to_le_bytes() != *sum {
            return Err("damaged");
        }
        let mut past: Past = postcard::from_bytes(body).map_err(|_| "malformed")?;
        let passed = (now - past.at) as f32;
        if passed.is_nan() || passed < 0.0 {
            // The clock was put back: how old it is cannot be told.
            past.digests.clear();
        }
        for digest in &mut past.digests {
            digest.age += passed;
            if let Some(ReportedOutage::Recovering { since }) = &mut digest.outage {
                *since += passed;
            }
        }
        Ok(past)
    }

    /// Puts down what is known now.
    ///
    /// # Errors
    /// Where it cannot be written; what was there before stands.
    pub fn write(
        &mut self,
        incarnation: u64,
        at: Millis,
        digests: Vec<Digest>,
    ) -> Result<(), String> {
        let past = Past {
            incarnation,
            at,
            digests,
        };
        let body =
            postcard::to_allocvec(&past).map_err(|e| format!("{}: {e}", self.file.display()))?;
        let mut bytes = MAGIC.to_vec();
        bytes.extend(crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
        crate::atomic_file::replace(&self.file, &bytes)
            .map_err(|e| format!("{}: {e}", self.file.display()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn digest() -> Digest {
        Digest {
            age: 500.0,
            outage: Some(ReportedOutage::Recovering { since: 2_000.0 }),
            ..Digest::new(7)
        }
    }

    #[test]
    fn what_was_kept_has_aged_and_a_damaged_file_is_passed_over() {
        let folder = std::env::temp_dir().join(format!("martenlatch-kept-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let open = |now: Millis| PeerSnapshotFile::open(&folder, now);
        assert_eq!(open(1e6).1.incarnation, 0, "nothing yet");
        open(1e6).0.write(4, 1e6, vec![digest()]).unwrap();
        let past = open(1e6 + 3_000.0).1;
        assert_eq!((past.incarnation, past.digests[0].age), (4, 3_500.0));
        assert_eq!(
            past.digests[0].outage,
            Some(ReportedOutage::Recovering { since: 5_000.0 })
        );
        let past = open(1e6 - 1.0).1;
        assert_eq!(
            (past.incarnation, past.digests.len()),
            (4, 0),
            "the clock was put back"
        );
        let whole = std::fs::read(folder.join("peers")).unwrap();
        for at in 0..whole.len() {
            let mut spoilt = whole.clone();
            spoilt[at] ^= 0x20;
            std::fs::write(folder.join("peers"), &spoilt).unwrap();
            assert_eq!(open(1e6).1.incarnation, 0, "byte {at}");
            std::fs::write(folder.join("peers"), &whole[..at]).unwrap();
            assert_eq!(open(1e6).1.incarnation, 0, "cut at {at}");
        }
        let _ = std::fs::remove_dir_all(&folder);
    }
}
