//! Owns the counts of what happens on the way; what became of transactions is in `class_metrics`. It must never decide anything.

use std::fmt;

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
    /// Of these, without a call in any life and without an end; those called since; those ended with no call.
    untried,
    untried_called,
    untried_ended,
    /// Requests that named a transaction already taken on.
    repeated,
    /// Requests answered 503.
    turned_away,
    /// Requests answered with a fault of theirs.
    bad,
    /// Clients that had left before they could hear.
    left,
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
    /// Transactions that a region called over.
    called_over,
    /// Transactions that had to be ended after their time.
    late,
    /// Rounds of the loop, turns of the decision module with actions, and the longest round in whole milliseconds.
    rounds,
    turns,
    longest_round_ms,
}
