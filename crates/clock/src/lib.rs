//! The sender's clock, and the conversion between its milliseconds and the decision module's nanoseconds.
//!
//! Time is Unix time that never goes back: the wall clock is read once at the start and advanced by the monotonic
//! clock from there. No other part of the sender asks the system for the time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// An instant (since the Unix epoch) or a duration of the decision module, in nanoseconds.
pub type Nanos = u64;

/// An instant or a duration in milliseconds. Instants count from the Unix epoch, so that those in the write-ahead log
/// keep their meaning after the process has ended.
pub type Millis = f64;

/// How far the wall clock may be ahead of the instant at which a predecessor process stopped and still be trusted.
/// Beyond it, the wall clock has been set forward meanwhile.
const MAX_REPLACEMENT_GAP: Millis = 1_000.0;

const MILLIS_PER_SECOND: f64 = 1e3;
const NANOS_PER_MILLI: f64 = 1e6;

/// The sender's clock. Clones share their time.
#[derive(Clone)]
pub struct Clock(Rc<Source>);

enum Source {
    /// Unix time at the start, advanced by the monotonic clock: setting the wall clock changes nothing.
    System {
        started_at: Millis,
        started: Instant,
    },
    /// Time that a test sets.
    Manual(Cell<Millis>),
}

impl Clock {
    /// The machine's time.
    pub fn system() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock::running_from(since_epoch.as_secs_f64() * MILLIS_PER_SECOND)
    }

    /// The machine's time for a process that continues one whose clock stood at `at`. Never before `at`; `at` itself if
    /// the wall clock was set back, or forward by `MAX_REPLACEMENT_GAP` or more.
    pub fn restore(at: Millis) -> Clock {
        let wall = Clock::system().now();
        let is_plausible = (at..at + MAX_REPLACEMENT_GAP).contains(&wall);
        Clock::running_from(if is_plausible { wall } else { at })
    }

    fn running_from(started_at: Millis) -> Clock {
        Clock(Rc::new(Source::System {
            started_at,
            started: Instant::now(),
        }))
    }

    /// A clock for tests that stands still until [`Clock::set`].
    pub fn at(now: Millis) -> Clock {
        Clock(Rc::new(Source::Manual(Cell::new(now))))
    }

    /// Moves a clock made by [`Clock::at`]; does nothing to others.
    pub fn set(&self, now: Millis) {
        if let Source::Manual(time) = &*self.0 {
            time.set(now);
        }
    }

    /// The present instant.
    pub fn now(&self) -> Millis {
        match &*self.0 {
            Source::System {
                started_at,
                started,
            } => started_at + started.elapsed().as_secs_f64() * MILLIS_PER_SECOND,
            Source::Manual(time) => time.get(),
        }
    }
}

/// Converts an instant or a duration for the decision module; negative ones become 0.
pub fn nanos(time: Millis) -> Nanos {
    (time.max(0.0) * NANOS_PER_MILLI) as Nanos
}

/// Converts an instant or a duration of the decision module.
pub fn millis(time: Nanos) -> Millis {
    time as f64 / NANOS_PER_MILLI
}

#[cfg(test)]
mod tests;
