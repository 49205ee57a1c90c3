//! Graceful shutdown.

use super::*;

#[test]
fn a_partial_request_does_not_keep_the_loop_awake_during_shutdown() {
    use std::io::Write;
    let silent_endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) =
        resumed_driver("partial-request", silent_endpoint.local_addr().unwrap());
    let address = driver.listen_address();
    let mut client = std::net::TcpStream::connect(address).unwrap();
    client.write_all(b"POST /debit HTTP/1.1\r\nX-Re").unwrap();
    while driver
        .ingress
        .clients
        .iter()
        .all(|(_, client)| client.connection.bytes().is_empty())
    {
        driver.round(vec![EventSource::ClientListener, EventSource::Client(0)]);
    }
    driver.begin_shutdown();
    clock.set(clock.now() + ACCEPT_UNTIL + 1.0);
    (0..3).for_each(|_| assert!(driver.round(Vec::new())));
    assert_eq!(
        driver.ingress.clients.len(),
        1,
        "the client may still complete its request"
    );
    assert!(driver.unfinished_sources.is_empty() && driver.poll_timeout() > 0.0);
}

/// Guards against an event loop that sleeps past the exit deadline: it must wake at least every 20 ms, even if nothing
/// is due.
#[test]
fn a_shutdown_ends_before_the_process_can_be_killed() {
    let silent_endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed_driver("end", silent_endpoint.local_addr().unwrap());
    driver.begin_shutdown();
    while driver.round(vec![EventSource::Endpoint(0)]) {
        assert!(driver.poll_timeout() <= 20.0);
        clock.set(clock.now() + driver.poll_timeout().max(1.0) + 5.0);
        assert!(
            clock.now() < START + 3_690.0,
            "not exited at 3.69 s, and SIGKILL may follow at 3.7 s"
        );
    }
    assert!(
        clock.now() >= START + ACCEPT_UNTIL,
        "messages are still accepted for a moment after SIGTERM"
    );
}

/// Guards against a delivered non-idempotent message whose answer is not read before the exit: the next process would
/// report it as undeliverable.
#[test]
fn an_answer_that_has_arrived_before_the_exit_is_recorded() {
    use std::io::Write;
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) =
        resumed_driver_with_timeout("exit", 9_000.0, endpoint.local_addr().unwrap());
    let mut peer = receive_request(&mut driver, &clock, &endpoint);
    driver.begin_shutdown();
    clock.set(clock.now() + ATTEMPTS_DEADLINE + 101.0);
    peer.write_all(OK_RESPONSE).unwrap();
    assert!(
        !driver.round(Vec::new()),
        "the process exits in a round without events"
    );
    assert_eq!(driver.store.open_count, 0);
    drop(driver);
    assert!(recovered_log("exit").open_messages.is_empty());
}
