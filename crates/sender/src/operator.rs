//! The connections of operators: an operator sends one line, which is one command, receives one answer, and
//! disconnects.
//!
//! [`OperatorService`] accepts connections, reads commands and sends answers; its owner determines the answers. It has
//! its own buffer pool and a fixed number of connections, so that operators use no capacity of clients or endpoints. An
//! operator that never finishes its line is disconnected when another one connects and no connection is free.

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

use crate::event_source::{Connection, EventLoopHandle, EventSource};

/// Maximum number of connections of operators. A descriptor and two buffers are reserved for each of them.
pub const MAX_OPERATOR_CONNECTIONS: usize = 12;
const BUFFERS_PER_CONNECTION: usize = 2;
/// The time within which an operator must send its line.
const LINE_TIMEOUT: Millis = 3_000.0;
/// The time for which an operator may keep its connection open after the answer.
const LINGER_TIMEOUT: Millis = 500.0;
/// Maximum number of connections accepted in one round, so that operators do not stall the event loop.
const MAX_ACCEPTS_PER_ROUND: usize = 64;
/// The pause before connections are accepted again after the process has run out of descriptors.
const ACCEPT_PAUSE: Millis = 50.0;

/// Why operators cannot be served.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The address in the setting `operator` cannot be bound.
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

struct OperatorConnection {
    connection: Connection,
    /// When the operator connected or, once it has been answered, when the answer was sent.
    state_since: Millis,
    answered: bool,
}

impl OperatorConnection {
    /// The instant at which the connection is closed if the operator has not closed it before.
    fn deadline(&self) -> Millis {
        let timeout = if self.answered {
            LINGER_TIMEOUT
        } else {
            LINE_TIMEOUT
        };
        self.state_since + timeout
    }

    fn discard_input(&mut self) {
        let unread = self.connection.bytes().len();
        self.connection.consume(unread);
    }

    /// Whether the connection has failed, or has ended without a command that awaits its answer.
    fn is_finished(&self) -> bool {
        let has_command = !self.answered && !self.connection.bytes().is_empty();
        self.connection.broken || (self.connection.eof && !has_command)
    }
}

/// The listening socket for operators, and their connections.
pub struct OperatorService {
    listener: Rc<std::net::TcpListener>,
    token: RegistrationToken,
    handle: EventLoopHandle,
    pool: BufferPool,
    connections: Slab<OperatorConnection>,
    /// When to accept connections again, if accepting is paused or not finished.
    accept_at: Option<Millis>,
}

impl OperatorService {
    /// Listens on an address.
    ///
    /// # Errors
    /// If the address cannot be bound or its socket cannot be watched.
    pub fn open(
        address: SocketAddr,
        handle: &EventLoopHandle,
    ) -> Result<OperatorService, OperatorError> {
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
            pool: BufferPool::new(BUFFERS_PER_CONNECTION * MAX_OPERATOR_CONNECTIONS),
            connections: Slab::new(),
            accept_at: None,
        })
    }

    /// Accepts connections. Returns whether there may be more to accept.
    pub fn accept(&mut self, now: Millis) -> bool {
        self.accept_at = None;
        for _ in 0..MAX_ACCEPTS_PER_ROUND {
            let error = match self.listener.accept() {
                Ok((stream, _)) => {
                    self.add_connection(stream, now);
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
            warn!(error = ?error.kind(), "accepting operators paused");
            // Frees a descriptor even if other connections of the process use most of them.
            if http::is_local_shortage(&error) {
                self.evict_connection();
            }
            self.accept_at = Some(now + ACCEPT_PAUSE);
            return false;
        }
        true
    }

    fn add_connection(&mut self, stream: std::net::TcpStream, now: Millis) {
        if self.connections.len() >= MAX_OPERATOR_CONNECTIONS {
            self.evict_connection();
        }
        let entry = self.connections.vacant_entry();
        let key = EventSource::Operator(entry.key());
        if let Ok(connection) = Connection::new(stream, &self.handle, &self.pool, key) {
            entry.insert(OperatorConnection {
                connection,
                state_since: now,
                answered: false,
            });
        }
    }

    /// Closes the oldest answered connection or, if there is none, the oldest connection: operators that do not finish
    /// their line must not keep others from connecting.
    fn evict_connection(&mut self) {
        let oldest = self.connections.iter().min_by(|(_, left), (_, right)| {
            let answered_first = right.answered.cmp(&left.answered);
            answered_first.then(left.state_since.total_cmp(&right.state_since))
        });
        if let Some((index, _)) = oldest {
            self.connections.remove(index);
        }
    }

    /// Reads from an operator. Returns the command once its line is complete; input after the command is discarded.
    pub fn read_command(&mut self, index: usize) -> Option<Result<OperatorCommand, CommandError>> {
        let operator = self.connections.get_mut(index)?;
        operator.connection.flush();
        operator.connection.receive();
        if operator.answered {
            operator.discard_input();
        }
        if operator.is_finished() {
            self.connections.remove(index);
            return None;
        }
        if operator.answered {
            return None;
        }
        OperatorCommand::parse_first_line(operator.connection.bytes(), operator.connection.eof)
    }

    /// Sends an operator the answer. Closes the connection if it has failed or the operator has closed its side, and
    /// otherwise leaves that to the operator.
    pub fn answer(&mut self, index: usize, text: &str, now: Millis) {
        let Some(operator) = self.connections.get_mut(index) else {
            return;
        };
        operator.connection.queue(text.as_bytes());
        let is_flushed = operator.connection.flush();
        let failed = !is_flushed && operator.connection.broken;
        operator.discard_input();
        if failed || (operator.connection.eof && operator.connection.is_flushed()) {
            self.connections.remove(index);
            return;
        }
        if operator.connection.is_flushed() {
            operator.connection.shutdown_write();
        }
        operator.answered = true;
        operator.state_since = now;
    }

    /// Handles a ready socket, and rejects every valid command for the given reason. Returns whether the socket belongs
    /// to this service.
    pub fn reject_commands(&mut self, source: EventSource, reason: &str, now: Millis) -> bool {
        match source {
            EventSource::OperatorListener => {
                if self.accept(now) {
                    self.accept_at = Some(now);
                }
            }
            EventSource::Operator(index) => {
                if let Some(command) = self.read_command(index) {
                    let text = match command {
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

    /// Closes connections whose deadline has passed, and accepts others if that was postponed until now.
    pub fn run_due(&mut self, now: Millis) {
        self.connections
            .retain(|_, operator| now < operator.deadline());
        if self.accept_at.is_some_and(|at| at <= now) && self.accept(now) {
            self.accept_at = Some(now);
        }
    }

    /// When [`OperatorService::run_due`] must be called next; infinity if it has nothing to do.
    pub fn next_deadline(&self) -> Millis {
        self.connections
            .iter()
            .map(|(_, operator)| operator.deadline())
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
