//! HTTP requests and responses, as the tests' clients, endpoints and platforms read and write them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a client waits for the answer to its request.
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);

/// A request or a response that was read.
#[derive(Debug)]
pub struct HttpMessage {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The number of the connection on which it arrived, from 0.
    pub connection: usize,
}

impl HttpMessage {
    /// The first value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map_or("", |(_, value)| value.as_str())
    }

    /// The id of the message that a request delivers.
    pub fn id(&self) -> &str {
        self.header("X-Request-ID")
    }
}

/// Reads a request or a response; `None` if the connection ends before it is complete.
pub fn read_message(stream: &mut BufReader<TcpStream>, connection: usize) -> Option<HttpMessage> {
    let first_line = read_line(stream)?.trim_end().to_string();
    let mut headers = Vec::new();
    loop {
        let line = read_line(stream)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        headers.push((name.to_string(), value.to_string()));
    }
    let mut message = HttpMessage {
        first_line,
        headers,
        body: Vec::new(),
        connection,
    };
    let length = message.header("Content-Length").parse().unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn read_line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let count = stream.read_line(&mut line).ok()?;
    (count > 0).then_some(line)
}

/// The status of a response.
pub fn status_of(response: &HttpMessage) -> u16 {
    response
        .first_line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .expect("a status line")
}

/// Writes to the sender as a client.
pub fn send(client: &mut BufReader<TcpStream>, text: &str) {
    client.get_mut().write_all(text.as_bytes()).unwrap();
}

/// Reads a response as a client and returns its status.
pub fn read_status(client: &mut BufReader<TcpStream>) -> u16 {
    status_of(&read_message(client, 0).expect("the connection was closed"))
}

/// Writes a request on a new connection as a client. Returns the connection and the status of the response; `None` if
/// none arrived.
pub(super) fn try_exchange(address: SocketAddr, text: &str) -> Option<(BufReader<TcpStream>, u16)> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(CLIENT_PATIENCE)).ok()?;
    let mut connection = BufReader::new(stream);
    let status = try_exchange_on(&mut connection, text)?;
    Some((connection, status))
}

/// Writes a request on a connection as a client. Returns the status of the response; `None` if none arrived.
pub(super) fn try_exchange_on(connection: &mut BufReader<TcpStream>, text: &str) -> Option<u16> {
    connection.get_mut().write_all(text.as_bytes()).ok()?;
    read_message(connection, 0).map(|response| status_of(&response))
}

/// How a scripted endpoint replies to a request.
pub struct Reply {
    /// The bytes that it writes; empty for no response.
    pub bytes: String,
    /// Whether it closes the connection afterwards.
    pub close: bool,
}

impl Reply {
    /// Writes these bytes, valid HTTP or not, and leaves the connection open.
    pub fn raw(bytes: &str) -> Reply {
        Reply {
            bytes: bytes.to_string(),
            close: false,
        }
    }

    /// Closes the connection without a response.
    pub fn closed() -> Reply {
        Reply {
            bytes: String::new(),
            close: true,
        }
    }
}

/// A response without a body. `headers` are additional header lines, each with its line end.
pub fn reply(status: u16, headers: &str) -> Reply {
    Reply::raw(&format!(
        "HTTP/1.1 {status} X\r\nContent-Length: 0\r\n{headers}\r\n"
    ))
}

/// No response, on a connection that stays open.
pub fn no_reply() -> Reply {
    Reply::raw("")
}

/// The request with which a client submits a message.
pub fn request(class: &str, id: &str, timeout: &str, body: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Timeout: {timeout}\r\n\
         Idempotency-Key: k-{id}\r\nContent-Length: {}\r\nX-Route-To: dest=7\r\n\r\n{body}",
        body.len()
    )
}

/// Writes byte by byte, so that the sender reads the text in pieces.
pub(super) fn write_in_pieces(stream: &mut TcpStream, text: &str) {
    let _ = stream.set_nodelay(true);
    let _ = text.bytes().try_for_each(|byte| stream.write_all(&[byte]));
}
