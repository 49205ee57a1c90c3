//! Requests that clients send behind the answer that says `Connection: close`, while the sender shuts down.

mod support;
use support::*;

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Clients that keep their connections busy.
const CLIENTS: usize = 30;
/// A request that nobody has read brings a reset within this time of the end of the stream.
const RESET_TIMEOUT: Duration = Duration::from_millis(800);

/// How a request that was completely written ended for its client.
#[derive(Debug, PartialEq)]
enum RequestEnd {
    Answered,
    /// The connection was reset: the request may be sent again.
    Reset,
    /// The stream ended without an answer and without a reset: the request was read and dropped.
    Dropped,
}

/// Sends one request and waits for its answer.
fn exchange(client: &mut BufReader<TcpStream>, text: &str) -> RequestEnd {
    if client.get_mut().write_all(text.as_bytes()).is_err() {
        return RequestEnd::Reset;
    }
    match client.fill_buf_or_error() {
        Ok(true) if read_message(client, 0).is_some() => RequestEnd::Answered,
        Ok(_) if is_reset_soon(client.get_ref()) => RequestEnd::Reset,
        Ok(_) => RequestEnd::Dropped,
        Err(ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => RequestEnd::Reset,
        Err(other) => panic!("a request ended with {other:?}"),
    }
}

/// Waits for bytes or for the end of a stream.
trait WaitForBytes {
    /// Whether bytes have come; false at the end of the stream.
    fn fill_buf_or_error(&mut self) -> Result<bool, ErrorKind>;
}

impl WaitForBytes for BufReader<TcpStream> {
    fn fill_buf_or_error(&mut self) -> Result<bool, ErrorKind> {
        std::io::BufRead::fill_buf(self)
            .map(|bytes| !bytes.is_empty())
            .map_err(|error| error.kind())
    }
}

fn is_reset_soon(stream: &TcpStream) -> bool {
    let until = Instant::now() + RESET_TIMEOUT;
    while Instant::now() < until {
        if !matches!(stream.take_error(), Ok(None)) {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Keeps one connection busy until it ends, whatever the answers say of it. Returns how its last request ended, and
/// how many were answered after the shutdown began.
fn keep_busy(
    mut client: BufReader<TcpStream>,
    name: usize,
    shutdown: &AtomicBool,
) -> (RequestEnd, usize) {
    let mut answered_in_shutdown = 0;
    for number in 0.. {
        let text = request("meter", &format!("{name}-{number}"), "9.0", "hello");
        let end = exchange(&mut client, &text);
        if end != RequestEnd::Answered {
            return (end, answered_in_shutdown);
        }
        answered_in_shutdown += usize::from(shutdown.load(Ordering::SeqCst));
        thread::sleep(Duration::from_millis(1));
    }
    unreachable!("the connection ends at the latest with the process")
}

#[test]
fn no_request_is_read_and_dropped_behind_the_last_answer() {
    let (_endpoint, _platform, sender) = sender_with_endpoint("behind", |_, _| reply(200, ""));
    let shutdown = AtomicBool::new(false);
    let ends: Vec<(RequestEnd, usize)> = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|name| {
                let client = sender.connect();
                let shutdown = &shutdown;
                scope.spawn(move || keep_busy(client, name, shutdown))
            })
            .collect();
        thread::sleep(Duration::from_millis(200));
        shutdown.store(true, Ordering::SeqCst);
        sender.signal("TERM");
        clients
            .into_iter()
            .map(|client| client.join().unwrap())
            .collect()
    });
    let dropped = ends
        .iter()
        .filter(|(end, _)| *end == RequestEnd::Dropped)
        .count();
    assert_eq!(
        dropped, 0,
        "of {CLIENTS} connections, so many ended behind a request that was read"
    );
    assert!(
        ends.iter().any(|(_, answered)| *answered > 1),
        "requests behind an answer that ends its connection are answered, too"
    );
    assert_eq!(sender.wait_for_exit().code, Some(0));
}

#[test]
fn a_request_behind_a_malformed_one_is_not_read() {
    let (_endpoint, _platform, sender) = sender_with_endpoint("malformed", |_, _| reply(200, ""));
    let mut client = sender.connect();
    send(&mut client, "nonsense\r\n\r\n");
    assert_eq!(read_status(&mut client), 400);
    // The answer ends the connection; the client sends on all the same.
    send(&mut client, &request("meter", "b", "9.0", "hello"));
    let mut rest = Vec::new();
    let end = client.read_to_end(&mut rest);
    let was_reset = end.is_err() || is_reset_soon(client.get_ref());
    assert!(rest.is_empty() && was_reset, "{end:?}");
}
