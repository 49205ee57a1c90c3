//! The endpoint and the platform, played by the test.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use crate::pipeline::test_support::listener;

/// What the endpoint does with requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Script {
    /// Answers all.
    Serves,
    /// Answers none.
    Hangs,
    /// Rejects the first, and answers the others.
    Refuses,
    /// Closes the first connection behind the request's last byte, and answers the others.
    Resets,
}

struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
}

/// The peers, and what they have seen.
pub(super) struct ScriptedPeers {
    endpoint: TcpListener,
    platform: TcpListener,
    connections: Vec<Connection>,
    pub(super) script: Script,
    /// For each complete request to the endpoint: whether it may have run.
    pub(super) requests: Vec<bool>,
    /// The lines of the status reports.
    pub(super) reports: Vec<String>,
    /// How often the endpoint list was watched.
    pub(super) watches: usize,
}

impl ScriptedPeers {
    pub(super) fn new(script: Script) -> ScriptedPeers {
        ScriptedPeers {
            endpoint: listener(),
            platform: listener(),
            connections: Vec::new(),
            script,
            requests: Vec::new(),
            reports: Vec::new(),
            watches: 0,
        }
    }

    pub(super) fn platform_address(&self) -> SocketAddr {
        self.platform.local_addr().unwrap()
    }

    /// The endpoint as discovery lists it.
    pub(super) fn target(&self) -> String {
        let address = self.endpoint.local_addr().unwrap();
        format!(
            r#"{{"uid":"s","endpoint":"{address}","az":"a","model":"k","pod_group":7,"state":"in_service","capacity_hint":1.0}}"#
        )
    }

    /// Closes all connections.
    pub(super) fn disconnect(&mut self) {
        self.connections.clear();
    }

    /// Writes to the first connection.
    pub(super) fn write_to_first(&mut self, text: &str) {
        let stream = &mut self.connections[0].stream;
        stream.write_all(text.as_bytes()).unwrap();
    }

    /// Reads all that has arrived, and answers it.
    pub(super) fn answer_all(&mut self) {
        for listener in [&self.endpoint, &self.platform] {
            while let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(true).unwrap();
                self.connections.push(Connection {
                    stream,
                    received: Vec::new(),
                });
            }
        }
        let mut connections = std::mem::take(&mut self.connections);
        connections
            .retain_mut(|connection| connection.receive() && self.answer_connection(connection));
        self.connections.extend(connections);
    }

    /// Answers a request if it is complete. False ends the connection.
    fn answer_connection(&mut self, connection: &mut Connection) -> bool {
        let text = String::from_utf8_lossy(&connection.received).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            return true;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("Content-Length: ")?.parse::<usize>().ok());
        if length.is_some_and(|length| body.len() < length) {
            return true;
        }
        connection.received.clear();
        if head.starts_with("GET /v1/servers") {
            self.watches += 1;
            return true;
        }
        if head.starts_with("POST /reports") {
            self.reports.extend(body.lines().map(str::to_string));
            return connection.write("HTTP/1.1 204 No Content\r\n\r\n");
        }
        assert!(
            head.lines().any(|line| line.starts_with("X-Request-ID: ")),
            "{head}"
        );
        self.answer_message(connection)
    }

    /// Answers a message by the script. False ends the connection.
    fn answer_message(&mut self, connection: &mut Connection) -> bool {
        let script = if self.requests.is_empty() || self.script == Script::Hangs {
            self.script
        } else {
            Script::Serves
        };
        self.requests.push(script != Script::Refuses);
        match script {
            Script::Serves => connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
            Script::Hangs => true,
            Script::Refuses => connection.write("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"),
            Script::Resets => false,
        }
    }
}

impl Connection {
    /// Reads all that has arrived. False once the sender has closed the connection.
    fn receive(&mut self) -> bool {
        let mut buffer = [0; 4096];
        while let Ok(count) = self.stream.read(&mut buffer) {
            if count == 0 {
                return false;
            }
            self.received.extend(&buffer[..count]);
        }
        true
    }

    fn write(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }
}
