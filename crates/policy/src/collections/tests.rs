//! Tests of the data structures. Decisions that use them are tested in the tests folder of the crate.

use std::collections::BTreeMap;

use super::*;
use crate::interface::Outcome;

#[test]
fn an_outcome_history_counts_consecutive_failures_and_those_among_the_last_eight() {
    let mut history = OutcomeHistory::default();
    history.assume_failures(4);
    assert_eq!((history.consecutive_failures(), history.failures()), (4, 4));
    history.record_success();
    history.record_failure();
    assert_eq!((history.consecutive_failures(), history.failures()), (1, 5));
    (0..8).for_each(|_| history.record_failure());
    assert_eq!((history.consecutive_failures(), history.failures()), (8, 8));
    (0..8).for_each(|_| history.record_success());
    assert_eq!((history.consecutive_failures(), history.failures()), (0, 0));
}

#[test]
fn a_send_window_counts_sends_at_both_ends_of_its_span() {
    let mut window = SendWindow::default();
    window.record(10, 100);
    window.record(50, 100);
    assert_eq!(window.count(110, 100), 2);
    assert_eq!(window.count(111, 100), 1);
    window.record(151, 100);
    assert_eq!(
        window.count(60, 100),
        1,
        "sends that were too old at the latest send are removed"
    );
}

#[test]
fn each_outcome_moves_a_success_rate_by_a_quarter_of_the_difference() {
    let mut rate = SuccessRate::new(0.5);
    rate.record_success();
    assert_eq!(rate.get(), 0.625);
    rate.record_failure();
    assert_eq!(rate.get(), 0.46875);
}

#[test]
fn a_smoothed_latency_starts_at_the_first_and_moves_by_an_eighth_of_the_difference() {
    let mut smoothed = SmoothedLatency::default();
    assert_eq!(smoothed.get(), None);
    smoothed.record(80);
    assert_eq!(smoothed.get(), Some(80));
    smoothed.record(160);
    assert_eq!(smoothed.get(), Some(90));
}

#[test]
fn an_adaptive_interval_doubles_between_its_bounds_and_falls_to_zero() {
    let mut interval = AdaptiveInterval::default();
    interval.increase(7, 50, 150);
    assert_eq!((interval.get(), interval.last_increase()), (50, 7));
    interval.increase(8, 50, 150);
    interval.increase(9, 50, 150);
    assert_eq!((interval.get(), interval.last_increase()), (150, 9));
    interval.decrease(0.5, 50);
    assert_eq!(interval.get(), 75);
    interval.decrease(0.5, 50);
    assert_eq!(interval.get(), 0, "the result is below the minimum");
    interval.raise_to(20);
    interval.raise_to(10);
    assert_eq!(interval.get(), 20);
}

#[test]
fn a_connection_is_reused_if_the_next_use_comes_before_the_idle_timeout() {
    let mut connection = ConnectionUse::default();
    assert!(!connection.is_open(0, 100));
    connection.record(10, 100);
    assert!(
        connection.is_reused(),
        "after the first use it is too early to tell"
    );
    assert!(connection.is_open(109, 100) && !connection.is_open(110, 100));
    connection.record(110, 100);
    assert!(!connection.is_reused());
    connection.record(111, u64::MAX);
    assert!(
        connection.is_reused(),
        "without an idle timeout nothing overflows"
    );
}

#[test]
fn fifo_queues_keep_order_and_pause_by_key() {
    let mut queues: FifoQueues<u8, char> = FifoQueues::default();
    assert!(
        queues.is_first(1, &'a'),
        "a key without a queue blocks nothing"
    );
    queues.push(1, 'a');
    queues.push(1, 'b');
    assert!(queues.is_first(1, &'a') && !queues.is_first(1, &'b'));
    queues.pause_until(1, 20);
    queues.pause_until(1, 10);
    assert!(queues.is_paused(1, 19) && !queues.is_paused(1, 20) && !queues.is_paused(2, 19));
    queues.remove(1, &'a', 15);
    queues.remove(1, &'b', 15);
    assert!(
        queues.is_paused(1, 15),
        "an empty queue is kept while it is paused"
    );
    queues.push(2, 'c');
    queues.remove(2, &'c', 20);
    assert!(!queues.is_paused(1, 0), "and removed after that");
}

#[test]
fn start_times_are_counted_by_range_and_end_by_id() {
    let mut times = StartTimes::default();
    assert!(times.is_empty());
    times.start('a', 10);
    times.start('b', 20);
    times.start('c', 20);
    assert_eq!(
        (times.len(), times.count_in(..=20), times.count_in(..20)),
        (3, 3, 1)
    );
    assert!(times.any_in(20..) && !times.any_in(21..) && !times.any_in(11..20));
    times.end(&'a');
    assert!(!times.any_in(..20) && times.len() == 2);
}

#[test]
fn a_wakeup_timer_moves_only_to_earlier_instants() {
    let mut timer = WakeupTimer::default();
    assert!(!timer.is_late(100, 0));
    assert!(timer.set(50));
    assert!(!timer.set(50) && !timer.set(60) && timer.set(40));
    assert!(!timer.is_late(45, 5) && timer.is_late(46, 5));
    timer.expire(39);
    assert!(!timer.set(60));
    timer.expire(40);
    assert!(timer.set(60));
}

#[test]
fn a_page_counts_skipped_entries_and_returns_the_last_key_if_more_follow() {
    let map: BTreeMap<u8, char> = BTreeMap::from([(1, 'a'), (2, '-'), (3, 'c')]);
    let letter = |key: u8, value: &char| (*value != '-').then_some((key, *value));
    assert_eq!(read_page(&map, None, 2, letter), (vec![(1, 'a')], Some(2)));
    assert_eq!(read_page(&map, Some(2), 2, letter), (vec![(3, 'c')], None));
    assert_eq!(
        read_page(&map, Some(0), 3, letter),
        (vec![(1, 'a'), (3, 'c')], None)
    );
}

#[test]
fn call_counts_halve_in_twenty_seconds() {
    let mut counts = CallCounts::default();
    counts.count(Outcome::Success, 0);
    counts.count(Outcome::Overloaded { retry_after: 0 }, 0);
    counts.count(Outcome::Failure, 0);
    assert_eq!(counts.decayed_to(0), (1.0, 1.0));
    assert_eq!(counts.decayed_to(20_000_000_000), (0.5, 0.5));
}

#[test]
fn equal_seeds_give_equal_random_numbers_below_one() {
    let mut first = Random::new(7);
    let mut second = Random::new(7);
    for _ in 0..1000 {
        let number = first.unit();
        assert_eq!(number, second.unit());
        assert!((0.0..1.0).contains(&number));
    }
}

#[test]
fn latency_quantiles_follow_the_latest_entries() {
    let mut window = LatencyWindow::default();
    assert_eq!(window.quantile(0.95), 0);
    (1..=41).for_each(|latency| window.record(latency));
    assert_eq!(window.len(), LatencyWindow::CAPACITY);
    assert_eq!((window.quantile(0.0), window.quantile(1.0)), (2, 41));
}

#[test]
fn a_median_is_blended_with_a_default_while_entries_are_missing() {
    let mut window = LatencyWindow::default();
    assert_eq!(window.blended_median(100, 4), 100);
    window.record(20);
    assert_eq!(window.blended_median(100, 4), 80);
    (0..3).for_each(|_| window.record(20));
    assert_eq!(window.blended_median(100, 4), 20);
}

#[test]
fn a_quantile_of_too_few_entries_is_scaled_from_another_window() {
    let mut own = LatencyWindow::default();
    let mut other = LatencyWindow::default();
    assert_eq!(own.quantile_or_scaled(1.0, 3, &other, || 50), None);
    [10, 20, 40]
        .iter()
        .for_each(|latency| other.record(*latency));
    assert_eq!(own.quantile_or_scaled(1.0, 3, &other, || 50), Some(100));
    (0..3).for_each(|_| own.record(70));
    assert_eq!(own.quantile_or_scaled(1.0, 3, &other, || 50), Some(70));
}

#[test]
fn own_latencies_replace_priors() {
    let mut window = LatencyWindow::default();
    window.record(5);
    window.record(6);
    window.mark_as_priors();
    window.record(9);
    assert!(window.has_priors() && window.len() == 2);
    assert_eq!(window.own_sorted(), vec![9]);
    window.record(8);
    assert!(!window.has_priors());
    assert_eq!(window.own_sorted(), vec![8, 9]);
}
