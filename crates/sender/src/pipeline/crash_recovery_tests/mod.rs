//! Lives of a sender on one folder, against scripted peers on loopback and a clock set by hand: what each leaves to the next,
//! at every step at which it can be stopped. It must never sleep, and gives the same verdict every time.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};

use martenlatch_settings::platform as settings;
use martenlatch_wal::{AttemptRecord, LogInspection, MessageRecord};

use std::net::TcpListener;
use std::rc::Rc;

use martenlatch_clock::{Clock, Millis};
use martenlatch_policy::interface::{Idempotency, MessageClass};
use martenlatch_wal::WriteAheadLog;

use super::{Driver, Start};
use crate::Config;
use crate::event_source::EventSource;

const START: Millis = 1_796_121_600_000.0;
/// How long a transaction has; and how far a step goes on.
const TIME: Millis = 2_000.0;
const STEP: Millis = 5.0;

/// Settings of three classes, one of each effect.
fn site(hold: usize) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"Name":"{name}","Target":3000000000,"Deadline":16000000000,"Effect":"{effect}","Worth":1,"MemorySpan":6000000000}}"#
        )
    };
    let classes = [
        class("debit", "side_effect"),
        class("bill", "token"),
        class("reading", "pure"),
    ]
    .join(",");
    format!(
        r#"{{"Areas":["a"],"Zone":"a","Balancers":1,"Kinds":["k"],"Categories":[{classes}],"FamilyInfo":{{"CallsOut":4}},
        "Limits":{{"OpenCap":{hold},"AttemptsCap":8,"Cancel":true,"ConnectTimeout":1000000000}},"Tick":5000000,
        "Guarantees":{{"OverloadFactor":2,"OverloadFor":3000000000,"ColdFrom":0.22,"Cold":9200000000}}}}"#
    )
}

/// What the region does with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Script {
    Serves,
    Hangs,
    /// Turns the first away.
    Refuses,
    /// Ends the first connection behind the call's last byte.
    Resets,
}

/// The peers, and what they have seen.
struct World {
    region: TcpListener,
    platform: TcpListener,
    peers: Vec<(TcpStream, Vec<u8>)>,
    script: Script,
    /// The ids of whole calls, and whether each may have run.
    calls: Vec<(String, bool)>,
    notices: Vec<String>,
    /// What each asked of the platform beside notices.
    watches: usize,
}

impl World {
    fn new(script: Script) -> World {
        let listener = || {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            listener.set_nonblocking(true).unwrap();
            listener
        };
        let (region, platform, peers) = (listener(), listener(), Vec::new());
        let (calls, notices, watches) = (Vec::new(), Vec::new(), 0);
        World {
            region,
            platform,
            peers,
            script,
            calls,
            notices,
            watches,
        }
    }

    fn target(&self) -> String {
        let at = self.region.local_addr().unwrap();
        format!(
            r#"{{"uid":"s","endpoint":"{at}","az":"a","model":"k","pod_group":7,"state":"in_service","capacity_hint":1.0}}"#
        )
    }

    /// Takes in all that has come, and answers it.
    fn pump(&mut self) {
        for listener in [&self.region, &self.platform] {
            while let Ok((peer, _)) = listener.accept() {
                peer.set_nonblocking(true).unwrap();
                self.peers.push((peer, Vec::new()));
            }
        }
        let mut peers = std::mem::take(&mut self.peers);
        peers.retain_mut(|(peer, text)| {
            let mut some = [0; 4096];
            while let Ok(count) = peer.read(&mut some) {
                if count == 0 {
                    return false;
                }
                text.extend(&some[..count]);
            }
            self.answer(peer, text)
        });
        self.peers.extend(peers);
    }

    /// Answers a request that is whole; false ends the connection.
    fn answer(&mut self, peer: &mut TcpStream, text: &mut Vec<u8>) -> bool {
        let all = String::from_utf8_lossy(text).into_owned();
        let Some((head, body)) = all.split_once("\r\n\r\n") else {
            return true;
        };
        let length = head
            .lines()
            .find_map(|l| l.strip_prefix("Content-Length: ")?.parse::<usize>().ok());
        if length.is_some_and(|length| body.len() < length) {
            return true;
        }
        let mut say = |answer: &str| peer.write_all(answer.as_bytes()).is_ok();
        text.clear();
        if head.starts_with("GET /v1/servers") {
            self.watches += 1;
            return true;
        }
        if head.starts_with("POST /reports") {
            self.notices.extend(body.lines().map(str::to_string));
            return say("HTTP/1.1 204 No Content\r\n\r\n");
        }
        let id = head
            .lines()
            .find_map(|l| l.strip_prefix("X-Request-ID: "))
            .unwrap()
            .to_string();
        let script = if self.calls.is_empty() || self.script == Script::Hangs {
            self.script
        } else {
            Script::Serves
        };
        self.calls.push((id, script != Script::Refuses));
        match script {
            Script::Serves => say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
            Script::Hangs => true,
            Script::Refuses => say("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"),
            Script::Resets => false,
        }
    }
}

fn folder(story: &str) -> PathBuf {
    let state =
        std::env::temp_dir().join(format!("martenlatch-lives-{story}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&state);
    std::fs::create_dir_all(&state).unwrap();
    state
}

type Events = calloop::EventLoop<'static, crate::event_source::Ready>;

/// A life on a folder. Without a list, discovery has still to speak.
fn life(state: &Path, site: &str, world: &World, listed: bool, clock: &Clock) -> (Driver, Events) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let known = if listed {
        format!(r#"{{"targets":[{}]}}"#, world.target())
    } else {
        "null".into()
    };
    let config = Config {
        name: "n0".into(),
        listen: listener.local_addr().unwrap(),
        discovery: world.platform.local_addr().unwrap(),
        operator: None,
        state: state.into(),
        seed: 1,
        sockets: 64,
        disk: 3_000_000,
        memory: 64_000_000,
        known: serde_json::from_str(&known).unwrap(),
        clients: martenlatch_settings::program::Program::default().clients,
        peers: None,
        boot: settings::read(site).unwrap(),
    };
    let events = Events::try_new().unwrap();
    let driver = Driver::new(
        config,
        Start::Fresh(listener),
        None,
        &events.handle(),
        clock.clone(),
    )
    .unwrap();
    (driver, events)
}

/// One step of a life: what has come is read, a round is run, and the peers answer. False once it has gone.
fn step(driver: &mut Driver, world: &mut World, clock: &Clock) -> bool {
    world.pump();
    let keys = [
        EventSource::Listener,
        EventSource::Watch,
        EventSource::Notices,
    ]
    .into_iter();
    let keys = keys.chain((0..9).flat_map(|at| [EventSource::Client(at), EventSource::Region(at)]));
    let stays = driver.round(keys.collect());
    world.pump();
    clock.set(clock.now() + STEP);
    stays
}

/// A client that hands one transaction in.
fn hand_in(driver: &Driver, class: &str) -> TcpStream {
    let mut client = TcpStream::connect(driver.listens()).unwrap();
    let head =
        "X-Request-ID: a\r\nIdempotency-Key: k\r\nX-Route-To: dest=7\r\nContent-Length: 1\r\n";
    let text = format!(
        "POST /{class} HTTP/1.1\r\n{head}X-Timeout: {}\r\n\r\nx",
        TIME / 1e3
    );
    client.write_all(text.as_bytes()).unwrap();
    client.set_nonblocking(true).unwrap();
    client
}

/// What the folder holds of the transaction, if it holds it.
fn kept(state: &Path) -> Option<MessageRecord> {
    LogInspection::open(state)
        .unwrap()
        .past
        .open
        .into_values()
        .next()
}

/// How a life is stopped: behind so many steps killed, or told to end and killed when its time is up.
#[derive(Clone, Copy, Debug)]
enum Stop {
    Kill(usize),
    Term(usize),
    /// Between two records of its wal.
    Record(usize),
}

/// Lengths of a wal at which a kill can leave it, from the empty one on.
fn records(bytes: &[u8]) -> Vec<usize> {
    let (mut at, mut ends) = (8, vec![8]);
    while at + 8 <= bytes.len() {
        at += 8 + u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap()) as usize;
        ends.push(at);
    }
    ends
}

/// Two lives with a stop between them; all that is owed is held against what peers saw. False where there is no such stop.
fn two_lives(class: &str, script: Script, stop: Stop) -> bool {
    let story = format!("{class}-{script:?}-{stop:?}").replace(['(', ')'], "-");
    let (state, mut world, clock) = (folder(&story), World::new(script), Clock::at(START));
    let (mut driver, events) = life(&state, &site(9), &world, true, &clock);
    let mut client = hand_in(&driver, class);
    let (most, mut steps, mut heard) = ((TIME + 500.0) / STEP, 0, Vec::<u8>::new());
    let (mut open, mut since_refused) = (true, 0);
    while open && f64::from(steps) < most {
        if matches!(stop, Stop::Kill(at) | Stop::Term(at) if steps as usize == at) {
            break;
        }
        open = step(&mut driver, &mut world, &clock);
        let mut some = [0; 256];
        heard.extend(client.read(&mut some).map_or(&[][..], |n| &some[..n]));
        steps += 1;
        // A refusal is booked in the round that reads it.
        let refused = world.calls.len() == 1 && !world.calls[0].1;
        since_refused = if refused { since_refused + 1 } else { 0 };
        let proven = kept(&state).is_none_or(|t| t.attempts.first().is_some_and(|t| t.never_ran));
        assert!(
            since_refused < 2 || proven,
            "{story}: a refused call never ran"
        );
        // Each record stands before anybody outside can know of what it says.
        let (held, past) = (kept(&state), LogInspection::open(&state).unwrap().past);
        let over = !past.over.is_empty();
        assert!(
            heard.is_empty() || held.is_some() || over,
            "{story}: 202 before its record"
        );
        let tasks = held.as_ref().map_or(0, |t| t.attempts.len());
        assert!(
            over || world.calls.len() <= tasks,
            "{story}: a call before its record"
        );
        let ending = held.is_some_and(|t| t.final_status.is_some());
        assert!(
            over || world.notices.is_empty() || ending,
            "{story}: a notice before its record"
        );
    }
    if matches!(stop, Stop::Kill(at) | Stop::Term(at) if (steps as usize) < at) {
        return false;
    }
    if let Stop::Term(_) = stop {
        let told = clock.now();
        driver.end();
        while step(&mut driver, &mut world, &clock) {
            assert!(
                clock.now() < told + 3_690.0,
                "{story}: SIGKILL may come at 3.7 s"
            );
        }
    }
    drop((driver, events, client));
    let bytes = std::fs::read(state.join("ledger")).unwrap();
    if let Stop::Record(at) = stop {
        let Some(end) = records(&bytes).get(at).copied() else {
            return false;
        };
        std::fs::write(state.join("ledger"), &bytes[..end]).unwrap();
        // What the first life did behind that record is not done.
        let done = kept(&state).map_or(0, |t| t.attempts.len());
        world.calls.truncate(done);
        world.notices.clear();
    }
    let found = kept(&state);
    let (calls, notices) = (world.calls.len(), world.notices.len());
    // The next life, half a second later; the region is well.
    world.script = Script::Serves;
    world.peers.clear();
    clock.set(clock.now() + 500.0);
    let begun = clock.now();
    let (mut driver, _events) = life(&state, &site(9), &world, true, &clock);
    let mut left = (TIME + 4_500.0) / STEP;
    while driver.store.open
        + driver.status_reporter.queue.len()
        + driver.status_reporter.in_flight.len()
        > 0
        || left > (TIME + 4_000.0) / STEP
    {
        step(&mut driver, &mut world, &clock);
        left -= 1.0;
        assert!(left > 0.0, "{story}: it never ends");
    }
    let (called, told) = (world.calls.len() - calls, world.notices.len() - notices);
    let ran = |t: &MessageRecord| t.attempts.iter().any(|t| !t.never_ran);
    match found {
        None => assert_eq!((called, told), (0, 0), "{story}: nothing is owed"),
        Some(t) if t.final_status.is_some() => {
            assert_eq!((called, told), (0, 1), "{story}: its notice is owed")
        }
        Some(t) if class == "debit" && ran(&t) => {
            assert_eq!((called, told), (0, 1), "{story}: it may have run")
        }
        Some(t) if t.deadline > begun + 700.0 => {
            assert_eq!((called, told), (1, 0), "{story}: it is tried and delivered");
        }
        Some(_) => assert_eq!(usize::from(called > 0) + told, 1, "{story}: one end"),
    }
    let effects = world.calls.iter().filter(|(_, ran)| *ran).count();
    assert!(class != "debit" || effects <= 1, "{story}: a second effect");
    assert!(
        LogInspection::open(&state).unwrap().past.open.is_empty(),
        "{story}: nothing is left"
    );
    std::fs::remove_dir_all(&state).unwrap();
    true
}

#[rstest::rstest]
fn stopped_at_any_step_a_transaction_has_one_end_and_no_second_effect(
    #[values("debit", "bill", "reading")] class: &str,
    #[values(Script::Serves, Script::Hangs, Script::Refuses, Script::Resets)] script: Script,
) {
    let mut stops = 0;
    // Up to when all has happened, and sparsely while a call hangs.
    for at in (0..14).chain((14..500).step_by(48)) {
        stops += usize::from(two_lives(class, script, Stop::Kill(at)));
        stops += usize::from(two_lives(class, script, Stop::Term(at)));
    }
    let between = (0..99)
        .take_while(|at| two_lives(class, script, Stop::Record(*at)))
        .count();
    println!("{class} {script:?}: {stops} stops, {between} records");
    assert!(stops > 20 && between >= 4, "taken on, sent, over");
}

/// A folder that holds transactions of an earlier life.
fn held(story: &str, taken: impl Iterator<Item = MessageRecord>) -> PathBuf {
    let state = folder(story);
    let (mut wal, _) = WriteAheadLog::open(&state, 3_000_000);
    for t in taken {
        assert!(wal.append_message(&t));
        for (attempt, task) in t.attempts.iter().enumerate() {
            assert!(wal.append_attempt(t.no, attempt, task.sent));
        }
    }
    state
}

fn one(no: u64, class: &str, attempts: Vec<AttemptRecord>, rules: &[u8]) -> MessageRecord {
    let (id, class, body, rules) = (
        Rc::from(format!("a{no}")),
        Rc::from(class),
        Rc::from(&b"x"[..]),
        Rc::from(rules),
    );
    let (deadline, key, ending) = (START + TIME, Some(Rc::from("k")), None);
    MessageRecord {
        no,
        id,
        class,
        destination: 7,
        deadline,
        key,
        body,
        attempts,
        final_status: ending,
        rules,
    }
}

#[rstest::rstest]
#[case::an_unsafe_one_that_is_safe_now("reading", Idempotency::NonIdempotent, true, 0)]
#[case::a_safe_one_that_is_unsafe_now("debit", Idempotency::Idempotent, true, 1)]
#[case::a_keyed_one_whose_key_holds_longer_now("bill", Idempotency::IdempotencyKey { per_zone: false, window: 400_000_000 }, true, 0)]
#[case::a_safe_one_whose_class_is_gone("gone", Idempotency::Idempotent, true, 1)]
#[case::an_untried_one_whose_class_is_gone("gone", Idempotency::NonIdempotent, false, 1)]
fn what_was_promised_at_intake_holds_under_other_settings(
    #[case] name: &str,
    #[case] idempotency: Idempotency,
    #[case] tried: bool,
    #[case] calls: usize,
) {
    // Guards against a second effect, and against an end without a call, where a name stands for something else since.
    let class = MessageClass {
        idempotency,
        ..settings::read(&site(9)).unwrap().settings.classes[0].clone()
    };
    let rules = postcard::to_allocvec(&class).unwrap();
    let tasks = tried.then_some(AttemptRecord {
        sent: START - 500.0,
        never_ran: false,
    });
    let state = held(
        &format!("promised-{name}-{tried}"),
        [one(3, name, tasks.into_iter().collect(), &rules)].into_iter(),
    );
    let (mut world, clock) = (World::new(Script::Serves), Clock::at(START));
    let (mut driver, _events) = life(&state, &site(9), &world, true, &clock);
    for _ in 0..600 {
        step(&mut driver, &mut world, &clock);
    }
    assert_eq!((world.calls.len(), world.notices.len()), (calls, 1 - calls));
    // What is taken on now goes by the settings, also where that name stands for both.
    assert_eq!(driver.store.open, 0);
    let current = driver.admission.class_rules.get(0);
    assert!(
        current.name.as_ref() == "debit"
            && driver
                .admission
                .class_rules
                .is_non_idempotent("debit", &current.rules)
    );
}

#[rstest::rstest]
#[case::listed_at_the_start(true)]
#[case::once_discovery_speaks(false)]
fn what_was_taken_on_is_tried_once_its_destination_is_listed(#[case] listed: bool) {
    let state = held(
        &format!("listed-{listed}"),
        [one(3, "debit", Vec::new(), &[])].into_iter(),
    );
    let (mut world, clock) = (World::new(Script::Serves), Clock::at(START));
    let (mut driver, _events) = life(&state, &site(9), &world, listed, &clock);
    for _ in 0..40 {
        step(&mut driver, &mut world, &clock);
    }
    assert_eq!(world.calls.len(), usize::from(listed));
    if !listed {
        assert_eq!(world.watches, 1);
        let list = format!(
            "{{\"rev\":2,\"all\":true,\"targets\":[{}]}}\n",
            world.target()
        );
        let text = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\r\n",
            list.len()
        );
        world.peers[0].0.write_all(text.as_bytes()).unwrap();
    }
    for _ in 0..100 {
        step(&mut driver, &mut world, &clock);
    }
    assert_eq!(
        (world.calls.len(), world.notices.len(), driver.store.open),
        (1, 0, 0)
    );
}

#[test]
fn a_restart_with_the_hold_full_tries_what_it_finds_while_clients_come() {
    const HOLD: usize = 60;
    let state = held(
        "full",
        (0..HOLD as u64).map(|no| one(no, "debit", Vec::new(), &[])),
    );
    let (mut world, clock) = (World::new(Script::Serves), Clock::at(START));
    let (mut driver, _events) = life(&state, &site(HOLD), &world, true, &clock);
    let mut clients = Vec::new();
    for round in 0..400 {
        if round % 20 == 0 {
            // New work finds no room, or what is left of it: it must not cost what was taken on its call.
            clients.push(hand_in(&driver, "debit"));
        }
        step(&mut driver, &mut world, &clock);
    }
    let count = &driver.store.counters;
    println!(
        "untried {} called {} ended {}",
        count.unattempted, count.unattempted_started, count.unattempted_ended
    );
    assert_eq!(
        (
            count.unattempted,
            count.unattempted_started,
            count.unattempted_ended
        ),
        (HOLD as u64, HOLD as u64, 0)
    );
}
