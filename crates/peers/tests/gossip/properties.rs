//! Property tests of partner knowledge and latency sketches. The seed of a failing case is printed.

use crate::generators::{Received, all_listed, any_received};
use martenlatch_peers::latency_sketch::LatencySketch;
use martenlatch_peers::partner_knowledge::{Bounds, PartnerKnowledge};
use proptest::prelude::*;

const NANOS_PER_MILLI: u64 = 1_000_000;

fn knowledge_from(received: &[Received]) -> PartnerKnowledge {
    let mut knowledge = PartnerKnowledge::default();
    for Received {
        reporter,
        digest,
        received_at,
    } in received
    {
        knowledge.add_digest(reporter, digest, *received_at, &Bounds::default());
    }
    knowledge
}

fn merged(stores: &[&PartnerKnowledge]) -> PartnerKnowledge {
    let mut all = PartnerKnowledge::default();
    stores.iter().for_each(|store| all.merge(store, 1_000));
    all
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn merging_is_commutative_associative_and_idempotent(
        a in prop::collection::vec(any_received(), 0..8),
        b in prop::collection::vec(any_received(), 0..8),
        c in prop::collection::vec(any_received(), 0..8),
    ) {
        let (a, b, c) = (knowledge_from(&a), knowledge_from(&b), knowledge_from(&c));
        let all = merged(&[&a, &b, &c]);
        prop_assert_eq!(&merged(&[&c, &a, &b]), &all);
        prop_assert_eq!(&merged(&[&b, &merged(&[&c, &a])]), &all);
        prop_assert_eq!(&merged(&[&all, &a, &b, &all]), &all);
    }

    #[test]
    fn digests_in_any_order_give_the_same_knowledge(
        received in prop::collection::vec(any_received(), 0..12), rotation in 0usize..12,
    ) {
        let mut reordered = received.clone();
        let rotation = rotation.min(reordered.len());
        reordered.rotate_left(rotation);
        reordered.reverse();
        prop_assert_eq!(knowledge_from(&received), knowledge_from(&reordered));
    }

    #[test]
    fn priors_stay_within_their_bounds(
        received in prop::collection::vec(any_received(), 0..12), half_seconds in 0u32..200,
    ) {
        let bounds = Bounds::default();
        let now = 20_000.0 + f64::from(half_seconds) * 500.0;
        for prior in knowledge_from(&received).priors(now, &bounds, all_listed) {
            prop_assert!(prior.remaining_retry_after <= 120_000 * NANOS_PER_MILLI && prior.pacing_interval <= 1_000 * NANOS_PER_MILLI);
            prop_assert!(prior.latencies.len() <= 12);
            prop_assert!(prior.latencies.is_sorted());
        }
    }

    #[test]
    fn quantiles_approximate_the_sketched_latencies(latencies in prop::collection::vec(1.0f64..50_000.0, 1..40)) {
        let mut sorted = latencies.clone();
        sorted.sort_by(f64::total_cmp);
        let quantiles = LatencySketch::from_latencies(latencies).quantiles(sorted.len());
        for (latency, quantile) in sorted.iter().zip(&quantiles) {
            prop_assert!((latency / quantile).log2().abs() < 0.26, "{latency} and {quantile}");
        }
    }
}
