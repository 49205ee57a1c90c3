//! Runs every order of a few steps on a small fleet, and checks the rules with the laboratory's judge after each step.
//! The decision module and the write-ahead log are the real ones.

mod calls;
mod fleet;
mod steps;

use martenlatch_lab::judge::Rule;
use martenlatch_lab::model::partner::COLLAPSE_WINDOW;
use rstest::rstest;

use fleet::{Coverage, Fleet, IDEMPOTENCY_WINDOW, KEYED, MAX_ATTEMPTS, ORDERED, UNSAFE};
use steps::CallSelector::{Newest, Oldest};
use steps::Step;

/// The first message that a test submits: each of the two senders has delivered seven messages before.
const FIRST_MESSAGE: u64 = 14;

/// Visits every distinct order of the remaining steps, appended to `order`.
fn for_each_order(
    remaining: &mut Vec<Step>,
    order: &mut Vec<Step>,
    visit: &mut impl FnMut(&[Step]),
) {
    if remaining.is_empty() {
        return visit(order);
    }
    for index in 0..remaining.len() {
        if remaining[..index].contains(&remaining[index]) {
            continue;
        }
        order.push(remaining.remove(index));
        for_each_order(remaining, order, visit);
        remaining.insert(index, order.pop().unwrap());
    }
}

/// Runs every order of the steps, and adds up their coverage.
fn run_all_orders(steps: &[Step]) -> Coverage {
    let folder = tempfile::tempdir().unwrap();
    let mut total = Coverage::default();
    for_each_order(&mut steps.to_vec(), &mut Vec::new(), &mut |order| {
        let mut fleet = Fleet::new(folder.path());
        fleet.run_order(order);
        let coverage = fleet.coverage;
        total.orders += 1;
        total.hedges += coverage.hedges;
        total.retries += coverage.retries;
        total.retry_afters += coverage.retry_afters;
        total.drains += coverage.drains;
        total.calls_while_warming_up += coverage.calls_while_warming_up;
        total.withdrawals += coverage.withdrawals;
        total.resumed += coverage.resumed;
        total.clients_left += coverage.clients_left;
    });
    println!("{total:?}");
    total
}

#[rstest]
#[case::hedged_request_and_every_kind_of_answer(
    &[Step::Submit(0, KEYED, 0), Step::Wait(600.0), Step::Succeed(Oldest), Step::Reject(Newest, 1_500.0),
      Step::Fail(Oldest), Step::Submit(0, UNSAFE, 0), Step::Drain(1)],
    5_040, |coverage: &Coverage| vec![coverage.hedges, coverage.retries, coverage.retry_afters, coverage.drains])]
#[case::kill_between_any_two_steps(
    &[Step::Submit(0, UNSAFE, 0), Step::Submit(0, KEYED, 0), Step::Reset(Oldest), Step::Kill(0), Step::Start(0),
      Step::Reject(Newest, 1_500.0), Step::Wait(600.0)],
    5_040, |coverage: &Coverage| vec![coverage.hedges, coverage.retry_afters, coverage.resumed])]
#[case::outage_and_warm_up(
    &[Step::BeginOutage(0), Step::EndOutage(0), Step::Submit(0, KEYED, 0), Step::Submit(1, UNSAFE, 0),
      Step::Submit(1, KEYED, 0), Step::Wait(2_500.0), Step::Succeed(Oldest)],
    5_040, |coverage: &Coverage| vec![coverage.calls_while_warming_up, coverage.retries])]
#[case::withdrawal(
    &[Step::Submit(0, KEYED, 0), Step::Submit(1, UNSAFE, 1), Step::Wait(600.0), Step::Withdraw(Oldest),
      Step::Reject(Newest, 900.0), Step::Kill(0), Step::SubmitAndLeave(1)],
    5_040, |coverage: &Coverage| vec![coverage.hedges, coverage.retry_afters, coverage.withdrawals, coverage.resumed,
                                      coverage.clients_left])]
#[case::kill_with_hedged_requests_while_an_endpoint_drains(
    &[Step::Submit(0, KEYED, 0), Step::Wait(600.0), Step::Kill(0), Step::Start(0), Step::Drain(1),
      Step::Succeed(Oldest), Step::Withdraw(Newest), Step::Reject(Newest, 1_500.0)],
    40_320, |coverage: &Coverage| vec![coverage.hedges, coverage.retry_afters, coverage.drains, coverage.withdrawals,
                                       coverage.resumed])]
#[case::ordered_messages_with_the_same_key(
    &[Step::Submit(0, ORDERED, 0), Step::Submit(0, ORDERED, 0), Step::Submit(0, ORDERED, 0), Step::Succeed(Oldest),
      Step::Reset(Newest), Step::Withdraw(Oldest), Step::Wait(600.0), Step::Drain(0)],
    6_720, |coverage: &Coverage| vec![coverage.withdrawals, coverage.drains])]
fn every_order_of_the_steps_keeps_every_rule(
    #[case] steps: &[Step],
    #[case] expected_orders: usize,
    #[case] required: fn(&Coverage) -> Vec<usize>,
) {
    let coverage = run_all_orders(steps);
    assert_eq!(coverage.orders, expected_orders);
    assert!(
        required(&coverage).iter().all(|count| *count > 0),
        "the orders did not cover all required situations: {coverage:?}"
    );
}

/// Makes a sender break a rule, which the decision module would not do, and checks that the judge reports the rule.
#[rstest]
#[case::one_answer(Rule::OneAnswer, |fleet: &mut Fleet| {
    fleet.submit(0, KEYED, 0, true);
    fleet.perform(Step::Withdraw(Oldest));
    fleet.send(0, FIRST_MESSAGE, 0, 1_000.0);
})]
#[case::lost(Rule::Lost, |fleet: &mut Fleet| {
    fleet.drops_reports = true;
    fleet.submit(0, UNSAFE, 0, true);
    fleet.advance_time(8_000.0);
})]
#[case::no_second_effect(Rule::NoSecondEffect, |fleet: &mut Fleet| {
    fleet.submit(0, UNSAFE, 0, true);
    fleet.send(0, FIRST_MESSAGE, 1, 1_000.0);
})]
#[case::key_window(Rule::KeyWindow, |fleet: &mut Fleet| {
    fleet.submit(0, KEYED, 0, true);
    fleet.advance_time(IDEMPOTENCY_WINDOW + 100.0);
    fleet.send(0, FIRST_MESSAGE, 1, 1_000.0);
})]
#[case::waits(Rule::Waits, |fleet: &mut Fleet| {
    fleet.submit(0, KEYED, 0, true);
    fleet.perform(Step::Reject(Oldest, 2_000.0));
    fleet.advance_time(200.0);
    fleet.send(0, FIRST_MESSAGE, 0, 1_000.0);
})]
#[case::drains(Rule::Drains, |fleet: &mut Fleet| {
    fleet.perform(Step::Drain(0));
    fleet.advance_time(1_100.0);
    fleet.submit(0, KEYED, 0, true);
    fleet.send(0, FIRST_MESSAGE, 0, 1_000.0);
})]
#[case::none_toppled(Rule::NoneToppled, |fleet: &mut Fleet| {
    fleet.advance_time(COLLAPSE_WINDOW);
    fleet.perform(Step::BeginOutage(0));
    fleet.submit(0, KEYED, 0, true);
    fleet.perform(Step::EndOutage(0));
    (0..7).for_each(|_| drop(fleet.send(0, FIRST_MESSAGE, 0, 1_000.0)));
})]
#[case::attempts(Rule::Attempts, |fleet: &mut Fleet| {
    fleet.submit(0, KEYED, 0, true);
    (0..MAX_ATTEMPTS).for_each(|_| drop(fleet.send(0, FIRST_MESSAGE, 0, 1_000.0)));
})]
#[case::right_partner(Rule::RightPartner, |fleet: &mut Fleet| {
    fleet.submit(0, KEYED, 0, true);
    fleet.send(0, FIRST_MESSAGE, 2, 1_000.0);
})]
#[case::order(Rule::Order, |fleet: &mut Fleet| {
    fleet.submit(0, ORDERED, 0, true);
    fleet.submit(0, ORDERED, 0, true);
    fleet.send(0, FIRST_MESSAGE + 1, 0, 1_000.0);
})]
fn the_judge_reports_each_broken_rule(#[case] rule: Rule, #[case] break_rule: fn(&mut Fleet)) {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = Fleet::new(folder.path());
    assert!(fleet.broken_rules().is_empty());
    break_rule(&mut fleet);
    assert!(
        fleet.broken_rules().contains(&rule),
        "the judge reports {:?}",
        fleet.broken_rules()
    );
}
