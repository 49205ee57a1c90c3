//! Counters of this process's work since its start, for the log. The counts per class for operators are in
//! [`crate::class_metrics`].

use std::fmt;

/// Declares each counter once: as a field, and as a ` name=value` pair of the log line, in this order.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counts since the start of the process. `Display` formats them as ` name=value` pairs.
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
    /// Messages accepted: recorded and answered 202.
    accepted,
    /// Messages recovered from an earlier process of this sender.
    resumed,
    /// Of the resumed messages, those that no process had attempted yet.
    unattempted,
    /// Of the unattempted messages, those attempted since.
    unattempted_started,
    /// Of the unattempted messages, those that ended without an attempt.
    unattempted_ended,
    /// Requests with the id of a message that had been accepted before.
    duplicates,
    /// Requests answered 503.
    rejected,
    /// Requests answered with another error status: invalid ones, and those for an unknown destination.
    bad_requests,
    /// Clients that disconnected before their answer.
    clients_left,
    /// Connections opened to endpoints.
    endpoint_connections,
    /// Attempts that ended with success.
    success,
    /// Attempts that ended with a failure reported by the endpoint.
    failure,
    /// Attempts that the endpoint rejected because it was overloaded.
    overloaded,
    /// Attempts that timed out.
    timed_out,
    /// Attempts that ended because no connection could be established.
    unreachable,
    /// Attempts that ended because their connection was lost.
    connection_lost,
    /// Attempts that ended immediately because the reused connection was stale.
    stale_connection,
    /// Attempts that were cancelled.
    cancelled,
    /// Attempts that ended before any byte was sent.
    not_sent,
    /// Messages that ended because an endpoint answered 410.
    gone,
    /// Messages that were reported because an endpoint may have answered 410.
    possibly_gone,
    /// Messages that were still open well after their deadline and had to be ended by the driver.
    ended_late,
    /// Successes that arrived just before the deadline of their message or after it, so that the message was reported,
    /// too.
    late_successes,
    /// Times that an endpoint sent bytes on an idle connection, which was closed.
    surplus_responses,
    /// Responses that could have been copies of earlier ones on their connections.
    uncertain_responses,
    /// Of these, those after which another response followed, or whose connection ended too early.
    doubtful_responses,
    /// Messages that had ended by a doubtful response and were opened again.
    reopened,
    /// Messages that were reported because they might have ended by a response to another request.
    reported_in_doubt,
    /// Rounds of the event loop.
    rounds,
    /// Turns of the decision module that returned actions.
    turns,
    /// The longest round, in whole milliseconds.
    longest_round_ms,
}
