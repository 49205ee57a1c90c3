//! Clients: eviction, and requests that arrive while their connection is being closed.

use super::*;

#[test]
fn silent_clients_are_evicted_before_served_ones_and_closed_at_the_request_timeout() {
    use std::io::{Read, Write};
    let silent_endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) =
        resumed_driver("silent-clients", silent_endpoint.local_addr().unwrap());
    let address = driver.listen_address();
    let connect = || std::net::TcpStream::connect(address).unwrap();
    let is_open = |client: &mut std::net::TcpStream| {
        client.set_nonblocking(true).unwrap();
        client
            .read(&mut [0; 4096])
            .is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    };
    let mut served_client = connect();
    served_client
        .write_all(b"GET /healthz HTTP/1.1\r\n\r\n")
        .unwrap();
    while driver
        .ingress
        .clients
        .iter()
        .all(|(_, client)| !client.has_sent_request)
    {
        driver.round(vec![EventSource::ClientListener, EventSource::Client(0)]);
    }
    assert!(served_client.read(&mut [0; 4096]).unwrap() > 0);
    let mut silent_clients: Vec<_> = (1..driver.ingress.limits.max_clients)
        .map(|_| connect())
        .collect();
    while driver.ingress.clients.len() < driver.ingress.limits.max_clients {
        driver.round(vec![EventSource::ClientListener]);
    }
    clock.set(clock.now() + NEWCOMER_GRACE + 1.0);
    let late_client = connect();
    while driver.store.counters.client_connections <= driver.ingress.limits.max_clients as u64 {
        driver.round(vec![EventSource::ClientListener]);
    }
    assert!(
        is_open(&mut served_client)
            && !is_open(&mut silent_clients[0])
            && is_open(&mut silent_clients[1]),
        "the oldest silent client is evicted"
    );
    clock.set(START + driver.ingress.limits.timeouts.request_ms + 1.0);
    driver.round(Vec::new());
    assert!(
        is_open(&mut served_client) && silent_clients.iter_mut().all(|client| !is_open(client)),
        "silent clients are closed once the request timeout of 3 s has passed"
    );
    assert_eq!(
        driver.ingress.clients.len(),
        2,
        "the served client and the one that connected late remain"
    );
    drop(late_client);
}

/// Guards against a message that nobody delivers: a client that got no answer sends its request again on a new
/// connection, and that must not be answered 202 as a duplicate.
#[test]
fn a_client_that_left_before_its_202_may_send_the_same_message_again() {
    use std::io::Write;
    let silent_endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) =
        resumed_driver("left", silent_endpoint.local_addr().unwrap());
    let address = driver.listen_address();
    let mut send_message = |leaves: bool| {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        let head =
            "POST /debit HTTP/1.1\r\nX-Request-ID: b\r\nX-Timeout: 9\r\nX-Route-To: dest=7\r\n";
        client
            .write_all(format!("{head}Content-Length: 0\r\n\r\n").as_bytes())
            .unwrap();
        let (now, mut received) = (clock.now(), Vec::new());
        while received.is_empty() {
            driver.ingress.accept(now, &mut driver.store.counters);
            (0..9).for_each(|index| {
                driver
                    .ingress
                    .on_ready(index, now, &mut received, &mut driver.store.counters);
            });
        }
        let client = (!leaves).then_some(client);
        while leaves
            && !driver.ingress.clients[received[0].client]
                .connection
                .peer_reset()
        {
            // Bytes that a closed client does not read make its kernel reset the connection.
            driver.ingress.clients[received[0].client]
                .connection
                .queue(b" ");
            driver.ingress.clients[received[0].client]
                .connection
                .flush();
        }
        let message = received.pop().unwrap();
        let event = driver.admit(message, false, now);
        drop(client);
        event
    };
    assert!(
        send_message(true).is_none(),
        "a message whose client has left is not accepted"
    );
    assert!(
        send_message(false).is_some(),
        "the message is accepted, because the first try was not"
    );
    assert!(
        send_message(false).is_none(),
        "the message is a duplicate of the accepted one"
    );
    let (_, recovered) = WriteAheadLog::open(&folder_path(&folder_name("left")), 9);
    assert!(
        recovered.recently_closed.is_empty()
            && recovered
                .open_messages
                .values()
                .any(|record| &*record.id == "b"),
        "the next process recovers the message as open"
    );
}

/// Guards against a message that is revoked although its client has read the 202: a reset after the answer does not
/// show that the client has not read it.
#[test]
fn a_message_is_accepted_if_its_client_reads_the_202_and_resets_the_connection_at_once() {
    use std::io::{Read, Write};
    let silent_endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    for round in 0..50 {
        let name = format!("read-and-reset-{round}");
        let (mut driver, clock, _events) =
            resumed_driver(&name, silent_endpoint.local_addr().unwrap());
        let mut client = std::net::TcpStream::connect(driver.listen_address()).unwrap();
        client.write_all(REQUEST).unwrap();
        client.shutdown(std::net::Shutdown::Write).unwrap();
        let reader = std::thread::spawn(move || {
            socket2::SockRef::from(&client)
                .set_linger(Some(std::time::Duration::ZERO))
                .unwrap();
            let mut answer = Vec::new();
            let mut byte = [0];
            while !answer.ends_with(b"\r\n\r\n")
                && client.read(&mut byte).is_ok_and(|count| count == 1)
            {
                answer.push(byte[0]);
            }
            answer.starts_with(b"HTTP/1.1 202")
        });
        let (now, mut received) = (clock.now(), Vec::new());
        repeat_until(|| {
            driver.ingress.accept(now, &mut driver.store.counters);
            driver
                .ingress
                .on_ready(0, now, &mut received, &mut driver.store.counters);
            !received.is_empty()
        });
        let accepted = driver.admit(received.remove(0), false, now).is_some();
        assert_eq!(reader.join().unwrap(), accepted);
    }
}

pub(super) const REQUEST: &[u8] = b"POST /debit HTTP/1.1\r\nX-Request-ID: q\r\nX-Timeout: 9\r\nX-Route-To: dest=7\r\nContent-Length: 0\r\n\r\n";

/// Connects a client that the driver serves once and that is idle afterwards.
pub(super) fn idle_client(driver: &mut Driver) -> std::net::TcpStream {
    use std::io::{Read, Write};
    let mut client = std::net::TcpStream::connect(driver.listen_address()).unwrap();
    client.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
    client.set_nonblocking(true).unwrap();
    repeat_until(|| {
        driver.round(vec![EventSource::ClientListener, EventSource::Client(0)]);
        client.read(&mut [0; 256]).is_ok()
    });
    // Runs rounds until nothing is left to read from the client.
    repeat_until(|| {
        driver.round(Vec::new());
        driver.unfinished_sources.is_empty()
    });
    client
}

/// Reads everything that a client receives until its connection ends.
fn read_to_end(client: &mut std::net::TcpStream) -> std::io::Result<String> {
    use std::io::Read;
    client.set_nonblocking(false)?;
    client.set_read_timeout(Some(std::time::Duration::from_secs(20)))?;
    let mut text = String::new();
    client.read_to_string(&mut text).map(|_| text)
}

#[rstest::rstest]
#[case::at_its_eviction("evicted")]
#[case::at_the_idle_timeout("idle-timeout")]
#[case::when_the_sender_stops_accepting("not-accepting")]
#[case::when_the_sender_exits("exit")]
fn a_request_that_arrives_just_before_its_connection_is_closed_is_answered(#[case] moment: &str) {
    use std::io::Write;
    // When the connection is to be closed, the request has arrived, but the event loop has not reported it yet.
    let (mut driver, clock, _events) = resumed_driver(
        &format!("closing-{moment}"),
        "127.77.0.1:9".parse().unwrap(),
    );
    let mut client = idle_client(&mut driver);
    client.write_all(REQUEST).unwrap();
    match moment {
        "evicted" => driver.ingress.evict(clock.now(), false),
        "idle-timeout" => {
            clock.set(clock.now() + driver.ingress.limits.timeouts.idle_ms + 300.0);
            driver.round(Vec::new());
        }
        "not-accepting" => {
            driver.begin_shutdown();
            clock.set(clock.now() + ACCEPT_UNTIL + 1.0);
            driver.round(Vec::new());
        }
        _ => {
            // A part of a second request arrives, and the rest does not arrive in time.
            driver.round(vec![EventSource::Client(0)]);
            driver.begin_shutdown();
            let started = clock.now();
            clock.set(started + ACCEPT_UNTIL - 1.0);
            client.write_all(&REQUEST[..30]).unwrap();
            driver.round(vec![EventSource::Client(0)]);
            driver.ingress.clients[0].phase_started = started + ATTEMPTS_DEADLINE - 1_000.0;
            clock.set(started + ATTEMPTS_DEADLINE + 290.0);
            driver.round(Vec::new());
        }
    }
    if moment == "evicted" || moment == "idle-timeout" {
        // The event loop reports the request now, and the connection is closed later.
        driver.round(vec![EventSource::Client(0)]);
        driver.ingress.close_after_answer(0);
        client
            .write_all(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
            .unwrap();
    }
    driver.round(vec![EventSource::Client(0)]);
    drop(driver);
    let text =
        read_to_end(&mut client).expect("the connection was reset before the answer was read");
    assert!(
        text.starts_with("HTTP/1.1 202") || text.starts_with("HTTP/1.1 503"),
        "{moment}: {text:?}"
    );
    assert_eq!(
        text.contains("HTTP/1.1 503"),
        moment == "not-accepting" || moment == "exit",
        "{text}"
    );
}

/// Like [`REQUEST`], with another id and further header lines.
fn request_with(id: &str, headers: &str) -> Vec<u8> {
    String::from_utf8_lossy(REQUEST)
        .replace(
            "X-Request-ID: q\r\n",
            &format!("X-Request-ID: {id}\r\n{headers}"),
        )
        .into_bytes()
}

/// Reads everything that a client has received so far.
fn read_available(client: &mut std::net::TcpStream) -> String {
    use std::io::Read;
    client.set_nonblocking(true).unwrap();
    let mut bytes = Vec::new();
    let _ = client.read_to_end(&mut bytes);
    String::from_utf8(bytes).unwrap()
}

/// After a request with `Connection: close`, nothing more is read from the client. Closing the connection resets it, so
/// that the client knows that it may send a later request again.
#[test]
fn a_request_after_one_with_connection_close_is_not_accepted() {
    use std::io::Write;
    let (mut driver, clock, _events) =
        resumed_driver("after-close", "127.77.0.1:9".parse().unwrap());
    let mut client = idle_client(&mut driver);
    client
        .write_all(&request_with("q", "Connection: close\r\n"))
        .unwrap();
    repeat_until(|| {
        driver.round(vec![EventSource::Client(0)]);
        driver.store.counters.accepted == 1
    });
    client.write_all(&request_with("r", "")).unwrap();
    (0..50).for_each(|_| _ = driver.round(vec![EventSource::Client(0)]));
    assert_eq!(driver.store.counters.accepted, 1);
    let text = read_available(&mut client);
    assert!(
        text.starts_with("HTTP/1.1 202") && text.contains("Connection: close"),
        "{text}"
    );
    assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
    assert!(
        matches!(client.take_error(), Ok(None)),
        "the connection is not reset yet"
    );
    clock.set(clock.now() + 1_000.0);
    driver.round(Vec::new());
    repeat_until(|| !matches!(client.take_error(), Ok(None)));
    assert_eq!(driver.violations.total(), 0);
}

#[test]
fn during_a_shutdown_requests_after_an_answer_with_connection_close_are_answered() {
    use std::io::Write;
    let (mut driver, clock, _events) =
        resumed_driver("shutdown-busy", "127.77.0.1:9".parse().unwrap());
    let mut client = idle_client(&mut driver);
    driver.begin_shutdown();
    for (id, after_accepting, status) in
        [("q", false, "202"), ("r", false, "202"), ("s", true, "503")]
    {
        if after_accepting {
            clock.set(clock.now() + ACCEPT_UNTIL + 1.0);
        }
        client.write_all(&request_with(id, "")).unwrap();
        let mut text = String::new();
        repeat_until(|| {
            driver.round(vec![EventSource::Client(0)]);
            text += &read_available(&mut client);
            !text.is_empty()
        });
        assert!(text.starts_with(&format!("HTTP/1.1 {status}")), "{text}");
        assert!(text.contains("Connection: close"), "{text}");
    }
    assert_eq!(driver.store.counters.accepted, 2);
    assert_eq!(driver.violations.total(), 0);
}

#[test]
fn a_last_answer_that_the_socket_delays_is_written_completely_before_the_stream_ends() {
    use std::io::Write;
    let (mut driver, _clock, _events) =
        resumed_driver("late-write", "127.77.0.1:9".parse().unwrap());
    let mut client = idle_client(&mut driver);
    client
        .write_all(&request_with("q", "Connection: close\r\n"))
        .unwrap();
    // Queued bytes are not written for now.
    driver.ingress.clients[0].connection.corked = true;
    repeat_until(|| {
        driver.round(vec![EventSource::Client(0)]);
        driver.store.counters.accepted == 1
    });
    let ended_early = matches!(client.peek(&mut [0]), Ok(0));
    assert!(
        !ended_early,
        "the sender must not end the stream before the answer is written"
    );
    driver.ingress.clients[0].connection.corked = false;
    driver.round(vec![EventSource::Client(0)]);
    let text = read_to_end(&mut client).unwrap();
    assert!(
        text.starts_with("HTTP/1.1 202") && text.ends_with("\r\n\r\n"),
        "{text:?}"
    );
    assert_eq!(driver.violations.total(), 0);
}
