//! Delivery of messages to endpoints: retries, hedged requests, restarts, and valid and invalid responses.

mod support;
use support::*;

use rstest::rstest;

#[test]
fn a_message_from_a_kept_alive_connection_is_delivered_once_with_its_id_key_and_body() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("deliver", &platform, &known_endpoints);
    let mut client = sender.connect();
    for id in ["a1", "a2"] {
        send(&mut client, &request("meter", id, "16.0", "reading"));
        assert_eq!(read_status(&mut client), 202);
        let delivered = endpoint.next_request();
        assert_eq!(delivered.first_line, "POST /v1/messages HTTP/1.1");
        assert_eq!(
            (delivered.id(), delivered.header("Idempotency-Key")),
            (id, format!("k-{id}").as_str())
        );
        assert_eq!(delivered.body, b"reading");
        assert!(delivered.header("X-Timeout").parse::<f64>().unwrap() > 0.0);
    }
    // A repeated id is confirmed, but the message is not accepted again.
    assert_eq!(sender.submit("meter", "a1", "16.0"), 202);
    assert_eq!(sender.submit("meter", "a3", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "a3");
}

#[test]
fn a_non_idempotent_message_in_flight_at_a_kill_is_undeliverable_and_not_sent_again() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| no_reply());
    let platform = Platform::new(&[]);
    let sender = Sender::start("kill-non-idempotent", &platform, &known_endpoints);
    assert_eq!(sender.submit("debit", "u1", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "u1");
    let sender = sender.kill_and_restart();
    assert_eq!(
        platform.next_status_report(),
        r#"{"id":"u1","status":"undeliverable"}"#
    );
    assert_eq!(endpoint.count_new_requests(), 0, "the attempt may have run");
    // The final status is recorded: after another restart the message is neither reported nor sent again. The round
    // must end before the kill, so that the confirmation of the report has been read and recorded.
    sender.wait_for_round_end();
    let sender = sender.kill_and_restart();
    assert_eq!(sender.submit("debit", "u2", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "u2");
    assert!(platform.status_reports.try_recv().is_err());
    // If the message is submitted again, its final status is reported once more.
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
fn a_message_with_an_idempotency_key_in_flight_at_a_kill_is_sent_again_and_a_delivered_one_is_not()
{
    let (endpoint, known_endpoints) = endpoint_and_list(|number, _| {
        if number == 1 {
            no_reply()
        } else {
            reply(200, "")
        }
    });
    let platform = Platform::new(&[]);
    let sender = Sender::start("kill-idempotent", &platform, &known_endpoints);
    assert_eq!(sender.submit("meter", "m0", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "m0");
    // Both use the same connection, so the response to m0 has been read before m1 is sent.
    assert_eq!(sender.submit("meter", "m1", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "m1");
    let sender = sender.kill_and_restart();
    let repeated = endpoint.next_request();
    assert_eq!(
        (
            repeated.id(),
            repeated.header("Idempotency-Key"),
            &*repeated.body
        ),
        ("m1", "k-m1", &b"hello"[..])
    );
    assert_eq!(sender.submit("meter", "m2", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "m2", "m0 is not sent again");
}

#[test]
fn a_non_idempotent_message_is_retried_after_a_rejection_with_an_invalid_backoff() {
    let (endpoint, known_endpoints) = endpoint_and_list(|number, _| {
        if number == 0 {
            reply(429, "X-Backoff-Ms: soon\r\n")
        } else {
            reply(200, "")
        }
    });
    let platform = Platform::new(&[]);
    let sender = Sender::start("invalid-backoff", &platform, &known_endpoints);
    assert_eq!(sender.submit("debit", "w1", "16.0"), 202);
    assert_eq!(
        (endpoint.next_request().id(), endpoint.next_request().id()),
        ("w1", "w1")
    );
}

#[rstest]
#[case::malformed_header("HTTP/1.1 200 OK\r\nnot a header\u{1}\r\n\r\n")]
#[case::incomplete_head("HTTP/1.1 200 OK\r\nX-More: and more")]
#[case::negative_length("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n")]
#[case::three_gigabytes("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx")]
fn a_malformed_response_with_status_200_counts_as_delivered(#[case] response: &'static str) {
    let (endpoint, known_endpoints) = endpoint_and_list(move |_, _| Reply::raw(response));
    let platform = Platform::new(&[]);
    let case = case_name(response);
    let sender = Sender::start(&format!("status-200-{case}"), &platform, &known_endpoints);
    for id in ["g1", "g2"] {
        assert_eq!(sender.submit("debit", id, "16.0"), 202);
        assert_eq!(endpoint.next_request().id(), id);
        endpoint
            .closed_connections
            .recv_timeout(TEST_TIMEOUT)
            .expect("the sender closes the connection");
    }
    let counters = sender.terminate_for_counters();
    assert!(
        counters.contains(" success=2 ") && counters.contains(" failure=0 "),
        "{counters}"
    );
    assert!(platform.status_reports.try_recv().is_err());
}

#[rstest]
#[case::not_http("\u{0}\u{7}noise\r\n\r\n")]
#[case::two_lengths("HTTP/1.1 429 X\r\nContent-Length: 0\r\nContent-Length: 7\r\n\r\n")]
#[case::three_gigabytes("HTTP/1.1 503 X\r\nContent-Length: 3000000000\r\n\r\nxxxx")]
#[case::incomplete_body("HTTP/1.1 503 X\r\nContent-Length: 300\r\n\r\nxxxx")]
#[case::incomplete_head("HTTP/1.1 503 X\r\nX-More: and more")]
fn after_another_malformed_response_the_attempt_may_have_run_and_its_endpoint_stays_in_use(
    #[case] response: &'static str,
) {
    let (endpoint, known_endpoints) = endpoint_and_list(move |number, _| {
        if number == 0 {
            Reply::raw(response)
        } else {
            reply(200, "")
        }
    });
    let platform = Platform::new(&[]);
    let case = case_name(response);
    let sender = Sender::start(&format!("malformed-{case}"), &platform, &known_endpoints);
    assert_eq!(sender.submit("debit", "s1", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "s1");
    assert_eq!(
        platform.next_status_report(),
        r#"{"id":"s1","status":"undeliverable"}"#,
        "the attempt may have run"
    );
    // If the response counted as a lost connection, the endpoint would get no requests for seconds.
    assert_eq!(sender.submit("debit", "s2", "2.0"), 202);
    assert_eq!(endpoint.next_request().id(), "s2");
    let counters = sender.terminate_for_counters();
    assert!(
        counters.contains(" failure=1 ") && counters.contains(" connection_lost=0 "),
        "{counters}"
    );
}

#[test]
fn a_non_idempotent_message_whose_connection_closes_after_the_request_is_undeliverable() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| Reply::closed());
    let platform = Platform::new(&[]);
    let sender = Sender::start("closed-after-request", &platform, &known_endpoints);
    assert_eq!(sender.submit("debit", "r1", "16.0"), 202);
    assert_eq!(
        platform.next_status_report(),
        r#"{"id":"r1","status":"undeliverable"}"#
    );
    assert_eq!(
        (endpoint.next_request().id(), endpoint.count_new_requests()),
        ("r1", 0)
    );
}

#[test]
fn a_message_answered_with_410_is_not_reported_and_one_answered_with_504_is_deferred() {
    // 410: the endpoint has closed the message. 504: no attempts are left for the message.
    let (endpoint, known_endpoints) =
        endpoint_and_list(|_, request| reply(if request.id() == "o1" { 410 } else { 504 }, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("answered-410", &platform, &known_endpoints);
    assert_eq!(sender.submit("debit", "o1", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "o1");
    assert_eq!(sender.submit("debit", "o2", "16.0"), 202);
    assert!(
        platform
            .next_status_report()
            .starts_with(r#"{"id":"o2","status":"deferred""#),
        "no report for o1"
    );
    assert_eq!(
        (endpoint.next_request().id(), endpoint.count_new_requests()),
        ("o2", 0),
        "o2 is not sent again"
    );
}

#[test]
fn a_connection_closed_by_the_endpoint_is_not_reused() {
    let (endpoint, known_endpoints) = endpoint_and_list(|number, _| Reply {
        close: number == 0,
        ..reply(200, "")
    });
    let platform = Platform::new(&[]);
    let sender = Sender::start("closed-connection", &platform, &known_endpoints);
    assert_eq!(sender.submit("debit", "c1", "16.0"), 202);
    let first = endpoint.next_request().connection;
    assert_eq!(sender.submit("debit", "c2", "16.0"), 202);
    let second = endpoint.next_request();
    assert_eq!(second.id(), "c2");
    assert_ne!(second.connection, first);
}

#[test]
fn a_slow_attempt_is_hedged_at_another_endpoint_while_the_first_is_in_flight() {
    // The sender learns a latency of half a second, so that it hedges seconds before it would retry after a timeout.
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
    let sender = Sender::start("hedged", &platform, &endpoint_list(1, true, &both));
    let mut client = sender.connect();
    for number in 0..10 {
        send(
            &mut client,
            &request("meter", &format!("p{number}"), "16.0", "x"),
        );
        assert_eq!(read_status(&mut client), 202);
        // One message at a time: only one of the endpoints receives it.
        while first.count_new_requests() + second.count_new_requests() == 0 {
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    }
    assert_eq!(sender.submit("meter", "slow", "16.0"), 202);
    for endpoint in [&first, &second] {
        // On a busy machine one of the earlier messages may have been hedged, too.
        let slow = std::iter::repeat_with(|| endpoint.next_request())
            .find(|request| request.id() == "slow")
            .unwrap();
        assert!(
            endpoint
                .closed_connections
                .try_iter()
                .all(|connection| connection != slow.connection),
            "both requests are in flight at the same time"
        );
    }
}

#[test]
fn a_status_report_is_repeated_until_it_is_confirmed() {
    let platform = Platform::new(&[500, 0]);
    let sender = Sender::start("status-report", &platform, &endpoint_list(1, true, &[]));
    assert_eq!(sender.submit("debit", "n1", "0.3"), 202);
    let report = platform.next_status_report();
    assert!(
        report.starts_with(r#"{"id":"n1","status":"deferred","again_ms":"#),
        "{report}"
    );
    drop(sender);
    assert!(
        platform.status_reports.try_recv().is_err(),
        "a confirmed report is not sent again"
    );
}
