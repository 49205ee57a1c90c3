//! Time limits of connections and exchanges.

use martenlatch_clock::Millis;

use super::Egress;
use super::attempt_end::EndCause;
use super::endpoint_connection::EndpointConnection;

/// The time limit for the rest of a response, in milliseconds: after its first byte was read, and again after its
/// outcome was reported.
pub(super) const RESPONSE_COMPLETION_TIMEOUT: Millis = 1_000.0;

impl Egress {
    /// The earliest instant at which [`Egress::expire_timeouts`] or [`Egress::begin_established_requests`] has
    /// something to do, in milliseconds; infinite if there is none.
    pub fn next_deadline(&self) -> Millis {
        self.connections
            .iter()
            .map(|connection| self.next_action_at(connection))
            .fold(self.record_retry_at, f64::min)
    }

    /// Writes the held-back last bytes whose delay has passed, and closes the connections that have exceeded their time
    /// limits.
    pub fn expire_timeouts(&mut self, now: Millis) {
        let due = self
            .connections
            .find_slots(|connection| self.next_action_at(connection) <= now);
        for slot in due {
            self.write_held_back_byte(slot, now);
            self.settle_if_due(slot, now);
            if self.is_expired(slot, now) && !self.read_late_response(slot, now) {
                self.end_exchange(slot, self.timeout_cause(slot), now);
            }
        }
    }

    /// Settles the latest response of an idle connection whose rest is over, unless another response has arrived.
    fn settle_if_due(&mut self, slot: usize, now: Millis) {
        let is_due = self.connections.get(slot).is_some_and(|connection| {
            let rests_until = connection.history.rests_until();
            is_idle(connection) && rests_until.is_some_and(|until| until <= now)
        });
        if !is_due {
            return;
        }
        self.advance(slot, now);
        self.settle_if_rested(slot, now);
    }

    /// The cause with which a connection at its time limit is closed. An attempt that still waits to be recorded on an
    /// established connection was not delayed by the endpoint, so it does not count as timed out.
    fn timeout_cause(&self, slot: usize) -> EndCause {
        let awaits_permission = self
            .connections
            .get(slot)
            .is_some_and(|connection| connection.socket.corked && connection.socket.is_connected());
        if awaits_permission {
            EndCause::Withdrawn
        } else {
            EndCause::TimedOut
        }
    }

    /// Writes a held-back last byte, unless the attempt has timed out: running the request would be of no use.
    fn write_held_back_byte(&mut self, slot: usize, now: Millis) {
        let due = self.connections.get(slot).is_some_and(|connection| {
            connection.held_back_byte.is_some() && self.expires_at(connection) > now
        });
        if due {
            self.advance(slot, now);
        }
    }

    fn is_expired(&self, slot: usize, now: Millis) -> bool {
        self.connections
            .get(slot)
            .is_some_and(|connection| self.expires_at(connection) <= now)
    }

    /// When a connection reaches the time limit that applies to it: of its attempt, for being established, for the rest
    /// of a response, or for being idle.
    fn expires_at(&self, connection: &EndpointConnection) -> Millis {
        match connection.attempt {
            Some(attempt) if connection.connected => attempt.deadline,
            Some(attempt) => attempt
                .deadline
                .min(connection.opened_at + self.connect_timeout),
            None if connection.remaining_response.is_some() => {
                connection.idle_since + RESPONSE_COMPLETION_TIMEOUT
            }
            None => connection.idle_since + self.idle_limit,
        }
    }

    /// When a connection must be handled even if its socket does not become ready: at its time limit, or when its
    /// held-back last byte may be written.
    fn next_action_at(&self, connection: &EndpointConnection) -> Millis {
        let release_at = connection
            .held_back_byte
            .map_or(f64::INFINITY, |held_back| held_back.release_at);
        let rests_until = connection
            .history
            .rests_until()
            .filter(|_| is_idle(connection))
            .unwrap_or(f64::INFINITY);
        self.expires_at(connection).min(release_at).min(rests_until)
    }
}

fn is_idle(connection: &EndpointConnection) -> bool {
    connection.attempt.is_none() && connection.remaining_response.is_none()
}
