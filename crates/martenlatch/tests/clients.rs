//! Clients' requests, valid and invalid, and clients that are idle, slow or disconnected.

mod support;
use support::*;

use rstest::rstest;
use std::io::{BufRead, Write};
use std::net::Shutdown;

#[rstest]
#[case::no_id(
    "POST /debit HTTP/1.1\r\nX-Timeout: 1\r\nX-Route-To: dest=7\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::no_destination(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: 1\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::invalid_destination(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: 1\r\nX-Route-To: dest=x\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::invalid_timeout(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: NaN\r\nX-Route-To: dest=7\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::no_key(
    "POST /meter HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: 1\r\nX-Route-To: dest=7\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::no_length(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: 1\r\nX-Route-To: dest=7\r\n\r\n",
    400
)]
#[case::two_lengths(
    "POST /debit HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    400
)]
#[case::invalid_length("POST /debit HTTP/1.1\r\nContent-Length: +1\r\n\r\na", 400)]
#[case::length_beyond_64_bits(
    "POST /debit HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
    413
)]
#[case::too_large("POST /debit HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413)]
#[case::chunked(
    "POST /debit HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    411
)]
#[case::unknown_destination(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: 1\r\nX-Route-To: dest=8\r\nContent-Length: 0\r\n\r\n",
    404
)]
#[case::two_ids(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Request-ID: b\r\nX-Timeout: 1\r\nX-Route-To: dest=7\r\n\
     Content-Length: 0\r\n\r\n",
    400
)]
#[case::bytes_after_the_body(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: 1\r\nX-Route-To: dest=7\r\nContent-Length: 2\r\n\r\nhello",
    400
)]
#[case::not_http("\x00\x01\x02nonsense\r\n\r\n", 400)]
#[case::unknown_class("POST /nothing HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404)]
#[case::unknown_path("GET / HTTP/1.1\r\n\r\n", 404)]
#[case::wrong_method("GET /debit HTTP/1.1\r\n\r\n", 405)]
#[case::wrong_method_for_health_checks("POST /healthz HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405)]
fn an_invalid_request_is_rejected_and_the_sender_continues_to_serve(
    #[case] text: &str,
    #[case] expected: u16,
) {
    let (_endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let case = case_name(text);
    let sender = Sender::start(&format!("invalid-{case}"), &platform, &known_endpoints);
    platform.push_line(&known_endpoints);
    assert_eq!(sender.exchange(text), expected);
    let oversized_head = format!(
        "GET /healthz HTTP/1.1\r\nX-Long: {}\r\n\r\n",
        "x".repeat(9_000)
    );
    assert_eq!(sender.exchange(&oversized_head), 431);
    assert_eq!(
        sender.submit("debit", "after", "16.0"),
        202,
        "the sender still serves"
    );
}

#[test]
fn a_request_of_a_disconnected_client_is_dropped_and_one_of_a_half_closed_client_is_served() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("disconnected", &platform, &known_endpoints);
    sender.signal("STOP");
    let mut disconnected = sender.connect();
    send(
        &mut disconnected,
        &request("debit", "disconnected", "16.0", "x"),
    );
    drop(disconnected);
    sender.signal("CONT");
    let mut half_closed = sender.connect();
    send(
        &mut half_closed,
        &request("debit", "half-closed", "16.0", "x"),
    );
    half_closed.get_mut().shutdown(Shutdown::Write).unwrap();
    assert_eq!(read_status(&mut half_closed), 202);
    assert_eq!(
        endpoint.next_request().id(),
        "half-closed",
        "nothing is sent for the disconnected client"
    );
}

#[test]
fn the_oldest_idle_client_is_disconnected_to_serve_one_with_a_request() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("many-idle", &platform, &known_endpoints);
    let clients: Vec<_> = (0..450).map(|_| sender.connect()).collect();
    assert_eq!(sender.submit("debit", "k1", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "k1");
    let mut oldest = clients.into_iter().next().unwrap();
    assert_eq!(
        oldest.read_line(&mut String::new()).unwrap(),
        0,
        "the connection of the oldest idle client is closed"
    );
}

#[test]
fn clients_that_send_no_complete_request_are_disconnected_with_408_or_503_or_no_response() {
    let (_endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("no-request", &platform, &known_endpoints);
    let mut clients: Vec<_> = (0..550).map(|_| sender.connect()).collect();
    for client in clients.iter_mut().skip(500) {
        let _ = client.get_mut().write_all(b"POST /debit HTTP/1.1\r\nX-Re");
    }
    // All are disconnected, with or without a response, before the timeout of the test itself.
    for mut client in clients {
        let response = read_message(&mut client, 0);
        let status = response.map_or(408, |response| status_of(&response));
        assert!(matches!(status, 408 | 503), "{status}");
    }
    assert_eq!(sender.submit("debit", "after", "16.0"), 202);
}

#[test]
fn on_a_full_disk_new_messages_are_rejected_and_accepted_ones_are_kept() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| no_reply());
    let platform = Platform::new(&[]);
    let sender = Sender::start_with_disk("full-disk", &platform, &known_endpoints, 0.5);
    let body = "b".repeat(65_536);
    let statuses: Vec<u16> = (0..8)
        .map(|number| sender.exchange(&request("meter", &format!("f{number}"), "16.0", &body)))
        .collect();
    let accepted = statuses.iter().take_while(|status| **status == 202).count();
    assert!(
        accepted > 0 && statuses[accepted..].iter().all(|status| *status == 503),
        "{statuses:?}"
    );
    assert!(statuses.contains(&503));
    let sender = sender.kill_and_restart();
    assert_eq!(endpoint.next_request().body.len(), 65_536);
    assert_eq!(sender.exchange("GET /healthz HTTP/1.1\r\n\r\n"), 200);
}
