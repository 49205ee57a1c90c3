//! The platform of a soak: each sender's discovery agent, which also takes status reports.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use martenlatch_clock::Millis;
use serde_json::Value;

use super::history::Event;
use super::http::{HttpMessage, HttpStream};
use super::schedule::Fault;
use super::world::{POLL_INTERVAL, World};
use crate::error::LabError;

/// An open watch brings an empty line so often.
const KEEP_ALIVE: Millis = 2_000.0;
/// How late a slow agent answers.
const SLOW_ANSWER: Duration = Duration::from_millis(700);

/// The agent of one sender.
#[derive(Clone)]
struct Agent {
    world: Arc<World>,
    sender: usize,
}

/// Opens the agent of a sender. Returns its address.
///
/// # Errors
/// Where no port can be bound.
pub fn open(world: &Arc<World>, sender: usize) -> Result<SocketAddr, LabError> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(LabError::Port)?;
    let address = listener.local_addr().map_err(LabError::Port)?;
    listener.set_nonblocking(true).map_err(LabError::Port)?;
    let agent = Agent {
        world: world.clone(),
        sender,
    };
    thread::spawn(move || agent.accept_all(&listener));
    Ok(address)
}

impl Agent {
    fn is_faulty(&self, fault: Fault) -> bool {
        let now = self.world.now();
        self.world.schedule.is_on(fault, self.sender, now)
    }

    fn accept_all(&self, listener: &TcpListener) {
        while !self.world.is_over() {
            while let Ok((stream, _)) = listener.accept() {
                let agent = self.clone();
                thread::spawn(move || agent.serve(stream));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut stream = HttpStream::new(stream);
        // Reports are taken also while discovery is down.
        while let Ok(request) = stream.read_message(|_| self.world.is_over()) {
            if request.head.starts_with("POST /reports") {
                if !self.confirm_reports(&mut stream, &request) {
                    return;
                }
                continue;
            }
            if self.is_faulty(Fault::DiscoverySlow) {
                thread::sleep(SLOW_ANSWER);
            }
            return self.watch(&mut stream, &request);
        }
    }

    /// Takes status reports. False if they are not confirmed.
    fn confirm_reports(&self, stream: &mut HttpStream, request: &HttpMessage) -> bool {
        if self.is_faulty(Fault::ReportsUnconfirmed) {
            return false;
        }
        let reports: Vec<Value> = String::from_utf8_lossy(&request.body)
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect();
        for report in &reports {
            let id = report["id"].as_str().unwrap_or_default();
            let status = report["status"].as_str().unwrap_or_default().to_string();
            let event = Event::Reported { status };
            self.world.history.record(self.sender, id, event);
        }
        stream.write("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")
    }

    /// Tells changes until the connection ends.
    fn watch(&self, stream: &mut HttpStream, request: &HttpMessage) {
        let from = request
            .head
            .split_once("from=")
            .and_then(|(_, rest)| rest.split([' ', '&']).next()?.parse().ok())
            .unwrap_or(0);
        stream.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut told: u64 = from;
        let mut first = true;
        let mut last_line = self.world.now();
        while !self.world.is_over() && !self.is_faulty(Fault::DiscoveryDown) {
            thread::sleep(POLL_INTERVAL);
            if self.is_faulty(Fault::WatchSilent) {
                continue;
            }
            let now = self.world.now();
            let line = self.next_line(&mut told, first);
            first = false;
            let text = match line {
                Some(line) => line,
                None if now - last_line >= KEEP_ALIVE => String::new(),
                None => continue,
            };
            last_line = now;
            if !stream.write(&format!("{:x}\r\n{text}\n\r\n", text.len() + 1)) {
                return;
            }
        }
    }

    /// What is to be told next: the whole list first, then what has changed.
    fn next_line(&self, told: &mut u64, first: bool) -> Option<String> {
        let list = self.world.list.lock().ok()?;
        let addresses = self.world.endpoint_addresses.lock().ok()?;
        if !first && list.version == *told {
            return None;
        }
        let endpoints = if first {
            (0..self.world.size.endpoints).collect()
        } else {
            list.changed_since(*told)
        };
        *told = list.version;
        for endpoint in &endpoints {
            let event = Event::ListTold {
                endpoint: *endpoint,
                active: list.is_active(*endpoint),
            };
            self.world.history.record(self.sender, "", event);
        }
        let described = list.describe(&endpoints, first, &addresses[self.sender]);
        Some(described.to_string())
    }
}
