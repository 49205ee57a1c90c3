//! The sender's clock, and the conversion between its milliseconds and the decision module's nanoseconds.
//!
//! Time is Unix time that never goes back. The first process of a state folder reads the wall clock once. From then on
//! the clock advances by the time that has passed, even across restarts ([`ClockHistory`]): setting the wall clock
//! changes nothing. No other part of the sender asks the system for the time.

mod clock_history;

pub use clock_history::{Anchor, BootId, ClockHistory, ClockReading, ClockStart};

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// An instant (since the Unix epoch) or a duration in the decision module, in nanoseconds.
pub type Nanos = u64;

/// An instant or a duration in milliseconds. Instants count from the Unix epoch, so that those in the write-ahead log
/// are still meaningful after the process has ended.
pub type Millis = f64;

/// How far a clock that is not continuous may be ahead of the instant at which a predecessor process stopped and still
/// be trusted. If it is further ahead, the wall clock has been set forward in the meantime.
const MAX_REPLACEMENT_GAP: Millis = 1_000.0;

const MILLIS_PER_SECOND: f64 = 1e3;
const NANOS_PER_MILLI: f64 = 1e6;

/// The sender's clock. Clones share their time.
#[derive(Clone)]
pub struct Clock(Rc<Source>);

enum Source {
    /// The instant of the start, advanced by the monotonic clock.
    System {
        start: ClockStart,
        started: Instant,
        boot: Option<BootId>,
        since_boot: Millis,
    },
    /// Time that a test sets.
    Manual(Cell<Millis>),
}

impl Clock {
    /// The clock of the first process of a state folder.
    pub fn system() -> Clock {
        Clock::continuing(&ClockHistory::default())
    }

    /// The clock of a process that continues the clock of earlier ones.
    pub fn continuing(history: &ClockHistory) -> Clock {
        let reading = ClockReading::read();
        Clock::running_from(history.continue_with(&reading), &reading)
    }

    /// The clock of a process that takes over from one whose clock has reached `predecessor_now`. It never starts
    /// before `predecessor_now`. If this clock is not continuous, its time is used only if it is ahead of
    /// `predecessor_now` by less than `MAX_REPLACEMENT_GAP`; otherwise the new clock starts at `predecessor_now`.
    pub fn taking_over(&self, predecessor_now: Millis) -> Clock {
        let reading = ClockReading::read();
        let now = self.now();
        let is_plausible = (predecessor_now..predecessor_now + MAX_REPLACEMENT_GAP).contains(&now);
        let is_trusted = self.is_continuous() || is_plausible;
        let start = ClockStart {
            instant: if is_trusted {
                now.max(predecessor_now)
            } else {
                predecessor_now
            },
            is_continuous: true,
        };
        Clock::running_from(start, &reading)
    }

    fn running_from(start: ClockStart, reading: &ClockReading) -> Clock {
        Clock(Rc::new(Source::System {
            start,
            started: Instant::now(),
            boot: reading.boot,
            since_boot: reading.since_boot,
        }))
    }

    /// Whether the difference between an instant of an earlier process and one of this process is the time that has
    /// passed.
    pub fn is_continuous(&self) -> bool {
        match &*self.0 {
            Source::System { start, .. } => start.is_continuous,
            Source::Manual(_) => true,
        }
    }

    /// The anchor that the next process needs to continue this clock. `None` if the system does not identify its boots,
    /// and for clocks of tests.
    pub fn anchor(&self) -> Option<Anchor> {
        match &*self.0 {
            Source::System {
                start,
                boot,
                since_boot,
                ..
            } => boot.map(|boot| Anchor {
                boot,
                since_boot: *since_boot,
                clock: start.instant,
            }),
            Source::Manual(_) => None,
        }
    }

    /// A clock for tests, whose time changes only with [`Clock::set`].
    pub fn manual(now: Millis) -> Clock {
        Clock(Rc::new(Source::Manual(Cell::new(now))))
    }

    /// Sets the time of a clock made by [`Clock::manual`]; has no effect on other clocks.
    pub fn set(&self, now: Millis) {
        if let Source::Manual(time) = &*self.0 {
            time.set(now);
        }
    }

    /// The current instant.
    pub fn now(&self) -> Millis {
        match &*self.0 {
            Source::System { start, started, .. } => {
                start.instant + started.elapsed().as_secs_f64() * MILLIS_PER_SECOND
            }
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
