//! The driver on a clock set by hand: what ends when, with nothing answering.

use std::io::ErrorKind;
use std::net::SocketAddr;

use martenlatch_settings::platform as settings;
use martenlatch_wal::MessageRecord;

use super::ingress::NEWCOMER;
use super::message_store::State;
use super::*;

const SETTINGS: &str = r#"{"Areas":["a"],"Zone":"a","Balancers":1,"Kinds":["k"],"Categories":[
    {"Name":"debit","Target":3000000000,"Deadline":16000000000,"Effect":"side_effect","Worth":1}],
    "FamilyInfo":{"CallsOut":4},
    "Limits":{"OpenCap":9,"AttemptsCap":8,"Cancel":true,"RetryAfter":true,"MaxRetryAfter":3000000000,"ConnectTimeout":1000000000},
    "Guarantees":{"OverloadFactor":2,
    "OverloadFor":3000000000,"ColdFrom":0.22,"Cold":9200000000},"Tick":5000000}"#;

#[test]
fn the_price_of_a_new_connection_is_read_from_the_settings() {
    let priced = SETTINGS.replacen('{', r#"{"Deductions":{"Handshake":0.06},"#, 1);
    assert_eq!(
        settings::read(&priced).unwrap().settings.handshake_price,
        0.06
    );
    assert_eq!(
        settings::read(SETTINGS).unwrap().settings.handshake_price,
        0.0,
        "none where none is told"
    );
    let wrong = priced.replace("0.06", "\"dear\"");
    assert!(
        settings::read(&wrong).is_err_and(|e| e.to_string().contains("Deductions.Handshake")),
        "it names the field"
    );
}

const START: Millis = 1_796_121_600_000.0;

/// A driver on a clock set by hand that resumes one unsafe transaction, with two seconds left.
fn resumed(
    story: &str,
    region: SocketAddr,
) -> (
    Driver,
    Clock,
    calloop::EventLoop<'static, crate::event_source::Ready>,
) {
    resumed_with(story, 2_000.0, region)
}

/// The same with so much time left.
fn resumed_with(
    story: &str,
    left: Millis,
    region: SocketAddr,
) -> (
    Driver,
    Clock,
    calloop::EventLoop<'static, crate::event_source::Ready>,
) {
    let state =
        std::env::temp_dir().join(format!("martenlatch-stages-{story}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&state);
    std::fs::create_dir_all(&state).unwrap();
    let (id, class, key, body) = (Rc::from("a"), Rc::from("debit"), None, Rc::from(&b"x"[..]));
    let (deadline, tasks, ending) = (START + left, Vec::new(), None);
    let taken = MessageRecord {
        no: 3,
        id,
        class,
        destination: 7,
        deadline,
        key,
        body,
        attempts: tasks,
        final_status: ending,
        rules: Rc::from([]),
    };
    assert!(
        WriteAheadLog::open(&state, 3_000_000)
            .0
            .append_message(&taken)
    );
    let target = format!(
        r#"{{"targets":[{{"uid":"s","endpoint":"{region}","az":"a","model":"k","pod_group":7,"state":"in_service"}}]}}"#
    );
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let config = Config {
        name: "n0".into(),
        listen: listener.local_addr().unwrap(),
        discovery: region,
        operator: None,
        state,
        seed: 1,
        sockets: 64,
        disk: 3_000_000,
        memory: 64_000_000,
        known: serde_json::from_str(&target).unwrap(),
        clients: martenlatch_settings::program::Program::default().clients,
        peers: None,
        boot: settings::read(SETTINGS).unwrap(),
    };
    let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
    let clock = Clock::at(START);
    let driver = Driver::new(
        config,
        Start::Fresh(listener),
        None,
        &events.handle(),
        clock.clone(),
    )
    .unwrap();
    (driver, clock, events)
}

/// Plays the transaction's time out: what ended it, and how long after its time.
fn outlived(story: &str, region: SocketAddr) -> (Option<FinalStatus>, Millis) {
    let (mut driver, clock, _events) = resumed(story, region);
    while driver.store.open > 0 && clock.now() < START + 9_000.0 {
        assert!(
            driver.round(vec![EventSource::Region(0)]),
            "nothing tells it to end"
        );
        clock.set(clock.now() + 10.0);
    }
    (
        driver.store.held.get(&3).and_then(|t| t.taken.final_status),
        clock.now() - START - 2_000.0,
    )
}

#[test]
fn a_silent_crowd_makes_room_before_usual_clients_and_is_ended_within_its_time() {
    use std::io::{Read, Write};
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("crowd", silent.local_addr().unwrap());
    let address = driver
        .ingress
        .listener
        .as_ref()
        .unwrap()
        .local_addr()
        .unwrap();
    let connect = || std::net::TcpStream::connect(address).unwrap();
    let open = |s: &mut std::net::TcpStream| {
        s.set_nonblocking(true).unwrap();
        s.read(&mut [0; 4096])
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    };
    let mut usual = connect();
    usual.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
    while driver.ingress.clients.iter().all(|(_, c)| !c.served) {
        driver.round(vec![EventSource::Listener, EventSource::Client(0)]);
    }
    assert!(usual.read(&mut [0; 4096]).unwrap() > 0);
    let mut crowd: Vec<_> = (1..driver.ingress.most).map(|_| connect()).collect();
    while driver.ingress.clients.len() < driver.ingress.most {
        driver.round(vec![EventSource::Listener]);
    }
    clock.set(clock.now() + NEWCOMER + 1.0);
    let late = connect();
    while driver.store.counters.clients <= driver.ingress.most as u64 {
        driver.round(vec![EventSource::Listener]);
    }
    assert!(
        open(&mut usual) && !open(&mut crowd[0]) && open(&mut crowd[1]),
        "the oldest silent one goes"
    );
    clock.set(START + driver.ingress.times.request_ms + 1.0);
    driver.round(Vec::new());
    assert!(
        open(&mut usual) && crowd.iter_mut().all(|c| !open(c)),
        "3 s are owed"
    );
    assert_eq!(
        driver.ingress.clients.len(),
        2,
        "and the one that came late"
    );
    drop(late);
}

#[test]
fn half_a_request_does_not_keep_the_loop_awake_while_the_sender_ends() {
    use std::io::Write;
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("half", silent.local_addr().unwrap());
    let address = driver
        .ingress
        .listener
        .as_ref()
        .unwrap()
        .local_addr()
        .unwrap();
    let mut half = std::net::TcpStream::connect(address).unwrap();
    half.write_all(b"POST /debit HTTP/1.1\r\nX-Re").unwrap();
    while driver
        .ingress
        .clients
        .iter()
        .all(|(_, c)| c.connection.bytes().is_empty())
    {
        driver.round(vec![EventSource::Listener, EventSource::Client(0)]);
    }
    driver.end();
    clock.set(clock.now() + LAST_WORK + 1.0);
    (0..3).for_each(|_| assert!(driver.round(Vec::new())));
    assert_eq!(
        driver.ingress.clients.len(),
        1,
        "it may still be asked whole"
    );
    assert!(driver.again.is_empty() && driver.sleep() > 0.0);
}

#[test]
fn told_to_end_the_sender_is_gone_before_it_can_be_killed() {
    // Guards against sleeping past the last instant: the loop looks again within 20 ms, whatever is due.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("end", silent.local_addr().unwrap());
    driver.end();
    while driver.round(vec![EventSource::Region(0)]) {
        assert!(driver.sleep() <= 20.0);
        clock.set(clock.now() + driver.sleep().max(1.0) + 5.0);
        assert!(clock.now() < START + 3_690.0, "SIGKILL may come at 3.7 s");
    }
    assert!(
        clock.now() >= START + LAST_WORK,
        "clients may come for a moment more"
    );
}

#[test]
fn a_transaction_that_nothing_answers_ends_with_its_time_by_what_may_have_run() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (notice, late) = outlived("silent", silent.local_addr().unwrap());
    assert_eq!(
        notice,
        Some(FinalStatus::Undeliverable),
        "it was out and may have run"
    );
    assert!(late < 100.0, "{late} ms after its time");
    // Nobody listens there: each task is proven never to have run, so the client may come again.
    let (notice, late) = outlived("closed", "127.77.0.1:9".parse().unwrap());
    assert!(
        matches!(notice, Some(FinalStatus::Deferred(_))),
        "{notice:?}"
    );
    assert!(late < 100.0, "{late} ms after its time");
}

#[test]
fn the_latest_wake_that_the_module_asked_for_is_kept_behind_an_earlier_one() {
    // Guards a quiet sender: the module counts on its latest wake alone. Lost behind an earlier one, nothing looks at
    // what waits before the next event, or before its time is over.
    let (mut driver, ..) = resumed("wake", "127.77.0.1:9".parse().unwrap());
    driver.carry_out(vec![Action::WakeAfter(nanos(10.0))], START);
    driver.carry_out(vec![Action::WakeAfter(nanos(300.0))], START + 8.0);
    driver.decision.turn(START + 10.0);
    assert_eq!(driver.decision.wake, Some(START + 308.0));
}

#[test]
fn a_client_that_left_before_its_202_may_hand_the_same_transaction_in_again() {
    use std::io::Write;
    // Guards the request that a front sends once more on a new connection: answered 202 as one that is over, nobody
    // would deliver it.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("left", silent.local_addr().unwrap());
    let address = driver
        .ingress
        .listener
        .as_ref()
        .unwrap()
        .local_addr()
        .unwrap();
    let mut hand_in = |leaves: bool| {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        let head =
            "POST /debit HTTP/1.1\r\nX-Request-ID: b\r\nX-Timeout: 9\r\nX-Route-To: dest=7\r\n";
        client
            .write_all(format!("{head}Content-Length: 0\r\n\r\n").as_bytes())
            .unwrap();
        let (now, mut handed) = (clock.now(), Vec::new());
        while handed.is_empty() {
            driver.ingress.accept(now, &mut driver.store.counters);
            (0..9).for_each(|at| {
                driver
                    .ingress
                    .ready(at, now, &mut handed, &mut driver.store.counters);
            });
        }
        let client = (!leaves).then_some(client);
        while leaves
            && !driver.ingress.clients[handed[0].client]
                .connection
                .peer_reset()
        {
            // Bytes of ours that a closed client never reads have its machine reset the connection.
            driver.ingress.clients[handed[0].client]
                .connection
                .queue(b" ");
            driver.ingress.clients[handed[0].client].connection.flush();
        }
        let h = handed.pop().unwrap();
        let event = driver.admission.admit(
            h,
            &mut driver.store,
            &mut driver.ingress,
            &driver.directory,
            false,
            now,
        );
        drop(client);
        event
    };
    assert!(hand_in(true).is_none(), "it has not heard");
    assert!(hand_in(false).is_some(), "nobody has it");
    assert!(hand_in(false).is_none(), "now it is held");
    let (_, past) = WriteAheadLog::open(
        &std::env::temp_dir().join(format!("martenlatch-stages-left-{}", std::process::id())),
        9,
    );
    assert!(
        past.over.is_empty() && past.open.values().any(|t| &*t.id == "b"),
        "and in a next life too"
    );
}

#[test]
fn what_met_one_moment_does_not_come_back_at_one_moment() {
    use std::io::{Read, Write};
    // Clients of a destination that the table does not have yet are turned away together.
    let (mut driver, clock, _events) = resumed("apart", "127.77.0.1:9".parse().unwrap());
    let address = driver
        .ingress
        .listener
        .as_ref()
        .unwrap()
        .local_addr()
        .unwrap();
    let head = "POST /debit HTTP/1.1\r\nX-Request-ID: c\r\nX-Timeout: 9\r\nX-Route-To: dest=8\r\nContent-Length: 0\r\n\r\n";
    let mut crowd: Vec<_> = (0..12)
        .map(|_| std::net::TcpStream::connect(address).unwrap())
        .collect();
    crowd
        .iter_mut()
        .for_each(|client| client.write_all(head.as_bytes()).unwrap());
    while driver.store.counters.turned_away < 12 {
        driver.round(
            [EventSource::Listener]
                .into_iter()
                .chain((0..20).map(EventSource::Client))
                .collect(),
        );
    }
    let told = |client: &mut std::net::TcpStream| {
        let mut text = [0; 200];
        let count = client.read(&mut text).unwrap();
        let text = String::from_utf8_lossy(&text[..count]).into_owned();
        text.split("Retry-After: ")
            .nth(1)
            .and_then(|t| t.lines().next()?.parse::<f64>().ok())
            .unwrap()
    };
    let mut told: Vec<f64> = crowd.iter_mut().map(told).collect();
    assert!(told.iter().all(|t| (1.0..=1.5).contains(t)), "{told:?}");
    told.sort_by(f64::total_cmp);
    told.dedup();
    assert!(told.len() > 8, "{told:?}");
    // Nor do notices of senders with other seeds, once the platform is back.
    let mut tries: Vec<f64> = Vec::new();
    for seed in 0..12 {
        driver.status_reporter.jitter = Jitter::new(seed);
        driver.status_reporter.pause = RETRY.1;
        driver.status_reporter.failed(clock.now(), "silent");
        tries.push(driver.status_reporter.next_try - clock.now());
    }
    assert!(
        tries.iter().all(|t| (750.0..=1_250.0).contains(t)),
        "{tries:?}"
    );
    tries.sort_by(f64::total_cmp);
    assert!(tries[11] - tries[0] > 200.0, "{tries:?}");
}

#[test]
fn who_is_turned_away_over_half_a_request_is_deferred_where_its_class_could_be_read() {
    use std::io::Write;
    let (mut driver, clock, _events) = resumed("cut-off", "127.77.0.1:9".parse().unwrap());
    let address = driver
        .ingress
        .listener
        .as_ref()
        .unwrap()
        .local_addr()
        .unwrap();
    let half = [
        ("POST /debit?x HTTP/1.1\r\nX-", 1),
        ("POST /deb", 1),
        ("POST /other HTTP", 1),
        ("GET /debit H", 2),
    ];
    for (text, deferred) in half {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(text.as_bytes()).unwrap();
        while driver
            .ingress
            .clients
            .iter()
            .all(|(_, c)| c.connection.bytes().is_empty())
        {
            driver.round(vec![EventSource::Listener, EventSource::Client(0)]);
        }
        driver.ingress.evict(clock.now(), false);
        driver.present();
        assert_eq!(
            driver.store.class_metrics.of("debit").unwrap().deferred,
            deferred,
            "{text}"
        );
        assert!(driver.ingress.clients.is_empty());
    }
    assert_eq!(driver.store.counters.turned_away, 2);
}

#[test]
fn a_flood_with_no_time_left_takes_no_room_from_the_usual() {
    use std::io::{Read, Write};
    // Guards the room of usual clients against one whose transactions are ended in the round that brings them.
    let (mut driver, clock, _events) = resumed("flood", "127.77.0.1:9".parse().unwrap());
    let address = driver
        .ingress
        .listener
        .as_ref()
        .unwrap()
        .local_addr()
        .unwrap();
    // What it resumed has left.
    driver.round(vec![]);
    clock.set(START + 100.0);
    driver.round(vec![]);
    let hand_in = |id: usize, seconds: f64| {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        let head = "POST /debit HTTP/1.1\r\nX-Route-To: dest=7\r\nContent-Length: 0\r\n";
        client
            .write_all(
                format!("{head}X-Request-ID: f{id}\r\nX-Timeout: {seconds}\r\n\r\n").as_bytes(),
            )
            .unwrap();
        client
    };
    let mut clients: Vec<_> = (0..12).map(|id| hand_in(id, 0.001)).collect();
    clients.push(hand_in(12, 9.0));
    // All that they wrote is read in one round.
    while driver.ingress.clients.len() < 13 {
        driver
            .ingress
            .accept(clock.now(), &mut driver.store.counters);
    }
    driver.round((0..20).map(EventSource::Client).collect());
    assert_eq!(
        driver.store.counters.taken + driver.store.counters.turned_away,
        13,
        "each has its answer at once"
    );
    assert!(driver.store.open <= 2, "the flood is ended in its round");
    let mut answer = [0; 12];
    clients[12].read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 202", "the usual client is turned away");
}

#[test]
fn a_notice_and_the_watch_leave_though_calls_hold_every_buffer() {
    // Guards what is owed: answers that never end hold the regions' buffers for as long as they please.
    use std::io::Read;
    let platform = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("buffers", platform.local_addr().unwrap());
    let lent: Vec<_> = std::iter::from_fn(|| driver.egress.pool.take()).collect();
    assert!(!lent.is_empty());
    clock.set(START + 2_000.0 + OVERDUE + 1.0);
    let mut asked = std::collections::BTreeSet::new();
    for _ in 0..2 {
        // Connections come up in the kernel, whoever accepts them: a second round writes what the first could not.
        assert!(driver.round(vec![EventSource::Watch, EventSource::Notices]));
        assert!(driver.round(vec![EventSource::Watch, EventSource::Notices]));
        let (mut peer, _) = platform.accept().unwrap();
        let mut text = [0; 512];
        peer.set_read_timeout(Some(std::time::Duration::from_secs(20)))
            .unwrap();
        let count = peer.read(&mut text).expect("nothing was asked");
        asked.insert(
            String::from_utf8_lossy(&text[..count])
                .split(' ')
                .nth(1)
                .map(str::to_string),
        );
    }
    let asked: Vec<String> = asked.into_iter().flatten().collect();
    assert_eq!(asked, ["/reports", "/v1/servers?watch=1&from=0"]);
}

#[test]
fn what_a_restart_finds_untried_is_counted_until_it_is_called_or_ends() {
    let region = TcpListener::bind("127.0.0.1:0").unwrap();
    let counted = |driver: &Driver| {
        let c = &driver.store.counters;
        (c.untried, c.untried_called, c.untried_ended)
    };
    let (mut driver, clock, _events) = resumed("called", region.local_addr().unwrap());
    assert_eq!(counted(&driver), (1, 0, 0));
    while driver.store.counters.untried_called == 0 && clock.now() < START + 2_000.0 {
        driver.round(Vec::new());
        clock.set(clock.now() + 10.0);
    }
    assert_eq!(counted(&driver), (1, 1, 0), "it is called within its time");
    let (mut driver, clock, _events) = resumed("ended", region.local_addr().unwrap());
    clock.set(START + 2_000.0 + OVERDUE + 1.0);
    driver.round(Vec::new());
    assert_eq!(counted(&driver), (1, 0, 1), "its time was up before");
}

#[rstest::rstest]
#[case::while_its_connection_comes_up(false)]
#[case::once_it_is_up(true)]
fn a_kill_leaves_a_record_of_a_call_only_once_its_connection_is_up(#[case] up: bool) {
    // Guards an unsafe message: with a record from before its connection was up it ended with no call.
    let region = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    region
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    region.listen(if up { 9 } else { 0 }).unwrap();
    let address = region.local_addr().unwrap().as_socket().unwrap();
    // Where its queue is full, a further connection waits.
    let crowd: Vec<_> = (0..if up { 0 } else { 2 })
        .map(|_| {
            let one =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            one.set_nonblocking(true).unwrap();
            let _ = one.connect(&address.into());
            one
        })
        .collect();
    let story = format!("coming-{up}");
    let (mut driver, clock, _events) = resumed(&story, address);
    while driver.store.counters.untried_called == 0 && clock.now() < START + 2_000.0 {
        driver.round(vec![EventSource::Region(0)]);
        clock.set(clock.now() + 5.0);
    }
    assert_eq!(driver.egress.active_attempts(), 1, "its call is out");
    if up {
        // Loopback is up at once; a look at it lets the call begin.
        driver.round(vec![EventSource::Region(0)]);
    }
    drop(driver);
    let state =
        std::env::temp_dir().join(format!("martenlatch-stages-{story}-{}", std::process::id()));
    let past = martenlatch_wal::LogInspection::open(&state).unwrap().past;
    let may_have_run = past.open[&3]
        .attempts
        .iter()
        .filter(|t| !t.never_ran)
        .count();
    assert_eq!(may_have_run, usize::from(up));
    drop(crowd);
}

/// Does something again until it holds; a bounded number of times, as what is written on loopback arrives soon.
fn until(mut holds: impl FnMut() -> bool) {
    assert!((0..200_000).any(|_| holds()), "it never holds");
}

/// Drives until the transaction's call has arrived whole, and returns its connection.
fn called(driver: &mut Driver, clock: &Clock, region: &TcpListener) -> std::net::TcpStream {
    use std::io::Read;
    region.set_nonblocking(true).unwrap();
    let (mut peers, mut call) = (Vec::new(), None);
    until(|| {
        driver.round((0..9).map(EventSource::Region).collect());
        if clock.now() < START + 1_500.0 {
            clock.set(clock.now() + 5.0);
        }
        peers.extend(region.accept().ok().map(|(peer, _)| (peer, Vec::new())));
        for (peer, text) in &mut peers {
            peer.set_nonblocking(true).unwrap();
            let mut some = [0; 512];
            text.extend(peer.read(&mut some).map_or(&[][..], |n| &some[..n]));
        }
        // Its body is one byte.
        let whole =
            |text: &[u8]| text.starts_with(b"POST /v1/messages") && text.ends_with(b"\r\n\r\nx");
        call = peers.iter().position(|(_, text)| whole(text));
        call.is_some()
    });
    peers.swap_remove(call.unwrap()).0
}

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

#[test]
fn what_is_answered_as_it_is_given_up_has_one_end() {
    use std::io::Write;
    // Guards the platform against word of a failure that was none: the answer had come before the notice left.
    let region = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("given-up", region.local_addr().unwrap());
    let mut peer = called(&mut driver, &clock, &region);
    peer.write_all(OK).unwrap();
    let (id, attempt) = (MessageId(3), 0);
    driver.act(
        vec![Action::Fail { id }, Action::Cancel { id, attempt }],
        clock.now(),
    );
    assert_eq!(
        (driver.status_reporter.queue.len(), driver.store.open),
        (0, 0),
        "it is delivered, and nothing more is owed"
    );
    assert!(driver.store.wal.over.iter().any(|id| &**id == "a"));
}

#[test]
fn a_wait_that_a_loser_was_told_binds_what_leaves_in_the_same_round() {
    use std::io::{Read, Write};
    let region = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("loser", region.local_addr().unwrap());
    let mut peer = called(&mut driver, &clock, &region);
    let other = MessageRecord {
        no: 4,
        id: Rc::from("b"),
        attempts: Vec::new(),
        ..driver.store.held[&3].taken.clone()
    };
    driver.store.insert(other, State::Open);
    peer.write_all(b"HTTP/1.1 429 Full\r\nX-Backoff-Ms: 900\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    let (now, endpoint, timeout, latest) = (clock.now(), EndpointId(0), nanos(500.0), u64::MAX);
    let off = Action::Cancel {
        id: MessageId(3),
        attempt: 0,
    };
    driver.act(
        vec![
            Action::Send {
                id: MessageId(4),
                endpoint,
                timeout,
                latest,
            },
            off,
        ],
        now,
    );
    driver.round((0..9).map(EventSource::Region).collect());
    // It waits as the module has been told, and its connection has brought nothing.
    assert!(
        driver.egress.active_attempts() == 0
            && driver.store.held[&4]
                .taken
                .attempts
                .iter()
                .all(|t| t.never_ran)
    );
    drop(driver);
    region.set_nonblocking(true).unwrap();
    while let Ok((mut peer, _)) = region.accept() {
        let mut text = String::new();
        peer.set_nonblocking(false).unwrap();
        let _ = peer.read_to_string(&mut text);
        assert!(!text.contains("/v1/messages"), "{text}");
    }
}

#[test]
fn an_answer_that_has_come_before_the_exit_is_booked() {
    use std::io::Write;
    // Guards an unsafe message that has been delivered: not heard, it ends as undeliverable in the next life.
    let region = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed_with("exit", 9_000.0, region.local_addr().unwrap());
    let mut peer = called(&mut driver, &clock, &region);
    driver.end();
    clock.set(clock.now() + LAST_CALL + 101.0);
    peer.write_all(OK).unwrap();
    assert!(
        !driver.round(Vec::new()),
        "it goes, with no word that anything has come"
    );
    assert_eq!(driver.store.open, 0);
    drop(driver);
    let state =
        std::env::temp_dir().join(format!("martenlatch-stages-exit-{}", std::process::id()));
    assert!(
        martenlatch_wal::LogInspection::open(&state)
            .unwrap()
            .past
            .open
            .is_empty()
    );
}

#[test]
fn who_is_turned_away_over_half_a_request_can_read_it_while_the_rest_arrives() {
    use std::io::{Read, Write};
    // Guards the answer: a close over bytes that arrive is a reset, which takes it along.
    let (mut driver, clock, _events) = resumed("rest", "127.77.0.1:9".parse().unwrap());
    let address = driver
        .ingress
        .listener
        .as_ref()
        .unwrap()
        .local_addr()
        .unwrap();
    let most = driver.ingress.most;
    let begin = |driver: &mut Driver, at: usize| {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(b"POST /debit HTTP/1.1\r\nX-Re").unwrap();
        until(|| {
            driver.round(vec![EventSource::Listener, EventSource::Client(at)]);
            driver
                .ingress
                .clients
                .get(at)
                .is_some_and(|c| !c.connection.bytes().is_empty())
        });
        clock.set(clock.now() + 0.1);
        client
    };
    let mut crowd: Vec<_> = (0..most).map(|at| begin(&mut driver, at)).collect();
    let _late = begin(&mut driver, most);
    assert!(
        driver.ingress.clients[0].closing,
        "the one at it the longest is turned away"
    );
    for part in ["quest-ID: a\r\n", "Content-Length: 0\r\n\r\n"] {
        crowd[0].write_all(part.as_bytes()).unwrap();
        driver.round(vec![EventSource::Client(0)]);
    }
    let mut answer = String::new();
    crowd[0]
        .set_read_timeout(Some(std::time::Duration::from_secs(20)))
        .unwrap();
    crowd[0].read_to_string(&mut answer).expect("reset");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    // There is an end to it: however many come, few linger.
    for _ in 0..most {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(b"POST /debit HTTP/1.1\r\nX-Re").unwrap();
        crowd.push(client);
        let before = driver.store.counters.clients;
        until(|| {
            driver.round(
                std::iter::once(EventSource::Listener)
                    .chain((0..3 * most).map(EventSource::Client))
                    .collect(),
            );
            driver.store.counters.clients > before
        });
        assert!(driver.ingress.clients.len() <= most + most / 8);
    }
}

#[rstest::rstest]
#[case::as_long_as_clients_follow(Some(3_000.0), Some((1.0, 1.5)))]
#[case::shorter(Some(700.0), Some((0.525, 0.7)))]
#[case::of_no_length(Some(0.0), None)]
#[case::where_none_may_be_given(None, None)]
fn who_is_turned_away_is_advised_as_the_settings_allow(
    #[case] advice: Option<Millis>,
    #[case] told: Option<(f64, f64)>,
) {
    use std::io::{Read, Write};
    let (mut driver, _clock, _events) = resumed(
        &format!("advice-{advice:?}"),
        "127.77.0.1:9".parse().unwrap(),
    );
    driver.ingress.advice = advice;
    let address = driver
        .ingress
        .listener
        .as_ref()
        .unwrap()
        .local_addr()
        .unwrap();
    let head = "POST /debit HTTP/1.1\r\nX-Request-ID: c\r\nX-Timeout: 9\r\nX-Route-To: dest=8\r\nContent-Length: 0\r\n\r\n";
    for _ in 0..8 {
        let before = driver.store.counters.turned_away;
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(head.as_bytes()).unwrap();
        until(|| {
            driver.round(
                [EventSource::Listener]
                    .into_iter()
                    .chain((0..20).map(EventSource::Client))
                    .collect(),
            );
            driver.store.counters.turned_away > before
        });
        let mut text = [0; 200];
        let count = client.read(&mut text).unwrap();
        let text = String::from_utf8_lossy(&text[..count]).into_owned();
        let said = text
            .split("Retry-After: ")
            .nth(1)
            .and_then(|t| t.lines().next()?.parse::<f64>().ok());
        assert_eq!(said.is_some(), told.is_some(), "{text}");
        assert!(
            said.is_none_or(|s| told.is_some_and(|(least, most)| s >= least && s <= most)),
            "{text}"
        );
    }
}

#[test]
fn with_every_buffer_lent_the_loop_does_not_spin() {
    use std::io::Write;
    let region = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("spin", region.local_addr().unwrap());
    let mut peer = called(&mut driver, &clock, &region);
    let lent: Vec<_> = std::iter::from_fn(|| driver.egress.pool.take()).collect();
    peer.write_all(b"HTTP/1.1 2").unwrap();
    let keys = || (0..9).map(EventSource::Region).collect();
    until(|| {
        driver.round(keys());
        !driver.again.is_empty()
    });
    assert!(
        driver.sleep() > 0.0,
        "there is more to read, and nothing to read it into"
    );
    drop(lent);
    driver.round(keys());
    peer.write_all(b"00 OK\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    until(|| {
        driver.round(keys());
        driver.store.open == 0
    });
    assert_eq!(driver.store.counters.success, 1);
}

/// What a client reads until its connection ends.
fn all_read(client: &mut std::net::TcpStream) -> std::io::Result<String> {
    use std::io::Read;
    client.set_nonblocking(false)?;
    client.set_read_timeout(Some(std::time::Duration::from_secs(20)))?;
    let mut text = String::new();
    client.read_to_string(&mut text).map(|_| text)
}

const ASKS: &[u8] = b"POST /debit HTTP/1.1\r\nX-Request-ID: q\r\nX-Timeout: 9\r\nX-Route-To: dest=7\r\nContent-Length: 0\r\n\r\n";

/// A client that has been served once and rests.
fn resting(driver: &mut Driver) -> std::net::TcpStream {
    use std::io::{Read, Write};
    let mut client = std::net::TcpStream::connect(driver.listens()).unwrap();
    client.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
    client.set_nonblocking(true).unwrap();
    until(|| {
        driver.round(vec![EventSource::Listener, EventSource::Client(0)]);
        client.read(&mut [0; 256]).is_ok()
    });
    // Nothing of it is to be looked at any more.
    until(|| {
        driver.round(Vec::new());
        driver.again.is_empty()
    });
    client
}

#[rstest::rstest]
#[case::as_room_is_made("evicted")]
#[case::as_it_has_rested_too_long("swept")]
#[case::as_the_sender_stops("stopped")]
#[case::as_the_sender_goes("gone")]
fn a_request_that_comes_as_its_connection_is_to_end_is_answered(#[case] moment: &str) {
    use std::io::Write;
    // Guards the request whose last byte is there: nothing has told the loop of it yet.
    let (mut driver, clock, _events) = resumed(
        &format!("crossing-{moment}"),
        "127.77.0.1:9".parse().unwrap(),
    );
    let mut client = resting(&mut driver);
    client.write_all(ASKS).unwrap();
    match moment {
        "evicted" => driver.ingress.evict(clock.now(), false),
        "swept" => {
            clock.set(clock.now() + driver.ingress.times.idle_ms + 300.0);
            driver.round(Vec::new());
        }
        "stopped" => {
            driver.end();
            clock.set(clock.now() + LAST_WORK + 1.0);
            driver.round(Vec::new());
        }
        _ => {
            // Half of it stands before, and its rest never comes in time.
            driver.round(vec![EventSource::Client(0)]);
            driver.end();
            let told = clock.now();
            clock.set(told + LAST_WORK - 1.0);
            client.write_all(&ASKS[..30]).unwrap();
            driver.round(vec![EventSource::Client(0)]);
            driver.ingress.clients[0].since = told + LAST_CALL - 1_000.0;
            clock.set(told + LAST_CALL + 290.0);
            driver.round(Vec::new());
        }
    }
    if moment == "evicted" || moment == "swept" {
        // The loop hears of it now, and the sender ends some time.
        driver.round(vec![EventSource::Client(0)]);
        driver.ingress.close(0);
        client
            .write_all(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
            .unwrap();
    }
    driver.round(vec![EventSource::Client(0)]);
    drop(driver);
    let text = all_read(&mut client).expect("reset");
    assert!(
        text.starts_with("HTTP/1.1 202") || text.starts_with("HTTP/1.1 503"),
        "{moment}: {text:?}"
    );
    assert_eq!(
        text.contains("HTTP/1.1 503"),
        moment == "stopped" || moment == "gone",
        "{text}"
    );
}

#[test]
fn a_client_that_asks_behind_its_last_answer_is_not_taken_on() {
    use std::io::Write;
    // Guards against a transaction that nobody hears of: its connection has ended on our side.
    let (mut driver, _clock, _events) = resumed("behind", "127.77.0.1:9".parse().unwrap());
    let mut client = resting(&mut driver);
    driver.end();
    client.write_all(ASKS).unwrap();
    until(|| {
        driver.round(vec![EventSource::Client(0)]);
        driver.store.counters.taken == 1
    });
    client
        .write_all(
            &String::from_utf8_lossy(ASKS)
                .replace("ID: q", "ID: r")
                .into_bytes(),
        )
        .unwrap();
    (0..50).for_each(|_| _ = driver.round(vec![EventSource::Client(0)]));
    assert_eq!(driver.store.counters.taken, 1);
    let text = all_read(&mut client).expect("reset");
    assert!(
        text.starts_with("HTTP/1.1 202") && text.contains("Connection: close"),
        "{text}"
    );
    assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
}
