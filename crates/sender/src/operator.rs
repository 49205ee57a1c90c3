//! The address where operators call: each connection carries one line, gets one answer, and ends.
//!
//! [`OperatorService`] accepts connections and reads and answers calls; its owner decides what the answers say. It has a
//! buffer pool of its own and a fixed number of connections, so operators take no capacity from clients or endpoints,
//! and a caller that never finishes its line makes room for the next.

mod command;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

use calloop::RegistrationToken;
use martenlatch_clock::Millis;
use martenlatch_http as http;
use martenlatch_http::buffer_pool::BufferPool;
use slab::Slab;
use tracing::warn;

pub use command::{CommandError, OperatorCommand, format_answer};

use crate::event_source::{Connection, EventSource, Handle};

/// Most connections of operators at a time. Each has a descriptor and two buffers that are reserved for operators.
pub const MAX_OPERATOR_CONNECTIONS: usize = 12;
const BUFFERS_PER_CALLER: usize = 2;
/// How long a caller may take to send its line.
const LINE_TIMEOUT: Millis = 3_000.0;
/// How long a caller may keep its connection open after the answer.
const LINGER_TIMEOUT: Millis = 500.0;
/// Most connections accepted in one round, so that callers do not stall the event loop.
const MAX_ACCEPTS_PER_ROUND: usize = 64;
/// Pause before connections are accepted again after the process ran out of descriptors.
const ACCEPT_PAUSE: Millis = 50.0;

/// Why operators cannot be served.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The address of the setting `operator` cannot be listened on.
    #[error("operator: cannot bind {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The listening socket cannot be registered in the event loop.
    #[error("operator: cannot watch the socket: {0}")]
    Register(#[source] std::io::Error),
}

struct Caller {
    connection: Connection,
    /// When it connected or, once it is answered, when it was.
    since: Millis,
    answered: bool,
}

impl Caller {
    /// When its connection is closed at the latest.
    fn deadline(&self) -> Millis {
        let timeout = if self.answered {
            LINGER_TIMEOUT
        } else {
            LINE_TIMEOUT
        };
        self.since + timeout
    }

    fn discard_input(&mut self) {
        let unread = self.connection.bytes().len();
        self.connection.consume(unread);
    }

    /// Whether nothing more can come of the connection.
    fn is_gone(&self) -> bool {
        let has_call = !self.answered && !self.connection.bytes().is_empty();
        self.connection.broken || (self.connection.eof && !has_call)
    }
}

/// The listening socket, and the connections of operators.
pub struct OperatorService {
    listener: Rc<std::net::TcpListener>,
    token: RegistrationToken,
    handle: Handle,
    pool: BufferPool,
    callers: Slab<Caller>,
    /// When to accept connections again, if that is paused or not finished.
    accept_at: Option<Millis>,
}

impl OperatorService {
    /// Listens on an address.
    ///
    /// # Errors
    /// If the address cannot be bound or its socket cannot be watched.
    pub fn open(address: SocketAddr, handle: &Handle) -> Result<OperatorService, OperatorError> {
        let listener =
            crate::listen(address).map_err(|source| OperatorError::Bind { address, source })?;
        let listener = Rc::new(listener);
        let token =
            martenlatch_http::register(handle, listener.clone(), EventSource::OperatorListener)
                .map_err(OperatorError::Register)?;
        Ok(OperatorService {
            listener,
            token,
            handle: handle.clone(),
            pool: BufferPool::new(BUFFERS_PER_CALLER * MAX_OPERATOR_CONNECTIONS),
            callers: Slab::new(),
            accept_at: None,
        })
    }

    /// Accepts connections. Returns whether there may be more to accept.
    pub fn accept(&mut self, now: Millis) -> bool {
        self.accept_at = None;
        for _ in 0..MAX_ACCEPTS_PER_ROUND {
            let error = match self.listener.accept() {
                Ok((stream, _)) => {
                    self.add_caller(stream, now);
                    continue;
                }
                Err(error) => error,
            };
            if error.kind() == ErrorKind::WouldBlock {
                return false;
            }
            if http::concerns_one_connection(&error) {
                continue;
            }
            warn!(error = ?error.kind(), "operators' calls paused");
            // Whoever holds most of the descriptors, one caller that has had its time gives way.
            if http::is_local_shortage(&error) {
                self.evict_caller();
            }
            self.accept_at = Some(now + ACCEPT_PAUSE);
            return false;
        }
        true
    }

    fn add_caller(&mut self, stream: std::net::TcpStream, now: Millis) {
        if self.callers.len() >= MAX_OPERATOR_CONNECTIONS {
            self.evict_caller();
        }
        let entry = self.callers.vacant_entry();
        let key = EventSource::Operator(entry.key());
        if let Ok(connection) = Connection::new(stream, &self.handle, &self.pool, key) {
            entry.insert(Caller {
                connection,
                since: now,
                answered: false,
            });
        }
    }

    /// Closes the oldest connection that is answered or, if there is none, the oldest of all: callers that do not finish
    /// their line must not keep others out.
    fn evict_caller(&mut self) {
        let oldest = self.callers.iter().min_by(|(_, left), (_, right)| {
            let answered_first = right.answered.cmp(&left.answered);
            answered_first.then(left.since.total_cmp(&right.since))
        });
        if let Some((index, _)) = oldest {
            self.callers.remove(index);
        }
    }

    /// Reads from a caller. Returns its call once that is complete; what a caller sends behind its call is discarded.
    pub fn read_command(&mut self, index: usize) -> Option<Result<OperatorCommand, CommandError>> {
        let caller = self.callers.get_mut(index)?;
        caller.connection.flush();
        caller.connection.receive();
        if caller.answered {
            caller.discard_input();
        }
        if caller.is_gone() {
            self.callers.remove(index);
            return None;
        }
        if caller.answered {
            return None;
        }
        OperatorCommand::parse_first_line(caller.connection.bytes(), caller.connection.eof)
    }

    /// Sends a caller its answer, and closes the connection or leaves that to the caller.
    pub fn answer(&mut self, index: usize, text: &str, now: Millis) {
        let Some(caller) = self.callers.get_mut(index) else {
            return;
        };
        caller.connection.queue(text.as_bytes());
        let is_flushed = caller.connection.flush();
        let failed = !is_flushed && caller.connection.broken;
        caller.discard_input();
        if failed || (caller.connection.eof && caller.connection.is_flushed()) {
            self.callers.remove(index);
            return;
        }
        if caller.connection.is_flushed() {
            caller.connection.shutdown_write();
        }
        caller.answered = true;
        caller.since = now;
    }

    /// Handles a ready socket by answering every valid call with one reason why it cannot be served. Returns whether the
    /// socket is one of the operators'.
    pub fn reject_commands(&mut self, key: EventSource, reason: &str, now: Millis) -> bool {
        match key {
            EventSource::OperatorListener => {
                if self.accept(now) {
                    self.accept_at = Some(now);
                }
            }
            EventSource::Operator(index) => {
                if let Some(call) = self.read_command(index) {
                    let text = match call {
                        Ok(_) => format_answer(Err(reason)),
                        Err(error) => format_answer(Err(error)),
                    };
                    self.answer(index, &text, now);
                }
            }
            _ => return false,
        }
        true
    }

    /// Closes connections that are past their deadline, and accepts others if that was put off until now.
    pub fn run_due(&mut self, now: Millis) {
        self.callers.retain(|_, caller| now < caller.deadline());
        if self.accept_at.is_some_and(|at| at <= now) && self.accept(now) {
            self.accept_at = Some(now);
        }
    }

    /// When [`OperatorService::run_due`] has something to do; infinity if there is nothing.
    pub fn next_deadline(&self) -> Millis {
        self.callers
            .iter()
            .map(|(_, caller)| caller.deadline())
            .chain(self.accept_at)
            .fold(f64::INFINITY, f64::min)
    }
}

impl Drop for OperatorService {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

#[cfg(test)]
mod tests;
