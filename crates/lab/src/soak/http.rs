//! Blocking HTTP for the soak's peers, which regularly check whether the soak has stopped.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use socket2::SockRef;

/// Timeout of a single read.
const READ_TIMEOUT: Duration = Duration::from_millis(25);
/// Limit on buffered bytes; larger than any message of a soak.
const MAX_MESSAGE: usize = 256 * 1024;

/// A request or a response.
pub struct HttpMessage {
    /// The head, without the empty line that ends it.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// The value of a header; the case of the name does not matter.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (header, value) = line.split_once(':')?;
            header.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    /// The status of a response; 0 if it cannot be parsed.
    pub fn status(&self) -> u16 {
        self.head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }
}

/// Why no complete message was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The stream ended, or sent more than the limit.
    Ended,
    /// The connection was reset.
    Reset,
    /// The `stop` function returned true.
    Stopped,
}

/// A connection that is read message by message.
pub struct HttpStream {
    /// The connection.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl HttpStream {
    /// Sets up a connection for reading.
    pub fn new(stream: TcpStream) -> HttpStream {
        // If the connection has failed already, the first read reports it.
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
        let _ = stream.set_nodelay(true);
        HttpStream {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads a message. `stop` is called regularly, with whether any byte of the message has been received.
    ///
    /// # Errors
    /// If the connection ends or `stop` returns true before a message is complete.
    pub fn read_message(
        &mut self,
        mut stop: impl FnMut(bool) -> bool,
    ) -> Result<HttpMessage, ReadError> {
        loop {
            if let Some(message) = self.take_message() {
                return Ok(message);
            }
            if stop(!self.buffer.is_empty()) {
                return Err(ReadError::Stopped);
            }
            self.read_some()?;
        }
    }

    /// Reads available bytes, waiting up to [`READ_TIMEOUT`].
    fn read_some(&mut self) -> Result<(), ReadError> {
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(0) => Err(ReadError::Ended),
            Ok(count) if self.buffer.len() < MAX_MESSAGE => {
                self.buffer.extend(&bytes[..count]);
                Ok(())
            }
            Ok(_) => Err(ReadError::Ended),
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => Ok(()),
                _ => Err(ReadError::Reset),
            },
        }
    }

    fn take_message(&mut self) -> Option<HttpMessage> {
        let end = self
            .buffer
            .windows(4)
            .position(|bytes| bytes == b"\r\n\r\n")?;
        let mut message = HttpMessage {
            head: String::from_utf8_lossy(&self.buffer[..end]).into_owned(),
            body: Vec::new(),
        };
        let length: usize = message
            .header("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        let total = end + 4 + length;
        if self.buffer.len() < total {
            return None;
        }
        message.body = self.buffer[end + 4..total].to_vec();
        self.buffer.drain(..total);
        Some(message)
    }

    /// Whether the peer has closed the connection, or reset it.
    pub fn has_ended(&self) -> bool {
        matches!(self.peek(), Ok(0)) || self.is_reset()
    }

    /// Whether the connection was reset.
    pub fn is_reset(&self) -> bool {
        self.peek()
            .is_err_and(|error| error.kind() != ErrorKind::WouldBlock)
    }

    /// Returns 1 if a byte can be read and 0 at the end of the stream, without blocking.
    fn peek(&self) -> std::io::Result<usize> {
        let _ = self.stream.set_nonblocking(true);
        let next = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        next
    }

    /// Writes text. Returns false if the write fails.
    pub fn write(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}
