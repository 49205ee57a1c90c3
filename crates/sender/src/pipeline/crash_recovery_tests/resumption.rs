//! Messages that a process recovers from the log of an earlier one.

use std::path::PathBuf;
use std::rc::Rc;

use martenlatch_policy::interface::{Idempotency, MessageClass};
use martenlatch_settings::platform;
use martenlatch_wal::{AttemptRecord, WriteAheadLog};

use super::*;
use crate::pipeline::test_support::DISK_LIMIT;

/// Creates a state folder whose log contains messages of an earlier process.
fn state_folder_with(name: &str, messages: impl Iterator<Item = MessageRecord>) -> PathBuf {
    let state = empty_folder(&format!("crash-recovery-{name}"));
    let (mut wal, _) = WriteAheadLog::open(&state, DISK_LIMIT);
    for message in messages {
        assert!(wal.append_message(&message));
        for (index, attempt) in message.attempts.iter().enumerate() {
            assert!(wal.append_attempt(message.number, index, attempt.sent_at));
        }
    }
    state
}

fn message(number: u64, class: &str, attempts: Vec<AttemptRecord>, rules: &[u8]) -> MessageRecord {
    MessageRecord {
        number,
        id: Rc::from(format!("a{number}")),
        class: Rc::from(class),
        destination: 7,
        deadline: START + MESSAGE_TIMEOUT,
        idempotency_key: Some(Rc::from("k")),
        body: Rc::from(&b"x"[..]),
        attempts,
        final_status: None,
        class_rules: Rc::from(rules),
    }
}

/// Guards against a second effect, or an end without an attempt, after the settings have given a class name another
/// meaning: a message must be treated by the rules under which it was accepted.
#[rstest::rstest]
#[case::accepted_as_non_idempotent_and_now_idempotent(
    "reading",
    Idempotency::NonIdempotent,
    true,
    0
)]
#[case::accepted_as_idempotent_and_now_non_idempotent("debit", Idempotency::Idempotent, true, 1)]
#[case::accepted_with_a_shorter_idempotency_window_than_now("bill", Idempotency::IdempotencyKey { per_zone: false, window: 400_000_000 }, true, 0)]
#[case::accepted_as_idempotent_in_a_removed_class("removed", Idempotency::Idempotent, true, 1)]
#[case::unattempted_in_a_removed_class("removed", Idempotency::NonIdempotent, false, 1)]
fn a_resumed_message_keeps_the_rules_it_was_accepted_under_when_the_settings_change(
    #[case] class_name: &str,
    #[case] idempotency: Idempotency,
    #[case] attempted: bool,
    #[case] expected_requests: usize,
) {
    let class = MessageClass {
        idempotency,
        ..platform::read(&settings(MAX_OPEN_MESSAGES))
            .unwrap()
            .settings
            .classes[0]
            .clone()
    };
    let rules = postcard::to_allocvec(&class).unwrap();
    let attempts = attempted.then_some(AttemptRecord {
        sent_at: START - 500.0,
        never_ran: false,
    });
    let state = state_folder_with(
        &format!("rules-{class_name}-{attempted}"),
        [message(
            3,
            class_name,
            attempts.into_iter().collect(),
            &rules,
        )]
        .into_iter(),
    );
    let (mut peers, clock) = (
        ScriptedPeers::new(EndpointScript::AnswersAll),
        Clock::manual(START),
    );
    let (mut driver, _events) = start(&state, MAX_OPEN_MESSAGES, &peers, true, &clock);
    for _ in 0..600 {
        step(&mut driver, &mut peers, &clock);
    }
    assert_eq!(
        (peers.requests.len(), peers.reports.len()),
        (expected_requests, 1 - expected_requests)
    );
    assert_eq!(driver.store.open_count, 0);
    // A message that is accepted now follows the current settings, even if the earlier rules had the same class name.
    let class_rules = &driver.admission.class_rules;
    let current = class_rules.get(0);
    assert!(
        current.name.as_ref() == "debit"
            && class_rules.is_non_idempotent("debit", &current.encoded_rules)
    );
}

#[rstest::rstest]
#[case::listed_at_the_start(true)]
#[case::listed_when_discovery_answers(false)]
fn a_resumed_message_is_attempted_once_its_destination_is_listed(#[case] endpoint_listed: bool) {
    let state = state_folder_with(
        &format!("listed-{endpoint_listed}"),
        [message(3, "debit", Vec::new(), &[])].into_iter(),
    );
    let (mut peers, clock) = (
        ScriptedPeers::new(EndpointScript::AnswersAll),
        Clock::manual(START),
    );
    let (mut driver, _events) = start(&state, MAX_OPEN_MESSAGES, &peers, endpoint_listed, &clock);
    for _ in 0..40 {
        step(&mut driver, &mut peers, &clock);
    }
    assert_eq!(peers.requests.len(), usize::from(endpoint_listed));
    if !endpoint_listed {
        assert_eq!(peers.watch_requests, 1);
        let list = format!(
            "{{\"rev\":2,\"all\":true,\"targets\":[{}]}}\n",
            peers.target()
        );
        peers.write_to_first_connection(&format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\r\n",
            list.len()
        ));
    }
    for _ in 0..100 {
        step(&mut driver, &mut peers, &clock);
    }
    assert_eq!(
        (
            peers.requests.len(),
            peers.reports.len(),
            driver.store.open_count
        ),
        (1, 0, 0)
    );
}

/// Guards against new messages that prevent attempts of resumed ones after a restart at capacity: new messages may use
/// only the remaining capacity.
#[test]
fn after_a_restart_at_capacity_all_resumed_messages_are_attempted_despite_new_clients() {
    const CAPACITY: usize = 60;
    let state = state_folder_with(
        "at-capacity",
        (0..CAPACITY as u64).map(|number| message(number, "debit", Vec::new(), &[])),
    );
    let (mut peers, clock) = (
        ScriptedPeers::new(EndpointScript::AnswersAll),
        Clock::manual(START),
    );
    let (mut driver, _events) = start(&state, CAPACITY, &peers, true, &clock);
    let mut clients = Vec::new();
    for round in 0..400 {
        if round % 20 == 0 {
            clients.push(send_message(&driver, "debit"));
        }
        step(&mut driver, &mut peers, &clock);
    }
    let counters = &driver.store.counters;
    println!(
        "unattempted {} started {} ended {}",
        counters.unattempted, counters.unattempted_started, counters.unattempted_ended
    );
    assert_eq!(
        (
            counters.unattempted,
            counters.unattempted_started,
            counters.unattempted_ended
        ),
        (CAPACITY as u64, CAPACITY as u64, 0)
    );
}
