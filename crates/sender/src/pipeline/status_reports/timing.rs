//! When a status report is sent and repeated, as pure functions of instants.
//!
//! The platform counts a message as lost if it has received no final status by 300 ms after the deadline. A report is
//! urgent around that time: it is repeated soon, whatever has failed before. At all other times it is repeated slowly,
//! to reduce the load on the platform.

use martenlatch_clock::Millis;

/// How long before its message's deadline a report becomes urgent.
const URGENT_LEAD: Millis = 50.0;
/// How long after its message's deadline, or after the start of the process if that is later, a report remains urgent:
/// the platform grants a restarted sender this time.
const URGENT_SPAN: Millis = 1_500.0;

/// How long the platform may take to confirm a report that is not urgent.
pub(super) const CONFIRMATION_TIMEOUT: Millis = 1_000.0;
/// The same for a report that was sent once; doubles each time it is sent again, up to [`CONFIRMATION_TIMEOUT`]. Unequal
/// times do not meet a platform that is silent at equal intervals in the same silence again and again.
const FIRST_CONFIRMATION_TIMEOUT: Millis = 300.0;
/// How long the platform may take to confirm an urgent report that was sent once. Doubles each time the report is sent
/// again.
const URGENT_CONFIRMATION_TIMEOUT: Millis = 40.0;

/// The backoff after the first failure. Doubles with each further failure in a row, up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Millis = 50.0;
const MAX_BACKOFF: Millis = 1_000.0;
/// The backoff of an urgent report.
const URGENT_BACKOFF: Millis = 20.0;
/// The longest backoff of an urgent report after [`MANY_FAILURES`]: the platform is down, and all senders together must
/// not flood it.
const LONG_URGENT_BACKOFF: Millis = 100.0;
/// The number of failures in a row after which an urgent report backs off for longer.
const MANY_FAILURES: u32 = 10;

/// The state of one report that determines when it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ReportTiming {
    /// The deadline of its message.
    pub(super) deadline: Millis,
    /// When it was last sent, or `None` if it is on no connection.
    pub(super) sent_at: Option<Millis>,
    /// How often it was sent again because the platform had not answered the previous send.
    pub(super) unanswered_sends: u32,
    /// Whether it was ever sent.
    pub(super) was_sent: bool,
}

/// The current sequence of failures without a confirmation between them.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailureStreak {
    /// The number of failures since the last confirmation.
    pub(super) length: u32,
    /// When the last failure occurred.
    pub(super) last_at: Millis,
    /// Random factor around 1 by which the backoff is multiplied.
    pub(super) jitter_factor: f64,
}

impl FailureStreak {
    /// No failure since the last confirmation.
    pub(super) fn none() -> FailureStreak {
        FailureStreak {
            length: 0,
            last_at: f64::NEG_INFINITY,
            jitter_factor: 1.0,
        }
    }

    /// When reports may be sent again after the last failure.
    pub(super) fn backoff_until(&self, urgent: bool) -> Millis {
        self.last_at + self.backoff(urgent) * self.jitter_factor
    }

    fn backoff(&self, urgent: bool) -> Millis {
        if self.length == 0 {
            return 0.0;
        }
        if urgent && self.length < MANY_FAILURES {
            return URGENT_BACKOFF;
        }
        let doublings = (self.length - 1).min(u32::BITS / 2);
        let regular = (MIN_BACKOFF * f64::from(1_u32 << doublings)).min(MAX_BACKOFF);
        if urgent {
            regular.min(LONG_URGENT_BACKOFF)
        } else {
            regular
        }
    }
}

impl ReportTiming {
    /// A report that was never sent.
    pub(super) fn new(deadline: Millis) -> ReportTiming {
        ReportTiming {
            deadline,
            sent_at: None,
            unanswered_sends: 0,
            was_sent: false,
        }
    }

    /// Notes that the report was sent, possibly while it was already on a connection.
    pub(super) fn mark_sent(&mut self, now: Millis) {
        self.unanswered_sends = match self.sent_at {
            Some(_) => self.unanswered_sends + 1,
            None => 0,
        };
        self.sent_at = Some(now);
        self.was_sent = true;
    }

    /// Whether the report is urgent.
    pub(super) fn is_urgent(&self, process_started: Millis, now: Millis) -> bool {
        now >= self.urgent_from() && now <= self.urgent_until(process_started)
    }

    /// When the report is due to be sent next. In the past if it is due already.
    pub(super) fn due_at(&self, failures: &FailureStreak, process_started: Millis) -> Millis {
        let doublings = self.unanswered_sends.min(u32::BITS / 2);
        let growth = f64::from(1_u32 << doublings);
        let regular_timeout = (FIRST_CONFIRMATION_TIMEOUT * growth).min(CONFIRMATION_TIMEOUT);
        let regular = self
            .repeat_at(regular_timeout)
            .max(failures.backoff_until(false));
        let urgent = self
            .repeat_at(URGENT_CONFIRMATION_TIMEOUT * growth)
            .max(failures.backoff_until(true))
            .max(self.urgent_from());
        if urgent <= self.urgent_until(process_started) {
            regular.min(urgent)
        } else {
            regular
        }
    }

    /// When the report is sent again if it is not confirmed within a timeout.
    fn repeat_at(&self, confirmation_timeout: Millis) -> Millis {
        self.sent_at
            .map_or(f64::NEG_INFINITY, |sent_at| sent_at + confirmation_timeout)
    }

    fn urgent_from(&self) -> Millis {
        self.deadline - URGENT_LEAD
    }

    fn urgent_until(&self, process_started: Millis) -> Millis {
        self.deadline.max(process_started) + URGENT_SPAN
    }
}
