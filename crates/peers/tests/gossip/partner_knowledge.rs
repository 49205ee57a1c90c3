//! Partner knowledge: ageing of what peers have told, bounds on what is believed, and rejected digests.

use crate::generators::{digest, listed};
use martenlatch_peers::latency_sketch::LatencySketch;
use martenlatch_peers::partner_knowledge::{Bounds, Digest, PartnerKnowledge, ReportedOutage};
use martenlatch_policy::interface::{GossipedState, Outage};

const MS: u64 = 1_000_000;

fn priors(digests: &[Digest], now: f64) -> Vec<GossipedState> {
    let (mut known, bounds) = (PartnerKnowledge::default(), Bounds::default());
    for (i, t) in digests.iter().enumerate() {
        assert!(
            known.add_digest(&format!("t{i}"), t, 1_000_000.0, &bounds),
            "{t:?}"
        );
    }
    known.priors(1_000_000.0 + now, &bounds, listed)
}

#[test]
fn an_active_wait_applies_and_an_expired_one_does_not() {
    let waiting = Digest {
        retry_after: 4_000.0,
        ..digest(1)
    };
    assert_eq!(
        priors(std::slice::from_ref(&waiting), 1_000.0)[0].wait,
        3_000 * MS
    );
    assert_eq!(priors(std::slice::from_ref(&waiting), 4_001.0)[0].wait, 0);
    let (mut known, bounds) = (PartnerKnowledge::default(), Bounds::default());
    known.add_digest("t", &waiting, 0.0, &bounds);
    known.clear_retry_after();
    assert_eq!(
        known.priors(1.0, &bounds, listed)[0].wait,
        0,
        "not over a restart"
    );
}

#[test]
fn different_clocks_do_not_matter_as_digests_hold_spans() {
    let told = |clock: f64| {
        let (mut known, bounds) = (PartnerKnowledge::default(), Bounds::default());
        let outage = Some(ReportedOutage::Recovering { since: 2_000.0 });
        known.add_digest(
            "t",
            &Digest {
                age: 700.0,
                retry_after: 4_000.0,
                outage,
                ..digest(1)
            },
            clock,
            &bounds,
        );
        known.priors(clock + 1_000.0, &bounds, listed)
    };
    assert_eq!(told(1e6), told(1e6 + 7_000.0));
    assert_eq!(
        told(1e6)[0].outage,
        Some(Outage::Recovering { since: 3_000 * MS })
    );
}

#[test]
fn latencies_and_gaps_lose_half_of_their_weight_every_half_life() {
    let told = |age: f32| {
        let told = priors(
            &[Digest {
                age,
                pacing_interval: 400.0,
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
fn an_outage_is_believed_while_it_is_recent() {
    let down = |age: f32| Digest {
        age,
        outage: Some(ReportedOutage::Unresponsive),
        ..digest(1)
    };
    assert_eq!(
        priors(&[down(5_000.0)], 0.0)[0].outage,
        Some(Outage::Unresponsive)
    );
    assert_eq!(
        priors(&[down(30_000.0)], 0.0)[0].outage,
        None,
        "it may have come back unseen"
    );
    let shut = Digest {
        retry_after: 40_000.0,
        outage: Some(ReportedOutage::Rejecting),
        ..digest(1)
    };
    assert_eq!(
        priors(&[shut], 30_000.0)[0].outage,
        Some(Outage::Rejecting),
        "its wait still runs"
    );
}

#[test]
fn a_partner_that_served_after_a_failure_is_recovering() {
    let down = Digest {
        age: 4_000.0,
        outage: Some(ReportedOutage::Unresponsive),
        ..digest(1)
    };
    let well = Digest {
        age: 1_000.0,
        ..digest(1)
    };
    let outage = priors(&[down, well], 0.0)[0].outage;
    assert_eq!(outage, Some(Outage::Recovering { since: 4_000 * MS }));
}

#[test]
fn a_limit_from_before_an_outage_is_ignored() {
    let before = Digest {
        age: 6_000.0,
        rate_limit: Some(50.0),
        ..digest(1)
    };
    assert_eq!(
        priors(std::slice::from_ref(&before), 0.0)[0].limit,
        Some(50.0)
    );
    let out = Digest {
        age: 3_000.0,
        outage: Some(ReportedOutage::Unresponsive),
        ..digest(1)
    };
    assert_eq!(priors(&[before, out], 0.0)[0].limit, None);
}

#[test]
fn the_lower_of_two_limits_counts() {
    let limit = |l: f32| Digest {
        rate_limit: Some(l),
        ..digest(1)
    };
    assert_eq!(priors(&[limit(9.0), limit(4.0)], 0.0)[0].limit, Some(4.0));
}

#[test]
fn implausible_figures_are_clamped() {
    let lie = Digest {
        retry_after: 3.2e10,
        pacing_interval: 1e9,
        latency: LatencySketch::from_latencies([0.0; 40]),
        ..digest(1)
    };
    let told = &priors(&[lie], 0.0)[0];
    assert_eq!(told.wait, 120_000 * MS, "a wait of a year");
    assert_eq!(told.gap, 1_000 * MS);
    assert!(told.latencies.iter().all(|l| *l == 20 * MS), "a p95 of 0");
}

#[test]
fn invalid_digests_are_rejected() {
    let (mut known, bounds) = (PartnerKnowledge::default(), Bounds::default());
    for bad in [
        Digest {
            age: f32::NAN,
            ..digest(1)
        },
        Digest {
            retry_after: -1.0,
            ..digest(1)
        },
        Digest {
            pacing_interval: f32::INFINITY,
            ..digest(1)
        },
        Digest {
            rate_limit: Some(0.0),
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
        assert!(!known.add_digest("t", &bad, 0.0, &bounds), "{bad:?}");
    }
    assert!(!known.add_digest("", &digest(1), 0.0, &bounds));
    assert!(known.is_empty());
}

#[test]
fn the_store_is_bounded_and_unlisted_partners_yield_no_prior() {
    let (mut known, bounds) = (
        PartnerKnowledge::default(),
        Bounds {
            max_routes: 100,
            ..Bounds::default()
        },
    );
    let taken = (0..1_000)
        .filter(|d| known.add_digest("t", &digest(*d), 0.0, &bounds))
        .count();
    assert_eq!((taken, known.len()), (100, 100));
    assert!(
        known.add_digest("u", &digest(5), 1.0, &bounds),
        "one that is there already has room"
    );
    let told = known.priors(1.0, &bounds, |d, _| (d < 10).then_some(None));
    assert_eq!(told.len(), 10);
}

#[test]
fn ten_thousand_partners_take_less_than_3_mb() {
    let (mut known, bounds) = (PartnerKnowledge::default(), Bounds::default());
    let wide = LatencySketch::from_latencies((0..40).map(|i| 100.0 * 1.05f64.powi(i)));
    for destination in 0..10_000 {
        for reporter in ["a", "b", "c"] {
            known.add_digest(
                reporter,
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
