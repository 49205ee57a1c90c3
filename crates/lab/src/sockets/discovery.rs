//! The discovery agent of each sender: the endpoint list, and a watch that carries its changes.

use std::net::TcpListener;

use martenlatch_clock::Millis;
use martenlatch_http::{self as http, ParsedRequest, Request};
use serde_json::{Value, json};

use super::event::Event;
use super::peer::{AgentConnection, Peer, is_closed};
use super::testbed::Testbed;
use crate::event_log::EventKind;
use crate::model::environment::ListedState;

/// Discovery shows at least this often that it is alive.
const HEARTBEAT_INTERVAL: Millis = 2_000.0;

/// The beginning of the path of a watch of the endpoint list.
const WATCH_PATH: &str = "/v1/servers?watch=1";
/// The path of status reports.
const REPORT_PATH: &str = "/reports";

impl Testbed<'_> {
    /// Accepts a sender's connections to its agent.
    pub fn accept_agent_connections(&mut self, sender: u32, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept() {
            let accepted = self.insert_connection(stream, |connection| {
                Peer::Agent(AgentConnection::new(sender, connection))
            });
            if let Some(key) = accepted {
                self.read_agent_request(key);
            }
        }
    }

    /// Reads what a sender asks its agent. Reports come one behind another on a connection.
    pub fn read_agent_request(&mut self, key: usize) {
        while let Some(request) = self.next_agent_request(key) {
            let Some(Peer::Agent(agent)) = self.peers.get_mut(key) else {
                return;
            };
            let sender = agent.sender;
            if request.path.starts_with(WATCH_PATH) {
                agent.watches = true;
                return self.write_first_list(key, sender);
            }
            if request.path != REPORT_PATH {
                return self
                    .write_to_agent(key, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            }
            self.write_to_agent(key, "HTTP/1.1 204 No Content\r\n\r\n");
            self.receive_reports(sender, &request.body);
        }
    }

    /// The next complete request on a connection to an agent.
    fn next_agent_request(&mut self, key: usize) -> Option<Request> {
        let Some(Peer::Agent(agent)) = self.peers.get_mut(key) else {
            return None;
        };
        agent.flush();
        agent.connection.receive();
        if agent.connection.bytes().is_empty() {
            if is_closed(&agent.connection) {
                self.peers.remove(key);
            }
            return None;
        }
        let ParsedRequest::Complete(request) = http::parse_request(agent.connection.bytes()) else {
            return None;
        };
        agent.connection.consume(request.consumed);
        Some(request)
    }

    fn write_first_list(&mut self, key: usize, sender: u32) {
        let list = self.endpoint_list(sender);
        self.write_to_agent(key, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        self.write_to_agent(key, &chunk_of_line(&list.to_string()));
    }

    fn write_to_agent(&mut self, key: usize, text: &str) {
        if let Some(Peer::Agent(agent)) = self.peers.get_mut(key) {
            agent.write(text);
        }
    }

    /// The complete endpoint list as a sender was last told it.
    pub fn endpoint_list(&self, sender: u32) -> Value {
        let slot = &self.senders[sender as usize];
        let targets: Vec<Value> = slot
            .known
            .iter()
            .map(|(endpoint, state)| self.list_entry(*endpoint, *state))
            .collect();
        json!({"rev": slot.revision, "all": true, "targets": targets})
    }

    fn list_entry(&self, endpoint: u32, state: ListedState) -> Value {
        let partner = self.environment.partner_of(endpoint);
        let profile = &self.environment.site.partners[partner as usize];
        json!({
            "uid": format!("s-{endpoint}"),
            "endpoint": self.endpoints[endpoint as usize].address.to_string(),
            "az": "a",
            "model": self.experiment.world.kinds[profile.kind].name,
            "pod_group": partner,
            "state": state_name(state),
            "capacity_hint": profile.advertised_weight,
            "boot_ms": 0
        })
    }

    /// Has every sender notified of a change to an endpoint, as late as the list is now.
    pub fn announce_endpoint(&mut self, endpoint: u32, state: ListedState) {
        let now = self.now();
        for sender in 0..self.senders.len() as u32 {
            let at = self.environment.notified_at(sender, endpoint, state, now);
            let notify = Event::NotifySender {
                sender,
                endpoint,
                state,
            };
            self.events.push(at, notify);
        }
    }

    /// Writes a change to the endpoint list to a sender's watches.
    pub fn notify_sender(&mut self, sender: u32, endpoint: u32, state: ListedState) {
        let slot = &mut self.senders[sender as usize];
        slot.revision += 1;
        if state == ListedState::Removed {
            slot.known.remove(&endpoint);
        } else {
            slot.known.insert(endpoint, state);
        }
        let revision = slot.revision;
        let up = slot.up;
        let entry = self.list_entry(endpoint, state);
        let change = json!({"rev": revision, "all": false, "targets": [entry]}).to_string();
        let watches = self.watches(Some(sender));
        if up && !watches.is_empty() {
            self.record(EventKind::Listed {
                sender,
                endpoint,
                partner: self.environment.partner_of(endpoint),
                in_service: state == ListedState::Active,
            });
        }
        for key in watches {
            self.write_to_agent(key, &chunk_of_line(&change));
        }
    }

    /// Writes an empty line to all watches, unless discovery is down.
    pub fn send_heartbeat(&mut self) {
        let now = self.now();
        if self.environment.faults.discovery_up(now) {
            for key in self.watches(None) {
                self.write_to_agent(key, &chunk_of_line(""));
            }
        }
        self.schedule_heartbeat(now);
    }

    /// Schedules the next heartbeat.
    pub fn schedule_heartbeat(&mut self, now: Millis) {
        self.events.push(now + HEARTBEAT_INTERVAL, Event::Heartbeat);
    }

    /// The keys of the watches of a sender, or of all.
    fn watches(&self, of: Option<u32>) -> Vec<usize> {
        let is_watch = |peer: &Peer| match peer {
            Peer::Agent(agent) => agent.watches && of.is_none_or(|sender| sender == agent.sender),
            _ => false,
        };
        self.peers
            .iter()
            .filter(|(_, peer)| is_watch(peer))
            .map(|(key, _)| key)
            .collect()
    }
}

/// A state as the list names it.
fn state_name(state: ListedState) -> &'static str {
    match state {
        ListedState::Active => "in_service",
        ListedState::Draining => "terminating",
        ListedState::Removed => "terminated",
    }
}

/// A line, with its end, as one chunk of a chunked body.
fn chunk_of_line(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
