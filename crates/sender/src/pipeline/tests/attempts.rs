//! Attempts: their records, their results, and the single end of their message.

use super::*;

/// Runs until the message has ended. Returns its final status, and how long after its deadline it ended.
fn run_until_message_ends(name: &str, endpoint: SocketAddr) -> (Option<FinalStatus>, Millis) {
    let (mut driver, clock, _events) = resumed_driver(name, endpoint);
    while driver.store.open_count > 0 && clock.now() < START + 9_000.0 {
        assert!(
            driver.round(vec![EventSource::Endpoint(0)]),
            "the process exited without a shutdown"
        );
        clock.set(clock.now() + 10.0);
    }
    (
        driver
            .store
            .messages
            .get(&3)
            .and_then(|message| message.record.final_status),
        clock.now() - START - 2_000.0,
    )
}

#[test]
fn an_unanswered_message_is_undeliverable_at_its_deadline_only_if_an_attempt_may_have_run() {
    let silent_endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (status, late) = run_until_message_ends("silent", silent_endpoint.local_addr().unwrap());
    assert_eq!(
        status,
        Some(FinalStatus::Undeliverable),
        "an attempt was in flight and may have run"
    );
    assert!(late < 100.0, "{late} ms after its deadline");
    // Nothing listens at this address: no attempt can have run, so the client may send the message again.
    let (status, late) = run_until_message_ends("closed", "127.77.0.1:9".parse().unwrap());
    assert!(
        matches!(status, Some(FinalStatus::Deferred(_))),
        "{status:?}"
    );
    assert!(late < 100.0, "{late} ms after its deadline");
}

/// Guards against an earlier wake-up that displaces the latest one: the decision module relies on the latest one alone,
/// and would otherwise not examine waiting messages before the next event or their deadlines.
#[test]
fn the_latest_wake_up_of_the_decision_module_replaces_an_earlier_one() {
    let (mut driver, ..) = resumed_driver("wake", "127.77.0.1:9".parse().unwrap());
    driver.perform_one(Action::WakeAfter(nanos(10.0)), START);
    driver.perform_one(Action::WakeAfter(nanos(300.0)), START + 8.0);
    driver.decision.turn(START + 10.0);
    assert_eq!(driver.decision.wake_at, Some(START + 308.0));
}

#[test]
fn a_resumed_unattempted_message_is_counted_as_started_or_ended() {
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let counts = |driver: &Driver| {
        let counters = &driver.store.counters;
        (
            counters.unattempted,
            counters.unattempted_started,
            counters.unattempted_ended,
        )
    };
    let (mut driver, clock, _events) = resumed_driver("attempted", endpoint.local_addr().unwrap());
    assert_eq!(counts(&driver), (1, 0, 0));
    while driver.store.counters.unattempted_started == 0 && clock.now() < START + 2_000.0 {
        driver.round(Vec::new());
        clock.set(clock.now() + 10.0);
    }
    assert_eq!(
        counts(&driver),
        (1, 1, 0),
        "the message is attempted before its deadline"
    );
    let (mut driver, clock, _events) = resumed_driver("ended", endpoint.local_addr().unwrap());
    clock.set(START + 2_000.0 + OVERDUE_AFTER + 1.0);
    driver.round(Vec::new());
    assert_eq!(
        counts(&driver),
        (1, 0, 1),
        "the deadline passed before an attempt started"
    );
}

/// Guards against an attempt that is recorded before its connection is established. If the process were killed then,
/// the message would end without any attempt: a non-idempotent message with a recorded attempt is not attempted again.
#[rstest::rstest]
#[case::while_the_connection_is_being_established(false)]
#[case::once_the_connection_is_established(true)]
fn a_kill_leaves_a_record_of_an_attempt_only_once_its_connection_is_established(
    #[case] established: bool,
) {
    let endpoint =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    endpoint
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    endpoint.listen(if established { 9 } else { 0 }).unwrap();
    let address = endpoint.local_addr().unwrap().as_socket().unwrap();
    // While the backlog is full, a further connection stays pending.
    let pending_connections: Vec<_> = (0..if established { 0 } else { 2 })
        .map(|_| {
            let socket =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            let _ = socket.connect(&address.into());
            socket
        })
        .collect();
    let name = format!("connecting-{established}");
    let (mut driver, clock, _events) = resumed_driver(&name, address);
    while driver.store.counters.unattempted_started == 0 && clock.now() < START + 2_000.0 {
        driver.round(vec![EventSource::Endpoint(0)]);
        clock.set(clock.now() + 5.0);
    }
    assert_eq!(
        driver.egress.active_attempts(),
        1,
        "the attempt is in flight"
    );
    if established {
        // On loopback the connection is established at once. The request begins in the next round.
        driver.round(vec![EventSource::Endpoint(0)]);
    }
    drop(driver);
    let recovered = recovered_log(&name);
    let may_have_run = recovered.open_messages[&3]
        .attempts
        .iter()
        .filter(|attempt| !attempt.never_ran)
        .count();
    assert_eq!(may_have_run, usize::from(established));
    drop(pending_connections);
}

/// Guards against a status report for a delivered message: if the answer arrives before the report is sent, the report
/// must be withdrawn.
#[test]
fn a_message_that_is_answered_as_it_is_given_up_is_delivered_and_not_reported() {
    use std::io::Write;
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed_driver("given-up", endpoint.local_addr().unwrap());
    let mut peer = receive_request(&mut driver, &clock, &endpoint);
    peer.write_all(OK_RESPONSE).unwrap();
    let (id, attempt) = (MessageId(3), 0);
    driver.perform(
        vec![Action::Fail { id }, Action::Cancel { id, attempt }],
        clock.now(),
    );
    assert_eq!(
        (
            driver.status_reporter.unconfirmed().len(),
            driver.store.open_count
        ),
        (0, 0),
        "the message is delivered, and no report is pending"
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
fn the_retry_after_that_a_cancelled_attempt_received_applies_in_the_same_round() {
    use std::io::{Read, Write};
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed_driver("cancelled", endpoint.local_addr().unwrap());
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
    // The second message also waits, and nothing was sent on its connection.
    assert!(
        driver.egress.active_attempts() == 0
            && driver.store.messages[&4]
                .record
                .attempts
                .iter()
                .all(|attempt| attempt.never_ran)
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
    let (mut driver, clock, _events) = resumed_driver("spin", endpoint.local_addr().unwrap());
    let mut peer = receive_request(&mut driver, &clock, &endpoint);
    let taken_buffers: Vec<_> = std::iter::from_fn(|| driver.egress.buffers.take()).collect();
    peer.write_all(b"HTTP/1.1 2").unwrap();
    let sources = || (0..9).map(EventSource::Endpoint).collect();
    repeat_until(|| {
        driver.round(sources());
        !driver.unfinished_sources.is_empty()
    });
    assert!(
        driver.poll_timeout() > 0.0,
        "there is more to read, but no buffer to read it into"
    );
    drop(taken_buffers);
    driver.round(sources());
    peer.write_all(b"00 OK\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    repeat_until(|| {
        driver.round(sources());
        driver.store.open_count == 0
    });
    assert_eq!(driver.store.counters.success, 1);
}

/// The action with which the decision module requests an attempt of the resumed message.
fn send_action(now: Millis) -> Action {
    Action::Send {
        id: MessageId(3),
        endpoint: EndpointId(0),
        timeout: nanos(1_000.0),
        latest_start: nanos(now + 1_000.0),
    }
}

/// Whether a message arrives at the endpoint on a new connection. The watch and the status reports go to the same
/// address.
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
    let (mut driver, clock, _events) =
        resumed_driver("given-up-in-turn", endpoint.local_addr().unwrap());
    let now = clock.now();
    let id = MessageId(3);
    driver.perform(vec![send_action(now), Action::Fail { id }], now);
    assert!(!receives_message(&mut driver, &endpoint));
}

#[test]
fn a_hedge_that_has_not_begun_is_not_sent_once_its_message_is_delivered() {
    use std::io::Write;
    // The answer to the first attempt arrives in the round in which the connection of the second is established.
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed_driver("late-hedge", endpoint.local_addr().unwrap());
    let mut peer = receive_request(&mut driver, &clock, &endpoint);
    driver.perform_one(send_action(clock.now()), clock.now());
    peer.write_all(OK_RESPONSE).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(20));
    assert!(!receives_message(&mut driver, &endpoint));
    assert_eq!(driver.store.open_count, 0, "the message is delivered");
}

/// Guards against a brief failure of the folder that uses up all attempts of every message: an attempt without a record
/// must not begin, and must not count either.
#[test]
fn attempts_that_cannot_be_recorded_are_not_used_up() {
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed_driver("no-records", endpoint.local_addr().unwrap());
    let unwritable_folder = empty_folder(&folder_name("no-records-log"));
    std::fs::create_dir(unwritable_folder.join("ledger")).unwrap();
    let (unwritable_log, _) = WriteAheadLog::open(&unwritable_folder, DISK_LIMIT);
    let log = std::mem::replace(&mut driver.store.wal, unwritable_log);
    for _ in 0..100 {
        driver.round((0..4).map(EventSource::Endpoint).collect());
        clock.set(clock.now() + 10.0);
    }
    assert!(driver.store.is_open(3), "the message is still open");
    assert!(driver.store.messages[&3].record.attempts.len() <= 1);
    driver.store.wal = log;
    clock.set(clock.now() + 20.0);
    assert!(receives_message(&mut driver, &endpoint));
}

/// Guards against a message that counts as lost: the platform does not count a success that was written after the
/// message's time had passed, so the message must not end without a report.
#[rstest::rstest]
#[case::well_before_the_deadline(-500.0, false)]
#[case::a_moment_before_the_deadline(-1.0, true)]
#[case::a_moment_after_the_deadline(0.5, true)]
#[case::in_a_late_round(60.0, true)]
fn a_success_near_or_after_the_deadline_is_also_reported(
    #[case] after_deadline: Millis,
    #[case] reported: bool,
) {
    use std::io::Write;
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let name = format!("late-success-{after_deadline}");
    let (mut driver, clock, _events) = resumed_driver(&name, endpoint.local_addr().unwrap());
    let mut peer = receive_request(&mut driver, &clock, &endpoint);
    clock.set(START + 2_000.0 + after_deadline);
    peer.write_all(OK_RESPONSE).unwrap();
    repeat_until(|| {
        driver.round((0..9).map(EventSource::Endpoint).collect());
        driver.store.open_count == 0
    });
    let report_pending = driver.status_reporter.unconfirmed().len() == 1;
    assert_eq!(report_pending, reported);
}

/// Guards against a report that is withdrawn because of a success that the platform does not count.
#[test]
fn a_report_that_is_pending_at_the_deadline_is_not_withdrawn_for_a_late_success() {
    use std::io::Write;
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) =
        resumed_driver("late-withdrawal", endpoint.local_addr().unwrap());
    let mut peer = receive_request(&mut driver, &clock, &endpoint);
    clock.set(START + 2_000.5);
    peer.write_all(OK_RESPONSE).unwrap();
    let (id, attempt) = (MessageId(3), 0);
    driver.perform(
        vec![Action::Fail { id }, Action::Cancel { id, attempt }],
        clock.now(),
    );
    assert_eq!(driver.status_reporter.unconfirmed().len(), 1);
}

/// Guards against a deferral of a message that may have run, and against an end that keeps the client of any other message
/// from coming again.
#[rstest::rstest]
#[case::non_idempotent("side_effect", FinalStatus::Undeliverable)]
#[case::idempotent("pure", FinalStatus::Deferred(Some(700)))]
fn while_a_rejection_is_unsettled_only_a_message_that_may_be_repeated_is_deferred(
    #[case] effect: &str,
    #[case] expected: FinalStatus,
) {
    let (mut driver, ..) = resumed_driver_with_settings(
        &format!("unsettled-{effect}"),
        2_000.0,
        "127.77.0.1:9".parse().unwrap(),
        &SETTINGS.replace("side_effect", effect),
    );
    let message = driver.store.messages.get_mut(&3).unwrap();
    message.unsettled_rejections.push(0);
    let reject = Action::Reject {
        id: MessageId(3),
        retry_after: Some(nanos(700.0)),
    };
    driver.perform_one(reject, START);
    assert_eq!(
        driver.store.messages[&3].record.final_status,
        Some(expected)
    );
}
