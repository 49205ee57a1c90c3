//! Failures at each step of replacing a process: one of the two processes continues to serve, and no message is lost.

mod support;
use support::*;

use rstest::rstest;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;

/// The test connects as a replacement, sends `query`, reads `bytes` bytes, which must start with `expected`, and closes
/// the connection.
#[rstest]
#[case::silent("", 0, "")]
#[case::closed_after_its_query("martenlatch 1 LISTEN\n", 0, "")]
#[case::closed_within_the_answer("martenlatch 1 LISTEN\n", 40, "yes ")]
#[case::other_version("martenlatch 9 LISTEN\n", 35, "no version 1 is spoken here, not 9\n")]
#[case::other_address("martenlatch 1 127.0.0.1:9\n", 22, "no clients connect to ")]
#[case::nonsense("GET / HTTP/1.1\r\n\r\n", 0, "")]
fn a_process_continues_to_serve_after_an_invalid_or_aborted_replacement(
    #[case] query: &str,
    #[case] bytes: usize,
    #[case] expected: &str,
) {
    let case = case_name(query);
    let (endpoint, _platform, mut sender) =
        sender_with_endpoint(&format!("query-{case}-{bytes}"), |_, _| reply(200, ""));
    let query = query.replace("LISTEN", &sender.address.to_string());
    let mut client = sender.connect();
    for number in 0..3 {
        let mut stream = UnixStream::connect(sender.replacement_socket()).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.write_all(query.as_bytes()).unwrap();
        let mut answer = vec![0; bytes];
        stream.read_exact(&mut answer).unwrap();
        assert!(
            String::from_utf8_lossy(&answer).starts_with(expected),
            "{answer:?}"
        );
        drop(stream);
        let id = format!("a{number}");
        send(&mut client, &request("debit", &id, "16.0", "x"));
        assert_eq!(read_status(&mut client), 202);
        assert_eq!(endpoint.next_request().id(), id);
    }
    assert_eq!(sender.replace().code, Some(0), "it can still be replaced");
    send(&mut client, &request("debit", "last", "16.0", "x"));
    assert_eq!(read_status(&mut client), 202);
}

#[test]
fn a_replacement_waits_for_a_suspended_process_and_a_third_process_is_rejected() {
    let (endpoint, _platform, mut sender) =
        sender_with_endpoint("replace-third", |_, _| reply(200, ""));
    sender.signal("STOP");
    let second = sender.start_replacement();
    // It answers operators but does not accept clients.
    second.wait_until_not_serving();
    let third = sender.start_replacement().process;
    let third = third.wait_with_output().unwrap();
    let errors = String::from_utf8(third.stderr).unwrap();
    assert_eq!(third.status.code(), Some(1), "{errors}");
    assert!(
        errors.starts_with("martenlatch: PROXY_STATE: ") && errors.lines().count() == 1,
        "{errors}"
    );
    sender.signal("CONT");
    assert_eq!(sender.wait_until_replaced_by(second).code, Some(0));
    assert_eq!(sender.submit("debit", "t", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "t");
}

#[test]
fn a_process_that_shuts_down_is_not_replaced_and_the_next_one_recovers_from_the_write_ahead_log() {
    let (endpoint, platform, mut sender) =
        sender_with_endpoint("replace-shutdown", |_, request| {
            if request.id() == "out" {
                no_reply()
            } else {
                reply(200, "")
            }
        });
    assert_eq!(sender.submit("debit", "out", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "out");
    sender.signal("TERM");
    let next = sender.start_replacement();
    let exit = sender.wait_until_replaced_by(next);
    let log = exit.output;
    assert_eq!(exit.code, Some(0));
    assert!(
        log.contains(" ending ") && !log.contains(" gave way "),
        "{log}"
    );
    assert_eq!(
        platform.next_status_report(),
        r#"{"id":"out","status":"undeliverable"}"#,
        "the attempt may have run"
    );
    assert_eq!(sender.submit("debit", "next", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "next");
}

#[rstest]
#[case::killed("KILL")]
#[case::terminated("TERM")]
fn a_replacement_that_ends_right_after_the_takeover_loses_no_message_and_no_cordon(
    #[case] signal: &str,
) {
    let (endpoint, platform, mut sender) =
        sender_with_endpoint(&format!("replace-{signal}"), |_, request| {
            if request.id().starts_with("out") && !request.id().ends_with("ok") {
                no_reply()
            } else {
                reply(200, "")
            }
        });
    assert_eq!(sender.submit("debit", "out", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "out");
    assert_eq!(sender.call_operator("cordon s-1\n"), "ACK out\n");
    assert_eq!(sender.submit("debit", "held", "16.0"), 202);
    assert_eq!(sender.replace().code, Some(0));
    sender.signal(signal);
    let sender = sender.restart_after_exit();
    assert_eq!(
        platform.next_status_report(),
        r#"{"id":"out","status":"undeliverable"}"#,
        "the attempt may have run"
    );
    assert_eq!(sender.call_operator("uncordon s-1\n"), "ACK in\n");
    assert_eq!(endpoint.next_request().id(), "held");
}

#[rstest]
#[case::other_class_names("names", r#""Name":"meter""#, r#""Name":"gauge""#)]
#[case::other_rules_of_a_class("rules", r#""Effect":"side_effect""#, r#""Effect":"pure""#)]
fn a_replacement_with_other_class_settings_does_not_take_over_and_the_process_continues_to_serve(
    #[case] test: &str,
    #[case] from: &str,
    #[case] to: &str,
) {
    let (endpoint, _platform, sender) =
        sender_with_endpoint(&format!("replace-settings-{test}"), |_, _| reply(200, ""));
    sender.change_config(from, to);
    let mut second = sender.start_replacement();
    second.wait_until_not_serving();
    assert_eq!(
        sender.submit("meter", "m", "16.0"),
        202,
        "the old classes are still served"
    );
    assert_eq!(endpoint.next_request().id(), "m");
    let second_pid = second.process.id().to_string();
    std::process::Command::new("kill")
        .arg(second_pid)
        .status()
        .unwrap();
    let mut log = String::new();
    let mut stdout = second.process.stdout.take().unwrap();
    stdout.read_to_string(&mut log).unwrap();
    assert_eq!(second.process.wait().unwrap().code(), Some(0), "{log}");
    assert_eq!(sender.submit("debit", "d", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "d");
}

#[test]
fn a_replacement_whose_takeover_failed_starts_after_the_serving_process_has_ended() {
    let (endpoint, _platform, mut sender) =
        sender_with_endpoint("replace-failed", |_, _| reply(200, ""));
    assert_eq!(sender.submit("debit", "before", "16.0"), 202);
    wait_until("the write-ahead log has no incomplete message", || {
        sender.operator_counters()["current"] == 0
    });
    // The size of the write-ahead log differs from the one that the old process passes on. The new process notices this
    // only after it has received everything else.
    std::fs::OpenOptions::new()
        .append(true)
        .open(sender.state_folder().join("ledger"))
        .unwrap()
        .write_all(b"torn")
        .unwrap();
    let next = sender.start_replacement();
    next.wait_until_not_serving();
    assert_eq!(
        sender.submit("debit", "between", "16.0"),
        202,
        "the old process continues to serve"
    );
    sender.signal("TERM");
    let exit = sender.wait_until_replaced_by(next);
    let log = exit.output;
    assert!(
        exit.code == Some(0)
            && log.contains(" replacement failed; this process continues to serve "),
        "{log}"
    );
    assert_eq!(sender.submit("debit", "after", "16.0"), 202);
    let ids: Vec<String> = (0..3)
        .map(|_| endpoint.next_request().id().to_string())
        .collect();
    assert_eq!(ids, ["before", "between", "after"]);
}

#[test]
fn a_process_that_gets_sigterm_during_a_replacement_ends_and_the_next_one_resumes_its_messages() {
    // The platform rejects the first three status reports, so the sender repeats its report until it is confirmed.
    let platform = Platform::new(&[500; 3]);
    let mut sender = Sender::start("replace-sigterm", &platform, &endpoint_list(1, true, &[]));
    assert_eq!(sender.submit("debit", "pending-1", "0.3"), 202);
    assert!(platform.next_status_report().contains("pending-1"));
    assert_eq!(sender.submit("meter", "pending-2", "16.0"), 202);
    sender.signal("STOP");
    let next = sender.start_replacement();
    next.wait_until_not_serving();
    sender.signal("TERM");
    sender.signal("CONT");
    let exit = sender.wait_until_replaced_by(next);
    let log = exit.output;
    assert!(
        exit.code == Some(0) && log.contains(" ending ") && !log.contains(" gave way "),
        "{log}"
    );
    assert_eq!(sender.operator_counters()["current"], 1, "resumed");
    // Another replacement, this time while a status report is being sent.
    assert_eq!(sender.submit("debit", "pending-3", "0.3"), 202);
    assert_eq!(sender.replace().code, Some(0));
    let report = platform.next_status_report();
    assert!(report.contains("pending-3"), "{report}");
    assert!(platform.status_reports.try_recv().is_err(), "reported once");
}

/// Guards against a replacement that ends with an error, and a sender that then nobody can replace: the lock could not
/// be tried, so the new process took itself for the only one.
#[test]
fn a_folder_that_fails_while_a_replacement_starts_does_not_end_it() {
    let (endpoint, _platform, mut sender) =
        sender_with_endpoint("replace-no-lock", |_, _| reply(200, ""));
    let lock = sender.state_folder().join("lock");
    std::fs::rename(&lock, lock.with_extension("away")).unwrap();
    std::fs::create_dir(&lock).unwrap();
    let exit = sender.replace();
    assert_eq!(exit.code, Some(0), "{}", exit.output);
    assert!(exit.output.contains(" gave way "), "{}", exit.output);
    assert_eq!(sender.submit("meter", "served", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "served");
}

/// Guards against two processes that serve from one log: a process whose folder failed when it started serves without the
/// lock, so another one that started while it was ending, with its listener closed, took itself for the only one.
#[test]
fn a_process_that_serves_without_the_lock_is_waited_for_until_it_has_ended() {
    let gate = ReplyGate::default();
    let endpoint_gate = gate.clone();
    let (endpoint, platform, sender) = sender_with_endpoint("replace-lockless", move |_, _| {
        endpoint_gate.wait_until_open();
        reply(200, "")
    });
    let lock = sender.state_folder().join("lock");
    let mut sender = sender.restart_with_state(|state| {
        std::fs::remove_file(state.join("lock")).unwrap();
        std::fs::create_dir(state.join("lock")).unwrap();
    });
    assert_eq!(sender.submit("debit", "once", "16.0"), 202);
    let successor = sender.start_replacement();
    successor.wait_until_not_serving();
    sender.signal("TERM");
    wait_until("it accepts no more clients", || {
        std::net::TcpStream::connect(sender.address).is_err()
    });
    std::fs::remove_dir(&lock).unwrap();
    successor.wait_until_not_serving();
    gate.open();
    assert_eq!(endpoint.next_request().id(), "once");
    let exit = sender.wait_until_replaced_by(successor);
    assert_eq!(exit.code, Some(0), "{}", exit.output);
    assert_eq!(sender.submit("debit", "next", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "next", "nothing is repeated");
    assert!(platform.status_reports.try_recv().is_err());
}

/// Guards against reports and a watch that stay at an address which discovery has left: a process that waited to replace
/// another one had read its configuration before that one read it again.
#[test]
fn a_successor_follows_discovery_that_moved_while_it_waited() {
    let (_endpoint, platform, mut sender) =
        sender_with_endpoint("replace-moved", |_, _| reply(503, ""));
    let next_platform = Platform::new(&[]);
    sender.signal("STOP");
    let successor = sender.start_replacement();
    successor.wait_until_not_serving();
    let address = |platform: &Platform| format!(r#""discovery":"{}""#, platform.address);
    sender.change_config(&address(&platform), &address(&next_platform));
    sender.signal("HUP");
    sender.signal("CONT");
    assert_eq!(sender.wait_until_replaced_by(successor).code, Some(0));
    assert_eq!(sender.submit("meter", "reported", "1.0"), 202);
    assert!(next_platform.next_status_report().contains("reported"));
}

/// Guards against reports and a watch that stay at an address which discovery has left: the SIGHUP for the new address
/// reached a process that had already given way, and its successor had read its configuration before the change.
#[rstest]
#[case::before_the_takeover("replace-moved-before", true)]
#[case::after_the_takeover("replace-moved-after", false)]
fn a_successor_follows_discovery_that_moved_when_no_process_handled_the_signal(
    #[case] name: &str,
    #[case] before_takeover: bool,
) {
    let (_endpoint, platform, mut sender) = sender_with_endpoint(name, |_, _| reply(503, ""));
    let next_platform = Platform::new(&[]);
    let address = |platform: &Platform| format!(r#""discovery":"{}""#, platform.address);
    let (from, to) = (address(&platform), address(&next_platform));
    sender.signal("STOP");
    let successor = sender.start_replacement();
    successor.wait_until_not_serving();
    if before_takeover {
        sender.change_config(&from, &to);
        sender.signal("CONT");
    } else {
        sender.signal("CONT");
        successor.wait_until_serving();
        sender.change_config(&from, &to);
        sender.signal("HUP");
    }
    assert_eq!(sender.wait_until_replaced_by(successor).code, Some(0));
    next_platform.next_watch_request();
    assert_eq!(sender.submit("meter", "reported", "1.0"), 202);
    assert!(next_platform.next_status_report().contains("reported"));
}
