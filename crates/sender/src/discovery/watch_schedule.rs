//! When watches are opened, and how long they may be silent.
//!
//! A change of the endpoint list counts as delivered 6 s after discovery has it, and requests to an endpoint that is
//! draining must end 1 s later. The pauses here keep within that.

use martenlatch_clock::Millis;

use crate::jitter::Jitter;

/// The pause after the first failure, in milliseconds; it doubles with each further one.
const MIN_BACKOFF: Millis = 100.0;
/// The longest backoff, in milliseconds.
pub const MAX_BACKOFF: Millis = 2_000.0;
/// How the backoff grows with each failure.
const BACKOFF_GROWTH: f64 = 2.0;

/// The discovery service is spared while a list is known already: first watches are spread over this long for each
/// sender there is, in milliseconds.
const FIRST_WATCH_SPREAD_PER_SENDER: Millis = 60.0;
/// From this many senders on, each retries at the discovery service less often, in proportion: a crowd that retries
/// would keep it down.
const SENDERS_WITHOUT_SLOWDOWN: f64 = 4.0;
/// The longest pause at the discovery service, in milliseconds, however many senders there are. The first watch, and
/// the first retry, come within half of that.
const MAX_SERVICE_PAUSE: Millis = 5_000.0;
/// The longest pause at an agent on this machine, in milliseconds. It costs nothing to ask, and what it has counts as
/// delivered at once.
const MAX_AGENT_PAUSE: Millis = 400.0;

/// A watch that is silent for this long has been lost, in milliseconds. Discovery sends an empty line every 2 s.
const SILENCE_TIMEOUT: Millis = 3_200.0;
/// An agent answers at once: one that has not begun to after this long, in milliseconds, does not answer at all.
const AGENT_RESPONSE_TIMEOUT: Millis = 1_000.0;

/// Where the endpoint list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// A discovery service that all senders ask for the list: each watch costs it something.
    Service,
    /// An agent on this machine, to which the list is pushed.
    LocalAgent,
}

/// Decides when the next watch is opened.
pub struct WatchSchedule {
    source: ListSource,
    /// How many senders share the discovery service.
    senders: f64,
    jitter: Jitter,
    /// The pause after the next failure, in milliseconds, before it is adapted to the source.
    pub backoff: Millis,
    next_attempt: Millis,
}

impl WatchSchedule {
    /// A schedule in which the first watch is due at once.
    pub fn new(source: ListSource, senders: u32, jitter: Jitter) -> WatchSchedule {
        WatchSchedule {
            source,
            senders: f64::from(senders),
            jitter,
            backoff: MIN_BACKOFF,
            next_attempt: 0.0,
        }
    }

    /// When the next watch is to be opened, in milliseconds.
    pub fn next_attempt(&self) -> Millis {
        self.next_attempt
    }

    /// Spreads the first watch, as a list is known already.
    pub fn delay_first_watch(&mut self, now: Millis) {
        let spread = match self.source {
            ListSource::Service => {
                (FIRST_WATCH_SPREAD_PER_SENDER * self.senders).min(MAX_SERVICE_PAUSE / 2.0)
            }
            ListSource::LocalAgent => 0.0,
        };
        self.next_attempt = now + self.jitter.up_to(spread);
    }

    /// A watch was lost or could not be opened: pauses before the next one.
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
        self.next_attempt = now + self.jitter.around(pause);
        self.backoff = (self.backoff * BACKOFF_GROWTH).min(MAX_BACKOFF);
    }

    /// A watch has brought something: the next failure is a first one again.
    pub fn reset_backoff(&mut self) {
        self.backoff = MIN_BACKOFF;
    }

    /// How long a watch may be silent, in milliseconds.
    pub fn silence_timeout(&self, has_response: bool) -> Millis {
        match self.source {
            ListSource::LocalAgent if !has_response => AGENT_RESPONSE_TIMEOUT,
            _ => SILENCE_TIMEOUT,
        }
    }
}
