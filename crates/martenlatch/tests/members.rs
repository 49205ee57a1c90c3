//! Membership of a group of senders, and peers that do not belong to the group. Real processes on loopback.

mod support;
use support::*;

use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};

use martenlatch_peers::wire::{Page, Secret};

#[test]
fn members_that_join_die_leave_and_return_are_listed_in_that_state() {
    let (_endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let group = SenderGroup::new("members", 4);
    let first = group.start(0, &platform, &known_endpoints, "");
    let mut others: Vec<Sender> = (1..4)
        .map(|number| group.start(number, &platform, &known_endpoints, ""))
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
    // A sender that restarts under its old name has a higher incarnation and is a member again.
    let restarted = others.remove(0).kill_and_restart();
    group.wait_until_listed(0, "n1", "alive");
    drop((first, restarted));
    let list = group.members(0);
    assert!(
        !list.succeeded && list.output.contains("the sender does not respond"),
        "{}",
        list.output
    );
}

#[test]
fn unauthenticated_datagrams_and_idle_connections_are_dropped_and_counted_and_clients_are_served() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let group = SenderGroup::new("flood", 1);
    let sender = group.start(0, &platform, &known_endpoints, "");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut connections = Vec::new();
    for number in 0..20_000u32 {
        let _ = socket.send_to(&number.to_le_bytes().repeat(50), group.addresses[0]);
        if number % 500 == 0 {
            connections.push(TcpStream::connect(group.addresses[0]).unwrap());
            assert_eq!(sender.submit("meter", &format!("m{number}"), "8.0"), 202);
            endpoint.next_request();
        }
    }
    let log = sender.terminate().output;
    let counters = log_line(&log, "counters of peers");
    let dropped = number_after(&counters, "other_version=")
        + number_after(&counters, "malformed=")
        + number_after(&counters, "not_authenticated=");
    assert!(dropped > 1_000, "{counters}");
    assert!(
        number_after(&counters, "connections_rejected=") > 0,
        "{counters}"
    );
    assert!(counters.contains("members=1 "), "{counters}");
}

#[test]
fn a_query_with_another_secret_gets_no_response_and_a_short_secret_is_rejected() {
    let (_endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let group = SenderGroup::new("secret", 1);
    let _sender = group.start(0, &platform, &known_endpoints, "");
    let mut stream = TcpStream::connect(group.addresses[0]).unwrap();
    let other_secret = Secret::new(b"the secret of another group");
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
