//! One client's connection.

use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};

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
    pub(in crate::pipeline) continued: bool,
    /// It has sent a message, or a health check, before.
    pub(in crate::pipeline) served: bool,
    /// When its request began, or its connection, or its closing.
    pub(in crate::pipeline) since: Millis,
    /// It has had its last answer, which it may still read.
    pub(in crate::pipeline) closing: bool,
    /// Bytes read, and ignored, since its last answer.
    pub(in crate::pipeline) drained: usize,
}

impl<C> Client<C> {
    /// A client that has just connected.
    pub(super) fn new(connection: C, now: Millis) -> Client<C> {
        Client {
            connection,
            awaiting_answer: false,
            close_after_answer: false,
            continued: false,
            served: false,
            since: now,
            closing: false,
            drained: 0,
        }
    }

    /// The same client with its connection in another form.
    pub(in crate::pipeline) fn with_connection<D>(&self, connection: D) -> Client<D> {
        Client {
            connection,
            awaiting_answer: self.awaiting_answer,
            close_after_answer: self.close_after_answer,
            continued: self.continued,
            served: self.served,
            since: self.since,
            closing: self.closing,
            drained: self.drained,
        }
    }
}

impl Client {
    /// Whether bytes of a request have arrived that are not consumed.
    pub(in crate::pipeline) fn has_input(&self) -> bool {
        !self.connection.bytes().is_empty()
    }

    /// Reads what has arrived. True if there may be more.
    ///
    /// The time of a request counts from its first byte, not from the end of the last request; that of the first
    /// request counts from the connection.
    pub(super) fn receive(&mut self, now: Millis) -> bool {
        self.connection.flush();
        let was_idle = !self.has_input();
        let more = self.connection.receive();
        if was_idle && self.served && !self.closing && self.has_input() {
            self.since = now;
        }
        more
    }

    /// Ignores all that has arrived.
    pub(super) fn drain(&mut self) {
        let length = self.connection.bytes().len();
        self.connection.consume(length);
        self.drained += length;
    }
}
