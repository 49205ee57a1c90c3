//! Status reports: when they are sent, repeated and confirmed.

use super::*;

/// Guards against reports or a watch that wait for a buffer: answers that never end can hold the buffers of attempts
/// indefinitely.
#[test]
fn status_reports_and_the_watch_are_sent_while_attempts_hold_every_buffer() {
    use std::io::Read;
    let platform = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed_driver("buffers", platform.local_addr().unwrap());
    let taken_buffers: Vec<_> = std::iter::from_fn(|| driver.egress.buffers.take()).collect();
    assert!(!taken_buffers.is_empty());
    clock.set(START + 2_000.0 + OVERDUE_AFTER + 1.0);
    let mut paths = std::collections::BTreeSet::new();
    for _ in 0..2 {
        // The kernel establishes connections before they are accepted: the second round writes what the first did not.
        assert!(driver.round(vec![EventSource::Watch, EventSource::StatusReports]));
        assert!(driver.round(vec![EventSource::Watch, EventSource::StatusReports]));
        let (mut peer, _) = platform.accept().unwrap();
        let mut text = [0; 512];
        peer.set_read_timeout(Some(std::time::Duration::from_secs(20)))
            .unwrap();
        let count = peer.read(&mut text).expect("no request arrived");
        paths.insert(
            String::from_utf8_lossy(&text[..count])
                .split(' ')
                .nth(1)
                .map(str::to_string),
        );
    }
    let paths: Vec<String> = paths.into_iter().flatten().collect();
    assert_eq!(paths, ["/reports", "/v1/servers?watch=1&from=0"]);
}

/// Guards against a message that is sent after its end was reported. While the log cannot be written, a process that
/// dies leaves the message open, and the next process sends it. From the deadline on, no process sends it.
#[rstest::rstest]
#[case::recorded_later(true)]
#[case::not_recorded_until_the_deadline(false)]
fn a_final_status_is_reported_only_once_it_is_recorded_or_at_the_deadline(
    #[case] log_recovers: bool,
) {
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let name = format!("unrecorded-{log_recovers}");
    let (mut driver, clock, _events) = resumed_driver(&name, endpoint.local_addr().unwrap());
    let unwritable_folder = empty_folder(&folder_name(&format!("{name}-log")));
    std::fs::create_dir(unwritable_folder.join("ledger")).unwrap();
    let (unwritable_log, _) = WriteAheadLog::open(&unwritable_folder, DISK_LIMIT);
    let log = std::mem::replace(&mut driver.store.wal, unwritable_log);
    let now = clock.now();
    driver.perform(vec![Action::Fail { id: MessageId(3) }], now);
    let is_sent = |driver: &mut Driver| {
        driver.round(Vec::new());
        driver.status_reporter.is_sent(3)
    };
    for _ in 0..10 {
        clock.set(clock.now() + 100.0);
        assert!(!is_sent(&mut driver), "the message's end is not recorded");
    }
    if log_recovers {
        driver.store.wal = log;
        clock.set(clock.now() + 100.0);
    } else {
        clock.set(START + 2_000.0);
    }
    assert!(is_sent(&mut driver));
}

/// How the platform replies to a request that reports final statuses.
#[derive(Clone, Copy, PartialEq)]
enum PlatformReply {
    /// It confirms the reports.
    Confirms,
    /// It closes the connection without an answer.
    ClosesConnection,
    /// It never answers.
    NeverAnswers,
}

/// A platform whose replies to reports follow a script.
struct ScriptedPlatform {
    listener: TcpListener,
    connections: Vec<(std::net::TcpStream, Vec<u8>)>,
    requests: usize,
}

impl ScriptedPlatform {
    fn new(listener: TcpListener) -> ScriptedPlatform {
        listener.set_nonblocking(true).unwrap();
        ScriptedPlatform {
            listener,
            connections: Vec::new(),
            requests: 0,
        }
    }

    /// Reads what has arrived, and replies to each request with reports as `reply` says, which is given the number of
    /// earlier requests. Returns true if reports were confirmed.
    fn serve(&mut self, reply: impl Fn(usize) -> PlatformReply) -> bool {
        use std::io::{Read, Write};
        while let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(true).unwrap();
            self.connections.push((stream, Vec::new()));
        }
        let mut confirmed = false;
        let requests = &mut self.requests;
        self.connections.retain_mut(|(stream, text)| {
            let mut buffer = [0; 4_096];
            text.extend(stream.read(&mut buffer).map_or(&[][..], |n| &buffer[..n]));
            if !text.starts_with(b"POST /reports") || !text.ends_with(b"}\n") {
                return true;
            }
            *requests += 1;
            match reply(*requests - 1) {
                PlatformReply::ClosesConnection => false,
                PlatformReply::NeverAnswers => {
                    text.clear();
                    true
                }
                PlatformReply::Confirms => {
                    confirmed = true;
                    stream
                        .write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
                        .unwrap();
                    text.clear();
                    true
                }
            }
        });
        confirmed
    }
}

/// The time after the deadline within which a report must be confirmed. The platform counts a message as lost if it has
/// received no final status by 300 ms after the deadline; 150 ms of these are reserved for a delayed sender.
const MAX_REPORT_DELAY: Millis = 150.0;
/// The deadline of the message of [`resumed_driver`].
const DEADLINE: Millis = START + 2_000.0;

/// Gives the message up at `given_up_at`, and runs rounds, one millisecond apart, until the platform confirms its
/// report. Returns the instant of the confirmation.
fn confirmation_time(
    name: &str,
    given_up_at: Millis,
    reply: impl Fn(usize, Millis) -> PlatformReply,
) -> Millis {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed_driver(name, listener.local_addr().unwrap());
    let mut platform = ScriptedPlatform::new(listener);
    clock.set(given_up_at);
    driver.perform(vec![Action::Fail { id: MessageId(3) }], given_up_at);
    for _ in 0..5_000 {
        driver.round(vec![EventSource::StatusReports]);
        let now = clock.now();
        if platform.serve(|number| reply(number, now)) {
            return now;
        }
        clock.set(now + 1.0);
    }
    panic!("no report was confirmed");
}

/// Guards against reports that arrive too late because they fail around their message's deadline.
#[test]
fn a_report_that_fails_at_the_deadline_is_confirmed_in_time() {
    let cases = [
        (2, PlatformReply::ClosesConnection),
        (4, PlatformReply::ClosesConnection),
        (6, PlatformReply::ClosesConnection),
        (1, PlatformReply::NeverAnswers),
        (2, PlatformReply::NeverAnswers),
    ];
    for (failures, failure) in cases {
        let silent = failure == PlatformReply::NeverAnswers;
        let name = format!("late-report-{failures}-{silent}");
        let confirmed = confirmation_time(&name, DEADLINE, |number, _| {
            if number < failures {
                failure
            } else {
                PlatformReply::Confirms
            }
        });
        let late = confirmed - DEADLINE;
        assert!(late <= MAX_REPORT_DELAY, "{name}: {late} ms");
    }
}

/// The request with which a client sends a message of [`with_unconfirmed_reports`] again.
fn repeated_request(id: &str) -> Vec<u8> {
    let head =
        "POST /debit HTTP/1.1\r\nX-Timeout: 9\r\nX-Route-To: dest=7\r\nContent-Length: 0\r\n";
    format!("{head}X-Request-ID: {id}\r\n\r\n").into_bytes()
}

/// Sends a message of [`with_unconfirmed_reports`] again, and checks that it is answered 202.
fn send_again(driver: &mut Driver, id: &str) {
    use std::io::{Read, Write};
    let mut client = std::net::TcpStream::connect(driver.listen_address()).unwrap();
    client.set_nonblocking(true).unwrap();
    client.write_all(&repeated_request(id)).unwrap();
    let mut answer = [0; 256];
    repeat_until(|| {
        driver.round(vec![EventSource::ClientListener]);
        client.read(&mut answer).is_ok()
    });
    assert!(answer.starts_with(b"HTTP/1.1 202"));
}

/// Runs rounds until the platform has confirmed all reports. Returns the number of requests that it received for this.
fn confirm_all(driver: &mut Driver, platform: &mut ScriptedPlatform, clock: &Clock) -> usize {
    let before = platform.requests;
    repeat_until(|| {
        driver.round(vec![EventSource::StatusReports]);
        platform.serve(|_| PlatformReply::Confirms);
        clock.set(clock.now() + 1.0);
        driver.status_reporter.is_done()
    });
    platform.requests - before
}

/// Guards against a second 202 for a message whose end was reported before its client received the first one: the
/// platform may have ignored that report.
#[rstest::rstest]
#[case::in_the_same_process(false)]
#[case::after_a_restart(true)]
fn a_message_that_is_sent_again_after_its_report_is_reported_again(#[case] restart: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let name = format!("again-{restart}");
    let (mut driver, mut clock, mut events) = with_unconfirmed_reports(&name, 1, address);
    let mut platform = ScriptedPlatform::new(listener);
    assert_eq!(confirm_all(&mut driver, &mut platform, &clock), 1);
    if restart {
        drop((driver, events));
        let state = folder_path(&folder_name(&name));
        clock = Clock::manual(START + 9_000.0);
        (driver, events) = start_driver(&state, SETTINGS, "{}", address, &clock);
    }
    assert!(driver.status_reporter.is_done(), "no report is pending");
    send_again(&mut driver, "reported-1");
    let numbers: Vec<u64> = driver.status_reporter.unconfirmed().collect();
    let record = driver.store.record(numbers[0]).unwrap();
    assert_eq!(record.final_status, Some(FinalStatus::Undeliverable));
    assert_eq!(driver.store.open_count, 0, "the message is not attempted");
    assert_eq!(confirm_all(&mut driver, &mut platform, &clock), 1);
    drop(events);
}

/// Guards against a second 202 without a record: if the process were killed then, the report would never be sent again.
#[test]
fn a_message_that_is_sent_again_is_answered_500_if_its_report_cannot_be_recorded() {
    use std::io::{Read, Write};
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (mut driver, clock, _events) = with_unconfirmed_reports("again-unwritable", 1, address);
    let mut platform = ScriptedPlatform::new(listener);
    confirm_all(&mut driver, &mut platform, &clock);
    let unwritable_folder = empty_folder(&folder_name("again-unwritable-log"));
    std::fs::create_dir(unwritable_folder.join("ledger")).unwrap();
    let (mut unwritable_log, _) = WriteAheadLog::open(&unwritable_folder, DISK_LIMIT);
    unwritable_log.recently_closed = driver.store.wal.recently_closed.clone();
    driver.store.wal = unwritable_log;
    let mut client = std::net::TcpStream::connect(driver.listen_address()).unwrap();
    client.set_nonblocking(true).unwrap();
    client.write_all(&repeated_request("reported-1")).unwrap();
    let mut answer = [0; 256];
    repeat_until(|| {
        driver.round(vec![EventSource::ClientListener]);
        client.read(&mut answer).is_ok()
    });
    assert!(answer.starts_with(b"HTTP/1.1 500"));
}

/// Guards against counting the confirmation of a report that was in flight when the client was answered 202 again.
#[test]
fn a_message_that_is_sent_again_while_its_report_is_in_flight_is_reported_again() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (mut driver, clock, _events) = with_unconfirmed_reports("again-in-flight", 1, address);
    let mut platform = ScriptedPlatform::new(listener);
    repeat_until(|| {
        driver.round(vec![EventSource::StatusReports]);
        driver.status_reporter.is_sent(1)
    });
    send_again(&mut driver, "reported-1");
    assert_eq!(confirm_all(&mut driver, &mut platform, &clock), 2);
}

/// Guards against closed connections that lengthen the wait for an answer on a silent one.
#[test]
fn a_report_that_meets_both_kinds_of_failure_is_confirmed_in_time() {
    let confirmed = confirmation_time("closed-then-silent", DEADLINE, |number, _| match number {
        0..3 => PlatformReply::ClosesConnection,
        3 => PlatformReply::NeverAnswers,
        _ => PlatformReply::Confirms,
    });
    let late = confirmed - DEADLINE;
    assert!(late <= MAX_REPORT_DELAY, "{late} ms");
}

/// Guards against a new report that waits until a batch that the platform does not answer has timed out.
#[test]
fn a_new_report_does_not_wait_for_an_unanswered_batch() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let name = "unanswered-batch";
    let (mut driver, clock, _events) = resumed_driver(name, listener.local_addr().unwrap());
    let mut platform = ScriptedPlatform::new(listener);
    let second = MessageRecord {
        number: 4,
        id: Rc::from("b"),
        ..unattempted_message(2_000.0)
    };
    driver.store.insert(second, MessageState::Open);
    clock.set(DEADLINE - 800.0);
    driver.perform(vec![Action::Fail { id: MessageId(3) }], clock.now());
    repeat_until(|| {
        driver.round(vec![EventSource::StatusReports]);
        platform.serve(|_| PlatformReply::NeverAnswers);
        platform.requests == 1
    });
    clock.set(DEADLINE - 700.0);
    driver.perform(vec![Action::Fail { id: MessageId(4) }], clock.now());
    repeat_until(|| {
        driver.round(vec![EventSource::StatusReports]);
        platform.serve(|_| PlatformReply::Confirms)
    });
}

/// A driver that has recovered `count` messages whose deadlines have passed and whose reports are not confirmed.
fn with_unconfirmed_reports(
    name: &str,
    count: u64,
    platform: SocketAddr,
) -> (Driver, Clock, TestLoop) {
    let state = empty_folder(&folder_name(name));
    let (mut wal, _) = WriteAheadLog::open(&state, DISK_LIMIT);
    for number in 1..=count {
        let message = MessageRecord {
            number,
            id: Rc::from(format!("reported-{number}")),
            ..unattempted_message(-10.0)
        };
        assert!(wal.append_message(&message));
        wal.append_final_status(number, FinalStatus::Undeliverable);
    }
    drop(wal);
    let clock = Clock::manual(START);
    let (driver, events) = start_driver(&state, SETTINGS, "{}", platform, &clock);
    assert_eq!(driver.status_reporter.unconfirmed().len() as u64, count);
    (driver, clock, events)
}

/// Guards against a platform that is flooded while it is down, and against reports that are not all sent afterwards.
#[rstest::rstest]
#[case::it_closes_connections(PlatformReply::ClosesConnection, 40)]
#[case::it_never_answers(PlatformReply::NeverAnswers, 200)]
fn the_platform_is_not_flooded_while_it_is_down_and_receives_all_reports_afterwards(
    #[case] failure: PlatformReply,
    #[case] max_requests: usize,
) {
    const REPORTS: u64 = 3_000;
    const ROUNDS_DOWN: usize = 5_000;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let silent = failure == PlatformReply::NeverAnswers;
    let address = listener.local_addr().unwrap();
    let (mut driver, clock, _events) =
        with_unconfirmed_reports(&format!("flood-{silent}"), REPORTS, address);
    let mut platform = ScriptedPlatform::new(listener);
    for _ in 0..ROUNDS_DOWN {
        driver.round(vec![EventSource::StatusReports]);
        platform.serve(|_| failure);
        clock.set(clock.now() + 1.0);
    }
    let requests = platform.requests;
    assert!(requests <= max_requests, "{requests} requests");
    for _ in 0..3_000 {
        driver.round(vec![EventSource::StatusReports]);
        platform.serve(|_| PlatformReply::Confirms);
        clock.set(clock.now() + 1.0);
    }
    assert!(driver.status_reporter.is_done());
}

/// Guards against a backoff that begins before the deadline and ends only after the report must be confirmed.
#[test]
fn a_report_that_has_failed_for_long_is_sent_again_at_the_deadline() {
    let confirmed = confirmation_time("failed-for-long", DEADLINE - 1_500.0, |_, now| {
        if now < DEADLINE {
            PlatformReply::ClosesConnection
        } else {
            PlatformReply::Confirms
        }
    });
    let late = confirmed - DEADLINE;
    assert!(late <= MAX_REPORT_DELAY, "{late} ms");
}

/// Guards against a report that meets a platform's regular silences again and again: an overdue report was repeated at the
/// interval of the silences.
#[test]
fn an_overdue_report_is_confirmed_by_a_platform_that_is_silent_at_the_same_time_each_second() {
    const PERIOD: Millis = 1_000.0;
    const SILENCE: Millis = 120.0;
    const OVERDUE: Millis = DEADLINE + 2_000.0;
    let confirmed = confirmation_time("regular-silence", OVERDUE, |_, now| {
        if (now - OVERDUE) % PERIOD < SILENCE {
            PlatformReply::NeverAnswers
        } else {
            PlatformReply::Confirms
        }
    });
    let waited = confirmed - OVERDUE;
    assert!(waited <= PERIOD, "{waited} ms");
}
