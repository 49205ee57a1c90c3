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
/// Failures in a row that are many.
const MANY_FAILURES: u32 = 10;

/// What the time of a report depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ReportTiming {
    /// The deadline of its message.
    pub(super) deadline: Millis,
    /// When it was sent last; none if it is on no connection.
    pub(super) sent_at: Option<Millis>,
    /// How often it was sent again because no answer came to the time before.
    pub(super) silences: u32,
    /// Whether it was ever sent.
    pub(super) was_sent: bool,
}

/// The failures in a row, up to now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failures {
    /// How many there were since the last confirmation.
    pub(super) in_a_row: u32,
    /// When the last one was.
    pub(super) last_at: Millis,
    /// Random part of a backoff that is waited for, around 1.
    pub(super) spread: f64,
}

impl Failures {
    /// No failure so far.
    pub(super) fn none() -> Failures {
        Failures {
            in_a_row: 0,
            last_at: f64::NEG_INFINITY,
            spread: 1.0,
        }
    }

    /// When reports may be sent again.
    pub(super) fn over_at(&self, urgent: bool) -> Millis {
        self.last_at + self.backoff(urgent) * self.spread
    }

    fn backoff(&self, urgent: bool) -> Millis {
        if self.in_a_row == 0 {
            return 0.0;
        }
        if urgent && self.in_a_row < MANY_FAILURES {
            return URGENT_BACKOFF;
        }
        let doublings = (self.in_a_row - 1).min(u32::BITS / 2);
        let patient = (MIN_BACKOFF * f64::from(1_u32 << doublings)).min(MAX_BACKOFF);
        if urgent {
            patient.min(LONG_URGENT_BACKOFF)
        } else {
            patient
        }
    }
}

impl ReportTiming {
    /// A report that was never sent.
    pub(super) fn new(deadline: Millis) -> ReportTiming {
        ReportTiming {
            deadline,
            sent_at: None,
            silences: 0,
            was_sent: false,
        }
    }

    /// It is sent, once more if it is on a connection already.
    pub(super) fn sent(&mut self, now: Millis) {
        self.silences = match self.sent_at {
            Some(_) => self.silences + 1,
            None => 0,
        };
        self.sent_at = Some(now);
        self.was_sent = true;
    }

    /// Whether the report is urgent, in a process that started at an instant.
    pub(super) fn is_urgent(&self, started: Millis, now: Millis) -> bool {
        now >= self.urgent_from() && now <= self.urgent_until(started)
    }

    /// When the report is to be sent next. In the past for one that is due.
    pub(super) fn due_at(&self, failures: &Failures, started: Millis) -> Millis {
        let patient = self
            .repeated_at(CONFIRMATION_TIMEOUT)
            .max(failures.over_at(false));
        let doublings = self.silences.min(u32::BITS / 2);
        let confirmation_timeout = URGENT_CONFIRMATION_TIMEOUT * f64::from(1_u32 << doublings);
        let urgent = self
            .repeated_at(confirmation_timeout)
            .max(failures.over_at(true))
            .max(self.urgent_from());
        if urgent <= self.urgent_until(started) {
            patient.min(urgent)
        } else {
            patient
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

    fn urgent_until(&self, started: Millis) -> Millis {
        self.deadline.max(started) + URGENT_SPAN
    }
}
