//! Uncertain responses to a message with a hedged request: every order of responses and settlements.

use martenlatch_policy::interface::{Event, Outcome};

use super::*;
use crate::egress::{AnsweredAttempt, AttemptResult, Evidence, MessageGone};
use crate::pipeline::send_gate::SendGate;

/// A step in the life of a message with two attempts in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// An attempt ends.
    Ends(u32, Outcome, Evidence),
    /// The uncertain response of an attempt is settled: it belonged to the attempt, or may belong to another request.
    Settles(u32, bool),
    /// An attempt ends with an answer that says, or may say, that the message is over.
    EndsAsGone(u32, MessageGone),
    /// A later response on the connection of an attempt says that a message is over.
    IsContested(u32),
    /// The uncertain response of an attempt belongs to another request, and the real one may say that the message is over.
    SettlesAsGone(u32),
}

impl Step {
    /// Whether the message may be over from this step on.
    fn may_end_message(self) -> bool {
        matches!(self, Step::EndsAsGone(..) | Step::SettlesAsGone(_))
    }
}

const REJECTED: Outcome = Outcome::Overloaded { retry_after: 0 };

fn driver_with_two_attempts(name: &str) -> (Driver, Clock, TestLoop) {
    let settings = SETTINGS.replace("side_effect", "pure");
    let endpoint = "127.77.0.1:9".parse().unwrap();
    let (mut driver, clock, events) =
        resumed_driver_with_settings(name, 9_000.0, endpoint, &settings);
    driver.decision.events.clear();
    let message = driver.store.messages.get_mut(&3).unwrap();
    message.attempts_in_flight = 2;
    for _ in 0..2 {
        message
            .record
            .attempts
            .push(martenlatch_wal::AttemptRecord {
                sent_at: START,
                never_ran: false,
            });
    }
    (driver, clock, events)
}

fn perform(driver: &mut Driver, step: Step) {
    let answered = |attempt| AnsweredAttempt {
        id: MessageId(3),
        attempt,
    };
    match step {
        Step::Ends(attempt, outcome, evidence) => {
            end_attempt(driver, attempt, outcome, evidence, MessageGone::No);
        }
        Step::EndsAsGone(attempt, gone) => {
            end_attempt(driver, attempt, Outcome::NotSent, Evidence::Certain, gone);
        }
        Step::Settles(attempt, true) => driver.confirm_response(answered(attempt), START),
        Step::Settles(attempt, false) => {
            driver.doubt_response(answered(attempt), MessageGone::No, START);
        }
        Step::IsContested(attempt) => driver.contest_response(answered(attempt)),
        Step::SettlesAsGone(attempt) => {
            driver.doubt_response(answered(attempt), MessageGone::Possibly, START);
        }
    }
}

fn end_attempt(
    driver: &mut Driver,
    attempt: u32,
    outcome: Outcome,
    evidence: Evidence,
    gone: MessageGone,
) {
    driver.egress.results.push(AttemptResult {
        id: MessageId(3),
        attempt,
        endpoint: None,
        outcome,
        took: 5.0,
        gone,
        evidence,
    });
    driver.process_attempt_results(START);
}

/// All orders of the steps of both attempts in which each response precedes its settlement.
fn orders(first: &[Step], second: &[Step]) -> Vec<Vec<Step>> {
    match (first, second) {
        ([], rest) | (rest, []) => vec![rest.to_vec()],
        ([a, first_rest @ ..], [b, second_rest @ ..]) => {
            let with = |step: &Step, tails: Vec<Vec<Step>>| {
                tails
                    .into_iter()
                    .map(|tail| [vec![*step], tail].concat())
                    .collect::<Vec<_>>()
            };
            let mut all = with(a, orders(first_rest, second));
            all.extend(with(b, orders(first, second_rest)));
            all
        }
    }
}

/// The steps of one attempt: each outcome, certain, or uncertain and settled either way.
fn lives(attempt: u32) -> Vec<Vec<Step>> {
    let mut lives = Vec::new();
    for outcome in [Outcome::Success, REJECTED] {
        lives.push(vec![Step::Ends(attempt, outcome, Evidence::Certain)]);
        for confirmed in [true, false] {
            lives.push(vec![
                Step::Ends(attempt, outcome, Evidence::Uncertain),
                Step::Settles(attempt, confirmed),
            ]);
        }
    }
    lives.push(vec![Step::Ends(
        attempt,
        Outcome::TimedOut,
        Evidence::Certain,
    )]);
    lives
}

/// The steps of an attempt behind which the message may be over.
fn lives_of_gone_message(attempt: u32) -> Vec<Vec<Step>> {
    let mut lives = vec![
        vec![Step::EndsAsGone(attempt, MessageGone::Possibly)],
        vec![Step::EndsAsGone(attempt, MessageGone::Certainly)],
    ];
    for outcome in [Outcome::Success, REJECTED, Outcome::Failure] {
        lives.push(vec![
            Step::Ends(attempt, outcome, Evidence::Uncertain),
            Step::IsContested(attempt),
            Step::SettlesAsGone(attempt),
        ]);
    }
    lives
}

/// Whether the gate lets a request for the message begin.
fn may_be_sent(driver: &Driver) -> bool {
    let gate = SendGate {
        class_rules: &driver.admission.class_rules,
        directory: &driver.directory,
        retry_after_table: &driver.retry_after_table,
        violations: &driver.violations,
    };
    driver.store.messages.get(&3).is_some_and(|message| {
        message.state == MessageState::Open && !gate.awaits_settlement(message)
    })
}

/// Guards against a request for a message that may be over: in every order of its two attempts' ends, nothing opens it
/// again, and while that is not settled nothing is sent for it.
#[test]
fn in_every_order_a_message_that_may_be_over_is_sent_no_more() {
    for first in lives_of_gone_message(0) {
        for second in [lives(1), lives_of_gone_message(1)].concat() {
            for order in orders(&first, &second) {
                let (mut driver, ..) = driver_with_two_attempts("settlement-gone");
                let mut may_be_over = false;
                let mut is_contested = false;
                for step in &order {
                    driver.decision.events.clear();
                    perform(&mut driver, *step);
                    may_be_over |= step.may_end_message();
                    is_contested |= matches!(step, Step::IsContested(_));
                    let events = &driver.decision.events;
                    let is_resumed = events
                        .iter()
                        .any(|event| matches!(event, Event::MessageResumed { .. }));
                    assert!(!(may_be_over && is_resumed), "{step:?} of {order:?}");
                    if may_be_over || is_contested {
                        assert!(!may_be_sent(&driver), "{step:?} of {order:?}");
                    }
                }
                assert!(!driver.store.is_open(3), "{order:?}");
            }
        }
    }
}

/// Whether the life of an attempt proves that the message was delivered.
fn delivers(life: &[Step]) -> bool {
    matches!(
        life,
        [Step::Ends(_, Outcome::Success, Evidence::Certain)]
            | [Step::Ends(_, Outcome::Success, _), Step::Settles(_, true)]
    )
}

/// Guards against a message that is neither delivered nor decided on again, or that stays in a count, when its attempt or
/// the hedged one gets a response that is settled only later.
#[test]
fn in_every_order_a_message_is_closed_by_a_settled_success_or_stays_open() {
    for first in lives(0) {
        for second in lives(1) {
            for order in orders(&first, &second) {
                let (mut driver, ..) = driver_with_two_attempts("settlement-orders");
                let mut resumed = 0;
                for step in &order {
                    perform(&mut driver, *step);
                    resumed += driver
                        .decision
                        .events
                        .drain(..)
                        .filter(|event| matches!(event, Event::MessageResumed { .. }))
                        .count();
                }
                let is_delivered = delivers(&first) || delivers(&second);
                let store = &driver.store;
                assert_eq!(store.messages.is_empty(), is_delivered, "{order:?}");
                assert_eq!(store.open_count, usize::from(!is_delivered), "{order:?}");
                assert_eq!(store.unsettled_count(), 0, "{order:?}");
                let seemed_delivered = order.iter().any(|step| {
                    matches!(step, Step::Ends(_, Outcome::Success, Evidence::Uncertain))
                });
                if seemed_delivered && !is_delivered {
                    assert!(resumed > 0, "the decision module decides again: {order:?}");
                }
            }
        }
    }
}

/// Guards against a late doubt that changes nothing: a message that was closed by a settled response is reported if that
/// response is contradicted before its deadline.
#[test]
fn a_closed_message_whose_response_is_contradicted_later_is_reported_once() {
    let (mut driver, ..) = driver_with_two_attempts("settlement-late");
    perform(
        &mut driver,
        Step::Ends(0, Outcome::Success, Evidence::Uncertain),
    );
    perform(&mut driver, Step::Ends(1, REJECTED, Evidence::Certain));
    perform(&mut driver, Step::Settles(0, true));
    assert!(driver.store.messages.is_empty());
    perform(&mut driver, Step::Settles(0, false));
    perform(&mut driver, Step::Settles(0, false));
    let statuses: Vec<_> = driver
        .store
        .messages
        .values()
        .map(|message| (message.state, message.record.final_status))
        .collect();
    assert_eq!(
        statuses,
        [(MessageState::Reporting, Some(FinalStatus::Undeliverable))]
    );
    assert_eq!(driver.status_reporter.unconfirmed().len(), 1);
}
