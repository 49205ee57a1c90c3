//! Ingress: accepts the connections of clients, reads their requests and writes their answers.
//!
//! Every client gets an answer, or its connection is closed, within the time that the program's settings grant it.
//! Whether a message is accepted is decided in [`super::admission`].

mod accept;
mod answers;
mod client;
mod closing;
mod eviction;
mod receive;
mod request;
mod sweep;

use std::net::TcpListener;
use std::rc::Rc;

use martenlatch_clock::Millis;
use martenlatch_http as http;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_settings::program::ClientTimeouts;
use slab::Slab;

use crate::error::SenderError;
use crate::event_source::{EventLoopHandle, EventSource};
use crate::jitter::Jitter;
use crate::safety::ViolationCounter;

pub use client::Client;
pub(super) use eviction::NEWCOMER_GRACE;
pub use request::IncomingMessage;

/// Each connection has an input and an output buffer.
const BUFFERS_PER_CLIENT: usize = 2;

/// The properties of a message class that ingress needs.
pub(super) struct IngressClass {
    /// The first part of the request's path.
    pub(super) name: String,
    /// Messages must have an idempotency key: without one, a message that is sent twice would take effect twice.
    pub(super) requires_idempotency_key: bool,
}

/// The limits on clients.
pub(super) struct ClientLimits {
    /// The largest number of connections, not counting those that have received their last answer.
    pub(super) max_clients: usize,
    /// How long a client may take for a request, and how long it may be idle between two requests. For the first
    /// request, the time counts from the connection.
    pub(super) timeouts: ClientTimeouts,
    /// The longest Retry-After that clients follow. `None` if they follow none.
    pub(super) max_retry_after: Option<Millis>,
}

/// The connections of clients.
pub struct Ingress {
    /// `None` once no more connections are accepted.
    pub(super) listener: Option<Rc<TcpListener>>,
    registration: Option<calloop::RegistrationToken>,
    pub(super) handle: EventLoopHandle,
    pub(super) pool: BufferPool,
    pub(super) clients: Slab<Client>,
    pub(super) limits: ClientLimits,
    classes: Vec<IngressClass>,
    next_sweep: Millis,
    /// When to accept again after an error, such as a shortage of descriptors.
    pub(super) accept_retry_at: Option<Millis>,
    /// The bytes and connections that the event loop has reported for this round arrived after this instant.
    pub(super) readable_since: Millis,
    /// Connections may have been waiting to be accepted since this instant. `None` if all of them were accepted.
    waiting_since: Option<Millis>,
    /// Clients that have just been accepted and must be processed in this round: bytes have arrived from them, or they
    /// have left.
    accepted_ready: Vec<EventSource>,
    /// The process is shutting down: each answer asks the client to close the connection. Requests that still arrive
    /// before the client has done so are answered.
    pub(super) shutting_down: bool,
    /// The classes of the requests that were rejected before they were complete and have not been counted yet.
    pub(super) rejected_partial: Vec<usize>,
    jitter: Jitter,
    violations: ViolationCounter,
}

impl Drop for Ingress {
    /// Removes the listener from the event loop. Otherwise the event loop would keep the address bound after an
    /// abandoned replacement.
    fn drop(&mut self) {
        if let Some(registration) = self.registration.take() {
            self.handle.remove(registration);
        }
    }
}

impl Ingress {
    /// Creates ingress and registers the listener with the event loop.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be registered.
    pub(super) fn open(
        listener: TcpListener,
        handle: &EventLoopHandle,
        limits: ClientLimits,
        classes: Vec<IngressClass>,
        jitter: Jitter,
        violations: ViolationCounter,
    ) -> Result<Ingress, SenderError> {
        let listener = Rc::new(listener);
        let registration = http::register(handle, listener.clone(), EventSource::ClientListener)
            .map_err(SenderError::WatchListener)?;
        Ok(Ingress {
            listener: Some(listener),
            registration: Some(registration),
            handle: handle.clone(),
            pool: BufferPool::new(
                BUFFERS_PER_CLIENT * eviction::max_connections(limits.max_clients),
            ),
            clients: Slab::new(),
            limits,
            classes,
            next_sweep: 0.0,
            accept_retry_at: None,
            readable_since: f64::NEG_INFINITY,
            waiting_since: None,
            accepted_ready: Vec::new(),
            shutting_down: false,
            rejected_partial: Vec::new(),
            jitter,
            violations,
        })
    }

    /// Takes the clients that have just been accepted and must be processed in this round.
    pub(super) fn take_accepted_ready(&mut self) -> Vec<EventSource> {
        std::mem::take(&mut self.accepted_ready)
    }

    /// When the next timer of ingress is due.
    pub(super) fn next_deadline(&self) -> Millis {
        self.next_sweep
            .min(self.accept_retry_at.unwrap_or(f64::INFINITY))
    }
}
