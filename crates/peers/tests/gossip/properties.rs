//! Property tests of partner knowledge and latency sketches. Seeds of failing cases are printed.

use crate::generators::{Received, any_received, listed};
use martenlatch_peers::latency_sketch::LatencySketch;
use martenlatch_peers::partner_knowledge::{Bounds, PartnerKnowledge};
use proptest::prelude::*;

const MS: u64 = 1_000_000;

fn store(received: &[Received]) -> PartnerKnowledge {
    let mut known = PartnerKnowledge::default();
    for Received {
        reporter,
        digest,
        at,
    } in received
    {
        known.add_digest(reporter, digest, *at, &Bounds::default());
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
    fn merging_is_commutative_associative_and_idempotent(
        a in prop::collection::vec(any_received(), 0..8),
        b in prop::collection::vec(any_received(), 0..8),
        c in prop::collection::vec(any_received(), 0..8),
    ) {
        let (a, b, c) = (store(&a), store(&b), store(&c));
        let all = merged(&[&a, &b, &c]);
        prop_assert_eq!(&merged(&[&c, &a, &b]), &all);
        prop_assert_eq!(&merged(&[&b, &merged(&[&c, &a])]), &all);
        prop_assert_eq!(&merged(&[&all, &a, &b, &all]), &all);
    }

    #[test]
    fn the_order_of_digests_does_not_matter(received in prop::collection::vec(any_received(), 0..12), turn in 0usize..12) {
        let mut other = received.clone();
        let turn = turn.min(other.len());
        other.rotate_left(turn);
        other.reverse();
        prop_assert_eq!(store(&received), store(&other));
    }

    #[test]
    fn priors_stay_within_their_bounds(received in prop::collection::vec(any_received(), 0..12), later in 0u32..200) {
        let bounds = Bounds::default();
        for told in store(&received).priors(20_000.0 + f64::from(later) * 500.0, &bounds, listed) {
            prop_assert!(told.wait <= 120_000 * MS && told.gap <= 1_000 * MS);
            prop_assert!(told.latencies.len() <= 12);
            prop_assert!(told.latencies.is_sorted());
        }
    }

    #[test]
    fn quantiles_approximate_the_sketched_latencies(latencies in prop::collection::vec(1.0f64..50_000.0, 1..40)) {
        let mut sorted = latencies.clone();
        sorted.sort_by(f64::total_cmp);
        let stands = LatencySketch::from_latencies(latencies).quantiles(sorted.len());
        for (a, b) in sorted.iter().zip(&stands) {
            prop_assert!((a / b).log2().abs() < 0.26, "{a} and {b}");
        }
    }
}
