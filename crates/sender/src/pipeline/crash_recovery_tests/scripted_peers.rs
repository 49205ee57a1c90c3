//! A scripted endpoint and a scripted platform.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use crate::pipeline::test_support::listener;

/// How the endpoint treats requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum EndpointScript {
    /// Answers all requests.
    AnswersAll,
    /// Answers no request.
    AnswersNone,
    /// Rejects the first request with 503, and answers the others.
    RejectsFirst,
    /// Closes the connection of the first request after its last byte, and answers the others.
    ClosesFirst,
}

struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
}

/// The two peers, and what they have received.
pub(super) struct ScriptedPeers {
    endpoint: TcpListener,
    platform: TcpListener,
    connections: Vec<Connection>,
    pub(super) script: EndpointScript,
    /// The complete requests to the endpoint: true for each that may have run.
    pub(super) requests: Vec<bool>,
    /// The lines of the status reports that the platform has received.
    pub(super) reports: Vec<String>,
    /// The number of requests to watch the endpoint list.
    pub(super) watch_requests: usize,
}

impl ScriptedPeers {
    pub(super) fn new(script: EndpointScript) -> ScriptedPeers {
        ScriptedPeers {
            endpoint: listener(),
            platform: listener(),
            connections: Vec::new(),
            script,
            requests: Vec::new(),
            reports: Vec::new(),
            watch_requests: 0,
        }
    }

    pub(super) fn platform_address(&self) -> SocketAddr {
        self.platform.local_addr().unwrap()
    }

    /// The endpoint's entry in the endpoint list.
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
    pub(super) fn write_to_first_connection(&mut self, text: &str) {
        let stream = &mut self.connections[0].stream;
        stream.write_all(text.as_bytes()).unwrap();
    }

    /// Accepts connections, reads everything that has arrived, and answers complete requests.
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

    /// Answers a request if it is complete. Returns false if the connection is to be closed.
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
            self.watch_requests += 1;
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

    /// Answers a message as the script says. Returns false if the connection is to be closed.
    fn answer_message(&mut self, connection: &mut Connection) -> bool {
        let script = if self.requests.is_empty() || self.script == EndpointScript::AnswersNone {
            self.script
        } else {
            EndpointScript::AnswersAll
        };
        self.requests.push(script != EndpointScript::RejectsFirst);
        match script {
            EndpointScript::AnswersAll => {
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            }
            EndpointScript::AnswersNone => true,
            EndpointScript::RejectsFirst => {
                connection.write("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
            }
            EndpointScript::ClosesFirst => false,
        }
    }
}

impl Connection {
    /// Reads everything that has arrived. Returns false once the sender has closed the connection.
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
