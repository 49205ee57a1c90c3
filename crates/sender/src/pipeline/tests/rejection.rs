//! Rejected requests: how they are counted, what the client reads, and when it may try again.

use super::*;

#[test]
fn clients_rejected_together_receive_different_retry_after_times() {
    use std::io::{Read, Write};
    // Messages for a destination that is not listed yet are rejected together.
    let (mut driver, clock, _events) = resumed_driver("spread", "127.77.0.1:9".parse().unwrap());
    let address = driver.listen_address();
    let request = "POST /debit HTTP/1.1\r\nX-Request-ID: c\r\nX-Timeout: 9\r\nX-Route-To: dest=8\r\nContent-Length: 0\r\n\r\n";
    let mut clients: Vec<_> = (0..12)
        .map(|_| std::net::TcpStream::connect(address).unwrap())
        .collect();
    clients
        .iter_mut()
        .for_each(|client| client.write_all(request.as_bytes()).unwrap());
    while driver.store.counters.rejected < 12 {
        driver.round(
            [EventSource::ClientListener]
                .into_iter()
                .chain((0..20).map(EventSource::Client))
                .collect(),
        );
    }
    let read_retry_after = |client: &mut std::net::TcpStream| {
        let mut text = [0; 200];
        let count = client.read(&mut text).unwrap();
        let text = String::from_utf8_lossy(&text[..count]).into_owned();
        text.split("Retry-After: ")
            .nth(1)
            .and_then(|value| value.lines().next()?.parse::<f64>().ok())
            .unwrap()
    };
    let mut retry_after: Vec<f64> = clients.iter_mut().map(read_retry_after).collect();
    assert!(
        retry_after
            .iter()
            .all(|seconds| (1.0..=1.5).contains(seconds)),
        "{retry_after:?}"
    );
    retry_after.sort_by(f64::total_cmp);
    retry_after.dedup();
    assert!(retry_after.len() > 8, "{retry_after:?}");
    // Senders with different seeds do not repeat their status reports together either, once the platform is back.
    let mut waits: Vec<f64> = Vec::new();
    for seed in 0..12 {
        driver.status_reporter.jitter = Jitter::new(seed);
        waits.push(
            driver
                .status_reporter
                .backoff_after_failures(10, clock.now()),
        );
    }
    assert!(
        waits.iter().all(|wait| (750.0..=1_250.0).contains(wait)),
        "{waits:?}"
    );
    waits.sort_by(f64::total_cmp);
    assert!(waits[11] - waits[0] > 200.0, "{waits:?}");
}

#[test]
fn a_rejected_partial_request_counts_as_deferred_if_its_class_was_read() {
    use std::io::Write;
    let (mut driver, clock, _events) = resumed_driver("cut-off", "127.77.0.1:9".parse().unwrap());
    let address = driver.listen_address();
    let partial_requests = [
        ("POST /debit?x HTTP/1.1\r\nX-", 1),
        ("POST /deb", 1),
        ("POST /other HTTP", 1),
        ("GET /debit H", 2),
    ];
    for (text, deferred) in partial_requests {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(text.as_bytes()).unwrap();
        while driver
            .ingress
            .clients
            .iter()
            .all(|(_, client)| client.connection.bytes().is_empty())
        {
            driver.round(vec![EventSource::ClientListener, EventSource::Client(0)]);
        }
        driver.ingress.evict(clock.now(), false);
        driver.gauges();
        assert_eq!(
            driver
                .store
                .class_metrics
                .get_mut("debit")
                .unwrap()
                .deferred,
            deferred,
            "{text}"
        );
        assert!(driver.ingress.clients.is_empty());
    }
    assert_eq!(driver.store.counters.rejected, 2);
}

/// Guards against messages that end in the round in which they are read, and yet take the capacity of other clients.
#[test]
fn a_flood_of_messages_with_no_time_left_takes_no_capacity_from_other_clients() {
    use std::io::{Read, Write};
    let (mut driver, clock, _events) = resumed_driver("flood", "127.77.0.1:9".parse().unwrap());
    let address = driver.listen_address();
    // The resumed message has been attempted.
    driver.round(vec![]);
    clock.set(START + 100.0);
    driver.round(vec![]);
    let send_message = |id: usize, seconds: f64| {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        let head = "POST /debit HTTP/1.1\r\nX-Route-To: dest=7\r\nContent-Length: 0\r\n";
        client
            .write_all(
                format!("{head}X-Request-ID: f{id}\r\nX-Timeout: {seconds}\r\n\r\n").as_bytes(),
            )
            .unwrap();
        client
    };
    let mut clients: Vec<_> = (0..12).map(|id| send_message(id, 0.001)).collect();
    clients.push(send_message(12, 9.0));
    // All requests are read in one round.
    while driver.ingress.clients.len() < 13 {
        driver
            .ingress
            .accept(clock.now(), &mut driver.store.counters);
    }
    driver.round((0..20).map(EventSource::Client).collect());
    assert_eq!(
        driver.store.counters.accepted + driver.store.counters.rejected,
        13,
        "each message is answered at once"
    );
    assert!(
        driver.store.open_count <= 2,
        "the messages of the flood end in the round in which they are read"
    );
    let mut answer = [0; 12];
    clients[12].read_exact(&mut answer).unwrap();
    assert_eq!(
        &answer, b"HTTP/1.1 202",
        "the client outside the flood is accepted"
    );
}

/// Guards against an answer that the client cannot read: closing a connection while bytes still arrive resets it, which
/// discards the answer.
#[test]
fn a_client_rejected_during_its_request_can_read_the_answer_while_the_rest_arrives() {
    use std::io::{Read, Write};
    let (mut driver, clock, _events) = resumed_driver("rest", "127.77.0.1:9".parse().unwrap());
    let address = driver.listen_address();
    let max_clients = driver.ingress.limits.max_clients;
    let begin_request = |driver: &mut Driver, index: usize| {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(b"POST /debit HTTP/1.1\r\nX-Re").unwrap();
        repeat_until(|| {
            driver.round(vec![
                EventSource::ClientListener,
                EventSource::Client(index),
            ]);
            driver
                .ingress
                .clients
                .get(index)
                .is_some_and(|client| !client.connection.bytes().is_empty())
        });
        clock.set(clock.now() + 0.1);
        client
    };
    let mut clients: Vec<_> = (0..max_clients)
        .map(|index| begin_request(&mut driver, index))
        .collect();
    let _late_client = begin_request(&mut driver, max_clients);
    assert!(
        driver.ingress.clients[0].closing,
        "the client whose request has taken the longest is rejected"
    );
    for part in ["quest-ID: a\r\n", "Content-Length: 0\r\n\r\n"] {
        clients[0].write_all(part.as_bytes()).unwrap();
        driver.round(vec![EventSource::Client(0)]);
    }
    let mut answer = String::new();
    clients[0]
        .set_read_timeout(Some(std::time::Duration::from_secs(20)))
        .unwrap();
    clients[0]
        .read_to_string(&mut answer)
        .expect("the connection was reset before the answer was read");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    // However many clients connect, only a few of those that were rejected may linger.
    for _ in 0..max_clients {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(b"POST /debit HTTP/1.1\r\nX-Re").unwrap();
        clients.push(client);
        let before = driver.store.counters.client_connections;
        repeat_until(|| {
            driver.round(
                std::iter::once(EventSource::ClientListener)
                    .chain((0..3 * max_clients).map(EventSource::Client))
                    .collect(),
            );
            driver.store.counters.client_connections > before
        });
        assert!(driver.ingress.clients.len() <= max_clients + max_clients / 8);
    }
}

#[rstest::rstest]
#[case::a_limit_of_3_s(Some(3_000.0), Some((1.0, 1.5)))]
#[case::a_limit_of_700_ms(Some(700.0), Some((0.525, 0.7)))]
#[case::a_limit_of_zero(Some(0.0), None)]
#[case::clients_follow_no_retry_after(None, None)]
fn the_retry_after_of_a_rejection_is_within_the_limit_of_the_settings(
    #[case] max_retry_after: Option<Millis>,
    #[case] expected_seconds: Option<(f64, f64)>,
) {
    use std::io::{Read, Write};
    let (mut driver, _clock, _events) = resumed_driver(
        &format!("retry-after-{max_retry_after:?}"),
        "127.77.0.1:9".parse().unwrap(),
    );
    driver.ingress.limits.max_retry_after = max_retry_after;
    let address = driver.listen_address();
    let request = "POST /debit HTTP/1.1\r\nX-Request-ID: c\r\nX-Timeout: 9\r\nX-Route-To: dest=8\r\nContent-Length: 0\r\n\r\n";
    for _ in 0..8 {
        let before = driver.store.counters.rejected;
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(request.as_bytes()).unwrap();
        repeat_until(|| {
            driver.round(
                [EventSource::ClientListener]
                    .into_iter()
                    .chain((0..20).map(EventSource::Client))
                    .collect(),
            );
            driver.store.counters.rejected > before
        });
        let mut text = [0; 200];
        let count = client.read(&mut text).unwrap();
        let text = String::from_utf8_lossy(&text[..count]).into_owned();
        let retry_after = text
            .split("Retry-After: ")
            .nth(1)
            .and_then(|value| value.lines().next()?.parse::<f64>().ok());
        assert_eq!(retry_after.is_some(), expected_seconds.is_some(), "{text}");
        assert!(
            retry_after.is_none_or(|seconds| expected_seconds
                .is_some_and(|(shortest, longest)| seconds >= shortest && seconds <= longest)),
            "{text}"
        );
    }
}
