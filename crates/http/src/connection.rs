//! Owns the non-blocking sockets: one connection, its two lent buffers, and its place in the loop. It must never
//! decide anything, block, or hold more than the buffers it was lent.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, SockRef, Socket, Type};

use crate::buffer_pool::{Buffer, BufferPool};

/// What the loop collects between two rounds.
pub struct Ready<K> {
    /// The keys of the sockets that are ready.
    pub keys: Vec<K>,
    pub signals: Vec<calloop::signals::Signal>,
}

impl<K> Default for Ready<K> {
    fn default() -> Ready<K> {
        Ready {
            keys: Vec::new(),
            signals: Vec::new(),
        }
    }
}

/// A loop whose sockets are told apart by keys of the caller's.
pub type Handle<K> = LoopHandle<'static, Ready<K>>;

/// Registers a socket once, for both directions; its owner reads and writes until the socket would block.
pub fn register<F: AsFd + 'static, K: Copy + 'static>(
    handle: &Handle<K>,
    socket: F,
    key: K,
) -> std::io::Result<RegistrationToken> {
    let source = Generic::new(socket, Interest::BOTH, Mode::Edge);
    let told = handle.insert_source(source, move |_, _, ready: &mut Ready<K>| {
        ready.keys.push(key);
        Ok(PostAction::Continue)
    });
    told.map_err(|e| std::io::Error::other(e.to_string()))
}

/// What goes with a connection that is passed to a later process.
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ConnectionSnapshot {
    input: Vec<u8>,
    output: Vec<u8>,
    written: u64,
    eof: bool,
    broken: bool,
    corked: bool,
}

/// One non-blocking connection and its two buffers, held only while there is something in them.
pub struct Connection<K: Copy + 'static> {
    stream: Rc<TcpStream>,
    handle: Handle<K>,
    token: RegistrationToken,
    pool: BufferPool,
    pub input: Option<Buffer>,
    output: Option<Buffer>,
    /// Bytes written so far: none means that it may not even be up.
    pub written: u64,
    /// The peer has ended its sending.
    pub eof: bool,
    /// The connection is gone.
    pub broken: bool,
    /// Nothing is written yet, whatever is queued.
    pub corked: bool,
}

impl<K: Copy + 'static> Connection<K> {
    pub fn new(
        stream: TcpStream,
        handle: &Handle<K>,
        pool: &BufferPool,
        key: K,
    ) -> std::io::Result<Connection<K>> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let token = register(handle, stream.clone(), key)?;
        let (handle, pool) = (handle.clone(), pool.clone());
        let (input, output) = (None, None);
        Ok(Connection {
            stream,
            handle,
            token,
            pool,
            input,
            output,
            written: 0,
            eof: false,
            broken: false,
            corked: false,
        })
    }

    /// What goes with its descriptor to a later process.
    pub fn snapshot(&self) -> ConnectionSnapshot {
        let output = self.output.as_ref().map_or(&[][..], Buffer::bytes).to_vec();
        let (written, eof, broken, corked) = (self.written, self.eof, self.broken, self.corked);
        ConnectionSnapshot {
            input: self.bytes().to_vec(),
            output,
            written,
            eof,
            broken,
            corked,
        }
    }

    /// A connection that an earlier process has passed. Fails where no buffer is left for what goes with it.
    pub fn restore(
        stream: TcpStream,
        snapshot: &ConnectionSnapshot,
        handle: &Handle<K>,
        pool: &BufferPool,
        key: K,
    ) -> std::io::Result<Connection<K>> {
        let mut connection = Connection::new(stream, handle, pool, key)?;
        let lent = |bytes: &[u8]| -> std::io::Result<Option<Buffer>> {
            if bytes.is_empty() {
                return Ok(None);
            }
            let held = pool
                .take()
                .and_then(|mut buffer| buffer.put(bytes).then_some(buffer));
            held.ok_or_else(|| std::io::Error::other("no buffer is left"))
                .map(Some)
        };
        (connection.input, connection.output) = (lent(&snapshot.input)?, lent(&snapshot.output)?);
        (connection.written, connection.eof, connection.broken) =
            (snapshot.written, snapshot.eof, snapshot.broken);
        connection.corked = snapshot.corked;
        Ok(connection)
    }

    /// Starts a connection; whether it comes up shows in the first write.
    pub fn connect(
        to: SocketAddr,
        handle: &Handle<K>,
        pool: &BufferPool,
        key: K,
    ) -> std::io::Result<Connection<K>> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(e)
                if e.kind() != ErrorKind::WouldBlock && e.raw_os_error() != Some(EINPROGRESS) =>
            {
                Err(e)
            }
            _ => Connection::new(socket.into(), handle, pool, key),
        }
    }

    /// Puts bytes behind those not yet written; false if they don't fit or no buffer is free.
    pub fn queue(&mut self, bytes: &[u8]) -> bool {
        if self.output.is_none() {
            self.output = self.pool.take();
        }
        self.output.as_mut().is_some_and(|o| o.put(bytes))
    }

    /// Whether the connection is up: it has a peer.
    pub fn is_connected(&self) -> bool {
        self.stream.peer_addr().is_ok()
    }

    /// Writes what the socket takes. True once nothing is left.
    pub fn flush(&mut self) -> bool {
        if self.corked {
            return false;
        }
        while let Some(output) = self.output.as_mut().filter(|_| !self.broken) {
            if output.is_empty() {
                self.output = None;
                break;
            }
            match (&*self.stream).write(output.bytes()) {
                Ok(0) => self.broken = true,
                Ok(count) => {
                    output.consume(count);
                    self.written += count as u64;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                // A connection that never came up says so here, and one that was reset too. What it had said before is read.
                Err(_) => {
                    self.receive();
                    self.broken = true;
                }
            }
        }
        !self.broken
    }

    pub fn is_flushed(&self) -> bool {
        self.output.as_ref().is_none_or(Buffer::is_empty)
    }

    /// Reads until the socket would block or the buffer is full. True if there may be more to read.
    pub fn receive(&mut self) -> bool {
        while !self.eof && !self.broken {
            if self.input.is_none() {
                self.input = self.pool.take();
            }
            // No buffer free: the bytes wait in the kernel, and the peer is slowed.
            let Some(input) = self.input.as_mut() else {
                return true;
            };
            let room = input.room();
            if room.is_empty() {
                return true;
            }
            match (&*self.stream).read(room) {
                Ok(0) => self.eof = true,
                Ok(count) => input.filled(count),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                // One of ours that is not up yet. Guards against giving it up: systems may answer a read so meanwhile.
                Err(e) if e.kind() == ErrorKind::NotConnected && self.written == 0 => break,
                Err(_) => self.broken = true,
            }
        }
        // Guards the pool: a quiet connection holds no buffer.
        self.consume(0);
        false
    }

    /// Uses up input, and gives the buffer back once it is empty.
    pub fn consume(&mut self, count: usize) {
        if let Some(input) = self.input.as_mut() {
            input.consume(count);
            if input.is_empty() {
                self.input = None;
            }
        }
    }

    pub fn bytes(&self) -> &[u8] {
        self.input.as_ref().map_or(&[], Buffer::bytes)
    }

    /// Whether the peer has reset the connection by now: after a write, this tells a peer that had gone before
    /// from one that has only ended its sending.
    pub fn peer_reset(&mut self) -> bool {
        self.broken |= self.stream.take_error().map_or(true, |e| e.is_some());
        self.broken
    }

    /// Has the connection end as a reset once it is dropped, whatever is on its way.
    pub fn abort_on_drop(&self) {
        let _ = SockRef::from(&*self.stream).set_linger(Some(std::time::Duration::ZERO));
    }

    pub fn shutdown_write(&self) {
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
        self.handle.remove(self.token);
    }
}

/// Linux's numbers for what the standard library has no name for.
const EINPROGRESS: i32 = 115;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;

/// Whether an error tells of our own lack of descriptors, which says nothing of a peer.
pub fn is_descriptor_exhaustion(e: &std::io::Error) -> bool {
    matches!(e.raw_os_error(), Some(ENFILE | EMFILE))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_connection_that_is_read_before_it_is_up_is_not_given_up() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let to = listener.local_addr().unwrap();
        let events = calloop::EventLoop::<Ready<u8>>::try_new().unwrap();
        // A socket that nothing was asked of answers a read as some systems answer it while a connection comes up.
        let socket =
            Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP)).unwrap();
        let same = socket.try_clone().unwrap();
        let early = (&socket).read(&mut [0]).unwrap_err().kind();
        assert_eq!(early, ErrorKind::NotConnected);
        let mut connection =
            Connection::new(socket.into(), &events.handle(), &BufferPool::new(2), 1).unwrap();
        assert!(
            !connection.receive() && !connection.broken && !connection.eof,
            "nothing is said of it"
        );
        same.set_nonblocking(false).unwrap();
        same.connect(&to.into()).unwrap();
        assert!(connection.queue(b"ask") && connection.flush());
        let (mut peer, _) = listener.accept().unwrap();
        peer.read_exact(&mut [0; 3]).unwrap();
        peer.write_all(b"yes").unwrap();
        drop(peer);
        while !connection.eof {
            assert!(!connection.broken);
            connection.receive();
        }
        assert_eq!(connection.bytes(), b"yes");
    }

    #[test]
    fn what_a_peer_said_before_it_reset_the_connection_is_read_though_a_write_finds_it_gone() {
        // Guards a refusal with a wait, and an answer, that stand before a reset which a write meets first.
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let events = calloop::EventLoop::<Ready<u8>>::try_new().unwrap();
        let to = listener.local_addr().unwrap();
        let mut connection =
            Connection::connect(to, &events.handle(), &BufferPool::new(2), 1).unwrap();
        let (mut peer, _) = listener.accept().unwrap();
        peer.write_all(b"no").unwrap();
        assert!(connection.queue(b"ask") && connection.flush());
        // Closed over unread bytes.
        peer.peek(&mut [0; 3]).unwrap();
        drop(peer);
        assert!((0..200_000).any(|_| {
            connection.queue(b"more");
            connection.flush();
            connection.broken
        }));
        assert_eq!(connection.bytes(), b"no");
    }
}
