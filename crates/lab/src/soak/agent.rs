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
use super::world::{AGENTS_PER_SENDER, POLL_INTERVAL, World};
use crate::error::LabError;

/// An open watch brings an empty line so often.
const KEEP_ALIVE: Millis = 2_000.0;
/// How late a slow agent answers.
const SLOW_ANSWER: Duration = Duration::from_millis(700);

/// Discovery's old address is silent so long after a move.
const MOVE_GRACE: Millis = 1_000.0;
/// While reports stutter, they fail at the beginning of each period: by the end of their connection and by silence, in
/// turns.
const STUTTER_PERIOD: Millis = 500.0;
const STUTTER_FAILURE: Millis = 120.0;

/// An agent of one sender.
#[derive(Clone)]
struct Agent {
    world: Arc<World>,
    sender: usize,
    number: usize,
}

/// What an agent does with a request that reports final statuses.
enum ReportReply {
    Confirm,
    EndConnection,
    StaySilent,
}

/// Opens the agents of a sender. Returns their addresses.
///
/// # Errors
/// Where no port can be bound.
pub fn open(world: &Arc<World>, sender: usize) -> Result<Vec<SocketAddr>, LabError> {
    (0..AGENTS_PER_SENDER)
        .map(|number| {
            let listener = TcpListener::bind("127.0.0.1:0").map_err(LabError::Port)?;
            let address = listener.local_addr().map_err(LabError::Port)?;
            listener.set_nonblocking(true).map_err(LabError::Port)?;
            let agent = Agent {
                world: world.clone(),
                sender,
                number,
            };
            thread::spawn(move || agent.accept_all(&listener));
            Ok(address)
        })
        .collect()
}

impl Agent {
    fn is_faulty(&self, fault: Fault) -> bool {
        let now = self.world.now();
        self.world.schedule.is_on(fault, self.sender, now)
    }

    /// Whether discovery has moved away for long enough.
    fn is_left(&self) -> bool {
        let now = self.world.now();
        self.world.discovery[self.sender]
            .lock()
            .is_ok_and(|place| place.agent != self.number && now > place.since + MOVE_GRACE)
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
            if self.is_left() {
                return;
            }
            if request.head.starts_with("POST /reports") {
                match self.report_reply() {
                    ReportReply::EndConnection => return,
                    ReportReply::StaySilent => {}
                    ReportReply::Confirm if self.confirm_reports(&mut stream, &request) => {}
                    ReportReply::Confirm => return,
                }
                continue;
            }
            if self.is_faulty(Fault::DiscoverySlow) {
                thread::sleep(SLOW_ANSWER);
            }
            return self.watch(&mut stream, &request);
        }
    }

    fn report_reply(&self) -> ReportReply {
        if self.is_faulty(Fault::ReportsUnconfirmed) {
            return ReportReply::EndConnection;
        }
        let now = self.world.now();
        let stutters = self.is_faulty(Fault::ReportsStutter)
            && now.rem_euclid(STUTTER_PERIOD) < STUTTER_FAILURE;
        if !stutters {
            return ReportReply::Confirm;
        }
        if ((now / STUTTER_PERIOD) as u64).is_multiple_of(2) {
            ReportReply::EndConnection
        } else {
            ReportReply::StaySilent
        }
    }

    /// Takes status reports. False if the connection has ended.
    fn confirm_reports(&self, stream: &mut HttpStream, request: &HttpMessage) -> bool {
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
        while !self.world.is_over() && !self.is_left() && !self.is_faulty(Fault::DiscoveryDown) {
            thread::sleep(POLL_INTERVAL);
            // What is written to a process that has ended is told to nobody.
            if stream.has_ended() {
                return;
            }
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
