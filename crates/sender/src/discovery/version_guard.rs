//! Which updates of the endpoint list are outdated, by their versions.
//!
//! An update with an older version than the list in use is either a repetition, which must not bring back endpoints
//! that drain, or the first word of a discovery that has started again with lower versions, which must not be ignored.
//! The two are told apart by asking again: a new watch requests the whole list, and what it answers first holds.

use martenlatch_clock::Millis;

/// The shortest time between two watches that are opened because of outdated updates on open watches, in milliseconds.
const VERIFICATION_INTERVAL: Millis = 1_000.0;

/// What to do with an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VersionVerdict {
    /// Apply it.
    Apply,
    /// Ignore it for now; the list is requested again later.
    Ignore,
    /// Ignore it, and request the whole list on a new watch at once.
    Verify,
    /// It answers such a request, and is no answer. Request the whole list again after a backoff.
    VerifyLater,
}

/// Judges the updates of one watch after another.
#[derive(Debug, Default)]
pub(super) struct VersionGuard {
    /// Whether the current watch has brought no update yet.
    is_first: bool,
    /// Whether the current watch, or the next one, requests the whole list because of an outdated update.
    is_verifying: bool,
    /// When such a watch was last opened.
    verified_at: Option<Millis>,
    /// Whether an outdated update was ignored since then.
    has_ignored: bool,
}

impl VersionGuard {
    /// Notes that a watch is opened. Returns whether it must request the whole list.
    pub fn on_watch_opened(&mut self, now: Millis) -> bool {
        self.is_first = true;
        if self.is_verifying {
            self.verified_at = Some(now);
            self.has_ignored = false;
        }
        self.is_verifying
    }

    /// Judges an update with a version and, if `is_complete`, the whole list.
    pub fn judge(
        &mut self,
        version: Option<u64>,
        is_complete: bool,
        current: u64,
        now: Millis,
    ) -> VersionVerdict {
        let is_first = std::mem::replace(&mut self.is_first, false);
        let answers_request = is_first && self.is_verifying;
        let is_valid_answer = answers_request && is_complete;
        if version.is_none_or(|version| version >= current) || is_valid_answer {
            self.is_verifying = false;
            return VersionVerdict::Apply;
        }
        if !is_first && now < self.next_verification() {
            self.has_ignored = true;
            return VersionVerdict::Ignore;
        }
        self.is_verifying = true;
        if answers_request {
            VersionVerdict::VerifyLater
        } else {
            VersionVerdict::Verify
        }
    }

    /// Whether the whole list has to be requested now, because of an update that was ignored.
    pub fn verifies_now(&mut self, now: Millis) -> bool {
        let is_due = self.has_ignored && now >= self.next_verification();
        self.is_verifying |= is_due;
        is_due
    }

    /// When [`VersionGuard::verifies_now`] is true next; infinite if it need not be asked.
    pub fn deadline(&self) -> Millis {
        if self.has_ignored {
            self.next_verification()
        } else {
            f64::INFINITY
        }
    }

    fn next_verification(&self) -> Millis {
        self.verified_at
            .map_or(f64::NEG_INFINITY, |at| at + VERIFICATION_INTERVAL)
    }
}
