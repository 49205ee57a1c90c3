//! Clients that write slowly, stop half-way, or flood the sender: its memory stays within its limit, and other clients are
//! answered meanwhile.
//!
//! `MARTENLATCH_HOSTILE_SECONDS` plays longer than the usual two seconds each, `MARTENLATCH_HOSTILE_MEMORY_MB` with more than 32 MB. The times of the other client's answers are
//! printed, and are no verdict.

mod support;
use support::*;

use rstest::rstest;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The clients that are connected at once: more than the sender has buffers for.
const CROWD: usize = 600;
/// How often the other client hands in a message, and how long it waits for the answer.
const OTHER_INTERVAL: Duration = Duration::from_millis(20);
const OTHER_PATIENCE: Duration = Duration::from_secs(5);
/// How much the memory may grow in a flood once it has lasted for a while, in KiB: a part of the bodies of open messages.
const MAX_GROWTH_KB: u64 = 4 * 1024;

/// The memory that the configuration grants, in MB.
fn memory_mb() -> u64 {
    from_environment("MARTENLATCH_HOSTILE_MEMORY_MB", 32)
}

fn play_time() -> Duration {
    Duration::from_secs(from_environment("MARTENLATCH_HOSTILE_SECONDS", 2))
}

/// What another client has seen.
#[derive(Debug, Default)]
struct Answers {
    accepted: u64,
    rejected: u64,
    /// Requests that were sent once more, as their connection had ended without an answer. The protocol allows a sender to
    /// close a connection on which it has read nothing; its own check counts the others as violations.
    repeated: u64,
    /// Of these, those that had no answer either, and answers that took longer than the client waits.
    missing: u64,
    slowest: Duration,
}

/// A client that hands in messages at a steady pace while others misbehave.
struct OtherClient {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Answers>,
}

impl OtherClient {
    fn start(address: SocketAddr) -> OtherClient {
        let stop = Arc::new(AtomicBool::new(false));
        let is_stopped = stop.clone();
        let thread = thread::spawn(move || {
            let mut answers = Answers::default();
            for number in 0.. {
                if is_stopped.load(Ordering::SeqCst) {
                    break;
                }
                let started = Instant::now();
                let text = request("debit", &format!("other-{number}"), "2.0", "hello");
                let mut status = exchange(address, &text);
                if status.is_none() {
                    answers.repeated += 1;
                    status = exchange(address, &text);
                }
                match status {
                    Some(202) => answers.accepted += 1,
                    Some(_) => answers.rejected += 1,
                    None => answers.missing += 1,
                }
                answers.slowest = answers.slowest.max(started.elapsed());
                thread::sleep(OTHER_INTERVAL);
            }
            answers
        });
        OtherClient { stop, thread }
    }

    fn finish(self) -> Answers {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().unwrap()
    }
}

/// Writes a request on a new connection, and returns the status of the answer, if one comes.
fn exchange(address: SocketAddr, text: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(OTHER_PATIENCE)).ok()?;
    let _ = stream.write_all(text.as_bytes());
    read_message(&mut BufReader::new(stream), 0).map(|response| status_of(&response))
}

fn start_sender(test: &str, platform: &Platform, known_endpoints: &str) -> Sender {
    let memory = format!(r#""memory_mb":{}"#, memory_mb());
    Sender::start(test, platform, known_endpoints).restart_with_config(&[
        (r#""memory_mb":192"#, &memory),
        (r#""sockets":1024"#, r#""sockets":2048"#),
    ])
}

/// What each client of a crowd writes: all of it at first, then one byte again and again.
fn beginning_of_a_request(behaviour: Crowd, number: usize) -> Vec<u8> {
    let head = format!(
        "POST /debit HTTP/1.1\r\nX-Request-ID: crowd-{number}\r\nX-Timeout: 2.0\r\nX-Route-To: dest=7\r\n"
    );
    match behaviour {
        Crowd::WritesSlowly => head.into_bytes(),
        Crowd::StopsHalfWay => {
            let body = "b".repeat(60_000);
            format!("{head}Content-Length: 65536\r\n\r\n{body}").into_bytes()
        }
        Crowd::WritesManyFields => format!("{head}{}", "a:b\r\n".repeat(1_500)).into_bytes(),
        Crowd::WritesFewerFields => format!("{head}{}", "a:b\r\n".repeat(50)).into_bytes(),
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Crowd {
    WritesSlowly,
    StopsHalfWay,
    WritesManyFields,
    WritesFewerFields,
}

/// Guards against an end by the system: hundreds of clients that wrote slowly, stopped half-way through a large request, or
/// sent heads of very many short fields took more memory than the process is granted.
#[rstest]
#[case::slow_writers(Crowd::WritesSlowly)]
#[case::half_of_a_large_request(Crowd::StopsHalfWay)]
#[case::very_many_fields(Crowd::WritesManyFields)]
#[case::many_fields(Crowd::WritesFewerFields)]
fn a_crowd_of_slow_clients_keeps_the_sender_within_its_memory(#[case] behaviour: Crowd) {
    let (_endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let test = format!("crowd-{behaviour:?}");
    let sender = start_sender(&test, &platform, &known_endpoints);
    let other = OtherClient::start(sender.address);
    let start = Instant::now();
    let mut crowd: Vec<Option<TcpStream>> = Vec::new();
    crowd.resize_with(CROWD, || None);
    while start.elapsed() < play_time() {
        for (number, client) in crowd.iter_mut().enumerate() {
            if client.as_mut().is_none_or(|client| !write_byte(client)) {
                *client = TcpStream::connect(sender.address).ok();
                let beginning = beginning_of_a_request(behaviour, number);
                if let Some(client) = client {
                    let _ = client.set_nonblocking(true);
                    let _ = client.write(&beginning);
                }
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    let answers = other.finish();
    let peak = sender.peak_memory_kb();
    println!("{behaviour:?}: peak memory {peak} KiB, other client {answers:?}");
    assert!(peak <= memory_mb() * 1024, "{peak} KiB");
    assert_eq!(answers.missing, 0, "{answers:?}");
    assert!(answers.accepted > 0, "{answers:?}");
    assert_eq!(sender.operator_counters()["violations"], 0);
}

/// Writes one byte. Returns false if the connection has ended.
fn write_byte(client: &mut TcpStream) -> bool {
    match client.read(&mut [0; 512]) {
        // It was answered, or has ended.
        Ok(0..) => return false,
        Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return false,
        Err(_) => {}
    }
    match client.write(b"x") {
        Ok(count) => count > 0,
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    }
}

/// What a client sends at full speed.
#[derive(Clone, Copy, Debug)]
enum Flood {
    HealthChecks,
    UnreadHealthChecks,
    Nonsense,
    NewPaths,
    NewDestinations,
    NewIds,
    NewIdsAndFields,
    SingleBytes,
}

fn flooding_request(flood: Flood, number: u64) -> String {
    match flood {
        Flood::HealthChecks | Flood::UnreadHealthChecks => {
            "GET /healthz HTTP/1.1\r\n\r\n".to_string()
        }
        Flood::Nonsense => "\0\r\n\r\n".to_string(),
        Flood::NewPaths => request(
            &format!("class-{number}"),
            &format!("f-{number}"),
            "1.0",
            "",
        ),
        Flood::NewDestinations => request("debit", &format!("f-{number}"), "1.0", "")
            .replace("dest=7", &format!("dest={}", 1_000 + number)),
        Flood::NewIds | Flood::SingleBytes => request("debit", &format!("f-{number}"), "1.0", ""),
        Flood::NewIdsAndFields => request("meter", &format!("f-{number}"), "1.0", "").replace(
            "X-Timeout",
            &format!("X-Field-{number}: {number}\r\nX-Timeout"),
        ),
    }
}

/// Sends requests at full speed, on one connection for as long as that lasts. Returns how many.
fn flood(address: SocketAddr, kind: Flood, stop: &AtomicBool, sent: &AtomicU64) {
    let mut connection: Option<BufReader<TcpStream>> = None;
    while !stop.load(Ordering::SeqCst) {
        let number = sent.fetch_add(1, Ordering::SeqCst);
        let Some(stream) = connection.take().or_else(|| connect(address)) else {
            continue;
        };
        connection = send_one(stream, kind, number);
    }
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(address).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_millis(500)))
        .ok()?;
    stream
        .set_write_timeout(Some(Duration::from_millis(500)))
        .ok()?;
    Some(BufReader::new(stream))
}

/// Sends one request and reads its answer. Returns the connection if it goes on.
fn send_one(
    mut stream: BufReader<TcpStream>,
    kind: Flood,
    number: u64,
) -> Option<BufReader<TcpStream>> {
    let text = flooding_request(kind, number);
    match kind {
        Flood::SingleBytes => {
            let padded = text.replace(
                "X-Timeout",
                &format!("X-Long: {}\r\nX-Timeout", "x".repeat(6_000)),
            );
            for byte in padded.as_bytes() {
                stream.get_mut().write_all(&[*byte]).ok()?;
            }
        }
        _ => stream.get_mut().write_all(text.as_bytes()).ok()?,
    }
    if matches!(kind, Flood::UnreadHealthChecks) {
        return Some(stream);
    }
    let answer = read_message(&mut stream, 0)?;
    let ends = answer.header("Connection").eq_ignore_ascii_case("close");
    (!ends).then_some(stream)
}

/// Guards against memory that grows without end, and other clients that are answered late or never: one client sent small
/// or unsound requests at full speed, also under ever new names.
#[rstest]
#[case::health_checks(Flood::HealthChecks)]
#[case::unread_health_checks(Flood::UnreadHealthChecks)]
#[case::nonsense(Flood::Nonsense)]
#[case::new_paths(Flood::NewPaths)]
#[case::new_destinations(Flood::NewDestinations)]
#[case::new_ids(Flood::NewIds)]
#[case::new_ids_and_fields(Flood::NewIdsAndFields)]
#[case::single_bytes(Flood::SingleBytes)]
fn a_flood_of_small_requests_neither_fills_the_memory_nor_starves_other_clients(
    #[case] kind: Flood,
) {
    let (_endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let sender = start_sender(&format!("flood-{kind:?}"), &platform, &known_endpoints);
    let other = OtherClient::start(sender.address);
    let (stop, sent) = (AtomicBool::new(false), AtomicU64::new(0));
    let (early, late) = thread::scope(|scope| {
        scope.spawn(|| flood(sender.address, kind, &stop, &sent));
        thread::sleep(play_time() / 2);
        let early = sender.memory_kb();
        thread::sleep(play_time() / 2);
        stop.store(true, Ordering::SeqCst);
        (early, sender.memory_kb())
    });
    let answers = other.finish();
    let sent = sent.load(Ordering::SeqCst);
    println!("{kind:?}: {sent} requests, memory {early} to {late} KiB, other client {answers:?}");
    assert!(sent > 0);
    assert!(late <= early + MAX_GROWTH_KB, "{early} to {late} KiB");
    assert_eq!(answers.missing, 0, "{answers:?}");
    assert!(answers.accepted + answers.rejected > 0, "{answers:?}");
    assert_eq!(sender.operator_counters()["violations"], 0);
}

/// Guards against an end by the system: large messages for an endpoint that does not answer took more memory than the
/// process is granted, as only their number was limited.
#[test]
fn a_backlog_of_large_messages_keeps_the_sender_within_its_memory() {
    const MESSAGES: usize = 900;
    let (_endpoint, known_endpoints) = endpoint_and_list(|_, _| no_reply());
    let platform = Platform::new(&[]);
    let sender = start_sender("backlog", &platform, &known_endpoints).restart_with_config(&[
        (r#""disk_mb":3"#, r#""disk_mb":200"#),
        (r#""OpenCap":50"#, r#""OpenCap":1000"#),
    ]);
    let body = "b".repeat(65_536);
    let mut statuses = Vec::new();
    for number in 0..MESSAGES {
        let text = request("meter", &format!("large-{number}"), "60.0", &body);
        statuses.push(exchange(sender.address, &text));
    }
    let accepted = statuses
        .iter()
        .filter(|status| **status == Some(202))
        .count();
    let peak = sender.peak_memory_kb();
    println!("{accepted} of {MESSAGES} accepted, peak memory {peak} KiB");
    assert!(
        peak <= memory_mb() * 1024,
        "{peak} KiB, {accepted} accepted"
    );
    assert!(accepted > 0);
    let is_answered = |status: &Option<u16>| matches!(status, Some(202 | 503));
    assert!(statuses.iter().all(is_answered), "{statuses:?}");
    // What was taken on is kept through a kill, within the memory as well.
    let sender = sender.kill_and_restart();
    let peak = sender.peak_memory_kb();
    assert!(peak <= memory_mb() * 1024, "{peak} KiB after a restart");
    assert!(sender.operator_counters()["current"] >= accepted as u64);
}
