//! Processes that follow one another on one folder, against scripted peers on loopback and a clock that the test sets:
//! what each leaves to the next, at every step at which it can be stopped. The tests never sleep, and have the same
//! result each time.

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
use scripted_peers::{Script, ScriptedPeers};

/// How long a message may take.
const MESSAGE_TIMEOUT: Millis = 2_000.0;
/// How far one step moves the clock.
const STEP: Millis = 5.0;
/// The most open messages, where a test does not depend on it.
const MAX_HELD: usize = 9;

/// Settings with one class of each effect.
fn settings(max_held: usize) -> String {
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
        "Limits":{{"OpenCap":{max_held},"AttemptsCap":8,"Cancel":true,"ConnectTimeout":1000000000}},"Tick":5000000,
        "Guarantees":{{"OverloadFactor":2,"OverloadFor":3000000000,"ColdFrom":0.22,"Cold":9200000000}}}}"#
    )
}

/// Starts a process on a folder. If the endpoint is not listed, discovery has still to answer.
fn start(
    state: &Path,
    max_held: usize,
    peers: &ScriptedPeers,
    listed: bool,
    clock: &Clock,
) -> (Driver, TestLoop) {
    let known = if listed {
        format!(r#"{{"targets":[{}]}}"#, peers.target())
    } else {
        "null".into()
    };
    start_driver(
        state,
        &settings(max_held),
        &known,
        peers.platform_address(),
        clock,
    )
}

/// One step of a process: a round reads what has arrived, and the peers answer. False once the process exits.
fn step(driver: &mut Driver, peers: &mut ScriptedPeers, clock: &Clock) -> bool {
    peers.answer_all();
    let control = [
        EventSource::ClientListener,
        EventSource::Watch,
        EventSource::StatusReports,
    ];
    let connections =
        (0..9).flat_map(|index| [EventSource::Client(index), EventSource::Endpoint(index)]);
    let stays = driver.round(control.into_iter().chain(connections).collect());
    peers.answer_all();
    clock.set(clock.now() + STEP);
    stays
}

/// A client that sends one message.
fn send_message(driver: &Driver, class: &str) -> TcpStream {
    let mut client = TcpStream::connect(driver.listen_address()).unwrap();
    let head =
        "X-Request-ID: a\r\nIdempotency-Key: k\r\nX-Route-To: dest=7\r\nContent-Length: 1\r\n";
    let text = format!(
        "POST /{class} HTTP/1.1\r\n{head}X-Timeout: {}\r\n\r\nx",
        MESSAGE_TIMEOUT / 1e3
    );
    client.write_all(text.as_bytes()).unwrap();
    client.set_nonblocking(true).unwrap();
    client
}

/// The message that the log holds, if it holds one.
fn logged_message(state: &Path) -> Option<MessageRecord> {
    let recovered = LogInspection::open(state).unwrap().recovered;
    recovered.open_messages.into_values().next()
}
