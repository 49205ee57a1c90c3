//! Saves this sender's incarnation and own observations periodically, and restores those of an earlier process.

use std::path::Path;

use martenlatch_clock::Millis;
use martenlatch_peers::partner_knowledge::{Bounds, Digest, PartnerKnowledge};
use tracing::warn;

use super::gossip::{ObservationCursor, OwnObservations};
use crate::peer_snapshot::{PeerSnapshot, PeerSnapshotFile};

/// The time between the saves of two snapshots.
const SAVE_INTERVAL: Millis = 10_000.0;
/// The reporter name for observations by an earlier process of this sender.
const EARLIER_PROCESS: &str = "before";

/// A snapshot that is being gathered, with one page of digests in each round of the event loop.
#[derive(Default)]
struct Gathering {
    cursor: Option<ObservationCursor>,
    digests: Vec<Digest>,
}

/// Saves snapshots periodically.
pub(super) struct SnapshotWriter {
    file: PeerSnapshotFile,
    /// Whether observations are saved and restored. The incarnation always is.
    keeps_observations: bool,
    gathering: Option<Gathering>,
    next_save: Millis,
}

impl SnapshotWriter {
    /// Opens the snapshot file in a folder, and reads the snapshot of an earlier process from it.
    pub(super) fn open(
        folder: &Path,
        keeps_observations: bool,
        now: Millis,
    ) -> (SnapshotWriter, PeerSnapshot) {
        let (file, snapshot) = PeerSnapshotFile::open(folder, now);
        let writer = SnapshotWriter {
            file,
            keeps_observations,
            gathering: None,
            next_save: now + SAVE_INTERVAL,
        };
        (writer, snapshot)
    }

    /// The knowledge of partners in the snapshot of an earlier process.
    pub(super) fn restore(
        &self,
        snapshot: &PeerSnapshot,
        now: Millis,
        bounds: &Bounds,
    ) -> PartnerKnowledge {
        let mut knowledge = PartnerKnowledge::default();
        if self.keeps_observations {
            for digest in &snapshot.digests {
                knowledge.add_digest(EARLIER_PROCESS, digest, now, bounds);
            }
            // A Retry-After that the earlier process received does not bind this process.
            knowledge.clear_retry_after();
        }
        knowledge
    }

    /// Starts a new incarnation, and saves it before any other member sees it. If it cannot be saved, the next process
    /// may start with an incarnation that other members know already, and raises it when they report that.
    pub(super) fn begin_incarnation(&mut self, snapshot: PeerSnapshot, now: Millis) -> u64 {
        let incarnation = snapshot.incarnation + 1;
        self.save(incarnation, snapshot.digests, now);
        incarnation
    }

    /// Whether a snapshot is being gathered.
    pub(super) fn is_gathering(&self) -> bool {
        self.gathering.is_some()
    }

    /// Lets the next [`SnapshotWriter::run_due`] begin to save a snapshot.
    pub(super) fn save_soon(&mut self) {
        self.next_save = 0.0;
    }

    /// Gathers the next page of a snapshot that is due, and saves the snapshot once it is complete.
    pub(super) fn run_due(&mut self, observed: OwnObservations, incarnation: u64, now: Millis) {
        if !self.keeps_observations || (self.gathering.is_none() && now < self.next_save) {
            return;
        }
        let mut gathering = self.gathering.take().unwrap_or_default();
        let page = observed.digests(gathering.cursor, now);
        gathering.digests.extend(page.digests);
        if page.next.is_some() && gathering.digests.len() < PeerSnapshotFile::MAX_DIGESTS {
            gathering.cursor = page.next;
            self.gathering = Some(gathering);
            return;
        }
        self.next_save = now + SAVE_INTERVAL;
        self.save(incarnation, gathering.digests, now);
    }

    fn save(&mut self, incarnation: u64, digests: Vec<Digest>, now: Millis) {
        if let Err(error) = self.file.write(incarnation, now, digests) {
            let reason = error.to_string();
            warn!(reason, "peer snapshot not saved");
        }
    }
}
