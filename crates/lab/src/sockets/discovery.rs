//! The discovery agent of each sender: it serves the endpoint list and a watch that carries changes to the list, and
//! takes status reports.

use std::net::TcpListener;

use martenlatch_clock::Millis;
use martenlatch_http::{self as http, ParsedRequest, Request};
use serde_json::{Value, json};

use super::event::Event;
use super::lab_socket::{AgentConnection, LabSocket, is_closed};
use super::testbed::Testbed;
use crate::event_log::EventKind;
use crate::model::environment::ListedState;

/// Time between two heartbeats on the watches.
const HEARTBEAT_INTERVAL: Millis = 2_000.0;

/// How the path of an endpoint list watch begins.
const WATCH_PATH: &str = "/v1/servers?watch=1";
/// The path of status reports.
const REPORT_PATH: &str = "/reports";

impl Testbed<'_> {
    /// Accepts a sender's connections to its agent.
    pub fn accept_agent_connections(&mut self, sender: u32, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept() {
            let accepted = self.insert_connection(stream, |connection| {
                LabSocket::Agent(AgentConnection::new(sender, connection))
            });
            if let Some(key) = accepted {
                self.read_agent_request(key);
            }
        }
    }

    /// Handles a sender's requests to its agent. One connection may carry several status reports, one after another.
    pub fn read_agent_request(&mut self, key: usize) {
        while let Some(request) = self.next_agent_request(key) {
            let Some(LabSocket::Agent(agent)) = self.sockets.get_mut(key) else {
                return;
            };
            let sender = agent.sender;
            if request.path.starts_with(WATCH_PATH) {
                agent.is_watch = true;
                return self.write_complete_list(key, sender);
            }
            if request.path != REPORT_PATH {
                return self
                    .write_to_agent(key, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            }
            self.write_to_agent(key, "HTTP/1.1 204 No Content\r\n\r\n");
            self.receive_reports(sender, &request.body);
        }
    }

    /// The next complete request on a connection to an agent. Removes a connection that has ended.
    fn next_agent_request(&mut self, key: usize) -> Option<Request> {
        let Some(LabSocket::Agent(agent)) = self.sockets.get_mut(key) else {
            return None;
        };
        agent.flush();
        agent.connection.receive();
        if agent.connection.bytes().is_empty() {
            if is_closed(&agent.connection) {
                self.sockets.remove(key);
            }
            return None;
        }
        let ParsedRequest::Complete(request) = http::parse_request(agent.connection.bytes()) else {
            return None;
        };
        agent.connection.consume(request.consumed);
        Some(request)
    }

    fn write_complete_list(&mut self, key: usize, sender: u32) {
        let list = self.endpoint_list(sender);
        self.write_to_agent(key, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        self.write_to_agent(key, &chunk_of_line(&list.to_string()));
    }

    fn write_to_agent(&mut self, key: usize, text: &str) {
        if let Some(LabSocket::Agent(agent)) = self.sockets.get_mut(key) {
            agent.write(text);
        }
    }

    /// The complete endpoint list as it was last sent to a sender.
    pub fn endpoint_list(&self, sender: u32) -> Value {
        let slot = &self.senders[sender as usize];
        let targets: Vec<Value> = slot
            .listed_endpoints
            .iter()
            .map(|(endpoint, state)| self.list_entry(*endpoint, *state))
            .collect();
        json!({"rev": slot.list_revision, "all": true, "targets": targets})
    }

    fn list_entry(&self, endpoint: u32, state: ListedState) -> Value {
        let partner = self.environment.partner_of(endpoint);
        let profile = &self.environment.site.partners[partner as usize];
        json!({
            "uid": format!("s-{endpoint}"),
            "endpoint": self.endpoints[endpoint as usize].address.to_string(),
            "az": "a",
            "model": self.experiment.world.kinds[profile.kind_index].name,
            "pod_group": partner,
            "state": state_name(state),
            "capacity_hint": profile.advertised_weight,
            "boot_ms": 0
        })
    }

    /// Schedules the notification of every sender about a change to an endpoint, with the current delay of the list.
    pub fn schedule_notifications(&mut self, endpoint: u32, state: ListedState) {
        let now = self.now();
        for sender in 0..self.senders.len() as u32 {
            let at = self
                .environment
                .notification_time(sender, endpoint, state, now);
            let notify = Event::NotifySender {
                sender,
                endpoint,
                state,
            };
            self.events.push(at, notify);
        }
    }

    /// Applies a change to a sender's endpoint list, and writes it to the sender's watches.
    pub fn notify_sender(&mut self, sender: u32, endpoint: u32, state: ListedState) {
        let slot = &mut self.senders[sender as usize];
        slot.list_revision += 1;
        if state == ListedState::Removed {
            slot.listed_endpoints.remove(&endpoint);
        } else {
            slot.listed_endpoints.insert(endpoint, state);
        }
        let revision = slot.list_revision;
        let up = slot.up;
        let entry = self.list_entry(endpoint, state);
        let change = json!({"rev": revision, "all": false, "targets": [entry]}).to_string();
        let watch_keys = self.watch_connections(Some(sender));
        if up && !watch_keys.is_empty() {
            self.record(EventKind::Listed {
                sender,
                endpoint,
                partner: self.environment.partner_of(endpoint),
                in_service: state == ListedState::Active,
            });
        }
        for key in watch_keys {
            self.write_to_agent(key, &chunk_of_line(&change));
        }
    }

    /// Writes an empty line to all watches as a heartbeat, unless discovery is down.
    pub fn send_heartbeat(&mut self) {
        let now = self.now();
        if self.environment.faults.discovery_up(now) {
            for key in self.watch_connections(None) {
                self.write_to_agent(key, &chunk_of_line(""));
            }
        }
        self.schedule_heartbeat(now);
    }

    /// Schedules the next heartbeat.
    pub fn schedule_heartbeat(&mut self, now: Millis) {
        self.events.push(now + HEARTBEAT_INTERVAL, Event::Heartbeat);
    }

    /// The keys of a sender's watch connections, or of all senders' if `sender` is `None`.
    fn watch_connections(&self, sender: Option<u32>) -> Vec<usize> {
        let is_watch = |socket: &LabSocket| match socket {
            LabSocket::Agent(agent) => {
                agent.is_watch && sender.is_none_or(|wanted| wanted == agent.sender)
            }
            _ => false,
        };
        self.sockets
            .iter()
            .filter(|(_, socket)| is_watch(socket))
            .map(|(key, _)| key)
            .collect()
    }
}

/// The name of a state in the endpoint list.
fn state_name(state: ListedState) -> &'static str {
    match state {
        ListedState::Active => "in_service",
        ListedState::Draining => "terminating",
        ListedState::Removed => "terminated",
    }
}

/// A line and its newline as one chunk of a chunked body.
fn chunk_of_line(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
