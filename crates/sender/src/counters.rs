//! Counters of what this process has done since its start, for the log. The counts per class that operators read are
//! in [`crate::class_metrics`].

use std::fmt;

/// Declares the counters once: as fields, and as the ` name=value` pairs of the log line, in this order.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counts since the start of the process. `Display` gives them as ` name=value` pairs.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(write!(formatter, concat!(" ", stringify!($name), "={}"), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Client connections accepted.
    client_connections,
    /// Messages accepted: answered 202 and held.
    accepted,
    /// Messages recovered from an earlier process of this sender.
    resumed,
    /// Of the resumed messages, those that no process had attempted yet.
    unattempted,
    /// Of the unattempted messages, those attempted since.
    unattempted_started,
    /// Of the unattempted messages, those that ended without any attempt.
    unattempted_ended,
    /// Requests whose id is that of a message accepted before.
    duplicates,
    /// Requests answered 503.
    rejected,
    /// Requests answered with another error status.
    bad_requests,
    /// Clients that disconnected before their answer.
    clients_left,
    /// Connections opened to endpoints.
    endpoint_connections,
    /// Attempts that ended with success.
    success,
    /// Attempts that ended with a failure that the endpoint reported.
    failure,
    /// Attempts that ended with an overloaded response.
    overloaded,
    /// Attempts that ended by their timeout.
    timed_out,
    /// Attempts that ended because no connection came up.
    unreachable,
    /// Attempts that ended because their connection was lost.
    connection_lost,
    /// Attempts that ended at once because a reused connection was stale.
    stale_connection,
    /// Attempts that were cancelled.
    cancelled,
    /// Attempts that ended before a byte was sent.
    not_sent,
    /// Messages that an endpoint ended by answering 410.
    gone,
    /// Messages that had to be ended after their deadline.
    ended_late,
    /// Successes that came as the time of their message ran out, or behind it: the message was reported, too.
    late_successes,
    /// Rounds of the event loop.
    rounds,
    /// Turns of the decision module that returned actions.
    turns,
    /// The longest round, in whole milliseconds.
    longest_round_ms,
}
