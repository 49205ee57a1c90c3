//! Tests of when watches are opened.

use std::io::Write;

use super::super::watch_schedule::MAX_BACKOFF;
use super::*;

#[rstest::rstest]
#[case::pushed_by_an_agent(false, 3)]
#[case::requested_from_a_service(true, 1)]
fn silent_watches_are_opened_again_before_their_changes_count_as_delivered(
    #[case] requested: bool,
    #[case] more: usize,
) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
    let (handle, pool) = (events.handle(), BufferPool::new(8));
    let platform_settings = platform_settings(Settings::default(), requested);
    let mut directory = EndpointDirectory::new(
        listener.local_addr().unwrap(),
        &platform_settings,
        no_cordons(),
        Jitter::new(1),
    );
    directory.run_due(1_000.0, &handle, &pool);
    let (mut first, _) = listener.accept().unwrap();
    // It begins to answer, and then becomes silent: the empty line of every 2 s is waited for.
    first
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
        .unwrap();
    assert!((0..200_000).any(|_| {
        directory.on_ready(1_000.0);
        directory.discovery_responded
    }));
    directory.run_due(3_000.0, &handle, &pool);
    assert!(directory.watch.is_some() && directory.next_deadline() < 1_000.0 + 6_000.0);
    let lost = directory.next_deadline();
    directory.run_due(lost, &handle, &pool);
    assert!(directory.watch.is_none(), "it is given up");
    // Those behind it are established and never answered.
    let mut opened = 0;
    while directory.next_deadline() < 1_000.0 + 6_000.0 {
        directory.run_due(directory.next_deadline(), &handle, &pool);
        opened += usize::from(directory.watch.is_some());
    }
    assert!(
        opened >= more,
        "{opened} before its changes count as delivered"
    );
    (0..opened).for_each(|_| drop(listener.accept().unwrap()));
}

#[test]
fn watches_that_become_silent_together_are_not_opened_again_together() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
    let platform_settings = platform_settings(Settings::default(), true);
    let again = |seed: u64| {
        let (handle, pool) = (events.handle(), BufferPool::new(8));
        let mut directory = EndpointDirectory::new(
            listener.local_addr().unwrap(),
            &platform_settings,
            no_cordons(),
            Jitter::new(seed),
        );
        directory.schedule.backoff = MAX_BACKOFF;
        directory.run_due(1_000.0, &handle, &pool);
        let lost = directory.next_deadline();
        directory.run_due(lost, &handle, &pool);
        directory.next_deadline() - lost
    };
    let mut attempts: Vec<Millis> = (0..12).map(again).collect();
    attempts.sort_by(f64::total_cmp);
    println!("opened again after, ms: {attempts:.0?}");
    assert!(attempts[0] >= MAX_BACKOFF * 0.75 && attempts[11] <= MAX_BACKOFF * 1.25);
    assert!(
        attempts.windows(4).all(|few| few[3] - few[0] > 20.0),
        "four within 20 ms: {attempts:?}"
    );
}

/// When each of a number of senders opens its watches, in a minute in which all are refused.
fn attempts(senders: u32, requested: bool) -> Vec<Vec<Millis>> {
    let settings = Settings {
        senders,
        ..Settings::default()
    };
    let platform_settings = platform_settings(settings, requested);
    let one = |seed: u32| {
        let jitter = Jitter::new(seed.into());
        let mut directory = EndpointDirectory::new(
            "127.0.0.1:9".parse().unwrap(),
            &platform_settings,
            no_cordons(),
            jitter,
        );
        directory.delay_first_watch(0.0);
        let mut attempts = Vec::new();
        while directory.next_deadline() < 60_000.0 {
            let now = directory.next_deadline();
            attempts.push(now);
            directory.schedule.back_off(now);
        }
        attempts
    };
    (0..senders).map(one).collect()
}

#[test]
fn many_senders_whose_watches_are_refused_retry_less_often_in_proportion() {
    // Once the backoff has grown: what each sender opens in a minute's second half.
    let late = |senders: u32| {
        let all = attempts(senders, true).concat();
        all.iter().filter(|at| **at > 30_000.0).count() as f64 / f64::from(senders)
    };
    let (few, many) = (late(4), late(48));
    println!("opened in half a minute, each: {few:.1} of 4 senders, {many:.1} of 48");
    assert!(many < 0.5 * few && few > 10.0);
    for senders in [48, 300] {
        let mut all = attempts(senders, true).concat();
        all.sort_by(f64::total_cmp);
        let most = senders as usize / 2;
        let crowded = all
            .windows(most)
            .filter(|w| w[most - 1] - w[0] < 500.0)
            .count();
        assert!(
            crowded == 0,
            "{crowded} times half of {senders} within half a second"
        );
    }
}

#[rstest::rstest]
#[case::few(2)]
#[case::many(48)]
#[case::fleet(300)]
fn changes_are_requested_before_they_count_as_delivered(#[case] senders: u32) {
    // A drain counts as delivered 6 s later, received or not, and requests there must end within 1 s more.
    for attempts in attempts(senders, true) {
        let pauses = attempts.windows(2).map(|w| w[1] - w[0]);
        let longest = pauses.fold(attempts[0], f64::max);
        assert!(
            longest < 6_500.0,
            "{longest:.0} ms between two watches of one of {senders}"
        );
    }
    // What is pushed counts as delivered once the agent on this machine has it.
    for attempts in attempts(senders, false) {
        let longest = attempts.windows(2).map(|w| w[1] - w[0]).fold(0.0, f64::max);
        assert!(
            attempts[0] == 0.0 && longest <= 500.0,
            "{:.0} ms, then {longest:.0} ms",
            attempts[0]
        );
    }
}
