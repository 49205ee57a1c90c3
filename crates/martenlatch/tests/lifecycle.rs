//! Configuration, endpoint lists and shutdown.

mod support;
use support::*;

use std::thread;
use std::time::Duration;

use rstest::rstest;

#[test]
fn an_endpoint_that_moves_keeps_its_id_and_a_refused_connection_never_ran() {
    // An address of its own: a port given back on a shared one may be another test's in a moment.
    let dead = "127.77.0.1:9".parse().unwrap();
    let endpoint = Endpoint::new(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let known = endpoint_list(41, true, &[endpoint_entry("s-1", dead, "in_service")]);
    let sender = Sender::start("move", &platform, &known);
    assert_eq!(sender.submit("debit", "v1", "16.0"), 202);
    let moved = endpoint_list(
        42,
        false,
        &[
            "{\"uid\":7}".into(),
            endpoint_entry("s-1", endpoint.address, "in_service"),
        ],
    );
    platform.push(&moved);
    assert_eq!(
        endpoint.next_request().id(),
        "v1",
        "a bad entry beside it is skipped"
    );
}

#[test]
fn a_lost_watch_resumes_from_its_revision_and_draining_takes_effect_at_once() {
    let (endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("drain", &platform, &known);
    assert_eq!(sender.submit("debit", "d1", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "d1");
    platform.push(&endpoint_list(
        9,
        false,
        &[endpoint_entry("s-1", endpoint.address, "terminating")],
    ));
    // A malformed chunk ends the watch: that the next one resumes shows that the list was read.
    platform.push_raw("zz\r\n");
    assert_eq!(
        platform.next_watch(),
        "GET /v1/servers?watch=1&from=9 HTTP/1.1"
    );
    assert_eq!(sender.submit("debit", "d2", "0.4"), 202);
    assert!(
        platform
            .next_status_report()
            .starts_with(r#"{"id":"d2","status":"deferred""#)
    );
    assert_eq!(
        endpoint.request_count(),
        0,
        "nothing new goes to a draining endpoint"
    );
}

#[test]
fn an_attempt_that_hangs_at_sigterm_does_not_delay_the_shutdown_and_is_reported_after_the_restart()
{
    let (endpoint, known) = one_endpoint(|_, _| no_reply());
    let platform = Platform::new(&[]);
    let sender = Sender::start("term-hang", &platform, &known);
    assert_eq!(sender.submit("debit", "h1", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "h1");
    let _sender = sender.terminate_and_restart();
    assert_eq!(
        platform.next_status_report(),
        r#"{"id":"h1","status":"undeliverable"}"#
    );
    assert_eq!(endpoint.request_count(), 0);
}

#[test]
fn at_sigterm_received_requests_are_answered_and_the_sender_exits_with_its_counters() {
    let (endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("term", &platform, &known);
    let mut kept = sender.connect();
    sender.signal("USR1");
    sender.signal("TERM");
    send(&mut kept, &request("debit", "t1", "16.0", "x"));
    assert_eq!(read_status(&mut kept), 202);
    assert_eq!(endpoint.next_request().id(), "t1");
    let exit = sender.wait_for_exit();
    let log = exit.output;
    assert_eq!(exit.code, Some(0));
    let counters: Vec<&str> = log
        .lines()
        .filter(|line| line.contains(" counters held="))
        .collect();
    assert_eq!(counters.len(), 2, "on request and at exit: {log}");
    assert!(
        counters[1].contains(" accepted=1 ") && counters[1].contains(" success=1 "),
        "{log}"
    );
    assert!(!log.contains("k-t1"), "no key in the log");
}

#[test]
fn a_reloaded_configuration_moves_the_watch_and_status_reports_and_an_invalid_one_changes_nothing()
{
    let old = Platform::new(&[0; 64]);
    let new = Platform::new(&[]);
    let endpoint = Endpoint::new(|_, _| reply(200, ""));
    let sender = Sender::start("reload", &old, &endpoint_list(41, true, &[]));
    old.next_watch();
    assert_eq!(sender.submit("debit", "l1", "0.3"), 202);
    // Its status report is never confirmed at the old address, which an invalid configuration does not change.
    sender.reload(r#""seed":"#, r#""seed":!"#);
    assert!(new.status_reports.try_recv().is_err());
    sender.reload(r#""seed":!"#, r#""seed":"#);
    sender.reload(&old.address.to_string(), &new.address.to_string());
    assert!(
        new.next_status_report()
            .starts_with(r#"{"id":"l1","status":"deferred""#)
    );
    assert_eq!(
        new.next_watch(),
        "GET /v1/servers?watch=1&from=0 HTTP/1.1",
        "its revisions are its own"
    );
    new.push_raw(&chunk(&endpoint_list(
        3,
        true,
        &[endpoint_entry("s-1", endpoint.address, "in_service")],
    )));
    assert_eq!(sender.submit("debit", "l2", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "l2");
    let exit = sender.terminate();
    assert_eq!(exit.code, Some(0));
    let kept = exit
        .output
        .lines()
        .find(|line| line.contains(" configuration kept "))
        .expect("the invalid one is logged");
    assert!(kept.contains("PROXY_CONFIG: not JSON"), "{kept}");
}

#[rstest]
#[case::settings(r#""OpenCap":50,"#, "", "OpenCap")]
#[case::listen(r#""listen":"127"#, r#""listen":"nowhere"#, "listen")]
#[case::seed(r#""seed":"8c1f30d27a5be964""#, r#""seed":5"#, "seed")]
#[case::limits(r#""disk_mb":3"#, r#""disk_mb":"much""#, "disk_mb")]
#[case::order(
    r#""Name":"debit","#,
    r#""Name":"debit","SerialByKey":true,"#,
    "SerialByKey"
)]
#[case::streams(r#""Name":"debit","#, r#""Name":"debit","Stream":true,"#, "Stream")]
fn an_invalid_configuration_is_reported_in_one_line_that_names_the_field(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
) {
    let platform = Platform::new(&[]);
    let sender = Sender::start(
        &format!("config-{field}"),
        &platform,
        &endpoint_list(1, true, &[]),
    );
    let exit = sender.restart_with_bad_config(from, to);
    let errors = exit.output;
    assert!(exit.code.is_some_and(|code| code != 0));
    assert!(
        errors.lines().count() == 1 && errors.contains(field),
        "{errors}"
    );
}

/// Guards against requests to endpoints that drained while a start waited: the list that a process is started with grows
/// old.
#[test]
fn a_start_that_was_held_up_waits_for_discovery_before_it_sends() {
    let (endpoint, platform, sender) = sender_with_endpoint("late-start", |_, _| no_reply());
    assert_eq!(sender.submit("meter", "before", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "before");
    let mut healing = None;
    let sender = sender.restart_with_state(|state| {
        // A log that cannot be read: a link to itself.
        let (log, aside) = (state.join("ledger"), state.join("aside"));
        std::fs::rename(&log, &aside).unwrap();
        std::os::unix::fs::symlink("ledger", &log).unwrap();
        healing = Some(thread::spawn(move || {
            thread::sleep(Duration::from_millis(800));
            std::fs::rename(aside, log).unwrap();
        }));
    });
    healing.unwrap().join().unwrap();
    assert_eq!(sender.submit("meter", "held-back", "16.0"), 202);
    sender.complete_round();
    assert_eq!(endpoint.request_count(), 0, "nothing is sent yet");
    platform.push(&endpoint_list(
        2,
        true,
        &[endpoint_entry("s-1", endpoint.address, "in_service")],
    ));
    let mut ids =
        [endpoint.next_request(), endpoint.next_request()].map(|call| call.id().to_string());
    ids.sort();
    assert_eq!(ids, ["before", "held-back"]);
}
