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
/// Keys of listeners begin here, above those of connections.
const LISTENER_KEYS: usize = 1 << 32;
/// The end is noticed within this time.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Endpoints that answer at once, until they are dropped.
pub(super) struct ImmediateEndpoints {
    pub addresses: Vec<SocketAddr>,
    served: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ImmediateEndpoints {
    /// Opens the endpoints.
    ///
    /// # Errors
    /// Where no port is free.
    pub fn new() -> Result<ImmediateEndpoints, LabError> {
        let served = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let listeners = (0..ENDPOINTS)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<Result<Vec<_>, _>>()
            .map_err(LabError::EndpointPort)?;
        let addresses = listeners
            .iter()
            .filter_map(|listener| listener.local_addr().ok())
            .collect();
        let counter = served.clone();
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || serve(listeners, &counter, &stopped));
        Ok(ImmediateEndpoints {
            addresses,
            served,
            stop,
            thread: Some(thread),
        })
    }

    /// How many requests were answered so far.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
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

/// Answers until it is told to stop.
fn serve(listeners: Vec<TcpListener>, served: &AtomicU64, stop: &AtomicBool) {
    let Ok(mut events) = EventLoop::<ReadyEvents<usize>>::try_new() else {
        return;
    };
    let mut server = Server::new(listeners, events.handle(), served);
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
    served: &'a AtomicU64,
}

impl<'a> Server<'a> {
    fn new(
        listeners: Vec<TcpListener>,
        handle: EventLoopHandle<usize>,
        served: &'a AtomicU64,
    ) -> Server<'a> {
        let listeners: Vec<Rc<TcpListener>> = listeners.into_iter().map(Rc::new).collect();
        for (number, listener) in listeners.iter().enumerate() {
            let _ = listener.set_nonblocking(true);
            let _ = http::register(&handle, listener.clone(), LISTENER_KEYS + number);
        }
        Server {
            listeners,
            connections: Slab::new(),
            handle,
            buffers: BufferPool::new(BUFFERS),
            served,
        }
    }

    fn handle_ready(&mut self, key: usize) {
        if key >= LISTENER_KEYS {
            self.accept(key - LISTENER_KEYS);
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
            self.served.fetch_add(1, Ordering::Relaxed);
            connection.queue(ANSWER);
        }
        connection.flush();
        if connection.eof || connection.broken {
            self.connections.remove(key);
        }
    }
}
