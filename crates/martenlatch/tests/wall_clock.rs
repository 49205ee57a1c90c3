//! The wall clock is stepped while no process of the sender runs: accepted messages keep their deadlines.

mod support;
use support::*;

use std::time::Duration;

const HOUR: Duration = Duration::from_secs(3_600);

#[test]
fn a_message_is_still_delivered_after_the_wall_clock_was_set_forward() {
    let (endpoint, _platform, sender) = sender_with_endpoint("forward", |number, _| match number {
        0 => reply(429, "X-Backoff-Ms: 5000\r\n"),
        _ => reply(200, ""),
    });
    // The message has an idempotency key, so it is sent again whether or not the sender has read the first answer.
    assert_eq!(sender.submit("meter", "f1", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "f1");
    let _sender = sender.restart_with_wall_clock(|clock| clock.set_forward(HOUR));
    assert_eq!(
        endpoint.next_request().id(),
        "f1",
        "its deadline has not passed"
    );
}

#[test]
fn messages_end_at_their_deadline_after_the_wall_clock_was_set_back() {
    let (endpoint, platform, sender) = sender_with_endpoint("back", |_, _| no_reply());
    assert_eq!(sender.submit("debit", "b1", "3.0"), 202);
    assert_eq!(endpoint.next_request().id(), "b1");
    assert_eq!(sender.submit("meter", "b2", "3.0"), 202);
    assert_eq!(endpoint.next_request().id(), "b2");
    let _sender = sender.restart_with_wall_clock(|clock| clock.set_back(HOUR));
    let mut reports = [platform.next_status_report(), platform.next_status_report()];
    reports.sort();
    assert!(
        reports[0].contains("\"b1\"") && reports[1].contains("\"b2\""),
        "{reports:?}"
    );
}
