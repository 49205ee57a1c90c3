//! Replacement of a sender's process by another one: no connection is closed, and each message is either delivered or
//! reported.

mod support;
use support::*;

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const HEALTH_CHECK: &str = "GET /healthz HTTP/1.1\r\n\r\n";

/// Submits up to 200 messages on one connection, alternately debits and meter readings. Stops earlier if `stop` is set
/// and more than 20 have been submitted. Returns the ids of the accepted ones.
fn submit_under_load(address: SocketAddr, client_number: usize, stop: &AtomicBool) -> Vec<String> {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut client = BufReader::new(stream);
    let mut accepted = Vec::new();
    for count in 0..200 {
        if stop.load(Ordering::Relaxed) && count > 20 {
            break;
        }
        let id = format!("c{client_number}-{count}");
        let class = ["debit", "meter"][count % 2];
        send(&mut client, &request(class, &id, "16.0", "x"));
        match read_status(&mut client) {
            202 => accepted.push(id),
            status => assert_eq!(status, 503, "{id}"),
        }
        std::thread::sleep(Duration::from_millis(25));
    }
    accepted
}

/// Checks that each message was either delivered or reported, and no debit was sent twice.
fn check_delivered_or_reported(accepted: &[String], endpoint: &Endpoint, platform: &Platform) {
    let mut attempts = BTreeMap::<String, u32>::new();
    for request in endpoint.take_new_requests() {
        *attempts.entry(request.id().to_string()).or_default() += 1;
    }
    let reports: Vec<String> = platform.status_reports.try_iter().collect();
    for id in accepted {
        let count = attempts.get(id).copied().unwrap_or(0);
        let number: u32 = id.rsplit('-').next().unwrap().parse().unwrap();
        let is_debit = number.is_multiple_of(2);
        let quoted = format!("\"{id}\"");
        let report_count = reports.iter().filter(|line| line.contains(&quoted)).count();
        // A meter reading may be hedged, a debit never.
        let is_delivered = report_count == 0 && (count == 1 || (!is_debit && count == 2));
        let is_reported = report_count == 1 && count == 0;
        assert!(
            is_delivered || is_reported,
            "{id} was sent {count} times and reported {report_count} times"
        );
    }
}

#[test]
fn two_replacements_under_load_close_no_connection_and_lose_or_repeat_no_message() {
    let script = |_: usize, _: &HttpMessage| {
        std::thread::sleep(Duration::from_millis(30));
        reply(200, "")
    };
    let (endpoint, platform, sender) = sender_with_endpoint("replace-load", script);
    // The killed process leaves its socket file behind, which must not disturb the replacements.
    let mut sender = sender.kill_and_restart();
    let stop = Arc::new(AtomicBool::new(false));
    let address = sender.address;
    let clients: Vec<_> = (0..4)
        .map(|number| {
            let stop = stop.clone();
            std::thread::spawn(move || submit_under_load(address, number, &stop))
        })
        .collect();
    for _ in 0..2 {
        std::thread::sleep(Duration::from_millis(100));
        sender.signal("HUP");
        let exit = sender.replace();
        assert_eq!(exit.code, Some(0), "{}", exit.output);
        assert!(exit.output.contains(" gave way "), "{}", exit.output);
    }
    stop.store(true, Ordering::Relaxed);
    let accepted: Vec<String> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    wait_until("all messages are complete", || {
        sender.operator_counters()["current"] == 0
    });
    assert!(accepted.len() > 60, "{}", accepted.len());
    check_delivered_or_reported(&accepted, &endpoint, &platform);
}

/// Waits for one request per id and checks that they deliver these messages, in any order.
fn check_delivered(endpoint: &Endpoint, ids: &[&str]) {
    let mut delivered: Vec<String> = ids
        .iter()
        .map(|_| endpoint.next_request().id().to_string())
        .collect();
    delivered.sort();
    assert_eq!(delivered, ids);
}

fn check_exchange(client: &mut BufReader<TcpStream>, text: &str, status: u16) {
    send(client, text);
    assert_eq!(read_status(client), status);
}

/// Submits two messages and waits until both have been sent.
fn put_attempts_in_flight(sender: &Sender) {
    assert_eq!(sender.submit("debit", "out-1", "16.0"), 202);
    assert_eq!(sender.submit("meter", "out-2", "16.0"), 202);
    wait_until("both were sent", || {
        sender.operator_counters()["sends{group=\"meter\"}"] > 0
    });
}

/// Checks that two attempts are in flight, one message waits to be sent, and the endpoint is cordoned.
fn check_state_is_passed_on(sender: &Sender) {
    let counters = sender.operator_counters();
    assert_eq!(counters["current"], 3, "{counters:?}");
    assert_eq!(counters["cluster_unhealthy"], 1, "{counters:?}");
}

#[test]
fn a_replacement_continues_half_read_requests_attempts_in_flight_and_waiting_messages() {
    let gate = ReplyGate::default();
    let endpoint_gate = gate.clone();
    let (endpoint, platform, mut sender) =
        sender_with_endpoint("replace-state", move |_, request| {
            if request.id().starts_with("out") {
                endpoint_gate.wait_until_open();
            }
            reply(200, "")
        });
    let complete = request("debit", "half", "16.0", "body");
    let (first_half, second_half) = complete.split_at(complete.len() / 2);
    let mut half_sent = sender.connect();
    let mut idle = sender.connect();
    send(&mut half_sent, first_half);
    check_exchange(&mut idle, HEALTH_CHECK, 200);
    put_attempts_in_flight(&sender);
    assert_eq!(sender.call_operator("cordon s-1\n"), "ACK out\n");
    assert_eq!(sender.submit("debit", "held", "16.0"), 202);
    // This client connects to the old process and sends its request to the new one.
    let mut early = sender.connect();
    assert_eq!(sender.replace().code, Some(0));
    check_state_is_passed_on(&sender);
    check_exchange(&mut half_sent, second_half, 202);
    check_exchange(&mut early, &request("meter", "early", "16.0", "x"), 202);
    check_exchange(&mut idle, HEALTH_CHECK, 200);
    let requests = endpoint.count_new_requests();
    assert_eq!(requests, 0, "no request goes to a cordoned endpoint");
    gate.open();
    // The new process reads their responses.
    check_delivered(&endpoint, &["out-1", "out-2"]);
    wait_until("three messages are incomplete", || {
        sender.operator_counters()["current"] == 3
    });
    let answered = "transactions{group=\"debit\",state=\"answered\"}";
    assert_eq!(sender.operator_counters()[answered], 1);
    assert_eq!(sender.call_operator("uncordon s-1\n"), "ACK in\n");
    check_delivered(&endpoint, &["early", "half", "held"]);
    // The new process knows the id: it confirms the message and does not accept it again.
    assert_eq!(sender.submit("debit", "out-1", "16.0"), 202);
    assert_eq!(endpoint.count_new_requests(), 0);
    assert!(platform.status_reports.try_recv().is_err());
}

/// Submits large debits, numbered from `first`, until one is rejected or 40 are accepted. Returns the number of
/// accepted ones.
fn fill_disk(sender: &Sender, first: usize) -> usize {
    let body = "x".repeat(2_000);
    let submit = |number: &usize| {
        sender.exchange(&request("debit", &format!("f{number}"), "16.0", &body)) == 202
    };
    (first..first + 40).take_while(submit).count()
}

#[test]
fn a_full_disk_stays_full_after_a_replacement_and_accepted_messages_are_delivered() {
    let gate = ReplyGate::default();
    let endpoint_gate = gate.clone();
    let (endpoint, known_endpoints) = endpoint_and_list(move |_, _| {
        endpoint_gate.wait_until_open();
        reply(200, "")
    });
    let platform = Platform::new(&[]);
    let mut sender = Sender::start_with_disk("replace-full", &platform, &known_endpoints, 0.05);
    let accepted = fill_disk(&sender, 0);
    assert!(
        accepted > 2 && accepted < 40,
        "{accepted} accepted until the disk is full"
    );
    assert_eq!(sender.replace().code, Some(0));
    assert_eq!(
        fill_disk(&sender, 100),
        0,
        "the disk is full for the new process, too"
    );
    assert_eq!(sender.operator_counters()["current"], accepted as u64);
    gate.open();
    let mut ids: Vec<String> = (0..accepted)
        .map(|_| endpoint.next_request().id().to_string())
        .collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), accepted, "each is delivered once");
    wait_until("all messages are complete", || {
        sender.operator_counters()["current"] == 0
    });
    assert_eq!(
        fill_disk(&sender, 200).min(2),
        2,
        "there is free space again"
    );
}

#[test]
fn idle_connections_over_the_limit_are_closed_and_partly_read_requests_are_passed_on() {
    let (endpoint, _platform, sender) =
        sender_with_endpoint("replace-limit", |_, _| reply(200, ""));
    // Of 256 descriptors, clients may use 115. Connections that are passed on are open in two processes for a moment,
    // so at most 104 are passed on.
    sender.change_config("\"sockets\":1024", "\"sockets\":256");
    let mut sender = sender.kill_and_restart();
    let mut clients: Vec<_> = (0..113).map(|_| sender.connect()).collect();
    let complete = request("debit", "partly-read", "16.0", "x");
    let mut partly_read = clients.swap_remove(0);
    send(&mut partly_read, &complete[..60]);
    wait_until("all are accepted", || {
        sender.call_operator("health\n") == "ACK serving\n"
    });
    let exit = sender.replace();
    assert!(
        exit.code == Some(0) && exit.output.contains(" clients=104 "),
        "{}",
        exit.output
    );
    send(&mut partly_read, &complete[60..]);
    assert_eq!(read_status(&mut partly_read), 202);
    assert_eq!(endpoint.next_request().id(), "partly-read");
}

#[test]
fn a_replacement_observes_a_backoff_requested_of_the_replaced_process() {
    let (endpoint, _platform, mut sender) =
        sender_with_endpoint("replace-backoff", |number, _| match number {
            0 => reply(429, "X-Backoff-Ms: 1500\r\n"),
            _ => reply(200, ""),
        });
    // Taken before the endpoint asks for the backoff, so that a slow machine can only make the measured time longer.
    let start = Instant::now();
    assert_eq!(sender.submit("debit", "w1", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "w1");
    assert_eq!(sender.replace().code, Some(0));
    assert_eq!(sender.submit("meter", "w2", "16.0"), 202);
    endpoint.next_request();
    assert!(
        start.elapsed() > Duration::from_millis(1500),
        "sent within the backoff: {:?}",
        start.elapsed()
    );
}
