//! Tests of partner knowledge: the ageing of received digests, the bounds on their values, and rejected digests.

use crate::generators::{all_listed, digest};
use martenlatch_peers::latency_sketch::LatencySketch;
use martenlatch_peers::partner_knowledge::{Bounds, Digest, PartnerKnowledge, ReportedOutage};
use martenlatch_policy::interface::{GossipedState, Outage};

const NANOS_PER_MILLI: u64 = 1_000_000;

/// The priors from digests of different reporters, some time after they were received.
fn priors(digests: &[Digest], elapsed: f64) -> Vec<GossipedState> {
    let (mut knowledge, bounds) = (PartnerKnowledge::default(), Bounds::default());
    for (number, digest) in digests.iter().enumerate() {
        assert!(
            knowledge.add_digest(&format!("reporter-{number}"), digest, 1_000_000.0, &bounds),
            "{digest:?}"
        );
    }
    knowledge.priors(1_000_000.0 + elapsed, &bounds, all_listed)
}

#[test]
fn a_retry_after_applies_until_it_expires_and_not_after_a_restart() {
    let with_retry_after = Digest {
        retry_after: 4_000.0,
        ..digest(1)
    };
    assert_eq!(
        priors(std::slice::from_ref(&with_retry_after), 1_000.0)[0].remaining_retry_after,
        3_000 * NANOS_PER_MILLI
    );
    assert_eq!(
        priors(std::slice::from_ref(&with_retry_after), 4_001.0)[0].remaining_retry_after,
        0
    );
    let (mut knowledge, bounds) = (PartnerKnowledge::default(), Bounds::default());
    knowledge.add_digest("reporter", &with_retry_after, 0.0, &bounds);
    knowledge.clear_retry_after();
    assert_eq!(
        knowledge.priors(1.0, &bounds, all_listed)[0].remaining_retry_after,
        0,
        "a restart clears it"
    );
}

#[test]
fn digests_are_independent_of_the_clocks_of_reporter_and_receiver() {
    let priors_at = |clock: f64| {
        let (mut knowledge, bounds) = (PartnerKnowledge::default(), Bounds::default());
        let outage = Some(ReportedOutage::Recovering { elapsed: 2_000.0 });
        knowledge.add_digest(
            "reporter",
            &Digest {
                age: 700.0,
                retry_after: 4_000.0,
                outage,
                ..digest(1)
            },
            clock,
            &bounds,
        );
        knowledge.priors(clock + 1_000.0, &bounds, all_listed)
    };
    assert_eq!(priors_at(1e6), priors_at(1e6 + 7_000.0));
    assert_eq!(
        priors_at(1e6)[0].outage,
        Some(Outage::Recovering {
            elapsed: 3_000 * NANOS_PER_MILLI
        })
    );
}

#[test]
fn latencies_and_pacing_intervals_lose_half_of_their_weight_every_half_life() {
    let weights = |age: f32| {
        let priors = priors(
            &[Digest {
                age,
                pacing_interval: 400.0,
                ..digest(1)
            }],
            0.0,
        );
        priors.first().map_or((0, 0), |prior| {
            (
                prior.latencies.len(),
                prior.pacing_interval / NANOS_PER_MILLI,
            )
        })
    };
    assert_eq!(weights(0.0), (12, 400));
    assert_eq!(weights(20_000.0), (6, 200));
    assert_eq!(weights(60_000.0), (2, 50));
    assert_eq!(weights(400_000.0), (0, 0), "too old for a prior");
}

#[test]
fn an_outage_is_assumed_to_continue_while_it_is_recent_or_its_retry_after_applies() {
    let unresponsive = |age: f32| Digest {
        age,
        outage: Some(ReportedOutage::Unresponsive),
        ..digest(1)
    };
    assert_eq!(
        priors(&[unresponsive(5_000.0)], 0.0)[0].outage,
        Some(Outage::Unresponsive)
    );
    assert_eq!(
        priors(&[unresponsive(30_000.0)], 0.0)[0].outage,
        None,
        "the partner may have recovered without being observed"
    );
    let rejecting = Digest {
        retry_after: 40_000.0,
        outage: Some(ReportedOutage::Rejecting),
        ..digest(1)
    };
    assert_eq!(
        priors(&[rejecting], 30_000.0)[0].outage,
        Some(Outage::Rejecting),
        "its Retry-After still applies"
    );
}

#[test]
fn a_partner_that_served_after_a_failure_is_recovering() {
    let unresponsive = Digest {
        age: 4_000.0,
        outage: Some(ReportedOutage::Unresponsive),
        ..digest(1)
    };
    let healthy = Digest {
        age: 1_000.0,
        ..digest(1)
    };
    let outage = priors(&[unresponsive, healthy], 0.0)[0].outage;
    assert_eq!(
        outage,
        Some(Outage::Recovering {
            elapsed: 4_000 * NANOS_PER_MILLI
        })
    );
}

#[test]
fn a_rate_limit_from_before_an_outage_is_ignored() {
    let before_outage = Digest {
        age: 6_000.0,
        rate_limit: Some(50.0),
        ..digest(1)
    };
    assert_eq!(
        priors(std::slice::from_ref(&before_outage), 0.0)[0].rate_limit,
        Some(50.0)
    );
    let outage = Digest {
        age: 3_000.0,
        outage: Some(ReportedOutage::Unresponsive),
        ..digest(1)
    };
    assert_eq!(priors(&[before_outage, outage], 0.0)[0].rate_limit, None);
}

#[test]
fn the_lower_of_two_rate_limits_applies() {
    let with_rate_limit = |limit: f32| Digest {
        rate_limit: Some(limit),
        ..digest(1)
    };
    assert_eq!(
        priors(&[with_rate_limit(9.0), with_rate_limit(4.0)], 0.0)[0].rate_limit,
        Some(4.0)
    );
}

#[test]
fn implausible_values_are_clamped() {
    let implausible = Digest {
        retry_after: 3.2e10,
        pacing_interval: 1e9,
        latency: LatencySketch::from_latencies([0.0; 40]),
        ..digest(1)
    };
    let prior = &priors(&[implausible], 0.0)[0];
    assert_eq!(
        prior.remaining_retry_after,
        120_000 * NANOS_PER_MILLI,
        "from a Retry-After of one year"
    );
    assert_eq!(prior.pacing_interval, 1_000 * NANOS_PER_MILLI);
    assert!(
        prior
            .latencies
            .iter()
            .all(|latency| *latency == 20 * NANOS_PER_MILLI),
        "from latencies of 0"
    );
}

#[test]
fn invalid_digests_are_rejected() {
    let (mut knowledge, bounds) = (PartnerKnowledge::default(), Bounds::default());
    for invalid in [
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
            outage: Some(ReportedOutage::Recovering { elapsed: f32::NAN }),
            ..digest(1)
        },
    ] {
        assert!(
            !knowledge.add_digest("reporter", &invalid, 0.0, &bounds),
            "{invalid:?}"
        );
    }
    assert!(!knowledge.add_digest("", &digest(1), 0.0, &bounds));
    assert!(knowledge.is_empty());
}

#[test]
fn the_number_of_routes_is_bounded_and_unlisted_ones_yield_no_prior() {
    let (mut knowledge, bounds) = (
        PartnerKnowledge::default(),
        Bounds {
            max_routes: 100,
            ..Bounds::default()
        },
    );
    let accepted = (0..1_000)
        .filter(|destination| knowledge.add_digest("reporter", &digest(*destination), 0.0, &bounds))
        .count();
    assert_eq!((accepted, knowledge.len()), (100, 100));
    assert!(
        knowledge.add_digest("reporter-2", &digest(5), 1.0, &bounds),
        "there is room for another digest on a known route"
    );
    let priors = knowledge.priors(1.0, &bounds, |destination, _| {
        (destination < 10).then_some(None)
    });
    assert_eq!(priors.len(), 10);
}

#[test]
fn knowledge_of_ten_thousand_partners_takes_less_than_3_mb() {
    let (mut knowledge, bounds) = (PartnerKnowledge::default(), Bounds::default());
    let wide_sketch = LatencySketch::from_latencies((0..40).map(|i| 100.0 * 1.05f64.powi(i)));
    for destination in 0..10_000 {
        for reporter in ["a", "b", "c"] {
            knowledge.add_digest(
                reporter,
                &Digest {
                    latency: wide_sketch.clone(),
                    ..digest(destination)
                },
                0.0,
                &bounds,
            );
        }
    }
    let bytes = postcard::to_allocvec(&knowledge)
        .expect("partner knowledge can be encoded")
        .len();
    assert_eq!(knowledge.len(), 10_000);
    assert!(bytes < 3_000_000, "{bytes} bytes");
}
