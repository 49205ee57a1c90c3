//! One client's connection.

use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};

use super::closing::CloseReason;
use crate::event_source::Connection;

/// A client. Passed to a successor, `C` is the connection's snapshot: the order of the fields is fixed.
#[derive(Serialize, Deserialize)]
pub struct Client<C = Connection> {
    pub(in crate::pipeline) connection: C,
    /// Its request is being decided on.
    pub(in crate::pipeline) awaiting_answer: bool,
    /// Its next answer is the last one on this connection.
    pub(in crate::pipeline) close_after_answer: bool,
    /// It has been sent `100 Continue` for this request.
    pub(in crate::pipeline) sent_continue: bool,
    /// It has sent a message, or a health check, before.
    pub(in crate::pipeline) has_sent_request: bool,
    /// When its request began, or its connection, or its closing.
    pub(in crate::pipeline) phase_started: Millis,
    /// It has been given its last answer, which it may still read. Nothing more is read from it.
    pub(in crate::pipeline) closing: bool,
    /// How often the sending side was shut down behind the last answer: 0 or 1. A number, because an earlier version
    /// passed a number to its successor here.
    pub(in crate::pipeline) write_shutdowns: usize,
    /// Bytes may wait unread since this instant; none if all that had come was read.
    #[serde(skip, default = "unknown_instant")]
    pub(super) unread_since: Option<Millis>,
    /// What was read last came after this instant.
    #[serde(skip, default = "long_ago")]
    pub(super) input_since: Millis,
}

/// The successor of a process does not know how long bytes have waited.
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

    /// The same client with its connection in another form.
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
    /// Whether bytes of a request have arrived that are not consumed.
    pub(in crate::pipeline) fn has_input(&self) -> bool {
        !self.connection.bytes().is_empty()
    }

    /// Whether the client is owed something: the answer to a request that has been read, wholly or in part, or the rest
    /// of an answer that is not written yet. Its connection must not be closed before.
    pub(in crate::pipeline) fn has_pending_answer(&self) -> bool {
        self.awaiting_answer || !self.connection.is_flushed() || (self.has_input() && !self.closing)
    }

    /// Whether no answer can reach the client any more: it has reset the connection, or it has ended its sending
    /// before its request was complete.
    pub(in crate::pipeline) fn has_left(&self) -> bool {
        let answered = !self.awaiting_answer && self.connection.is_flushed();
        self.connection.broken || (self.connection.eof && answered)
    }

    /// Writes an answer.
    ///
    /// A client that has ended its sending may have left; it resets the connection in reply to the first byte then,
    /// which is therefore written alone. Behind the whole answer, a reset would not tell whether the client has read
    /// it.
    ///
    /// # Errors
    /// Why the connection has to be closed, where the client cannot have read the answer.
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

    /// Reads what has arrived, since an instant unless it waits for longer. True if there may be more.
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

    /// Reads what has arrived, and goes on writing. True if there may be more to read.
    ///
    /// The time that a client may take for a request counts from its first byte, not from the end of the last request;
    /// that of the first request counts from the connection.
    pub(super) fn receive(&mut self, now: Millis, readable_since: Millis) -> bool {
        self.connection.flush();
        let was_idle = !self.has_input();
        let more = self.read(readable_since);
        if was_idle && self.has_sent_request && self.has_input() {
            self.phase_started = now;
        }
        more
    }

    /// Goes on with the end of a connection whose last answer is queued: writes the rest of the answer, and shuts the
    /// sending side down behind it. Nothing is read: what the client may have sent behind its last request stays in
    /// the kernel, so that closing the connection resets it, and the client knows that it may send that again.
    pub(super) fn finish_sending(&mut self) {
        if self.connection.flush() && self.connection.is_flushed() && self.write_shutdowns == 0 {
            self.connection.shutdown_write();
            self.write_shutdowns = 1;
        }
    }
}
