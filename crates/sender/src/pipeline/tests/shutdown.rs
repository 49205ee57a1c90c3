//! Graceful shutdown.

use super::*;

#[test]
fn a_partial_request_does_not_keep_the_loop_awake_during_shutdown() {
    use std::io::Write;
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("half", silent.local_addr().unwrap());
    let address = driver
        .ingress
        .listener
        .as_ref()
        .unwrap()
        .local_addr()
        .unwrap();
    let mut half = std::net::TcpStream::connect(address).unwrap();
    half.write_all(b"POST /debit HTTP/1.1\r\nX-Re").unwrap();
    while driver
        .ingress
        .clients
        .iter()
        .all(|(_, c)| c.connection.bytes().is_empty())
    {
        driver.round(vec![EventSource::Listener, EventSource::Client(0)]);
    }
    driver.end();
    clock.set(clock.now() + ACCEPT_UNTIL + 1.0);
    (0..3).for_each(|_| assert!(driver.round(Vec::new())));
    assert_eq!(
        driver.ingress.clients.len(),
        1,
        "it may still be asked whole"
    );
    assert!(driver.unfinished_sources.is_empty() && driver.sleep() > 0.0);
}

#[test]
fn a_shutdown_is_over_before_the_process_can_be_killed() {
    // Guards against sleeping past the last instant: the loop looks again within 20 ms, whatever is due.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("end", silent.local_addr().unwrap());
    driver.end();
    while driver.round(vec![EventSource::Region(0)]) {
        assert!(driver.sleep() <= 20.0);
        clock.set(clock.now() + driver.sleep().max(1.0) + 5.0);
        assert!(clock.now() < START + 3_690.0, "SIGKILL may come at 3.7 s");
    }
    assert!(
        clock.now() >= START + ACCEPT_UNTIL,
        "clients may come for a moment more"
    );
}

#[test]
fn an_answer_that_has_arrived_before_the_exit_is_recorded() {
    use std::io::Write;
    // Guards an unsafe message that has been delivered: not heard, it ends as undeliverable in the next life.
    let region = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed_with("exit", 9_000.0, region.local_addr().unwrap());
    let mut peer = called(&mut driver, &clock, &region);
    driver.end();
    clock.set(clock.now() + ATTEMPTS_END + 101.0);
    peer.write_all(OK).unwrap();
    assert!(
        !driver.round(Vec::new()),
        "it goes, with no word that anything has come"
    );
    assert_eq!(driver.store.open, 0);
    drop(driver);
    let state =
        std::env::temp_dir().join(format!("martenlatch-stages-exit-{}", std::process::id()));
    assert!(
        martenlatch_wal::LogInspection::open(&state)
            .unwrap()
            .past
            .open
            .is_empty()
    );
}
