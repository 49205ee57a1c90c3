//! Delivery of messages to endpoints: retries, hedging, restarts, and responses of every kind.

mod support;
use support::*;

use rstest::rstest;

#[test]
fn a_message_is_delivered_with_its_id_key_and_body_on_a_kept_alive_connection() {
    let (endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("deliver", &platform, &known);
    let mut client = sender.connect();
    for id in ["a1", "a2"] {
        send(&mut client, &request("meter", id, "16.0", "reading"));
        assert_eq!(read_status(&mut client), 202);
        let call = endpoint.next_request();
        assert_eq!(call.first_line, "POST /v1/messages HTTP/1.1");
        assert_eq!(
            (call.id(), call.header("Idempotency-Key")),
            (id, format!("k-{id}").as_str())
        );
        assert_eq!(call.body, b"reading");
        assert!(call.header("X-Timeout").parse::<f64>().unwrap() > 0.0);
    }
    // The same id again is confirmed, and not accepted twice.
    assert_eq!(sender.submit("meter", "a1", "16.0"), 202);
    assert_eq!(sender.submit("meter", "a3", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "a3");
}

#[test]
fn a_non_idempotent_attempt_in_flight_at_a_kill_is_undeliverable_and_never_sent_again() {
    let (endpoint, known) = one_endpoint(|_, _| no_reply());
    let platform = Platform::new(&[]);
    let sender = Sender::start("kill-unsafe", &platform, &known);
    assert_eq!(sender.submit("debit", "u1", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "u1");
    let sender = sender.kill_and_restart();
    assert_eq!(
        platform.next_status_report(),
        r#"{"id":"u1","status":"undeliverable"}"#
    );
    assert_eq!(endpoint.request_count(), 0, "it may have run");
    // Its final status is recorded: after another restart it is neither reported nor accepted again. The round has to
    // end before the kill, so that the confirmation has been read and recorded.
    sender.complete_round();
    let sender = sender.kill_and_restart();
    assert_eq!(sender.submit("debit", "u2", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "u2");
    assert!(platform.status_reports.try_recv().is_err());
    // Handed in again, its end is reported again, and once.
    assert_eq!(sender.submit("debit", "u1", "16.0"), 202);
    assert_eq!(
        platform.next_status_report(),
        r#"{"id":"u1","status":"undeliverable"}"#
    );
    assert_eq!(sender.submit("debit", "u3", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "u3");
    assert!(platform.status_reports.try_recv().is_err());
}

#[test]
fn an_attempt_with_an_idempotency_key_in_flight_at_a_kill_is_repeated_and_a_delivered_one_is_not() {
    let (endpoint, known) = one_endpoint(|number, _| {
        if number == 1 {
            no_reply()
        } else {
            reply(200, "")
        }
    });
    let platform = Platform::new(&[]);
    let sender = Sender::start("kill-keyed", &platform, &known);
    assert_eq!(sender.submit("meter", "m0", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "m0");
    // The response to m0 is read before m1 is sent: one connection carries both.
    assert_eq!(sender.submit("meter", "m1", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "m1");
    let sender = sender.kill_and_restart();
    let again = endpoint.next_request();
    assert_eq!(
        (again.id(), again.header("Idempotency-Key"), &*again.body),
        ("m1", "k-m1", &b"hello"[..])
    );
    assert_eq!(sender.submit("meter", "m2", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "m2", "nothing else came back");
}

#[test]
fn a_rejection_with_an_unreadable_backoff_is_a_rejection_and_a_non_idempotent_message_is_retried() {
    let (endpoint, known) = one_endpoint(|number, _| {
        if number == 0 {
            reply(429, "X-Backoff-Ms: soon\r\n")
        } else {
            reply(200, "")
        }
    });
    let platform = Platform::new(&[]);
    let sender = Sender::start("odd-wait", &platform, &known);
    assert_eq!(sender.submit("debit", "w1", "16.0"), 202);
    assert_eq!(
        (endpoint.next_request().id(), endpoint.next_request().id()),
        ("w1", "w1")
    );
}

#[rstest]
#[case::head("HTTP/1.1 200 OK\r\nnot a header\u{1}\r\n\r\n")]
#[case::endless_head("HTTP/1.1 200 OK\r\nX-More: and more")]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n")]
#[case::three_gigabytes("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx")]
fn a_malformed_response_whose_status_line_says_200_is_a_delivery(#[case] answer: &'static str) {
    let (endpoint, known) = one_endpoint(move |_, _| Reply::raw(answer));
    let platform = Platform::new(&[]);
    let case = case_name(answer);
    let sender = Sender::start(&format!("true-{case}"), &platform, &known);
    for id in ["g1", "g2"] {
        assert_eq!(sender.submit("debit", id, "16.0"), 202);
        assert_eq!(endpoint.next_request().id(), id);
        endpoint
            .closed_connections
            .recv_timeout(TEST_TIMEOUT)
            .expect("its connection is of no further use");
    }
    let counters = sender.terminate_for_counters();
    assert!(
        counters.contains(" success=2 ") && counters.contains(" failure=0 "),
        "{counters}"
    );
    assert!(platform.status_reports.try_recv().is_err());
}

#[rstest]
#[case::noise("\u{0}\u{7}noise\r\n\r\n")]
#[case::two_lengths("HTTP/1.1 429 X\r\nContent-Length: 0\r\nContent-Length: 7\r\n\r\n")]
#[case::three_gigabytes("HTTP/1.1 503 X\r\nContent-Length: 3000000000\r\n\r\nxxxx")]
#[case::body_that_never_comes("HTTP/1.1 503 X\r\nContent-Length: 300\r\n\r\nxxxx")]
#[case::endless_head("HTTP/1.1 503 X\r\nX-More: and more")]
fn after_any_other_malformed_response_the_attempt_may_have_run_and_its_endpoint_is_not_blamed(
    #[case] answer: &'static str,
) {
    let (endpoint, known) = one_endpoint(move |number, _| {
        if number == 0 {
            Reply::raw(answer)
        } else {
            reply(200, "")
        }
    });
    let platform = Platform::new(&[]);
    let case = case_name(answer);
    let sender = Sender::start(&format!("spoilt-{case}"), &platform, &known);
    assert_eq!(sender.submit("debit", "s1", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "s1");
    assert_eq!(
        platform.next_status_report(),
        r#"{"id":"s1","status":"undeliverable"}"#,
        "it may have run"
    );
    // An endpoint that seemed gone would be left alone for seconds.
    assert_eq!(sender.submit("debit", "s2", "2.0"), 202);
    assert_eq!(endpoint.next_request().id(), "s2");
    let counters = sender.terminate_for_counters();
    assert!(
        counters.contains(" failure=1 ") && counters.contains(" connection_lost=0 "),
        "{counters}"
    );
}

#[test]
fn an_attempt_reset_after_its_last_byte_may_have_run() {
    let (endpoint, known) = one_endpoint(|_, _| Reply::closed());
    let platform = Platform::new(&[]);
    let sender = Sender::start("reset", &platform, &known);
    assert_eq!(sender.submit("debit", "r1", "16.0"), 202);
    assert_eq!(
        platform.next_status_report(),
        r#"{"id":"r1","status":"undeliverable"}"#
    );
    assert_eq!(
        (endpoint.next_request().id(), endpoint.request_count()),
        ("r1", 0)
    );
}

#[test]
fn a_message_closed_by_its_endpoint_is_not_reported_and_one_without_attempts_left_is_deferred() {
    let (endpoint, known) =
        one_endpoint(|_, request| reply(if request.id() == "o1" { 410 } else { 504 }, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("over", &platform, &known);
    assert_eq!(sender.submit("debit", "o1", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "o1");
    assert_eq!(sender.submit("debit", "o2", "16.0"), 202);
    assert!(
        platform
            .next_status_report()
            .starts_with(r#"{"id":"o2","status":"deferred""#),
        "none for o1"
    );
    assert_eq!(
        (endpoint.next_request().id(), endpoint.request_count()),
        ("o2", 0),
        "no attempt follows"
    );
}

#[test]
fn a_connection_that_its_endpoint_closed_is_not_used_again() {
    let (endpoint, known) = one_endpoint(|number, _| Reply {
        close: number == 0,
        ..reply(200, "")
    });
    let platform = Platform::new(&[]);
    let sender = Sender::start("stale", &platform, &known);
    assert_eq!(sender.submit("debit", "c1", "16.0"), 202);
    let first = endpoint.next_request().connection;
    assert_eq!(sender.submit("debit", "c2", "16.0"), 202);
    let second = endpoint.next_request();
    assert_eq!(second.id(), "c2");
    assert_ne!(second.connection, first);
}

#[test]
fn a_slow_attempt_is_hedged_once_at_another_endpoint_while_the_first_is_in_flight() {
    // The latency learned is half a second, so that a hedge comes seconds before a retry after a timeout.
    let script = |_: usize, request: &HttpMessage| match request.id() {
        "slow" => no_reply(),
        _ => {
            std::thread::sleep(std::time::Duration::from_millis(500));
            reply(200, "")
        }
    };
    let first = Endpoint::new(script);
    let second = Endpoint::new(script);
    let platform = Platform::new(&[]);
    let both = [
        endpoint_entry("s-1", first.address, "in_service"),
        endpoint_entry("s-2", second.address, "in_service"),
    ];
    let sender = Sender::start("copy", &platform, &endpoint_list(1, true, &both));
    let mut client = sender.connect();
    for number in 0..10 {
        send(
            &mut client,
            &request("meter", &format!("p{number}"), "16.0", "x"),
        );
        assert_eq!(read_status(&mut client), 202);
        // One at a time: whichever endpoint gets it, the other receives nothing.
        while first.request_count() + second.request_count() == 0 {
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    }
    assert_eq!(sender.submit("meter", "slow", "16.0"), 202);
    for endpoint in [&first, &second] {
        // On a busy machine one of the others may have been hedged too.
        let slow = std::iter::repeat_with(|| endpoint.next_request())
            .find(|request| request.id() == "slow")
            .unwrap();
        assert!(
            endpoint
                .closed_connections
                .try_iter()
                .all(|connection| connection != slow.connection),
            "both are in flight at once"
        );
    }
}

#[test]
fn a_status_report_is_repeated_until_it_is_confirmed() {
    let platform = Platform::new(&[500, 0]);
    let sender = Sender::start("notice", &platform, &endpoint_list(1, true, &[]));
    assert_eq!(sender.submit("debit", "n1", "0.3"), 202);
    let report = platform.next_status_report();
    assert!(
        report.starts_with(r#"{"id":"n1","status":"deferred","again_ms":"#),
        "{report}"
    );
    drop(sender);
    assert!(
        platform.status_reports.try_recv().is_err(),
        "once confirmed it is not sent again"
    );
}
