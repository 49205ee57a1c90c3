//! Owns HTTP/1.1 framing in both directions, and the sockets that carry it: heads, bodies, partial reads and
//! writes. It must never decide anything: it knows no classes, regions or rules, and nothing a peer sends may
//! make it panic, block or hold more than the buffers it was lent.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};

use super::pool::{BODY, Buffer, HEAD, Pool};

/// What a socket belongs to; the loop hands it back when the socket is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    Listener,
    Client(usize),
    Region(usize),
    Watch,
    Notices,
}

/// What the loop collects between two rounds.
#[derive(Default)]
pub struct Ready {
    pub keys: Vec<Key>,
    pub signals: Vec<calloop::signals::Signal>,
}

pub type Handle = LoopHandle<'static, Ready>;

/// Registers a socket once, for both directions; its owner reads and writes until the socket would block.
pub fn register<F: AsFd + 'static>(
    handle: &Handle, socket: F, key: Key,
) -> std::io::Result<RegistrationToken> {
    let source = Generic::new(socket, Interest::BOTH, Mode::Edge);
    let told = handle.insert_source(source, move |_, _, ready: &mut Ready| {
        ready.keys.push(key);
        Ok(PostAction::Continue)
    });
    told.map_err(|e| std::io::Error::other(e.to_string()))
}

/// One non-blocking connection and its two buffers, held only while there is something in them.
pub struct Link {
    stream: Rc<TcpStream>,
    handle: Handle,
    token: RegistrationToken,
    pool: Pool,
    pub input: Option<Buffer>,
    output: Option<Buffer>,
    /// Bytes written so far: none means that it may not even be up.
    pub written: u64,
    /// The peer has ended its sending.
    pub eof: bool,
    /// The connection is gone.
    pub broken: bool,
}

impl Link {
    pub fn new(stream: TcpStream, handle: &Handle, pool: &Pool, key: Key) -> std::io::Result<Link> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let token = register(handle, stream.clone(), key)?;
        let (handle, pool) = (handle.clone(), pool.clone());
        let (input, output) = (None, None);
        Ok(Link { stream, handle, token, pool, input, output, written: 0, eof: false, broken: false })
    }

    /// Starts a connection; whether it comes up shows in the first write.
    pub fn connect(to: SocketAddr, handle: &Handle, pool: &Pool, key: Key) -> std::io::Result<Link> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(e) if e.kind() != ErrorKind::WouldBlock && e.raw_os_error() != Some(EINPROGRESS) => Err(e),
            _ => Link::new(socket.into(), handle, pool, key),
        }
    }

    /// Puts bytes behind those not yet written; false if they don't fit or no buffer is free.
    pub fn queue(&mut self, bytes: &[u8]) -> bool {
        if self.output.is_none() {
            self.output = self.pool.take();
        }
        self.output.as_mut().is_some_and(|o| o.put(bytes))
    }

    /// Writes what the socket takes. True once nothing is left.
    pub fn flush(&mut self) -> bool {
        while let Some(output) = self.output.as_mut().filter(|_| !self.broken) {
            if output.is_empty() {
                self.output = None;
                break;
            }
            match (&*self.stream).write(output.bytes()) {
                Ok(0) => self.broken = true,
                Ok(count) => {
                    output.used(count);
                    self.written += count as u64;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                // A connection that never came up says so here, and one that was reset too.
                Err(_) => self.broken = true,
            }
        }
        !self.broken
    }

    pub fn flushed(&self) -> bool {
        self.output.as_ref().is_none_or(Buffer::is_empty)
    }

    /// Reads until the socket would block or the buffer is full. True if there may be more to read.
    pub fn fill(&mut self) -> bool {
        while !self.eof && !self.broken {
            if self.input.is_none() {
                self.input = self.pool.take();
            }
            // No buffer free: the bytes wait in the kernel, and the peer is slowed.
            let Some(input) = self.input.as_mut() else { return true };
            let room = input.room();
            if room.is_empty() {
                return true;
            }
            match (&*self.stream).read(room) {
                Ok(0) => self.eof = true,
                Ok(count) => input.filled(count),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => self.broken = true,
            }
        }
        // Guards the pool: a quiet connection holds no buffer.
        self.used(0);
        false
    }

    /// Uses up input, and gives the buffer back once it is empty.
    pub fn used(&mut self, count: usize) {
        if let Some(input) = self.input.as_mut() {
            input.used(count);
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
    pub fn reset(&mut self) -> bool {
        self.broken |= self.stream.take_error().map_or(true, |e| e.is_some());
        self.broken
    }

    pub fn end_sending(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

/// Linux's numbers for what the standard library has no name for.
const EINPROGRESS: i32 = 115;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;

/// Whether an error tells of our own lack of descriptors, which says nothing of a peer.
pub fn no_descriptors(e: &std::io::Error) -> bool {
    matches!(e.raw_os_error(), Some(ENFILE | EMFILE))
}

/// How a body ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    Left(usize),
    /// Chunked: bytes left of this chunk with its line end, or none while a size line is due.
    Chunks {
        left: usize,
        last: bool,
    },
    ToEnd,
}

impl Body {
    /// Passes on what is there. Returns how much was used and whether the body is over, or nothing if malformed.
    pub fn feed(&mut self, input: &[u8], mut out: impl FnMut(&[u8])) -> Option<(usize, bool)> {
        match self {
            Body::Left(left) => {
                let count = (*left).min(input.len());
                out(&input[..count]);
                *left -= count;
                Some((count, *left == 0))
            }
            Body::ToEnd => {
                out(input);
                Some((input.len(), false))
            }
            Body::Chunks { left, last } => {
                let mut at = 0;
                while at < input.len() {
                    if *left > 0 {
                        let count = (*left).min(input.len() - at);
                        // The two bytes of a chunk's line end are not passed on.
                        let data = count.min(left.saturating_sub(2));
                        out(&input[at..at + data]);
                        *left -= count;
                        at += count;
                    } else if *last {
                        // After the last chunk: lines of a trailer up to an empty one.
                        let Some(end) = input[at..].iter().position(|b| *b == b'\n') else { break };
                        let empty = input[at..at + end].iter().all(|b| *b == b'\r');
                        at += end + 1;
                        if empty {
                            return Some((at, true));
                        }
                    } else {
                        match httparse::parse_chunk_size(&input[at..]) {
                            Ok(httparse::Status::Complete((used, size))) => {
                                at += used;
                                *last = size == 0;
                                *left = if *last { 0 } else { usize::try_from(size).ok()?.checked_add(2)? };
                            }
                            Ok(httparse::Status::Partial) if input.len() - at < HEAD => break,
                            _ => return None,
                        }
                    }
                }
                Some((at, false))
            }
        }
    }
}

/// A request, whole.
pub struct Request {
    pub method: String,
    pub path: String,
    headers: Vec<(String, Vec<u8>)>,
    pub body: Rc<[u8]>,
    pub close: bool,
    pub used: usize,
}

impl Request {
    /// A header's value; none where it says two things.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut values = self.headers.iter().filter(|(n, _)| n == name).map(|(_, v)| v.trim_ascii());
        let first = values.next()?;
        let plain = values.all(|v| v == first);
        std::str::from_utf8(first).ok().filter(|_| plain)
    }
}

/// What the bytes so far hold.
pub enum Parsed {
    /// Not whole yet; true if the client waits for a word before it sends the body.
    Partial(bool),
    /// Malformed: the status to answer with, before closing.
    Bad(u16),
    Whole(Request),
}

fn told_length(headers: &[httparse::Header]) -> Result<Option<usize>, ()> {
    let mut told = None;
    for header in headers.iter().filter(|h| h.name.eq_ignore_ascii_case("content-length")) {
        let text = std::str::from_utf8(header.value).map_err(|_| ())?.trim();
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(());
        }
        let length = text.parse().unwrap_or(usize::MAX);
        if told.is_some_and(|t| t != length) {
            return Err(());
        }
        told = Some(length);
    }
    Ok(told)
}

fn says(headers: &[httparse::Header], name: &str, word: &str) -> bool {
    let lists = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
    let mut words = lists.filter_map(|h| std::str::from_utf8(h.value).ok()).flat_map(|v| v.split(','));
    words.any(|w| w.trim().eq_ignore_ascii_case(word))
}

/// Reads one request from the front of the input.
pub fn request(input: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(input) {
        Ok(httparse::Status::Complete(start)) if start <= HEAD => start,
        Ok(httparse::Status::Partial) if input.len() < HEAD => return Parsed::Partial(false),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Parsed::Bad(431),
        Err(_) => return Parsed::Bad(400),
    };
    if head.headers.iter().any(|h| h.name.eq_ignore_ascii_case("transfer-encoding")) {
        return Parsed::Bad(411);
    }
    let (method, path) = (head.method.unwrap_or(""), head.path.unwrap_or(""));
    let length = match told_length(head.headers) {
        Ok(Some(length)) => length,
        Ok(None) if matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS") => 0,
        _ => return Parsed::Bad(400),
    };
    if length > BODY {
        return Parsed::Bad(413);
    }
    if input.len() - start < length {
        return Parsed::Partial(says(head.headers, "expect", "100-continue"));
    }
    let close = says(head.headers, "connection", "close")
        || (head.version == Some(0) && !says(head.headers, "connection", "keep-alive"));
    let headers = head.headers.iter().map(|h| (h.name.to_ascii_lowercase(), h.value.to_vec())).collect();
    let (body, used) = (Rc::from(&input[start..start + length]), start + length);
    Parsed::Whole(Request { method: method.into(), path: path.into(), headers, body, close, used })
}

/// The head of an answer.
pub struct Answer {
    pub status: u16,
    pub body: Body,
    /// The connection may carry another call.
    pub keep: bool,
    /// Its lengths contradict each other or cannot be read, or it claims more than any answer here may hold.
    pub spoilt: bool,
    headers: Vec<(String, String)>,
    pub used: usize,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.trim())
    }
}

/// Reads the head of an answer: `Ok(None)` while it is not whole, an error if it is none.
pub fn answer(input: &[u8]) -> Result<Option<Answer>, ()> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    let used = match head.parse(input) {
        Ok(httparse::Status::Complete(used)) if used <= HEAD => used,
        Ok(httparse::Status::Partial) if input.len() < HEAD => return Ok(None),
        _ => return Err(()),
    };
    let status = head.code.ok_or(())?;
    let told = told_length(head.headers);
    let spoilt = told.is_err() || told.is_ok_and(|t| t.is_some_and(|t| t > BODY));
    let body = match told {
        _ if matches!(status, 100..=199 | 204 | 304) => Body::Left(0),
        _ if says(head.headers, "transfer-encoding", "chunked") => Body::Chunks { left: 0, last: false },
        // A status that has come stands, whatever the length says; the connection just ends with it.
        Ok(Some(length)) => Body::Left(length),
        _ => Body::ToEnd,
    };
    let keep = body != Body::ToEnd
        && !spoilt
        && !says(head.headers, "connection", "close")
        && (head.version == Some(1) || says(head.headers, "connection", "keep-alive"));
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    let headers = head.headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect();
    Ok(Some(Answer { status, body, keep, spoilt, headers, used }))
}

/// Whether a whole first line says 200, whatever comes behind it.
pub fn says_200(input: &[u8]) -> bool {
    let line = input.split(|b| *b == b'\n').next().filter(|l| l.len() < input.len()).unwrap_or(b"");
    matches!(line.trim_ascii_end(), [b'H', b'T', b'T', b'P', b'/', b'1', b'.', _, b' ', b'2', b'0', b'0', rest @ ..]
        if rest.first().is_none_or(|b| *b == b' '))
}

/// The bytes of an answer to a client.
pub fn reply(status: u16, extra: &str, close: bool) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        _ => "Service Unavailable",
    };
    let close = if close { "Connection: close\r\n" } else { "" };
    format!("HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\n{extra}{close}\r\n").into_bytes()
}
