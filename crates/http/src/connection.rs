//! Non-blocking TCP connections with pooled read and write buffers, registered in an event loop.
//!
//! A [`Connection`] never blocks. It takes its buffers from a [`BufferPool`] and keeps them only while they contain
//! bytes, so an idle connection needs no buffer.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, SockRef, Socket, Type};

use crate::buffer_pool::{Buffer, BufferPool};
use crate::socket_trace::{self, SocketEvent};
use crate::system_errors::is_connect_in_progress;

/// The events that the event loop collects between two rounds.
pub struct ReadyEvents<K> {
    /// The keys of the sockets that became readable or writable.
    pub keys: Vec<K>,
    /// The signals that the process has received.
    pub signals: Vec<calloop::signals::Signal>,
}

impl<K> Default for ReadyEvents<K> {
    fn default() -> ReadyEvents<K> {
        ReadyEvents {
            keys: Vec::new(),
            signals: Vec::new(),
        }
    }
}

/// A handle to an event loop that identifies its sockets by keys of type `K`.
pub type EventLoopHandle<K> = LoopHandle<'static, ReadyEvents<K>>;

/// Registers a socket for reading and writing. Events are edge-triggered: the owner has to read and write until the
/// socket would block.
///
/// # Errors
/// The system's error if the socket cannot be registered.
pub fn register<F: AsFd + 'static, K: Copy + 'static>(
    handle: &EventLoopHandle<K>,
    socket: F,
    key: K,
) -> std::io::Result<RegistrationToken> {
    let source = Generic::new(socket, Interest::BOTH, Mode::Edge);
    handle
        .insert_source(source, move |_, _, ready: &mut ReadyEvents<K>| {
            ready.keys.push(key);
            Ok(PostAction::Continue)
        })
        .map_err(|error| std::io::Error::other(error.to_string()))
}

/// The state of a connection that is passed to a successor process together with its descriptor.
///
/// The order and the types of the fields are part of its encoded form.
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ConnectionSnapshot {
    input: Vec<u8>,
    output: Vec<u8>,
    written: u64,
    eof: bool,
    broken: bool,
    corked: bool,
}

impl ConnectionSnapshot {
    /// Replaces the bytes that were received and not consumed.
    pub fn set_input(&mut self, input: &[u8]) {
        self.input = input.to_vec();
    }
}

/// A non-blocking connection with its read and write buffers.
pub struct Connection<K: Copy + 'static> {
    stream: Rc<TcpStream>,
    handle: EventLoopHandle<K>,
    token: RegistrationToken,
    pool: BufferPool,
    /// Bytes that were received and not yet consumed; `None` if there are none.
    pub input: Option<Buffer>,
    /// Bytes that were queued and not yet written; `None` if there are none.
    output: Option<Buffer>,
    /// Number of bytes written so far. While it is 0, the connection may not be established yet.
    pub written: u64,
    /// Whether the peer has shut down its sending side.
    pub eof: bool,
    /// Whether the connection has failed.
    pub broken: bool,
    /// While this is true, queued bytes are not written.
    pub corked: bool,
}

impl<K: Copy + 'static> Connection<K> {
    /// Makes a stream non-blocking and registers it in the event loop under `key`.
    ///
    /// # Errors
    /// The system's error if the socket cannot be configured or registered.
    pub fn new(
        stream: TcpStream,
        handle: &EventLoopHandle<K>,
        pool: &BufferPool,
        key: K,
    ) -> std::io::Result<Connection<K>> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let token = register(handle, stream.clone(), key)?;
        socket_trace::record(&stream, SocketEvent::Opened);
        Ok(Connection {
            stream,
            handle: handle.clone(),
            token,
            pool: pool.clone(),
            input: None,
            output: None,
            written: 0,
            eof: false,
            broken: false,
            corked: false,
        })
    }

    /// The state to pass to a successor process, together with the descriptor.
    pub fn snapshot(&self) -> ConnectionSnapshot {
        let output = self.output.as_ref().map_or(&[][..], Buffer::bytes);
        ConnectionSnapshot {
            input: self.bytes().to_vec(),
            output: output.to_vec(),
            written: self.written,
            eof: self.eof,
            broken: self.broken,
            corked: self.corked,
        }
    }

    /// Restores a connection that a predecessor process passed on.
    ///
    /// # Errors
    /// As [`Connection::new`], and if the pool has no free buffer for the bytes of the snapshot.
    pub fn restore(
        stream: TcpStream,
        snapshot: &ConnectionSnapshot,
        handle: &EventLoopHandle<K>,
        pool: &BufferPool,
        key: K,
    ) -> std::io::Result<Connection<K>> {
        let mut connection = Connection::new(stream, handle, pool, key)?;
        connection.input = buffer_with(&snapshot.input, pool)?;
        connection.output = buffer_with(&snapshot.output, pool)?;
        connection.written = snapshot.written;
        connection.eof = snapshot.eof;
        connection.broken = snapshot.broken;
        connection.corked = snapshot.corked;
        Ok(connection)
    }

    /// Starts to connect to an address. The first write shows whether that succeeds.
    ///
    /// # Errors
    /// The system's error if the attempt fails at once, for example for lack of descriptors
    /// ([`crate::is_local_shortage`]).
    pub fn connect(
        address: SocketAddr,
        handle: &EventLoopHandle<K>,
        pool: &BufferPool,
        key: K,
    ) -> std::io::Result<Connection<K>> {
        let domain = Domain::for_address(address);
        let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            Err(error) if !is_connect_in_progress(&error) => Err(error),
            _ => Connection::new(socket.into(), handle, pool, key),
        }
    }

    /// Queues bytes for writing and returns true, or returns false if they do not fit or no buffer is free.
    pub fn queue(&mut self, bytes: &[u8]) -> bool {
        if self.output.is_none() {
            self.output = self.pool.take();
        }
        self.output
            .as_mut()
            .is_some_and(|output| output.append(bytes))
    }

    /// Whether the connection is established.
    pub fn is_connected(&self) -> bool {
        self.stream.peer_addr().is_ok()
    }

    /// Writes as many queued bytes as the socket accepts. Returns whether all of them are written.
    pub fn flush(&mut self) -> bool {
        if self.corked {
            return false;
        }
        while !self.broken
            && let Some(output) = self.output.as_mut()
        {
            if output.is_empty() {
                self.output = None;
                break;
            }
            match (&*self.stream).write(output.bytes()) {
                Ok(0) => self.broken = true,
                Ok(count) => {
                    socket_trace::record(
                        &self.stream,
                        SocketEvent::Written(&output.bytes()[..count]),
                    );
                    output.consume(count);
                    self.written += count as u64;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                // The connection was never established or was reset. The peer may have sent a response before the
                // reset, which is read before the connection is marked as broken.
                Err(error) => {
                    socket_trace::record(&self.stream, SocketEvent::Failed(&error));
                    self.receive();
                    self.broken = true;
                }
            }
        }
        !self.broken
    }

    /// Whether no queued bytes are left to write.
    pub fn is_flushed(&self) -> bool {
        self.output.as_ref().is_none_or(Buffer::is_empty)
    }

    /// Reads until the socket would block or the buffer is full. Returns whether there may be more to read, which is
    /// also the case if no buffer is free: the bytes then stay in the kernel, and flow control slows the peer down.
    pub fn receive(&mut self) -> bool {
        while !self.eof && !self.broken {
            if self.input.is_none() {
                self.input = self.pool.take();
            }
            let Some(input) = self.input.as_mut() else {
                return true;
            };
            let spare = input.spare_capacity();
            if spare.is_empty() {
                return true;
            }
            match (&*self.stream).read(spare) {
                Ok(0) => {
                    socket_trace::record(&self.stream, SocketEvent::End);
                    self.eof = true;
                }
                Ok(count) => {
                    input.advance(count);
                    let read = &input.bytes()[input.bytes().len() - count..];
                    socket_trace::record(&self.stream, SocketEvent::Read(read));
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // On some systems a read returns this error while the connection is being established. The
                // connection has not failed.
                Err(error) if error.kind() == ErrorKind::NotConnected && self.written == 0 => break,
                Err(error) => {
                    socket_trace::record(&self.stream, SocketEvent::Failed(&error));
                    self.broken = true;
                }
            }
        }
        self.release_empty_input();
        false
    }

    /// Drops `count` bytes from the front of the input.
    pub fn consume(&mut self, count: usize) {
        if let Some(input) = self.input.as_mut() {
            input.consume(count);
        }
        self.release_empty_input();
    }

    fn release_empty_input(&mut self) {
        if self.input.as_ref().is_some_and(Buffer::is_empty) {
            self.input = None;
        }
    }

    /// The bytes that were received and not yet consumed.
    pub fn bytes(&self) -> &[u8] {
        self.input.as_ref().map_or(&[], Buffer::bytes)
    }

    /// Whether the connection has failed, for example because the peer reset it. After a write, this distinguishes a
    /// peer that had closed the connection from one that has only shut down its sending side.
    pub fn peer_reset(&mut self) -> bool {
        let has_failed = match self.stream.take_error() {
            Ok(pending) => pending.is_some(),
            Err(_) => true,
        };
        self.broken |= has_failed;
        self.broken
    }

    /// Makes the connection end with a reset when it is dropped, even if written bytes are still in transit.
    pub fn abort_on_drop(&self) {
        let _ = SockRef::from(&*self.stream).set_linger(Some(std::time::Duration::ZERO));
    }

    /// Shuts down the sending side, which tells the peer that nothing more will be sent.
    pub fn shutdown_write(&self) {
        socket_trace::record(&self.stream, SocketEvent::ShutDown);
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }
}

impl<K: Copy + 'static> AsFd for Connection<K> {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

impl<K: Copy + 'static> Drop for Connection<K> {
    fn drop(&mut self) {
        socket_trace::record(&self.stream, SocketEvent::Closed);
        self.handle.remove(self.token);
    }
}

/// A buffer that contains `bytes`, or `None` if there are none.
fn buffer_with(bytes: &[u8], pool: &BufferPool) -> std::io::Result<Option<Buffer>> {
    if bytes.is_empty() {
        return Ok(None);
    }
    if let Some(mut buffer) = pool.take()
        && buffer.append(bytes)
    {
        return Ok(Some(buffer));
    }
    Err(std::io::Error::other(
        "no buffer is free for the bytes of a connection",
    ))
}

#[cfg(test)]
mod tests;
