//! Attempts: their records, their results, and the one end of their message.

use super::*;

/// Plays the transaction's time out: what ended it, and how long after its time.
fn outlived(story: &str, region: SocketAddr) -> (Option<FinalStatus>, Millis) {
    let (mut driver, clock, _events) = resumed(story, region);
    while driver.store.open > 0 && clock.now() < START + 9_000.0 {
        assert!(
            driver.round(vec![EventSource::Region(0)]),
            "nothing tells it to end"
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
    let (notice, late) = outlived("silent", silent.local_addr().unwrap());
    assert_eq!(
        notice,
        Some(FinalStatus::Undeliverable),
        "it was out and may have run"
    );
    assert!(late < 100.0, "{late} ms after its time");
    // Nobody listens there: each task is proven never to have run, so the client may come again.
    let (notice, late) = outlived("closed", "127.77.0.1:9".parse().unwrap());
    assert!(
        matches!(notice, Some(FinalStatus::Deferred(_))),
        "{notice:?}"
    );
    assert!(late < 100.0, "{late} ms after its time");
}

#[test]
fn the_latest_wake_of_the_decision_module_replaces_an_earlier_one() {
    // Guards a quiet sender: the module counts on its latest wake alone. Lost behind an earlier one, nothing looks at
    // what waits before the next event, or before its time is over.
    let (mut driver, ..) = resumed("wake", "127.77.0.1:9".parse().unwrap());
    driver.perform_one(Action::WakeAfter(nanos(10.0)), START);
    driver.perform_one(Action::WakeAfter(nanos(300.0)), START + 8.0);
    driver.decision.turn(START + 10.0);
    assert_eq!(driver.decision.wake_at, Some(START + 308.0));
}

#[test]
fn a_resumed_unattempted_message_is_counted_until_it_is_attempted_or_ends() {
    let region = TcpListener::bind("127.0.0.1:0").unwrap();
    let counted = |driver: &Driver| {
        let c = &driver.store.counters;
        (c.unattempted, c.unattempted_started, c.unattempted_ended)
    };
    let (mut driver, clock, _events) = resumed("called", region.local_addr().unwrap());
    assert_eq!(counted(&driver), (1, 0, 0));
    while driver.store.counters.unattempted_started == 0 && clock.now() < START + 2_000.0 {
        driver.round(Vec::new());
        clock.set(clock.now() + 10.0);
    }
    assert_eq!(counted(&driver), (1, 1, 0), "it is called within its time");
    let (mut driver, clock, _events) = resumed("ended", region.local_addr().unwrap());
    clock.set(START + 2_000.0 + OVERDUE_AFTER + 1.0);
    driver.round(Vec::new());
    assert_eq!(counted(&driver), (1, 0, 1), "its time was up before");
}

#[rstest::rstest]
#[case::while_its_connection_comes_up(false)]
#[case::once_it_is_up(true)]
fn a_kill_leaves_a_record_of_an_attempt_only_once_its_connection_is_up(#[case] up: bool) {
    // Guards an unsafe message: with a record from before its connection was up it ended with no call.
    let region = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    region
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    region.listen(if up { 9 } else { 0 }).unwrap();
    let address = region.local_addr().unwrap().as_socket().unwrap();
    // Where its queue is full, a further connection waits.
    let crowd: Vec<_> = (0..if up { 0 } else { 2 })
        .map(|_| {
            let one =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            one.set_nonblocking(true).unwrap();
            let _ = one.connect(&address.into());
            one
        })
        .collect();
    let story = format!("coming-{up}");
    let (mut driver, clock, _events) = resumed(&story, address);
    while driver.store.counters.unattempted_started == 0 && clock.now() < START + 2_000.0 {
        driver.round(vec![EventSource::Region(0)]);
        clock.set(clock.now() + 5.0);
    }
    assert_eq!(driver.egress.active_attempts(), 1, "its call is out");
    if up {
        // Loopback is up at once; a look at it lets the call begin.
        driver.round(vec![EventSource::Region(0)]);
    }
    drop(driver);
    let state =
        std::env::temp_dir().join(format!("martenlatch-stages-{story}-{}", std::process::id()));
    let past = martenlatch_wal::LogInspection::open(&state).unwrap().past;
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
    // Guards the platform against word of a failure that was none: the answer had come before the notice left.
    let region = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("given-up", region.local_addr().unwrap());
    let mut peer = called(&mut driver, &clock, &region);
    peer.write_all(OK).unwrap();
    let (id, attempt) = (MessageId(3), 0);
    driver.perform(
        vec![Action::Fail { id }, Action::Cancel { id, attempt }],
        clock.now(),
    );
    assert_eq!(
        (driver.status_reporter.queue.len(), driver.store.open),
        (0, 0),
        "it is delivered, and nothing more is owed"
    );
    assert!(driver.store.wal.over.iter().any(|id| &**id == "a"));
}

#[test]
fn the_retry_after_of_a_cancelled_attempt_holds_for_the_same_round() {
    use std::io::{Read, Write};
    let region = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("loser", region.local_addr().unwrap());
    let mut peer = called(&mut driver, &clock, &region);
    let other = MessageRecord {
        no: 4,
        id: Rc::from("b"),
        attempts: Vec::new(),
        ..driver.store.messages[&3].record.clone()
    };
    driver.store.insert(other, MessageState::Open);
    peer.write_all(b"HTTP/1.1 429 Full\r\nX-Backoff-Ms: 900\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    let (now, endpoint, timeout, latest) = (clock.now(), EndpointId(0), nanos(500.0), u64::MAX);
    let off = Action::Cancel {
        id: MessageId(3),
        attempt: 0,
    };
    driver.perform(
        vec![
            Action::Send {
                id: MessageId(4),
                endpoint,
                timeout,
                latest,
            },
            off,
        ],
        now,
    );
    driver.round((0..9).map(EventSource::Region).collect());
    // It waits as the module has been told, and its connection has brought nothing.
    assert!(
        driver.egress.active_attempts() == 0
            && driver.store.messages[&4]
                .record
                .attempts
                .iter()
                .all(|t| t.never_ran)
    );
    drop(driver);
    region.set_nonblocking(true).unwrap();
    while let Ok((mut peer, _)) = region.accept() {
        let mut text = String::new();
        peer.set_nonblocking(false).unwrap();
        let _ = peer.read_to_string(&mut text);
        assert!(!text.contains("/v1/messages"), "{text}");
    }
}

#[test]
fn without_free_buffers_the_loop_does_not_spin() {
    use std::io::Write;
    let region = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("spin", region.local_addr().unwrap());
    let mut peer = called(&mut driver, &clock, &region);
    let lent: Vec<_> = std::iter::from_fn(|| driver.egress.pool.take()).collect();
    peer.write_all(b"HTTP/1.1 2").unwrap();
    let keys = || (0..9).map(EventSource::Region).collect();
    until(|| {
        driver.round(keys());
        !driver.unfinished_sources.is_empty()
    });
    assert!(
        driver.sleep() > 0.0,
        "there is more to read, and nothing to read it into"
    );
    drop(lent);
    driver.round(keys());
    peer.write_all(b"00 OK\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    until(|| {
        driver.round(keys());
        driver.store.open == 0
    });
    assert_eq!(driver.store.counters.success, 1);
}
