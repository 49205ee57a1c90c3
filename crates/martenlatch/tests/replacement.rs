//! Stories of a process that takes another's place under load, and of what may go wrong at each step: from outside there
//! is one sender, and every message is counted.

mod peers;
use peers::*;
use rstest::rstest;
use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Holds answers back until it is opened.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    fn open(&self) {
        *self.0.0.lock().unwrap() = true;
        self.0.1.notify_all();
    }
    fn pass(&self) {
        let open = self.0.0.lock().unwrap();
        drop(
            self.0
                .1
                .wait_timeout_while(open, HANG, |open| !*open)
                .unwrap(),
        );
    }
}

/// A region and a platform, and a sender that knows them.
fn served(
    story: &str,
    script: impl Fn(usize, &Heard) -> Reply + Send + Sync + 'static,
) -> (Region, Platform, Sender) {
    let region = Region::new(script);
    let platform = Platform::new(&[]);
    let known = table(1, true, &[listed("s-1", region.address, "in_service")]);
    let sender = Sender::start(story, &platform, &known, 3.0);
    (region, platform, sender)
}

fn write(client: &mut BufReader<TcpStream>, text: &str) {
    client.get_mut().write_all(text.as_bytes()).unwrap();
}

fn heard(client: &mut BufReader<TcpStream>) -> u16 {
    answered(&read(client, 0).expect("the connection was ended"))
}

#[test]
fn under_load_two_replacements_in_a_row_end_close_double_and_lose_nothing() {
    let script = |_: usize, _: &Heard| {
        std::thread::sleep(Duration::from_millis(30));
        status(200, "")
    };
    let (region, platform, sender) = served("replace-load", script);
    // A socket of a killed process lies there: it does no harm.
    let mut sender = sender.kill_and_restart();
    let (over, address) = (Arc::new(AtomicBool::new(false)), sender.address);
    let clients: Vec<_> = (0..4)
        .map(|no| {
            let over = over.clone();
            std::thread::spawn(move || {
                let stream = TcpStream::connect(address).unwrap();
                stream.set_read_timeout(Some(HANG)).unwrap();
                let (mut client, mut ids) = (BufReader::new(stream), Vec::new());
                for count in 0..200 {
                    // After the last replacement, a few more.
                    if over.load(Ordering::Relaxed) && count > 20 {
                        break;
                    }
                    let (id, class) = (
                        format!("c{no}-{count}"),
                        if count % 2 == 0 { "debit" } else { "meter" },
                    );
                    write(&mut client, &request(class, &id, "16.0", "x"));
                    match heard(&mut client) {
                        202 => ids.push(id),
                        status => assert_eq!(status, 503, "{id}"),
                    }
                    std::thread::sleep(Duration::from_millis(25));
                }
                ids
            })
        })
        .collect();
    let mut served = Vec::new();
    for _ in 0..2 {
        std::thread::sleep(Duration::from_millis(100));
        sender.signal("HUP");
        let (code, log) = sender.give_way(sender.beside());
        assert_eq!(code, Some(0), "{log}");
        assert!(log.contains(" gave way "), "{log}");
        served.push(log);
    }
    over.store(true, Ordering::Relaxed);
    let taken: Vec<String> = clients
        .into_iter()
        .flat_map(|c| c.join().unwrap())
        .collect();
    until("all have ended", || sender.figures()["current"] == 0);
    let mut calls = BTreeMap::<String, u32>::new();
    region
        .heard_so_far()
        .iter()
        .for_each(|call| *calls.entry(call.id().to_string()).or_default() += 1);
    let notices: Vec<String> = platform.notices.try_iter().collect();
    assert!(taken.len() > 60, "{}", taken.len());
    for id in &taken {
        let (count, debit) = (
            calls.get(id).copied().unwrap_or(0),
            id.rsplit('-').next().unwrap().parse::<u32>().unwrap() % 2 == 0,
        );
        let ended = notices
            .iter()
            .filter(|n| n.contains(&format!("\"{id}\"")))
            .count();
        // A meter reading may be copied, a debit never; one of them is delivered or handed back, not both.
        assert!(
            (ended == 0 && (count == 1 || (!debit && count == 2))) || (ended == 1 && count == 0),
            "{id} was sent {count} times and handed back {ended} times"
        );
    }
}

#[test]
fn what_is_half_read_half_written_called_or_held_at_the_cut_goes_on_behind_it() {
    let gate = Gate::default();
    let held = gate.clone();
    let (region, platform, mut sender) = served("replace-halves", move |_, heard| {
        if heard.id().starts_with("out") {
            held.pass();
        }
        status(200, "")
    });
    let whole = request("debit", "half", "16.0", "body");
    let (first, rest) = whole.split_at(whole.len() / 2);
    let (mut half, mut idle) = (sender.connect(), sender.connect());
    write(&mut half, first);
    write(&mut idle, "GET /healthz HTTP/1.1\r\n\r\n");
    assert_eq!(heard(&mut idle), 200);
    assert_eq!(sender.hand_in("debit", "out-1", "16.0"), 202);
    assert_eq!(sender.hand_in("meter", "out-2", "16.0"), 202);
    until("it was called", || {
        sender.figures()["sends{group=\"meter\"}"] > 0
    });
    assert_eq!(sender.operate("cordon s-1\n"), "ACK out\n");
    assert_eq!(sender.hand_in("debit", "held", "16.0"), 202);
    // Opened in the old process's time, it asks in the new one's.
    let mut early = sender.connect();
    assert_eq!(sender.give_way(sender.beside()).0, Some(0));
    assert_eq!(
        sender.figures()["current"],
        3,
        "two calls are out, and one waits"
    );
    assert_eq!(
        sender.figures()["cluster_unhealthy"],
        1,
        "the ban has passed"
    );
    write(&mut half, rest);
    assert_eq!(heard(&mut half), 202, "on the same connection");
    write(&mut early, &request("meter", "early", "16.0", "x"));
    assert_eq!(heard(&mut early), 202);
    write(&mut idle, "GET /healthz HTTP/1.1\r\n\r\n");
    assert_eq!(heard(&mut idle), 200);
    assert_eq!(
        region.calls_so_far(),
        0,
        "nothing goes to what is out by hand"
    );
    gate.open();
    let mut ids: Vec<String> = (0..2).map(|_| region.call().id().to_string()).collect();
    ids.sort();
    assert_eq!(
        ids,
        ["out-1", "out-2"],
        "their answers are heard by the new process"
    );
    until("three are held", || sender.figures()["current"] == 3);
    assert_eq!(
        sender.figures()["transactions{group=\"debit\",state=\"answered\"}"],
        1
    );
    assert_eq!(sender.operate("uncordon s-1\n"), "ACK in\n");
    let mut ids: Vec<String> = (0..3).map(|_| region.call().id().to_string()).collect();
    ids.sort();
    assert_eq!(ids, ["early", "half", "held"]);
    // The same id is known to the new process: it is answered and not taken on again.
    assert_eq!(sender.hand_in("debit", "out-1", "16.0"), 202);
    assert_eq!(region.calls_so_far(), 0);
    assert!(platform.notices.try_recv().is_err());
}

#[test]
fn a_full_disk_passes_too_and_what_was_taken_on_is_delivered() {
    let gate = Gate::default();
    let held = gate.clone();
    let region = Region::new(move |_, _| {
        held.pass();
        status(200, "")
    });
    let (platform, known) = (
        Platform::new(&[]),
        table(1, true, &[listed("s-1", region.address, "in_service")]),
    );
    let mut sender = Sender::start("replace-full", &platform, &known, 0.05);
    let fill = |sender: &Sender, from: usize| {
        let body = "x".repeat(2_000);
        let hand_in = |no: &usize| {
            sender.exchange(&request("debit", &format!("f{no}"), "16.0", &body)) == 202
        };
        (from..from + 40).take_while(hand_in).count()
    };
    let taken = fill(&sender, 0);
    assert!(taken > 2 && taken < 40, "{taken}: the disk is full");
    assert_eq!(sender.give_way(sender.beside()).0, Some(0));
    assert_eq!(fill(&sender, 100), 0, "it is full for the new process, too");
    assert_eq!(sender.figures()["current"], taken as u64);
    gate.open();
    let mut ids: Vec<String> = (0..taken).map(|_| region.call().id().to_string()).collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), taken, "each once");
    until("all have ended", || sender.figures()["current"] == 0);
    assert_eq!(fill(&sender, 200).min(2), 2, "there is room again");
}

#[test]
fn a_crowd_of_connections_makes_room_for_the_cut_and_requests_begun_pass() {
    let (region, _platform, sender) = served("replace-crowd", |_, _| status(200, ""));
    // Of 256 descriptors clients may hold 115, and what passes is held by two processes for a moment: 104 at most.
    sender.configure("\"sockets\":1024", "\"sockets\":256");
    let mut sender = sender.kill_and_restart();
    let mut crowd: Vec<_> = (0..113).map(|_| sender.connect()).collect();
    let whole = request("debit", "begun", "16.0", "x");
    let mut begun = crowd.swap_remove(0);
    write(&mut begun, &whole[..60]);
    until("all are in", || {
        called(sender.operator, "health\n") == "ACK serving\n"
    });
    let (code, log) = sender.give_way(sender.beside());
    assert!(code == Some(0) && log.contains(" clients=104 "), "{log}");
    write(&mut begun, &whole[60..]);
    assert_eq!(heard(&mut begun), 202);
    assert_eq!(region.call().id(), "begun");
}

#[test]
fn a_told_wait_is_heeded_by_the_process_that_follows() {
    let (region, _platform, mut sender) = served("replace-wait", |no, _| match no {
        0 => status(429, "X-Backoff-Ms: 1500\r\n"),
        _ => status(200, ""),
    });
    // From before the wait was told: a slow machine can only make this longer.
    let told = std::time::Instant::now();
    assert_eq!(sender.hand_in("debit", "w1", "16.0"), 202);
    assert_eq!(region.call().id(), "w1");
    assert_eq!(sender.give_way(sender.beside()).0, Some(0));
    assert_eq!(sender.hand_in("meter", "w2", "16.0"), 202);
    region.call();
    assert!(
        told.elapsed() > Duration::from_millis(1500),
        "called within the wait: {:?}",
        told.elapsed()
    );
}

/// Where a process that asks gives up, or what it asks.
#[rstest]
#[case::unheard("", 0, "")]
#[case::asked_and_gone("martenlatch 1 LISTEN\n", 0, "")]
#[case::gone_halfway("martenlatch 1 LISTEN\n", 40, "yes ")]
#[case::other_version("martenlatch 9 LISTEN\n", 35, "no version 1 is spoken here, not 9\n")]
#[case::other_address("martenlatch 1 127.0.0.1:9\n", 22, "no clients connect to ")]
#[case::nonsense("GET / HTTP/1.1\r\n\r\n", 0, "")]
fn a_process_goes_on_whatever_one_that_asks_does(
    #[case] ask: &str,
    #[case] bytes: usize,
    #[case] want: &str,
) {
    let case = ask
        .bytes()
        .fold(bytes as u64, |h, b| h.wrapping_mul(31) ^ u64::from(b));
    let (region, _platform, mut sender) = served(&format!("ask-{case:x}"), |_, _| status(200, ""));
    let mut client = sender.connect();
    for no in 0..3 {
        let mut stream = UnixStream::connect(sender.meeting()).unwrap();
        stream.set_read_timeout(Some(HANG)).unwrap();
        stream
            .write_all(
                ask.replace("LISTEN", &sender.address.to_string())
                    .as_bytes(),
            )
            .unwrap();
        let mut said = vec![0; bytes];
        stream.read_exact(&mut said).unwrap();
        assert!(String::from_utf8_lossy(&said).starts_with(want), "{said:?}");
        drop(stream);
        write(
            &mut client,
            &request("debit", &format!("a{no}"), "16.0", "x"),
        );
        assert_eq!(heard(&mut client), 202);
        assert_eq!(region.call().id(), format!("a{no}"));
    }
    assert_eq!(
        sender.give_way(sender.beside()).0,
        Some(0),
        "it can still be replaced"
    );
    write(&mut client, &request("debit", "last", "16.0", "x"));
    assert_eq!(heard(&mut client), 202);
}

#[test]
fn one_that_cannot_be_given_way_to_waits_and_a_third_is_turned_down() {
    let (region, _platform, mut sender) = served("replace-third", |_, _| status(200, ""));
    sender.signal("STOP");
    let (second, operator) = sender.beside();
    // It waits, and answers those who call there, but takes no clients.
    until("it waits", || {
        called(operator, "health\n") == "NAK not serving yet\n"
    });
    let third = sender.beside().0.wait_with_output().unwrap();
    let said = String::from_utf8(third.stderr).unwrap();
    assert_eq!(third.status.code(), Some(1), "{said}");
    assert!(
        said.starts_with("martenlatch: PROXY_STATE: ") && said.lines().count() == 1,
        "{said}"
    );
    sender.signal("CONT");
    assert_eq!(sender.give_way((second, operator)).0, Some(0));
    assert_eq!(sender.hand_in("debit", "t", "16.0"), 202);
    assert_eq!(region.call().id(), "t");
}

#[test]
fn one_that_is_ending_does_not_give_way_and_the_next_starts_as_after_a_restart() {
    let (region, platform, mut sender) = served("replace-ending", |_, heard| {
        if heard.id() == "out" {
            silence()
        } else {
            status(200, "")
        }
    });
    assert_eq!(sender.hand_in("debit", "out", "16.0"), 202);
    assert_eq!(region.call().id(), "out");
    sender.signal("TERM");
    let next = sender.beside();
    let (code, log) = sender.give_way(next);
    assert_eq!(code, Some(0));
    assert!(
        log.contains(" ending ") && !log.contains(" gave way "),
        "{log}"
    );
    assert_eq!(
        platform.notice(),
        r#"{"id":"out","status":"undeliverable"}"#,
        "it may have run"
    );
    assert_eq!(sender.hand_in("debit", "next", "16.0"), 202);
    assert_eq!(region.call().id(), "next");
}

#[rstest]
#[case::killed("KILL")]
#[case::told_to_end("TERM")]
fn one_that_dies_just_behind_its_yes_has_lost_nothing(#[case] signal: &str) {
    let (region, platform, mut sender) = served(&format!("replace-{signal}"), |_, heard| {
        if heard.id().starts_with("out") && !heard.id().ends_with("ok") {
            silence()
        } else {
            status(200, "")
        }
    });
    assert_eq!(sender.hand_in("debit", "out", "16.0"), 202);
    assert_eq!(region.call().id(), "out");
    assert_eq!(sender.operate("cordon s-1\n"), "ACK out\n");
    assert_eq!(sender.hand_in("debit", "held", "16.0"), 202);
    assert_eq!(sender.give_way(sender.beside()).0, Some(0));
    sender.signal(signal);
    let sender = sender.after_its_end();
    assert_eq!(
        platform.notice(),
        r#"{"id":"out","status":"undeliverable"}"#,
        "it may have run"
    );
    assert_eq!(sender.operate("uncordon s-1\n"), "ACK in\n");
    assert_eq!(region.call().id(), "held");
}

#[rstest::rstest]
#[case::other_names("names", r#""Name":"meter""#, r#""Name":"gauge""#)]
#[case::other_rules_of_a_name("rules", r#""Effect":"side_effect""#, r#""Effect":"pure""#)]
fn one_of_other_settings_takes_nothing_over_and_the_one_that_serves_goes_on(
    #[case] story: &str,
    #[case] from: &str,
    #[case] to: &str,
) {
    let (region, _platform, sender) =
        served(&format!("replace-settings-{story}"), |_, _| status(200, ""));
    sender.configure(from, to);
    let (mut second, operator) = sender.beside();
    until("it waits", || {
        called(operator, "health\n") == "NAK not serving yet\n"
    });
    assert_eq!(
        sender.hand_in("meter", "m", "16.0"),
        202,
        "the old classes stand"
    );
    assert_eq!(region.call().id(), "m");
    std::process::Command::new("kill")
        .arg(second.id().to_string())
        .status()
        .unwrap();
    let mut log = String::new();
    second
        .stdout
        .take()
        .unwrap()
        .read_to_string(&mut log)
        .unwrap();
    assert_eq!(second.wait().unwrap().code(), Some(0), "{log}");
    assert_eq!(sender.hand_in("debit", "d", "16.0"), 202);
    assert_eq!(region.call().id(), "d");
}

#[test]
fn one_that_could_not_take_over_lets_go_of_all_and_starts_once_the_other_has_ended() {
    let (region, _platform, mut sender) = served("replace-broken", |_, _| status(200, ""));
    assert_eq!(sender.hand_in("debit", "before", "16.0"), 202);
    until("nothing is to be written", || {
        sender.figures()["current"] == 0
    });
    // The ledger is not as the old process knows it: the new one finds that after it was given everything.
    let ledger = sender.state().join("ledger");
    std::fs::OpenOptions::new()
        .append(true)
        .open(ledger)
        .unwrap()
        .write_all(b"torn")
        .unwrap();
    let next = sender.beside();
    until("it waits", || {
        called(next.1, "health\n") == "NAK not serving yet\n"
    });
    assert_eq!(
        sender.hand_in("debit", "between", "16.0"),
        202,
        "the old one goes on"
    );
    sender.signal("TERM");
    let (code, log) = sender.give_way(next);
    assert!(
        code == Some(0) && log.contains(" replacement broke off; serving on "),
        "{log}"
    );
    assert_eq!(sender.hand_in("debit", "after", "16.0"), 202);
    let ids: Vec<String> = (0..3).map(|_| region.call().id().to_string()).collect();
    assert_eq!(ids, ["before", "between", "after"]);
}

#[test]
fn one_told_to_end_while_it_is_asked_ends_and_the_notices_it_owed_are_told_by_the_next() {
    // The platform takes no notice until the old process is told to end.
    let platform = Platform::new(&[500; 3]);
    let mut sender = Sender::start("replace-asked", &platform, &table(1, true, &[]), 3.0);
    assert_eq!(sender.hand_in("debit", "owed-1", "0.3"), 202);
    assert!(platform.notice().contains("owed-1"));
    assert_eq!(sender.hand_in("meter", "owed-2", "16.0"), 202);
    sender.signal("STOP");
    let next = sender.beside();
    until("it waits", || {
        called(next.1, "health\n") == "NAK not serving yet\n"
    });
    sender.signal("TERM");
    sender.signal("CONT");
    let (code, log) = sender.give_way(next);
    assert!(
        code == Some(0) && log.contains(" ending ") && !log.contains(" gave way "),
        "{log}"
    );
    assert_eq!(sender.figures()["current"], 1, "resumed");
    // Another replacement, this time while its end is on its way.
    assert_eq!(sender.hand_in("debit", "owed-3", "0.3"), 202);
    assert_eq!(sender.give_way(sender.beside()).0, Some(0));
    let owed = platform.notice();
    assert!(owed.contains("owed-3"), "{owed}");
    assert!(platform.notices.try_recv().is_err(), "once");
}
