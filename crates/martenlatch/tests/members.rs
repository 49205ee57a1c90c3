//! Membership of a group of senders, and peers that do not belong to it. Real processes on loopback.

mod support;
use support::*;

use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};

use martenlatch_peers::wire::{Page, Secret};

#[test]
fn members_are_seen_to_join_die_and_leave() {
    let (_endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let group = Group::new("members", 4);
    let first = group.start(0, &platform, &known, "");
    let mut others: Vec<Sender> = (1..4)
        .map(|number| group.start(number, &platform, &known, ""))
        .collect();
    for name in ["n1", "n2", "n3"] {
        group.wait_until_listed(0, name, "alive");
    }
    others.remove(2).kill();
    group.wait_until_listed(0, "n3", "dead");
    let leaving = others.remove(1);
    assert_eq!(leaving.terminate().code, Some(0));
    group.wait_until_listed(0, "n2", "left");
    let list = group.members(0);
    assert!(
        list.succeeded && list.output.lines().next().unwrap().contains("(itself)"),
        "{}",
        list.output
    );
    // A sender that comes back under its name has a higher incarnation, and is a member again.
    let again = others.remove(0).kill_and_restart();
    group.wait_until_listed(0, "n1", "alive");
    drop((first, again));
    let list = group.members(0);
    assert!(
        !list.succeeded && list.output.contains("nobody answers"),
        "{}",
        list.output
    );
}

#[test]
fn unauthenticated_datagrams_and_queries_are_dropped_and_counted_and_starve_nobody() {
    let (endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let group = Group::new("flood", 1);
    let sender = group.start(0, &platform, &known, "");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut connections = Vec::new();
    for number in 0..20_000u32 {
        let _ = socket.send_to(&number.to_le_bytes().repeat(50), group.seeds[0]);
        if number % 500 == 0 {
            connections.push(TcpStream::connect(group.seeds[0]).unwrap());
            assert_eq!(sender.submit("meter", &format!("m{number}"), "8.0"), 202);
            endpoint.next_request();
        }
    }
    let log = sender.terminate().output;
    let counters = log_line(&log, "counters of peers");
    let dropped = number_in(&counters, "other_version=")
        + number_in(&counters, "malformed=")
        + number_in(&counters, "not_authenticated=");
    assert!(dropped > 1_000, "{counters}");
    assert!(
        number_in(&counters, "connections_rejected=") > 0,
        "{counters}"
    );
    assert!(counters.contains("members=1 "), "{counters}");
}

#[test]
fn a_query_with_another_secret_gets_no_response() {
    let (_endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let group = Group::new("secret", 1);
    let _sender = group.start(0, &platform, &known, "");
    let mut stream = TcpStream::connect(group.seeds[0]).unwrap();
    let other_secret = Secret::new(b"another secret altogether");
    stream
        .write_all(&other_secret.seal_page(&Page::MembersRequest { request_id: 1 }))
        .unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    assert!(response.is_empty());
    std::fs::write(group.folder.join("secret"), "short").unwrap();
    let list = group.members(0);
    assert!(
        !list.succeeded && list.output.contains("at least 16 bytes"),
        "{}",
        list.output
    );
}
