//! A process that is suspended while a request arrives: the deadline of the message counts from its submission.

mod support;
use support::*;

use std::io::BufReader;
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// The timeout of the message, which its client sends.
const TIMEOUT: Duration = Duration::from_secs(9);
/// How long the process is suspended. A client waits 400 ms for its answer.
const SUSPENSION: Duration = Duration::from_millis(380);

/// The time until the deadline of the only message in a write-ahead log, in milliseconds.
fn remaining_ms(state: &Path) -> f64 {
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

/// Guards against a deadline that counts from when the sender reads the request: a message that was submitted while the
/// process was suspended would then end after the platform has given it up.
#[test]
fn the_deadline_of_a_message_submitted_to_a_suspended_process_counts_from_its_submission() {
    for is_connected_before in [true, false] {
        let name = format!("suspended-{is_connected_before}");
        let (_endpoint, _platform, sender) = sender_with_endpoint(&name, |_, _| no_reply());
        let connect = || BufReader::new(TcpStream::connect(sender.address).unwrap());
        let mut client = if is_connected_before {
            let mut client = connect();
            send(&mut client, "GET /healthz HTTP/1.1\r\n\r\n");
            assert_eq!(read_status(&mut client), 200);
            Some(client)
        } else {
            None
        };
        sender.signal("STOP");
        let client = client.get_or_insert_with(connect);
        let submitted_at = Instant::now();
        let timeout = format!("{:.3}", TIMEOUT.as_secs_f64());
        send(client, &request("debit", "suspended", &timeout, "x"));
        thread::sleep(SUSPENSION);
        sender.signal("CONT");
        assert_eq!(read_status(client), 202);
        let time_to_deadline = TIMEOUT.saturating_sub(submitted_at.elapsed());
        let remaining_ms = remaining_ms(&sender.state_folder());
        // The printed time is rounded to milliseconds.
        let max_remaining_ms = time_to_deadline.as_secs_f64() * 1e3 + 1.0;
        assert!(
            remaining_ms <= max_remaining_ms,
            "{name}: {remaining_ms} ms remain, expected at most {max_remaining_ms} ms"
        );
    }
}
