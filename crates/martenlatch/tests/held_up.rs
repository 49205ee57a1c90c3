//! A process that is held up while a request arrives: the message's time counts from the hand-in.

mod support;
use support::*;

use std::io::BufReader;
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// How long the message may be delivered.
const TIMEOUT: Duration = Duration::from_secs(9);
/// How long the process is held up: a client waits 400 ms for its answer.
const HELD_UP: Duration = Duration::from_millis(380);

/// What is left of the deadline of the one message in a log, in milliseconds.
fn time_left(state: &Path) -> f64 {
    let output = Command::new(env!("CARGO_BIN_EXE_martenlatch"))
        .args(["wal", "show"])
        .arg(state)
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let (_, rest) = text.split_once("left_ms=").expect("a message");
    let value = rest.split(' ').next().expect("a value");
    value.parse().unwrap()
}

/// Guards against a deadline that counts from the read: the message would end after the platform has given it up.
#[test]
fn a_message_handed_in_while_the_process_is_held_up_ends_in_its_time() {
    for accepted_before in [true, false] {
        let name = format!("held-up-{accepted_before}");
        let (_endpoint, _platform, sender) = sender_with_endpoint(&name, |_, _| no_reply());
        let connect = || BufReader::new(TcpStream::connect(sender.address).unwrap());
        let mut client = if accepted_before {
            let mut client = connect();
            send(&mut client, "GET /healthz HTTP/1.1\r\n\r\n");
            assert_eq!(read_status(&mut client), 200);
            Some(client)
        } else {
            None
        };
        sender.signal("STOP");
        let client = client.get_or_insert_with(connect);
        let handed_in = Instant::now();
        let timeout = format!("{:.3}", TIMEOUT.as_secs_f64());
        send(client, &request("debit", "held-up", &timeout, "x"));
        thread::sleep(HELD_UP);
        sender.signal("CONT");
        assert_eq!(read_status(client), 202);
        let most_left = TIMEOUT.saturating_sub(handed_in.elapsed());
        let left = time_left(&sender.state_folder());
        // What is left is rounded to milliseconds.
        let most_left = most_left.as_secs_f64() * 1e3 + 1.0;
        assert!(
            left <= most_left,
            "{name}: {left} of at most {most_left} ms"
        );
    }
}
