//! When a status report is sent, and sent again. Pure functions of instants.
//!
//! The platform counts a message as lost if it has not heard of its end 300 ms behind its deadline. A report is urgent
//! around that time: it is repeated soon, whatever has failed before. At all other times the platform is spared.

use martenlatch_clock::Millis;

/// A report is urgent from so long before its message's deadline.
const URGENT_LEAD: Millis = 50.0;
/// A report is urgent until so long after its message's deadline, or after the start of the process: the platform
/// grants a restarted sender this time.
const URGENT_SPAN: Millis = 1_500.0;

/// How long the platform may take to confirm a report that is not urgent.
pub(super) const CONFIRMATION_TIMEOUT: Millis = 1_000.0;
/// How long it may take for an urgent one that was sent once; twice as long after each further time.
const URGENT_CONFIRMATION_TIMEOUT: Millis = 40.0;

/// The backoff after a failure, which doubles with each one in a row up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Millis = 50.0;
const MAX_BACKOFF: Millis = 1_000.0;
/// The backoff while a report is urgent.
const URGENT_BACKOFF: Millis = 20.0;
/// The same after many failures in a row: the platform is down, and must not be flooded by all senders.
const LONG_URGENT_BACKOFF: Millis = 100.0;
/// FailureStreak in a row that are many.
const MANY_FAILURES: u32 = 10;

/// What the time of a report depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ReportTiming {
    /// The deadline of its message.
    pub(super) deadline: Millis,
    /// When it was sent last; none if it is on no connection.
    pub(super) sent_at: Option<Millis>,
    /// How often it was sent again because no answer came to the time before.
    pub(super) unanswered_sends: u32,
    /// Whether it was ever sent.
    pub(super) was_sent: bool,
}

/// The failures in a row, up to now.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailureStreak {
    /// How many there were since the last confirmation.
    pub(super) length: u32,
    /// When the last one was.
    pub(super) last_at: Millis,
    /// Random part of a backoff that is waited for, around 1.
    pub(super) jitter_factor: f64,
}

impl FailureStreak {
    /// No failure so far.
    pub(super) fn none() -> FailureStreak {
        FailureStreak {
            length: 0,
            last_at: f64::NEG_INFINITY,
            jitter_factor: 1.0,
        }
    }

    /// When reports may be sent again.
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

    /// It is sent, once more if it is on a connection already.
    pub(super) fn sent(&mut self, now: Millis) {
        self.unanswered_sends = match self.sent_at {
            Some(_) => self.unanswered_sends + 1,
            None => 0,
        };
        self.sent_at = Some(now);
        self.was_sent = true;
    }

    /// Whether the report is urgent, in a process that process_started at an instant.
    pub(super) fn is_urgent(&self, process_started: Millis, now: Millis) -> bool {
        now >= self.urgent_from() && now <= self.urgent_until(process_started)
    }

    /// When the report is to be sent next. In the past for one that is due.
    pub(super) fn due_at(&self, failures: &FailureStreak, process_started: Millis) -> Millis {
        let regular = self
            .repeated_at(CONFIRMATION_TIMEOUT)
            .max(failures.backoff_until(false));
        let doublings = self.unanswered_sends.min(u32::BITS / 2);
        let confirmation_timeout = URGENT_CONFIRMATION_TIMEOUT * f64::from(1_u32 << doublings);
        let urgent = self
            .repeated_at(confirmation_timeout)
            .max(failures.backoff_until(true))
            .max(self.urgent_from());
        if urgent <= self.urgent_until(process_started) {
            regular.min(urgent)
        } else {
            regular
        }
    }

    /// When a report that is not confirmed is sent again.
    fn repeated_at(&self, confirmation_timeout: Millis) -> Millis {
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
