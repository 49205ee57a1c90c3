//! Ingress: the connections of clients. It accepts them, reads their requests and writes their answers.
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
use crate::event_source::{EventSource, Handle};
use crate::jitter::Jitter;
use crate::safety::ViolationCounter;

pub use client::Client;
pub(super) use eviction::NEWCOMER_GRACE;
pub use request::IncomingMessage;

/// An input and an output buffer for each connection.
const BUFFERS_PER_CLIENT: usize = 2;

/// A message class, as far as requests depend on it.
pub(super) struct IngressClass {
    /// The first part of the request's path.
    pub(super) name: String,
    /// Sent twice without a key, a message would take effect twice.
    pub(super) requires_idempotency_key: bool,
}

/// The limits on clients.
pub(super) struct ClientLimits {
    /// The most connections that have not been answered for the last time.
    pub(super) max_clients: usize,
    /// How long a client may take over a request, the first one counted from its connection, and how long it may be
    /// idle between two requests.
    pub(super) timeouts: ClientTimeouts,
    /// The longest Retry-After that clients follow; none if they follow none.
    pub(super) max_retry_after: Option<Millis>,
}

/// The connections of clients.
pub struct Ingress {
    /// None once no more connections are accepted.
    pub(super) listener: Option<Rc<TcpListener>>,
    registration: Option<calloop::RegistrationToken>,
    pub(super) handle: Handle,
    pub(super) pool: BufferPool,
    pub(super) clients: Slab<Client>,
    pub(super) limits: ClientLimits,
    classes: Vec<IngressClass>,
    next_sweep: Millis,
    /// When to accept again after running out of descriptors.
    pub(super) accept_retry_at: Option<Millis>,
    /// What the event loop has reported for this round came after this instant.
    pub(super) readable_since: Millis,
    /// Connections may wait to be accepted since this instant; none if all that waited are accepted.
    waiting_since: Option<Millis>,
    /// Clients that have just been accepted, and whose first bytes were there already.
    arrived: Vec<EventSource>,
    /// The process is shutting down: each answer asks its client to end the connection. Until the connection ends,
    /// requests that come on it all the same are answered.
    pub(super) shutting_down: bool,
    /// The classes of requests that were rejected before they were complete, until these are counted.
    pub(super) rejected_partial: Vec<usize>,
    jitter: Jitter,
    violations: ViolationCounter,
}

impl Drop for Ingress {
    /// Removes the listener from the event loop, which would otherwise keep the address bound when a replacement is
    /// abandoned.
    fn drop(&mut self) {
        if let Some(registration) = self.registration.take() {
            self.handle.remove(registration);
        }
    }
}

impl Ingress {
    /// Watches the listener.
    ///
    /// # Errors
    /// Where the event loop cannot watch it.
    pub(super) fn open(
        listener: TcpListener,
        handle: &Handle,
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
                BUFFERS_PER_CLIENT * eviction::most_connections(limits.max_clients),
            ),
            clients: Slab::new(),
            limits,
            classes,
            next_sweep: 0.0,
            accept_retry_at: None,
            readable_since: f64::NEG_INFINITY,
            waiting_since: None,
            arrived: Vec::new(),
            shutting_down: false,
            rejected_partial: Vec::new(),
            jitter,
            violations,
        })
    }

    /// Takes the clients that were accepted with bytes that have to be looked at.
    pub(super) fn take_arrived(&mut self) -> Vec<EventSource> {
        std::mem::take(&mut self.arrived)
    }

    /// When ingress has something to do next, if nothing arrives.
    pub(super) fn next_deadline(&self) -> Millis {
        self.next_sweep
            .min(self.accept_retry_at.unwrap_or(f64::INFINITY))
    }
}
