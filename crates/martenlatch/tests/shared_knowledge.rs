//! What senders of a group learn from one another: snapshots at the start, knowledge retained over a restart, and peers
//! that answer badly or not at all. Real processes on loopback.

mod support;
use support::*;

use std::io::{Read, Write};
use std::time::Duration;

use martenlatch_peers::latency_sketch::LatencySketch;
use martenlatch_peers::partner_knowledge::{Digest, ReportedOutage};
use martenlatch_peers::wire::Page;

#[test]
fn a_backoff_asked_of_one_sender_binds_a_newcomer_that_learned_of_it_by_gossip() {
    // The endpoint asks the first sender for a minute's backoff. Within it, the newcomer must not send its message.
    let (endpoint, known) = one_endpoint(|_, _| reply(429, "X-Backoff-Ms: 60000\r\n"));
    let platform = Platform::new(&[]);
    let group = Group::new("wait", 2);
    let first = group.start(0, &platform, &known, "");
    assert_eq!(first.submit("meter", "a", "1.0"), 202);
    endpoint.next_request();
    assert!(platform.next_status_report().contains("\"a\""));
    let newcomer = group.start(1, &platform, &known, "");
    assert_eq!(newcomer.submit("meter", "b", "1.0"), 202);
    assert!(platform.next_status_report().contains("\"b\""));
    let log = newcomer.terminate().output;
    assert!(
        log_line(&log, "learned from peers").contains("partners=1"),
        "{log}"
    );
    assert!(
        log_line(&log, " counters held=").contains(" success=0 "),
        "{log}"
    );
    assert_eq!(endpoint.request_count(), 0);
}

#[test]
fn without_peers_a_newcomer_starts_at_once_without_knowledge() {
    let (endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let group = Group::new("alone", 3);
    let sender = group.start(0, &platform, &known, "learn_ms: 10000");
    assert_eq!(sender.submit("meter", "a", "5.0"), 202);
    endpoint.next_request();
    let log = sender.terminate().output;
    let took_ms = number_in(&log_line(&log, "learned from peers"), "took_ms=");
    assert!(took_ms < 9_000, "it waited for nobody: {took_ms} ms");
}

#[test]
fn if_the_first_seeds_are_gone_the_next_are_asked() {
    let (_endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    for alive in [1, 3, 6] {
        let platform = Platform::new(&[]);
        let group = Group::new("gone", 7);
        scripted_peer(group.seeds[alive], |query, stream| {
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
        let sender = group.start(0, &platform, &known, "");
        let log = sender.terminate().output;
        assert!(
            log_line(&log, "learned from peers").contains("partners=1"),
            "{alive}: {log}"
        );
    }
}

#[test]
fn the_complete_pages_of_a_snapshot_that_breaks_off_are_used() {
    let (_endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let group = Group::new("cut", 2);
    scripted_peer(group.seeds[1], |query, stream| {
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
    let sender = group.start(0, &platform, &known, "");
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
fn a_corrupt_oversized_or_unknown_page_is_rejected_and_the_sender_serves() {
    let (endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    for (test, corrupt) in [
        (
            "corrupt",
            (|bytes: &mut Vec<u8>| bytes[9] ^= 1) as fn(&mut Vec<u8>),
        ),
        ("large", |bytes| bytes[3] = 0xff),
        ("version", |bytes| bytes[0] = 9),
    ] {
        let platform = Platform::new(&[]);
        let group = Group::new(test, 2);
        scripted_peer(group.seeds[1], move |query, stream| {
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
            // It keeps the connection open, and sends no more.
            let _ = stream.read(&mut [0; 1]);
        });
        let sender = group.start(0, &platform, &known, "");
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
fn an_endless_snapshot_is_bounded_in_time() {
    let (endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let group = Group::new("slow", 2);
    scripted_peer(group.seeds[1], |query, stream| {
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
    let sender = group.start(0, &platform, &known, "learn_ms: 300");
    assert_eq!(sender.submit("meter", "a", "5.0"), 202);
    endpoint.next_request();
    let log = sender.terminate().output;
    assert!(log_line(&log, "seed query failed").contains("not complete in time"));
}

#[test]
fn a_snapshot_of_ten_thousand_destinations_stays_within_memory_and_time() {
    let (endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let group = Group::new("many", 2);
    scripted_peer(group.seeds[1], |query, stream| {
        let wide = LatencySketch::from_latencies((0..40).map(|power| 100.0 * 1.05f64.powi(power)));
        let all: Vec<Digest> = (0..10_000)
            .map(|destination| Digest {
                latency: wide.clone(),
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
    let sender = group.start(0, &platform, &known, "learn_ms: 10000");
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
fn an_unwritable_state_folder_stops_no_sender() {
    let (endpoint, known) = one_endpoint(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let group = Group::new("stuck", 1);
    let sender = group.start(0, &platform, &known, "keep: true");
    // Folders in the places of both files stand for a disk that neither gives nor takes them.
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
fn retained_knowledge_serves_the_restarted_sender_without_its_backoffs() {
    let (endpoint, known) = one_endpoint(|number, _| {
        if number == 0 {
            reply(429, "X-Backoff-Ms: 9000\r\n")
        } else {
            reply(200, "")
        }
    });
    let platform = Platform::new(&[]);
    let group = Group::new("kept", 1);
    let sender = group.start(0, &platform, &known, "keep: true");
    assert_eq!(sender.submit("meter", "a", "0.5"), 202);
    endpoint.next_request();
    platform.next_status_report();
    // What it knows is also stored at its shutdown.
    let sender = sender.terminate_and_restart();
    assert_eq!(sender.submit("meter", "b", "5.0"), 202);
    assert_eq!(
        endpoint.next_request().id(),
        "b",
        "a backoff is not carried over a restart"
    );
    let log = sender.terminate().output;
    let started = log_line(&log, "peers started");
    assert!(
        started.contains("restored=1") && started.contains("incarnation=2"),
        "{started}"
    );
}
