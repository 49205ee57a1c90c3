//! Closes clients' connections. No other code does.

use tracing::debug;

use super::Ingress;
use crate::safety::{self, CloseFacts};

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::pipeline) enum CloseReason {
    /// The client has reset the connection, or closed its sending side before its request was complete.
    ClientLeft,
    /// The client has had time to read its last answer.
    Answered,
    /// The connection was idle for too long.
    Idle,
    /// The connection made room for another client.
    Evicted,
    /// The process is shutting down.
    Shutdown,
    /// No buffer was left for its answer.
    NoBuffer,
    /// The connection made room for those of the successor process.
    Replacement,
}

impl Ingress {
    /// Closes a client's connection. Closing it while the client is waiting for an answer counts as a violation.
    pub(in crate::pipeline) fn close(&mut self, index: usize, reason: CloseReason) {
        let Some(client) = self.clients.try_remove(index) else {
            return;
        };
        debug!(
            client = index,
            ?reason,
            closing = client.closing,
            unparsed = client.connection.bytes().len(),
            "client connection closed"
        );
        let facts = CloseFacts {
            answer_pending: client.has_pending_answer(),
            client_left: client.has_left(),
        };
        self.violations
            .check(safety::may_close(facts), format_args!("client {index}"));
    }

    /// Closes the connections that satisfy a condition.
    pub(super) fn close_where(
        &mut self,
        reason: CloseReason,
        condition: impl Fn(&super::Client) -> bool,
    ) {
        let indices: Vec<usize> = self
            .clients
            .iter()
            .filter(|(_, client)| condition(client))
            .map(|(index, _)| index)
            .collect();
        for index in indices {
            self.close(index, reason);
        }
    }

    /// Closes all connections before the process exits.
    pub(in crate::pipeline) fn close_all(&mut self) {
        self.close_where(CloseReason::Shutdown, |_| true);
    }
}
