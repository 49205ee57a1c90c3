//! All orders of a few events on a tiny fleet. The decision module and the write-ahead log are the project's own, and the
//! laboratory's judge is asked after each event.

mod calls;
mod fleet;
mod steps;

use martenlatch_lab::judge::Rule;
use martenlatch_lab::model::partner::COLLAPSE_WINDOW;
use rstest::rstest;

use fleet::{ATTEMPTS, Fleet, KEYED, ORDERED, Seen, UNSAFE, WINDOW};
use steps::Pick::{Newest, Oldest};
use steps::Step;

/// Every order of the events, equal ones counted once.
fn orders(left: &mut Vec<Step>, order: &mut Vec<Step>, visit: &mut impl FnMut(&[Step])) {
    if left.is_empty() {
        return visit(order);
    }
    for at in 0..left.len() {
        if left[..at].contains(&left[at]) {
            continue;
        }
        order.push(left.remove(at));
        orders(left, order, visit);
        left.insert(at, order.pop().unwrap());
    }
}

/// Plays every order of the events, and adds up what was seen.
fn search(events: &[Step]) -> Seen {
    let folder = tempfile::tempdir().unwrap();
    let mut seen = Seen::default();
    orders(&mut events.to_vec(), &mut Vec::new(), &mut |order| {
        let mut fleet = Fleet::new(folder.path());
        fleet.play(order);
        let new = fleet.seen;
        seen.orders += 1;
        seen.hedges += new.hedges;
        seen.retries += new.retries;
        seen.retry_afters += new.retry_afters;
        seen.drains += new.drains;
        seen.recovering += new.recovering;
        seen.withdrawals += new.withdrawals;
        seen.resumed += new.resumed;
        seen.left += new.left;
    });
    println!("{seen:?}");
    seen
}

#[rstest]
#[case::a_copy_and_every_answer(
    &[Step::HandIn(0, KEYED, 0), Step::Wait(600.0), Step::Served(Oldest), Step::Overloaded(Newest, 1_500.0),
      Step::Failed(Oldest), Step::HandIn(0, UNSAFE, 0), Step::Drain(1)],
    5_040, |seen: &Seen| vec![seen.hedges, seen.retries, seen.retry_afters, seen.drains])]
#[case::a_kill_between_any_two(
    &[Step::HandIn(0, UNSAFE, 0), Step::HandIn(0, KEYED, 0), Step::Reset(Oldest), Step::Kill(0), Step::Start(0),
      Step::Overloaded(Newest, 1_500.0), Step::Wait(600.0)],
    5_040, |seen: &Seen| vec![seen.hedges, seen.retry_afters, seen.resumed])]
#[case::an_outage_and_a_cold_return(
    &[Step::OutageBegins(0), Step::OutageEnds(0), Step::HandIn(0, KEYED, 0), Step::HandIn(1, UNSAFE, 0), Step::HandIn(1, KEYED, 0),
      Step::Wait(2_500.0), Step::Served(Oldest)],
    5_040, |seen: &Seen| vec![seen.recovering, seen.retries])]
#[case::a_withdrawal(
    &[Step::HandIn(0, KEYED, 0), Step::HandIn(1, UNSAFE, 1), Step::Wait(600.0), Step::Withdrawn(Oldest),
      Step::Overloaded(Newest, 900.0), Step::Kill(0), Step::Leave(1)],
    5_040, |seen: &Seen| vec![seen.hedges, seen.retry_afters, seen.withdrawals, seen.resumed, seen.left])]
#[case::a_kill_with_copies_out_while_an_endpoint_drains(
    &[Step::HandIn(0, KEYED, 0), Step::Wait(600.0), Step::Kill(0), Step::Start(0), Step::Drain(1),
      Step::Served(Oldest), Step::Withdrawn(Newest), Step::Overloaded(Newest, 1_500.0)],
    40_320, |seen: &Seen| vec![seen.hedges, seen.retry_afters, seen.drains, seen.withdrawals, seen.resumed])]
#[case::an_order_by_key(
    &[Step::HandIn(0, ORDERED, 0), Step::HandIn(0, ORDERED, 0), Step::HandIn(0, ORDERED, 0), Step::Served(Oldest),
      Step::Reset(Newest), Step::Withdrawn(Oldest), Step::Wait(600.0), Step::Drain(0)],
    6_720, |seen: &Seen| vec![seen.withdrawals, seen.drains])]
fn every_order_keeps_every_rule(
    #[case] events: &[Step],
    #[case] count: usize,
    #[case] seen: fn(&Seen) -> Vec<usize>,
) {
    let found = search(events);
    assert_eq!(found.orders, count);
    assert!(
        seen(&found).iter().all(|times| *times > 0),
        "not all was seen: {found:?}"
    );
}

/// Has a sender do what the module would not, and says what the judge makes of it.
#[rstest]
#[case::one_answer(Rule::OneAnswer, |f: &mut Fleet| {
    f.hand_in(0, KEYED, 0, true);
    f.take(Step::Withdrawn(Oldest));
    f.send(0, 14, 0, 1_000.0);
})]
#[case::lost(Rule::Lost, |f: &mut Fleet| {
    f.drops_reports = true;
    f.hand_in(0, UNSAFE, 0, true);
    f.pass(8_000.0);
})]
#[case::no_second_effect(Rule::NoSecondEffect, |f: &mut Fleet| {
    f.hand_in(0, UNSAFE, 0, true);
    f.send(0, 14, 1, 1_000.0);
})]
#[case::key_window(Rule::KeyWindow, |f: &mut Fleet| {
    f.hand_in(0, KEYED, 0, true);
    f.pass(WINDOW + 100.0);
    f.send(0, 14, 1, 1_000.0);
})]
#[case::waits(Rule::Waits, |f: &mut Fleet| {
    f.hand_in(0, KEYED, 0, true);
    f.take(Step::Overloaded(Oldest, 2_000.0));
    f.pass(200.0);
    f.send(0, 14, 0, 1_000.0);
})]
#[case::drains(Rule::Drains, |f: &mut Fleet| {
    f.take(Step::Drain(0));
    f.pass(1_100.0);
    f.hand_in(0, KEYED, 0, true);
    f.send(0, 14, 0, 1_000.0);
})]
#[case::none_toppled(Rule::NoneToppled, |f: &mut Fleet| {
    f.pass(COLLAPSE_WINDOW);
    f.take(Step::OutageBegins(0));
    f.hand_in(0, KEYED, 0, true);
    f.take(Step::OutageEnds(0));
    (0..7).for_each(|_| drop(f.send(0, 14, 0, 1_000.0)));
})]
#[case::attempts(Rule::Attempts, |f: &mut Fleet| {
    f.hand_in(0, KEYED, 0, true);
    (0..ATTEMPTS).for_each(|_| drop(f.send(0, 14, 0, 1_000.0)));
})]
#[case::right_partner(Rule::RightPartner, |f: &mut Fleet| {
    f.hand_in(0, KEYED, 0, true);
    f.send(0, 14, 2, 1_000.0);
})]
#[case::order(Rule::Order, |f: &mut Fleet| {
    f.hand_in(0, ORDERED, 0, true);
    f.hand_in(0, ORDERED, 0, true);
    f.send(0, 15, 0, 1_000.0);
})]
fn each_check_can_fail(#[case] rule: Rule, #[case] fault: fn(&mut Fleet)) {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = Fleet::new(folder.path());
    assert!(fleet.broken().is_empty());
    fault(&mut fleet);
    assert!(fleet.broken().contains(&rule), "{:?}", fleet.broken());
}
