//! Tests of when watches are opened and closed.

use std::io::Write;

use super::super::watch_schedule::MAX_BACKOFF;
use super::*;

#[rstest::rstest]
#[case::local_agent(false, 3)]
#[case::discovery_service(true, 1)]
fn a_silent_watch_is_reopened_before_missed_changes_count_as_delivered(
    #[case] polls_endpoint_list: bool,
    #[case] min_reopened: usize,
) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let events = calloop::EventLoop::<crate::event_source::ReadyEvents>::try_new().unwrap();
    let (handle, pool) = (events.handle(), BufferPool::new(8));
    let platform_settings = platform_settings(Settings::default(), polls_endpoint_list);
    let mut directory = EndpointDirectory::new(
        listener.local_addr().unwrap(),
        &platform_settings,
        no_cordons(),
        Jitter::new(1),
    );
    directory.run_due(1_000.0, &handle, &pool);
    let (mut first_watch, _) = listener.accept().unwrap();
    // Discovery begins its response and then falls silent, without the empty line that is due every 2 s.
    first_watch
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
        .unwrap();
    assert!((0..200_000).any(|_| {
        directory.on_ready(1_000.0);
        directory.discovery_responded
    }));
    directory.run_due(3_000.0, &handle, &pool);
    assert!(directory.watch.is_some() && directory.next_deadline() < 1_000.0 + 6_000.0);
    let lost_at = directory.next_deadline();
    directory.run_due(lost_at, &handle, &pool);
    assert!(directory.watch.is_none(), "the silent watch is closed");
    // The next watches are connected but never receive a response.
    let mut opened = 0;
    while directory.next_deadline() < 1_000.0 + 6_000.0 {
        directory.run_due(directory.next_deadline(), &handle, &pool);
        opened += usize::from(directory.watch.is_some());
    }
    assert!(
        opened >= min_reopened,
        "{opened} watches before missed changes count as delivered"
    );
    (0..opened).for_each(|_| drop(listener.accept().unwrap()));
}

#[test]
fn watches_that_fall_silent_together_are_reopened_at_different_times() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let events = calloop::EventLoop::<crate::event_source::ReadyEvents>::try_new().unwrap();
    let platform_settings = platform_settings(Settings::default(), true);
    let reopened_after = |seed: u64| {
        let (handle, pool) = (events.handle(), BufferPool::new(8));
        let mut directory = EndpointDirectory::new(
            listener.local_addr().unwrap(),
            &platform_settings,
            no_cordons(),
            Jitter::new(seed),
        );
        directory.schedule.backoff = MAX_BACKOFF;
        directory.run_due(1_000.0, &handle, &pool);
        let lost_at = directory.next_deadline();
        directory.run_due(lost_at, &handle, &pool);
        directory.next_deadline() - lost_at
    };
    let mut pauses: Vec<Millis> = (0..12).map(reopened_after).collect();
    pauses.sort_by(f64::total_cmp);
    println!("reopened after, in ms: {pauses:.0?}");
    assert!(pauses[0] >= MAX_BACKOFF * 0.75 && pauses[11] <= MAX_BACKOFF * 1.25);
    assert!(
        pauses.windows(4).all(|four| four[3] - four[0] > 20.0),
        "four within 20 ms: {pauses:?}"
    );
}

/// For each sender, when it opens watches in a minute in which all of them are refused.
fn watch_times(senders: u32, polls_endpoint_list: bool) -> Vec<Vec<Millis>> {
    let settings = Settings {
        senders,
        ..Settings::default()
    };
    let platform_settings = platform_settings(settings, polls_endpoint_list);
    let times_of_sender = |seed: u32| {
        let jitter = Jitter::new(seed.into());
        let mut directory = EndpointDirectory::new(
            "127.0.0.1:9".parse().unwrap(),
            &platform_settings,
            no_cordons(),
            jitter,
        );
        directory.delay_first_watch(0.0);
        let mut times = Vec::new();
        while directory.next_deadline() < 60_000.0 {
            let now = directory.next_deadline();
            times.push(now);
            directory.schedule.back_off(now);
        }
        times
    };
    (0..senders).map(times_of_sender).collect()
}

#[test]
fn the_more_senders_there_are_the_less_often_each_retries_a_refused_watch() {
    // Watches per sender in the second half of the minute, once the backoff has grown.
    let late_watches = |senders: u32| {
        let all = watch_times(senders, true).concat();
        all.iter().filter(|time| **time > 30_000.0).count() as f64 / f64::from(senders)
    };
    let (few, many) = (late_watches(4), late_watches(48));
    println!("watches per sender in half a minute: {few:.1} with 4 senders, {many:.1} with 48");
    assert!(many < 0.5 * few && few > 10.0);
    for senders in [48, 300] {
        let mut all = watch_times(senders, true).concat();
        all.sort_by(f64::total_cmp);
        let half = senders as usize / 2;
        let crowded = all
            .windows(half)
            .filter(|window| window[half - 1] - window[0] < 500.0)
            .count();
        assert!(
            crowded == 0,
            "{crowded} times, half of {senders} senders retried within half a second"
        );
    }
}

#[rstest::rstest]
#[case::few(2)]
#[case::many(48)]
#[case::fleet(300)]
fn refused_watches_are_retried_before_missed_changes_count_as_delivered(#[case] senders: u32) {
    // A drain counts as delivered after 6 s, received or not, and requests to the endpoint must end within 1 s more.
    for times in watch_times(senders, true) {
        let pauses = times.windows(2).map(|pair| pair[1] - pair[0]);
        let longest = pauses.fold(times[0], f64::max);
        assert!(
            longest < 6_500.0,
            "{longest:.0} ms between two watches of one of {senders} senders"
        );
    }
    // A pushed change counts as delivered once the agent on this machine has it.
    for times in watch_times(senders, false) {
        let pauses = times.windows(2).map(|pair| pair[1] - pair[0]);
        let longest = pauses.fold(0.0, f64::max);
        assert!(
            times[0] == 0.0 && longest <= 500.0,
            "first watch after {:.0} ms, then {longest:.0} ms between two watches",
            times[0]
        );
    }
}
