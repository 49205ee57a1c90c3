//! Tests of the driver with sockets on loopback and a clock that the test sets.

mod attempt_owners;
mod attempts;
mod conclusion;
mod ingress;
mod rejection;
mod repeats;
mod settings;
mod settlement;
mod shutdown;
mod status_reports;
mod unread_requests;

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use martenlatch_clock::{Clock, Millis, nanos};
use martenlatch_policy::interface::{Action, EndpointId, MessageId};
use martenlatch_settings::platform;
use martenlatch_wal::{FinalStatus, LogInspection, MessageRecord, RecoveredState, WriteAheadLog};

use super::Driver;
use super::driver::OVERDUE_AFTER;
use super::ingress::NEWCOMER_GRACE;
use super::message_store::MessageState;
use super::shutdown::{ACCEPT_UNTIL, ATTEMPTS_DEADLINE};
use super::test_support::{DISK_LIMIT, START, TestLoop, empty_folder, folder_path, start_driver};
use crate::event_source::EventSource;
use crate::jitter::Jitter;

const SETTINGS: &str = r#"{"Areas":["a"],"Zone":"a","Balancers":1,"Kinds":["k"],"Categories":[
    {"Name":"debit","Target":3000000000,"Deadline":16000000000,"Effect":"side_effect","Worth":1}],
    "FamilyInfo":{"CallsOut":4},
    "Limits":{"OpenCap":9,"AttemptsCap":8,"Cancel":true,"RetryAfter":true,"MaxRetryAfter":3000000000,"ConnectTimeout":1000000000},
    "Guarantees":{"OverloadFactor":2,
    "OverloadFor":3000000000,"ColdFrom":0.22,"Cold":9200000000},"Tick":5000000}"#;

/// A driver that has resumed one non-idempotent message, whose deadline is two seconds after the start.
fn resumed_driver(name: &str, endpoint: SocketAddr) -> (Driver, Clock, TestLoop) {
    resumed_driver_with_timeout(name, 2_000.0, endpoint)
}

/// A driver that has resumed one non-idempotent message, whose deadline is `timeout` after the start.
fn resumed_driver_with_timeout(
    name: &str,
    timeout: Millis,
    endpoint: SocketAddr,
) -> (Driver, Clock, TestLoop) {
    resumed_driver_with_settings(name, timeout, endpoint, SETTINGS)
}

/// Like [`resumed_driver_with_timeout`], with other settings of the platform.
fn resumed_driver_with_settings(
    name: &str,
    timeout: Millis,
    endpoint: SocketAddr,
    settings: &str,
) -> (Driver, Clock, TestLoop) {
    let state = empty_folder(&folder_name(name));
    let (mut wal, _) = WriteAheadLog::open(&state, DISK_LIMIT);
    assert!(wal.append_message(&unattempted_message(timeout)));
    drop(wal);
    let known = format!(
        r#"{{"targets":[{{"uid":"s","endpoint":"{endpoint}","az":"a","model":"k","pod_group":7,"state":"in_service"}}]}}"#
    );
    let clock = Clock::manual(START);
    let (driver, events) = start_driver(&state, settings, &known, endpoint, &clock);
    (driver, clock, events)
}

fn folder_name(test: &str) -> String {
    format!("pipeline-{test}")
}

fn unattempted_message(timeout: Millis) -> MessageRecord {
    MessageRecord {
        number: 3,
        id: Rc::from("a"),
        class: Rc::from("debit"),
        destination: 7,
        deadline: START + timeout,
        idempotency_key: None,
        body: Rc::from(&b"x"[..]),
        attempts: Vec::new(),
        final_status: None,
        class_rules: Rc::from([]),
    }
}

/// The state that can be recovered from the log in the folder of a test.
fn recovered_log(test: &str) -> RecoveredState {
    let folder = folder_path(&folder_name(test));
    LogInspection::open(&folder).unwrap().recovered
}

/// Calls a function until it returns true. The number of calls is bounded, as bytes that are written on loopback arrive
/// soon.
fn repeat_until(mut is_done: impl FnMut() -> bool) {
    assert!(
        (0..200_000).any(|_| is_done()),
        "the condition was not met in 200,000 calls"
    );
}

/// Runs rounds until the message's request has arrived at the endpoint. Returns its connection.
fn receive_request(
    driver: &mut Driver,
    clock: &Clock,
    endpoint: &TcpListener,
) -> std::net::TcpStream {
    use std::io::Read;
    endpoint.set_nonblocking(true).unwrap();
    let mut connections = Vec::new();
    let mut request = None;
    repeat_until(|| {
        driver.round((0..9).map(EventSource::Endpoint).collect());
        if clock.now() < START + 1_500.0 {
            clock.set(clock.now() + 5.0);
        }
        connections.extend(
            endpoint
                .accept()
                .ok()
                .map(|(stream, _)| (stream, Vec::new())),
        );
        for (stream, text) in &mut connections {
            stream.set_nonblocking(true).unwrap();
            let mut buffer = [0; 512];
            text.extend(stream.read(&mut buffer).map_or(&[][..], |n| &buffer[..n]));
        }
        // The body of the message is one byte.
        let is_complete =
            |text: &[u8]| text.starts_with(b"POST /v1/messages") && text.ends_with(b"\r\n\r\nx");
        request = connections.iter().position(|(_, text)| is_complete(text));
        request.is_some()
    });
    connections.swap_remove(request.unwrap()).0
}

const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
