//! Attempts: their records, their results, and the one end of their message.

use super::*;

/// Runs until the message has ended: its final status, and how long after its deadline it ended.
fn run_to_the_end(name: &str, endpoint: SocketAddr) -> (Option<FinalStatus>, Millis) {
    let (mut driver, clock, _events) = resumed(name, endpoint);
    while driver.store.open > 0 && clock.now() < START + 9_000.0 {
        assert!(
            driver.round(vec![EventSource::Endpoint(0)]),
            "nothing tells the process to end"
        );
        clock.set(clock.now() + 10.0);
    }
    (
        driver
            .store
            .messages
            .get(&3)
            .and_then(|t| t.record.final_status),
        clock.now() - START - 2_000.0,
    )
}

#[test]
fn an_unanswered_message_ends_at_its_deadline_by_what_may_have_run() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (status, late) = run_to_the_end("silent", silent.local_addr().unwrap());
    assert_eq!(
        status,
        Some(FinalStatus::Undeliverable),
        "an attempt was in flight and may have run"
    );
    assert!(late < 100.0, "{late} ms after its deadline");
    // Nobody listens there: no attempt can have run, so the client may send the message again.
    let (status, late) = run_to_the_end("closed", "127.77.0.1:9".parse().unwrap());
    assert!(
        matches!(status, Some(FinalStatus::Deferred(_))),
        "{status:?}"
    );
    assert!(late < 100.0, "{late} ms after its deadline");
}

#[test]
fn the_latest_wake_of_the_decision_module_replaces_an_earlier_one() {
    // The module counts on its latest wake alone. If an earlier one displaced it, waiting messages would not be looked
    // at before the next event or their deadlines.
    let (mut driver, ..) = resumed("wake", "127.77.0.1:9".parse().unwrap());
    driver.perform_one(Action::WakeAfter(nanos(10.0)), START);
    driver.perform_one(Action::WakeAfter(nanos(300.0)), START + 8.0);
    driver.decision.turn(START + 10.0);
    assert_eq!(driver.decision.wake_at, Some(START + 308.0));
}

#[test]
fn a_resumed_unattempted_message_is_counted_until_it_is_attempted_or_ends() {
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let counted = |driver: &Driver| {
        let c = &driver.store.counters;
        (c.unattempted, c.unattempted_started, c.unattempted_ended)
    };
    let (mut driver, clock, _events) = resumed("attempted", endpoint.local_addr().unwrap());
    assert_eq!(counted(&driver), (1, 0, 0));
    while driver.store.counters.unattempted_started == 0 && clock.now() < START + 2_000.0 {
        driver.round(Vec::new());
        clock.set(clock.now() + 10.0);
    }
    assert_eq!(
        counted(&driver),
        (1, 1, 0),
        "it is attempted before its deadline"
    );
    let (mut driver, clock, _events) = resumed("ended", endpoint.local_addr().unwrap());
    clock.set(START + 2_000.0 + OVERDUE_AFTER + 1.0);
    driver.round(Vec::new());
    assert_eq!(
        counted(&driver),
        (1, 0, 1),
        "its deadline had passed before"
    );
}

#[rstest::rstest]
#[case::while_its_connection_comes_up(false)]
#[case::once_it_is_up(true)]
fn a_kill_leaves_a_record_of_an_attempt_only_once_its_connection_is_up(#[case] up: bool) {
    // A non-idempotent message with a recorded attempt is not attempted again. If the record were written before the
    // connection is up, the message would end without any attempt.
    let endpoint =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    endpoint
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    endpoint.listen(if up { 9 } else { 0 }).unwrap();
    let address = endpoint.local_addr().unwrap().as_socket().unwrap();
    // With the backlog full, a further connection stays pending.
    let crowd: Vec<_> = (0..if up { 0 } else { 2 })
        .map(|_| {
            let one =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            one.set_nonblocking(true).unwrap();
            let _ = one.connect(&address.into());
            one
        })
        .collect();
    let name = format!("coming-{up}");
    let (mut driver, clock, _events) = resumed(&name, address);
    while driver.store.counters.unattempted_started == 0 && clock.now() < START + 2_000.0 {
        driver.round(vec![EventSource::Endpoint(0)]);
        clock.set(clock.now() + 5.0);
    }
    assert_eq!(
        driver.egress.active_attempts(),
        1,
        "its attempt is in flight"
    );
    if up {
        // On loopback the connection is up at once; a round lets the request begin.
        driver.round(vec![EventSource::Endpoint(0)]);
    }
    drop(driver);
    let past = logged(&name);
    let may_have_run = past.open[&3]
        .attempts
        .iter()
        .filter(|t| !t.never_ran)
        .count();
    assert_eq!(may_have_run, usize::from(up));
    drop(crowd);
}

#[test]
fn a_message_answered_as_it_is_given_up_has_one_end() {
    use std::io::Write;
    // The answer arrived before the status report was sent, so the platform must not hear of a failure.
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("given-up", endpoint.local_addr().unwrap());
    let mut peer = receive_request(&mut driver, &clock, &endpoint);
    peer.write_all(OK).unwrap();
    let (id, attempt) = (MessageId(3), 0);
    driver.perform(
        vec![Action::Fail { id }, Action::Cancel { id, attempt }],
        clock.now(),
    );
    assert_eq!(
        (
            driver.status_reporter.unconfirmed().len(),
            driver.store.open
        ),
        (0, 0),
        "it is delivered, and there is nothing to report"
    );
    assert!(
        driver
            .store
            .wal
            .recently_closed
            .iter()
            .any(|id| &**id == "a")
    );
}

#[test]
fn the_retry_after_of_a_cancelled_attempt_holds_for_the_same_round() {
    use std::io::{Read, Write};
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("cancelled", endpoint.local_addr().unwrap());
    let mut peer = receive_request(&mut driver, &clock, &endpoint);
    let other = MessageRecord {
        number: 4,
        id: Rc::from("b"),
        attempts: Vec::new(),
        ..driver.store.messages[&3].record.clone()
    };
    driver.store.insert(other, MessageState::Open);
    peer.write_all(b"HTTP/1.1 429 Full\r\nX-Backoff-Ms: 900\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    let now = clock.now();
    let send = Action::Send {
        id: MessageId(4),
        endpoint: EndpointId(0),
        timeout: nanos(500.0),
        latest_start: u64::MAX,
    };
    let cancel = Action::Cancel {
        id: MessageId(3),
        attempt: 0,
    };
    driver.perform(vec![send, cancel], now);
    driver.round((0..9).map(EventSource::Endpoint).collect());
    // The second message waits as well, and nothing was sent on its connection.
    assert!(
        driver.egress.active_attempts() == 0
            && driver.store.messages[&4]
                .record
                .attempts
                .iter()
                .all(|t| t.never_ran)
    );
    drop(driver);
    endpoint.set_nonblocking(true).unwrap();
    while let Ok((mut peer, _)) = endpoint.accept() {
        let mut text = String::new();
        peer.set_nonblocking(false).unwrap();
        let _ = peer.read_to_string(&mut text);
        assert!(!text.contains("/v1/messages"), "{text}");
    }
}

#[test]
fn without_free_buffers_the_loop_does_not_spin() {
    use std::io::Write;
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("spin", endpoint.local_addr().unwrap());
    let mut peer = receive_request(&mut driver, &clock, &endpoint);
    let taken_buffers: Vec<_> = std::iter::from_fn(|| driver.egress.pool.take()).collect();
    peer.write_all(b"HTTP/1.1 2").unwrap();
    let sources = || (0..9).map(EventSource::Endpoint).collect();
    until(|| {
        driver.round(sources());
        !driver.unfinished_sources.is_empty()
    });
    assert!(
        driver.sleep() > 0.0,
        "there is more to read, and nothing to read it into"
    );
    drop(taken_buffers);
    driver.round(sources());
    peer.write_all(b"00 OK\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    until(|| {
        driver.round(sources());
        driver.store.open == 0
    });
    assert_eq!(driver.store.counters.success, 1);
}

/// An attempt of the resumed message, as the decision module asks for it.
fn send_action(now: Millis) -> Action {
    Action::Send {
        id: MessageId(3),
        endpoint: EndpointId(0),
        timeout: nanos(1_000.0),
        latest_start: nanos(now + 1_000.0),
    }
}

/// Whether a message comes on a new connection to an endpoint, at whose address the watch and the reports come, too.
fn receives_message(driver: &mut Driver, endpoint: &TcpListener) -> bool {
    use std::io::Read;
    endpoint.set_nonblocking(true).unwrap();
    let mut bytes = Vec::new();
    for _ in 0..20 {
        driver.round((0..4).map(EventSource::Endpoint).collect());
        if let Ok((mut stream, _)) = endpoint.accept() {
            stream.set_nonblocking(true).unwrap();
            std::thread::sleep(std::time::Duration::from_millis(20));
            let _ = stream.read_to_end(&mut bytes);
        }
    }
    String::from_utf8_lossy(&bytes).contains("POST /v1/messages")
}

#[test]
fn an_attempt_of_a_message_that_is_given_up_in_the_same_turn_is_not_sent() {
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("sent-behind", endpoint.local_addr().unwrap());
    let now = clock.now();
    let id = MessageId(3);
    driver.perform(vec![send_action(now), Action::Fail { id }], now);
    assert!(!receives_message(&mut driver, &endpoint));
}

#[test]
fn a_hedge_that_has_not_begun_is_not_sent_once_its_message_is_delivered() {
    use std::io::Write;
    // The answer of the first attempt and the connection of the second come in the same round.
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("late-hedge", endpoint.local_addr().unwrap());
    let mut peer = receive_request(&mut driver, &clock, &endpoint);
    driver.perform_one(send_action(clock.now()), clock.now());
    peer.write_all(OK).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(20));
    assert!(!receives_message(&mut driver, &endpoint));
    assert_eq!(driver.store.open, 0, "it is delivered");
}

#[test]
fn a_message_keeps_its_attempts_while_the_log_takes_no_records() {
    // An attempt without a record must not begin. If each try counted, a folder that fails for a moment would use up
    // all attempts of every message.
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("no-records", endpoint.local_addr().unwrap());
    let sick = empty_folder(&folder_name("no-records-log"));
    std::fs::create_dir(sick.join("ledger")).unwrap();
    let (sick_log, _) = WriteAheadLog::open(&sick, DISK_LIMIT);
    let log = std::mem::replace(&mut driver.store.wal, sick_log);
    for _ in 0..100 {
        driver.round((0..4).map(EventSource::Endpoint).collect());
        clock.set(clock.now() + 10.0);
    }
    assert!(driver.store.is_open(3), "it is still owed");
    assert!(driver.store.messages[&3].record.attempts.len() <= 1);
    driver.store.wal = log;
    clock.set(clock.now() + 20.0);
    assert!(receives_message(&mut driver, &endpoint));
}

/// Guards against a success that the platform does not count, because the message's time was up when it was written: if
/// the message ended without a report, it would count as lost.
#[rstest::rstest]
#[case::well_before_the_deadline(-500.0, false)]
#[case::a_moment_before_the_deadline(-1.0, true)]
#[case::a_moment_after_the_deadline(0.5, true)]
#[case::in_the_round_that_comes_late(60.0, true)]
fn a_success_as_the_time_runs_out_is_reported_too(#[case] behind: Millis, #[case] reported: bool) {
    use std::io::Write;
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let name = format!("late-success-{behind}");
    let (mut driver, clock, _events) = resumed(&name, endpoint.local_addr().unwrap());
    let mut peer = receive_request(&mut driver, &clock, &endpoint);
    clock.set(START + 2_000.0 + behind);
    peer.write_all(OK).unwrap();
    until(|| {
        driver.round((0..9).map(EventSource::Endpoint).collect());
        driver.store.open == 0
    });
    let report_owed = driver.status_reporter.unconfirmed().len() == 1;
    assert_eq!(report_owed, reported);
}

/// Guards against a report that is taken back because of a success that the platform does not count.
#[test]
fn a_report_that_waits_at_the_deadline_is_not_withdrawn_for_a_late_success() {
    use std::io::Write;
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("late-withdrawal", endpoint.local_addr().unwrap());
    let mut peer = receive_request(&mut driver, &clock, &endpoint);
    clock.set(START + 2_000.5);
    peer.write_all(OK).unwrap();
    let (id, attempt) = (MessageId(3), 0);
    driver.perform(
        vec![Action::Fail { id }, Action::Cancel { id, attempt }],
        clock.now(),
    );
    assert_eq!(driver.status_reporter.unconfirmed().len(), 1);
}
