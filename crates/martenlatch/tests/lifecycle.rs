//! Configuration, endpoint lists and shutdown.

mod support;
use support::*;

use std::thread;
use std::time::Duration;

use rstest::rstest;

#[test]
fn a_message_refused_at_the_old_address_of_an_endpoint_is_sent_to_its_new_address() {
    // An address that no other test uses: on a shared one, a free port may be given to another test at any time.
    let refusing_address = "127.77.0.1:9".parse().unwrap();
    let endpoint = Endpoint::new(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let known_endpoints = endpoint_list(
        41,
        true,
        &[endpoint_entry("s-1", refusing_address, "in_service")],
    );
    let sender = Sender::start("moved", &platform, &known_endpoints);
    assert_eq!(sender.submit("debit", "v1", "16.0"), 202);
    let moved = endpoint_list(
        42,
        false,
        &[
            "{\"uid\":7}".into(),
            endpoint_entry("s-1", endpoint.address, "in_service"),
        ],
    );
    platform.push_line(&moved);
    assert_eq!(
        endpoint.next_request().id(),
        "v1",
        "the invalid entry of the same list is skipped"
    );
}

#[test]
fn a_lost_watch_resumes_from_its_revision_and_draining_takes_effect_at_once() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("drain", &platform, &known_endpoints);
    assert_eq!(sender.submit("debit", "d1", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "d1");
    platform.push_line(&endpoint_list(
        9,
        false,
        &[endpoint_entry("s-1", endpoint.address, "terminating")],
    ));
    // A malformed chunk ends the watch. The revision from which the next watch resumes shows that the list was read.
    platform.push_bytes("zz\r\n");
    assert_eq!(
        platform.next_watch_request(),
        "GET /v1/servers?watch=1&from=9 HTTP/1.1"
    );
    assert_eq!(sender.submit("debit", "d2", "0.4"), 202);
    assert!(
        platform
            .next_status_report()
            .starts_with(r#"{"id":"d2","status":"deferred""#)
    );
    assert_eq!(
        endpoint.count_new_requests(),
        0,
        "no new request goes to a draining endpoint"
    );
}

#[test]
fn an_attempt_that_hangs_at_sigterm_does_not_delay_the_shutdown_and_is_reported_after_the_restart()
{
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| no_reply());
    let platform = Platform::new(&[]);
    let sender = Sender::start("term-hang", &platform, &known_endpoints);
    assert_eq!(sender.submit("debit", "h1", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "h1");
    let _sender = sender.terminate_and_restart();
    assert_eq!(
        platform.next_status_report(),
        r#"{"id":"h1","status":"undeliverable"}"#
    );
    assert_eq!(endpoint.count_new_requests(), 0);
}

#[test]
fn at_sigterm_received_requests_are_answered_and_the_sender_exits_with_its_counters() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("term", &platform, &known_endpoints);
    let mut client = sender.connect();
    sender.signal("USR1");
    sender.signal("TERM");
    send(&mut client, &request("debit", "t1", "16.0", "x"));
    assert_eq!(read_status(&mut client), 202);
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
    assert!(!log.contains("k-t1"), "no idempotency key in the log");
}

#[test]
fn a_reload_moves_the_watch_and_status_reports_and_an_invalid_configuration_changes_nothing() {
    let old = Platform::new(&[0; 64]);
    let new = Platform::new(&[]);
    let endpoint = Endpoint::new(|_, _| reply(200, ""));
    let sender = Sender::start("reload", &old, &endpoint_list(41, true, &[]));
    old.next_watch_request();
    assert_eq!(sender.submit("debit", "l1", "0.3"), 202);
    // The old platform does not confirm the status report. An invalid configuration does not change the address.
    sender.reload_config(r#""seed":"#, r#""seed":!"#);
    assert!(new.status_reports.try_recv().is_err());
    sender.reload_config(r#""seed":!"#, r#""seed":"#);
    sender.reload_config(&old.address.to_string(), &new.address.to_string());
    assert!(
        new.next_status_report()
            .starts_with(r#"{"id":"l1","status":"deferred""#)
    );
    assert_eq!(
        new.next_watch_request(),
        "GET /v1/servers?watch=1&from=0 HTTP/1.1",
        "revisions of the old platform do not apply to the new one"
    );
    new.push_bytes(&watch_chunk(&endpoint_list(
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
        .expect("the invalid configuration is logged");
    assert!(kept.contains("PROXY_CONFIG: not JSON"), "{kept}");
}

#[rstest]
#[case::settings(r#""OpenCap":50,"#, "", "OpenCap")]
#[case::listen(r#""listen":"127"#, r#""listen":"nowhere"#, "listen")]
#[case::seed(r#""seed":"8c1f30d27a5be964""#, r#""seed":5"#, "seed")]
#[case::limits(r#""disk_mb":3"#, r#""disk_mb":"much""#, "disk_mb")]
#[case::ordered_class(
    r#""Name":"debit","#,
    r#""Name":"debit","SerialByKey":true,"#,
    "SerialByKey"
)]
#[case::streaming_class(r#""Name":"debit","#, r#""Name":"debit","Stream":true,"#, "Stream")]
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
    let exit = sender.restart_with_invalid_config(from, to);
    let errors = exit.output;
    assert!(exit.code.is_some_and(|code| code != 0));
    assert!(
        errors.lines().count() == 1 && errors.contains(field),
        "{errors}"
    );
}

/// Guards against requests to endpoints that started to drain while the start of the sender was delayed: the endpoint
/// list in its configuration is outdated by then.
#[test]
fn after_a_delayed_start_nothing_is_sent_before_discovery_pushes_an_endpoint_list() {
    let (endpoint, platform, sender) = sender_with_endpoint("delayed-start", |_, _| no_reply());
    assert_eq!(sender.submit("meter", "before", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "before");
    let mut repair = None;
    let sender = sender.restart_with_state(|state| {
        // The log cannot be read while its file is a link to itself.
        let (log, saved) = (state.join("ledger"), state.join("saved"));
        std::fs::rename(&log, &saved).unwrap();
        std::os::unix::fs::symlink("ledger", &log).unwrap();
        repair = Some(thread::spawn(move || {
            thread::sleep(Duration::from_millis(800));
            std::fs::rename(saved, log).unwrap();
        }));
    });
    repair.unwrap().join().unwrap();
    assert_eq!(sender.submit("meter", "after", "16.0"), 202);
    sender.wait_for_round_end();
    assert_eq!(endpoint.count_new_requests(), 0, "nothing is sent yet");
    platform.push_line(&endpoint_list(
        2,
        true,
        &[endpoint_entry("s-1", endpoint.address, "in_service")],
    ));
    let mut ids =
        [endpoint.next_request(), endpoint.next_request()].map(|request| request.id().to_string());
    ids.sort();
    assert_eq!(ids, ["after", "before"]);
}
