//! Knowledge that the senders of a group share: snapshots at the start, knowledge that is kept over a restart, and
//! peers that answer incorrectly or not at all. Real processes on loopback.

mod support;
use support::*;

use std::io::{Read, Write};
use std::time::Duration;

use martenlatch_peers::latency_sketch::LatencySketch;
use martenlatch_peers::partner_knowledge::{Digest, ReportedOutage};
use martenlatch_peers::wire::Page;

#[test]
fn a_backoff_requested_of_one_sender_is_observed_by_a_joining_sender_that_learns_of_it() {
    // The endpoint requests a backoff of one minute from the first sender. The sender that joins must observe it, too.
    let (endpoint, known_endpoints) =
        endpoint_and_list(|_, _| reply(429, "X-Backoff-Ms: 60000\r\n"));
    let platform = Platform::new(&[]);
    let group = SenderGroup::new("backoff", 2);
    let first = group.start(0, &platform, &known_endpoints, "");
    assert_eq!(first.submit("meter", "a", "1.0"), 202);
    endpoint.next_request();
    assert!(platform.next_status_report().contains("\"a\""));
    let joining = group.start(1, &platform, &known_endpoints, "");
    assert_eq!(joining.submit("meter", "b", "1.0"), 202);
    assert!(platform.next_status_report().contains("\"b\""));
    let log = joining.terminate().output;
    assert!(
        log_line(&log, "learned from peers").contains("partners=1"),
        "{log}"
    );
    assert!(
        log_line(&log, " counters held=").contains(" success=0 "),
        "{log}"
    );
    assert_eq!(endpoint.count_new_requests(), 0);
}

#[test]
fn without_reachable_peers_a_sender_starts_without_knowledge_before_the_learning_timeout() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let group = SenderGroup::new("alone", 3);
    let sender = group.start(0, &platform, &known_endpoints, "learn_ms: 10000");
    assert_eq!(sender.submit("meter", "a", "5.0"), 202);
    endpoint.next_request();
    let log = sender.terminate().output;
    let took_ms = number_after(&log_line(&log, "learned from peers"), "took_ms=");
    assert!(
        took_ms < 9_000,
        "it waited {took_ms} ms although no peer is reachable"
    );
}

#[test]
fn a_snapshot_is_requested_from_later_seeds_if_the_first_ones_are_unreachable() {
    let (_endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    for reachable in [1, 3, 6] {
        let platform = Platform::new(&[]);
        let group = SenderGroup::new("seeds", 7);
        scripted_peer(group.addresses[reachable], |query, stream| {
            stream
                .write_all(&seal(&Page::Digests {
                    request_id: query,
                    index: 0,
                    digests: vec![digest(7)],
                }))
                .unwrap();
            stream
                .write_all(&seal(&Page::End {
                    request_id: query,
                    page_count: 1,
                }))
                .unwrap();
        });
        let sender = group.start(0, &platform, &known_endpoints, "");
        let log = sender.terminate().output;
        assert!(
            log_line(&log, "learned from peers").contains("partners=1"),
            "seed {reachable}: {log}"
        );
    }
}

#[test]
fn the_complete_pages_of_an_incomplete_snapshot_are_used() {
    let (_endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let group = SenderGroup::new("partial", 2);
    scripted_peer(group.addresses[1], |query, stream| {
        let complete = seal(&Page::Digests {
            request_id: query,
            index: 0,
            digests: vec![digest(7), digest(8)],
        });
        let half = seal(&Page::Digests {
            request_id: query,
            index: 1,
            digests: vec![digest(9)],
        });
        stream.write_all(&complete).unwrap();
        stream.write_all(&half[..half.len() / 2]).unwrap();
    });
    let sender = group.start(0, &platform, &known_endpoints, "");
    let log = sender.terminate().output;
    assert!(
        log_line(&log, "seed query failed").contains("closed"),
        "{log}"
    );
    assert!(
        log_line(&log, "learned from peers").contains("partners=2"),
        "{log}"
    );
}

#[test]
fn a_corrupt_or_oversized_page_or_one_of_another_version_is_rejected_and_the_sender_serves() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    for (test, corrupt) in [
        (
            "corrupt",
            (|bytes: &mut Vec<u8>| bytes[9] ^= 1) as fn(&mut Vec<u8>),
        ),
        ("large", |bytes| bytes[3] = 0xff),
        ("version", |bytes| bytes[0] = 9),
    ] {
        let platform = Platform::new(&[]);
        let group = SenderGroup::new(test, 2);
        scripted_peer(group.addresses[1], move |query, stream| {
            let reported = Digest {
                retry_after: 60_000.0,
                outage: Some(ReportedOutage::Rejecting),
                ..digest(7)
            };
            let mut bytes = seal(&Page::Digests {
                request_id: query,
                index: 0,
                digests: vec![reported],
            });
            corrupt(&mut bytes);
            let _ = stream.write_all(&bytes);
            // The peer keeps the connection open and sends nothing more.
            let _ = stream.read(&mut [0; 1]);
        });
        let sender = group.start(0, &platform, &known_endpoints, "");
        assert_eq!(sender.submit("meter", test, "5.0"), 202);
        assert_eq!(endpoint.next_request().id(), test);
        let log = sender.terminate().output;
        assert!(
            log_line(&log, "learned from peers").contains("partners=0"),
            "{test}: {log}"
        );
    }
}

#[test]
fn a_snapshot_that_is_not_complete_in_time_is_aborted_and_the_sender_serves() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let group = SenderGroup::new("slow", 2);
    scripted_peer(group.addresses[1], |query, stream| {
        for number in 0..100_000 {
            let page = seal(&Page::Digests {
                request_id: query,
                index: number,
                digests: vec![digest(u64::from(number))],
            });
            if stream.write_all(&page).is_err() {
                return;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    });
    let sender = group.start(0, &platform, &known_endpoints, "learn_ms: 300");
    assert_eq!(sender.submit("meter", "a", "5.0"), 202);
    endpoint.next_request();
    let log = sender.terminate().output;
    assert!(log_line(&log, "seed query failed").contains("not complete in time"));
}

#[test]
fn a_snapshot_of_ten_thousand_destinations_stays_within_memory_and_time() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let group = SenderGroup::new("many", 2);
    scripted_peer(group.addresses[1], |query, stream| {
        let large_sketch =
            LatencySketch::from_latencies((0..40).map(|power| 100.0 * 1.05f64.powi(power)));
        let all: Vec<Digest> = (0..10_000)
            .map(|destination| Digest {
                latency: large_sketch.clone(),
                ..digest(destination)
            })
            .collect();
        let mut pages = 0;
        for part in all.chunks(32) {
            stream
                .write_all(&seal(&Page::Digests {
                    request_id: query,
                    index: pages,
                    digests: part.to_vec(),
                }))
                .unwrap();
            pages += 1;
        }
        stream
            .write_all(&seal(&Page::End {
                request_id: query,
                page_count: pages,
            }))
            .unwrap();
        let _ = stream.read(&mut [0; 1]);
    });
    let sender = group.start(0, &platform, &known_endpoints, "learn_ms: 10000");
    assert_eq!(sender.submit("meter", "a", "5.0"), 202);
    endpoint.next_request();
    let kb = sender.memory_kb();
    assert!(kb < 32 * 1024, "{kb} KiB");
    let log = sender.terminate().output;
    assert!(
        log_line(&log, "learned from peers").contains("partners=10000"),
        "{log}"
    );
}

#[test]
fn a_sender_serves_if_its_peer_snapshot_can_be_neither_read_nor_written() {
    let (endpoint, known_endpoints) = endpoint_and_list(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let group = SenderGroup::new("nosave", 1);
    let sender = group.start(0, &platform, &known_endpoints, "keep: true");
    // Folders in the place of both files make them neither readable nor writable.
    let sender = sender.restart_with_state(|state| {
        std::fs::remove_file(state.join("peers")).unwrap();
        std::fs::create_dir(state.join("peers")).unwrap();
        std::fs::create_dir(state.join("peers.new")).unwrap();
    });
    assert_eq!(sender.submit("meter", "a", "5.0"), 202);
    endpoint.next_request();
    let log = sender.terminate().output;
    assert!(
        log.contains("peer snapshot ignored") && log.contains("peer snapshot not saved"),
        "{log}"
    );
}

#[test]
fn a_restarted_sender_restores_its_knowledge_except_backoffs() {
    let (endpoint, known_endpoints) = endpoint_and_list(|number, _| {
        if number == 0 {
            reply(429, "X-Backoff-Ms: 9000\r\n")
        } else {
            reply(200, "")
        }
    });
    let platform = Platform::new(&[]);
    let group = SenderGroup::new("kept", 1);
    let sender = group.start(0, &platform, &known_endpoints, "keep: true");
    assert_eq!(sender.submit("meter", "a", "0.5"), 202);
    endpoint.next_request();
    platform.next_status_report();
    // The knowledge is also saved at the shutdown.
    let sender = sender.terminate_and_restart();
    assert_eq!(sender.submit("meter", "b", "5.0"), 202);
    assert_eq!(
        endpoint.next_request().id(),
        "b",
        "a backoff does not outlast a restart"
    );
    let log = sender.terminate().output;
    let started = log_line(&log, "peers started");
    assert!(
        started.contains("restored=1") && started.contains("incarnation=2"),
        "{started}"
    );
}
