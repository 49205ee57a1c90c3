//! Stories over loopback sockets: the program is started and speaks with scripted peers. One for each failure met
//! or guarded against.

mod peers;
use peers::*;
use rstest::rstest;
use std::io::Write;
use std::net::Shutdown;

fn one_region(script: impl Fn(usize, &Heard) -> Reply + Send + Sync + 'static) -> (Region, String) {
    let region = Region::new(script);
    let known = table(1, true, &[listed("s-1", region.address, "in_service")]);
    (region, known)
}

#[test]
fn a_transaction_is_delivered_with_its_id_key_and_body_on_a_kept_connection() {
    let (region, known) = one_region(|_, _| status(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("deliver", &platform, &known, 3.0);
    let mut client = sender.connect();
    for id in ["a1", "a2"] {
        client
            .get_mut()
            .write_all(request("meter", id, "16.0", "reading").as_bytes())
            .unwrap();
        assert_eq!(answered(&read(&mut client, 0).unwrap()), 202);
        let call = region.call();
        assert_eq!(call.line, "POST /v1/messages HTTP/1.1");
        assert_eq!(
            (call.id(), call.header("Idempotency-Key")),
            (id, format!("k-{id}").as_str())
        );
        assert_eq!(call.body, b"reading");
        assert!(call.header("X-Timeout").parse::<f64>().unwrap() > 0.0);
    }
    // The same id again is answered, and not taken on twice.
    assert_eq!(sender.hand_in("meter", "a1", "16.0"), 202);
    assert_eq!(sender.hand_in("meter", "a3", "16.0"), 202);
    assert_eq!(region.call().id(), "a3");
}

#[rstest]
#[case::no_id(
    "POST /debit HTTP/1.1\r\nX-Timeout: 1\r\nX-Route-To: dest=7\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::no_dest(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: 1\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::odd_dest(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: 1\r\nX-Route-To: dest=x\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::odd_timeout(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: NaN\r\nX-Route-To: dest=7\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::no_key(
    "POST /meter HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: 1\r\nX-Route-To: dest=7\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::no_length(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: 1\r\nX-Route-To: dest=7\r\n\r\n",
    400
)]
#[case::two_lengths(
    "POST /debit HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    400
)]
#[case::odd_length("POST /debit HTTP/1.1\r\nContent-Length: +1\r\n\r\na", 400)]
#[case::endless_length(
    "POST /debit HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
    413
)]
#[case::too_large("POST /debit HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413)]
#[case::chunked(
    "POST /debit HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    411
)]
#[case::no_such_dest(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: 1\r\nX-Route-To: dest=8\r\nContent-Length: 0\r\n\r\n",
    404
)]
#[case::two_ids(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Request-ID: b\r\nX-Timeout: 1\r\nX-Route-To: dest=7\r\n\
     Content-Length: 0\r\n\r\n",
    400
)]
#[case::more_than_its_length(
    "POST /debit HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout: 1\r\nX-Route-To: dest=7\r\nContent-Length: 2\r\n\r\nhello",
    400
)]
#[case::no_http("\x00\x01\x02nonsense\r\n\r\n", 400)]
#[case::no_class("POST /nothing HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404)]
#[case::no_path("GET / HTTP/1.1\r\n\r\n", 404)]
#[case::wrong_method("GET /debit HTTP/1.1\r\n\r\n", 405)]
#[case::wrong_method_health("POST /healthz HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405)]
fn bad_input_is_answered_and_harms_nothing(#[case] text: &str, #[case] want: u16) {
    let (_region, known) = one_region(|_, _| status(200, ""));
    let platform = Platform::new(&[]);
    let case = text
        .bytes()
        .fold(7u64, |h, b| h.wrapping_mul(31) ^ u64::from(b));
    let sender = Sender::start(&format!("bad-{case:x}"), &platform, &known, 3.0);
    platform.push(&known);
    assert_eq!(sender.exchange(text), want);
    let long = format!(
        "GET /healthz HTTP/1.1\r\nX-Long: {}\r\n\r\n",
        "x".repeat(9_000)
    );
    assert_eq!(sender.exchange(&long), 431);
    assert_eq!(
        sender.hand_in("debit", "after", "16.0"),
        202,
        "the sender still serves"
    );
}

#[test]
fn an_unsafe_call_that_was_out_at_a_kill_is_undeliverable_and_never_sent_again() {
    let (region, known) = one_region(|_, _| silence());
    let platform = Platform::new(&[]);
    let sender = Sender::start("kill-unsafe", &platform, &known, 3.0);
    assert_eq!(sender.hand_in("debit", "u1", "16.0"), 202);
    assert_eq!(region.call().id(), "u1");
    let sender = sender.kill_and_restart();
    assert_eq!(platform.notice(), r#"{"id":"u1","status":"undeliverable"}"#);
    assert_eq!(region.calls_so_far(), 0, "it may have run");
    // Its end is recorded: a third life owes nothing and does not take it on again. The second of two rounds
    // begins once the confirmation has been read and entered.
    (0..2).for_each(|_| assert_eq!(sender.exchange("GET /healthz HTTP/1.1\r\n\r\n"), 200));
    let sender = sender.kill_and_restart();
    assert_eq!(sender.hand_in("debit", "u1", "16.0"), 202);
    assert_eq!(sender.hand_in("debit", "u2", "16.0"), 202);
    assert_eq!(region.call().id(), "u2");
    assert!(platform.notices.try_recv().is_err());
}

#[test]
fn a_keyed_call_that_was_out_at_a_kill_is_repeated_and_one_delivered_is_not() {
    let (region, known) = one_region(|no, _| if no == 1 { silence() } else { status(200, "") });
    let platform = Platform::new(&[]);
    let sender = Sender::start("kill-keyed", &platform, &known, 3.0);
    assert_eq!(sender.hand_in("meter", "m0", "16.0"), 202);
    assert_eq!(region.call().id(), "m0");
    // The answer to m0 is read before m1's call leaves: one connection carries both.
    assert_eq!(sender.hand_in("meter", "m1", "16.0"), 202);
    assert_eq!(region.call().id(), "m1");
    let sender = sender.kill_and_restart();
    let again = region.call();
    assert_eq!(
        (again.id(), again.header("Idempotency-Key"), &*again.body),
        ("m1", "k-m1", &b"hello"[..])
    );
    assert_eq!(sender.hand_in("meter", "m2", "16.0"), 202);
    assert_eq!(region.call().id(), "m2", "nothing else came back");
}

#[test]
fn a_refusal_without_a_readable_wait_is_one_all_the_same_and_an_unsafe_transaction_goes_again() {
    let (region, known) = one_region(|no, _| {
        if no == 0 {
            status(429, "X-Backoff-Ms: soon\r\n")
        } else {
            status(200, "")
        }
    });
    let platform = Platform::new(&[]);
    let sender = Sender::start("odd-wait", &platform, &known, 3.0);
    assert_eq!(sender.hand_in("debit", "w1", "16.0"), 202);
    assert_eq!((region.call().id(), region.call().id()), ("w1", "w1"));
}

#[rstest]
#[case::head("HTTP/1.1 200 OK\r\nnot a header\u{1}\r\n\r\n")]
#[case::endless_head("HTTP/1.1 200 OK\r\nX-More: and more")]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n")]
#[case::three_gigabytes("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx")]
fn a_spoilt_answer_whose_first_line_says_200_is_a_delivery(#[case] answer: &'static str) {
    let (region, known) = one_region(move |_, _| (answer.into(), false));
    let platform = Platform::new(&[]);
    let case = answer
        .bytes()
        .fold(7u64, |h, b| h.wrapping_mul(31) ^ u64::from(b));
    let sender = Sender::start(&format!("true-{case:x}"), &platform, &known, 3.0);
    for id in ["g1", "g2"] {
        assert_eq!(sender.hand_in("debit", id, "16.0"), 202);
        assert_eq!(region.call().id(), id);
        region
            .ended
            .recv_timeout(HANG)
            .expect("its connection is of no further use");
    }
    let counters = sender.counters();
    assert!(
        counters.contains(" success=2 ") && counters.contains(" failure=0 "),
        "{counters}"
    );
    assert!(platform.notices.try_recv().is_err());
}

#[rstest]
#[case::noise("\u{0}\u{7}noise\r\n\r\n")]
#[case::two_lengths("HTTP/1.1 429 X\r\nContent-Length: 0\r\nContent-Length: 7\r\n\r\n")]
#[case::three_gigabytes("HTTP/1.1 503 X\r\nContent-Length: 3000000000\r\n\r\nxxxx")]
#[case::body_that_never_comes("HTTP/1.1 503 X\r\nContent-Length: 300\r\n\r\nxxxx")]
#[case::endless_head("HTTP/1.1 503 X\r\nX-More: and more")]
fn any_other_spoilt_answer_may_have_run_and_says_nothing_of_its_region(
    #[case] answer: &'static str,
) {
    let (region, known) = one_region(move |no, _| {
        if no == 0 {
            (answer.into(), false)
        } else {
            status(200, "")
        }
    });
    let platform = Platform::new(&[]);
    let case = answer
        .bytes()
        .fold(7u64, |h, b| h.wrapping_mul(31) ^ u64::from(b));
    let sender = Sender::start(&format!("spoilt-{case:x}"), &platform, &known, 3.0);
    assert_eq!(sender.hand_in("debit", "s1", "16.0"), 202);
    assert_eq!(region.call().id(), "s1");
    assert_eq!(
        platform.notice(),
        r#"{"id":"s1","status":"undeliverable"}"#,
        "it may have run"
    );
    // A region that seemed gone would be left alone for seconds.
    assert_eq!(sender.hand_in("debit", "s2", "2.0"), 202);
    assert_eq!(region.call().id(), "s2");
    let counters = sender.counters();
    assert!(
        counters.contains(" failure=1 ") && counters.contains(" connection_lost=0 "),
        "{counters}"
    );
}

#[test]
fn a_reset_after_the_last_byte_may_have_run() {
    let (region, known) = one_region(|_, _| (String::new(), true));
    let platform = Platform::new(&[]);
    let sender = Sender::start("reset", &platform, &known, 3.0);
    assert_eq!(sender.hand_in("debit", "r1", "16.0"), 202);
    assert_eq!(platform.notice(), r#"{"id":"r1","status":"undeliverable"}"#);
    assert_eq!((region.call().id(), region.calls_so_far()), ("r1", 0));
}

#[test]
fn a_transaction_that_a_region_calls_over_owes_nothing_and_one_without_attempts_owes_its_end() {
    let (region, known) =
        one_region(|_, heard| status(if heard.id() == "o1" { 410 } else { 504 }, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("over", &platform, &known, 3.0);
    assert_eq!(sender.hand_in("debit", "o1", "16.0"), 202);
    assert_eq!(region.call().id(), "o1");
    assert_eq!(sender.hand_in("debit", "o2", "16.0"), 202);
    assert!(
        platform
            .notice()
            .starts_with(r#"{"id":"o2","status":"deferred""#),
        "none for o1"
    );
    assert_eq!(
        (region.call().id(), region.calls_so_far()),
        ("o2", 0),
        "no attempt follows"
    );
}

#[test]
fn a_region_that_moves_keeps_its_name_and_a_refused_connection_never_ran() {
    // An address of its own: a port given back on a shared one may be another story's in a moment.
    let dead = "127.77.0.1:9".parse().unwrap();
    let region = Region::new(|_, _| status(200, ""));
    let platform = Platform::new(&[]);
    let known = table(41, true, &[listed("s-1", dead, "in_service")]);
    let sender = Sender::start("move", &platform, &known, 3.0);
    assert_eq!(sender.hand_in("debit", "v1", "16.0"), 202);
    let moved = table(
        42,
        false,
        &[
            "{\"uid\":7}".into(),
            listed("s-1", region.address, "in_service"),
        ],
    );
    platform.push(&moved);
    assert_eq!(region.call().id(), "v1", "a bad entry beside it is skipped");
}

#[test]
fn a_lost_watch_resumes_from_its_version_and_a_drain_binds_at_once() {
    let (region, known) = one_region(|_, _| status(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("drain", &platform, &known, 3.0);
    assert_eq!(sender.hand_in("debit", "d1", "16.0"), 202);
    assert_eq!(region.call().id(), "d1");
    platform.push(&table(
        9,
        false,
        &[listed("s-1", region.address, "terminating")],
    ));
    // A malformed chunk ends the watch: that the next one resumes shows that the drain was read.
    platform.push_raw("zz\r\n");
    assert_eq!(platform.watch(), "GET /v1/servers?watch=1&from=9 HTTP/1.1");
    assert_eq!(sender.hand_in("debit", "d2", "0.4"), 202);
    assert!(
        platform
            .notice()
            .starts_with(r#"{"id":"d2","status":"deferred""#)
    );
    assert_eq!(
        region.calls_so_far(),
        0,
        "nothing new goes to a region that drains"
    );
}

#[test]
fn a_connection_that_its_region_closed_is_not_used_again() {
    let (region, known) = one_region(|no, _| (status(200, "").0, no == 0));
    let platform = Platform::new(&[]);
    let sender = Sender::start("stale", &platform, &known, 3.0);
    assert_eq!(sender.hand_in("debit", "c1", "16.0"), 202);
    let first = region.call().conn;
    assert_eq!(sender.hand_in("debit", "c2", "16.0"), 202);
    let second = region.call();
    assert_eq!(second.id(), "c2");
    assert_ne!(second.conn, first);
}

#[test]
fn a_slow_delivery_gets_one_copy_at_another_region_while_the_first_is_still_out() {
    // The pace learned is half a second, so that a copy comes seconds before a time-out would send again.
    let script = |_: usize, heard: &Heard| match heard.id() {
        "slow" => silence(),
        _ => {
            std::thread::sleep(std::time::Duration::from_millis(500));
            status(200, "")
        }
    };
    let (a, b) = (Region::new(script), Region::new(script));
    let platform = Platform::new(&[]);
    let both = [
        listed("s-1", a.address, "in_service"),
        listed("s-2", b.address, "in_service"),
    ];
    let sender = Sender::start("copy", &platform, &table(1, true, &both), 3.0);
    let mut client = sender.connect();
    for no in 0..10 {
        client
            .get_mut()
            .write_all(request("meter", &format!("p{no}"), "16.0", "x").as_bytes())
            .unwrap();
        assert_eq!(answered(&read(&mut client, 0).unwrap()), 202);
        // One at a time: whichever region gets it, the other hears nothing.
        while a.calls_so_far() + b.calls_so_far() == 0 {
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    }
    assert_eq!(sender.hand_in("meter", "slow", "16.0"), 202);
    for region in [&a, &b] {
        // A busy machine may have seen one of the others copied too.
        let call = std::iter::repeat_with(|| region.call())
            .find(|call| call.id() == "slow")
            .unwrap();
        assert!(
            region.ended.try_iter().all(|conn| conn != call.conn),
            "both are out at once"
        );
    }
}

#[test]
fn a_notice_is_repeated_until_it_is_confirmed() {
    let platform = Platform::new(&[500, 0]);
    let sender = Sender::start("notice", &platform, &table(1, true, &[]), 3.0);
    assert_eq!(sender.hand_in("debit", "n1", "0.3"), 202);
    let notice = platform.notice();
    assert!(
        notice.starts_with(r#"{"id":"n1","status":"deferred","again_ms":"#),
        "{notice}"
    );
    drop(sender);
    assert!(
        platform.notices.try_recv().is_err(),
        "once confirmed it is not sent again"
    );
}

#[test]
fn a_client_that_left_before_it_could_hear_is_owed_nothing_and_a_half_closed_one_is_served() {
    let (region, known) = one_region(|_, _| status(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("left", &platform, &known, 3.0);
    sender.signal("STOP");
    let mut gone = sender.connect();
    gone.get_mut()
        .write_all(request("debit", "gone", "16.0", "x").as_bytes())
        .unwrap();
    drop(gone);
    sender.signal("CONT");
    let mut half = sender.connect();
    half.get_mut()
        .write_all(request("debit", "half", "16.0", "x").as_bytes())
        .unwrap();
    half.get_mut().shutdown(Shutdown::Write).unwrap();
    assert_eq!(answered(&read(&mut half, 0).unwrap()), 202);
    assert_eq!(
        region.call().id(),
        "half",
        "nothing is sent for the one that left"
    );
}

#[test]
fn idle_clients_make_room_for_one_that_has_work() {
    let (region, known) = one_region(|_, _| status(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("crowd", &platform, &known, 3.0);
    let crowd: Vec<_> = (0..450).map(|_| sender.connect()).collect();
    assert_eq!(sender.hand_in("debit", "k1", "16.0"), 202);
    assert_eq!(region.call().id(), "k1");
    let (mut first, mut last) = (crowd.into_iter(), String::new());
    let mut oldest = first.next().unwrap();
    assert_eq!(
        std::io::BufRead::read_line(&mut oldest, &mut last).unwrap(),
        0,
        "the oldest idle one went"
    );
}

#[test]
fn clients_that_say_nothing_or_half_a_request_are_ended() {
    let (_region, known) = one_region(|_, _| status(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("silent", &platform, &known, 3.0);
    let mut crowd: Vec<_> = (0..550).map(|_| sender.connect()).collect();
    for half in crowd.iter_mut().skip(500) {
        let _ = half.get_mut().write_all(b"POST /debit HTTP/1.1\r\nX-Re");
    }
    // All are ended, by an answer or without, and none waits for the test's own limit.
    for mut one in crowd {
        let heard = read(&mut one, 0).map_or(408, |a| answered(&a));
        assert!(matches!(heard, 408 | 503), "{heard}");
    }
    assert_eq!(sender.hand_in("debit", "after", "16.0"), 202);
}

#[test]
fn a_full_disk_refuses_new_work_and_keeps_what_was_taken_on() {
    let (region, known) = one_region(|_, _| silence());
    let platform = Platform::new(&[]);
    let sender = Sender::start("full", &platform, &known, 0.5);
    let body = "b".repeat(65_536);
    let answers: Vec<u16> = (0..8)
        .map(|no| sender.exchange(&request("meter", &format!("f{no}"), "16.0", &body)))
        .collect();
    let taken = answers.iter().take_while(|s| **s == 202).count();
    assert!(
        taken > 0 && answers[taken..].iter().all(|s| *s == 503),
        "{answers:?}"
    );
    assert!(answers.contains(&503));
    let sender = sender.kill_and_restart();
    assert_eq!(region.call().body.len(), 65_536);
    assert_eq!(sender.exchange("GET /healthz HTTP/1.1\r\n\r\n"), 200);
}

#[test]
fn a_call_that_hangs_at_sigterm_does_not_hold_the_sender_and_ends_in_the_next_life() {
    let (region, known) = one_region(|_, _| silence());
    let platform = Platform::new(&[]);
    let sender = Sender::start("term-hang", &platform, &known, 3.0);
    assert_eq!(sender.hand_in("debit", "h1", "16.0"), 202);
    assert_eq!(region.call().id(), "h1");
    let _sender = sender.end_and_restart();
    assert_eq!(platform.notice(), r#"{"id":"h1","status":"undeliverable"}"#);
    assert_eq!(region.calls_so_far(), 0);
}

#[test]
fn at_sigterm_what_was_sent_to_us_is_answered_and_the_sender_exits_with_its_counters() {
    let (region, known) = one_region(|_, _| status(200, ""));
    let platform = Platform::new(&[]);
    let sender = Sender::start("term", &platform, &known, 3.0);
    let mut kept = sender.connect();
    sender.signal("USR1");
    sender.signal("TERM");
    kept.get_mut()
        .write_all(request("debit", "t1", "16.0", "x").as_bytes())
        .unwrap();
    let answer = read(&mut kept, 0).expect("an answer");
    assert_eq!(answered(&answer), 202);
    assert_eq!(region.call().id(), "t1");
    let (code, log) = sender.finish();
    assert_eq!(code, Some(0));
    let counters: Vec<&str> = log
        .lines()
        .filter(|l| l.contains(" counters held="))
        .collect();
    assert_eq!(counters.len(), 2, "on request and at exit: {log}");
    assert!(
        counters[1].contains(" accepted=1 ") && counters[1].contains(" success=1 "),
        "{log}"
    );
    assert!(!log.contains("k-t1"), "no key in the log");
}

#[test]
fn a_configuration_read_again_moves_watch_and_notices_and_a_bad_one_changes_nothing() {
    let (old, new) = (Platform::new(&[0; 64]), Platform::new(&[]));
    let region = Region::new(|_, _| status(200, ""));
    let sender = Sender::start("reload", &old, &table(41, true, &[]), 3.0);
    old.watch();
    assert_eq!(sender.hand_in("debit", "l1", "0.3"), 202);
    // Its notice is never confirmed at the old address, which a bad configuration does not change.
    sender.reload(r#""seed":"#, r#""seed":!"#);
    assert!(new.notices.try_recv().is_err());
    sender.reload(r#""seed":!"#, r#""seed":"#);
    sender.reload(&old.address.to_string(), &new.address.to_string());
    assert!(
        new.notice()
            .starts_with(r#"{"id":"l1","status":"deferred""#)
    );
    assert_eq!(
        new.watch(),
        "GET /v1/servers?watch=1&from=0 HTTP/1.1",
        "its versions are its own"
    );
    new.push_raw(&chunk(&table(
        3,
        true,
        &[listed("s-1", region.address, "in_service")],
    )));
    assert_eq!(sender.hand_in("debit", "l2", "16.0"), 202);
    assert_eq!(region.call().id(), "l2");
    sender.signal("TERM");
    let (code, log) = sender.finish();
    assert_eq!(code, Some(0));
    let kept = log
        .lines()
        .find(|l| l.contains(" configuration kept "))
        .expect("the bad one is logged");
    assert!(kept.contains("PROXY_CONFIG: not JSON"), "{kept}");
}

#[rstest]
#[case::settings(r#""OpenCap":50,"#, "", "OpenCap")]
#[case::listen(r#""listen":"127"#, r#""listen":"nowhere"#, "listen")]
#[case::seed(r#""seed":"8c1f30d27a5be964""#, r#""seed":5"#, "seed")]
#[case::limits(r#""disk_mb":3"#, r#""disk_mb":"much""#, "disk_mb")]
#[case::order(
    r#""Name":"debit","#,
    r#""Name":"debit","SerialByKey":true,"#,
    "SerialByKey"
)]
#[case::streams(r#""Name":"debit","#, r#""Name":"debit","Stream":true,"#, "Stream")]
fn a_bad_configuration_is_one_line_that_names_the_field(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
) {
    let platform = Platform::new(&[]);
    let sender = Sender::start(
        &format!("config-{field}"),
        &platform,
        &table(1, true, &[]),
        3.0,
    );
    let (code, errors) = sender.restart_with(from, to);
    assert!(code.is_some_and(|c| c != 0));
    assert!(
        errors.lines().count() == 1 && errors.contains(field),
        "{errors}"
    );
}
