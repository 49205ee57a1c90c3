//! Status reports.

use super::*;

#[test]
fn status_reports_and_the_watch_are_sent_though_attempts_hold_every_buffer() {
    // Answers that never end may hold the buffers of attempts for as long as they like.
    use std::io::Read;
    let platform = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("buffers", platform.local_addr().unwrap());
    let taken_buffers: Vec<_> = std::iter::from_fn(|| driver.egress.buffers.take()).collect();
    assert!(!taken_buffers.is_empty());
    clock.set(START + 2_000.0 + OVERDUE_AFTER + 1.0);
    let mut asked = std::collections::BTreeSet::new();
    for _ in 0..2 {
        // The kernel completes connections before they are accepted: the second round writes what the first could not.
        assert!(driver.round(vec![EventSource::Watch, EventSource::StatusReports]));
        assert!(driver.round(vec![EventSource::Watch, EventSource::StatusReports]));
        let (mut peer, _) = platform.accept().unwrap();
        let mut text = [0; 512];
        peer.set_read_timeout(Some(std::time::Duration::from_secs(20)))
            .unwrap();
        let count = peer.read(&mut text).expect("no request arrived");
        asked.insert(
            String::from_utf8_lossy(&text[..count])
                .split(' ')
                .nth(1)
                .map(str::to_string),
        );
    }
    let asked: Vec<String> = asked.into_iter().flatten().collect();
    assert_eq!(asked, ["/reports", "/v1/servers?watch=1&from=0"]);
}

#[rstest::rstest]
#[case::until_it_is_recorded(true)]
#[case::until_the_deadline(false)]
fn a_final_status_is_reported_once_a_restart_would_know_of_it(#[case] recovers: bool) {
    // While the folder takes no records, a process that dies would leave a message behind that the next one sends,
    // although the platform was told that it has ended. At the deadline nothing is sent any more.
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let name = format!("unrecorded-{recovers}");
    let (mut driver, clock, _events) = resumed(&name, endpoint.local_addr().unwrap());
    let sick = empty_folder(&folder_name(&format!("sick-log-{recovers}")));
    std::fs::create_dir(sick.join("ledger")).unwrap();
    let (sick_log, _) = WriteAheadLog::open(&sick, DISK_LIMIT);
    let log = std::mem::replace(&mut driver.store.wal, sick_log);
    let now = clock.now();
    driver.perform(vec![Action::Fail { id: MessageId(3) }], now);
    let is_sent = |driver: &mut Driver| {
        driver.round(Vec::new());
        driver.status_reporter.is_sent(3)
    };
    for _ in 0..10 {
        clock.set(clock.now() + 100.0);
        assert!(!is_sent(&mut driver), "no record says that it has ended");
    }
    if recovers {
        driver.store.wal = log;
        clock.set(clock.now() + 100.0);
    } else {
        clock.set(START + 2_000.0);
    }
    assert!(is_sent(&mut driver));
}

/// What a platform does with a request that reports final statuses.
#[derive(Clone, Copy, PartialEq)]
enum PlatformReply {
    /// It confirms.
    Confirms,
    /// Its connection ends without an answer.
    Ends,
    /// It never answers.
    IsSilent,
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

    /// Reads what has come, and replies to reports as the script says by their number. True if one was confirmed.
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
                PlatformReply::Ends => false,
                PlatformReply::IsSilent => {
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

/// The platform counts a message as lost whose end it has not heard so long after its deadline. Of these 300 ms, 150 are
/// kept for a sender that is held up.
const REPORT_BOUND: Millis = 150.0;
/// The message of [`resumed`] ends at this instant.
const DEADLINE: Millis = START + 2_000.0;

/// Runs rounds, a millisecond apart, until the platform has confirmed the report of the message, which is given up at
/// an instant. Returns when that was.
fn confirmed_at(
    name: &str,
    given_up_at: Millis,
    reply: impl Fn(usize, Millis) -> PlatformReply,
) -> Millis {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed(name, listener.local_addr().unwrap());
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

/// Guards against reports that come too late because they fail at the end of their message's time.
#[test]
fn a_report_that_fails_at_the_deadline_still_comes_in_time() {
    let cases = [
        (2, PlatformReply::Ends),
        (4, PlatformReply::Ends),
        (6, PlatformReply::Ends),
        (1, PlatformReply::IsSilent),
        (2, PlatformReply::IsSilent),
    ];
    for (failures, failure) in cases {
        let silent = failure == PlatformReply::IsSilent;
        let name = format!("late-report-{failures}-{silent}");
        let confirmed = confirmed_at(&name, DEADLINE, |number, _| {
            if number < failures {
                failure
            } else {
                PlatformReply::Confirms
            }
        });
        let late = confirmed - DEADLINE;
        assert!(late <= REPORT_BOUND, "{name}: {late} ms");
    }
}

/// The request with which a message of [`with_reports_owed`] is handed in again.
fn second_request(id: &str) -> Vec<u8> {
    let head =
        "POST /debit HTTP/1.1\r\nX-Timeout: 9\r\nX-Route-To: dest=7\r\nContent-Length: 0\r\n";
    format!("{head}X-Request-ID: {id}\r\n\r\n").into_bytes()
}

/// Hands the message of [`with_reports_owed`] in again, which is answered 202.
fn hand_in_again(driver: &mut Driver, id: &str) {
    use std::io::{Read, Write};
    let mut client = std::net::TcpStream::connect(driver.listen_address()).unwrap();
    client.set_nonblocking(true).unwrap();
    client.write_all(&second_request(id)).unwrap();
    let mut answer = [0; 256];
    until(|| {
        driver.round(vec![EventSource::ClientListener]);
        client.read(&mut answer).is_ok()
    });
    assert!(answer.starts_with(b"HTTP/1.1 202"));
}

/// Runs rounds until the platform has confirmed all reports. Returns how many requests it got for that.
fn confirm_all(driver: &mut Driver, platform: &mut ScriptedPlatform, clock: &Clock) -> usize {
    let before = platform.requests;
    until(|| {
        driver.round(vec![EventSource::StatusReports]);
        platform.serve(|_| PlatformReply::Confirms);
        clock.set(clock.now() + 1.0);
        driver.status_reporter.is_done()
    });
    platform.requests - before
}

/// Guards against a second 202 for a message whose end was reported before its client heard the first one: that report
/// may have counted for nothing.
#[rstest::rstest]
#[case::in_the_same_process(false)]
#[case::after_a_restart(true)]
fn a_message_that_is_handed_in_again_behind_its_report_is_reported_again(#[case] restart: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let name = format!("again-{restart}");
    let (mut driver, mut clock, mut events) = with_reports_owed(&name, 1, address);
    let mut platform = ScriptedPlatform::new(listener);
    assert_eq!(confirm_all(&mut driver, &mut platform, &clock), 1);
    if restart {
        drop((driver, events));
        let state = folder_path(&folder_name(&name));
        clock = Clock::manual(START + 9_000.0);
        (driver, events) = start_driver(&state, SETTINGS, "{}", address, &clock);
    }
    assert!(driver.status_reporter.is_done(), "nothing is owed");
    hand_in_again(&mut driver, "owed-1");
    let numbers: Vec<u64> = driver.status_reporter.unconfirmed().collect();
    let record = driver.store.record(numbers[0]).unwrap();
    assert_eq!(record.final_status, Some(FinalStatus::Undeliverable));
    assert_eq!(driver.store.open_count, 0, "and it is not attempted");
    assert_eq!(confirm_all(&mut driver, &mut platform, &clock), 1);
    drop(events);
}

/// Guards against a second 202 that no record stands behind: a process killed right then would owe its report to nobody.
#[test]
fn a_message_that_is_handed_in_again_fails_where_its_report_cannot_be_recorded() {
    use std::io::{Read, Write};
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (mut driver, clock, _events) = with_reports_owed("again-sick", 1, address);
    let mut platform = ScriptedPlatform::new(listener);
    confirm_all(&mut driver, &mut platform, &clock);
    let sick = empty_folder(&folder_name("again-sick-log"));
    std::fs::create_dir(sick.join("ledger")).unwrap();
    let (mut sick_log, _) = WriteAheadLog::open(&sick, DISK_LIMIT);
    sick_log.recently_closed = driver.store.wal.recently_closed.clone();
    driver.store.wal = sick_log;
    let mut client = std::net::TcpStream::connect(driver.listen_address()).unwrap();
    client.set_nonblocking(true).unwrap();
    client.write_all(&second_request("owed-1")).unwrap();
    let mut answer = [0; 256];
    until(|| {
        driver.round(vec![EventSource::ClientListener]);
        client.read(&mut answer).is_ok()
    });
    assert!(answer.starts_with(b"HTTP/1.1 500"));
}

/// Guards against a report on its way that is confirmed for a message whose client hears 202 only now.
#[test]
fn a_message_that_is_handed_in_again_under_its_report_is_reported_again() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (mut driver, clock, _events) = with_reports_owed("again-under", 1, address);
    let mut platform = ScriptedPlatform::new(listener);
    until(|| {
        driver.round(vec![EventSource::StatusReports]);
        driver.status_reporter.is_sent(1)
    });
    hand_in_again(&mut driver, "owed-1");
    assert_eq!(confirm_all(&mut driver, &mut platform, &clock), 2);
}

/// Guards against ended connections that make the wait for a silent one longer.
#[test]
fn a_report_that_meets_both_kinds_of_failure_still_comes_in_time() {
    let confirmed = confirmed_at("ended-then-silent", DEADLINE, |number, _| match number {
        0..3 => PlatformReply::Ends,
        3 => PlatformReply::IsSilent,
        _ => PlatformReply::Confirms,
    });
    let late = confirmed - DEADLINE;
    assert!(late <= REPORT_BOUND, "{late} ms");
}

/// Guards against a fresh report that waits behind a batch on which the platform is silent.
#[test]
fn a_fresh_report_does_not_wait_behind_a_silent_batch() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let name = "behind-silent";
    let (mut driver, clock, _events) = resumed(name, listener.local_addr().unwrap());
    let mut platform = ScriptedPlatform::new(listener);
    let second = MessageRecord {
        number: 4,
        id: Rc::from("b"),
        ..unattempted_message(2_000.0)
    };
    driver.store.insert(second, MessageState::Open);
    clock.set(DEADLINE - 800.0);
    driver.perform(vec![Action::Fail { id: MessageId(3) }], clock.now());
    until(|| {
        driver.round(vec![EventSource::StatusReports]);
        platform.serve(|_| PlatformReply::IsSilent);
        platform.requests == 1
    });
    clock.set(DEADLINE - 700.0);
    driver.perform(vec![Action::Fail { id: MessageId(4) }], clock.now());
    until(|| {
        driver.round(vec![EventSource::StatusReports]);
        platform.serve(|_| PlatformReply::Confirms)
    });
}

/// A driver that comes back with the reports of so many messages, whose deadlines have passed.
fn with_reports_owed(name: &str, count: u64, platform: SocketAddr) -> (Driver, Clock, TestLoop) {
    let state = empty_folder(&folder_name(name));
    let (mut wal, _) = WriteAheadLog::open(&state, DISK_LIMIT);
    for number in 1..=count {
        let message = MessageRecord {
            number,
            id: Rc::from(format!("owed-{number}")),
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

/// Guards against a platform that is flooded while it is down, and against reports that are not all sent once it is back.
#[rstest::rstest]
#[case::connections_end(PlatformReply::Ends, 40)]
#[case::it_is_silent(PlatformReply::IsSilent, 200)]
fn the_platform_is_not_flooded_while_it_is_down(
    #[case] failure: PlatformReply,
    #[case] most_requests: usize,
) {
    const OWED: u64 = 3_000;
    const DOWN: usize = 5_000;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let silent = failure == PlatformReply::IsSilent;
    let address = listener.local_addr().unwrap();
    let (mut driver, clock, _events) = with_reports_owed(&format!("flood-{silent}"), OWED, address);
    let mut platform = ScriptedPlatform::new(listener);
    for _ in 0..DOWN {
        driver.round(vec![EventSource::StatusReports]);
        platform.serve(|_| failure);
        clock.set(clock.now() + 1.0);
    }
    let requests = platform.requests;
    assert!(requests <= most_requests, "{requests} requests");
    for _ in 0..3_000 {
        driver.round(vec![EventSource::StatusReports]);
        platform.serve(|_| PlatformReply::Confirms);
        clock.set(clock.now() + 1.0);
    }
    assert!(driver.status_reporter.is_done());
}

/// Guards against a backoff from before the deadline that outlasts the time in which the report is due.
#[test]
fn a_report_that_has_failed_for_long_is_tried_again_at_the_deadline() {
    let confirmed = confirmed_at("failed-for-long", DEADLINE - 1_500.0, |_, now| {
        if now < DEADLINE {
            PlatformReply::Ends
        } else {
            PlatformReply::Confirms
        }
    });
    let late = confirmed - DEADLINE;
    assert!(late <= REPORT_BOUND, "{late} ms");
}
