//! The connection of one client.

use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};

use super::closing::CloseReason;
use crate::event_source::Connection;

/// A client. When it is passed to a successor process, `C` is the snapshot of its connection. The order of the fields
/// is fixed.
#[derive(Serialize, Deserialize)]
pub struct Client<C = Connection> {
    pub(in crate::pipeline) connection: C,
    /// Its request is complete and has not been answered.
    pub(in crate::pipeline) awaiting_answer: bool,
    /// The connection is closed after its next answer.
    pub(in crate::pipeline) close_after_answer: bool,
    /// `100 Continue` has been sent for its current request.
    pub(in crate::pipeline) sent_continue: bool,
    /// It has sent a message or a health check on this connection.
    pub(in crate::pipeline) has_sent_request: bool,
    /// When its current phase began: when it connected, when its current request began, when its last request was
    /// complete, or when an answer that asked it to close the connection was queued.
    pub(in crate::pipeline) phase_started: Millis,
    /// Its last answer has been queued, and the client may still be reading it. Nothing more is read from the client.
    pub(in crate::pipeline) closing: bool,
    /// How often the sending side was shut down after the last answer: 0 or 1. It is a number because an earlier
    /// version passed a number to its successor here.
    pub(in crate::pipeline) write_shutdowns: usize,
    /// Unread bytes may have been waiting since this instant. `None` if all bytes that had arrived were read.
    #[serde(skip, default = "unknown_instant")]
    pub(super) unread_since: Option<Millis>,
    /// The bytes that were read last arrived after this instant.
    #[serde(skip, default = "long_ago")]
    pub(super) input_since: Millis,
}

/// The successor of a process does not know how long unread bytes have been waiting.
fn unknown_instant() -> Option<Millis> {
    Some(long_ago())
}

fn long_ago() -> Millis {
    f64::NEG_INFINITY
}

impl<C> Client<C> {
    /// A client that has just connected.
    pub(super) fn new(connection: C, now: Millis) -> Client<C> {
        Client {
            connection,
            awaiting_answer: false,
            close_after_answer: false,
            sent_continue: false,
            has_sent_request: false,
            phase_started: now,
            closing: false,
            write_shutdowns: 0,
            unread_since: None,
            input_since: now,
        }
    }

    /// The same client with its connection in a different form, such as a snapshot.
    pub(in crate::pipeline) fn with_connection<D>(&self, connection: D) -> Client<D> {
        Client {
            connection,
            awaiting_answer: self.awaiting_answer,
            close_after_answer: self.close_after_answer,
            sent_continue: self.sent_continue,
            has_sent_request: self.has_sent_request,
            phase_started: self.phase_started,
            closing: self.closing,
            write_shutdowns: self.write_shutdowns,
            unread_since: self.unread_since,
            input_since: self.input_since,
        }
    }
}

impl Client {
    /// Whether bytes of a request have been read that are not consumed.
    pub(in crate::pipeline) fn has_input(&self) -> bool {
        !self.connection.bytes().is_empty()
    }

    /// Whether the client is waiting for an answer to a request that has been read completely or in part, or for the
    /// unwritten rest of an answer. Its connection must not be closed before that is sent.
    pub(in crate::pipeline) fn has_pending_answer(&self) -> bool {
        self.awaiting_answer || !self.connection.is_flushed() || (self.has_input() && !self.closing)
    }

    /// Whether the client expects no answer any more: it has reset the connection, or has closed its sending side after
    /// all its complete requests were answered.
    pub(in crate::pipeline) fn has_left(&self) -> bool {
        let answered = !self.awaiting_answer && self.connection.is_flushed();
        self.connection.broken || (self.connection.eof && answered)
    }

    /// Writes an answer.
    ///
    /// A client that has closed its sending side may have left. In that case it resets the connection in reply to the
    /// first byte, which is therefore written separately: a reset after the whole answer would not show whether the
    /// client has read it.
    ///
    /// # Errors
    /// Returns the reason to close the connection if the client cannot have read the answer.
    pub(super) fn send_answer(&mut self, answer: &[u8]) -> Result<(), CloseReason> {
        let mut rest = answer;
        if self.connection.eof
            && let Some((first, others)) = answer.split_at_checked(1)
        {
            self.write(first)?;
            if self.connection.peer_reset() {
                return Err(CloseReason::ClientLeft);
            }
            rest = others;
        }
        self.write(rest)
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), CloseReason> {
        if !self.connection.queue(bytes) {
            return Err(CloseReason::NoBuffer);
        }
        self.connection.flush();
        if self.connection.broken {
            return Err(CloseReason::ClientLeft);
        }
        Ok(())
    }

    /// Reads the bytes that have arrived: after `unread_since` if bytes were left unread, otherwise after
    /// `readable_since`. Returns true if there may be more.
    pub(super) fn read(&mut self, readable_since: Millis) -> bool {
        let since = self.unread_since.unwrap_or(readable_since);
        let before = self.connection.bytes().len();
        let more = self.connection.receive();
        if self.connection.bytes().len() > before {
            self.input_since = since;
        }
        self.unread_since = more.then_some(since);
        more
    }

    /// Continues writing, and reads the bytes that have arrived. Returns true if there may be more to read.
    ///
    /// The time that a client may take for a request counts from its first byte, not from the end of the last request.
    /// For the first request, it counts from the connection.
    pub(super) fn receive(&mut self, now: Millis, readable_since: Millis) -> bool {
        self.connection.flush();
        let was_idle = !self.has_input();
        let more = self.read(readable_since);
        if was_idle && self.has_sent_request && self.has_input() {
            self.phase_started = now;
        }
        more
    }

    /// Continues closing a connection whose last answer is queued: writes the rest of the answer, then shuts the
    /// sending side down. Nothing is read: bytes that the client may have sent after its last request stay in the
    /// kernel, so that closing the connection resets it and the client knows that it may send them again.
    pub(super) fn finish_sending(&mut self) {
        if self.connection.flush() && self.connection.is_flushed() && self.write_shutdowns == 0 {
            self.connection.shutdown_write();
            self.write_shutdowns = 1;
        }
    }
}
