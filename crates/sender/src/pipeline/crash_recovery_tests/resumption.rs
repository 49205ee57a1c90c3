//! Messages that a process finds in its log.

use std::path::PathBuf;
use std::rc::Rc;

use martenlatch_policy::interface::{Idempotency, MessageClass};
use martenlatch_settings::platform;
use martenlatch_wal::{AttemptRecord, WriteAheadLog};

use super::*;
use crate::pipeline::test_support::DISK_LIMIT;

/// A folder whose log holds messages of an earlier process.
fn folder_with(name: &str, messages: impl Iterator<Item = MessageRecord>) -> PathBuf {
    let state = empty_folder(&format!("lives-{name}"));
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

#[rstest::rstest]
#[case::a_non_idempotent_one_that_is_idempotent_now("reading", Idempotency::NonIdempotent, true, 0)]
#[case::an_idempotent_one_that_is_non_idempotent_now("debit", Idempotency::Idempotent, true, 1)]
#[case::one_with_a_key_that_holds_longer_now("bill", Idempotency::IdempotencyKey { per_zone: false, window: 400_000_000 }, true, 0)]
#[case::an_idempotent_one_whose_class_is_gone("gone", Idempotency::Idempotent, true, 1)]
#[case::an_unattempted_one_whose_class_is_gone("gone", Idempotency::NonIdempotent, false, 1)]
fn the_rules_under_which_a_message_was_accepted_hold_under_other_settings(
    #[case] name: &str,
    #[case] idempotency: Idempotency,
    #[case] attempted: bool,
    #[case] requests: usize,
) {
    // Otherwise there could be a second effect, or an end without an attempt, where a name has changed its meaning.
    let class = MessageClass {
        idempotency,
        ..platform::read(&settings(MAX_HELD))
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
    let state = folder_with(
        &format!("promised-{name}-{attempted}"),
        [message(3, name, attempts.into_iter().collect(), &rules)].into_iter(),
    );
    let (mut peers, clock) = (ScriptedPeers::new(Script::Serves), Clock::manual(START));
    let (mut driver, _events) = start(&state, MAX_HELD, &peers, true, &clock);
    for _ in 0..600 {
        step(&mut driver, &mut peers, &clock);
    }
    assert_eq!(
        (peers.requests.len(), peers.reports.len()),
        (requests, 1 - requests)
    );
    assert_eq!(driver.store.open_count, 0);
    // A message that is accepted now goes by the settings, also where that name stands for both.
    let rules = &driver.admission.class_rules;
    let current = rules.get(0);
    assert!(
        current.name.as_ref() == "debit"
            && rules.is_non_idempotent("debit", &current.encoded_rules)
    );
}

#[rstest::rstest]
#[case::listed_at_the_start(true)]
#[case::once_discovery_answers(false)]
fn a_resumed_message_is_attempted_once_its_destination_is_listed(#[case] listed: bool) {
    let state = folder_with(
        &format!("listed-{listed}"),
        [message(3, "debit", Vec::new(), &[])].into_iter(),
    );
    let (mut peers, clock) = (ScriptedPeers::new(Script::Serves), Clock::manual(START));
    let (mut driver, _events) = start(&state, MAX_HELD, &peers, listed, &clock);
    for _ in 0..40 {
        step(&mut driver, &mut peers, &clock);
    }
    assert_eq!(peers.requests.len(), usize::from(listed));
    if !listed {
        assert_eq!(peers.watches, 1);
        let list = format!(
            "{{\"rev\":2,\"all\":true,\"targets\":[{}]}}\n",
            peers.target()
        );
        peers.write_to_first(&format!(
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

#[test]
fn a_restart_at_capacity_attempts_what_it_finds_while_clients_come() {
    const FULL: usize = 60;
    let state = folder_with(
        "full",
        (0..FULL as u64).map(|number| message(number, "debit", Vec::new(), &[])),
    );
    let (mut peers, clock) = (ScriptedPeers::new(Script::Serves), Clock::manual(START));
    let (mut driver, _events) = start(&state, FULL, &peers, true, &clock);
    let mut clients = Vec::new();
    for round in 0..400 {
        if round % 20 == 0 {
            // New messages get the capacity that is left: they must not cost the resumed ones their attempts.
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
        (FULL as u64, FULL as u64, 0)
    );
}
