//! Status reports.

use super::*;

#[test]
fn status_reports_and_the_watch_are_sent_though_attempts_hold_every_buffer() {
    // Answers that never end may hold the buffers of attempts for as long as they like.
    use std::io::Read;
    let platform = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("buffers", platform.local_addr().unwrap());
    let taken_buffers: Vec<_> = std::iter::from_fn(|| driver.egress.pool.take()).collect();
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
        driver.status_reporter.in_flight.contains(&3)
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
