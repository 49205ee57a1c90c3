//! Clients: eviction, and requests that cross the end of their connection.

use super::*;

#[test]
fn silent_clients_are_evicted_before_usual_ones_and_closed_within_their_time() {
    use std::io::{Read, Write};
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("crowd", silent.local_addr().unwrap());
    let address = driver.listen_address();
    let connect = || std::net::TcpStream::connect(address).unwrap();
    let open = |s: &mut std::net::TcpStream| {
        s.set_nonblocking(true).unwrap();
        s.read(&mut [0; 4096])
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    };
    let mut usual = connect();
    usual.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
    while driver
        .ingress
        .clients
        .iter()
        .all(|(_, c)| !c.has_sent_request)
    {
        driver.round(vec![EventSource::ClientListener, EventSource::Client(0)]);
    }
    assert!(usual.read(&mut [0; 4096]).unwrap() > 0);
    let mut crowd: Vec<_> = (1..driver.ingress.limits.max_clients)
        .map(|_| connect())
        .collect();
    while driver.ingress.clients.len() < driver.ingress.limits.max_clients {
        driver.round(vec![EventSource::ClientListener]);
    }
    clock.set(clock.now() + NEWCOMER_GRACE + 1.0);
    let late = connect();
    while driver.store.counters.client_connections <= driver.ingress.limits.max_clients as u64 {
        driver.round(vec![EventSource::ClientListener]);
    }
    assert!(
        open(&mut usual) && !open(&mut crowd[0]) && open(&mut crowd[1]),
        "the oldest silent client is evicted"
    );
    clock.set(START + driver.ingress.limits.timeouts.request_ms + 1.0);
    driver.round(Vec::new());
    assert!(
        open(&mut usual) && crowd.iter_mut().all(|c| !open(c)),
        "a request may take 3 s"
    );
    assert_eq!(
        driver.ingress.clients.len(),
        2,
        "and the one that connected late"
    );
    drop(late);
}

#[test]
fn a_client_that_left_before_its_202_may_send_the_same_message_again() {
    use std::io::Write;
    // A client that got no answer sends its request again on a new connection. If that were answered 202 as a
    // duplicate, nobody would deliver the message.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut driver, clock, _events) = resumed("left", silent.local_addr().unwrap());
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
            (0..9).for_each(|at| {
                driver
                    .ingress
                    .on_ready(at, now, &mut received, &mut driver.store.counters);
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
    assert!(send_message(true).is_none(), "it got no answer");
    assert!(send_message(false).is_some(), "it is not held");
    assert!(send_message(false).is_none(), "now it is held");
    let (_, past) = WriteAheadLog::open(&folder_path(&folder_name("left")), 9);
    assert!(
        past.recently_closed.is_empty() && past.open_messages.values().any(|t| &*t.id == "b"),
        "and recovered by the next process"
    );
}

/// Guards against a message that is revoked although its client has read the 202: a reset behind the answer does not say
/// that it was not read.
#[test]
fn a_message_whose_client_has_read_the_202_is_held_though_it_resets_at_once() {
    use std::io::{Read, Write};
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    for round in 0..50 {
        let name = format!("read-and-reset-{round}");
        let (mut driver, clock, _events) = resumed(&name, silent.local_addr().unwrap());
        let mut client = std::net::TcpStream::connect(driver.listen_address()).unwrap();
        client.write_all(REQUEST).unwrap();
        client.shutdown(std::net::Shutdown::Write).unwrap();
        let reader = std::thread::spawn(move || {
            socket2::SockRef::from(&client)
                .set_linger(Some(std::time::Duration::ZERO))
                .unwrap();
            let mut answer = Vec::new();
            let mut byte = [0];
            while !answer.ends_with(b"\r\n\r\n") && client.read(&mut byte).is_ok_and(|n| n == 1) {
                answer.push(byte[0]);
            }
            answer.starts_with(b"HTTP/1.1 202")
        });
        let (now, mut received) = (clock.now(), Vec::new());
        until(|| {
            driver.ingress.accept(now, &mut driver.store.counters);
            driver
                .ingress
                .on_ready(0, now, &mut received, &mut driver.store.counters);
            !received.is_empty()
        });
        let held = driver.admit(received.remove(0), false, now).is_some();
        assert_eq!(reader.join().unwrap(), held);
    }
}

pub(super) const REQUEST: &[u8] = b"POST /debit HTTP/1.1\r\nX-Request-ID: q\r\nX-Timeout: 9\r\nX-Route-To: dest=7\r\nContent-Length: 0\r\n\r\n";

/// A client that has been served once and is idle.
pub(super) fn idle_client(driver: &mut Driver) -> std::net::TcpStream {
    use std::io::{Read, Write};
    let mut client = std::net::TcpStream::connect(driver.listen_address()).unwrap();
    client.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
    client.set_nonblocking(true).unwrap();
    until(|| {
        driver.round(vec![EventSource::ClientListener, EventSource::Client(0)]);
        client.read(&mut [0; 256]).is_ok()
    });
    // Nothing is left to read from it.
    until(|| {
        driver.round(Vec::new());
        driver.unfinished_sources.is_empty()
    });
    client
}

/// What a client reads until its connection ends.
fn read_to_end(client: &mut std::net::TcpStream) -> std::io::Result<String> {
    use std::io::Read;
    client.set_nonblocking(false)?;
    client.set_read_timeout(Some(std::time::Duration::from_secs(20)))?;
    let mut text = String::new();
    client.read_to_string(&mut text).map(|_| text)
}

#[rstest::rstest]
#[case::as_it_is_evicted("evicted")]
#[case::as_it_has_been_idle_too_long("swept")]
#[case::as_the_sender_stops("stopped")]
#[case::as_the_sender_exits("gone")]
fn a_request_that_arrives_as_its_connection_is_to_end_is_answered(#[case] moment: &str) {
    use std::io::Write;
    // The request has arrived, and the event loop has not reported it yet.
    let (mut driver, clock, _events) = resumed(
        &format!("crossing-{moment}"),
        "127.77.0.1:9".parse().unwrap(),
    );
    let mut client = idle_client(&mut driver);
    client.write_all(REQUEST).unwrap();
    match moment {
        "evicted" => driver.ingress.evict(clock.now(), false),
        "swept" => {
            clock.set(clock.now() + driver.ingress.limits.timeouts.idle_ms + 300.0);
            driver.round(Vec::new());
        }
        "stopped" => {
            driver.begin_shutdown();
            clock.set(clock.now() + ACCEPT_UNTIL + 1.0);
            driver.round(Vec::new());
        }
        _ => {
            // Half of a second request arrives, and the rest does not arrive in time.
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
    if moment == "evicted" || moment == "swept" {
        // The event loop reports the request now, and later the connection ends.
        driver.round(vec![EventSource::Client(0)]);
        driver.ingress.close_after_answer(0);
        client
            .write_all(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
            .unwrap();
    }
    driver.round(vec![EventSource::Client(0)]);
    drop(driver);
    let text = read_to_end(&mut client).expect("reset");
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

/// Like [`REQUEST`], with another id and further header lines.
fn request_with(id: &str, headers: &str) -> Vec<u8> {
    String::from_utf8_lossy(REQUEST)
        .replace(
            "X-Request-ID: q\r\n",
            &format!("X-Request-ID: {id}\r\n{headers}"),
        )
        .into_bytes()
}

/// What has come for a client so far.
fn read_available(client: &mut std::net::TcpStream) -> String {
    use std::io::Read;
    client.set_nonblocking(true).unwrap();
    let mut bytes = Vec::new();
    let _ = client.read_to_end(&mut bytes);
    String::from_utf8(bytes).unwrap()
}

#[test]
fn a_request_behind_the_last_answer_of_its_connection_is_not_accepted() {
    use std::io::Write;
    // The client asked for the end of its connection: what it sends behind that is not read, and closing the
    // connection resets it, so that the client knows that it may send the request again.
    let (mut driver, clock, _events) = resumed("behind", "127.77.0.1:9".parse().unwrap());
    let mut client = idle_client(&mut driver);
    client
        .write_all(&request_with("q", "Connection: close\r\n"))
        .unwrap();
    until(|| {
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
    assert!(matches!(client.take_error(), Ok(None)), "not reset yet");
    clock.set(clock.now() + 1_000.0);
    driver.round(Vec::new());
    until(|| !matches!(client.take_error(), Ok(None)));
    assert_eq!(driver.violations.total(), 0);
}

#[test]
fn requests_behind_the_answers_of_a_shutdown_are_answered() {
    use std::io::Write;
    let (mut driver, clock, _events) = resumed("shutdown-busy", "127.77.0.1:9".parse().unwrap());
    let mut client = idle_client(&mut driver);
    driver.begin_shutdown();
    for (id, stopped, status) in [("q", false, "202"), ("r", false, "202"), ("s", true, "503")] {
        if stopped {
            clock.set(clock.now() + ACCEPT_UNTIL + 1.0);
        }
        client.write_all(&request_with(id, "")).unwrap();
        let mut text = String::new();
        until(|| {
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
fn a_last_answer_that_the_socket_takes_late_is_written_whole_before_the_end_of_the_stream() {
    use std::io::Write;
    let (mut driver, _clock, _events) = resumed("late-write", "127.77.0.1:9".parse().unwrap());
    let mut client = idle_client(&mut driver);
    client
        .write_all(&request_with("q", "Connection: close\r\n"))
        .unwrap();
    // The socket takes nothing for now.
    driver.ingress.clients[0].connection.corked = true;
    until(|| {
        driver.round(vec![EventSource::Client(0)]);
        driver.store.counters.accepted == 1
    });
    let closed_early = matches!(client.peek(&mut [0]), Ok(0));
    assert!(
        !closed_early,
        "the sending side is open until the answer is written"
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
