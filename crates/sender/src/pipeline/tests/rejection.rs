//! Rejected requests: what is counted, what the client reads, and when it may come again.

use super::*;

#[test]
fn clients_rejected_together_do_not_return_together() {
    use std::io::{Read, Write};
    // Messages for a destination that is not listed yet are rejected together.
    let (mut driver, clock, _events) = resumed("spread", "127.77.0.1:9".parse().unwrap());
    let address = driver.listen_address();
    let head = "POST /debit HTTP/1.1\r\nX-Request-ID: c\r\nX-Timeout: 9\r\nX-Route-To: dest=8\r\nContent-Length: 0\r\n\r\n";
    let mut crowd: Vec<_> = (0..12)
        .map(|_| std::net::TcpStream::connect(address).unwrap())
        .collect();
    crowd
        .iter_mut()
        .for_each(|client| client.write_all(head.as_bytes()).unwrap());
    while driver.store.counters.rejected < 12 {
        driver.round(
            [EventSource::ClientListener]
                .into_iter()
                .chain((0..20).map(EventSource::Client))
                .collect(),
        );
    }
    let told = |client: &mut std::net::TcpStream| {
        let mut text = [0; 200];
        let count = client.read(&mut text).unwrap();
        let text = String::from_utf8_lossy(&text[..count]).into_owned();
        text.split("Retry-After: ")
            .nth(1)
            .and_then(|t| t.lines().next()?.parse::<f64>().ok())
            .unwrap()
    };
    let mut told: Vec<f64> = crowd.iter_mut().map(told).collect();
    assert!(told.iter().all(|t| (1.0..=1.5).contains(t)), "{told:?}");
    told.sort_by(f64::total_cmp);
    told.dedup();
    assert!(told.len() > 8, "{told:?}");
    // Nor do status reports of senders with other seeds, once the platform is back.
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
        waits.iter().all(|t| (750.0..=1_250.0).contains(t)),
        "{waits:?}"
    );
    waits.sort_by(f64::total_cmp);
    assert!(waits[11] - waits[0] > 200.0, "{waits:?}");
}

#[test]
fn a_rejected_partial_request_counts_as_deferred_where_its_class_could_be_read() {
    use std::io::Write;
    let (mut driver, clock, _events) = resumed("cut-off", "127.77.0.1:9".parse().unwrap());
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
            .all(|(_, c)| c.connection.bytes().is_empty())
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

#[test]
fn a_flood_with_no_time_left_takes_no_capacity_from_usual_clients() {
    use std::io::{Read, Write};
    // Messages that end in the round that brings them must not take the capacity of usual clients.
    let (mut driver, clock, _events) = resumed("flood", "127.77.0.1:9".parse().unwrap());
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
        "each is answered at once"
    );
    assert!(
        driver.store.open_count <= 2,
        "the flood is ended in its round"
    );
    let mut answer = [0; 12];
    clients[12].read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 202", "the usual client is rejected");
}

#[test]
fn a_client_rejected_over_a_partial_request_can_read_the_answer_while_the_rest_arrives() {
    use std::io::{Read, Write};
    // Closing while bytes still arrive resets the connection, which destroys the answer.
    let (mut driver, clock, _events) = resumed("rest", "127.77.0.1:9".parse().unwrap());
    let address = driver.listen_address();
    let most = driver.ingress.limits.max_clients;
    let begin = |driver: &mut Driver, at: usize| {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(b"POST /debit HTTP/1.1\r\nX-Re").unwrap();
        until(|| {
            driver.round(vec![EventSource::ClientListener, EventSource::Client(at)]);
            driver
                .ingress
                .clients
                .get(at)
                .is_some_and(|c| !c.connection.bytes().is_empty())
        });
        clock.set(clock.now() + 0.1);
        client
    };
    let mut crowd: Vec<_> = (0..most).map(|at| begin(&mut driver, at)).collect();
    let _late = begin(&mut driver, most);
    assert!(
        driver.ingress.clients[0].closing,
        "the one that has taken the longest is rejected"
    );
    for part in ["quest-ID: a\r\n", "Content-Length: 0\r\n\r\n"] {
        crowd[0].write_all(part.as_bytes()).unwrap();
        driver.round(vec![EventSource::Client(0)]);
    }
    let mut answer = String::new();
    crowd[0]
        .set_read_timeout(Some(std::time::Duration::from_secs(20)))
        .unwrap();
    crowd[0].read_to_string(&mut answer).expect("reset");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    // However many clients come, few may linger.
    for _ in 0..most {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(b"POST /debit HTTP/1.1\r\nX-Re").unwrap();
        crowd.push(client);
        let before = driver.store.counters.client_connections;
        until(|| {
            driver.round(
                std::iter::once(EventSource::ClientListener)
                    .chain((0..3 * most).map(EventSource::Client))
                    .collect(),
            );
            driver.store.counters.client_connections > before
        });
        assert!(driver.ingress.clients.len() <= most + most / 8);
    }
}

#[rstest::rstest]
#[case::as_long_as_clients_follow(Some(3_000.0), Some((1.0, 1.5)))]
#[case::shorter(Some(700.0), Some((0.525, 0.7)))]
#[case::of_no_length(Some(0.0), None)]
#[case::where_none_may_be_given(None, None)]
fn retry_after_of_a_rejection_is_as_the_settings_allow(
    #[case] max_retry_after: Option<Millis>,
    #[case] told: Option<(f64, f64)>,
) {
    use std::io::{Read, Write};
    let (mut driver, _clock, _events) = resumed(
        &format!("retry-after-{max_retry_after:?}"),
        "127.77.0.1:9".parse().unwrap(),
    );
    driver.ingress.limits.max_retry_after = max_retry_after;
    let address = driver.listen_address();
    let head = "POST /debit HTTP/1.1\r\nX-Request-ID: c\r\nX-Timeout: 9\r\nX-Route-To: dest=8\r\nContent-Length: 0\r\n\r\n";
    for _ in 0..8 {
        let before = driver.store.counters.rejected;
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(head.as_bytes()).unwrap();
        until(|| {
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
        let format_answer = text
            .split("Retry-After: ")
            .nth(1)
            .and_then(|t| t.lines().next()?.parse::<f64>().ok());
        assert_eq!(format_answer.is_some(), told.is_some(), "{text}");
        assert!(
            format_answer.is_none_or(|s| told.is_some_and(|(least, most)| s >= least && s <= most)),
            "{text}"
        );
    }
}
