//! Clients that leave without reading, and ids that come again: each id is counted where it runs.

mod support;
use support::*;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, TcpStream};

/// The messages that others hand in before an id comes again.
const OTHERS: usize = 3_000;
/// The requests that a client leaves unread.
const UNREAD: usize = 20;
const TIMEOUT_HEADER: &str = "16.0";

/// How often each id has run since the last call.
fn runs(endpoint: &Endpoint) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for request in endpoint.take_new_requests() {
        *runs.entry(request.id().to_string()).or_default() += 1;
    }
    runs
}

fn wait_until_idle(sender: &Sender) {
    wait_until("all messages have ended", || {
        sender.operator_counters()["current"] == 0
    });
}

fn unread_id(number: usize) -> String {
    format!("unread-{number}")
}

/// Lets the stopped sender go on behind the end of a client, and checks that none of its unread requests runs, and that
/// each runs once when it comes again on a connection of its own.
fn assert_only_later_requests_run(sender: &Sender, endpoint: &Endpoint) {
    sender.signal("CONT");
    sender.wait_for_round_end();
    wait_until_idle(sender);
    let runs_before = runs(endpoint);
    assert!(runs_before.is_empty(), "{runs_before:?}");
    for number in 0..UNREAD {
        let status = sender.submit("debit", &unread_id(number), TIMEOUT_HEADER);
        assert_eq!(status, 202);
    }
    wait_until_idle(sender);
    let runs = runs(endpoint);
    for number in 0..UNREAD {
        let id = unread_id(number);
        assert_eq!(runs.get(&id), Some(&1), "{id}: {runs:?}");
    }
}

/// Guards against requests that are sent on although their client has closed its connection before they were read.
#[test]
fn requests_that_a_client_has_left_unread_are_not_sent_on() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("left-unread", &platform, &known_endpoints);
    sender.signal("STOP");
    let mut client = sender.connect();
    for number in 0..UNREAD {
        send(
            &mut client,
            &request("debit", &unread_id(number), TIMEOUT_HEADER, "x"),
        );
    }
    drop(client);
    assert_only_later_requests_run(&sender, &endpoint);
}

/// The same for a client that has not read the answer to an earlier request, so that the system resets its connection.
#[test]
fn requests_behind_an_unread_answer_are_not_sent_on() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("left-unread-answer", &platform, &known_endpoints);
    let mut client = TcpStream::connect(sender.address).unwrap();
    let first = request("debit", "first", TIMEOUT_HEADER, "x");
    client.write_all(first.as_bytes()).unwrap();
    assert_eq!(endpoint.next_request().id(), "first");
    sender.signal("STOP");
    for number in 0..UNREAD {
        let text = request("debit", &unread_id(number), TIMEOUT_HEADER, "x");
        client.write_all(text.as_bytes()).unwrap();
    }
    drop(client);
    assert_only_later_requests_run(&sender, &endpoint);
}

/// Guards against a second run: an id came again after its client had left, and so many messages had ended in between that
/// the id was forgotten.
#[test]
fn an_id_that_comes_again_behind_thousands_of_others_runs_once() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let mut sender = Sender::start("again-behind-others", &platform, &known_endpoints);
    let mut client = sender.connect();
    send(&mut client, &request("debit", "again", TIMEOUT_HEADER, "x"));
    client.get_mut().shutdown(Shutdown::Write).unwrap();
    assert_eq!(endpoint.next_request().id(), "again");
    drop(client);
    let mut others = sender.connect();
    for number in 0..OTHERS {
        send(
            &mut others,
            &request("meter", &format!("other-{number}"), TIMEOUT_HEADER, ""),
        );
        assert!(matches!(read_status(&mut others), 202 | 503));
    }
    wait_until_idle(&sender);
    let runs_before = runs(&endpoint);
    assert!(
        runs_before.len() > OTHERS / 2,
        "{} have run",
        runs_before.len()
    );
    assert_eq!(sender.submit("debit", "again", TIMEOUT_HEADER), 202);
    wait_until_idle(&sender);
    assert_eq!(runs(&endpoint).get("again"), None, "a second run");
    // The same at the other process of a replacement.
    assert_eq!(sender.replace().code, Some(0));
    assert_eq!(sender.submit("debit", "again", TIMEOUT_HEADER), 202);
    wait_until_idle(&sender);
    assert_eq!(
        runs(&endpoint).get("again"),
        None,
        "a second run behind a replacement"
    );
}
