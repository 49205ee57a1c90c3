//! Requests of clients: valid and invalid ones, and clients that are silent, slow or gone.

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
#[case::no_dest(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: 1\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::odd_dest(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: 1\r\nX-Route-To: dest=x\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::odd_timeout(
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
#[case::odd_length("POST /debit HTTP/1.1\r\nContent-Length: +1\r\n\r\na", 400)]
#[case::endless_length(
    "POST /debit HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
    413
)]
#[case::too_large("POST /debit HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413)]
#[case::chunked(
    "POST /debit HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    411
)]
#[case::no_such_dest(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: 1\r\nX-Route-To: dest=8\r\nContent-Length: 0\r\n\r\n",
    404
)]
#[case::two_ids(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Request-ID: b\r\nX-Timeout: 1\r\nX-Route-To: dest=7\r\n\
     Content-Length: 0\r\n\r\n",
    400
)]
#[case::more_than_its_length(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: 1\r\nX-Route-To: dest=7\r\nContent-Length: 2\r\n\r\nhello",
    400
)]
#[case::no_http("\x00\x01\x02nonsense\r\n\r\n", 400)]
#[case::no_class("POST /nothing HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404)]
#[case::no_path("GET / HTTP/1.1\r\n\r\n", 404)]
#[case::wrong_method("GET /debit HTTP/1.1\r\n\r\n", 405)]
#[case::wrong_method_health("POST /healthz HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405)]
fn an_invalid_request_is_rejected_and_harms_nothing(#[case] text: &str, #[case] want: u16) {
    let (_endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let case = case_name(text);
    let sender = Sender::start(&format!("bad-{case}"), &platform, &known);
    platform.push(&known);
    assert_eq!(sender.exchange(text), want);
    let long = format!(
        "GET /healthz HTTP/1.1\r\nX-Long: {}\r\n\r\n",
        "x".repeat(9_000)
    );
    assert_eq!(sender.exchange(&long), 431);
    assert_eq!(
        sender.submit("debit", "after", "16.0"),
        202,
        "the sender still serves"
    );
}

#[test]
fn a_client_that_disconnected_is_not_served_and_a_half_closed_one_is() {
    let (endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("left", &platform, &known);
    sender.signal("STOP");
    let mut gone = sender.connect();
    send(&mut gone, &request("debit", "gone", "16.0", "x"));
    drop(gone);
    sender.signal("CONT");
    let mut half = sender.connect();
    send(&mut half, &request("debit", "half", "16.0", "x"));
    half.get_mut().shutdown(Shutdown::Write).unwrap();
    assert_eq!(read_status(&mut half), 202);
    assert_eq!(
        endpoint.next_request().id(),
        "half",
        "nothing is sent for the one that disconnected"
    );
}

#[test]
fn idle_clients_make_room_for_one_with_a_request() {
    let (endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("crowd", &platform, &known);
    let clients: Vec<_> = (0..450).map(|_| sender.connect()).collect();
    assert_eq!(sender.submit("debit", "k1", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "k1");
    let mut oldest = clients.into_iter().next().unwrap();
    assert_eq!(
        oldest.read_line(&mut String::new()).unwrap(),
        0,
        "the oldest idle client was disconnected"
    );
}

#[test]
fn clients_that_send_nothing_or_half_a_request_are_disconnected() {
    let (_endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("silent", &platform, &known);
    let mut clients: Vec<_> = (0..550).map(|_| sender.connect()).collect();
    for half in clients.iter_mut().skip(500) {
        let _ = half.get_mut().write_all(b"POST /debit HTTP/1.1\r\nX-Re");
    }
    // All are disconnected, with a response or without, and none waits for the test's own timeout.
    for mut client in clients {
        let response = read_message(&mut client, 0);
        let status = response.map_or(408, |response| status_of(&response));
        assert!(matches!(status, 408 | 503), "{status}");
    }
    assert_eq!(sender.submit("debit", "after", "16.0"), 202);
}

#[test]
fn on_a_full_disk_new_messages_are_rejected_and_accepted_ones_are_kept() {
    let (endpoint, known) = one_endpoint(|_, _| no_reply());
    let platform = Platform::new(&[]);
    let sender = Sender::start_with_disk("full", &platform, &known, 0.5);
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
