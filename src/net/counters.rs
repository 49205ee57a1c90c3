//! Owns the counts of what was taken in, sent and answered, and the lines of the log. It must never decide
//! anything, name a body or a key, or bring the sender down because nobody reads its log.

use std::cell::Cell;
use std::fmt;
use std::io::Write;

use super::clock::Millis;

/// Lines a second at most: a fault that repeats must not stall the loop on a full pipe.
const LINES: u32 = 100;

thread_local! {
    /// The present second, lines in it, and lines held back.
    static WRITTEN: Cell<(u64, u32, u32)> = const { Cell::new((0, 0, 0)) };
}

/// Begins a round: with a new second, lines may be written again.
pub fn round(now: Millis) {
    let (second, (at, _, held)) = ((now / 1e3) as u64, WRITTEN.get());
    if at != second {
        WRITTEN.set((second, 0, 0));
        if held > 0 {
            line(format_args!("log held back lines={held}"));
        }
    }
}

/// Writes a line of the log; one that cannot be written is dropped.
pub fn line(text: fmt::Arguments) {
    let (at, lines, held) = WRITTEN.get();
    WRITTEN.set((at, lines + 1, held + u32::from(lines >= LINES)));
    if lines < LINES {
        // One write a line, so that the lines of two writers do not mix.
        let _ = std::io::stdout().write_all(format!("{text}\n").as_bytes());
    }
}

/// A line of the log.
macro_rules! say {
    ($($part:tt)*) => { $crate::net::counters::line(format_args!($($part)*)) };
}
pub(crate) use say;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(write!(f, concat!(" ", stringify!($name), "={}"), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Client connections accepted.
    clients,
    /// Transactions taken on.
    taken,
    /// Transactions brought back from an earlier life.
    resumed,
    /// Requests that named a transaction already taken on.
    repeated,
    /// Requests answered 503.
    turned_away,
    /// Requests answered with a fault of theirs.
    bad,
    /// Clients that had left before they could hear.
    left,
    /// Routed tasks started.
    sent,
    /// Connections opened to regions.
    connections,
    /// How routed tasks ended.
    success,
    failure,
    short_on_capacity,
    timed_out,
    unreachable,
    broken,
    stale,
    withdrawn,
    not_sent,
    /// Transactions delivered.
    delivered,
    /// Transactions that a region called over.
    called_over,
    /// Notices confirmed.
    deferred,
    undeliverable,
    /// Transactions that had to be ended after their time.
    late,
    /// Rounds of the loop, turns of the decision module with actions, and the longest round in whole milliseconds.
    rounds,
    turns,
    longest_round_ms,
}
