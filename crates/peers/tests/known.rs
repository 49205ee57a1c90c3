//! What is told of partners: merging in any order, ageing, caps on what is believed, and what spoilt, cut or strange
//! bytes do. Seeds of found cases are printed by the property tests.

use martenlatch_peers::latency_sketch::LatencySketch;
use martenlatch_peers::partner_knowledge::{Bounds, Digest, PartnerKnowledge, ReportedOutage};
use martenlatch_peers::wire::{
    Fault, MAX_DIGESTS_PER_PAGE, MAX_PAGE_BYTES, Page, PageAssembler, Secret,
};
use martenlatch_policy::interface::{EndpointId, GossipedState, Outage};
use proptest::prelude::*;

const MS: u64 = 1_000_000;

fn digest(destination: u64) -> Digest {
    Digest {
        served: 20.0,
        latency: LatencySketch::of([300.0; 20]),
        ..Digest::new(destination)
    }
}

fn listed(_: u64, _: Option<&str>) -> Option<Option<EndpointId>> {
    Some(None)
}

fn heard(digests: &[Digest], now: f64) -> Vec<GossipedState> {
    let (mut known, bounds) = (PartnerKnowledge::default(), Bounds::default());
    for (i, t) in digests.iter().enumerate() {
        assert!(
            known.hear(&format!("t{i}"), t, 1_000_000.0, &bounds),
            "{t:?}"
        );
    }
    known.told(1_000_000.0 + now, &bounds, listed)
}

#[test]
fn a_wait_in_force_binds_and_one_that_has_run_out_binds_nobody() {
    let waiting = Digest {
        wait: 4_000.0,
        ..digest(1)
    };
    assert_eq!(
        heard(std::slice::from_ref(&waiting), 1_000.0)[0].wait,
        3_000 * MS
    );
    assert_eq!(heard(std::slice::from_ref(&waiting), 4_001.0)[0].wait, 0);
    let (mut known, bounds) = (PartnerKnowledge::default(), Bounds::default());
    known.hear("t", &waiting, 0.0, &bounds);
    known.forget_waits();
    assert_eq!(
        known.told(1.0, &bounds, listed)[0].wait,
        0,
        "not over a restart"
    );
}

#[test]
fn clocks_that_differ_do_not_matter_as_spans_are_told() {
    let told = |clock: f64| {
        let (mut known, bounds) = (PartnerKnowledge::default(), Bounds::default());
        let outage = Some(ReportedOutage::Recovering { since: 2_000.0 });
        known.hear(
            "t",
            &Digest {
                age: 700.0,
                wait: 4_000.0,
                outage,
                ..digest(1)
            },
            clock,
            &bounds,
        );
        known.told(clock + 1_000.0, &bounds, listed)
    };
    assert_eq!(told(1e6), told(1e6 + 7_000.0));
    assert_eq!(
        told(1e6)[0].outage,
        Some(Outage::Recovering { since: 3_000 * MS })
    );
}

#[test]
fn what_is_known_of_a_pace_halves_with_age() {
    let told = |age: f32| {
        let told = heard(
            &[Digest {
                age,
                gap: 400.0,
                ..digest(1)
            }],
            0.0,
        );
        told.first()
            .map_or((0, 0), |t| (t.latencies.len(), t.gap / MS))
    };
    assert_eq!(told(0.0), (12, 400));
    assert_eq!(told(20_000.0), (6, 200));
    assert_eq!(told(60_000.0), (2, 50));
    assert_eq!(told(400_000.0), (0, 0), "and is forgotten");
}

#[test]
fn an_outage_is_believed_while_it_is_fresh() {
    let down = |age: f32| Digest {
        age,
        outage: Some(ReportedOutage::Unresponsive),
        ..digest(1)
    };
    assert_eq!(
        heard(&[down(5_000.0)], 0.0)[0].outage,
        Some(Outage::Unresponsive)
    );
    assert_eq!(
        heard(&[down(30_000.0)], 0.0)[0].outage,
        None,
        "it may have come back unseen"
    );
    let shut = Digest {
        wait: 40_000.0,
        outage: Some(ReportedOutage::Rejecting),
        ..digest(1)
    };
    assert_eq!(
        heard(&[shut], 30_000.0)[0].outage,
        Some(Outage::Rejecting),
        "its wait still runs"
    );
}

#[test]
fn one_seen_out_by_one_and_serving_later_by_another_is_back_since() {
    let down = Digest {
        age: 4_000.0,
        outage: Some(ReportedOutage::Unresponsive),
        ..digest(1)
    };
    let well = Digest {
        age: 1_000.0,
        ..digest(1)
    };
    let outage = heard(&[down, well], 0.0)[0].outage;
    assert_eq!(outage, Some(Outage::Recovering { since: 4_000 * MS }));
}

#[test]
fn a_limit_from_before_an_outage_is_not_told_on() {
    let before = Digest {
        age: 6_000.0,
        limit: Some(50.0),
        ..digest(1)
    };
    assert_eq!(
        heard(std::slice::from_ref(&before), 0.0)[0].limit,
        Some(50.0)
    );
    let out = Digest {
        age: 3_000.0,
        outage: Some(ReportedOutage::Unresponsive),
        ..digest(1)
    };
    assert_eq!(heard(&[before, out], 0.0)[0].limit, None);
}

#[test]
fn of_two_limits_the_lower_counts() {
    let limit = |l: f32| Digest {
        limit: Some(l),
        ..digest(1)
    };
    assert_eq!(heard(&[limit(9.0), limit(4.0)], 0.0)[0].limit, Some(4.0));
}

#[test]
fn lies_within_the_form_are_capped() {
    let lie = Digest {
        wait: 3.2e10,
        gap: 1e9,
        latency: LatencySketch::of([0.0; 40]),
        ..digest(1)
    };
    let told = &heard(&[lie], 0.0)[0];
    assert_eq!(told.wait, 120_000 * MS, "a wait of a year");
    assert_eq!(told.gap, 1_000 * MS);
    assert!(told.latencies.iter().all(|l| *l == 20 * MS), "a p95 of 0");
}

#[test]
fn figures_that_are_none_are_turned_away() {
    let (mut known, bounds) = (PartnerKnowledge::default(), Bounds::default());
    for bad in [
        Digest {
            age: f32::NAN,
            ..digest(1)
        },
        Digest {
            wait: -1.0,
            ..digest(1)
        },
        Digest {
            gap: f32::INFINITY,
            ..digest(1)
        },
        Digest {
            limit: Some(0.0),
            ..digest(1)
        },
        Digest {
            endpoint: Some("x".repeat(200)),
            ..digest(1)
        },
        Digest {
            outage: Some(ReportedOutage::Recovering { since: f32::NAN }),
            ..digest(1)
        },
    ] {
        assert!(!known.hear("t", &bad, 0.0, &bounds), "{bad:?}");
    }
    assert!(!known.hear("", &digest(1), 0.0, &bounds));
    assert!(known.is_empty());
}

#[test]
fn a_store_is_bounded_and_partners_that_are_not_listed_are_told_to_nobody() {
    let (mut known, bounds) = (
        PartnerKnowledge::default(),
        Bounds {
            max_subjects: 100,
            ..Bounds::default()
        },
    );
    let taken = (0..1_000)
        .filter(|d| known.hear("t", &digest(*d), 0.0, &bounds))
        .count();
    assert_eq!((taken, known.len()), (100, 100));
    assert!(
        known.hear("u", &digest(5), 1.0, &bounds),
        "one that is there already has room"
    );
    let told = known.told(1.0, &bounds, |d, _| (d < 10).then_some(None));
    assert_eq!(told.len(), 10);
}

#[test]
fn ten_thousand_partners_are_kept_in_little() {
    let (mut known, bounds) = (PartnerKnowledge::default(), Bounds::default());
    let wide = LatencySketch::of((0..40).map(|i| 100.0 * 1.05f64.powi(i)));
    for destination in 0..10_000 {
        for teller in ["a", "b", "c"] {
            known.hear(
                teller,
                &Digest {
                    latency: wide.clone(),
                    ..digest(destination)
                },
                0.0,
                &bounds,
            );
        }
    }
    let bytes = postcard::to_allocvec(&known)
        .expect("it can be encoded")
        .len();
    assert_eq!(known.len(), 10_000);
    assert!(bytes < 3_000_000, "{bytes} bytes");
}

fn any_trouble() -> impl Strategy<Value = Option<ReportedOutage>> {
    prop_oneof![
        Just(None),
        Just(Some(ReportedOutage::Unresponsive)),
        Just(Some(ReportedOutage::Rejecting)),
        (0u32..20).prop_map(|s| Some(ReportedOutage::Recovering {
            since: s as f32 * 500.0
        })),
    ]
}

/// A telling, its teller and when it is heard; few of each, so that they meet.
fn any_hearing() -> impl Strategy<Value = (String, Digest, f64)> {
    let who = (0u8..4).prop_map(|t| format!("t{t}"));
    let latencies = prop::collection::vec(1.0f64..60_000.0, 0..6);
    (
        who,
        0u64..3,
        0u32..6,
        0u32..4,
        any_trouble(),
        latencies,
        prop::option::of(1u32..4),
        0u32..8,
    )
        .prop_map(
            |(who, destination, age, wait, outage, latencies, limit, at)| {
                let digest = Digest {
                    age: age as f32 * 1_000.0,
                    wait: wait as f32 * 700.0,
                    limit: limit.map(|l| l as f32),
                    latency: LatencySketch::of(latencies),
                    outage,
                    ..digest(destination)
                };
                (who, digest, 10_000.0 + f64::from(at) * 1_000.0)
            },
        )
}

fn store(hearings: &[(String, Digest, f64)]) -> PartnerKnowledge {
    let mut known = PartnerKnowledge::default();
    for (who, digest, at) in hearings {
        known.hear(who, digest, *at, &Bounds::default());
    }
    known
}

fn merged(stores: &[&PartnerKnowledge]) -> PartnerKnowledge {
    let mut all = PartnerKnowledge::default();
    stores.iter().for_each(|s| all.merge(s, 1_000));
    all
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn merging_agrees_in_every_order_and_twice_is_once(
        a in prop::collection::vec(any_hearing(), 0..8),
        b in prop::collection::vec(any_hearing(), 0..8),
        c in prop::collection::vec(any_hearing(), 0..8),
    ) {
        let (a, b, c) = (store(&a), store(&b), store(&c));
        let all = merged(&[&a, &b, &c]);
        prop_assert_eq!(&merged(&[&c, &a, &b]), &all);
        prop_assert_eq!(&merged(&[&b, &merged(&[&c, &a])]), &all);
        prop_assert_eq!(&merged(&[&all, &a, &b, &all]), &all);
    }

    #[test]
    fn hearing_in_any_order_agrees(hearings in prop::collection::vec(any_hearing(), 0..12), turn in 0usize..12) {
        let mut other = hearings.clone();
        let turn = turn.min(other.len());
        other.rotate_left(turn);
        other.reverse();
        prop_assert_eq!(store(&hearings), store(&other));
    }

    #[test]
    fn what_is_told_keeps_its_bounds(hearings in prop::collection::vec(any_hearing(), 0..12), later in 0u32..200) {
        let bounds = Bounds::default();
        for told in store(&hearings).told(20_000.0 + f64::from(later) * 500.0, &bounds, listed) {
            prop_assert!(told.wait <= 120_000 * MS && told.gap <= 1_000 * MS);
            prop_assert!(told.latencies.len() <= 12);
            prop_assert!(told.latencies.is_sorted());
        }
    }

    #[test]
    fn a_sketch_stands_for_what_it_was_made_of(latencies in prop::collection::vec(1.0f64..50_000.0, 1..40)) {
        let mut sorted = latencies.clone();
        sorted.sort_by(f64::total_cmp);
        let stands = LatencySketch::of(latencies).quantiles(sorted.len());
        for (a, b) in sorted.iter().zip(&stands) {
            prop_assert!((a / b).log2().abs() < 0.26, "{a} and {b}");
        }
    }

    #[test]
    fn arbitrary_bytes_are_turned_away(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let secret = Secret::new(b"ours");
        prop_assert!(secret.open_datagram(&bytes).is_err());
        prop_assert!(secret.open_page(&bytes).is_err());
    }

    #[test]
    fn a_page_with_any_byte_changed_or_cut_off_is_turned_away(
        hearings in prop::collection::vec(any_hearing(), 0..4), at in any::<prop::sample::Index>(), flip in 1u8..=255,
    ) {
        let secret = Secret::new(b"ours");
        let digests: Vec<Digest> = hearings.into_iter().map(|h| h.1).collect();
        let page = Page::Digests { no: 7, page: 0, digests };
        let bytes = secret.seal_page(&page);
        prop_assert_eq!(secret.open_page(&bytes), Ok((page, bytes.len())));
        let at = at.index(bytes.len());
        prop_assert_eq!(secret.open_page(&bytes[..at]), Err(Fault::Short));
        let mut spoilt = bytes.clone();
        spoilt[at] ^= flip;
        prop_assert!(secret.open_page(&spoilt).is_err());
        prop_assert_eq!(Secret::new(b"theirs").open_page(&bytes), Err(Fault::Key));
    }
}

#[test]
fn the_largest_page_and_datagram_fit() {
    use martenlatch_peers::membership::{
        Body, Datagram, MAX_NAME_BYTES, MAX_UPDATES, MemberUpdate, State,
    };
    use martenlatch_peers::wire::MAX_DATAGRAM_BYTES;
    let secret = Secret::new(b"ours");
    let latency = LatencySketch::of((0..64).map(|i| 2f64.powf((f64::from(i) + 0.5) / 4.0)));
    let largest = Digest {
        destination: u64::MAX,
        endpoint: Some("e".repeat(128)),
        limit: Some(1.0),
        latency,
        outage: Some(ReportedOutage::Recovering { since: 1.0 }),
        ..digest(1)
    };
    let page = Page::Digests {
        no: u64::MAX,
        page: u32::MAX,
        digests: vec![largest; MAX_DIGESTS_PER_PAGE],
    };
    assert!(secret.seal_page(&page).len() <= MAX_PAGE_BYTES);
    let update = MemberUpdate {
        name: "n".repeat(MAX_NAME_BYTES),
        address: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535"
            .parse()
            .unwrap(),
        incarnation: u64::MAX,
        state: State::Left,
    };
    let body = Body::PingRequest {
        sequence: u64::MAX,
        address: update.address,
    };
    let updates = vec![update.clone(); MAX_UPDATES];
    let bytes = secret.seal_datagram(&Datagram {
        from: update,
        digest: u64::MAX,
        body,
        updates,
    });
    assert!(
        bytes.len() <= 1_200 && 1_200 <= MAX_DATAGRAM_BYTES,
        "{}",
        bytes.len()
    );
    assert!(secret.open_datagram(&bytes).is_ok());
}

#[test]
fn another_version_and_another_length_are_named() {
    let secret = Secret::new(b"ours");
    let mut bytes = secret.seal_page(&Page::End { no: 1, pages: 0 });
    bytes[0] = 2;
    assert_eq!(secret.open_page(&bytes), Err(Fault::Version));
    (bytes[0], bytes[3]) = (1, 0xff);
    assert_eq!(
        secret.open_page(&bytes),
        Err(Fault::Long),
        "before more of it is waited for"
    );
}

#[test]
fn a_snapshot_cut_in_the_middle_keeps_what_came_and_is_not_whole() {
    let mut asking = PageAssembler::new(9);
    let page = |page: u32| Page::Digests {
        no: 9,
        page,
        digests: vec![digest(page.into())],
    };
    assert_eq!(asking.accept(page(0)).map(|t| t.len()), Some(1));
    assert_eq!(asking.accept(page(2)), None, "a page is missing");
    assert_eq!(
        asking.accept(Page::Digests {
            no: 8,
            page: 1,
            digests: vec![]
        }),
        None,
        "of another asking"
    );
    assert_eq!(asking.accept(Page::End { no: 9, pages: 5 }), None);
    assert!(!asking.is_complete());
    assert_eq!(asking.accept(page(1)).map(|t| t.len()), Some(1));
    assert!(asking.accept(Page::End { no: 9, pages: 2 }).is_some() && asking.is_complete());
}
