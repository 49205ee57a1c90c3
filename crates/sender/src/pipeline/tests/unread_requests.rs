//! Requests that lie unread while the process is held up: the platform counts their time from the hand-in.

use super::ingress::{REQUEST, idle_client};
use super::*;

use std::io::Write;
use std::net::TcpStream;

/// What [`REQUEST`] grants.
const TIMEOUT: Millis = 9_000.0;
/// A client waits so long for the answer to its request; what it hears later counts for nothing.
const CLIENT_PATIENCE: Millis = 400.0;

fn driver(name: &str) -> (Driver, Clock, TestLoop) {
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    resumed_with(name, 60_000.0, endpoint.local_addr().unwrap())
}

/// The deadline of the message of [`REQUEST`], once it is read.
fn deadline_once_read(driver: &mut Driver) -> Millis {
    until(|| {
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

/// A client that is connected, on a connection that the sender has used or on one that it has not accepted yet.
fn connected_client(driver: &mut Driver, clock: &Clock, in_use: bool) -> TcpStream {
    let client = if in_use {
        idle_client(driver)
    } else {
        driver.round(Vec::new());
        TcpStream::connect(driver.listen_address()).unwrap()
    };
    run_idle(driver, clock);
    client
}

/// Guards against a deadline that counts from the read: the report of the end would come after the client's time.
#[test]
fn the_time_of_a_request_that_lay_unread_counts_from_its_arrival() {
    for in_use in [true, false] {
        let (mut driver, clock, _events) = driver(&format!("unread-{in_use}"));
        let mut client = connected_client(&mut driver, &clock, in_use);
        let handed_in = clock.now();
        client.write_all(REQUEST).unwrap();
        clock.set(handed_in + 380.0);
        let excess = deadline_once_read(&mut driver) - (handed_in + TIMEOUT);
        assert!(excess <= 0.0, "in use {in_use}: {excess} ms too late");
    }
}

/// Guards against a request that counts as younger because others were accepted before it, in several rounds.
#[test]
fn the_time_of_a_request_behind_a_crowd_in_the_accept_queue_counts_from_its_arrival() {
    const CROWD: usize = 250;
    let (mut driver, clock, _events) = driver("crowd-in-queue");
    driver.round(Vec::new());
    run_idle(&mut driver, &clock);
    let address = driver.listen_address();
    let connect = || TcpStream::connect(address).unwrap();
    let _crowd: Vec<TcpStream> = (0..CROWD).map(|_| connect()).collect();
    let mut client = connect();
    let handed_in = clock.now();
    client.write_all(REQUEST).unwrap();
    until(|| {
        clock.set(clock.now() + 10.0);
        driver.round(vec![EventSource::ClientListener]);
        driver.store.numbers_by_id.contains_key("q")
    });
    assert!(clock.now() > handed_in + 10.0, "one round takes them all");
    let number = driver.store.numbers_by_id["q"];
    assert!(driver.store.record(number).unwrap().deadline <= handed_in + TIMEOUT);
}

/// Guards against an unknown age that passes for none: before the first poll, nothing is known of when bytes came.
#[test]
fn the_age_of_a_request_that_the_first_round_finds_is_unknown() {
    let (mut driver, clock, _events) = driver("unread-at-start");
    let mut client = TcpStream::connect(driver.listen_address()).unwrap();
    client.write_all(REQUEST).unwrap();
    let handed_in = clock.now() - CLIENT_PATIENCE;
    assert!(deadline_once_read(&mut driver) <= handed_in + TIMEOUT);
}

/// Guards against an age that takes from the time of requests that are read at once.
#[test]
fn a_request_that_is_read_at_once_keeps_its_time() {
    for in_use in [true, false] {
        let (mut driver, clock, _events) = driver(&format!("read-{in_use}"));
        let mut client = connected_client(&mut driver, &clock, in_use);
        client.write_all(REQUEST).unwrap();
        clock.set(clock.now() + 4.0);
        let least = clock.now() + TIMEOUT - 10.0;
        assert!(deadline_once_read(&mut driver) >= least, "in use {in_use}");
    }
}

/// Guards against an idle connection whose next request counts as old as the connection.
#[test]
fn a_request_on_a_connection_that_was_silent_keeps_its_time() {
    let (mut driver, clock, _events) = driver("silent-first");
    driver.round(Vec::new());
    let mut client = TcpStream::connect(driver.listen_address()).unwrap();
    until(|| {
        driver.round(vec![EventSource::ClientListener]);
        !driver.ingress.clients.is_empty()
    });
    clock.set(clock.now() + 300.0);
    driver.round(Vec::new());
    run_idle(&mut driver, &clock);
    client.write_all(REQUEST).unwrap();
    let least = clock.now() + TIMEOUT - 10.0;
    assert!(deadline_once_read(&mut driver) >= least);
}
