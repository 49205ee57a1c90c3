//! Where and until when a message may be repeated although an attempt may have run.

use super::*;

/// Share of the idempotency window in which attempts may start. The rest is left for the way into the
/// endpoint's queue.
const IDEMPOTENCY_WINDOW_SHARE: f64 = 0.85;

/// The zones in which a message may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RepeatZones {
    /// All zones: no attempt may have run, or the zone does not matter for the message's class.
    All,
    /// The zone to which all attempts that may have run were sent.
    One(ZoneId),
    /// None: attempts in several zones may have run, or the zone of one is unknown.
    None,
}

impl Message {
    /// The attempts that may have run: they have no outcome that proves that they never ran.
    fn possible_runs(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran()))
    }

    /// Whether any attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.possible_runs().next().is_some()
    }
}

impl Policy {
    /// Whether an attempt at an endpoint is safe: it cannot take effect in addition to an earlier attempt.
    pub(super) fn may_retry_at(&self, message: &Message, endpoint: &Endpoint) -> bool {
        let in_zone = match self.repeat_zones(message) {
            RepeatZones::All => true,
            RepeatZones::One(zone) => zone == endpoint.zone,
            RepeatZones::None => false,
        };
        self.now < self.retry_deadline(message) && in_zone
    }

    /// Latest start of another attempt. If it started later, the message could take effect a second time.
    pub(super) fn retry_deadline(&self, message: &Message) -> Nanos {
        let used_part = |window: Nanos| (window as f64 * IDEMPOTENCY_WINDOW_SHARE) as Nanos;
        if self.repeat_zones(message) == RepeatZones::None {
            return 0;
        }
        let first_sent_at = message.possible_runs().map(|attempt| attempt.sent_at).min();
        match (first_sent_at, self.class_of(message).idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => Nanos::MAX,
            (_, Idempotency::NonIdempotent) => 0,
            (Some(sent_at), Idempotency::IdempotencyKey { window, .. }) => {
                sent_at + used_part(window)
            }
        }
    }

    fn repeat_zones(&self, message: &Message) -> RepeatZones {
        let idempotency = self.class_of(message).idempotency;
        if !matches!(
            idempotency,
            Idempotency::IdempotencyKey { per_zone: true, .. }
        ) {
            return RepeatZones::All;
        }
        let mut runs = message.possible_runs();
        let Some(first) = runs.next() else {
            return RepeatZones::All;
        };
        match first.zone {
            Some(zone) if runs.all(|attempt| attempt.zone == first.zone) => RepeatZones::One(zone),
            _ => RepeatZones::None,
        }
    }
}
