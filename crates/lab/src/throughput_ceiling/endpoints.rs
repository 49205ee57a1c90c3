//! Endpoints that answer every request with 200 at once, on a thread of their own.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use calloop::EventLoop;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_http::{self as http, EventLoopHandle, ParsedRequest, ReadyEvents};
use slab::Slab;

use super::Connection;
use crate::error::LabError;

const ENDPOINTS: usize = 4;
const BUFFERS: usize = 4_096;
/// The first key of a listener; connections have lower keys.
const FIRST_LISTENER_KEY: usize = 1 << 32;
/// The thread notices the stop flag within this time.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Endpoints that answer every request at once. Dropping this stops them.
pub(super) struct ImmediateEndpoints {
    pub addresses: Vec<SocketAddr>,
    answered: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ImmediateEndpoints {
    /// Opens the endpoints.
    ///
    /// # Errors
    /// If no port is free.
    pub fn new() -> Result<ImmediateEndpoints, LabError> {
        let answered = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let listeners = (0..ENDPOINTS)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<Result<Vec<_>, _>>()
            .map_err(LabError::EndpointPort)?;
        let addresses = listeners
            .iter()
            .filter_map(|listener| listener.local_addr().ok())
            .collect();
        let counter = answered.clone();
        let stop_flag = stop.clone();
        let thread = std::thread::spawn(move || serve(listeners, &counter, &stop_flag));
        Ok(ImmediateEndpoints {
            addresses,
            answered,
            stop,
            thread: Some(thread),
        })
    }

    /// Number of requests answered so far.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }
}

impl Drop for ImmediateEndpoints {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Answers requests until `stop` is set.
fn serve(listeners: Vec<TcpListener>, answered: &AtomicU64, stop: &AtomicBool) {
    let Ok(mut events) = EventLoop::<ReadyEvents<usize>>::try_new() else {
        return;
    };
    let mut server = Server::new(listeners, events.handle(), answered);
    let mut ready = ReadyEvents::<usize>::default();
    while !stop.load(Ordering::Relaxed) {
        for key in std::mem::take(&mut ready.keys) {
            server.handle_ready(key);
        }
        let _ = events.dispatch(POLL_INTERVAL, &mut ready);
    }
}

struct Server<'a> {
    listeners: Vec<Rc<TcpListener>>,
    connections: Slab<Connection>,
    handle: EventLoopHandle<usize>,
    buffers: BufferPool,
    answered: &'a AtomicU64,
}

impl<'a> Server<'a> {
    fn new(
        listeners: Vec<TcpListener>,
        handle: EventLoopHandle<usize>,
        answered: &'a AtomicU64,
    ) -> Server<'a> {
        let listeners: Vec<Rc<TcpListener>> = listeners.into_iter().map(Rc::new).collect();
        for (number, listener) in listeners.iter().enumerate() {
            let _ = listener.set_nonblocking(true);
            let _ = http::register(&handle, listener.clone(), FIRST_LISTENER_KEY + number);
        }
        Server {
            listeners,
            connections: Slab::new(),
            handle,
            buffers: BufferPool::new(BUFFERS),
            answered,
        }
    }

    fn handle_ready(&mut self, key: usize) {
        if key >= FIRST_LISTENER_KEY {
            self.accept(key - FIRST_LISTENER_KEY);
        } else {
            self.answer(key);
        }
    }

    fn accept(&mut self, listener: usize) {
        while let Ok((stream, _)) = self.listeners[listener].accept() {
            let entry = self.connections.vacant_entry();
            let connection = Connection::new(stream, &self.handle, &self.buffers, entry.key());
            if let Ok(connection) = connection {
                entry.insert(connection);
            }
        }
    }

    fn answer(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.receive();
        while let ParsedRequest::Complete(request) = http::parse_request(connection.bytes()) {
            connection.consume(request.consumed);
            self.answered.fetch_add(1, Ordering::Relaxed);
            connection.queue(ANSWER);
        }
        connection.flush();
        if connection.eof || connection.broken {
            self.connections.remove(key);
        }
    }
}
