//! When watches are opened, and how long they may be silent.
//!
//! A change of the endpoint list counts as delivered 6 s after discovery has it, and requests to a draining endpoint
//! must end 1 s later. The pauses here are short enough for that.

use martenlatch_clock::Millis;

use crate::jitter::Jitter;

/// The backoff after the first failure, in milliseconds. It doubles with each further one.
const MIN_BACKOFF: Millis = 100.0;
/// The limit on the backoff, in milliseconds.
pub(super) const MAX_BACKOFF: Millis = 2_000.0;
/// The factor by which the backoff grows with each failure.
const BACKOFF_GROWTH: f64 = 2.0;

/// If a list is already known, the first watches of all senders at the discovery service are spread over this time
/// multiplied by the number of senders, in milliseconds, to reduce its load.
const FIRST_WATCH_SPREAD_PER_SENDER: Millis = 60.0;
/// Above this number of senders, each sender retries less often at the discovery service, in proportion to their
/// number: the retries of many senders would keep a failed service down.
const SENDERS_WITHOUT_SLOWDOWN: f64 = 4.0;
/// The limit on the pause before a watch at the discovery service, in milliseconds, for any number of senders and
/// before jitter. Half of it applies to the first watch and to the first retry.
const MAX_SERVICE_PAUSE: Millis = 5_000.0;
/// The limit on the pause before a watch at an agent on this machine, in milliseconds and before jitter. A watch there
/// costs nothing, and a change counts as delivered as soon as the agent has it.
const MAX_AGENT_PAUSE: Millis = 400.0;

/// A watch that is silent for longer than this is lost, in milliseconds. Discovery sends an empty line every 2 s.
const SILENCE_TIMEOUT: Millis = 3_200.0;
/// The time limit for the head of an agent's response, in milliseconds: an agent responds at once or not at all.
const AGENT_RESPONSE_TIMEOUT: Millis = 1_000.0;

/// The source of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListSource {
    /// A discovery service that all senders request the list from: each watch adds to its load.
    Service,
    /// An agent on this machine, to which the list is pushed.
    LocalAgent,
}

/// Decides when watches are opened and how long they may be silent.
pub(super) struct WatchSchedule {
    source: ListSource,
    /// The number of senders that share the discovery service.
    senders: f64,
    jitter: Jitter,
    /// The pause after the next failure, in milliseconds, before it is adapted to the source.
    pub backoff: Millis,
    next_watch_at: Millis,
}

impl WatchSchedule {
    /// Creates a schedule whose first watch is due at once.
    pub fn new(source: ListSource, senders: u32, jitter: Jitter) -> WatchSchedule {
        WatchSchedule {
            source,
            senders: f64::from(senders),
            jitter,
            backoff: MIN_BACKOFF,
            next_watch_at: 0.0,
        }
    }

    /// When the next watch is to be opened, in milliseconds.
    pub fn next_watch_at(&self) -> Millis {
        self.next_watch_at
    }

    /// Delays the first watch by a random time, as a list is already known.
    pub fn delay_first_watch(&mut self, now: Millis) {
        let spread = match self.source {
            ListSource::Service => {
                (FIRST_WATCH_SPREAD_PER_SENDER * self.senders).min(MAX_SERVICE_PAUSE / 2.0)
            }
            ListSource::LocalAgent => 0.0,
        };
        self.next_watch_at = now + self.jitter.up_to(spread);
    }

    /// Schedules the next watch for an instant.
    pub fn watch_at(&mut self, at: Millis) {
        self.next_watch_at = at;
    }

    /// Schedules the next watch after one was lost or could not be opened.
    pub fn back_off(&mut self, now: Millis) {
        let (slowdown, max_pause) = match self.source {
            ListSource::Service => (
                (self.senders / SENDERS_WITHOUT_SLOWDOWN).max(1.0),
                MAX_SERVICE_PAUSE,
            ),
            ListSource::LocalAgent => (1.0, MAX_AGENT_PAUSE),
        };
        let first_failure = self.backoff <= MIN_BACKOFF;
        let max_pause = if first_failure {
            max_pause / 2.0
        } else {
            max_pause
        };
        let pause = (self.backoff * slowdown).min(max_pause);
        self.next_watch_at = now + self.jitter.around(pause);
        self.backoff = (self.backoff * BACKOFF_GROWTH).min(MAX_BACKOFF);
    }

    /// Resets the backoff, so that the next failure counts as the first one.
    pub fn reset_backoff(&mut self) {
        self.backoff = MIN_BACKOFF;
    }

    /// How long a watch may be silent, in milliseconds; `has_response` says whether the head of its response has been
    /// received.
    pub fn silence_timeout(&self, has_response: bool) -> Millis {
        match self.source {
            ListSource::LocalAgent if !has_response => AGENT_RESPONSE_TIMEOUT,
            _ => SILENCE_TIMEOUT,
        }
    }
}
