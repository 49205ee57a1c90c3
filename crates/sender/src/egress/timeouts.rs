//! Time limits of connections and of the exchanges on them.

use martenlatch_clock::Millis;

use super::Egress;
use super::attempt_end::EndCause;
use super::endpoint_connection::EndpointConnection;

/// A response must be complete this long after its outcome was known, or after its first byte, in milliseconds.
pub(super) const RESPONSE_BODY_TIMEOUT: Millis = 1_000.0;

impl Egress {
    /// The earliest instant at which [`Egress::expire_timeouts`] has something to do, in milliseconds; infinite if
    /// there is none.
    pub fn next_deadline(&self) -> Millis {
        self.connections
            .iter()
            .map(|connection| self.next_action_at(connection))
            .fold(self.record_retry_at, f64::min)
    }

    /// Writes the last bytes whose delay is over, and ends what has exceeded its time limit.
    pub fn expire_timeouts(&mut self, now: Millis) {
        let due = self
            .connections
            .slots_where(|connection| self.next_action_at(connection) <= now);
        for slot in due {
            self.write_held_back_byte(slot, now);
            if self.is_expired(slot, now) && !self.read_late_response(slot, now) {
                self.end_exchange(slot, self.timeout_cause(slot), now);
            }
        }
    }

    /// An attempt that waited for its record on an established connection has not been held up by the endpoint.
    fn timeout_cause(&self, slot: usize) -> EndCause {
        let awaits_record = self.connections.get(slot).is_some_and(|connection| {
            connection.connection.corked && connection.connection.is_connected()
        });
        if awaits_record {
            EndCause::Withdrawn
        } else {
            EndCause::TimedOut
        }
    }

    /// Writes a last byte that was held back, but not of an attempt that has exceeded its time: it would run in vain.
    fn write_held_back_byte(&mut self, slot: usize, now: Millis) {
        let due = self.connections.get(slot).is_some_and(|connection| {
            connection.held_back_byte.is_some() && self.expires_at(connection) > now
        });
        if due {
            self.progress(slot, now);
        }
    }

    fn is_expired(&self, slot: usize, now: Millis) -> bool {
        self.connections
            .get(slot)
            .is_some_and(|connection| self.expires_at(connection) <= now)
    }

    /// When a connection exceeds the time limit that applies to it: for its attempt, for being established, for the
    /// rest of a response, or for being idle.
    fn expires_at(&self, connection: &EndpointConnection) -> Millis {
        match connection.attempt {
            Some(attempt) if connection.connected => attempt.deadline,
            Some(attempt) => attempt
                .deadline
                .min(connection.opened_at + self.connect_timeout),
            None if connection.remaining_response.is_some() => {
                connection.idle_since + RESPONSE_BODY_TIMEOUT
            }
            None => connection.idle_since + self.idle_limit,
        }
    }

    /// When a connection needs attention though nothing comes: at its time limit, or when a last byte may be written.
    fn next_action_at(&self, connection: &EndpointConnection) -> Millis {
        let release_at = connection
            .held_back_byte
            .map_or(f64::INFINITY, |held_back| held_back.release_at);
        self.expires_at(connection).min(release_at)
    }
}
