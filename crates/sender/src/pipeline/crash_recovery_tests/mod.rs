//! Crash recovery: one process is stopped, and another one continues on the same state folder. The tests stop a process
//! at every step at which it can be stopped, and check what the next one recovers and does.
//!
//! The peers are scripted and on loopback, and the test sets the clock. The tests never sleep and are deterministic.

mod answer_orders;
mod manual_endpoint;
mod resumption;
mod scripted_peers;
mod two_processes;

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;

use martenlatch_clock::{Clock, Millis};
use martenlatch_wal::{LogInspection, MessageRecord};

use super::Driver;
use super::test_support::{START, TestLoop, empty_folder, start_driver};
use crate::event_source::EventSource;
use scripted_peers::{EndpointScript, ScriptedPeers};

/// The timeout that the client gives its message.
const MESSAGE_TIMEOUT: Millis = 2_000.0;
/// The time by which one step advances the clock.
const STEP: Millis = 5.0;
/// The number of clients' and of endpoints' connections that a step handles.
const POLLED_CONNECTIONS: usize = 64;
/// The limit on open messages in tests that do not depend on it.
const MAX_OPEN_MESSAGES: usize = 9;

/// Platform settings with one class of each effect.
fn settings(max_open_messages: usize) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"Name":"{name}","Target":3000000000,"Deadline":16000000000,"Effect":"{effect}","Worth":1,"MemorySpan":6000000000}}"#
        )
    };
    let classes = [
        class("debit", "side_effect"),
        class("bill", "token"),
        class("reading", "pure"),
    ]
    .join(",");
    format!(
        r#"{{"Areas":["a"],"Zone":"a","Balancers":1,"Kinds":["k"],"Categories":[{classes}],"FamilyInfo":{{"CallsOut":4}},
        "Limits":{{"OpenCap":{max_open_messages},"AttemptsCap":8,"Cancel":true,"ConnectTimeout":1000000000}},"Tick":5000000,
        "Guarantees":{{"OverloadFactor":2,"OverloadFor":3000000000,"ColdFrom":0.22,"Cold":9200000000}}}}"#
    )
}

/// Starts a process on a state folder. If `endpoint_listed` is false, it learns of the endpoint only when discovery answers.
fn start(
    state: &Path,
    max_open_messages: usize,
    peers: &ScriptedPeers,
    endpoint_listed: bool,
    clock: &Clock,
) -> (Driver, TestLoop) {
    let known = if endpoint_listed {
        format!(r#"{{"targets":[{}]}}"#, peers.target())
    } else {
        "null".into()
    };
    start_driver(
        state,
        &settings(max_open_messages),
        &known,
        peers.platform_address(),
        clock,
    )
}

/// Runs one round of a process, in which it reads all its connections. The peers answer before and after the round, and
/// the clock advances. Returns false once the process exits.
fn step(driver: &mut Driver, peers: &mut ScriptedPeers, clock: &Clock) -> bool {
    peers.answer_all();
    let control = [
        EventSource::ClientListener,
        EventSource::Watch,
        EventSource::StatusReports,
    ];
    let connections = (0..POLLED_CONNECTIONS)
        .flat_map(|index| [EventSource::Client(index), EventSource::Endpoint(index)]);
    let keeps_running = driver.round(control.into_iter().chain(connections).collect());
    peers.answer_all();
    clock.set(clock.now() + STEP);
    keeps_running
}

/// Connects a client that sends one message.
fn send_message(driver: &Driver, class: &str) -> TcpStream {
    let mut client = TcpStream::connect(driver.listen_address()).unwrap();
    let head =
        "X-Request-ID: a\r\nIdempotency-Key: k\r\nX-Route-To: dest=7\r\nContent-Length: 1\r\n";
    let request = format!(
        "POST /{class} HTTP/1.1\r\n{head}X-Timeout: {}\r\n\r\nx",
        MESSAGE_TIMEOUT / 1e3
    );
    client.write_all(request.as_bytes()).unwrap();
    client.set_nonblocking(true).unwrap();
    client
}

/// The open message in the log, if there is one.
fn logged_message(state: &Path) -> Option<MessageRecord> {
    let recovered = LogInspection::open(state).unwrap().recovered;
    recovered.open_messages.into_values().next()
}
