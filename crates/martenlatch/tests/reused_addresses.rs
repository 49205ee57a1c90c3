//! A new process at the address of one that has gone: it gets nothing that was meant for the old one, and nothing runs twice.

mod support;
use support::*;

use rstest::rstest;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const TIMEOUT_HEADER: &str = "16.0";
/// The messages for each process.
const MESSAGES: usize = 12;

/// How a process at an address answers.
#[derive(Clone, Copy, PartialEq)]
enum Answers {
    Always,
    Never,
}

/// What the processes at an address have run: the number of requests by the name of the process and the message's id.
type Runs = Arc<Mutex<BTreeMap<(&'static str, String), usize>>>;

/// A partner's process, which can be ended: its connections are reset and new ones are refused.
struct PartnerProcess {
    address: SocketAddr,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    listener: TcpListener,
    thread: JoinHandle<()>,
}

impl PartnerProcess {
    fn start(
        name: &'static str,
        address: SocketAddr,
        answers: Answers,
        runs: &Runs,
    ) -> PartnerProcess {
        let listener = listen(address);
        let address = listener.local_addr().unwrap();
        let connections = Arc::<Mutex<Vec<TcpStream>>>::default();
        let (accepting, accepted, runs) = (
            listener.try_clone().unwrap(),
            connections.clone(),
            runs.clone(),
        );
        let thread = thread::spawn(move || {
            while let Ok((stream, _)) = accepting.accept() {
                accepted.lock().unwrap().push(stream.try_clone().unwrap());
                let runs = runs.clone();
                thread::spawn(move || serve(name, stream, answers, &runs));
            }
        });
        PartnerProcess {
            address,
            connections,
            listener,
            thread,
        }
    }

    fn end(self) {
        // Ends the listener's accept as well.
        let _ = rustix::net::shutdown(&self.listener, rustix::net::Shutdown::Both);
        self.thread.join().unwrap();
        drop(self.listener);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Listens on an address, which the connections of an earlier process may still occupy for a moment.
fn listen(address: SocketAddr) -> TcpListener {
    let mut listener = None;
    wait_until("the address is free", || {
        listener = TcpListener::bind(address).ok();
        listener.is_some()
    });
    listener.unwrap()
}

fn serve(name: &'static str, stream: TcpStream, answers: Answers, runs: &Runs) {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read_message(&mut stream, 0) {
        let key = (name, request.id().to_string());
        *runs.lock().unwrap().entry(key).or_default() += 1;
        if answers == Answers::Always && stream.get_mut().write_all(OK).is_err() {
            return;
        }
    }
}

fn entry_of(destination: u64, uid: &str, address: SocketAddr, state: &str) -> String {
    endpoint_entry(uid, address, state)
        .replace(r#""pod_group":7"#, &format!(r#""pod_group":{destination}"#))
}

fn submit_to(sender: &Sender, destination: u64, class: &str, id: &str) -> u16 {
    let text = request(class, id, TIMEOUT_HEADER, "x");
    sender.exchange(&text.replace("dest=7", &format!("dest={destination}")))
}

/// Guards against work that goes to the wrong place or runs twice: the process of one destination ends with requests in
/// flight and waiting, and the process of another one comes up at its address.
#[rstest]
#[case::answering_before(Answers::Always)]
#[case::silent_before(Answers::Never)]
fn a_process_at_the_address_of_another_gets_only_its_own_messages(#[case] before: Answers) {
    let runs = Runs::default();
    let any = "127.0.0.1:0".parse().unwrap();
    let old = PartnerProcess::start("old", any, before, &runs);
    let address = old.address;
    let platform = Platform::new(&[]);
    let first = endpoint_list(1, true, &[entry_of(7, "s-1", address, "in_service")]);
    let sender = Sender::start(&format!("address-{}", before as u8), &platform, &first);
    for number in 0..MESSAGES {
        let class = if number % 2 == 0 { "debit" } else { "meter" };
        assert_eq!(
            submit_to(&sender, 7, class, &format!("seven-{number}")),
            202
        );
    }
    thread::sleep(Duration::from_millis(100));
    old.end();
    // Some are waiting for the old one while the new one is listed.
    for number in MESSAGES..2 * MESSAGES {
        let class = if number % 2 == 0 { "debit" } else { "meter" };
        assert_eq!(
            submit_to(&sender, 7, class, &format!("seven-{number}")),
            202
        );
    }
    let changes = [
        entry_of(7, "s-1", address, "terminated"),
        entry_of(9, "s-2", address, "in_service"),
    ];
    platform.push_line(&endpoint_list(2, false, &changes));
    wait_until("the new endpoint is listed", || {
        submit_to(&sender, 9, "debit", "nine-first") == 202
    });
    let new = PartnerProcess::start("new", address, Answers::Always, &runs);
    for number in 0..MESSAGES {
        assert_eq!(
            submit_to(&sender, 9, "debit", &format!("nine-{number}")),
            202
        );
    }
    wait_until("the messages of the new process have run", || {
        let runs = runs.lock().unwrap();
        runs.keys().filter(|(name, _)| *name == "new").count() >= MESSAGES
    });
    thread::sleep(Duration::from_secs(2));
    let runs = runs.lock().unwrap();
    for ((name, id), count) in runs.iter() {
        let belongs_to_new = id.starts_with("nine");
        assert_eq!(
            *name == "new",
            belongs_to_new,
            "{id} ran at the {name} process"
        );
        let is_unsafe =
            belongs_to_new || id.rsplit('-').next().unwrap().parse::<usize>().unwrap() % 2 == 0;
        assert!(!is_unsafe || *count == 1, "{id} ran {count} times");
    }
    drop(runs);
    assert_eq!(sender.operator_counters()["violations"], 0);
    new.end();
}

/// Guards against a second run: a process ends with requests in flight, and comes up again at its address under its name.
#[test]
fn an_unsafe_message_in_flight_at_a_process_that_comes_up_again_runs_once() {
    let runs = Runs::default();
    let any = "127.0.0.1:0".parse().unwrap();
    let old = PartnerProcess::start("old", any, Answers::Never, &runs);
    let address = old.address;
    let platform = Platform::new(&[]);
    let list = endpoint_list(1, true, &[entry_of(7, "s-1", address, "in_service")]);
    let sender = Sender::start("address-again", &platform, &list);
    // As many as may be in flight; one slot may be kept for others.
    for number in 0..4 {
        assert_eq!(
            submit_to(&sender, 7, "debit", &format!("flight-{number}")),
            202
        );
    }
    wait_until("they are in flight", || runs.lock().unwrap().len() == 4);
    old.end();
    let new = PartnerProcess::start("new", address, Answers::Always, &runs);
    assert_eq!(submit_to(&sender, 7, "debit", "behind"), 202);
    wait_until("all messages have ended", || {
        sender.operator_counters()["current"] == 0
    });
    let runs = runs.lock().unwrap();
    for ((name, id), count) in runs.iter() {
        assert_eq!(*count, 1, "{id} at the {name} process");
        assert!(
            *name == "old" || id == "behind",
            "{id} ran at the {name} process"
        );
    }
    drop(runs);
    new.end();
}
