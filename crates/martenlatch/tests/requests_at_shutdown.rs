//! Requests that clients send after an answer with `Connection: close`, while the sender shuts down or after an invalid
//! request.

mod support;
use support::*;

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Number of clients that keep their connections busy.
const CLIENTS: usize = 30;
/// If the sender has not read a request, the connection is reset within this time after the end of the stream.
const RESET_TIMEOUT: Duration = Duration::from_millis(800);

/// The result of a request that its client has written completely.
#[derive(Debug, PartialEq)]
enum RequestEnd {
    Answered,
    /// The connection was reset, so that the client may send the request again.
    Reset,
    /// The stream ended without an answer and without a reset: the sender read the request and dropped it.
    Dropped,
}

/// Sends one request and waits for its answer.
fn exchange(client: &mut BufReader<TcpStream>, text: &str) -> RequestEnd {
    if client.get_mut().write_all(text.as_bytes()).is_err() {
        return RequestEnd::Reset;
    }
    match client.wait_for_bytes() {
        Ok(true) if read_message(client, 0).is_some() => RequestEnd::Answered,
        Ok(_) if is_reset_in_time(client.get_ref()) => RequestEnd::Reset,
        Ok(_) => RequestEnd::Dropped,
        Err(ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => RequestEnd::Reset,
        Err(other) => panic!("a request ended with {other:?}"),
    }
}

/// Waits until a stream has bytes or ends.
trait WaitForBytes {
    /// Returns true if there are bytes to read, false at the end of the stream.
    fn wait_for_bytes(&mut self) -> Result<bool, ErrorKind>;
}

impl WaitForBytes for BufReader<TcpStream> {
    fn wait_for_bytes(&mut self) -> Result<bool, ErrorKind> {
        std::io::BufRead::fill_buf(self)
            .map(|bytes| !bytes.is_empty())
            .map_err(|error| error.kind())
    }
}

/// Whether the connection is reset within [`RESET_TIMEOUT`].
fn is_reset_in_time(stream: &TcpStream) -> bool {
    let deadline = Instant::now() + RESET_TIMEOUT;
    while Instant::now() < deadline {
        if !matches!(stream.take_error(), Ok(None)) {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Sends requests on one connection until it ends, even after an answer with `Connection: close`. Returns the result of
/// the last request and the number of requests that were answered after the shutdown began.
fn keep_busy(
    mut client: BufReader<TcpStream>,
    client_number: usize,
    shutdown: &AtomicBool,
) -> (RequestEnd, usize) {
    let mut answered_in_shutdown = 0;
    for number in 0.. {
        let text = request(
            "meter",
            &format!("{client_number}-{number}"),
            "9.0",
            "hello",
        );
        let end = exchange(&mut client, &text);
        if end != RequestEnd::Answered {
            return (end, answered_in_shutdown);
        }
        answered_in_shutdown += usize::from(shutdown.load(Ordering::SeqCst));
        thread::sleep(Duration::from_millis(1));
    }
    unreachable!("the connection ends no later than the process")
}

/// Guards against requests that the sender reads after an answer with `Connection: close` and then drops: their clients
/// see the end of the stream instead of a reset and cannot tell that the requests were not processed.
#[test]
fn at_shutdown_each_request_on_a_busy_connection_is_answered_or_its_connection_reset() {
    let (_endpoint, _platform, sender) = sender_with_endpoint("last-answer", |_, _| reply(200, ""));
    let shutdown = AtomicBool::new(false);
    let ends: Vec<(RequestEnd, usize)> = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client_number| {
                let client = sender.connect();
                let shutdown = &shutdown;
                scope.spawn(move || keep_busy(client, client_number, shutdown))
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
        "number of {CLIENTS} connections that ended after a request was read and not answered"
    );
    assert!(
        ends.iter().any(|(_, answered)| *answered > 1),
        "requests after an answer with `Connection: close` must be answered, too"
    );
    assert_eq!(sender.wait_for_exit().code, Some(0));
}

#[test]
fn a_request_sent_after_an_invalid_one_is_not_read_and_the_connection_is_reset() {
    let (_endpoint, _platform, sender) = sender_with_endpoint("malformed", |_, _| reply(200, ""));
    let mut client = sender.connect();
    send(&mut client, "nonsense\r\n\r\n");
    assert_eq!(read_status(&mut client), 400);
    // The answer closes the connection, but the client sends another request.
    send(&mut client, &request("meter", "b", "9.0", "hello"));
    let mut rest = Vec::new();
    let end = client.read_to_end(&mut rest);
    let was_reset = end.is_err() || is_reset_in_time(client.get_ref());
    assert!(rest.is_empty() && was_reset, "{end:?}");
}
