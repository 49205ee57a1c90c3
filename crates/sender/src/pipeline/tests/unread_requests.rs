//! Requests that stay unread while the process is delayed. The platform counts the timeout of a message from when its
//! client sends it.

use super::ingress::{REQUEST, idle_client};
use super::*;

use std::io::Write;
use std::net::TcpStream;

/// The timeout of the message in [`REQUEST`].
const TIMEOUT: Millis = 9_000.0;
/// How long a client waits for the answer to its request. It ignores a later answer.
const CLIENT_PATIENCE: Millis = 400.0;

fn driver(name: &str) -> (Driver, Clock, TestLoop) {
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    resumed_driver_with_timeout(name, 60_000.0, endpoint.local_addr().unwrap())
}

/// Runs rounds until the message in [`REQUEST`] is read. Returns its deadline.
fn deadline_once_read(driver: &mut Driver) -> Millis {
    repeat_until(|| {
        driver.round(vec![EventSource::ClientListener, EventSource::Client(0)]);
        driver.store.numbers_by_id.contains_key("q")
    });
    let number = driver.store.numbers_by_id["q"];
    driver.store.record(number).unwrap().deadline
}

/// Runs two rounds with nothing to read, a few milliseconds apart.
fn run_idle(driver: &mut Driver, clock: &Clock) {
    for _ in 0..2 {
        clock.set(clock.now() + 4.0);
        driver.round(Vec::new());
    }
}

/// Connects a client: one that the sender has served before, or one that it has not accepted yet.
fn connected_client(driver: &mut Driver, clock: &Clock, served_before: bool) -> TcpStream {
    let client = if served_before {
        idle_client(driver)
    } else {
        driver.round(Vec::new());
        TcpStream::connect(driver.listen_address()).unwrap()
    };
    run_idle(driver, clock);
    client
}

/// Guards against a timeout that counts from the read: after a delay of the process, the status report would come too
/// late.
#[test]
fn the_timeout_of_a_request_that_stayed_unread_counts_from_its_arrival() {
    for served_before in [true, false] {
        let (mut driver, clock, _events) = driver(&format!("unread-{served_before}"));
        let mut client = connected_client(&mut driver, &clock, served_before);
        let sent_at = clock.now();
        client.write_all(REQUEST).unwrap();
        clock.set(sent_at + 380.0);
        let excess = deadline_once_read(&mut driver) - (sent_at + TIMEOUT);
        assert!(
            excess <= 0.0,
            "served before: {served_before}, {excess} ms too late"
        );
    }
}

/// Guards against a request that counts as younger than it is, because accepting the earlier connections in the accept
/// queue takes several rounds.
#[test]
fn the_timeout_of_a_request_that_waited_in_the_accept_queue_counts_from_its_arrival() {
    const EARLIER_CLIENTS: usize = 250;
    let (mut driver, clock, _events) = driver("accept-queue");
    driver.round(Vec::new());
    run_idle(&mut driver, &clock);
    let address = driver.listen_address();
    let connect = || TcpStream::connect(address).unwrap();
    let _earlier_clients: Vec<TcpStream> = (0..EARLIER_CLIENTS).map(|_| connect()).collect();
    let mut client = connect();
    let sent_at = clock.now();
    client.write_all(REQUEST).unwrap();
    repeat_until(|| {
        clock.set(clock.now() + 10.0);
        driver.round(vec![EventSource::ClientListener]);
        driver.store.numbers_by_id.contains_key("q")
    });
    assert!(
        clock.now() > sent_at + 10.0,
        "the accept queue is emptied in several rounds"
    );
    let number = driver.store.numbers_by_id["q"];
    assert!(driver.store.record(number).unwrap().deadline <= sent_at + TIMEOUT);
}

/// Guards against an unknown age that is treated as zero: before the first poll, it is unknown when bytes arrived.
#[test]
fn the_first_round_assumes_the_maximum_age_of_a_request() {
    let (mut driver, clock, _events) = driver("unread-at-start");
    let mut client = TcpStream::connect(driver.listen_address()).unwrap();
    client.write_all(REQUEST).unwrap();
    let earliest_arrival = clock.now() - CLIENT_PATIENCE;
    assert!(deadline_once_read(&mut driver) <= earliest_arrival + TIMEOUT);
}

/// Guards against a timeout that is shortened although the request is read at once.
#[test]
fn a_request_that_is_read_at_once_keeps_its_full_timeout() {
    for served_before in [true, false] {
        let (mut driver, clock, _events) = driver(&format!("read-{served_before}"));
        let mut client = connected_client(&mut driver, &clock, served_before);
        client.write_all(REQUEST).unwrap();
        clock.set(clock.now() + 4.0);
        let earliest_deadline = clock.now() + TIMEOUT - 10.0;
        assert!(
            deadline_once_read(&mut driver) >= earliest_deadline,
            "served before: {served_before}"
        );
    }
}

/// Guards against a request that counts as old as its connection, although the connection was silent before.
#[test]
fn a_request_on_a_connection_that_was_silent_keeps_its_full_timeout() {
    let (mut driver, clock, _events) = driver("silent-first");
    driver.round(Vec::new());
    let mut client = TcpStream::connect(driver.listen_address()).unwrap();
    repeat_until(|| {
        driver.round(vec![EventSource::ClientListener]);
        !driver.ingress.clients.is_empty()
    });
    clock.set(clock.now() + 300.0);
    driver.round(Vec::new());
    run_idle(&mut driver, &clock);
    client.write_all(REQUEST).unwrap();
    let earliest_deadline = clock.now() + TIMEOUT - 10.0;
    assert!(deadline_once_read(&mut driver) >= earliest_deadline);
}
