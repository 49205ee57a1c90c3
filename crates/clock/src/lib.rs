//! Owns the sender's time: f64 milliseconds of Unix time that never go back, and the one place where they become
//! the module's nanoseconds. It must never sleep, and nothing else in the sender may ask the system for the time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The decision module's instants and spans.
pub type Nanos = u64;

/// Milliseconds: an instant counts from the Unix epoch, so that the ledger's instants outlast the process.
pub type Millis = f64;

/// How far the wall clock may have gone on while one process gave way to another.
const FAR: Millis = 1_000.0;

/// The sender's one clock. Clones share their time.
#[derive(Clone)]
pub struct Clock(Rc<Source>);

enum Source {
    /// The wall clock at the start, and what has passed since: a step of the wall clock moves nothing.
    System(Millis, Instant),
    /// Time that a test sets.
    Set(Cell<Millis>),
}

impl Clock {
    /// The machine's time.
    pub fn system() -> Clock {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock(Rc::new(Source::System(
            wall.as_secs_f64() * 1e3,
            Instant::now(),
        )))
    }

    /// The machine's time for a process that goes on where another stood at an instant: never before that, and not far
    /// from it where the wall clock was put elsewhere meanwhile.
    pub fn restore(at: Millis) -> Clock {
        let wall = Clock::system().now();
        let wall = if (at..at + FAR).contains(&wall) {
            wall
        } else {
            at
        };
        Clock(Rc::new(Source::System(wall, Instant::now())))
    }

    /// A clock that stands still until [`Clock::set`].
    pub fn at(now: Millis) -> Clock {
        Clock(Rc::new(Source::Set(Cell::new(now))))
    }

    /// Moves a test's clock.
    pub fn set(&self, now: Millis) {
        if let Source::Set(at) = &*self.0 {
            at.set(now);
        }
    }

    /// The present instant.
    pub fn now(&self) -> Millis {
        match &*self.0 {
            Source::System(wall, start) => wall + start.elapsed().as_secs_f64() * 1e3,
            Source::Set(at) => at.get(),
        }
    }
}

/// The seam to the module: an instant or a span in its nanoseconds.
pub fn nanos(at: Millis) -> Nanos {
    (at.max(0.0) * 1e6) as Nanos
}

/// The seam from the module.
pub fn millis(at: Nanos) -> Millis {
    at as f64 / 1e6
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_set_clock_moves_only_by_hand_and_crosses_the_seam_unharmed() {
        let clock = Clock::at(1_796_121_600_000.25);
        // An f64 of Unix milliseconds is good to a quarter of a microsecond.
        assert!(nanos(clock.now()).abs_diff(1_796_121_600_000_250_000) < 500);
        clock.set(1_796_121_600_016.0);
        assert_eq!(millis(nanos(clock.now())), clock.now());
        assert_eq!(nanos(-1.0), 0);
    }
}
