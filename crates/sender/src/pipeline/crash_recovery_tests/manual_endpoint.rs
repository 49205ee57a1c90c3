//! An endpoint whose answers a test writes one by one, and a platform that confirms all reports.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};

use martenlatch_clock::Millis;

/// The loopback address of these peers.
const OWN_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 77, 0, 2);
const CONFIRMATION: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// A request that has not been answered.
struct WaitingRequest {
    id: String,
    arrived_at: Millis,
}

/// A connection of the sender.
struct PeerConnection {
    stream: TcpStream,
    received: Vec<u8>,
    /// The requests that were read and not answered, in the order in which they are answered.
    unanswered: VecDeque<WaitingRequest>,
    /// Whether a copy of an earlier answer has been written while a request waited.
    is_shifted: bool,
    /// The latest answer.
    last_answer: Option<&'static str>,
    is_open: bool,
}

/// A request that has arrived.
#[derive(Debug)]
pub(super) struct ArrivedRequest {
    /// The id of its message.
    pub id: String,
    /// The number of its connection, from 0.
    pub connection: usize,
}

/// The endpoint and the platform.
pub(super) struct ManualPeers {
    endpoint: TcpListener,
    platform: TcpListener,
    connections: Vec<PeerConnection>,
    platform_connections: Vec<PeerConnection>,
    /// The requests that have arrived, in order.
    pub requests: Vec<ArrivedRequest>,
    /// The lines of the status reports.
    pub reports: Vec<String>,
}

impl ManualPeers {
    pub fn new() -> ManualPeers {
        ManualPeers {
            endpoint: own_listener(),
            platform: own_listener(),
            connections: Vec::new(),
            platform_connections: Vec::new(),
            requests: Vec::new(),
            reports: Vec::new(),
        }
    }

    pub fn platform_address(&self) -> SocketAddr {
        self.platform.local_addr().unwrap()
    }

    /// The endpoint list with the endpoint.
    pub fn list(&self) -> String {
        let address = self.endpoint.local_addr().unwrap();
        format!(
            r#"{{"targets":[{{"uid":"s","endpoint":"{address}","az":"a","model":"k","pod_group":7,"state":"in_service","capacity_hint":20.0}}]}}"#
        )
    }

    /// Accepts connections and reads everything that has arrived. Reports are confirmed.
    pub fn poll(&mut self, now: Millis) {
        accept_all(&self.endpoint, &mut self.connections);
        accept_all(&self.platform, &mut self.platform_connections);
        for (number, connection) in self.connections.iter_mut().enumerate() {
            connection.receive();
            while let Some((head, _)) = connection.take_request() {
                let id = header(&head, "X-Request-ID: ").to_string();
                connection.unanswered.push_back(WaitingRequest {
                    id: id.clone(),
                    arrived_at: now,
                });
                self.requests.push(ArrivedRequest {
                    id,
                    connection: number,
                });
            }
        }
        for connection in &mut self.platform_connections {
            connection.receive();
            while let Some((head, body)) = connection.take_request() {
                if head.starts_with("POST /reports") {
                    self.reports.extend(body.lines().map(str::to_string));
                    connection.write(CONFIRMATION);
                }
            }
        }
    }

    /// The connection on which a request for a message is answered next.
    pub fn unanswered(&self, id: &str) -> Option<usize> {
        self.connections
            .iter()
            .rposition(|connection| connection.is_next(id))
    }

    /// Whether a connection is open.
    pub fn is_open(&self, connection: usize) -> bool {
        self.connections[connection].is_open
    }

    /// The latest open connection other than this one.
    pub fn other_connection(&self, connection: usize) -> Option<usize> {
        let others = self.connections.iter().enumerate();
        others
            .filter(|(number, other)| other.is_open && *number != connection)
            .map(|(number, _)| number)
            .next_back()
    }

    /// Writes the answer to the first request that waits on a connection.
    pub fn answer(&mut self, connection: usize, answer: &'static str) {
        let connection = &mut self.connections[connection];
        connection.unanswered.pop_front();
        connection.last_answer = Some(answer);
        connection.write(answer);
    }

    /// Writes the latest answer on a connection again. Returns false if there is none.
    pub fn copy(&mut self, connection: usize) -> bool {
        let connection = &mut self.connections[connection];
        let Some(answer) = connection.last_answer.filter(|_| connection.is_open) else {
            return false;
        };
        connection.is_shifted |= !connection.unanswered.is_empty();
        connection.write(answer);
        true
    }

    /// Whether an answer behind a copy has been waited for on a connection for longer than this.
    pub fn is_late_behind_copy(&self, connection: usize, now: Millis, time: Millis) -> bool {
        let connection = &self.connections[connection];
        let first = connection.unanswered.front();
        let may_answer = connection.is_open && connection.is_shifted;
        may_answer && first.is_some_and(|first| first.arrived_at < now - time)
    }

    /// Writes bytes that answer no request.
    pub fn write(&mut self, connection: usize, bytes: &str) {
        self.connections[connection].write(bytes);
    }

    /// Ends a connection.
    pub fn end(&mut self, connection: usize) {
        let connection = &mut self.connections[connection];
        connection.is_open = false;
        let _ = connection.stream.shutdown(Shutdown::Both);
    }

    /// Answers the first request that waits on each connection, unless it is one for a message.
    pub fn answer_others(&mut self, message: &str, answer: &'static str) {
        for number in 0..self.connections.len() {
            let connection = &self.connections[number];
            let waits = !connection.unanswered.is_empty() && !connection.is_next(message);
            if connection.is_open && waits {
                self.answer(number, answer);
            }
        }
    }
}

impl PeerConnection {
    /// Whether the next answer is for a message.
    fn is_next(&self, id: &str) -> bool {
        self.is_open && self.unanswered.front().is_some_and(|first| first.id == id)
    }

    fn receive(&mut self) {
        if !self.is_open {
            return;
        }
        let mut buffer = [0; 4_096];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => {
                    self.is_open = false;
                    return;
                }
                Ok(count) => self.received.extend(&buffer[..count]),
                Err(error) => {
                    self.is_open = error.kind() == std::io::ErrorKind::WouldBlock;
                    return;
                }
            }
        }
    }

    /// Takes the head and the body of the next request, if it is complete.
    fn take_request(&mut self) -> Option<(String, String)> {
        let text = String::from_utf8(self.received.clone()).unwrap();
        let (head, rest) = text.split_once("\r\n\r\n")?;
        let length = header(head, "Content-Length: ").parse().unwrap_or(0);
        let body = rest.get(..length)?;
        self.received.drain(..head.len() + 4 + length);
        Some((head.to_string(), body.to_string()))
    }

    fn write(&mut self, text: &str) {
        // The sender may have closed the connection.
        let _ = self.stream.write_all(text.as_bytes());
    }
}

/// A listener on an address that no other test uses: a sender of a test that has ended may still report to a port.
fn own_listener() -> TcpListener {
    crate::listen(SocketAddr::from((OWN_ADDRESS, 0))).unwrap()
}

fn accept_all(listener: &TcpListener, connections: &mut Vec<PeerConnection>) {
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true).unwrap();
        stream.set_nodelay(true).unwrap();
        connections.push(PeerConnection {
            stream,
            received: Vec::new(),
            unanswered: VecDeque::new(),
            is_shifted: false,
            last_answer: None,
            is_open: true,
        });
    }
}

/// The value of a header; empty if there is none.
fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let mut lines = head.lines();
    lines.find_map(|line| line.strip_prefix(name)).unwrap_or("")
}
